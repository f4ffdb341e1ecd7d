//! Rule four, boxes: nodes that know that a box is cold don't overload it.
//!
//! A cold box counts as overloaded when all nodes together send it more than N + 2 sqrt(N) + 2 requests of mean work
//! (N + 3 sqrt(N) + 3 for N under 30) within the time that the settings name, N being the number that they allow at
//! that moment. The margin covers random variation, whatever the number of nodes. The checker counts the work itself,
//! from the arrivals at the box.

use super::*;

/// Nodes are at fault if more than this share of an overloaded box's work came from nodes notified of its start.
const MAX_INFORMED_SHARE: f64 = 2.0 / 3.0;

/// Below this number of allowed requests the margin for random variation is larger.
const FEW_REQUESTS: f64 = 30.0;
/// Factor m in the margin m sqrt(N) + m beyond N allowed requests: here for N of at least `FEW_REQUESTS`, and
/// in `MARGIN_OF_FEW` for a smaller N.
const MARGIN_OF_MANY: f64 = 2.0;
const MARGIN_OF_FEW: f64 = 3.0;

/// Largest number of requests of mean work that doesn't overload a box that is allowed this many.
fn tolerated_requests(allowed: f64) -> f64 {
    let margin = if allowed < FEW_REQUESTS { MARGIN_OF_FEW } else { MARGIN_OF_MANY };
    allowed + margin * allowed.sqrt() + margin
}

/// A box that is warming up.
pub(super) struct ColdBox {
    pub started: Time,
    /// Capacity when warm, in seconds of work of a standard core per second.
    pub capacity: f64,
    /// Share of the capacity just after the start.
    pub initial_share: f64,
    pub ramp: Span,
    /// Work within the last `fall_for`: arrival, amount, and whether its sender knew of the start.
    pub recent_work: VecDeque<(Time, f64, bool)>,
}

/// Slow-start factor: share of its capacity that a box has at this time.
pub(super) fn slow_start_factor(cold: &ColdBox, now: Time) -> f64 {
    let progress = now.since(cold.started).as_secs() / cold.ramp.as_secs().max(1e-6);
    (cold.initial_share + (1.0 - cold.initial_share) * progress).min(1.0)
}

impl InvariantChecker {
    pub(super) fn work_arrived(&mut self, at: Time, to: BoxId, node: NodeId, work: f64, read: bool) {
        if read && !self.cold_boxes.is_empty() {
            self.planner.reads.push_back(at);
        }
        let informed = |started| self.notified.get(&(node, to)).is_some_and(|k| k.started >= Some(started));
        let Some(cold) = self.cold_boxes.get_mut(&to) else { return };
        if slow_start_factor(cold, at) >= 1.0 {
            self.cold_boxes.remove(&to);
            return;
        }
        cold.recent_work.push_back((at, work, informed(cold.started)));
        while cold.recent_work.front().is_some_and(|(t, ..)| at.since(*t) > self.parameters.fall_for) {
            cold.recent_work.pop_front();
        }
        let (multiple, within) = (self.parameters.fall_multiple, self.parameters.fall_for.0 as f64);
        // `within` is in microseconds and capacity in core seconds per second, so the result is in core microseconds.
        let allowed = multiple * cold.capacity * slow_start_factor(cold, at) * within;
        let tolerated = tolerated_requests(allowed / self.parameters.mean_work) * self.parameters.mean_work;
        let sent: f64 = cold.recent_work.iter().map(|(_, work, _)| work).sum();
        if multiple > 0.0 && sent > tolerated {
            self.check_overload(at, to);
        }
    }

    pub(super) fn box_crashed(&mut self, at: Time, of: BoxId) {
        self.verdict.crashed_boxes += 1;
        self.check_overload(at, of);
    }

    /// Checks who overloaded a box; once for each of its starts.
    fn check_overload(&mut self, at: Time, of: BoxId) {
        let Some(cold) = self.cold_boxes.remove(&of) else { return };
        let all: f64 = cold.recent_work.iter().map(|(_, work, _)| work).sum();
        let informed: f64 =
            cold.recent_work.iter().filter(|(.., informed)| *informed).map(|(_, work, _)| work).sum();
        if informed > MAX_INFORMED_SHARE * all {
            let share = 100.0 * informed / all.max(1e-9);
            let what = format!(
                "box {of} was overloaded while cold; {share:.0} % of the work came from nodes notified of its start"
            );
            self.report_violation(Rule::Cold, at, what);
        }
    }
}

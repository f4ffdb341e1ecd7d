//! Rule four, boxes: nodes that know that a box is cold don't overload it.
//!
//! A cold box counts as overloaded when all nodes together send it more than N + 2 sqrt(N) + 2 requests of mean work
//! (N + 3 sqrt(N) + 3 for N under 30) within the time that the settings name, N being the number that they allow at
//! that moment. The margin covers random variation, whatever the number of nodes. The checker counts the work itself,
//! from the arrivals at the box.

use super::*;

/// Nodes are at fault if more than this share of an overloaded box's work came from nodes notified of its start.
const INFORMED: f64 = 2.0 / 3.0;

/// Below this number of allowed requests the margin for random variation is larger.
const FEW: f64 = 30.0;
/// Margins beyond the allowed requests, in square roots of them plus as many requests: for many and for few.
const BEYOND_MANY: f64 = 2.0;
const BEYOND_FEW: f64 = 3.0;

/// Largest number of requests of mean work that doesn't overload a box that is allowed this many.
fn most_borne(allowed: f64) -> f64 {
    let beyond = if allowed < FEW { BEYOND_FEW } else { BEYOND_MANY };
    allowed + beyond * allowed.sqrt() + beyond
}

/// A box that is warming up.
pub(super) struct Cold {
    pub started: Time,
    /// Capacity when warm, in seconds of work of a standard core per second.
    pub capacity: f64,
    pub from: f64,
    pub ramp: Span,
    /// Work within the last `fall_for`: arrival, amount, and whether its sender knew of the start.
    pub work: VecDeque<(Time, f64, bool)>,
}

/// Slow-start factor: share of its capacity that a box has at this time.
pub(super) fn warmth(cold: &Cold, now: Time) -> f64 {
    let share = now.since(cold.started).as_secs() / cold.ramp.as_secs().max(1e-6);
    (cold.from + (1.0 - cold.from) * share).min(1.0)
}

impl Referee {
    pub(super) fn reached(&mut self, at: Time, to: BoxId, node: NodeId, work: f64, read: bool) {
        if read && !self.cold.is_empty() {
            self.planner.reads.push_back(at);
        }
        let informed = |started| self.told.get(&(node, to)).is_some_and(|k| k.started >= Some(started));
        let Some(cold) = self.cold.get_mut(&to) else { return };
        if warmth(cold, at) >= 1.0 {
            self.cold.remove(&to);
            return;
        }
        cold.work.push_back((at, work, informed(cold.started)));
        while cold.work.front().is_some_and(|(t, ..)| at.since(*t) > self.terms.fall_for) {
            cold.work.pop_front();
        }
        let (multiple, within) = (self.terms.fall_multiple, self.terms.fall_for.0 as f64);
        // `within` is in microseconds and capacity in core seconds per second, so the result is in core microseconds.
        let allowed = multiple * cold.capacity * warmth(cold, at) * within;
        let most = most_borne(allowed / self.terms.mean_work) * self.terms.mean_work;
        let sent: f64 = cold.work.iter().map(|(_, work, _)| work).sum();
        if multiple > 0.0 && sent > most {
            self.pushed_over(at, to);
        }
    }

    pub(super) fn fell(&mut self, at: Time, of: BoxId) {
        self.verdict.fallen += 1;
        self.pushed_over(at, of);
    }

    /// Checks who overloaded a box; once for each of its starts.
    fn pushed_over(&mut self, at: Time, of: BoxId) {
        let Some(cold) = self.cold.remove(&of) else { return };
        let all: f64 = cold.work.iter().map(|(_, work, _)| work).sum();
        let informed: f64 =
            cold.work.iter().filter(|(.., informed)| *informed).map(|(_, work, _)| work).sum();
        if informed > INFORMED * all {
            let share = 100.0 * informed / all.max(1e-9);
            let what = format!(
                "box {of} was pushed over; {share:.0} % of the work came from nodes that had been told"
            );
            self.breach(Rule::Cold, at, what);
        }
    }
}

//! Rule four, the planner: misses at cold boxes don't overload it.

use super::*;

/// Misses at cold boxes are at fault beyond this share of the planner's calls, if they also exceed
/// `MAX_COLD_CALLS_PER_EXPECTED_READ`.
const MAX_COLD_CALL_SHARE: f64 = 0.3;
/// Most misses at cold boxes without fault, as a multiple of the reads that the cold boxes' weight accounts
/// for.
const MAX_COLD_CALLS_PER_EXPECTED_READ: f64 = 1.25;

/// Recent calls to the planner, with whether the caller was cold, and recent reads at boxes
/// that arrived while any box was cold.
#[derive(Default)]
pub(super) struct PlannerLoad {
    calls: VecDeque<(Time, bool)>,
    pub reads: VecDeque<Time>,
}

impl InvariantChecker {
    pub(super) fn planner_called(&mut self, at: Time, cold: bool) {
        self.verdict.planner_calls += 1;
        self.verdict.planner_cold += u64::from(cold);
        let second = self.second_at(at);
        second.planner += 1;
        second.planner_cold += u64::from(cold);
        self.planner.calls.push_back((at, cold));
        while self.planner.calls.front().is_some_and(|(t, _)| at.since(*t) > self.parameters.planner_for) {
            self.planner.calls.pop_front();
        }
        while self.planner.reads.front().is_some_and(|t| at.since(*t) > self.parameters.planner_for) {
            self.planner.reads.pop_front();
        }
    }

    pub(super) fn planner_stopped(&mut self, at: Time) {
        self.verdict.planner_stops += 1;
        let all = self.planner.calls.len() as f64;
        let cold = self.planner.calls.iter().filter(|(_, cold)| *cold).count() as f64;
        let weight = |(of, size): (BoxId, &Option<f64>)| {
            size.map(|size| (size, self.cold_boxes.get(&of).map(|c| slow_start_factor(c, at))))
        };
        let weights: Vec<(f64, Option<f64>)> = self.box_sizes.iter().enumerate().filter_map(weight).collect();
        let total: f64 = weights.iter().map(|(size, factor)| size * factor.unwrap_or(1.0)).sum();
        let cold_weight: f64 = weights.iter().filter_map(|(size, factor)| factor.map(|w| size * w)).sum();
        let expected = self.planner.reads.len() as f64 * cold_weight / total.max(1e-9);
        if cold > MAX_COLD_CALL_SHARE * all && cold > MAX_COLD_CALLS_PER_EXPECTED_READ * expected {
            let what = format!(
                "the planner stopped; {cold} of {all} calls were cold misses, {expected:.0} expected"
            );
            self.report_violation(Rule::Cold, at, what);
        }
    }
}

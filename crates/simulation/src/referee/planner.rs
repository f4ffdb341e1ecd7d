//! Rule four, the planner: misses at cold boxes don't overload it.

use super::*;

/// Misses at cold boxes are at fault beyond this share of the planner's calls, if `COLD_OVER_DUE` is exceeded too.
const COLD_SHARE: f64 = 0.3;
/// Ratio of misses at cold boxes to the reads that the cold boxes' weight accounts for.
const COLD_OVER_DUE: f64 = 1.25;

/// Recent calls to the planner, with whether the caller was cold, and recent reads at boxes.
#[derive(Default)]
pub(super) struct Calls {
    calls: VecDeque<(Time, bool)>,
    pub reads: VecDeque<Time>,
}

impl Referee {
    pub(super) fn planner_asked(&mut self, at: Time, cold: bool) {
        self.verdict.planner_calls += 1;
        self.verdict.planner_cold += u64::from(cold);
        let second = self.second(at);
        second.planner += 1;
        second.planner_cold += u64::from(cold);
        self.planner.calls.push_back((at, cold));
        while self.planner.calls.front().is_some_and(|(t, _)| at.since(*t) > self.terms.planner_for) {
            self.planner.calls.pop_front();
        }
        while self.planner.reads.front().is_some_and(|t| at.since(*t) > self.terms.planner_for) {
            self.planner.reads.pop_front();
        }
    }

    pub(super) fn planner_stopped(&mut self, at: Time) {
        self.verdict.planner_stops += 1;
        let all = self.planner.calls.len() as f64;
        let cold = self.planner.calls.iter().filter(|(_, cold)| *cold).count() as f64;
        let weight = |(of, size): (BoxId, &Option<f64>)| {
            size.map(|size| (size, self.cold.get(&of).map(|c| warmth(c, at))))
        };
        let weights: Vec<(f64, Option<f64>)> = self.sizes.iter().enumerate().filter_map(weight).collect();
        let total: f64 = weights.iter().map(|(size, warmth)| size * warmth.unwrap_or(1.0)).sum();
        let theirs: f64 = weights.iter().filter_map(|(size, warmth)| warmth.map(|w| size * w)).sum();
        let due = self.planner.reads.len() as f64 * theirs / total.max(1e-9);
        if cold > COLD_SHARE * all && cold > COLD_OVER_DUE * due {
            let what =
                format!("the planner stopped; {cold} of {all} calls were misses at cold boxes, {due:.0} due");
            self.breach(Rule::Cold, at, what);
        }
    }
}

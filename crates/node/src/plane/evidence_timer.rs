//! Decides when the balancer is notified of peers' evidence: at once after a change, and periodically while unchanged.

use std::cell::Cell;
use std::time::Duration;

use hallpin_membership::names::Moment;

/// Interval of repeated notifications; the balancer drops a suspicion that is not renewed.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time of the next notification.
#[derive(Default)]
pub struct EvidenceTimer {
    next_at: Cell<Moment>,
}

impl EvidenceTimer {
    /// Records that the evidence has changed, so that a notification is due at once.
    pub fn trigger(&self) {
        self.next_at.set(Moment::ZERO);
    }

    /// Whether a notification is due; if so, schedules the next one.
    pub fn take_due(&self, now: Moment) -> bool {
        let is_due = now >= self.next_at.get();
        if is_due {
            self.next_at.set(now + REPEAT_INTERVAL);
        }
        is_due
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unchanged_evidence_is_repeated_each_second_and_changes_are_due_at_once() {
        let timer = EvidenceTimer::default();
        let at = |tenths: u32| Duration::from_secs(9) + tenths * REPEAT_INTERVAL / 10;
        let due_at: Vec<u32> = (0..40)
            .filter(|tenths| {
                if *tenths == 13 {
                    timer.trigger();
                }
                timer.take_due(at(*tenths))
            })
            .collect();
        assert_eq!(due_at, [0, 10, 13, 23, 33]);
    }
}

//! Checks, from headers alone, which parts of a stored state may be used. No I/O: the wall time is an argument.

use std::time::Duration;

use crate::names::{Identity, Limits, Section};
use crate::reason::SetAsideReason;

/// Checks that a state belongs to this node.
///
/// # Errors
/// [`SetAsideReason::OtherRealm`] or [`SetAsideReason::OtherNode`]: nothing of the state may be used.
pub fn check_owner(found: Identity, this: Identity) -> Result<(), SetAsideReason> {
    if found.realm != this.realm {
        return Err(SetAsideReason::OtherRealm { found: found.realm, this: this.realm });
    }
    if found.node != this.node {
        return Err(SetAsideReason::OtherNode { found: found.node, this: this.node });
    }
    Ok(())
}

/// The time since a snapshot was taken. It is 0 if the clock has stepped back within its limit, so an age may be too
/// small by [`Limits::max_clock_step_back`], and never by more.
///
/// # Errors
/// [`SetAsideReason::FromTheFuture`] if the snapshot was taken later than now by more than that limit.
pub fn time_since(taken_unix_ms: u64, now_unix_ms: u64, limits: &Limits) -> Result<Duration, SetAsideReason> {
    let ahead = Duration::from_millis(taken_unix_ms.saturating_sub(now_unix_ms));
    if ahead > limits.max_clock_step_back {
        return Err(SetAsideReason::FromTheFuture { ahead, allowed: limits.max_clock_step_back });
    }
    Ok(Duration::from_millis(now_unix_ms.saturating_sub(taken_unix_ms)))
}

/// The age of a section: its age when the snapshot was taken plus the time since then.
///
/// # Errors
/// [`SetAsideReason::TooOld`] above [`Limits::max_age`].
pub fn check_age(
    section: Section,
    age_when_taken: Duration,
    since: Duration,
    limits: &Limits,
) -> Result<Duration, SetAsideReason> {
    let age = age_when_taken.saturating_add(since);
    if age > limits.max_age {
        return Err(SetAsideReason::TooOld { section, age, bound: limits.max_age });
    }
    Ok(age)
}

/// Checks that a state's epoch is at least the one that peers hold.
///
/// # Errors
/// [`SetAsideReason::OlderEpoch`]: the node must not place keys or use quota under the stored epoch.
pub fn check_epoch(stored: u64, held: u64) -> Result<(), SetAsideReason> {
    if stored < held {
        return Err(SetAsideReason::OlderEpoch { stored, held });
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use hallpin_membership::names::NodeId;
    use proptest::prelude::*;

    use super::*;

    const LIMITS: Limits = Limits {
        max_bytes: 1 << 20,
        max_age: Duration::from_secs(10),
        max_clock_step_back: Duration::from_millis(100),
        max_aside_files: 1,
    };

    fn identity(realm: u32, node: u16) -> Identity {
        Identity { realm, node: NodeId(node) }
    }

    #[test]
    fn only_the_owners_state_is_used() {
        let this = identity(7, 4);
        assert_eq!(check_owner(this, this), Ok(()));
        assert_eq!(
            check_owner(identity(7, 3), this),
            Err(SetAsideReason::OtherNode { found: NodeId(3), this: NodeId(4) })
        );
        for node in [3, 4] {
            assert_eq!(
                check_owner(identity(8, node), this),
                Err(SetAsideReason::OtherRealm { found: 8, this: 7 })
            );
        }
    }

    #[test]
    fn ages_and_snapshots_from_the_future() {
        // Wall times of the snapshot and of now, and age in the snapshot, in ms; the expected age, or `None` for an
        // error.
        let table: [(u64, u64, u64, Option<u64>); 9] = [
            (5_000, 5_000, 0, Some(0)),
            (5_000, 5_001, 0, Some(1)),
            (5_100, 5_000, 0, Some(0)),
            (5_101, 5_000, 0, None),
            (5_000, 15_000, 0, Some(10_000)),
            (5_000, 15_001, 0, None),
            (5_000, 14_000, 1_000, Some(10_000)),
            (5_000, 14_000, 1_001, None),
            (0, u64::MAX, u64::MAX, None),
        ];
        for (taken, now, age_when_taken, expected) in table {
            let age_found = time_since(taken, now, &LIMITS).and_then(|since| {
                check_age(Section::View, Duration::from_millis(age_when_taken), since, &LIMITS)
            });
            assert_eq!(
                age_found.ok(),
                expected.map(Duration::from_millis),
                "taken {taken}, now {now}, age when taken {age_when_taken}"
            );
        }
    }

    #[test]
    fn an_older_epoch_is_rejected_and_a_newer_one_is_not() {
        assert_eq!(check_epoch(3, 4), Err(SetAsideReason::OlderEpoch { stored: 3, held: 4 }));
        assert_eq!((check_epoch(4, 4), check_epoch(5, 4)), (Ok(()), Ok(())));
    }

    proptest! {
        #[test]
        fn ages_cover_the_elapsed_time_and_stay_within_the_maximum(
            taken in 0u64..200_000, real in 0u64..20_000, back in 0u64..=100, age_when_taken in 0u64..20_000,
        ) {
            let now = (taken + real).saturating_sub(back);
            if let Ok(passed) = time_since(taken, now, &LIMITS) {
                prop_assert!(passed + LIMITS.max_clock_step_back >= Duration::from_millis(real));
                if let Ok(age) = check_age(Section::Limits, Duration::from_millis(age_when_taken), passed, &LIMITS) {
                    prop_assert!(age <= LIMITS.max_age);
                    prop_assert!(age >= Duration::from_millis(age_when_taken));
                }
            } else {
                prop_assert!(taken > now + 100);
            }
        }
    }
}

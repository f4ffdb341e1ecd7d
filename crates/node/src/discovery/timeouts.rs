//! Timeouts of calls to discovery. A change that a hanging or failed call missed counts as known to the node after a
//! time that follows from the settings; whatever a call waits for, the next one must have returned the list by then.

use std::time::Duration;

use hallpin_balancer::{Membership, Settings};

/// Timeouts and backoff of calls to discovery.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTimeouts {
    /// Timeout from connecting to the end of the complete list. One timeout covers both, as the delay is the same
    /// whichever hangs.
    pub full_list: Duration,
    /// How long a watch asks discovery to wait for a change. It is the same for all watches of a connection, as
    /// discovery measures silence by the wait of a watch that is continued.
    pub watch_wait: Duration,
    /// How long after the end of its wait a watch's answer must be complete, or the call has failed.
    pub watch_grace: Duration,
    /// First and longest delay before reconnecting after a failure.
    pub backoff: Duration,
    pub max_backoff: Duration,
}

impl CallTimeouts {
    /// Timeouts for the settings of a deployment.
    pub(super) fn of(settings: &Settings) -> Self {
        let guarantees = &settings.guarantees;
        match settings.membership {
            Membership::Pushed => Self::pushed(guarantees.drain_grace),
            Membership::OnRequest => Self::polled(guarantees.poll_interval),
        }
    }

    /// Timeouts for a pushed list, which an agent on this machine serves at no cost. What the agent has counts as known
    /// to the node at once, also during a silent watch, right after an outage and from the start of the process on. At
    /// most seven tenths of the drain grace pass until the next call; the rest is for its answer and for writes in
    /// progress.
    fn pushed(drain_grace_s: f64) -> Self {
        // Above 1 s fewer calls would save next to nothing, and new servers should be known sooner. Below 0.1 s slow
        // answers of a busy machine would be taken for silence.
        let grace = Duration::from_secs_f64(drain_grace_s.clamp(0.1, 1.0));
        let share = |hundredths: u32| grace * hundredths / 100;
        CallTimeouts {
            full_list: share(55),
            watch_wait: share(35),
            watch_grace: share(25),
            backoff: share(5),
            max_backoff: share(10),
        }
    }

    /// Timeouts for a list that is polled. Starting to follow the list takes capacity of a service that all nodes
    /// share, so the balancer decides when to reconnect. After a failed call a change counts as known 6 s after
    /// discovery could be reached again, or four poll intervals if that is less. A call that hangs, the balancer's
    /// backoff and a call that succeeds fit into this time. So do a silent watch, that backoff and a call of 1 s, as a
    /// watch may follow a failed call.
    fn polled(poll_interval_s: f64) -> Self {
        // At least 3 s, as discovery may take a second for an answer.
        let known_after = Duration::from_secs_f64((4.0 * poll_interval_s).clamp(3.0, 6.0));
        CallTimeouts {
            full_list: known_after * 11 / 30,
            watch_wait: known_after / 3,
            watch_grace: known_after / 10,
            backoff: Duration::ZERO,
            max_backoff: Duration::ZERO,
        }
    }
}

//! How long calls to discovery wait. What a call that hangs or fails missed counts as told after a time that the
//! settings name: whatever a call waits for, the next one has to have brought the list by then.

use std::time::Duration;

use hallpin_balancer::{Membership, Settings};

/// How calls are made.
#[derive(Clone, Copy, Debug)]
pub(super) struct Manner {
    /// From dialling to the end of the whole list: one time for both, as what comes after is as late whichever hung.
    pub whole: Duration,
    /// How long a watch waits for news: all watches of a connection alike, as discovery counts silence by the wait of
    /// a watch that goes on.
    pub wait: Duration,
    /// How much later than its wait a watch's answer may end.
    pub late: Duration,
    /// The first and longest wait before calling again after a failure.
    pub backoff: Duration,
    pub max_backoff: Duration,
}

impl Manner {
    pub(super) fn of(settings: &Settings) -> Self {
        let guarantees = &settings.guarantees;
        match settings.membership {
            Membership::Pushed => Self::pushed(guarantees.drain_grace),
            Membership::OnRequest => Self::asked(guarantees.ask_every),
        }
    }

    /// A pushed list comes from an agent on this machine at no cost, and what the agent has counts as told, also while
    /// a watch is silent, right after an outage and from a process's first moment on. Seven tenths of the time that a
    /// drain leaves go by at most until the next call; the others are for its answer and for what is being sent.
    fn pushed(drain_grace: f64) -> Self {
        // Longer would save next to nothing, and news of servers that have just started are wanted sooner. Below the
        // least, answers of a busy machine would be taken for silence.
        let grace = Duration::from_secs_f64(drain_grace.clamp(0.1, 1.0));
        let part = |hundredths: u32| grace * hundredths / 100;
        Manner { whole: part(55), wait: part(35), late: part(25), backoff: part(5), max_backoff: part(10) }
    }

    /// Where discovery is asked, beginning to follow the list takes part of a service that all nodes share; the balancer
    /// says when to call again. After a failed call a change counts as told 6 s after discovery could be reached, or
    /// four times the time to ask if that is less: a call that hangs, the balancer's wait and a call that succeeds fit
    /// into it. So do a silent watch, that wait and a call of a second, as a watch may follow a failed call.
    fn asked(ask_every: f64) -> Self {
        // Discovery may take a second for an answer.
        let told = Duration::from_secs_f64((4.0 * ask_every).clamp(3.0, 6.0));
        Manner {
            whole: told * 11 / 30,
            wait: told / 3,
            late: told / 10,
            backoff: Duration::ZERO,
            max_backoff: Duration::ZERO,
        }
    }
}

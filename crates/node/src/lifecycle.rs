//! The lifecycle state of the node: whether it accepts clients. Readiness answers to clients (`mn`), operators' calls,
//! signal handling and the accept loop all use this one state.

#[cfg(test)]
mod tests;

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::stop::ShutdownTimes;

/// Time from the start of a drain by an operator or a takeover until idle client connections are closed. Until the
/// platform has moved clients to another node they go on using these connections, and may find no other.
const DRAIN_CLOSE_AFTER: Duration = Duration::from_millis(1500);
/// Time from the start of a drain until connections that clients still use reject requests. The platform finds a fault
/// in a connection that 4 s after the start carries a request of the last 2 s.
const DRAIN_REJECT_AFTER: Duration = Duration::from_millis(1900);

/// Lifecycle state of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleState {
    /// No cache server is known yet.
    Starting,
    /// At least one cache server has been known, and clients are accepted.
    Ready,
    /// Clients are asked to leave until an operator resumes the node.
    Draining,
    /// Clients are asked to leave and the process ends.
    Stopping,
}

impl LifecycleState {
    /// Name of the state in answers to operators.
    pub fn name(self) -> &'static str {
        match self {
            LifecycleState::Starting => "starting",
            LifecycleState::Ready => "ready",
            LifecycleState::Draining => "draining",
            LifecycleState::Stopping => "stopping",
        }
    }
}

/// A state, when it was entered, and the times that follow from it.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    pub state: LifecycleState,
    pub since: Instant,
    /// Whether a cache server was ever known. It decides which state a resumed node returns to.
    servers_known: bool,
    /// Whether another process accepts at this address, so that clients that leave reach it when they reconnect.
    pub has_successor: bool,
    /// Time from the start of draining or stopping until idle client connections are closed.
    close_idle_after: Duration,
    /// Time by which the last answer must be given, if the process ends.
    pub answer_deadline: Option<Instant>,
    /// Time from which requests must be answered whole before the kill, if the process ends; of an earlier one the kill
    /// may cut off what its cache server still gives.
    pub whole_answers_from: Option<Instant>,
}

impl Phase {
    /// Time since which clients have been asked to leave, if they are.
    pub fn draining_since(&self) -> Option<Instant> {
        matches!(self.state, LifecycleState::Draining | LifecycleState::Stopping).then_some(self.since)
    }

    /// Time from which idle connections are closed, if clients are asked to leave.
    pub fn close_idle_at(&self) -> Option<Instant> {
        self.draining_since().map(|since| since + self.close_idle_after)
    }

    /// Time from which requests are rejected on connections that clients still use, if clients are asked to leave.
    pub fn reject_at(&self) -> Option<Instant> {
        match self.state {
            LifecycleState::Draining => Some(self.since + DRAIN_REJECT_AFTER),
            LifecycleState::Stopping => self.answer_deadline,
            LifecycleState::Starting | LifecycleState::Ready => None,
        }
    }
}

/// The state cannot change any more, as the node is stopping.
#[derive(Debug, PartialEq, Eq)]
pub struct AlreadyStopping;

/// Holds the current phase and notifies subscribers of changes.
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
}

impl Lifecycle {
    pub fn new() -> Rc<Self> {
        let phase = Phase {
            state: LifecycleState::Starting,
            since: Instant::now(),
            servers_known: false,
            has_successor: false,
            close_idle_after: DRAIN_CLOSE_AFTER,
            answer_deadline: None,
            whole_answers_from: None,
        };
        Rc::new(Lifecycle { phase: watch::Sender::new(phase) })
    }

    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub fn state(&self) -> LifecycleState {
        self.phase().state
    }

    /// Subscribes to changes of the phase from now on.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Records that a cache server is known: a starting node becomes ready.
    pub fn mark_servers_known(&self) {
        self.phase.send_if_modified(|phase| {
            phase.servers_known = true;
            let ready = phase.state == LifecycleState::Starting;
            if ready {
                (phase.state, phase.since) = (LifecycleState::Ready, Instant::now());
            }
            ready
        });
    }

    /// Asks clients to leave until the node is resumed.
    pub fn drain(&self) -> Result<(), AlreadyStopping> {
        self.transition(|_| LifecycleState::Draining)
    }

    /// Undoes a drain: the node becomes ready, or starting if no cache server has been known yet.
    pub fn resume(&self) -> Result<(), AlreadyStopping> {
        self.transition(
            |phase| if phase.servers_known { LifecycleState::Ready } else { LifecycleState::Starting },
        )
    }

    /// Starts the shutdown by `times`. `has_successor` says whether another process accepts at this address.
    pub fn stop(&self, has_successor: bool, times: ShutdownTimes) {
        // A second stop has no effect.
        if self.transition(|_| LifecycleState::Stopping).is_ok() {
            self.phase.send_modify(|phase| {
                let close_idle_after = if has_successor {
                    DRAIN_CLOSE_AFTER.min(times.close_after_with_successor())
                } else {
                    times.close_idle_after
                };
                let answer_deadline = Some(phase.since + times.finish_after);
                let whole_answers_from = Some(phase.since + times.close_idle_after);
                *phase =
                    Phase { has_successor, close_idle_after, answer_deadline, whole_answers_from, ..*phase };
            });
        }
    }

    /// Changes the state. If it stays the same, so does the time since which it has been in force.
    fn transition(&self, to: impl FnOnce(&Phase) -> LifecycleState) -> Result<(), AlreadyStopping> {
        let phase = self.phase();
        if phase.state == LifecycleState::Stopping {
            return Err(AlreadyStopping);
        }
        let state = to(&phase);
        if state != phase.state {
            self.phase.send_replace(Phase { state, since: Instant::now(), ..phase });
        }
        Ok(())
    }
}

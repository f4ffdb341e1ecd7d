//! The one state that says whether this node wants clients. The front's `mn`, the operators' calls, signals and
//! accepting all read it here.

#[cfg(test)]
mod tests;

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::stop::Stop;

/// From when an operator or a takeover sends clients away, kept connections go on for so long: clients use them until
/// the front has moved them, and may find no other meanwhile.
const DRAIN_PARTS_AFTER: Duration = Duration::from_millis(1500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// No cache server is known yet.
    Starting,
    Ready,
    /// Clients are sent away until an operator calls the node back.
    Draining,
    /// Clients are sent away and the process ends.
    Stopping,
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::Starting => "starting",
            State::Ready => "ready",
            State::Draining => "draining",
            State::Stopping => "stopping",
        }
    }
}

/// A state and since when it has been in force.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    pub state: State,
    pub since: Instant,
    /// Whether a cache server was ever known: where a drain that is undone leads back to.
    can_serve: bool,
    /// Whether another process accepts at this address, so that clients sent away come back to it at once.
    pub relieved: bool,
    /// Where clients are sent away: how much later connections between requests are closed.
    part_after: Duration,
    /// By when the last answer must be given, where the process ends.
    pub ends: Option<Instant>,
}

impl Phase {
    /// Since when clients have been sent away, if they are.
    pub fn sent_away(&self) -> Option<Instant> {
        matches!(self.state, State::Draining | State::Stopping).then_some(self.since)
    }

    /// From when on connections are closed between requests, where clients are sent away.
    pub fn parts(&self) -> Option<Instant> {
        self.sent_away().map(|since| since + self.part_after)
    }
}

/// A stop cannot be undone.
#[derive(Debug, PartialEq, Eq)]
pub struct AlreadyStopping;

pub struct Lifecycle {
    phase: watch::Sender<Phase>,
}

impl Lifecycle {
    pub fn new() -> Rc<Self> {
        let phase = Phase {
            state: State::Starting,
            since: Instant::now(),
            can_serve: false,
            relieved: false,
            part_after: DRAIN_PARTS_AFTER,
            ends: None,
        };
        Rc::new(Lifecycle { phase: watch::Sender::new(phase) })
    }

    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub fn state(&self) -> State {
        self.phase().state
    }

    /// Tells of each change from now on.
    pub fn follow(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// A cache server is known.
    pub fn can_serve(&self) {
        self.phase.send_if_modified(|phase| {
            phase.can_serve = true;
            let ready = phase.state == State::Starting;
            if ready {
                (phase.state, phase.since) = (State::Ready, Instant::now());
            }
            ready
        });
    }

    pub fn drain(&self) -> Result<(), AlreadyStopping> {
        self.turn(|_| State::Draining)
    }

    /// Back to what the node would be had it never been drained.
    pub fn resume(&self) -> Result<(), AlreadyStopping> {
        self.turn(|phase| if phase.can_serve { State::Ready } else { State::Starting })
    }

    /// The process ends by `times`; `relieved` where another one accepts at its address.
    pub fn stop(&self, relieved: bool, times: Stop) {
        // Stopping already is what was asked for.
        if self.turn(|_| State::Stopping).is_ok() {
            self.phase.send_modify(|phase| {
                let part_after = if relieved {
                    DRAIN_PARTS_AFTER.min(times.relieved_part_after())
                } else {
                    times.part_after
                };
                let ends = Some(phase.since + times.end_after);
                *phase = Phase { relieved, part_after, ends, ..*phase };
            });
        }
    }

    /// A call that changes nothing leaves the time of the last change as it is.
    fn turn(&self, to: impl FnOnce(&Phase) -> State) -> Result<(), AlreadyStopping> {
        let phase = self.phase();
        if phase.state == State::Stopping {
            return Err(AlreadyStopping);
        }
        let state = to(&phase);
        if state != phase.state {
            self.phase.send_replace(Phase { state, since: Instant::now(), ..phase });
        }
        Ok(())
    }
}

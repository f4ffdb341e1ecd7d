//! The one state that says whether this node wants clients. The front's `mn`, the operators' calls, signals and
//! accepting all read it here.

use std::rc::Rc;

use tokio::sync::watch;
use tokio::time::Instant;

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
}

impl Phase {
    /// Since when clients have been sent away, if they are.
    pub fn sent_away(&self) -> Option<Instant> {
        matches!(self.state, State::Draining | State::Stopping).then_some(self.since)
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
        let phase =
            Phase { state: State::Starting, since: Instant::now(), can_serve: false, relieved: false };
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
        self.turn(|_| State::Draining, false)
    }

    /// Back to what the node would be had it never been drained.
    pub fn resume(&self) -> Result<(), AlreadyStopping> {
        self.turn(|phase| if phase.can_serve { State::Ready } else { State::Starting }, false)
    }

    pub fn stop(&self, relieved: bool) {
        // Stopping already is what was asked for.
        let _ = self.turn(|_| State::Stopping, relieved);
    }

    /// A call that changes nothing leaves the time of the last change as it is.
    fn turn(&self, to: impl FnOnce(&Phase) -> State, relieved: bool) -> Result<(), AlreadyStopping> {
        let phase = self.phase();
        if phase.state == State::Stopping {
            return Err(AlreadyStopping);
        }
        let state = to(&phase);
        if state != phase.state {
            self.phase.send_replace(Phase { state, since: Instant::now(), relieved, ..phase });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drain_is_undone_wholly_and_repetitions_change_nothing() {
        let life = Lifecycle::new();
        assert_eq!(life.state(), State::Starting);
        life.drain().unwrap();
        let since = life.phase().since;
        life.drain().unwrap();
        assert_eq!((life.state(), life.phase().since), (State::Draining, since));
        assert_eq!(life.phase().sent_away(), Some(since));
        life.resume().unwrap();
        assert_eq!(life.state(), State::Starting, "nothing was known before the drain");
        life.drain().unwrap();
        life.can_serve();
        assert_eq!(life.state(), State::Draining, "a server that becomes known ends no drain");
        life.resume().unwrap();
        life.resume().unwrap();
        assert_eq!((life.state(), life.phase().sent_away()), (State::Ready, None));
    }

    #[test]
    fn a_stop_is_final() {
        let life = Lifecycle::new();
        life.can_serve();
        life.stop(false);
        let since = life.phase().since;
        life.stop(false);
        assert_eq!((life.drain(), life.resume()), (Err(AlreadyStopping), Err(AlreadyStopping)));
        life.can_serve();
        assert_eq!((life.state(), life.phase().since), (State::Stopping, since));
    }
}

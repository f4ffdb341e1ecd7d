//! The public entry point: it passes events to the state machine, returns its actions, and reports the sizes
//! of its tables.

use crate::balance::BalancerState;
use crate::interface::{Action, Event, Seconds, Settings, SettingsError, Sizes};

/// The load balancer of one node.
pub struct Balancer(pub(crate) BalancerState);

impl Balancer {
    /// Creates the balancer of a node that has just started. `seed` feeds jitter only, never the owners of
    /// keys.
    ///
    /// # Errors
    /// Returns the first setting that is invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Balancer(BalancerState::new(settings, seed)))
    }

    /// Remembers the locations of no more than `capacity` keys, for a host with little memory.
    pub fn limit_key_locations(&mut self, capacity: usize) {
        self.0.limit_key_locations(capacity);
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        self.0.handle(now, event);
        self.0.take_actions(actions);
    }

    /// How many servers are listed, and how many of them are unavailable (draining or ejected).
    pub fn member_counts(&self) -> (usize, usize) {
        self.0.members()
    }

    /// The size of each table.
    pub fn sizes(&self) -> Sizes {
        self.0.sizes()
    }
}

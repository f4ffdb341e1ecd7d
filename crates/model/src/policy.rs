//! What decides for a node: the decision module, or a baseline to compare it with.

use hallpin_decisions::{Action, Balancer, Event, Seconds, ServerId, Settings, SettingsError};

/// A box as it truly is, for a policy that may know.
#[derive(Clone, Debug)]
pub struct TrueBox {
    /// Its id on the list.
    pub server: ServerId,
    /// It runs, and can be reached from this node.
    pub up: bool,
    /// Work a second that it can do now, in seconds of a standard core.
    pub capacity: f64,
    /// Requests that it holds.
    pub held: usize,
    /// Requests that it can hold.
    pub room: usize,
    /// It keeps a good copy of the key in question.
    pub keeps: bool,
}

/// The planner as it truly is.
#[derive(Clone, Copy, Debug, Default)]
pub struct TruePlanner {
    /// It answers.
    pub up: bool,
    /// About when a call made now would be answered.
    pub answers_in: Seconds,
}

/// The world as it truly is.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    /// All boxes of the day, always in the same order.
    pub boxes: Vec<TrueBox>,
    /// The planner.
    pub planner: TruePlanner,
}

/// Decides for one node: events in, actions out, as [`Balancer`] does.
pub trait Policy: Send {
    /// Takes one event and adds what is to be done.
    fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>);

    /// Whether it is shown the world as it is before each request.
    fn is_omniscient(&self) -> bool {
        false
    }

    /// The world as it is, where it asked for that.
    fn see(&mut self, _truth: Truth) {}
}

impl Policy for Balancer {
    fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }
}

/// Makes the policy of a node that starts, from its settings and seed.
pub type Start<'a> = &'a dyn Fn(Settings, u64) -> Result<Box<dyn Policy>, SettingsError>;

/// The decision module itself.
///
/// # Errors
/// Where the settings make no sense.
pub fn module(settings: Settings, seed: u64) -> Result<Box<dyn Policy>, SettingsError> {
    Balancer::new(settings, seed).map(|balancer| Box::new(balancer) as Box<dyn Policy>)
}

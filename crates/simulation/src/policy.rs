//! Policies that make a node's decisions: the balancer, or a baseline to compare it with.

use hallpin_balancer::{
    Action, Balancer, Event, RequestId, Seconds, ServerId, Settings, SettingsError, Sizes,
};

/// True state of a box.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrueBox {
    /// Whether the box runs and can be reached from this node.
    pub up: bool,
    /// Requests that the box can serve concurrently when warm and not slowed down.
    pub slots: f64,
    /// Requests that the box can serve concurrently now: fewer while it is warming up or slow.
    pub current_slots: f64,
    /// Slots in use, plus those needed by requests that the box holds or that are in transit to it.
    pub demanded_slots: usize,
    /// Whether the box could call the planner for one more key now.
    pub can_fetch: bool,
}

/// True state of the planner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TruePlanner {
    /// Whether the planner answers.
    pub up: bool,
    /// Estimated time until a call made now would be answered.
    pub expected_wait: Seconds,
    /// Calls waiting and in progress, divided by the number that the planner works on concurrently.
    pub load: f64,
}

/// True state of the world, for policies that may see it. Boxes are addressed by their index in the run specification.
pub trait WorldView {
    /// Number of boxes in the run.
    fn boxes(&self) -> usize;

    /// Depot of the node that this view is for.
    fn depot(&self) -> usize;

    /// Index of a listed box.
    fn find(&self, server: &ServerId) -> Option<usize>;

    /// State of the box with this index.
    fn look(&self, at: usize) -> TrueBox;

    /// Whether a box has a current copy of the key of a request.
    fn keeps(&self, at: usize, request: RequestId) -> bool;

    /// Whether a request sent to a box would join a planner call already in flight for its key.
    fn fetches(&self, at: usize, request: RequestId) -> bool;

    /// State of the planner.
    fn planner(&self) -> TruePlanner;
}

/// An empty view, for running a policy without a simulated world.
#[derive(Clone, Copy, Debug, Default)]
pub struct EmptyWorldView;

impl WorldView for EmptyWorldView {
    fn boxes(&self) -> usize {
        0
    }

    fn depot(&self) -> usize {
        0
    }

    fn find(&self, _: &ServerId) -> Option<usize> {
        None
    }

    fn look(&self, _: usize) -> TrueBox {
        TrueBox { up: false, slots: 0.0, current_slots: 0.0, demanded_slots: 0, can_fetch: false }
    }

    fn keeps(&self, _: usize, _: RequestId) -> bool {
        false
    }

    fn fetches(&self, _: usize, _: RequestId) -> bool {
        false
    }

    fn planner(&self) -> TruePlanner {
        TruePlanner::default()
    }
}

/// Decision logic of one node: consumes events and returns actions, as [`Balancer`] does.
pub trait Policy: Send {
    /// Handles one event and appends the resulting actions. Only an omniscient policy uses `world`.
    fn handle(&mut self, now: Seconds, event: Event, world: &dyn WorldView, actions: &mut Vec<Action>);

    /// Sizes of the policy's state, for detecting unbounded growth; all zero if the policy does not count.
    fn sizes(&self) -> Sizes {
        Sizes::default()
    }
}

impl Policy for Balancer {
    fn handle(&mut self, now: Seconds, event: Event, _: &dyn WorldView, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }

    fn sizes(&self) -> Sizes {
        Balancer::sizes(self)
    }
}

/// Creates the policy of a starting node from its settings and seed.
pub type PolicyFactory<'a> = &'a dyn Fn(Settings, u64) -> Result<Box<dyn Policy>, SettingsError>;

/// Creates the balancer as a policy.
///
/// # Errors
/// If the settings are invalid.
pub fn balancer_policy(settings: Settings, seed: u64) -> Result<Box<dyn Policy>, SettingsError> {
    Balancer::new(settings, seed).map(|balancer| Box::new(balancer) as Box<dyn Policy>)
}

//! Textbook load-balancing policies behind the interface of the decision module, for comparison with it.
//!
//! All share one request lifecycle ([`Textbook`]): an attempt at the box that the policy picks, further
//! attempts at the next picks while the class allows a repeat, and ejection of a box for 5 s after three
//! failures in a row. They differ in how they pick ([`Pick`]). They have no notion of cold boxes or quotas,
//! and only the omniscient and the late-seeing policy take the planner's load into account. The omniscient
//! policy sees the current state of all boxes and the late-seeing one a past state, which no real node can.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod boxes;
mod late;
mod pick;
mod textbook;

use hallpin_balancer::{Settings, SettingsError};
use hallpin_simulation::policy::{balancer_policy, Policy};

pub use boxes::View;
pub use late::LateSeeing;
use late::SnapshotHistory;
use pick::SharedTables;
pub use pick::{BoundedLoad, LeastOfTwo, Maglev, Omniscient, Pick, Random, Rendezvous, RoutingRequest};
pub use textbook::Textbook;

/// Creates a node's policy from its settings and seed; an error if the settings are invalid.
pub type PolicyFactory = dyn Fn(Settings, u64) -> Result<Box<dyn Policy>, SettingsError>;

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The decision module.
    Module,
    /// A random box that is neither ejected nor tried before by the request.
    Random,
    /// Of two random boxes, the one with fewer requests of this node in flight per weight (power of two
    /// choices).
    LeastOfTwo,
    /// Rendezvous hashing (highest random weight).
    Rendezvous,
    /// Consistent hashing with bounded loads; overflow goes to the next box on the ring.
    BoundedLoad,
    /// Maglev's lookup table.
    Maglev,
    /// Sees the current state of all boxes.
    Omniscient,
    /// Sees the load of all boxes and of the planner as it was some time ago, and cache contents without
    /// delay.
    LateSeeing {
        /// Age of the state that it sees, in milliseconds.
        delay_ms: u32,
    },
}

/// Default delay of the late-seeing policy, in milliseconds.
pub const DEFAULT_LATE_SEEING_DELAY_MS: u32 = 200;

impl PolicyKind {
    /// All policies, the decision module first.
    pub const ALL: [PolicyKind; 8] = [
        PolicyKind::Module,
        PolicyKind::Random,
        PolicyKind::LeastOfTwo,
        PolicyKind::Rendezvous,
        PolicyKind::BoundedLoad,
        PolicyKind::Maglev,
        PolicyKind::Omniscient,
        PolicyKind::LateSeeing { delay_ms: DEFAULT_LATE_SEEING_DELAY_MS },
    ];

    /// Name of the policy on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Module => "module",
            PolicyKind::Random => "random",
            PolicyKind::LeastOfTwo => "least-of-two",
            PolicyKind::Rendezvous => "rendezvous",
            PolicyKind::BoundedLoad => "bounded-load",
            PolicyKind::Maglev => "maglev",
            PolicyKind::Omniscient => "omniscient",
            PolicyKind::LateSeeing { .. } => "late-seeing",
        }
    }

    /// Returns the factory for the policies of a run's nodes. Tables that are equal at several nodes are shared.
    pub fn factory(self) -> Box<PolicyFactory> {
        fn textbook<P: Pick + 'static>(pick: impl Fn() -> P + 'static) -> Box<PolicyFactory> {
            Box::new(move |settings, seed| Ok(Box::new(Textbook::new(pick(), settings, seed)?)))
        }
        match self {
            PolicyKind::Module => Box::new(balancer_policy),
            PolicyKind::Random => textbook(|| Random),
            PolicyKind::LeastOfTwo => textbook(|| LeastOfTwo),
            PolicyKind::Rendezvous => textbook(Rendezvous::default),
            PolicyKind::BoundedLoad => {
                let shared = SharedTables::default();
                textbook(move || BoundedLoad::new(shared.clone()))
            }
            PolicyKind::Maglev => {
                let shared = SharedTables::default();
                textbook(move || Maglev::new(shared.clone()))
            }
            PolicyKind::Omniscient => textbook(Omniscient::default),
            PolicyKind::LateSeeing { delay_ms } => {
                let history = SnapshotHistory::new(f64::from(delay_ms) / 1e3);
                textbook(move || LateSeeing::new(history.clone()))
            }
        }
    }
}

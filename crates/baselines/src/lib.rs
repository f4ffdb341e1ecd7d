//! Textbook load-balancing policies behind the interface of the decision module, for comparison with it.
//!
//! All share one request lifecycle ([`Textbook`]): an attempt at the box that the policy picks, further attempts at the
//! next picks while the class allows a repeat, and ejection of a box for a while after three failures in a row. They
//! differ in how they pick ([`Pick`]). They have no notion of cold boxes, quotas or an overloaded planner. The
//! omniscient policy sees the current state of all boxes and the late-seeing one a past state, which no real node can.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod boxes;
mod late;
mod pick;
mod textbook;

use hallpin_balancer::{Settings, SettingsError};
use hallpin_simulation::policy::{module, Policy};

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
pub enum Kind {
    /// The decision module.
    Module,
    /// A random box.
    Random,
    /// Of two random boxes, the one with fewer requests of this node in flight (power of two choices).
    LeastOfTwo,
    /// Rendezvous hashing (highest random weight).
    Rendezvous,
    /// Consistent hashing with bounded loads; overflow goes to the next box on the ring.
    BoundedLoad,
    /// Maglev's lookup table.
    Maglev,
    /// Sees the current state of all boxes.
    Omniscient,
    /// Sees the state of all boxes as it was some time ago.
    LateSeeing {
        /// Age of the state that it sees, in milliseconds.
        delay_ms: u32,
    },
}

/// Default delay of the late-seeing policy, in milliseconds.
pub const LATE_MS: u32 = 200;

impl Kind {
    /// All policies, the decision module first.
    pub const ALL: [Kind; 8] = [
        Kind::Module,
        Kind::Random,
        Kind::LeastOfTwo,
        Kind::Rendezvous,
        Kind::BoundedLoad,
        Kind::Maglev,
        Kind::Omniscient,
        Kind::LateSeeing { delay_ms: LATE_MS },
    ];

    /// Name of the policy on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Module => "module",
            Kind::Random => "random",
            Kind::LeastOfTwo => "least-of-two",
            Kind::Rendezvous => "rendezvous",
            Kind::BoundedLoad => "bounded-load",
            Kind::Maglev => "maglev",
            Kind::Omniscient => "omniscient",
            Kind::LateSeeing { .. } => "late-seeing",
        }
    }

    /// Returns the factory for the policies of a run's nodes. Tables that are equal at several nodes are shared.
    pub fn factory(self) -> Box<PolicyFactory> {
        fn textbook<P: Pick + 'static>(pick: impl Fn() -> P + 'static) -> Box<PolicyFactory> {
            Box::new(move |settings, seed| Ok(Box::new(Textbook::new(pick(), settings, seed)?)))
        }
        match self {
            Kind::Module => Box::new(module),
            Kind::Random => textbook(|| Random),
            Kind::LeastOfTwo => textbook(|| LeastOfTwo),
            Kind::Rendezvous => textbook(Rendezvous::default),
            Kind::BoundedLoad => {
                let shared = SharedTables::default();
                textbook(move || BoundedLoad::new(shared.clone()))
            }
            Kind::Maglev => {
                let shared = SharedTables::default();
                textbook(move || Maglev::new(shared.clone()))
            }
            Kind::Omniscient => textbook(Omniscient::default),
            Kind::LateSeeing { delay_ms } => {
                let history = SnapshotHistory::new(f64::from(delay_ms) / 1e3);
                textbook(move || LateSeeing::new(history.clone()))
            }
        }
    }
}

//! Textbook policies to compare the decision module with, behind the same interface.
//!
//! All share one life of a request ([`Textbook`]): an attempt at the box that the policy picks, others at the boxes it
//! picks next while the class allows a repeat, and a box left alone for a while after three failures in a row. They
//! differ in how they pick ([`Pick`]). None of them knows of cold boxes, of quotas or of a planner under strain; the
//! omniscient one sees the boxes as they are, which no real node can.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod pick;
mod textbook;

use hallpin_decisions::{Settings, SettingsError};
use hallpin_model::policy::{module, Policy};

pub use pick::{BoundedLoad, Candidate, LeastOfTwo, Maglev, Omniscient, Pick, Random, Rendezvous};
pub use textbook::Textbook;

/// Which policy decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The decision module.
    Module,
    /// Any box.
    Random,
    /// The one with fewer requests of this node in flight, of two drawn.
    LeastOfTwo,
    /// Highest random weight of key and box.
    Rendezvous,
    /// Consistent hashing with bounded loads, overflow to the next on the ring.
    BoundedLoad,
    /// Google's lookup table.
    Maglev,
    /// Sees the boxes as they are.
    Omniscient,
}

impl Kind {
    /// All of them, the decision module first.
    pub const ALL: [Kind; 7] = [
        Kind::Module,
        Kind::Random,
        Kind::LeastOfTwo,
        Kind::Rendezvous,
        Kind::BoundedLoad,
        Kind::Maglev,
        Kind::Omniscient,
    ];

    /// Its name on a command line.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Module => "module",
            Kind::Random => "random",
            Kind::LeastOfTwo => "least-of-two",
            Kind::Rendezvous => "rendezvous",
            Kind::BoundedLoad => "bounded-load",
            Kind::Maglev => "maglev",
            Kind::Omniscient => "omniscient",
        }
    }

    /// A node's policy of this kind.
    ///
    /// # Errors
    /// Where the settings make no sense.
    pub fn start(self, settings: Settings, seed: u64) -> Result<Box<dyn Policy>, SettingsError> {
        fn textbook<P: Pick + 'static>(
            pick: P,
            settings: Settings,
            seed: u64,
        ) -> Result<Box<dyn Policy>, SettingsError> {
            Ok(Box::new(Textbook::new(pick, settings, seed)?))
        }
        match self {
            Kind::Module => module(settings, seed),
            Kind::Random => textbook(Random, settings, seed),
            Kind::LeastOfTwo => textbook(LeastOfTwo, settings, seed),
            Kind::Rendezvous => textbook(Rendezvous, settings, seed),
            Kind::BoundedLoad => textbook(BoundedLoad::default(), settings, seed),
            Kind::Maglev => textbook(Maglev::default(), settings, seed),
            Kind::Omniscient => textbook(Omniscient, settings, seed),
        }
    }
}

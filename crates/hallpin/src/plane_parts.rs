//! The `--plane` option: which parts of the plane between nodes are on.

use clap::ValueEnum;
use hallpin_simulation::plane::Switch;

/// Value of `--plane`; each value includes the ones before it.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum PlaneParts {
    /// None
    Off,
    /// Membership, and gossip about boxes
    Peers,
    /// Membership, gossip and a placement table that all nodes agree on
    Table,
}

impl From<PlaneParts> for Switch {
    fn from(parts: PlaneParts) -> Self {
        match parts {
            PlaneParts::Off => Switch::Off,
            PlaneParts::Peers => Switch::Peers,
            PlaneParts::Table => Switch::Table,
        }
    }
}

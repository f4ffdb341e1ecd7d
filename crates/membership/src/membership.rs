//! Membership: SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey 2018).

pub(crate) mod awareness;
pub(crate) mod gossip;
mod merge;
#[cfg(test)]
mod model;
pub(crate) mod probe_round;
pub(crate) mod pull;
pub(crate) mod search;
pub(crate) mod suspicion;
pub(crate) mod table;

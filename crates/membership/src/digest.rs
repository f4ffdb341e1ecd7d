//! Observations of boxes: this node's own, and those reported by peers, which are merged into evidence.
//!
//! A report is accepted only from the node that made the observation, never relayed by another, so a node that lies
//! counts once.

pub(crate) mod own_facts;
pub(crate) mod peer_facts;

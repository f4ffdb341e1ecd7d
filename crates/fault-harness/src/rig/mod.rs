//! The harness: starts nodes, fakes and the links between them, injects faults, and reports the result.

mod build;
mod doing;
mod links;
mod play;
mod run;
mod waiting;

pub use build::{Options, Rig, RigError};
pub use play::play;
pub use run::block_on;

//! The harness: starts nodes, fakes and the links between them, injects faults, and reports the result.

mod build;
mod inject;
mod links;
mod play;
mod runtime;
mod wait;

pub use build::{Harness, HarnessError, Options};
pub use play::play;
pub use runtime::block_on;

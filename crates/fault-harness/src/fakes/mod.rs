//! Fakes of what nodes interact with: boxes, the planner behind them, service discovery and clients. They record what
//! they observe from outside the nodes.

mod cache_box;
mod client;
mod connection;
mod discovery;
mod load;
mod planner;

pub use cache_box::{CacheBox, ProcessGeneration};
pub use discovery::Discovery;
pub(crate) use load::max_request_duration;
pub use load::{LoadGenerator, NodeEndpoint};
pub use planner::Planner;

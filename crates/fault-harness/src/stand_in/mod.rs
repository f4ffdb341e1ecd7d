//! Fakes of what nodes interact with: boxes, the planner behind them, service discovery and clients. They record what
//! they observe from outside the nodes.

mod cache_box;
mod client;
mod connection;
mod list;
mod load;
mod planner;

pub use cache_box::{CacheBox, Life};
pub use list::List;
pub(crate) use load::longest;
pub use load::{Door, Load};
pub use planner::Planner;

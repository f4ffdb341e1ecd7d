//! Open-loop load generator, summary statistics, text tables and SVG charts.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod chart;
pub mod load;
pub mod statistics;
pub mod table;

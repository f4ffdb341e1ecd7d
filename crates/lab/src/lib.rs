//! Statistics, tables and charts of what was played.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod chart;
pub mod statistics;
pub mod table;

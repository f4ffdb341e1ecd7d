//! The fleet trial: seven full-size scenarios, each simulated over several seeds with the decision module and two
//! reference policies, and one verdict.
//!
//! [`day`] holds the scenarios, [`gate`] the acceptance criteria, [`play`] runs the simulations, by default
//! on all cores, and [`report`] prints the result. The criteria and their reasons are in
//! `docs/design/fleet-trial.md`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod day;
pub mod gate;
pub mod play;
pub mod report;

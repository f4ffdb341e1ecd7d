//! Tests of the invariant checker: for each rule, a trace that violates it by one event and the same trace without it.

mod departed_clients;
mod events;
mod faults;
mod notifications;
mod overload;
mod planned_restarts;
mod restarts;
mod rules;
mod wait_budget;

//! Settings of a node, which it is given at its start.

use super::classes::{Class, Tenant};
use super::identifiers::Seconds;
use super::settings_error::SettingsError;

/// How the endpoint list reaches the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Membership {
    #[default]
    /// The host sends updates unrequested.
    Pushed,
    /// Updates arrive only after [`Action::Subscribe`](crate::Action::Subscribe).
    OnRequest,
}

/// Where a key is fetched from that a cache server lacks.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum CacheMode {
    #[default]
    /// The cache server fetches the key from the origin and forwards writes to it (read-through,
    /// write-through).
    Through,
    /// The cache server answers [`Status::Absent`](crate::Status::Absent), and the node asks the origin,
    /// which is a listed endpoint of this kind.
    Aside {
        /// Machine kind of the origin.
        origin_kind: String,
    },
}

/// Meaning of [`EndpointEntry::weight`](crate::EndpointEntry::weight).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    #[default]
    /// The same for all servers.
    Off,
    /// The registered size.
    Nominal,
    /// An approximate size.
    Rough,
    /// Size divided by load; changes from list to list.
    Live,
}

/// Parameters of the rules that bind every node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Guarantees {
    /// Time after the client's deadline until which a final answer still counts.
    pub answer_grace: Seconds,
    /// Longest time without a subscription or a fetch of the endpoint list.
    pub poll_interval: Seconds,
    /// Least share of its capacity with which a server starts.
    pub initial_capacity_share: f64,
    /// Duration of the slow start, after which a server is warm.
    pub slow_start_duration: Seconds,
    /// Time within which sends to a draining server must end.
    pub drain_grace: Seconds,
    /// Load above which a server that has just started goes down if it lasts for `overload_window`, as a
    /// multiple of the server's present capacity.
    pub overload_multiple: f64,
    /// Time for which the load must stay above `overload_multiple` for the server to go down.
    pub overload_window: Seconds,
}

/// What the deployment allows; by default nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Whether [`Action::Cancel`](crate::Action::Cancel) is allowed.
    pub cancel: bool,
    /// Whether [`Action::HealthCheck`](crate::Action::HealthCheck) is allowed.
    pub health_checks: bool,
    /// Whether [`Action::Broadcast`](crate::Action::Broadcast) is allowed.
    pub peer_messages: bool,
    /// Whether a request may have two attempts in flight (hedging). The rules never require it.
    pub hedging: bool,
    /// Whether clients receive the `retry_after` of [`Action::Reject`](crate::Action::Reject).
    pub retry_after: bool,
    /// Longest `retry_after` that clients obey.
    pub max_retry_after: Seconds,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Time after which a connection that is not established fails.
    pub connect_timeout: Seconds,
}

/// Settings of a node. The default is invalid: it has no classes and no balancers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of nodes that share the servers, this one included.
    pub balancers: u32,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// How the endpoint list reaches the node.
    pub membership: Membership,
    /// Where a key is fetched from that a cache server lacks.
    pub cache: CacheMode,
    /// Meaning of the endpoints' weights.
    pub weights: WeightSource,
    /// Parameters of the rules.
    pub guarantees: Guarantees,
    /// What the deployment allows.
    pub limits: Limits,
    /// Least interval between two batches of events from the host.
    pub event_interval: Seconds,
}

impl Settings {
    /// Checks all values.
    ///
    /// # Errors
    /// Returns the first setting that is invalid.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.balancers == 0 {
            return Err(SettingsError::TooFew { what: "balancers", expected: "1", found: "0" });
        }
        if self.classes.is_empty() {
            return Err(SettingsError::TooFew { what: "classes", expected: "one", found: "none" });
        }
        let mut times = self.non_class_times();
        for class in &self.classes {
            if class.deadline == 0.0 || class.latency_objective == 0.0 {
                return Err(SettingsError::ClassWithoutTime { class: class.name.clone() });
            }
            times.extend([
                ("grades.hard-limit-s", class.deadline),
                ("grades.target-s", class.latency_objective),
                ("grades.key-ttl-s", class.deduplication_window),
            ]);
        }
        for (what, time) in times {
            if !time.is_finite() || time < 0.0 {
                return Err(SettingsError::InvalidDuration { what, found: time });
            }
        }
        let initial_share = self.guarantees.initial_capacity_share;
        if !(initial_share > 0.0 && initial_share <= 1.0) {
            return Err(SettingsError::InvalidShare { what: "guarantees.cold-from", found: initial_share });
        }
        Ok(())
    }

    /// All times that do not belong to a class, each with its name in error messages.
    fn non_class_times(&self) -> Vec<(&'static str, Seconds)> {
        let guarantees = &self.guarantees;
        vec![
            ("guarantees.grace-to-answer-s", guarantees.answer_grace),
            ("guarantees.ask-every-s", guarantees.poll_interval),
            ("guarantees.ramp-time-s", guarantees.slow_start_duration),
            ("guarantees.drain-grace-s", guarantees.drain_grace),
            ("guarantees.fall-s", guarantees.overload_window),
            ("round-s", self.event_interval),
            ("limits.max-retry-after-s", self.limits.max_retry_after),
            ("connect timeout", self.limits.connect_timeout),
        ]
    }
}

//! A scenario: its nodes, servers, traffic and parameters.

use hallpin_balancer::*;

use crate::common;

/// Time of the first start of the cold servers.
pub(crate) const FIRST_START: Seconds = 6.0;

/// Parameters of one simulated run.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub nodes: u32,
    pub servers: u64,
    /// Number of servers that restart at [`FIRST_START`].
    pub cold: u64,
    /// Time from the first restart to the last; the restarts are evenly spaced.
    pub starts_within: Seconds,
    /// Offered load as a share of the capacity of all servers when warm.
    pub load: f64,
    /// Work that a warm server does in a second.
    pub capacity: f64,
    /// Mean work of a request; sent as a hint where `hints` is set.
    pub work: Seconds,
    /// Whether requests carry a work hint.
    pub hints: bool,
    pub keys: usize,
    /// The popularity of the key of rank r is (r + offset)^-zipf.
    pub zipf: f64,
    pub offset: f64,
    /// Longest delay after which a node is notified of a start.
    pub notified_within: Seconds,
    /// Work that a new connection costs a server.
    pub connection_work: Seconds,
    /// Number of times that a client retries.
    pub retries: u32,
    /// Longest time before the servers' start at which each node itself restarts.
    pub node_restarts_within: Option<Seconds>,
    pub guarantees: Guarantees,
    pub length: Seconds,
}

impl Default for Scenario {
    fn default() -> Self {
        let guarantees = Guarantees {
            initial_capacity_share: 0.12,
            slow_start_duration: 20.0,
            overload_window: 3.0,
            ..common::settings().guarantees
        };
        Scenario {
            nodes: 5,
            servers: 12,
            cold: 1,
            starts_within: 0.0,
            load: 0.6,
            capacity: 2.0,
            work: 0.1,
            hints: true,
            keys: 20_000,
            zipf: 0.9,
            offset: 8.0,
            notified_within: 1.0,
            connection_work: 0.0,
            retries: 2,
            node_restarts_within: None,
            guarantees,
            length: FIRST_START + 8.0,
        }
    }
}

impl Scenario {
    pub(crate) fn settings(&self) -> Settings {
        let mut settings = common::settings();
        settings.balancers = self.nodes;
        settings.weights = WeightSource::Nominal;
        settings.guarantees = self.guarantees.clone();
        settings.limits.max_attempts = 3;
        settings.limits.retry_after = true;
        settings.limits.max_retry_after = 1.0;
        settings
    }

    /// Requests a second over all nodes.
    pub(crate) fn rate(&self) -> f64 {
        self.load * self.servers as f64 * self.capacity / self.work
    }

    /// Share of its capacity that a server has at this age.
    pub(crate) fn capacity_share(&self, age: Seconds) -> f64 {
        let guarantees = &self.guarantees;
        (guarantees.initial_capacity_share
            + (1.0 - guarantees.initial_capacity_share) * age / guarantees.slow_start_duration)
            .min(1.0)
    }

    /// Work that a server of this age sustains within the settings' window.
    pub(crate) fn sustainable_work(&self, age: Seconds) -> f64 {
        let guarantees = &self.guarantees;
        let allowed_requests = guarantees.overload_multiple
            * self.capacity
            * self.capacity_share(age)
            * guarantees.overload_window
            / self.work;
        (allowed_requests + 2.0 * allowed_requests.sqrt() + 2.0) * self.work
    }
}

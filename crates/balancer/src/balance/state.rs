//! The state of one balancer: its settings, its components, and the actions not yet taken by the host.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::demand::Demand;
use super::due_timers::DueTimers;
use super::endpoint_subscription::EndpointSubscription;
use super::hold_queues::HoldQueues;
use super::key_locations::KeyLocationCache;
use super::key_popularity::KeyPopularity;
use super::latency_estimate::LatencyEstimate;
use super::origin_load::OriginLoad;
use super::outlier_detection::OutlierDetection;
use super::request::Request;
use super::retry_budget::RetryBudget;
use super::servers::ServerTable;
use super::short_deadline_throttle::ShortDeadlineThrottle;
use super::tenant_quota::TenantQuotas;
use crate::interface::{Action, Class, DeduplicationScope, Effect, RequestId, Seconds, Settings, Sizes};

/// Random jitter that spreads waits and probes over the nodes; it never decides the owners of keys.
pub(super) struct Jitter(Pcg64Mcg);

impl Jitter {
    /// The next random number from 0 to 1.
    pub(super) fn next(&mut self) -> f64 {
        self.0.random()
    }
}

/// The complete state of a balancer. The other files of this folder decide; each component changes only by
/// its own methods.
pub(crate) struct BalancerState {
    pub(super) settings: Settings,
    /// The shortest latency objective of all classes.
    pub(super) tightest_objective: Seconds,
    pub(super) now: Seconds,
    pub(super) actions: Vec<Action>,
    pub(super) jitter: Jitter,
    pub(super) has_started: bool,
    pub(super) next_sweep_at: Seconds,
    pub(super) requests: BTreeMap<RequestId, Request>,
    pub(super) timers: DueTimers,
    pub(super) held: HoldQueues,
    pub(super) servers: ServerTable,
    pub(super) outliers: OutlierDetection,
    pub(super) latency: LatencyEstimate,
    pub(super) origin: OriginLoad,
    pub(super) key_locations: KeyLocationCache,
    pub(super) popularity: KeyPopularity,
    pub(super) short_deadline_throttle: ShortDeadlineThrottle,
    pub(super) demand: Demand,
    pub(super) retry_budget: RetryBudget,
    pub(super) tenant_quotas: TenantQuotas,
    pub(super) subscription: EndpointSubscription,
}

impl BalancerState {
    /// Remembers the locations of no more than `capacity` keys.
    pub(crate) fn limit_key_locations(&mut self, capacity: usize) {
        self.key_locations.limit(capacity);
    }

    pub(crate) fn new(mut settings: Settings, seed: u64) -> Self {
        add_unknown_class(&mut settings);
        let tightest_objective =
            settings.classes.iter().map(|class| class.latency_objective).fold(f64::MAX, f64::min);
        BalancerState {
            tightest_objective,
            now: 0.0,
            actions: Vec::new(),
            jitter: Jitter(Pcg64Mcg::seed_from_u64(seed)),
            has_started: false,
            next_sweep_at: 0.0,
            requests: BTreeMap::new(),
            timers: DueTimers::default(),
            held: HoldQueues::default(),
            servers: ServerTable::default(),
            outliers: OutlierDetection::default(),
            latency: LatencyEstimate::new(tightest_objective),
            origin: OriginLoad::new(),
            key_locations: KeyLocationCache::default(),
            popularity: KeyPopularity::default(),
            short_deadline_throttle: ShortDeadlineThrottle::new(),
            demand: Demand::default(),
            retry_budget: RetryBudget::new(),
            tenant_quotas: TenantQuotas::new(settings.tenants.len()),
            subscription: EndpointSubscription::default(),
            settings,
        }
    }

    /// Moves the pending actions to the end of this list.
    pub(crate) fn take_actions(&mut self, actions: &mut Vec<Action>) {
        actions.append(&mut self.actions);
    }

    /// How many servers are listed, and how many of them are unavailable (draining or ejected).
    pub(crate) fn members(&self) -> (usize, usize) {
        self.servers.members()
    }

    /// The size of each table.
    pub(crate) fn sizes(&self) -> Sizes {
        let (recent_requests, recent_keys) = self.popularity.sizes();
        let small_server_tables = self.servers.kind_count() + self.servers.placement_len();
        Sizes {
            requests: self.requests.len(),
            waiting: self.held.len(),
            servers: self.servers.len(),
            points: self.servers.point_count(),
            places: self.key_locations.len(),
            fetches: self.origin.len(),
            due: self.timers.len(),
            small: recent_requests + recent_keys + small_server_tables + self.outliers.ejected_count(),
        }
    }

    pub(super) fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[request.class]
    }
}

/// Adds a class for requests of an unknown class, with the most restrictive effect and the shortest deadline.
fn add_unknown_class(settings: &mut Settings) {
    let shortest = settings.classes.iter().min_by(|one, other| one.deadline.total_cmp(&other.deadline));
    if let Some(shortest) = shortest {
        let unknown = Class {
            effect: Effect::NonIdempotent,
            deduplication_scope: DeduplicationScope::Cell,
            deduplication_window: 0.0,
            ..shortest.clone()
        };
        settings.classes.push(unknown);
    }
}

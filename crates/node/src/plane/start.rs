//! Builds a node's plane and its state machines from the setup and the stored state.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

use hallpin_balancer::Settings;
use hallpin_control_plane::{DatagramFilter, Rate};
use hallpin_membership::names::{Moment, NodeIncarnation};
use hallpin_membership::Peers;
use hallpin_placement::{ConfigError, Placement, PlacementConfig};
use hallpin_quota::Budgets;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::warn;

use super::boxes::Boxes;
use super::evidence_timer::EvidenceTimer;
use super::machines::NodePlane;
use super::runtime::{PlaneRuntime, GATHER_INTERVAL};
use super::setup::Setup;
use super::socket::Addresses;
use super::state::{CachedState, RestoredState, StoredTable};
use super::weights::TableWeights;
use crate::config::{config_error, NodeConfigError};
use crate::log::LogThrottle;
use crate::message::Message;
use crate::metrics::Metrics;

/// Builds placement agreement. A stored table saves fetching it page by page; one that is not valid is ignored.
fn placement(config: PlacementConfig, cached: &CachedState, seed: u64) -> Result<Placement, NodeConfigError> {
    let new = |stored| Placement::new(config.clone(), stored, Moment::ZERO, seed);
    let begun = match new(cached.table.as_ref().map(|StoredTable(stored)| stored.clone())) {
        Err(ConfigError::Restored) => {
            warn!("set aside of what was stored: the table is invalid or belongs to another node");
            new(None)
        }
        begun => begun,
    };
    begun.map_err(config_error("fleet: table"))
}

/// Builds the plane with the state machines that the fleet file turns on.
fn plane(
    setup: &Setup,
    this: NodeIncarnation,
    cached: &CachedState,
    seed: u64,
) -> Result<NodePlane, NodeConfigError> {
    let now = Moment::ZERO;
    let peers = Peers::new(setup.peers_config(this), seed, now, &cached.view.0)
        .map_err(config_error("fleet: membership"))?;
    let placement = setup.placement_config(this).map(|config| placement(config, cached, seed)).transpose()?;
    let contracts = setup.contracts.as_ref().map(|(_, contracts)| contracts.clone());
    let budgets = setup.budgets_config(this).zip(contracts);
    let budgets = budgets.map(|(config, contracts)| Budgets::new(config, contracts, now, seed));
    let budgets = budgets.transpose().map_err(config_error("fleet: budgets"))?;
    let filter = DatagramFilter { realm: setup.file.realm_number(), this, configured: setup.configured() };
    let membership = &setup.file.membership;
    let rate = Rate { per_second: membership.datagrams_a_second, burst: membership.burst };
    Ok(NodePlane::new(filter, rate, now, peers, placement, budgets))
}

impl PlaneRuntime {
    /// Builds the plane of this node, which sends nothing until [`PlaneRuntime::run`] has bound its socket.
    ///
    /// # Errors
    /// Returns the section of the fleet file with invalid settings.
    pub fn new(
        setup: Setup,
        settings: &Settings,
        seed: u64,
        metrics: &Metrics,
        messages: UnboundedSender<Message>,
    ) -> Result<Rc<Self>, NodeConfigError> {
        let RestoredState { incarnation, quiet_period, cached, state } = setup.restore();
        let this = NodeIncarnation { node: setup.this, incarnation };
        let plane_runtime = Rc::new(PlaneRuntime {
            started: Instant::now(),
            listen: setup.listen,
            plane: RefCell::new(plane(&setup, this, &cached, seed)?),
            addresses: RefCell::new(Some(Addresses::new(setup.peers))),
            socket: OnceCell::new(),
            boxes: RefCell::new(Boxes::new(TableWeights::from_settings(settings))),
            gather_at: Cell::new(GATHER_INTERVAL),
            wake: Notify::new(),
            refusal_log: RefCell::default(),
            log_throttle: LogThrottle::default(),
            alive: Cell::new(1),
            evidence_timer: EvidenceTimer::default(),
            contracts: setup.contracts.map(|(path, _)| path),
            connections_per_box: setup.file.budgets.map(|budgets| budgets.connections_per_box),
            usage: RefCell::default(),
            next_expiry: Cell::new(None),
            close_cut_idle_connections: OnceCell::new(),
            quiet_period,
            state: RefCell::new(state),
            messages,
            lost_datagrams: Cell::new(0),
        });
        let weak_runtime = Rc::downgrade(&plane_runtime);
        metrics.add_extra(move |out| {
            if let Some(plane_runtime) = weak_runtime.upgrade() {
                plane_runtime.write_metrics(out);
                if let Some(state) = &*plane_runtime.state.borrow() {
                    state.write_metrics(out);
                }
            }
        });
        Ok(plane_runtime)
    }
}

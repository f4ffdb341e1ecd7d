//! Builds a node's plane and its state machines from the setup and the stored state.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

use hallpin_balancer::Settings;
use hallpin_control_plane::{Door, Rate};
use hallpin_membership::names::{Life, Moment};
use hallpin_membership::Peers;
use hallpin_placement::{Accord, AccordConfig, ConfigError};
use hallpin_quota::Budgets;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::warn;

use super::boxes::Boxes;
use super::evidence_timer::EvidenceTimer;
use super::fleet::{Fleet, GATHER_INTERVAL};
use super::machines::NodePlane;
use super::setup::Setup;
use super::socket::Addresses;
use super::state::{CachedState, RestoredState, StoredTable};
use super::weights::TableWeights;
use crate::config::{wrong, Wrong};
use crate::figures::Figures;
use crate::log::Throttle;
use crate::message::Message;

/// Builds placement agreement. A stored table saves fetching it page by page; one that is not valid is ignored.
fn accord(config: AccordConfig, cached: &CachedState, seed: u64) -> Result<Accord, Wrong> {
    let new = |stored| Accord::new(config.clone(), stored, Moment::ZERO, seed);
    let begun = match new(cached.table.as_ref().map(|StoredTable(stored)| stored.clone())) {
        Err(ConfigError::Restored) => {
            warn!("set aside of what was stored: the table is invalid or belongs to another node");
            new(None)
        }
        begun => begun,
    };
    begun.map_err(wrong("fleet: table"))
}

/// Builds the plane with the state machines that the fleet file turns on.
fn plane(setup: &Setup, this: Life, cached: &CachedState, seed: u64) -> Result<NodePlane, Wrong> {
    let now = Moment::ZERO;
    let peers = Peers::new(setup.peers_config(this), seed, now, &cached.view.0)
        .map_err(wrong("fleet: membership"))?;
    let accord = setup.accord_config(this).map(|config| accord(config, cached, seed)).transpose()?;
    let contracts = setup.contracts.as_ref().map(|(_, contracts)| contracts.clone());
    let budgets = setup.budgets_config(this).zip(contracts);
    let budgets = budgets.map(|(config, contracts)| Budgets::new(config, contracts, now, seed));
    let budgets = budgets.transpose().map_err(wrong("fleet: budgets"))?;
    let filter = Door { realm: setup.file.realm_number(), this, configured: setup.configured() };
    let membership = &setup.file.membership;
    let rate = Rate { a_second: membership.datagrams_a_second, burst: membership.burst };
    Ok(NodePlane::new(filter, rate, now, peers, accord, budgets))
}

impl Fleet {
    /// Builds the plane of this node, which sends nothing until [`Fleet::run`] has bound its socket.
    ///
    /// # Errors
    /// Returns the section of the fleet file with invalid settings.
    pub fn new(
        setup: Setup,
        settings: &Settings,
        seed: u64,
        figures: &Figures,
        messages: UnboundedSender<Message>,
    ) -> Result<Rc<Self>, Wrong> {
        let RestoredState { incarnation, quiet_period, cached, state } = setup.restore();
        let this = Life { node: setup.this, incarnation };
        let fleet = Rc::new(Fleet {
            started: Instant::now(),
            listen: setup.listen,
            plane: RefCell::new(plane(&setup, this, &cached, seed)?),
            addresses: RefCell::new(Some(Addresses::new(setup.peers))),
            socket: OnceCell::new(),
            boxes: RefCell::new(Boxes::new(TableWeights::from_settings(settings))),
            gather_at: Cell::new(GATHER_INTERVAL),
            wake: Notify::new(),
            refusal_log: RefCell::default(),
            log_throttle: Throttle::default(),
            alive: Cell::new(1),
            evidence_timer: EvidenceTimer::default(),
            contracts: setup.contracts.map(|(path, _)| path),
            connections_per_box: setup.file.budgets.map(|budgets| budgets.connections_per_box),
            usage: RefCell::default(),
            next_expiry: Cell::new(None),
            close_idle_cut: OnceCell::new(),
            quiet_period,
            state: RefCell::new(state),
            messages,
            lost_datagrams: Cell::new(0),
        });
        let shown = Rc::downgrade(&fleet);
        figures.also(move |out| {
            if let Some(fleet) = shown.upgrade() {
                fleet.write_metrics(out);
                if let Some(state) = &*fleet.state.borrow() {
                    state.write_metrics(out);
                }
            }
        });
        Ok(fleet)
    }
}

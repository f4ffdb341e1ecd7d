//! Reads and validates the configuration of the plane before the node starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use hallpin_control_plane::file::Membership;
use hallpin_control_plane::FleetFile;
use hallpin_membership::names::{NodeId, NodeIncarnation, ZoneId};
use hallpin_membership::{PeersConfig, Timing};
use hallpin_placement::PlacementConfig;
use hallpin_quota::{BudgetsConfig, Contracts};
use hallpin_store::Identity;
use serde_json::Value;

use super::state::{self, RestoredState, StateFile};
use crate::config::{config_error, Config, NodeConfigError};

/// Most nodes in a federation.
const MAX_NODES: usize = 1024;

/// The plane's configuration from the fleet file, the node's configuration and its settings.
#[derive(Clone, Debug)]
pub struct Setup {
    pub file: FleetFile,
    /// Path and contents of the contracts file, if budgets are on.
    pub contracts: Option<(PathBuf, Contracts)>,
    /// Path of the state file, if state is stored.
    pub state: Option<PathBuf>,
    /// Address that datagrams are received on.
    pub listen: SocketAddr,
    /// Address of each node, by its number.
    pub peers: Vec<SocketAddr>,
    /// This node's number.
    pub this: NodeId,
    /// This node's zone.
    pub zone: ZoneId,
    /// Number of zones.
    pub zones: u16,
}

impl Setup {
    /// Reads the fleet file and the configuration fields that the plane requires.
    pub fn read(path: &Path, config: &Config) -> Result<Self, NodeConfigError> {
        let text = std::fs::read_to_string(path).map_err(config_error(&path.display().to_string()))?;
        let file = FleetFile::parse(&text)
            .map_err(|error| NodeConfigError(format!("{}:{error}", path.display())))?;
        let resolve = |named: &PathBuf| path.parent().unwrap_or(Path::new("")).join(named);
        let contracts = file.budgets.as_ref().map(|budgets| resolve(&budgets.contracts));
        let contracts = contracts.map(|path| read_contracts(&path).map(|read| (path, read))).transpose()?;
        let listen = required_field(&config.peer_listen, "peer_listen", "an address")?;
        let peers: Vec<SocketAddr> = required_field(&config.peers, "peers", "a list of addresses")?;
        let count = u16::try_from(peers.len()).ok().filter(|n| (1..=MAX_NODES as u16).contains(n));
        let count =
            count.ok_or_else(|| NodeConfigError(format!("peers: 1 to {MAX_NODES} addresses expected")))?;
        let this = own_number(listen, &peers, &config.settings["me"])?;
        let state =
            file.state.as_ref().map(|state| resolve(&state.folder).join(format!("node-{}.state", this.0)));
        let (zone, zones) = own_zone(&config.settings)?;
        debug_assert!(this.0 < count);
        Ok(Setup { file, contracts, state, listen, peers, this, zone, zones })
    }

    /// Begins a new incarnation with the state that the last one stored.
    pub fn restore(&self) -> RestoredState {
        let identity = Identity { realm: self.file.realm_number(), node: self.this };
        match self.state.as_deref().zip(self.file.state.as_ref()) {
            Some((path, section)) => {
                state::begin(StateFile::new(path, identity, section.max_age.0), section.every.0)
            }
            None => state::begin_without_store(),
        }
    }

    /// Number of nodes; [`Setup::read`] limits it to `MAX_NODES`.
    pub fn configured(&self) -> u16 {
        self.peers.len() as u16
    }

    /// Settings of placement agreement, if on.
    pub fn placement_config(&self, this: NodeIncarnation) -> Option<PlacementConfig> {
        let (configured, drift_ppm) = (self.configured(), self.file.drift_ppm);
        let with =
            |lease| PlacementConfig::with_lease(this, self.zone, self.zones, configured, lease, drift_ppm);
        self.file.table.as_ref().map(|table| with(table.lease.0))
    }

    /// Settings of budgets, if on.
    pub fn budgets_config(&self, this: NodeIncarnation) -> Option<BudgetsConfig> {
        let with = |lease| BudgetsConfig {
            drift_ppm: self.file.drift_ppm,
            ..BudgetsConfig::new(this, self.configured(), lease)
        };
        self.file.budgets.as_ref().map(|budgets| with(budgets.lease.0))
    }

    /// Settings of membership.
    pub fn peers_config(&self, this: NodeIncarnation) -> PeersConfig {
        let Membership { probe_every, probe_timeout, suspicion_min, suspicion_max, recent, .. } =
            self.file.membership;
        let mut config = PeersConfig::new(this, self.zone, self.configured());
        config.timing = Timing {
            probe_every: probe_every.0,
            probe_timeout: probe_timeout.0,
            suspicion_min: suspicion_min.0,
            suspicion_max: suspicion_max.0,
            heard_within: probe_every.0 + suspicion_max.0,
            recent: recent.0,
            ..Timing::default()
        };
        config
    }
}

/// Reads a contracts file.
pub fn read_contracts(path: &Path) -> Result<Contracts, NodeConfigError> {
    let text = std::fs::read_to_string(path).map_err(config_error(&path.display().to_string()))?;
    Contracts::parse(&text).map_err(|error| NodeConfigError(format!("{}:{error}", path.display())))
}

fn required_field<T: serde::de::DeserializeOwned>(
    from: &Value,
    name: &str,
    expected: &str,
) -> Result<T, NodeConfigError> {
    let config_error = |error| NodeConfigError(format!("{name}: {expected} expected with --fleet: {error}"));
    T::deserialize(from).map_err(config_error)
}

/// This node's number: the position of its address among the peers, or else `me` of the settings.
fn own_number(listen: SocketAddr, peers: &[SocketAddr], me: &Value) -> Result<NodeId, NodeConfigError> {
    let by_address = peers.iter().position(|peer| *peer == listen);
    let by_settings = || me.as_u64().and_then(|me| usize::try_from(me).ok()).filter(|me| *me < peers.len());
    let number = by_address.or_else(by_settings).and_then(|at| u16::try_from(at).ok()).map(NodeId);
    number.ok_or_else(|| {
        NodeConfigError("peers: peer_listen among them expected, or settings.me below their number".into())
    })
}

/// The position of the node's zone among the areas, and their number; one zone where the settings name no areas.
fn own_zone(settings: &Value) -> Result<(ZoneId, u16), NodeConfigError> {
    let Some(areas) = settings["areas"].as_array().filter(|areas| !areas.is_empty()) else {
        return Ok((ZoneId(0), 1));
    };
    let zones = u16::try_from(areas.len()).map_err(config_error("settings.areas"))?;
    let position = areas.iter().position(|area| *area == settings["locality"]);
    let position = position.and_then(|at| u16::try_from(at).ok()).map(ZoneId);
    position
        .map(|zone| (zone, zones))
        .ok_or_else(|| NodeConfigError("settings.locality: one of the areas expected".into()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn own_number_is_the_position_of_the_own_address_or_else_from_the_settings() {
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let peers = [at(1), at(2), at(3)];
        for (listen, me, number) in [
            (at(2), json!(null), Some(1)),
            (at(2), json!(0), Some(1)),
            (at(9), json!(2), Some(2)),
            (at(9), json!(3), None),
            (at(9), json!(-1), None),
            (at(9), json!(null), None),
        ] {
            assert_eq!(own_number(listen, &peers, &me).ok(), number.map(NodeId), "{listen} {me}");
        }
    }

    #[test]
    fn the_zone_is_its_position_among_the_areas() {
        for (settings, zone) in [
            (json!({}), Some((ZoneId(0), 1))),
            (json!({"areas": ["a", "b"], "locality": "b"}), Some((ZoneId(1), 2))),
            (json!({"areas": ["a", "b"], "locality": "c"}), None),
            (json!({"areas": ["a", "b"]}), None),
        ] {
            assert_eq!(own_zone(&settings).ok(), zone, "{settings}");
        }
    }
}

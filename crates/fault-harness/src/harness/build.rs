//! Builds the harness: reserves addresses, starts links and fakes, and starts each node's first process.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hallpin_emulator::loopback;
use hallpin_emulator::process::Program;
use hallpin_simulation::list::Phase;

use super::links::{link_boxes, link_discovery};
use super::runtime::{raise_file_limit, record_scheduling_delay};
use super::wait::TriggerOrigins;
use crate::fakes::{CacheBox, Discovery, LoadGenerator, NodeEndpoint, Planner};
use crate::process::{self, ControlPlaneFiles, Host, HostError, NodeAddresses};
use crate::relay::{DatagramMesh, Network, RelaySocketError};
use crate::spec::Spec;
use crate::trace::{Recorder, WaitTimeout};

/// A node that is not ready within this time fails the run.
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Last octet of the boxes' address within the harness's /24 network, where nodes use 1 to 90.
const BOXES_OCTET: u8 = 250;
/// Last octet of the discovery agents' address.
const AGENTS_OCTET: u8 = 251;

/// Options for building a harness.
#[derive(Clone, Debug)]
pub struct Options {
    /// The node program to run.
    pub program: Program,
    /// Folder for the nodes' configurations, logs and state.
    pub folder: PathBuf,
}

/// Why a run did not finish.
#[derive(Debug, thiserror::Error)]
pub enum HarnessError {
    /// A socket or a file could not be opened or used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The sockets between the nodes could not be opened.
    #[error(transparent)]
    DatagramMesh(#[from] RelaySocketError),
    /// A node's process could not be started.
    #[error(transparent)]
    Host(#[from] HostError),
    /// A node's process ended by itself before it was ready.
    #[error("node n{node} ended before it was ready; its log is {log}", log = .log.display())]
    NodeEnded {
        /// Index of the node.
        node: usize,
        /// Path of the node's log.
        log: PathBuf,
    },
    /// An expected event did not happen in time.
    #[error(transparent)]
    Timeout(#[from] WaitTimeout),
    /// Processes still run although they were killed and waited for.
    #[error("processes still run after SIGKILL: {0:?}")]
    ProcessesLeft(Vec<i32>),
    /// More events happened than the trace holds.
    #[error("the trace is full: {0} further records were dropped")]
    TraceOverflow(u64),
}

/// Several real nodes with the fakes and links around them.
pub struct Harness {
    pub(super) spec: Rc<Spec>,
    pub(super) recorder: Rc<Recorder>,
    pub(super) network: Rc<Network>,
    pub(super) mesh: Rc<DatagramMesh>,
    pub(super) boxes: Vec<Rc<CacheBox>>,
    pub(super) discovery: Rc<Discovery>,
    pub(super) hosts: Vec<Rc<Host>>,
    pub(super) load: Rc<LoadGenerator>,
    pub(super) folder: PathBuf,
    pub(super) origins: TriggerOrigins,
}

/// A /24 network of the loopback range that other harnesses are unlikely to use, as a function of the last octet: `1`
/// to `90` for nodes, `250` and `251` for the fakes.
fn loopback_network() -> impl Fn(u8) -> Ipv4Addr {
    static INSTANCES: AtomicU32 = AtomicU32::new(0);
    let network = std::process::id().wrapping_mul(37).wrapping_add(INSTANCES.fetch_add(1, Ordering::Relaxed));
    let [.., high, low] = (network % (60 << 8)).to_be_bytes();
    move |octet| Ipv4Addr::new(127, 64 + high, low, octet)
}

fn node_octet(node: usize) -> u8 {
    u8::try_from(node + 1).unwrap_or(u8::MAX)
}

impl Harness {
    /// Builds the harness and starts the nodes. They accept clients when this returns.
    ///
    /// # Errors
    /// Fails if a socket, a file or a process is not available, or if a node does not become ready.
    pub async fn start(spec: Spec, options: &Options) -> Result<Self, HarnessError> {
        let (spec, recorder, network_address) = (Rc::new(spec), Recorder::new(), loopback_network());
        raise_file_limit();
        tokio::task::spawn_local(record_scheduling_delay(recorder.clone()));
        let network = Rc::new(Network::new(spec.seed));
        let nodes = usize::from(spec.nodes.count);
        let node_ips: Vec<Ipv4Addr> = (0..nodes).map(|node| network_address(node_octet(node))).collect();
        let mesh = Rc::new(DatagramMesh::bind(&node_ips).await?);
        mesh.run(&network, &recorder);

        let boxes = start_boxes(&spec, &recorder, network_address(BOXES_OCTET))?;
        let mut box_addresses = vec![Vec::new(); nodes];
        for (node, ip) in node_ips.iter().enumerate() {
            box_addresses[node] = link_boxes(&spec, &recorder, &network, &boxes, node, *ip)?;
        }
        let discovery = Discovery::new(spec.clone(), box_addresses, recorder.clone());
        for (cache_box, _) in boxes.iter().zip(spec.each_box()).filter(|(_, group)| !group.late) {
            cache_box.start(true);
            discovery.set(cache_box.at, Phase::Ready, None);
        }
        let mut all_addresses = Vec::new();
        for (node, ip) in node_ips.iter().enumerate() {
            let agent_address =
                link_discovery(&discovery, &recorder, &network, node, *ip, network_address(AGENTS_OCTET))
                    .await?;
            all_addresses.push(node_addresses(&mesh, node, *ip, agent_address, &options.folder)?);
        }
        let endpoints: Rc<Vec<NodeEndpoint>> =
            Rc::new(all_addresses.iter().map(|node| NodeEndpoint::new(node.listen)).collect());
        let host = |(addresses, endpoint): (NodeAddresses, &NodeEndpoint)| {
            Host::new(
                addresses,
                options.program.clone(),
                endpoint.accepts_connections.clone(),
                recorder.clone(),
            )
        };
        let hosts = all_addresses.into_iter().zip(endpoints.iter()).map(host).collect();
        let load = LoadGenerator::new(spec.clone(), endpoints.clone(), recorder.clone());
        let folder = options.folder.clone();
        let harness = Harness {
            spec,
            recorder,
            network,
            mesh,
            boxes,
            discovery,
            hosts,
            load,
            folder,
            origins: TriggerOrigins::new(),
        };
        let first: Vec<usize> = (0..nodes.saturating_sub(usize::from(harness.spec.nodes.late))).collect();
        harness.start_nodes(&first)?;
        harness.wait_ready(&first, READY_TIMEOUT).await?;
        Ok(harness)
    }

    /// Starts a new process for each of these nodes.
    pub(super) fn start_nodes(&self, nodes: &[usize]) -> Result<(), HarnessError> {
        for host in nodes.iter().map(|node| &self.hosts[*node]) {
            let node = host.addresses.node;
            let known = self.discovery.initial_list(node);
            let config = process::config(&self.spec, &host.addresses, host.next_generation(), known);
            let fleet = self.spec.nodes.fleet.as_ref().map(|text| {
                text.replace("{state}", &host.state().display().to_string())
                    .replace("{node}", &node.to_string())
                    .replace("{nodes}", &self.spec.nodes.count.to_string())
            });
            let plane = ControlPlaneFiles { fleet, contracts: self.spec.nodes.contracts.clone() };
            host.start(&config, &plane)?;
        }
        Ok(())
    }
}

fn start_boxes(spec: &Rc<Spec>, recorder: &Rc<Recorder>, at: Ipv4Addr) -> io::Result<Vec<Rc<CacheBox>>> {
    let box_hosts = spec.box_hosts();
    let addresses = loopback::reserve_ports(at, box_hosts.len())?;
    let planner = Planner::new(&spec.planner, box_hosts.len(), recorder.clone());
    let tenants: Vec<String> = spec.tenants.iter().map(|tenant| tenant.name.clone()).collect();
    let one = |(number, (group, host)): (usize, (&crate::spec::Boxes, &usize))| {
        let (planner, recorder) = (planner.clone(), recorder.clone());
        CacheBox::new(number, group.clone(), addresses[*host], tenants.clone(), planner, recorder)
    };
    let boxes: Vec<_> = spec.each_box().zip(&box_hosts).enumerate().map(one).collect();
    for cache_box in &boxes {
        tokio::task::spawn_local(cache_box.clone().run());
    }
    Ok(boxes)
}

fn node_addresses(
    mesh: &DatagramMesh,
    node: usize,
    ip: Ipv4Addr,
    discovery: SocketAddr,
    folder: &Path,
) -> io::Result<NodeAddresses> {
    let folder = folder.join(format!("n{node}"));
    std::fs::create_dir_all(&folder)?;
    let reserved = loopback::reserve_ports(ip, 2)?;
    let (listen, operator) = (reserved[0], reserved[1]);
    Ok(NodeAddresses {
        node,
        listen,
        operator,
        discovery,
        peer_listen: mesh.listen(node),
        peers: mesh.peers(node)?,
        folder,
    })
}

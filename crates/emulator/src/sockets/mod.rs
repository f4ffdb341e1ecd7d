//! Scenario runs on loopback sockets: fake boxes, planner, endpoint list and clients around real node processes.
//!
//! The fakes drive the simulation's own components by the real clock, on one thread, and record the same trace for the
//! same invariant checker as in virtual time. Events inside a node are observed from outside: a send when a box has
//! received the complete command, a final answer when the client has read it.

pub mod agent;
mod box_server;
mod clients;
mod discovery;
mod environment;
mod error;
pub mod loopback;
mod node;
pub mod process;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use hallpin_baselines::PolicyKind;
use hallpin_simulation::history::{with_leeway, Header};
use hallpin_simulation::invariants::InvariantChecker;
use hallpin_simulation::plane::Tally;
use hallpin_simulation::policy;
use hallpin_simulation::run_spec::RunSpec;
use hallpin_simulation::scenario::Scenario;
use hallpin_simulation::time::{Span, Time};
use hallpin_simulation::trace::Event;
use hallpin_simulation::world::World;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::sleep_until;

use crate::footprint::ObservedNode;
use crate::trace_file::TraceFile;
use crate::virtual_time::RunResult;
use environment::{Environment, SharedEnvironment};
pub use error::SocketsError;
use node::NodeSpec;
use process::Program;

/// Leeway on sockets: every time limit of the invariants is this much longer than in virtual time.
const RULE_LEEWAY: Span = Span::from_millis(50);
/// Time for which a run continues after the scenario's length plus the longest request deadline.
const RUN_TAIL: Span = Span::from_millis(1000);

/// Options of a scenario run on sockets.
pub struct SocketsOptions<'a> {
    /// The node's executable, and its arguments before `--config FILE`.
    pub program: (PathBuf, Vec<String>),
    /// Folder for the nodes' configurations and logs.
    pub folder: &'a Path,
    /// Path of the trace file, if one is written.
    pub trace: Option<&'a Path>,
    /// Called about every 200 ms with the current time of the run.
    pub progress: &'a dyn Fn(Time),
    /// Ends the run early when true; the result covers the events until then.
    pub stop: tokio::sync::watch::Receiver<bool>,
}

/// Runs the scenario once on loopback sockets. All processes that it starts have ended when it returns.
///
/// # Errors
/// If the scenario is invalid, a file cannot be written, a socket cannot be created, or a node cannot be
/// started or ends unexpectedly.
pub fn run_on_sockets(
    scenario: &Scenario,
    seed: u64,
    options: SocketsOptions,
) -> Result<RunResult, SocketsError> {
    let run_spec = scenario.draw(seed)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let header = Header::new(scenario, seed, RULE_LEEWAY);
    let played = local.block_on(&runtime, play(Rc::new(run_spec), &header, options));
    // The tasks own the node processes, which are killed when the tasks are dropped.
    drop(local);
    played
}

async fn play(
    run_spec: Rc<RunSpec>,
    header: &Header,
    options: SocketsOptions<'_>,
) -> Result<RunResult, SocketsError> {
    let ignore = |_: Time, _: &Event| {};
    let parts = World::new(&run_spec, &policy::balancer_policy, ignore)?.into_parts();
    let lenient_day = with_leeway(&run_spec, header.leeway);
    let environment = Environment::new(
        run_spec.clone(),
        parts,
        InvariantChecker::new(&lenient_day),
        allocate_addresses(&run_spec)?,
    );
    let environment: SharedEnvironment = Rc::new(RefCell::new(environment));
    if let Some(path) = options.trace {
        let file = TraceFile::create(path, header).map_err(|error| SocketsError::File(path.into(), error))?;
        environment.borrow_mut().trace = Some(file);
    }
    for box_id in 0..run_spec.boxes.len() {
        for depot in 0..run_spec.depots.len() {
            tokio::task::spawn_local(box_server::run(environment.clone(), box_id, depot));
        }
    }
    tokio::task::spawn_local(run_events(environment.clone()));
    let mut running = NodeTasks::new();
    let played = run_scenario(&environment, &options, &mut running).await;
    running.shutdown().await;
    process::reap(&environment.borrow().node_processes);
    let took = played?;
    let mut environment = environment.borrow_mut();
    environment.record(Event::RunEnded);
    if let (Some(file), Some(path)) = (environment.trace.take(), options.trace) {
        file.finish().map_err(|error| SocketsError::File(path.into(), error))?;
    }
    let checker = std::mem::replace(&mut environment.checker, InvariantChecker::new(&lenient_day));
    Ok(RunResult {
        policy: PolicyKind::Module,
        seed: run_spec.seed,
        verdict: checker.verdict(),
        events: environment.events,
        tally: Tally::default(),
        footprints: environment.observed.iter().map(ObservedNode::footprint).collect(),
        sizes: Vec::new(),
        wall_time: took,
    })
}

/// Starts the nodes and waits until the run is over or stopped; returns its wall-clock duration.
async fn run_scenario(
    environment: &SharedEnvironment,
    options: &SocketsOptions<'_>,
    running: &mut NodeTasks,
) -> Result<Duration, SocketsError> {
    let nodes = start_nodes(environment, options, running).await?;
    environment.borrow_mut().begin();
    let pools = Rc::new((0..nodes.len()).map(|_| RefCell::default()).collect());
    let began = std::time::Instant::now();
    tokio::task::spawn_local(clients::run(environment.clone(), Rc::new(nodes), pools));
    let mut stop = options.stop.clone();
    let end = {
        let run_spec = &environment.borrow().run_spec;
        Time::ZERO + run_spec.length + run_spec.longest_deadline() + RUN_TAIL
    };
    loop {
        let (now, tick) = (
            environment.borrow().now(),
            environment.borrow().instant(environment.borrow().now() + Span::from_millis(200)),
        );
        (options.progress)(now);
        environment.borrow_mut().observed.iter_mut().for_each(ObservedNode::sample);
        if now >= end {
            break;
        }
        tokio::select! {
            () = sleep_until(tick) => {}
            ended = running.join_next() => if let Some(Ok(Err(error))) = ended {
                return Err(error);
            },
            _ = stop.wait_for(|stop| *stop) => break,
        }
    }
    Ok(began.elapsed())
}

/// Allocates for each box one socket address per depot, so that depots can be partitioned. Boxes with the same address
/// in the scenario share their addresses, so that one box can replace another.
fn allocate_addresses(run_spec: &RunSpec) -> io::Result<Vec<Vec<SocketAddr>>> {
    let mut by_number: BTreeMap<u32, Vec<SocketAddr>> = BTreeMap::new();
    let mut all = Vec::new();
    for spec in &run_spec.boxes {
        let addresses = match by_number.get(&spec.address) {
            Some(addresses) => addresses.clone(),
            None => {
                let [high, low] = (spec.address as u16).to_be_bytes();
                let addresses =
                    loopback::reserve_ports(Ipv4Addr::new(127, 77, high, low), run_spec.depots.len())?;
                by_number.insert(spec.address, addresses.clone());
                addresses
            }
        };
        all.push(addresses);
    }
    Ok(all)
}

/// Tasks that run the nodes' processes.
type NodeTasks = tokio::task::JoinSet<Result<(), SocketsError>>;

/// Starts an agent and a node process for each node and waits until all nodes are ready; returns their addresses.
async fn start_nodes(
    environment: &SharedEnvironment,
    options: &SocketsOptions<'_>,
    running: &mut NodeTasks,
) -> Result<Vec<SocketAddr>, SocketsError> {
    let count = environment.borrow().run_spec.nodes.len();
    let (mut addresses, mut ups) = (Vec::new(), Vec::new());
    for node in 0..count {
        let agent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let [high, low] = (node as u16).to_be_bytes();
        let spec = NodeSpec {
            node,
            program: Program { path: options.program.0.clone(), arguments: options.program.1.clone() },
            folder: options.folder.into(),
            listen: loopback::reserve_ports(Ipv4Addr::new(127, 78, high, low), 1)?[0],
            discovery: agent.local_addr()?,
        };
        tokio::task::spawn_local(discovery::run(environment.clone(), node, agent));
        addresses.push(spec.listen);
        let (up, is_up) = oneshot::channel();
        running.spawn_local(spec.run(environment.clone(), up));
        ups.push(is_up);
    }
    for up in ups {
        // A node that cannot be started drops the sender; its task returns the reason.
        if up.await.is_err() {
            let reason = running.join_next().await;
            return Err(match reason {
                Some(Ok(Err(error))) => error,
                _ => SocketsError::Node(0, "ended at its start".into()),
            });
        }
    }
    Ok(addresses)
}

/// Processes scheduled events when they are due.
async fn run_events(environment: SharedEnvironment) {
    let earlier_event_scheduled = environment.borrow().earlier_event_scheduled.clone();
    loop {
        environment.borrow_mut().process_due_events();
        let next = environment.borrow().next_event_time();
        let until = next.map(|at| environment.borrow().instant(at));
        let wait = async {
            match until {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = wait => {}
            () = earlier_event_scheduled.notified() => {}
        }
    }
}

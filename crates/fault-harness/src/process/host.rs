//! A node's host: runs at most one process at a time, each at the same address.

use std::cell::{Cell, RefCell};
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use hallpin_emulator::process::{is_ready, Program, Running};
use rustix::process::{Pid, Signal};
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::trace::{End, Event, Recorder};

/// Interval between readiness checks of a node.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of a readiness check, which is then repeated: a paused process does not answer.
const READY_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// How long after SIGTERM clients still open connections to the node, as a load balancer in front learns of the stop
/// with a delay.
const ROUTING_DELAY: Duration = Duration::from_millis(300);

/// A node's addresses, and the addresses at which it reaches others.
#[derive(Clone, Debug)]
pub struct NodeAddresses {
    /// Index of the node.
    pub node: usize,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Listen address for operators.
    pub operator: SocketAddr,
    /// Address at which the node reaches its discovery agent.
    pub discovery: SocketAddr,
    /// Listen address for datagrams of peers.
    pub peer_listen: SocketAddr,
    /// Address at which the node reaches each node, itself included.
    pub peers: Vec<SocketAddr>,
    /// Folder of the node's configuration, log and state.
    pub folder: PathBuf,
}

/// The texts of the operator files that turn on the control plane between nodes.
#[derive(Clone, Debug, Default)]
pub struct ControlPlaneFiles {
    /// The file that the node is started with; without it the control plane is off.
    pub fleet: Option<String>,
    /// The contracts file in the same folder, which sets the tenants' shares.
    pub contracts: Option<String>,
}

/// A process could not be started.
#[derive(Debug, thiserror::Error)]
#[error("cannot start the process of node n{node}: {error}")]
pub struct HostError {
    /// Index of the node.
    pub node: usize,
    /// The cause.
    #[source]
    pub error: io::Error,
}

/// Starts, signals and supervises the processes of one node, one at a time, and records how each ends.
pub struct Host {
    /// The node's addresses and folder.
    pub addresses: NodeAddresses,
    program: Program,
    recorder: Rc<Recorder>,
    accepts_connections: watch::Sender<bool>,
    generation: Cell<u32>,
    /// The running process, from its start until it has been waited for.
    pid: watch::Sender<Option<Pid>>,
    pids: RefCell<Vec<Pid>>,
    /// How the process was asked to end, if it was.
    requested_end: Cell<Option<End>>,
}

impl Host {
    /// A host without a process. `accepts_connections` tells clients whether they may open new connections to the node.
    pub fn new(
        addresses: NodeAddresses,
        program: Program,
        accepts_connections: watch::Sender<bool>,
        recorder: Rc<Recorder>,
    ) -> Rc<Self> {
        let pid = watch::Sender::new(None);
        let (generation, pids, requested_end) = (Cell::new(0), RefCell::default(), Cell::new(None));
        Rc::new(Host {
            addresses,
            program,
            recorder,
            accepts_connections,
            generation,
            pid,
            pids,
            requested_end,
        })
    }

    /// Generation number of the next process, from 1.
    pub fn next_generation(&self) -> u32 {
        self.generation.get() + 1
    }

    /// Whether a process runs.
    pub fn is_running(&self) -> bool {
        self.pid.borrow().is_some()
    }

    /// All processes that were ever started on this host.
    pub fn pids(&self) -> Vec<Pid> {
        self.pids.borrow().clone()
    }

    /// The node's state folder.
    pub fn state(&self) -> PathBuf {
        self.addresses.folder.join("state")
    }

    /// The file that the node's processes log to.
    pub fn log(&self) -> PathBuf {
        self.addresses.folder.join("log")
    }

    /// Whether the last process ended without having been asked to.
    pub fn ended_unexpectedly(&self) -> bool {
        !self.is_running() && self.generation.get() > 0 && self.requested_end.get().is_none()
    }

    /// Starts a process, and supervises it until it has ended.
    ///
    /// # Errors
    /// Fails if one is already running, or if it cannot be started.
    pub fn start(self: &Rc<Self>, config: &Value, plane: &ControlPlaneFiles) -> Result<(), HostError> {
        let node = self.addresses.node;
        let running = self.spawn(config, plane).map_err(|error| HostError { node, error })?;
        let (life, pid) = (self.next_generation(), running.pid);
        self.generation.set(life);
        self.requested_end.set(None);
        self.pids.borrow_mut().push(pid);
        self.pid.send_replace(Some(pid));
        self.recorder.record(Event::NodeStarted { node, life, pid: pid.as_raw_nonzero().get() });
        tokio::task::spawn_local(self.clone().supervise(running, life));
        Ok(())
    }

    fn spawn(&self, config: &Value, plane: &ControlPlaneFiles) -> io::Result<Running> {
        if self.is_running() {
            return Err(io::Error::other("it is already running"));
        }
        let NodeAddresses { folder, .. } = &self.addresses;
        std::fs::create_dir_all(self.state())?;
        let (path, log) = (folder.join("config.json"), self.log());
        std::fs::write(&path, config.to_string())?;
        let mut arguments: Vec<OsString> = Vec::new();
        if let Some(text) = &plane.contracts {
            std::fs::write(folder.join("contracts.toml"), text)?;
        }
        if let Some(text) = &plane.fleet {
            let file = folder.join("fleet.toml");
            std::fs::write(&file, text)?;
            arguments = vec!["--fleet".into(), file.into()];
        }
        self.program.start(&path, &log, arguments)
    }

    async fn supervise(self: Rc<Self>, mut running: Running, life: u32) {
        let node = self.addresses.node;
        let ready = async {
            while !matches!(timeout(READY_CHECK_TIMEOUT, is_ready(self.addresses.listen)).await, Ok(Ok(true)))
            {
                sleep(READY_CHECK_INTERVAL).await;
            }
        };
        let status = tokio::select! {
            status = running.child.wait() => status,
            () = ready => {
                self.recorder.record(Event::NodeReady { node, life });
                self.accepts_connections.send_replace(self.requested_end.get().is_none());
                running.child.wait().await
            }
        };
        let succeeded = status.is_ok_and(|status| status.success());
        let end = match self.requested_end.get() {
            Some(End::Stopped) if !succeeded => End::Fell,
            Some(end) => end,
            None => End::Fell,
        };
        self.accepts_connections.send_replace(false);
        self.recorder.record(Event::NodeEnded { node, life, end });
        self.pid.send_replace(None);
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&self) {
        self.requested_end.set(Some(End::Killed));
        self.accepts_connections.send_replace(false);
        self.signal(Signal::KILL);
    }

    /// Sends the process SIGTERM, and SIGKILL if it has not ended after `timeout_after_term`.
    pub fn stop(self: &Rc<Self>, timeout_after_term: Duration) {
        let (host, life) = (self.clone(), self.generation.get());
        self.requested_end.set(Some(End::Stopped));
        self.recorder.record(Event::NodeLeaves { node: self.addresses.node, life });
        self.signal(Signal::TERM);
        tokio::task::spawn_local(async move {
            sleep(ROUTING_DELAY).await;
            if host.generation.get() == life {
                host.accepts_connections.send_replace(false);
            }
            sleep(timeout_after_term.saturating_sub(ROUTING_DELAY)).await;
            if host.generation.get() == life && host.is_running() {
                host.requested_end.set(Some(End::Overdue));
                host.signal(Signal::KILL);
            }
        });
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
        self.recorder.record(Event::NodePaused { node: self.addresses.node });
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.recorder.record(Event::NodeResumed { node: self.addresses.node });
        self.signal(Signal::CONT);
    }

    /// Waits until no process runs.
    pub async fn wait_ended(&self) {
        // The sender is a field of this host, so the channel stays open.
        let _ = self.pid.subscribe().wait_for(Option::is_none).await;
    }

    fn signal(&self, signal: Signal) {
        // The system does not reuse the id before the process has been waited for; after that, no id is stored here.
        if let Some(pid) = *self.pid.borrow() {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }
}

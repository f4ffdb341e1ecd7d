//! Runs real nodes as processes: start, kill, graceful stop and restart as the scenario orders.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hallpin_simulation::run_spec::NodeId;
use hallpin_simulation::trace::Event;
use rustix::process::Signal;
use serde_json::json;
use tokio::process::Child;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

use super::discovery;
use super::environment::{NodeOrder, SharedEnvironment};
use super::process::{is_ready, Program, Running};
use super::SocketsError;

/// Time after its start within which a node must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for a graceful stop beyond the longest request deadline, or beyond 3 s if that deadline is shorter.
const STOP_GRACE: Duration = Duration::from_millis(700);
/// Half of the delay between the end of a process and the event that records it.
const HALF_READ_DELAY: Duration = Duration::from_millis(5);
/// Delay before the start that follows a planned stop.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// How a node is started and its addresses.
#[derive(Clone, Debug)]
pub(super) struct NodeSpec {
    pub node: NodeId,
    pub program: Program,
    pub folder: PathBuf,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
}

impl NodeSpec {
    /// Writes the configuration and starts the process. `starts` counts earlier starts and goes into the seed.
    fn start(&self, environment: &SharedEnvironment, starts: u32) -> Result<Running, SocketsError> {
        let run_spec = environment.borrow().run_spec.clone();
        let known = discovery::initial_list(environment, self.node);
        let config = json!({
            "name": format!("n{}", self.node), "listen": self.listen, "discovery": self.discovery,
            "seed": format!("{:016x}", run_spec.seed.wrapping_mul(0x9e37).wrapping_add((self.node as u64) << 8 | u64::from(starts))),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known, "settings": run_spec.settings(self.node),
        });
        let path = self.folder.join(format!("node-{}.json", self.node));
        let file_error = |error| SocketsError::File(path.clone(), error);
        std::fs::write(&path, config.to_string()).map_err(file_error)?;
        let log = self.folder.join(format!("node-{}.log", self.node));
        let running = self.program.start(&path, &log, []);
        let running = running.map_err(|error| SocketsError::Node(self.node, error.to_string()))?;
        let mut environment = environment.borrow_mut();
        environment.node_processes.push(running.pid);
        environment.observed[self.node].process_started(running.pid);
        Ok(running)
    }

    /// Waits until the node accepts clients; an error if its process ends first or the time is up.
    async fn wait_until_ready(&self, child: &mut Child) -> Result<(), SocketsError> {
        let became_ready = async {
            loop {
                if matches!(is_ready(self.listen).await, Ok(true)) {
                    return;
                }
                sleep(READY_POLL_INTERVAL).await;
            }
        };
        let log = self.folder.join(format!("node-{}.log", self.node));
        let node_error =
            |what: String| SocketsError::Node(self.node, format!("{what}; its log is {}", log.display()));
        tokio::select! {
            ready = timeout(READY_TIMEOUT, became_ready) => ready.map_err(|_| node_error("not ready in time".into())),
            ended = child.wait() => Err(node_error(match ended {
                Ok(status) => format!("ended at its start, {status}"),
                Err(error) => error.to_string(),
            })),
        }
    }

    /// Runs the node and follows the scenario's orders; sends to `up` when it is ready for the first time.
    pub async fn run(
        self,
        environment: SharedEnvironment,
        up: tokio::sync::oneshot::Sender<()>,
    ) -> Result<(), SocketsError> {
        let mut orders: watch::Receiver<NodeOrder> = environment.borrow().node_orders[self.node].subscribe();
        let (mut starts, mut up) = (0, Some(up));
        let deadline = environment.borrow().run_spec.longest_deadline();
        loop {
            let mut running = self.start(&environment, starts)?;
            starts += 1;
            environment.borrow_mut().node_started(self.node);
            self.wait_until_ready(&mut running.child).await?;
            environment.borrow_mut().record(Event::NodeReady { node: self.node });
            environment.borrow_mut().nodes_up[self.node] = true;
            // The receiver is gone if the run was aborted before it began.
            let _ = up.take().map(|up| up.send(()));
            let order = tokio::select! {
                order = orders.wait_for(|order| *order != NodeOrder::Run) => match order {
                    Ok(order) => *order,
                    Err(_) => return Ok(()),
                },
                ended = running.child.wait() => {
                    let status = ended.map_or_else(|e| e.to_string(), |s| s.to_string());
                    return Err(SocketsError::Node(self.node, format!("ended without an order to stop, {status}")));
                }
            };
            if order == NodeOrder::Kill {
                let killed = running.child.start_kill();
                environment.borrow_mut().node_ends(self.node);
                let ended = async { killed.and(running.child.wait().await.map(drop)) };
                ended.await.map_err(|error| SocketsError::Node(self.node, error.to_string()))?;
                wait_for_last_answers().await;
                // Requests that the process had taken and not answered by now are lost.
                environment.borrow_mut().node_down(self.node, false);
                if orders.wait_for(|order| *order != NodeOrder::Kill).await.is_err() {
                    return Ok(());
                }
                continue;
            }
            environment.borrow_mut().nodes_up[self.node] = false;
            running.signal(Signal::TERM);
            let stop_timeout = Duration::from_micros(deadline.0).max(Duration::from_secs(3)) + STOP_GRACE;
            let until = Instant::now() + stop_timeout;
            if tokio::time::timeout_at(until, running.child.wait()).await.is_err() {
                running
                    .child
                    .kill()
                    .await
                    .map_err(|error| SocketsError::Node(self.node, error.to_string()))?;
            }
            environment.borrow_mut().node_ends(self.node);
            wait_for_last_answers().await;
            environment.borrow_mut().node_down(self.node, true);
            sleep(RESTART_DELAY).await;
            environment.borrow().node_orders[self.node].send_replace(NodeOrder::Run);
            orders.borrow_and_update();
        }
    }
}

/// Lets the clients read what a process wrote before it ended. All of it is in their socket buffers: when the first
/// sleep ends, the runtime has polled the sockets and woken the client tasks; they are queued before this task, so they
/// have run when the second sleep ends.
async fn wait_for_last_answers() {
    sleep(HALF_READ_DELAY).await;
    sleep(HALF_READ_DELAY).await;
}

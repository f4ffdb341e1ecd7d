//! Real nodes as processes: started, killed, told to stop, and started again.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use hallpin_model::day::NodeId;
use rustix::io::Errno;
use rustix::process::{Pid, Signal, WaitOptions};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStdin, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

use super::discovery;
use super::stage::{NodeOrder, Shared};
use super::SocketsError;

/// A node that is not ready by then will not be.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Between two questions whether it is.
const ASK_AGAIN: Duration = Duration::from_millis(20);
/// What a node that was told to stop is given beyond its longest deadline.
const LEAVE: Duration = Duration::from_millis(700);
/// Twice this passes between the end of a process and the word of it.
const READ_WITHIN: Duration = Duration::from_millis(5);
/// After a planned stop the node is started again this much later.
const BACK_AFTER: Duration = Duration::from_millis(500);

/// How a node is started and where it is.
#[derive(Clone, Debug)]
pub(super) struct NodeSpec {
    pub node: NodeId,
    pub program: PathBuf,
    pub arguments: Vec<String>,
    pub folder: PathBuf,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
}

impl NodeSpec {
    /// Starts the process. It ends with the pipe, so that it does not outlive this one however that ends.
    fn start(&self, stage: &Shared, starts: u32) -> Result<(Child, Option<ChildStdin>), SocketsError> {
        let day = stage.borrow().day.clone();
        let known = discovery::known(stage, self.node);
        let config = json!({
            "name": format!("n{}", self.node), "listen": self.listen, "discovery": self.discovery,
            "seed": format!("{:016x}", day.seed.wrapping_mul(0x9e37).wrapping_add((self.node as u64) << 8 | u64::from(starts))),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known, "settings": day.settings(self.node),
        });
        let path = self.folder.join(format!("node-{}.json", self.node));
        let file = |error| SocketsError::File(path.clone(), error);
        std::fs::write(&path, config.to_string()).map_err(file)?;
        let log = self.folder.join(format!("node-{}.log", self.node));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(|e| SocketsError::File(log, e))?;
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).arg("--config").arg(&path).args(["--log", "json", "--end-with-input"]);
        // What the platform tells a node must not leak in from here.
        for name in
            ["RELAY_CONFIG", "RELAY_OPERATOR", "RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "TMPDIR"]
        {
            command.env_remove(name);
        }
        command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        let mut child = command.spawn().map_err(|error| SocketsError::Node(self.node, error.to_string()))?;
        stage.borrow_mut().node_processes.extend(process(&child));
        // Waiting for the child would close the pipe.
        let input = child.stdin.take();
        Ok((child, input))
    }

    /// Waits until the node wants clients.
    async fn ready(&self, child: &mut Child) -> Result<(), SocketsError> {
        let asked = async {
            loop {
                if matches!(self.ask().await, Ok(true)) {
                    return;
                }
                sleep(ASK_AGAIN).await;
            }
        };
        let log = self.folder.join(format!("node-{}.log", self.node));
        let wrong =
            |what: String| SocketsError::Node(self.node, format!("{what}; its log is {}", log.display()));
        tokio::select! {
            ready = timeout(READY_WITHIN, asked) => ready.map_err(|_| wrong("not ready in time".into())),
            ended = child.wait() => Err(wrong(match ended {
                Ok(status) => format!("ended at its start, {status}"),
                Err(error) => error.to_string(),
            })),
        }
    }

    async fn ask(&self) -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(self.listen).await?;
        stream.write_all(b"mn\r\n").await?;
        let mut answer = [0; 4];
        stream.read_exact(&mut answer).await?;
        Ok(&answer == b"MN\r\n")
    }

    /// Keeps the node as the day wants it, and says by `up` when it first is.
    pub async fn run(self, stage: Shared, up: tokio::sync::oneshot::Sender<()>) -> Result<(), SocketsError> {
        let mut orders: watch::Receiver<NodeOrder> = stage.borrow().node_orders[self.node].subscribe();
        let (mut starts, mut up) = (0, Some(up));
        let deadline = stage.borrow().day.longest_deadline();
        loop {
            let (mut child, _input) = self.start(&stage, starts)?;
            starts += 1;
            stage.borrow_mut().node_started(self.node);
            self.ready(&mut child).await?;
            stage.borrow_mut().nodes_up[self.node] = true;
            // Nobody waits where the day has not begun for another reason.
            let _ = up.take().map(|up| up.send(()));
            let order = tokio::select! {
                order = orders.wait_for(|order| *order != NodeOrder::Run) => match order {
                    Ok(order) => *order,
                    Err(_) => return Ok(()),
                },
                ended = child.wait() => {
                    let status = ended.map_or_else(|e| e.to_string(), |s| s.to_string());
                    return Err(SocketsError::Node(self.node, format!("ended though nobody told it to, {status}")));
                }
            };
            if order == NodeOrder::Kill {
                let killed = child.start_kill();
                stage.borrow_mut().node_ends(self.node);
                let ended = async { killed.and(child.wait().await.map(drop)) };
                ended.await.map_err(|error| SocketsError::Node(self.node, error.to_string()))?;
                last_answers().await;
                // What it had taken and not answered by now is gone with it.
                stage.borrow_mut().node_down(self.node, false);
                if orders.wait_for(|order| *order != NodeOrder::Kill).await.is_err() {
                    return Ok(());
                }
                continue;
            }
            stage.borrow_mut().nodes_up[self.node] = false;
            terminate(&child);
            let notice = Duration::from_micros(deadline.0).max(Duration::from_secs(3)) + LEAVE;
            let until = Instant::now() + notice;
            if tokio::time::timeout_at(until, child.wait()).await.is_err() {
                child.kill().await.map_err(|error| SocketsError::Node(self.node, error.to_string()))?;
            }
            stage.borrow_mut().node_ends(self.node);
            last_answers().await;
            stage.borrow_mut().node_down(self.node, true);
            sleep(BACK_AFTER).await;
            stage.borrow().node_orders[self.node].send_replace(NodeOrder::Run);
            orders.borrow_and_update();
        }
    }
}

/// Lets clients read what a process wrote before it ended. All of it lies in their sockets: the first sleep ends with a
/// look at these that wakes them, and by the end of the second, behind them in the queue, they have run.
async fn last_answers() {
    sleep(READ_WITHIN).await;
    sleep(READ_WITHIN).await;
}

fn process(child: &Child) -> Option<Pid> {
    child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw)
}

/// Waits until these nodes have ended, which have all been killed: their ports are free then, and nothing runs on. One
/// that has been waited for already is no child any more.
pub fn reap(nodes: &[Pid]) {
    for node in nodes {
        while let Err(Errno::INTR) = rustix::process::waitpid(Some(*node), WaitOptions::empty()) {}
    }
}

fn terminate(child: &Child) {
    if let Some(pid) = process(child) {
        // One that has ended meanwhile needs no signal.
        let _ = rustix::process::kill_process(pid, Signal::TERM);
    }
}

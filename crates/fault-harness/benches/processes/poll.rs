//! Polls nodes for their metrics, and the kernel for the processor time of their processes.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// Interval between polls of a node.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Timeout of a poll, which is then repeated.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Clock ticks per second in the kernel's accounting: 100 on every architecture that nodes run on.
const TICKS_PER_S: f64 = 100.0;

/// A node's operator address, read from its configuration file.
fn operator(folder: &Path, node: usize) -> io::Result<SocketAddr> {
    let config: Value = serde_json::from_slice(&std::fs::read(folder.join(format!("n{node}/config.json")))?)?;
    let operator = config.get("operator").and_then(Value::as_str).unwrap_or_default();
    operator.parse().map_err(io::Error::other)
}

async fn metric(operator: SocketAddr, name: &str) -> io::Result<Option<u64>> {
    let mut stream = TcpStream::connect(operator).await?;
    stream.write_all(b"show-stat\n").await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    Ok(lines.filter(|(of, _)| *of == name).find_map(|(_, value)| value.trim().parse().ok()))
}

/// Waits until each of these nodes reports a wanted value of a metric, and returns the seconds from the call until the
/// last node did. The resolution is the interval between polls. `None` if a node does not within the bound.
pub async fn wait_all_report(
    folder: &Path,
    nodes: impl IntoIterator<Item = usize>,
    name: &str,
    is_wanted: impl Fn(usize, u64) -> bool,
    bound: Duration,
) -> io::Result<Option<f64>> {
    let mut remaining = Vec::new();
    for node in nodes {
        remaining.push((node, operator(folder, node)?));
    }
    let started = Instant::now();
    while started.elapsed() < bound {
        // Polls all nodes at once: one after the other would delay many of them.
        let mut polls = JoinSet::new();
        for (node, operator) in remaining.drain(..) {
            let name = name.to_owned();
            polls.spawn_local(async move {
                (node, operator, timeout(POLL_TIMEOUT, metric(operator, &name)).await)
            });
        }
        while let Some(poll) = polls.join_next().await {
            let (node, operator, result) = poll.map_err(io::Error::other)?;
            // A node that is busy, or not up yet, is polled again.
            if !matches!(result, Ok(Ok(Some(value))) if is_wanted(node, value)) {
                remaining.push((node, operator));
            }
        }
        if remaining.is_empty() {
            return Ok(Some(started.elapsed().as_secs_f64()));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(None)
}

/// Seconds of processor time that a process has used so far.
pub fn processor_time(pid: i32) -> io::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The process name in parentheses may contain any character; behind it the first field is the state, and the times
    // are 11 and 12 fields after that.
    let fields = text.rsplit_once(") ").map(|(_, fields)| fields.split(' ').collect::<Vec<_>>());
    let ticks = |at: usize| fields.as_ref()?.get(at)?.parse::<f64>().ok();
    let used = ticks(11).zip(ticks(12)).map(|(user, system)| (user + system) / TICKS_PER_S);
    used.ok_or_else(|| io::Error::other("/proc/PID/stat has no processor times"))
}

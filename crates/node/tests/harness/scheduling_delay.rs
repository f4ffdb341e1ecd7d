//! Detects scheduling delays of the test and its nodes, so that a check that a busy machine delayed is run again
//! instead of being counted as a failure of the node.

use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

use super::Node;

const SLEEP_INTERVAL: Duration = Duration::from_millis(2);
/// Bound of an undisturbed run: on how late a sleeping thread wakes, and on how long a node waits for a processor
/// within `RUN_DELAY_WINDOW`.
const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(25);
const RUN_DELAY_WINDOW: Duration = Duration::from_millis(100);
const MAX_RUNS: usize = 12;

/// Measures how late a sleeping thread wakes, and how long nodes wait for a processor.
#[derive(Clone, Default)]
pub struct SchedulingDelayMonitor(Arc<Mutex<Measurements>>);

#[derive(Default)]
struct Measurements {
    stopped: bool,
    max_delay: Duration,
    nodes: Vec<NodeDelay>,
}

struct NodeDelay {
    process_id: u32,
    /// Start of the current window, and the node's total run delay at that time.
    window: (Instant, Duration),
}

impl SchedulingDelayMonitor {
    fn start() -> (Self, JoinHandle<()>) {
        let monitor = SchedulingDelayMonitor::default();
        let measurements = monitor.clone();
        let sampler = spawn(move || {
            while !measurements.0.lock().unwrap().stopped {
                let start = Instant::now();
                sleep(SLEEP_INTERVAL);
                let lateness = start.elapsed() - SLEEP_INTERVAL;
                measurements.0.lock().unwrap().record_lateness(lateness);
            }
        });
        (monitor, sampler)
    }

    /// Includes this node in the measurement.
    pub fn monitor(&self, node: &Node) {
        let process_id = node.process_id();
        let window = (Instant::now(), run_delay(process_id));
        self.0.lock().unwrap().nodes.push(NodeDelay { process_id, window });
    }
}

impl Measurements {
    fn record_lateness(&mut self, lateness: Duration) {
        self.max_delay = self.max_delay.max(lateness);
        for node in &mut self.nodes {
            let delay = run_delay(node.process_id);
            self.max_delay = self.max_delay.max(delay.saturating_sub(node.window.1));
            if node.window.0.elapsed() > RUN_DELAY_WINDOW {
                node.window = (Instant::now(), delay);
            }
        }
    }
}

/// Total time for which a process was runnable and waited for a processor; zero if the process has ended or the
/// system doesn't report it.
fn run_delay(process_id: u32) -> Duration {
    let schedstat = std::fs::read_to_string(format!("/proc/{process_id}/schedstat")).unwrap_or_default();
    let nanoseconds = schedstat.split(' ').nth(1).and_then(|waited| waited.parse().ok());
    nanoseconds.map_or(Duration::ZERO, Duration::from_nanos)
}

/// Runs a check that depends on times of a few hundredths of a second. A failure counts only if no scheduling delay
/// was measured meanwhile; otherwise the check is run again.
pub fn retry_on_scheduling_delay(name: &str, check: impl Fn(&SchedulingDelayMonitor) -> Result<(), String>) {
    for _ in 0..MAX_RUNS {
        let (monitor, sampler) = SchedulingDelayMonitor::start();
        let result = check(&monitor);
        monitor.0.lock().unwrap().stopped = true;
        sampler.join().unwrap();
        let max_delay = monitor.0.lock().unwrap().max_delay;
        match result {
            Ok(()) => return,
            Err(failure) if max_delay < MAX_SCHEDULING_DELAY => panic!("{name}: {failure}"),
            Err(failure) => eprintln!("{name}: run again, scheduling delay of {max_delay:?}: {failure}"),
        }
    }
    panic!("{name}: each of {MAX_RUNS} runs failed with a scheduling delay");
}

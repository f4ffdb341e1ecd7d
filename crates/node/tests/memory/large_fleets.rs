//! Several processes of one node at the largest fleet that the pages name.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::Duration;

use crate::harness::*;
use crate::ordinary_clients::OrdinaryClients;
use crate::{least_memory_setup, run_alone, LEAST_MEMORY_MB};

/// The largest fleet that the pages name.
const LARGEST_FLEET: usize = 3200;
/// Time between two looks at the memory of the processes.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);
/// Time that each step is given.
const STEP: Duration = Duration::from_millis(1500);

/// The server that answers, and others that drain.
fn fleet(server: &str, count: usize) -> Vec<String> {
    let others = (1..count).map(|n| {
        let address = SocketAddr::from(([10, 1, (n >> 8) as u8, n as u8], 11211));
        member(&format!("s-{n:08x}"), address, "draining")
    });
    std::iter::once(server.to_string()).chain(others).collect()
}

/// Fields of a process's status in kB; 0 once the process has ended.
fn memory_kb(process_id: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    line.and_then(|rest| rest.trim().strip_suffix(" kB")?.parse().ok()).unwrap_or(0)
}

/// Highest memory of all processes of a node together, in kB. Pages of the program's file are in memory once.
struct PeakMonitor {
    processes: Arc<Mutex<Vec<u32>>>,
    stopped: Arc<AtomicBool>,
    sampler: JoinHandle<u64>,
}

impl PeakMonitor {
    fn start() -> Self {
        let (processes, stopped) = (Arc::<Mutex<Vec<u32>>>::default(), Arc::<AtomicBool>::default());
        let (sampled, until) = (processes.clone(), stopped.clone());
        let sampler = spawn(move || {
            let mut peak = 0;
            while !until.load(Ordering::Relaxed) {
                let ids = sampled.lock().unwrap().clone();
                let private: u64 = ids.iter().map(|id| memory_kb(*id, "RssAnon:")).sum();
                let file = ids.iter().map(|id| memory_kb(*id, "RssFile:")).max().unwrap_or(0);
                peak = peak.max(private + file);
                sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        PeakMonitor { processes, stopped, sampler }
    }

    fn add(&self, node: &Node) {
        self.processes.lock().unwrap().push(node.process_id());
    }

    fn finish(self) -> u64 {
        self.stopped.store(true, Ordering::Relaxed);
        self.sampler.join().unwrap()
    }
}

/// Guards against an upgrade that passes the node's memory (`docs/incidents`): the tables of all processes together fit
/// beside ordinary clients, while a second and a third process start, the list comes again and grows, and the
/// configuration is read again.
#[test]
fn processes_with_the_largest_fleet_share_the_memory() {
    let _alone = run_alone();
    let server = FakeCacheServer::start(|_| ServerAction::Serve);
    let ready = member("s-0", server.address, "ready");
    let (list, discovery) = FakeDiscovery::start(&fleet(&ready, LARGEST_FLEET / 2));
    let temp_dir = TempDir::new();
    let known = fleet(&ready, LARGEST_FLEET).join(",");
    let mut setup = Setup { temp_dir: Some(temp_dir.0.clone()), ..least_memory_setup(&known) };
    let monitor = PeakMonitor::start();
    let first = setup.start(discovery);
    monitor.add(&first);
    let offered = temp_dir.0.join(format!("hallpin-{}.takeover", first.address));
    while !offered.exists() {
        sleep(Duration::from_millis(1));
    }
    let ordinary = OrdinaryClients::start(first.address);
    setup.listen = first.address.to_string();
    list.update_and_wait(&fleet(&ready, LARGEST_FLEET));
    sleep(STEP);

    let second = setup.start(discovery);
    monitor.add(&second);
    first.wait_for_log("the successor serves");
    list.update(&fleet(&ready, LARGEST_FLEET / 2));
    sleep(STEP);
    list.update(&fleet(&ready, LARGEST_FLEET));
    second.reload(&setup.config(discovery));
    sleep(STEP);

    let third = setup.start(discovery);
    monitor.add(&third);
    second.wait_for_log("the successor serves");
    sleep(STEP);
    first.signal("-TERM");
    second.signal("-TERM");
    sleep(STEP);
    let results = ordinary.finish();
    let peak_kb = monitor.finish();
    eprintln!("peak {peak_kb} kB of {} kB, {results:?}", LEAST_MEMORY_MB << 10);
    assert!(peak_kb <= (LEAST_MEMORY_MB << 10) as u64, "a peak of {peak_kb} kB");
    results.assert_served_on();
}

//! Helpers for tests of a command that starts child processes.

/// Returns the child processes of a process, as listed by the kernel.
fn children(pid: u32) -> Vec<u32> {
    let listed = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children")).unwrap_or_default();
    listed.split_whitespace().filter_map(|pid| pid.parse().ok()).collect()
}

pub fn is_running(pid: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The state follows the name in brackets; a zombie (state Z) no longer runs.
    status.rsplit(") ").next().is_some_and(|rest| !rest.is_empty() && !rest.starts_with('Z'))
}

/// Waits until the process has started `count` children, and returns their process ids.
pub fn node_pids_of(parent: &std::process::Child, count: usize) -> Vec<u32> {
    let start = std::time::Instant::now();
    loop {
        let nodes = children(parent.id());
        // Reached only if the test fails.
        assert!(start.elapsed().as_secs() < 30, "{count} nodes come up, got {nodes:?}");
        if nodes.len() == count {
            return nodes;
        }
        std::thread::yield_now();
    }
}

/// Waits until none of the processes runs.
pub fn wait_until_gone(nodes: &[u32]) {
    let start = std::time::Instant::now();
    while nodes.iter().any(|pid| is_running(*pid)) {
        // Reached only if the test fails.
        assert!(start.elapsed().as_secs() < 30, "left behind: {nodes:?}");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

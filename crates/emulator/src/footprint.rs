//! Resource use of node processes, read from `/proc` and from the emulated service discovery.

use std::time::Duration;

use rustix::process::Pid;
use serde::Serialize;

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`), which is fixed in the kernel's interface to user space.
const TICKS_PER_SECOND: u64 = 100;
/// Field indices of user and system time in `/proc/PID/stat`, counted from the state field after the bracketed name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Resource use of one node, over all of its processes; use after a process's last sample is not included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Footprint {
    /// Largest sampled number of open file descriptors.
    pub descriptors: u64,
    /// Peak resident memory of any of its processes, in KiB.
    pub peak_memory_kib: u64,
    /// CPU time of all its processes, in milliseconds.
    pub cpu_ms: u64,
    /// Bytes of endpoint lists and list changes that discovery has sent to the node.
    pub list_bytes: u64,
}

/// A node whose current process is sampled from time to time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ObservedNode {
    footprint: Footprint,
    process: Option<Pid>,
    /// CPU time of the earlier processes, in milliseconds.
    earlier_cpu_ms: u64,
}

impl ObservedNode {
    /// Sets the node's current process after a start.
    pub fn process_started(&mut self, process: Pid) {
        self.earlier_cpu_ms = self.footprint.cpu_ms;
        self.process = Some(process);
    }

    /// Samples the current process. After it has ended, the last sample stands.
    pub fn sample(&mut self) {
        let Some(process) = self.process.map(Pid::as_raw_nonzero) else { return };
        let file = |name: &str| std::fs::read_to_string(format!("/proc/{process}/{name}")).ok();
        let open = std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, |all| all.count() as u64);
        let footprint = &mut self.footprint;
        footprint.descriptors = footprint.descriptors.max(open);
        let peak = file("status").and_then(|status| peak_memory_kib(&status)).unwrap_or(0);
        footprint.peak_memory_kib = footprint.peak_memory_kib.max(peak);
        if let Some(cpu) = file("stat").and_then(|stat| cpu_time(&stat)) {
            footprint.cpu_ms = self.earlier_cpu_ms + cpu.as_millis() as u64;
        }
    }

    /// Counts bytes of the endpoint list that discovery has sent.
    pub fn count_list_bytes(&mut self, bytes: usize) {
        self.footprint.list_bytes += bytes as u64;
    }

    pub fn footprint(&self) -> Footprint {
        self.footprint
    }
}

/// Parses the peak resident memory (`VmHWM`) from `/proc/PID/status`.
fn peak_memory_kib(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.trim().strip_suffix("kB")?.trim().parse().ok()
}

/// Parses the sum of user and system time from `/proc/PID/stat`.
fn cpu_time(stat: &str) -> Option<Duration> {
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
    let ticks = ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?;
    Some(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}

#[cfg(test)]
mod tests;

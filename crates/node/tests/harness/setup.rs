//! Configuration of a node under test, and temporary directories.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

use super::Node;

/// Configuration values that tests vary.
pub struct Setup {
    /// Limit on the node's memory (`limits.memory_mb`).
    pub memory_mb: usize,
    /// Limit on the node's sockets (`limits.sockets`).
    pub sockets: usize,
    /// Whether ejected servers are checked (`probes`).
    pub health_checks: bool,
    /// Interval at which the balancer runs (`round-s`).
    pub processing_quantum_s: f64,
    /// Idle time after which the node closes a connection to a cache server.
    pub idle_close_s: f64,
    /// JSON entries of the endpoint list that the node starts with.
    pub known: String,
    /// Limit on open file descriptors (`ulimit -n`); the inherited one if `None`.
    pub ulimit: Option<usize>,
    /// Deadline (`hard-limit-s`) of all request classes.
    pub deadline_s: f64,
    /// Latency objective (`target-s`) of class `save`: an attempt is late, and hedged, after two fifths of it.
    pub save_objective_s: f64,
    /// Timeout for connecting to a cache server.
    pub dial_timeout_s: f64,
    /// Address at which clients connect.
    pub listen: String,
    /// The node's `$TMPDIR`; unset if `None`.
    pub temp_dir: Option<PathBuf>,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            memory_mb: 192,
            sockets: 1024,
            health_checks: false,
            processing_quantum_s: 0.005,
            idle_close_s: 60.0,
            known: String::new(),
            ulimit: None,
            deadline_s: 20.0,
            save_objective_s: 0.75,
            dial_timeout_s: 0.2,
            listen: "127.0.0.1:0".into(),
            temp_dir: None,
        }
    }
}

impl Setup {
    /// The configuration as JSON.
    pub fn config(&self, discovery: SocketAddr) -> String {
        let (deadline_s, save_objective_s) = (self.deadline_s, self.save_objective_s);
        let settings = format!(
            r#"{{"balancers":1,"locality":"a","membership-mode":"pushed","round-s":{},"weight-source":"off",
            "grades":[{{"name":"read","effect":"free","target-s":0.5,"hard-limit-s":{deadline_s}}},
                {{"name":"open","effect":"single_shot","target-s":0.5,"hard-limit-s":{deadline_s}}},
                {{"name":"save","effect":"guarded","group":"all","key-ttl-s":2.0,"target-s":{save_objective_s},"hard-limit-s":{deadline_s}}}],
            "tenants":[{{"name":"acme","quota-per-s":1000.0}}],"family-info":{{"mode":"through"}},
            "guarantees":{{"grace-to-answer-s":0.02,"ask-every-s":10,"cold-from":0.3,"ramp-time-s":8,
                "drain-grace-s":0.5,"fall-multiple":3,"fall-s":1}},
            "limits":{{"cancel":true,"probes":{},"max-attempts":4,"parallel-tries":true,"retry-after":true,
                "dial-timeout-s":{},"idle-close-s":{}}}}}"#,
            self.processing_quantum_s, self.health_checks, self.dial_timeout_s, self.idle_close_s
        );
        format!(
            r#"{{"name":"n0","listen":"{}","operator":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
            "known":{{"revision":1,"complete":true,"members":[{}]}},"settings":{settings}}}"#,
            self.listen, self.memory_mb, self.sockets, self.known
        )
    }

    /// Starts a node with this setup.
    pub fn start(&self, discovery: SocketAddr) -> Node {
        Node::start(&write_config(&self.config(discovery)), self.ulimit, self.temp_dir.as_deref())
    }
}

/// Writes a configuration to a new file.
pub fn write_config(text: &str) -> PathBuf {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let name = format!("node-{}-{}.json", std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Temporary directory, removed on drop. Its path is short enough for the Unix sockets in it.
pub struct TempDir(pub PathBuf);

impl TempDir {
    /// Creates a directory with a unique name.
    pub fn new() -> Self {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let name = format!("hallpin-{}-{}", std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).unwrap();
        TempDir(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

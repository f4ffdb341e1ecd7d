//! Sections of the fleet file: fields, defaults and valid ranges.

use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

use super::duration::FileDuration;

/// Path of an invalid field and what was expected.
pub(super) type Fault = (&'static str, &'static str);

/// A duration of `count` milliseconds.
fn ms(count: u64) -> FileDuration {
    FileDuration(Duration::from_millis(count))
}

/// The field and the expectation of the first check that is not met.
fn first_failed(checks: &[(bool, &'static str, &'static str)]) -> Option<Fault> {
    checks.iter().find(|(is_valid, _, _)| !is_valid).map(|(_, field, what)| (*field, *what))
}

/// Membership protocol: SWIM probes and suspicion.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Membership {
    /// Probe interval, in each of which one node is probed. Default 250ms.
    pub probe_every: FileDuration,
    /// Time from a ping without an answer to indirect probes by other nodes; less than half of `probe_every`. Default
    /// 80ms.
    pub probe_timeout: FileDuration,
    /// Suspicion timeout with all confirmations received. Default 500ms.
    pub suspicion_min: FileDuration,
    /// Suspicion timeout without any confirmation. Default 2s.
    pub suspicion_max: FileDuration,
    /// How long observations of a box count as evidence. Default 2s.
    pub recent: FileDuration,
    /// Most datagrams of all kinds that this node sends per second; any more are dropped and counted. Default 1000.
    pub datagrams_a_second: u32,
    /// Datagrams that may be sent at once beyond that rate. Default 500.
    pub burst: u32,
}

impl Default for Membership {
    fn default() -> Self {
        Membership {
            probe_every: ms(250),
            probe_timeout: ms(80),
            suspicion_min: ms(500),
            suspicion_max: ms(2000),
            recent: ms(2000),
            datagrams_a_second: 1000,
            burst: 500,
        }
    }
}

impl Membership {
    pub(super) fn first_fault(&self) -> Option<Fault> {
        let one_minute = ms(60_000);
        first_failed(&[
            (
                self.probe_every >= ms(10) && self.probe_every <= one_minute,
                "membership.probe_every",
                "from 10ms to 1min expected",
            ),
            (
                self.probe_timeout >= ms(1) && self.probe_timeout.0 * 2 < self.probe_every.0,
                "membership.probe_timeout",
                "from 1ms to less than half of probe_every expected",
            ),
            (
                self.suspicion_min >= ms(1) && self.suspicion_min <= self.suspicion_max,
                "membership.suspicion_min",
                "from 1ms to suspicion_max expected",
            ),
            (self.suspicion_max <= one_minute, "membership.suspicion_max", "at most 1min expected"),
            (
                self.recent >= ms(100) && self.recent <= one_minute,
                "membership.recent",
                "from 100ms to 1min expected",
            ),
            (
                (10..=100_000).contains(&self.datagrams_a_second),
                "membership.datagrams_a_second",
                "from 10 to 100000 expected",
            ),
            ((10..=100_000).contains(&self.burst), "membership.burst", "from 10 to 100000 expected"),
        ])
    }
}

/// Placement tables that all nodes agree on.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TableSection {
    /// How long a node without contact to other nodes may still use its table. The same at every node. Default 2s.
    pub lease: FileDuration,
}

impl Default for TableSection {
    fn default() -> Self {
        TableSection { lease: ms(2000) }
    }
}

impl TableSection {
    pub(super) fn first_fault(&self) -> Option<Fault> {
        let is_valid = self.lease >= ms(200) && self.lease <= ms(60_000);
        first_failed(&[(is_valid, "table.lease", "from 200ms to 1min expected")])
    }
}

/// Connection budgets, divided among the tenants of the contracts.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetsSection {
    /// Path of the contracts file, relative to the folder of this file unless absolute.
    pub contracts: PathBuf,
    /// Connections that a box accepts from all nodes together. The same at every node.
    pub connections_per_box: u32,
    /// How long quota is lent out. The same at every node. Default 2s.
    #[serde(default = "lease")]
    pub lease: FileDuration,
}

fn lease() -> FileDuration {
    ms(2000)
}

impl BudgetsSection {
    pub(super) fn first_fault(&self) -> Option<Fault> {
        first_failed(&[
            (!self.contracts.as_os_str().is_empty(), "budgets.contracts", "a path expected"),
            (
                (1..=1_000_000).contains(&self.connections_per_box),
                "budgets.connections_per_box",
                "from 1 to 1000000 expected",
            ),
            (
                self.lease >= ms(200) && self.lease <= ms(60_000),
                "budgets.lease",
                "from 200ms to 1min expected",
            ),
        ])
    }
}

/// State that is stored across restarts.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateSection {
    /// Folder of the state file; used by this node only.
    pub folder: PathBuf,
    /// Shortest time between two writes. Default 1s.
    #[serde(default = "one_second")]
    pub every: FileDuration,
    /// Stored state older than this is set aside and not used. Default 1h.
    #[serde(default = "one_hour")]
    pub max_age: FileDuration,
}

fn one_second() -> FileDuration {
    ms(1000)
}

fn one_hour() -> FileDuration {
    ms(3_600_000)
}

impl StateSection {
    pub(super) fn first_fault(&self) -> Option<Fault> {
        first_failed(&[
            (!self.folder.as_os_str().is_empty(), "state.folder", "a path expected"),
            (self.every >= ms(100), "state.every", "at least 100ms expected"),
            (self.max_age >= ms(1000), "state.max_age", "at least 1s expected"),
        ])
    }
}

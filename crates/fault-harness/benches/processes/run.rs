//! One run: the harness with the configuration of its scenario, and the values measured so far.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::ValueEnum;
use hallpin_emulator::process::Program;
use hallpin_fault_harness::relay::Site;
use hallpin_fault_harness::spec::Action;
use hallpin_fault_harness::trace::{Event, Record, WaitTimeout};
use hallpin_fault_harness::{Harness, Options, RigError, Spec};
use hallpin_simulation::scenario::Unreadable;
use hallpin_simulation::time::Time;
use tokio::time::sleep;
use toml::Spanned;

use crate::metrics::Value;
use crate::{scenarios, Scenario};

/// Why a run has no results.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The harness did not finish.
    #[error(transparent)]
    Harness(#[from] RigError),
    /// An expected event did not happen in time.
    #[error(transparent)]
    Timeout(#[from] WaitTimeout),
    /// A file or a socket could not be opened or used.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The benchmark's own scenario file is invalid.
    #[error("invalid scenario file: {0}")]
    Scenario(#[from] Unreadable),
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// The scenario.
    pub scenario: Scenario,
    /// Number of nodes.
    pub nodes: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Whether the control plane is on.
    pub control_plane_on: bool,
}

impl Run {
    /// The scenario's name.
    pub fn name(&self) -> String {
        self.scenario.to_possible_value().map_or(String::new(), |value| value.get_name().into())
    }

    /// Starts the nodes and the fakes around them.
    pub async fn bench(&self, program: Option<PathBuf>, folder: PathBuf) -> Result<Bench, Failure> {
        std::fs::create_dir_all(&folder)?;
        let built_beside = std::env::current_exe()?;
        let built_beside =
            built_beside.ancestors().nth(2).map(|built| built.join("hallpin-node")).unwrap_or_default();
        let program = Program { path: program.unwrap_or(built_beside), arguments: Vec::new() };
        let spec = Spec::parse(&scenarios::text(self, &folder)?)?;
        let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
        println!("{self}: load average of the machine {}", load.trim());
        let harness = Harness::start(spec.clone(), &Options { program, folder: folder.clone() }).await?;
        Ok(Bench { run: *self, spec, harness, folder, values: Vec::new() })
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plane = if self.control_plane_on { "on" } else { "off" };
        write!(f, "{}, {} nodes, seed {}, {plane}", self.name(), self.nodes, self.seed)
    }
}

/// A harness whose nodes are ready.
pub struct Bench {
    /// The parameters of the run.
    pub run: Run,
    /// The scenario file.
    pub spec: Spec,
    /// The fault harness that plays the scenario with real nodes.
    pub harness: Harness,
    /// Folder of the nodes' files.
    pub folder: PathBuf,
    values: Vec<Value>,
}

impl Bench {
    /// Adds a measured value.
    pub fn report(&mut self, value: Value) {
        self.values.push(value);
    }

    /// The current time by the harness's clock.
    pub fn now(&self) -> Time {
        self.harness.recorder().now()
    }

    /// Lets time pass while the load goes on; returns the start and the end of the interval.
    pub async fn elapse(&self, seconds: f64) -> (Time, Time) {
        let began = self.now();
        sleep(Duration::from_secs_f64(seconds)).await;
        (began, self.now())
    }

    /// Injects a fault.
    pub async fn inject(&self, action: Action) -> Result<(), Failure> {
        Ok(self.harness.inject(&action).await?)
    }

    /// The trace so far.
    pub fn records(&self) -> Vec<Record> {
        self.harness.recorder().records()
    }

    /// For each node the process id of its last started process.
    pub fn processes(&self) -> Vec<i32> {
        let mut last = vec![0; self.run.nodes];
        self.harness.recorder().for_each(0, |record| {
            if let Event::NodeStarted { node, pid, .. } = record.event {
                last[node] = pid;
            }
        });
        last
    }

    /// Ends everything that was started, and returns the values if the run succeeded. Prints the first violations.
    pub async fn end(
        mut self,
        played: Result<(), Failure>,
        trace: Option<&Path>,
    ) -> Result<Vec<Value>, Failure> {
        let report = self.harness.finish(trace).await;
        played?;
        let report = report?;
        for violation in report.breaches.iter().take(3) {
            println!(
                "{}: violation at {} s: {}: {}",
                self.run,
                violation.at.as_secs(),
                violation.rule,
                violation.what
            );
        }
        self.values.push(Value::less_is_better("rules broken, times", report.broken as f64));
        self.values
            .push(Value::less_is_better("the rig itself was late, s", report.counts.starved.as_secs()));
        Ok(self.values)
    }
}

/// Nodes in the form in which fault actions name them.
pub fn nodes(indices: impl IntoIterator<Item = usize>) -> Vec<Spanned<Site>> {
    indices.into_iter().map(|node| Spanned::new(0..0, Site::Node(node))).collect()
}

/// A box in the form in which fault actions name it.
pub fn cache_box(of: usize) -> Vec<Spanned<Site>> {
    vec![Spanned::new(0..0, Site::Box(of))]
}

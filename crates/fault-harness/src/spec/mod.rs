//! The scenario file: processes, links, load, faults, bounds of the invariants and expected results.

mod check;
mod expected;
mod faults;
mod parts;

use hallpin_simulation::scenario::ScenarioFileError;
use hallpin_simulation::time::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use check::MAX_NODES;
pub use expected::{Expected, Rules};
pub use faults::{Action, Ends, Fault, StateFolderChange, When};
pub use parts::{Boxes, ListSpec, Nodes, Planner, Tenant};

/// A scenario of several nodes with faults between them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Spec {
    /// Version of this file format: 1.
    pub version: u32,
    /// The scenario's name.
    pub name: String,
    /// Seed of all random draws.
    pub seed: u64,
    /// How long clients issue requests; the run goes on until the last request is finished and all faults are injected.
    pub length: Span,
    /// Names of the depots.
    pub depots: Vec<String>,
    /// The nodes.
    pub nodes: Nodes,
    /// Groups of boxes.
    pub boxes: Vec<Boxes>,
    /// The planner.
    pub planner: Planner,
    /// The endpoint list of service discovery.
    pub list: ListSpec,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// Faults, injected in order.
    pub faults: Vec<Fault>,
    /// Bounds of the invariants.
    pub rules: Rules,
    /// Further results that the run must show.
    pub expected: Expected,
}

impl Default for Spec {
    fn default() -> Self {
        Spec {
            version: 1,
            name: "calm".into(),
            seed: 1,
            length: Span::from_millis(2000),
            depots: vec!["a".into()],
            nodes: Nodes::default(),
            boxes: vec![Boxes::default()],
            planner: Planner::default(),
            list: ListSpec::default(),
            tenants: vec![Tenant::default()],
            faults: Vec::new(),
            rules: Rules::default(),
            expected: Expected::default(),
        }
    }
}

/// An invalid value, with its byte offset in the file and its path.
struct ConfigError {
    offset: usize,
    path: String,
    what: String,
}

impl Spec {
    /// Parses and validates a scenario file.
    ///
    /// # Errors
    /// Gives the line, the column, the path of the field and what was expected there.
    pub fn parse(text: &str) -> Result<Self, ScenarioFileError> {
        let at = |offset: usize, path: String, what: String| {
            let before = text.get(..offset).unwrap_or(text);
            let line = before.matches('\n').count() + 1;
            let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
            ScenarioFileError { line, column, path, what }
        };
        let start = |error: &toml::de::Error| error.span().map_or(0, |span| span.start);
        let message = |error: &toml::de::Error| error.message().replace('\n', ", ");
        let document =
            toml::Deserializer::parse(text).map_err(|e| at(start(&e), "file".into(), message(&e)))?;
        let spec: Spec = serde_path_to_error::deserialize(document).map_err(|error| {
            let path = error.path().to_string();
            let inner = error.into_inner();
            at(start(&inner), if path == "." { "file".into() } else { path }, message(&inner))
        })?;
        spec.check(text).map_err(|ConfigError { offset, path, what }| at(offset, path, what))?;
        Ok(spec)
    }

    /// All boxes by index, each as its group.
    pub fn each_box(&self) -> impl Iterator<Item = &Boxes> {
        self.boxes.iter().flat_map(|group| std::iter::repeat_n(group, usize::from(group.count)))
    }

    /// The name of the depot that a node is in.
    pub fn depot_of(&self, node: usize) -> &str {
        &self.depots[node % self.depots.len()]
    }

    /// For each box the index of the first box at its address.
    pub fn box_hosts(&self) -> Vec<usize> {
        let at =
            |(index, group): (usize, &Boxes)| group.at.as_ref().map_or(index, |at| usize::from(*at.as_ref()));
        self.each_box().enumerate().map(at).collect()
    }

    /// The longest deadline of all tenants.
    pub fn longest_deadline(&self) -> Span {
        self.tenants.iter().map(|t| t.deadline).max().unwrap_or_default()
    }
}

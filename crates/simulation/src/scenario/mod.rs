//! Scenarios: TOML files that describe a fleet, its clients and the fault events of a run. A seed draws values from
//! their ranges.

mod boxes;
mod draw;
mod fields;
mod fleet;
mod goal;
mod incident;
mod request_load;
mod scaling;
#[cfg(test)]
mod tests;
mod validation;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::range::Range;
use crate::run_spec::LimitsSpec;
use crate::time::Span;
pub use boxes::BoxKind;
pub use fleet::{ListFile, NetworkFile, Nodes, PlannerFile};
pub use goal::{GoalFile, RulesFile};
pub use incident::{IncidentFile, IncidentKind};
pub use request_load::{ClassFile, ClientsFile, KeysFile, Point, TenantFile};

const fn ms(ms: u64) -> Span {
    Span::from_millis(ms)
}

const fn s(seconds: u64) -> Span {
    Span::from_millis(seconds * 1000)
}

/// A scenario file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Format version of the file; 1 is the only one.
    pub version: u32,
    /// Short name of the scenario.
    pub name: String,
    /// One-line description.
    pub about: String,
    /// Time for which clients send requests.
    pub length: Range<Span>,
    /// Names of the depots; boxes and nodes are assigned to them in turn.
    pub depots: Vec<String>,
    /// The nodes.
    pub nodes: Nodes,
    /// The planner.
    pub planner: PlannerFile,
    /// The endpoint list of boxes.
    pub list: ListFile,
    /// The network.
    pub network: NetworkFile,
    /// The clients.
    pub clients: ClientsFile,
    /// The keys that clients request.
    pub keys: KeysFile,
    /// Parameters of the four rules.
    pub rules: RulesFile,
    /// Features and limits of the deployment.
    pub limits: LimitsSpec,
    /// Weights and prices of the score.
    pub goal: GoalFile,
    /// Kinds of boxes; if not set, seven large and five small boxes.
    pub boxes: Vec<BoxKind>,
    /// Request classes; if not set, reads and keyed writes.
    pub classes: Vec<ClassFile>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantFile>,
    /// Fault events and planned operations.
    pub incidents: Vec<IncidentFile>,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            version: 1,
            name: "unnamed".into(),
            about: String::new(),
            length: Range::single(s(60)),
            depots: ["north", "east", "south", "west"].map(String::from).to_vec(),
            nodes: Nodes::default(),
            planner: PlannerFile::default(),
            list: ListFile::default(),
            network: NetworkFile::default(),
            clients: ClientsFile::default(),
            keys: KeysFile::default(),
            rules: RulesFile::default(),
            limits: LimitsSpec::default(),
            goal: GoalFile::default(),
            boxes: vec![BoxKind::default(), BoxKind::small()],
            classes: vec![ClassFile::default(), ClassFile::write()],
            tenants: Vec::new(),
            incidents: Vec::new(),
        }
    }
}

/// An invalid value in a scenario, with its field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {what}")]
pub struct InvalidField {
    /// Path of the field, such as `incidents[2].boxes`.
    pub path: String,
    /// The expected and the found value.
    pub what: String,
}

/// A parse or validation error of a scenario file, with its position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {path}: {what}")]
pub struct ScenarioFileError {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1, in characters.
    pub column: usize,
    /// Path of the field.
    pub path: String,
    /// The expected and the found value.
    pub what: String,
}

impl Scenario {
    /// Parses and checks the text of a scenario file.
    ///
    /// # Errors
    /// If the text is malformed or a value is invalid; the error has line, column, field and what was expected.
    pub fn parse(text: &str) -> Result<Self, ScenarioFileError> {
        let at = |offset: usize, path: String, what: String| {
            let before = &text[..offset.min(text.len())];
            let line = before.matches('\n').count() + 1;
            let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
            ScenarioFileError { line, column, path, what }
        };
        let start = |error: &toml::de::Error| error.span().map_or(0, |span| span.start);
        let message = |error: &toml::de::Error| error.message().replace('\n', ", ");
        let document =
            toml::Deserializer::parse(text).map_err(|e| at(start(&e), "file".into(), message(&e)))?;
        let scenario: Scenario = serde_path_to_error::deserialize(document).map_err(|error| {
            let path = error.path().to_string();
            let inner = error.into_inner();
            at(start(&inner), if path == "." { "file".into() } else { path }, message(&inner))
        })?;
        scenario
            .check()
            .map_err(|InvalidField { path, what }| at(crate::locate::offset(text, &path), path, what))?;
        Ok(scenario)
    }
}

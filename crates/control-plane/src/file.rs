//! The fleet file, such as `deploy/fleet.toml`, which turns on the plane: its sections and their settings.

mod duration;
mod sections;

use serde::Deserialize;

pub use duration::FileDuration;
pub use sections::{BudgetsSection, Membership, StateSection, TableSection};

/// The supported version of the file format.
const VERSION: u32 = 1;

/// Contents of the fleet file. Unknown fields are errors; an absent optional section turns off its function.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Version of the file format: 1.
    pub version: u32,
    /// Name of the federation. Datagrams of another realm are dropped.
    pub realm: String,
    /// Maximum rate error of any node's clock against true time, in millionths; at most 100,000. The same at every
    /// node. Default 20,000 (2%).
    #[serde(default = "default_drift_ppm")]
    pub drift_ppm: u32,
    /// Membership protocol; always on.
    #[serde(default)]
    pub membership: Membership,
    /// Placement tables that all nodes agree on.
    pub table: Option<TableSection>,
    /// Connection budgets.
    pub budgets: Option<BudgetsSection>,
    /// State that is stored across restarts.
    pub state: Option<StateSection>,
}

fn default_drift_ppm() -> u32 {
    20_000
}

/// A fault in a fleet file and its position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {field}: {expected}")]
pub struct FleetFileError {
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the field, such as `membership.probe_every`, or `file`.
    pub field: String,
    /// What was expected, or the parser's message.
    pub expected: String,
}

impl FleetFile {
    /// Parses and validates the text of a fleet file.
    ///
    /// # Errors
    /// Returns the line, column and field of the first fault and what was expected; the caller adds the file's name.
    pub fn parse(text: &str) -> Result<Self, FleetFileError> {
        let start = |error: &toml::de::Error| error.span().map_or(0, |span| span.start);
        let single_line = |error: &toml::de::Error| error.message().replace('\n', ", ");
        let document = toml::Deserializer::parse(text)
            .map_err(|e| error_at(text, start(&e), "file", single_line(&e)))?;
        let file: FleetFile = serde_path_to_error::deserialize(document).map_err(|error| {
            let path = error.path().to_string();
            let field = if path == "." { "file" } else { &path };
            error_at(text, start(error.inner()), field, single_line(error.inner()))
        })?;
        match file.first_fault() {
            None => Ok(file),
            Some((field, expected)) => Err(error_at(text, offset(text, &field), &field, expected)),
        }
    }

    /// The realm number in datagrams: the CRC-32 of the realm's name.
    pub fn realm_number(&self) -> u32 {
        crc32fast::hash(self.realm.as_bytes())
    }

    /// The first invalid field and what was expected; `None` if all fields are valid.
    fn first_fault(&self) -> Option<(String, String)> {
        let checks = [
            ("version", self.version == VERSION, "1 expected"),
            ("realm", !self.realm.is_empty(), "a name expected"),
            ("drift_ppm", self.drift_ppm <= 100_000, "at most 100000 expected"),
        ];
        let top =
            checks.iter().find(|(_, is_valid, _)| !is_valid).map(|(field, _, expected)| (*field, *expected));
        let of_membership = || self.membership.first_fault();
        let of_table = || self.table.as_ref().and_then(TableSection::first_fault);
        let of_budgets = || self.budgets.as_ref().and_then(BudgetsSection::first_fault);
        let of_state = || self.state.as_ref().and_then(StateSection::first_fault);
        let found = top.or_else(of_membership).or_else(of_table).or_else(of_budgets).or_else(of_state);
        found.map(|(field, expected)| (field.to_owned(), expected.to_owned()))
    }
}

fn error_at(text: &str, offset: usize, field: &str, expected: String) -> FleetFileError {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    FleetFileError { line, column, field: field.into(), expected }
}

/// Byte offset of a field such as `membership.probe_every`, or of the longest prefix of its path that is in the text.
fn offset(text: &str, field: &str) -> usize {
    let Ok(document) = toml::de::DeTable::parse(text) else { return 0 };
    let mut table = Some(document.get_ref());
    let mut found = 0;
    for name in field.split('.') {
        let Some(value) = table.and_then(|table| table.get(name)) else { break };
        found = value.span().start;
        table = value.get_ref().as_table();
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = include_str!("../../../deploy/fleet.toml");

    #[test]
    fn the_file_in_deploy_parses_and_states_the_defaults() {
        let file = FleetFile::parse(GOOD).unwrap_or_else(|error| panic!("deploy/fleet.toml:{error}"));
        assert_eq!(file.membership, Membership::default());
        assert_eq!(file.drift_ppm, default_drift_ppm());
        assert_eq!(file.table, Some(TableSection::default()));
        let minimal = FleetFile::parse("version = 1\nrealm = \"a\"\n").unwrap();
        assert_eq!((minimal.membership, minimal.table, minimal.budgets), (Membership::default(), None, None));
    }

    #[test]
    fn errors_name_the_position_and_the_field() {
        for (text, expected) in [
            ("version = 2\nrealm = \"a\"", "1:11: version: 1 expected"),
            ("version = 1\nrealm = \"\"", "2:9: realm: a name expected"),
            ("version = 1\nrealm = 3", "2:9: realm: invalid type: integer `3`, expected a string"),
            ("version = 1\nrealm = \"a\"\nhost = 1", "3:1: host: unknown field"),
            ("version = 1\nrealm = \"a\"\n[membership]\nprobe_every = 250", "4:15: membership.probe_every: "),
            (
                "version = 1\nrealm = \"a\"\n[membership]\nprobe_every = \"0s\"",
                "4:15: membership.probe_every: from 10ms",
            ),
            ("version = 1\nrealm = \"a\"\n[table]\nlease = \"2 parsecs\"", "4:9: table.lease: "),
            ("version = 1\nrealm = \"a\"\n[budgets]\ncontracts = \"c\"", "budgets: missing field"),
            ("version = 1\nrealm = ", "2:9: file: "),
        ] {
            let error = FleetFile::parse(text).expect_err(text).to_string();
            assert!(error.contains(expected), "{text:?}: {error}");
        }
    }
}

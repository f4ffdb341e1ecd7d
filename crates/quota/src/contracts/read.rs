//! Parses and validates contracts files; errors carry the position of the fault.

use serde::Deserialize;
use toml::Spanned;

use super::{Contracts, Tenant, MAX_TENANTS};

const VERSION: u32 = 1;
const OTHERS: &str = "others";
const MAX_SHARE: u32 = 10_000;

/// A fault in a contracts file and its position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {field}: {expected}")]
pub struct ContractError {
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the field, such as `tenants[1].share`, or `file`.
    pub field: String,
    /// What was expected, or the parser's message.
    pub expected: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    version: Spanned<u32>,
    revision: u32,
    others: Others,
    #[serde(default)]
    tenants: Vec<Entry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Others {
    share: Spanned<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    name: Spanned<String>,
    share: Spanned<u32>,
}

pub(super) fn parse(text: &str) -> Result<Contracts, ContractError> {
    let start = |error: &toml::de::Error| error.span().map_or(0, |span| span.start);
    let single_line = |error: &toml::de::Error| error.message().replace('\n', ", ");
    let document =
        toml::Deserializer::parse(text).map_err(|e| error_at(text, start(&e), "file", single_line(&e)))?;
    let file: File = serde_path_to_error::deserialize(document).map_err(|error| {
        // For a `Spanned` value, the path ends in the parser's internal field name.
        let path = error.path().to_string();
        let path = path.split(".$__").next().unwrap_or(&path);
        let field = if path == "." { "file" } else { path };
        error_at(text, start(error.inner()), field, single_line(error.inner()))
    })?;
    validate(&file).map_err(|(at, field, expected)| error_at(text, at, &field, expected))?;
    let mut tenants: Vec<Tenant> = file
        .tenants
        .into_iter()
        .map(|entry| Tenant { name: entry.name.into_inner(), share: entry.share.into_inner() })
        .collect();
    tenants.push(Tenant { name: OTHERS.into(), share: file.others.share.into_inner() });
    Ok(Contracts::new(file.revision, tenants))
}

/// Byte offset, field path, and what was expected.
type Fault = (usize, String, String);

/// Checks version, names and shares, and returns the first fault.
fn validate(file: &File) -> Result<(), Fault> {
    if *file.version.get_ref() != VERSION {
        return Err((file.version.span().start, "version".into(), format!("{VERSION} expected")));
    }
    validate_share(&file.others.share, "others.share")?;
    for (index, entry) in file.tenants.iter().enumerate() {
        let field = format!("tenants[{index}].name");
        let at = entry.name.span().start;
        let name = entry.name.get_ref();
        if index >= MAX_TENANTS {
            return Err((at, field, format!("at most {MAX_TENANTS} tenants expected")));
        }
        if name.is_empty() || name == OTHERS {
            return Err((at, field, format!("a name expected, and not {OTHERS:?}")));
        }
        if file.tenants[..index].iter().any(|earlier| earlier.name.get_ref() == name) {
            return Err((at, field, "a name that no earlier tenant has expected".into()));
        }
        validate_share(&entry.share, &format!("tenants[{index}].share"))?;
    }
    Ok(())
}

fn validate_share(share: &Spanned<u32>, field: &str) -> Result<(), Fault> {
    if (1..=MAX_SHARE).contains(share.get_ref()) {
        return Ok(());
    }
    Err((share.span().start, field.into(), format!("from 1 to {MAX_SHARE} expected")))
}

fn error_at(text: &str, offset: usize, field: &str, expected: String) -> ContractError {
    let before = text.get(..offset).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    ContractError { line, column, field: field.into(), expected }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::names::TenantIndex;

    #[test]
    fn the_file_in_deploy_parses_and_unknown_tenants_map_to_others() {
        let contracts = Contracts::parse(include_str!("../../../../deploy/contracts.toml")).unwrap();
        let last = TenantIndex(contracts.tenants().len() as u8 - 1);
        assert_eq!(contracts.tenant(&contracts.tenants()[0].name), TenantIndex(0));
        assert_eq!((contracts.tenant("nobody"), contracts.tenant("others")), (last, last));
    }

    #[test]
    fn errors_name_the_position_and_the_field() {
        let head = "version = 1\nrevision = 1\n[others]\nshare = 1\n";
        let many: String =
            (0..=MAX_TENANTS).map(|i| format!("[[tenants]]\nname = \"{i}\"\nshare = 1\n")).collect();
        for (text, expected) in [
            ("version = 2\nrevision = 1\n[others]\nshare = 1\n", "1:11: version: 1 expected"),
            ("version = 1\nrevision = 1\n[others]\nshare = 0\n", "4:9: others.share: from 1 to 10000"),
            ("version = 1\nrevision = 1\n", "others"),
            ("version = ", "1:11: file: "),
            (&format!("{head}[[tenants]]\nname = \"\"\nshare = 1\n"), "6:8: tenants[0].name: a name"),
            (
                &format!("{head}[[tenants]]\nname = \"a\"\nshare = \"1\"\n"),
                "7:9: tenants[0].share: invalid type",
            ),
            (
                &format!("{head}[[tenants]]\nname = \"a\"\nshare = 1\nquota = 1\n"),
                "8:1: tenants[0].quota: unknown",
            ),
            (&format!("{head}{many}"), "tenants[15].name: at most 15"),
            (
                &format!("{head}{}", "[[tenants]]\nname = \"a\"\nshare = 1\n".repeat(2)),
                "9:8: tenants[1].name: a name that",
            ),
        ] {
            let error = Contracts::parse(text).expect_err(text).to_string();
            assert!(error.contains(expected), "{text:?}: {error}");
        }
    }
}

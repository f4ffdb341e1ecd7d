//! The documentation pages: paths that they name exist, and the README stays short.

use std::path::{Path, PathBuf};

const README_LINES: usize = 80;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    std::fs::read_to_string(root().join(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Returns the repository paths that a page names between backticks.
fn paths_named_in(text: &str) -> Vec<&str> {
    let is_path = |word: &&str| {
        let is_plain = word.chars().all(|c| c.is_ascii_alphanumeric() || "/._-".contains(c));
        let folders = ["crates/", "docs/", "scenarios/", "deploy/", ".ci/"];
        is_plain && folders.iter().any(|folder| word.starts_with(folder))
    };
    text.split('`').skip(1).step_by(2).filter(is_path).collect()
}

#[test]
fn paths_named_in_the_documentation_exist() {
    for name in ["docs/ARCHITECTURE.md", "docs/CONTRIBUTING.md", "docs/GLOSSARY.md", "README.md"] {
        let text = page(name);
        // Removes fenced code blocks: their triple backticks would swap the text inside and outside of backtick pairs.
        let text: String = text.split("```").step_by(2).collect();
        let missing: Vec<&str> =
            paths_named_in(&text).into_iter().filter(|path| !root().join(path).exists()).collect();
        assert!(missing.is_empty(), "{name} names what is not there: {missing:?}");
    }
    assert!(paths_named_in(&page("docs/ARCHITECTURE.md")).len() > 40, "paths are found at all");
}

#[test]
fn the_readme_has_under_80_lines() {
    assert!(page("README.md").lines().count() < README_LINES);
}

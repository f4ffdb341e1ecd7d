//! Helpers shared by the tests of the command.

use std::process::{Command, Output};

pub fn hallpin(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hallpin")).args(arguments).output().expect("the command runs")
}

/// A temporary folder, removed when dropped.
pub struct Folder(tempfile::TempDir);

impl Folder {
    pub fn new() -> Self {
        Folder(tempfile::tempdir().expect("a folder"))
    }

    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        std::fs::write(&path, text).expect("a file");
        path
    }

    pub fn path(&self, name: &str) -> String {
        self.0.path().join(name).to_string_lossy().into_owned()
    }
}

pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A two-second scenario with one silent box and the death of one node.
pub const SHORT: &str = r#"version = 1
name = "short"
length = "2s"

[nodes]
count = 2

[clients]
rate = 40.0

[[classes]]
name = "lookup"
work = "10ms"
aim = "500ms"
deadline = "1s"

[[incidents]]
kind = "silent"
at = "500ms"
lasts = "1s"
boxes = 1

[[incidents]]
kind = "node-death"
at = "800ms"
lasts = "400ms"
nodes = 1
"#;

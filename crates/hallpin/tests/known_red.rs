//! The reader of KNOWN-RED.txt: which entries CI passes over, and which end it.

use std::path::Path;
use std::process::{Command, Output};

const REVIEW: &str = "review/3 | review/3/run.sh, no seed | seen | issue 36";
const BENCH: &str =
    "bench midlands-calendar roll+pipeline+brink | lbreal --rough KIND --seed 7 | seen | issue 36";
const INTEGRATION: &str = "hallpin-node --test node kill::a_test | cargo test, no seed | seen | issue 49";
const SOMETIMES: &str =
    "sometimes hallpin-node --test node kill::a_test | cargo test, no seed | 1 run of 16 | issue 49";
const LIBRARY: &str = "hallpin-node stop::tests::a_test | cargo test, no seed | seen | issue 36";

/// Runs the reader on a file with this text, without running the tests that it names.
fn read_entries(text: &str) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    Command::new(root.join(".ci/known-red")).arg("--check").arg(file.path()).output().unwrap()
}

/// Every entry is printed, with and without a newline behind the last one: a last line without one used to be passed
/// over unread.
#[test]
fn each_entry_is_printed_whether_or_not_a_newline_ends_it() {
    let entries = [REVIEW, BENCH, LIBRARY, INTEGRATION, SOMETIMES];
    for text in [entries.join("\n") + "\n", entries.join("\n")] {
        let output = read_entries(&text);
        assert!(output.status.success(), "{output:?}");
        let printed = String::from_utf8(output.stdout).unwrap();
        assert_eq!(printed.lines().count(), entries.len(), "{printed}");
        for (line, entry) in printed.lines().zip(entries) {
            assert_eq!(line, format!("known to fail (not run): {entry}"));
        }
    }
}

/// Anything that is not an entry of a known form fails, so that nothing is passed over by mistake.
#[test]
fn any_other_form_fails() {
    let invalid = [
        REVIEW.replace("review/3 |", "review/no-such-case |"),
        REVIEW.replace("review/3 |", "crates/node/run.sh |"),
        REVIEW.replace(" | issue 36", ""),
        REVIEW.replace("issue 36", "36"),
        REVIEW.replace("seen", " "),
        format!("{REVIEW} | more"),
        format!("{REVIEW}; {REVIEW}"),
        BENCH.replace("--seed 7", "--seed"),
        BENCH.replace("bench midlands-calendar", "bench"),
        LIBRARY.replace("hallpin-node ", ""),
        "not an entry".into(),
        "\n".into(),
        INTEGRATION.replace("--test node ", "--test "),
        INTEGRATION.replace("--test node ", "--bench node "),
        SOMETIMES.replace("sometimes ", "often "),
    ];
    for text in invalid {
        let output = read_entries(&text);
        assert_eq!(output.status.code(), Some(1), "{text}");
        assert!(String::from_utf8_lossy(&output.stderr).starts_with("KNOWN-RED.txt: "), "{output:?}");
    }
}

/// The file of this commit can be read.
#[test]
fn the_committed_file_is_valid() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = Command::new(root.join(".ci/known-red")).arg("--check").output().unwrap();
    assert!(output.status.success(), "{output:?}");
}

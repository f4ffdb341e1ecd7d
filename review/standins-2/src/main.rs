//! Runs one case: `review-2 CASE RECORD`, from the repository's root; RECORD is the file that it writes. `TROUBLE=0` leaves the disruption out.

mod gone;
mod kill_behind;
mod large_upgrade;
mod repeat;
mod rollback;

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::process::exit;
use std::thread::{sleep, spawn};
use std::time::Duration;

use review_standins_2::platform::end_nodes;
use review_standins_2::record::Record;
use review_standins_2::Verdict;

/// A case that takes longer ends its processes and counts as not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case is given.
pub struct Case {
    pub root: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).map(String::as_str) == Some("servers") {
        return large_upgrade::servers(&arguments[2..]);
    }
    let (Some(name), Some(file)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-2 CASE RECORD");
        exit(2);
    };
    let record = match Record::create(Path::new(file)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            exit(2);
        }
    };
    let slow = record.clone();
    spawn(move || {
        sleep(TIME_LIMIT);
        slow.line("not run: the case took too long");
        end_nodes();
        exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = Case { root: std::env::current_dir().unwrap(), record: record.clone(), trouble };
    record.line(&format!(
        "case {name}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    ));
    let play = || match name.as_str() {
        "gone" => gone::run(&case),
        "kill-behind" => kill_behind::run(&case),
        "large-upgrade" => large_upgrade::run(&case),
        "repeat" => repeat::run(&case),
        "rollback" => rollback::run(&case),
        _ => Verdict::NotRun(format!("no case {name}")),
    };
    // The processes that a case has started end with it, whatever happens.
    let verdict = catch_unwind(AssertUnwindSafe(play)).unwrap_or(Verdict::NotRun("the case failed".into()));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_string(), 0),
        Verdict::Broken => ("the rule was broken".to_string(), 1),
        Verdict::NotRun(why) => (format!("not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}

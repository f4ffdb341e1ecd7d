//! Runs one case of the review: `hallpin-review CASE FOLDER`, from the project's root. The record goes to
//! FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod behind;
mod client;
mod departed;
mod long_values;
mod pauses;
mod pipeline;
mod platform;
mod servers;
mod slow_list;
mod slow_reader;

use std::path::Path;
use std::time::Duration;

use platform::{not_run, Record};

/// Whether the run has the disruption; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else { not_run("usage: hallpin-review CASE FOLDER") };
    let record = Record::create(&Path::new(folder).join("record.txt"));
    record.line(&format!("case {case}, disruption: {}", if has_trouble() { "yes" } else { "no" }));
    let (ended, judged) = std::sync::mpsc::channel();
    let (name, of_case) = (case.clone(), record.clone());
    std::thread::spawn(move || {
        let verdict = match name.as_str() {
            "upgrade-long-values" => long_values::run(&of_case),
            "pauses" => pauses::run(&of_case),
            "restart-pipeline" => pipeline::run(&of_case),
            "behind" => behind::run(&of_case),
            "slow-reader" => slow_reader::run(&of_case),
            "departed" => departed::run(&of_case),
            "slow-list" => slow_list::pushed(&of_case),
            "slow-asked-list" => slow_list::asked(&of_case),
            _ => not_run("no such case"),
        };
        let _ = ended.send(verdict);
    });
    let verdict = judged.recv_timeout(Duration::from_secs(100)).unwrap_or(platform::NOT_RUN);
    let word = ["the rule held", "the rule was broken", "the case could not run"][verdict as usize];
    record.line(&format!("verdict: {word}"));
    println!("{case}: {word}");
    platform::end(verdict)
}

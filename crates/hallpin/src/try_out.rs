//! `hallpin try`: plays a scenario with real nodes and injected faults on an emulated fleet.

use std::path::PathBuf;
use std::process::ExitCode;

use hallpin_loadgen::{chart, table};
use hallpin_simulation::range::Range;
use hallpin_simulation::scenario::Scenario;
use hallpin_simulation::time::Span;

use crate::failure::{self, Failure};
use crate::sockets;

/// Command-line options.
#[derive(clap::Args)]
pub struct Options {
    /// Time in seconds during which requests are sent; by default the scenario's length
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u64).range(1..))]
    seconds: Option<u64>,
    /// Scenario to play instead of the built-in one: 12 boxes, 3 nodes, a silent box and the death of a node
    #[arg(long, value_name = "FILE")]
    scenario: Option<PathBuf>,
    /// Seed of the scenario's random draws
    #[arg(long, default_value_t = 1, value_name = "N")]
    seed: u64,
    /// File for the SVG chart
    #[arg(long, default_value = "hallpin-try.svg", value_name = "FILE")]
    chart: PathBuf,
    /// Writes the verdict as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

const BUILT_IN_SCENARIO: &str = include_str!("try.toml");

/// Plays the scenario; the exit code is 1 if a rule was broken.
pub fn run(options: &Options) -> Result<ExitCode, Failure> {
    let mut scenario = match &options.scenario {
        Some(path) => failure::read_scenario(path)?,
        None => Scenario::parse(BUILT_IN_SCENARIO)
            .map_err(|error| Failure::InvalidScenario("the built-in scenario".into(), error))?,
    };
    if let Some(seconds) = options.seconds {
        scenario.length = Range::single(Span::from_millis(seconds * 1000));
        let end = scenario.length.low;
        scenario.incidents.retain(|incident| incident.at.high < end);
    }
    eprintln!("{}: {} for {}; Ctrl-C ends it early", scenario.name, scenario.about, scenario.length.high);
    let (played, ended_early) = sockets::play(&scenario, options.seed, None)?;
    if ended_early {
        println!("ended early: the results cover the time until then\n");
    }
    println!("{}, seed {}, on loopback sockets\n", scenario.name, played.seed);
    println!("{}", table::run_summary(&played.verdict));
    chart::draw_run(&played.verdict, &format!("{}, seed {}", scenario.name, played.seed), &options.chart)?;
    println!("chart: {}", options.chart.display());
    if let Some(path) = &options.json {
        let text = serde_json::to_vec_pretty(&played).map_err(|error| Failure::Json(path.clone(), error))?;
        failure::write_file(path, &text)?;
    }
    Ok(ExitCode::from(u8::from(!played.verdict.is_clean())))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_built_in_scenario_is_valid() {
        let scenario = Scenario::parse(BUILT_IN_SCENARIO).unwrap();
        let day = scenario.draw(1).unwrap();
        assert_eq!((day.boxes.len(), day.nodes.len(), day.fault_events.len()), (12, 3, 2));
    }
}

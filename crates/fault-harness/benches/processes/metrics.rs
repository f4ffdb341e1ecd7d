//! Collects measured values, and prints the median and the worst of each metric with the number of runs.

use std::collections::BTreeMap;
use std::fmt;

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::Table;

use crate::run::Run;

/// Which extreme of a metric's values is the worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Worst {
    /// The largest.
    Most,
    /// The smallest.
    Least,
}

/// The value of a metric in one run; `None` if the measured event did not happen.
#[derive(Clone, Debug)]
pub struct Value {
    /// Name of the metric, with its unit.
    pub name: &'static str,
    /// The value, in the unit of the metric.
    pub value: Option<f64>,
    /// Which extreme is the worst.
    pub worst: Worst,
}

impl Value {
    /// A metric whose larger values are worse.
    pub fn less_is_better(name: &'static str, value: impl Into<Option<f64>>) -> Self {
        Value { name, value: value.into(), worst: Worst::Most }
    }

    /// A metric whose smaller values are worse.
    pub fn more_is_better(name: &'static str, value: impl Into<Option<f64>>) -> Self {
        Value { name, value: value.into(), worst: Worst::Least }
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.name, number(self.value))
    }
}

fn number(value: Option<f64>) -> String {
    value.map_or("never".into(), |value| format!("{value:.3}"))
}

/// All values, by scenario, metric, number of nodes, and whether the control plane was on.
#[derive(Default)]
pub struct Metrics(BTreeMap<(String, &'static str, usize, bool), MetricRuns>);

/// Which extreme of a metric is the worst, and its value in each run.
struct MetricRuns(Worst, Vec<Option<f64>>);

impl Metrics {
    /// Adds a value of a run.
    pub fn add(&mut self, run: &Run, value: Value) {
        let key = (run.name(), value.name, run.nodes, run.control_plane_on);
        let runs = self.0.entry(key).or_insert_with(|| MetricRuns(value.worst, Vec::new()));
        runs.1.push(value.value);
    }
}

/// Median and worst; a missing value counts as worse than any other.
fn median_and_worst(worst: Worst, values: &[Option<f64>]) -> (Option<f64>, Option<f64>) {
    let mut present: Vec<f64> = values.iter().copied().flatten().collect();
    present.sort_unstable_by(f64::total_cmp);
    if worst == Worst::Least {
        present.reverse();
    }
    let (middle, last) = (values.len() / 2, values.len().saturating_sub(1));
    let at = |rank: usize| present.get(rank).copied();
    let median = match values.len() % 2 {
        0 => at(middle.saturating_sub(1)).zip(at(middle)).map(|(a, b)| f64::midpoint(a, b)),
        _ => at(middle),
    };
    (median, at(last))
}

impl fmt::Display for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new();
        table.load_preset(ASCII_MARKDOWN);
        table.set_header(["scene", "figure", "nodes", "plane", "median", "worst", "runs"]);
        for ((scenario, name, nodes, control_plane_on), MetricRuns(worst, values)) in &self.0 {
            let (median, last) = median_and_worst(*worst, values);
            let plane = if *control_plane_on { "on" } else { "off" };
            table.add_row([
                scenario.clone(),
                (*name).into(),
                nodes.to_string(),
                plane.into(),
                number(median),
                number(last),
                values.len().to_string(),
            ]);
        }
        write!(f, "{table}")
    }
}

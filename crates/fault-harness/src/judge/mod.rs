//! The invariant checker: reads the trace of a run in order, and reports which rules were violated. Pure.

mod cold_box;
mod counts;
mod datagrams;
mod drain;
mod final_answer;
mod list_calls;
mod no_early_switch;
mod no_older_table;
mod one_table;
mod out;
mod planner;
mod reach;
mod report;
mod starved;
mod tables;
mod tenant;
mod whole;
mod window;

use std::rc::Rc;

use hallpin_simulation::time::Time;
use serde::Serialize;

use crate::spec::Spec;
use crate::trace::Record;

use starved::Starved;
use tables::{Placed, Tables};

pub use counts::{BoxCounts, Counts, Datagrams};
pub use report::Report;

/// Maximum number of violations that are reported in full; all are counted.
const MOST_TOLD: usize = 50;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// Name of the rule.
    pub rule: &'static str,
    /// Time of the violation, in microseconds.
    pub at: Time,
    /// Description of what happened.
    pub what: String,
}

/// The violations found so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Found {
    /// The first violations, up to the maximum that is reported.
    pub told: Vec<Breach>,
    /// Number of all violations.
    pub count: u64,
}

impl Found {
    fn add(&mut self, rule: &'static str, at: Time, what: String) {
        self.count += 1;
        if self.told.len() < MOST_TOLD {
            self.told.push(Breach { rule, at, what });
        }
    }
}

/// A rule: receives every record of the trace in order, and then the end of the trace.
trait Rule {
    fn see(&mut self, record: &Record, found: &mut Found);

    /// Receives a placement, after the record of the attempt that it was derived from.
    fn placed(&mut self, _at: Time, _placed: &Placed, _found: &mut Found) {}

    fn over(&mut self, _found: &mut Found) {}
}

fn rules(spec: &Spec, starved: &Rc<Starved>) -> Vec<Box<dyn Rule>> {
    let bounds = &spec.rules;
    let mut rules: Vec<Box<dyn Rule>> = vec![
        Box::new(final_answer::OneFinalAnswer::new(bounds.leeway, starved.clone())),
        Box::new(drain::DrainHonoured::new(
            spec.machines(),
            bounds.drain_grace + bounds.leeway,
            starved.clone(),
        )),
        Box::new(datagrams::JoinStormBounded::new(bounds.datagrams, starved.clone())),
    ];
    if bounds.whole_kept {
        rules.push(Box::new(whole::WholeKept::new()));
    }
    if let Some(most) = bounds.planner_fetches {
        rules.push(Box::new(planner::PlannerKept::new(most)));
    }
    if let Some(most) = bounds.cold_fetches {
        rules.push(Box::new(cold_box::ColdBoxKept::new(most)));
    }
    if let Some(most) = bounds.list_calls {
        rules.push(Box::new(list_calls::ListCallsBounded::new(most, starved.clone())));
    }
    if let Some(most) = bounds.tenant_loss {
        rules.push(Box::new(tenant::TenantUnharmed::new(spec, most, starved.clone())));
    }
    let nodes = usize::from(spec.nodes.count);
    if let Some(spread) = bounds.table_spread {
        rules.push(Box::new(no_older_table::NoOlderTable::new(starved.clone())));
        let spread = spread + bounds.leeway;
        rules.push(Box::new(one_table::OneTablePerKey::new(
            nodes,
            spread,
            bounds.table_catch_up,
            starved.clone(),
        )));
    }
    if let Some(lease) = bounds.table_lease {
        rules.push(Box::new(no_early_switch::NoEarlySwitch::new(nodes, lease)));
    }
    rules
}

/// Checks the trace of a run against all rules that apply.
pub fn judge(spec: &Spec, records: &[Record]) -> Report {
    let mut found = Found::default();
    let mut rules = rules(spec, &Rc::new(Starved::of(records)));
    let tabled = spec.rules.table_spread.is_some() || spec.rules.table_lease.is_some();
    let mut tables = tabled.then(|| Tables::new(spec));
    for record in records {
        rules.iter_mut().for_each(|rule| rule.see(record, &mut found));
        if let Some(placed) = tables.as_mut().and_then(|tables| tables.see(record)) {
            rules.iter_mut().for_each(|rule| rule.placed(record.at, &placed, &mut found));
        }
    }
    rules.iter_mut().for_each(|rule| rule.over(&mut found));
    let mut counts = Counts::of(spec, records);
    counts.placed = tables.map(|tables| tables.counts());
    Report::new(spec, counts, found)
}

/// Helpers for the tests of the rules.
#[cfg(test)]
mod tests {
    use super::*;
    use crate::trace::Event;

    /// No violations.
    pub const NONE: [u64; 0] = [];

    /// A trace from events and their times in milliseconds.
    pub fn history(events: Vec<(u64, Event)>) -> Vec<Record> {
        events.into_iter().map(|(ms, event)| Record { at: Time(ms * 1000), event }).collect()
    }

    /// Times in milliseconds of the violations that a rule finds in a trace with these placements.
    pub fn found_placed(
        mut rule: impl Rule,
        events: Vec<(u64, Event)>,
        placed: Vec<(u64, Placed)>,
    ) -> Vec<u64> {
        let (mut found, records) = (Found::default(), history(events));
        let mut records = records.iter().peekable();
        for (ms, placed) in placed {
            let at = Time(ms * 1000);
            while let Some(record) = records.next_if(|record| record.at <= at) {
                rule.see(record, &mut found);
            }
            rule.placed(at, &placed, &mut found);
        }
        found.told.iter().map(|breach| breach.at.0 / 1000).collect()
    }

    /// Times in milliseconds of the violations that a rule finds in a trace.
    pub fn found(mut rule: impl Rule, events: Vec<(u64, Event)>) -> Vec<u64> {
        let mut found = Found::default();
        history(events).iter().for_each(|record| rule.see(record, &mut found));
        rule.over(&mut found);
        found.told.iter().map(|breach| breach.at.0 / 1000).collect()
    }
}

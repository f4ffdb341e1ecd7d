//! The invariant checker: reads the trace of a run in order, and reports which rules were violated. Pure.

mod cold_box_kept;
mod connectivity;
mod counts;
mod drain_honoured;
mod fetches_in_flight;
mod join_storm_bounded;
mod list_calls_bounded;
mod no_early_switch;
mod no_older_table;
mod one_final_answer;
mod one_table_per_key;
mod planner_kept;
mod report;
mod scheduling_delay;
mod table_history;
mod tenant_unharmed;
mod whole_kept;
mod window;

use std::rc::Rc;

use hallpin_simulation::time::Time;
use serde::Serialize;

use crate::spec::Spec;
use crate::trace::Record;

use scheduling_delay::SchedulingDelay;
use table_history::{Placement, TableHistory};

pub use counts::{BoxCounts, Counts, Datagrams};
pub use report::Report;

/// Maximum number of violations that are reported in full; all are counted.
const MAX_REPORTED: usize = 50;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// Time of the violation, in microseconds.
    pub at: Time,
    /// Description of what happened.
    pub what: String,
}

/// The violations found so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Violations {
    /// The first violations, up to the maximum that is reported.
    pub reported: Vec<Violation>,
    /// Number of all violations.
    pub count: u64,
}

impl Violations {
    fn add(&mut self, rule: &'static str, at: Time, what: String) {
        self.count += 1;
        if self.reported.len() < MAX_REPORTED {
            self.reported.push(Violation { rule, at, what });
        }
    }
}

/// A rule: receives every record of the trace in order, and then the end of the trace.
trait Rule {
    fn observe(&mut self, record: &Record, violations: &mut Violations);

    /// Receives a placement, after the record of the attempt that it was derived from.
    fn observe_placement(&mut self, _at: Time, _placement: &Placement, _violations: &mut Violations) {}

    fn finish(&mut self, _violations: &mut Violations) {}
}

fn rules(spec: &Spec, delays: &Rc<SchedulingDelay>) -> Vec<Box<dyn Rule>> {
    let bounds = &spec.rules;
    let mut rules: Vec<Box<dyn Rule>> = vec![
        Box::new(one_final_answer::OneFinalAnswer::new(bounds.leeway, delays.clone())),
        Box::new(drain_honoured::DrainHonoured::new(
            spec.box_hosts(),
            bounds.drain_grace + bounds.leeway,
            delays.clone(),
        )),
        Box::new(join_storm_bounded::JoinStormBounded::new(bounds.datagrams, delays.clone())),
    ];
    if bounds.whole_kept {
        rules.push(Box::new(whole_kept::WholeKept::new()));
    }
    if let Some(limit) = bounds.planner_fetches {
        rules.push(Box::new(planner_kept::PlannerKept::new(limit)));
    }
    if let Some(limit) = bounds.cold_fetches {
        rules.push(Box::new(cold_box_kept::ColdBoxKept::new(limit)));
    }
    if let Some(limit) = bounds.list_calls {
        rules.push(Box::new(list_calls_bounded::ListCallsBounded::new(limit, delays.clone())));
    }
    if let Some(limit) = bounds.tenant_loss {
        rules.push(Box::new(tenant_unharmed::TenantUnharmed::new(spec, limit, delays.clone())));
    }
    let nodes = usize::from(spec.nodes.count);
    if let Some(spread) = bounds.table_spread {
        rules.push(Box::new(no_older_table::NoOlderTable::new(delays.clone())));
        let spread = spread + bounds.leeway;
        rules.push(Box::new(one_table_per_key::OneTablePerKey::new(
            nodes,
            spread,
            bounds.table_catch_up,
            delays.clone(),
        )));
    }
    if let Some(lease) = bounds.table_lease {
        rules.push(Box::new(no_early_switch::NoEarlySwitch::new(nodes, lease)));
    }
    rules
}

/// Checks the trace of a run against all rules that apply.
pub fn check_invariants(spec: &Spec, records: &[Record]) -> Report {
    let mut violations = Violations::default();
    let mut rules = rules(spec, &Rc::new(SchedulingDelay::of(records)));
    let checks_tables = spec.rules.table_spread.is_some() || spec.rules.table_lease.is_some();
    let mut table_history = checks_tables.then(|| TableHistory::new(spec));
    for record in records {
        rules.iter_mut().for_each(|rule| rule.observe(record, &mut violations));
        if let Some(placement) =
            table_history.as_mut().and_then(|table_history| table_history.observe(record))
        {
            rules.iter_mut().for_each(|rule| rule.observe_placement(record.at, &placement, &mut violations));
        }
    }
    rules.iter_mut().for_each(|rule| rule.finish(&mut violations));
    let mut counts = Counts::of(spec, records);
    counts.placed = table_history.map(|table_history| table_history.counts());
    Report::new(spec, counts, violations)
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
    pub fn violation_times_with_placements(
        mut rule: impl Rule,
        events: Vec<(u64, Event)>,
        placement: Vec<(u64, Placement)>,
    ) -> Vec<u64> {
        let (mut violations, records) = (Violations::default(), history(events));
        let mut records = records.iter().peekable();
        for (ms, placement) in placement {
            let at = Time(ms * 1000);
            while let Some(record) = records.next_if(|record| record.at <= at) {
                rule.observe(record, &mut violations);
            }
            rule.observe_placement(at, &placement, &mut violations);
        }
        violations.reported.iter().map(|violation| violation.at.0 / 1000).collect()
    }

    /// Times in milliseconds of the violations that a rule finds in a trace.
    pub fn violation_times(mut rule: impl Rule, events: Vec<(u64, Event)>) -> Vec<u64> {
        let mut violations = Violations::default();
        history(events).iter().for_each(|record| rule.observe(record, &mut violations));
        rule.finish(&mut violations);
        violations.reported.iter().map(|violation| violation.at.0 / 1000).collect()
    }
}

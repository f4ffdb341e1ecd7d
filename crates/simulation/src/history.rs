//! Histories: trace files that are read back and checked. The first line is a header that identifies the run. Each
//! following line is an event with its time, in order of time; the last one is `day-over`. `docs/design/histories.md`
//! specifies the format.
//!
//! A malformed, truncated or empty history is an error with its line number, never a pass.

use std::collections::{HashMap, HashSet};
use std::io::BufRead;

use serde::{Deserialize, Serialize};

use crate::invariants::{InvariantChecker, Verdict};
use crate::run_spec::RunSpec;
use crate::scenario::Scenario;
use crate::time::{Span, Time};
use crate::trace::{AskId, AttemptOutcome, Event, Line, Sink, TryId};

/// Format version that this library writes and reads.
const FORMAT_VERSION: u32 = 1;

/// First line of a history: what the invariant checker needs to know about the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Format version of the history; 1 is the only one.
    pub history: u32,
    /// Seed of the run.
    pub seed: u64,
    /// Added to time limits, as events observed through sockets are seen late.
    pub leeway: Span,
    /// Scenario that the run was drawn from.
    pub scenario: Scenario,
}

impl Header {
    /// Creates the header for a run of this scenario and seed.
    pub fn new(scenario: &Scenario, seed: u64, leeway: Span) -> Self {
        Header { history: FORMAT_VERSION, seed, leeway, scenario: scenario.clone() }
    }
}

/// Reason why a history cannot be checked, with its line.
#[derive(Debug, thiserror::Error)]
#[error("{line}: {what}")]
pub struct HistoryError {
    /// Line number, from 1; one past the last line if something is missing at the end.
    pub line: usize,
    /// The expected and the found value.
    pub what: String,
}

/// Returns the run with the graces for answers and drains and the slack of waits extended by the leeway. With
/// any leeway, attempts may also be unseen for the leeway and all dials of a try, and may cross a disconnect.
pub fn with_leeway(run_spec: &RunSpec, leeway: Span) -> RunSpec {
    let mut extended = run_spec.clone();
    extended.rules.answer_grace = extended.rules.answer_grace + leeway;
    extended.rules.drain_grace = extended.rules.drain_grace + leeway;
    extended.rules.wait_slack = extended.rules.wait_slack + leeway;
    if !leeway.is_zero() {
        // A connection that is never established is visible only to the node that waits for it.
        let dial_time = run_spec.limits.dial_timeout * f64::from(run_spec.limits.max_attempts);
        extended.rules.unseen = leeway + dial_time;
        extended.rules.disconnects_cross = true;
    }
    extended
}

/// Reads a history to its end and checks it against the rules.
///
/// # Errors
/// If a record is malformed, missing or out of place, or if the history has no accepted request to check.
pub fn check_history(from: impl BufRead) -> Result<Verdict, HistoryError> {
    let mut lines = (1..).zip(from.lines());
    let (mut last, mut over) = (1, false);
    let run_spec = match lines.next() {
        None => return Err(HistoryError { line: 1, what: "a history expected, got nothing".into() }),
        Some((_, first)) => {
            let header = first.map_err(|e| e.to_string()).and_then(|text| parse_header(&text));
            header.map_err(|what| HistoryError { line: 1, what })?
        }
    };
    let mut validator = RecordValidator::new(&run_spec);
    let mut checker = InvariantChecker::new(&run_spec);
    for (line, text) in lines {
        let error_here = |what: String| HistoryError { line, what };
        let text = text.map_err(|error| error_here(error.to_string()))?;
        let Line { at, event } =
            serde_json::from_str(&text).map_err(|error| error_here(error.to_string()))?;
        if over {
            return Err(error_here("nothing expected behind day-over".into()));
        }
        validator.check(at, &event).map_err(error_here)?;
        checker.record(at, &event);
        (last, over) = (line, event == Event::RunEnded);
    }
    let error_at_end = |what: &str| HistoryError { line: last + 1, what: what.into() };
    if !over {
        return Err(error_at_end("day-over expected, got the end: the history is cut short"));
    }
    if validator.tries.is_empty() {
        return Err(error_at_end("a request taken by a node expected, got none: there is nothing to judge"));
    }
    Ok(checker.verdict())
}

/// Draws the run that a history's first line describes, with the header's leeway.
fn parse_header(text: &str) -> Result<RunSpec, String> {
    let header: Header = serde_json::from_str(text).map_err(|error| error.to_string())?;
    if header.history != FORMAT_VERSION {
        return Err(format!("history: {FORMAT_VERSION} expected, got {}", header.history));
    }
    let run_spec = header.scenario.draw(header.seed).map_err(|error| format!("scenario: {error}"))?;
    Ok(with_leeway(&run_spec, header.leeway))
}

/// Validates the records of a history: indices exist in the run, and each event follows those that it depends on.
struct RecordValidator<'d> {
    run_spec: &'d RunSpec,
    now: Time,
    asks: HashSet<AskId>,
    /// Number of attempts sent for each accepted try.
    tries: HashMap<TryId, u32>,
    incidents: usize,
}

impl<'d> RecordValidator<'d> {
    fn new(run_spec: &'d RunSpec) -> Self {
        let (asks, tries) = (HashSet::new(), HashMap::new());
        RecordValidator { run_spec, now: Time::ZERO, asks, tries, incidents: 0 }
    }

    fn check(&mut self, at: Time, event: &Event) -> Result<(), String> {
        if at < self.now {
            return Err(format!("at: {} or later expected, got {}", self.now.0, at.0));
        }
        self.now = at;
        self.check_indices(event)?;
        match *event {
            Event::RequestStarted { ask, .. } if !self.asks.insert(ask) => {
                Err(format!("ask: a new request expected, got {ask} again"))
            }
            Event::TryAccepted { ask, .. }
            | Event::GaveUp { ask }
            | Event::Received { ask, .. }
            | Event::Dropped { ask, .. }
                if !self.asks.contains(&ask) =>
            {
                Err(format!("ask: a request asked before expected, got {ask}"))
            }
            Event::TryAccepted { id, .. } => match self.tries.insert(id, 0) {
                Some(_) => Err(format!("id: a new try expected, got {id} again")),
                None => Ok(()),
            },
            Event::Sent { id, attempt, .. } => match self.tries.get_mut(&id) {
                Some(next) if *next == attempt => {
                    *next += 1;
                    Ok(())
                }
                Some(next) => Err(format!("attempt: {next} expected, got {attempt}")),
                None => Err(format!("id: a try taken before expected, got {id}")),
            },
            // An attempt that was never sent may still be recorded as void.
            Event::Ended { how: AttemptOutcome::Void, .. } => Ok(()),
            Event::Ended { id, attempt, .. } if self.tries.get(&id).is_none_or(|sent| attempt >= *sent) => {
                Err(format!("attempt: one sent before expected, got {attempt} of try {id}"))
            }
            Event::FaultBegins { incident, .. } if incident != self.incidents => {
                Err(format!("incident: {} expected, got {incident}", self.incidents))
            }
            Event::FaultBegins { .. } => {
                self.incidents += 1;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Checks that indices of nodes, boxes, classes, tenants and fault events exist in the run.
    fn check_indices(&self, event: &Event) -> Result<(), String> {
        let run_spec = self.run_spec;
        let check_below = |field: &str, index: usize, count: usize| match index < count {
            true => Ok(()),
            false => Err(format!("{field}: below {count} expected, got {index}")),
        };
        let (nodes, boxes) = (run_spec.nodes.len(), run_spec.boxes.len());
        match *event {
            Event::RequestStarted { class, tenant, .. } => {
                check_below("class", class, run_spec.classes.len())?;
                tenant.map_or(Ok(()), |tenant| check_below("tenant", tenant, run_spec.tenants.len()))
            }
            Event::Sent { node, to, .. } | Event::Reached { node, to, .. } => {
                check_below("node", node, nodes)?;
                check_below("to", to, boxes)
            }
            Event::Notified { node, of, .. } | Event::ChangeAvailable { node, of, .. } => {
                check_below("node", node, nodes)?;
                check_below("of", of, boxes)
            }
            Event::TryAccepted { node, .. }
            | Event::NodeUp { node }
            | Event::NodeReady { node }
            | Event::NodeDown { node, .. }
            | Event::Stopping { node }
            | Event::Dropped { node, .. }
            | Event::WatchSilent { node, .. }
            | Event::CallFailed { node }
            | Event::WatchOpened { node }
            | Event::Reconfigured { node } => check_below("node", node, nodes),
            Event::BoxUp { of, .. }
            | Event::BoxDown { of }
            | Event::BoxCrashed { of }
            | Event::Probed { of } => check_below("of", of, boxes),
            Event::PlannerCalled { by, .. } => check_below("by", by, boxes),
            Event::Opened { to } | Event::Closed { to } => check_below("to", to, boxes),
            Event::FaultEnds { incident } => check_below("incident", incident, self.incidents),
            _ => Ok(()),
        }
    }
}

//! Rule `one-final-answer`: each try that a node has accepted gets exactly one final answer in time, nothing
//! unsolicited is sent, and no process ends unless it was asked to.
//!
//! A try is accepted once its last byte is written to a node's connection. A killed node loses its open tries; a paused
//! node cannot answer while it is paused. A node may close a connection between requests: a try that crosses the close
//! was not accepted, unless a box has received it. For tries after SIGTERM, see the operator documentation on planned
//! restarts.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use hallpin_simulation::time::{Span, Time};

use super::scheduling_delay::SchedulingDelay;
use super::{Rule, Violations};
use crate::trace::{ClientAnswer, End, Event, Record};

const RULE: &str = "one-final-answer";
/// If a reused connection ends within this time after a try was written on it, the node had closed it before reading
/// the try.
const CROSSING_WINDOW: Span = Span::from_millis(250);
/// A try accepted within this time after SIGTERM has its full deadline before the SIGKILL.
const FULL_DEADLINE_AFTER_TERM: Span = Span::from_millis(700);

#[derive(Clone, Copy)]
struct AcceptedTry {
    node: usize,
    /// Time at which the last byte of the try was written to the node's connection.
    at: Time,
    /// The client's deadline.
    until: Time,
}

/// An accepted try that ended without an answer.
struct UnansweredTry {
    id: u64,
    taken: AcceptedTry,
    /// Time at which it ended for the client.
    at: Time,
    how: ClientAnswer,
    /// Whether a box has received the try.
    received: bool,
}

#[derive(Default)]
struct ProcessGeneration {
    from: Time,
    term_sent: Option<Time>,
    ended: Option<(Time, End)>,
}

pub(super) struct OneFinalAnswer {
    leeway: Span,
    delays: Rc<SchedulingDelay>,
    open: BTreeMap<u64, AcceptedTry>,
    received: BTreeSet<u64>,
    unanswered: Vec<UnansweredTry>,
    generations: BTreeMap<usize, Vec<ProcessGeneration>>,
    pauses: BTreeMap<usize, Vec<(Time, Time)>>,
}

impl OneFinalAnswer {
    pub fn new(leeway: Span, delays: Rc<SchedulingDelay>) -> Self {
        OneFinalAnswer {
            leeway,
            delays,
            open: BTreeMap::new(),
            received: BTreeSet::new(),
            unanswered: Vec::new(),
            generations: BTreeMap::new(),
            pauses: BTreeMap::new(),
        }
    }

    fn process(&mut self, record: &Record, violations: &mut Violations) {
        let at = record.at;
        match record.event {
            Event::NodeStarted { node, .. } => {
                self.generations
                    .entry(node)
                    .or_default()
                    .push(ProcessGeneration { from: at, ..ProcessGeneration::default() });
            }
            Event::NodeLeaves { node, .. } => {
                if let Some(generation) = self.generations.entry(node).or_default().last_mut() {
                    generation.term_sent = Some(at);
                }
            }
            Event::NodeEnded { node, end, .. } => {
                if let Some(generation) = self.generations.entry(node).or_default().last_mut() {
                    generation.ended = Some((at, end));
                }
                if end == End::Fell {
                    violations.add(RULE, at, format!("n{node} ended without having been asked to"));
                }
            }
            Event::NodePaused { node } => self.pauses.entry(node).or_default().push((at, Time(u64::MAX))),
            Event::NodeResumed { node } => {
                if let Some((_, until)) = self.pauses.entry(node).or_default().last_mut() {
                    *until = at;
                }
            }
            _ => {}
        }
    }

    /// Whether the node had a valid reason not to answer the try.
    fn is_excused(&self, lost: &UnansweredTry) -> bool {
        let AcceptedTry { node, at, until } = lost.taken;
        let pauses = self.pauses.get(&node).into_iter().flatten();
        if pauses.into_iter().any(|(from, to)| *from <= until && at <= *to) {
            return true;
        }
        let delays = self.delays.allowance(at, lost.at);
        if lost.how == ClientAnswer::Nothing && delays > self.leeway {
            return true;
        }
        // The node closed the connection between requests, while the try was on its way.
        if lost.how == ClientAnswer::Crossed && !lost.received && lost.at.since(at) < CROSSING_WINDOW + delays
        {
            return true;
        }
        // The process generation that accepted the try: the last one started before it.
        let mut generations = self.generations.get(&node).into_iter().flatten();
        let Some(generation) = generations.rfind(|generation| generation.from <= at) else { return false };
        let ended_with_process =
            |ended: Time| lost.at + self.leeway + self.delays.allowance(lost.at, ended) >= ended;
        match generation.ended {
            Some((ended, End::Killed)) => ended_with_process(ended),
            Some((ended, End::Overdue)) => {
                let early =
                    generation.term_sent.is_some_and(|term_sent| at <= term_sent + FULL_DEADLINE_AFTER_TERM);
                early && until > ended && ended_with_process(ended)
            }
            _ => false,
        }
    }
}

impl Rule for OneFinalAnswer {
    fn observe(&mut self, record: &Record, violations: &mut Violations) {
        match record.event {
            Event::Taken { id, node, until, .. } => {
                self.open.insert(id, AcceptedTry { node, at: record.at, until });
            }
            Event::Attempt { id, .. } => drop(self.received.insert(id)),
            Event::Stray { node } => {
                violations.add(RULE, record.at, format!("n{node} sent unsolicited bytes to a client"));
            }
            Event::Ended { id, how } => {
                let Some(taken) = self.open.remove(&id) else { return };
                match how {
                    ClientAnswer::Served | ClientAnswer::Busy | ClientAnswer::Failed => {}
                    ClientAnswer::Foreign => {
                        let what =
                            format!("n{} answered try {id:x} with what is not an answer to it", taken.node);
                        violations.add(RULE, record.at, what);
                    }
                    ClientAnswer::Crossed | ClientAnswer::Broken | ClientAnswer::Nothing => {
                        let received = self.received.contains(&id);
                        self.unanswered.push(UnansweredTry { id, taken, at: record.at, how, received });
                    }
                }
                self.received.remove(&id);
            }
            _ => self.process(record, violations),
        }
    }

    fn finish(&mut self, violations: &mut Violations) {
        for lost in self.unanswered.iter().filter(|lost| !self.is_excused(lost)) {
            let UnansweredTry { id, taken, how, .. } = lost;
            let what = match how {
                ClientAnswer::Nothing => "did not answer it in time",
                _ => "ended its connection without an answer",
            };
            let text = format!("n{} accepted try {id:x} at {} us and {what}", taken.node, taken.at.0);
            violations.add(RULE, lost.at, text);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{violation_times, NONE};
    use super::*;

    const LEEWAY: Span = Span::from_millis(50);

    fn started(life: u32) -> Event {
        Event::NodeStarted { node: 0, life, pid: 1 }
    }

    fn taken() -> Event {
        Event::Taken { id: 7, ask: 1, node: 0, tenant: 0, until: Time(1_010_000) }
    }

    fn ended(how: ClientAnswer) -> Event {
        Event::Ended { id: 7, how }
    }

    /// Times of the violations if a try accepted at 10 ms ends with `how` at `at`, and these further events happen.
    fn check(how: ClientAnswer, at: u64, further: Vec<(u64, Event)>) -> Vec<u64> {
        let mut events = vec![(0, started(1)), (10, taken()), (at, ended(how))];
        events.extend(further);
        events.sort_by_key(|(at, _)| *at);
        violation_times(OneFinalAnswer::new(LEEWAY, Rc::default()), events)
    }

    #[test]
    fn an_accepted_try_without_an_answer_is_a_violation() {
        let gone = |at, end| vec![(at, Event::NodeEnded { node: 0, life: 1, end })];
        let received =
            Event::Attempt { of: 0, node: 0, connection: 1, id: 7, tenant: None, key: 1, write: false };
        assert_eq!(check(ClientAnswer::Served, 20, vec![]), NONE);
        assert_eq!(check(ClientAnswer::Broken, 20, vec![]), [20]);
        assert_eq!(check(ClientAnswer::Nothing, 1020, vec![]), [1020]);
        assert_eq!(check(ClientAnswer::Foreign, 20, vec![]), [20]);
        assert_eq!(check(ClientAnswer::Crossed, 20, vec![]), NONE);
        assert_eq!(check(ClientAnswer::Crossed, 20, vec![(15, received)]), [20], "a box has received it");
        // A try may be lost when its node is killed, but not long before that.
        assert_eq!(check(ClientAnswer::Broken, 20, gone(22, End::Killed)), NONE);
        assert_eq!(check(ClientAnswer::Broken, 20, gone(200, End::Killed)), [20]);
        assert_eq!(check(ClientAnswer::Broken, 20, gone(22, End::Stopped)), [20]);
        assert_eq!(check(ClientAnswer::Served, 20, gone(22, End::Fell)), [22]);
        let paused = vec![(500, Event::NodePaused { node: 0 }), (2000, Event::NodeResumed { node: 0 })];
        assert_eq!(check(ClientAnswer::Nothing, 1060, paused), NONE);
        let earlier = vec![(2, Event::NodePaused { node: 0 }), (5, Event::NodeResumed { node: 0 })];
        assert_eq!(check(ClientAnswer::Nothing, 1060, earlier), [1060]);
        assert_eq!(check(ClientAnswer::Served, 20, vec![(30, Event::Stray { node: 0 })]), [30]);
    }

    #[test]
    fn a_try_open_at_the_kill_after_sigterm_is_a_violation_unless_its_deadline_was_later() {
        let stop = |term_sent, ended| {
            let end = Event::NodeEnded { node: 0, life: 1, end: End::Overdue };
            vec![(term_sent, Event::NodeLeaves { node: 0, life: 1 }), (ended, end)]
        };
        assert_eq!(
            check(ClientAnswer::Broken, 900, stop(5, 910)),
            NONE,
            "the deadline was later than the kill"
        );
        assert_eq!(check(ClientAnswer::Broken, 1020, stop(5, 1020)), [1020]);
        let late = Event::Taken { id: 7, ask: 1, node: 0, tenant: 0, until: Time(1_750_000) };
        let mut events = vec![(0, started(1)), (750, late), (1020, ended(ClientAnswer::Broken))];
        events.extend(stop(5, 1021));
        events.sort_by_key(|(at, _)| *at);
        assert_eq!(
            violation_times(OneFinalAnswer::new(LEEWAY, Rc::default()), events),
            [1020],
            "accepted 0.75 s after SIGTERM"
        );
    }
}

//! Every way to interrupt a request at every stage: the one final answer, and that no state is left over.

use super::common::{self, failed, read, rejected, settings, KEYED, READ, UNSAFE};
use super::{assert_idle, attempts_in_flight, check_invariants, end_attempt, fleet};
use crate::balance::DUE_TIMER;
use crate::interface::*;

/// A stage of request 1, reached on a node with eight servers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// No server is listed.
    Held,
    /// Another request's fetch of request 1's key is in flight.
    Waiting,
    Sent,
    /// A server rejected the first attempt as overloaded, and a second attempt is in flight.
    ServerRejected,
    /// A second attempt is in flight beside the first.
    Hedged,
    /// Its first attempt ended with an error that may have run, and another is in flight.
    Retried,
    /// It has its final answer, and an attempt is still in flight.
    Answered,
    /// Its server has left the list.
    Orphaned,
    Streaming,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Interruption {
    ClientLeaves,
    DeadlinePasses,
    UpstreamCloses,
    LateAnswer,
}

const STAGES: [Stage; 9] = [
    Stage::Held,
    Stage::Waiting,
    Stage::Sent,
    Stage::ServerRejected,
    Stage::Hedged,
    Stage::Retried,
    Stage::Answered,
    Stage::Orphaned,
    Stage::Streaming,
];
const INTERRUPTIONS: [Interruption; 4] = [
    Interruption::ClientLeaves,
    Interruption::DeadlinePasses,
    Interruption::UpstreamCloses,
    Interruption::LateAnswer,
];

/// Brings request 1 to a stage; `None` where its class cannot reach the stage.
fn bring_to_stage(node: &mut common::Node, class: ClassId, stage: Stage) -> Option<()> {
    let new = NewRequest { class: Some(class), write: class != READ, ..read(1, 7) };
    match stage {
        Stage::Held => drop(node.event(Event::Endpoints(EndpointUpdate::Full(vec![])))),
        Stage::Waiting if class == READ => drop(node.request(read(2, 7))),
        Stage::Waiting => return None,
        _ => {}
    }
    node.request(new);
    match stage {
        Stage::Held | Stage::Waiting => assert!(attempts_in_flight(node, 1).is_empty()),
        Stage::Sent => {}
        Stage::ServerRejected => drop(end_attempt(node, 1, 0, Status::Overloaded, false)),
        Stage::Hedged => {
            node.now += 0.51;
            node.event(Event::Timer(DUE_TIMER));
        }
        Stage::Retried => drop(end_attempt(node, 1, 0, Status::Broken, false)),
        Stage::Answered => {
            node.now += 0.991;
            let actions = node.event(Event::Timer(DUE_TIMER));
            assert!(rejected(&actions) || failed(&actions));
        }
        Stage::Orphaned => drop(node.event(Event::Endpoints(EndpointUpdate::Full(vec![])))),
        Stage::Streaming => {
            node.event(Event::StreamStarted { request: RequestId(1), attempt: AttemptId(0) });
        }
    }
    let expected = match stage {
        Stage::Held | Stage::Waiting => 0,
        Stage::Hedged => 2,
        _ => 1,
    };
    // A request of a class that must not be repeated has failed or keeps its one attempt.
    (attempts_in_flight(node, 1).len() == expected).then_some(())
}

/// The final answer (`-` none is due, `R` rejected, `F` failed, `S` served) and the number of further
/// attempts sent.
fn interrupt(node: &mut common::Node, stage: Stage, interruption: Interruption) -> (char, usize) {
    let sends = |node: &common::Node| node.sends.get(&RequestId(1)).map_or(0, Vec::len);
    let (before, answered) = (sends(node), stage == Stage::Answered);
    let mut actions = Vec::new();
    let mut served = false;
    match interruption {
        Interruption::ClientLeaves => actions.extend(node.event(Event::ClientLeft(RequestId(1)))),
        Interruption::DeadlinePasses => {
            node.now = 101.0;
            actions.extend(node.event(Event::Timer(DUE_TIMER)));
        }
        Interruption::UpstreamCloses | Interruption::LateAnswer => {
            let is_late = interruption == Interruption::LateAnswer;
            let status = if is_late { Status::Success } else { Status::Broken };
            served = is_late && !answered && !attempts_in_flight(node, 1).is_empty();
            let first_attempt = attempts_in_flight(node, 1).first().copied();
            actions.extend(
                first_attempt
                    .map(|n| {
                        end_attempt(node, 1, n, status, answered || is_late || stage == Stage::Streaming)
                    })
                    .into_iter()
                    .flatten(),
            );
        }
    }
    check_invariants(node);
    let further_attempts = sends(node) - before;
    // Ends every attempt with one outcome, whatever was answered; nothing may be sent after the final answer.
    let is_over = served || node.balancer.0.requests.get(&RequestId(1)).is_none_or(|r| r.ended);
    node.now = node.now.max(101.0);
    actions.extend(node.event(Event::Timer(DUE_TIMER)));
    for request in [1, 2] {
        for n in attempts_in_flight(node, request) {
            actions.extend(end_attempt(node, request, n, Status::TimedOut, is_over || request == 2));
        }
        actions
            .extend(node.event(Event::ClientLeft(RequestId(request))).into_iter().filter(|_| request == 1));
        for n in attempts_in_flight(node, request) {
            end_attempt(node, request, n, Status::Cancelled, true);
        }
    }
    let is_final_answer =
        |a: &&Action| matches!(a, Action::Reject { request: RequestId(1), .. } | Action::Fail(RequestId(1)));
    let final_answers: Vec<&Action> = actions.iter().filter(is_final_answer).collect();
    assert!(final_answers.len() + usize::from(served) <= 1, "{final_answers:?}");
    let final_answer = match final_answers.first() {
        Some(Action::Reject { .. }) => 'R',
        Some(_) => 'F',
        None if served => 'S',
        None => '-',
    };
    (final_answer, further_attempts)
}

#[test]
fn an_interrupted_request_is_answered_once_and_leaves_nothing_in_flight() {
    let mut table = String::new();
    for cancel in [true, false] {
        for class in [READ, KEYED, UNSAFE] {
            for stage in STAGES {
                let mut cells = Vec::new();
                for interruption in INTERRUPTIONS {
                    let mut limits = settings().limits;
                    limits.cancel = cancel;
                    let mut node = common::Node::with(Settings { limits, ..settings() }, 1, fleet(8));
                    node.balancer.0.retry_budget.set_tokens(2.0);
                    if bring_to_stage(&mut node, class, stage).is_none() {
                        continue;
                    }
                    let (final_answer, further_attempts) = interrupt(&mut node, stage, interruption);
                    let cell = if further_attempts > 0 {
                        format!("{final_answer}+{further_attempts}")
                    } else {
                        final_answer.to_string()
                    };
                    cells.push(cell);
                    assert_idle(&mut node);
                }
                if cancel {
                    let name = &settings().classes[class.0].name;
                    table += &format!("{name} {stage:?}: {}", cells.join(" "));
                    table.truncate(table.trim_end().len());
                    table.push('\n');
                }
            }
        }
    }
    // Columns: the client leaves, the deadline passes, the upstream closes, a late answer arrives. +1: one
    // more attempt was sent.
    let expected = include_str!("stages.txt");
    assert_eq!(table, expected, "\n{table}");
}

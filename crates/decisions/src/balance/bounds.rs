//! What the module holds: its bounds, what happens at them, what is left over after each way a request can end, and
//! how it settles after trouble. The table of bounds stands in docs/hardening-review.md.

#[path = "../../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;

use common::{entry, failed, id, read, refused, sent, settings, KEYED, READ, UNSAFE};

use super::*;

fn fleet(n: u64) -> Vec<RosterEntry> {
    (1..=n).map(entry).collect()
}

/// Counts agree with each other and with the attempts that have no outcome, and every table holds live things only.
fn audit(node: &common::Node) {
    let inner = &node.balancer.0;
    let mut out: BTreeMap<&ServerId, u32> = BTreeMap::new();
    let attempts = || inner.requests.values().flat_map(|r| &r.attempts).filter(|a| a.status.is_none());
    attempts().for_each(|a| *out.entry(&a.server).or_default() += 1);
    for (id, server) in &inner.servers {
        assert_eq!(server.in_flight, out.get(id).copied().unwrap_or(0), "in flight at {id:?}");
    }
    assert_eq!(inner.in_flight, out.values().sum::<u32>(), "in flight in all");
    assert_eq!(inner.origin_load as usize, attempts().filter(|a| a.to_origin).count(), "at the origin");
    for (leader, _) in inner.fetching.values() {
        let r = &inner.requests[leader];
        assert!(r.attempts.iter().any(|a| a.to_origin && a.status.is_none()), "a fetch that nobody makes");
    }
    let mut ejected: Vec<&ServerId> = inner.ejected.iter().collect();
    ejected.sort();
    let mut out: Vec<&ServerId> = inner.servers.iter().filter(|(_, s)| s.out).map(|(id, _)| id).collect();
    out.sort();
    assert_eq!(ejected, out, "the queue of trials holds who is out, once");
    assert!(inner.due.iter().all(|(_, _, id)| inner.requests.contains_key(id)), "due for one that is gone");
    assert!(inner.due.len() <= 2 * inner.requests.len());
    assert!(inner.memory.young.len() + inner.memory.old.len() <= MAX_PLACES);
    // Cut at the next request, so what counts is the largest fleet of these tests.
    assert!(inner.recent.len() as f64 <= 8.0 / HOT + 1.0);
    assert!(inner.counts.len() <= inner.recent.len());
    assert_eq!(inner.ring.len(), inner.servers.values().map(|s| usize::from(s.points)).sum::<usize>());
    let kinds = |kind: &String| inner.servers.values().any(|s| s.entry.kind == *kind);
    assert!(inner.kinds.keys().all(kinds), "kinds of nobody");
    assert!(inner.retry_tokens >= 0.0 && inner.retry_tokens <= RETRY_SAVED);
}

/// Nothing is in flight, held, due or waited for.
fn settled(node: &mut common::Node) {
    node.pass(TICK);
    audit(node);
    let inner = &node.balancer.0;
    assert!(inner.requests.is_empty(), "{} requests left", inner.requests.len());
    assert_eq!((inner.in_flight, inner.due.len(), inner.fetching.len()), (0, 0, 0));
    assert!(inner.held.iter().all(VecDeque::is_empty));
}

/// Ends the attempt of this number.
fn end(node: &mut common::Node, request: u64, attempt: u32, status: Status, finished: bool) -> Vec<Action> {
    let elapsed = node.now - node.sends[&RequestId(request)][attempt as usize].1;
    let outcome = Outcome {
        request: RequestId(request),
        attempt: AttemptId(attempt),
        status,
        elapsed,
        finished,
        note: Some(CacheNote::Miss),
    };
    node.event(Event::Outcome(outcome))
}

fn out(node: &common::Node, request: u64) -> Vec<u32> {
    let r = node.balancer.0.requests.get(&RequestId(request));
    let attempts = r.into_iter().flat_map(|r| (0..).zip(&r.attempts));
    attempts.filter(|(_, a)| a.status.is_none()).map(|(n, _)| n).collect()
}

// ---- At the bounds ----

#[test]
fn places_are_forgotten_oldest_first_at_their_bound() {
    let mut node = common::Node::with(settings(), 1, fleet(8));
    let most = MAX_PLACES as u64;
    for n in 1..=2 * most {
        node.now += 1e-5;
        node.request(read(n, n));
        end(&mut node, n, 0, Status::Success, true);
        node.sends.clear();
    }
    audit(&node);
    let inner = &node.balancer.0;
    let known = |key: u64| (1..=8).any(|n| inner.knows(&(Key(key), id(n))));
    assert!(known(2 * most) && known(2 * most - most / 2 + 1) && !known(1) && !known(most - 1));
}

/// Cold servers take no overflow, so with the home of a key at its cap every jump is in vain.
#[test]
fn behind_the_last_jump_a_request_is_held_and_then_refused_with_advice() {
    let mut limits = settings().limits;
    limits.max_retry_after = 1.0;
    let cold = fleet(8).into_iter().map(|e| RosterEntry { started: Some(100.0), ..e }).collect();
    let mut node = common::Node::with(Settings { limits, ..settings() }, 1, cold);
    let keys: Vec<u64> = (1..=200).filter(|key| node.home(1000 + key, *key) == id(3)).collect();
    node.forget();
    let goes: Vec<bool> =
        keys.iter().take(6).map(|k| !sent(&node.request(read(*k, *k))).is_empty()).collect();
    assert_eq!(goes, [true, true, true, true, false, false], "the floor of the cap");
    // Room frees: the first that is held goes, the other stays and is refused in time, with advice.
    let served = end(&mut node, keys[0], 0, Status::Success, true);
    assert_eq!(sent(&served), [id(3)]);
    assert_eq!(out(&node, keys[4]), [0]);
    let refusals = node.pass(settings().classes[0].aim * PATIENCE + TICK);
    let advice = refusals.iter().find_map(|a| match a {
        Action::Refuse { request, retry_after } if request.0 == keys[5] => *retry_after,
        _ => None,
    });
    assert!(advice.is_some_and(|after| after > 0.0 && after <= 1.0), "{refusals:?}");
    for key in &keys[1..5] {
        end(&mut node, *key, 0, Status::Success, true);
    }
    settled(&mut node);
}

#[test]
fn a_server_that_leaves_with_attempts_out_is_kept_until_they_end_and_no_longer() {
    let mut node = common::Node::with(settings(), 1, fleet(4));
    let (keys, home) = (1..=40, node.home(1000, 7));
    keys.for_each(|n| drop(node.request(read(n, 7 + n))));
    node.event(Event::Roster(RosterNews::Full(fleet(5).into_iter().filter(|e| e.server != home).collect())));
    audit(&node);
    // Listed again under its id: what is out there still counts.
    node.event(Event::Roster(RosterNews::Full(fleet(5))));
    audit(&node);
    node.event(Event::Roster(RosterNews::Full(vec![])));
    for n in 1..=40 {
        end(&mut node, n, 0, Status::Success, true);
    }
    node.event(Event::Roster(RosterNews::Full(vec![])));
    settled(&mut node);
    assert!(node.balancer.0.servers.is_empty() && node.balancer.0.ring.is_empty());
}

#[test]
fn kinds_go_with_their_last_server_and_a_quick_one_that_left_slows_nobody() {
    let mut node = common::Node::with(settings(), 1, fleet(4));
    let of = |kind: &str, n| RosterEntry { kind: kind.into(), ..entry(n) };
    let mut request = 0;
    let mut ask = |node: &mut common::Node, took: Seconds| {
        for _ in 0..200 {
            request += 1;
            node.request(read(request, request));
            node.now += took;
            node.serve(request);
        }
    };
    for day in 0..50 {
        node.event(Event::Roster(RosterNews::Full(
            (1..=4).map(|n| of(&format!("quick-{day}"), n)).collect(),
        )));
        ask(&mut node, 0.001);
    }
    node.event(Event::Roster(RosterNews::Full((1..=4).map(|n| of("slow", n)).collect())));
    ask(&mut node, 0.1);
    node.pass(2.0 * SWEEP);
    audit(&node);
    assert_eq!(node.balancer.0.kinds.len(), 1);
    let whole = |s: &Server| s.active == s.points;
    assert!(node.balancer.0.servers.values().all(whole), "all of one kind, and each has all its points");
}

// ---- After trouble ----

/// The queue of trials names each server that is out once, however often it comes and goes.
#[test]
fn a_server_that_comes_back_and_fails_again_is_counted_as_out_once() {
    let mut node = common::Node::with(settings(), 1, fleet(8));
    let mut request = 0;
    for _ in 0..6 {
        for n in [1, 2] {
            let inner = &mut node.balancer.0;
            inner.now = node.now;
            inner.take_out(&id(n));
        }
        audit(&node);
        assert_eq!(node.balancer.members(), (8, 2));
        node.event(Event::Probed { server: id(1), status: Status::Success });
        node.event(Event::Probed { server: id(2), status: Status::Success });
        audit(&node);
        assert_eq!(node.balancer.members(), (8, 0));
        request += 1;
        node.request(read(request, request));
        node.serve(request);
    }
    settled(&mut node);
}

#[test]
fn keys_are_back_home_once_a_server_that_was_away_is_warm() {
    let ramp = settings().guarantees.ramp;
    let keys = |node: &mut common::Node, from: u64| -> Vec<ServerId> {
        (0..100).map(|key| node.home(from + key, key)).collect()
    };
    let mut node = common::Node::with(settings(), 1, fleet(8));
    let before = keys(&mut node, 1);
    // Gone and back cold, ejected and readmitted, drained and ready again.
    let started = RosterEntry { started: Some(node.now), ..entry(3) };
    let drained = RosterEntry { state: ServerState::Draining, ..entry(3) };
    let absent = fleet(8).into_iter().filter(|e| e.server != id(3)).collect();
    for (n, news) in [RosterNews::Full(absent), RosterNews::Delta(vec![drained])].into_iter().enumerate() {
        node.event(Event::Roster(news));
        let away = keys(&mut node, 1000 * (n as u64 + 1));
        assert!(!away.contains(&id(3)) && away.iter().zip(&before).all(|(a, b)| a == b || *b == id(3)));
        node.event(Event::Roster(RosterNews::Delta(vec![started.clone()])));
        node.pass(ramp + SWEEP);
        assert_eq!(keys(&mut node, 1000 * (n as u64 + 1) + 500), before);
    }
    let inner = &mut node.balancer.0;
    inner.take_out(&id(3));
    node.pass(1.0);
    node.event(Event::Probed { server: id(3), status: Status::Success });
    node.pass(ramp + SWEEP);
    assert_eq!(keys(&mut node, 9000), before);
    settled(&mut node);
}

/// An origin that fails and comes back: its limit falls to 1 at the least, and is back by what it then answers.
#[test]
fn the_fetch_limit_and_the_retry_budget_recover() {
    let mut node = common::Node::with(settings(), 1, fleet(8));
    let mut request = 0;
    let mut spell = |node: &mut common::Node, rounds: u32, status: Status| {
        for _ in 0..rounds {
            for _ in 0..8 {
                request += 1;
                node.request(read(request, request));
            }
            node.now += 0.3;
            let open: Vec<u64> = node.balancer.0.requests.keys().map(|id| id.0).collect();
            for n in open {
                for attempt in out(node, n) {
                    end(node, n, attempt, status, status == Status::Success);
                }
            }
            node.pass(0.6);
        }
    };
    spell(&mut node, 40, Status::Error);
    let (low, tokens) = (node.balancer.0.fetch_limit.value, node.balancer.0.retry_tokens);
    assert!((1.0..4.0).contains(&low) && tokens < 1.0, "{low}, {tokens}");
    spell(&mut node, 60, Status::Success);
    let inner = &node.balancer.0;
    assert!(inner.fetch_limit.value > 6.0 && inner.retry_tokens >= 1.0, "{}", inner.fetch_limit.value);
    spell(&mut node, 1, Status::Success);
    node.pass(3.0);
    audit(&node);
}

/// A read that waits for another's fetch goes its own way once that fetch is late, and is served in time.
#[test]
fn a_read_behind_a_fetch_that_is_late_goes_its_own_way() {
    let mut limits = settings().limits;
    limits.second_copies = false;
    let mut node = common::Node::with(Settings { limits, ..settings() }, 1, fleet(8));
    node.request(read(1, 7));
    node.request(read(2, 7));
    assert_eq!((out(&node, 1).len(), out(&node, 2).len()), (1, 0));
    node.now += 0.8;
    node.event(Event::Timer(DUE_TOKEN));
    node.pass(TICK);
    assert_eq!(out(&node, 2).len(), 1, "it waits as long as a silent server does");
    let asked = |request| node.balancer.0.requests[&RequestId(request)].attempts[0].server.clone();
    assert_ne!(asked(2), asked(1), "it asks the same server");
    audit(&node);
}

// ---- Over weeks ----

#[test]
fn after_three_weeks_of_churn_the_module_is_as_on_its_first_day() {
    let mut node = common::Node::with(settings(), 1, fleet(8));
    let homes = |node: &mut common::Node, from| -> Vec<ServerId> {
        node.event(Event::Roster(RosterNews::Full(fleet(8))));
        node.pass(1.0);
        (0..64).map(|key| node.home(from + key, key)).collect()
    };
    // How long a request is held that no server can take.
    let held = |node: &mut common::Node, request| {
        node.event(Event::Roster(RosterNews::Full(vec![])));
        let since = node.now;
        node.request(read(request, 1));
        while !refused(&node.pass(TICK / 5.0)) {}
        (node.now - since) / TICK
    };
    let size = |node: &common::Node| {
        let n = &node.balancer.0;
        (n.servers.len(), n.ring.len(), n.kinds.len(), n.memory.young.len() + n.memory.old.len() < 500)
    };
    let first = (homes(&mut node, 1 << 50), held(&mut node, 1 << 51));
    let mut request = 0;
    let mut sizes = Vec::new();
    for hour in 0..21 * 24u64 {
        node.now = 100.0 + 3600.0 * (hour + 1) as f64;
        node.pass(TICK);
        let of = |n| RosterEntry { kind: format!("kind-{hour}"), started: Some(node.now), ..entry(n) };
        node.event(Event::Roster(RosterNews::Full((0..8).map(|n| of(hour * 4 + n)).collect())));
        for n in 0..60 {
            request += 1;
            node.request(NewRequest { write: n % 9 == 0, ..read(request, request % 40) });
            node.pass(TICK / 5.0);
            let status = [Status::Success, Status::Broken, Status::TimedOut, Status::Overloaded][n % 4];
            for attempt in out(&node, request) {
                end(&mut node, request, attempt, status, status == Status::Success);
            }
            node.event(Event::Withdrawn(RequestId(request)));
            for attempt in out(&node, request) {
                end(&mut node, request, attempt, Status::Cancelled, true);
            }
        }
        settled(&mut node);
        node.sends.clear();
        sizes.push(size(&node));
    }
    assert_eq!(sizes.get(1), sizes.last(), "sizes in the second hour and in the last");
    // Ejections are of the last hour; a probe ends them.
    node.event(Event::Roster(RosterNews::Full(vec![])));
    let last = (homes(&mut node, 1 << 52), held(&mut node, 1 << 53));
    assert_eq!(first.0, last.0);
    assert!((first.1 - last.1).abs() < 1.01, "held for {} and {} ticks", first.1, last.1);
    settled(&mut node);
}

// ---- Each stage, cut short ----

/// A stage of request 1 on its way, reached on a node of eight servers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// No server is listed.
    Held,
    /// Another request's fetch of its key is out.
    Waiting,
    Sent,
    /// Its first attempt was turned away and it has gone on.
    Jumped,
    /// A second attempt is out beside the first.
    Hedged,
    /// Its first attempt ended with an error that may have run, and another is out.
    Retried,
    /// It has its final answer, and an attempt is still out.
    Answered,
    /// Its server has left the list.
    Orphaned,
    Streaming,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    ClientLeaves,
    TimeIsUp,
    UpstreamCloses,
    LateAnswer,
}

const STAGES: [Stage; 9] = [
    Stage::Held,
    Stage::Waiting,
    Stage::Sent,
    Stage::Jumped,
    Stage::Hedged,
    Stage::Retried,
    Stage::Answered,
    Stage::Orphaned,
    Stage::Streaming,
];
const CUTS: [Cut; 4] = [Cut::ClientLeaves, Cut::TimeIsUp, Cut::UpstreamCloses, Cut::LateAnswer];

/// Leads request 1 to a stage; `None` where its class never gets there.
fn lead(node: &mut common::Node, class: ClassId, stage: Stage) -> Option<()> {
    let new = NewRequest { class: Some(class), write: class != READ, ..read(1, 7) };
    match stage {
        Stage::Held => drop(node.event(Event::Roster(RosterNews::Full(vec![])))),
        Stage::Waiting if class == READ => drop(node.request(read(2, 7))),
        Stage::Waiting => return None,
        _ => {}
    }
    node.request(new);
    match stage {
        Stage::Held | Stage::Waiting => assert!(out(node, 1).is_empty()),
        Stage::Sent => {}
        Stage::Jumped => drop(end(node, 1, 0, Status::Overloaded, false)),
        Stage::Hedged => {
            node.now += 0.51;
            node.event(Event::Timer(DUE_TOKEN));
        }
        Stage::Retried => drop(end(node, 1, 0, Status::Broken, false)),
        Stage::Answered => {
            node.now += 0.991;
            let actions = node.event(Event::Timer(DUE_TOKEN));
            assert!(refused(&actions) || failed(&actions));
        }
        Stage::Orphaned => drop(node.event(Event::Roster(RosterNews::Full(vec![])))),
        Stage::Streaming => {
            node.event(Event::StreamStarted { request: RequestId(1), attempt: AttemptId(0) });
        }
    }
    let want = match stage {
        Stage::Held | Stage::Waiting => 0,
        Stage::Hedged => 2,
        _ => 1,
    };
    // A class that may not be repeated is failed or stays with its one attempt.
    (out(node, 1).len() == want).then_some(())
}

/// What came of it: `-` nobody is owed, `R` refused, `F` failed, `S` served; and how many attempts more went out.
fn cut(node: &mut common::Node, stage: Stage, cut: Cut) -> (char, usize) {
    let sends = |node: &common::Node| node.sends.get(&RequestId(1)).map_or(0, Vec::len);
    let (before, answered) = (sends(node), stage == Stage::Answered);
    let mut actions = Vec::new();
    let mut served = false;
    match cut {
        Cut::ClientLeaves => actions.extend(node.event(Event::Withdrawn(RequestId(1)))),
        Cut::TimeIsUp => {
            node.now = 101.0;
            actions.extend(node.event(Event::Timer(DUE_TOKEN)));
        }
        Cut::UpstreamCloses | Cut::LateAnswer => {
            let late = cut == Cut::LateAnswer;
            let status = if late { Status::Success } else { Status::Broken };
            served = late && !answered && !out(node, 1).is_empty();
            let first = out(node, 1).first().copied();
            actions.extend(
                first
                    .map(|n| end(node, 1, n, status, answered || late || stage == Stage::Streaming))
                    .into_iter()
                    .flatten(),
            );
        }
    }
    audit(node);
    let more = sends(node) - before;
    // Every attempt has one outcome, whatever was answered; nothing goes out behind the final answer.
    let over = served || node.balancer.0.requests.get(&RequestId(1)).is_none_or(|r| r.ended);
    node.now = node.now.max(101.0);
    actions.extend(node.event(Event::Timer(DUE_TOKEN)));
    for request in [1, 2] {
        for n in out(node, request) {
            actions.extend(end(node, request, n, Status::TimedOut, over || request == 2));
        }
        actions.extend(node.event(Event::Withdrawn(RequestId(request))).into_iter().filter(|_| request == 1));
        for n in out(node, request) {
            end(node, request, n, Status::Cancelled, true);
        }
    }
    let of_one =
        |a: &&Action| matches!(a, Action::Refuse { request: RequestId(1), .. } | Action::Fail(RequestId(1)));
    let finals: Vec<&Action> = actions.iter().filter(of_one).collect();
    assert!(finals.len() + usize::from(served) <= 1, "{finals:?}");
    let what = match finals.first() {
        Some(Action::Refuse { .. }) => 'R',
        Some(_) => 'F',
        None if served => 'S',
        None => '-',
    };
    (what, more)
}

#[test]
fn whatever_cuts_a_request_short_it_is_answered_once_and_nothing_stays_in_flight() {
    let mut table = String::new();
    for cancel in [true, false] {
        for class in [READ, KEYED, UNSAFE] {
            for stage in STAGES {
                let mut cells = Vec::new();
                for how in CUTS {
                    let mut limits = settings().limits;
                    limits.cancel = cancel;
                    let mut node = common::Node::with(Settings { limits, ..settings() }, 1, fleet(8));
                    node.balancer.0.retry_tokens = 2.0;
                    if lead(&mut node, class, stage).is_none() {
                        continue;
                    }
                    let (what, more) = cut(&mut node, stage, how);
                    let again = if more > 0 { format!("{what}+{more}") } else { what.to_string() };
                    cells.push(again);
                    settled(&mut node);
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
    // Columns: client leaves, time is up, upstream closes, a late answer comes; +1: one attempt more went out.
    let want = include_str!("stages.txt");
    assert_eq!(table, want, "\n{table}");
}

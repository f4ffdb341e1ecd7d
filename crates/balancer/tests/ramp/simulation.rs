//! The simulation: nodes, servers and clients in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use hallpin_balancer::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::common::{entry, id, KEYED, READ};
use crate::scenario::{Scenario, FIRST_START};
use crate::servers::{start_time, CacheServer, Measurements};

const DEADLINE: Seconds = 1.0;
const BACKOFF: Seconds = 0.1;
/// Share of writes among the requests.
const WRITE_SHARE: f64 = 0.05;
/// Share of expensive requests, and their work as a multiple of the others'.
const EXPENSIVE_SHARE: f64 = 0.03;
const EXPENSIVE_WORK_FACTOR: f64 = 10.0;

enum SimulationEvent {
    ClientArrives,
    RequestArrives {
        key: u64,
        write: bool,
        work: f64,
        retries_left: u32,
    },
    ServerStarts(usize),
    /// A node is notified of all starts up to this time.
    NodeNotified(usize, Seconds),
    TimerFires(usize, TimerToken),
    AttemptEnds(usize, Outcome),
    NodeRestarts(usize),
}

struct OpenRequest {
    key: u64,
    write: bool,
    work: f64,
    retries_left: u32,
    attempts: Vec<(usize, Seconds, bool)>,
}

/// Idle connections from nodes to servers; a new connection is opened where there is none.
#[derive(Default)]
struct Connections(BTreeMap<(usize, usize), u32>);

impl Connections {
    /// Takes an idle connection; `true` if there was none.
    fn take(&mut self, node: usize, server: usize) -> bool {
        let idle = self.0.entry((node, server)).or_default();
        let is_new = *idle == 0;
        *idle = idle.saturating_sub(1);
        is_new
    }

    fn put_back(&mut self, node: usize, server: usize) {
        *self.0.entry((node, server)).or_default() += 1;
    }

    /// Drops the connections to a server that restarts.
    fn reset(&mut self, server: usize) {
        self.0.retain(|(_, to), _| *to != server);
    }
}

struct Simulation<'s> {
    scenario: &'s Scenario,
    now: Seconds,
    rng: Pcg64Mcg,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: BTreeMap<u64, SimulationEvent>,
    last_id: u64,
    nodes: Vec<Balancer>,
    /// For each node, the time up to which it has been notified of starts.
    notified_until: Vec<Seconds>,
    connections: Connections,
    servers: Vec<CacheServer>,
    server_index: BTreeMap<ServerId, usize>,
    open_requests: BTreeMap<u64, OpenRequest>,
    cumulative_popularity: Vec<f64>,
    measurements: Measurements,
}

/// Simulates a scenario.
pub(crate) fn simulate(scenario: &Scenario, seed: u64) -> Measurements {
    let popularity = |rank: usize| (rank as f64 + scenario.offset).powf(-scenario.zipf);
    let mut sum = 0.0;
    let cumulative_popularity = (0..scenario.keys)
        .map(|rank| {
            sum += popularity(rank);
            sum
        })
        .collect();
    let mut simulation = Simulation {
        scenario,
        now: 0.0,
        rng: Pcg64Mcg::seed_from_u64(seed),
        events: BinaryHeap::new(),
        pending: BTreeMap::new(),
        last_id: 0,
        nodes: Vec::new(),
        notified_until: vec![0.0; scenario.nodes as usize],
        connections: Connections::default(),
        servers: (0..scenario.servers).map(|_| CacheServer::default()).collect(),
        server_index: (0..scenario.servers).map(|n| (id(n), n as usize)).collect(),
        open_requests: BTreeMap::new(),
        cumulative_popularity,
        measurements: Measurements::default(),
    };
    for n in 0..scenario.nodes as usize {
        simulation.nodes.push(Balancer::new(scenario.settings(), seed * 1000 + n as u64).expect("valid"));
        simulation.send_list(n);
        let mut starts: Vec<Seconds> =
            (0..scenario.cold).filter_map(|server| start_time(server, scenario)).collect();
        starts.dedup();
        let notification_delay = simulation.rng.random::<f64>() * scenario.notified_within;
        for start in starts {
            simulation.schedule(start + notification_delay, SimulationEvent::NodeNotified(n, start));
        }
        if let Some(node_restarts_within) = scenario.node_restarts_within {
            let before = node_restarts_within * simulation.rng.random::<f64>();
            simulation.schedule(FIRST_START - before, SimulationEvent::NodeRestarts(n));
        }
    }
    for server in 0..scenario.cold {
        let start = start_time(server, scenario).expect("it starts");
        simulation.schedule(start, SimulationEvent::ServerStarts(server as usize));
    }
    simulation.schedule(0.0, SimulationEvent::ClientArrives);
    simulation.run();
    let cold = scenario.cold as f64 * scenario.capacity * (scenario.length - FIRST_START);
    simulation.measurements.used_share /=
        cold * (scenario.capacity_share(0.0) + scenario.capacity_share(scenario.length - FIRST_START)) / 2.0;
    simulation.measurements
}

impl Simulation<'_> {
    fn schedule(&mut self, at: Seconds, event: SimulationEvent) {
        self.last_id += 1;
        self.events.push(Reverse(((at * 1e6) as u64, self.last_id)));
        self.pending.insert(self.last_id, event);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at as f64 / 1e6;
            if self.now > self.scenario.length {
                break;
            }
            match self.pending.remove(&number).expect("each event once") {
                SimulationEvent::ClientArrives => self.client_arrives(),
                SimulationEvent::RequestArrives { key, write, work, retries_left } => {
                    self.request_arrives(key, write, work, retries_left)
                }
                SimulationEvent::ServerStarts(server) => {
                    self.servers[server].start(self.now);
                    self.connections.reset(server);
                }
                SimulationEvent::NodeNotified(node, start) => {
                    self.notified_until[node] = start;
                    self.send_list(node);
                }
                SimulationEvent::TimerFires(node, token) => self.deliver(node, Event::Timer(token)),
                SimulationEvent::AttemptEnds(node, outcome) => self.attempt_ends(node, outcome),
                SimulationEvent::NodeRestarts(node) => {
                    self.nodes[node] = Balancer::new(self.scenario.settings(), number).expect("valid");
                    self.send_list(node);
                }
            }
        }
    }

    fn knows_start(&self, node: usize, server: u64) -> Option<Seconds> {
        start_time(server, self.scenario).filter(|start| *start <= self.notified_until[node])
    }

    fn send_list(&mut self, node: usize) {
        let entries = (0..self.scenario.servers)
            .map(|n| EndpointEntry { started: self.knows_start(node, n), ..entry(n) });
        let entries = entries.collect();
        self.deliver(node, Event::Endpoints(EndpointUpdate::Full(entries)));
    }

    /// A client sends a request to a random node; arrivals are Poisson.
    fn client_arrives(&mut self) {
        let interarrival_time = -(1.0 - self.rng.random::<f64>()).ln() / self.scenario.rate();
        self.schedule(self.now + interarrival_time, SimulationEvent::ClientArrives);
        let at = self.rng.random::<f64>() * self.cumulative_popularity[self.cumulative_popularity.len() - 1];
        let key = self.cumulative_popularity.partition_point(|sum| *sum < at) as u64;
        let is_expensive = self.rng.random::<f64>() < EXPENSIVE_SHARE;
        let work = self.scenario.work * if is_expensive { EXPENSIVE_WORK_FACTOR } else { 1.0 }
            / (1.0 + EXPENSIVE_SHARE * (EXPENSIVE_WORK_FACTOR - 1.0));
        let write = self.rng.random::<f64>() < WRITE_SHARE;
        self.measurements.requests += 1;
        self.request_arrives(key, write, work, self.scenario.retries);
    }

    fn request_arrives(&mut self, key: u64, write: bool, work: f64, retries_left: u32) {
        self.last_id += 1;
        let request = self.last_id;
        let node = (self.rng.random::<f64>() * self.nodes.len() as f64) as usize;
        self.open_requests
            .insert(request, OpenRequest { key, write, work, retries_left, attempts: Vec::new() });
        let new = NewRequest {
            id: RequestId(request),
            time_left: DEADLINE,
            class: Some(if write { KEYED } else { READ }),
            tenant: None,
            key: Some(Key(key)),
            write,
            work_hint: self.scenario.hints.then_some(work),
        };
        self.deliver(node, Event::Request(new));
    }

    fn deliver(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, server, timeout } => self.send(node, request, &server, timeout),
                Action::SetTimer { token, after } => {
                    self.schedule(self.now + after.max(1e-6), SimulationEvent::TimerFires(node, token))
                }
                Action::Reject { request, .. } | Action::Fail(request) => self.retry(request.0),
                Action::Cancel { request, attempt } => self.cancel(node, request, attempt),
                _ => {}
            }
        }
    }

    fn send(&mut self, node: usize, request: RequestId, server: &ServerId, timeout: Option<Seconds>) {
        let Some(open) = self.open_requests.get_mut(&request.0) else { return };
        let index = self.server_index[server];
        self.measurements.sends += 1;
        let is_new = self.connections.take(node, index);
        let work = open.work + if is_new { self.scenario.connection_work } else { 0.0 };
        let sender_notified =
            start_time(index as u64, self.scenario).is_some_and(|start| start <= self.notified_until[node]);
        self.servers[index].record_load(
            self.scenario,
            self.now,
            work,
            sender_notified,
            &mut self.measurements,
        );
        let (at, status, note) = self.servers[index].serve(
            self.scenario,
            self.now,
            open.key,
            work,
            open.write,
            &mut self.measurements,
        );
        let attempt = AttemptId(open.attempts.len() as u32);
        open.attempts.push((index, self.now, false));
        let last = self.now + timeout.unwrap_or(DEADLINE);
        let (at, status) = if at > last { (last, Status::TimedOut) } else { (at, status) };
        let finished = status == Status::Success;
        let outcome = Outcome {
            request,
            attempt,
            status,
            elapsed: at - self.now,
            finished,
            cache_note: finished.then_some(note),
        };
        self.schedule(at, SimulationEvent::AttemptEnds(node, outcome));
    }

    fn attempt_ends(&mut self, node: usize, outcome: Outcome) {
        let id = outcome.request.0;
        if let Some(open) = self.open_requests.get_mut(&id) {
            if std::mem::replace(&mut open.attempts[outcome.attempt.0 as usize].2, true) {
                return;
            }
            let server = open.attempts[outcome.attempt.0 as usize].0;
            if !matches!(outcome.status, Status::TimedOut | Status::Unreachable) {
                self.connections.put_back(node, server);
            }
            if outcome.finished {
                self.measurements.served += 1;
            }
        }
        self.deliver(node, Event::Outcome(outcome));
    }

    fn cancel(&mut self, node: usize, request: RequestId, attempt: AttemptId) {
        let Some(open) = self.open_requests.get_mut(&request.0) else { return };
        let Some((_, at, has_ended)) = open.attempts.get_mut(attempt.0 as usize) else { return };
        if std::mem::replace(has_ended, true) {
            return;
        }
        let elapsed = self.now - *at;
        let outcome = Outcome {
            request,
            attempt,
            status: Status::Cancelled,
            elapsed,
            finished: false,
            cache_note: None,
        };
        self.deliver(node, Event::Outcome(outcome));
    }

    /// The client of a rejected or failed request retries, as a new request.
    fn retry(&mut self, request: u64) {
        let Some(open) = self.open_requests.get(&request) else { return };
        let OpenRequest { key, write, work, retries_left, .. } = *open;
        if retries_left > 0 {
            let wait = BACKOFF * (0.5 + self.rng.random::<f64>());
            self.schedule(
                self.now + wait,
                SimulationEvent::RequestArrives { key, write, work, retries_left: retries_left - 1 },
            );
        }
    }
}

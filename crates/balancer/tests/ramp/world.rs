//! The simulation: nodes, servers and clients in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use hallpin_balancer::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::common::{entry, id, KEYED, READ};
use crate::servers::{start_of, CacheServer, Seen};
use crate::site::{Site, START};

const DEADLINE: Seconds = 1.0;
const BACKOFF: Seconds = 0.1;
/// Share of writes among the requests.
const WRITES: f64 = 0.05;
/// Share of expensive requests, and their work as a multiple of the others'.
const DEAR: f64 = 0.03;
const DEAR_TIMES: f64 = 10.0;

enum What {
    Asks,
    Comes {
        key: u64,
        write: bool,
        work: f64,
        left: u32,
    },
    Starts(usize),
    /// A node is notified of all starts up to this time.
    Told(usize, Seconds),
    Rings(usize, TimerToken),
    Ends(usize, Outcome),
    Fresh(usize),
}

struct Open {
    key: u64,
    write: bool,
    work: f64,
    left: u32,
    sent: Vec<(usize, Seconds, bool)>,
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

struct World<'s> {
    site: &'s Site,
    now: Seconds,
    rng: Pcg64Mcg,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    what: BTreeMap<u64, What>,
    next: u64,
    nodes: Vec<Balancer>,
    /// For each node, the time up to which it has been notified of starts.
    told: Vec<Seconds>,
    connections: Connections,
    servers: Vec<CacheServer>,
    index: BTreeMap<ServerId, usize>,
    open: BTreeMap<u64, Open>,
    popular: Vec<f64>,
    seen: Seen,
}

/// Simulates a scenario.
pub(crate) fn play(site: &Site, seed: u64) -> Seen {
    let rank = |r: usize| (r as f64 + site.offset).powf(-site.zipf);
    let mut sum = 0.0;
    let popular = (0..site.keys)
        .map(|r| {
            sum += rank(r);
            sum
        })
        .collect();
    let mut world = World {
        site,
        now: 0.0,
        rng: Pcg64Mcg::seed_from_u64(seed),
        events: BinaryHeap::new(),
        what: BTreeMap::new(),
        next: 0,
        nodes: Vec::new(),
        told: vec![0.0; site.nodes as usize],
        connections: Connections::default(),
        servers: (0..site.servers).map(|_| CacheServer::default()).collect(),
        index: (0..site.servers).map(|n| (id(n), n as usize)).collect(),
        open: BTreeMap::new(),
        popular,
        seen: Seen::default(),
    };
    for n in 0..site.nodes as usize {
        world.nodes.push(Balancer::new(site.settings(), seed * 1000 + n as u64).expect("valid"));
        world.list(n);
        let mut starts: Vec<Seconds> = (0..site.cold).filter_map(|of| start_of(of, site)).collect();
        starts.dedup();
        let late = world.rng.random::<f64>() * site.told_within;
        for start in starts {
            world.at(start + late, What::Told(n, start));
        }
        if let Some(young) = site.young {
            let before = young * world.rng.random::<f64>();
            world.at(START - before, What::Fresh(n));
        }
    }
    for of in 0..site.cold {
        let start = start_of(of, site).expect("it starts");
        world.at(start, What::Starts(of as usize));
    }
    world.at(0.0, What::Asks);
    world.run();
    let cold = site.cold as f64 * site.capacity * (site.length - START);
    world.seen.used /= cold * (site.warmth(0.0) + site.warmth(site.length - START)) / 2.0;
    world.seen
}

impl World<'_> {
    fn at(&mut self, at: Seconds, what: What) {
        self.next += 1;
        self.events.push(Reverse(((at * 1e6) as u64, self.next)));
        self.what.insert(self.next, what);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at as f64 / 1e6;
            if self.now > self.site.length {
                break;
            }
            match self.what.remove(&number).expect("each event once") {
                What::Asks => self.asks(),
                What::Comes { key, write, work, left } => self.comes(key, write, work, left),
                What::Starts(of) => {
                    self.servers[of].start(self.now);
                    self.connections.reset(of);
                }
                What::Told(node, start) => {
                    self.told[node] = start;
                    self.list(node);
                }
                What::Rings(node, token) => self.tell(node, Event::Timer(token)),
                What::Ends(node, outcome) => self.ends(node, outcome),
                What::Fresh(node) => {
                    self.nodes[node] = Balancer::new(self.site.settings(), number).expect("valid");
                    self.list(node);
                }
            }
        }
    }

    fn knows_start(&self, node: usize, server: u64) -> Option<Seconds> {
        start_of(server, self.site).filter(|start| *start <= self.told[node])
    }

    fn list(&mut self, node: usize) {
        let entries =
            (0..self.site.servers).map(|n| RosterEntry { started: self.knows_start(node, n), ..entry(n) });
        let entries = entries.collect();
        self.tell(node, Event::Roster(RosterNews::Full(entries)));
    }

    /// A client sends a request to a random node; arrivals are Poisson.
    fn asks(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.site.rate();
        self.at(self.now + gap, What::Asks);
        let at = self.rng.random::<f64>() * self.popular[self.popular.len() - 1];
        let key = self.popular.partition_point(|sum| *sum < at) as u64;
        let dear = self.rng.random::<f64>() < DEAR;
        let work = self.site.work * if dear { DEAR_TIMES } else { 1.0 } / (1.0 + DEAR * (DEAR_TIMES - 1.0));
        let write = self.rng.random::<f64>() < WRITES;
        self.seen.requests += 1;
        self.comes(key, write, work, self.site.retries);
    }

    fn comes(&mut self, key: u64, write: bool, work: f64, left: u32) {
        self.next += 1;
        let request = self.next;
        let node = (self.rng.random::<f64>() * self.nodes.len() as f64) as usize;
        self.open.insert(request, Open { key, write, work, left, sent: Vec::new() });
        let new = NewRequest {
            id: RequestId(request),
            left: DEADLINE,
            class: Some(if write { KEYED } else { READ }),
            tenant: None,
            key: Some(Key(key)),
            write,
            work: self.site.hints.then_some(work),
        };
        self.tell(node, Event::Request(new));
    }

    fn tell(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, server, timeout } => self.send(node, request, &server, timeout),
                Action::SetTimer { token, after } => {
                    self.at(self.now + after.max(1e-6), What::Rings(node, token))
                }
                Action::Refuse { request, .. } | Action::Fail(request) => self.again(request.0),
                Action::Cancel { request, attempt } => self.cancel(node, request, attempt),
                _ => {}
            }
        }
    }

    fn send(&mut self, node: usize, request: RequestId, server: &ServerId, timeout: Option<Seconds>) {
        let Some(open) = self.open.get_mut(&request.0) else { return };
        let of = self.index[server];
        self.seen.sends += 1;
        let is_new = self.connections.take(node, of);
        let work = open.work + if is_new { self.site.connection } else { 0.0 };
        let told = start_of(of as u64, self.site).is_some_and(|start| start <= self.told[node]);
        self.servers[of].weigh(self.site, self.now, work, told, &mut self.seen);
        let (at, status, note) =
            self.servers[of].take(self.site, self.now, open.key, work, open.write, &mut self.seen);
        let attempt = AttemptId(open.sent.len() as u32);
        open.sent.push((of, self.now, false));
        let last = self.now + timeout.unwrap_or(DEADLINE);
        let (at, status) = if at > last { (last, Status::TimedOut) } else { (at, status) };
        let finished = status == Status::Success;
        let outcome = Outcome {
            request,
            attempt,
            status,
            elapsed: at - self.now,
            finished,
            note: finished.then_some(note),
        };
        self.at(at, What::Ends(node, outcome));
    }

    fn ends(&mut self, node: usize, outcome: Outcome) {
        let id = outcome.request.0;
        if let Some(open) = self.open.get_mut(&id) {
            if std::mem::replace(&mut open.sent[outcome.attempt.0 as usize].2, true) {
                return;
            }
            let of = open.sent[outcome.attempt.0 as usize].0;
            if !matches!(outcome.status, Status::TimedOut | Status::Unreachable) {
                self.connections.put_back(node, of);
            }
            if outcome.finished {
                self.seen.served += 1;
            }
        }
        self.tell(node, Event::Outcome(outcome));
    }

    fn cancel(&mut self, node: usize, request: RequestId, attempt: AttemptId) {
        let Some(open) = self.open.get_mut(&request.0) else { return };
        let Some((_, at, over)) = open.sent.get_mut(attempt.0 as usize) else { return };
        if std::mem::replace(over, true) {
            return;
        }
        let elapsed = self.now - *at;
        let outcome =
            Outcome { request, attempt, status: Status::Cancelled, elapsed, finished: false, note: None };
        self.tell(node, Event::Outcome(outcome));
    }

    /// The client of a rejected or failed request retries, as a new request.
    fn again(&mut self, request: u64) {
        let Some(open) = self.open.get(&request) else { return };
        let Open { key, write, work, left, .. } = *open;
        if left > 0 {
            let wait = BACKOFF * (0.5 + self.rng.random::<f64>());
            self.at(self.now + wait, What::Comes { key, write, work, left: left - 1 });
        }
    }
}

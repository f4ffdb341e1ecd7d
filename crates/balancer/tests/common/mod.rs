//! A node under test, its settings, and helpers that read its actions.
#![allow(dead_code)]

use std::collections::BTreeMap;

use hallpin_balancer::*;

pub(super) const READ: ClassId = ClassId(0);
pub(super) const KEYED: ClassId = ClassId(1);
pub(super) const UNSAFE: ClassId = ClassId(2);

pub(super) fn class(name: &str, effect: Effect, group: DeduplicationScope) -> Class {
    Class {
        name: name.into(),
        latency_objective: 0.5,
        deadline: 2.0,
        priority_weight: 1.0,
        late_weight_share: 0.2,
        effect,
        deduplication_scope: group,
        deduplication_window: 1.0,
        streamed: false,
    }
}

pub(super) fn settings() -> Settings {
    Settings {
        balancers: 2,
        classes: vec![
            class("read", Effect::Idempotent, DeduplicationScope::All),
            class("keyed", Effect::Deduplicated, DeduplicationScope::Zone),
            class("unsafe", Effect::NonIdempotent, DeduplicationScope::All),
        ],
        tenants: vec![],
        membership: Membership::Pushed,
        cache: CacheMode::Through,
        weights: WeightSource::Off,
        guarantees: Guarantees {
            answer_grace: 0.02,
            poll_interval: 10.0,
            initial_capacity_share: 0.25,
            slow_start_duration: 8.0,
            drain_grace: 0.5,
            overload_multiple: 3.0,
            overload_window: 1.0,
        },
        limits: Limits {
            cancel: true,
            health_checks: true,
            hedging: true,
            max_attempts: 4,
            connect_timeout: 0.1,
            ..Limits::default()
        },
        event_interval: 0.005,
    }
}

pub(super) fn id(n: u64) -> ServerId {
    ServerId(format!("10.0.{}.{}:80", n / 256, n % 256).as_str().into())
}

pub(super) fn entry(n: u64) -> EndpointEntry {
    EndpointEntry {
        server: id(n),
        state: ServerState::Ready,
        zone: if n.is_multiple_of(2) { "here" } else { "there" }.into(),
        weight: 1.0,
        kind: "box".into(),
        started: None,
        cell: n / 4,
    }
}

pub(super) fn origin() -> EndpointEntry {
    EndpointEntry { server: id(998), kind: "origin".into(), ..entry(0) }
}

pub(super) fn read(n: u64, key: u64) -> NewRequest {
    NewRequest {
        id: RequestId(n),
        time_left: 1.0,
        class: Some(READ),
        tenant: None,
        key: Some(Key(key)),
        write: false,
        work_hint: None,
    }
}

/// A balancer and the attempts that it has sent.
pub(crate) struct Node {
    pub balancer: Balancer,
    pub now: Seconds,
    /// Server and time of each attempt, by request.
    pub sends: BTreeMap<RequestId, Vec<(ServerId, Seconds)>>,
    /// Number of requests sent by `flush_recent_keys`.
    flush_count: u64,
}

impl Node {
    pub(crate) fn new(settings: Settings, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed).expect("settings are valid");
        Node { balancer, now: 100.0, sends: BTreeMap::new(), flush_count: 0 }
    }

    pub(crate) fn with(settings: Settings, seed: u64, entries: Vec<EndpointEntry>) -> Self {
        let mut node = Node::new(settings, seed);
        node.event(Event::Endpoints(EndpointUpdate::Full(entries)));
        node
    }

    pub(crate) fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            if let Action::Send { request, server, .. } = action {
                self.sends.entry(*request).or_default().push((server.clone(), self.now));
            }
        }
        actions
    }

    pub(crate) fn request(&mut self, new: NewRequest) -> Vec<Action> {
        self.event(Event::Request(new))
    }

    /// Ends the last attempt of a request.
    pub(crate) fn outcome(&mut self, request: u64, status: Status, note: Option<CacheNote>) -> Vec<Action> {
        let request = RequestId(request);
        let attempts = &self.sends[&request];
        let (attempt, elapsed) = (attempts.len() - 1, self.now - attempts[attempts.len() - 1].1);
        self.event(Event::Outcome(Outcome {
            request,
            attempt: AttemptId(attempt as u32),
            status,
            elapsed,
            finished: status == Status::Success,
            cache_note: note,
        }))
    }

    pub(crate) fn serve(&mut self, request: u64) -> Vec<Action> {
        self.outcome(request, Status::Success, Some(CacheNote::Hit))
    }

    /// Advances the time in housekeeping ticks.
    pub(crate) fn advance(&mut self, time: Seconds) -> Vec<Action> {
        let mut actions = Vec::new();
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + 0.05).min(end);
            actions.extend(self.event(Event::Timer(TimerToken(0))));
        }
        actions
    }

    /// Sends enough other requests that no earlier one counts as recent.
    pub(crate) fn flush_recent_keys(&mut self) {
        for n in 0..16 {
            let id = (1 << 40) + self.flush_count;
            self.flush_count += 1;
            if !sent(&self.request(read(id, id * 31 + n))).is_empty() {
                self.serve(id);
            }
        }
    }

    /// The server that a read of this key is sent to while nothing is in flight and the key was not asked for
    /// recently.
    pub(crate) fn owner(&mut self, request: u64, key: u64) -> ServerId {
        self.owner_if_sent(request, key).expect("a read is sent")
    }

    /// Like `owner`; `None` where the read is rejected because no server is warm. As long as the node's
    /// time stands still, a key draws the same slow-start sample again.
    pub(crate) fn owner_if_sent(&mut self, request: u64, key: u64) -> Option<ServerId> {
        self.flush_recent_keys();
        let sent = sent(&self.request(read(request, key)));
        let server = sent.first().cloned()?;
        self.serve(request);
        Some(server)
    }
}

pub(super) fn sent(actions: &[Action]) -> Vec<ServerId> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Send { server, .. } => Some(server.clone()),
            _ => None,
        })
        .collect()
}

pub(super) fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub(super) fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

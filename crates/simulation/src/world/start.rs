//! Start of a run: construction of the world, filling of the stores, and the first events.

use super::*;

/// Requests drawn to fill the stores, for each copy that they can hold.
const WARM_UP_DRAWS_PER_COPY: f64 = 3.0;
/// Limit on the requests drawn to fill the stores.
const MAX_WARM_UP_DRAWS: f64 = 2e6;

/// Components of a world at the start of its run, for callers that schedule events themselves.
pub struct WorldParts {
    /// All boxes of the run; the stores of those that run are filled.
    pub boxes: Vec<CacheBox>,
    /// The planner, without any calls.
    pub origin: Origin,
    /// The endpoint list, with the boxes that run.
    pub list: List,
    /// The clients.
    pub clients: Clients,
    /// The keys.
    pub keys: Keys,
}

impl<'a, S: Sink> World<'a, S> {
    /// Splits a world whose run has not begun into its components.
    pub fn into_parts(self) -> WorldParts {
        let World { boxes, origin, list, clients, keys, .. } = self;
        WorldParts {
            boxes: boxes.into_iter().map(|box_state| box_state.cache).collect(),
            origin,
            list,
            clients,
            keys,
        }
    }

    /// Creates the world at the start of the run, with filled stores.
    ///
    /// # Errors
    /// If the run's settings or keys are invalid.
    pub fn new(run_spec: &'a RunSpec, start: PolicyFactory<'a>, sink: S) -> Result<Self, WorldError> {
        let boxes: Vec<BoxState> = run_spec
            .boxes
            .iter()
            .enumerate()
            .map(|(at, spec)| {
                let mut cache =
                    CacheBox::new(spec.clone(), RandomStream::new(run_spec.seed, &format!("box {at}")));
                if !run_spec.running.contains(&at) {
                    cache.stop();
                }
                let server = ServerId(spec.id.as_str().into());
                BoxState { cache, server, generation: 0, in_transit: 0, silence_count: 0, wakes: None }
            })
            .collect();
        let servers =
            boxes.iter().enumerate().map(|(at, box_state)| (box_state.server.clone(), at)).collect();
        let mut nodes = Vec::new();
        for (node, &depot) in run_spec.nodes.iter().enumerate() {
            let settings = Settings::from_json(&run_spec.settings(node))?;
            let policy = start(settings.clone(), node_seed(run_spec.seed, node, 0))?;
            nodes.push(NodeState {
                policy,
                settings,
                depot,
                generation: 0,
                alive: true,
                accepts_until: None,
                new_connections_until: None,
                unavailable_since: None,
                tries: FxHashMap::default(),
                idle_connections: vec![VecDeque::new(); run_spec.boxes.len()],
                cached_endpoints: Vec::new(),
                revision: 0,
                agent_revision: 0,
                watch_silent: false,
                plane: None,
                placement_revision: 0,
                pending_events: VecDeque::new(),
                start_count: 0,
            });
        }
        let mut world = World {
            keys: Keys::new(run_spec.keys.clone(), run_spec.seed)?,
            clients: Clients::new(run_spec),
            origin: Origin::new(Planner::new(
                run_spec.planner.clone(),
                RandomStream::new(run_spec.seed, "planner"),
            )),
            list: List::default(),
            list_outages: 0,
            network_rng: RandomStream::new(run_spec.seed, "network"),
            rng: RandomStream::new(run_spec.seed, "world"),
            partition_counts: vec![0; run_spec.depots.len() * run_spec.depots.len()],
            faults: NetworkFaults::default(),
            planes: PlaneState::new(run_spec.seed),
            sizes: Vec::new(),
            in_flight: Slab::new(),
            attempts_started: 0,
            messages: FxHashMap::default(),
            next_message: 0,
            queue: EventQueue::default(),
            now: Time::ZERO,
            event_count: 0,
            actions: Vec::new(),
            outputs: Vec::new(),
            run_spec,
            start,
            sink,
            boxes,
            servers,
            nodes,
        };
        world.fill_caches()?;
        for b in 0..world.boxes.len() {
            if world.boxes[b].cache.is_up() {
                world.list.set(listing(b, Phase::Ready, None));
            }
        }
        Ok(world)
    }

    /// Fills the stores with the keys of random requests. A separate policy instance per node, of the kind under test,
    /// picks the box of each request.
    pub(super) fn fill_caches(&mut self) -> Result<(), WorldError> {
        let start = |state: &NodeState| (self.start)(state.settings.clone(), self.run_spec.seed);
        let mut policies = self.nodes.iter().map(start).collect::<Result<Vec<_>, _>>()?;
        let mut rng = RandomStream::new(self.run_spec.seed, "warm up");
        let running: Vec<EndpointEntry> =
            self.run_spec.running.iter().map(|&b| self.entry(listing(b, Phase::Ready, None))).collect();
        let mut actions = Vec::new();
        for policy in &mut policies {
            let endpoints = decisions::Event::Endpoints(EndpointUpdate::Full(running.clone()));
            policy.handle(0.0, endpoints, &self.policy_view(0, RequestKeys::Fixed(0)), &mut actions);
        }
        let capacity: u64 = self.run_spec.running.iter().map(|&b| self.run_spec.boxes[b].memory).sum();
        let draws = (capacity as f64 / self.run_spec.keys.bytes.max(1.0) * WARM_UP_DRAWS_PER_COPY)
            .min(MAX_WARM_UP_DRAWS) as u64;
        let class = self.run_spec.classes.iter().position(|c| !c.write).unwrap_or(0);
        for n in 1..=draws {
            let now = n as f64 * 1e-3;
            let (key, node) = (self.keys.draw(&mut rng), self.clients.draw_node(&mut rng));
            let id = RequestId(n);
            let request = NewRequest {
                id,
                time_left: 1.0,
                class: Some(ClassId(class)),
                tenant: None,
                key: Some(self.keys.hashed(key)),
                write: false,
                work_hint: None,
            };
            actions.clear();
            let view = self.policy_view(node, RequestKeys::Fixed(key));
            policies[node].handle(now, decisions::Event::Request(request), &view, &mut actions);
            let sent = actions.iter().find_map(|a| match a {
                Action::Send { server, .. } => self.servers.get(server).copied(),
                _ => None,
            });
            let Some(to) = sent else {
                // A policy that queues the request must not keep it.
                policies[node].handle(now, decisions::Event::ClientLeft(id), &view, &mut actions);
                continue;
            };
            if !self.boxes[to].cache.has_valid_copy(Time::ZERO, key, 0) {
                // Remaining lifetimes are uniform, so that copies do not expire together.
                let fresh_for = self.run_spec.boxes[to].ttl * rng.uniform();
                self.boxes[to].cache.preload(key, self.keys.bytes(key), Time::ZERO + fresh_for);
            }
            let outcome = Outcome {
                request: id,
                attempt: AttemptId(0),
                status: Status::Success,
                elapsed: 0.01,
                finished: true,
                cache_note: Some(CacheNote::Hit),
            };
            let view = self.policy_view(node, RequestKeys::Fixed(key));
            policies[node].handle(now, decisions::Event::Outcome(outcome), &view, &mut actions);
        }
        Ok(())
    }

    /// Starts the nodes, and schedules incidents, watch silences, and the first arrival and key change.
    pub(super) fn schedule_initial_events(&mut self) {
        for b in 0..self.boxes.len() {
            if self.boxes[b].cache.is_up() {
                self.record_box_up(b, false);
            }
        }
        let snapshot = self.list.complete_list();
        for node in 0..self.nodes.len() {
            self.record(Event::NodeUp { node });
            self.nodes[node].cached_endpoints = snapshot.listings.iter().map(|l| self.entry(*l)).collect();
            self.nodes[node].agent_revision = snapshot.revision;
            self.start_process(node);
        }
        for (at, scheduled) in self.run_spec.fault_events.iter().enumerate() {
            self.schedule_at(scheduled.at, ScheduledEvent::IncidentBegins(at));
        }
        for (at, silence) in self.run_spec.watch_silences.iter().enumerate() {
            self.schedule_at(silence.at, ScheduledEvent::WatchesSilent(at));
        }
        self.schedule_at(Time::ZERO + Span(1_000_000), ScheduledEvent::EverySecond);
        self.schedule_arrival();
        self.schedule_key_change();
    }
}

//! How a day begins: the parts, warm stores, and what is due first.

use super::*;

/// Stores are warm after so many draws for each copy that they hold, and so many in all.
const WARM_DRAWS: f64 = 3.0;
const MOST_WARM_DRAWS: f64 = 2e6;

/// The parts of a world as its day begins, for those who move the events themselves.
pub struct Parts {
    /// All boxes of the day, those that run with warm stores.
    pub boxes: Vec<CacheBox>,
    /// The planner, with nothing asked.
    pub origin: Origin,
    /// The list, with the boxes that run.
    pub list: List,
    /// The clients.
    pub clients: Clients,
    /// The keys.
    pub keys: Keys,
}

impl<'a, S: Sink> World<'a, S> {
    /// Takes the world apart before its day has begun.
    pub fn into_parts(self) -> Parts {
        let World { boxes, origin, list, clients, keys, .. } = self;
        Parts { boxes: boxes.into_iter().map(|place| place.cache).collect(), origin, list, clients, keys }
    }

    /// The world as the day begins, with warm stores.
    ///
    /// # Errors
    /// Where the day's settings or keys make no sense.
    pub fn new(day: &'a Day, start: Start<'a>, sink: S) -> Result<Self, WorldError> {
        let boxes: Vec<Place> = day
            .boxes
            .iter()
            .enumerate()
            .map(|(at, spec)| {
                let mut cache = CacheBox::new(spec.clone(), Chance::new(day.seed, &format!("box {at}")));
                if !day.running.contains(&at) {
                    cache.stop();
                }
                let server = ServerId(spec.id.as_str().into());
                Place { cache, server, life: 0, coming: 0, silent: 0, wakes: None }
            })
            .collect();
        let servers = boxes.iter().enumerate().map(|(at, place)| (place.server.clone(), at)).collect();
        let mut hosts = Vec::new();
        for (node, &depot) in day.nodes.iter().enumerate() {
            let settings = Settings::from_json(&day.settings(node))?;
            let policy = start(settings.clone(), seed_of(day.seed, node, 0))?;
            hosts.push(Host {
                policy,
                settings,
                depot,
                life: 0,
                alive: true,
                leaving: None,
                coming: None,
                gone_at: None,
                tries: FxHashMap::default(),
                pools: vec![VecDeque::new(); day.boxes.len()],
                held: Vec::new(),
                revision: 0,
                agent: 0,
                silent: false,
                plane: None,
                places_by: 0,
                events: VecDeque::new(),
                starts: 0,
            });
        }
        let mut world = World {
            keys: Keys::new(day.keys.clone(), day.seed)?,
            clients: Clients::new(day),
            origin: Origin::new(Planner::new(day.planner.clone(), Chance::new(day.seed, "planner"))),
            list: List::default(),
            list_silent: 0,
            network: Chance::new(day.seed, "network"),
            chance: Chance::new(day.seed, "world"),
            parted: vec![0; day.depots.len() * day.depots.len()],
            faults: Faults::default(),
            planes: Planes::new(day.seed),
            sizes: Vec::new(),
            flights: Slab::new(),
            flown: 0,
            messages: FxHashMap::default(),
            next_message: 0,
            agenda: Agenda::default(),
            now: Time::ZERO,
            steps: 0,
            actions: Vec::new(),
            outs: Vec::new(),
            day,
            start,
            sink,
            boxes,
            servers,
            hosts,
        };
        world.warm_up()?;
        for b in 0..world.boxes.len() {
            if world.boxes[b].cache.is_up() {
                world.list.set(listing(b, Phase::Ready, None));
            }
        }
        Ok(world)
    }

    /// Fills the stores with what the boxes were asked for lately: policies of the same kind, one for each node, say
    /// which box that was.
    pub(super) fn warm_up(&mut self) -> Result<(), WorldError> {
        let start = |host: &Host| (self.start)(host.settings.clone(), self.day.seed);
        let mut policies = self.hosts.iter().map(start).collect::<Result<Vec<_>, _>>()?;
        let mut chance = Chance::new(self.day.seed, "warm up");
        let running: Vec<EndpointEntry> =
            self.day.running.iter().map(|&b| self.entry(listing(b, Phase::Ready, None))).collect();
        let mut actions = Vec::new();
        for policy in &mut policies {
            let news = decisions::Event::Endpoints(EndpointUpdate::Full(running.clone()));
            policy.handle(0.0, news, &self.eyes(0, Asked::One(0)), &mut actions);
        }
        let room: u64 = self.day.running.iter().map(|&b| self.day.boxes[b].memory).sum();
        let draws = (room as f64 / self.day.keys.bytes.max(1.0) * WARM_DRAWS).min(MOST_WARM_DRAWS) as u64;
        let class = self.day.classes.iter().position(|c| !c.write).unwrap_or(0);
        for n in 1..=draws {
            let now = n as f64 * 1e-3;
            let (key, node) = (self.keys.draw(&mut chance), self.clients.draw_node(&mut chance));
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
            let eyes = self.eyes(node, Asked::One(key));
            policies[node].handle(now, decisions::Event::Request(request), &eyes, &mut actions);
            let sent = actions.iter().find_map(|a| match a {
                Action::Send { server, .. } => self.servers.get(server).copied(),
                _ => None,
            });
            let Some(to) = sent else {
                // Of a policy that would have waited, nothing may be left over.
                policies[node].handle(now, decisions::Event::ClientLeft(id), &eyes, &mut actions);
                continue;
            };
            if !self.boxes[to].cache.keeps(Time::ZERO, key, 0) {
                // Copies are of all ages.
                let good = self.day.boxes[to].ttl * chance.unit();
                self.boxes[to].cache.fill(key, self.keys.bytes(key), Time::ZERO + good);
            }
            let outcome = Outcome {
                request: id,
                attempt: AttemptId(0),
                status: Status::Success,
                elapsed: 0.01,
                finished: true,
                cache_note: Some(CacheNote::Hit),
            };
            let eyes = self.eyes(node, Asked::One(key));
            policies[node].handle(now, decisions::Event::Outcome(outcome), &eyes, &mut actions);
        }
        Ok(())
    }

    pub(super) fn begin(&mut self) {
        for b in 0..self.boxes.len() {
            if self.boxes[b].cache.is_up() {
                self.tell_up(b, false);
            }
        }
        let whole = self.list.whole();
        for node in 0..self.hosts.len() {
            self.record(Event::NodeUp { node });
            self.hosts[node].held = whole.listings.iter().map(|l| self.entry(*l)).collect();
            self.hosts[node].agent = whole.revision;
            self.start_host(node);
        }
        for (at, scheduled) in self.day.incidents.iter().enumerate() {
            self.enter(scheduled.at, Due::Begins(at));
        }
        for (at, silence) in self.day.silences.iter().enumerate() {
            self.enter(silence.at, Due::WatchesSilent(at));
        }
        self.enter(Time::ZERO + Span(1_000_000), Due::EverySecond);
        self.next_arrival();
        self.next_change();
    }
}

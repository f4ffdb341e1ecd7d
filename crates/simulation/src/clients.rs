//! Clients: their arrivals and requests, how long they wait, and whether they retry.

use rustc_hash::FxHashMap;

use crate::keys::Keys;
use crate::random::{RandomStream, Spread};
use crate::run_spec::{Effect, Entry, HastyClients, NodeId, RunSpec, SlowWriters};
use crate::store::KeyId;
use crate::time::{Span, Time};
use crate::trace::{AskId, Event, TryId, TryOutcome};

/// Delay before a hasty client retries: one pass of its own event loop.
const HASTY_RETRY_DELAY: Span = Span(1000);

/// How a try ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The final answer of the node.
    Answer {
        /// Outcome that the answer states.
        how: TryOutcome,
        /// Retry-after advice of a rejection.
        advice: Option<Span>,
    },
    /// The try reached no node that accepts it.
    Unreached,
    /// The connection broke after the request was sent.
    Reset,
    /// No answer came while the client waited.
    Nothing,
}

/// An output of the clients, which the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientOutput {
    /// Record this event in the trace.
    Record(Event),
    /// Start a try of this request at this time.
    TryAt(Time, AskId),
}

/// A request of a client, with all its tries.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: Option<usize>,
    /// Requested key.
    pub key: KeyId,
    /// Work, in microseconds of a standard core.
    pub work: f64,
    /// The client's estimate of the work that the request carries, in seconds.
    pub hint: Option<f64>,
    /// Idempotency key, for classes that use one.
    pub effect: Option<u64>,
    node: NodeId,
    /// Time of the request, from which its deadline counts.
    first: Time,
    /// Tries started so far.
    tries: u32,
    /// Whether the client honours retry-after advice.
    honours_advice: bool,
    /// How the client hurries; `None` for one that is not hasty.
    haste: Option<HastyClients>,
}

/// A try in flight.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    /// Request that the try belongs to.
    pub ask: AskId,
    /// Node that the try is sent to.
    pub node: NodeId,
    /// Time at which the client stops waiting for an answer; the wait counts from the first byte written.
    pub until: Time,
    /// Time from the first byte written to the last.
    pub writing: Span,
    /// Whether the client abandons the try and the request before `until`.
    abandons: bool,
}

/// A surge of traffic: the factor on the request rate, the share of requests that goes to the hot keys, and these keys.
type Burst = (f64, f64, Vec<KeyId>);

/// All clients of a scenario.
pub struct Clients {
    classes: Vec<crate::run_spec::ClassSpec>,
    tenants: Vec<crate::run_spec::TenantSpec>,
    spec: crate::run_spec::ClientsSpec,
    length: Span,
    rng: RandomStream,
    attempt_rng: RandomStream,
    asks: FxHashMap<AskId, ClientRequest>,
    tries: FxHashMap<TryId, Try>,
    last_ask: AskId,
    last_try: TryId,
    /// By class: shares of requests with more work, and the factor on the work.
    heavy_work: Vec<Vec<(f64, f64)>>,
    /// Surges that go on, by incident.
    bursts: Vec<(usize, Burst)>,
    /// Depot of each node.
    depots: Vec<usize>,
    /// Present weight of each node in the requests; a traffic shift multiplies the weights of its depot's
    /// nodes.
    shares: Vec<f64>,
    /// By incident: share of tries that clients abandon, and the factor by which they shorten the backoff.
    impatient: Vec<(usize, f64, f64)>,
    /// By incident: which clients are hasty, and how.
    hasty: Vec<(usize, HastyClients)>,
    /// By incident: which clients write slowly, and how slowly.
    slow_writers: Vec<(usize, SlowWriters)>,
}

impl Clients {
    /// The clients of this scenario.
    pub fn new(run_spec: &RunSpec) -> Self {
        Clients {
            classes: run_spec.classes.clone(),
            tenants: run_spec.tenants.clone(),
            spec: run_spec.clients.clone(),
            length: run_spec.length,
            rng: RandomStream::new(run_spec.seed, "clients"),
            attempt_rng: RandomStream::new(run_spec.seed, "attempts"),
            asks: FxHashMap::default(),
            tries: FxHashMap::default(),
            last_ask: 0,
            last_try: 0,
            heavy_work: vec![Vec::new(); run_spec.classes.len()],
            bursts: Vec::new(),
            depots: run_spec.nodes.clone(),
            shares: run_spec.clients.node_shares.clone(),
            impatient: Vec::new(),
            hasty: Vec::new(),
            slow_writers: Vec::new(),
        }
    }

    /// Requests per second at this time.
    pub fn rate(&self, now: Time) -> f64 {
        let bursts: f64 = self.bursts.iter().map(|(_, (factor, ..))| factor).product();
        let base_shares: f64 = self.spec.node_shares.iter().sum();
        let shift_factor = self.shares.iter().sum::<f64>() / base_shares.max(f64::MIN_POSITIVE);
        self.spec.rate * interpolate(&self.spec.curve, now) * bursts * shift_factor
    }

    /// Time of the next request; `None` if that is after the end of the scenario.
    pub fn next_arrival(&mut self, now: Time) -> Option<Time> {
        let wait = self.rng.exponential(1.0 / self.rate(now).max(1e-9));
        Some(now + Span::from_secs(wait.min(1e6))).filter(|at| *at < Time::ZERO + self.length)
    }

    /// Draws the node that one more client process connects to.
    pub fn draw_node(&self, rng: &mut RandomStream) -> NodeId {
        weighted_index(rng, self.spec.node_shares.iter().copied())
    }

    /// Creates a request and starts its first try.
    pub fn arrival(&mut self, now: Time, keys: &Keys) -> Vec<ClientOutput> {
        self.last_ask += 1;
        let id = self.last_ask;
        let class = weighted_index(&mut self.rng, self.classes.iter().map(|class| class.share));
        let tenant = (!self.tenants.is_empty())
            .then(|| weighted_index(&mut self.rng, self.tenants.iter().map(|tenant| tenant.usage)));
        let node = weighted_index(&mut self.rng, self.shares.iter().copied());
        let mut key = keys.draw(&mut self.rng);
        for (_, (_, share, hot_keys)) in &self.bursts {
            if !hot_keys.is_empty() && self.rng.bernoulli(*share) {
                key = hot_keys[self.rng.below(hot_keys.len() as u64) as usize];
            }
        }
        let class_spec = &self.classes[class];
        let mut work = self.rng.spread(class_spec.spread, class_spec.work.0 as f64, class_spec.cv);
        for (share, factor) in &self.heavy_work[class] {
            if self.rng.bernoulli(*share) {
                work *= factor;
            }
        }
        let hint = self.spec.hint_noise.map(|noise| {
            // Estimates are off by a log-normal factor, which is as often above 1 as below.
            self.rng.spread(Spread::LogNormal, work, noise) / 1e6
        });
        let effect = (class_spec.effect == Effect::Guarded).then_some(id);
        let honours_advice = self.rng.bernoulli(self.spec.honours);
        // Without hasty clients no random number is drawn, so that scenarios without them give unchanged results.
        let haste = self.hasty.iter().map(|(_, haste)| *haste).find(|haste| self.rng.bernoulli(haste.share));
        let request = ClientRequest {
            class,
            tenant,
            key,
            work,
            hint,
            effect,
            node,
            first: now,
            tries: 0,
            honours_advice,
            haste,
        };
        self.asks.insert(id, request);
        vec![
            ClientOutput::Record(Event::RequestStarted { ask: id, class, tenant, key, work }),
            ClientOutput::TryAt(now, id),
        ]
    }

    /// Starts a try at one of the open nodes; returns its id and the time at which the client stops waiting or abandons
    /// it.
    pub fn next_try(&mut self, now: Time, ask: AskId, open: &[bool]) -> Option<(TryId, Time)> {
        let request = self.asks.get_mut(&ask)?;
        let class = &self.classes[request.class];
        let node = match self.spec.entry {
            Entry::Own => request.node,
            Entry::Front => {
                let shares = self.shares.iter().zip(open);
                weighted_index(&mut self.rng, shares.map(|(share, open)| if *open { *share } else { 0.0 }))
            }
        };
        request.tries += 1;
        let time_left = (request.first + class.deadline).since(now);
        let patience = class.deadline * self.spec.try_share;
        let wait = request.haste.map_or(patience, |haste| haste.try_timeout.min(patience)).min(time_left);
        let stay_probability: f64 = self.impatient.iter().map(|(_, share, _)| 1.0 - share).product();
        let abandons = self.rng.bernoulli(1.0 - (1.0 - self.spec.abandons) * stay_probability);
        let until = now + wait;
        let ends_at = if abandons { now + wait * self.rng.uniform() } else { until };
        let writing = self.draw_writing();
        self.last_try += 1;
        self.tries.insert(self.last_try, Try { ask, node, until, writing, abandons });
        Some((self.last_try, ends_at))
    }

    /// Draws how long a command takes to be written. Without slow writers no random number is drawn, so that scenarios
    /// without them give unchanged results.
    fn draw_writing(&mut self) -> Span {
        let slow =
            self.slow_writers.iter().map(|(_, slow)| *slow).find(|slow| self.rng.bernoulli(slow.share));
        slow.map_or(Span::ZERO, |slow| slow.up_to * self.rng.uniform())
    }

    /// A try in flight, by its id.
    pub fn open_try(&self, id: TryId) -> Option<&Try> {
        self.tries.get(&id)
    }

    /// A request that is neither answered nor given up, by its id.
    pub fn ask(&self, ask: AskId) -> Option<&ClientRequest> {
        self.asks.get(&ask)
    }

    /// Ends a try: records success, schedules a retry, or gives the request up.
    pub fn reply(&mut self, now: Time, id: TryId, reply: Reply) -> Vec<ClientOutput> {
        let Some(Try { ask, abandons, .. }) = self.tries.remove(&id) else { return Vec::new() };
        if matches!(reply, Reply::Answer { how: TryOutcome::Completed, .. }) {
            self.asks.remove(&ask);
            return vec![ClientOutput::Record(Event::Received { ask, id })];
        }
        let retry_at = if abandons { None } else { self.retry_time(now, ask, reply) };
        match retry_at {
            Some(at) => vec![ClientOutput::TryAt(at, ask)],
            None => {
                self.asks.remove(&ask);
                vec![ClientOutput::Record(Event::GaveUp { ask })]
            }
        }
    }

    /// Time of the next try, if the class and the limit of retries allow one and the deadline leaves time for
    /// it. The backoff is exponential with jitter, and at least the retry-after advice, up to
    /// `max_retry_after`, for clients that honour it. Hasty clients retry after a short fixed delay instead.
    fn retry_time(&mut self, now: Time, ask: AskId, reply: Reply) -> Option<Time> {
        let request = self.asks.get(&ask)?;
        let class = &self.classes[request.class];
        if request.tries > request.haste.map_or(self.spec.retries, |haste| haste.retries) {
            return None;
        }
        let not_executed =
            matches!(reply, Reply::Answer { how: TryOutcome::Rejected, .. } | Reply::Unreached);
        let hurry: f64 = self.impatient.iter().map(|(.., hurry)| hurry).product();
        let base_backoff = self.spec.backoff * hurry.recip() * f64::from(1u32 << (request.tries - 1).min(16));
        let mut wait = base_backoff * self.rng.between(0.5, 1.5);
        match (request.haste, reply) {
            (Some(_), _) => wait = HASTY_RETRY_DELAY,
            (None, Reply::Answer { advice: Some(advice), .. }) if request.honours_advice => {
                wait = wait.max(advice.min(self.spec.max_retry_after));
            }
            _ => {}
        }
        let at = now + wait;
        let may_retry = match class.effect {
            Effect::Free => true,
            Effect::Guarded => not_executed || at < request.first + class.window,
            Effect::SingleShot => not_executed,
        };
        (may_retry && at < request.first + class.deadline).then_some(at)
    }

    /// Draws the work of an attempt, as a factor on the work of its request.
    pub fn attempt_factor(&mut self) -> f64 {
        self.attempt_rng.spread(Spread::LogNormal, 1.0, self.spec.attempt_noise)
    }

    /// Makes a share of the requests of a class heavier by a factor; `None` ends the latest such change of the class.
    pub fn set_heavy_work(&mut self, class: usize, begins: Option<(f64, f64)>) {
        match begins {
            Some(heavy) => self.heavy_work[class].push(heavy),
            None => drop(self.heavy_work[class].pop()),
        }
    }

    /// Multiplies the traffic to the nodes of a depot; an incident that ends passes the inverse.
    pub fn scale_depot_traffic(&mut self, depot: usize, factor: f64) {
        let depot_shares = self.depots.iter().zip(&mut self.shares).filter(|(at, _)| **at == depot);
        depot_shares.for_each(|(_, share)| *share *= factor);
    }

    /// Begins (`Some`) or ends (`None`) the impatience of clients in the incident with this number.
    pub fn set_impatient(&mut self, number: usize, begins: Option<(f64, f64)>) {
        self.impatient.retain(|(n, ..)| *n != number);
        self.impatient.extend(begins.map(|(share, hurry)| (number, share, hurry)));
    }

    /// Begins or ends the incident with this number, in which some new requests are hasty.
    pub fn set_hasty(&mut self, number: usize, begins: Option<HastyClients>) {
        self.hasty.retain(|(n, _)| *n != number);
        self.hasty.extend(begins.map(|haste| (number, haste)));
    }

    /// Begins or ends the incident with this number, in which some clients write slowly.
    pub fn set_slow_writers(&mut self, number: usize, begins: Option<SlowWriters>) {
        self.slow_writers.retain(|(n, _)| *n != number);
        self.slow_writers.extend(begins.map(|slow| (number, slow)));
    }

    /// Begins or ends the surge with this incident number.
    pub fn set_surge(&mut self, number: usize, begins: Option<Burst>) {
        self.bursts.retain(|(n, _)| *n != number);
        self.bursts.extend(begins.map(|burst| (number, burst)));
    }
}

/// Value of a curve at a time: linear between its points, and flat beyond them.
fn interpolate(curve: &[(Time, f64)], now: Time) -> f64 {
    let next = curve.partition_point(|(at, _)| *at <= now);
    match (next.checked_sub(1).map(|i| curve[i]), curve.get(next)) {
        (None, None) => 1.0,
        (Some((_, value)), None) | (None, Some(&(_, value))) => value,
        (Some((from, start)), Some(&(to, end))) => {
            start + (end - start) * now.since(from).as_secs() / to.since(from).as_secs().max(1e-9)
        }
    }
}

/// Draws an index with probability in proportion to its weight; 0 if no weight is positive.
fn weighted_index(rng: &mut RandomStream, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut remaining = rng.uniform() * weights.clone().sum::<f64>();
    let mut last = 0;
    for (index, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
        last = index;
        remaining -= weight;
        if remaining < 0.0 {
            break;
        }
    }
    last
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_curve_is_linear_between_its_points_and_flat_beyond() {
        let curve = [(Time(10), 1.0), (Time(20), 3.0)];
        let at = |us| interpolate(&curve, Time(us));
        assert_eq!((at(0), at(10), at(15), at(20), at(99)), (1.0, 1.0, 2.0, 3.0, 3.0));
        assert_eq!(interpolate(&[], Time(5)), 1.0);
    }

    #[test]
    fn weighted_index_follows_the_weights_and_skips_zero_weights() {
        let mut rng = RandomStream::new(1, "pick");
        let mut counts = [0; 4];
        for _ in 0..10_000 {
            counts[weighted_index(&mut rng, [0.0, 1.0, 3.0, 0.0].into_iter())] += 1;
        }
        assert_eq!((counts[0], counts[3]), (0, 0));
        assert!((2300..2700).contains(&counts[1]), "{counts:?}");
    }
}

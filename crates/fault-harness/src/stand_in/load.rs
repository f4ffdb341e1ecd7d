//! The clients of all tenants: open-loop requests, and persistent connections that send for as long as they stay open.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hallpin_simulation::chance::Chance;
use hallpin_simulation::time::Span;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

use super::client::{Connection, Request, Unreached};
use crate::spec::{Spec, Tenant};
use crate::trace::{ClientAnswer, Event, Recorder};

/// Timeout for a new connection to a node, after which the client tries another node.
const CONNECT: Duration = Duration::from_millis(250);
/// Delay between two requests on a persistent connection, and before it is opened again.
const PACE: Duration = Duration::from_millis(20);
/// Maximum number of idle connections that clients keep to a node.
const KEPT: usize = 64;

/// What clients know of a node.
pub struct Door {
    /// The node's listen address for clients.
    pub listen: SocketAddr,
    /// Whether clients open new connections to the node. Established connections are used for as long as they stay
    /// open.
    pub wanted: watch::Sender<bool>,
    kept: RefCell<VecDeque<Connection>>,
}

impl Door {
    /// An endpoint that clients do not connect to yet.
    pub fn new(listen: SocketAddr) -> Self {
        Door { listen, wanted: watch::Sender::new(false), kept: RefCell::default() }
    }
}

/// The load generator.
pub struct Load {
    spec: Rc<Spec>,
    doors: Rc<Vec<Door>>,
    recorder: Rc<Recorder>,
    factors: Vec<Cell<f64>>,
    asks: Cell<u64>,
    tries: Cell<u64>,
    open: watch::Sender<u64>,
    over: Cell<bool>,
}

impl Load {
    /// A load generator that sends nothing yet.
    pub fn new(spec: Rc<Spec>, doors: Rc<Vec<Door>>, recorder: Rc<Recorder>) -> Rc<Self> {
        let factors = spec.tenants.iter().map(|_| Cell::new(1.0)).collect();
        Rc::new(Load {
            spec,
            doors,
            recorder,
            factors,
            asks: Cell::new(0),
            tries: Cell::new(0),
            open: watch::Sender::new(0),
            over: Cell::new(false),
        })
    }

    /// Multiplies a tenant's rate from its next request on.
    pub fn rate(&self, tenant: usize, factor: f64) {
        self.factors[tenant].set(factor);
    }

    /// Starts the load: requests are issued until `length` has passed, or until [`LoadGenerator::end`].
    pub fn begin(self: &Rc<Self>, length: Span) {
        let until = Instant::now() + Duration::from_micros(length.0);
        for (at, tenant) in self.spec.tenants.iter().enumerate() {
            tokio::task::spawn_local(self.clone().arrive(at, tenant.clone(), until));
            for node in 0..self.doors.len() {
                for _ in 0..tenant.standing {
                    tokio::task::spawn_local(self.clone().stand(at, tenant.clone(), node, until));
                }
            }
        }
    }

    /// Issues no further requests.
    pub fn end(&self) {
        self.over.set(true);
    }

    /// Number of unfinished requests.
    pub fn open(&self) -> watch::Receiver<u64> {
        self.open.subscribe()
    }

    fn is_over(&self, until: Instant) -> bool {
        self.over.get() || Instant::now() >= until
    }

    async fn arrive(self: Rc<Self>, at: usize, tenant: Tenant, until: Instant) {
        let mut chance = Chance::new(self.spec.seed, &format!("tenant {}", tenant.name));
        let mut next = Instant::now();
        loop {
            let rate = tenant.rate * self.factors[at].get();
            if rate <= 0.0 {
                next = Instant::now() + PACE;
            } else {
                next += Duration::from_secs_f64(chance.exponential(1.0 / rate).min(3600.0));
            }
            sleep_until(next.min(until)).await;
            if self.is_over(until) {
                return;
            }
            if rate > 0.0 {
                let (request, first) = (self.request(at, &tenant, &mut chance), chance.bits());
                tokio::task::spawn_local(self.clone().see_through(request, first, tenant.tries));
            }
        }
    }

    fn request(&self, tenant: usize, spec: &Tenant, chance: &mut Chance) -> Request {
        let ask = self.asks.get();
        self.asks.set(ask + 1);
        let key = format!("{}-{}", spec.name, chance.below(u64::from(spec.keys)));
        let (write, name) = (chance.unit() < spec.writes, spec.name.clone());
        Request { ask, tenant, name, key, write, deadline: Duration::from_micros(spec.deadline.0) }
    }

    /// Runs one request over all its tries, each at another node if there is one.
    async fn see_through(self: Rc<Self>, request: Request, first: u64, tries: u32) {
        let Request { ask, tenant, .. } = request;
        self.recorder.record(Event::Asked { ask, tenant, tries });
        self.open.send_modify(|open| *open += 1);
        let mut served = false;
        for turn in 0..u64::from(tries.max(1)) {
            let wanted: Vec<usize> =
                (0..self.doors.len()).filter(|n| *self.doors[*n].wanted.borrow()).collect();
            let Some(count) = u64::try_from(wanted.len()).ok().filter(|count| *count > 0) else {
                sleep(PACE).await;
                continue;
            };
            let node = wanted[usize::try_from((first.wrapping_add(turn)) % count).unwrap_or(0)];
            let how = self.one_try(node, &request).await;
            served = how == Some(ClientAnswer::Served);
            let again = matches!(how, None | Some(ClientAnswer::Broken)) && !request.write;
            if !(again || how.is_none()) {
                break;
            }
        }
        self.recorder.record(Event::Over { ask, served });
        self.open.send_modify(|open| *open -= 1);
    }

    /// Makes one try at a node, and repeats it on another connection each time the node had closed a reused one.
    async fn one_try(&self, node: usize, request: &Request) -> Option<ClientAnswer> {
        let door = &self.doors[node];
        loop {
            let kept = door.kept.borrow_mut().pop_back();
            let connection = match kept {
                Some(mut kept) => {
                    if !kept.is_quiet(&self.recorder) {
                        continue;
                    }
                    kept
                }
                None => Connection::open(node, door.listen, CONNECT).await.ok()?,
            };
            match self.on(connection, request).await {
                Ok((ClientAnswer::Crossed, _)) => {}
                Ok((how, back)) => {
                    let mut kept = door.kept.borrow_mut();
                    kept.extend(back);
                    if kept.len() > KEPT {
                        kept.pop_front();
                    }
                    return Some(how);
                }
                Err(Unreached) => return None,
            }
        }
    }

    async fn on(
        &self,
        connection: Connection,
        request: &Request,
    ) -> Result<(ClientAnswer, Option<Connection>), Unreached> {
        let id = self.tries.get();
        self.tries.set(id + 1);
        let leeway = Duration::from_micros(self.spec.rules.leeway.0);
        connection.ask(request, id, leeway, &self.recorder).await
    }

    /// Runs a persistent connection to a node: sends one request after the other for as long as the connection stays
    /// open, even while the node is stopping, and then opens a new one once clients may connect to the node.
    async fn stand(self: Rc<Self>, at: usize, tenant: Tenant, node: usize, until: Instant) {
        let name = format!("standing {} {node} {}", tenant.name, self.asks.get());
        let mut chance = Chance::new(self.spec.seed, &name);
        let mut wanted = self.doors[node].wanted.subscribe();
        while !self.is_over(until) {
            if wanted.wait_for(|wanted| *wanted).await.is_err() {
                return;
            }
            let opened = Connection::open(node, self.doors[node].listen, CONNECT).await;
            let mut connection = opened.ok();
            while let Some(mut open) = connection.take().filter(|_| !self.is_over(until)) {
                if !open.is_quiet(&self.recorder) {
                    break;
                }
                let request = self.request(at, &tenant, &mut chance);
                let Request { ask, .. } = request;
                self.recorder.record(Event::Asked { ask, tenant: at, tries: 1 });
                self.open.send_modify(|open| *open += 1);
                let ended = self.on(open, &request).await;
                let how = ended.as_ref().ok().map(|(how, _)| *how);
                self.recorder.record(Event::Over { ask, served: how == Some(ClientAnswer::Served) });
                self.open.send_modify(|open| *open -= 1);
                connection = ended.ok().and_then(|(_, back)| back);
                sleep(PACE).await;
            }
            sleep(PACE).await;
        }
    }
}

/// Maximum time that a request may take.
pub(crate) fn longest(spec: &Spec) -> Duration {
    let tries = spec.tenants.iter().map(|t| t.tries.max(1)).max().unwrap_or(1);
    let each = spec.longest_deadline() + spec.rules.leeway;
    (Duration::from_micros(each.0) + CONNECT + PACE) * tries
}

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

use super::client::{Connection, NodeUnreached, Request};
use crate::spec::{Spec, Tenant};
use crate::trace::{ClientAnswer, Event, Recorder};

/// Timeout for a new connection to a node, after which the client tries another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay between two requests on a persistent connection, before it is opened again, and before a tenant without a rate
/// or a request without an available node looks again.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of idle connections that clients keep to a node.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A node as seen by clients: its address and their idle connections to it.
pub struct NodeEndpoint {
    /// The node's listen address for clients.
    pub listen: SocketAddr,
    /// Whether clients open new connections to the node. Established connections are used for as long as they stay
    /// open.
    pub accepts_connections: watch::Sender<bool>,
    idle: RefCell<VecDeque<Connection>>,
}

impl NodeEndpoint {
    /// An endpoint that clients do not connect to yet.
    pub fn new(listen: SocketAddr) -> Self {
        NodeEndpoint { listen, accepts_connections: watch::Sender::new(false), idle: RefCell::default() }
    }
}

/// The load generator.
pub struct LoadGenerator {
    spec: Rc<Spec>,
    endpoints: Rc<Vec<NodeEndpoint>>,
    recorder: Rc<Recorder>,
    rate_factors: Vec<Cell<f64>>,
    next_request_id: Cell<u64>,
    next_try_id: Cell<u64>,
    open_requests: watch::Sender<u64>,
    stopped: Cell<bool>,
}

impl LoadGenerator {
    /// A load generator that sends nothing yet.
    pub fn new(spec: Rc<Spec>, endpoints: Rc<Vec<NodeEndpoint>>, recorder: Rc<Recorder>) -> Rc<Self> {
        let rate_factors = spec.tenants.iter().map(|_| Cell::new(1.0)).collect();
        Rc::new(LoadGenerator {
            spec,
            endpoints,
            recorder,
            rate_factors,
            next_request_id: Cell::new(0),
            next_try_id: Cell::new(0),
            open_requests: watch::Sender::new(0),
            stopped: Cell::new(false),
        })
    }

    /// Multiplies a tenant's rate from its next request on.
    pub fn set_rate_factor(&self, tenant: usize, factor: f64) {
        self.rate_factors[tenant].set(factor);
    }

    /// Starts the load: requests are issued until `length` has passed, or until [`LoadGenerator::stop`].
    pub fn start(self: &Rc<Self>, length: Span) {
        let until = Instant::now() + Duration::from_micros(length.0);
        for (at, tenant) in self.spec.tenants.iter().enumerate() {
            tokio::task::spawn_local(self.clone().issue_requests(at, tenant.clone(), until));
            for node in 0..self.endpoints.len() {
                for _ in 0..tenant.standing {
                    tokio::task::spawn_local(self.clone().run_persistent_connection(
                        at,
                        tenant.clone(),
                        node,
                        until,
                    ));
                }
            }
        }
    }

    /// Issues no further requests.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Number of unfinished requests.
    pub fn open_requests(&self) -> watch::Receiver<u64> {
        self.open_requests.subscribe()
    }

    fn is_over(&self, until: Instant) -> bool {
        self.stopped.get() || Instant::now() >= until
    }

    async fn issue_requests(self: Rc<Self>, at: usize, tenant: Tenant, until: Instant) {
        let mut rng = Chance::new(self.spec.seed, &format!("tenant {}", tenant.name));
        let mut next = Instant::now();
        loop {
            let rate = tenant.rate * self.rate_factors[at].get();
            if rate <= 0.0 {
                next = Instant::now() + REQUEST_INTERVAL;
            } else {
                next += Duration::from_secs_f64(rng.exponential(1.0 / rate).min(3600.0));
            }
            sleep_until(next.min(until)).await;
            if self.is_over(until) {
                return;
            }
            if rate > 0.0 {
                let (request, first) = (self.request(at, &tenant, &mut rng), rng.bits());
                tokio::task::spawn_local(self.clone().run_request(request, first, tenant.tries));
            }
        }
    }

    fn request(&self, tenant: usize, spec: &Tenant, rng: &mut Chance) -> Request {
        let ask = self.next_request_id.get();
        self.next_request_id.set(ask + 1);
        let key = format!("{}-{}", spec.name, rng.below(u64::from(spec.keys)));
        let (write, name) = (rng.unit() < spec.writes, spec.name.clone());
        Request { ask, tenant, name, key, write, deadline: Duration::from_micros(spec.deadline.0) }
    }

    /// Runs one request over all its tries, each at another node if there is one.
    async fn run_request(self: Rc<Self>, request: Request, first: u64, tries: u32) {
        let Request { ask, tenant, .. } = request;
        self.recorder.record(Event::Asked { ask, tenant, tries });
        self.open_requests.send_modify(|open| *open += 1);
        let mut served = false;
        for turn in 0..u64::from(tries.max(1)) {
            let available: Vec<usize> = (0..self.endpoints.len())
                .filter(|n| *self.endpoints[*n].accepts_connections.borrow())
                .collect();
            let Some(count) = u64::try_from(available.len()).ok().filter(|count| *count > 0) else {
                sleep(REQUEST_INTERVAL).await;
                continue;
            };
            let node = available[usize::try_from((first.wrapping_add(turn)) % count).unwrap_or(0)];
            let how = self.make_try(node, &request).await;
            served = how == Some(ClientAnswer::Served);
            let retry = matches!(how, None | Some(ClientAnswer::Broken)) && !request.write;
            if !(retry || how.is_none()) {
                break;
            }
        }
        self.recorder.record(Event::Over { ask, served });
        self.open_requests.send_modify(|open| *open -= 1);
    }

    /// Makes one try at a node, and repeats it on another connection each time the node had closed a reused one.
    /// Returns `None` if a try did not reach the node.
    async fn make_try(&self, node: usize, request: &Request) -> Option<ClientAnswer> {
        let endpoint = &self.endpoints[node];
        loop {
            let idle = endpoint.idle.borrow_mut().pop_back();
            let connection = match idle {
                Some(mut idle) => {
                    if !idle.is_reusable(&self.recorder) {
                        continue;
                    }
                    idle
                }
                None => Connection::open(node, endpoint.listen, CONNECT_TIMEOUT).await.ok()?,
            };
            match self.send_try(connection, request).await {
                Ok((ClientAnswer::Crossed, _)) => {}
                Ok((how, reusable)) => {
                    let mut idle = endpoint.idle.borrow_mut();
                    idle.extend(reusable);
                    if idle.len() > MAX_IDLE_CONNECTIONS {
                        idle.pop_front();
                    }
                    return Some(how);
                }
                Err(NodeUnreached) => return None,
            }
        }
    }

    async fn send_try(
        &self,
        connection: Connection,
        request: &Request,
    ) -> Result<(ClientAnswer, Option<Connection>), NodeUnreached> {
        let id = self.next_try_id.get();
        self.next_try_id.set(id + 1);
        let leeway = Duration::from_micros(self.spec.rules.leeway.0);
        connection.send_try(request, id, leeway, &self.recorder).await
    }

    /// Runs a persistent connection to a node: sends one request after the other for as long as the connection stays
    /// open, even while the node is stopping, and then opens a new one once clients may connect to the node.
    async fn run_persistent_connection(
        self: Rc<Self>,
        at: usize,
        tenant: Tenant,
        node: usize,
        until: Instant,
    ) {
        let name = format!("standing {} {node} {}", tenant.name, self.next_request_id.get());
        let mut rng = Chance::new(self.spec.seed, &name);
        let mut accepts_connections = self.endpoints[node].accepts_connections.subscribe();
        while !self.is_over(until) {
            if accepts_connections.wait_for(|accepts| *accepts).await.is_err() {
                return;
            }
            let opened = Connection::open(node, self.endpoints[node].listen, CONNECT_TIMEOUT).await;
            let mut connection = opened.ok();
            while let Some(mut open) = connection.take().filter(|_| !self.is_over(until)) {
                if !open.is_reusable(&self.recorder) {
                    break;
                }
                let request = self.request(at, &tenant, &mut rng);
                let Request { ask, .. } = request;
                self.recorder.record(Event::Asked { ask, tenant: at, tries: 1 });
                self.open_requests.send_modify(|open| *open += 1);
                let ended = self.send_try(open, &request).await;
                let how = ended.as_ref().ok().map(|(how, _)| *how);
                self.recorder.record(Event::Over { ask, served: how == Some(ClientAnswer::Served) });
                self.open_requests.send_modify(|open| *open -= 1);
                connection = ended.ok().and_then(|(_, reusable)| reusable);
                sleep(REQUEST_INTERVAL).await;
            }
            sleep(REQUEST_INTERVAL).await;
        }
    }
}

/// Maximum time that a request may take over all its tries.
pub(crate) fn max_request_duration(spec: &Spec) -> Duration {
    let tries = spec.tenants.iter().map(|t| t.tries.max(1)).max().unwrap_or(1);
    let each = spec.longest_deadline() + spec.rules.leeway;
    (Duration::from_micros(each.0) + CONNECT_TIMEOUT + REQUEST_INTERVAL) * tries
}

//! Runs the node's process: reads the configuration, creates and connects the components, serves, and shuts down.

mod client_listener;
mod configuration;

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::{self, Receiver, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};
use tracing::{info, warn};

use crate::budget::Budget;
use crate::config::config_error;
use crate::discovery::Discovery;
use crate::driver::{Driver, DriverContext};
use crate::frontend::Frontend;
use crate::lifecycle::Lifecycle;
use crate::message::Message;
use crate::metrics::Metrics;
use crate::opaque_ids::SharedOpaqueIds;
use crate::operator::Operator;
use crate::plane::PlaneRuntime;
use crate::reload::reload;
use crate::roster::Roster;
use crate::stop::ShutdownTimes;
use crate::succession::{accept, listen, wait_for_turn};
use crate::takeover::Successor;
use crate::upstream::Upstream;
use crate::{Failure, Options};
use client_listener::ClientListener;
use configuration::{BoundOperator, Configuration};

/// Log target of the lines about the start and the end of the process.
const LOG_TARGET: &str = "hallpin_node";
/// Time after SIGTERM during which connections are still accepted; the platform goes on sending them for 0.4 s.
const ACCEPT_AFTER_TERMINATE: Duration = Duration::from_millis(500);

/// Runs a node until it is asked to stop.
pub(crate) async fn run(options: Options) -> Result<(), Failure> {
    // Installed first: until then either signal kills the process.
    let mut terminate = signal(SignalKind::terminate()).map_err(config_error("SIGTERM"))?;
    let hangup = signal(SignalKind::hangup()).map_err(config_error("SIGHUP"))?;
    let configuration = Configuration::read(options)?;
    let (node, inboxes) = Node::build(&configuration)?;
    // The operators' listener takes no client requests. It is bound first, so that its errors show before clients come.
    let operator = configuration.bind_operator()?;
    let (listener, predecessor) = tokio::select! {
        listened = listen(configuration.config.listen) => listened?,
        // Taking over from a slow predecessor may take a while.
        _ = terminate.recv() => {
            info!(target: LOG_TARGET, "stopping before listening");
            return Ok(());
        }
    };
    let client_listener = ClientListener::on(listener, predecessor)?;
    node.start_operator(operator);
    let shutdown_times = configuration.shutdown_times;
    let mut driver = node.start_tasks(configuration, inboxes, hangup);
    tokio::select! {
        () = node.serve(&client_listener) => {}
        // No request is answered without the driver, so the process exits in order to be restarted.
        _ = &mut driver => return Err(Failure::DriverEnded),
        _ = terminate.recv() => {}
    }
    node.shut_down(client_listener, driver, shutdown_times).await
}

/// The driver, the receiver of its messages, and discovery's receiver of poll requests.
struct Inboxes {
    driver: Driver,
    messages: UnboundedReceiver<Message>,
    poll_requests: Receiver<()>,
}

/// Shared components of the node.
struct Node {
    lifecycle: Rc<Lifecycle>,
    metrics: Rc<Metrics>,
    budget: Rc<Budget>,
    upstream: Rc<Upstream>,
    frontend: Rc<Frontend>,
    opaque_ids: Rc<SharedOpaqueIds>,
    plane_runtime: Option<Rc<PlaneRuntime>>,
    messages: UnboundedSender<Message>,
}

impl Node {
    /// Creates and connects the components. Nothing runs yet.
    fn build(configuration: &Configuration) -> Result<(Self, Inboxes), Failure> {
        let Configuration { config, settings, seed, clock, .. } = configuration;
        let lifecycle = Lifecycle::new();
        let metrics = Metrics::new(settings.classes.iter().map(|class| class.name.as_str()));
        let budget = Budget::new(&config.limits.within_system_limits());
        let bounds = configuration.upstream_bounds()?;
        let upstream = Rc::new(Upstream::new(bounds, budget.clone(), metrics.clone()));
        let (messages, inbox) = mpsc::unbounded_channel();
        let (poll_sender, poll_requests) = mpsc::channel(1);
        let plane_setup = configuration.fleet.clone();
        let plane_runtime =
            plane_setup.map(|setup| PlaneRuntime::new(setup, settings, *seed, &metrics, messages.clone()));
        let plane_runtime = plane_runtime.transpose()?;
        if let Some(plane_runtime) = &plane_runtime {
            upstream.apply_quotas(plane_runtime.clone());
        }
        let opaque_ids = Rc::new(SharedOpaqueIds::default());
        let context = DriverContext {
            clock: *clock,
            upstream: upstream.clone(),
            messages: messages.clone(),
            poll_requests: poll_sender,
            lifecycle: lifecycle.clone(),
            metrics: metrics.clone(),
            opaque_ids: opaque_ids.clone(),
            plane_runtime: plane_runtime.clone(),
        };
        let mut driver = Driver::new(settings, *seed, context).map_err(config.config_error("settings"))?;
        driver.limit_key_locations(config.limits.max_key_locations());
        if let Some(known) = &config.known {
            let known =
                Roster::from_json(known.get().as_bytes(), clock).map_err(config.config_error("known"))?;
            driver.load_cached_roster(known);
        }
        let frontend = Frontend::new(
            messages.clone(),
            upstream.clone(),
            lifecycle.clone(),
            budget.clone(),
            configuration.error_delay,
        );
        metrics.add_extra(resource_metrics(&budget, &frontend));
        let node =
            Node { lifecycle, metrics, budget, upstream, frontend, opaque_ids, plane_runtime, messages };
        Ok((node, Inboxes { driver, messages: inbox, poll_requests }))
    }

    fn start_operator(&self, operator: Option<BoundOperator>) {
        let Some(BoundOperator { address, listener }) = operator else { return };
        let operator = Operator::new(self.lifecycle.clone(), self.metrics.clone(), self.messages.clone());
        tokio::task::spawn_local(operator.run(address, listener));
    }

    /// Starts the background tasks; returns the driver's.
    fn start_tasks(&self, configuration: Configuration, inboxes: Inboxes, hangup: Signal) -> JoinHandle<()> {
        let Configuration { path, config, settings, clock, .. } = configuration;
        let (address_sender, discovery_address) = watch::channel(config.discovery);
        tokio::task::spawn_local(reload(path, hangup, address_sender, self.plane_runtime.clone()));
        let (list_sender, lists) = mpsc::unbounded_channel();
        let discovery = Discovery::new(discovery_address, &settings, config.limits, clock, list_sender);
        tokio::task::spawn_local(discovery.run(inboxes.poll_requests));
        let driver = tokio::task::spawn_local(inboxes.driver.run(inboxes.messages, lists));
        tokio::task::spawn_local(close_excess_connections(self.upstream.clone(), self.frontend.clone()));
        if let Some(plane_runtime) = self.plane_runtime.clone() {
            tokio::task::spawn_local(plane_runtime.run());
        }
        driver
    }

    /// Accepts clients, after a takeover as soon as it is this process's turn.
    async fn serve(&self, client_listener: &ClientListener) {
        if let Some(predecessor) = client_listener.predecessor.take() {
            let ids = self.opaque_ids.clone();
            wait_for_turn(predecessor, &self.lifecycle, self.budget.clone(), ids).await;
        }
        client_listener.accepts.set(true);
        client_listener.offer(self.budget.clone(), self.opaque_ids.clone());
        accept(&self.frontend, &client_listener.listener, client_listener.successor_updates.clone(), None)
            .await;
    }

    /// Accepts what still arrives, answers all accepted requests, and ends.
    async fn shut_down(
        self,
        client_listener: ClientListener,
        driver: JoinHandle<()>,
        times: ShutdownTimes,
    ) -> Result<(), Failure> {
        info!(target: LOG_TARGET, "stopping");
        let has_successor = *client_listener.successor_updates.borrow() == Successor::Serving;
        self.lifecycle.stop(has_successor, times);
        let finish = async {
            // Connections in the queue shared with a predecessor are served by the predecessor.
            if client_listener.accepts.get() {
                let until = Some(Instant::now() + ACCEPT_AFTER_TERMINATE);
                accept(&self.frontend, &client_listener.listener, client_listener.successor_updates, until)
                    .await;
            }
            drop(client_listener.listener);
            client_listener.closed.notify_one();
            self.frontend.wait_until_closed().await;
        };
        tokio::select! {
            () = finish => {}
            // Values on their way may take longer than the platform waits, but what is cut off here would be lost.
            () = sleep(times.exit_after()) => warn!(target: LOG_TARGET, "exiting with clients still connected"),
            _ = driver => return Err(Failure::DriverEnded),
        }
        info!(target: LOG_TARGET, "stopped");
        // Left only after the last answer: until then the node uses the leases that it holds.
        if let Some(plane_runtime) = self.plane_runtime {
            plane_runtime.leave();
        }
        Ok(())
    }
}

/// Lines on the memory budget and the client connections.
fn resource_metrics(budget: &Rc<Budget>, frontend: &Rc<Frontend>) -> impl Fn(&mut String) {
    let (budget, frontend) = (budget.clone(), Rc::downgrade(frontend));
    move |output| {
        budget.memory().render(output);
        if let Some(frontend) = frontend.upgrade() {
            frontend.render(output);
        }
    }
}

/// Periodically closes connections that have been idle for too long or exceed the budget.
async fn close_excess_connections(upstream: Rc<Upstream>, frontend: Rc<Frontend>) {
    loop {
        sleep(upstream.sweep_after()).await;
        upstream.sweep();
        frontend.close_excess();
    }
}

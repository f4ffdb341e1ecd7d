//! Injects faults into processes, links, boxes, the endpoint list and the load.

use std::time::Duration;

use hallpin_simulation::list::Phase;
use hallpin_simulation::random::RandomStream;
use hallpin_simulation::time::Span;
use tokio::net::UdpSocket;
use tokio::time::{interval, Instant};
use toml::Spanned;

use super::wait::indices;
use super::{Harness, HarnessError};
use crate::process;
use crate::relay::{Conditions, Site};
use crate::spec::{Action, Ends};
use crate::trace::Event;

/// Time that a node has to stop, in addition to its longest deadline.
const STOP_MARGIN: Duration = Duration::from_millis(700);
/// Upper bound of the deadline in the stop timeout.
const MAX_STOP_DEADLINE: Duration = Duration::from_secs(3);
/// Interval between bursts of malformed datagrams.
const BURST_INTERVAL: Duration = Duration::from_millis(5);

impl Harness {
    /// Performs an action now and records it.
    ///
    /// # Errors
    /// Fails if a process or a file is not available.
    pub async fn inject(&self, action: &Action) -> Result<(), HarnessError> {
        let what = serde_json::to_string(action).unwrap_or_else(|error| error.to_string());
        self.recorder.record(Event::Fault { what });
        match action {
            Action::Kill(nodes) => indices(nodes).into_iter().for_each(|n| self.hosts[n].kill()),
            Action::Stop(nodes) => indices(nodes).into_iter().for_each(|n| self.hosts[n].stop(self.grace())),
            Action::Pause(nodes) => indices(nodes).into_iter().for_each(|n| self.hosts[n].pause()),
            Action::Resume(nodes) => indices(nodes).into_iter().for_each(|n| self.hosts[n].resume()),
            Action::Start { nodes, state } => {
                let nodes = indices(nodes);
                self.wait_ended(&nodes, MAX_STOP_DEADLINE + self.grace()).await?;
                let folders: Vec<_> = nodes.iter().map(|node| self.hosts[*node].state()).collect();
                process::apply_state_change(&folders, state)?;
                self.start_nodes(&nodes)?;
            }
            Action::Part(Ends { from, to }) => {
                self.change_links(from, to, |c| c.cut = true);
                self.change_links(to, from, |c| c.cut = true);
            }
            Action::Cut(Ends { from, to }) => self.change_links(from, to, |c| c.cut = true),
            Action::Heal => {
                for (from, to) in self.network.heal() {
                    self.recorder.record(Event::Link { from, to, cut: false });
                }
            }
            Action::Link { from, to, conditions } => self.change_links(from, to, |c| *c = conditions.clone()),
            Action::Reset(Ends { from, to }) => {
                self.for_each_pair(from, to, |from, to| self.network.reset(from, to));
            }
            Action::BoxUp(boxes) => indices(boxes).into_iter().for_each(|at| {
                self.boxes[at].start(false);
                self.discovery.set(at, Phase::Ready, self.boxes[at].started());
            }),
            Action::Join(boxes) => indices(boxes).into_iter().for_each(|at| {
                self.boxes[at].start(true);
                self.discovery.set(at, Phase::Ready, None);
            }),
            Action::BoxDown(boxes) => indices(boxes).into_iter().for_each(|at| {
                self.boxes[at].stop();
                self.discovery.set(at, Phase::Gone, None);
            }),
            Action::Drain(boxes) => indices(boxes).into_iter().for_each(|at| {
                self.discovery.set(at, Phase::Draining, self.boxes[at].started());
            }),
            Action::Silence(silent) => self.discovery.set_silent(*silent),
            Action::Rate { tenant, factor } => {
                let is_named = |t: &crate::spec::Tenant| t.name == *tenant.as_ref();
                if let Some(at) = self.spec.tenants.iter().position(is_named) {
                    self.recorder.record(Event::Rate { tenant: at, factor: *factor });
                    self.load.set_rate_factor(at, *factor);
                }
            }
            Action::Garbage { to, rate, lasts } => {
                for to in indices(std::slice::from_ref(to)) {
                    self.send_malformed(to, *rate, *lasts).await?;
                }
            }
        }
        self.origins.fault.set((self.recorder.position(), Instant::now()));
        Ok(())
    }

    /// Time between SIGTERM and SIGKILL for a node that is stopped.
    fn grace(&self) -> Duration {
        Duration::from_micros(self.spec.longest_deadline().0).min(MAX_STOP_DEADLINE) + STOP_MARGIN
    }

    fn change_links(&self, from: &[Spanned<Site>], to: &[Spanned<Site>], change: impl Fn(&mut Conditions)) {
        self.for_each_pair(from, to, |from, to| {
            let cut = self.network.change(from, to, &change);
            self.recorder.record(Event::Link { from, to, cut });
        });
    }

    /// Calls `take` with each pair of ends. A box stands for the first box at its address.
    fn for_each_pair(&self, from: &[Spanned<Site>], to: &[Spanned<Site>], mut take: impl FnMut(Site, Site)) {
        let box_hosts = self.spec.box_hosts();
        let end = |site: &Spanned<Site>| match *site.as_ref() {
            Site::Box(at) => Site::Box(box_hosts[at]),
            other => other,
        };
        for (from, to) in from.iter().flat_map(|from| to.iter().map(move |to| (from, to))) {
            take(end(from), end(to));
        }
    }

    /// Sends malformed datagrams to a node, from its peers' addresses and from one that belongs to no peer.
    async fn send_malformed(&self, to: usize, rate: u32, lasts: Span) -> Result<(), HarnessError> {
        let (mesh, nodes, listen) =
            (self.mesh.clone(), self.hosts.len(), self.hosts[to].addresses.peer_listen);
        let non_peer = UdpSocket::bind((listen.ip(), 0)).await?;
        let mut rng = RandomStream::new(self.spec.seed, &format!("garbage n{to}"));
        let end = Instant::now() + Duration::from_micros(lasts.0);
        let burst = f64::from(rate) * BURST_INTERVAL.as_secs_f64();
        tokio::task::spawn_local(async move {
            let (mut ticks, mut due) = (interval(BURST_INTERVAL), 0.0);
            while Instant::now() < end {
                ticks.tick().await;
                due += burst;
                while due >= 1.0 {
                    due -= 1.0;
                    let datagram = malformed_datagram(&mut rng);
                    let from = usize::try_from(rng.below(nodes as u64)).unwrap_or(0);
                    // A datagram that finds the node's socket buffer full is lost, as on a real network.
                    let _ = match from == to {
                        true => non_peer.send_to(&datagram, listen).await.map(drop),
                        false => mesh.forge(from, to, &datagram).await,
                    };
                }
            }
        });
        Ok(())
    }
}

/// Random bytes, a datagram that is too long, one of a newer version, or one that is truncated.
fn malformed_datagram(rng: &mut RandomStream) -> Vec<u8> {
    let random_bytes =
        |rng: &mut RandomStream, length: u64| (0..length).map(|_| rng.bits() as u8).collect::<Vec<u8>>();
    let length = rng.below(256);
    match rng.below(4) {
        0 => random_bytes(rng, length),
        1 => random_bytes(rng, 257 + length),
        2 => [b"HP\x02\x01".to_vec(), random_bytes(rng, length.min(252))].concat(),
        _ => [b"HP\x01\x01".to_vec(), random_bytes(rng, length % 24)].concat(),
    }
}

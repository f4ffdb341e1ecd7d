//! Injects faults into processes, links, boxes, the endpoint list and the load.

use std::time::Duration;

use hallpin_simulation::chance::Chance;
use hallpin_simulation::list::Phase;
use hallpin_simulation::time::Span;
use tokio::net::UdpSocket;
use tokio::time::{interval, Instant};
use toml::Spanned;

use super::waiting::places;
use super::{Rig, RigError};
use crate::process;
use crate::relay::{Conditions, Site};
use crate::spec::{Doing, Ends};
use crate::trace::Event;

/// Time that a node has to stop, in addition to its longest deadline.
const LEAVE: Duration = Duration::from_millis(700);
/// Upper bound of the deadline in the stop timeout.
const MOST_NOTICE: Duration = Duration::from_secs(3);
/// Interval between bursts of malformed datagrams.
const BURST: Duration = Duration::from_millis(5);

impl Rig {
    /// Performs an action now and records it.
    ///
    /// # Errors
    /// Fails if a process or a file is not available.
    pub async fn fault(&self, doing: &Doing) -> Result<(), RigError> {
        let what = serde_json::to_string(doing).unwrap_or_else(|error| error.to_string());
        self.recorder.record(Event::Fault { what });
        match doing {
            Doing::Kill(nodes) => places(nodes).into_iter().for_each(|n| self.hosts[n].kill()),
            Doing::Stop(nodes) => places(nodes).into_iter().for_each(|n| self.hosts[n].stop(self.notice())),
            Doing::Pause(nodes) => places(nodes).into_iter().for_each(|n| self.hosts[n].pause()),
            Doing::Resume(nodes) => places(nodes).into_iter().for_each(|n| self.hosts[n].resume()),
            Doing::Start { nodes, state } => {
                let nodes = places(nodes);
                self.ended(&nodes, MOST_NOTICE + self.notice()).await?;
                let folders: Vec<_> = nodes.iter().map(|node| self.hosts[*node].state()).collect();
                process::change(&folders, state)?;
                self.start_nodes(&nodes)?;
            }
            Doing::Part(Ends { from, to }) => {
                self.link(from, to, |c| c.cut = true);
                self.link(to, from, |c| c.cut = true);
            }
            Doing::Cut(Ends { from, to }) => self.link(from, to, |c| c.cut = true),
            Doing::Heal => {
                for (from, to) in self.network.heal() {
                    self.recorder.record(Event::Link { from, to, cut: false });
                }
            }
            Doing::Link { from, to, conditions } => self.link(from, to, |c| *c = conditions.clone()),
            Doing::Reset(Ends { from, to }) => {
                self.each(from, to, |from, to| self.network.reset(from, to));
            }
            Doing::BoxUp(boxes) => places(boxes).into_iter().for_each(|at| {
                self.boxes[at].start(false);
                self.list.set(at, Phase::Ready, self.boxes[at].started());
            }),
            Doing::Join(boxes) => places(boxes).into_iter().for_each(|at| {
                self.boxes[at].start(true);
                self.list.set(at, Phase::Ready, None);
            }),
            Doing::BoxDown(boxes) => places(boxes).into_iter().for_each(|at| {
                self.boxes[at].stop();
                self.list.set(at, Phase::Gone, None);
            }),
            Doing::Drain(boxes) => places(boxes).into_iter().for_each(|at| {
                self.list.set(at, Phase::Draining, self.boxes[at].started());
            }),
            Doing::Silence(silent) => self.list.silence(*silent),
            Doing::Rate { tenant, factor } => {
                let named = |t: &crate::spec::Tenant| t.name == *tenant.as_ref();
                if let Some(at) = self.spec.tenants.iter().position(named) {
                    self.recorder.record(Event::Rate { tenant: at, factor: *factor });
                    self.load.rate(at, *factor);
                }
            }
            Doing::Garbage { to, rate, lasts } => {
                for to in places(std::slice::from_ref(to)) {
                    self.garbage(to, *rate, *lasts).await?;
                }
            }
        }
        self.marks.fault.set((self.recorder.mark(), Instant::now()));
        Ok(())
    }

    /// Time between SIGTERM and SIGKILL for a node that is stopped.
    fn notice(&self) -> Duration {
        Duration::from_micros(self.spec.longest_deadline().0).min(MOST_NOTICE) + LEAVE
    }

    fn link(&self, from: &[Spanned<Site>], to: &[Spanned<Site>], change: impl Fn(&mut Conditions)) {
        self.each(from, to, |from, to| {
            let cut = self.network.change(from, to, &change);
            self.recorder.record(Event::Link { from, to, cut });
        });
    }

    /// Calls `take` with each pair of ends. A box stands for the first box at its address.
    fn each(&self, from: &[Spanned<Site>], to: &[Spanned<Site>], mut take: impl FnMut(Site, Site)) {
        let machines = self.spec.machines();
        let end = |site: &Spanned<Site>| match *site.as_ref() {
            Site::Box(at) => Site::Box(machines[at]),
            other => other,
        };
        for (from, to) in from.iter().flat_map(|from| to.iter().map(move |to| (from, to))) {
            take(end(from), end(to));
        }
    }

    /// Sends malformed datagrams to a node, from its peers' addresses and from one that belongs to no peer.
    async fn garbage(&self, to: usize, rate: u32, lasts: Span) -> Result<(), RigError> {
        let (mesh, nodes, listen) = (self.mesh.clone(), self.hosts.len(), self.hosts[to].place.peer_listen);
        let stranger = UdpSocket::bind((listen.ip(), 0)).await?;
        let mut chance = Chance::new(self.spec.seed, &format!("garbage n{to}"));
        let end = Instant::now() + Duration::from_micros(lasts.0);
        let burst = f64::from(rate) * BURST.as_secs_f64();
        tokio::task::spawn_local(async move {
            let (mut ticks, mut owed) = (interval(BURST), 0.0);
            while Instant::now() < end {
                ticks.tick().await;
                owed += burst;
                while owed >= 1.0 {
                    owed -= 1.0;
                    let datagram = bad_datagram(&mut chance);
                    let from = usize::try_from(chance.below(nodes as u64)).unwrap_or(0);
                    // A datagram that finds the node's socket buffer full is lost, as on a real network.
                    let _ = match from == to {
                        true => stranger.send_to(&datagram, listen).await.map(drop),
                        false => mesh.forge(from, to, &datagram).await,
                    };
                }
            }
        });
        Ok(())
    }
}

/// Random bytes, a datagram that is too long, one of a newer version, or one that is truncated.
fn bad_datagram(chance: &mut Chance) -> Vec<u8> {
    let noise =
        |chance: &mut Chance, length: u64| (0..length).map(|_| chance.bits() as u8).collect::<Vec<u8>>();
    let length = chance.below(256);
    match chance.below(4) {
        0 => noise(chance, length),
        1 => noise(chance, 257 + length),
        2 => [b"HP\x02\x01".to_vec(), noise(chance, length.min(252))].concat(),
        _ => [b"HP\x01\x01".to_vec(), noise(chance, length % 24)].concat(),
    }
}

//! A simulated network between the nodes that loses, duplicates, delays and blocks datagrams, by true time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hallpin_membership::names::{NodeId, NodeIncarnation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// First bytes of a payload that carries a page.
const PAGE: [u8; 2] = [1, 3];

/// One datagram in flight.
pub struct InFlight {
    pub from: NodeIncarnation,
    pub to: NodeId,
    pub payload: Vec<u8>,
}

pub struct Network {
    rng: Pcg64Mcg,
    in_flight: BTreeMap<(Duration, u64), InFlight>,
    pub loss: f64,
    pub duplication: f64,
    pub delay_ms: std::ops::RangeInclusive<u64>,
    /// Pairs of sender and receiver between which nothing passes.
    pub blocked_links: BTreeSet<(u16, u16)>,
    /// A node that receives no pages of tables.
    pub without_pages: Option<u16>,
    /// Probability that an update of a node's view is skipped.
    pub view_loss: f64,
    pub sent: u64,
    pub longest: usize,
}

impl Network {
    pub fn new(seed: u64) -> Self {
        let (in_flight, blocked_links) = (BTreeMap::new(), BTreeSet::new());
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Network {
            rng,
            in_flight,
            loss: 0.0,
            duplication: 0.0,
            delay_ms: 1..=2,
            blocked_links,
            without_pages: None,
            view_loss: 0.0,
            sent: 0,
            longest: 0,
        }
    }

    pub fn send(&mut self, now: Duration, from: NodeIncarnation, to: NodeId, payload: Vec<u8>) {
        self.sent += 1;
        self.longest = self.longest.max(payload.len());
        let copies = 1 + u64::from(self.rng.random_bool(self.duplication));
        for _ in 0..copies {
            let late = Duration::from_micros(
                self.rng.random_range(*self.delay_ms.start() * 1000..=*self.delay_ms.end() * 1000),
            );
            if !self.rng.random_bool(self.loss) {
                let datagram = InFlight { from, to, payload: payload.clone() };
                self.in_flight
                    .insert((now + late, self.sent * 2 + self.in_flight.len() as u64 % 2), datagram);
            }
        }
    }

    pub fn next(&self) -> Option<Duration> {
        self.in_flight.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes the next datagram; `None` if its link is blocked at its arrival.
    pub fn take(&mut self) -> Option<InFlight> {
        let (_, datagram) = self.in_flight.pop_first()?;
        let page = datagram.payload.starts_with(&PAGE) && self.without_pages == Some(datagram.to.0);
        (!page && !self.blocked_links.contains(&(datagram.from.node.0, datagram.to.0))).then_some(datagram)
    }

    pub fn loses_view_update(&mut self) -> bool {
        self.rng.random_bool(self.view_loss)
    }

    /// Blocks every link from one group of nodes to another.
    pub fn block_links(&mut self, from: &[u16], to: &[u16]) {
        self.blocked_links.extend(from.iter().flat_map(|one| to.iter().map(|other| (*one, *other))));
    }
}

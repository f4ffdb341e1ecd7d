//! The lease in virtual time: clocks of different rates, loss, duplication, reordering, pauses, crashes without state,
//! and partitions.

use std::collections::BTreeMap;
use std::time::Duration;

use hallpin_leader_lease::{Candidacy, LeaderLease, LeaseConfig, LeaseMessage};
use hallpin_membership::names::{Incarnation, Moment, NodeId, NodeIncarnation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TERM: Duration = Duration::from_secs(2);
const NANOS_PER_MS: u64 = 1_000_000;

struct Node {
    lease: LeaderLease,
    node_incarnation: NodeIncarnation,
    /// Nanoseconds that the node's clock advances per millisecond of true time.
    clock_rate: u64,
    /// True time of the node's start, in nanoseconds.
    started_at: u64,
    /// True time until which the node neither receives nor ticks, in nanoseconds.
    paused_until: u64,
}

struct Fleet {
    nodes: Vec<Node>,
    /// True time in nanoseconds.
    now: u64,
    sequence: u64,
    /// Sender, receiver and message, by the true time of arrival and the sequence of sending.
    in_flight: BTreeMap<(u64, u64), (NodeIncarnation, usize, LeaseMessage)>,
    rng: Pcg64Mcg,
    loss: f64,
    late_share: f64,
    partition_at: usize,
    drift: u32,
    /// Epoch of the last lease that was held.
    epoch: u64,
    /// Whether nobody has held the lease at some check since it was last held.
    vacant: bool,
    sent: u64,
}

fn start(node: usize, count: usize, drift: u32, now: u64, rng: &mut Pcg64Mcg) -> Node {
    let node_incarnation = NodeIncarnation {
        node: NodeId(node as u16),
        incarnation: Incarnation(1_000_000 + now / NANOS_PER_MS),
    };
    let config =
        LeaseConfig { this: node_incarnation, configured: count as u16, term: TERM, drift_ppm: drift };
    let clock_rate = if rng.random() { 1_000_000 - u64::from(drift) } else { 1_000_000 + u64::from(drift) };
    let mut lease = LeaderLease::new(config, Moment::ZERO, rng.random()).expect("valid settings");
    lease.set_candidacy(Candidacy::standing_if(node < 3));
    Node { lease, node_incarnation, clock_rate, started_at: now, paused_until: 0 }
}

impl Node {
    fn clock(&self, now: u64) -> Moment {
        Duration::from_nanos(
            ((u128::from(now - self.started_at) * u128::from(self.clock_rate)) / 1_000_000) as u64,
        )
    }
}

impl Fleet {
    fn new(count: usize, drift: u32, loss: f64, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let nodes = (0..count).map(|node| start(node, count, drift, 0, &mut rng)).collect();
        Fleet {
            nodes,
            now: 0,
            sequence: 0,
            in_flight: BTreeMap::new(),
            rng,
            loss,
            late_share: 0.0,
            partition_at: 0,
            drift,
            epoch: 0,
            vacant: true,
            sent: 0,
        }
    }

    /// Ticks a running node, sends its messages, and checks the invariants of the whole fleet.
    fn tick_node(&mut self, node: usize) {
        let clock = self.nodes[node].clock(self.now);
        self.nodes[node].lease.tick(clock);
        let from = self.nodes[node].node_incarnation;
        for (to, message) in self.nodes[node].lease.take_outbox() {
            self.sent += 1;
            let to = usize::from(to.0);
            let partitioned = (node < self.partition_at) != (to < self.partition_at);
            while !partitioned && !self.rng.random_bool(self.loss) {
                let max_delay_ms = if self.rng.random_bool(self.late_share) { 1_500 } else { 20 };
                let at = self.now + self.rng.random_range(NANOS_PER_MS..max_delay_ms * NANOS_PER_MS);
                self.sequence += 1;
                self.in_flight.insert((at, self.sequence), (from, to, message));
                if !self.rng.random_bool(0.1) {
                    break;
                }
            }
        }
        self.check_invariants();
    }

    fn check_invariants(&mut self) {
        let held = self.nodes.iter().filter_map(|node| node.lease.held(node.clock(self.now)));
        let epochs: Vec<u64> = held.map(|lease| lease.epoch).collect();
        assert!(epochs.len() <= 1, "several holders at {} ns: {epochs:?}", self.now);
        self.vacant |= epochs.is_empty();
        for epoch in epochs {
            let has_grown = epoch > self.epoch || (epoch == self.epoch && !self.vacant);
            assert!(has_grown, "epoch {epoch} after {}, vacant in between: {}", self.epoch, self.vacant);
            self.vacant = false;
            self.epoch = epoch;
        }
    }

    /// Runs until `until`, and returns the fraction of the time for which some node held the lease.
    fn run_until(&mut self, until: u64, faults: bool) -> f64 {
        let (mut held, mut steps) = (0u64, 0u64);
        while self.now < until {
            self.now += 5 * NANOS_PER_MS;
            while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let (from, to, message) = entry.remove();
                if self.nodes[to].paused_until <= self.now {
                    let clock = self.nodes[to].clock(self.now);
                    self.nodes[to].lease.receive(clock, from, message);
                    self.tick_node(to);
                }
            }
            for node in 0..self.nodes.len() {
                if self.nodes[node].paused_until <= self.now {
                    self.tick_node(node);
                }
            }
            if faults && self.rng.random_bool(0.01) {
                self.inject_fault();
            }
            steps += 1;
            held += u64::from(self.nodes.iter().any(|node| node.lease.held(node.clock(self.now)).is_some()));
        }
        held as f64 / steps as f64
    }

    fn inject_fault(&mut self) {
        let (count, node) = (self.nodes.len(), self.rng.random_range(0..self.nodes.len()));
        match self.rng.random_range(0..3) {
            0 => self.nodes[node] = start(node, count, self.drift, self.now, &mut self.rng),
            1 => self.nodes[node].paused_until = self.now + self.rng.random_range(0..5_000) * NANOS_PER_MS,
            _ => self.partition_at = self.rng.random_range(0..count),
        }
    }
}

#[test]
fn faults_never_lead_to_two_holders_or_a_lower_epoch() {
    for seed in 0..200 {
        println!("seed {seed}");
        let mut fleet = Fleet::new(
            3 + (seed as usize % 3),
            [0, 20_000, 200_000][seed as usize / 2 % 3],
            (seed % 4) as f64 * 0.1,
            seed,
        );
        fleet.late_share = 0.3;
        fleet.run_until(30_000 * NANOS_PER_MS, true);
        (fleet.partition_at, fleet.late_share) = (0, 0.0);
        fleet.run_until(fleet.now + 12_000 * NANOS_PER_MS, false);
        assert!(
            fleet.run_until(fleet.now + 5_000 * NANOS_PER_MS, false) > 0.9,
            "nobody holds the lease without faults"
        );
    }
}

#[test]
fn renewal_among_300_nodes_takes_a_bounded_number_of_datagrams() {
    for (loss, max_rate) in [(0.0, 400), (0.3, 900)] {
        let mut fleet = Fleet::new(300, 20_000, loss, 1);
        fleet.nodes[1..].iter_mut().for_each(|node| node.lease.set_candidacy(Candidacy::Withdrawn));
        let first = fleet.run_until(4_000 * NANOS_PER_MS, false);
        let before = fleet.sent;
        let held = fleet.run_until(14_000 * NANOS_PER_MS, false);
        let rate = (fleet.sent - before) / 10;
        println!(
            "loss {loss}: lease held for {first} of the first 4 s, then for {held}; {rate} datagrams a second in the fleet"
        );
        assert!(held > 0.99 && rate < max_rate, "{held} {rate}");
    }
}

#[test]
fn a_lease_is_counted_from_before_the_votes_were_requested() {
    let mut rng = Pcg64Mcg::seed_from_u64(0);
    let (mut node, mut voter) = (start(0, 3, 20_000, 0, &mut rng), start(1, 3, 20_000, 0, &mut rng));
    node.lease.tick(TERM * 2);
    for (_, request) in node.lease.take_outbox() {
        voter.lease.receive(TERM * 3, node.node_incarnation, request);
    }
    for (_, vote) in voter.lease.take_outbox() {
        node.lease.receive(TERM * 2 + TERM / 2, voter.node_incarnation, vote);
    }
    let expires_at = node.lease.held(TERM * 2 + TERM / 2).map(|lease| lease.expires_at);
    assert_eq!(expires_at, Some(TERM * 3 - TERM / 50));
}

#[test]
fn messages_fit_41_bytes_and_unconfigured_nodes_are_ignored() {
    let max = LeaseMessage::Refusal {
        candidate: Incarnation(u64::MAX),
        ballot: u64::MAX,
        round: u32::MAX,
        voted: u64::MAX,
        left_ms: u32::MAX,
    };
    assert!(postcard::to_stdvec(&max).unwrap().len() <= 41);
    let mut node = start(0, 3, 0, 0, &mut Pcg64Mcg::seed_from_u64(0));
    let before = node.lease.clone();
    let stranger = NodeIncarnation { node: NodeId(3), incarnation: Incarnation(1) };
    let peer = NodeIncarnation { node: NodeId(1), incarnation: Incarnation(1) };
    node.lease.receive(
        TERM * 2,
        stranger,
        LeaseMessage::VoteRequest { ballot: 2_000_000, round: 1, held: true },
    );
    node.lease.receive(TERM * 2, peer, LeaseMessage::VoteRequest { ballot: u64::MAX, round: 1, held: true });
    assert_eq!(node.lease, before);
}

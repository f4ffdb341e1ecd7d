//! Settings of membership: durations and bounds, with their defaults and the reasons for them.

use std::time::Duration;

use crate::names::{NodeIncarnation, ZoneId};

/// Settings of one node's [`Peers`](crate::Peers).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeersConfig {
    /// This node and its incarnation.
    pub this: NodeIncarnation,
    /// The zone in which this node runs.
    pub zone: ZoneId,
    /// Number of nodes that the configuration lists, this one included.
    pub configured: u16,
    /// Durations of the protocol.
    pub timing: Timing,
    /// Limits on what the node sends and stores.
    pub bounds: Bounds,
}

/// Durations and counts of the protocol. The suspicion times are as given here for up to 15 nodes; beyond, they grow
/// with the logarithm of the number of nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between probes of one node each. 250 ms: of 5 nodes, one meets a crashed node within one interval.
    pub probe_every: Duration,
    /// Time from a ping until other nodes are asked to ping the target. 80 ms: several times a round trip between
    /// depots.
    pub probe_timeout: Duration,
    /// Number of nodes asked to ping the target. 3, as in the SWIM paper.
    pub indirect: u8,
    /// Time from the first accusation until the node is declared dead when all confirmations have come in. 500 ms: time
    /// for two probe rounds to reach the accused node and for its refutation to come back.
    pub suspicion_min: Duration,
    /// The same time without any confirmation. 2 s: four times as long, near Lifeguard's factor of 6 without its long
    /// wait.
    pub suspicion_max: Duration,
    /// Number of other nodes that must confirm for the shortest suspicion, at most 3. 3, as in Lifeguard.
    pub confirmations: u8,
    /// Time without any datagram after which a node considers itself cut off. 2.25 s: one probe interval and the
    /// longest suspicion.
    pub heard_within: Duration,
    /// Interval between pings of nodes that are dead, left or unknown. 200 ms: five nodes find each other again within
    /// a second.
    pub seek_every: Duration,
    /// Shortest time between two pulls of a peer's whole table, for each 64 nodes configured. 2 s.
    pub pull_every: Duration,
    /// Time between two pages of a pull, and between additional gossip datagrams. 50 ms.
    pub page_every: Duration,
    /// Time after which a dead node is forgotten. An hour: longer than any datagram can be delayed.
    pub forget_after: Duration,
    /// Time for which an observation of a box counts. 2 s: a few deadlines of requests.
    pub recent: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Timing {
            probe_every: ms(250),
            probe_timeout: ms(80),
            indirect: 3,
            suspicion_min: ms(500),
            suspicion_max: ms(2000),
            confirmations: 3,
            heard_within: ms(2250),
            seek_every: ms(200),
            pull_every: ms(2000),
            page_every: ms(50),
            forget_after: Duration::from_secs(3600),
            recent: ms(2000),
        }
    }
}

/// Limits on what one node sends and stores, whatever it receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Datagrams per second in the long run. 60: three times what an undisturbed round of 300 nodes takes.
    pub sends: u32,
    /// Datagrams that may be sent at once beyond that rate. 60: a second's worth.
    pub burst: u32,
    /// Answers per second to any one peer, so that a misbehaving peer takes no other's share. 16: the pages of a pull.
    pub answers_each: u32,
    /// Greatest number of probes in progress on behalf of other nodes. 64.
    pub relays: usize,
    /// Greatest number of boxes with own observations, and of boxes in the reports of each peer. 128: twice the boxes
    /// of a large fleet.
    pub boxes: usize,
    /// Greatest local health score (Lifeguard); probe times are multiplied by the score plus 1. 3.
    pub awareness: u8,
    /// Number of times that a claim is sent, for each doubling of the number of nodes. 2: reaches all at 30% loss.
    pub retell: u8,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { sends: 60, burst: 60, answers_each: 16, relays: 64, boxes: 128, awareness: 3, retell: 2 }
    }
}

/// A setting that the protocol cannot work with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// This node's number is not below the number of configured nodes.
    #[error("this node's number {this} is not below the number of configured nodes, {configured}")]
    NotListed {
        /// This node's number.
        this: u16,
        /// Number of configured nodes.
        configured: u16,
    },
    /// A duration or limit is 0 or too small to have an effect.
    #[error("{0}: more than 0 expected")]
    Zero(&'static str),
    /// A duration or limit is out of its range.
    #[error("{0}: {1} expected")]
    Range(&'static str, &'static str),
}

impl PeersConfig {
    /// Creates a configuration with the default durations and limits.
    pub fn new(this: NodeIncarnation, zone: ZoneId, configured: u16) -> Self {
        PeersConfig { this, zone, configured, timing: Timing::default(), bounds: Bounds::default() }
    }

    /// Checks the settings.
    ///
    /// # Errors
    /// Names the first setting that the protocol cannot work with.
    pub fn check(&self) -> Result<(), ConfigError> {
        let (timing, bounds) = (&self.timing, &self.bounds);
        if self.this.node.0 >= self.configured {
            return Err(ConfigError::NotListed { this: self.this.node.0, configured: self.configured });
        }
        let zeros = [
            ("timing.probe_every", timing.probe_every.is_zero()),
            ("timing.probe_timeout", timing.probe_timeout.is_zero()),
            ("timing.suspicion_min", timing.suspicion_min.is_zero()),
            ("timing.heard_within", timing.heard_within.is_zero()),
            ("timing.seek_every", timing.seek_every.is_zero()),
            ("timing.pull_every", timing.pull_every.is_zero()),
            ("timing.page_every", timing.page_every.is_zero()),
            ("timing.recent", timing.recent < Duration::from_millis(4)),
            ("bounds.sends", bounds.sends == 0),
            ("bounds.answers_each", bounds.answers_each == 0),
            ("bounds.boxes", bounds.boxes == 0),
            ("bounds.retell", bounds.retell == 0),
        ];
        if let Some((name, _)) = zeros.into_iter().find(|(_, zero)| *zero) {
            return Err(ConfigError::Zero(name));
        }
        let ranges = [
            (
                "timing.probe_timeout",
                "less than half of probe_every",
                timing.probe_timeout * 2 < timing.probe_every,
            ),
            ("timing.suspicion_max", "at least suspicion_min", timing.suspicion_max >= timing.suspicion_min),
            ("timing.confirmations", "at most 3", timing.confirmations <= 3),
            ("timing.indirect", "at most 8", timing.indirect <= 8),
            ("timing.recent", "at most 60 s", timing.recent <= Duration::from_secs(60)),
            ("bounds.burst", "at least 8", bounds.burst >= 8),
            ("bounds.awareness", "at most 8", bounds.awareness <= 8),
            ("bounds.retell", "at most 8", bounds.retell <= 8),
        ];
        match ranges.into_iter().find(|(_, _, in_range)| !in_range) {
            Some((name, range, _)) => Err(ConfigError::Range(name, range)),
            None => Ok(()),
        }
    }
}

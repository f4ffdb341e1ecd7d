//! Converts the start times of servers from the wall clock, by which lists name them, to the node's monotonic clock.
//!
//! The wall clock may be stepped while the node runs, on this machine alone or on all of them. It is trusted as long as
//! its offset from the monotonic clock has stayed within [`TOLERANCE_MS`] of the offset at the process start. Then a
//! start converts by that offset, as if the wall clock were read once. After a step it is unknown which offset applied
//! when a start was stamped, so a new start converts to the latest time that any observed offset gives: warming a
//! server up for too long is better than sending it full load while it is cold.
//!
//! A converted start is never in the future, and the same start always converts to the same time.

use std::collections::{BTreeSet, HashMap};

use hallpin_balancer::{Seconds, ServerId};

/// Change of the wall clock's offset, in milliseconds, up to which the wall clock is trusted. Both clocks are slewed
/// together, so only steps change the offset. The value is above the time that reading both takes, and below a step
/// that matters to slow start.
pub const TOLERANCE_MS: f64 = 250.0;

/// Number of remembered servers beyond which those that left the list are forgotten. Their starts are converted again
/// if they return.
const MAX_REMEMBERED: usize = 8192;

/// One start of a server.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// As listed, in milliseconds of Unix time.
    up_since_ms: f64,
    /// Converted to the node's clock.
    started: Seconds,
}

/// The starts of one server that lists have named.
#[derive(Clone, Copy, Debug)]
struct ServerStarts {
    latest: Start,
    /// The start before the latest: a slightly older list may name it again.
    earlier: Option<Start>,
}

/// Observed offsets of the wall clock, and the converted starts of servers.
#[derive(Debug)]
pub struct StartTimes {
    /// Offset of the wall clock from the monotonic clock at the process start.
    offset_at_start_ms: f64,
    /// Smallest offset so far, of that at the process start and of those beyond the tolerance from it.
    least_offset_ms: f64,
    /// Whether the offset has ever differed from that at the process start by more than the tolerance.
    stepped: bool,
    servers: HashMap<ServerId, ServerStarts>,
}

impl StartTimes {
    /// Creates the state at the start of the node's clock, when the wall clock reads `wall_ms`.
    pub fn new(wall_ms: f64) -> Self {
        StartTimes {
            offset_at_start_ms: wall_ms,
            least_offset_ms: wall_ms,
            stepped: false,
            servers: HashMap::new(),
        }
    }

    /// Records that the wall clock reads `wall_ms` now.
    pub fn observe(&mut self, now: Seconds, wall_ms: f64) {
        let offset = wall_ms - now * 1e3;
        if (offset - self.offset_at_start_ms).abs() > TOLERANCE_MS {
            self.stepped = true;
            self.least_offset_ms = self.least_offset_ms.min(offset);
        }
    }

    /// Converts a server's start to the node's clock.
    pub fn convert(&mut self, now: Seconds, server: &ServerId, up_since_ms: f64) -> Seconds {
        let known = self.servers.get(server).copied();
        if let Some(started) = known.and_then(|known| known.get(up_since_ms)) {
            return started;
        }
        let earlier = known.map(|known| known.latest);
        let started = self.convert_new(now, earlier, up_since_ms);
        let latest = Start { up_since_ms, started };
        self.servers.insert(server.clone(), ServerStarts { latest, earlier });
        started
    }

    /// Forgets servers that a complete list does not name if more than [`MAX_REMEMBERED`] are known.
    pub fn forget_unlisted<'a>(&mut self, listed: impl Iterator<Item = &'a ServerId>) {
        if self.servers.len() > MAX_REMEMBERED {
            let listed: BTreeSet<&ServerId> = listed.collect();
            self.servers.retain(|server, _| listed.contains(server));
        }
    }

    #[cfg(test)]
    pub fn remembered(&self) -> usize {
        self.servers.len()
    }

    /// Converts a start that was not listed before.
    fn convert_new(&self, now: Seconds, known: Option<Start>, up_since_ms: f64) -> Seconds {
        let started = (up_since_ms - self.least_offset_ms) / 1e3;
        match known {
            // A new start of a known server is later than its last one, even if the wall clock says otherwise.
            Some(known) if self.stepped && started <= known.started => now,
            _ => started.min(now),
        }
    }
}

impl ServerStarts {
    /// The converted time of a start, if it was listed before.
    fn get(&self, up_since_ms: f64) -> Option<Seconds> {
        let starts = [Some(self.latest), self.earlier];
        let named = starts.into_iter().flatten().find(|start| start.up_since_ms == up_since_ms);
        named.map(|start| start.started)
    }
}

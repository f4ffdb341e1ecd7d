//! Source of time: the wall clock and the monotonic clock behind one trait, so that a test can step either.

use std::fmt::Debug;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Both clocks of a machine.
pub trait TimeSource: Debug + Send + Sync {
    /// The time since the Unix epoch by the wall clock, which may be stepped at any moment, forward or back.
    fn wall(&self) -> Duration;

    /// The monotonic clock, which is never stepped.
    fn monotonic(&self) -> Instant;

    /// Milliseconds of Unix time by the wall clock.
    fn unix_ms(&self) -> u64 {
        u64::try_from(self.wall().as_millis()).unwrap_or(u64::MAX)
    }
}

/// The clocks of the machine that the process runs on.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock;

impl TimeSource for SystemClock {
    fn wall(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }

    fn monotonic(&self) -> Instant {
        Instant::now()
    }
}

/// A reading of the wall clock between two readings of the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    wall: Duration,
    /// Time just before the wall clock was read.
    pub monotonic: Instant,
    /// Upper bound of the time from `monotonic` to the reading of the wall clock.
    spread: Duration,
}

impl Reading {
    /// Most readings that are tried, as a process may be paused between reading the two clocks.
    const MAX_READINGS: u32 = 4;
    /// Longest spread at which both clocks count as read at the same time.
    const MAX_EXACT_SPREAD: Duration = Duration::from_millis(5);

    /// Reads both clocks as close together as possible.
    pub fn take(source: &dyn TimeSource) -> Self {
        let mut best = Self::once(source);
        for _ in 1..Self::MAX_READINGS {
            if best.is_exact() {
                break;
            }
            let next = Self::once(source);
            if next.spread < best.spread {
                best = next;
            }
        }
        best
    }

    fn once(source: &dyn TimeSource) -> Self {
        let monotonic = source.monotonic();
        let wall = source.wall();
        let spread = source.monotonic().saturating_duration_since(monotonic);
        Reading { wall, monotonic, spread }
    }

    /// Whether both clocks were read at practically the same time.
    pub fn is_exact(&self) -> bool {
        self.spread <= Self::MAX_EXACT_SPREAD
    }

    /// The wall clock, in milliseconds of Unix time.
    pub fn wall_ms(&self) -> f64 {
        self.wall.as_secs_f64() * 1e3
    }
}

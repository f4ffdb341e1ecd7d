//! Shortens or lengthens durations for clocks that run at different rates.

use std::time::Duration;

const MILLIONTHS: u128 = 1_000_000;

/// A bound on how much faster or slower than true time any node's clock runs, in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClockDrift(pub u32);

impl ClockDrift {
    /// Returns how long a promise of `length` by another node may be relied on: at most `length` of true time, measured
    /// by a clock that is slow by the bound.
    #[must_use]
    pub fn shorten(self, length: Duration) -> Duration {
        length.saturating_sub(self.margin(length))
    }

    /// Returns how long a promise of `length` must be kept: at least `length` of true time, measured by a clock that is
    /// fast by the bound.
    #[must_use]
    pub fn lengthen(self, length: Duration) -> Duration {
        length.saturating_add(self.margin(length))
    }

    /// Returns the longest promise that, once lengthened, still ends within `length`.
    #[must_use]
    pub fn longest_promise_within(self, length: Duration) -> Duration {
        from_nanos(length.as_nanos() * MILLIONTHS / (MILLIONTHS + u128::from(self.0)))
    }

    fn margin(self, length: Duration) -> Duration {
        from_nanos((length.as_nanos() * u128::from(self.0)).div_ceil(MILLIONTHS))
    }
}

fn from_nanos(nanos: u128) -> Duration {
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}

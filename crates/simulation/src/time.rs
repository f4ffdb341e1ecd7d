//! Points and durations of simulated time, in whole microseconds.

use std::fmt;
use std::ops::{Add, AddAssign, Mul, Sub};

use serde::{Deserialize, Serialize};

/// A point in simulated time, in microseconds since the start of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Time(pub u64);

/// A duration of simulated time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(pub u64);

impl Time {
    /// Start of the run.
    pub const ZERO: Time = Time(0);

    /// Seconds since the start of the run.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Duration since an earlier point; zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// The point `by` earlier, or the start of the run if that would be before it.
    pub fn saturating_sub(self, by: Span) -> Time {
        Time(self.0.saturating_sub(by.0))
    }
}

impl Span {
    /// Zero duration.
    pub const ZERO: Span = Span(0);

    /// Converts seconds, rounded to microseconds; negative values and NaN give zero.
    pub fn from_secs(seconds: f64) -> Span {
        // The cast saturates, and maps NaN to 0.
        Span((seconds * 1e6).round() as u64)
    }

    /// Converts milliseconds.
    pub const fn from_millis(ms: u64) -> Span {
        Span(ms * 1000)
    }

    /// The duration in seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Whether the duration is zero.
    pub fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, by: Span) -> Time {
        Time(self.0.saturating_add(by.0))
    }
}

impl AddAssign<Span> for Time {
    fn add_assign(&mut self, by: Span) {
        *self = *self + by;
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, by: Span) -> Span {
        Span(self.0.saturating_add(by.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, by: Span) -> Span {
        Span(self.0.saturating_sub(by.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, by: f64) -> Span {
        Span((self.0 as f64 * by).round() as u64)
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.6} s", self.as_secs())
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(std::time::Duration::from_micros(self.0)).fmt(f)
    }
}

/// Serialized as text with a unit, as in files: `250ms`.
impl Serialize for Span {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct DurationVisitor;
        impl serde::de::Visitor<'_> for DurationVisitor {
            type Value = Span;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a duration with its unit, such as \"250ms\"")
            }
            fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Span, E> {
                let invalid_duration = |_| E::invalid_value(serde::de::Unexpected::Str(text), &self);
                let duration = humantime::parse_duration(text).map_err(invalid_duration)?;
                u64::try_from(duration.as_micros())
                    .map(Span)
                    .map_err(|_| E::custom("the duration is too long"))
            }
        }
        deserializer.deserialize_str(DurationVisitor)
    }
}

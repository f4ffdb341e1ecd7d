//! Durations in configuration files, written with a unit such as `250ms`.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// A duration that is written as a string with its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileDuration(pub Duration);

impl<'de> Deserialize<'de> for FileDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct DurationVisitor;
        impl serde::de::Visitor<'_> for DurationVisitor {
            type Value = FileDuration;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a duration with its unit, such as \"250ms\"")
            }
            fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<FileDuration, E> {
                let invalid = |_| E::invalid_value(serde::de::Unexpected::Str(text), &self);
                humantime::parse_duration(text).map(FileDuration).map_err(invalid)
            }
        }
        deserializer.deserialize_str(DurationVisitor)
    }
}

impl fmt::Display for FileDuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(f)
    }
}

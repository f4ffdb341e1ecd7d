//! Logging: where lines go, how they look, and how often one may be said.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use clap::ValueEnum;
use tokio::time::Instant;
use tracing::Level;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

use crate::config::{wrong, Wrong};

/// What `HALLPIN_LOG` holds: a level, or `TARGET=LEVEL` and more of them behind commas.
pub const FILTER: &str = "HALLPIN_LOG";

/// How the lines of the log look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// One line an event, for people.
    #[default]
    Human,
    /// One JSON object an event.
    Json,
}

/// Sends the log to standard error. A writer that fails loses lines and nothing else.
///
/// # Errors
/// Names `HALLPIN_LOG` where it is no filter.
pub fn start(format: Format) -> Result<(), Wrong> {
    let filter = match std::env::var(FILTER) {
        Ok(text) => text.parse().map_err(wrong(FILTER))?,
        Err(_) => Targets::new().with_default(Level::INFO),
    };
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(io::stderr)
        .with_ansi(false)
        // Said of a writer that fails, by that same writer, it would end the process.
        .log_internal_errors(false);
    let lines = match format {
        Format::Human => lines.boxed(),
        Format::Json => lines.json().flatten_event(true).boxed(),
    };
    // Only the first caller of a process sets it up.
    let _ = tracing_subscriber::registry().with(lines.with_filter(filter)).try_init();
    Ok(())
}

/// Lets one kind of line pass so often and counts the others, where a crowd could flood the log.
#[derive(Debug, Default)]
pub struct Throttle {
    since: Cell<Option<Instant>>,
    passed: Cell<u32>,
    suppressed: Cell<u64>,
}

impl Throttle {
    const WINDOW: Duration = Duration::from_secs(1);
    const LINES: u32 = 10;

    /// How many were suppressed since the last that passed, if this one may pass.
    pub fn pass(&self, now: Instant) -> Option<u64> {
        if self.since.get().is_none_or(|since| now >= since + Self::WINDOW) {
            self.since.set(Some(now));
            self.passed.set(0);
        }
        if self.passed.get() >= Self::LINES {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.passed.set(self.passed.get() + 1);
        Some(self.suppressed.take())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_passes_a_few_times_a_second_and_the_rest_is_counted() {
        let (throttle, start) = (Throttle::default(), Instant::now());
        let passed = (0..1000).filter(|_| throttle.pass(start).is_some()).count();
        assert_eq!(passed, Throttle::LINES as usize);
        assert_eq!(throttle.pass(start + Throttle::WINDOW), Some(990));
        assert_eq!(throttle.pass(start + Throttle::WINDOW), Some(0));
    }
}

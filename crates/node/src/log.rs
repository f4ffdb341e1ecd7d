//! Logging: where lines are written, their format, and rate limiting.

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

use crate::config::{config_error, NodeConfigError};

/// Environment variable with the log filter: a level, or comma-separated `TARGET=LEVEL` entries.
pub const FILTER_VARIABLE: &str = "HALLPIN_LOG";

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// One line of text per event.
    #[default]
    Human,
    /// One JSON object per event.
    Json,
}

/// Sends the log to standard error. A writer that fails loses lines and has no other effect.
///
/// # Errors
/// Names `HALLPIN_LOG` if its value is not a valid filter.
pub fn start(format: Format) -> Result<(), NodeConfigError> {
    let filter = match std::env::var(FILTER_VARIABLE) {
        Ok(text) => text.parse().map_err(config_error(FILTER_VARIABLE))?,
        Err(_) => Targets::new().with_default(Level::INFO),
    };
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(io::stderr)
        .with_ansi(false)
        // An internal error would be reported through the writer that failed, which would end the process.
        .log_internal_errors(false);
    let lines = match format {
        Format::Human => lines.boxed(),
        Format::Json => lines.json().flatten_event(true).boxed(),
    };
    // Only the first call in a process installs the subscriber.
    let _ = tracing_subscriber::registry().with(lines.with_filter(filter)).try_init();
    Ok(())
}

/// Rate limiter for one kind of log line: passes a few lines per window and counts the others, so that a crowd of
/// clients cannot flood the log.
#[derive(Debug, Default)]
pub struct LogThrottle {
    window_start: Cell<Option<Instant>>,
    passed: Cell<u32>,
    suppressed: Cell<u64>,
}

impl LogThrottle {
    const WINDOW: Duration = Duration::from_secs(1);
    const MAX_LINES: u32 = 10;

    /// Number of lines suppressed since the last one that passed, or `None` if this line is suppressed too.
    pub fn pass(&self, now: Instant) -> Option<u64> {
        if self.window_start.get().is_none_or(|start| now >= start + Self::WINDOW) {
            self.window_start.set(Some(now));
            self.passed.set(0);
        }
        if self.passed.get() >= Self::MAX_LINES {
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
        let (throttle, start) = (LogThrottle::default(), Instant::now());
        let passed = (0..1000).filter(|_| throttle.pass(start).is_some()).count();
        assert_eq!(passed, LogThrottle::MAX_LINES as usize);
        assert_eq!(throttle.pass(start + LogThrottle::WINDOW), Some(990));
        assert_eq!(throttle.pass(start + LogThrottle::WINDOW), Some(0));
    }
}

//! Limits log lines about dropped datagrams to one per second, however many are dropped.

use std::time::Duration;

use tokio::time::Instant;

const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts the datagrams dropped since the last log line.
#[derive(Debug, Default)]
pub struct RefusalLog {
    last_line_at: Option<Instant>,
    dropped_since: u64,
}

impl RefusalLog {
    /// Records a dropped datagram. Returns the number dropped since the last line if a line may be logged now.
    pub fn record(&mut self, now: Instant) -> Option<u64> {
        self.dropped_since += 1;
        if self.last_line_at.is_some_and(|last_line_at| now < last_line_at + LOG_INTERVAL) {
            return None;
        }
        self.last_line_at = Some(now);
        Some(std::mem::take(&mut self.dropped_since))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ten_thousand_drops_a_second_give_one_line_a_second_and_each_is_counted() {
        let (mut log, start) = (RefusalLog::default(), Instant::now());
        let mut lines = Vec::new();
        for index in 0..30_000 {
            let now = start + Duration::from_micros(100) * index;
            lines.extend(log.record(now));
        }
        assert_eq!(lines, [1, 10_000, 10_000]);
    }
}

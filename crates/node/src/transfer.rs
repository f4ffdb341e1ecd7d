//! How long a slow peer may take for a long transfer: a cache server for a value, or a client for its answers.

use std::time::Duration;

/// A peer with which no byte is exchanged for this long is given up.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum rate beyond the first stall timeout: a peer that sends or takes one byte just within each timeout would
/// otherwise hold a connection forever.
const MIN_RATE_BYTES_PER_S: f64 = 16.0 * 1024.0;

/// Time that `bytes` take at the minimum rate, some four minutes for the longest value.
pub fn time_at_min_rate(bytes: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_RATE_BYTES_PER_S)
}

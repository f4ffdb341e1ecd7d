//! Decides what happens to a datagram on a link: whether it is delivered, how often, and with what delay. Pure.

use std::time::Duration;

use hallpin_simulation::random::RandomStream;
use hallpin_simulation::time::Span;
use serde::{Deserialize, Serialize};

/// Additional delay of a reordered datagram, during which later ones overtake it.
pub const REORDER_DELAY: Duration = Duration::from_millis(20);

/// Conditions of one direction of a link.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Conditions {
    /// Share of datagrams that are lost, 0 to 1.
    pub drop: f64,
    /// Share of datagrams that are delivered twice, 0 to 1.
    pub duplicate: f64,
    /// Share of datagrams that are held back until later ones have overtaken them, 0 to 1.
    pub reorder: f64,
    /// Fixed delay of all data.
    pub delay: Span,
    /// Maximum additional delay, drawn for each datagram and for each chunk of a stream, whose order is kept.
    pub jitter: Span,
    /// Nothing passes: datagrams are lost, streams stall, and new connections are never established.
    pub cut: bool,
}

/// The fate of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fate {
    /// Delivered once.
    Passed,
    /// Delivered twice.
    Doubled,
    /// Delivered after later ones.
    Held,
    /// Never delivered.
    Lost,
}

impl Conditions {
    /// Draws the delay of the next datagram or chunk.
    pub fn draw_delay(&self, rng: &mut RandomStream) -> Duration {
        let jitter = rng.between(0.0, self.jitter.as_secs());
        Duration::from_micros(self.delay.0) + Duration::from_secs_f64(jitter)
    }

    /// Draws the fate of the next datagram and the delay of each of its copies. Every datagram takes the same number of
    /// draws, so that its fate does not depend on the conditions that applied to earlier ones.
    pub fn draw_fate(&self, rng: &mut RandomStream) -> (Fate, Vec<Duration>) {
        let [lost, doubled, held] =
            [self.drop, self.duplicate, self.reorder].map(|share| rng.uniform() < share);
        let [first, second] = [self.draw_delay(rng), self.draw_delay(rng)];
        match (self.cut || lost, doubled, held) {
            (true, ..) => (Fate::Lost, Vec::new()),
            (_, true, _) => (Fate::Doubled, vec![first, second]),
            (_, _, true) => (Fate::Held, vec![first + REORDER_DELAY]),
            _ => (Fate::Passed, vec![first]),
        }
    }
}

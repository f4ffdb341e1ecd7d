//! Smaller and shorter variants of a scenario.

use super::Scenario;
use crate::range::Range;
use crate::time::Span;

impl Scenario {
    /// Returns the scenario scaled down to this number of nodes. Boxes, requests, keys, the planner and connections
    /// shrink in proportion, so that the load of each node and box stays the same. A scenario with no more nodes is
    /// unchanged.
    #[must_use]
    pub fn scaled(&self, nodes: u32) -> Scenario {
        let mut scaled = self.clone();
        let ratio = f64::from(nodes) / f64::from(self.nodes.count.high.max(1));
        if ratio >= 1.0 {
            return scaled;
        }
        let count = |many: Range<u32>| {
            let scale = |n: u32| (f64::from(n) * ratio).round().max(1.0) as u32;
            Range { low: scale(many.low), high: scale(many.high) }
        };
        let amount = |many: Range<f64>| Range { low: many.low * ratio, high: many.high * ratio };
        scaled.nodes.count = count(self.nodes.count);
        scaled.clients.rate = amount(self.clients.rate);
        scaled.planner.places = count(self.planner.places);
        scaled.keys.count = count(self.keys.count);
        for kind in &mut scaled.boxes {
            kind.count = count(kind.count);
            kind.connections_per_core = amount(kind.connections_per_core);
        }
        for incident in &mut scaled.incidents {
            incident.boxes = incident.boxes.map(count);
            incident.nodes = incident.nodes.map(count);
        }
        scaled
    }

    /// Returns the scenario with this length, without the fault events that could begin after its end. A
    /// scenario whose shortest length is not above this one is unchanged.
    #[must_use]
    pub fn shortened(&self, length: Span) -> Scenario {
        let mut shortened = self.clone();
        if length < self.length.low {
            shortened.length = Range::single(length);
            shortened.incidents.retain(|incident| incident.at.high < length);
        }
        shortened
    }
}

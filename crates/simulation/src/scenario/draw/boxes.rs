//! Draws boxes from their kinds' ranges.

use super::super::{BoxKind, Scenario};
use crate::cache_box::BoxSpec;
use crate::random::RandomStream;
use crate::time::Span;

impl Scenario {
    pub(super) fn draw_box(
        &self,
        kind: &BoxKind,
        values: &KindValues,
        index: usize,
        rng: &mut RandomStream,
    ) -> BoxSpec {
        let cores = kind.cores.draw(rng);
        let slots = (kind.slots_per_core.draw(rng) * cores).round().max(1.0);
        BoxSpec {
            id: format!("box-{index:04}"),
            kind: kind.kind.clone(),
            depot: index % self.depots.len(),
            cell: (index / 4) as u64,
            size: kind.size,
            address: index as u32,
            cores,
            speed: kind.speed.draw(rng),
            slots: slots as u32,
            waiting: (values.waiting_per_core * cores).round() as u32,
            crowd_from: kind.crowd_from.draw(rng),
            crowd_loss: kind.crowd_loss.draw(rng),
            connections: (kind.connections_per_core.draw(rng) * cores).round() as u32,
            connection_work: values.connection_work,
            table_tax: values.table_tax,
            idle_close: values.idle_close,
            probe_work: values.probe_work,
            report_period: kind.report_period.draw(rng),
            report_delay: kind.report_delay.draw(rng),
            report_noise: kind.report_noise.draw(rng),
            cold_from: values.cold_from,
            ramp: values.ramp,
            warm_by: kind.warm_by,
            fall_multiple: self.rules.fall_multiple,
            fall_for: self.rules.fall_for,
            // Set once the run's classes are drawn.
            mean_work: Span::ZERO,
            memory: kind.memory.draw(rng).0,
            evict: kind.evict,
            ttl: values.ttl,
            fetch_places: (values.fetches_per_slot * slots).round().max(1.0) as u32,
            fetch_timeout: values.fetch_timeout,
            fetch_retries: values.fetch_retries,
            joins: kind.joins,
            miss_holds: values.miss_holds,
            miss_extra: kind.miss_extra.draw(rng),
            drops_cancelled: values.drops_cancelled,
            drops_expired: kind.drops_expired,
            error_rate: kind.error_rate.draw(rng),
        }
    }
}

/// Values that all boxes of a kind share in one run.
pub(super) struct KindValues {
    waiting_per_core: f64,
    connection_work: Span,
    table_tax: f64,
    idle_close: Span,
    probe_work: Span,
    cold_from: f64,
    ramp: Span,
    ttl: Span,
    fetches_per_slot: f64,
    fetch_timeout: Span,
    fetch_retries: u32,
    miss_holds: bool,
    drops_cancelled: bool,
}

impl KindValues {
    pub(super) fn draw(kind: &BoxKind, rng: &mut RandomStream) -> Self {
        KindValues {
            waiting_per_core: kind.waiting_per_core.draw(rng),
            connection_work: kind.connection_work.draw(rng),
            table_tax: kind.table_tax.draw(rng),
            idle_close: kind.idle_close.draw(rng),
            probe_work: kind.probe_work.draw(rng),
            cold_from: kind.cold_from.draw(rng),
            ramp: kind.ramp.draw(rng),
            ttl: kind.ttl.draw(rng),
            fetches_per_slot: kind.fetches_per_slot.draw(rng),
            fetch_timeout: kind.fetch_timeout.draw(rng),
            fetch_retries: kind.fetch_retries.draw(rng),
            miss_holds: rng.uniform() < kind.miss_holds,
            drops_cancelled: rng.uniform() < kind.drops_cancelled,
        }
    }
}

//! Cost of the balancer by the size of the fleet: a complete list, a change of one server, and a request with
//! its outcome.

use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion};
use hallpin_balancer::{
    AttemptId, Balancer, CacheNote, Class, ClassId, DeduplicationScope, Effect, EndpointEntry,
    EndpointUpdate, Event, Guarantees, Key, Limits, NewRequest, Outcome, RequestId, ServerId, ServerState,
    Settings, Status, WeightSource,
};

fn settings() -> Settings {
    let read = Class {
        name: "read".into(),
        latency_objective: 1.0,
        deadline: 2.0,
        priority_weight: 1.0,
        late_weight_share: 0.0,
        effect: Effect::Idempotent,
        deduplication_scope: DeduplicationScope::All,
        deduplication_window: 0.0,
        streamed: false,
    };
    Settings {
        balancers: 5,
        classes: vec![read],
        weights: WeightSource::Nominal,
        guarantees: Guarantees {
            initial_capacity_share: 0.2,
            slow_start_duration: 20.0,
            ..Guarantees::default()
        },
        limits: Limits {
            cancel: true,
            health_checks: true,
            max_attempts: 3,
            hedging: true,
            ..Limits::default()
        },
        event_interval: 0.005,
        ..Settings::default()
    }
}

fn entry(n: usize, state: ServerState) -> EndpointEntry {
    EndpointEntry {
        server: ServerId(format!("box-{n:05}").into()),
        state,
        zone: ["a", "b", "c", "d"][n % 4].into(),
        weight: 1.0 + (n % 2) as f64,
        kind: "k".into(),
        ..EndpointEntry::default()
    }
}

fn list(servers: usize) -> Vec<EndpointEntry> {
    (0..servers).map(|n| entry(n, ServerState::Ready)).collect()
}

fn node(servers: usize) -> Balancer {
    let mut node = Balancer::new(settings(), 1).expect("valid settings");
    node.handle(0.0, Event::Endpoints(EndpointUpdate::Full(list(servers))), &mut Vec::new());
    node
}

fn growth(c: &mut Criterion) {
    for servers in [12, 100, 1_000, 10_000] {
        let mut group = c.benchmark_group("module");
        group.sample_size(10);
        group.bench_with_input(BenchmarkId::new("whole list", servers), &servers, |b, &servers| {
            let fresh = || (Balancer::new(settings(), 1).expect("settings"), list(servers));
            b.iter_batched(
                fresh,
                |(mut node, list)| {
                    node.handle(0.0, Event::Endpoints(EndpointUpdate::Full(list)), &mut Vec::new());
                    node
                },
                BatchSize::LargeInput,
            );
        });
        group.bench_with_input(BenchmarkId::new("one change", servers), &servers, |b, &servers| {
            let (mut node, mut ready) = (node(servers), false);
            b.iter(|| {
                let state = if ready { ServerState::Ready } else { ServerState::Draining };
                ready = !ready;
                node.handle(
                    1.0,
                    Event::Endpoints(EndpointUpdate::Delta(vec![entry(0, state)])),
                    &mut Vec::new(),
                );
            });
        });
        group.bench_with_input(BenchmarkId::new("request", servers), &servers, |b, &servers| {
            let (mut node, mut id, mut actions) = (node(servers), 0, Vec::new());
            b.iter(|| {
                id += 1;
                let now = id as f64 * 1e-4;
                let request = NewRequest {
                    id: RequestId(id),
                    time_left: 1.0,
                    class: Some(ClassId(0)),
                    tenant: None,
                    key: Some(Key(id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 50)),
                    write: false,
                    work_hint: Some(0.05),
                };
                actions.clear();
                node.handle(now, Event::Request(request), &mut actions);
                let outcome = Outcome {
                    request: RequestId(id),
                    attempt: AttemptId(0),
                    status: Status::Success,
                    elapsed: 0.05,
                    finished: true,
                    cache_note: Some(CacheNote::Hit),
                };
                node.handle(now + 0.00005, Event::Outcome(outcome), &mut actions);
            });
        });
        group.finish();
    }
}

criterion_group!(benches, growth);
criterion_main!(benches);

//! The load generator against misbehaving targets: every request has exactly one outcome, and none is lost.

use std::sync::Arc;
use std::time::Duration;

use hallpin_loadgen::load::fake_server::{Behavior, FakeServer};
use hallpin_loadgen::load::mix::{ClassShare, MixSpec, TenantShare};
use hallpin_loadgen::load::report::Report;
use hallpin_loadgen::load::results::{Outcome, RunResults};
use hallpin_loadgen::load::schedule::{Arrivals, RateProfile, RecordedRequest, Spacing};
use hallpin_loadgen::load::{run, LoadError, LoadSpec, Progress};
use hallpin_simulation::run_spec::KeysSpec;

fn spec(target: &FakeServer, rate: f64, length: Duration) -> LoadSpec {
    let class = |name: &str, share, writes| ClassShare { name: name.into(), share, writes };
    LoadSpec {
        targets: vec![target.address],
        arrivals: Arrivals::Generated { spacing: Spacing::Poisson, rate, profile: RateProfile::constant() },
        length,
        mix: MixSpec {
            classes: vec![class("lookup", 9.0, None), class("report", 1.0, Some(30))],
            tenants: vec![TenantShare { name: "north".into(), share: 1.0 }],
            keys: KeysSpec {
                count: 100,
                zipf: 1.0,
                offset: 0.0,
                drift: 0.1,
                changes: 0.0,
                bytes: 1.0,
                bytes_cv: 0.0,
            },
        },
        connections: 8,
        pipeline: 4,
        fresh: false,
        workers: 2,
        backlog: 10_000,
        wait: Duration::from_millis(400),
        tries: 1,
        slow: 0,
        half_open: 0,
        seed: 3,
    }
}

/// Runs the load and checks that there are as many outcomes as requests that came due, and that the requests
/// of all seconds add up to that number.
fn run_and_check(spec: &LoadSpec) -> RunResults {
    let progress = Arc::new(Progress::default());
    let results = run(spec, &progress).expect("a run");
    let ended: u64 = Outcome::ALL.iter().map(|outcome| results.latencies(*outcome).len()).sum();
    assert_eq!(ended, results.counts.asked, "{:?}", results.counts);
    assert_eq!(results.seconds.iter().map(|s| s.asked).sum::<u64>(), results.counts.asked);
    results
}

fn count_of(results: &RunResults, outcome: Outcome) -> u64 {
    results.latencies(outcome).len()
}

const SHORT: Duration = Duration::from_millis(600);
/// A client timeout longer than any scheduling delay of a busy machine.
const LONG_WAIT: Duration = Duration::from_secs(20);

#[test]
fn a_healthy_target_completes_every_request() {
    let target = FakeServer::start(Behavior::Immediate, None).expect("a target");
    for (fresh, pipeline) in [(false, 1), (false, 16), (true, 1)] {
        let results =
            run_and_check(&LoadSpec { fresh, pipeline, wait: LONG_WAIT, ..spec(&target, 1500.0, SHORT) });
        assert_eq!(count_of(&results, Outcome::Completed), results.counts.asked);
        assert!(results.counts.asked > 600 && results.counts.tries == results.counts.asked);
        // Each of the 8 connections may have been opened for a request that another one then took.
        let allowed = if fresh { results.counts.asked } else { 0 };
        assert!(results.counts.connections <= allowed + 8, "{:?}", results.counts);
    }
}

/// Guards against coordinated omission: every request scheduled during a stall of the target shows the delay, not only
/// those in flight. A generator that waits for answers before it sends would have seen a few slow requests.
#[test]
fn a_stall_delays_every_request_scheduled_during_it() {
    let stall = Duration::from_millis(250);
    let target = FakeServer::start(Behavior::StallAfter(300, stall), None).expect("a target");
    let even = Arrivals::Generated { spacing: Spacing::Even, rate: 1000.0, profile: RateProfile::constant() };
    let load_spec =
        LoadSpec { arrivals: even, connections: 1, workers: 1, pipeline: 1, ..spec(&target, 1.0, SHORT * 2) };
    let results = run_and_check(&LoadSpec { wait: Duration::from_secs(5), ..load_spec });
    let completed = results.latencies(Outcome::Completed);
    let slow = completed.len() - completed.count_between(0, 50_000);
    assert!(
        slow >= 150,
        "{slow} of {} took over 50 ms, 200 were scheduled during the stall",
        completed.len()
    );
    assert!(completed.max() >= 240_000, "{}", completed.max());
}

#[test]
fn requests_to_a_silent_target_time_out() {
    let target = FakeServer::start(Behavior::Silent, None).expect("a target");
    let results = run_and_check(&spec(&target, 400.0, SHORT));
    assert_eq!(count_of(&results, Outcome::Completed), 0);
    assert!(count_of(&results, Outcome::TimedOut) >= 8, "{:?}", results.counts);
    let report = Report::new(&results, SHORT);
    assert!(report.is_good() && report.completed_a_second == 0.0);
}

#[test]
fn misdelivered_answers_are_counted() {
    let target = FakeServer::start(Behavior::WrongId(50), None).expect("a target");
    let results = run_and_check(&spec(&target, 1000.0, SHORT));
    let misdelivered = results.counts.misdelivered;
    assert!(misdelivered >= 5 && misdelivered <= results.counts.asked / 40, "{:?}", results.counts);
    assert!(!Report::new(&results, SHORT).is_good());
    assert!(Report::new(&results, SHORT).to_string().contains("WRONG"));
}

#[test]
fn broken_connections_are_reopened_and_only_reads_are_retried() {
    let target = FakeServer::start(Behavior::CloseAfter(20), None).expect("a target");
    let mut spec = LoadSpec { tries: 4, wait: LONG_WAIT, ..spec(&target, 1000.0, SHORT) };
    // As many writes as reads: at one write in ten, one run in twenty had no write on a connection that broke.
    spec.mix.classes.iter_mut().for_each(|class| class.share = 1.0);
    let results = run_and_check(&spec);
    assert!(
        results.counts.broken_connections > 10 && results.counts.connections > 10,
        "{:?}",
        results.counts
    );
    // A write may have been executed before the connection broke and is not retried.
    let (completed, broken) = (count_of(&results, Outcome::Completed), count_of(&results, Outcome::Broken));
    assert!(completed > results.counts.asked * 9 / 10 && broken > 0, "{completed}, {broken}");
    assert!(results.counts.tries > results.counts.asked);
}

#[test]
fn rejected_requests_are_retried_after_the_hint() {
    let retry_after = Duration::from_millis(60);
    let target = FakeServer::start(Behavior::RejectAlternate(retry_after), None).expect("a target");
    let once = run_and_check(&spec(&target, 800.0, SHORT));
    assert!(count_of(&once, Outcome::Refused) * 3 > once.counts.asked, "{:?}", once.counts);
    let often = run_and_check(&LoadSpec { tries: 6, wait: LONG_WAIT, ..spec(&target, 800.0, SHORT) });
    assert!(count_of(&often, Outcome::Completed) > often.counts.asked * 9 / 10, "{:?}", often.counts);
    let late = often.latencies(Outcome::Completed).value_at_quantile(0.9);
    assert!(late >= 60_000, "{late} us at p90");
}

/// The target stops during the run and another one starts at its address: requests before and after are completed.
#[test]
fn the_generator_survives_a_restart_of_its_target() {
    let first = FakeServer::start(Behavior::Immediate, None).expect("a target");
    let (address, spec) = (first.address, spec(&first, 500.0, SHORT * 3));
    let progress = Arc::new(Progress::default());
    let so_far = progress.clone();
    let completed = move || so_far.completed.load(std::sync::atomic::Ordering::Relaxed);
    let ended = {
        let (progress, so_far) = (progress.clone(), progress.clone());
        let generator = std::thread::spawn(move || run(&spec, &progress).expect("a run"));
        while completed() < 100 {
            std::thread::yield_now();
        }
        drop(first);
        while so_far.other.load(std::sync::atomic::Ordering::Relaxed) < 20 {
            std::thread::yield_now();
        }
        let before = completed();
        let _second = FakeServer::start(Behavior::Immediate, Some(address)).expect("the same address");
        let results = generator.join().expect("it ends");
        assert!(completed() > before, "{before} and no more");
        results
    };
    assert!(ended.counts.refused_connections > 0, "{:?}", ended.counts);
}

#[test]
fn a_stopped_run_returns_the_results_so_far() {
    let target = FakeServer::start(Behavior::Silent, None).expect("a target");
    let spec = LoadSpec { wait: Duration::from_secs(60), ..spec(&target, 500.0, Duration::from_secs(60)) };
    let progress = Arc::new(Progress::default());
    let stop = progress.clone();
    let generator = std::thread::spawn(move || run(&spec, &progress).expect("a run"));
    while stop.asked.load(std::sync::atomic::Ordering::Relaxed) < 50 {
        std::thread::yield_now();
    }
    stop.stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let results = generator.join().expect("it ends");
    let ended: u64 = Outcome::ALL.iter().map(|outcome| results.latencies(*outcome).len()).sum();
    assert_eq!(ended, results.counts.asked);
}

#[test]
fn slow_connections_are_counted_separately_and_a_trace_is_replayed_exactly() {
    let target = FakeServer::start(Behavior::Immediate, None).expect("a target");
    let record = |n: u64| RecordedRequest {
        at: Duration::from_millis(n * 5),
        class: 5,
        tenant: Some(3),
        key: n as u32,
    };
    let recording = Arrivals::Recorded(Arc::new((0..100).map(record).collect()));
    let results = run_and_check(&LoadSpec {
        arrivals: recording,
        half_open: 3,
        slow: 2,
        wait: LONG_WAIT,
        ..spec(&target, 1.0, SHORT)
    });
    assert_eq!((results.counts.asked, count_of(&results, Outcome::Completed)), (100, 100));
    assert_eq!((results.counts.half_open, results.counts.half_open_closed), (3, 0));
}

#[test]
fn invalid_parameters_are_rejected() {
    let target = FakeServer::start(Behavior::Immediate, None).expect("a target");
    let good = spec(&target, 1.0, SHORT);
    let error_text = |spec: LoadSpec| run(&spec, &Arc::default()).expect_err("an error").to_string();
    assert!(error_text(LoadSpec { connections: 0, ..good.clone() }).starts_with("connections: "));
    assert!(error_text(LoadSpec { workers: 9, ..good.clone() }).starts_with("workers: "));
    let mut bad = good.clone();
    bad.mix.classes[0].name = "a b".into();
    assert!(matches!(run(&bad, &Arc::default()), Err(LoadError::Mix(_))));
    bad = good;
    bad.mix.classes.clear();
    assert!(error_text(bad).starts_with("classes: "));
}

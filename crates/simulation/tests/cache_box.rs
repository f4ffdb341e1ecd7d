//! Tests of a cache box with a planner whose replies the test gives.

use hallpin_balancer::CacheNote;
use hallpin_simulation::cache_box::{BoxAnswer, BoxOutput, BoxSpec, CacheBox, Job};
use hallpin_simulation::planner::{Planner, PlannerCall};
use hallpin_simulation::random::RandomStream;
use hallpin_simulation::scenario::Scenario;
use hallpin_simulation::time::{Span, Time};

const US_PER_MS: u64 = 1000;

/// A box with one core of standard speed, one slot and room for one waiting request, without any randomness.
fn spec() -> BoxSpec {
    let day = Scenario::default().draw(1).expect("the defaults make a scenario");
    BoxSpec {
        cores: 1.0,
        speed: 1.0,
        slots: 1,
        waiting: 1,
        crowd_loss: 0.0,
        table_tax: 0.0,
        connection_work: Span::ZERO,
        memory: 10_000,
        ttl: Span::from_millis(60_000),
        fetch_places: 2,
        fetch_timeout: Span::from_millis(500),
        fetch_retries: 0,
        joins: true,
        miss_holds: false,
        miss_extra: 0.0,
        drops_cancelled: true,
        drops_expired: false,
        error_rate: 0.0,
        cold_from: 0.25,
        ramp: Span::from_millis(20_000),
        fall_multiple: 3.0,
        fall_for: Span::from_millis(3000),
        mean_work: Span::from_millis(100),
        ..day.boxes[0].clone()
    }
}

/// A box with a planner, at a time that the test sets.
struct TestHarness {
    cache: CacheBox,
    planner: Planner,
    now: Time,
    out: Vec<BoxOutput>,
}

impl TestHarness {
    fn new(spec: BoxSpec) -> Self {
        let day = Scenario::default().draw(1).expect("the defaults make a scenario");
        let planner = Planner::new(day.planner, RandomStream::new(1, "planner"));
        TestHarness {
            cache: CacheBox::new(spec, RandomStream::new(1, "box")),
            planner,
            now: Time::ZERO,
            out: Vec::new(),
        }
    }

    fn job(&mut self, token: u64, key: u32, work_ms: u64, write: bool) -> Vec<BoxOutput> {
        let job = Job {
            token,
            key,
            bytes: 100,
            work: (work_ms * US_PER_MS) as f64,
            write: write.then_some(Some(token)),
            deadline: self.now + Span::from_millis(2000),
        };
        self.cache.request(self.now, job, &self.planner, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn read(&mut self, token: u64, key: u32, work_ms: u64) -> Vec<BoxOutput> {
        self.job(token, key, work_ms, false)
    }

    /// Runs the box until this time; returns its outputs with their times in milliseconds.
    fn run_until(&mut self, ms: u64) -> Vec<(u64, BoxOutput)> {
        let (end, mut all) = (Time(ms * US_PER_MS), Vec::new());
        while let Some(at) =
            self.cache.next_wake(self.now).map(|at| at.max(self.now + Span(1))).filter(|at| *at <= end)
        {
            self.now = at;
            self.cache.wake(at, &self.planner, &mut self.out);
            all.extend(self.out.drain(..).map(|out| (at.0 / US_PER_MS, out)));
        }
        self.now = end;
        all
    }

    fn fetched(&mut self, id: u64, version: Option<u64>) -> Vec<BoxOutput> {
        self.cache.on_planner_reply(self.now, id, version, |_| 100, &self.planner, &mut self.out);
        std::mem::take(&mut self.out)
    }
}

fn planner_call(out: &[BoxOutput]) -> PlannerCall {
    let call = |out: &BoxOutput| match out {
        BoxOutput::Ask { ask, .. } => Some(*ask),
        _ => None,
    };
    out.iter().find_map(call).expect("a call to the planner")
}

fn served(token: u64, note: CacheNote, version: u64) -> BoxOutput {
    BoxOutput::Answer(token, BoxAnswer::Served { note, version })
}

#[test]
fn hits_are_served_in_order_and_a_full_queue_rejects() {
    let mut harness = TestHarness::new(spec());
    harness.cache.preload(1, 100, Time(u64::MAX));
    for token in 1..=2 {
        assert_eq!(harness.read(token, 1, 10), []);
    }
    assert_eq!(harness.read(3, 1, 10), [BoxOutput::Answer(3, BoxAnswer::Busy)]);
    assert_eq!(
        harness.run_until(100),
        [(10, served(1, CacheNote::Hit, 0)), (20, served(2, CacheNote::Hit, 0))]
    );
    assert_eq!(harness.cache.request_count(), 0);
}

#[test]
fn two_slowdowns_multiply_and_end_separately() {
    let mut harness = TestHarness::new(spec());
    harness.cache.preload(1, 100, Time(u64::MAX));
    harness.cache.slow_by(harness.now, 2.0);
    harness.cache.slow_by(harness.now, 3.0);
    harness.read(1, 1, 10);
    assert_eq!(harness.run_until(60), [(60, served(1, CacheNote::Hit, 0))]);
    harness.cache.slow_by(harness.now, 1.0 / 2.0);
    harness.read(2, 1, 10);
    assert_eq!(harness.run_until(100), [(90, served(2, CacheNote::Hit, 0))]);
}

#[test]
fn requests_in_service_share_the_cores() {
    let mut harness = TestHarness::new(BoxSpec { slots: 2, ..spec() });
    harness.cache.preload(1, 100, Time(u64::MAX));
    harness.read(1, 1, 10);
    harness.read(2, 1, 30);
    // Both requests run at half speed until the first ends; then the second gets the whole core.
    assert_eq!(
        harness.run_until(100),
        [(20, served(1, CacheNote::Hit, 0)), (40, served(2, CacheNote::Hit, 0))]
    );
}

#[test]
fn misses_of_a_key_share_a_fetch_and_the_copy_is_cached() {
    let mut harness = TestHarness::new(BoxSpec { slots: 4, waiting: 4, ..spec() });
    let ask = planner_call(&harness.read(1, 1, 10));
    assert_eq!(harness.read(2, 1, 10), [], "the fetch is in flight");
    harness.run_until(50);
    harness.fetched(ask.id, Some(0));
    let answers = harness.run_until(100);
    assert!(answers.contains(&(70, served(1, CacheNote::Miss, 0))), "{answers:?}");
    assert!(answers.contains(&(70, served(2, CacheNote::MissFetching, 0))), "{answers:?}");
    harness.read(3, 1, 10);
    assert_eq!(harness.run_until(200), [(110, served(3, CacheNote::Hit, 0))]);
}

#[test]
fn a_write_during_a_fetch_leaves_no_stale_copy() {
    let mut harness = TestHarness::new(spec());
    let ask = planner_call(&harness.read(1, 1, 10));
    // The planner replied with version 0; before the reply arrives, a write through another box is carried out.
    harness.planner.change(1);
    harness.fetched(ask.id, Some(0));
    assert_eq!(
        harness.run_until(50),
        [(10, served(1, CacheNote::Miss, 0))],
        "a request from before the write may get the old version"
    );
    assert_eq!(harness.cache.cached_copies(), 0, "no copy for requests after the write");
    assert_eq!(planner_call(&harness.read(2, 1, 10)).key, 1);
}

#[test]
fn a_write_goes_to_the_planner_and_drops_the_copy() {
    let mut harness = TestHarness::new(spec());
    harness.cache.preload(1, 100, Time(u64::MAX));
    harness.job(1, 1, 10, true);
    let outputs = harness.run_until(10);
    let ask = planner_call(&outputs.into_iter().map(|(_, out)| out).collect::<Vec<_>>());
    assert_eq!(ask.write, Some(Some(1)));
    harness.planner.change(1);
    assert_eq!(harness.fetched(ask.id, Some(1)), [served(1, CacheNote::Hit, 1)]);
    assert_eq!(harness.cache.cached_copies(), 0);
}

#[test]
fn a_fetch_that_times_out_fails_its_waiters_and_is_cached_when_it_completes() {
    let mut harness = TestHarness::new(spec());
    let ask = planner_call(&harness.read(1, 1, 10));
    assert_eq!(harness.run_until(500), [(500, BoxOutput::Answer(1, BoxAnswer::Failed))]);
    harness.fetched(ask.id, Some(0));
    harness.read(2, 1, 10);
    assert_eq!(harness.run_until(600), [(510, served(2, CacheNote::Hit, 0))]);
}

#[test]
fn fetches_in_flight_are_bounded_and_failed_ones_retried_as_configured() {
    let mut harness = TestHarness::new(BoxSpec { slots: 4, waiting: 4, fetch_retries: 1, ..spec() });
    let ask = planner_call(&harness.read(1, 1, 10));
    harness.read(2, 2, 10);
    assert_eq!(
        harness.read(3, 3, 10),
        [BoxOutput::Answer(3, BoxAnswer::Busy)],
        "both fetch places are taken"
    );
    assert_eq!(planner_call(&harness.fetched(ask.id, None)).id, ask.id);
    assert_eq!(harness.fetched(ask.id, None), [BoxOutput::Answer(1, BoxAnswer::Failed)]);
    assert_eq!(planner_call(&harness.read(4, 3, 10)).key, 3, "the fetch place is free again");
}

#[test]
fn cancelled_requests_that_wait_are_dropped_and_running_ones_go_on() {
    let mut harness = TestHarness::new(spec());
    harness.cache.preload(1, 100, Time(u64::MAX));
    harness.read(1, 1, 10);
    harness.read(2, 1, 10);
    for token in 1..=2 {
        harness.cache.cancel(harness.now, token, &harness.planner, &mut harness.out);
    }
    assert_eq!(harness.run_until(100), [(10, served(1, CacheNote::Hit, 0))]);
}

#[test]
fn a_restarted_box_is_cold_and_empty_and_falls_over_when_overloaded() {
    let mut harness = TestHarness::new(BoxSpec { waiting: 10_000, ..spec() });
    harness.cache.preload(1, 100, Time(u64::MAX));
    harness.now = Time(1000 * US_PER_MS);
    harness.cache.start(harness.now);
    assert_eq!((harness.cache.cached_copies(), harness.cache.slow_start_factor(harness.now)), (0, 0.25));
    // Allowed are 3 x 0.25 cores x 3 s, or N = 22.5 requests of 0.1 s. As N is under 30, the limit is
    // N + 3 √N + 3 = 39.73 requests within 3 s, whether an incident slows the box or not. Rejected work counts as well.
    harness.cache.slow_by(harness.now, 4.0);
    for token in 0..39 {
        assert!(!harness.read(token, token as u32, 100).contains(&BoxOutput::Fell), "{token}");
    }
    assert!(!harness.read(39, 39, 72).contains(&BoxOutput::Fell));
    assert!(harness.read(40, 40, 2).contains(&BoxOutput::Fell));
    assert!(harness.cache.has_fallen() && !harness.cache.is_up());
    let mut warm_box = TestHarness::new(BoxSpec { waiting: 10_000, ..spec() });
    let fell = (0..1000).any(|token| warm_box.read(token, 1, 100).contains(&BoxOutput::Fell));
    assert!(!fell, "a warm box does not fall over");
}

#[test]
fn connections_are_bounded_cost_work_and_are_released() {
    let mut harness =
        TestHarness::new(BoxSpec { connections: 2, connection_work: Span::from_millis(4), ..spec() });
    harness.cache.preload(1, 100, Time(u64::MAX));
    let mut out = Vec::new();
    assert!(harness.cache.connect(harness.now, &mut out) && harness.cache.connect(harness.now, &mut out));
    assert!(!harness.cache.connect(harness.now, &mut out));
    harness.read(1, 1, 10);
    // 18 ms of work on one core; the two connections, of 4 ms each, end first.
    assert_eq!(harness.run_until(100), [(18, served(1, CacheNote::Hit, 0))]);
    harness.cache.disconnect(harness.now);
    assert!(harness.cache.connect(harness.now, &mut out));
}

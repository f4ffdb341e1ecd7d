//! Conversion of start times while the wall clock is stepped, by seconds or an hour, on this machine or on all
//! machines.

use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hallpin_balancer::{Seconds, ServerId};
use tokio::time::Instant;

use super::source::TimeSource;
use super::start_times::TOLERANCE_MS;
use super::Clock;
use crate::roster::Roster;

/// The wall clock of all machines at the start of each test.
const EPOCH_MS: f64 = 1_700_000_000_000.0;
const STEPS_S: [f64; 8] = [-3600.0, -60.0, -5.0, -1.0, 1.0, 5.0, 60.0, 3600.0];

#[derive(Debug)]
struct Times {
    monotonic: Instant,
    wall_ms: f64,
}

/// Clocks of a machine whose wall clock can be stepped.
#[derive(Debug)]
struct SteppedClock(Mutex<Times>);

impl TimeSource for SteppedClock {
    fn wall(&self) -> Duration {
        Duration::from_secs_f64(self.0.lock().unwrap().wall_ms / 1e3)
    }

    fn monotonic(&self) -> Instant {
        self.0.lock().unwrap().monotonic
    }
}

/// The clocks of the node's machine, and the wall clock by which servers stamp their starts.
struct Machines {
    node: &'static SteppedClock,
    clock: Clock,
    server_wall_ms: f64,
}

impl Machines {
    fn new() -> Self {
        let times = Times { monotonic: Instant::now(), wall_ms: EPOCH_MS };
        let node: &'static SteppedClock = Box::leak(Box::new(SteppedClock(Mutex::new(times))));
        Machines { node, clock: Clock::with_source(node), server_wall_ms: EPOCH_MS }
    }

    /// Advances all clocks.
    fn run(&mut self, seconds: f64) {
        let mut times = self.node.0.lock().unwrap();
        times.monotonic += Duration::from_secs_f64(seconds);
        times.wall_ms += seconds * 1e3;
        self.server_wall_ms += seconds * 1e3;
    }

    fn step_node(&mut self, seconds: f64) {
        self.node.0.lock().unwrap().wall_ms += seconds * 1e3;
    }

    fn step_all(&mut self, seconds: f64) {
        self.step_node(seconds);
        self.server_wall_ms += seconds * 1e3;
    }

    fn now(&self) -> Seconds {
        self.clock.at(self.node.monotonic())
    }

    /// Converts the starts of servers through a list, as the balancer receives them.
    fn list(&self, starts_ms: &[f64]) -> Vec<Seconds> {
        let member = |(n, since): (usize, &f64)| {
            format!(r#"{{"id":"s-{n}","host_port":"127.0.0.1:9","phase":"ready","up_since_ms":{since}}}"#)
        };
        let members: Vec<String> = starts_ms.iter().enumerate().map(member).collect();
        let list = format!(r#"{{"revision":1,"complete":true,"members":[{}]}}"#, members.join(","));
        let roster = Roster::from_json(list.as_bytes(), &self.clock).unwrap();
        roster.members.into_iter().map(|member| member.entry.started.unwrap()).collect()
    }

    /// Converts the start of one server.
    fn started(&self, up_since_ms: f64) -> Seconds {
        self.list(&[up_since_ms])[0]
    }
}

#[test]
fn the_same_start_always_converts_to_the_same_time() {
    let clock = Clock::start();
    let server = ServerId("s".into());
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1e3;
    let first = clock.read_list().started(&server, now - 5000.0);
    assert_eq!(first, clock.read_list().started(&server, now - 5000.0));
    assert!((first + 5.0).abs() < 1.0);
}

#[test]
fn without_a_step_starts_convert_by_the_wall_clock_of_the_process_start() {
    // Changes of the wall clock within the tolerance have no effect.
    for slewed_ms in [0.0, TOLERANCE_MS - 1.0, 1.0 - TOLERANCE_MS] {
        let mut machines = Machines::new();
        machines.run(100.0);
        machines.step_node(slewed_ms / 1e3);
        for age_ms in [5.0, 400.0, 8_000.0, 99_999.0, 7_200_000.0] {
            let up_since_ms = EPOCH_MS + 100_000.0 - age_ms;
            assert_eq!(machines.started(up_since_ms), (up_since_ms - EPOCH_MS) / 1e3, "{age_ms}");
        }
    }
}

#[test]
fn an_earlier_start_named_again_by_an_older_list_is_not_a_new_one() {
    let mut machines = Machines::new();
    let first = machines.started(EPOCH_MS - 60_000.0);
    machines.run(10.0);
    machines.step_all(-3600.0);
    let second_ms = machines.server_wall_ms;
    let second = machines.started(second_ms);
    machines.run(1.0);
    assert_eq!(machines.started(EPOCH_MS - 60_000.0), first);
    assert_eq!(machines.started(second_ms), second);
}

#[test]
fn a_start_after_a_step_of_all_clocks_converts_correctly() {
    for step_s in STEPS_S {
        for known in [true, false] {
            let mut machines = Machines::new();
            if known {
                machines.started(EPOCH_MS - 1_000.0);
            }
            machines.run(100.0);
            machines.step_all(step_s);
            machines.run(2.0);
            let up_since_ms = machines.server_wall_ms;
            let started_at = machines.now();
            machines.run(0.5);
            let started = machines.started(up_since_ms);
            assert!(started >= started_at - 1e-6 && started <= machines.now(), "{step_s}: {started}");
            machines.run(3600.0);
            assert_eq!(machines.started(up_since_ms), started, "{step_s}: the server warms up once");
        }
    }
}

#[test]
fn a_start_after_a_step_of_this_machines_clock_converts_correctly() {
    for step_s in STEPS_S {
        let mut machines = Machines::new();
        machines.run(100.0);
        machines.step_node(step_s);
        let up_since_ms = machines.server_wall_ms;
        let started_at = machines.now();
        machines.run(0.5);
        let started = machines.started(up_since_ms);
        assert!(started >= started_at - 1e-6 && started <= machines.now(), "{step_s}: {started}");
    }
}

#[test]
fn a_step_does_not_look_like_a_restart() {
    let ages_s = [0.2, 1.0, 10.0, 1800.0, 86_400.0];
    for step_s in STEPS_S {
        let mut machines = Machines::new();
        machines.run(100.0);
        let starts: Vec<f64> = ages_s.iter().map(|age| machines.server_wall_ms - age * 1e3).collect();
        let before = machines.list(&starts);
        machines.step_all(step_s);
        assert_eq!(machines.list(&starts), before, "{step_s}");
        machines.run(30.0);
        assert_eq!(machines.list(&starts), before, "{step_s}");
        machines.step_all(-step_s);
        assert_eq!(machines.list(&starts), before, "{step_s} and back");
    }
}

#[test]
fn a_restart_after_a_step_back_is_later_than_the_earlier_start() {
    let mut machines = Machines::new();
    machines.run(100.0);
    let first = machines.started(machines.server_wall_ms - 50.0);
    // The servers' clocks and this machine's are stepped back by different amounts.
    machines.server_wall_ms -= 3_600_000.0;
    machines.step_node(-2.0);
    machines.run(20.0);
    let second = machines.started(machines.server_wall_ms - 50.0);
    assert!(second > first && second <= machines.now(), "{first}, {second}");
}

#[test]
fn in_the_first_list_old_servers_are_warm_and_no_start_is_in_the_future() {
    // The wall clock was stepped before the process started, so listed starts may be ahead of it.
    let machines = Machines::new();
    let starts = [-86_400.0, -600.0, -8.0, 0.0, 5.0, 3600.0].map(|at_s| EPOCH_MS + at_s * 1e3);
    assert_eq!(machines.list(&starts), [-86_400.0, -600.0, -8.0, 0.0, 0.0, 0.0]);
}

#[test]
fn old_servers_first_listed_after_a_step_are_warm() {
    let mut machines = Machines::new();
    machines.run(10.0);
    machines.step_all(-60.0);
    machines.run(10.0);
    let started = machines.started(machines.server_wall_ms - 600_000.0);
    assert!(started <= -500.0, "{started}");
}

#[test]
fn starts_of_servers_that_left_are_forgotten_beyond_a_limit() {
    let mut machines = Machines::new();
    for round in 0..3 {
        let ids: Vec<ServerId> = (0..5000).map(|n| ServerId(format!("{round}-{n}").into())).collect();
        let mut reading = machines.clock.read_list();
        for id in &ids {
            reading.started(id, EPOCH_MS);
        }
        reading.complete(ids.iter());
        drop(reading);
        machines.run(1.0);
    }
    assert_eq!(machines.clock.start_times.lock().unwrap().remembered(), 5000);
}

/// Reproducible pseudo-random numbers (splitmix64).
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    /// A step of up to an hour, or of a few seconds.
    fn step_s(&mut self) -> f64 {
        let most = [3600, 9][self.below(2) as usize];
        self.below(2 * most + 1) as f64 - most as f64
    }
}

/// After random events, with a list after each: no server appears older than it is, no start is in the future, and each
/// start is converted once.
#[test]
fn no_server_appears_older_than_it_is() {
    const SERVERS: usize = 3;
    for seed in 0..2000 {
        let mut random = Random(seed);
        let mut machines = Machines::new();
        let mut starts = [EPOCH_MS - 5_000.0; SERVERS];
        let mut actual_starts = [-5.0; SERVERS];
        let mut listed = machines.list(&starts);
        for _ in 0..30 {
            let mut restarted = None;
            match random.below(3) {
                0 => machines.run(random.below(20_000) as f64 / 1e3),
                // Even seeds step all machines together, odd ones only the node's.
                1 if seed % 2 == 0 => machines.step_all(random.step_s()),
                1 => machines.step_node(random.step_s()),
                _ => {
                    let server = random.below(SERVERS as u64) as usize;
                    machines.run(0.3);
                    starts[server] = machines.server_wall_ms;
                    actual_starts[server] = machines.now();
                    restarted = Some(server);
                }
            }
            let list = machines.list(&starts);
            for server in 0..SERVERS {
                let what = format!(
                    "seed {seed}, server {server}: {}, actual {}",
                    list[server], actual_starts[server]
                );
                assert!(list[server] >= actual_starts[server] - 1e-3, "{what}");
                assert!(list[server] <= machines.now(), "{what}");
                assert!(restarted == Some(server) || list[server] == listed[server], "{what}");
            }
            listed = list;
        }
    }
}

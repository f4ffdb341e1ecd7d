//! Timeouts over a range of settings: whatever a call waits for, the next one returns the list in time.

use super::super::timeouts::CallTimeouts;
use super::*;

/// Longest backoff of the balancer, over several seeds, after this many failures in a row.
fn longest_backoff(settings: &Settings, failures: usize) -> Duration {
    let longest = |seed| {
        let mut balancer = Balancer::new(settings.clone(), seed).expect("good settings");
        let mut actions = Vec::new();
        let mut now = 0.0;
        let mut waited = 0.0;
        balancer.handle(now, Event::Endpoints(EndpointUpdate::Cached(Vec::new())), &mut actions);
        for _ in 0..failures {
            let failed = now;
            actions.clear();
            balancer.handle(now, Event::Endpoints(EndpointUpdate::Failed), &mut actions);
            while !actions.iter().any(|action| matches!(action, Action::Subscribe)) {
                now += 0.05;
                balancer.handle(now, Event::Timer(TimerToken(0)), &mut actions);
            }
            waited = now - failed;
        }
        waited
    };
    Duration::from_secs_f64((0..40).map(longest).fold(0.0, f64::max))
}

#[test]
fn a_polled_list_arrives_before_it_counts_as_known_whatever_a_call_waits_for() {
    for ask_every in [0.75, 1.0, 1.2, 1.5, 2.0, 10.0, 60.0] {
        let settings = polled(ask_every);
        let CallTimeouts { full_list, watch_wait, watch_grace, .. } = CallTimeouts::of(&settings);
        let known_after = (4 * Duration::from_secs_f64(ask_every)).min(6 * SECOND);
        let (first, later) = (longest_backoff(&settings, 1), longest_backoff(&settings, 9));
        // A call that hangs, the backoff, and a call that succeeds at its timeout.
        assert!(
            full_list + later + full_list < known_after,
            "every {ask_every} s: {full_list:?}, {later:?}, {full_list:?}"
        );
        assert!(full_list > SECOND, "every {ask_every} s: discovery may take a second, not {full_list:?}");
        // A silent watch, at any time after a failed call, and an answer that takes a second.
        let silent = watch_wait + watch_grace + first + SECOND;
        assert!(silent < known_after, "every {ask_every} s: {silent:?} after a watch began");
    }
}

#[test]
fn a_pushed_list_is_polled_again_within_seven_tenths_of_the_drain_grace() {
    for grace in [0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 5.0] {
        let CallTimeouts { full_list, watch_wait, watch_grace, max_backoff, .. } =
            CallTimeouts::of(&pushed(grace));
        let hung = full_list.max(watch_wait + watch_grace);
        let by = Duration::from_secs_f64(grace) * 7 / 10;
        assert!(hung + max_backoff <= by, "{grace} s: {hung:?}, {max_backoff:?}");
    }
}

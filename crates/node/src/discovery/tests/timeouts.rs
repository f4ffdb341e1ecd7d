//! Whatever a call waits for, the next one has brought the list in time: over all deployments that the settings name.

use super::super::manner::Manner;
use super::*;

/// The longest that the balancer waits after so many failures in a row, up to its next call.
fn reask(settings: &Settings, failures: usize) -> Duration {
    let longest = |seed| {
        let mut balancer = Balancer::new(settings.clone(), seed).expect("good settings");
        let mut actions = Vec::new();
        let mut now = 0.0;
        let mut waited = 0.0;
        balancer.handle(now, Event::Roster(RosterNews::Cached(Vec::new())), &mut actions);
        for _ in 0..failures {
            let failed = now;
            actions.clear();
            balancer.handle(now, Event::Roster(RosterNews::Failed), &mut actions);
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
fn an_asked_list_is_had_before_it_counts_whatever_a_call_waits_for() {
    for ask_every in [0.75, 1.0, 1.2, 1.5, 2.0, 10.0, 60.0] {
        let settings = asked(ask_every);
        let Manner { whole, wait, late, .. } = Manner::of(&settings);
        let told = (4 * Duration::from_secs_f64(ask_every)).min(6 * SECOND);
        let (first, later) = (reask(&settings, 1), reask(&settings, 9));
        // One that hangs, the wait, and one that only just succeeds.
        assert!(whole + later + whole < told, "every {ask_every} s: {whole:?}, {later:?}, {whole:?}");
        assert!(whole > SECOND, "every {ask_every} s: discovery may take a second, not {whole:?}");
        // A silent watch, at whatever moment after a failed call, and an answer that takes a second.
        let silent = wait + late + first + SECOND;
        assert!(silent < told, "every {ask_every} s: {silent:?} after a watch began");
    }
}

#[test]
fn a_pushed_list_is_had_in_seven_tenths_of_the_time_that_a_drain_leaves() {
    for grace in [0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 5.0] {
        let Manner { whole, wait, late, max_backoff, .. } = Manner::of(&pushed(grace));
        let hung = whole.max(wait + late);
        let by = Duration::from_secs_f64(grace) * 7 / 10;
        assert!(hung + max_backoff <= by, "{grace} s: {hung:?}, {max_backoff:?}");
    }
}

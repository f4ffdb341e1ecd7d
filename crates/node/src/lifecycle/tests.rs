//! Transitions of the lifecycle state, and when idle connections are closed.

use super::*;

#[test]
fn a_resume_undoes_a_drain_and_repeated_calls_change_nothing() {
    let lifecycle = Lifecycle::new();
    assert_eq!(lifecycle.state(), LifecycleState::Starting);
    lifecycle.drain().unwrap();
    let since = lifecycle.phase().since;
    lifecycle.drain().unwrap();
    assert_eq!((lifecycle.state(), lifecycle.phase().since), (LifecycleState::Draining, since));
    assert_eq!(lifecycle.phase().draining_since(), Some(since));
    lifecycle.resume().unwrap();
    assert_eq!(lifecycle.state(), LifecycleState::Starting, "no server was known before the drain");
    lifecycle.drain().unwrap();
    lifecycle.mark_servers_known();
    assert_eq!(lifecycle.state(), LifecycleState::Draining, "a server that becomes known ends no drain");
    lifecycle.resume().unwrap();
    lifecycle.resume().unwrap();
    assert_eq!((lifecycle.state(), lifecycle.phase().draining_since()), (LifecycleState::Ready, None));
}

#[test]
fn a_stop_is_final() {
    let lifecycle = Lifecycle::new();
    lifecycle.mark_servers_known();
    let times = ShutdownTimes::of(Duration::from_secs(2));
    lifecycle.stop(false, times);
    let since = lifecycle.phase().since;
    lifecycle.stop(true, times);
    assert_eq!((lifecycle.drain(), lifecycle.resume()), (Err(AlreadyStopping), Err(AlreadyStopping)));
    lifecycle.mark_servers_known();
    assert_eq!((lifecycle.state(), lifecycle.phase().since), (LifecycleState::Stopping, since));
    assert!(!lifecycle.phase().has_successor);
}

/// A drain and a takeover use the drain's delay; a stop uses the time that the platform leaves before the kill.
#[test]
fn the_delay_before_closing_depends_on_drain_stop_or_takeover() {
    let times = ShutdownTimes::of(Duration::from_secs(2));
    let after = |lifecycle: &Lifecycle| lifecycle.phase().close_idle_at().unwrap() - lifecycle.phase().since;
    let lifecycle = Lifecycle::new();
    assert_eq!(lifecycle.phase().close_idle_at(), None);
    lifecycle.drain().unwrap();
    assert_eq!((after(&lifecycle), lifecycle.phase().answer_deadline), (DRAIN_CLOSE_AFTER, None));
    lifecycle.stop(false, times);
    assert_eq!(after(&lifecycle), times.close_idle_after);
    assert_eq!(lifecycle.phase().answer_deadline, Some(lifecycle.phase().since + times.finish_after));
    let lifecycle = Lifecycle::new();
    lifecycle.stop(true, times);
    assert_eq!(after(&lifecycle), DRAIN_CLOSE_AFTER);
    assert_eq!(lifecycle.phase().answer_deadline, Some(lifecycle.phase().since + times.finish_after));
}

/// With a successor serving, idle connections are closed later, but well before the kill: a client that sends its next
/// request only then must not lose its connection and the request.
#[test]
fn a_process_with_a_successor_closes_idle_connections_before_the_kill() {
    let ms = Duration::from_millis;
    for longest in [100, 250, 480, 1000, 3000, 9000] {
        let (lifecycle, times) = (Lifecycle::new(), ShutdownTimes::of(ms(longest)));
        lifecycle.stop(true, times);
        let after = lifecycle.phase().close_idle_at().unwrap() - lifecycle.phase().since;
        let kill = ms(longest.min(3000) + 700);
        assert!(
            after + ms(longest.min(3000) / 2) < kill,
            "{longest} ms: closes after {after:?}, kill {kill:?}"
        );
        assert!((times.close_idle_after..=DRAIN_CLOSE_AFTER).contains(&after), "{longest} ms: {after:?}");
    }
}

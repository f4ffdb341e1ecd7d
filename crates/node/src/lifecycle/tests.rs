//! What turns the state, and when connections part.

use super::*;

#[test]
fn a_drain_is_undone_wholly_and_repetitions_change_nothing() {
    let life = Lifecycle::new();
    assert_eq!(life.state(), State::Starting);
    life.drain().unwrap();
    let since = life.phase().since;
    life.drain().unwrap();
    assert_eq!((life.state(), life.phase().since), (State::Draining, since));
    assert_eq!(life.phase().sent_away(), Some(since));
    life.resume().unwrap();
    assert_eq!(life.state(), State::Starting, "nothing was known before the drain");
    life.drain().unwrap();
    life.can_serve();
    assert_eq!(life.state(), State::Draining, "a server that becomes known ends no drain");
    life.resume().unwrap();
    life.resume().unwrap();
    assert_eq!((life.state(), life.phase().sent_away()), (State::Ready, None));
}

#[test]
fn a_stop_is_final() {
    let life = Lifecycle::new();
    life.can_serve();
    let times = Stop::of(Duration::from_secs(2));
    life.stop(false, times);
    let since = life.phase().since;
    life.stop(true, times);
    assert_eq!((life.drain(), life.resume()), (Err(AlreadyStopping), Err(AlreadyStopping)));
    life.can_serve();
    assert_eq!((life.state(), life.phase().since), (State::Stopping, since));
    assert!(!life.phase().relieved);
}

/// A drain and a takeover keep their time; a stop ends in the time that the platform leaves.
#[test]
fn connections_part_by_what_sends_their_clients_away() {
    let times = Stop::of(Duration::from_secs(2));
    let after = |life: &Lifecycle| life.phase().parts().unwrap() - life.phase().since;
    let life = Lifecycle::new();
    assert_eq!(life.phase().parts(), None);
    life.drain().unwrap();
    assert_eq!((after(&life), life.phase().ends), (DRAIN_PARTS_AFTER, None));
    life.stop(false, times);
    assert_eq!(after(&life), times.part_after);
    assert_eq!(life.phase().ends, Some(life.phase().since + times.end_after));
    let life = Lifecycle::new();
    life.stop(true, times);
    assert_eq!(after(&life), DRAIN_PARTS_AFTER);
    assert_eq!(life.phase().ends, Some(life.phase().since + times.end_after));
}

/// Where a successor serves, kept connections part later, but never so late that the kill comes first: a client that
/// rests until then would be cut off, and what it asked with it.
#[test]
fn a_relieved_process_parts_from_its_clients_before_the_kill() {
    let ms = Duration::from_millis;
    for longest in [100, 250, 480, 1000, 3000, 9000] {
        let (life, times) = (Lifecycle::new(), Stop::of(ms(longest)));
        life.stop(true, times);
        let after = life.phase().parts().unwrap() - life.phase().since;
        let kill = ms(longest.min(3000) + 700);
        assert!(
            after + ms(longest.min(3000) / 2) < kill,
            "{longest} ms: parts after {after:?}, kill {kill:?}"
        );
        assert!((times.part_after..=DRAIN_PARTS_AFTER).contains(&after), "{longest} ms: {after:?}");
    }
}

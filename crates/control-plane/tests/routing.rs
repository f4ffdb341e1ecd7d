//! Routing of datagrams to state machines, and that each datagram is counted exactly once.

use std::time::Duration;

use hallpin_control_plane::{DatagramFilter, Plane, PlaneEvent, PlaneOutput, Rate};
use hallpin_membership::envelope::{Envelope, Kind, Rejection, MAX_DATAGRAM, MAX_PAYLOAD};
use hallpin_membership::machine::{Output, StateMachine};
use hallpin_membership::names::{Incarnation, Moment, NodeId, NodeIncarnation, ZoneId};
use hallpin_membership::view::View;
use hallpin_membership::{Peers, PeersConfig};
use proptest::prelude::*;

const REALM: u32 = 7;
const NOW: Moment = Duration::from_secs(1);

/// Records the payloads that it receives. A payload byte `count` makes it send that many payloads to node 1; 0 is an
/// error.
struct RecordingMachine<const KIND: u8> {
    ticks: u32,
    out: Vec<Output<(NodeIncarnation, u8)>>,
}

fn recording_machine<const KIND: u8>() -> RecordingMachine<KIND> {
    RecordingMachine { ticks: 0, out: Vec::new() }
}

impl<const KIND: u8> StateMachine for RecordingMachine<KIND> {
    type Event = (NodeIncarnation, u8);
    const KIND: Kind = if KIND == 2 { Kind::Placement } else { Kind::Quota };

    fn receive(
        &mut self,
        _: Moment,
        _: &View,
        from: NodeIncarnation,
        payload: &[u8],
    ) -> Result<(), Rejection> {
        let count = *payload.first().filter(|count| **count > 0).ok_or(Rejection::Payload)?;
        self.out.push(Output::Event((from, count)));
        let send = |_| Output::Send { to: NodeId(1), payload: vec![count] };
        self.out.extend((0..count).map(send));
        Ok(())
    }

    fn tick(&mut self, _: Moment, _: &View) {
        self.ticks += 1;
    }

    fn due(&self) -> Option<Moment> {
        None
    }

    fn take_outputs(&mut self) -> Vec<Output<(NodeIncarnation, u8)>> {
        std::mem::take(&mut self.out)
    }
}

type TestPlane = Plane<RecordingMachine<2>, RecordingMachine<3>>;

fn life(node: u16, incarnation: u64) -> NodeIncarnation {
    NodeIncarnation { node: NodeId(node), incarnation: Incarnation(incarnation) }
}

/// Node 0 of three; `placement` and `budgets` say which machines are on.
fn plane(placement: bool, budgets: bool, rate: Rate) -> TestPlane {
    let filter = DatagramFilter { realm: REALM, this: life(0, 9), configured: 3 };
    let peers = Peers::new(PeersConfig::new(filter.this, ZoneId(0), 3), 1, NOW, &[]).unwrap();
    Plane::new(filter, rate, NOW, peers, placement.then(recording_machine), budgets.then(recording_machine))
}

const HIGH_RATE: Rate = Rate { per_second: 1000, burst: 500 };

fn datagram(kind: Kind, from: NodeIncarnation, to: u16, payload: &[u8]) -> Vec<u8> {
    let to = NodeId(to);
    Envelope { realm: REALM, kind, from, to, payload: payload.into() }.encode().unwrap()
}

/// Outputs of placement and budgets: events with the machine's kind, and the number of datagrams.
fn take_outputs(plane: &mut TestPlane, now: Moment) -> (Vec<(Kind, NodeIncarnation)>, usize) {
    let (mut events, mut sent) = (Vec::new(), 0);
    for output in plane.take(now) {
        match output {
            PlaneOutput::Event(PlaneEvent::Placement((from, _))) => events.push((Kind::Placement, from)),
            PlaneOutput::Event(PlaneEvent::Budgets((from, _))) => events.push((Kind::Quota, from)),
            PlaneOutput::Event(PlaneEvent::Peers(_)) => {}
            PlaneOutput::Datagram { to, bytes } => {
                assert!(bytes.len() <= MAX_DATAGRAM && to != NodeId(0));
                let kind = Envelope::decode(&bytes).unwrap().kind;
                sent += usize::from(kind != Kind::Peers);
            }
        }
    }
    (events, sent)
}

#[test]
fn a_payload_reaches_the_machine_of_its_kind_and_no_other() {
    let mut plane = plane(true, true, HIGH_RATE);
    for kind in [Kind::Placement, Kind::Quota] {
        plane.receive(NOW, Some(NodeId(1)), &datagram(kind, life(1, 5), 0, &[2])).unwrap();
        assert_eq!(take_outputs(&mut plane, NOW), (vec![(kind, life(1, 5))], 2));
    }
    let counters = plane.counters();
    assert_eq!((counters.received, counters.refused().count()), (2, 0));
}

#[test]
fn datagrams_not_from_a_peer_to_this_node_are_refused_and_change_nothing() {
    let good = datagram(Kind::Placement, life(1, 5), 0, &[1]);
    let other_realm = {
        let mut envelope = Envelope::decode(&good).unwrap();
        envelope.realm += 1;
        envelope.encode().unwrap()
    };
    let mut garbled = good.clone();
    *garbled.last_mut().unwrap() ^= 1;
    let mut newer_version = good.clone();
    newer_version[2] += 1;
    let long = vec![0; MAX_DATAGRAM + 1];
    let from = |node| datagram(Kind::Placement, life(node, 9), 0, &[1]);
    let one = Some(NodeId(1));
    let cases = [
        (one, other_realm, Rejection::Realm),
        (None, good.clone(), Rejection::UnknownPeer),
        (Some(NodeId(2)), good.clone(), Rejection::UnknownPeer),
        (Some(NodeId(0)), from(0), Rejection::UnknownPeer),
        (Some(NodeId(3)), from(3), Rejection::UnknownPeer),
        (one, datagram(Kind::Placement, life(1, 5), 2, &[1]), Rejection::UnknownPeer),
        (one, datagram(Kind::Placement, life(1, 5), 0, &[0]), Rejection::Payload),
        (one, datagram(Kind::Quota, life(1, 5), 0, &[1]), Rejection::Kind),
        (one, garbled, Rejection::Corrupt),
        (one, newer_version, Rejection::Version),
        (one, long, Rejection::TooLong),
        (one, good[..9].into(), Rejection::Truncated),
        (one, vec![0; 100], Rejection::Foreign),
    ];
    for (sender, bytes, cause) in cases {
        let mut plane = plane(true, false, HIGH_RATE);
        assert_eq!(plane.receive(NOW, sender, &bytes), Err(cause));
        assert_eq!(take_outputs(&mut plane, NOW), (vec![], 0), "{cause}");
        assert_eq!(plane.counters().refused().collect::<Vec<_>>(), [(cause, 1)]);
        assert_eq!(plane.view().members.len(), 1, "{cause}: the view is unchanged");
    }
}

/// A late datagram of an earlier incarnation must not reach a machine once a newer incarnation is known.
#[test]
fn datagrams_of_an_earlier_incarnation_are_refused_once_a_newer_one_is_known() {
    let mut receiver = plane(true, true, HIGH_RATE);
    let mut restarted = TestPlane::new(
        DatagramFilter { realm: REALM, this: life(1, 6), configured: 3 },
        HIGH_RATE,
        NOW,
        Peers::new(PeersConfig::new(life(1, 6), ZoneId(0), 3), 2, NOW, &[]).unwrap(),
        None,
        None,
    );
    let message = |incarnation| datagram(Kind::Quota, life(1, incarnation), 0, &[1]);
    assert_eq!(receiver.receive(NOW, Some(NodeId(1)), &message(5)), Ok(()));
    // The newer incarnation becomes known by its own pings.
    let mut now = NOW;
    while receiver.view().incarnation(NodeId(1)).is_none() {
        now = restarted.due().unwrap().max(now);
        assert!(now < NOW + Duration::from_secs(10), "the newer incarnation never became known");
        restarted.tick(now);
        for output in restarted.take(now) {
            if let PlaneOutput::Datagram { to: NodeId(0), bytes } = output {
                receiver.receive(now, Some(NodeId(1)), &bytes).unwrap();
            }
        }
    }
    assert_eq!(receiver.view().incarnation(NodeId(1)), Some(Incarnation(6)));
    assert_eq!(receiver.receive(now, Some(NodeId(1)), &message(5)), Err(Rejection::UnknownPeer));
    assert_eq!(receiver.receive(now, Some(NodeId(1)), &message(6)), Ok(()));
}

/// Datagrams beyond the rate limit are dropped and counted, whatever the machines send; events are never dropped.
#[test]
fn sent_datagrams_are_rate_limited_and_the_others_are_counted() {
    let mut plane = plane(true, true, Rate { per_second: 100, burst: 50 });
    let (mut sent, mut events) = (0, 0);
    for ms in (0..1000).step_by(100) {
        let now = NOW + Duration::from_millis(ms);
        for kind in [Kind::Placement, Kind::Quota] {
            plane.receive(now, Some(NodeId(1)), &datagram(kind, life(1, 5), 0, &[200])).unwrap();
        }
        let (new_events, datagrams) = take_outputs(&mut plane, now);
        (sent, events) = (sent + datagrams as u64, events + new_events.len());
    }
    let counters = plane.counters();
    assert_eq!(events, 20);
    assert!(counters.sent <= 50 + 100 && sent <= counters.sent, "{counters:?}");
    assert!(counters.sent >= 100, "the rate is reached: {counters:?}");
    assert!(counters.held_back + counters.sent >= 20 * 200, "{counters:?}");
}

/// A bug in a state machine has no effect beyond a counter.
#[test]
fn an_unsendable_payload_is_dropped_and_counted() {
    let mut plane = plane(true, false, HIGH_RATE);
    let placement = plane.placement().unwrap();
    placement.out.push(Output::Send { to: NodeId(1), payload: vec![0; MAX_PAYLOAD + 1] });
    placement.out.push(Output::Send { to: NodeId(0), payload: vec![] });
    placement.out.push(Output::Send { to: NodeId(3), payload: vec![] });
    assert_eq!(take_outputs(&mut plane, NOW), (vec![], 0));
    assert_eq!(plane.counters().unsendable, 3);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]
    /// Arbitrary bytes neither panic nor reach a machine, and are counted once each.
    #[test]
    fn any_bytes_are_refused_and_counted(bytes in prop::collection::vec(any::<u8>(), 0..300), by in 0..4u16) {
        let mut plane = plane(true, true, HIGH_RATE);
        prop_assert!(plane.receive(NOW, Some(NodeId(by)), &bytes).is_err());
        prop_assert_eq!(plane.counters().refused().map(|(_, count)| count).sum::<u64>(), 1);
        prop_assert_eq!(take_outputs(&mut plane, NOW), (vec![], 0));
    }
}

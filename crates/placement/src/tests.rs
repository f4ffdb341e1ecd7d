//! Tests of the codec, of pages and of tables, partly with random input: input from any sender is bounded, and invalid
//! input changes nothing.

use hallpin_membership::envelope::MAX_PAYLOAD;
use hallpin_membership::machine::StateMachine;
use hallpin_membership::names::{Incarnation, Moment, NodeId, NodeIncarnation, ZoneId};
use hallpin_membership::view::View;
use proptest::collection::{btree_map, vec};
use proptest::prelude::*;

use crate::events::Outbox;
use crate::fetch::{pages_for, Fetch};
use crate::message::{decode, encode, Announcement, Grant, Message, Page, PageRequest, Report};
use crate::pages::{apply, changes, pack};
use crate::placement::Payload;
use crate::table::{is_sound, Array, TableEntry, TableHeader, TableId, MAX_SERVER};
use crate::{Placement, PlacementConfig};

fn entries() -> impl Strategy<Value = Vec<TableEntry>> {
    let entry = |(server, weight_milli)| TableEntry { server, weight_milli };
    btree_map("[a-h]{1,64}", any::<u32>(), 0..60).prop_map(move |all| all.into_iter().map(entry).collect())
}

fn placement_and_view() -> (Placement, View) {
    let this = NodeIncarnation { node: NodeId(0), incarnation: Incarnation(7) };
    let config = PlacementConfig::with_lease(this, ZoneId(0), 2, 3, Moment::from_secs(2), 20_000);
    let placement = Placement::new(config, None, Moment::ZERO, 1).unwrap();
    (placement, View::alone(this, ZoneId(0), 3, Moment::ZERO))
}

#[test]
fn the_longest_message_of_each_kind_fits() {
    let id = TableId { epoch: u64::MAX, version: u64::MAX };
    let header = Some(TableHeader { id, revision: u64::MAX, digest: u64::MAX });
    let (epoch, number, stamp) = (u64::MAX, u64::MAX, u64::MAX);
    let report = Report {
        epoch,
        number,
        stamp,
        base: header,
        prepared: header,
        leased: true,
        list: Some((number, number)),
    };
    let grant = Some(Grant { incarnation: u64::MAX, stamp });
    let announcement =
        Announcement { epoch, number, history_known: true, decided: header, preparing: header, grant };
    let long = |n: u32| TableEntry {
        server: format!("{n:0width$}", width = MAX_SERVER),
        weight_milli: u32::MAX - n,
    };
    let short = |n: u32| TableEntry { server: format!("{n}"), weight_milli: n };
    let pages = [(0..50).map(long).collect::<Vec<_>>(), (0..500).map(short).collect()].map(|entries| {
        let pages = pack(changes(&[], &entries)).into_iter();
        pages.map(|changes| {
            Message::Page(Page { target: epoch, base: epoch, index: u16::MAX, of: u16::MAX, changes })
        })
    });
    for message in [Message::Report(report), Message::Announcement(announcement)]
        .into_iter()
        .chain(pages.into_iter().flatten())
    {
        assert!(encode(&Payload::Tables(message.clone())).is_some(), "{message:?}");
    }
}

#[test]
fn an_implausible_announcement_does_not_shut_out_the_coordinator() {
    let (placement, _) = placement_and_view();
    let from = |node| NodeIncarnation { node: NodeId(node), incarnation: Incarnation(1) };
    let announcement = |epoch, header: Option<u64>| {
        let header =
            header.map(|epoch| TableHeader { id: TableId { epoch, version: 1 }, revision: 1, digest: 1 });
        Announcement { epoch, number: 1, history_known: true, decided: header, preparing: None, grant: None }
    };
    let mut replica = placement.protocol.replica.clone();
    for (epoch, header) in [(u64::MAX, None), (9, Some(10))] {
        assert!(!replica.on_announcement(
            &placement.protocol.config,
            Moment::ZERO,
            from(1),
            &announcement(epoch, header)
        ));
    }
    assert!(replica.on_announcement(
        &placement.protocol.config,
        Moment::ZERO,
        from(2),
        &announcement(9, Some(9))
    ));
}

#[test]
fn a_lease_counts_from_the_report_and_for_its_incarnation_only() {
    let (placement, _) = placement_and_view();
    let config = &placement.protocol.config;
    let second = Moment::from_secs(1);
    let leased = |incarnation, reported_at: Moment, now| {
        let grant = Some(Grant { incarnation, stamp: reported_at.as_micros() as u64 });
        let announcement =
            Announcement { epoch: 9, number: 1, history_known: true, decided: None, preparing: None, grant };
        let mut replica = placement.protocol.replica.clone();
        replica.on_announcement(
            config,
            now,
            NodeIncarnation { node: NodeId(1), incarnation: Incarnation(1) },
            &announcement,
        );
        replica.is_leased(now)
    };
    assert!(leased(7, second, second * 2));
    assert!(!leased(6, second, second * 2), "for an earlier incarnation");
    assert!(!leased(7, second, second * 3), "expires two seconds, less 2%, after the report");
    assert!(!leased(7, second * 2, second), "for a report from the future");
}

#[test]
fn a_report_to_another_coordinator_is_ignored() {
    let (placement, view) = placement_and_view();
    let mut protocol = placement.protocol;
    protocol.set_endpoint_list(Moment::ZERO, 1, vec![TableEntry { server: "box".into(), weight_milli: 1 }]);
    let mut recovers_at_epoch = |epoch| {
        let mut out = Outbox::default();
        protocol.tick(Moment::from_secs(epoch), Some(3), &view, &mut out);
        for node in 1..3 {
            let from = NodeIncarnation { node: NodeId(node), incarnation: Incarnation(1) };
            let report = Report {
                epoch,
                number: epoch,
                stamp: 0,
                base: None,
                prepared: None,
                leased: false,
                list: None,
            };
            protocol.receive(
                Moment::from_secs(epoch),
                Some(3),
                &view,
                from,
                Message::Report(report),
                &mut out,
            );
        }
        protocol.tick(Moment::from_secs(epoch) * 6 / 5, Some(3), &view, &mut out);
        let has_recovered =
            |message: &Message| matches!(message, Message::Announcement(sent) if sent.history_known);
        out.sends.iter().any(|(_, message)| has_recovered(message))
    };
    assert!(!recovers_at_epoch(2), "the nodes may have leases of the coordinator that they reported to");
    assert!(recovers_at_epoch(3));
}

#[test]
fn answers_to_a_flood_of_page_requests_are_bounded() {
    let (mut placement, view) = placement_and_view();
    placement.set_endpoint_list(
        Moment::ZERO,
        1,
        (0..999).map(|n| TableEntry { server: format!("{n:04}"), weight_milli: n }).collect(),
    );
    let digest = placement.protocol.replica.endpoint_list.as_ref().map(|(_, array)| array.digest).unwrap();
    let from = NodeIncarnation { node: NodeId(1), incarnation: Incarnation(1) };
    let request = PageRequest { target: digest, base: 0, first: 0, mask: u16::MAX };
    let request = encode(&Payload::Tables(Message::PageRequest(request))).unwrap();
    (0..1000).for_each(|_| placement.receive(Moment::ZERO, &view, from, &request).unwrap());
    assert_eq!(placement.take_outputs().len(), 32 * 16);
}

proptest! {
    #[test]
    fn arbitrary_payloads_are_harmless(payload in vec(any::<u8>(), 0..300), tag in 0u8..4, node in 0u16..5) {
        let (mut placement, view) = placement_and_view();
        let from = NodeIncarnation { node: NodeId(node), incarnation: Incarnation(1) };
        let mut with_valid_tag = vec![1, tag];
        with_valid_tag.extend(&payload);
        for payload in [payload, with_valid_tag] {
            let before = placement.clone();
            if placement.receive(Moment::from_secs(1), &view, from, &payload).is_err() {
                prop_assert_eq!(&placement, &before);
            }
            placement.tick(Moment::from_secs(1), &view);
            prop_assert!(placement.take_outputs().len() < 100);
            prop_assert!(placement.in_force().is_none());
        }
    }

    #[test]
    fn messages_round_trip_and_trailing_bytes_are_rejected(target: u64, base: u64, list in entries()) {
        let changes = pack(changes(&[], &list)).swap_remove(0);
        let message = Message::Page(Page { target, base, index: 0, of: 1, changes });
        let mut bytes = encode(&message).unwrap();
        prop_assert!(bytes.len() <= MAX_PAYLOAD);
        prop_assert_eq!(decode::<Message>(&bytes).unwrap(), message);
        bytes.push(0);
        prop_assert!(decode::<Message>(&bytes).is_err());
    }

    #[test]
    fn changes_turn_one_array_into_the_other(base in entries(), target in entries()) {
        let changes = changes(&base, &target);
        prop_assert_eq!(&apply(&base, changes.iter()), &target);
        prop_assert!(is_sound(&target));
    }

    #[test]
    fn a_fetch_completes_despite_corrupt_or_lost_pages(
        base in entries(), target in entries(), has_base: bool, lost in vec(any::<bool>(), 400), corrupt_page: bool,
    ) {
        let (base, target) = (Array::new(base), Array::new(target));
        let mut fetch = Fetch::new(target.digest, Some(base.clone()));
        let find_array = |digest| {
            let base = Some(&base).filter(|_| has_base);
            [Some(&target), base].into_iter().flatten().find(|array| array.digest == digest).cloned()
        };
        let mut lost = lost.into_iter();
        let mut fetched = None;
        for round in 0..60 {
            for mut page in pages_for(&fetch.next_request(), find_array) {
                if round == 0 && corrupt_page {
                    page.changes.truncate(page.changes.len() / 2);
                }
                if !lost.next().unwrap_or_default() && fetched.is_none() {
                    fetched = fetch.add_page(page, NodeId(1));
                }
            }
        }
        prop_assert_eq!(fetched, Some(target));
    }
}

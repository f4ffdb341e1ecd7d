//! Messages recorded before the types got their present names: their encoding must not change.

use hallpin_leader_lease::LeaseMessage;
use hallpin_membership::names::Incarnation;

#[test]
fn recorded_bytes_decode_to_the_same_messages_and_back() {
    let candidate = Incarnation(1_700_000_000_000);
    let recorded: [(LeaseMessage, &[u8]); 4] = [
        (LeaseMessage::VoteRequest { ballot: 300, round: 7, held: true }, &[0, 172, 2, 7, 1]),
        (
            LeaseMessage::Vote { candidate, ballot: 300, round: 7 },
            &[1, 128, 208, 149, 255, 188, 49, 172, 2, 7],
        ),
        (
            LeaseMessage::Refusal { candidate, ballot: 300, round: 7, voted: 301, left_ms: 2000 },
            &[2, 128, 208, 149, 255, 188, 49, 172, 2, 7, 173, 2, 208, 15],
        ),
        (LeaseMessage::Release { ballot: 300 }, &[3, 172, 2]),
    ];
    for (message, bytes) in recorded {
        assert_eq!(postcard::from_bytes::<LeaseMessage>(bytes).unwrap(), message);
        assert_eq!(postcard::to_stdvec(&message).unwrap(), bytes);
    }
}

//! Messages are decoded as they were encoded, at whichever byte the input is split, and invalid ones are rejected.

mod corrupt_replies;

use bytes::{Bytes, BytesMut};
use hallpin_balancer::{CacheNote, Key};
use std::time::Duration;

use super::*;
use crate::command::{INVALID_BLOCK, INVALID_LINE, LINE_TOO_LONG, UNKNOWN_COMMAND, VALUE_TOO_LARGE};

const GET: &str = "mg 7f3a v O9b1f Pc=read,t=acme,d=480,h=1500\r\n";
const SET: &str = "ms 7f3a 5 O9b1f Pc=put,t=acme,d=480,k=5c0f\r\nhello\r\n";

fn decode_one(text: &[u8]) -> Option<Input> {
    next_input(&mut BytesMut::from(text))
}

fn parse_valid(text: &str) -> Command {
    match decode_one(text.as_bytes()) {
        Some(Input::Command(command)) => *command,
        other => panic!("{text:?} gave {other:?}"),
    }
}

#[test]
fn commands_are_decoded_at_any_split() {
    let text = format!("{GET}{SET}mn\r\n");
    for cut in 0..text.len() {
        let mut buf = BytesMut::from(&text.as_bytes()[..cut]);
        let mut got = Vec::new();
        while let Some(input) = next_input(&mut buf) {
            got.push(input);
        }
        buf.extend_from_slice(&text.as_bytes()[cut..]);
        while let Some(input) = next_input(&mut buf) {
            got.push(input);
        }
        let expected = [
            Input::Command(Box::new(parse_valid(GET))),
            Input::Command(Box::new(parse_valid(SET))),
            Input::HealthCheck,
        ];
        assert_eq!(got, expected, "cut at {cut}");
        assert!(buf.is_empty());
    }
}

#[test]
fn a_command_is_forwarded_unchanged_except_for_d() {
    let wait = Duration::from_micros(77_900);
    assert_eq!(parse_valid(GET).encode_for_server(wait), GET.replace("d=480", "d=77").as_bytes());
    assert_eq!(parse_valid(SET).encode_for_server(wait), SET.replace("d=480", "d=77").as_bytes());
    assert_eq!(parse_valid(GET).work_hint, Some(Duration::from_micros(1500)));
    // A parameter whose name only ends in `d`, and a key that looks like the parameter, must stay unchanged.
    let lookalike = "mg d=480 v Od=480 Pbid=480,c=read,d=480\r\n";
    assert_eq!(
        parse_valid(lookalike).encode_for_server(wait),
        lookalike.replace("read,d=480", "read,d=77").as_bytes()
    );
}

#[test]
fn a_health_check_is_answered_by_one_complete_line() {
    let decode_health = |text: &str| next_health_check_answer(&mut BytesMut::from(text));
    assert_eq!(decode_health("MN\r\n"), Ok(Some(true)));
    assert_eq!(decode_health("MN Linflight=7\r\n"), Ok(Some(true)));
    assert_eq!(decode_health("SERVER_ERROR not ready\r\n"), Ok(Some(false)));
    assert_eq!(decode_health("MN\r"), Ok(None));
    for text in ["MNO\r\n", "MN\n", "\r\n", "VA 1 Oa\r\n"] {
        assert_eq!(decode_health(text), Err(Malformed), "{text:?}");
    }
}

#[test]
fn keys_have_a_fixed_hash() {
    assert_eq!(parse_valid(GET).key, parse_valid(SET).key);
    // Published test vectors of FNV-1a.
    assert_eq!(key_of(""), Key(0xcbf2_9ce4_8422_2325));
    assert_eq!(key_of("foobar"), Key(0x8594_4171_f739_67e8));
}

#[test]
fn invalid_commands_get_an_error_answer() {
    for line in [
        "mg",
        "mg ",
        "mg  v Oa Pc=r,d=1",
        "mg k v Oa",
        "mg k v Pc=r,d=1",
        "mg k Oa Pc=r,d=1",
        "mg k v Oa Pc=r",
        "mg k v Oa Pd=1",
        "mg k v Oa Pc=r,d=-1",
        "mg k v Oa Pc=r,d=99999999999",
        "mg k v O Pc=r,d=1",
        "mg k v Oa Oa Pc=r,d=1",
        "mg k v Oa Pc=r,d=1 q",
        "mg k v Oa Pc=r,d",
        "mg k\x07 v Oa Pc=r,d=1",
        "mg é v Oa éPc=r,d=1",
        "mg k\u{e9} v Oa Pc=r,d=1",
        "mg k v Oa\x7f Pc=r,d=1",
        "mg k v Oa Pc=r,d=+1",
        "mg k v Oa Pc=r,d=1,h=+1",
        "mg k v Oa Pc=r,d=",
        "mg k v Oa Pc=r,c=r,d=1",
        "mg k v Oa Pc=r,d=1,d=1",
        "mg k v Oa Pc=r,d=1 Pc=r,d=1",
        "mg k v v Oa Pc=r,d=1",
    ] {
        assert_eq!(decode_one(format!("{line}\r\n").as_bytes()), Some(INVALID_LINE), "{line}");
    }
    assert_eq!(decode_one(b"mg \xff v Oa Pc=r,d=1\r\n"), Some(INVALID_LINE));
    assert_eq!(decode_one(b"mg k v Oa Pc=r,d=1\n"), Some(INVALID_LINE));
    for line in ["", "get k", "stats load", "mn x", "MG k"] {
        assert_eq!(decode_one(format!("{line}\r\n").as_bytes()), Some(UNKNOWN_COMMAND), "{line}");
    }
    // After an invalid line with a valid length, the data block is skipped and the framing is kept.
    let mut buf = BytesMut::from(&b"ms k 4 Oa\r\nmn\r\n\r\nmn\r\n"[..]);
    assert_eq!(next_input(&mut buf), Some(INVALID_LINE));
    assert_eq!(next_input(&mut buf), Some(Input::HealthCheck));
}

#[test]
fn lost_framing_closes_the_connection() {
    for text in [
        "ms k\r\n",
        "ms k x Oa Pc=r,d=1\r\n",
        "ms k 1 Oa Pc=r,d=1\r\nabcd",
        "ms k -1\r\n",
        "ms k +1 Oa Pc=r,d=1\r\na\r\n",
        "ms\x01k 1\r\n",
    ] {
        assert_eq!(decode_one(text.as_bytes()), Some(INVALID_BLOCK), "{text}");
    }
    assert_eq!(decode_one(b"ms k 65537 Oa Pc=r,d=1\r\n"), Some(VALUE_TOO_LARGE));
    assert_eq!(decode_one(&[b'a'; MAX_LINE_BYTES + 1]), None);
    assert_eq!(decode_one(&[b'a'; MAX_LINE_BYTES + 2]), Some(LINE_TOO_LONG));
}

fn reply(text: &[u8]) -> Result<Option<Reply>, Malformed> {
    next_reply(&mut BytesMut::from(text))
}

#[test]
fn replies_are_decoded_at_any_split() {
    let text =
        b"VA 5 O9b1f h0 Z\r\nhe\r\nl\r\nHD O9b1f c77 h1\r\nSERVER_ERROR busy\r\nSERVER_ERROR failed\r\n";
    for cut in 0..text.len() {
        let mut buf = BytesMut::from(&text[..cut]);
        let mut got = Vec::new();
        while let Some(reply) = next_reply(&mut buf).unwrap() {
            got.push(reply);
        }
        buf.extend_from_slice(&text[cut..]);
        while let Some(reply) = next_reply(&mut buf).unwrap() {
            got.push(reply);
        }
        let opaque = Bytes::from_static(b"9b1f");
        let value = Reply::Served {
            opaque: opaque.clone(),
            body: Body::Value(Bytes::from_static(b"he\r\nl")),
            cache_note: Some(CacheNote::MissFetching),
        };
        let receipt = Reply::Served {
            opaque,
            body: Body::Receipt(Bytes::from_static(b"77")),
            cache_note: Some(CacheNote::Hit),
        };
        assert_eq!(got, [value, receipt, Reply::Busy, Reply::Failed], "cut at {cut}");
    }
}

#[test]
fn malformed_replies_are_rejected() {
    for text in [
        "VA x O9b1f\r\n",
        "VA +1 O9b1f\r\na\r\n",
        "VA 4194305 O9b1f\r\n",
        "VA 65537\r\n",
        "VA 1 O9b1f\r\nabc",
        "VA 1\r\na\r\n",
        "HD O9b1f\r\n",
        "HD c77\r\n",
        "END\r\n",
        "\r\n",
        "VA 1 O9b1f\na\r\n",
        "CLIENT_ERROR bad\r\n",
    ] {
        assert_eq!(reply(text.as_bytes()), Err(Malformed), "{text}");
    }
    assert_eq!(reply(&[b'V'; MAX_LINE_BYTES + 2]), Err(Malformed));
}

#[test]
fn only_the_line_of_a_long_value_is_removed() {
    let mut buf = BytesMut::from(&b"VA 65537 O9b1f h1\r\nabc"[..]);
    let Ok(Some(Reply::Served { opaque, body, .. })) = next_reply(&mut buf) else { panic!("an answer") };
    assert_eq!((&opaque[..], &body, &buf[..]), (&b"9b1f"[..], &Body::Streamed(65537), &b"abc"[..]));
    assert_eq!(client_answer(&parse_valid(GET), &opaque, &body).unwrap(), "VA 65537 O9b1f\r\n");
    assert_eq!(client_answer(&parse_valid(SET), &opaque, &body), None);
    assert_eq!(client_answer(&parse_valid(GET), b"9b1e", &body), None);
}

/// An ambiguous line must not let a request be sent again, and a garbled load report must not invalidate an answer.
#[test]
fn only_an_exact_busy_line_is_a_rejection() {
    for (text, expected) in [
        ("busy", Reply::Busy),
        ("busy Linflight=x,,=", Reply::Busy),
        ("busy doing it", Reply::Failed),
        ("busyness", Reply::Failed),
        ("failed L", Reply::Failed),
    ] {
        assert_eq!(reply(format!("SERVER_ERROR {text}\r\n").as_bytes()), Ok(Some(expected)), "{text}");
    }
    let served = reply(b"VA 1 Oa h1 L\xff=,,Ob\r\nx\r\n").unwrap();
    assert!(matches!(served, Some(Reply::Served { opaque, .. }) if opaque == "a"));
}

#[test]
fn only_an_answer_to_the_command_is_forwarded() {
    let value = Body::Value(Bytes::from_static(b"hello"));
    let receipt = Body::Receipt(Bytes::from_static(b"77"));
    let (get, set) = (parse_valid(GET), parse_valid(SET));
    assert_eq!(client_answer(&get, b"9b1f", &value).unwrap(), "VA 5 O9b1f\r\nhello\r\n");
    assert_eq!(client_answer(&set, b"9b1f", &receipt).unwrap(), "HD O9b1f c77\r\n");
    assert_eq!(client_answer(&get, b"9b1e", &value), None);
    assert_eq!(client_answer(&get, b"9b1f", &receipt), None);
    assert_eq!(client_answer(&set, b"9b1f", &value), None);
}

#[test]
fn the_retry_delay_is_rounded_up_to_milliseconds() {
    assert_eq!(busy(Some(Duration::from_micros(250_001))), "SERVER_ERROR busy 251\r\n");
    assert_eq!(busy(None), "SERVER_ERROR busy\r\n");
}

/// Reading as many bytes as `min_missing_bytes` says, repeatedly, completes a command and never reads beyond it.
#[test]
fn missing_never_counts_bytes_of_the_next_command() {
    for text in [GET, SET, "mn\r\n", "get k\r\n", "ms k x\r\n", "ms k 65537 Oa\r\n"] {
        for cut in 1..text.len() {
            let mut buf = BytesMut::from(&text.as_bytes()[..cut]);
            let input = loop {
                if let Some(input) = next_input(&mut buf) {
                    break input;
                }
                let (received, more) = (buf.len(), min_missing_bytes(&buf));
                assert!((1..=text.len() - received).contains(&more), "{text:?}: {more} more than {received}");
                buf.extend_from_slice(&text.as_bytes()[received..received + more]);
            };
            assert_eq!(Some(input), decode_one(text.as_bytes()), "{text:?} cut at {cut}");
        }
    }
}

//! Truncated answers followed by other answers, and random bytes: nothing is returned that was not sent in that form.

use super::*;
use crate::cache_server::{self, next_call, AnswerMetadata};
use crate::client::next_answer;

/// Each answer is truncated at every byte below this one, which covers its line and some of its value, and at its last
/// byte.
const MAX_CUT: usize = 64;

/// An encoded answer, and the body that it is decoded to.
struct EncodedAnswer {
    text: Vec<u8>,
    /// Position of the value's first byte.
    value_start: usize,
    body: Option<Body>,
}

/// Answers of each kind to the command with this id.
fn samples(id: &str) -> Vec<EncodedAnswer> {
    let load = vec![("inflight".to_string(), 7.0), ("util".to_string(), 0.61)];
    let metadata = [
        AnswerMetadata::default(),
        AnswerMetadata { cache_note: Some(CacheNote::Hit), load: load.clone() },
        AnswerMetadata { cache_note: Some(CacheNote::MissFetching), load },
    ];
    let long = vec![b'x'; MAX_BUFFERED_VALUE_BYTES + 1];
    let values: [&[u8]; 6] = [b"", b"h", b"hello", b"h\r\n", b"twenty bytes of text", &long];
    let mut samples = Vec::new();
    for metadata in &metadata {
        for value in values {
            let text = cache_server::value(id, value, metadata);
            let value_start = text.len() - value.len() - 2;
            let body = match value.len() {
                length if length > MAX_BUFFERED_VALUE_BYTES => Body::Streamed(length),
                _ => Body::Value(Bytes::copy_from_slice(value)),
            };
            samples.push(EncodedAnswer { text, value_start, body: Some(body) });
        }
        let receipt = Some(Body::Receipt("77".into()));
        let lines = [
            (cache_server::receipt(id, "77", metadata), receipt),
            (cache_server::busy(metadata), None),
            (cache_server::failed(metadata), None),
        ];
        samples.extend(lines.map(|(text, body)| EncodedAnswer { value_start: text.len(), text, body }));
    }
    samples
}

/// Decodes answers up to the first that cannot be decoded, and up to a long value's line, whose value is not decoded.
fn decode_all(mut buf: BytesMut) -> Vec<Reply> {
    let mut replies = Vec::new();
    while let Ok(Some(reply)) = next_reply(&mut buf) {
        let is_long = matches!(reply, Reply::Served { body: Body::Streamed(_), .. });
        replies.push(reply);
        if is_long {
            break;
        }
    }
    replies
}

/// Decodes the rest of an earlier answer followed by a complete one to command `b`. That answer must be returned
/// unchanged or not at all, and `Busy`, which proves that nothing was executed, only for a real `busy` answer.
fn check_decoded(remainder: &[u8], answer: &EncodedAnswer) {
    let mut text = BytesMut::from(remainder);
    text.extend_from_slice(&answer.text);
    let input = String::from_utf8_lossy(&text[..text.len().min(2 * MAX_CUT)]).into_owned();
    for reply in decode_all(text) {
        match reply {
            Reply::Served { opaque, body, .. } if opaque == "b" => {
                assert_eq!(Some(&body), answer.body.as_ref(), "{input:?}");
            }
            Reply::Busy => assert!(answer.text.starts_with(b"SERVER_ERROR busy"), "{input:?}"),
            Reply::Served { .. } | Reply::Failed => {}
        }
    }
}

#[test]
fn an_answer_after_the_rest_of_another_is_returned_unchanged_or_not_at_all() {
    let answers = samples("b");
    for earlier in samples("a") {
        let length = earlier.text.len();
        let cuts = (1..length.min(MAX_CUT)).chain([length - 1]);
        for cut in cuts {
            answers.iter().for_each(|answer| check_decoded(&earlier.text[..cut], answer));
        }
    }
}

/// As above, with a truncated line that names the answered command itself.
#[test]
fn an_answer_after_half_of_its_own_line_is_returned_unchanged_or_not_at_all() {
    let answers = samples("b");
    for earlier in &answers {
        for cut in 1..earlier.value_start {
            let mut truncated = BytesMut::from(&earlier.text[..cut]);
            assert_eq!(next_reply(&mut truncated), Ok(None));
            answers.iter().for_each(|answer| check_decoded(&earlier.text[..cut], answer));
        }
    }
}

#[test]
fn a_truncated_line_is_not_parsed_as_flags_of_the_next() {
    for text in [
        "VA 1 VA 3 Ob\r\nh\r\n\r\n",
        "VA 1 OVA 3 Ob\r\nh\r\n\r\n",
        "VA 1 Oa VA 3 Ob\r\nh\r\n\r\n",
        "VA 65537 VA 65537 Ob\r\n",
        "VA 1 Ob Ob\r\nh\r\n",
        "VA 1 Ob h1 h1\r\nh\r\n",
        "VA 1 Ob h2\r\nh\r\n",
        "VA 1 Ob 5\r\nh\r\n",
        "VA 1 Ob\rVA\r\nh\r\n",
        "VA 1 Ob L L\r\nh\r\n",
        "VA 1 L Ob\r\nh\r\n",
        "VA 1 O\r\nh\r\n",
        "HD Ob cHD c77\r\n",
        "HD Ob c\r\n",
        "HD HD Ob c77\r\n",
        "HD Ob c77 failed\r\n",
    ] {
        assert_eq!(reply(text.as_bytes()), Err(Malformed), "{text:?}");
    }
    assert_eq!(reply(b"SERVER_ERROR busy L SERVER_ERROR busy\r\n"), Ok(Some(Reply::Failed)));
    let decode_health = |text: &str| next_health_check_answer(&mut BytesMut::from(text));
    assert_eq!(decode_health("MN SERVER_ERROR not ready\r\n"), Err(Malformed));
}

#[test]
fn other_flags_of_the_meta_commands_are_accepted() {
    for flags in ["Ob f0 s1 t-1", "t30 l5 c9 Ob W", "Ob h0 Z X", "Ob h1 ", " Ob h1 Lqps=140"] {
        let served = reply(format!("VA 1 {flags}\r\nh\r\n").as_bytes());
        let Ok(Some(Reply::Served { opaque, body, .. })) = served else { panic!("{flags}: {served:?}") };
        assert_eq!((opaque, body), ("b".into(), Body::Value("h".into())), "{flags}");
    }
}

/// Marsaglia's xorshift generator, seeded so that a failure can be reproduced.
struct Xorshift(u64);

impl Xorshift {
    fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % limit as u64) as usize
    }
}

/// Random bytes mixed with pieces of the protocol.
fn random_input(random: &mut Xorshift) -> BytesMut {
    const PIECES: [&[u8]; 16] = [
        b"VA ",
        b"HD ",
        b"SERVER_ERROR ",
        b"busy",
        b"MN",
        b"mg k v",
        b"ms k ",
        b"stats load",
        b" Oa",
        b" Pc=r,d=1",
        b" c7",
        b" h0",
        b" Z",
        b"\r\n",
        b"\n",
        b"18446744073709551615",
    ];
    let mut text = BytesMut::new();
    for _ in 0..random.below(12) {
        match random.below(3) {
            0 => text.extend_from_slice(&[random.below(256) as u8]),
            1 => text.extend_from_slice(random.below(9).to_string().as_bytes()),
            _ => text.extend_from_slice(PIECES[random.below(PIECES.len())]),
        }
    }
    text
}

/// Calls one decoder until it has no further message or fails; each message must remove bytes from the buffer.
fn decode_until_end(text: &BytesMut, mut has_more: impl FnMut(&mut BytesMut) -> bool) {
    let mut buf = text.clone();
    let mut remaining = buf.len();
    while has_more(&mut buf) {
        assert!(buf.len() < remaining, "{text:?}");
        remaining = buf.len();
    }
}

#[test]
fn no_input_makes_a_decoder_panic() {
    let mut random = Xorshift(0x9e37_79b9_7f4a_7c15);
    for _ in 0..200_000 {
        let text = random_input(&mut random);
        decode_until_end(&text, |buf| matches!(next_reply(buf), Ok(Some(_))));
        decode_until_end(&text, |buf| matches!(next_health_check_answer(buf), Ok(Some(_))));
        decode_until_end(&text, |buf| matches!(next_answer(buf), Ok(Some(_))));
        decode_until_end(&text, |buf| match next_input(buf) {
            Some(Input::Invalid { close, .. }) => !close,
            input => input.is_some(),
        });
        decode_until_end(&text, |buf| match next_call(buf) {
            Some(cache_server::Call::Invalid { close, .. }) => !close,
            call => call.is_some(),
        });
        assert!(min_missing_bytes(&text) > 0);
    }
}

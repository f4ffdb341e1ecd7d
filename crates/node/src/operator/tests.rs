//! Calls as they come in, and answers as they go out.

use super::*;

#[test]
fn a_call_is_one_whole_line() {
    for (text, want) in [
        ("ready\n", Some(Ok(Call::Ready))),
        ("show-stat\r\n", Some(Ok(Call::ShowStat))),
        ("drain\nresume\n", Some(Ok(Call::Drain))),
        ("resume\n", Some(Ok(Call::Resume))),
        ("read", None),
        ("", None),
        ("disable-server s-1\n", Some(Err(Refusal::Malformed))),
        ("stop\n", Some(Err(Refusal::Unknown))),
        ("READY\n", Some(Err(Refusal::Unknown))),
        ("\n", Some(Err(Refusal::Malformed))),
        ("ready \n", Some(Err(Refusal::Malformed))),
        ("re\0dy\n", Some(Err(Refusal::Malformed))),
    ] {
        assert_eq!(parse(text.as_bytes()), want, "{text:?}");
    }
    assert_eq!(parse(&[b'a'; MAX_CALL + 1]), None);
    assert_eq!(parse(&[b'a'; MAX_CALL + 2]), Some(Err(Refusal::TooLong)));
    assert_eq!(parse(b"\xff\n"), Some(Err(Refusal::Malformed)));
}

#[test]
fn answers_begin_with_ok_or_fail() {
    assert_eq!(render(Ok("draining")), "ok draining\n");
    assert_eq!(render(Err(Refusal::NotReady(State::Starting))), "fail starting\n");
}

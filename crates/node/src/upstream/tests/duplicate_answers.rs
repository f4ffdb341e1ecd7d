//! Late bytes on a cached connection that arrive after its last answer, once the next command is written.

use hallpin_balancer::{ServerId, Status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::super::connection::{DUPLICATE_ANSWER_WINDOW, NAMED_DUPLICATE_WINDOW};
use super::super::pool::SETTLE_TIME;
use super::super::AttemptResult;
use super::*;

const NEXT: &str = "mg k v Ob Pc=read,d=60000\r\n";
const FIRST_ANSWER: &str = "VA 1 Oa\r\n1\r\n";

/// Two reads over one connection; returns how the second ends if its command is answered with `bytes`.
async fn answer_second_read(bytes: &str) -> AttemptResult {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = upstream(LONG, 9);
    upstream.update_endpoints(&roster(&listener, "ready"));
    let server = ServerId("s".into());
    let peer = async {
        let mut stream = listener.accept().await.unwrap().0;
        for answer in [FIRST_ANSWER, bytes] {
            assert!(stream.read(&mut [0; 256]).await.unwrap() > 0, "the connection is used again");
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
        stream
    };
    let both = async {
        let first = upstream.attempt(&server, &test_call(READ)).await;
        assert_eq!(first.status, Status::Success);
        upstream.attempt(&server, &test_call(NEXT)).await
    };
    tokio::join!(both, peer).0
}

/// A duplicate answer to the previous request arrives after the next command went out: the answer to that one still
/// comes.
#[tokio::test]
async fn a_duplicate_answer_to_the_previous_request_is_skipped() {
    let ended = answer_second_read(&format!("{FIRST_ANSWER}VA 1 Ob\r\n2\r\n")).await;
    assert_eq!(ended.status, Status::Success);
    assert_eq!(ended.answer.unwrap().text, "VA 1 Ob\r\n2\r\n");
}

/// Only one duplicate is skipped, and none with another id, so that a faulty server cannot hold the attempt forever.
#[tokio::test]
async fn other_answers_with_foreign_ids_may_have_run() {
    for bytes in [format!("{FIRST_ANSWER}{FIRST_ANSWER}VA 1 Ob\r\n2\r\n"), "VA 1 Oc\r\n1\r\n".into()] {
        let ended = answer_second_read(&bytes).await;
        assert!(ended.answer.is_none() && ended.status == Status::Unknown, "{bytes}: {ended:?}");
    }
}

/// Bytes without a line end are read no further than the longest line.
#[tokio::test]
async fn an_answer_that_never_ends_its_line_is_given_up() {
    let ended = answer_second_read(&"x".repeat(hallpin_protocol::MAX_LINE_BYTES + 2)).await;
    assert!(ended.answer.is_none() && ended.status == Status::Unknown, "{ended:?}");
}

/// The remainder of another answer before this one may cost the answer but never shortens its value: neither half a
/// line without an id, nor one with the id of the previous command or of this one.
#[tokio::test]
async fn half_a_line_ahead_of_an_answer_never_shortens_its_value() {
    for half in ["VA 1 ", "VA 1 O", "VA 1 Oa ", "VA 1 Ob ", "VA 1 Ob h1 Lqps=", "VA 65537 ", "V", "HD Oa c"] {
        let ended = answer_second_read(&format!("{half}VA 6 Ob\r\nh\r\nell\r\n")).await;
        assert!(ended.answer.is_none() && ended.status == Status::Unknown, "{half}: {ended:?}");
    }
}

const BUSY: &str = "SERVER_ERROR busy\r\n";

/// Runs these reads over one connection, each with its answer, and then, `pause` after the last, a command that must
/// not run twice. The server runs that one too; on the same connection a duplicate `busy` of one of the reads comes
/// before its answer.
async fn unsafe_command_after(reads: &[(&str, &str)], pause: Duration) -> AttemptResult {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = upstream(LONG, 9);
    upstream.update_endpoints(&roster(&listener, "ready"));
    let server = ServerId("s".into());
    let mut cached = None;
    for (id, answer) in reads {
        let call = test_call(&format!("mg k v O{id} Pc=read,d=60000\r\n"));
        let peer = async {
            let mut stream = match cached.take() {
                Some(stream) => stream,
                None => listener.accept().await.unwrap().0,
            };
            assert!(stream.read(&mut [0; 256]).await.unwrap() > 0, "the connection is used again");
            stream.write_all(answer.as_bytes()).await.unwrap();
            stream
        };
        cached = Some(tokio::join!(upstream.attempt(&server, &call), peer).1);
    }
    tokio::time::advance(pause).await;
    let mut cached = cached.unwrap();
    let once = UpstreamCall {
        repeat_window: Some(Duration::ZERO),
        ..test_call("ms k 1 Oz Pc=put,d=60000\r\nv\r\n")
    };
    let mut received = [0; 256];
    let peer = async {
        let (mut stream, text) = tokio::select! {
            read = cached.read(&mut received) => {
                assert!(read.unwrap() > 0, "the connection is used again or left open");
                (cached, format!("{BUSY}HD Oz c1\r\n"))
            }
            new = listener.accept() => (new.unwrap().0, "HD Oz c1\r\n".into()),
        };
        stream.write_all(text.as_bytes()).await.unwrap();
        stream
    };
    tokio::join!(upstream.attempt(&server, &once), peer).0
}

/// A duplicate `busy` has no id. A command that must not run twice does not use a connection where one may still
/// arrive, as it would count as never run and be sent again.
#[tokio::test(start_paused = true)]
async fn a_duplicate_busy_does_not_prove_that_an_unsafe_command_never_ran() {
    assert_eq!(unsafe_command_after(&[("a", BUSY)], Duration::ZERO).await.status, Status::Success);
    // One `busy` may have been taken for the other, so that the other's own is still to come, however late.
    let status = unsafe_command_after(&[("a", BUSY), ("b", BUSY)], DUPLICATE_ANSWER_WINDOW * 9).await.status;
    assert_eq!(status, Status::Success);
    // A failure has no id either: if the first read's failure arrived twice, the second read's own is still
    // to come.
    let failed = "SERVER_ERROR failed\r\n";
    let status =
        unsafe_command_after(&[("a", failed), ("b", failed)], DUPLICATE_ANSWER_WINDOW * 9).await.status;
    assert_eq!(status, Status::Success);
}

/// A command that must not run twice does not use the connection, either, if its last answer was a value and a
/// duplicate `busy` may follow.
#[tokio::test(start_paused = true)]
async fn a_duplicate_busy_after_a_value_does_not_prove_that_an_unsafe_command_never_ran() {
    for pause in [Duration::ZERO, SETTLE_TIME, NAMED_DUPLICATE_WINDOW - SETTLE_TIME] {
        assert_eq!(
            unsafe_command_after(&[("a", FIRST_ANSWER)], pause).await.status,
            Status::Success,
            "{pause:?}"
        );
    }
}

/// The connection is used again for a command that must not run twice once it has been quiet, if its last
/// answer was the first without an id, or carries the id of its command: all earlier answers have arrived by
/// then.
#[tokio::test(start_paused = true)]
async fn a_busy_is_trusted_if_it_can_only_be_the_commands_own() {
    let named = [("a", BUSY), ("b", BUSY), ("c", "VA 1 Oc\r\n1\r\n")];
    for reads in [&[("a", BUSY)][..], &[("a", FIRST_ANSWER)], &named] {
        assert_eq!(
            unsafe_command_after(reads, DUPLICATE_ANSWER_WINDOW).await.status,
            Status::Overloaded,
            "{reads:?}"
        );
    }
}

/// A read that got the `busy` of the one before it: its own answer arrives before that of the next one.
#[tokio::test(start_paused = true)]
async fn an_answer_overtaken_by_a_duplicate_busy_is_skipped() {
    let late = [("a", BUSY), ("b", BUSY), ("c", "VA 1 Ob\r\n1\r\nVA 1 Oc\r\n1\r\n")];
    // If the connection had been given up, the next command would not be the fourth there.
    assert_eq!(unsafe_command_after(&late, DUPLICATE_ANSWER_WINDOW).await.status, Status::Overloaded);
}

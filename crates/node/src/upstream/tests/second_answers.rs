//! What comes on a kept connection behind the answer that it was kept after, once the next command is written.

use hallpin_decisions::{ServerId, Status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::super::Ended;
use super::*;

const NEXT: &str = "mg k v Ob Pc=read,d=60000\r\n";
const FIRST_ANSWER: &str = "VA 1 Oa\r\n1\r\n";

/// Two reads over one connection: how the second ends where its command is answered with these bytes.
async fn second_answered(bytes: &str) -> Ended {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = upstream(LONG, 9);
    upstream.learn(&roster(&listener, "ready"));
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
        let first = upstream.attempt(&server, &errand(READ)).await;
        assert_eq!(first.status, Status::Success);
        upstream.attempt(&server, &errand(NEXT)).await
    };
    tokio::join!(both, peer).0
}

/// A second answer to the request before, that came when the next command was out: that one's own still comes.
#[tokio::test]
async fn a_second_answer_to_the_request_before_does_not_spoil_the_next() {
    let ended = second_answered(&format!("{FIRST_ANSWER}VA 1 Ob\r\n2\r\n")).await;
    assert_eq!(ended.status, Status::Success);
    assert_eq!(ended.answer.unwrap().text, "VA 1 Ob\r\n2\r\n");
}

/// One is passed over and no more, and none under another id: such a server is not to be followed for ever.
#[tokio::test]
async fn other_answers_under_foreign_ids_may_have_run() {
    for bytes in [format!("{FIRST_ANSWER}{FIRST_ANSWER}VA 1 Ob\r\n2\r\n"), "VA 1 Oc\r\n1\r\n".into()] {
        let ended = second_answered(&bytes).await;
        assert!(ended.answer.is_none() && ended.status == Status::Unknown, "{bytes}: {ended:?}");
    }
}

/// Noise without a line's end is read no further than the longest line.
#[tokio::test]
async fn an_answer_that_never_ends_its_line_is_given_up() {
    let ended = second_answered(&"x".repeat(hallpin_protocol::MAX_LINE + 2)).await;
    assert!(ended.answer.is_none() && ended.status == Status::Unknown, "{ended:?}");
}

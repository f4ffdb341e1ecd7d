//! Framing of responses: which ones are accepted as complete, and which are not.

use tokio::task::LocalSet;

use super::*;

/// State of the connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Open,
    Closed,
    Reset,
}

/// Answers with these bytes. Returns whether the list was passed on, and the next call if it came on the same
/// connection.
async fn answer_with(bytes: &str, end: End) -> (bool, Option<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut node = FollowingNode::start(pushed(0.5), 1, listener.local_addr().expect("an address"));
    let (mut stream, _) = listener.accept().await.expect("a call");
    call(&mut stream).await.expect("a call");
    stream.write_all(bytes.as_bytes()).await.expect("an answer");
    let mut next = None;
    match end {
        End::Open => next = call(&mut stream).await.ok(),
        End::Closed => drop(stream),
        End::Reset => reset(stream),
    }
    // The node connects again once it has processed the response.
    if next.is_none() {
        listener.accept().await.expect("the node polls again");
    }
    (node.lists.try_recv().is_ok(), next)
}

fn body() -> String {
    listed(7, "draining")
}

/// A response without a length: the body ends with a close of the connection, and not with a reset.
fn without_length(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{body}")
}

fn chunked(body: &str, last: &str) -> String {
    let (a, b) = body.split_at(11);
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}{}{last}", chunk(a), chunk(b))
}

#[tokio::test(start_paused = true)]
async fn complete_answers_are_accepted_in_any_form_and_the_connection_is_reused_if_possible() {
    let indented = body().replace(',', ",\r\n\t  ").replace('{', "{\n  ").replace("\":", "\" : ");
    for (bytes, end) in [
        (answer(&indented), End::Open),
        (chunked(&body(), "0\r\n\r\n"), End::Open),
        (without_length(&body()), End::Closed),
    ] {
        let (accepted, next) = LocalSet::new().run_until(answer_with(&bytes, end)).await;
        assert!(accepted, "{bytes}");
        let watch = next.is_some_and(|line| line.starts_with("GET /discovery/hosts?index=7&wait="));
        assert_eq!(watch, end == End::Open, "{bytes}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_ends_incorrectly_is_not_accepted() {
    let complete = answer(&body());
    let cut = &complete[..complete.len() - 1];
    for (bytes, end) in [
        // The list is complete, but without a length a reset does not show that.
        (without_length(&body()), End::Reset),
        (without_length(&body()[..body().len() - 1]), End::Closed),
        (cut.to_string(), End::Closed),
        (cut.to_string(), End::Reset),
        (chunked(&body(), ""), End::Closed),
        (chunked(&body(), "0\r\n"), End::Reset),
        (complete.replacen("200 OK", "503 Busy", 1), End::Closed),
        (String::new(), End::Closed),
    ] {
        let (accepted, _) = LocalSet::new().run_until(answer_with(&bytes, end)).await;
        assert!(!accepted, "{end:?} after {bytes}");
    }
}

/// Answers with an unchanged revision, with and without entries, and a connection that is closed between two calls.
#[tokio::test(start_paused = true)]
async fn a_watch_without_changes_continues_and_one_closed_between_calls_is_reopened() {
    let watched = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut node = FollowingNode::start(pushed(0.5), 1, listener.local_addr().expect("an address"));
        let (mut stream, _) = listener.accept().await.expect("a call");
        call(&mut stream).await.expect("a call");
        let same = [listed(7, "ready"), list(7, false, &[]), list(7, false, &[member(2, "ready")])];
        for body in same {
            stream.write_all(answer(&body).as_bytes()).await.expect("an answer");
            let watch = call(&mut stream).await.expect("a watch");
            assert!(watch.contains("?index=7&"), "{watch}");
        }
        // The answer and the close arrive together, so the next call finds the connection closed.
        stream.write_all(answer(&list(8, false, &[])).as_bytes()).await.expect("an answer");
        drop(stream);
        let (mut stream, _) = listener.accept().await.expect("the node polls again");
        let full_list = call(&mut stream).await.expect("a call for the complete list");
        assert!(full_list.starts_with("GET /discovery/hosts "), "{full_list}");
        // Discovery has restarted: a lower revision is valid in a complete list.
        stream.write_all(answer(&listed(3, "draining")).as_bytes()).await.expect("an answer");
        node.until_draining().await;
    };
    LocalSet::new().run_until(watched).await;
}

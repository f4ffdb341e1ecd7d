//! How an answer may come and end: what is a list, and what is none.

use tokio::task::LocalSet;

use super::*;

/// What becomes of the connection behind an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Open,
    Closed,
    Reset,
}

/// Whether the list is handed on that comes in these bytes, and what the node asks for next, if it goes on there.
async fn taken(bytes: &str, end: End) -> (bool, Option<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut node = Following::start(pushed(0.5), 1, listener.local_addr().expect("an address"));
    let (mut stream, _) = listener.accept().await.expect("a call");
    call(&mut stream).await.expect("a call");
    stream.write_all(bytes.as_bytes()).await.expect("an answer");
    let mut next = None;
    match end {
        End::Open => next = call(&mut stream).await.ok(),
        End::Closed => drop(stream),
        End::Reset => reset(stream),
    }
    // It calls again once it is through with what came.
    if next.is_none() {
        listener.accept().await.expect("it is asked anew");
    }
    (node.lists.try_recv().is_ok(), next)
}

fn body() -> String {
    listed(7, "draining")
}

/// Without a length the close ends the body, and only a close does.
fn without_length(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{body}")
}

fn chunked(body: &str, last: &str) -> String {
    let (a, b) = body.split_at(11);
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}{}{last}", chunk(a), chunk(b))
}

#[tokio::test(start_paused = true)]
async fn whole_answers_are_taken_in_any_form_and_the_connection_is_kept_where_it_can_be() {
    let indented = body().replace(',', ",\r\n\t  ").replace('{', "{\n  ").replace("\":", "\" : ");
    for (bytes, end) in [
        (answer(&indented), End::Open),
        (chunked(&body(), "0\r\n\r\n"), End::Open),
        (without_length(&body()), End::Closed),
    ] {
        let (taken, next) = LocalSet::new().run_until(taken(&bytes, end)).await;
        assert!(taken, "{bytes}");
        let watch = next.is_some_and(|line| line.starts_with("GET /discovery/hosts?index=7&wait="));
        assert_eq!(watch, end == End::Open, "{bytes}");
    }
}

#[tokio::test(start_paused = true)]
async fn of_an_answer_that_does_not_end_as_it_should_nothing_is_taken() {
    let whole = answer(&body());
    let cut = &whole[..whole.len() - 1];
    for (bytes, end) in [
        // All of the list is there: without a length nothing tells so.
        (without_length(&body()), End::Reset),
        (without_length(&body()[..body().len() - 1]), End::Closed),
        (cut.to_string(), End::Closed),
        (cut.to_string(), End::Reset),
        (chunked(&body(), ""), End::Closed),
        (chunked(&body(), "0\r\n"), End::Reset),
        (whole.replacen("200 OK", "503 Busy", 1), End::Closed),
        (String::new(), End::Closed),
    ] {
        let (taken, _) = LocalSet::new().run_until(taken(&bytes, end)).await;
        assert!(!taken, "{end:?} after {bytes}");
    }
}

/// Answers of the same revision, with and without entries, and a connection that is closed between two calls.
#[tokio::test(start_paused = true)]
async fn a_watch_without_news_goes_on_and_one_closed_between_calls_is_opened_anew() {
    let watched = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut node = Following::start(pushed(0.5), 1, listener.local_addr().expect("an address"));
        let (mut stream, _) = listener.accept().await.expect("a call");
        call(&mut stream).await.expect("a call");
        let same = [listed(7, "ready"), list(7, false, &[]), list(7, false, &[member(2, "ready")])];
        for body in same {
            stream.write_all(answer(&body).as_bytes()).await.expect("an answer");
            let watch = call(&mut stream).await.expect("a watch");
            assert!(watch.contains("?index=7&"), "{watch}");
        }
        // The answer and the close come together: the next call finds a connection that is gone.
        stream.write_all(answer(&list(8, false, &[])).as_bytes()).await.expect("an answer");
        drop(stream);
        let (mut stream, _) = listener.accept().await.expect("it is asked anew");
        let whole = call(&mut stream).await.expect("the whole list");
        assert!(whole.starts_with("GET /discovery/hosts "), "{whole}");
        // A discovery that has begun anew: its lower revision is good in a whole list.
        stream.write_all(answer(&listed(3, "draining")).as_bytes()).await.expect("an answer");
        node.until_draining().await;
    };
    LocalSet::new().run_until(watched).await;
}

//! What discovery has told counts for all requests that still wait their turn.

use super::*;

/// Takes what comes, of requests that lay there before a list came on which their server drains; the list waits either
/// in its own queue or, as it never should, behind them. Returns whether something was sent to that server.
async fn sent_to_the_draining_one(behind: bool) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (driver, inbox, _) = driver(&settings(), address);
    let messages = driver.messages.clone();
    let mut answers = Vec::new();
    for n in 0..50 {
        let (message, answer) = asked(RequestId(n), &n.to_string(), Gone::default());
        messages.send(message).ok().unwrap();
        answers.push(answer);
    }
    let member = format!(r#"{{"id":"s","host_port":"{address}","phase":"draining"}}"#);
    let drains = format!(r#"{{"revision":2,"complete":false,"members":[{member}]}}"#);
    let drains = Message::Roster(Roster::from_json(drains.as_bytes(), &driver.clock).unwrap());
    let (news, lists) = unbounded_channel();
    if behind { &messages } else { &news }.send(drains).ok().unwrap();
    let answered = async {
        for answer in answers {
            let _ = answer.await;
        }
    };
    let all = async {
        tokio::task::spawn_local(driver.run(inbox, lists));
        tokio::select! {
            biased;
            _ = listener.accept() => true,
            () = answered => false,
        }
    };
    tokio::task::LocalSet::new().run_until(all).await
}

#[tokio::test(start_paused = true)]
async fn a_list_goes_ahead_of_the_requests_that_came_before_it() {
    assert!(!sent_to_the_draining_one(false).await, "a told drain waits behind no request");
    assert!(sent_to_the_draining_one(true).await, "behind them it would come too late");
}

//! Outcomes of attempts at a cache server, and the answers to their requests.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use crate::harness::*;
use crate::unused_address;

/// A request that is not idempotent is sent again only if it never ran: after a refused connection or a busy answer,
/// but not once the connection has broken after the request's last byte.
#[test]
fn only_requests_that_never_ran_are_sent_again() {
    let good = FakeCacheServer::start(|_| ServerAction::Serve);
    for (bad_answer, is_retried) in [
        (None, true),
        (Some("SERVER_ERROR busy\r\n"), true),
        (Some("SERVER_ERROR failed\r\n"), false),
        (Some(""), false),
        (Some("HD Oother c42\r\n"), false),
        (Some("HD Og\r\n"), false),
        (Some("VA 3 Og\r\nnew\r\n"), false),
        (Some("gibberish\r\n"), false),
    ] {
        let server = bad_answer.map(|text| {
            FakeCacheServer::start(move |line| {
                let answer = text.replace("Og", &format!("O{}", opaque_id(line))).into();
                // A connection closed after a valid answer might already be in use again.
                if text.starts_with("SERVER_ERROR") {
                    ServerAction::Reply(answer)
                } else {
                    ServerAction::ReplyAndClose(answer)
                }
            })
        });
        let address = server.as_ref().map_or_else(unused_address, |server| server.address);
        let known = [member("s-1", good.address, "ready"), member("s-2", address, "ready")];
        let (_list, discovery) = FakeDiscovery::start(&known);
        let node = Setup { known: known.join(","), ..Setup::default() }.start(discovery);
        let mut client = node.connect();
        let (mut reached_bad, mut retried) = (0, 0);
        // Runs until keys have reached the bad server, which may be ejected after that.
        for n in 0..64 {
            let id = format!("g{n}");
            let answer = client.request(&open_command(&format!("key{n}"), &id, 9000));
            let at_good = good.take_commands().len();
            let at_bad = server.as_ref().map_or(0, |server| server.take_commands().len());
            assert!(at_good <= 1 && at_bad <= 1, "{bad_answer:?}: sent twice to one server");
            assert!(
                is_retried || at_bad + at_good == 1,
                "{bad_answer:?}: may have run twice, or was sent to no server"
            );
            let expected = match (at_good, is_retried) {
                (1, _) => format!("HD O{id} c42\r\n"),
                // The balancer limits retries by a budget; a request that never ran may be rejected.
                (_, true) => "SERVER_ERROR busy\r\n".into(),
                (_, false) => "SERVER_ERROR failed\r\n".into(),
            };
            assert_eq!(answer, expected, "{bad_answer:?}");
            reached_bad += at_bad;
            retried += usize::from(at_bad + at_good == 2);
        }
        assert_eq!(retried > 0, is_retried && bad_answer.is_some(), "{bad_answer:?}");
        assert!(
            reached_bad > 0 || bad_answer.is_none(),
            "{bad_answer:?}: the bad server received no request"
        );
    }
}

/// With health checks enabled, an ejected server is checked and comes back, without risking a read.
#[test]
fn an_ejected_server_comes_back_after_a_health_check() {
    let is_failing = Arc::new(AtomicBool::new(true));
    let (good, failing) = (FakeCacheServer::start(|_| ServerAction::Serve), is_failing.clone());
    let server = FakeCacheServer::start(move |line| match (failing.load(Ordering::SeqCst), line) {
        (true, _) => ServerAction::ReplyAndClose(Vec::new()),
        (false, "mn") => ServerAction::Reply(b"MN\r\n".to_vec()),
        (false, _) => ServerAction::Serve,
    });
    let known = [member("s-1", good.address, "ready"), member("s-2", server.address, "ready")];
    let (_list, discovery) = FakeDiscovery::start(&known);
    let node = Setup { known: known.join(","), health_checks: true, ..Setup::default() }.start(discovery);
    let mut client = node.connect();
    let mut n = 0;
    while node.metric("app_members_unavailable") == 0 {
        n += 1;
        client.request(&read_command(&format!("key{n}"), &format!("p{n}"), 9000));
    }
    is_failing.store(false, Ordering::SeqCst);
    node.wait_for_metric("app_members_unavailable", 0);
    assert!(server.take_commands().iter().any(|line| line == "mn"));
}

/// A truncated value is not passed on; the read goes to the other server.
#[test]
fn only_complete_answers_are_passed_on() {
    let bad = FakeCacheServer::start(|line| {
        ServerAction::ReplyAndClose(format!("VA 9 O{}\r\nhel", opaque_id(line)).into())
    });
    let good = FakeCacheServer::start(|_| ServerAction::Serve);
    let known = [member("s-1", good.address, "ready"), member("s-2", bad.address, "ready")];
    let (_list, discovery) = FakeDiscovery::start(&known);
    let node = Setup { known: known.join(","), ..Setup::default() }.start(discovery);
    let mut client = node.connect();
    for n in 0..32 {
        let id = format!("h{n}");
        let answer = client.request(&read_command(&format!("key{n}"), &id, 9000));
        assert!(answer == served_answer(&id) || answer == "SERVER_ERROR busy\r\n", "{answer}");
    }
    assert!(!bad.take_commands().is_empty(), "the bad server received no request");
}

/// An unreadable answer says nothing about the origin, so a read is served by the other server, whereas an error of
/// an origin fetch would be final.
#[test]
fn a_read_with_a_malformed_answer_is_served_by_another_server() {
    for malformed in ["gibberish\r\n", "VA 5 Oother h1\r\nhello\r\n", "VA 3000000000 Og\r\nxx", "HD\n"] {
        let bad = FakeCacheServer::start(|_| ServerAction::Reply(malformed.into()));
        let good = FakeCacheServer::start(|_| ServerAction::Serve);
        let known = [member("s-1", good.address, "ready"), member("s-2", bad.address, "ready")];
        let (_list, discovery) = FakeDiscovery::start(&known);
        let node = Setup { known: known.join(","), ..Setup::default() }.start(discovery);
        let mut client = node.connect();
        let mut reached_bad = false;
        for n in 0..64 {
            // The retry budget has room for the first request that reaches the bad server.
            if !reached_bad {
                let id = format!("s{n}");
                assert_eq!(
                    client.request(&read_command(&format!("key{n}"), &id, 9000)),
                    served_answer(&id),
                    "{malformed}"
                );
                reached_bad = !bad.take_commands().is_empty();
            }
        }
        assert!(reached_bad, "the bad server received no request");
    }
}

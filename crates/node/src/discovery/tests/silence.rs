//! Calls that fall silent: the node gives them up and reads the list anew before a change that they missed counts as
//! known. Runs on the paused clock, so that only the node's own timeouts take time.

use tokio::task::LocalSet;

use super::*;

/// Point at which a watch falls silent.
#[derive(Clone, Copy, Debug)]
enum SilentAt {
    Head,
    Body,
    /// The watch has been answered; the next one is read and never answered.
    Between,
    /// Like `Between`, after some more answers.
    Later,
}

/// Time from the silence of a watch until the node has the list that it missed, if discovery takes `takes` for an
/// answer, and the wait that this watch asked for.
async fn time_to_list(at: SilentAt, settings: Settings, takes: Duration) -> (Duration, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut node = FollowingNode::start(settings, 1, listener.local_addr().expect("an address"));
    let (mut silent, _) = listener.accept().await.expect("a connection");
    call(&mut silent).await.expect("a call for the complete list");
    let answers = match at {
        SilentAt::Head | SilentAt::Body => 1,
        SilentAt::Between => 2,
        SilentAt::Later => 4,
    };
    let mut watch = String::new();
    for revision in 1..=answers {
        silent.write_all(answer(&listed(revision, "ready")).as_bytes()).await.expect("an answer");
        watch = call(&mut silent).await.expect("a watch");
    }
    let since = Instant::now();
    if matches!(at, SilentAt::Body) {
        let complete = answer(&listed(2, "ready"));
        silent.write_all(&complete.as_bytes()[..complete.len() - 9]).await.expect("half an answer");
    }
    let (mut next, _) = listener.accept().await.expect("the node polls again");
    call(&mut next).await.expect("a call for the complete list");
    sleep_until(Instant::now() + takes).await;
    next.write_all(answer(&listed(9, "draining")).as_bytes()).await.expect("an answer");
    node.until_draining().await;
    (since.elapsed(), wait_of(&watch))
}

#[tokio::test(start_paused = true)]
async fn changes_missed_by_a_silent_watch_of_a_polled_list_arrive_before_they_count() {
    for at in [SilentAt::Head, SilentAt::Body, SilentAt::Between, SilentAt::Later] {
        // The service is shared by all nodes, so calls are queued there.
        let (after, wait) = LocalSet::new().run_until(time_to_list(at, polled(10.0), SECOND)).await;
        let known_after = (wait + 2 * SECOND).max(6 * SECOND);
        assert!(
            after < known_after,
            "silent at {at:?}: list after {after:?}, it counts after {known_after:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn changes_missed_by_a_silent_watch_of_a_pushed_list_arrive_within_the_drain_grace() {
    for grace in [1.0, 0.5, 0.2] {
        for at in [SilentAt::Head, SilentAt::Body, SilentAt::Between, SilentAt::Later] {
            let measured = time_to_list(at, pushed(grace), Duration::ZERO);
            let (after, _) = LocalSet::new().run_until(measured).await;
            // Changes that the agent has count as known at once.
            let by = Duration::from_secs_f64(grace);
            assert!(after < by, "silent at {at:?}: list after {after:?}, with a drain grace of {by:?}");
        }
    }
}

/// After a failed call a change counts as known after 6 s: a watch that follows the failure must not hide it for
/// longer.
#[tokio::test(start_paused = true)]
async fn the_first_watch_after_a_failed_call_may_fall_silent_too() {
    let silent = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut node = FollowingNode::start(polled(10.0), 1, listener.local_addr().expect("an address"));
        drop(listener.accept().await.expect("a call that fails"));
        let (mut stream, _) = listener.accept().await.expect("the node polls again");
        call(&mut stream).await.expect("a call for the complete list");
        stream.write_all(answer(&listed(1, "ready")).as_bytes()).await.expect("an answer");
        call(&mut stream).await.expect("a watch");
        let since = Instant::now();
        let (mut next, _) = listener.accept().await.expect("the node polls again");
        call(&mut next).await.expect("a call for the complete list");
        sleep_until(Instant::now() + SECOND).await;
        next.write_all(answer(&listed(2, "draining")).as_bytes()).await.expect("an answer");
        node.until_draining().await;
        since.elapsed()
    };
    let after = LocalSet::new().run_until(silent).await;
    assert!(after < 6 * SECOND, "list after {after:?}");
}

/// A call may take longer than half the poll interval, and the balancer then requests another poll. That request must
/// not cause a call right after the failure of the first one.
#[tokio::test(start_paused = true)]
async fn a_poll_that_was_requested_twice_is_made_once() {
    let twice = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let _node = FollowingNode::start(polled(1.0), 1, listener.local_addr().expect("an address"));
        let (mut silent, _) = listener.accept().await.expect("a connection");
        call(&mut silent).await.expect("a call for the complete list");
        let since = Instant::now();
        let gone = silent.read(&mut [0]).await;
        assert!(matches!(gone, Ok(0)), "the call is given up: {gone:?}");
        let given_up = Instant::now();
        assert!(given_up - since > SECOND / 2, "the balancer has requested another poll meanwhile");
        listener.accept().await.expect("the node polls again");
        given_up.elapsed()
    };
    let after = LocalSet::new().run_until(twice).await;
    // Shortest backoff of the balancer.
    assert!(after >= SECOND / 20, "polled again after {after:?}");
}

//! One clock for the list: a call that falls silent is broken, and what it missed counts as told after a time, arrived
//! or not. On the paused clock: the times are the node's alone.

use tokio::task::LocalSet;

use super::*;

/// Where in its life a watch falls silent.
#[derive(Clone, Copy, Debug)]
enum At {
    Head,
    Body,
    /// It has answered, and the next call is taken and never answered.
    Between,
    /// As before, but some answers later.
    Later,
}

/// How long after a watch fell silent there the node has the list that it missed, of a discovery that takes so long for
/// an answer, and how long that watch was to wait for news.
async fn learnt_after(at: At, settings: Settings, takes: Duration) -> (Duration, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut node = Following::start(settings, 1, listener.local_addr().expect("an address"));
    let (mut silent, _) = listener.accept().await.expect("a connection");
    call(&mut silent).await.expect("the whole list is asked for");
    let answers = match at {
        At::Head | At::Body => 1,
        At::Between => 2,
        At::Later => 4,
    };
    let mut watch = String::new();
    for revision in 1..=answers {
        silent.write_all(answer(&listed(revision, "ready")).as_bytes()).await.expect("an answer");
        watch = call(&mut silent).await.expect("a watch");
    }
    let since = Instant::now();
    if matches!(at, At::Body) {
        let whole = answer(&listed(2, "ready"));
        silent.write_all(&whole.as_bytes()[..whole.len() - 9]).await.expect("half an answer");
    }
    let (mut next, _) = listener.accept().await.expect("it is asked anew");
    call(&mut next).await.expect("the whole list is asked for");
    sleep_until(Instant::now() + takes).await;
    next.write_all(answer(&listed(9, "draining")).as_bytes()).await.expect("an answer");
    node.until_draining().await;
    (since.elapsed(), wait_of(&watch))
}

#[tokio::test(start_paused = true)]
async fn what_a_silent_watch_of_an_asked_list_missed_is_learnt_before_it_counts() {
    for at in [At::Head, At::Body, At::Between, At::Later] {
        // One service for all nodes: calls wait in turn.
        let (after, wait) = LocalSet::new().run_until(learnt_after(at, asked(10.0), SECOND)).await;
        let told = (wait + 2 * SECOND).max(6 * SECOND);
        assert!(after < told, "silent at {at:?}: learnt after {after:?}, told after {told:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn what_a_silent_watch_of_a_pushed_list_missed_is_learnt_while_a_drain_leaves_time() {
    for grace in [1.0, 0.5, 0.2] {
        for at in [At::Head, At::Body, At::Between, At::Later] {
            let learnt = learnt_after(at, pushed(grace), Duration::ZERO);
            let (after, _) = LocalSet::new().run_until(learnt).await;
            // What the agent has counts at once.
            let by = Duration::from_secs_f64(grace);
            assert!(after < by, "silent at {at:?}: learnt after {after:?}, where a drain leaves {by:?}");
        }
    }
}

/// After trouble a change counts as told after 6 s: no watch that follows a failed call may hide it for longer.
#[tokio::test(start_paused = true)]
async fn the_first_watch_after_a_failed_call_may_fall_silent_too() {
    let silent = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut node = Following::start(asked(10.0), 1, listener.local_addr().expect("an address"));
        drop(listener.accept().await.expect("a call that fails"));
        let (mut stream, _) = listener.accept().await.expect("it is asked anew");
        call(&mut stream).await.expect("the whole list is asked for");
        stream.write_all(answer(&listed(1, "ready")).as_bytes()).await.expect("an answer");
        call(&mut stream).await.expect("a watch");
        let since = Instant::now();
        let (mut next, _) = listener.accept().await.expect("it is asked anew");
        call(&mut next).await.expect("the whole list is asked for");
        sleep_until(Instant::now() + SECOND).await;
        next.write_all(answer(&listed(2, "draining")).as_bytes()).await.expect("an answer");
        node.until_draining().await;
        since.elapsed()
    };
    let after = LocalSet::new().run_until(silent).await;
    assert!(after < 6 * SECOND, "learnt after {after:?}");
}

/// A call may take longer than half the time to ask, and the balancer then asks a second time: that is not a call that
/// follows the failure of the first at once.
#[tokio::test(start_paused = true)]
async fn a_call_that_was_asked_for_twice_is_made_once() {
    let twice = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let _node = Following::start(asked(1.0), 1, listener.local_addr().expect("an address"));
        let (mut silent, _) = listener.accept().await.expect("a connection");
        call(&mut silent).await.expect("the whole list is asked for");
        let since = Instant::now();
        let gone = silent.read(&mut [0]).await;
        assert!(matches!(gone, Ok(0)), "it is given up: {gone:?}");
        let given_up = Instant::now();
        assert!(given_up - since > SECOND / 2, "the balancer has asked again meanwhile");
        listener.accept().await.expect("it is asked anew");
        given_up.elapsed()
    };
    let after = LocalSet::new().run_until(twice).await;
    // The least that the balancer waits.
    assert!(after >= SECOND / 20, "asked again after {after:?}");
}

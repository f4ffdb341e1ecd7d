//! SIGHUP changes the address of discovery while a call hangs, fails or is pending: the new address is polled at once.

use tokio::task::LocalSet;

use super::*;

/// Behaviour of the old address when the address of discovery changes.
#[derive(Clone, Copy, Debug)]
enum OldServer {
    /// Reads the call and sends nothing, or only a part of its answer.
    Silent,
    SilentInHead,
    SilentInBody,
    /// Closes the connection at each call; the node backs off before the next one.
    Closing,
    /// Answers with the complete list and leaves the watch open.
    Watched,
}

/// Serves the old address.
async fn serve_old(listener: TcpListener, how: OldServer) {
    let mut open_streams = Vec::new();
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        // If the address changes between connecting and calling, the node makes no call here.
        if call(&mut stream).await.is_err() {
            continue;
        }
        let complete = answer(&listed(1, "ready"));
        let head = complete.find("\r\n\r\n").expect("a head");
        let sent = match how {
            OldServer::Silent => "",
            OldServer::SilentInHead => &complete[..head],
            OldServer::SilentInBody => &complete[..complete.len() - 9],
            OldServer::Closing => continue,
            OldServer::Watched => &complete,
        };
        stream.write_all(sent.as_bytes()).await.expect("an answer");
        open_streams.push(stream);
    }
}

async fn bind() -> (TcpListener, std::net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Time from SIGHUP until the node has the list of the new address. With `between`, the address first changes to one
/// more server that stays silent.
async fn time_to_list(
    how: OldServer,
    settings: Settings,
    at: Duration,
    between: bool,
    takes: Duration,
) -> Duration {
    let (first, address) = bind().await;
    let mut node = FollowingNode::start(settings, at.as_millis() as u64, address);
    tokio::task::spawn_local(serve_old(first, how));
    sleep_until(Instant::now() + at).await;
    let (silent, silent_at) = bind().await;
    if between {
        node.address_sender.send_replace(silent_at);
        drop(silent.accept().await.expect("the node connects there"));
    }
    let (listener, address) = bind().await;
    node.address_sender.send_replace(address);
    let since = Instant::now();
    let (mut stream, _) = listener.accept().await.expect("the node polls the new address");
    call(&mut stream).await.expect("a call for the complete list");
    sleep_until(Instant::now() + takes).await;
    stream.write_all(answer(&listed(1, "draining")).as_bytes()).await.expect("an answer");
    node.until_draining().await;
    since.elapsed()
}

/// The list of the new address counts as known 4 s after SIGHUP; a pushed list counts within the drain grace.
#[tokio::test(start_paused = true)]
async fn the_list_of_a_new_address_arrives_in_time_whatever_the_old_one_does() {
    for how in [
        OldServer::Silent,
        OldServer::SilentInHead,
        OldServer::SilentInBody,
        OldServer::Closing,
        OldServer::Watched,
    ] {
        for (settings, takes, by) in
            [(polled(10.0), SECOND, 4 * SECOND), (pushed(0.5), Duration::ZERO, SECOND / 2)]
        {
            for tenths in 0..30 {
                let at = tenths * Duration::from_millis(130);
                let moved = time_to_list(how, settings.clone(), at, tenths % 2 == 1, takes);
                let after = LocalSet::new().run_until(moved).await;
                assert!(after < by, "{how:?}, moved after {at:?}: {after:?} later");
            }
        }
    }
}

/// The address change itself triggers a call, so a poll requested before it must be dropped. Left over, it would be
/// made at once when the new watch fails, at all nodes together.
#[tokio::test(start_paused = true)]
async fn no_poll_request_from_before_a_move_is_left_for_the_next_failure() {
    let moved = async {
        let (first, address) = bind().await;
        let node = FollowingNode::start(polled(10.0), 1, address);
        tokio::task::spawn_local(serve_old(first, OldServer::Closing));
        sleep_until(Instant::now() + 4 * SECOND).await;
        let (listener, address) = bind().await;
        node.address_sender.send_replace(address);
        let (mut stream, _) = listener.accept().await.expect("the node polls the new address");
        call(&mut stream).await.expect("a call for the complete list");
        stream.write_all(answer(&listed(1, "ready")).as_bytes()).await.expect("an answer");
        call(&mut stream).await.expect("a watch");
        // The balancer's next poll request was due within this time.
        sleep_until(Instant::now() + 5 * SECOND / 2).await;
        drop(stream);
        let since = Instant::now();
        listener.accept().await.expect("the node polls again");
        since.elapsed()
    };
    let after = LocalSet::new().run_until(moved).await;
    // Shortest backoff of the balancer; without it all nodes would call at once.
    assert!(after >= SECOND / 10, "polled again after {after:?}");
}

/// Several address changes in quick succession, some back to an earlier address: the last one counts.
#[tokio::test(start_paused = true)]
async fn of_many_moves_in_quick_succession_the_last_one_is_followed() {
    for gap in [0, 1, 7, 50, 400, 1300] {
        let moved = async {
            let (first, address) = bind().await;
            let mut node = FollowingNode::start(polled(10.0), gap, address);
            tokio::task::spawn_local(serve_old(first, OldServer::Watched));
            let (closing, closes_at) = bind().await;
            tokio::task::spawn_local(serve_old(closing, OldServer::Closing));
            let (silent, silent_at) = bind().await;
            tokio::task::spawn_local(serve_old(silent, OldServer::SilentInBody));
            let (last, last_at) = bind().await;
            sleep_until(Instant::now() + SECOND).await;
            for to in [closes_at, silent_at, address, silent_at, closes_at, address] {
                node.address_sender.send_replace(to);
                sleep_until(Instant::now() + Duration::from_millis(gap)).await;
            }
            node.address_sender.send_replace(last_at);
            let since = Instant::now();
            let (mut stream, _) = last.accept().await.expect("the node polls the last address");
            let full_list = call(&mut stream).await.expect("a call");
            assert!(full_list.starts_with("GET /discovery/hosts "), "{full_list}");
            sleep_until(Instant::now() + SECOND).await;
            stream.write_all(answer(&listed(1, "draining")).as_bytes()).await.expect("an answer");
            node.until_draining().await;
            let after = since.elapsed();
            let watch = call(&mut stream).await.expect("a watch at the last address");
            assert!(watch.contains("?index=1&"), "{watch}");
            after
        };
        let after = LocalSet::new().run_until(moved).await;
        assert!(after < 4 * SECOND, "{gap} ms between two moves: {after:?} later");
    }
}

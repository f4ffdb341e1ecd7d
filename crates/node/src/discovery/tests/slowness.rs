//! A discovery that is permanently slow to answer.

use tokio::task::LocalSet;

use super::*;

/// Answers each call later by `takes`. A change during the delay is not part of the answer.
async fn serve_calls(mut stream: TcpStream, takes: Duration, changes: Instant) -> std::io::Result<()> {
    loop {
        let line = call(&mut stream).await?;
        let wait = wait_of(&line);
        let revision = |now: Instant| if now < changes { 1 } else { 2 };
        if line.contains("index=1&") && revision(Instant::now()) == 1 {
            sleep_until((Instant::now() + wait).min(changes)).await;
        } else if !wait.is_zero() && line.contains("index=2&") {
            sleep_until(Instant::now() + wait).await;
        }
        let phase = if revision(Instant::now()) == 1 { "ready" } else { "draining" };
        let text = answer(&listed(revision(Instant::now()), phase));
        sleep_until(Instant::now() + takes).await;
        stream.write_all(text.as_bytes()).await?;
    }
}

/// Time from a change until the node has it, if answers are later by `takes` and the change comes after `change`.
async fn time_to_list(takes: Duration, change: Duration) -> Duration {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut node = FollowingNode::start(polled(10.0), change.as_millis() as u64, address);
    let changes = Instant::now() + change;
    tokio::task::spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::task::spawn_local(serve_calls(stream, takes, changes));
        }
    });
    node.until_draining().await;
    changes.elapsed()
}

#[tokio::test(start_paused = true)]
async fn a_change_at_a_slow_discovery_arrives_within_six_seconds() {
    for takes in [Duration::from_millis(300), SECOND, 2 * SECOND] {
        for step in 0..40 {
            let change = step * Duration::from_millis(370);
            let after = LocalSet::new().run_until(time_to_list(takes, change)).await;
            assert!(after < 6 * SECOND, "answers take {takes:?}, change after {change:?}: {after:?} later");
        }
    }
}

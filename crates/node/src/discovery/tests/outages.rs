//! Outages of any kind and length that end at any point in the cycle of calls: the node has the current list before it
//! counts as known. Runs on the paused clock, with the real balancer deciding when to poll again.

use tokio::net::TcpSocket;
use tokio::task::LocalSet;

use super::*;

/// How calls fail during an outage.
#[derive(Clone, Copy, Debug)]
enum Outage {
    Refused,
    /// The call is read and never answered.
    Silent,
    SilentInHead,
    SilentInBody,
    Reset,
    ResetInHead,
    ResetInBody,
    /// Reset at the end of a body without a length: a reset must not count as its end.
    ResetWithoutLength,
    CutOff,
    Status,
    Garbage,
}

const ALL: [Outage; 11] = [
    Outage::Refused,
    Outage::Silent,
    Outage::SilentInHead,
    Outage::SilentInBody,
    Outage::Reset,
    Outage::ResetInHead,
    Outage::ResetInBody,
    Outage::ResetWithoutLength,
    Outage::CutOff,
    Outage::Status,
    Outage::Garbage,
];

impl Outage {
    /// The part of a complete answer that is sent, or a corrupted answer.
    fn corrupt(self, complete: &str) -> String {
        let head = complete.find("\r\n\r\n").expect("a head");
        match self {
            Outage::Refused | Outage::Silent | Outage::Reset => String::new(),
            Outage::SilentInHead | Outage::ResetInHead => complete[..head - 2].into(),
            Outage::SilentInBody | Outage::ResetInBody | Outage::CutOff => {
                complete[..complete.len() - 9].into()
            }
            Outage::ResetWithoutLength => format!("HTTP/1.1 200 OK\r\n\r\n{}", &complete[head + 4..]),
            Outage::Status => complete.replacen("200 OK", "500 Failure", 1),
            Outage::Garbage => answer("[{]"),
        }
    }

    /// Answers a call as this kind of outage does.
    async fn answer(self, mut stream: TcpStream) {
        let text = self.corrupt(&answer(&listed(1, "ready")));
        stream.write_all(text.as_bytes()).await.expect("an answer");
        match self {
            Outage::Reset | Outage::ResetInHead | Outage::ResetInBody | Outage::ResetWithoutLength => {
                reset(stream)
            }
            Outage::CutOff | Outage::Refused => {}
            // The connection stays open.
            _ => std::future::pending().await,
        }
    }
}

/// Fails the calls that arrive before `over`, and answers later ones, each after `takes`.
async fn serve_calls(
    mut stream: TcpStream,
    outage: Outage,
    over: Instant,
    takes: Duration,
) -> std::io::Result<()> {
    loop {
        call(&mut stream).await?;
        if Instant::now() < over {
            outage.answer(stream).await;
            return Ok(());
        }
        sleep_until(Instant::now() + takes).await;
        stream.write_all(answer(&listed(2, "draining")).as_bytes()).await?;
    }
}

/// Time from the end of an outage until the node has the list, if discovery takes `takes` for an answer.
async fn time_to_list(settings: &Settings, outage: Outage, length: Duration, takes: Duration) -> Duration {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let seed = length.as_millis() as u64;
    let mut node = FollowingNode::start(settings.clone(), seed, socket.local_addr().expect("an address"));
    let over = Instant::now() + length;
    let serve = async {
        // A port that is bound but not listening refuses connections.
        if matches!(outage, Outage::Refused) {
            sleep_until(over).await;
        }
        let listener = socket.listen(64).expect("a listener");
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::task::spawn_local(serve_calls(stream, outage, over, takes));
        }
    };
    tokio::select! {
        () = serve => unreachable!("it serves forever"),
        () = node.until_draining() => {}
    }
    Instant::now() - over
}

/// Longest time over all kinds of outages and 16 lengths, `step` apart, with a description of that outage.
async fn slowest(settings: &Settings, step: Duration, takes: Duration) -> (Duration, String) {
    slowest_after_longer(Duration::ZERO, settings, step, takes).await
}

/// What [`slowest`] returns, for outages that are longer by `extra`.
async fn slowest_after_longer(
    extra: Duration,
    settings: &Settings,
    step: Duration,
    takes: Duration,
) -> (Duration, String) {
    let mut slowest = (Duration::ZERO, String::new());
    for outage in ALL {
        for steps in 0..16 {
            let length = extra + steps * step;
            let after = LocalSet::new().run_until(time_to_list(settings, outage, length, takes)).await;
            slowest = slowest.max((after, format!("{outage:?} for {length:?}")));
        }
    }
    slowest
}

#[tokio::test(start_paused = true)]
async fn a_polled_list_arrives_within_six_seconds_after_any_outage() {
    for (poll_interval, known_after) in [(10.0, 6 * SECOND), (1.0, 4 * SECOND)] {
        let (after, what) = slowest(&polled(poll_interval), Duration::from_millis(587), SECOND).await;
        assert!(after < known_after, "{what}: {after:?} later, polled every {poll_interval} s");
    }
}

#[tokio::test(start_paused = true)]
async fn a_pushed_list_arrives_within_the_drain_grace_after_any_outage() {
    for grace in [1.0, 0.5, 0.2] {
        let (after, what) = slowest(&pushed(grace), Duration::from_millis(143), Duration::ZERO).await;
        let by = Duration::from_secs_f64(grace);
        assert!(after < by, "{what}: {after:?} later, with a drain grace of {by:?}");
    }
}

/// No delay grows with the length of an outage.
#[tokio::test(start_paused = true)]
async fn a_list_arrives_in_time_after_a_long_outage_too() {
    let step = Duration::from_millis(587);
    let (after, what) = slowest_after_longer(90 * SECOND, &polled(10.0), step, SECOND).await;
    assert!(after < 6 * SECOND, "{what}: {after:?} later");
    let step = Duration::from_millis(143);
    let (after, what) = slowest_after_longer(6 * SECOND, &pushed(0.5), step, Duration::ZERO).await;
    assert!(after < SECOND / 2, "{what}: {after:?} later");
}

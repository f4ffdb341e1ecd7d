//! A box's machine on loopback: its listening socket, and the connections to it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use hallpin_protocol::cache_server::{self, Call};
use hallpin_simulation::day::NodeId;
use hallpin_simulation::list::BoxId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, sleep_until, Instant};

use super::loopback::{self, PAUSE};
use super::stage::{Mode, Shared};

/// What lies between the nodes of a depot and a box: the box's machine, and the network on the way.
struct Way {
    at: BoxId,
    mode: watch::Receiver<Mode>,
    /// How many incidents part the two.
    link: watch::Receiver<u32>,
}

impl Way {
    fn new(stage: &Shared, at: BoxId, from: usize) -> Self {
        let stage = stage.borrow();
        Way { at, mode: stage.mode(at), link: stage.link(from, at) }
    }

    fn is_parted(&self) -> bool {
        *self.link.borrow() > 0
    }

    /// How the box's machine looks from the depot.
    fn seen(&mut self) -> Mode {
        let mode = *self.mode.borrow_and_update();
        let parted = *self.link.borrow_and_update() > 0;
        if parted {
            Mode::Silent
        } else {
            mode
        }
    }

    /// Waits until either may have changed; false once the day is over.
    async fn changed(&mut self) -> bool {
        tokio::select! {
            turned = self.mode.changed() => turned.is_ok(),
            turned = self.link.changed() => turned.is_ok(),
        }
    }
}

/// Plays a box's machine towards the nodes of a depot until the day is over.
pub(super) async fn run(stage: Shared, at: BoxId, from: usize) {
    let address = stage.borrow().addresses[at][from];
    let mut way = Way::new(&stage, at, from);
    loop {
        let goes_on = match way.seen() {
            Mode::Open(life) => tokio::select! {
                goes_on = way.changed() => goes_on,
                () = serve(&stage, at, from, life, address) => unreachable!("serves until its mode turns"),
            },
            Mode::Silent => tokio::select! {
                goes_on = way.changed() => goes_on,
                () = loopback::swallow(address) => unreachable!("swallows until its mode turns"),
            },
            Mode::Down => way.changed().await,
        };
        if !goes_on {
            return;
        }
    }
}

/// Accepts for ever, for one life of the process.
async fn serve(stage: &Shared, at: BoxId, from: usize, life: u32, address: SocketAddr) {
    let listener = loopback::listen(address).await;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let way = Way::new(stage, at, from);
                tokio::task::spawn_local(connection(stage.clone(), life, stream, way));
            }
            Err(_) => sleep(PAUSE).await,
        }
    }
}

/// An answer that is owed on a connection, in its turn.
struct Owed {
    reply: oneshot::Receiver<Vec<u8>>,
    /// It has come, and goes out then.
    ready: Option<(Vec<u8>, Instant)>,
    token: Option<u64>,
    delay: Duration,
}

impl Owed {
    /// Waits until it may go out; false if nothing will come. Nothing is lost when the future is dropped.
    async fn ready(&mut self) -> bool {
        if self.ready.is_none() {
            let Ok(text) = (&mut self.reply).await else { return false };
            self.ready = Some((text, Instant::now() + self.delay));
        }
        if let Some((_, at)) = &self.ready {
            sleep_until(*at).await;
        }
        true
    }
}

/// Reads commands and answers them in their order, until either side ends or the process's life does.
async fn connection(stage: Shared, life: u32, mut stream: TcpStream, mut way: Way) {
    let at = way.at;
    let idle_close = Duration::from_micros(stage.borrow().day.boxes[at].idle_close.0);
    if way.seen() != Mode::Open(life) || !stage.borrow_mut().connected(at) {
        return loopback::reset(&stream);
    }
    let _ = stream.set_nodelay(true);
    let (mut input, mut owed, mut used) = (BytesMut::new(), VecDeque::<Owed>::new(), Instant::now());
    // One whose machine is silent stays open and says nothing until the process has started anew; one whose depots are
    // parted, until they are no more.
    let mut silent = false;
    let ended_by_life = loop {
        while let Some(call) = cache_server::next_call(&mut input) {
            if let Some(next) = take(&stage, &way, call, silent) {
                owed.push_back(next);
            }
        }
        let idle = owed.is_empty() && !silent;
        let next = async {
            match owed.front_mut() {
                Some(first) => first.ready().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            read = stream.read_buf(&mut input) => match read {
                Ok(n) if n > 0 => used = Instant::now(),
                _ => break false,
            },
            came = next, if !silent => {
                let text = owed.pop_front().and_then(|first| first.ready).map(|(text, _)| text);
                match text.filter(|_| came) {
                    Some(text) if stream.write_all(&text).await.is_ok() => used = Instant::now(),
                    _ => break false,
                }
            }
            goes_on = way.changed() => match (goes_on, way.seen()) {
                (true, Mode::Silent) => silent = true,
                (true, Mode::Open(now)) if now == life => silent = false,
                _ => break true,
            },
            () = sleep_until(used + idle_close), if idle => break false,
        }
    };
    for token in owed.iter().filter_map(|o| o.token) {
        stage.borrow_mut().hung_up(token);
    }
    stage.borrow_mut().disconnected(at, life);
    if ended_by_life {
        loopback::reset(&stream);
    }
}

fn take(stage: &Shared, way: &Way, call: Call, silent: bool) -> Option<Owed> {
    let at = way.at;
    let at_once = |text: Vec<u8>| {
        let (tell, reply) = oneshot::channel();
        let _ = tell.send(text);
        Owed { reply, ready: None, token: None, delay: Duration::ZERO }
    };
    match call {
        Call::Command(command) => {
            let (tell, reply) = oneshot::channel();
            let taken: Option<(u64, NodeId)> =
                stage.borrow_mut().command(at, !way.is_parted(), &command, tell);
            let Some((token, node)) = taken else {
                return Some(at_once(b"CLIENT_ERROR unknown id\r\n".to_vec()));
            };
            let delay = stage.borrow_mut().round_trip(node, at);
            Some(Owed { reply, ready: None, token: Some(token), delay })
        }
        _ if silent => None,
        Call::HealthCheck => {
            stage.borrow_mut().probed(at);
            Some(at_once(b"MN\r\n".to_vec()))
        }
        Call::LoadReport => {
            stage.borrow_mut().probed(at);
            let load = stage.borrow_mut().load(at);
            Some(at_once(cache_server::load(&load)))
        }
        Call::Invalid { answer, .. } => Some(at_once(answer.as_bytes().to_vec())),
    }
}

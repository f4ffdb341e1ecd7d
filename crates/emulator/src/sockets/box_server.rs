//! Fake box on loopback: its listener and its connections.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use hallpin_protocol::cache_server::{self, Call};
use hallpin_simulation::list::BoxId;
use hallpin_simulation::run_spec::NodeId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, sleep_until, Instant};

use super::environment::{MachineMode, SharedEnvironment};
use super::loopback::{self, RETRY_DELAY};

/// State of a box's machine and of the network between it and the nodes of one depot.
struct BoxPath {
    box_id: BoxId,
    mode: watch::Receiver<MachineMode>,
    /// Number of incidents that currently partition the depot from the box.
    link: watch::Receiver<u32>,
}

impl BoxPath {
    fn new(environment: &SharedEnvironment, box_id: BoxId, depot: usize) -> Self {
        let environment = environment.borrow();
        BoxPath { box_id, mode: environment.mode(box_id), link: environment.link(depot, box_id) }
    }

    fn is_partitioned(&self) -> bool {
        *self.link.borrow() > 0
    }

    /// Mode of the box as observed from the depot: silent while the two are partitioned.
    fn observed_mode(&mut self) -> MachineMode {
        let mode = *self.mode.borrow_and_update();
        let partitioned = *self.link.borrow_and_update() > 0;
        if partitioned {
            MachineMode::Silent
        } else {
            mode
        }
    }

    /// Waits until the mode or the link may have changed; false once the run is over.
    async fn changed(&mut self) -> bool {
        tokio::select! {
            result = self.mode.changed() => result.is_ok(),
            result = self.link.changed() => result.is_ok(),
        }
    }
}

/// Acts as a box towards the nodes of one depot until the run is over.
pub(super) async fn run(environment: SharedEnvironment, box_id: BoxId, depot: usize) {
    let address = environment.borrow().addresses[box_id][depot];
    let mut path = BoxPath::new(&environment, box_id, depot);
    loop {
        let is_running = match path.observed_mode() {
            MachineMode::Open(incarnation) => tokio::select! {
                is_running = path.changed() => is_running,
                () = serve(&environment, box_id, depot, incarnation, address) => unreachable!("the listener serves until the mode changes"),
            },
            MachineMode::Silent => tokio::select! {
                is_running = path.changed() => is_running,
                () = loopback::drop_connections(address) => unreachable!("connections are dropped until the mode changes"),
            },
            MachineMode::Down => path.changed().await,
        };
        if !is_running {
            return;
        }
    }
}

/// Accepts connections for one incarnation of the process; never returns.
async fn serve(
    environment: &SharedEnvironment,
    box_id: BoxId,
    depot: usize,
    incarnation: u32,
    address: SocketAddr,
) {
    let listener = loopback::listen(address).await;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let path = BoxPath::new(environment, box_id, depot);
                tokio::task::spawn_local(connection(environment.clone(), incarnation, stream, path));
            }
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

/// An answer to a command on a connection, in pipeline order.
struct PendingAnswer {
    reply: oneshot::Receiver<Vec<u8>>,
    /// The answer, once it is there, and the time at which it is sent.
    due: Option<(Vec<u8>, Instant)>,
    /// Token of the attempt; `None` for answers that need no work.
    token: Option<u64>,
    /// Emulated round-trip time; zero for answers that need no work.
    delay: Duration,
}

impl PendingAnswer {
    /// Waits until the answer may be sent; false if none will come. Cancel-safe: dropping the future loses no answer.
    async fn wait_until_due(&mut self) -> bool {
        if self.due.is_none() {
            let Ok(text) = (&mut self.reply).await else { return false };
            self.due = Some((text, Instant::now() + self.delay));
        }
        if let Some((_, send_time)) = &self.due {
            sleep_until(*send_time).await;
        }
        true
    }
}

/// Reads commands and answers them in order, until either side closes or the incarnation of the process ends.
/// Resets the connection at once if the box's connection table is full or the box no longer listens.
async fn connection(
    environment: SharedEnvironment,
    incarnation: u32,
    mut stream: TcpStream,
    mut path: BoxPath,
) {
    let box_id = path.box_id;
    let idle_close = Duration::from_micros(environment.borrow().run_spec.boxes[box_id].idle_close.0);
    if path.observed_mode() != MachineMode::Open(incarnation) || !environment.borrow_mut().connected(box_id) {
        return loopback::reset_on_close(&stream);
    }
    let _ = stream.set_nodelay(true);
    let (mut input, mut pending, mut last_used) =
        (BytesMut::new(), VecDeque::<PendingAnswer>::new(), Instant::now());
    // A connection stays open without answers while the machine is silent, until the process has restarted, or while
    // the depots are partitioned, until the partition heals.
    let mut silent = false;
    let process_ended = loop {
        while let Some(call) = cache_server::next_call(&mut input) {
            if let Some(next) = handle_call(&environment, &path, call, silent) {
                pending.push_back(next);
            }
        }
        let idle = pending.is_empty() && !silent;
        let next = async {
            match pending.front_mut() {
                Some(first) => first.wait_until_due().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            read = stream.read_buf(&mut input) => match read {
                Ok(n) if n > 0 => last_used = Instant::now(),
                _ => break false,
            },
            available = next, if !silent => {
                let text = pending.pop_front().and_then(|first| first.due).map(|(text, _)| text);
                match text.filter(|_| available) {
                    Some(text) if stream.write_all(&text).await.is_ok() => last_used = Instant::now(),
                    _ => break false,
                }
            }
            is_running = path.changed() => match (is_running, path.observed_mode()) {
                (true, MachineMode::Silent) => silent = true,
                (true, MachineMode::Open(current)) if current == incarnation => silent = false,
                _ => break true,
            },
            () = sleep_until(last_used + idle_close), if idle => break false,
        }
    };
    for token in pending.iter().filter_map(|answer| answer.token) {
        environment.borrow_mut().cancel_attempt(token);
    }
    environment.borrow_mut().disconnected(box_id, incarnation);
    if process_ended {
        loopback::reset_on_close(&stream);
    }
}

/// Handles one call of a connection; `None` for every call but a command while the machine is silent or the
/// depots are partitioned.
fn handle_call(
    environment: &SharedEnvironment,
    path: &BoxPath,
    call: Call,
    silent: bool,
) -> Option<PendingAnswer> {
    let box_id = path.box_id;
    let immediate = |text: Vec<u8>| {
        let (sender, reply) = oneshot::channel();
        let _ = sender.send(text);
        PendingAnswer { reply, due: None, token: None, delay: Duration::ZERO }
    };
    match call {
        Call::Command(command) => {
            let (sender, reply) = oneshot::channel();
            let taken: Option<(u64, NodeId)> =
                environment.borrow_mut().handle_command(box_id, !path.is_partitioned(), &command, sender);
            let Some((token, node)) = taken else {
                return Some(immediate(b"CLIENT_ERROR unknown id\r\n".to_vec()));
            };
            let delay = environment.borrow_mut().round_trip(node, box_id);
            Some(PendingAnswer { reply, due: None, token: Some(token), delay })
        }
        _ if silent => None,
        Call::HealthCheck => {
            environment.borrow_mut().health_checked(box_id);
            Some(immediate(b"MN\r\n".to_vec()))
        }
        Call::LoadReport => {
            environment.borrow_mut().health_checked(box_id);
            let load = environment.borrow_mut().load(box_id);
            Some(immediate(cache_server::load(&load)))
        }
        Call::Invalid { answer, .. } => Some(immediate(answer.as_bytes().to_vec())),
    }
}

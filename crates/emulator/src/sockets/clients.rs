//! Clients on sockets: each try goes out on a pooled connection to its node, or on a new one.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use hallpin_protocol::client::{next_answer, Answer, ClientCommand};
use hallpin_simulation::clients::Reply;
use hallpin_simulation::keys;
use hallpin_simulation::run_spec::Entry;
use hallpin_simulation::time::{Span, Time};
use hallpin_simulation::trace::{Event, TryId, TryOutcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout_at, Instant};

use super::environment::{SharedEnvironment, TryState};

/// Number of pieces in which a slow client writes its command.
const WRITE_PIECES: u32 = 5;

/// Idle connections to each node, the most recently used last.
pub(super) type Pools = Rc<Vec<RefCell<VecDeque<TcpStream>>>>;

/// Sends the scenario's requests, each in its own task, until there are no further arrivals.
pub(super) async fn run(environment: SharedEnvironment, nodes: Rc<Vec<SocketAddr>>, pools: Pools) {
    loop {
        let now = environment.borrow().now();
        let next = environment.borrow_mut().clients.next_arrival(now);
        let Some(at) = next else { return };
        let instant = environment.borrow().instant(at);
        sleep_until(instant).await;
        let tries = {
            let mut guard = environment.borrow_mut();
            let environment = &mut *guard;
            let now = environment.now();
            let steps = environment.clients.arrival(now, &environment.keys);
            environment.client_steps(steps)
        };
        for (_, ask) in tries {
            tokio::task::spawn_local(run_request(environment.clone(), ask, nodes.clone(), pools.clone()));
        }
    }
}

/// Runs one request over all its tries.
async fn run_request(environment: SharedEnvironment, ask: u64, nodes: Rc<Vec<SocketAddr>>, pools: Pools) {
    loop {
        let next_try = {
            let mut environment = environment.borrow_mut();
            let now = environment.now();
            let open = match environment.run_spec.clients.entry {
                Entry::Own => vec![true; nodes.len()],
                Entry::Front => environment.nodes_up.clone(),
            };
            environment.clients.next_try(now, ask, &open)
        };
        let Some((id, until)) = next_try else { return };
        let reply = run_try(&environment, id, until, &nodes, &pools).await;
        let tries = {
            let mut environment = environment.borrow_mut();
            environment.tries.remove(&id);
            let now = environment.now();
            let steps = environment.clients.reply(now, id, reply);
            environment.client_steps(steps)
        };
        let Some((at, _)) = tries.into_iter().next() else { return };
        let instant = environment.borrow().instant(at);
        sleep_until(instant).await;
    }
}

/// Sends one try to its node and waits for the answer until the try's deadline.
async fn run_try(
    environment: &SharedEnvironment,
    id: TryId,
    until: Time,
    nodes: &[SocketAddr],
    pools: &Pools,
) -> Reply {
    let Some((node, command)) = prepare_command(environment, id) else { return Reply::Unreached };
    let deadline = environment.borrow().instant(until);
    let mut pooled = pools[node].borrow_mut().pop_back();
    loop {
        let reused = pooled.is_some();
        let stream = match pooled.take() {
            Some(stream) => Ok(Ok(stream)),
            None => timeout_at(deadline, TcpStream::connect(nodes[node])).await,
        };
        let Ok(Ok(mut stream)) = stream else { return Reply::Unreached };
        let _ = stream.set_nodelay(true);
        match timeout_at(deadline, command.write(&mut stream)).await {
            Ok(Ok(())) => record_taken(environment, id),
            Ok(Err(_)) if reused => continue,
            Ok(Err(_)) => return Reply::Unreached,
            // The deadline passed before the command was written completely, so the node has not received the request.
            Err(_) => return Reply::Nothing,
        }
        let mut input = BytesMut::new();
        loop {
            let read = timeout_at(deadline, stream.read_buf(&mut input)).await;
            match read {
                // The deadline passed: the client closes its connection.
                Err(_) => {
                    environment.borrow_mut().record(Event::Abandoned { id });
                    return Reply::Nothing;
                }
                Ok(Ok(n)) if n > 0 => match next_answer(&mut input) {
                    Ok(None) => {}
                    Ok(Some(answer)) => {
                        let reply = record_answer(environment, id, answer);
                        pools[node].borrow_mut().push_back(stream);
                        return reply;
                    }
                    Err(_) => return Reply::Reset,
                },
                // A pooled connection that closes without an answer was closed while the request was on its way: the
                // request is sent again on a new connection.
                Ok(_) if reused && input.is_empty() => break,
                Ok(_) => return Reply::Reset,
            }
        }
    }
}

/// An encoded command, and how long its client takes to write it.
struct TimedCommand {
    text: Vec<u8>,
    /// Time between the first and the last byte.
    write_time: Duration,
}

impl TimedCommand {
    async fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        if self.write_time.is_zero() {
            return stream.write_all(&self.text).await;
        }
        let (began, pause) = (Instant::now(), self.write_time / (WRITE_PIECES - 1));
        let length = self.text.len().div_ceil(WRITE_PIECES as usize);
        for (number, piece) in (0..).zip(self.text.chunks(length)) {
            sleep_until(began + pause * number).await;
            stream.write_all(piece).await?;
        }
        Ok(())
    }
}

/// Encodes the command of a try and registers the try; returns its node and the command.
fn prepare_command(environment: &SharedEnvironment, id: TryId) -> Option<(usize, TimedCommand)> {
    let mut environment = environment.borrow_mut();
    let (now, run_spec) = (environment.now(), environment.run_spec.clone());
    let (node, ask, until, writing) =
        environment.clients.open_try(id).map(|t| (t.node, t.ask, t.until, t.writing))?;
    let request = environment.clients.ask(ask)?.clone();
    let class = &run_spec.classes[request.class];
    let opaque = format!("{id:x}");
    let effect = request.effect.map(|key| format!("{key:016x}"));
    let command = ClientCommand {
        key: &keys::wire_name(request.key),
        value: class.write.then_some(b"reported".as_slice()),
        opaque: &opaque,
        class: &class.name,
        tenant: request.tenant.map(|t| run_spec.tenants[t].name.as_str()),
        wait: Duration::from_micros(until.since(now).0),
        work_hint: request.hint.map(Duration::from_secs_f64),
        idempotency_key: effect.as_deref(),
        retry: false,
    };
    let command = TimedCommand { text: command.to_bytes(), write_time: Duration::from_micros(writing.0) };
    environment.tries.insert(id, TryState::new(node));
    Some((node, command))
}

/// Records that the node has taken a try, unless its process is dead or the try was recorded before.
fn record_taken(environment: &SharedEnvironment, id: TryId) {
    let mut environment = environment.borrow_mut();
    if let Some((ask, node, until)) = environment.clients.open_try(id).map(|t| (t.ask, t.node, t.until)) {
        // Bytes that the socket of a dead process still accepted reach no node.
        if environment.nodes_alive[node] && environment.tries.get_mut(&id).is_some_and(TryState::mark_taken) {
            environment.record(Event::TryAccepted { id, ask, node, until });
        }
    }
}

/// Records the final answer of a try and converts it for the client model.
fn record_answer(environment: &SharedEnvironment, id: TryId, answer: Answer) -> Reply {
    let parse_version = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().parse::<u64>().ok();
    let (how, advice, version) = match &answer {
        Answer::Value(value, _) => (TryOutcome::Completed, None, parse_version(value)),
        Answer::Receipt(receipt, _) => (TryOutcome::Completed, None, parse_version(receipt)),
        Answer::Busy(advice) => (TryOutcome::Rejected, *advice, None),
        Answer::Failed(_) => (TryOutcome::Failed, None, None),
    };
    // An answer made for another request is recorded under an unused id, which the invariant checker reports as an
    // answer that no box has made.
    let is_own = match &answer {
        Answer::Value(_, opaque) | Answer::Receipt(_, opaque) => *opaque == format!("{id:x}").as_bytes(),
        _ => true,
    };
    let mut environment = environment.borrow_mut();
    let recorded_id = if is_own { id } else { TryId::MAX };
    let advice = advice.map(|a| Span(a.as_micros() as u64));
    environment.record(Event::Answered { id: recorded_id, how, version, advice });
    Reply::Answer { how, advice }
}

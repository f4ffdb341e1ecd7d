//! The clients on sockets: each try on a kept connection of its client process, or on a new one.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use hallpin_protocol::client::{next_answer, Answer, ClientCommand};
use hallpin_simulation::clients::Reply;
use hallpin_simulation::day::Entry;
use hallpin_simulation::keys;
use hallpin_simulation::time::{Span, Time};
use hallpin_simulation::trace::{Event, How, TryId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout_at, Instant};

use super::stage::{Shared, Tried};

/// A client that writes slowly does so in so many pieces.
const PIECES: u32 = 5;

/// Kept connections to each node, the last used at the end.
pub(super) type Pools = Rc<Vec<RefCell<VecDeque<TcpStream>>>>;

/// Sends the day's requests, each in a task of its own, until the day's are over.
pub(super) async fn run(stage: Shared, nodes: Rc<Vec<SocketAddr>>, pools: Pools) {
    loop {
        let now = stage.borrow().now();
        let next = stage.borrow_mut().clients.next_arrival(now);
        let Some(at) = next else { return };
        let instant = stage.borrow().instant(at);
        sleep_until(instant).await;
        let tries = {
            let mut guard = stage.borrow_mut();
            let stage = &mut *guard;
            let now = stage.now();
            let steps = stage.clients.arrival(now, &stage.keys);
            stage.client_steps(steps)
        };
        for (_, ask) in tries {
            tokio::task::spawn_local(asking(stage.clone(), ask, nodes.clone(), pools.clone()));
        }
    }
}

/// One request, over all its tries.
async fn asking(stage: Shared, ask: u64, nodes: Rc<Vec<SocketAddr>>, pools: Pools) {
    loop {
        let tried = {
            let mut stage = stage.borrow_mut();
            let now = stage.now();
            let open = match stage.day.clients.entry {
                Entry::Own => vec![true; nodes.len()],
                Entry::Front => stage.nodes_up.clone(),
            };
            stage.clients.next_try(now, ask, &open)
        };
        let Some((id, over)) = tried else { return };
        let reply = one_try(&stage, id, over, &nodes, &pools).await;
        let tries = {
            let mut stage = stage.borrow_mut();
            stage.tries.remove(&id);
            let now = stage.now();
            let steps = stage.clients.reply(now, id, reply);
            stage.client_steps(steps)
        };
        let Some((at, _)) = tries.into_iter().next() else { return };
        let instant = stage.borrow().instant(at);
        sleep_until(instant).await;
    }
}

async fn one_try(stage: &Shared, id: TryId, over: Time, nodes: &[SocketAddr], pools: &Pools) -> Reply {
    let Some((node, command)) = command_of(stage, id) else { return Reply::Unreached };
    let deadline = stage.borrow().instant(over);
    let mut kept = pools[node].borrow_mut().pop_back();
    loop {
        let reused = kept.is_some();
        let stream = match kept.take() {
            Some(stream) => Ok(Ok(stream)),
            None => timeout_at(deadline, TcpStream::connect(nodes[node])).await,
        };
        let Ok(Ok(mut stream)) = stream else { return Reply::Unreached };
        let _ = stream.set_nodelay(true);
        match timeout_at(deadline, command.write(&mut stream)).await {
            Ok(Ok(())) => taken(stage, id),
            Ok(Err(_)) if reused => continue,
            Ok(Err(_)) => return Reply::Unreached,
            // Its time is up before it has written all: the node has no request of it.
            Err(_) => return Reply::Nothing,
        }
        let mut input = BytesMut::new();
        loop {
            let read = timeout_at(deadline, stream.read_buf(&mut input)).await;
            match read {
                // Its time is up: the client closes its connection and is gone.
                Err(_) => {
                    stage.borrow_mut().record(Event::Abandoned { id });
                    return Reply::Nothing;
                }
                Ok(Ok(n)) if n > 0 => match next_answer(&mut input) {
                    Ok(None) => {}
                    Ok(Some(answer)) => {
                        let reply = answered(stage, id, answer);
                        pools[node].borrow_mut().push_back(stream);
                        return reply;
                    }
                    Err(_) => return Reply::Reset,
                },
                // A kept connection that closes without a word crossed the request: once more, on a new one.
                Ok(_) if reused && input.is_empty() => break,
                Ok(_) => return Reply::Reset,
            }
        }
    }
}

/// A command as its client writes it.
struct Written {
    text: Vec<u8>,
    /// Its last byte is written so long after its first.
    over: Duration,
}

impl Written {
    async fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        if self.over.is_zero() {
            return stream.write_all(&self.text).await;
        }
        let (began, pause) = (Instant::now(), self.over / (PIECES - 1));
        let length = self.text.len().div_ceil(PIECES as usize);
        for (number, piece) in (0..).zip(self.text.chunks(length)) {
            sleep_until(began + pause * number).await;
            stream.write_all(piece).await?;
        }
        Ok(())
    }
}

/// The command of a try, and its node.
fn command_of(stage: &Shared, id: TryId) -> Option<(usize, Written)> {
    let mut stage = stage.borrow_mut();
    let (now, day) = (stage.now(), stage.day.clone());
    let (node, ask, until, writing) =
        stage.clients.open_try(id).map(|t| (t.node, t.ask, t.until, t.writing))?;
    let asking = stage.clients.ask(ask)?.clone();
    let class = &day.classes[asking.class];
    let opaque = format!("{id:x}");
    let effect = asking.effect.map(|key| format!("{key:016x}"));
    let command = ClientCommand {
        key: &keys::name(asking.key),
        value: class.write.then_some(b"reported".as_slice()),
        opaque: &opaque,
        class: &class.name,
        tenant: asking.tenant.map(|t| day.tenants[t].name.as_str()),
        wait: Duration::from_micros(until.since(now).0),
        work_hint: asking.hint.map(Duration::from_secs_f64),
        idempotency_key: effect.as_deref(),
        retry: false,
    };
    let written = Written { text: command.to_bytes(), over: Duration::from_micros(writing.0) };
    stage.tries.insert(id, Tried::new(node));
    Some((node, written))
}

fn taken(stage: &Shared, id: TryId) {
    let mut stage = stage.borrow_mut();
    if let Some((ask, node, until)) = stage.clients.open_try(id).map(|t| (t.ask, t.node, t.until)) {
        // What a dead process's socket still took in is nobody's.
        if stage.nodes_alive[node] && stage.tries.get_mut(&id).is_some_and(Tried::take) {
            stage.record(Event::Taken { id, ask, node, until });
        }
    }
}

fn answered(stage: &Shared, id: TryId, answer: Answer) -> Reply {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim().parse::<u64>().ok();
    let (how, advice, version) = match &answer {
        Answer::Value(value, _) => (How::Completed, None, text(value)),
        Answer::Receipt(receipt, _) => (How::Completed, None, text(receipt)),
        Answer::Busy(advice) => (How::Rejected, *advice, None),
        Answer::Failed(_) => (How::Failed, None, None),
    };
    // What was made for another request is a lost one, which the referee sees as an answer that no box has made.
    let own = match &answer {
        Answer::Value(_, opaque) | Answer::Receipt(_, opaque) => *opaque == format!("{id:x}").as_bytes(),
        _ => true,
    };
    let mut stage = stage.borrow_mut();
    let id_answered = if own { id } else { TryId::MAX };
    let advice = advice.map(|a| Span(a.as_micros() as u64));
    stage.record(Event::Answered { id: id_answered, how, version, advice });
    Reply::Answer { how, advice }
}

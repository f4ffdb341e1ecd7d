//! One connection from a node to a box: reads commands and answers them in order.

use std::rc::Rc;

use bytes::BytesMut;
use hallpin_balancer::CacheNote;
use hallpin_emulator::loopback;
use hallpin_protocol::cache_server::{self, Call, Remarks};
use hallpin_protocol::{Command, Verb};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::cache_box::{CacheBox, Life};
use crate::trace::{BoxAnswer, Event};

/// Maximum number of buffered bytes behind a command that is being executed; more end the connection.
const AHEAD: usize = 1 << 20;

/// Why the connection ended: it was closed, or the box's process ended.
#[derive(Clone, Copy, PartialEq)]
enum Over {
    Closed,
    Died,
}

struct Connection {
    cache: Rc<CacheBox>,
    node: usize,
    number: u64,
    /// The connection exceeds the box's connection limit.
    excess: bool,
}

/// Serves a connection until it ends, and records its start and end.
pub(super) async fn run(cache: Rc<CacheBox>, life: Life, node: usize, mut stream: TcpStream) {
    let mut lives = cache.lives();
    if *lives.borrow_and_update() != life {
        return loopback::reset(&stream);
    }
    let _ = stream.set_nodelay(true);
    let (number, excess) = cache.opened(node);
    let connection = Connection { cache: cache.clone(), node, number, excess };
    let over = tokio::select! {
        over = connection.serve(&mut stream) => over,
        _ = lives.wait_for(|now| *now != life) => Over::Died,
    };
    if over == Over::Died {
        loopback::reset(&stream);
    }
    drop(stream);
    cache.closed(number);
}

impl Connection {
    async fn serve(&self, stream: &mut TcpStream) -> Over {
        let mut input = BytesMut::new();
        loop {
            while let Some(call) = cache_server::next_call(&mut input) {
                let (text, ends) = match call {
                    Call::Command(command) => match self.command(stream, &mut input, &command).await {
                        Ok(text) => (text, false),
                        Err(over) => return over,
                    },
                    Call::Ready => (b"MN\r\n".to_vec(), false),
                    Call::Load => (b"ERROR\r\n".to_vec(), false),
                    Call::Bad { answer, close } => (answer.as_bytes().to_vec(), close),
                };
                if stream.write_all(&text).await.is_err() || ends {
                    return Over::Closed;
                }
            }
            match stream.read_buf(&mut input).await {
                Ok(read) if read > 0 => {}
                _ => return Over::Closed,
            }
        }
    }

    /// Executes a command, and watches meanwhile whether the node closes the connection.
    async fn command(
        &self,
        stream: &mut TcpStream,
        input: &mut BytesMut,
        command: &Command,
    ) -> Result<Vec<u8>, Over> {
        let Connection { cache, node, number, .. } = self;
        let opaque = String::from_utf8_lossy(&command.opaque()).into_owned();
        let id = u64::from_str_radix(&opaque, 16).unwrap_or(u64::MAX);
        let tenant = command.tenant.as_ref().and_then(|name| cache.tenants.iter().position(|t| t == name));
        let (of, connection, write) = (cache.at, *number, command.verb == Verb::Set);
        let key = command.key.0;
        cache.recorder.record(Event::Attempt { of, node: *node, connection, id, tenant, key, write });
        // Records the answer also if the box's process ends meanwhile.
        let mut ended = Ended { connection: self, id, how: BoxAnswer::Gone };
        let work = async {
            match self.excess {
                true => (BoxAnswer::Busy, 0),
                false => cache.work(command).await,
            }
        };
        tokio::pin!(work);
        let (how, version) = loop {
            tokio::select! {
                done = &mut work => break done,
                read = stream.read_buf(input) => match read {
                    Ok(read) if read > 0 && input.len() < AHEAD => {}
                    _ => return Err(Over::Closed),
                },
            }
        };
        ended.how = how;
        Ok(answer(&opaque, how, version))
    }
}

fn answer(opaque: &str, how: BoxAnswer, version: u64) -> Vec<u8> {
    let noted = |note| Remarks { note: Some(note), load: Vec::new() };
    let value = format!("v{version}");
    match how {
        BoxAnswer::Hit => cache_server::value(opaque, value.as_bytes(), &noted(CacheNote::Hit)),
        BoxAnswer::Miss => cache_server::value(opaque, value.as_bytes(), &noted(CacheNote::Miss)),
        BoxAnswer::Wrote => cache_server::receipt(opaque, &value, &Remarks::default()),
        BoxAnswer::Busy => cache_server::busy(&Remarks::default()),
        BoxAnswer::Failed | BoxAnswer::Gone => cache_server::failed(&Remarks::default()),
    }
}

/// Records how a command ended when it is dropped.
struct Ended<'a> {
    connection: &'a Connection,
    id: u64,
    how: BoxAnswer,
}

impl Drop for Ended<'_> {
    fn drop(&mut self) {
        let Connection { cache, number, .. } = self.connection;
        let (of, connection, id, how) = (cache.at, *number, self.id, self.how);
        cache.recorder.record(Event::Answer { of, connection, id, how });
    }
}

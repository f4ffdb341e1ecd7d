//! One connection from a node to a box: reads commands and answers them in order.

use std::rc::Rc;

use bytes::BytesMut;
use hallpin_balancer::CacheNote;
use hallpin_emulator::loopback;
use hallpin_protocol::cache_server::{self, Call, Remarks};
use hallpin_protocol::{Command, Verb};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::cache_box::{CacheBox, ProcessGeneration};
use crate::trace::{BoxAnswer, Event};

/// Maximum number of buffered bytes behind a command that is being executed; more end the connection.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Why the connection ended: it was closed, or the box's process ended.
#[derive(Clone, Copy, PartialEq)]
enum ConnectionEnd {
    Closed,
    ProcessEnded,
}

struct Connection {
    cache_box: Rc<CacheBox>,
    node: usize,
    number: u64,
    /// The connection exceeds the box's connection limit.
    exceeds_limit: bool,
}

/// Serves a connection until it ends, and records its start and end.
pub(super) async fn run(
    cache_box: Rc<CacheBox>,
    generation: ProcessGeneration,
    node: usize,
    mut stream: TcpStream,
) {
    let mut generations = cache_box.generations();
    if *generations.borrow_and_update() != generation {
        return loopback::reset(&stream);
    }
    let _ = stream.set_nodelay(true);
    let (number, exceeds_limit) = cache_box.opened(node);
    let connection = Connection { cache_box: cache_box.clone(), node, number, exceeds_limit };
    let end = tokio::select! {
        end = connection.serve(&mut stream) => end,
        _ = generations.wait_for(|now| *now != generation) => ConnectionEnd::ProcessEnded,
    };
    if end == ConnectionEnd::ProcessEnded {
        loopback::reset(&stream);
    }
    drop(stream);
    cache_box.closed(number);
}

impl Connection {
    async fn serve(&self, stream: &mut TcpStream) -> ConnectionEnd {
        let mut input = BytesMut::new();
        loop {
            while let Some(call) = cache_server::next_call(&mut input) {
                let (text, ends) = match call {
                    Call::Command(command) => match self.command(stream, &mut input, &command).await {
                        Ok(text) => (text, false),
                        Err(end) => return end,
                    },
                    Call::Ready => (b"MN\r\n".to_vec(), false),
                    Call::Load => (b"ERROR\r\n".to_vec(), false),
                    Call::Bad { answer, close } => (answer.as_bytes().to_vec(), close),
                };
                if stream.write_all(&text).await.is_err() || ends {
                    return ConnectionEnd::Closed;
                }
            }
            match stream.read_buf(&mut input).await {
                Ok(read) if read > 0 => {}
                _ => return ConnectionEnd::Closed,
            }
        }
    }

    /// Executes a command, and watches meanwhile whether the node closes the connection.
    async fn command(
        &self,
        stream: &mut TcpStream,
        input: &mut BytesMut,
        command: &Command,
    ) -> Result<Vec<u8>, ConnectionEnd> {
        let Connection { cache_box, node, number, .. } = self;
        let opaque = String::from_utf8_lossy(&command.opaque()).into_owned();
        let id = u64::from_str_radix(&opaque, 16).unwrap_or(u64::MAX);
        let tenant =
            command.tenant.as_ref().and_then(|name| cache_box.tenants.iter().position(|t| t == name));
        let (of, connection, write) = (cache_box.at, *number, command.verb == Verb::Set);
        let key = command.key.0;
        cache_box.recorder.record(Event::Attempt { of, node: *node, connection, id, tenant, key, write });
        // Records the answer also if the box's process ends meanwhile.
        let mut answer_recorder = AnswerRecorder { connection: self, id, how: BoxAnswer::Gone };
        let work = async {
            match self.exceeds_limit {
                true => (BoxAnswer::Busy, 0),
                false => cache_box.work(command).await,
            }
        };
        tokio::pin!(work);
        let (how, version) = loop {
            tokio::select! {
                done = &mut work => break done,
                read = stream.read_buf(input) => match read {
                    Ok(read) if read > 0 && input.len() < MAX_BUFFERED_BYTES => {}
                    _ => return Err(ConnectionEnd::Closed),
                },
            }
        };
        answer_recorder.how = how;
        Ok(answer(&opaque, how, version))
    }
}

fn answer(opaque: &str, how: BoxAnswer, version: u64) -> Vec<u8> {
    let remarks = |note| Remarks { note: Some(note), load: Vec::new() };
    let value = format!("v{version}");
    match how {
        BoxAnswer::Hit => cache_server::value(opaque, value.as_bytes(), &remarks(CacheNote::Hit)),
        BoxAnswer::Miss => cache_server::value(opaque, value.as_bytes(), &remarks(CacheNote::Miss)),
        BoxAnswer::Wrote => cache_server::receipt(opaque, &value, &Remarks::default()),
        BoxAnswer::Busy => cache_server::busy(&Remarks::default()),
        BoxAnswer::Failed | BoxAnswer::Gone => cache_server::failed(&Remarks::default()),
    }
}

/// When dropped, records how its command ended: `Gone` unless an answer was set.
struct AnswerRecorder<'a> {
    connection: &'a Connection,
    id: u64,
    how: BoxAnswer,
}

impl Drop for AnswerRecorder<'_> {
    fn drop(&mut self) {
        let Connection { cache_box, number, .. } = self.connection;
        let (of, connection, id, how) = (cache_box.at, *number, self.id, self.how);
        cache_box.recorder.record(Event::Answer { of, connection, id, how });
    }
}

//! The cache server's side of a connection: decoding what a node sends and encoding the answers.

use std::fmt::Write;

use bytes::{Buf, BytesMut};
use hallpin_balancer::CacheNote;

use crate::command::{next_input, Command, Input};

/// What a cache server received from a node.
#[derive(Debug, PartialEq)]
pub enum Call {
    /// A read or a write.
    Command(Box<Command>),
    /// `mn`: a shallow health check.
    HealthCheck,
    /// `stats load`: a request for the load report.
    LoadReport,
    /// Not a request that a cache server knows.
    Invalid {
        /// The answer line.
        answer: &'static str,
        /// The framing is lost, so the connection must be closed.
        close: bool,
    },
}

const LOAD_REQUEST: &[u8] = b"stats load\r\n";

/// Removes the next complete request from `buf`; `None` while it is incomplete.
pub fn next_call(buf: &mut BytesMut) -> Option<Call> {
    if buf.starts_with(LOAD_REQUEST) {
        buf.advance(LOAD_REQUEST.len());
        return Some(Call::LoadReport);
    }
    next_input(buf).map(|input| match input {
        Input::Command(command) => Call::Command(command),
        Input::HealthCheck => Call::HealthCheck,
        Input::Invalid { answer, close } => Call::Invalid { answer, close },
    })
}

/// Optional flags at the end of an answer's line: the result of the cache lookup and the load report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMetadata {
    /// The result of a read's cache lookup.
    pub cache_note: Option<CacheNote>,
    /// The load report as names and values; empty for none.
    pub load: Vec<(String, f64)>,
}

impl AnswerMetadata {
    fn write(&self, line: &mut String) {
        line.push_str(match self.cache_note {
            Some(CacheNote::Hit) => " h1",
            Some(CacheNote::Miss) => " h0",
            Some(CacheNote::MissFetching) => " h0 Z",
            None => "",
        });
        for (index, (name, value)) in self.load.iter().enumerate() {
            // Writing to a `String` cannot fail.
            let _ = write!(line, "{}{name}={value}", if index == 0 { " L" } else { "," });
        }
        line.push_str("\r\n");
    }
}

/// Encodes a value as the answer to the read with this id.
pub fn value(opaque: &str, value: &[u8], metadata: &AnswerMetadata) -> Vec<u8> {
    let mut line = format!("VA {} O{opaque}", value.len());
    metadata.write(&mut line);
    let mut bytes = line.into_bytes();
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Encodes a receipt as the answer to the write with this id.
pub fn receipt(opaque: &str, receipt: &str, metadata: &AnswerMetadata) -> Vec<u8> {
    let mut line = format!("HD O{opaque} c{receipt}");
    metadata.write(&mut line);
    line.into_bytes()
}

/// Encodes a rejection: the command was not executed.
pub fn busy(metadata: &AnswerMetadata) -> Vec<u8> {
    let mut line = String::from("SERVER_ERROR busy");
    AnswerMetadata { cache_note: None, load: metadata.load.clone() }.write(&mut line);
    line.into_bytes()
}

/// Encodes a failure: the command may have been executed.
pub fn failed(metadata: &AnswerMetadata) -> Vec<u8> {
    let mut line = String::from("SERVER_ERROR failed");
    AnswerMetadata { cache_note: None, load: metadata.load.clone() }.write(&mut line);
    line.into_bytes()
}

/// Encodes the answer to `stats load`.
pub fn load(report: &[(String, f64)]) -> Vec<u8> {
    let mut text = String::new();
    for (name, value) in report {
        // Writing to a `String` cannot fail.
        let _ = write!(text, "STAT {name} {value}\r\n");
    }
    text.push_str("END\r\n");
    text.into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{next_reply, Body, Reply};

    #[test]
    fn a_node_decodes_what_a_cache_server_encodes() {
        let load = vec![("inflight".to_string(), 7.0), ("util".to_string(), 0.61)];
        let metadata = AnswerMetadata { cache_note: Some(CacheNote::MissFetching), load };
        let mut buf = BytesMut::new();
        buf.extend_from_slice(&value("9b1f", b"he\r\nlo", &metadata));
        buf.extend_from_slice(&receipt("9b1f", "77", &AnswerMetadata::default()));
        buf.extend_from_slice(&busy(&metadata));
        buf.extend_from_slice(&failed(&metadata));
        let mut next = || next_reply(&mut buf).unwrap().unwrap();
        let Reply::Served { opaque, body, cache_note } = next() else { panic!("a value") };
        assert_eq!((&opaque[..], cache_note), (&b"9b1f"[..], Some(CacheNote::MissFetching)));
        assert_eq!(body, Body::Value("he\r\nlo".into()));
        assert_eq!(
            next(),
            Reply::Served { opaque: "9b1f".into(), body: Body::Receipt("77".into()), cache_note: None }
        );
        assert_eq!((next(), next()), (Reply::Busy, Reply::Failed));
        assert!(buf.is_empty());
    }

    #[test]
    fn requests_are_decoded_at_any_split() {
        let text = b"stats load\r\nmn\r\nmg k v Oa Pc=r,d=1\r\nstats x\r\n";
        for cut in 0..text.len() {
            let mut buf = BytesMut::from(&text[..cut]);
            let mut got = Vec::new();
            while let Some(call) = next_call(&mut buf) {
                got.push(call);
            }
            buf.extend_from_slice(&text[cut..]);
            while let Some(call) = next_call(&mut buf) {
                got.push(call);
            }
            assert!(
                matches!(
                    got[..],
                    [
                        Call::LoadReport,
                        Call::HealthCheck,
                        Call::Command(_),
                        Call::Invalid { close: false, .. }
                    ]
                ),
                "cut at {cut}: {got:?}"
            );
        }
        assert_eq!(load(&[("qps".into(), 140.0)]), b"STAT qps 140\r\nEND\r\n");
    }
}

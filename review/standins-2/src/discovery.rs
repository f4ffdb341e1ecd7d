//! Discovery as PROTOCOL describes it: the whole list, and watches that answer with what has changed.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

use crate::record::Record;

#[derive(Clone, Debug)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub phase: &'static str,
    pub up_since_ms: u64,
}

impl Member {
    pub fn ready(id: impl Into<String>, address: SocketAddr) -> Self {
        Member { id: id.into(), address, phase: "ready", up_since_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"derby","flavor":"full-box","cell":1,"phase":"{}","size":1.0,"up_since_ms":{}}}"#,
            self.id, self.address, self.phase, self.up_since_ms
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Each member with the revision of its last change; one that is gone stays as a change.
    members: Vec<(u64, Member)>,
    /// Whole lists and changes that were written, with their revision.
    written: Vec<(Instant, u64, bool)>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    pub fn start(record: &Record, members: Vec<Member>) -> Self {
        let members = members.into_iter().map(|member| (1, member)).collect();
        let state = State { revision: 1, members, written: Vec::new() };
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let discovery = Discovery { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let (serving, record) = (discovery.clone(), record.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (serving, record) = (serving.clone(), record.clone());
                spawn(move || {
                    let _ = serving.serve(stream, &record);
                });
            }
        });
        discovery
    }

    /// Changes members or adds them, all under one new revision.
    pub fn change(&self, changes: Vec<Member>) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        for member in changes {
            match state.members.iter_mut().find(|(_, known)| known.id == member.id) {
                Some(entry) => *entry = (revision, member),
                None => state.members.push((revision, member)),
            }
        }
        changed.notify_all();
        revision
    }

    /// When a list or a change of at least this revision was first written to the node.
    pub fn told(&self, revision: u64) -> Option<Instant> {
        let state = self.state.0.lock().unwrap();
        state.written.iter().find(|(_, written, _)| *written >= revision).map(|(at, ..)| *at)
    }

    fn serve(&self, stream: TcpStream, record: &Record) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut first = String::new();
            if reader.read_line(&mut first)? == 0 {
                return Ok(());
            }
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line)? == 0 {
                    return Ok(());
                }
                if line.trim_end().is_empty() {
                    break;
                }
            }
            let path = first.split(' ').nth(1).unwrap_or_default().to_string();
            let parameter = |name: &str| {
                let query = path.split_once('?')?.1;
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let (body, revision, whole) = match parameter("index") {
                None => self.whole(),
                Some(after) => {
                    self.watch(after, Duration::from_millis(parameter("wait").unwrap_or(0).min(60_000)))
                }
            };
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            writer.write_all(answer.as_bytes())?;
            self.state.0.lock().unwrap().written.push((Instant::now(), revision, whole));
            if whole || body.len() > 60 {
                let what = if whole { "whole list" } else { "changes" };
                record.line(&format!("discovery wrote {what} of revision {revision}, {} bytes", body.len()));
            }
        }
    }

    fn whole(&self) -> (String, u64, bool) {
        let state = self.state.0.lock().unwrap();
        let listed: Vec<String> =
            state.members.iter().filter(|(_, m)| m.phase != "gone").map(|(_, m)| m.json()).collect();
        (list(state.revision, true, &listed), state.revision, true)
    }

    fn watch(&self, after: u64, wait: Duration) -> (String, u64, bool) {
        let (state, changed) = &*self.state;
        let until = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        while state.revision <= after {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
        let entries: Vec<String> =
            state.members.iter().filter(|(revision, _)| *revision > after).map(|(_, m)| m.json()).collect();
        (list(state.revision, false, &entries), state.revision, false)
    }
}

pub fn list(revision: u64, complete: bool, members: &[String]) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

/// The whole list in the form that a configuration's `known` has.
pub fn known(members: &[Member]) -> String {
    list(1, true, &members.iter().map(Member::json).collect::<Vec<_>>())
}

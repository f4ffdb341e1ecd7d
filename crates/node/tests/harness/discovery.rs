//! Fake service discovery: serves an endpoint list that the test changes, delays or breaks.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use super::TEST_TIMEOUT;

/// Fake service discovery; clones share one endpoint list.
#[derive(Clone)]
pub struct FakeDiscovery(Arc<(Mutex<DiscoveryState>, Condvar)>);

struct DiscoveryState {
    revision: u64,
    /// JSON entries of the list, separated by commas.
    members: String,
    /// Faults that replace the next answers, one each.
    faults: Vec<Fault>,
    /// Revision that the latest long poll named as already read.
    last_read_revision: u64,
    responsiveness: Responsiveness,
    /// Number of calls received so far.
    calls: usize,
}

/// How promptly the fake discovery answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Responsiveness {
    /// Each call is answered at once.
    Prompt,
    /// Each answer is delayed by this time.
    Slow(Duration),
    /// Every other call is rejected with 503; the answers to the rest are delayed by this time.
    Overloaded(Duration),
}

/// How the fake discovery breaks an answer.
#[derive(Clone)]
pub enum Fault {
    /// Answers with this HTTP status.
    Status(u16),
    /// Answers with this body.
    Body(&'static str),
    /// Closes the connection without an answer.
    Reset,
    /// Sends nothing and keeps the connection open.
    NoAnswer,
}

/// JSON entry of a cache server in an endpoint list.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":1,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

impl FakeDiscovery {
    /// Starts on a port that the system picks; returns the address too.
    pub fn start(members: &[String]) -> (Self, SocketAddr) {
        Self::start_on(TcpListener::bind("127.0.0.1:0").unwrap(), members)
    }

    /// Starts on an existing listener, at which connections may already wait without an answer.
    pub fn start_on(listener: TcpListener, members: &[String]) -> (Self, SocketAddr) {
        let state = DiscoveryState {
            revision: 1,
            members: members.join(","),
            faults: Vec::new(),
            last_read_revision: 0,
            responsiveness: Responsiveness::Prompt,
            calls: 0,
        };
        let list = FakeDiscovery(Arc::new((Mutex::new(state), Condvar::new())));
        let address = listener.local_addr().unwrap();
        let shared = list.clone();
        spawn(move || {
            for stream in listener.incoming() {
                let (Ok(stream), list) = (stream, shared.clone()) else { return };
                spawn(move || list.serve(stream));
            }
        });
        (list, address)
    }

    /// Answers the calls of one connection.
    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                if reader.read_line(&mut head)? == 0 {
                    return Ok(());
                }
            }
            let query_parameter =
                |name: &str| head.split(name).nth(1).and_then(|rest| rest.split(['&', ' ']).next());
            let wait = query_parameter("wait=").map_or(0, |wait| wait.parse().unwrap());
            let index = query_parameter("index=").map(|index| index.parse::<u64>().unwrap());
            let (lock, changed) = &*self.0;
            let mut state = lock.lock().unwrap();
            state.last_read_revision = index.unwrap_or(state.last_read_revision);
            state.calls += 1;
            changed.notify_all();
            if let Some(index) = index {
                let unchanged =
                    |state: &mut DiscoveryState| state.revision <= index && state.faults.is_empty();
                state = changed.wait_timeout_while(state, Duration::from_millis(wait), unchanged).unwrap().0;
            }
            let changed_since_index = index.is_none_or(|index| state.revision > index);
            let mut status = 200;
            let mut body = format!(
                r#"{{"revision":{},"complete":{changed_since_index},"members":[{}]}}"#,
                state.revision,
                if changed_since_index { state.members.as_str() } else { "" }
            );
            let fault = (!state.faults.is_empty()).then(|| state.faults.remove(0));
            // A revision read before the fault doesn't count: the node has to read the list again.
            state.last_read_revision = if fault.is_some() { 0 } else { state.last_read_revision };
            match fault {
                Some(Fault::Reset) => return Ok(()),
                Some(Fault::Status(code)) => status = code,
                Some(Fault::Body(text)) => body = text.into(),
                Some(Fault::NoAnswer) => {
                    drop(state);
                    let _ = reader.read_line(&mut head);
                    return Ok(());
                }
                None => {}
            }
            let (responsiveness, calls) = (state.responsiveness, state.calls);
            drop(state);
            match responsiveness {
                Responsiveness::Prompt => {}
                Responsiveness::Overloaded(_) if calls % 2 == 1 => (status, body) = (503, "busy".into()),
                Responsiveness::Slow(delay) | Responsiveness::Overloaded(delay) => sleep(delay),
            }
            write!(stream, "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        }
    }

    /// Sets how promptly calls are answered from now on.
    pub fn set_responsiveness(&self, responsiveness: Responsiveness) {
        self.0 .0.lock().unwrap().responsiveness = responsiveness;
    }

    /// Replaces the endpoint list and waits until the node has read the new revision.
    pub fn update_and_wait(&self, members: &[String]) {
        self.update(members);
        self.wait_until_read();
    }

    /// Replaces the endpoint list.
    pub fn update(&self, members: &[String]) {
        let (lock, changed) = &*self.0;
        let mut state = lock.lock().unwrap();
        (state.revision, state.members) = (state.revision + 1, members.join(","));
        changed.notify_all();
    }

    /// Replaces the next answers by these faults, then waits until the node has read the list after them.
    pub fn inject_faults(&self, faults: &[Fault]) {
        let (lock, changed) = &*self.0;
        let mut state = lock.lock().unwrap();
        state.faults = faults.to_vec();
        changed.notify_all();
        self.wait_for_read(state);
    }

    /// Waits until the node has read the current revision.
    pub fn wait_until_read(&self) {
        self.wait_for_read(self.0 .0.lock().unwrap());
    }

    fn wait_for_read(&self, state: std::sync::MutexGuard<DiscoveryState>) {
        let unread = |state: &mut DiscoveryState| {
            state.last_read_revision < state.revision || !state.faults.is_empty()
        };
        let (state, timeout) = self.0 .1.wait_timeout_while(state, TEST_TIMEOUT, unread).unwrap();
        assert!(
            !timeout.timed_out(),
            "the node has read revision {}, {} is expected or faults are left",
            state.last_read_revision,
            state.revision
        );
    }
}

//! The list of cache servers: read once, then watched on a kept connection.

use std::cell::RefCell;
use std::collections::HashSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hallpin_decisions::{Membership, ServerId, ServerState};
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{Receiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};
use tracing::{info, warn};

use crate::clock::Clock;
use crate::message::Message;
use crate::roster::Roster;

/// Longest list that is read.
const MAX_BODY: usize = 4 << 20;
/// Most servers that are held: over the largest fleet that was measured (10,000), and far under what memory bears. A
/// discovery that names new ones for ever, and none gone, is refused from here on.
const MAX_SERVERS: usize = 1 << 14;
/// Connecting to discovery ends after this.
const DIAL: Duration = Duration::from_secs(1);
/// How calls are made: how long one waits for news, how much later its answer may come, and the first and
/// longest wait before calling again after a failure.
struct Manner {
    wait: Duration,
    patience: Duration,
    backoff: Duration,
    max_backoff: Duration,
}

/// A pushed list comes from an agent on this machine at no cost, and what the agent has counts as told: a
/// silent or failed watch must be replaced well within the grace of a drain.
const PUSHED: Manner = Manner {
    wait: Duration::from_millis(1000),
    patience: Duration::from_millis(500),
    backoff: Duration::from_millis(50),
    max_backoff: Duration::from_millis(200),
};
/// Where discovery is asked, each call takes part of a service that all nodes share; the balancer says when
/// to call again.
const ASKED: Manner = Manner {
    wait: Duration::from_secs(20),
    patience: Duration::from_millis(2500),
    backoff: Duration::ZERO,
    max_backoff: Duration::ZERO,
};
/// Least time between two watches; a watch goes on if the next call comes within 200 ms.
const PACE: Duration = Duration::from_millis(20);

pub struct Discovery {
    /// Where discovery is; it may move while the node runs.
    address: watch::Receiver<SocketAddr>,
    membership: Membership,
    clock: Clock,
    news: UnboundedSender<Message>,
    /// What calls fail with now; empty while they succeed. Said once, not with each call.
    trouble: RefCell<String>,
    /// The servers that the list handed on names.
    listed: RefCell<HashSet<ServerId>>,
}

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Says which bound a list went over, where the body's reader only says that one was.
fn too_long(error: Failure) -> Failure {
    match error.downcast::<LengthLimitError>() {
        Ok(_) => format!("the list is longer than {MAX_BODY} bytes").into(),
        Err(error) => error,
    }
}

impl Discovery {
    pub fn new(
        address: watch::Receiver<SocketAddr>,
        membership: Membership,
        clock: Clock,
        news: UnboundedSender<Message>,
    ) -> Self {
        Discovery {
            address,
            membership,
            clock,
            news,
            trouble: RefCell::default(),
            listed: RefCell::default(),
        }
    }

    fn manner(&self) -> &'static Manner {
        match self.membership {
            Membership::Pushed => &PUSHED,
            Membership::OnRequest => &ASKED,
        }
    }

    /// Follows the list for ever. Whatever discovery does, the list held meanwhile stands.
    pub async fn run(mut self, mut calls: Receiver<()>) {
        let mut at_once = self.membership == Membership::Pushed;
        loop {
            let address = *self.address.borrow_and_update();
            let mut moved = self.address.clone();
            tokio::select! {
                biased;
                // The old watch is dropped whatever it waits for, and the whole list read at the new address.
                Ok(()) = moved.changed() => {
                    info!(from = %address, "moved");
                    at_once = true;
                }
                () = self.keep_following(address, at_once, &mut calls) => return,
            }
        }
    }

    /// Follows the list at one address, until nobody asks any more.
    async fn keep_following(&self, address: SocketAddr, mut at_once: bool, calls: &mut Receiver<()>) {
        let asked = self.membership == Membership::OnRequest;
        let manner = self.manner();
        let mut backoff = manner.backoff;
        loop {
            if !at_once && calls.recv().await.is_none() {
                return;
            }
            at_once &= !asked;
            let Err(failure) = self.follow(address).await;
            let failure = failure.to_string();
            if *self.trouble.borrow() == failure {
                backoff = (backoff * 2).min(manner.max_backoff);
            } else {
                warn!("{failure}; the list held stands");
                backoff = manner.backoff;
                *self.trouble.borrow_mut() = failure;
            }
            if asked {
                let _ = self.news.send(Message::RosterFailed);
            }
            sleep(backoff).await;
        }
    }

    /// Follows the list on one connection until that fails.
    async fn follow(&self, address: SocketAddr) -> Result<Infallible, Failure> {
        let stream = timeout(DIAL, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // Ends with the sender, and its faults come out of the sender's calls.
        let connection = tokio::task::spawn_local(connection);
        let _guard = AbortOnDrop(connection.abort_handle());
        let Manner { wait, patience, .. } = *self.manner();
        let mut revision = self.call(&mut sender, "/discovery/hosts", patience, None).await?;
        loop {
            let asked = Instant::now();
            let path = format!("/discovery/hosts?index={revision}&wait={}", wait.as_millis());
            revision = self.call(&mut sender, &path, wait + patience, Some(revision)).await?;
            // A peer that answers at once whether it has news or not must not be asked without pause.
            sleep(PACE.saturating_sub(asked.elapsed())).await;
        }
    }

    /// One call, for the whole list or for what came after a revision; hands on what it brought and returns the list's
    /// revision. Of an answer that is no good nothing is handed on.
    async fn call(
        &self,
        sender: &mut SendRequest<Empty<Bytes>>,
        path: &str,
        patience: Duration,
        after: Option<u64>,
    ) -> Result<u64, Failure> {
        let request = hyper::Request::get(path)
            .header(hyper::header::HOST, self.address.borrow().to_string())
            .body(Empty::new())?;
        let answer = async {
            sender.ready().await?;
            let response = sender.send_request(request).await?;
            let status = response.status();
            let body =
                Limited::new(response.into_body(), MAX_BODY).collect().await.map_err(too_long)?.to_bytes();
            Ok::<_, Failure>((status, body))
        };
        let (status, body) = timeout(patience, answer).await.map_err(|_| "no answer in time")??;
        if !status.is_success() {
            return Err(format!("status {}", status.as_u16()).into());
        }
        let roster = Roster::from_json(&body, &self.clock).map_err(|e| format!("unreadable list: {e}"))?;
        if after.is_none() && !roster.complete {
            return Err("part of a list in place of the whole".into());
        }
        // Discovery has begun anew: what it says does not follow from the list held.
        if after.is_some_and(|after| roster.revision < after) {
            return Err("the list's revision fell".into());
        }
        self.count(&roster)?;
        if !self.trouble.borrow_mut().split_off(0).is_empty() {
            info!("answers again");
        }
        let revision = roster.revision;
        if roster.complete || !roster.members.is_empty() {
            let _ = self.news.send(Message::Roster(roster));
        }
        Ok(revision)
    }
}

impl Discovery {
    /// Counts the servers that the list will name, unless they are too many.
    fn count(&self, roster: &Roster) -> Result<(), Failure> {
        let mut listed = self.listed.borrow_mut();
        let ids = || roster.members.iter().map(|m| &m.entry);
        let gone = |state| state == ServerState::Gone;
        let named = ids().filter(|e| !gone(e.state)).map(|e| &e.server);
        let now = if roster.complete {
            named.collect::<HashSet<_>>().len()
        } else {
            let left = ids().filter(|e| gone(e.state) && listed.contains(&e.server)).count();
            let new = named.filter(|id| !listed.contains(*id)).collect::<HashSet<_>>().len();
            listed.len() + new - left.min(listed.len())
        };
        if now > MAX_SERVERS {
            return Err(format!("the list names {now} servers, at most {MAX_SERVERS} are held").into());
        }
        if roster.complete {
            listed.clear();
        }
        for entry in ids() {
            if gone(entry.state) {
                listed.remove(&entry.server);
            } else {
                listed.insert(entry.server.clone());
            }
        }
        Ok(())
    }
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[cfg(test)]
mod tests {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::sync::mpsc::unbounded_channel;

    use super::*;

    fn member(id: usize, phase: &str) -> String {
        format!(r#"{{"id":"s-{id}","host_port":"127.0.0.1:1","phase":"{phase}"}}"#)
    }

    fn list(revision: u64, complete: bool, members: &[String]) -> String {
        format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
    }

    /// Answers one connection's calls in turn, then closes it.
    async fn serve(listener: TcpListener, answers: Vec<String>) {
        let (mut stream, _) = listener.accept().await.expect("a call");
        for body in answers {
            let mut read = Vec::new();
            while !read.ends_with(b"\r\n\r\n") {
                read.push(stream.read_u8().await.expect("a call"));
            }
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).await.expect("an answer");
        }
    }

    /// What a discovery that answers so comes to: why it was left, and the servers of each list handed on.
    fn followed(answers: Vec<String>) -> (String, Vec<usize>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let (news, mut told) = unbounded_channel();
            let (_moves, at) = watch::channel(address);
            let discovery = Discovery::new(at, Membership::Pushed, Clock::start(), news);
            let (ended, ()) = tokio::join!(discovery.follow(address), serve(listener, answers));
            let Err(failure) = ended;
            let mut sizes = Vec::new();
            while let Ok(Message::Roster(roster)) = told.try_recv() {
                sizes.push(roster.members.len());
            }
            (failure.to_string(), sizes)
        })
    }

    #[test]
    fn of_changes_whose_revision_fell_nothing_is_handed_on() {
        let first = list(5, true, &[member(1, "ready"), member(2, "ready")]);
        for complete in [false, true] {
            let fell = list(4, complete, &[member(1, "gone")]);
            let (why, told) = followed(vec![first.clone(), fell]);
            assert_eq!((&why[..], told), ("the list's revision fell", vec![2]));
        }
    }

    /// A list of `MAX_BODY` bytes is read; one byte more, and the last list stands.
    #[test]
    fn a_list_over_its_size_is_refused_and_the_last_one_stands() {
        let padded = |revision, size: usize| {
            let text = list(revision, true, &[member(1, "ready")]);
            let spaces = " ".repeat(size - text.len());
            text.replacen(",\"members\"", &format!("{spaces},\"members\""), 1)
        };
        let first = list(1, true, &[member(1, "ready"), member(2, "ready")]);
        let (why, told) = followed(vec![first, padded(2, MAX_BODY), padded(3, MAX_BODY + 1)]);
        assert_eq!((why, told), (format!("the list is longer than {MAX_BODY} bytes"), vec![2, 1]));
    }

    #[test]
    fn a_list_that_grows_past_its_bound_is_refused_and_the_last_one_stands() {
        let ready = |ids: std::ops::Range<usize>| ids.map(|n| member(n, "ready")).collect::<Vec<_>>();
        let full = list(1, true, &ready(0..MAX_SERVERS));
        let told = format!("the list names {} servers, at most {MAX_SERVERS} are held", MAX_SERVERS + 1);
        let whole = list(1, true, &ready(0..MAX_SERVERS + 1));
        assert_eq!(followed(vec![whole]), (told.clone(), vec![]));
        // One for one is room enough, one more is not; what is named again is no further one.
        let exchanged =
            list(2, false, &[member(0, "gone"), member(MAX_SERVERS, "ready"), member(1, "draining")]);
        let one_more = list(3, false, &[member(0, "ready")]);
        assert_eq!(followed(vec![full, exchanged, one_more]), (told, vec![MAX_SERVERS, 3]));
    }
}

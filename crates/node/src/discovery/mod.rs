//! Client of service discovery: reads the complete list of cache servers once, then watches it (long polling) on a
//! persistent connection.

mod abort;
mod failure;
#[cfg(test)]
mod tests;
mod timeouts;

use std::cell::RefCell;
use std::collections::HashSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hallpin_balancer::{Membership, ServerId, ServerState, Settings};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{Receiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};
use tracing::{info, warn};

use crate::clock::Clock;
use crate::config::Limits;
use crate::message::Message;
use crate::roster::Roster;
use abort::AbortOnDrop;
use failure::{describe_body_error, shorten, timed_out, Failure};
use timeouts::CallTimeouts;

/// Shortest time between the starts of two watches. Discovery counts a watch as continued if the next call comes within
/// 200 ms.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Follows the list of cache servers and sends each update to the driver.
pub struct Discovery {
    /// Address of discovery; a reload of the configuration may change it.
    address: watch::Receiver<SocketAddr>,
    membership: Membership,
    timeouts: CallTimeouts,
    /// Limits on lists.
    limits: Limits,
    clock: Clock,
    messages: UnboundedSender<Message>,
    /// Error of the last call, empty after a success; used to log repeated errors once.
    last_failure: RefCell<String>,
    /// Servers that the list names and does not call gone, after all updates passed on so far.
    listed: RefCell<HashSet<ServerId>>,
}

impl Discovery {
    pub fn new(
        address: watch::Receiver<SocketAddr>,
        settings: &Settings,
        limits: Limits,
        clock: Clock,
        messages: UnboundedSender<Message>,
    ) -> Self {
        Discovery {
            address,
            membership: settings.membership,
            timeouts: CallTimeouts::of(settings),
            limits,
            clock,
            messages,
            last_failure: RefCell::default(),
            listed: RefCell::default(),
        }
    }

    /// Follows the list until the driver ends. While discovery fails, the last list stays in force.
    pub async fn run(mut self, mut poll_requests: Receiver<()>) {
        let mut connect_now = self.membership == Membership::Pushed;
        loop {
            let address = *self.address.borrow_and_update();
            let mut address_changes = self.address.clone();
            tokio::select! {
                biased;
                // The watch at the old address is dropped, and the complete list is read at the new one.
                Ok(()) = address_changes.changed() => {
                    info!(from = %address, "moved");
                    connect_now = true;
                }
                () = self.follow_with_retries(address, connect_now, &mut poll_requests) => return,
            }
        }
    }

    /// Follows the list at one address and reconnects after failures, until no more polls can be requested.
    async fn follow_with_retries(
        &self,
        address: SocketAddr,
        mut connect_now: bool,
        poll_requests: &mut Receiver<()>,
    ) {
        let on_request = self.membership == Membership::OnRequest;
        let timeouts = self.timeouts;
        let mut backoff = timeouts.backoff;
        loop {
            if !connect_now && poll_requests.recv().await.is_none() {
                return;
            }
            connect_now &= !on_request;
            let Err(failure) = self.follow(address).await;
            let failure = shorten(failure.to_string());
            if *self.last_failure.borrow() == failure {
                backoff = (backoff * 2).min(timeouts.max_backoff);
            } else {
                warn!("{failure}; the list held stands");
                backoff = timeouts.backoff;
                *self.last_failure.borrow_mut() = failure;
            }
            if on_request {
                // Drops poll requests made before the failure: the balancer requests another after its backoff. Polling
                // at once would synchronise this node with all others whose watch failed now.
                while poll_requests.try_recv().is_ok() {}
                let _ = self.messages.send(Message::RosterFailed);
            }
            sleep(backoff).await;
        }
    }

    /// Follows the list on one connection until a call fails.
    async fn follow(&self, address: SocketAddr) -> Result<Infallible, Failure> {
        let CallTimeouts { full_list, watch_wait, watch_grace, .. } = self.timeouts;
        let (mut sender, _connection, mut revision) =
            timeout(full_list, self.open(address)).await.map_err(timed_out)??;
        loop {
            let call_start = Instant::now();
            let path = format!("/discovery/hosts?index={revision}&wait={}", watch_wait.as_millis());
            let answer = self.call(&mut sender, &path, Some(revision));
            revision = timeout(watch_wait + watch_grace, answer).await.map_err(timed_out)??;
            // A discovery that answers at once without changes must not be polled in a busy loop.
            sleep(MIN_WATCH_INTERVAL.saturating_sub(call_start.elapsed())).await;
        }
    }

    /// Connects and reads the complete list; returns the connection and the list's revision.
    async fn open(
        &self,
        address: SocketAddr,
    ) -> Result<(SendRequest<Empty<Bytes>>, AbortOnDrop, u64), Failure> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // The task ends with the sender, and its errors are returned by the sender's calls.
        let connection = AbortOnDrop(tokio::task::spawn_local(connection).abort_handle());
        let revision = self.call(&mut sender, "/discovery/hosts", None).await?;
        Ok((sender, connection, revision))
    }

    /// Makes one call, for the complete list or for changes after a revision. Passes the list on to the driver and
    /// returns its revision.
    ///
    /// # Errors
    /// If the call fails or the answer is invalid; then nothing is passed on.
    async fn call(
        &self,
        sender: &mut SendRequest<Empty<Bytes>>,
        path: &str,
        after: Option<u64>,
    ) -> Result<u64, Failure> {
        let request = hyper::Request::get(path)
            .header(hyper::header::HOST, self.address.borrow().to_string())
            .body(Empty::new())?;
        sender.ready().await?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let max_bytes = self.limits.max_list_bytes();
        let body = Limited::new(response.into_body(), max_bytes)
            .collect()
            .await
            .map_err(|error| describe_body_error(error, max_bytes))?
            .to_bytes();
        if !status.is_success() {
            return Err(format!("status {}", status.as_u16()).into());
        }
        // Counted first: the entries take several times the memory of their text.
        let count = Roster::count_entries(&body).map_err(|error| format!("unreadable list: {error}"))?;
        self.check_count(count)?;
        let roster =
            Roster::from_json(&body, &self.clock).map_err(|error| format!("unreadable list: {error}"))?;
        if after.is_none() && !roster.complete {
            return Err("partial list in answer to a call for the complete list".into());
        }
        // Discovery has restarted: its changes do not apply to the current list.
        if after.is_some_and(|after| roster.revision < after) {
            return Err("the list's revision decreased".into());
        }
        self.update_listed(&roster)?;
        if !self.last_failure.borrow_mut().split_off(0).is_empty() {
            info!("discovery answers again");
        }
        let revision = roster.revision;
        if roster.complete || !roster.members.is_empty() {
            let _ = self.messages.send(Message::Roster(roster));
        }
        Ok(revision)
    }
}

impl Discovery {
    fn check_count(&self, count: usize) -> Result<(), Failure> {
        let max_servers = self.limits.max_servers();
        if count > max_servers {
            return Err(format!("the list names {count} servers, at most {max_servers} are allowed").into());
        }
        Ok(())
    }

    /// Updates the set of listed servers.
    ///
    /// # Errors
    /// If the list would name more servers than are allowed; then the set stays as it was.
    fn update_listed(&self, roster: &Roster) -> Result<(), Failure> {
        let mut listed = self.listed.borrow_mut();
        let entries = || roster.members.iter().map(|member| &member.entry);
        let is_gone = |state| state == ServerState::Gone;
        let named = entries().filter(|entry| !is_gone(entry.state)).map(|entry| &entry.server);
        let count = if roster.complete {
            named.collect::<HashSet<_>>().len()
        } else {
            let removed =
                entries().filter(|entry| is_gone(entry.state) && listed.contains(&entry.server)).count();
            let added = named.filter(|id| !listed.contains(*id)).collect::<HashSet<_>>().len();
            listed.len() + added - removed.min(listed.len())
        };
        self.check_count(count)?;
        if roster.complete {
            listed.clear();
        }
        for entry in entries() {
            if is_gone(entry.state) {
                listed.remove(&entry.server);
            } else {
                listed.insert(entry.server.clone());
            }
        }
        Ok(())
    }
}

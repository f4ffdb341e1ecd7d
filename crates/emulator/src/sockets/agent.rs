//! Fake service discovery agent over HTTP: one endpoint list, to be polled or watched by long polls.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::loopback::RETRY_DELAY;

/// Upper limit of the `wait` parameter of a long poll.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// State of a service discovery agent.
pub trait Agent: Clone + 'static {
    /// Number of faults that keep the agent from answering; it answers only while this is 0.
    fn silence_count(&self) -> watch::Receiver<u32>;
    /// Revision of the list that the agent holds.
    fn revision(&self) -> watch::Receiver<u64>;
    /// Called for each request that is not rejected as malformed: for the complete list, or for the changes
    /// after a revision.
    fn request_received(&self, after: Option<u64>);
    /// Called when the node has abandoned a call or has ended before the call was answered.
    fn call_abandoned(&self) {}
    /// Body with the complete list, or with the changes after a revision. It is sent at once, so the node counts as
    /// notified.
    fn tell(&self, after: Option<u64>) -> String;
}

/// Answers calls until the future is dropped.
pub async fn serve(agent: impl Agent, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let agent = agent.clone();
        let service = service_fn(move |request| answer(agent.clone(), request));
        let connection =
            http1::Builder::new().timer(TokioTimer::new()).serve_connection(TokioIo::new(stream), service);
        // The result is ignored: a node may close the connection during a call.
        tokio::task::spawn_local(async move { drop(connection.await) });
    }
}

async fn answer(agent: impl Agent, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let respond = |status, body: String| {
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        Ok(response)
    };
    if request.uri().path() != "/discovery/hosts" {
        return respond(StatusCode::NOT_FOUND, "no such thing here".into());
    }
    let query = request.uri().query().unwrap_or("");
    let parameter = |name: &str| {
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        value.map(str::parse::<u64>).transpose()
    };
    let (Ok(index), Ok(wait)) = (parameter("index"), parameter("wait")) else {
        return respond(StatusCode::BAD_REQUEST, "index and wait: whole numbers expected".into());
    };
    agent.request_received(index);
    // If the node closes the connection, hyper drops this future at whichever await it has reached.
    let mut call = PendingCall { agent: &agent, answered: false };
    // While discovery is down, the agent does not answer.
    let mut silence = agent.silence_count();
    if silence.wait_for(|reasons| *reasons == 0).await.is_err() {
        return std::future::pending().await;
    }
    if let Some(index) = index {
        let mut revision = agent.revision();
        let wait = Duration::from_millis(wait.unwrap_or(0)).min(MAX_WAIT);
        // Ends when a newer revision is there or the wait is over.
        let _ = timeout(wait, revision.wait_for(|revision| *revision > index)).await;
        if silence.wait_for(|reasons| *reasons == 0).await.is_err() {
            return std::future::pending().await;
        }
    }
    call.answered = true;
    respond(StatusCode::OK, agent.tell(index))
}

/// A call in progress; one that is dropped before its answer counts as abandoned.
struct PendingCall<'a, A: Agent> {
    agent: &'a A,
    answered: bool,
}

impl<A: Agent> Drop for PendingCall<'_, A> {
    fn drop(&mut self) {
        if !self.answered {
            self.agent.call_abandoned();
        }
    }
}

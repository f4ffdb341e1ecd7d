//! Discovery's agent on a node's machine: one list over HTTP, to be polled or watched.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hallpin_model::day::NodeId;
use hallpin_model::list::{Listing, News, Phase};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use super::stage::{Shared, Stage};

/// Longest wait that a watch may ask for.
const LONGEST: Duration = Duration::from_secs(60);
/// Between an accept that failed and the next.
const PAUSE: Duration = Duration::from_millis(20);

/// Serves a node's agent until the day is over.
pub(super) async fn run(stage: Shared, node: NodeId, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        let stage = stage.clone();
        let service = service_fn(move |request| answer(stage.clone(), node, request));
        let connection =
            http1::Builder::new().timer(TokioTimer::new()).serve_connection(TokioIo::new(stream), service);
        // A node that goes away in the middle of a call is no fault of the agent's.
        tokio::task::spawn_local(async move { drop(connection.await) });
    }
}

async fn answer(
    stage: Shared,
    node: NodeId,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let respond = |status, body: String| {
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        Ok(response)
    };
    if request.uri().path() != "/discovery/hosts" {
        return respond(StatusCode::NOT_FOUND, "no such thing here".into());
    }
    let query = request.uri().query().unwrap_or("");
    let figure = |name: &str| {
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        value.map(str::parse::<u64>).transpose()
    };
    let (Ok(index), Ok(wait)) = (figure("index"), figure("wait")) else {
        return respond(StatusCode::BAD_REQUEST, "index and wait: whole numbers expected".into());
    };
    // While discovery is down its agent says nothing.
    let mut silent = stage.borrow().list_silent.subscribe();
    if silent.wait_for(|incidents| *incidents == 0).await.is_err() {
        return std::future::pending().await;
    }
    if let Some(index) = index {
        let mut changed = stage.borrow().agents[node].changed.subscribe();
        let wait = Duration::from_millis(wait.unwrap_or(0)).min(LONGEST);
        // Either something newer is there or the time is up.
        let _ = timeout(wait, changed.wait_for(|revision| *revision > index)).await;
        if silent.wait_for(|incidents| *incidents == 0).await.is_err() {
            return std::future::pending().await;
        }
    }
    let mut stage = stage.borrow_mut();
    let news = match index {
        Some(index) => stage.agents[node].list.since(index),
        None => stage.agents[node].list.whole(),
    };
    let body = form(&stage, node, &news).to_string();
    stage.told(node, &news.listings);
    respond(StatusCode::OK, body)
}

/// Discovery's form of a list, with the boxes as they are reached from a node's depot.
pub(super) fn form(stage: &Stage, node: NodeId, news: &News) -> Value {
    let depot = stage.day.nodes[node];
    let member = |l: &Listing| {
        let spec = &stage.day.boxes[l.cache_box];
        let phase = match l.phase {
            Phase::Ready => "ready",
            Phase::Draining => "draining",
            Phase::Gone => "gone",
        };
        json!({
            "id": spec.id, "host_port": stage.addresses[l.cache_box][depot].to_string(),
            "locality": stage.day.depots[spec.depot], "flavor": spec.kind, "cell": spec.cell,
            "phase": phase, "size": spec.size, "up_since_ms": stage.unix_ms(l.started),
        })
    };
    let members: Vec<Value> = news.listings.iter().map(member).collect();
    json!({"revision": news.revision, "complete": news.complete, "members": members})
}

/// What a node holds at its start: the list as its agent has it.
pub(super) fn known(stage: &Rc<std::cell::RefCell<Stage>>, node: NodeId) -> Value {
    let mut stage = stage.borrow_mut();
    let news = stage.agents[node].list.whole();
    let form = form(&stage, node, &news);
    stage.told(node, &news.listings);
    form
}

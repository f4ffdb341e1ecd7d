//! Discovery becomes slow; a cache server drains and goes.

use std::time::{Duration, Instant};

use crate::client::Client;
use crate::has_trouble;
use crate::platform::{Node, Record, Site, BROKEN, HELD, MIDLANDS, NOT_RUN};
use crate::servers::{CacheServer, Discovery, Values};

/// A change counts as told by then, whatever happens, and the drain's grace and the slack on sockets follow.
const TOLD_AFTER_S: f64 = 6.0;
const SLACK_S: f64 = 0.05;

/// The list is pushed, as the site has it.
pub fn pushed(record: &Record) -> i32 {
    run(record, MIDLANDS, Duration::from_millis(700))
}

/// The list is asked for.
pub fn asked(record: &Record) -> i32 {
    run(record, Site { membership: "on_request", ..MIDLANDS }, Duration::from_millis(2500))
}

/// From some moment on each answer of discovery takes `delay`.
fn run(record: &Record, site: Site, delay: Duration) -> i32 {
    let servers: Vec<CacheServer> =
        (0..3).map(|n| CacheServer::start(&format!("s-{n}"), record, Values::default())).collect();
    let discovery = Discovery::start(record, &servers);
    let mut node = Node::start(record, site, discovery.address, &discovery.list());
    if !node.wait_until_ready(Duration::from_secs(30)) {
        return NOT_RUN;
    }
    let Ok(mut client) = Client::connect(node.listen) else { return NOT_RUN };
    let mut number = 0;
    let mut traffic = |lasting: Duration| {
        let until = Instant::now() + lasting;
        while Instant::now() < until {
            number += 1;
            let id = format!("2b{number:014x}");
            if client.send_read(&format!("short-{}", number % 40), &id, 1500).is_err() {
                return false;
            }
            let end = client.answer(&id, Duration::from_secs(3), |_| {});
            record.line(&format!("client: O{id}: {end:?}"));
            std::thread::sleep(Duration::from_millis(25));
        }
        true
    };
    if !traffic(Duration::from_secs(2)) {
        return NOT_RUN;
    }
    if has_trouble() {
        discovery.set_delay(delay);
    }
    if !traffic(Duration::from_secs(3)) {
        return NOT_RUN;
    }
    let drained_at = record.seconds();
    servers[1].drain();
    discovery.set_phase("s-1", "draining");
    if !traffic(Duration::from_secs(15)) {
        return NOT_RUN;
    }
    let bound = drained_at + TOLD_AFTER_S + site.drain_grace_s + SLACK_S;
    let late = servers[1].received().iter().filter(|received| received.at > bound).count();
    let last = servers[1].received().last().map_or(0.0, |received| received.at - drained_at);
    record.line(&format!(
        "the last command came to s-1 {last:.3} s after its drain; {late} came beyond the bound of {:.2} s",
        bound - drained_at
    ));
    if late > 0 {
        BROKEN
    } else {
        HELD
    }
}

//! A planned restart while a client reads its answers slowly and goes on sending.

use std::time::{Duration, Instant};

use crate::client::{Client, End};
use crate::has_trouble;
use crate::platform::{Node, Record, BROKEN, HELD, MIDLANDS, NOT_RUN};
use crate::servers::{CacheServer, Discovery, Values};

pub fn run(record: &Record) -> i32 {
    let values = Values { length: 60 << 10, piece: 64 << 10, ..Values::default() };
    let servers: Vec<CacheServer> =
        (0..3).map(|n| CacheServer::start(&format!("s-{n}"), record, values)).collect();
    let discovery = Discovery::start(record, &servers);
    let mut node = Node::start(record, MIDLANDS, discovery.address, &discovery.list());
    if !node.wait_until_ready(Duration::from_secs(30)) {
        return NOT_RUN;
    }
    let Ok(mut client) = Client::connect(node.listen) else { return NOT_RUN };
    let mut sent = Vec::new();
    for n in 0..6 {
        let id = format!("1a{n:014x}");
        if client.send_read(&format!("long-{n}"), &id, 1500).is_err() {
            return NOT_RUN;
        }
        sent.push(id);
    }
    record.line("client: sent 6 reads of 60 KiB");
    std::thread::sleep(Duration::from_millis(200));
    if has_trouble() {
        node.signal("TERM");
    }
    // 4 KiB each 30 ms; a further short read each 0.5 s.
    let started = Instant::now();
    client.slow = Some((
        4096,
        Duration::from_millis(std::env::var("REST").ok().and_then(|r| r.parse().ok()).unwrap_or(60)),
    ));
    let Ok(mut sender) = client.try_clone() else { return NOT_RUN };
    let (rec, sending) = (record.clone(), std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true)));
    let goes_on = sending.clone();
    let thread = std::thread::spawn(move || {
        let mut n = 0;
        while goes_on.load(std::sync::atomic::Ordering::Relaxed)
            && started.elapsed() < Duration::from_secs(12)
        {
            std::thread::sleep(Duration::from_millis(300));
            n += 1;
            let ok = sender.send_read(&format!("short-{n}"), &format!("2b{n:014x}"), 1500);
            rec.line(&format!("client: sent short-{n}: {ok:?}"));
        }
    });
    let (of_node, rec2) = (std::sync::Arc::new(std::sync::Mutex::new(node)), record.clone());
    let watched = of_node.clone();
    std::thread::spawn(move || loop {
        if let Some(exit) = watched.lock().unwrap().ended() {
            rec2.line(&format!("platform: the node ended by itself: {exit}"));
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    });
    let mut lost = 0;
    for id in &sent {
        let end = client.answer(id, Duration::from_secs(20), |_| {});
        record.line(&format!("client: O{id}: {end:?}"));
        lost += usize::from(!matches!(end, End::Whole | End::Line(_)));
    }
    for n in 1..40 {
        let id = format!("2b{n:014x}");
        if !servers.iter().any(|s| s.received().iter().any(|r| r.id == id)) {
            continue;
        }
        let end = client.answer(&id, Duration::from_secs(20), |_| {});
        record.line(&format!("client: O{id}: {end:?}"));
        lost += usize::from(!matches!(end, End::Line(_) | End::Whole));
    }
    sending.store(false, std::sync::atomic::Ordering::Relaxed);
    let _ = thread.join();
    record.line(&format!("{lost} lost; node ended: {:?}", of_node.lock().unwrap().ended()));
    if lost > 0 {
        BROKEN
    } else {
        HELD
    }
}

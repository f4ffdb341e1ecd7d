//! A new version is started beside the running node while long values are on their way from cache servers that give
//! them steadily.

use std::time::{Duration, Instant};

use crate::client::End;
use crate::has_trouble;
use crate::platform::{upgrade, Node, Record, BROKEN, HELD, MIDLANDS, NOT_RUN};
use crate::servers::{read_whole, CacheServer, Discovery, Values};

/// 2 MiB in 40 pieces, one each 100 ms: 3.9 s in all, some 0.5 MiB a second.
const PIECES: usize = 40;
const LENGTH: usize = 2 << 20;
const PAUSE: Duration = Duration::from_millis(100);
const LONG_READS: u32 = 20;
/// Time between the starts of two long reads.
const STEP: Duration = Duration::from_millis(50);
/// From the first long read to the start of the new version; the last long read starts 0.55 s ahead of it.
const UPGRADE_AFTER: Duration = Duration::from_millis(1500);

pub fn run(record: &Record) -> i32 {
    let values = Values { length: LENGTH, piece: LENGTH.div_ceil(PIECES), pause: PAUSE, ..Values::default() };
    let servers: Vec<CacheServer> =
        (0..3).map(|n| CacheServer::start(&format!("s-{n}"), record, values)).collect();
    let discovery = Discovery::start(record, &servers);
    let mut node = Node::start(record, MIDLANDS, discovery.address, &discovery.list());
    if !node.wait_until_ready(Duration::from_secs(30)) {
        return NOT_RUN;
    }
    for n in 0..10 {
        if read_whole(node.listen, record, &format!("short-{n}"), &format!("5e{n:014x}")).0 != End::Whole {
            record.line("the node does not serve short reads");
            return NOT_RUN;
        }
    }
    let started = Instant::now();
    let readers: Vec<_> = (0..LONG_READS)
        .map(|n| {
            let (listen, record) = (node.listen, record.clone());
            std::thread::spawn(move || {
                std::thread::sleep(STEP * n);
                read_whole(listen, &record, &format!("long-{n}"), &format!("1a{n:014x}"))
            })
        })
        .collect();
    std::thread::sleep(UPGRADE_AFTER.saturating_sub(started.elapsed()));
    let new = has_trouble().then(|| upgrade(record, &mut node, &discovery.list()));
    if matches!(new, Some(None)) {
        return NOT_RUN;
    }
    let killed_at = new.as_ref().and_then(Option::as_ref).and_then(|(_, killed_at)| *killed_at);
    let (mut lost, mut excused) = (0, 0);
    for reader in readers {
        let Ok((end, at)) = reader.join() else { return NOT_RUN };
        match end {
            End::Whole => {}
            // What the kill finds is not the node's own doing.
            _ if killed_at.is_some_and(|killed_at| at >= killed_at) => excused += 1,
            _ => lost += 1,
        }
    }
    record.line(&format!(
        "{lost} of {LONG_READS} long values cut off by the node itself, {excused} by the kill"
    ));
    if lost > 0 {
        BROKEN
    } else {
        HELD
    }
}

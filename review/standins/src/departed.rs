//! A client sends many long writes at once, reads its answers, and goes.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use crate::has_trouble;
use crate::platform::{Node, Record, BROKEN, HELD, MIDLANDS, NOT_RUN};
use crate::servers::{CacheServer, Discovery, Values};

/// Writes of 64 KiB, the longest that the pages allow.
const WRITES: usize = 180;
const LENGTH: usize = 64 << 10;
/// An attempt that begins later than this after its client has gone breaks the rule.
const GRACE_S: f64 = 0.1;
const SLACK_S: f64 = 0.05;

pub fn run(record: &Record) -> i32 {
    let values = Values { write_takes: Duration::from_millis(800), ..Values::default() };
    let servers: Vec<CacheServer> =
        (0..3).map(|n| CacheServer::start(&format!("s-{n}"), record, values)).collect();
    let discovery = Discovery::start(record, &servers);
    let mut node = Node::start(record, MIDLANDS, discovery.address, &discovery.list());
    if !node.wait_until_ready(Duration::from_secs(30)) {
        return NOT_RUN;
    }
    let Ok(mut writer) = TcpStream::connect(node.listen) else { return NOT_RUN };
    let Ok(mut reader) = writer.try_clone() else { return NOT_RUN };
    std::thread::spawn(move || {
        let mut chunk = [0; 4096];
        while reader.read(&mut chunk).is_ok_and(|read| read > 0) {}
    });
    for n in 0..WRITES {
        let id = format!("4d{n:014x}");
        let line = format!("ms report-{n} {LENGTH} O{id} Pc=missed-bin,t=soar-valley,d=2000,k={id}\r\n");
        let mut command = line.into_bytes();
        command.resize(command.len() + LENGTH, b'x');
        command.extend(b"\r\n");
        if writer.write_all(&command).is_err() {
            record.line(&format!("client: write {n} failed"));
            return NOT_RUN;
        }
    }
    record.line(&format!("client: {WRITES} writes are with the system"));
    if !has_trouble() {
        std::thread::sleep(Duration::from_secs(6));
        return HELD;
    }
    let gone_at = record.seconds();
    let _ = writer.shutdown(Shutdown::Both);
    drop(writer);
    record.line("client: has gone");
    std::thread::sleep(Duration::from_secs(6));
    let late: Vec<f64> = servers
        .iter()
        .flat_map(CacheServer::received)
        .map(|received| received.at - gone_at)
        .filter(|after| *after > GRACE_S + SLACK_S)
        .collect();
    let last = late.iter().copied().fold(0.0, f64::max);
    record.line(&format!(
        "{} attempts began over 0.15 s after their client had gone, the last {last:.3} s after",
        late.len()
    ));
    if late.is_empty() {
        HELD
    } else {
        BROKEN
    }
}

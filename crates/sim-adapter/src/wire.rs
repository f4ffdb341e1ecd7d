//! Translation between the lines of the protocol and the balancer's events and actions.

use std::fmt::Write;
use std::io::BufRead;

use hallpin_balancer::*;

/// Reads input lines and counts them.
pub struct LineReader<R> {
    input: R,
    number: u64,
}

impl<R: BufRead> LineReader<R> {
    pub fn new(input: R) -> Self {
        LineReader { input, number: 0 }
    }

    /// The number of the line read last, from 1.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Reads a line without its line end; `None` at the end of the input.
    pub fn next(&mut self) -> Result<Option<String>, String> {
        let mut line = String::new();
        self.number += 1;
        match self.input.read_line(&mut line) {
            Ok(0) => Ok(None),
            Ok(_) => {
                line.truncate(line.trim_end_matches(['\n', '\r']).len());
                Ok(Some(line))
            }
            Err(_) => Err("UTF-8 text expected".into()),
        }
    }
}

/// One message of a batch.
pub enum Message {
    /// Starts a balancer for a node.
    Attach { node: u64, seed: u64, settings: Settings },
    /// Removes a node's balancer with its state.
    Down { node: u64 },
    /// Passes an event to a node's balancer.
    Event { node: u64, event: Event },
}

/// The space-separated values of a line, read in order. A missing or `-` value is `None`.
struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    fn text(&mut self) -> Option<&'a str> {
        let rest = self.rest?;
        let (value, rest) = match rest.split_once(' ') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        (value != "-" && !value.is_empty()).then_some(value)
    }

    fn optional<T: std::str::FromStr>(&mut self, expected: &str) -> Result<Option<T>, String> {
        self.text()
            .map(|value| value.parse().map_err(|_| format!("{expected} expected, got `{value}`")))
            .transpose()
    }

    fn required<T: std::str::FromStr>(&mut self, expected: &str) -> Result<T, String> {
        self.optional(expected)?.ok_or_else(|| format!("{expected} expected"))
    }

    fn seconds(&mut self, expected: &str) -> Result<Option<Seconds>, String> {
        match self.optional::<f64>(expected)? {
            Some(value) if !value.is_finite() => Err(format!("{expected} expected, got `{value}`")),
            value => Ok(value),
        }
    }

    fn server(&mut self) -> Result<ServerId, String> {
        self.text().map(|value| ServerId(value.into())).ok_or_else(|| "server address expected".into())
    }
}

/// Parses the first line of a batch: `sync` and the clock time in seconds.
pub fn parse_sync(line: &str) -> Result<Seconds, String> {
    let mut fields = Fields { rest: Some(line) };
    if fields.text() != Some("sync") {
        return Err("`sync` with the clock expected".into());
    }
    fields.seconds("clock time")?.ok_or_else(|| "clock time expected".into())
}

fn parse_status(word: Option<&str>) -> Status {
    match word {
        Some("success") => Status::Success,
        Some("failure") => Status::Error,
        Some("overloaded") => Status::Overloaded,
        Some("timed_out") => Status::TimedOut,
        Some("unreachable") => Status::Unreachable,
        Some("broken") => Status::Broken,
        Some("withdrawn") => Status::Cancelled,
        Some("void") => Status::Void,
        Some("absent") => Status::Absent,
        _ => Status::Unknown,
    }
}

/// Parses a message from its line and, for `roster_change`, from the list entries in the lines after it. `names`
/// returns the class and tenant names of an attached node.
pub fn parse_message<'n, R: BufRead>(
    line: &str,
    lines: &mut LineReader<R>,
    names: impl Fn(u64) -> Option<&'n NameIndex>,
) -> Result<Message, String> {
    let mut fields = Fields { rest: Some(line) };
    let name = fields.text().ok_or("a message name expected")?;
    let node: u64 = fields.required("node number")?;
    let names = || names(node).ok_or_else(|| format!("an attached node expected, got {node}"));
    let event = match name {
        "attach" => {
            let seed = fields.required("random seed")?;
            let json = serde_json::from_str(fields.rest.unwrap_or(""))
                .map_err(|error| format!("settings as a JSON object expected: {error}"))?;
            let settings = Settings::from_json(&json).map_err(|error| error.to_string())?;
            return Ok(Message::Attach { node, seed, settings });
        }
        "down" => return Ok(Message::Down { node }),
        "roster_change" => {
            let mode = fields.text();
            fields.optional::<u64>("list version")?;
            let count = fields.optional::<usize>("number of entries")?.unwrap_or(0);
            let mut entries = Vec::new();
            for _ in 0..count {
                entries.push(parse_entry(&lines.next()?.ok_or("a list entry expected")?)?);
            }
            Event::Endpoints(match mode {
                Some("delta") => EndpointUpdate::Delta(entries),
                Some("full") => EndpointUpdate::Full(entries),
                Some("cached") => EndpointUpdate::Cached(entries),
                Some("failed") => EndpointUpdate::Failed,
                _ => return Err("delta, full, cached or failed expected".into()),
            })
        }
        "arrival" => {
            let id = RequestId(fields.required("request id")?);
            let left = fields.seconds("time left")?.unwrap_or(0.0);
            let work = fields.seconds("work hint")?;
            // Bit 0: the work hint is valid. Bit 2: the request is a write.
            let flags = fields.optional::<u64>("bitmap")?.unwrap_or(0);
            let names = names()?;
            let tenant = fields.text().and_then(|name| names.tenant(name));
            let class = fields.text().and_then(|name| names.class(name));
            fields.seconds("object size")?;
            let key = fields.optional("key")?.map(Key);
            let work = work.filter(|_| flags & 1 != 0);
            Event::Request(NewRequest {
                id,
                time_left: left,
                class,
                tenant,
                key,
                write: flags & 4 != 0,
                work_hint: work,
            })
        }
        "head_received" => Event::StreamStarted {
            request: RequestId(fields.required("request id")?),
            attempt: AttemptId(fields.required("attempt number")?),
        },
        "outcome" => {
            let request = RequestId(fields.required("request id")?);
            let elapsed = fields.seconds("time spent")?.unwrap_or(0.0);
            let finished = fields.optional::<u8>("0 or 1")?.unwrap_or(0) != 0;
            fields.server()?;
            let attempt = AttemptId(fields.required("attempt number")?);
            let status = parse_status(fields.text());
            let note = match fields.optional::<u64>("remark")? {
                Some(1) => Some(CacheNote::Hit),
                Some(2) => Some(CacheNote::Miss),
                Some(3) => Some(CacheNote::MissFetching),
                _ => None,
            };
            Event::Outcome(Outcome { request, attempt, status, elapsed, finished, cache_note: note })
        }
        "withdrawn" => Event::ClientLeft(RequestId(fields.required("request id")?)),
        "ring" => Event::Timer(TimerToken(fields.required("timer label")?)),
        "checked" => {
            let status = parse_status(fields.text());
            fields.seconds("time spent")?;
            Event::HealthChecked { server: fields.server()?, status }
        }
        "message" => Event::Message {
            from: fields.required("sender")?,
            bytes: parse_hex(fields.text().unwrap_or(""))?,
        },
        other => return Err(format!("a known message name expected, got `{other}`")),
    };
    names()?;
    Ok(Message::Event { node, event })
}

fn parse_hex(digits: &str) -> Result<Vec<u8>, String> {
    let invalid = || format!("hex digits expected, got `{digits}`");
    if !digits.len().is_multiple_of(2) || !digits.is_ascii() {
        return Err(invalid());
    }
    (0..digits.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&digits[i..i + 2], 16).map_err(|_| invalid()))
        .collect()
}

fn parse_entry(line: &str) -> Result<EndpointEntry, String> {
    let mut fields = Fields { rest: Some(line) };
    if fields.text() != Some("m") {
        return Err("a list entry (`m`) expected".into());
    }
    let state = match fields.text() {
        Some("Ready") => ServerState::Ready,
        Some("Gone") => ServerState::Gone,
        _ => ServerState::Draining,
    };
    Ok(EndpointEntry {
        state,
        server: fields.server()?,
        zone: fields.text().unwrap_or("").into(),
        weight: fields.seconds("size")?.unwrap_or(1.0),
        kind: fields.text().unwrap_or("").into(),
        started: fields.seconds("start time")?.filter(|&at| at > 0.0),
        cell: fields.optional("cell")?.unwrap_or(0),
    })
}

/// Appends one action to `out` as a line.
pub fn write_action(node: u64, action: &Action, out: &mut String) {
    // Writing to a `String` cannot fail.
    let _ = match action {
        Action::Send { request, server, timeout: Some(timeout) } => {
            writeln!(out, "hand_off {node} {} {timeout:.6} {}", request.0, server.0)
        }
        Action::Send { request, server, timeout: None } => {
            writeln!(out, "hand_off {node} {} - {}", request.0, server.0)
        }
        Action::Cancel { request, attempt } => writeln!(out, "call_off {node} {} {}", request.0, attempt.0),
        Action::Reject { request, retry_after: Some(retry_after) } => {
            writeln!(out, "busy {node} {} {retry_after:.6}", request.0)
        }
        Action::Reject { request, retry_after: None } => writeln!(out, "busy {node} {} -", request.0),
        Action::Fail(request) => writeln!(out, "respond_error {node} {}", request.0),
        Action::SetTimer { token, after } => writeln!(out, "set_timer {node} {} {after:.6}", token.0),
        Action::HealthCheck(server) => writeln!(out, "sample {node} {}", server.0),
        Action::Broadcast(bytes) => {
            let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            writeln!(out, "write_peer {node} -1 {digits}")
        }
        Action::Subscribe => writeln!(out, "keep_informed {node} 1"),
        Action::Log(text) => writeln!(out, "journal_line {node} {text}"),
    };
}

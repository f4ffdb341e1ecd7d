//! Runs many balancers behind a line protocol on standard input and output. The adapter only translates and makes no
//! decisions.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use hallpin_balancer::{Action, Balancer, Event, NameIndex};
use wire::Message;

/// The balancer of one node, and the class and tenant names of its settings.
struct Instance {
    balancer: Balancer,
    names: NameIndex,
}

/// The balancers of all attached nodes, by node number.
#[derive(Default)]
struct Adapter {
    instances: BTreeMap<u64, Instance>,
}

impl Adapter {
    fn handle_event(&mut self, now: f64, node: u64, event: Event, reply: &mut String) -> Result<(), String> {
        let instance = self.instances.get_mut(&node).ok_or("a node that is attached expected")?;
        let mut actions: Vec<Action> = Vec::new();
        instance.balancer.handle(now, event, &mut actions);
        for action in &actions {
            wire::write_action(node, action, reply);
        }
        Ok(())
    }

    /// Handles the lines of one batch up to `go`, and returns the reply.
    fn handle_batch(
        &mut self,
        now: f64,
        lines: &mut wire::LineReader<impl BufRead>,
    ) -> Result<String, String> {
        let mut reply = String::new();
        loop {
            let line = lines.next()?.ok_or("`go` expected before the input ends")?;
            if line == "go" {
                reply.push_str("ack\n");
                return Ok(reply);
            }
            match wire::parse_message(&line, lines, |node| {
                self.instances.get(&node).map(|instance| &instance.names)
            })? {
                Message::Attach { node, seed, settings } => {
                    let names = NameIndex::of(&settings);
                    let balancer = Balancer::new(settings, seed).map_err(|error| error.to_string())?;
                    self.instances.insert(node, Instance { balancer, names });
                }
                Message::Down { node } => {
                    self.instances.remove(&node);
                }
                Message::Event { node, event } => self.handle_event(now, node, event, &mut reply)?,
            }
        }
    }
}

fn serve(
    lines: &mut wire::LineReader<impl BufRead>,
    stdout: &mut impl Write,
    adapter: &mut Adapter,
) -> Result<(), String> {
    while let Some(line) = lines.next()? {
        let now = wire::parse_sync(&line)?;
        let reply = adapter.handle_batch(now, lines)?;
        stdout
            .write_all(reply.as_bytes())
            .and_then(|()| stdout.flush())
            .map_err(|error| error.to_string())?;
    }
    Ok(())
}

fn run() -> Result<(), String> {
    let stdin = io::stdin();
    let mut stdout = io::stdout().lock();
    let mut lines = wire::LineReader::new(stdin.lock());
    let mut adapter = Adapter::default();
    serve(&mut lines, &mut stdout, &mut adapter).map_err(|error| format!("line {}: {error}", lines.number()))
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hallpin-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

//! Cache servers: a handler says what is written for each command.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// A command as it came.
pub struct Command {
    pub line: String,
    pub id: String,
    pub write: bool,
}

pub enum Step {
    Write(Vec<u8>),
    Wait(Duration),
    Close,
}

pub type Handler = dyn Fn(&Command) -> Vec<Step> + Send + Sync;

/// Value of the flag of a command that begins with this letter.
pub fn flag(line: &str, letter: char) -> String {
    line.split(' ').skip(2).find_map(|word| word.strip_prefix(letter)).unwrap_or_default().to_string()
}

/// The answer of a sound server.
pub fn sound_answer(command: &Command) -> Vec<u8> {
    match command.write {
        true => format!("HD O{} c42\r\n", command.id).into_bytes(),
        false => value(&command.id, format!("value of {}", command.id).as_bytes()),
    }
}

pub fn value(id: &str, value: &[u8]) -> Vec<u8> {
    let mut bytes = format!("VA {} O{id} h1\r\n", value.len()).into_bytes();
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Starts a cache server on a free port.
pub fn start(handler: impl Fn(&Command) -> Vec<Step> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    serve(listener, Arc::new(handler));
    address
}

pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            spawn(move || {
                let _ = connection(stream, &*handler);
            });
        }
    });
}

pub fn connection(stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let line = line.trim_end().to_string();
        if line == "mn" {
            writer.write_all(b"MN\r\n")?;
            continue;
        }
        let write = line.starts_with("ms ");
        if write {
            let length: usize = line.split(' ').nth(2).and_then(|word| word.parse().ok()).unwrap_or(0);
            let mut block = vec![0; length + 2];
            reader.read_exact(&mut block)?;
        }
        let id = flag(&line, 'O');
        for step in handler(&Command { line, id, write }) {
            match step {
                Step::Write(bytes) => writer.write_all(&bytes)?,
                Step::Wait(time) => sleep(time),
                Step::Close => return writer.shutdown(Shutdown::Both),
            }
        }
    }
}

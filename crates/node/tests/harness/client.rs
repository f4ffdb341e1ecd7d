//! Client connection to a node, and builders of the commands and answers it exchanges.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;

use super::TEST_TIMEOUT;

/// Client connection with blocking reads, which time out after `TEST_TIMEOUT`.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    /// Sends text as it is.
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Reads the next answer line, followed by its value if it has one; empty if the node closed the connection.
    pub fn read_answer(&mut self) -> String {
        let mut line = String::new();
        if let Err(error) = self.reader.read_line(&mut line) {
            assert!(
                error.kind() != ErrorKind::WouldBlock,
                "neither an answer nor a close within the read timeout"
            );
            return String::new();
        }
        if let Some(length) = line.strip_prefix("VA ").and_then(|rest| rest.split(' ').next()) {
            let mut value = vec![0; length.parse::<usize>().unwrap() + 2];
            self.reader.read_exact(&mut value).unwrap();
            line += &String::from_utf8_lossy(&value);
        }
        line
    }

    /// Sends a command and reads its answer.
    pub fn request(&mut self, text: &str) -> String {
        self.send(text);
        self.read_answer()
    }
}

/// A `mg` command of class `read` with a deadline of `deadline_ms`.
pub fn read_command(key: &str, id: &str, deadline_ms: u32) -> String {
    format!("mg {key} v O{id} Pc=read,t=acme,d={deadline_ms}\r\n")
}

/// A `ms` command of class `open`, which must run at most once, with a deadline of `deadline_ms`.
pub fn open_command(key: &str, id: &str, deadline_ms: u32) -> String {
    format!("ms {key} 3 O{id} Pc=open,t=acme,d={deadline_ms}\r\nnew\r\n")
}

/// The node's answer to a read that a fake cache server served.
pub fn served_answer(id: &str) -> String {
    format!("VA 5 O{id}\r\nhello\r\n")
}

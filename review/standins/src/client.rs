//! What stands in for clients and for the front.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The whole value, and nothing else, that was made for this request.
    Whole,
    /// The first line promised a value and the connection ended before the value was whole.
    Cut { read: usize, length: usize },
    /// A whole value that no cache server made for this request.
    Foreign,
    /// Any other line.
    Line(String),
    /// The connection ended with no answer.
    Closed,
    /// Nothing within the time that the client waits.
    Silent,
}

/// Whether the node answers `mn` with `MN`.
pub fn is_ready(node: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&node, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"mn\r\n")?;
        let mut answer = [0; 4];
        stream.read_exact(&mut answer)?;
        Ok(&answer == b"MN\r\n")
    };
    ask().unwrap_or(false)
}

/// The answer to an operators' call; empty if there is none.
pub fn call(operator: SocketAddr, word: &str) -> String {
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&operator, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(format!("{word}\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    };
    ask().unwrap_or_default()
}

/// The value that the cache servers make for a request: its id, repeated.
pub fn value_for(id: &str, length: usize) -> Vec<u8> {
    id.bytes().cycle().take(length).collect()
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    buf: Vec<u8>,
    /// Reads so many bytes at most, then rests so long.
    pub slow: Option<(usize, Duration)>,
}

impl Client {
    pub fn connect(node: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, buf: Vec::new(), slow: None })
    }

    /// Sends one read.
    pub fn send_read(&mut self, key: &str, id: &str, deadline_ms: u64) -> std::io::Result<()> {
        let line = format!("mg {key} v O{id} Pc=date-lookup,t=soar-valley,d={deadline_ms}\r\n");
        self.stream.write_all(line.as_bytes())
    }

    /// Whether the other end has reset the connection.
    pub fn was_reset(&self) -> bool {
        !matches!(self.stream.take_error(), Ok(None))
    }

    /// Another handle of the same connection.
    pub fn try_clone(&self) -> std::io::Result<Self> {
        Ok(Client { stream: self.stream.try_clone()?, buf: Vec::new(), slow: None })
    }

    /// Sends one keyed write of 5 bytes.
    pub fn send_write(&mut self, key: &str, id: &str, k: &str, deadline_ms: u64) -> std::io::Result<()> {
        let line = format!("ms {key} 5 O{id} Pc=missed-bin,t=soar-valley,d={deadline_ms},k={k}\r\nhello\r\n");
        self.stream.write_all(line.as_bytes())
    }

    /// Reads one answer. `patience` bounds the whole of it; `first` is called with the time of the first line.
    pub fn answer(&mut self, id: &str, patience: Duration, mut first: impl FnMut(&str)) -> End {
        let until = Instant::now() + patience;
        let line = loop {
            if let Some(at) = self.buf.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 2);
                break line;
            }
            match self.read_more(until) {
                Ok(0) => return End::Closed,
                Ok(_) => {}
                Err(end) => return end,
            }
        };
        first(&line);
        let words: Vec<&str> = line.split(' ').collect();
        let length = match words[..] {
            ["VA", length, ..] => length.parse::<usize>().ok(),
            _ => None,
        };
        let Some(length) = length else { return End::Line(line) };
        while self.buf.len() < length + 2 {
            match self.read_more(until) {
                Ok(0) => return End::Cut { read: self.buf.len(), length },
                Ok(_) => {}
                Err(End::Closed) => return End::Cut { read: self.buf.len(), length },
                Err(end) => return end,
            }
        }
        let value: Vec<u8> = self.buf.drain(..length + 2).collect();
        let is_own = words.contains(&format!("O{id}").as_str())
            && value[..length] == value_for(id, length)[..]
            && value.ends_with(b"\r\n");
        if is_own {
            End::Whole
        } else {
            End::Foreign
        }
    }

    fn read_more(&mut self, until: Instant) -> Result<usize, End> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(End::Silent);
        }
        let _ = self.stream.set_read_timeout(Some(left));
        let mut chunk = [0; 64 * 1024];
        let (most, rest) = self.slow.unwrap_or((chunk.len(), Duration::ZERO));
        std::thread::sleep(rest);
        match self.stream.read(&mut chunk[..most]) {
            Ok(read) => {
                self.buf.extend_from_slice(&chunk[..read]);
                Ok(read)
            }
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
            {
                Err(End::Silent)
            }
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => Ok(self.buf.len().min(1)),
            Err(_) => Err(End::Closed),
        }
    }
}

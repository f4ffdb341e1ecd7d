//! Clients: commands, and answers in the order of the commands.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Value { id: String, bytes: Vec<u8> },
    Receipt { id: String },
    Busy,
    Failed(String),
}

pub struct Client {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

pub fn read_command(key: &str, id: &str, milliseconds: u64) -> String {
    format!("mg {key} v O{id} Pc=date-lookup,t=soar-valley,d={milliseconds}\r\n")
}

pub fn write_command(key: &str, id: &str, idempotency: &str, milliseconds: u64) -> String {
    format!("ms {key} 5 O{id} Pc=missed-bin,t=soar-valley,d={milliseconds},k={idempotency}\r\nhello\r\n")
}

impl Client {
    pub fn connect(address: SocketAddr, patience: Duration) -> std::io::Result<Self> {
        let writer = TcpStream::connect(address)?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(patience))?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Client { writer, reader })
    }

    pub fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.writer.write_all(text.as_bytes())
    }

    /// Whether `mn` is answered with `MN`.
    pub fn is_ready(&mut self) -> std::io::Result<bool> {
        self.send("mn\r\n")?;
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        Ok(line.starts_with("MN"))
    }

    /// The next answer whole, or why there is none.
    pub fn answer(&mut self) -> std::io::Result<Answer> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 || !line.ends_with("\r\n") {
            return Err(Error::new(ErrorKind::UnexpectedEof, format!("the connection ended after {line:?}")));
        }
        let line = line.trim_end().to_string();
        let words: Vec<&str> = line.split(' ').collect();
        let id = |word: Option<&&str>| {
            word.and_then(|word| word.strip_prefix('O')).unwrap_or_default().to_string()
        };
        Ok(match words[0] {
            "VA" => {
                let length: usize = words.get(1).and_then(|word| word.parse().ok()).unwrap_or(0);
                let mut bytes = vec![0; length + 2];
                let mut got = 0;
                while got < bytes.len() {
                    match self.reader.read(&mut bytes[got..])? {
                        0 => {
                            let text =
                                format!("the connection ended after {got} of {length} bytes of a value");
                            return Err(Error::new(ErrorKind::UnexpectedEof, text));
                        }
                        read => got += read,
                    }
                }
                bytes.truncate(length);
                Answer::Value { id: id(words.get(2)), bytes }
            }
            "HD" => Answer::Receipt { id: id(words.get(1)) },
            "SERVER_ERROR" if words.get(1) == Some(&"busy") => Answer::Busy,
            _ => Answer::Failed(line),
        })
    }
}

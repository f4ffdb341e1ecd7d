//! Trace files: JSON lines, of which the first is the header with scenario, seed and leeway.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

use hallpin_simulation::history::Header;
use hallpin_simulation::time::Time;
use hallpin_simulation::trace::{Event, Line, Sink};

/// Writes a trace to a file. After the first write error nothing more is written; [`TraceFile::finish`] returns it.
pub struct TraceFile<W: Write> {
    writer: W,
    error: Option<io::Error>,
}

impl TraceFile<BufWriter<File>> {
    /// Creates the file at this path and writes the header.
    ///
    /// # Errors
    /// If the file cannot be created.
    pub fn create(path: &Path, header: &Header) -> io::Result<Self> {
        File::create(path).map(|file| TraceFile::new(BufWriter::new(file), header))
    }
}

impl<W: Write> TraceFile<W> {
    /// Creates a trace on this writer and writes the header.
    pub fn new(writer: W, header: &Header) -> Self {
        let mut file = TraceFile { writer, error: None };
        file.write_line(header);
        file
    }

    fn write_line(&mut self, line: &impl serde::Serialize) {
        let written = serde_json::to_writer(&mut self.writer, line).map_err(io::Error::from);
        self.error = written.and_then(|()| self.writer.write_all(b"\n")).err();
    }

    /// Flushes the trace.
    ///
    /// # Errors
    /// The first write error; the trace is incomplete then.
    pub fn finish(mut self) -> io::Result<()> {
        match self.error {
            Some(error) => Err(error),
            None => self.writer.flush(),
        }
    }
}

impl<W: Write> Sink for TraceFile<W> {
    fn record(&mut self, at: Time, event: &Event) {
        if self.error.is_none() {
            self.write_line(&Line { at, event: event.clone() });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use hallpin_simulation::scenario::Scenario;
    use hallpin_simulation::time::Span;

    /// Accepts this many bytes and then fails, like a disk that fills up.
    struct FullDisk(usize);

    impl Write for FullDisk {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            if self.0 == 0 {
                return Err(io::ErrorKind::StorageFull.into());
            }
            let taken = bytes.len().min(self.0);
            self.0 -= taken;
            Ok(taken)
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn a_full_disk_does_not_stop_the_run_and_is_returned_by_finish() {
        let header = Header::new(&Scenario::default(), 1, Span::ZERO);
        let head = serde_json::to_string(&header).expect("JSON").len() + 1;
        for capacity in [0, 1, head + 30, head + 1000] {
            let mut file = TraceFile::new(FullDisk(capacity), &header);
            for n in 0..20 {
                file.record(Time(n), &Event::NodeUp { node: 1 });
            }
            let complete = head + 20 * "{\"at\":10,\"event\":\"node-up\",\"node\":1}\n".len() - 10;
            let ended = file.finish().map_err(|e| e.kind());
            assert_eq!(
                ended,
                if capacity < complete { Err(io::ErrorKind::StorageFull) } else { Ok(()) },
                "{capacity}"
            );
        }
    }
}

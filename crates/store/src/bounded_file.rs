//! A storage backend that limits the length of its file, since files count as memory where a node runs.

use std::io;

use redb::StorageBackend;

/// A storage backend with a maximum length. It takes no locks; the store holds a lock file of its own.
#[derive(Debug)]
pub(crate) struct BoundedFile {
    file: Box<dyn StorageBackend>,
    max_bytes: u64,
}

impl BoundedFile {
    pub(crate) fn new(file: Box<dyn StorageBackend>, max_bytes: u64) -> Self {
        BoundedFile { file, max_bytes }
    }
}

impl StorageBackend for BoundedFile {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        if len > self.max_bytes {
            return Err(io::Error::new(
                io::ErrorKind::FileTooLarge,
                format!("{len} bytes, at most {} allowed", self.max_bytes),
            ));
        }
        self.file.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.file.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.file.write(offset, data)
    }
}

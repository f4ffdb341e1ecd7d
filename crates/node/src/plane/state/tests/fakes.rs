//! Fakes: a disk that can be full and a wall clock with a fixed time.

use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use hallpin_store::file_system::{FileSystem, OsFileSystem, StorageBackend};
use tokio::time::Instant;

use crate::clock::source::TimeSource;

/// A disk that fails writes with `StorageFull` while set to full.
#[derive(Clone, Debug, Default)]
pub struct FullDisk(Arc<AtomicBool>);

impl FullDisk {
    pub fn set_full(&self, full: bool) {
        self.0.store(full, Ordering::SeqCst);
    }

    fn check(&self) -> io::Result<()> {
        match self.0.load(Ordering::SeqCst) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

/// An open file on a [`FullDisk`].
#[derive(Debug)]
struct FileOnFullDisk(Box<dyn StorageBackend>, FullDisk);

impl StorageBackend for FileOnFullDisk {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.1.check()?;
        self.0.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.1.check()?;
        self.0.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.1.check()?;
        self.0.write(offset, data)
    }
}

impl FileSystem for FullDisk {
    fn open(&self, path: &Path) -> io::Result<Box<dyn StorageBackend>> {
        self.check()?;
        Ok(Box::new(FileOnFullDisk(OsFileSystem.open(path)?, self.clone())))
    }

    fn open_lock(&self, path: &Path) -> io::Result<File> {
        self.check()?;
        OsFileSystem.open_lock(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.check()?;
        OsFileSystem.rename(from, to)
    }

    fn copy(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.check()?;
        OsFileSystem.copy(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        OsFileSystem.remove(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.check()?;
        OsFileSystem.sync_folder(folder)
    }

    fn names(&self, folder: &Path) -> io::Result<Vec<OsString>> {
        OsFileSystem.names(folder)
    }
}

/// A wall clock with a fixed time.
#[derive(Debug)]
pub struct SetClock(Duration);

impl SetClock {
    pub fn at(unix_ms: u64) -> &'static Self {
        Box::leak(Box::new(SetClock(Duration::from_millis(unix_ms))))
    }
}

impl TimeSource for SetClock {
    fn wall(&self) -> Duration {
        self.0
    }

    fn monotonic(&self) -> Instant {
        Instant::now()
    }
}

//! The operating system's file system with injected faults: calls fail for a while, or from some call on for good.

use std::ffi::OsString;
use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};

use hallpin_store::file_system::{Disk, FileSystem, StorageBackend};

/// Which calls fail, and how.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// The first call that fails, by the number of calls before it.
    pub from: u64,
    /// How many calls fail.
    pub calls: u64,
    /// The error of a failed call.
    pub kind: io::ErrorKind,
    /// How many bytes of the first failed call reach the disk, if it is a write or a copy.
    pub bytes: usize,
}

#[derive(Debug, Default)]
struct Calls {
    made: u64,
    fault: Option<Fault>,
    failed: u64,
}

/// A file system with a fault. Clones share the call counter and the fault.
#[derive(Clone, Debug, Default)]
pub struct FaultyFileSystem(Arc<Mutex<Calls>>);

impl FaultyFileSystem {
    pub fn with(fault: Fault) -> Self {
        FaultyFileSystem(Arc::new(Mutex::new(Calls { fault: Some(fault), ..Calls::default() })))
    }

    pub fn call_count(&self) -> u64 {
        self.0.lock().unwrap().made
    }

    pub fn failed_count(&self) -> u64 {
        self.0.lock().unwrap().failed
    }

    /// Makes all later calls except `len` fail, as if the process were killed: no byte of theirs reaches the disk, but
    /// a failed `copy` leaves an empty target.
    pub fn kill(&self) {
        let mut calls = self.0.lock().unwrap();
        let (from, kind) = (calls.made, io::ErrorKind::Other);
        calls.fault = Some(Fault { from, calls: u64::MAX, kind, bytes: 0 });
    }

    /// Counts a call. If the call fails, returns how many of its bytes are written, and the error.
    fn count_call(&self) -> Result<(), (usize, io::Error)> {
        let mut calls = self.0.lock().unwrap();
        let number = calls.made;
        calls.made += 1;
        match calls.fault {
            Some(fault) if number >= fault.from && number - fault.from < fault.calls => {
                calls.failed += 1;
                let bytes = if number == fault.from { fault.bytes } else { 0 };
                Err((bytes, io::Error::new(fault.kind, "injected fault")))
            }
            _ => Ok(()),
        }
    }

    fn check_call(&self) -> io::Result<()> {
        self.count_call().map_err(|(_, error)| error)
    }
}

#[derive(Debug)]
struct FaultyFile {
    file: Box<dyn StorageBackend>,
    calls: FaultyFileSystem,
}

impl StorageBackend for FaultyFile {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.calls.check_call()?;
        self.file.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.calls.check_call()?;
        self.file.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.calls.check_call()?;
        self.file.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        match self.calls.count_call() {
            Ok(()) => self.file.write(offset, data),
            Err((bytes, error)) => {
                self.file.write(offset, &data[..bytes.min(data.len())])?;
                Err(error)
            }
        }
    }
}

impl FileSystem for FaultyFileSystem {
    fn open(&self, path: &Path) -> io::Result<Box<dyn StorageBackend>> {
        self.check_call()?;
        Ok(Box::new(FaultyFile { file: Disk.open(path)?, calls: self.clone() }))
    }

    fn open_lock(&self, path: &Path) -> io::Result<File> {
        self.check_call()?;
        Disk.open_lock(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.check_call()?;
        Disk.rename(from, to)
    }

    fn copy(&self, from: &Path, to: &Path) -> io::Result<()> {
        match self.count_call() {
            Ok(()) => Disk.copy(from, to),
            Err((bytes, error)) => {
                let content = std::fs::read(from)?;
                std::fs::write(to, &content[..bytes.min(content.len())])?;
                Err(error)
            }
        }
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.check_call()?;
        Disk.remove(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.check_call()?;
        Disk.sync_folder(folder)
    }

    fn names(&self, folder: &Path) -> io::Result<Vec<OsString>> {
        self.check_call()?;
        Disk.names(folder)
    }
}

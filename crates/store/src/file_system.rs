//! The file system calls of a store behind a trait, so that a test can make each call fail or end early.

use std::ffi::OsString;
use std::fmt::Debug;
use std::fs::{self, File};
use std::io;
use std::path::Path;

use redb::backends::FileBackend;
pub use redb::StorageBackend;

/// The file system calls that a store makes.
pub trait FileSystem: Debug + Send + Sync {
    /// Opens a file for reading and writing; creates an empty one if it does not exist.
    ///
    /// # Errors
    /// The error of the file system.
    fn open(&self, path: &Path) -> io::Result<Box<dyn StorageBackend>>;

    /// Opens the lock file, which the process that uses the store keeps locked; creates it if it does not exist.
    ///
    /// # Errors
    /// The error of the file system.
    fn open_lock(&self, path: &Path) -> io::Result<File>;

    /// Renames a file, replacing `to` if it exists.
    ///
    /// # Errors
    /// The error of the file system.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Copies a file and syncs the copy.
    ///
    /// # Errors
    /// The error of the file system.
    fn copy(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Deletes a file.
    ///
    /// # Errors
    /// The error of the file system.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Syncs a folder, which makes renames, new files and deletions in it durable.
    ///
    /// # Errors
    /// The error of the file system.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;

    /// Names of the entries in a folder.
    ///
    /// # Errors
    /// The error of the file system.
    fn names(&self, folder: &Path) -> io::Result<Vec<OsString>>;
}

/// The operating system's file system.
#[derive(Clone, Copy, Debug, Default)]
pub struct OsFileSystem;

impl FileSystem for OsFileSystem {
    fn open(&self, path: &Path) -> io::Result<Box<dyn StorageBackend>> {
        let file = File::options().read(true).write(true).create(true).truncate(false).open(path)?;
        let backend = FileBackend::new(file).map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Box::new(backend))
    }

    fn open_lock(&self, path: &Path) -> io::Result<File> {
        File::options().write(true).create(true).truncate(false).open(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn copy(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::copy(from, to)?;
        File::open(to)?.sync_all()
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }

    fn names(&self, folder: &Path) -> io::Result<Vec<OsString>> {
        fs::read_dir(folder)?.map(|entry| Ok(entry?.file_name())).collect()
    }
}

//! Exclusive access to a state for one process, by a lock file beside it, since the state's own file may be renamed.

use std::fs::{File, TryLockError};
use std::path::Path;

use crate::aside;
use crate::error::StoreError;
use crate::file_system::FileSystem;

/// Holds the lock file's lock until it is dropped.
#[derive(Debug)]
pub(crate) struct Lock(File);

impl Lock {
    pub(crate) fn acquire(files: &dyn FileSystem, path: &Path) -> Result<Self, StoreError> {
        let lock_path = aside::with_suffix(path, ".lock");
        let io = |source| StoreError::Io { path: lock_path.clone(), operation: "cannot lock", source };
        let file = files.open_lock(&lock_path).map_err(io)?;
        match file.try_lock() {
            Ok(()) => Ok(Lock(file)),
            Err(TryLockError::WouldBlock) => Err(StoreError::InUse(path.to_owned())),
            Err(TryLockError::Error(source)) => Err(io(source)),
        }
    }
}

impl Drop for Lock {
    fn drop(&mut self) {
        // Closing the file is not enough: a child process that is being started may still hold a copy of the
        // descriptor, which would keep the lock.
        let _ = self.0.unlock();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::file_system::OsFileSystem;

    #[test]
    fn dropping_releases_the_lock_while_a_copy_of_the_descriptor_is_open() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("state");
        let lock = Lock::acquire(&OsFileSystem, &path).unwrap();
        let copy = lock.0.try_clone().unwrap();
        assert!(matches!(Lock::acquire(&OsFileSystem, &path), Err(StoreError::InUse(_))));
        drop(lock);
        Lock::acquire(&OsFileSystem, &path).unwrap();
        drop(copy);
    }
}

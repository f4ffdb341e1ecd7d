//! Errors of the store. None of them stops a node, which goes on without a store.

use std::io;
use std::path::PathBuf;

use hallpin_membership::names::Incarnation;

/// Why a store cannot be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process, or another store in this process, has the state open.
    #[error("{}: in use by another process", .0.display())]
    InUse(PathBuf),
    /// A file system call failed, for instance on a missing folder, missing permission, a full disk or a device error.
    #[error("{}: {operation}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The operation that failed.
        operation: &'static str,
        /// The error of the file system.
        source: io::Error,
    },
    /// The snapshot is longer than its limit; the state stored before is unchanged.
    #[error("the snapshot has {found} bytes, at most {bound} expected")]
    TooLarge {
        /// Length of the snapshot in bytes.
        found: u64,
        /// Maximum length in bytes.
        bound: u64,
    },
    /// The database returned an error; the state stored before is unchanged.
    #[error("{}: {detail}", path.display())]
    Database {
        /// The database file.
        path: PathBuf,
        /// The database's error message.
        detail: String,
    },
    /// The stored incarnation is not below the one that would replace it.
    #[error("the stored incarnation {} is not below this process's, {}", stored.0, this.0)]
    LaterIncarnation {
        /// The incarnation in the file.
        stored: Incarnation,
        /// The incarnation of this process.
        this: Incarnation,
    },
    /// The snapshot cannot be serialised.
    #[error("the snapshot cannot be serialised")]
    Encoding,
}

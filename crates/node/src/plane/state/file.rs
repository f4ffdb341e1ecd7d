//! The state file of a node, opened at the start, or later if that fails.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use hallpin_membership::names::Incarnation;
use hallpin_store::file_system::{Disk, FileSystem};
use hallpin_store::{Identity, Limits, Restored, Snapshot, Store, StoreError};
use tracing::info;

use super::report_set_aside;
use crate::clock::source::{SystemClock, TimeSource};

/// Maximum length of the state file: eight times the size of a table of 4,096 boxes.
const MAX_BYTES: u64 = 8 << 20;

/// Path of a node's state file, the identity of the node, and limits.
#[derive(Debug)]
pub struct StateFile {
    pub(super) files: Arc<dyn FileSystem>,
    pub(super) time: &'static dyn TimeSource,
    pub(super) path: PathBuf,
    pub(super) identity: Identity,
    pub(super) limits: Limits,
}

impl StateFile {
    /// A file on the local disk; contents older than `max_age` are not used.
    pub fn new(path: &Path, identity: Identity, max_age: Duration) -> Self {
        StateFile {
            files: Arc::new(Disk),
            time: &SystemClock,
            path: path.to_owned(),
            identity,
            limits: Limits { max_bytes: MAX_BYTES, max_age, ..Limits::default() },
        }
    }

    pub(super) fn unix_ms(&self) -> u64 {
        self.time.unix_ms()
    }

    pub(super) fn open(&self) -> Result<(Store, Restored), StoreError> {
        Store::open_on(self.files.clone(), &self.path, self.identity, self.unix_ms(), &self.limits)
    }
}

/// The store of the running process. While it is not open, each commit tries to open it.
#[derive(Debug)]
pub struct ProcessState {
    pub(super) file: StateFile,
    pub(super) incarnation: Incarnation,
    pub(super) store: Option<Store>,
    /// Whether the quiet period at the start is over.
    quiet_is_over: bool,
}

impl ProcessState {
    pub(super) fn new(file: StateFile, incarnation: Incarnation, store: Option<Store>) -> Self {
        ProcessState { file, incarnation, store, quiet_is_over: false }
    }

    pub(super) fn quiet_is_over(&mut self) {
        self.quiet_is_over = true;
        if let Some(store) = &mut self.store {
            store.quiet_is_over();
        }
    }

    /// Writes a snapshot durably, together with the incarnation. Opens the store first if it is not open.
    pub(super) fn commit(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let store = match &mut self.store {
            Some(store) => store,
            None => {
                let store = self.open_late()?;
                self.store.insert(store)
            }
        };
        store.commit(snapshot)
    }

    /// Opens the store for a process that started without it. The stored contents are no longer used.
    fn open_late(&self) -> Result<Store, StoreError> {
        let (mut store, mut restored) = self.file.open()?;
        store.adopt(self.incarnation, self.quiet_is_over)?;
        report_set_aside(&mut store, &mut restored);
        info!(path = %self.file.path.display(), "the state file is open now");
        Ok(store)
    }
}

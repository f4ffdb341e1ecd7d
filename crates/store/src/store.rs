//! Owns the files of a state: opens and checks them, commits to them, and sets aside what must not be used.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use hallpin_membership::names::Incarnation;
use redb::StorageBackend;

use crate::aside;
use crate::bounded_file::BoundedFile;
use crate::error::StoreError;
use crate::file_system::{Disk, FileSystem};
use crate::frame;
use crate::incarnation::{Past, Start};
use crate::lock::Lock;
use crate::names::{Identity, Limits};
use crate::reason::SetAsideReason;
use crate::restored::Restored;
use crate::row_database::{DatabaseError, RowDatabase, Rows};
use crate::rows::{IncarnationRow, SnapshotRow, FORMAT};
use crate::snapshot::Snapshot;

/// An open state. Only one process at a time can have it open; dropping it releases the lock.
#[derive(Debug)]
pub struct Store {
    files: Arc<dyn FileSystem>,
    path: PathBuf,
    identity: Identity,
    limits: Limits,
    /// What the file said of earlier incarnations when it was opened.
    past: Past,
    /// The incarnation of this process and its row, once it was chosen or adopted.
    current: Option<(Start, IncarnationRow)>,
    /// `None` after a failed write; the next write opens the database again.
    database: Option<RowDatabase>,
    /// Data was set aside without a copy: the copy must be made before a commit replaces the data.
    copy_due: bool,
    /// The last field, so that it is dropped after the database is closed.
    _lock: Lock,
}

impl Store {
    /// Opens the state at `path`, or creates an empty one, and checks by the wall time (milliseconds since the Unix
    /// epoch) what of it may be used. Beside the file are `FILE.lock` and what was set aside, `FILE.aside-N`. The
    /// folder must exist.
    ///
    /// # Errors
    /// A file system call fails or another process has the state open. Stored data is not lost, and the node goes on
    /// without a store, with [`Start::unwritten`].
    pub fn open(
        path: &Path,
        identity: Identity,
        now_unix_ms: u64,
        limits: &Limits,
    ) -> Result<(Store, Restored), StoreError> {
        Self::open_on(Arc::new(Disk), path, identity, now_unix_ms, limits)
    }

    /// Opens the state on the given file system.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn open_on(
        files: Arc<dyn FileSystem>,
        path: &Path,
        identity: Identity,
        now_unix_ms: u64,
        limits: &Limits,
    ) -> Result<(Store, Restored), StoreError> {
        let lock = Lock::acquire(&*files, path)?;
        let mut store = Store {
            files,
            path: path.to_owned(),
            identity,
            limits: *limits,
            past: Past::Unknown,
            current: None,
            database: None,
            copy_due: false,
            _lock: lock,
        };
        let restored = match store.load(now_unix_ms)? {
            Ok(restored) => store.remove_set_aside(restored, now_unix_ms),
            Err(reason) => store.replace_file(reason)?,
        };
        store.past = restored.past;
        Ok((store, restored))
    }

    /// Chooses the incarnation of this process and writes it, before anything is sent under it. Later calls return the
    /// same. Nothing may be sent before [`Start::quiet`] has passed since the first call; then
    /// [`Store::quiet_is_over`] is called.
    ///
    /// The error says that the incarnation could not be written; the returned start is valid without it, with a longer
    /// silence.
    pub fn next_incarnation(&mut self, now_unix_ms: u64) -> (Start, Result<(), StoreError>) {
        if let Some((start, _)) = self.current {
            return (start, Ok(()));
        }
        let step_back = self.limits.clock_step_back;
        let mut start = Start::written(self.past, now_unix_ms, step_back);
        let written = self.write_incarnation(start, start.is_settled());
        if written.is_err() {
            start = Start::unwritten(self.past, now_unix_ms, step_back);
            self.current = Some((start, self.incarnation_row(start, false)));
        }
        (start, written)
    }

    /// Takes over the incarnation that this process chose by [`Start::unwritten`] while the store could not be opened.
    /// The next commit stores it. `quiet_is_over` says whether its silence is over.
    ///
    /// # Errors
    /// A later incarnation is stored: it must not be overwritten, so this one cannot be written.
    pub fn adopt(&mut self, incarnation: Incarnation, quiet_is_over: bool) -> Result<(), StoreError> {
        if let Past::Unsettled(stored) | Past::Settled(stored) = self.past {
            if stored >= incarnation {
                return Err(StoreError::LaterIncarnation { stored, this: incarnation });
            }
        }
        let start = Start { incarnation, quiet: Duration::ZERO };
        self.current = Some((start, self.incarnation_row(start, quiet_is_over)));
        Ok(())
    }

    /// Marks this incarnation's silence as over: after the next commit, the next process may follow it without
    /// silence.
    pub fn quiet_is_over(&mut self) {
        if let Some((_, row)) = &mut self.current {
            row.settled = true;
        }
    }

    /// Replaces the stored snapshot, durably. A crash at any point leaves either the old snapshot or the new one
    /// complete.
    ///
    /// # Errors
    /// Either the old snapshot or this one is stored then. A later commit tries again; the node goes on.
    pub fn commit(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        if self.copy_due {
            self.copy_aside()?;
        }
        let row = SnapshotRow {
            identity: self.identity,
            epoch: snapshot.epoch,
            taken_unix_ms: snapshot.taken_unix_ms,
            sections: snapshot.sections.clone(),
        };
        let bytes = frame::encode(FORMAT, &row).ok_or(StoreError::Encoding)?;
        let (found, bound) = (bytes.len() as u64, self.limits.max_snapshot_bytes());
        if found > bound {
            return Err(StoreError::TooLarge { found, bound });
        }
        let incarnation = self.current.and_then(|(_, row)| frame::encode(FORMAT, &row));
        self.write(&Rows { incarnation, snapshot: Some(bytes) })
    }

    /// Copies the file to an `.aside-N` file if `restored` has set aside more since it was opened: sections of a newer
    /// format, or a state of an older epoch than the peers'. Must be called before the first commit replaces them.
    ///
    /// # Errors
    /// A file system call fails. Commits then fail too, until one of them has made the copy.
    pub fn keep_aside(&mut self, restored: &mut Restored) -> Result<(), StoreError> {
        if restored.has_unpreserved() {
            restored.record_preserved(self.copy_aside()?);
        }
        Ok(())
    }

    fn copy_aside(&mut self) -> Result<Vec<SetAsideReason>, StoreError> {
        self.copy_due = true;
        let kept = aside::copy_aside(&*self.files, &self.path, self.limits.max_aside_files);
        let kept = kept.map_err(self.io_error("cannot copy the state that is set aside"))?;
        self.copy_due = false;
        Ok(kept)
    }

    /// Opens the file and checks it. Returns a reason that affects the whole file, or what may be used.
    fn load(&mut self, now_unix_ms: u64) -> Result<Result<Restored, SetAsideReason>, StoreError> {
        let file = self.open_file()?;
        let found = file.len().map_err(self.io_error("cannot read"))?;
        if found > self.limits.max_bytes {
            return Ok(Err(SetAsideReason::TooLarge { found, bound: self.limits.max_bytes }));
        }
        match self.open_database(file) {
            Ok((database, rows)) => {
                self.database = Some(database);
                Ok(Restored::validate(&rows, self.identity, now_unix_ms, &self.limits))
            }
            Err(DatabaseError::Corrupt(detail)) => Ok(Err(SetAsideReason::Corrupt(detail))),
            Err(error) => Err(self.database_error("cannot open", error)),
        }
    }

    /// If sections were set aside, preserves a copy of the file and removes them from it, so that the next open finds
    /// only the usable rest. If that fails, the rest is used all the same, the incarnation above all, and the next
    /// commit tries again.
    fn remove_set_aside(&mut self, mut restored: Restored, now_unix_ms: u64) -> Restored {
        if restored.has_unpreserved() {
            let removed =
                self.keep_aside(&mut restored).and_then(|()| self.commit(&restored.as_snapshot(now_unix_ms)));
            if let Err(error) = removed {
                restored.record_not_preserved(&error);
            }
        }
        restored
    }

    /// Sets the whole file aside and creates an empty one in its place.
    fn replace_file(&mut self, reason: SetAsideReason) -> Result<Restored, StoreError> {
        self.database = None;
        let kept = aside::rename_aside(&*self.files, &self.path, self.limits.max_aside_files);
        let mut restored = Restored::empty(vec![reason]);
        restored.record_preserved(kept.map_err(self.io_error("cannot set the file aside"))?);
        let file = self.open_file()?;
        let (database, _) =
            self.open_database(file).map_err(|error| self.database_error("cannot open", error))?;
        self.database = Some(database);
        Ok(restored)
    }

    fn incarnation_row(&self, start: Start, settled: bool) -> IncarnationRow {
        IncarnationRow { identity: self.identity, incarnation: start.incarnation, settled }
    }

    fn write_incarnation(&mut self, start: Start, settled: bool) -> Result<(), StoreError> {
        let row = self.incarnation_row(start, settled);
        let rows = Rows { incarnation: frame::encode(FORMAT, &row), snapshot: None };
        self.write(&rows)?;
        if settled {
            // The database falls back to the previous commit if the newest one is damaged. That commit must not hold
            // an earlier settled incarnation, because the next process would then reuse this one's number.
            self.write(&rows)?;
        }
        self.current = Some((start, row));
        Ok(())
    }

    fn write(&mut self, rows: &Rows) -> Result<(), StoreError> {
        let mut database = match self.database.take() {
            Some(database) => database,
            None => self.reopen()?,
        };
        database.write(rows).map_err(|error| self.database_error("cannot write", error))?;
        self.database = Some(database);
        Ok(())
    }

    /// Opens the database again after a failed write. The file must hold one of this node's own states; any other is
    /// not overwritten.
    fn reopen(&mut self) -> Result<RowDatabase, StoreError> {
        let file = self.open_file()?;
        let (database, rows) =
            self.open_database(file).map_err(|error| self.database_error("cannot reopen", error))?;
        match Restored::validate(&rows, self.identity, u64::MAX, &self.limits) {
            Ok(_) => Ok(database),
            Err(reason) => Err(StoreError::Database { path: self.path.clone(), detail: reason.to_string() }),
        }
    }

    fn open_file(&self) -> Result<Box<dyn StorageBackend>, StoreError> {
        let file = self.files.open(&self.path).map_err(self.io_error("cannot open"))?;
        aside::sync_folder(&*self.files, &self.path).map_err(self.io_error("cannot sync the folder"))?;
        Ok(file)
    }

    fn open_database(&self, file: Box<dyn StorageBackend>) -> Result<(RowDatabase, Rows), DatabaseError> {
        RowDatabase::open(BoundedFile::new(file, self.limits.max_bytes))
    }

    fn io_error(&self, operation: &'static str) -> impl FnOnce(io::Error) -> StoreError {
        let path = self.path.clone();
        move |source| StoreError::Io { path, operation, source }
    }

    fn database_error(&self, operation: &'static str, error: DatabaseError) -> StoreError {
        match error {
            DatabaseError::Io(source) => self.io_error(operation)(source),
            other => {
                StoreError::Database { path: self.path.clone(), detail: format!("{operation}: {other}") }
            }
        }
    }
}

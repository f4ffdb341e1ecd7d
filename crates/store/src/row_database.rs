//! A database of two rows, written in one transaction, over any storage backend.
//!
//! Protection against files of unknown origin, in this order: the store rejects one over its maximum length before
//! opening it; `redb` verifies the checksums of every page of its trees at each open, and not only after a crash; a
//! panic inside `redb` is caught and reported as corruption; each row has its own checksum; and the rows name their
//! owner.

use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};

use redb::{Builder, Database, ReadableDatabase, StorageBackend, TableDefinition, TableError};

const TABLE: TableDefinition<u8, &[u8]> = TableDefinition::new("hallpin");
const INCARNATION_KEY: u8 = 0;
const SNAPSHOT_KEY: u8 = 1;
/// Size of the page cache: four times the longest snapshot under the default limits.
const CACHE_BYTES: usize = 256 * 1024;

/// Encoded rows; `None` for a row that does not exist.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// The incarnation of the process.
    pub incarnation: Option<Vec<u8>>,
    /// The snapshot.
    pub snapshot: Option<Vec<u8>>,
}

/// Why a database cannot be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum DatabaseError {
    /// The content of the backend is not a database of this kind, or is damaged.
    #[error("{0}")]
    Corrupt(String),
    /// The storage backend failed.
    #[error(transparent)]
    Io(io::Error),
    /// The database returned another error.
    #[error("{0}")]
    Other(String),
}

/// An open database. After an error of [`RowDatabase::write`] it must be dropped and opened again: the transaction is
/// in the file either completely or not at all.
#[derive(Debug)]
pub struct RowDatabase {
    /// `None` only during drop.
    database: Option<Database>,
}

impl Drop for RowDatabase {
    fn drop(&mut self) {
        // Closing the database writes to it, and may panic on damaged content as opening may.
        let database = self.database.take();
        let _ = catch_unwind(AssertUnwindSafe(|| drop(database)));
    }
}

impl RowDatabase {
    /// Opens a database, or creates one in an empty backend, and reads its rows.
    ///
    /// # Errors
    /// Says whether the content is damaged or the backend failed.
    pub fn open(backend: impl StorageBackend) -> Result<(RowDatabase, Rows), DatabaseError> {
        catch_panic(|| {
            let database = Builder::new()
                .set_cache_size(CACHE_BYTES)
                .set_check_integrity_on_open(true)
                .create_with_backend(backend)
                .map_err(|error| classify_error(error.into()))?;
            let rows = read_rows(&database)?;
            Ok((RowDatabase { database: Some(database) }, rows))
        })
    }

    /// Writes the given rows in one transaction, and returns when they are durable. A row that is `None` is unchanged.
    ///
    /// # Errors
    /// The file holds either the old rows or the new ones, and this database must be dropped.
    pub fn write(&mut self, rows: &Rows) -> Result<(), DatabaseError> {
        catch_panic(|| {
            let database = self.database.as_ref().ok_or_else(|| DatabaseError::Other("closed".to_owned()))?;
            let transaction = database.begin_write().map_err(|error| classify_error(error.into()))?;
            {
                let mut table =
                    transaction.open_table(TABLE).map_err(|error| classify_error(error.into()))?;
                for (key, row) in [(INCARNATION_KEY, &rows.incarnation), (SNAPSHOT_KEY, &rows.snapshot)] {
                    if let Some(bytes) = row {
                        table.insert(key, bytes.as_slice()).map_err(|error| classify_error(error.into()))?;
                    }
                }
            }
            transaction.commit().map_err(|error| classify_error(error.into()))
        })
    }
}

fn read_rows(database: &Database) -> Result<Rows, DatabaseError> {
    let transaction = database.begin_read().map_err(|error| classify_error(error.into()))?;
    let table = match transaction.open_table(TABLE) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(Rows::default()),
        Err(error) => return Err(classify_error(error.into())),
    };
    let row = |key: u8| match table.get(key) {
        Ok(row) => Ok(row.map(|bytes| bytes.value().to_vec())),
        Err(error) => Err(classify_error(error.into())),
    };
    Ok(Rows { incarnation: row(INCARNATION_KEY)?, snapshot: row(SNAPSHOT_KEY)? })
}

/// Converts a panic of the database on damaged content to an error, so that it does not reach the node. What the
/// closure had open is dropped with it.
fn catch_panic<T>(operation: impl FnOnce() -> Result<T, DatabaseError>) -> Result<T, DatabaseError> {
    catch_unwind(AssertUnwindSafe(operation)).unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no message");
        Err(DatabaseError::Corrupt(format!("the database panicked: {text}")))
    })
}

fn classify_error(error: redb::Error) -> DatabaseError {
    use redb::Error as E;
    match error {
        E::Io(error) => match error.kind() {
            io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof => {
                DatabaseError::Corrupt(error.to_string())
            }
            _ => DatabaseError::Io(error),
        },
        E::Corrupted(_)
        | E::UpgradeRequired(_)
        | E::TableTypeMismatch { .. }
        | E::TableIsMultimap(_)
        | E::TypeDefinitionChanged { .. } => DatabaseError::Corrupt(error.to_string()),
        other => DatabaseError::Other(other.to_string()),
    }
}

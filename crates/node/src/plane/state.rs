//! The plane's state that is stored across restarts, if configured: read at the start, written by a separate thread.

mod file;
mod retry;
#[cfg(test)]
mod tests;
mod writer;

use std::time::Duration;

use hallpin_membership::names::{Incarnation, NodeIncarnation};
use hallpin_store::incarnation::{Past, Start};
use hallpin_store::{Outlives, Restored, Section, Store, Stored};
use serde::{Deserialize, Serialize};
use tracing::warn;

use crate::clock::source::{SystemClock, TimeSource};
pub use file::StateFile;
pub use writer::StateWriter;

/// The placement table and its fencing tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTable(pub hallpin_placement::StoredPlacement);

impl Outlives for StoredTable {
    const SECTION: Section = Section::Table;
    const FORMAT: u16 = 1;
}

/// Nodes that were alive, with their incarnations: hints which nodes to contact first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredView(pub Vec<NodeIncarnation>);

impl Outlives for StoredView {
    const SECTION: Section = Section::View;
    const FORMAT: u16 = 1;
}

/// The stored state, written as one snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CachedState {
    /// The placement table; `None` if the node has no placement agreement.
    pub table: Option<StoredTable>,
    /// The nodes in the membership view.
    pub view: StoredView,
}

/// What a process starts with: its incarnation, and the state that the last process stored.
pub struct RestoredState {
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// How long after the process start no datagram may be sent.
    pub quiet_period: Duration,
    /// The state that the last process stored, or the default.
    pub cached: CachedState,
    /// The writer of the state; `None` if state is not stored.
    pub state: Option<StateWriter>,
}

/// Begins an incarnation without a store; its number is the wall clock time, which is later than earlier ones.
pub fn begin_without_store() -> RestoredState {
    let incarnation = Incarnation(SystemClock.unix_ms());
    RestoredState { incarnation, quiet_period: Duration::ZERO, cached: CachedState::default(), state: None }
}

/// Opens the store and begins the incarnation after the stored one; state is written every `write_interval`. If the
/// store cannot be opened, the node starts without its contents and after a quiet period, and opening is retried later.
pub fn begin(file: StateFile, write_interval: Duration) -> RestoredState {
    match file.open() {
        Ok((store, restored)) => continue_from(file, store, restored, write_interval),
        Err(error) => {
            warn!(%error, "no state: the node starts without its stored state and retries");
            let start = Start::unwritten(Past::Unknown, file.unix_ms(), file.limits.clock_step_back);
            let state = StateWriter::new(file, start.incarnation, None, write_interval);
            restored_state(start, CachedState::default(), state)
        }
    }
}

/// Begins the incarnation after the one in an open store.
fn continue_from(
    file: StateFile,
    mut store: Store,
    mut restored: Restored,
    write_interval: Duration,
) -> RestoredState {
    let (start, written) = store.next_incarnation(file.unix_ms());
    if let Err(error) = written {
        warn!(%error, "no state: this incarnation was not written yet");
    }
    let table = restored.take().map(|stored: Stored<StoredTable>| stored.value);
    let view = restored.take().map(|stored: Stored<StoredView>| stored.value).unwrap_or_default();
    report_set_aside(&mut store, &mut restored);
    let state = StateWriter::new(file, start.incarnation, Some(store), write_interval);
    restored_state(start, CachedState { table, view }, state)
}

fn restored_state(start: Start, cached: CachedState, state: StateWriter) -> RestoredState {
    RestoredState { incarnation: start.incarnation, quiet_period: start.quiet, cached, state: Some(state) }
}

/// Stores the sections that were set aside in a file of their own, and logs the reasons.
fn report_set_aside(store: &mut Store, restored: &mut Restored) {
    if let Err(error) = store.keep_aside(restored) {
        warn!(%error, "the sections set aside could not be stored yet");
    }
    for reason in &restored.set_aside {
        warn!(%reason, "set aside of what was stored");
    }
}

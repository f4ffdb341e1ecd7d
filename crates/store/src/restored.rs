//! Decides which sections of a stored state may be used, and hands them to their owners.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::error::StoreError;
use crate::frame;
use crate::incarnation::Past;
use crate::names::{Identity, Limits, Section};
use crate::reason::SetAsideReason;
use crate::row_database::Rows;
use crate::rows::{EncodedSection, IncarnationRow, SnapshotRow, FORMAT};
use crate::snapshot::{Outlives, Snapshot, Stored};
use crate::validity;

/// The parts of a stored state that may be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restored {
    /// The epoch of the placement table when the state was taken; 0 if there is no state.
    pub epoch: u64,
    /// What is known of the incarnations of this node's earlier processes.
    pub past: Past,
    /// What was set aside and why, in order; each entry is a log line.
    pub set_aside: Vec<SetAsideReason>,
    sections: BTreeMap<Section, EncodedSection>,
    /// Number of entries of `set_aside`, from the first, whose data a file preserves or a later commit will preserve.
    preserved_count: usize,
}

impl Restored {
    pub(crate) fn empty(set_aside: Vec<SetAsideReason>) -> Self {
        Restored { epoch: 0, past: Past::Unknown, set_aside, sections: BTreeMap::new(), preserved_count: 0 }
    }

    /// Checks the rows of a file.
    ///
    /// # Errors
    /// A reason that [affects the whole file](SetAsideReason::affects_whole_file): nothing of it may be used.
    pub(crate) fn validate(
        rows: &Rows,
        this: Identity,
        now_unix_ms: u64,
        limits: &Limits,
    ) -> Result<Self, SetAsideReason> {
        let mut restored = Restored::empty(Vec::new());
        if let Some(bytes) = &rows.incarnation {
            let row: IncarnationRow = frame::decode(FORMAT, bytes)?;
            validity::check_owner(row.identity, this)?;
            restored.past = match row.settled {
                true => Past::Settled(row.incarnation),
                false => Past::Unsettled(row.incarnation),
            };
        }
        if let Some(bytes) = &rows.snapshot {
            let snapshot: SnapshotRow = frame::decode(FORMAT, bytes)?;
            validity::check_owner(snapshot.identity, this)?;
            match validity::time_since(snapshot.taken_unix_ms, now_unix_ms, limits) {
                Ok(since) => restored.admit(snapshot, since, limits),
                Err(reason) => restored.set_aside.push(reason),
            }
        }
        Ok(restored)
    }

    fn admit(&mut self, snapshot: SnapshotRow, since: Duration, limits: &Limits) {
        self.epoch = snapshot.epoch;
        for (section, encoded) in snapshot.sections {
            match validity::check_age(section, encoded.age, since, limits) {
                Ok(age) => drop(self.sections.insert(section, EncodedSection { age, ..encoded })),
                Err(reason) => self.set_aside.push(reason),
            }
        }
    }

    /// The usable sections as a snapshot taken now.
    pub(crate) fn as_snapshot(&self, now_unix_ms: u64) -> Snapshot {
        Snapshot { taken_unix_ms: now_unix_ms, epoch: self.epoch, sections: self.sections.clone() }
    }

    /// Whether `set_aside` has entries whose data no file preserves and no failed copy has left to a later commit.
    pub(crate) fn has_unpreserved(&self) -> bool {
        self.set_aside.len() > self.preserved_count
    }

    /// Records that the data set aside could not be preserved, and stays in the state's file for now.
    pub(crate) fn record_not_preserved(&mut self, error: &StoreError) {
        self.record_preserved(vec![SetAsideReason::NotPreserved(error.to_string())]);
    }

    /// Records that all data set aside is preserved, with the entries that say how.
    pub(crate) fn record_preserved(&mut self, reasons: Vec<SetAsideReason>) {
        self.set_aside.extend(reasons);
        self.preserved_count = self.set_aside.len();
    }

    /// The sections that may be used and were not taken yet.
    pub fn sections(&self) -> impl Iterator<Item = Section> + '_ {
        self.sections.keys().copied()
    }

    /// Removes a section and returns its value. Returns `None` if there is no such section, if it has a newer format,
    /// or if it cannot be decoded; the latter two add a reason to [`Restored::set_aside`].
    pub fn take<T: Outlives>(&mut self) -> Option<Stored<T>> {
        let encoded = self.sections.remove(&T::SECTION)?;
        let section = Some(T::SECTION);
        if encoded.format > T::FORMAT {
            self.set_aside.push(SetAsideReason::NewerFormat {
                section,
                found: encoded.format,
                supported: T::FORMAT,
            });
            return None;
        }
        let value = T::read(encoded.format, &encoded.bytes);
        if value.is_none() {
            self.set_aside.push(SetAsideReason::Unreadable { section });
        }
        value.map(|value| Stored { value, age: encoded.age })
    }

    /// Compares the state's epoch with the newest one that peers are known to hold. If the state's is older, drops all
    /// sections not taken yet, adds the reason to [`Restored::set_aside`] and returns false; the caller then drops the
    /// values that it took, and preserves a copy by [`Store::keep_aside`](crate::Store::keep_aside) before it commits.
    pub fn check_epoch(&mut self, held: u64) -> bool {
        let Err(reason) = validity::check_epoch(self.epoch, held) else { return true };
        if !self.set_aside.contains(&reason) {
            self.set_aside.push(reason);
        }
        self.sections.clear();
        false
    }
}

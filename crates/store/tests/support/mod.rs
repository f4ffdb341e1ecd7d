//! Values that the tests store: two sections of one generation, so that a mixture of two generations is detected.
#![allow(dead_code)] // each test binary uses only some of the items

pub mod faulty;

use std::path::PathBuf;

use hallpin_membership::names::NodeId;
use hallpin_store::{Identity, Persistent, Restored, Section, Snapshot, Store, Stored};
use serde::{Deserialize, Serialize};

pub const NODE_4: Identity = Identity { realm: 0xbeef, node: NodeId(4) };
pub const NOW: u64 = 1_700_000_000_000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewValue(pub Vec<u64>);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DebtValue(pub u64);

impl Persistent for ViewValue {
    const SECTION: Section = Section::View;
    const FORMAT: u16 = 1;
}

impl Persistent for DebtValue {
    const SECTION: Section = Section::Debts;
    const FORMAT: u16 = 1;
}

pub struct Folder(tempfile::TempDir);

impl Folder {
    pub fn new() -> Self {
        // On a memory file system if there is one, where a sync costs nothing: these tests are about contents, not
        // durability.
        let folder = tempfile::tempdir_in("/dev/shm").or_else(|_| tempfile::tempdir());
        Folder(folder.unwrap())
    }

    pub fn file(&self) -> PathBuf {
        self.0.path().join("state.redb")
    }

    /// Names of the entries in the folder, sorted.
    pub fn names(&self) -> Vec<String> {
        let entries = std::fs::read_dir(self.0.path()).unwrap();
        let mut names: Vec<_> =
            entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
        names.sort();
        names
    }

    /// Lengths of the files that were set aside.
    pub fn aside_file_lengths(&self) -> Vec<u64> {
        let kept = self.names().into_iter().filter(|name| name.contains(".aside-"));
        kept.map(|name| std::fs::metadata(self.0.path().join(name)).unwrap().len()).collect()
    }
}

/// A snapshot of a generation. Its length differs from one generation to the next.
pub fn snapshot(generation: u64) -> Snapshot {
    let mut snapshot = Snapshot::new(NOW, generation);
    assert!(snapshot.put(&Stored::new(ViewValue(vec![generation; (generation as usize % 7) * 300 + 1]))));
    assert!(snapshot.put(&Stored::new(DebtValue(generation))));
    snapshot
}

/// The generation that was restored, or `None` if nothing was. Panics if values of two generations are mixed.
pub fn generation(restored: &mut Restored) -> Option<u64> {
    let (view, debt) = (restored.take::<ViewValue>(), restored.take::<DebtValue>());
    let (Some(view), Some(debt)) = (&view, &debt) else {
        assert_eq!((&view, &debt), (&None, &None), "part of a state is missing");
        return None;
    };
    assert!(view.value.0.iter().all(|generation| *generation == debt.value.0), "values of two generations");
    assert_eq!(restored.epoch, debt.value.0, "values of two generations");
    Some(debt.value.0)
}

pub fn open(folder: &Folder) -> (Store, Restored) {
    Store::open(&folder.file(), NODE_4, NOW, &Default::default()).unwrap()
}

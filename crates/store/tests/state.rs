//! Which stored states are used, which are set aside for which reason, and that the data set aside is preserved.

mod support;

use std::fs;
use std::path::Path;
use std::time::Duration;

use hallpin_membership::names::{Incarnation, NodeId};
use hallpin_store::incarnation::StoredIncarnation;
use hallpin_store::{
    Identity, Limits, Persistent, Section, SetAsideReason, Snapshot, Store, StoreError, Stored,
};
use serde::{Deserialize, Serialize};
use support::*;

/// A state of node 4: a settled incarnation and generation 1.
fn folder_with_state() -> Folder {
    let folder = Folder::new();
    let limits = Limits { max_clock_step_back: Duration::ZERO, ..Limits::default() };
    let (mut store, _) = Store::open(&folder.file(), NODE_4, NOW, &limits).unwrap();
    let (start, written) = store.next_incarnation(NOW);
    written.unwrap();
    assert_eq!((start.incarnation, start.silence), (Incarnation(NOW), Duration::ZERO));
    store.commit(&snapshot(1)).unwrap();
    folder
}

fn aside_names(folder: &Folder) -> Vec<String> {
    folder.names().into_iter().filter(|name| name.contains("aside")).collect()
}

#[test]
fn a_state_is_restored_with_its_age_and_the_next_incarnation_follows() {
    let folder = folder_with_state();
    let later = NOW + 7_000;
    let (mut store, mut restored) = Store::open(&folder.file(), NODE_4, later, &Limits::default()).unwrap();
    assert_eq!(restored.past, StoredIncarnation::Settled(Incarnation(NOW)));
    assert_eq!(restored.sections().collect::<Vec<_>>(), [Section::View, Section::Debts]);
    let debt = restored.take::<DebtValue>().unwrap();
    assert_eq!((&debt.value, debt.age), (&DebtValue(1), Duration::from_secs(7)));
    assert_eq!(restored.set_aside, []);
    // The clock has stepped back behind the stored incarnation.
    assert_eq!(store.next_incarnation(NOW - 400).0.incarnation, Incarnation(NOW + 1));
    assert_eq!(
        store.next_incarnation(NOW + 9_000).0.incarnation,
        Incarnation(NOW + 1),
        "one process, one incarnation"
    );
    // A value stored again keeps its age, which grows on from there.
    let mut again = Snapshot::new(later, 1);
    assert!(again.put(&debt));
    store.commit(&again).unwrap();
    drop(store);
    let (_, mut restored) = Store::open(&folder.file(), NODE_4, later + 1_000, &Limits::default()).unwrap();
    assert_eq!(restored.take::<DebtValue>().unwrap().age, Duration::from_secs(8));
}

#[test]
fn a_state_of_another_owner_is_moved_aside_unchanged() {
    let others = [
        (
            Identity { node: NodeId(3), ..NODE_4 },
            SetAsideReason::OtherNode { found: NodeId(4), this: NodeId(3) },
        ),
        (Identity { realm: 1, ..NODE_4 }, SetAsideReason::OtherRealm { found: 0xbeef, this: 1 }),
    ];
    for (this, reason) in others {
        let folder = folder_with_state();
        let (store, mut restored) = Store::open(&folder.file(), this, NOW, &Limits::default()).unwrap();
        assert_eq!((generation(&mut restored), restored.past), (None, StoredIncarnation::Unknown));
        assert_eq!(restored.set_aside[0], reason);
        drop(store);
        // Moved back to its owner, the state is usable again.
        fs::rename(folder.file().with_extension("redb.aside-1"), folder.file()).unwrap();
        assert_eq!(generation(&mut open(&folder).1), Some(1));
    }
}

#[test]
fn states_from_the_future_or_too_old_are_set_aside_and_the_incarnation_is_used() {
    for (now, is_from_future) in [(NOW - 501, true), (NOW + 600_001, false)] {
        let folder = folder_with_state();
        let (store, mut restored) = Store::open(&folder.file(), NODE_4, now, &Limits::default()).unwrap();
        assert_eq!(
            (generation(&mut restored), restored.past),
            (None, StoredIncarnation::Settled(Incarnation(NOW)))
        );
        let reason = &restored.set_aside[0];
        assert_eq!(matches!(reason, SetAsideReason::FromTheFuture { .. }), is_from_future, "{reason}");
        assert_eq!(matches!(reason, SetAsideReason::TooOld { .. }), !is_from_future, "{reason}");
        drop(store);
        let (_, again) = Store::open(&folder.file(), NODE_4, now, &Limits::default()).unwrap();
        assert_eq!(again.set_aside, [], "set aside once");
        assert_eq!(aside_names(&folder).len(), 1);
    }
}

#[test]
fn an_older_epoch_than_the_peers_hold_is_set_aside() {
    let folder = folder_with_state();
    let (mut store, mut restored) = open(&folder);
    assert!(restored.check_epoch(1));
    assert!(!restored.check_epoch(2));
    assert!(!restored.check_epoch(2));
    assert_eq!(restored.set_aside, [SetAsideReason::OlderEpoch { stored: 1, held: 2 }]);
    store.preserve_set_aside(&mut restored).unwrap();
    store.preserve_set_aside(&mut restored).unwrap();
    assert_eq!(generation(&mut restored), None);
    assert_eq!(aside_names(&folder), ["state.redb.aside-1"]);
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct NewerDebtValue(u64);

impl Persistent for NewerDebtValue {
    const SECTION: Section = Section::Debts;
    const FORMAT: u16 = 2;

    fn read(format: u16, bytes: &[u8]) -> Option<Self> {
        (format <= 2).then(|| postcard::from_bytes(bytes).ok()).flatten()
    }
}

#[test]
fn a_section_of_a_newer_format_is_preserved_and_its_owner_decodes_an_older_one() {
    let folder = folder_with_state();
    let (mut store, mut restored) = open(&folder);
    assert_eq!(restored.take::<NewerDebtValue>().unwrap().value, NewerDebtValue(1));
    let mut newer = Snapshot::new(NOW, 1);
    assert!(newer.put(&Stored::new(NewerDebtValue(9))));
    store.commit(&newer).unwrap();
    drop(store);
    let (mut store, mut restored) = open(&folder);
    assert_eq!(restored.take::<DebtValue>(), None);
    let section = Some(Section::Debts);
    assert_eq!(restored.set_aside, [SetAsideReason::NewerFormat { section, found: 2, supported: 1 }]);
    store.preserve_set_aside(&mut restored).unwrap();
    assert_eq!(aside_names(&folder), ["state.redb.aside-1"]);
}

#[test]
fn the_number_of_aside_files_is_limited_and_each_deletion_is_reported() {
    let folder = folder_with_state();
    for round in 1..=5u32 {
        fs::write(folder.file(), b"no database").unwrap();
        let (_, restored) = open(&folder);
        assert!(matches!(restored.set_aside[0], SetAsideReason::Corrupt(_)), "{:?}", restored.set_aside);
        assert_eq!(restored.set_aside.len(), if round > 3 { 3 } else { 2 });
    }
    assert_eq!(aside_names(&folder), [3, 4, 5].map(|number| format!("state.redb.aside-{number}")));
    fs::write(folder.file(), vec![0; (1 << 20) + 1]).unwrap();
    assert!(matches!(open(&folder).1.set_aside[0], SetAsideReason::TooLarge { .. }));
}

#[test]
fn a_snapshot_or_a_file_over_its_limit_leaves_the_stored_state_unchanged() {
    let folder = folder_with_state();
    let mut large = Snapshot::new(NOW, 2);
    assert!(large.put(&Stored::new(ViewValue(vec![u64::MAX; 20_000]))));
    let (mut store, _) = open(&folder);
    assert!(matches!(store.commit(&large), Err(StoreError::TooLarge { .. })));
    drop(store);
    assert_eq!(generation(&mut open(&folder).1), Some(1));
    // The file has no room to grow: commits fail, and the stored state is unchanged.
    let limits = Limits { max_bytes: fs::metadata(folder.file()).unwrap().len(), ..Limits::default() };
    let result = Store::open(&folder.file(), NODE_4, NOW, &limits)
        .and_then(|(mut store, _)| (0..20).try_for_each(|round| store.commit(&snapshot(round))));
    assert!(matches!(result, Err(StoreError::Io { .. })), "{result:?}");
    assert!(fs::metadata(folder.file()).unwrap().len() <= limits.max_bytes);
    let (mut store, mut restored) = open(&folder);
    assert!(generation(&mut restored).is_some() && restored.set_aside.is_empty());
    store.commit(&snapshot(9)).unwrap();
}

#[test]
fn a_missing_or_unwritable_folder_is_an_error() {
    let folder = folder_with_state();
    for path in [Path::new("/proc/state.redb"), &folder.file().join("state.redb"), Path::new("/")] {
        let error = Store::open(path, NODE_4, NOW, &Limits::default()).unwrap_err();
        assert!(matches!(error, StoreError::Io { .. }), "{error}");
    }
}

const STATE_FILE_VARIABLE: &str = "HALLPIN_STORE_TEST_FILE";

/// Body of the other process that the test below starts; does nothing without its environment variable.
#[test]
fn another_process() {
    if let Some(path) = std::env::var_os(STATE_FILE_VARIABLE) {
        match Store::open(Path::new(&path), NODE_4, NOW, &Limits::default()) {
            Ok(_) => println!("another process: open"),
            Err(error) => println!("another process: {error}"),
        }
    }
}

#[test]
fn two_processes_do_not_share_a_state() {
    let folder = folder_with_state();
    let other = || {
        let mut command = std::process::Command::new(std::env::current_exe().unwrap());
        command.args(["--exact", "another_process", "--nocapture"]).env(STATE_FILE_VARIABLE, folder.file());
        String::from_utf8(command.output().unwrap().stdout).unwrap()
    };
    let (store, _) = open(&folder);
    assert!(other().contains("in use by another process"));
    assert!(matches!(
        Store::open(&folder.file(), NODE_4, NOW, &Limits::default()),
        Err(StoreError::InUse(_))
    ));
    drop(store);
    assert!(other().contains("another process: open"));
}

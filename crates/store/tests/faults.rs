//! Makes file system calls fail for a while, each in turn, and kills the process after any of them. The process must
//! go on and retry, and the next process must find every commit that was acknowledged.

mod support;

use std::io::ErrorKind;
use std::sync::Arc;

use hallpin_membership::names::Incarnation;
use hallpin_store::incarnation::{Start, StoredIncarnation};
use hallpin_store::{Limits, SetAsideReason, Store};
use support::faulty::{Fault, FaultyFileSystem};
use support::*;

/// The default of [`Limits::max_clock_step_back`].
const STEP_BACK_MS: u64 = 500;
const ERROR_KINDS: [ErrorKind; 3] = [ErrorKind::StorageFull, ErrorKind::Other, ErrorKind::PermissionDenied];
/// How many calls in a row fail; with the last value the file system stays broken.
const FAILED_CALLS: [u64; 4] = [1, 2, 7, u64::MAX];
/// Generations that a run commits, after those stored before it.
const FIRST_GENERATION: u64 = 10;
const LAST_GENERATION: u64 = 13;
/// Attempts of each commit.
const MAX_ATTEMPTS: u64 = 40;

/// The incarnation that a process used, and the commits that were acknowledged to it.
#[derive(Debug, Default)]
struct ProcessRun {
    incarnation: Option<Incarnation>,
    /// The last generation whose commit succeeded.
    committed: Option<u64>,
    /// The last generation whose commit was attempted.
    attempted: Option<u64>,
}

/// A folder in which a process committed generation 1 after its silence was over, so that the next process
/// may follow without silence.
fn folder_with_state() -> Folder {
    let folder = Folder::new();
    let (mut store, _) = open(&folder);
    store.next_incarnation(NOW).1.unwrap();
    store.end_silence();
    store.commit(&snapshot(1)).unwrap();
    folder
}

/// Runs a process on the store as the node does, with up to `attempts` attempts for each commit, and kills it.
fn run_process(folder: &Folder, files: &FaultyFileSystem, now: u64, attempts: u64) -> ProcessRun {
    let mut run = ProcessRun::default();
    let limits = Limits::default();
    let opened = Store::open_on(Arc::new(files.clone()), &folder.file(), NODE_4, now, &limits);
    let Ok((mut store, mut restored)) = opened else {
        let start = Start::unwritten(StoredIncarnation::Unknown, now, limits.max_clock_step_back);
        return ProcessRun { incarnation: Some(start.incarnation), ..run };
    };
    let (start, _) = store.next_incarnation(now);
    run.incarnation = Some(start.incarnation);
    generation(&mut restored);
    let _ = store.preserve_set_aside(&mut restored);
    store.end_silence();
    for generation in FIRST_GENERATION..=LAST_GENERATION {
        run.attempted = Some(generation);
        if (0..attempts).any(|_| store.commit(&snapshot(generation)).is_ok()) {
            run.committed = Some(generation);
        }
    }
    files.kill();
    run
}

/// Checks that the next process finds what the run before it committed, uses a greater incarnation, and finds no
/// corruption.
fn check_next_process(folder: &Folder, run: &ProcessRun, before: Option<u64>, now: u64, context: &str) {
    let (mut store, mut restored) = Store::open(&folder.file(), NODE_4, now, &Limits::default()).unwrap();
    let is_corrupt = restored.set_aside.iter().any(|reason| matches!(reason, SetAsideReason::Corrupt(_)));
    assert!(!is_corrupt, "{context}: {:?}", restored.set_aside);
    let found = generation(&mut restored);
    let minimum = run.committed.or(before);
    assert!(found >= minimum && found <= run.attempted.max(before), "{context}: {found:?} of {run:?}");
    let (start, written) = store.next_incarnation(now);
    written.unwrap();
    assert!(Some(start.incarnation) > run.incarnation, "{context}: {start:?} after {run:?}");
}

/// The number of calls that opening a state makes if nothing of it is set aside.
fn calls_to_open() -> u64 {
    let (folder, files) = (folder_with_state(), FaultyFileSystem::default());
    let limits = Limits::default();
    let opened = Store::open_on(Arc::new(files.clone()), &folder.file(), NODE_4, NOW, &limits).unwrap();
    let call_count = files.call_count();
    // Closing makes more calls.
    drop(opened);
    call_count
}

/// The number of calls that a run makes if none fails.
fn calls_of_a_run() -> u64 {
    let (folder, files) = (folder_with_state(), FaultyFileSystem::default());
    let run = run_process(&folder, &files, NOW + 1_000, 1);
    assert_eq!(run.committed, Some(LAST_GENERATION));
    files.call_count()
}

/// For each call of a run and each of `lengths`: faults that start at that call and last that many calls, with 0 and
/// with 100 bytes of the first call written. The kind of error changes from length to length.
fn faults(lengths: &[u64]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for from in 0..calls_of_a_run() {
        for (kind, calls) in ERROR_KINDS.iter().cycle().zip(lengths) {
            for bytes in [0, 100] {
                faults.push(Fault { from, calls: *calls, kind: *kind, bytes });
            }
        }
    }
    faults
}

#[test]
fn temporarily_failing_calls_lose_no_state_and_no_incarnation() {
    let (mut unopened, mut failed) = (0, 0);
    for fault in faults(&FAILED_CALLS) {
        let (folder, files) = (folder_with_state(), FaultyFileSystem::with(fault));
        let run = run_process(&folder, &files, NOW + 1_000, MAX_ATTEMPTS);
        let context = format!("{fault:?}");
        failed += u64::from(files.failed_count() > 0);
        unopened += u64::from(run.attempted.is_none());
        // Once calls succeed again, the last generation must have been committed.
        let has_recovered = fault.calls < u64::MAX && run.attempted.is_some();
        assert!(!has_recovered || run.committed == Some(LAST_GENERATION), "{context}: {run:?}");
        check_next_process(&folder, &run, Some(1), NOW + 1_000 + 2 * STEP_BACK_MS, &context);
    }
    println!("{failed} runs with a fault, {unopened} without a store");
    assert!(failed > 0 && unopened > 0);
}

#[test]
fn a_kill_at_each_call_leaves_the_last_acknowledged_state_or_a_later_one() {
    for fault in faults(&[u64::MAX]) {
        let (folder, files) = (folder_with_state(), FaultyFileSystem::with(fault));
        let run = run_process(&folder, &files, NOW + 1_000, 1);
        check_next_process(&folder, &run, Some(1), NOW + 1_000 + 2 * STEP_BACK_MS, &format!("{fault:?}"));
    }
}

/// The wall clock has stepped back an hour, so that the stored snapshot is from the future, and the disk fails.
#[test]
fn the_stored_incarnation_is_followed_although_data_set_aside_cannot_be_preserved() {
    let now = NOW - 3_600_000;
    let to_open = calls_to_open();
    for fault in faults(&[1, 3]) {
        let (folder, files) = (folder_with_state(), FaultyFileSystem::with(fault));
        let limits = Limits::default();
        let store = Store::open_on(Arc::new(files.clone()), &folder.file(), NODE_4, now, &limits);
        let Ok((mut store, mut restored)) = store else {
            assert!(fault.from < to_open, "{fault:?}: {store:?}");
            continue;
        };
        assert_eq!(generation(&mut restored), None, "{fault:?}");
        assert!(store.next_incarnation(now).0.incarnation > Incarnation(NOW), "{fault:?}");
        assert!((0..MAX_ATTEMPTS).any(|_| store.commit(&snapshot(9)).is_ok()), "{fault:?}");
        let kept: Vec<u64> = folder.aside_file_lengths();
        assert!(!kept.is_empty(), "{fault:?}: data set aside is preserved before a commit replaces it");
        // With more than one failed call, deleting an incomplete copy may fail as well.
        let is_complete = kept.iter().all(|length| *length >= 1 << 16);
        assert!(fault.calls > 1 || is_complete, "{fault:?}: an incomplete copy is left: {kept:?}");
    }
}

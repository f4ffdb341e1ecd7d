//! Successive incarnations of a node over stored state, with disk failures and wall clock steps.

mod fakes;

use std::path::Path;
use std::sync::Arc;

use hallpin_membership::names::{Moment, NodeId};
use hallpin_store::Identity;

use super::*;
use fakes::{FullDisk, SetClock};

const HOUR_MS: u64 = 3_600_000;
const NOW_MS: u64 = 1_700_000_000_000;

fn begin_at(path: &Path, node: u16) -> RestoredState {
    let identity = Identity { realm: 1, node: NodeId(node) };
    begin(StateFile::new(path, identity, Duration::from_secs(60)), Duration::ZERO)
}

/// Starts node 0 on a disk that may be full, at wall clock time `unix_ms`.
fn begin_on_disk(disk: &FullDisk, path: &Path, unix_ms: u64) -> RestoredState {
    let identity = Identity { realm: 1, node: NodeId(0) };
    let file = StateFile::new(path, identity, Duration::from_secs(60));
    let file = StateFile { files: Arc::new(disk.clone()), time: SetClock::at(unix_ms), ..file };
    begin(file, Duration::ZERO)
}

fn contents(epoch: u64) -> CachedState {
    let table = hallpin_placement::StoredPlacement { node: 0, epoch, ballot: 4, table: None };
    let life = NodeIncarnation { node: NodeId(1), incarnation: Incarnation(9) };
    CachedState { table: Some(StoredTable(table)), view: StoredView(vec![life]) }
}

/// Starts a write and waits until it has ended.
async fn write(state: &mut StateWriter, now: Moment, contents: &CachedState) {
    state.write_if_due(now, || contents.clone());
    assert!(state.pending.is_some(), "a write");
    while state.pending.is_some() {
        tokio::time::sleep(Duration::from_millis(1)).await;
        state.take_outcome(now);
    }
}

fn metric(state: &StateWriter, name: &str) -> u64 {
    let mut text = String::new();
    state.write_metrics(&mut text);
    let value = |line: &str| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok();
    text.lines().find_map(value).unwrap_or_else(|| panic!("no {name} in {text}"))
}

/// Runs an incarnation of node 0 that stores a table and ends.
async fn run_and_store(path: &Path) -> (Incarnation, CachedState) {
    let RestoredState { incarnation, state, .. } = begin_at(path, 0);
    let mut state = state.expect("a store");
    state.quiet_is_over();
    let contents = contents(3);
    write(&mut state, Moment::ZERO, &contents).await;
    state.write_if_due(Moment::ZERO, || contents.clone());
    assert!(state.pending.is_none(), "unchanged contents are not written again");
    (incarnation, contents)
}

#[tokio::test]
async fn the_next_incarnation_is_greater_and_has_the_stored_state() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("node-0.state");
    let first = begin_at(&path, 0);
    assert!(first.quiet_period > Duration::ZERO, "earlier incarnations are unknown");
    drop(first);
    let (incarnation, contents) = run_and_store(&path).await;
    let next = begin_at(&path, 0);
    assert!(next.incarnation > incarnation && next.quiet_period.is_zero());
    assert_eq!(next.cached, contents);
}

/// A process that takes over from another starts without its state, and opens the file once the other has ended.
#[tokio::test]
async fn a_state_file_in_use_by_another_process_is_opened_once_that_has_ended() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("node-0.state");
    run_and_store(&path).await;
    let first = begin_at(&path, 0);
    let second = begin_at(&path, 0);
    assert!(second.quiet_period > Duration::ZERO && second.incarnation > first.incarnation);
    assert_eq!(second.cached, CachedState::default(), "in use by the other");
    let mut state = second.state.expect("a state");
    assert!(state.process().store.is_none(), "in use by the other");
    state.quiet_is_over();
    write(&mut state, Moment::ZERO, &contents(5)).await;
    assert_eq!(metric(&state, "app_state_failing"), 1);
    drop(first);
    write(&mut state, Duration::from_secs(1), &contents(5)).await;
    assert_eq!(metric(&state, "app_state_failing"), 0);
    drop(state);
    let third = begin_at(&path, 0);
    assert!(third.incarnation > second.incarnation && third.quiet_period.is_zero());
    assert_eq!(third.cached, contents(5));
}

/// A truncated file or one of another node: the node starts without its contents and after a quiet period.
#[tokio::test]
async fn an_unusable_file_is_set_aside_and_the_node_starts() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("node-0.state");
    run_and_store(&path).await;
    let swapped = folder.path().join("node-1.state");
    std::fs::copy(&path, &swapped).unwrap();
    let length = std::fs::metadata(&path).unwrap().len();
    std::fs::OpenOptions::new().write(true).open(&path).unwrap().set_len(length / 2).unwrap();
    for (path, node) in [(&path, 0), (&swapped, 1)] {
        let next = begin_at(path, node);
        assert_eq!(next.cached, CachedState::default());
        assert!(next.quiet_period > Duration::ZERO && next.state.is_some());
    }
}

#[tokio::test]
async fn a_failed_write_is_retried_although_nothing_has_changed() {
    let folder = tempfile::tempdir().unwrap();
    let (path, disk) = (folder.path().join("node-0.state"), FullDisk::default());
    let mut state = begin_on_disk(&disk, &path, NOW_MS).state.expect("a state");
    state.quiet_is_over();
    write(&mut state, Moment::ZERO, &contents(1)).await;
    disk.set_full(true);
    let ms = Duration::from_millis;
    write(&mut state, ms(0), &contents(2)).await;
    assert_eq!(metric(&state, "app_state_failing"), 1);
    for (now, is_written) in
        [(ms(100), false), (ms(249), false), (ms(250), true), (ms(700), false), (ms(750), true)]
    {
        match is_written {
            true => write(&mut state, now, &contents(2)).await,
            false => state.write_if_due(now, || panic!("written at {now:?}")),
        }
    }
    assert_eq!(metric(&state, "app_state_writes_total{result=\"failed\"}"), 3);
    disk.set_full(false);
    write(&mut state, ms(1750), &contents(2)).await;
    assert_eq!(metric(&state, "app_state_failing"), 0);
    assert_eq!(metric(&state, "app_state_writes_total{result=\"done\"}"), 2);
    drop(state);
    assert_eq!(begin_on_disk(&disk, &path, NOW_MS).cached, contents(2));
}

/// After a failure the contents of the file are unknown, so going back to the contents before it is a change, too.
#[tokio::test]
async fn contents_written_before_a_failure_are_written_again() {
    let folder = tempfile::tempdir().unwrap();
    let (path, disk) = (folder.path().join("node-0.state"), FullDisk::default());
    let mut state = begin_on_disk(&disk, &path, NOW_MS).state.expect("a state");
    write(&mut state, Moment::ZERO, &contents(1)).await;
    disk.set_full(true);
    write(&mut state, Moment::ZERO, &contents(2)).await;
    disk.set_full(false);
    write(&mut state, Duration::from_secs(1), &contents(1)).await;
    assert_eq!(metric(&state, "app_state_failing"), 0);
}

#[tokio::test]
async fn a_store_that_could_not_be_opened_at_the_start_is_opened_later() {
    let folder = tempfile::tempdir().unwrap();
    let (path, disk) = (folder.path().join("node-0.state"), FullDisk::default());
    disk.set_full(true);
    let first = begin_on_disk(&disk, &path, NOW_MS);
    assert!(first.quiet_period > Duration::ZERO && first.cached == CachedState::default());
    let mut state = first.state.expect("a state");
    state.quiet_is_over();
    write(&mut state, Moment::ZERO, &contents(1)).await;
    assert_eq!(metric(&state, "app_state_failing"), 1);
    disk.set_full(false);
    write(&mut state, Duration::from_secs(1), &contents(1)).await;
    drop(state);
    // The wall clock is stepped back over the restart: the stored incarnation takes precedence.
    let next = begin_on_disk(&disk, &path, NOW_MS - HOUR_MS);
    assert!(next.incarnation > first.incarnation && next.quiet_period.is_zero());
}

#[tokio::test]
async fn a_folder_missing_at_the_start_is_used_once_it_exists() {
    let parent = tempfile::tempdir().unwrap();
    let folder = parent.path().join("state");
    let path = folder.join("node-0.state");
    let first = begin_at(&path, 0);
    assert!(first.quiet_period > Duration::ZERO);
    let mut state = first.state.expect("a state");
    state.quiet_is_over();
    write(&mut state, Moment::ZERO, &contents(1)).await;
    assert_eq!(metric(&state, "app_state_failing"), 1);
    std::fs::create_dir(&folder).unwrap();
    write(&mut state, Duration::from_secs(1), &contents(1)).await;
    assert_eq!(metric(&state, "app_state_failing"), 0);
    drop(state);
    let next = begin_at(&path, 0);
    assert!(next.incarnation > first.incarnation && next.quiet_period.is_zero());
    assert_eq!(next.cached, contents(1));
}

/// The stored incarnation could not be read at the start and is greater than this one, as the wall clock was stepped
/// back.
#[tokio::test]
async fn a_greater_stored_incarnation_is_never_overwritten() {
    let folder = tempfile::tempdir().unwrap();
    let (path, disk) = (folder.path().join("node-0.state"), FullDisk::default());
    let first = begin_on_disk(&disk, &path, NOW_MS);
    let mut state = first.state.expect("a state");
    state.quiet_is_over();
    write(&mut state, Moment::ZERO, &contents(1)).await;
    drop(state);
    disk.set_full(true);
    let second = begin_on_disk(&disk, &path, NOW_MS - HOUR_MS);
    assert!(second.incarnation < first.incarnation, "the earlier incarnation is unknown");
    let mut state = second.state.expect("a state");
    disk.set_full(false);
    for seconds in 1..4 {
        write(&mut state, Duration::from_secs(10 * seconds), &contents(2)).await;
        assert_eq!(metric(&state, "app_state_failing"), 1);
    }
    drop(state);
    let third = begin_on_disk(&disk, &path, NOW_MS - HOUR_MS);
    assert!(third.incarnation > first.incarnation && third.quiet_period.is_zero());
}

#[tokio::test]
async fn incarnations_grow_over_restarts_while_the_wall_clock_is_stepped() {
    let folder = tempfile::tempdir().unwrap();
    let (path, disk) = (folder.path().join("node-0.state"), FullDisk::default());
    let clock_offsets = [0, 1_000, HOUR_MS, 0, 2 * HOUR_MS, HOUR_MS, 0, 0];
    let mut before = None;
    for clock_offset in clock_offsets {
        let RestoredState { incarnation, state, .. } = begin_on_disk(&disk, &path, NOW_MS + clock_offset);
        assert!(Some(incarnation) > before, "{incarnation:?} after {before:?}");
        before = Some(incarnation);
        let mut state = state.expect("a state");
        state.quiet_is_over();
        write(&mut state, Moment::ZERO, &contents(1)).await;
    }
}

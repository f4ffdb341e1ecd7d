//! Over thousands of commits, the file stays within its maximum length and no commit fails. Times are only printed.

mod support;

use std::path::Path;
use std::time::Instant;

use hallpin_store::{Limits, Snapshot, Store, Stored};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use support::*;

/// Commits `count` snapshots of about `length()` bytes, each within the limit, and returns the greatest length of the
/// file.
fn run_commits(path: &Path, limits: &Limits, count: u32, mut length: impl FnMut() -> usize) -> u64 {
    let (mut store, _) = Store::open(path, NODE_4, NOW, limits).unwrap();
    let (mut longest, mut durations) = (0, Vec::new());
    for generation in 0..count {
        let mut snapshot = Snapshot::new(NOW, u64::from(generation));
        assert!(snapshot.put(&Stored::new(ViewValue(vec![1; length()]))));
        let start = Instant::now();
        store.commit(&snapshot).unwrap();
        durations.push(start.elapsed());
        longest = longest.max(std::fs::metadata(path).unwrap().len());
    }
    durations.sort_unstable();
    let percentile = |percent: usize| durations[(durations.len() - 1) * percent / 100];
    println!(
        "{count} commits: {:?} median, {:?} 99th, {:?} worst; file {longest} bytes",
        percentile(50),
        percentile(99),
        percentile(100)
    );
    longest
}

#[test]
fn thousands_of_commits_stay_within_the_bound() {
    let mut random = Pcg64::seed_from_u64(29);
    // 10,000 commits take two minutes without optimisation, and 2 s with it.
    let commit_count = if cfg!(debug_assertions) { 1_000 } else { 10_000 };
    for (max_bytes, count) in
        [(1 << 20, commit_count), (192 << 10, commit_count / 4), (300 << 10, commit_count / 4)]
    {
        let limits = Limits { max_bytes, ..Limits::default() };
        let folder = Folder::new();
        let max_values = limits.max_snapshot_bytes() as usize - 64;
        let longest = run_commits(&folder.file(), &limits, count, || match random.random_range(0..4) {
            0 => max_values,
            _ => random.random_range(0..max_values),
        });
        assert!(longest <= max_bytes, "{longest} of {max_bytes}");
    }
    // On a real disk, where syncs take time, with a state of 12 KiB.
    let folder = tempfile::tempdir().unwrap();
    run_commits(&folder.path().join("state.redb"), &Limits::default(), 100, || 12 << 10);
}

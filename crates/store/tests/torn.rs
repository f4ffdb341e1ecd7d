//! Files truncated or damaged anywhere: opening finds a committed state or none, never panics, and never returns part
//! of a state.

mod support;

use std::fs;

use hallpin_store::incarnation::StoredIncarnation;
use hallpin_store::{Limits, SetAsideReason, Store};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use support::*;

/// The file after each of several commits by two processes, as a crash would leave it, and after an orderly close.
fn images() -> Vec<Vec<u8>> {
    let folder = Folder::new();
    let mut images = Vec::new();
    for process in 0..2 {
        let (mut store, _) = open(&folder);
        store.next_incarnation(NOW + process).1.unwrap();
        store.end_silence();
        images.push(fs::read(folder.file()).unwrap());
        for generation in 1..=3 {
            store.commit(&snapshot(process * 3 + generation)).unwrap();
            images.push(fs::read(folder.file()).unwrap());
        }
    }
    images.push(fs::read(folder.file()).unwrap());
    images
}

/// Opens a file with these bytes. Returns the generation (0 for an empty state) and the stored incarnation, or `None`
/// if the file was set aside.
fn open_bytes(bytes: &[u8]) -> Option<(u64, StoredIncarnation)> {
    let folder = Folder::new();
    fs::write(folder.file(), bytes).unwrap();
    let (mut store, mut restored) = Store::open(&folder.file(), NODE_4, NOW, &Limits::default()).unwrap();
    let set_aside = !restored.set_aside.is_empty();
    if set_aside {
        let [SetAsideReason::Corrupt(detail), SetAsideReason::PreservedAs(_)] = &restored.set_aside[..]
        else {
            panic!("{:?}", restored.set_aside)
        };
        // The database detects the damage itself; the test must not pass because panics are caught.
        assert!(!detail.contains("panicked"), "{detail}");
        assert_eq!(fs::read(folder.file().with_extension("redb.aside-1")).unwrap().len(), bytes.len());
        assert_eq!(restored.past, StoredIncarnation::Unknown);
    }
    let found = (generation(&mut restored).unwrap_or(0), restored.past);
    if set_aside {
        return None;
    }
    // A state that opens can be written: undetected damage would let its pages overwrite each other.
    for generation in 100..102 {
        store.commit(&snapshot(generation)).unwrap();
    }
    drop(store);
    assert_eq!(generation(&mut open(&folder).1), Some(101));
    Some(found)
}

/// Whether a damaged file may give this result: nothing, the file's state, or the one before it.
fn is_allowed(found: Option<(u64, StoredIncarnation)>, committed: u64) -> bool {
    found.is_none_or(|(generation, _)| generation == committed || generation + 1 == committed)
}

#[test]
fn files_cut_at_every_length_step() {
    let (mut opened, mut set_aside) = (0, 0);
    for (image, step) in images().iter().skip(3).step_by(4).zip([1024, 64]) {
        let committed = open_bytes(image).unwrap().0;
        for length in (0..image.len()).step_by(step).chain((1..image.len()).step_by(4096)) {
            let found = open_bytes(&image[..length]);
            // An empty file is a state that was never written.
            assert!(length == 0 || is_allowed(found, committed), "{committed} cut to {length}: {found:?}");
            opened += u32::from(found.is_some());
            set_aside += u32::from(found.is_none());
        }
    }
    println!("{opened} opened, {set_aside} set aside");
    assert!(set_aside > 0);
}

#[test]
fn files_with_flipped_bytes() {
    let seed = 29;
    let mut random = Pcg64::seed_from_u64(seed);
    let (mut opened, mut set_aside) = (0, 0);
    for image in images().iter().step_by(4) {
        let (committed, past) = open_bytes(image).unwrap();
        // Zero bytes are mostly in unused pages.
        let used: Vec<usize> = (0..image.len()).filter(|at| *at < 320 || image[*at] != 0).collect();
        for _ in 0..400 {
            let at = used[random.random_range(0..used.len())];
            let mut damaged = image.clone();
            damaged[at] ^= random.random_range(1..=255u8);
            let found = open_bytes(&damaged);
            assert!(is_allowed(found, committed), "seed {seed}, {committed} damaged at {at}: {found:?}");
            // An older settled incarnation must not come back: the next process would reuse this one's number.
            let follows = found
                .is_none_or(|(_, found)| found == past || !matches!(found, StoredIncarnation::Settled(_)));
            assert!(follows, "seed {seed}, {committed} damaged at {at}: {found:?}, was {past:?}");
            opened += u32::from(found.is_some());
            set_aside += u32::from(found.is_none());
        }
    }
    println!("seed {seed}: {opened} opened, {set_aside} set aside");
    assert!(opened > 0 && set_aside > 0);
}

//! Simulates a crash at each write of a commit. Whichever of the writes since the last sync reached the disk,
//! reopening finds either the old rows or the new ones complete.

use std::fmt;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use hallpin_store::row_database::{DatabaseError, RowDatabase, Rows};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;
use redb::StorageBackend;

#[derive(Clone)]
enum WriteOperation {
    Write(usize, Vec<u8>),
    Length(usize),
}

impl WriteOperation {
    fn apply(&self, image: &mut Vec<u8>) {
        match self {
            WriteOperation::Length(length) => image.resize(*length, 0),
            WriteOperation::Write(at, data) => {
                image.resize(image.len().max(at + data.len()), 0);
                image[*at..at + data.len()].copy_from_slice(data);
            }
        }
    }
}

#[derive(Default)]
struct SimulatedDisk {
    durable: Vec<u8>,
    written: Vec<u8>,
    pending: Vec<WriteOperation>,
    /// Writes and syncs that succeed before the power fails; `None` if it does not fail.
    steps_left: Option<u64>,
    steps_done: u64,
    /// The first write after the power failure.
    interrupted: Option<WriteOperation>,
    /// Panics on each write, as the database might on damaged content.
    panics: bool,
}

impl SimulatedDisk {
    fn count_step(&mut self) -> io::Result<()> {
        if self.panics {
            panic!("the simulated disk might panic");
        }
        match &mut self.steps_left {
            Some(0) => return Err(io::Error::other("power failure")),
            Some(steps_left) => *steps_left -= 1,
            None => {}
        }
        self.steps_done += 1;
        Ok(())
    }

    fn apply_write(&mut self, operation: WriteOperation) -> io::Result<()> {
        if let Err(error) = self.count_step() {
            self.interrupted.get_or_insert(operation);
            return Err(error);
        }
        operation.apply(&mut self.written);
        self.pending.push(operation);
        Ok(())
    }

    /// A random content of the disk after a power failure: everything synced, and of each later write either
    /// everything, nothing, or its first sectors.
    fn after_power_failure(&self, random: &mut impl Rng) -> Vec<u8> {
        let mut image = self.durable.clone();
        for operation in &self.pending {
            match (random.random_range(0..3), operation) {
                (0, _) => {}
                (1, WriteOperation::Write(at, data)) if data.len() > 512 => {
                    let sectors = random.random_range(1..data.len() / 512 + 1);
                    WriteOperation::Write(*at, data[..sectors * 512].to_vec()).apply(&mut image);
                }
                _ => operation.apply(&mut image),
            }
        }
        image
    }
}

/// How many bytes of a write reach the file before a kill: with optimisation every number; without, where that takes
/// minutes, every number within the database's header and every 97th after it.
fn partial_lengths(length: usize) -> impl Iterator<Item = usize> {
    const HEADER_BYTES: usize = 320;
    let step = if cfg!(debug_assertions) { 97 } else { 1 };
    (1..=length).filter(move |cut| *cut <= HEADER_BYTES || *cut == length || cut % step == 0)
}

/// Contents of the file after a kill in the middle of a write. Contents equal to the previous one are left out.
fn after_kill(disk: &SimulatedDisk) -> Vec<Vec<u8>> {
    let mut images = vec![disk.written.clone()];
    if let Some(WriteOperation::Write(at, data)) = &disk.interrupted {
        for length in partial_lengths(data.len()) {
            let mut image = disk.written.clone();
            WriteOperation::Write(*at, data[..length].to_vec()).apply(&mut image);
            if images.last() != Some(&image) {
                images.push(image);
            }
        }
    }
    images
}

#[derive(Clone, Default)]
struct SharedDisk(Arc<Mutex<SimulatedDisk>>);

impl SharedDisk {
    fn disk(&self) -> MutexGuard<'_, SimulatedDisk> {
        self.0.lock().unwrap()
    }

    fn from_image(image: Vec<u8>) -> Self {
        let shared = SharedDisk::default();
        shared.disk().written = image.clone();
        shared.disk().durable = image;
        shared
    }
}

impl fmt::Debug for SharedDisk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedDisk")
    }
}

impl StorageBackend for SharedDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.disk().written.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let (disk, at) = (self.disk(), offset as usize);
        let bytes = disk.written.get(at..at + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.disk().apply_write(WriteOperation::Length(len as usize))
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.disk().apply_write(WriteOperation::Write(offset as usize, data.to_vec()))
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_step()?;
        disk.durable = disk.written.clone();
        disk.pending.clear();
        Ok(())
    }
}

fn rows(generation: u8) -> Rows {
    let length = 100 + usize::from(generation) * 7_001 % 20_000;
    Rows { incarnation: Some(vec![generation; 30]), snapshot: Some(vec![generation; length]) }
}

/// Runs `commits` commits where the power fails after `steps_left` steps of the last one; returns that commit's
/// result.
fn run_commits(commits: u8, steps_left: Option<u64>) -> (SharedDisk, Result<(), DatabaseError>) {
    let shared = SharedDisk::default();
    let (mut database, _) = RowDatabase::open(shared.clone()).unwrap();
    for generation in 1..commits {
        database.write(&rows(generation)).unwrap();
    }
    shared.disk().steps_left = steps_left;
    let result = database.write(&rows(commits));
    if result.is_err() {
        drop(database);
    } else {
        // The process is killed, so the database is not closed.
        std::mem::forget(database);
    }
    (shared, result)
}

#[test]
fn a_crash_at_each_write_of_a_commit_leaves_the_old_or_the_new_state() {
    let (mut old, mut new) = (0, 0);
    for commits in 2..=6 {
        for steps_left in 0.. {
            let (shared, result) = run_commits(commits, Some(steps_left));
            for seed in 0..12 {
                let mut random = Pcg64::seed_from_u64(seed);
                let image = shared.disk().after_power_failure(&mut random);
                let found = RowDatabase::open(SharedDisk::from_image(image)).map(|(_, rows)| rows);
                let context = format!("commit {commits}, {steps_left} steps, seed {seed}, result {result:?}");
                let found = found.unwrap_or_else(|error| panic!("{context}: {error}"));
                let is_new = found == rows(commits);
                assert!(is_new || result.is_err() && found == rows(commits - 1), "{context}: {found:?}");
                new += u32::from(is_new);
                old += u32::from(!is_new);
            }
            if result.is_ok() && shared.disk().steps_left.is_some_and(|steps_left| steps_left > 0) {
                break;
            }
        }
    }
    println!("{old} old states, {new} new ones");
    assert!(old > 0 && new > 0);
}

#[test]
fn a_kill_at_each_byte_of_each_write_of_a_commit_leaves_the_old_or_the_new_state() {
    let (mut old, mut new) = (0, 0);
    for commits in [2, 3] {
        for steps_left in 0.. {
            let (shared, result) = run_commits(commits, Some(steps_left));
            if result.is_ok() {
                break;
            }
            for (cut, image) in after_kill(&shared.disk()).into_iter().enumerate() {
                let context = format!("commit {commits}, {steps_left} steps, cut {cut}");
                let found = RowDatabase::open(SharedDisk::from_image(image)).map(|(_, rows)| rows);
                let found = found.unwrap_or_else(|error| panic!("{context}: {error}"));
                let is_new = found == rows(commits);
                assert!(is_new || found == rows(commits - 1), "{context}: {found:?}");
                new += u32::from(is_new);
                old += u32::from(!is_new);
            }
        }
    }
    println!("{old} old states, {new} new ones");
    assert!(old > 0 && new > 0);
}

#[test]
fn a_kill_at_each_byte_of_creating_a_database_leaves_an_empty_or_a_corrupt_one() {
    let shared = SharedDisk::default();
    std::mem::forget(RowDatabase::open(shared.clone()).unwrap());
    let steps = shared.disk().steps_done;
    for steps_left in 0..steps {
        let shared = SharedDisk::default();
        shared.disk().steps_left = Some(steps_left);
        assert!(RowDatabase::open(shared.clone()).is_err());
        for image in after_kill(&shared.disk()) {
            match RowDatabase::open(SharedDisk::from_image(image)) {
                Ok((_, found)) => assert_eq!(found, Rows::default()),
                Err(error) => assert!(matches!(error, DatabaseError::Corrupt(_)), "{error}"),
            }
        }
    }
}

#[test]
fn a_crash_at_each_write_of_creating_a_database_leaves_an_empty_or_a_corrupt_one() {
    let shared = SharedDisk::default();
    std::mem::forget(RowDatabase::open(shared.clone()).unwrap());
    let steps = shared.disk().steps_done;
    assert!(steps > 2);
    for steps_left in 0..steps {
        let shared = SharedDisk::default();
        shared.disk().steps_left = Some(steps_left);
        assert!(RowDatabase::open(shared.clone()).is_err());
        for seed in 0..12 {
            let image = shared.disk().after_power_failure(&mut Pcg64::seed_from_u64(seed));
            match RowDatabase::open(SharedDisk::from_image(image)) {
                Ok((_, found)) => assert_eq!(found, Rows::default()),
                Err(error) => assert!(matches!(error, DatabaseError::Corrupt(_)), "{error}"),
            }
        }
    }
}

#[test]
fn a_full_disk_is_an_io_error_and_writes_succeed_again_once_there_is_space() {
    let (shared, result) = run_commits(2, Some(0));
    assert!(matches!(result, Err(DatabaseError::Io(_))), "{result:?}");
    shared.disk().steps_left = None;
    let (mut database, found) = RowDatabase::open(shared).unwrap();
    assert_eq!(found, rows(1));
    database.write(&rows(3)).unwrap();
}

#[test]
fn a_panic_of_the_backend_is_reported_as_corruption() {
    let shared = SharedDisk::default();
    shared.disk().panics = true;
    let result = RowDatabase::open(shared).map(|_| ());
    assert!(matches!(&result, Err(DatabaseError::Corrupt(text)) if text.contains("might")), "{result:?}");
    let shared = SharedDisk::default();
    let (mut database, _) = RowDatabase::open(shared.clone()).unwrap();
    database.write(&rows(1)).unwrap();
    shared.disk().panics = true;
    drop(database);
}

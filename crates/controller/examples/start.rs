//! Measures how long a controller takes to read its disk at a start, depending on the number of
//! changes written to it, and the cost of writing them.
//!
//! `cargo run --release -p maplefall-controller --example start -- DIRECTORY`; the directory has to
//! be on the disk to be measured.

use maplefall_controller::disk::Directory;
use maplefall_controller::store::{Error, Store, StoreRecord};
use maplefall_raft::{Entry, PersistentUpdate, Snapshot};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Size of one change.
const CHANGE_BYTES: usize = 600;
/// Number of changes written at a time.
const BATCH_CHANGES: u64 = 10;
/// Number of starts that are measured; their median is printed.
const STARTS: usize = 9;

/// The changes that are written before the starts.
#[derive(Clone, Copy)]
struct Workload {
    changes: u64,
    /// Number of changes between two snapshots, 0 for none.
    snapshot_interval: u64,
}

impl Workload {
    fn record(&self, number: u64) -> StoreRecord {
        let entry = Entry {
            index: number,
            term: 1,
            payload: vec![number as u8; CHANGE_BYTES],
            ..Entry::default()
        };
        let raft = PersistentUpdate {
            term: Some(1),
            entries: vec![entry],
            snapshot: self.snapshot_at(number),
            ..PersistentUpdate::default()
        };
        StoreRecord {
            number,
            raft: Some(raft),
            ..StoreRecord::default()
        }
    }

    /// A snapshot has half the length of the changes that it replaces.
    fn snapshot_at(&self, number: u64) -> Option<Snapshot> {
        let interval = self.snapshot_interval;
        (number > 1 && interval > 0 && number.is_multiple_of(interval)).then(|| Snapshot {
            index: number - 1,
            term: 1,
            state: vec![1; interval as usize * CHANGE_BYTES / 2].into(),
            ..Snapshot::default()
        })
    }
}

/// The cost of writing the changes.
struct WriteCost {
    elapsed: Duration,
    bytes: u64,
}

/// Returns the number of bytes that this process has written so far, according to the kernel.
fn process_written_bytes() -> u64 {
    let io = std::fs::read_to_string("/proc/self/io").unwrap_or_default();
    io.lines()
        .find_map(|line| line.strip_prefix("wchar: ")?.parse().ok())
        .unwrap_or(0)
}

fn write_changes(path: &Path, workload: Workload) -> Result<WriteCost, Error> {
    let (bytes_before, started_at) = (process_written_bytes(), Instant::now());
    let (mut store, _) = Store::open(Directory::new(path))?;
    for first in (1..=workload.changes).step_by(BATCH_CHANGES as usize) {
        let numbers = first..first + BATCH_CHANGES;
        store.write(numbers.map(|number| workload.record(number)).collect())?;
        if store.has_background_work() {
            store.step()?;
        }
    }
    drop(store);
    Ok(WriteCost {
        elapsed: started_at.elapsed(),
        bytes: process_written_bytes() - bytes_before,
    })
}

/// Returns the duration of each start in milliseconds, sorted.
fn measure_starts(path: &Path, changes: u64) -> Result<Vec<f64>, Error> {
    let mut starts_ms = Vec::new();
    for _ in 0..STARTS {
        let started_at = Instant::now();
        let (store, stored) = Store::open(Directory::new(path))?;
        assert_eq!(stored.number, changes);
        drop(store);
        starts_ms.push(started_at.elapsed().as_secs_f64() * 1e3);
    }
    starts_ms.sort_by(f64::total_cmp);
    Ok(starts_ms)
}

/// Returns the total length of the files in the directory.
fn directory_bytes(path: &Path) -> u64 {
    std::fs::read_dir(path).map_or(0, |files| {
        files
            .filter_map(Result::ok)
            .filter_map(|file| file.metadata().ok())
            .map(|metadata| metadata.len())
            .sum()
    })
}

fn measure(path: &Path, workload: Workload) -> Result<(), Error> {
    let cost = write_changes(path, workload)?;
    let on_disk_bytes = directory_bytes(path);
    let starts_ms = measure_starts(path, workload.changes)?;
    println!(
        "changes={} snapshot_each={} write_ms={} written_kib={} times={:.2} on_disk_kib={} start_ms={:.1} slowest_ms={:.1}",
        workload.changes,
        workload.snapshot_interval,
        cost.elapsed.as_millis(),
        cost.bytes >> 10,
        cost.bytes as f64 / (workload.changes as usize * CHANGE_BYTES) as f64,
        on_disk_bytes >> 10,
        starts_ms[STARTS / 2],
        starts_ms[STARTS - 1],
    );
    Ok(())
}

fn main() -> Result<(), Error> {
    let base = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, PathBuf::from);
    let path = base.join(format!("maplefall-start-{}", std::process::id()));
    for snapshot_interval in [0, 250] {
        for changes in [300, 3_000, 30_000] {
            let workload = Workload {
                changes,
                snapshot_interval,
            };
            let result = measure(&path, workload);
            // Only this program uses the directory, and a failure to remove it affects no result.
            let _ = std::fs::remove_dir_all(&path);
            result?;
        }
    }
    Ok(())
}

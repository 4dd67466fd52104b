//! How long an exchange takes to read its disk, by the changes that were written to it, and what writing them cost.
//! `cargo run --release -p maplefall-controller --example start -- FOLDER`; the folder is on the disk that is measured.

use maplefall_controller::disk::Directory;
use maplefall_controller::store::{Error, Store, StoreRecord};
use maplefall_raft::{Entry, PersistentUpdate, Snapshot};
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Bytes of one change.
const CHANGE: usize = 600;

fn record(number: u64, snapshot_each: u64) -> StoreRecord {
    let entry = Entry {
        index: number,
        term: 1,
        payload: vec![number as u8; CHANGE],
        ..Entry::default()
    };
    // A state of half of what it stands for.
    let snapshot =
        (number > 1 && snapshot_each > 0 && number.is_multiple_of(snapshot_each)).then(|| {
            Snapshot {
                index: number - 1,
                term: 1,
                state: vec![1; snapshot_each as usize * CHANGE / 2].into(),
                ..Snapshot::default()
            }
        });
    let tandem = PersistentUpdate {
        term: Some(1),
        entries: vec![entry],
        snapshot,
        ..PersistentUpdate::default()
    };
    StoreRecord {
        number,
        raft: Some(tandem),
        ..StoreRecord::default()
    }
}

/// Bytes that this process has written, as the kernel counts them.
fn written() -> u64 {
    let io = std::fs::read_to_string("/proc/self/io").unwrap_or_default();
    io.lines()
        .find_map(|line| line.strip_prefix("wchar: ")?.parse().ok())
        .unwrap_or(0)
}

fn play(path: &Path, changes: u64, snapshot_each: u64) -> Result<(), Error> {
    let (from, begun) = (written(), Instant::now());
    let (mut store, _) = Store::open(Directory::new(path))?;
    for first in (1..=changes).step_by(10) {
        store.write(
            (first..first + 10)
                .map(|number| record(number, snapshot_each))
                .collect(),
        )?;
        if store.has_background_work() {
            store.step()?;
        }
    }
    drop(store);
    let (wrote, bytes) = (begun.elapsed(), written() - from);
    let files = std::fs::read_dir(path).map(|files| {
        files
            .filter_map(Result::ok)
            .filter_map(|file| file.metadata().ok())
            .map(|file| file.len())
            .sum::<u64>()
    });
    let mut starts = Vec::new();
    for _ in 0..9 {
        let begun = Instant::now();
        let (store, kept) = Store::open(Directory::new(path))?;
        assert_eq!(kept.number, changes);
        drop(store);
        starts.push(begun.elapsed().as_secs_f64() * 1e3);
    }
    starts.sort_by(f64::total_cmp);
    println!(
        "changes={changes} snapshot_each={snapshot_each} write_ms={} written_kib={} times={:.2} on_disk_kib={} start_ms={:.1} slowest_ms={:.1}",
        wrote.as_millis(),
        bytes >> 10,
        bytes as f64 / (changes as usize * CHANGE) as f64,
        files.unwrap_or(0) >> 10,
        starts[4],
        starts[8],
    );
    Ok(())
}

fn main() -> Result<(), Error> {
    let base = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, PathBuf::from);
    let path = base.join(format!("maplefall-start-{}", std::process::id()));
    for snapshot_each in [0, 250] {
        for changes in [300, 3_000, 30_000] {
            let result = play(&path, changes, snapshot_each);
            // It is this program's own folder; what is left is no matter.
            let _ = std::fs::remove_dir_all(&path);
            result?;
        }
    }
    Ok(())
}

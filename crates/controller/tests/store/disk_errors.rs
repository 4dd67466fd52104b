//! Temporary disk failures, and the bound on disk usage.

use crate::simulated_disk::{Faults, SimulatedDisk, SplitMix64};
use crate::workload::{open_small, record, reopen, Progress, SMALL_LIMITS};
use maplefall_controller::store::{write_queue, Store};

/// Guards against a failing disk: nothing is acknowledged that was not written, everything is
/// written once the disk works again, and what is on it then survives a power loss.
#[test]
fn a_failing_disk_is_retried() {
    let mut failures = 0;
    for seed in 0..120 {
        let disk = SimulatedDisk::default();
        disk.set_faults(Faults::failures(2 + (seed as usize % 7), 400), seed);
        let (store, _) = Store::open_with_retries(disk.clone(), SMALL_LIMITS).expect("a disk");
        let (queue, incoming) = write_queue();
        (1..=150).for_each(|number| queue.push(record(number, 60)).expect("free capacity"));
        drop(queue);
        let (mut last, mut random) = (0, SplitMix64(seed));
        store.run(&incoming, |result| {
            let number = result.expect("no error that ends the run");
            assert!(number > last);
            last = number;
            check_durable(&disk, number, &mut random)
                .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
            true
        });
        assert_eq!(last, 150);
        failures += disk.failures();
    }
    println!("120 disks, {failures} failures");
    assert!(failures > 3_000, "{failures} failures");
}

/// Checks that all acknowledged records are found after a power loss, whatever has failed.
fn check_durable(
    disk: &SimulatedDisk,
    acknowledged: u64,
    random: &mut SplitMix64,
) -> Result<(), String> {
    let fork = disk.fork();
    fork.clear_faults();
    fork.lose_power(random);
    let mut progress = Progress {
        acknowledged,
        attempted: acknowledged + 20,
    };
    reopen(&fork, &mut progress, 60).map(drop)
}

/// Guards against an accumulation of files on a disk on which every other step fails for long,
/// while the store runs and while it starts: files are created, and their writes or syncs fail.
#[test]
fn repeated_failures_create_few_files() {
    for seed in 0..20 {
        let disk = SimulatedDisk::default();
        let mut store = open_small(&disk);
        store.write(vec![record(1, 60)]).expect("written");
        disk.set_faults(Faults::failures(2, 500), seed);
        let (queue, incoming) = write_queue();
        queue.push(record(2, 60)).expect("free capacity");
        drop(queue);
        store.run(&incoming, |result| result.is_ok());
        let files_after_run = disk.file_names().len();
        disk.set_faults(Faults::failures(2, 500), seed + 100);
        drop(Store::open_with_retries(disk.clone(), SMALL_LIMITS).expect("a disk"));
        assert!(
            files_after_run <= 2 && disk.file_names().len() <= 3,
            "seed {seed}: {files_after_run}, {:?}",
            disk.file_names()
        );
    }
}

/// Guards the bound on disk usage: two state files, the segments that are being compacted, and
/// those that are written meanwhile.
#[test]
fn disk_usage_is_bounded() {
    for (payload_bytes, last) in [(100, 2_000), (2_000, 200), (30, 4_000)] {
        let disk = SimulatedDisk::default();
        let mut store = open_small(&disk);
        // The loop takes no more steps of background work per write than `Store::run` does.
        for number in 1..=last {
            store
                .write(vec![record(number, payload_bytes)])
                .expect("written");
            if store.has_background_work() {
                store.step().expect("a step");
            }
        }
        drop(store);
        let bound = 4 * max_state_bytes(last, payload_bytes)
            + 2 * (SMALL_LIMITS.max_batch_bytes + payload_bytes + 200)
            + SMALL_LIMITS.compact_after_bytes as usize;
        let used = disk.max_bytes();
        println!("{last} records of {payload_bytes}: at most {used} bytes, bound {bound}");
        assert!(used <= bound, "{used} over {bound}");
    }
}

/// Returns the approximate maximum length of the state, which holds the entries since the last
/// snapshot; every 40th record has a snapshot.
fn max_state_bytes(last: u64, payload_bytes: usize) -> usize {
    let entries = last.min(41) as usize;
    entries * (payload_bytes + 60) + payload_bytes + 400
}

/// Guards against segments that are never removed: a compaction that fails at any step starts over
/// and replaces all segments.
#[test]
fn a_failed_compaction_is_repeated() {
    const RECORDS: u64 = 12;
    let mut failed_compactions = 0;
    for failing_step in 0..20 {
        let disk = SimulatedDisk::default();
        let mut store = open_small(&disk);
        // Writes more bytes of log than the limit above which the log is compacted.
        for number in 1..=RECORDS {
            store.write(vec![record(number, 200)]).expect("written");
        }
        assert!(store.has_background_work());
        for _ in 0..failing_step {
            store.step().expect("a step");
        }
        disk.set_faults(Faults::failures(1, 1), failing_step);
        failed_compactions += u64::from(store.step().is_err());
        disk.clear_faults();
        store.close().expect("closed");
        assert_eq!(
            disk.file_names(),
            [format!("state-{RECORDS:020}")],
            "failed at step {failing_step}"
        );
        let mut progress = Progress {
            acknowledged: RECORDS,
            attempted: RECORDS,
        };
        drop(reopen(&disk, &mut progress, 200).expect("all records"));
    }
    assert!(failed_compactions > 8, "{failed_compactions}");
}

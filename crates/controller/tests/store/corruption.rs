//! Corrupt files and their quarantine.

use crate::simulated_disk::{CrashingDisk, Faults, SimulatedDisk, SplitMix64};
use crate::workload::{open_small, record, state_after, write_records, Progress, SMALL_LIMITS};
use maplefall_controller::store::{Error, Store, StoreLimits, StoredState};

/// Returns a disk that was stopped in the middle of a compaction, so that it has files of all
/// kinds, and the number of its last record.
fn disk_with_all_kinds_of_files() -> (SimulatedDisk, u64) {
    let (disk, mut progress) = (SimulatedDisk::default(), Progress::default());
    let mut store = open_small(&disk);
    write_records(&mut store, &mut progress, 130, 60, &mut SplitMix64(9)).expect("written");
    while !disk.file_names().iter().any(|name| name == "fold") {
        let last = progress.acknowledged;
        write_records(
            &mut store,
            &mut progress,
            last + 1,
            60,
            &mut SplitMix64(last),
        )
        .expect("written");
    }
    (disk, progress.acknowledged)
}

/// Changes, truncates, zeroes or extends a file, or removes it (`None`).
fn corrupt_bytes(mut bytes: Vec<u8>, random: &mut SplitMix64) -> Option<Vec<u8>> {
    let offset = random.below(bytes.len());
    match random.below(7) {
        0 => bytes[offset] ^= 1 << random.below(8),
        1 => bytes.truncate(offset),
        2 => bytes[offset..].fill(0),
        3 => bytes.extend((0..offset).map(|index| index as u8)),
        4 => {
            let end = (offset + 1 + random.below(64)).min(bytes.len());
            bytes[offset..end]
                .iter_mut()
                .for_each(|byte| *byte = random.below(256) as u8);
        }
        5 => bytes.extend_from_within(offset..),
        _ => return None,
    }
    Some(bytes)
}

/// Guards starts on corrupt disks: a file that was changed, truncated, extended or lost is
/// rejected, or costs only the last records, if their loss cannot be told from that of a write that
/// was never acknowledged. A start never finds a gap or a record that was not written, and never
/// panics.
#[test]
fn corrupt_bytes_are_rejected_or_cost_only_the_end() {
    let (disk, last) = disk_with_all_kinds_of_files();
    let (names, mut random) = (disk.file_names(), SplitMix64(11));
    let (mut rejected, mut shorter, mut complete) = (0, 0, 0);
    for _ in 0..4_000 {
        let fork = disk.fork();
        let name = &names[random.below(names.len())];
        fork.corrupt(name, |bytes| corrupt_bytes(bytes, &mut random));
        fork.clear_faults();
        match Store::open_with(fork, SMALL_LIMITS) {
            Ok((mut store, found)) => {
                assert_eq!(found, state_after(found.number, 60), "{name}");
                assert!(found.number <= last);
                if found.number < last {
                    shorter += 1;
                } else {
                    complete += 1;
                }
                store
                    .write(vec![record(found.number + 1, 60)])
                    .expect("usable");
            }
            Err(error) => {
                assert!(
                    matches!(error, Error::Corrupt { .. } | Error::UnknownFormat { .. }),
                    "{error}"
                );
                rejected += 1;
            }
        }
    }
    println!("{names:?}: {rejected} rejected, {shorter} without an end, {complete} complete");
    assert!(rejected > 1_000 && shorter > 20 && complete > 100);
}

/// Returns a disk with several segments and no state file, whose last segment is corrupt. Without
/// the corrupt segment, the others would pass for the complete log.
fn disk_with_corrupt_last_segment() -> SimulatedDisk {
    let never_compact = StoreLimits {
        compact_after_bytes: 1 << 30,
        max_segments: 1 << 30,
        ..SMALL_LIMITS
    };
    let (disk, mut number) = (SimulatedDisk::default(), 0);
    for _ in 0..4 {
        let (mut store, _) = Store::open_with(disk.clone(), never_compact).expect("a disk");
        for _ in 0..3 {
            number += 1;
            store.write(vec![record(number, 60)]).expect("written");
        }
    }
    let last = disk.file_names().into_iter().max().expect("a segment");
    disk.corrupt(&last, |mut bytes| {
        bytes[50] ^= 1;
        Some(bytes)
    });
    disk
}

/// Returns what a start finds after a quarantine.
fn quarantined_state() -> StoredState {
    StoredState {
        quarantined: true,
        ..StoredState::default()
    }
}

fn open_with_retries(disk: &SimulatedDisk) -> StoredState {
    let (_, found) = Store::open_with_retries(disk.clone(), SMALL_LIMITS).expect("a disk");
    found
}

/// Guards the quarantine of corrupt files: at whichever step it is interrupted, a start never takes
/// a part of the files for a complete directory.
#[test]
fn quarantine_is_atomic() {
    let disk = disk_with_corrupt_last_segment();
    let complete = disk.fork();
    complete.clear_faults();
    open_with_retries(&complete);
    let mut cases = 0;
    for crash_step in 0..complete.steps() {
        for seed in 0..50 {
            let mut random = SplitMix64(seed * 100 + crash_step);
            let failing = disk.fork();
            failing.set_faults(Faults::failures(1 + random.below(4), 1 + crash_step), seed);
            let crashing = failing.fork();
            assert_eq!(open_with_retries(&failing), quarantined_state());
            // The quarantine is also interrupted at one of its steps, with a power loss.
            crashing.set_faults(Faults::crash_after(crash_step), seed);
            assert!(crashes_while_opening(&crashing));
            crashing.clear_faults();
            crashing.lose_power(&mut random);
            match Store::open_with(crashing.clone(), SMALL_LIMITS) {
                Ok((_, found)) => assert!(
                    found.quarantined && found.number == 0,
                    "step {crash_step}, seed {seed}: {}",
                    found.number
                ),
                Err(error) => assert!(matches!(error, Error::Corrupt { .. }), "{error}"),
            }
            assert_eq!(open_with_retries(&crashing), quarantined_state());
            cases += 1;
        }
    }
    println!("{cases} cases");
}

/// Opens the store until its disk crashes; returns whether it did. Each step on a crashed disk
/// fails and would be retried forever, so the delay before a retry ends the attempt.
fn crashes_while_opening(disk: &SimulatedDisk) -> bool {
    let ended = std::panic::catch_unwind(|| {
        Store::open_with_retries(CrashingDisk(disk.clone()), SMALL_LIMITS).is_ok()
    });
    ended.is_err()
}

//! Crashes and power losses at any step, on a simulated disk.

use crate::simulated_disk::{Faults, SimulatedDisk, SplitMix64};
use crate::workload::{record, reopen, write_records, Progress, SMALL_LIMITS};
use maplefall_controller::store::{Error, Store, StoreRecord};
use maplefall_raft::{PersistentUpdate, Snapshot};

/// The result of a series of runs.
struct CrashRuns {
    progress: Progress,
    power_losses: u64,
}

/// Starts the store `runs` times. Each run is ended before a random step (or after all records are
/// written) by the end of the process or by a power loss; runs are short, so that starts are
/// interrupted too. An error describes how the invariant is broken.
fn run_with_crashes(
    seed: u64,
    runs: u64,
    records: u64,
    payload_bytes: usize,
    faults: Faults,
) -> Result<CrashRuns, String> {
    let mut random = SplitMix64(seed);
    let (disk, mut progress) = (SimulatedDisk::default(), Progress::default());
    let mut power_losses = 0;
    for _ in 0..runs {
        let max_steps = [3, 10, 60, 400][random.below(4)];
        let crash_after = Some(random.below(max_steps) as u64);
        disk.set_faults(
            Faults {
                crash_after,
                ..faults
            },
            random.0,
        );
        if let Ok(mut store) = reopen(&disk, &mut progress, payload_bytes)? {
            // In some runs the store has nothing to write at first, and does only background work.
            for _ in 0..random.below(60) * random.below(2) {
                if store.has_background_work() && store.step().is_err() {
                    break;
                }
            }
            let _ = write_records(
                &mut store,
                &mut progress,
                records,
                payload_bytes,
                &mut random,
            );
        }
        if random.below(2) == 0 {
            disk.lose_power(&mut random);
            power_losses += 1;
        }
    }
    disk.set_faults(
        Faults {
            crash_after: None,
            ..faults
        },
        0,
    );
    let opened = reopen(&disk, &mut progress, payload_bytes)?;
    let mut store = opened.map_err(|error| error.to_string())?;
    let last = progress.acknowledged + 5;
    write_records(&mut store, &mut progress, last, payload_bytes, &mut random)
        .map_err(|error| error.to_string())?;
    drop(store);
    drop(reopen(&disk, &mut progress, payload_bytes)?);
    Ok(CrashRuns {
        progress,
        power_losses,
    })
}

/// Guards acknowledged records against repeated power losses at any step of writing, compaction and
/// starting.
#[test]
fn acknowledged_records_survive_power_losses() {
    let (mut records, mut power_losses) = (0, 0);
    for seed in 0..150 {
        let runs = run_with_crashes(seed, 30, 100_000, 60, Faults::default())
            .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        records += runs.progress.acknowledged;
        power_losses += runs.power_losses;
    }
    println!("150 disks, {power_losses} power losses, {records} records");
    assert!(
        records > 60_000 && power_losses > 2_000,
        "{records} records, {power_losses} power losses: too few for the test"
    );
}

/// Guards the simulation itself: it detects lost records on a disk whose directory sync does
/// nothing.
#[test]
fn the_simulation_detects_a_missing_directory_sync() {
    let faults = Faults {
        ignores_directory_sync: true,
        ..Faults::default()
    };
    let broken = (0..50)
        .filter(|seed| run_with_crashes(*seed, 30, 100_000, 60, faults).is_err())
        .count();
    println!("without the directory's sync: {broken} of 50 disks broken");
    assert!(broken > 40, "{broken} of 50");
}

/// Writes 100 records, compacts without writes in between, then writes until another compaction is
/// due and completes it.
fn write_and_compact(disk: &SimulatedDisk, progress: &mut Progress) -> Result<(), Error> {
    let open = || Store::open_with(disk.clone(), SMALL_LIMITS);
    let (mut store, _) = open()?;
    write_records(&mut store, progress, 100, 60, &mut SplitMix64(5))?;
    store.close()?;
    let (mut store, _) = open()?;
    while !store.has_background_work() {
        let next = progress.acknowledged + 1;
        write_records(&mut store, progress, next, 60, &mut SplitMix64(0))?;
    }
    store.close()
}

/// Guards each step of writing and compaction against a crash before the step, by the end of the
/// process and by power losses with different outcomes, and against a second power loss at each
/// step of the following start.
#[test]
fn a_crash_before_any_step_loses_nothing_acknowledged() {
    let complete = SimulatedDisk::default();
    complete.clear_faults();
    write_and_compact(&complete, &mut Progress::default()).expect("a disk");
    let (steps, mut cases) = (complete.steps(), 0);
    for crash_step in 0..steps {
        for seed in 0..3 {
            let (disk, mut progress) = (SimulatedDisk::default(), Progress::default());
            let mut random = SplitMix64(crash_step * 64 + seed);
            disk.set_faults(Faults::crash_after(crash_step), random.0);
            assert!(write_and_compact(&disk, &mut progress).is_err());
            if seed > 0 {
                disk.lose_power(&mut random);
            }
            for second_step in 0..12 {
                crash_again(&disk.fork(), progress, second_step, &mut random).unwrap_or_else(
                    |violation| {
                        panic!("step {crash_step}, seed {seed}, {second_step}: {violation}")
                    },
                );
                cases += 1;
            }
        }
    }
    println!("{steps} steps, {cases} cases");
    assert!(steps > 150);
}

/// Starts the store with a crash after some steps and a power loss, then once more without faults.
fn crash_again(
    disk: &SimulatedDisk,
    mut progress: Progress,
    crash_step: u64,
    random: &mut SplitMix64,
) -> Result<(), String> {
    disk.set_faults(Faults::crash_after(crash_step), random.0);
    if let Ok(mut store) = reopen(disk, &mut progress, 60)? {
        // The store has nothing to write and does only background work.
        while store.has_background_work() && store.step().is_ok() {}
    }
    disk.lose_power(random);
    disk.clear_faults();
    let mut store = reopen(disk, &mut progress, 60)?.expect("a disk");
    store
        .write(vec![record(progress.acknowledged + 1, 60)])
        .expect("usable again");
    Ok(())
}

/// Guards records of different sizes and hundreds of changes, with restarts in between.
#[test]
fn records_of_all_sizes_survive_many_restarts() {
    for (last, payload_bytes) in [(300, 900), (3_000, 40), (60, 64 << 10)] {
        let mut random = SplitMix64(last);
        let (disk, mut progress) = (SimulatedDisk::default(), Progress::default());
        let mut starts = 0;
        let fail = |violation: String| -> ! { panic!("{last} of {payload_bytes}: {violation}") };
        while progress.acknowledged < last {
            let crash_step = 10 + random.below(60) as u64;
            disk.set_faults(Faults::crash_after(crash_step), random.0);
            let opened = reopen(&disk, &mut progress, payload_bytes)
                .unwrap_or_else(|violation| fail(violation));
            if let Ok(mut store) = opened {
                let _ = write_records(&mut store, &mut progress, last, payload_bytes, &mut random);
            }
            if random.below(2) == 0 {
                disk.lose_power(&mut random);
            }
            starts += 1;
        }
        disk.clear_faults();
        let opened =
            reopen(&disk, &mut progress, payload_bytes).unwrap_or_else(|violation| fail(violation));
        drop(opened);
        assert_eq!(progress.acknowledged, last);
        println!("{last} records of {payload_bytes} bytes, {starts} starts");
    }
}

/// Guards a complete state in a single record: 8 MiB, interrupted at each step.
#[test]
fn a_long_snapshot_is_written_completely_or_not_at_all() {
    let snapshot = Snapshot {
        index: 900,
        term: 3,
        state: vec![7; 8 << 20].into(),
        ..Snapshot::default()
    };
    let raft = PersistentUpdate {
        snapshot: Some(snapshot),
        ..PersistentUpdate::default()
    };
    let long_record = StoreRecord {
        number: 6,
        raft: Some(raft),
        ..StoreRecord::default()
    };
    for crash_step in 0..40 {
        let (disk, mut random) = (SimulatedDisk::default(), SplitMix64(crash_step));
        let (mut store, _) = Store::open(disk.clone()).expect("a disk");
        (1..=5).for_each(|number| store.write(vec![record(number, 50)]).expect("written"));
        disk.set_faults(Faults::crash_after(crash_step), crash_step);
        let acknowledged = store.write(vec![long_record.clone()]).is_ok();
        while store.has_background_work() && store.step().is_ok() {}
        drop(store);
        disk.lose_power(&mut random);
        disk.clear_faults();
        let (_, found) = Store::open(disk.clone()).expect("a disk");
        assert!(
            found.number == 6 || !acknowledged && found.number == 5,
            "stopped at {crash_step}: {}",
            found.number
        );
        assert_eq!(
            found.raft.snapshot.index,
            if found.number == 6 { 900 } else { 0 }
        );
    }
}

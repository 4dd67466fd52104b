//! The disk of an exchange under losses of power, ends of the process, refusals and spoilt bytes, on a played disk. After any of
//! them a start finds all that was told of, in order, and nothing that was not written; what cannot be read is refused.

mod played;

use maplefall_controller::store::{
    write_queue, Error, Store, StoreLimits, StoreRecord, StoredState,
};
use maplefall_raft::{Entry, Member, PersistentUpdate, Snapshot};
use played::{Chance, Faults, Played};

/// Small, so that much is folded.
const SMALL: StoreLimits = StoreLimits {
    compact_after: 2_000,
    max_segments: 4,
    write_slice: 300,
    max_batch: 1_000,
};

/// The record of this number: every part of it tells which. Now and then a snapshot takes the place of what was.
fn record(number: u64, size: usize) -> StoreRecord {
    let payload = (0..size)
        .map(|at| (at as u64 ^ number.wrapping_mul(31)) as u8)
        .collect();
    let entry = Entry {
        index: number,
        term: 1 + number / 50,
        payload,
        ..Entry::default()
    };
    let state = vec![number as u8; size];
    let snapshot = number.is_multiple_of(40).then(|| Snapshot {
        index: number - 1,
        term: 1 + (number - 1) / 50,
        members: ["a", "b"]
            .map(|name| Member {
                name: name.to_owned(),
                identity: number,
            })
            .to_vec(),
        state: state.into(),
    });
    let tandem = PersistentUpdate {
        term: Some(1 + number / 50),
        voted_for: format!("node-{}", number % 3),
        entries: vec![entry],
        snapshot,
        identity: (number == 7).then_some(number),
        members_committed: number / 3,
    };
    StoreRecord {
        number,
        raft: Some(tandem),
        leased_to: vec![format!("door-{}", number % 5)],
        ..StoreRecord::default()
    }
}

/// What a disk holds that these records, and no other, were written to.
fn kept_after(number: u64, size: usize) -> StoredState {
    let mut kept = StoredState::default();
    (1..=number).for_each(|number| kept.apply(record(number, size)));
    kept
}

/// What somebody was told, and what was tried.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    told: u64,
    tried: u64,
}

/// Writes records in batches up to a number, folding in between, until the disk stops.
fn write_on(
    store: &mut Store<Played>,
    told: &mut Told,
    last: u64,
    size: usize,
    chance: &mut Chance,
) -> Result<(), Error> {
    while told.told < last {
        let upto = last.min(told.told + 1 + chance.below(3) as u64);
        told.tried = told.tried.max(upto);
        store.write(
            (told.told + 1..=upto)
                .map(|number| record(number, size))
                .collect(),
        )?;
        told.told = upto;
        // Folding waits, at times, as it does while there is much to write.
        for _ in 0..chance.below(4) {
            if store.has_background_work() {
                store.step()?;
            }
        }
    }
    Ok(())
}

/// Opens the disk and says what is wrong with what is on it.
fn start(
    disk: &Played,
    told: &mut Told,
    size: usize,
) -> Result<Result<Store<Played>, Error>, String> {
    match Store::open_with(disk.clone(), SMALL) {
        Err((_, error @ Error::Io { .. })) => Ok(Err(error)),
        Err((_, error)) => Err(format!("{told:?}: refused: {error}")),
        Ok((store, kept)) => {
            if kept.number < told.told || kept.number > told.tried {
                return Err(format!("{told:?}: {} found", kept.number));
            }
            if kept != kept_after(kept.number, size) {
                return Err(format!(
                    "{told:?}: {} found, and another content",
                    kept.number
                ));
            }
            // The node says from here on that it holds this.
            *told = Told {
                told: kept.number,
                tried: kept.number,
            };
            Ok(Ok(store))
        }
    }
}

/// One life after the other: each is stopped before a step drawn by chance (or ends with all written), by the end of the process or
/// by a loss of power; lives are short, so that starts are stopped too.
fn lives(
    seed: u64,
    count: u64,
    records: u64,
    size: usize,
    faults: Faults,
) -> Result<(Told, u64), String> {
    let mut chance = Chance(seed);
    let (disk, mut told, mut losses) = (Played::default(), Told::default(), 0);
    for _ in 0..count {
        let most = [3, 10, 60, 400][chance.below(4)];
        let stop_after = Some(chance.below(most) as u64);
        disk.set(
            Faults {
                stop_after,
                ..faults
            },
            chance.0,
        );
        if let Ok(mut store) = start(&disk, &mut told, size)? {
            // At times there is nothing to write at first, and what can wait is done.
            for _ in 0..chance.below(60) * chance.below(2) {
                if store.has_background_work() && store.step().is_err() {
                    break;
                }
            }
            let _ = write_on(&mut store, &mut told, records, size, &mut chance);
        }
        if chance.below(2) == 0 {
            disk.lose_power(&mut chance);
            losses += 1;
        }
    }
    disk.set(
        Faults {
            stop_after: None,
            ..faults
        },
        0,
    );
    let mut store = start(&disk, &mut told, size)?.map_err(|error| error.to_string())?;
    let last = told.told + 5;
    write_on(&mut store, &mut told, last, size, &mut chance).map_err(|error| error.to_string())?;
    drop(store);
    drop(start(&disk, &mut told, size)?);
    Ok((told, losses))
}

/// Guards what is acknowledged against losses of power at any step of writing, folding and starting, one after the other.
#[test]
fn what_was_told_of_outlives_any_losses() {
    let (mut told, mut losses) = (0, 0);
    for seed in 0..150 {
        let (last, lost) = lives(seed, 30, 100_000, 60, Faults::default())
            .unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        told += last.told;
        losses += lost;
    }
    println!("150 disks, {losses} losses of power, {told} records");
    assert!(
        told > 60_000 && losses > 2_000,
        "{told} records, {losses} losses: too little was played"
    );
}

/// Guards the play: with a folder whose sync does nothing it finds what is lost.
#[test]
fn the_play_finds_a_name_that_was_not_synced() {
    let without = Faults {
        no_folder_sync: true,
        ..Faults::default()
    };
    let broken = (0..50)
        .filter(|seed| lives(*seed, 30, 100_000, 60, without).is_err())
        .count();
    println!("without the folder's sync: {broken} of 50 disks broken");
    assert!(broken > 40, "{broken} of 50");
}

/// Guards each step of writing and folding: stopped before every single one, by both kinds of end, several losses each, and a second
/// loss at each step of the start after it.
#[test]
fn every_step_can_be_the_last() {
    let script = |disk: &Played, told: &mut Told| -> Result<(), Error> {
        let mut store = match Store::open_with(disk.clone(), SMALL) {
            Ok((store, _)) => store,
            Err((_, error)) => return Err(error),
        };
        write_on(&mut store, told, 100, 60, &mut Chance(5))?;
        // A fold in which nothing is written.
        store.close()?;
        store = Store::open_with(disk.clone(), SMALL)
            .map_err(|(_, error)| error)?
            .0;
        while !store.has_background_work() {
            write_on(&mut store, told, told.told + 1, 60, &mut Chance(0))?;
        }
        store.close()
    };
    let whole = Played::default();
    whole.set(Faults::default(), 0);
    script(&whole, &mut Told::default()).expect("a disk");
    let (steps, mut cases) = (whole.steps(), 0);
    for stop in 0..steps {
        for seed in 0..3 {
            let (disk, mut told, mut chance) =
                (Played::default(), Told::default(), Chance(stop * 64 + seed));
            disk.set(
                Faults {
                    stop_after: Some(stop),
                    ..Faults::default()
                },
                chance.0,
            );
            assert!(script(&disk, &mut told).is_err());
            if seed > 0 {
                disk.lose_power(&mut chance);
            }
            for second in 0..12 {
                let (disk, mut told) = (disk.copy(), told);
                disk.set(
                    Faults {
                        stop_after: Some(second),
                        ..Faults::default()
                    },
                    chance.0,
                );
                let found = start(&disk, &mut told, 60);
                let found =
                    found.unwrap_or_else(|why| panic!("step {stop}, seed {seed}, {second}: {why}"));
                if let Ok(mut store) = found {
                    // Nothing is to be written, and what can wait is done.
                    while store.has_background_work() && store.step().is_ok() {}
                }
                disk.lose_power(&mut chance);
                disk.set(Faults::default(), 0);
                let found = start(&disk, &mut told, 60);
                let found =
                    found.unwrap_or_else(|why| panic!("step {stop}, seed {seed}, {second}: {why}"));
                let mut store = found.expect("a disk");
                store
                    .write(vec![record(told.told + 1, 60)])
                    .expect("usable again");
                cases += 1;
            }
        }
    }
    println!("{steps} steps, {cases} cases");
    assert!(steps > 150);
}

/// Guards records of every size, and hundreds of changes, with restarts in the middle.
#[test]
fn hundreds_of_changes_and_restarts() {
    for (last, size) in [(300, 900), (3_000, 40), (60, 64 << 10)] {
        let mut chance = Chance(last);
        let (disk, mut told, mut starts) = (Played::default(), Told::default(), 0);
        while told.told < last {
            let stop_after = Some(10 + chance.below(60) as u64);
            disk.set(
                Faults {
                    stop_after,
                    ..Faults::default()
                },
                chance.0,
            );
            let found = start(&disk, &mut told, size)
                .unwrap_or_else(|why| panic!("{last} of {size}: {why}"));
            if let Ok(mut store) = found {
                let _ = write_on(&mut store, &mut told, last, size, &mut chance);
            }
            if chance.below(2) == 0 {
                disk.lose_power(&mut chance);
            }
            starts += 1;
        }
        disk.set(Faults::default(), 0);
        drop(start(&disk, &mut told, size).unwrap_or_else(|why| panic!("{last} of {size}: {why}")));
        assert_eq!(told.told, last);
        println!("{last} records of {size} bytes, {starts} starts");
    }
}

/// Guards a whole state that comes in one record: 8 MiB, cut at each step.
#[test]
fn a_long_snapshot_is_there_or_not() {
    let snapshot = Snapshot {
        index: 900,
        term: 3,
        state: vec![7; 8 << 20].into(),
        ..Snapshot::default()
    };
    let tandem = PersistentUpdate {
        snapshot: Some(snapshot),
        ..PersistentUpdate::default()
    };
    let long = StoreRecord {
        number: 6,
        raft: Some(tandem),
        ..StoreRecord::default()
    };
    for stop in 0..40 {
        let (disk, mut chance) = (Played::default(), Chance(stop));
        let (mut store, _) = Store::open(disk.clone()).expect("a disk");
        (1..=5).for_each(|number| store.write(vec![record(number, 50)]).expect("written"));
        disk.set(
            Faults {
                stop_after: Some(stop),
                ..Faults::default()
            },
            stop,
        );
        let told = store.write(vec![long.clone()]).is_ok();
        while store.has_background_work() && store.step().is_ok() {}
        drop(store);
        disk.lose_power(&mut chance);
        disk.set(Faults::default(), 0);
        let (_, kept) = Store::open(disk.clone()).expect("a disk");
        assert!(
            kept.number == 6 || !told && kept.number == 5,
            "stopped at {stop}: {}",
            kept.number
        );
        assert_eq!(
            kept.raft.snapshot.index,
            if kept.number == 6 { 900 } else { 0 }
        );
    }
}

/// Guards a disk that refuses: nothing that was not written is told of, all is written once it takes it again, and what is there then
/// outlives a loss of power.
#[test]
fn a_disk_that_refuses_is_tried_again() {
    let mut refused = 0;
    for seed in 0..120 {
        let disk = Played::default();
        let faults = Faults {
            refuse_one_in: 2 + (seed as usize % 7),
            refusals: 400,
            ..Faults::default()
        };
        disk.set(faults, seed);
        let (store, _) = Store::open_with_retries(disk.clone(), SMALL).expect("a disk");
        let (queue, incoming) = write_queue();
        (1..=150).for_each(|number| queue.push(record(number, 60)).expect("room"));
        drop(queue);
        let (mut last, mut chance) = (0, Chance(seed));
        store.run(&incoming, |result| {
            let number = result.expect("no error that ends it");
            assert!(number > last);
            last = number;
            // What was told of is on the disk, whatever was refused.
            let copy = disk.copy();
            copy.set(Faults::default(), 0);
            copy.lose_power(&mut chance);
            let mut told = Told {
                told: number,
                tried: number + 20,
            };
            drop(start(&copy, &mut told, 60).unwrap_or_else(|why| panic!("seed {seed}: {why}")));
            true
        });
        assert_eq!(last, 150);
        refused += disk.refused();
    }
    println!("120 disks, {refused} refusals");
    assert!(refused > 3_000, "{refused} refusals");
}

/// Guards against a heap of files: a disk that refuses everything but new files for long, while it runs and while it starts.
#[test]
fn long_refusals_leave_few_files() {
    for seed in 0..20 {
        let disk = Played::default();
        let (mut store, _) = Store::open_with(disk.clone(), SMALL)
            .map_err(|(_, error)| error)
            .expect("a disk");
        store.write(vec![record(1, 60)]).expect("written");
        // Every other step is refused: files are made, and their writes or syncs fail.
        disk.set(
            Faults {
                refuse_one_in: 2,
                refusals: 500,
                ..Faults::default()
            },
            seed,
        );
        let (queue, incoming) = write_queue();
        queue.push(record(2, 60)).expect("room");
        drop(queue);
        store.run(&incoming, |result| result.is_ok());
        let files = disk.names().len();
        disk.set(
            Faults {
                refuse_one_in: 2,
                refusals: 500,
                ..Faults::default()
            },
            seed + 100,
        );
        drop(Store::open_with_retries(disk.clone(), SMALL).expect("a disk"));
        assert!(
            files <= 2 && disk.names().len() <= 3,
            "seed {seed}: {files}, {:?}",
            disk.names()
        );
    }
}

/// Guards the room: two states, the segments that are folded, those that are written meanwhile.
#[test]
fn a_disk_has_its_bound() {
    for (size, last) in [(100, 2_000), (2_000, 200), (30, 4_000)] {
        let disk = Played::default();
        let (mut store, _) = Store::open_with(disk.clone(), SMALL)
            .map_err(|(_, error)| error)
            .expect("a disk");
        // Not a step more than `run` takes.
        for number in 1..=last {
            store.write(vec![record(number, size)]).expect("written");
            if store.has_background_work() {
                store.step().expect("a step");
            }
        }
        drop(store);
        let biggest = kept_sizes(last, size);
        let bound = 4 * biggest + 2 * (SMALL.max_batch + size + 200) + SMALL.compact_after as usize;
        println!(
            "{last} records of {size}: {} bytes at most, bound {bound}",
            disk.most()
        );
        assert!(disk.most() <= bound, "{} over {bound}", disk.most());
    }
}

/// The longest state, about: what all records up to each would be.
fn kept_sizes(last: u64, size: usize) -> usize {
    let most = last.min(41) as usize;
    most * (size + 60) + size + 400
}

/// Guards starts on spoilt disks: a file that was changed, cut, filled up or lost is refused, or costs an end that nothing tells
/// from one that was never acknowledged. Never a gap, never a record that was not written, never a panic.
#[test]
fn spoilt_bytes_are_refused_or_cost_the_end() {
    let (disk, mut told) = (Played::default(), Told::default());
    let (mut store, _) = Store::open_with(disk.clone(), SMALL)
        .map_err(|(_, error)| error)
        .expect("a disk");
    // Stopped in the middle of a fold: all kinds of files are there.
    write_on(&mut store, &mut told, 130, 60, &mut Chance(9)).expect("written");
    while !disk.names().iter().any(|name| name == "fold") {
        write_on(
            &mut store,
            &mut Told { ..told },
            told.told + 1,
            60,
            &mut Chance(told.told),
        )
        .expect("written");
        told.told += 1;
    }
    drop(store);
    let (names, mut chance) = (disk.names(), Chance(11));
    let (mut refused, mut shorter, mut whole) = (0, 0, 0);
    for _ in 0..4_000 {
        let copy = disk.copy();
        let name = &names[chance.below(names.len())];
        copy.spoil(name, |mut bytes| {
            let at = chance.below(bytes.len());
            match chance.below(7) {
                0 => bytes[at] ^= 1 << chance.below(8),
                1 => bytes.truncate(at),
                2 => bytes[at..].fill(0),
                3 => bytes.extend((0..at).map(|at| at as u8)),
                4 => {
                    let to = (at + 1 + chance.below(64)).min(bytes.len());
                    bytes[at..to]
                        .iter_mut()
                        .for_each(|byte| *byte = chance.below(256) as u8);
                }
                5 => {
                    let other = bytes.clone();
                    bytes.extend(&other[at..]);
                }
                _ => return None,
            }
            Some(bytes)
        });
        copy.set(Faults::default(), 0);
        match Store::open_with(copy, SMALL) {
            Ok((mut store, kept)) => {
                assert_eq!(kept, kept_after(kept.number, 60), "{name}");
                assert!(kept.number <= told.told);
                if kept.number < told.told {
                    shorter += 1;
                } else {
                    whole += 1;
                }
                store
                    .write(vec![record(kept.number + 1, 60)])
                    .expect("usable");
            }
            Err((_, error)) => {
                assert!(
                    matches!(error, Error::Corrupt { .. } | Error::UnknownFormat { .. }),
                    "{error}"
                );
                refused += 1;
            }
        }
    }
    println!("{names:?}: {refused} refused, {shorter} without an end, {whole} whole");
    assert!(refused > 1_000 && shorter > 20 && whole > 100);
}

/// Guards the setting aside of spoilt files: however often it is stopped, no part of them is ever taken for all.
#[test]
fn setting_aside_is_whole_or_not_begun() {
    let (disk, mut told) = (Played::default(), Told::default());
    // Several segments that are in no state, the last of them spoilt: without it the first would pass for all.
    let keep = StoreLimits {
        compact_after: 1 << 30,
        max_segments: 1 << 30,
        ..SMALL
    };
    for _ in 0..4 {
        let (mut store, _) = Store::open_with(disk.clone(), keep)
            .map_err(|(_, error)| error)
            .expect("a disk");
        for _ in 0..3 {
            told.told += 1;
            store.write(vec![record(told.told, 60)]).expect("written");
        }
    }
    let last = disk.names().into_iter().max().expect("a segment");
    disk.spoil(&last, |mut bytes| {
        bytes[50] ^= 1;
        Some(bytes)
    });
    let (all, mut cases) = (disk.copy(), 0);
    all.set(Faults::default(), 0);
    drop(Store::open_with_retries(all.clone(), SMALL).expect("a disk"));
    for stop in 0..all.steps() {
        for seed in 0..50 {
            let (disk, mut chance) = (disk.copy(), Chance(seed * 100 + stop));
            // The pause is where the process ends: a played one does not wait, so a stop is a refusal that lasts.
            let faults = Faults {
                refuse_one_in: 1 + chance.below(4),
                refusals: 1 + stop,
                ..Faults::default()
            };
            disk.set(faults, seed);
            let copy = disk.copy();
            let (_, kept) = Store::open_with_retries(disk.clone(), SMALL).expect("a disk");
            assert_eq!(
                kept,
                StoredState {
                    quarantined: true,
                    ..StoredState::default()
                }
            );
            // And cut off at any step of it, with the power gone.
            copy.set(
                Faults {
                    stop_after: Some(stop),
                    ..Faults::default()
                },
                seed,
            );
            assert!(cut_short(&copy));
            copy.set(Faults::default(), 0);
            copy.lose_power(&mut chance);
            let found = Store::open_with(copy.clone(), SMALL);
            match found {
                Ok((_, kept)) => {
                    assert!(
                        kept.quarantined && kept.number == 0,
                        "stop {stop}, seed {seed}: {}",
                        kept.number
                    )
                }
                Err((_, error)) => assert!(matches!(error, Error::Corrupt { .. }), "{error}"),
            }
            let (_, kept) = Store::open_with_retries(copy, SMALL).expect("a disk");
            assert_eq!(
                kept,
                StoredState {
                    quarantined: true,
                    ..StoredState::default()
                }
            );
            cases += 1;
        }
    }
    println!("{cases} cases");
}

/// Opens the disk until it stops; whether it did. A disk that has stopped refuses for ever: the pause ends the try.
fn cut_short(disk: &Played) -> bool {
    let ended = std::panic::catch_unwind(|| {
        Store::open_with_retries(Stopping(disk.clone()), SMALL).is_ok()
    });
    ended.is_err()
}

/// A disk on which a pause ends the process.
struct Stopping(Played);

impl maplefall_controller::disk::Disk for Stopping {
    type File = played::File;
    type Reader = std::io::Cursor<Vec<u8>>;

    fn path(&self) -> &std::path::Path {
        self.0.path()
    }

    fn list(&self) -> std::io::Result<Vec<String>> {
        self.0.list()
    }

    fn read(&self, name: &str) -> std::io::Result<Self::Reader> {
        self.0.read(name)
    }

    fn create(&self, name: &str) -> std::io::Result<Self::File> {
        self.0.create(name)
    }

    fn sync(&self, file: &mut Self::File) -> std::io::Result<()> {
        self.0.sync(file)
    }

    fn rename(&self, from: &str, to: &str) -> std::io::Result<()> {
        self.0.rename(from, to)
    }

    fn remove(&self, name: &str) -> std::io::Result<()> {
        self.0.remove(name)
    }

    fn sync_folder(&self) -> std::io::Result<()> {
        self.0.sync_folder()
    }

    fn sleep(&self, _: std::time::Duration) {
        std::panic::resume_unwind(Box::new("the process has ended"));
    }
}

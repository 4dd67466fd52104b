//! The disk of an exchange: what was written is there after a stop, after a torn end, and after folding; what cannot be trusted
//! is refused.

use maplefall_controller::disk::Directory as Disk;
use maplefall_controller::store::{
    write_queue, Batch, Error, StateFile, Store, StoreLimits, StoreRecord, StoredState,
};
use maplefall_raft::{Entry, PersistentUpdate};
use prost::Message;
use std::fs::{self, OpenOptions};
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("maplefall-disk-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn record(number: u64, size: usize) -> StoreRecord {
    let entry = Entry {
        index: number,
        term: 1,
        payload: vec![number as u8; size],
        ..Entry::default()
    };
    let tandem = PersistentUpdate {
        term: Some(number),
        entries: vec![entry],
        ..PersistentUpdate::default()
    };
    StoreRecord {
        number,
        raft: Some(tandem),
        leased_to: vec![format!("door-{}", number % 5)],
        ..StoreRecord::default()
    }
}

fn open(path: &Path) -> (Store<Disk>, StoredState) {
    Store::open(Disk::new(path)).expect("a disk")
}

fn files(path: &Path, before: &str) -> Vec<PathBuf> {
    let files = fs::read_dir(path)
        .expect("a folder")
        .filter_map(Result::ok)
        .map(|file| file.path());
    let mut all: Vec<PathBuf> = files
        .filter(|path| {
            path.file_name()
                .is_some_and(|name| name.to_string_lossy().starts_with(before))
        })
        .collect();
    all.sort();
    all
}

/// Guards what is acknowledged: it is there again, in one piece.
#[test]
fn what_was_written_is_there_again() {
    let folder = Folder::new("again");
    let (mut store, found) = open(&folder.0);
    assert_eq!(found, StoredState::default());
    store
        .write((1..=3).map(|n| record(n, 100)).collect())
        .expect("written");
    store.write(vec![record(4, 100)]).expect("written");
    drop(store);
    let (_, found) = open(&folder.0);
    assert_eq!(
        (
            found.number,
            found.raft.term,
            found.raft.log.len(),
            found.leased_to.len()
        ),
        (4, 4, 4, 4)
    );
}

/// Guards starts after a loss of power: an end that is torn anywhere costs what was not acknowledged, and nothing before or
/// after. It may be missing, noughts, or what stood there.
#[test]
fn a_torn_end_costs_only_itself() {
    let folder = Folder::new("torn");
    let (mut store, _) = open(&folder.0);
    store.write(vec![record(1, 200)]).expect("written");
    let segment = files(&folder.0, "log-").remove(0);
    let first = fs::read(&segment).expect("a segment").len();
    store.write(vec![record(2, 200)]).expect("written");
    drop(store);
    let both = fs::read(&segment).expect("a segment");
    for cut in (first..both.len()).step_by(7) {
        for torn in [
            both[..cut].to_vec(),
            [&both[..cut], vec![0; both.len() - cut].as_slice()].concat(),
            [
                &both[..first],
                vec![0; cut - first].as_slice(),
                &both[cut..],
            ]
            .concat(),
            [&both[..cut], vec![0xff; 5000].as_slice()].concat(),
        ] {
            if torn == both {
                continue;
            }
            files(&folder.0, "")
                .iter()
                .for_each(|file| fs::remove_file(file).expect("removed"));
            fs::write(&segment, &torn).expect("written");
            let (mut store, found) = open(&folder.0);
            assert_eq!(found.number, 1, "torn after {cut}");
            store.write(vec![record(2, 50)]).expect("written");
            drop(store);
            assert_eq!(open(&folder.0).1.number, 2, "torn after {cut}");
        }
    }
}

/// Guards starts after a loss of power in the first moment: a segment without its head holds nothing.
#[test]
fn a_segment_that_never_came_to_the_disk_is_no_hindrance() {
    let folder = Folder::new("headless");
    let (mut store, _) = open(&folder.0);
    store.write(vec![record(1, 200)]).expect("written");
    drop(store);
    fs::write(&files(&folder.0, "log-")[0], b"").expect("written");
    assert_eq!(open(&folder.0).1, StoredState::default());
}

/// Guards the disk against filling up: old segments are folded and removed, and all is still there. A state that is spoilt is
/// refused.
#[test]
fn the_log_is_folded_and_nothing_is_lost() {
    let folder = Folder::new("folded");
    let (mut store, _) = open(&folder.0);
    for number in 1..=120 {
        store.write(vec![record(number, 10_000)]).expect("written");
        while store.has_background_work() {
            store.step().expect("a step");
        }
    }
    store.close().expect("closed");
    let log: u64 = files(&folder.0, "log-")
        .iter()
        .map(|file| fs::metadata(file).expect("a file").len())
        .sum();
    assert!(log < 1_000_000, "{log} bytes of log");
    let (store, found) = open(&folder.0);
    assert_eq!((found.number, found.raft.log.len()), (120, 120));
    drop(store);
    // A file that was renamed into place after its sync is whole, or not to be trusted.
    let states = files(&folder.0, "state-");
    assert_eq!(states.len(), 1, "{states:?}");
    let mut file = OpenOptions::new()
        .write(true)
        .open(&states[0])
        .expect("a file");
    file.seek(SeekFrom::Start(40)).expect("a place");
    file.write_all(&[0xff, 0xfe]).expect("written");
    drop(file);
    assert!(matches!(
        Store::open(Disk::new(&folder.0)),
        Err(Error::Corrupt { .. })
    ));
}

/// Guards members whose disk cannot be read: it comes back as one that has lost its disk, not as the first of all, and what was
/// there is kept once.
#[test]
fn a_spoilt_disk_is_set_aside() {
    let folder = Folder::new("spoilt");
    for round in 0..3 {
        let (mut store, found) =
            Store::open_with_retries(Disk::new(&folder.0), StoreLimits::default()).expect("a disk");
        assert_eq!(
            found,
            StoredState {
                quarantined: round > 0,
                ..StoredState::default()
            }
        );
        // Not the first start of all, whatever the settings say.
        assert_eq!(
            (found.may_bootstrap(true), found.may_bootstrap(false)),
            (round == 0, false)
        );
        (1..=3).for_each(|number| store.write(vec![record(number, 300)]).expect("written"));
        drop(store);
        let segment = files(&folder.0, "log-").remove(0);
        let mut bytes = fs::read(&segment).expect("a segment");
        bytes[60] ^= 1;
        fs::write(&segment, &bytes).expect("written");
        assert!(matches!(
            Store::open(Disk::new(&folder.0)),
            Err(Error::Corrupt { .. })
        ));
        // One set, and the note.
        assert_eq!(
            files(&folder.0, "spoilt-").len(),
            if round == 0 { 0 } else { 2 }
        );
    }
}

/// A frame as the format says, of the file with this number.
fn frame(id: u64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = b"mf2\0".to_vec();
    bytes.extend(id.to_le_bytes());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(crc32c::crc32c(payload).to_le_bytes());
    bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
    [bytes.as_slice(), payload].concat()
}

/// Guards disks of another format: refused, and nothing on it touched.
#[test]
fn another_format_is_refused() {
    let later = frame(
        1,
        &Batch {
            format: 3,
            records: vec![record(1, 9)],
        }
        .encode_to_vec(),
    );
    let state = frame(
        4,
        &StateFile {
            format: 9,
            number: 4,
            ..StateFile::default()
        }
        .encode_to_vec(),
    );
    for (name, bytes, format) in [
        ("wal-1", b"okw\0".as_slice(), 1),
        ("log-00000000000000000001", &later, 3),
        ("state-00000000000000000004", &state, 9),
    ] {
        let folder = Folder::new("format");
        fs::create_dir_all(&folder.0).expect("a folder");
        fs::write(folder.0.join(name), bytes).expect("written");
        let opened = Store::open_with_retries(Disk::new(&folder.0), StoreLimits::default());
        assert!(
            matches!(opened, Err(Error::UnknownFormat { format: met, .. }) if met == format),
            "{name}"
        );
        assert_eq!(files(&folder.0, "").len(), 1);
        assert_eq!(fs::read(folder.0.join(name)).expect("a file"), bytes);
    }
}

/// Guards the format: frames as the page says are read, and lengths that no file can have are not taken at their word.
#[test]
fn frames_are_read_as_the_format_says() {
    let folder = Folder::new("frames");
    fs::create_dir_all(&folder.0).expect("a folder");
    let batch = |numbers: std::ops::RangeInclusive<u64>| {
        Batch {
            format: 2,
            records: numbers.map(|number| record(number, 9)).collect(),
        }
        .encode_to_vec()
    };
    let mut bytes = [frame(7, &batch(1..=2)), frame(7, &batch(3..=3))].concat();
    let mut long = frame(7, &batch(4..=4));
    long[12..16].copy_from_slice(&u32::MAX.to_le_bytes());
    let sum = crc32c::crc32c(&long[..20]).to_le_bytes();
    long[20..24].copy_from_slice(&sum);
    bytes.extend(long);
    fs::write(folder.0.join("log-00000000000000000007"), bytes).expect("written");
    assert_eq!(open(&folder.0).1.number, 3);
}

/// Guards the order of the log: what does not follow is refused before it is written.
#[test]
fn a_record_out_of_order_is_refused() {
    let folder = Folder::new("order");
    let (mut store, _) = open(&folder.0);
    store.write(vec![record(1, 10)]).expect("written");
    assert!(matches!(
        store.write(vec![record(3, 10)]),
        Err(Error::OutOfOrder {
            expected: 2,
            actual: 3
        })
    ));
    assert!(matches!(
        store.write(vec![record(1, 10)]),
        Err(Error::OutOfOrder {
            expected: 2,
            actual: 1
        })
    ));
    store.write(vec![record(2, 10)]).expect("written");
    drop(store);
    assert_eq!(open(&folder.0).1.number, 2);
}

/// Guards against a gap: once a record had no room, none after it is taken.
#[test]
fn a_queue_that_was_full_takes_no_more() {
    let (queue, incoming) = write_queue();
    queue
        .push(record(1, 33 << 20))
        .expect("the first may be long");
    assert!(matches!(
        queue.push(record(2, 10)),
        Err(Error::QueueFull { number: 2 })
    ));
    let folder = Folder::new("full");
    let (store, _) = open(&folder.0);
    let mut told = Vec::new();
    // Room again, but not for what comes after the gap.
    store.run(&incoming, |result| {
        told.push(result.expect("written"));
        false
    });
    assert!(matches!(
        queue.push(record(3, 10)),
        Err(Error::QueueFull { number: 3 })
    ));
    assert_eq!(told, [1]);
}

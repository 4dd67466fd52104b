//! The format on disk: frames are read as documented, the written bytes never change, and other
//! formats are rejected.

use crate::test_directory::TestDirectory;
use crate::workload::{entry_record, SMALL_LIMITS};
use maplefall_controller::disk::Directory;
use maplefall_controller::store::{Batch, Error, StateFile, Store, StoreLimits, StoreRecord};
use maplefall_raft::{Entry, Member, PersistentUpdate, Snapshot};
use maplefall_service_registry::InstanceRecord;
use prost::Message;
use std::fs;

/// Returns a frame as documented, of the file with this number.
fn frame(file_number: u64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = b"mf2\0".to_vec();
    bytes.extend(file_number.to_le_bytes());
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(crc32c::crc32c(payload).to_le_bytes());
    bytes.extend(crc32c::crc32c(&bytes).to_le_bytes());
    [bytes.as_slice(), payload].concat()
}

/// Guards disks of another format: they are rejected and left unchanged.
#[test]
fn unknown_formats_are_rejected_untouched() {
    let later = frame(
        1,
        &Batch {
            format: 3,
            records: vec![entry_record(1, 9)],
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
        let directory = TestDirectory::new("format");
        let path = directory.path();
        fs::create_dir_all(path).expect("a directory");
        fs::write(path.join(name), bytes).expect("written");
        let opened = Store::open_with_retries(Directory::new(path), StoreLimits::default());
        assert!(
            matches!(opened, Err(Error::UnknownFormat { format: found, .. }) if found == format),
            "{name}"
        );
        assert_eq!(directory.files("").len(), 1);
        assert_eq!(fs::read(path.join(name)).expect("a file"), bytes);
    }
}

/// Guards the format: frames are read as documented, and a length that no file can have is not
/// followed.
#[test]
fn frames_are_read_as_documented() {
    let directory = TestDirectory::new("frames");
    fs::create_dir_all(directory.path()).expect("a directory");
    let batch = |numbers: std::ops::RangeInclusive<u64>| {
        Batch {
            format: 2,
            records: numbers.map(|number| entry_record(number, 9)).collect(),
        }
        .encode_to_vec()
    };
    let mut bytes = [frame(7, &batch(1..=2)), frame(7, &batch(3..=3))].concat();
    let mut too_long = frame(7, &batch(4..=4));
    too_long[12..16].copy_from_slice(&u32::MAX.to_le_bytes());
    let checksum = crc32c::crc32c(&too_long[..20]).to_le_bytes();
    too_long[20..24].copy_from_slice(&checksum);
    bytes.extend(too_long);
    fs::write(directory.path().join("log-00000000000000000007"), bytes).expect("written");
    let (_, found) = Store::open(Directory::new(directory.path())).expect("a disk");
    assert_eq!(found.number, 3);
}

/// Returns a record that sets every field.
fn record_with_all_fields(number: u64) -> StoreRecord {
    let entry = Entry {
        index: number,
        term: 1 + number / 10,
        payload: vec![number as u8; 90],
        ..Entry::default()
    };
    let snapshot = (number == 20).then(|| Snapshot {
        index: 19,
        term: 2,
        members: vec![Member {
            name: "a".to_owned(),
            identity: 5,
        }],
        state: vec![3; 200].into(),
    });
    let raft = PersistentUpdate {
        term: Some(1 + number / 10),
        voted_for: format!("node-{}", number % 3),
        entries: vec![entry],
        snapshot,
        identity: (number == 7).then_some(9),
        members_committed: number / 3,
    };
    let instance = InstanceRecord {
        id: format!("instance-{}", number % 4),
        ..InstanceRecord::default()
    };
    StoreRecord {
        number,
        raft: Some(raft),
        leased_to: vec![format!("proxy-{}", number % 5)],
        instances: vec![instance],
        leased_to_complete: number == 3,
        waited_slots: vec![number],
        released: vec![format!("proxy-{}", (number + 1) % 5)],
    }
}

/// Guards existing disks: file names, lengths and checksums are those that the store wrote before
/// it was split into modules.
#[test]
fn written_files_keep_their_bytes() {
    let directory = TestDirectory::new("bytes");
    let (mut store, _) =
        Store::open_with(Directory::new(directory.path()), SMALL_LIMITS).expect("a disk");
    for number in 1..=45 {
        store
            .write(vec![record_with_all_fields(number)])
            .expect("written");
        if store.has_background_work() {
            store.step().expect("a step");
        }
    }
    drop(store);
    let found: Vec<(String, usize, u32)> = directory
        .files("")
        .iter()
        .map(|path| {
            let name = path.file_name().expect("a name").to_string_lossy();
            let bytes = fs::read(path).expect("a file");
            (name.into_owned(), bytes.len(), crc32c::crc32c(&bytes))
        })
        .collect();
    let expected = [
        ("log-00000000000000000004".to_owned(), 1780, 0x3e05_47b0),
        ("state-00000000000000000035".to_owned(), 1958, 0xc6c9_143d),
    ];
    assert_eq!(found, expected);
}

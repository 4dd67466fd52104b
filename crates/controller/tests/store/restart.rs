//! Restarts on real files: written records are found after a stop, after a torn end, and after
//! compaction.

use crate::test_directory::TestDirectory;
use crate::workload::{entry_record, SMALL_LIMITS};
use maplefall_controller::disk::Directory;
use maplefall_controller::store::{
    write_queue, Error, Store, StoreLimits, StoreRecord, StoredState,
};
use maplefall_service_registry::{InstanceRecord, InstanceState};
use std::fs::{self, OpenOptions};
use std::io::{Seek, SeekFrom, Write};

fn open(directory: &TestDirectory) -> (Store<Directory>, StoredState) {
    Store::open(Directory::new(directory.path())).expect("a disk")
}

/// Guards acknowledged records: a restart finds them complete.
#[test]
fn written_records_survive_a_restart() {
    let directory = TestDirectory::new("restart");
    let (mut store, found) = open(&directory);
    assert_eq!(found, StoredState::default());
    store
        .write((1..=3).map(|number| entry_record(number, 100)).collect())
        .expect("written");
    store.write(vec![entry_record(4, 100)]).expect("written");
    drop(store);
    let (_, found) = open(&directory);
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

/// Guards acknowledged deregistrations and drains: the ends of the latest 4096 instances survive a
/// restart, from a state file and from the log, in their order; a later heartbeat of an instance
/// that had only expired replaces its tombstone.
#[test]
fn ends_of_instances_survive_a_restart_and_are_bounded() {
    const ENDED: u64 = 4200;
    const REVIVED: u64 = 4100;
    let record = |number: u64, id: u64, state: InstanceState| StoreRecord {
        number,
        instances: vec![InstanceRecord {
            id: format!("i-{id}"),
            state: state.into(),
            seq: number,
            ..InstanceRecord::default()
        }],
        ..StoreRecord::default()
    };
    let directory = TestDirectory::new("tombstones");
    let open = || {
        Store::open_with(Directory::new(directory.path()), SMALL_LIMITS).expect("a readable disk")
    };
    let (mut store, _) = open();
    for id in 1..=ENDED {
        let state = match id % 2 {
            0 => InstanceState::Deregistered,
            _ => InstanceState::Expired,
        };
        store.write(vec![record(id, id, state)]).expect("written");
        while store.has_background_work() {
            store.step().expect("a step of compaction");
        }
    }
    store
        .write(vec![record(ENDED + 1, REVIVED + 1, InstanceState::Serving)])
        .expect("written");
    drop(store);
    let (_, found) = open();
    let live: Vec<&str> = found.instances.keys().map(String::as_str).collect();
    assert_eq!(live, [format!("i-{}", REVIVED + 1)]);
    let ended: Vec<&str> = found.tombstones.iter().map(|end| end.id.as_str()).collect();
    let expected: Vec<String> = (ENDED - 4095..=ENDED)
        .filter(|id| *id != REVIVED + 1)
        .map(|id| format!("i-{id}"))
        .collect();
    assert_eq!(ended, expected);
}

/// Returns both frames of a segment with the second torn at `torn_at` in four ways: the rest is
/// missing, zeros after it, zeros before it, garbage after it.
fn torn_versions(both: &[u8], first_frame_bytes: usize, torn_at: usize) -> [Vec<u8>; 4] {
    [
        both[..torn_at].to_vec(),
        [&both[..torn_at], vec![0; both.len() - torn_at].as_slice()].concat(),
        [
            &both[..first_frame_bytes],
            vec![0; torn_at - first_frame_bytes].as_slice(),
            &both[torn_at..],
        ]
        .concat(),
        [&both[..torn_at], vec![0xff; 5000].as_slice()].concat(),
    ]
}

/// Guards starts after a power loss: if the last frame is torn, at whichever byte, only its
/// unacknowledged records are lost, and nothing before or after it.
#[test]
fn a_torn_last_frame_loses_only_itself() {
    let directory = TestDirectory::new("torn");
    let (mut store, _) = open(&directory);
    store.write(vec![entry_record(1, 200)]).expect("written");
    let segment = directory.files("log-").remove(0);
    let first_frame_bytes = fs::read(&segment).expect("a segment").len();
    store.write(vec![entry_record(2, 200)]).expect("written");
    drop(store);
    let both = fs::read(&segment).expect("a segment");
    for torn_at in (first_frame_bytes..both.len()).step_by(7) {
        for torn in torn_versions(&both, first_frame_bytes, torn_at) {
            if torn == both {
                continue;
            }
            directory
                .files("")
                .iter()
                .for_each(|file| fs::remove_file(file).expect("removed"));
            fs::write(&segment, &torn).expect("written");
            let (mut store, found) = open(&directory);
            assert_eq!(found.number, 1, "torn after {torn_at}");
            store.write(vec![entry_record(2, 50)]).expect("written");
            drop(store);
            assert_eq!(open(&directory).1.number, 2, "torn after {torn_at}");
        }
    }
}

/// Guards starts after a power loss right after a segment was created: a segment without a header
/// holds no records.
#[test]
fn an_empty_segment_is_ignored() {
    let directory = TestDirectory::new("empty-segment");
    let (mut store, _) = open(&directory);
    store.write(vec![entry_record(1, 200)]).expect("written");
    drop(store);
    fs::write(&directory.files("log-")[0], b"").expect("written");
    assert_eq!(open(&directory).1, StoredState::default());
}

/// Guards the disk against filling up: old segments are compacted and removed, and all records are
/// still found. A corrupt state file is rejected.
#[test]
fn compaction_bounds_the_log_and_keeps_all_records() {
    let directory = TestDirectory::new("compaction");
    let (mut store, _) = open(&directory);
    for number in 1..=120 {
        store
            .write(vec![entry_record(number, 10_000)])
            .expect("written");
        while store.has_background_work() {
            store.step().expect("a step");
        }
    }
    store.close().expect("closed");
    let log_bytes: u64 = directory
        .files("log-")
        .iter()
        .map(|file| fs::metadata(file).expect("a file").len())
        .sum();
    assert!(log_bytes < 1_000_000, "{log_bytes} bytes of log");
    let (store, found) = open(&directory);
    assert_eq!((found.number, found.raft.log.len()), (120, 120));
    drop(store);
    // A state file is renamed into place after its sync, so a damaged one is never an unfinished
    // write, and is rejected.
    let state_files = directory.files("state-");
    assert_eq!(state_files.len(), 1, "{state_files:?}");
    let mut file = OpenOptions::new()
        .write(true)
        .open(&state_files[0])
        .expect("a file");
    file.seek(SeekFrom::Start(40)).expect("an offset");
    file.write_all(&[0xff, 0xfe]).expect("written");
    drop(file);
    assert!(matches!(
        Store::open(Directory::new(directory.path())),
        Err(Error::Corrupt { .. })
    ));
}

/// Guards members whose disk is corrupt: they come back as members that have lost their disk and
/// never start a new cluster, and the files are kept once.
#[test]
fn a_corrupt_disk_is_quarantined() {
    let directory = TestDirectory::new("corrupt");
    for start in 0..3 {
        let (mut store, found) =
            Store::open_with_retries(Directory::new(directory.path()), StoreLimits::default())
                .expect("a disk");
        assert_eq!(
            found,
            StoredState {
                quarantined: start > 0,
                ..StoredState::default()
            }
        );
        // After a quarantine this is not the first start of the cluster, whatever the settings say.
        assert_eq!(
            (found.may_bootstrap(true), found.may_bootstrap(false)),
            (start == 0, false)
        );
        (1..=3).for_each(|number| {
            store
                .write(vec![entry_record(number, 300)])
                .expect("written")
        });
        drop(store);
        let segment = directory.files("log-").remove(0);
        let mut bytes = fs::read(&segment).expect("a segment");
        bytes[60] ^= 1;
        fs::write(&segment, &bytes).expect("written");
        assert!(matches!(
            Store::open(Directory::new(directory.path())),
            Err(Error::Corrupt { .. })
        ));
        // After a quarantine there are one set of quarantined files and the permanent marker
        // `spoilt-note`.
        assert_eq!(
            directory.files("spoilt-").len(),
            if start == 0 { 0 } else { 2 }
        );
    }
}

/// Guards the order of the log: a record whose number does not follow is rejected before it is
/// written.
#[test]
fn records_out_of_order_are_rejected() {
    let directory = TestDirectory::new("order");
    let (mut store, _) = open(&directory);
    store.write(vec![entry_record(1, 10)]).expect("written");
    assert!(matches!(
        store.write(vec![entry_record(3, 10)]),
        Err(Error::OutOfOrder {
            expected: 2,
            actual: 3
        })
    ));
    assert!(matches!(
        store.write(vec![entry_record(1, 10)]),
        Err(Error::OutOfOrder {
            expected: 2,
            actual: 1
        })
    ));
    store.write(vec![entry_record(2, 10)]).expect("written");
    drop(store);
    assert_eq!(open(&directory).1.number, 2);
}

/// Guards against a gap: once a record exceeded the free capacity, no later one is accepted.
#[test]
fn a_full_queue_stays_closed() {
    let (queue, incoming) = write_queue();
    queue
        .push(entry_record(1, 33 << 20))
        .expect("the first record may exceed the capacity");
    assert!(matches!(
        queue.push(entry_record(2, 10)),
        Err(Error::QueueFull { number: 2 })
    ));
    let directory = TestDirectory::new("full");
    let (store, _) = open(&directory);
    let mut written = Vec::new();
    // The queue has free capacity again, but not for records after the gap.
    store.run(&incoming, |result| {
        written.push(result.expect("written"));
        false
    });
    assert!(matches!(
        queue.push(entry_record(3, 10)),
        Err(Error::QueueFull { number: 3 })
    ));
    assert_eq!(written, [1]);
}

//! Records whose fields all depend on their number, and a model of the state that a start has to
//! find.

use crate::simulated_disk::{SimulatedDisk, SplitMix64};
use maplefall_controller::store::{Error, Store, StoreLimits, StoreRecord, StoredState};
use maplefall_raft::{Entry, Member, PersistentUpdate, Snapshot};

/// Small limits of the store, so that compactions are frequent.
pub const SMALL_LIMITS: StoreLimits = StoreLimits {
    compact_after_bytes: 2_000,
    max_segments: 4,
    write_slice_bytes: 300,
    max_batch_bytes: 1_000,
};

/// Returns the record of this number: every field depends on it. Every 40th record has a snapshot,
/// which replaces what was before.
pub fn record(number: u64, payload_bytes: usize) -> StoreRecord {
    let payload = (0..payload_bytes)
        .map(|index| (index as u64 ^ number.wrapping_mul(31)) as u8)
        .collect();
    let entry = Entry {
        index: number,
        term: 1 + number / 50,
        payload,
        ..Entry::default()
    };
    let snapshot = number
        .is_multiple_of(40)
        .then(|| snapshot(number, payload_bytes));
    let raft = PersistentUpdate {
        term: Some(1 + number / 50),
        voted_for: format!("node-{}", number % 3),
        entries: vec![entry],
        snapshot,
        identity: (number == 7).then_some(number),
        members_committed: number / 3,
    };
    StoreRecord {
        number,
        raft: Some(raft),
        leased_to: vec![format!("proxy-{}", number % 5)],
        ..StoreRecord::default()
    }
}

/// Returns a record with one entry and no snapshot; the record's number is the Raft term.
pub fn entry_record(number: u64, payload_bytes: usize) -> StoreRecord {
    let entry = Entry {
        index: number,
        term: 1,
        payload: vec![number as u8; payload_bytes],
        ..Entry::default()
    };
    let raft = PersistentUpdate {
        term: Some(number),
        entries: vec![entry],
        ..PersistentUpdate::default()
    };
    StoreRecord {
        number,
        raft: Some(raft),
        leased_to: vec![format!("proxy-{}", number % 5)],
        ..StoreRecord::default()
    }
}

fn snapshot(number: u64, state_bytes: usize) -> Snapshot {
    let members = ["a", "b"].map(|name| Member {
        name: name.to_owned(),
        identity: number,
    });
    Snapshot {
        index: number - 1,
        term: 1 + (number - 1) / 50,
        members: members.to_vec(),
        state: vec![number as u8; state_bytes].into(),
    }
}

/// Returns the state of a disk to which exactly the records 1 to `number` were written.
pub fn state_after(number: u64, payload_bytes: usize) -> StoredState {
    let mut state = StoredState::default();
    (1..=number).for_each(|number| state.apply(record(number, payload_bytes)));
    state
}

/// Opens a simulated disk without faults.
pub fn open_small(disk: &SimulatedDisk) -> Store<SimulatedDisk> {
    let (store, _) = Store::open_with(disk.clone(), SMALL_LIMITS).expect("a disk");
    store
}

/// The progress of a test's writes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Number of the last acknowledged record.
    pub acknowledged: u64,
    /// Number of the last record that may be on the disk.
    pub attempted: u64,
}

/// Writes records in batches up to `last`, with steps of compaction in between, until the disk
/// fails.
pub fn write_records(
    store: &mut Store<SimulatedDisk>,
    progress: &mut Progress,
    last: u64,
    payload_bytes: usize,
    random: &mut SplitMix64,
) -> Result<(), Error> {
    while progress.acknowledged < last {
        let batch_end = last.min(progress.acknowledged + 1 + random.below(3) as u64);
        progress.attempted = progress.attempted.max(batch_end);
        let numbers = progress.acknowledged + 1..=batch_end;
        store.write(
            numbers
                .map(|number| record(number, payload_bytes))
                .collect(),
        )?;
        progress.acknowledged = batch_end;
        // After some writes no step of compaction is taken, as while there are many records to
        // write.
        for _ in 0..random.below(4) {
            if store.has_background_work() {
                store.step()?;
            }
        }
    }
    Ok(())
}

/// Opens the disk and checks its content. The outer error describes how the invariant is broken,
/// the inner one is an I/O error.
pub fn reopen(
    disk: &SimulatedDisk,
    progress: &mut Progress,
    payload_bytes: usize,
) -> Result<Result<Store<SimulatedDisk>, Error>, String> {
    match Store::open_with(disk.clone(), SMALL_LIMITS) {
        Err(error @ Error::Io { .. }) => Ok(Err(error)),
        Err(error) => Err(format!("{progress:?}: rejected: {error}")),
        Ok((store, state)) => {
            if state.number < progress.acknowledged || state.number > progress.attempted {
                return Err(format!("{progress:?}: {} found", state.number));
            }
            if state != state_after(state.number, payload_bytes) {
                return Err(format!(
                    "{progress:?}: {} found with other content",
                    state.number
                ));
            }
            // From here on all recovered records count as acknowledged, because the store made them
            // durable when it was opened.
            *progress = Progress {
                acknowledged: state.number,
                attempted: state.number,
            };
            Ok(Ok(store))
        }
    }
}

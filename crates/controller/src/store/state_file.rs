//! The payload of a state file: all records up to a number, compacted.
//!
//! The protobuf tags are fixed, because disks contain what earlier versions wrote.

use super::error::Error;
use super::frame::{self, Frame, FRAME_HEADER_BYTES};
use super::record::FORMAT_VERSION;
use super::state::StoredState;
use crate::disk::Disk;
use maplefall_raft::{Entry, PersistentState, Snapshot};
use maplefall_service_registry::InstanceRecord;
use prost::{encoding, Message};

const SNAPSHOT_TAG: u32 = 6;
const LOG_TAG: u32 = 7;
const LEASED_TO_TAG: u32 = 8;
const INSTANCES_TAG: u32 = 9;
const TOMBSTONES_TAG: u32 = 16;

/// The payload of a file `state-N`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StateFile {
    /// Format version: 2.
    #[prost(uint32, tag = "1")]
    pub format: u32,
    /// Number of the last record that the file contains; it contains all records up to it.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Raft: the current term.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Raft: the candidate that received this controller's vote in the term; empty if none did.
    #[prost(string, tag = "4")]
    pub voted_for: String,
    /// Identity of this disk.
    #[prost(uint64, optional, tag = "10")]
    pub identity: Option<u64>,
    /// Raft: membership entries up to this index are known to be committed.
    #[prost(uint64, tag = "11")]
    pub members_committed: u64,
    /// Raft: the last snapshot.
    #[prost(message, optional, tag = "6")]
    pub snapshot: Option<Snapshot>,
    /// Raft: the entries after the snapshot.
    #[prost(message, repeated, tag = "7")]
    pub log: Vec<Entry>,
    /// Proxies that may hold a quota lease of this controller.
    #[prost(string, repeated, tag = "8")]
    pub leased_to: Vec<String>,
    /// Records of backend instances that are neither expired nor deregistered.
    #[prost(message, repeated, tag = "9")]
    pub instances: Vec<InstanceRecord>,
    /// Records of backend instances that have expired or were deregistered, in the order of their
    /// ends.
    #[prost(message, repeated, tag = "16")]
    pub tombstones: Vec<InstanceRecord>,
    /// Whether `leased_to` contains every proxy that may hold a lease.
    #[prost(bool, tag = "14")]
    pub leased_to_complete: bool,
    /// Raft indices of the entries whose quota slots this controller has waited for before leasing
    /// them.
    #[prost(uint64, repeated, tag = "15")]
    pub waited_slots: Vec<u64>,
}

impl StateFile {
    /// Encodes a state as a frame. The long fields are encoded by reference, because a copy of them
    /// would double the memory of a state.
    pub(super) fn encode_state(state: &StoredState) -> Frame {
        let short_fields = StateFile {
            format: FORMAT_VERSION,
            number: state.number,
            term: state.raft.term,
            voted_for: state.raft.voted_for.clone(),
            identity: state.raft.identity,
            members_committed: state.raft.members_committed,
            leased_to_complete: state.leased_to_complete,
            waited_slots: state.waited_slots.iter().copied().collect(),
            ..StateFile::default()
        };
        let payload_bytes = short_fields.encoded_len() + long_fields_len(state);
        Frame::encode(payload_bytes, |bytes| {
            short_fields.encode_raw(bytes);
            encode_long_fields(state, bytes);
        })
    }

    /// Decodes the content of the state file `name` with this number.
    ///
    /// # Errors
    ///
    /// [`Error::Corrupt`] unless the content is exactly one complete frame with that number (a
    /// state file gets its name after its sync, so no part of it can be missing);
    /// [`Error::UnknownFormat`] if the file was written in another format version.
    pub(super) fn decode_file<D: Disk>(
        disk: &D,
        name: &str,
        number: u64,
        bytes: &[u8],
    ) -> Result<StateFile, Error> {
        let corrupt = || Error::corrupt(disk, name);
        let payload = frame::read_payload(number, bytes).ok_or_else(corrupt)?;
        if FRAME_HEADER_BYTES + payload.len() != bytes.len() {
            return Err(corrupt());
        }
        let state_file = StateFile::decode(payload).map_err(|_| corrupt())?;
        if state_file.format != FORMAT_VERSION {
            return Err(Error::unknown_format(disk, name, state_file.format));
        }
        if state_file.number != number {
            return Err(corrupt());
        }
        Ok(state_file)
    }
}

fn long_fields_len(state: &StoredState) -> usize {
    let leased_to = state
        .leased_to
        .iter()
        .map(|proxy| encoding::string::encoded_len(LEASED_TO_TAG, proxy));
    let instances = state
        .instances
        .values()
        .map(|instance| encoding::message::encoded_len(INSTANCES_TAG, instance));
    let tombstones = state
        .tombstones
        .iter()
        .map(|tombstone| encoding::message::encoded_len(TOMBSTONES_TAG, tombstone));
    encoding::message::encoded_len(SNAPSHOT_TAG, &state.raft.snapshot)
        + encoding::message::encoded_len_repeated(LOG_TAG, &state.raft.log)
        + leased_to.sum::<usize>()
        + instances.sum::<usize>()
        + tombstones.sum::<usize>()
}

fn encode_long_fields(state: &StoredState, bytes: &mut Vec<u8>) {
    encoding::message::encode(SNAPSHOT_TAG, &state.raft.snapshot, bytes);
    encoding::message::encode_repeated(LOG_TAG, &state.raft.log, bytes);
    for proxy in &state.leased_to {
        encoding::string::encode(LEASED_TO_TAG, proxy, bytes);
    }
    for instance in state.instances.values() {
        encoding::message::encode(INSTANCES_TAG, instance, bytes);
    }
    for tombstone in &state.tombstones {
        encoding::message::encode(TOMBSTONES_TAG, tombstone, bytes);
    }
}

impl From<StateFile> for StoredState {
    fn from(state_file: StateFile) -> StoredState {
        StoredState {
            raft: PersistentState {
                term: state_file.term,
                voted_for: state_file.voted_for,
                snapshot: state_file.snapshot.unwrap_or_default(),
                log: state_file.log,
                identity: state_file.identity,
                members_committed: state_file.members_committed,
            },
            leased_to: state_file.leased_to.into_iter().collect(),
            instances: state_file
                .instances
                .into_iter()
                .map(|instance| (instance.id.clone(), instance))
                .collect(),
            tombstones: state_file.tombstones.into(),
            leased_to_complete: state_file.leased_to_complete,
            waited_slots: state_file.waited_slots.into_iter().collect(),
            number: state_file.number,
            quarantined: false,
        }
    }
}

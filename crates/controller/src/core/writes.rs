//! Pending writes, and the actions to take once they are persisted.

use super::Output;
use crate::store::StoreRecord;
use std::collections::VecDeque;

/// The purpose of a write, which determines the action to take once it is persisted.
pub(super) enum WritePurpose {
    /// Raft's persistent state, with Raft's number of the write.
    Raft(u64),
    /// State that is only read at a later start; nothing waits for it.
    Background,
    /// The name of this proxy, whose lease requests may be granted once it is persisted.
    LeaseHolder(String),
    /// The deregistration with this acknowledgement number, contained in this write or in an
    /// earlier one.
    Deregistration(u64),
    /// Instance records for which a peer requested an acknowledgement.
    PeerInstances { peer: String, ack_number: u64 },
}

/// Writes that were issued but not yet reported as persisted, in order.
pub(super) struct PendingWrites {
    last_number: u64,
    purposes: VecDeque<(u64, WritePurpose)>,
}

impl PendingWrites {
    /// Creates an empty list; `last_number` is the number of the last record on disk.
    pub(super) fn new(last_number: u64) -> PendingWrites {
        PendingWrites {
            last_number,
            purposes: VecDeque::new(),
        }
    }

    /// Returns whether all issued writes are persisted.
    pub(super) fn is_empty(&self) -> bool {
        self.purposes.is_empty()
    }

    /// Issues a write of a record.
    pub(super) fn write(
        &mut self,
        record: StoreRecord,
        purpose: WritePurpose,
        out: &mut Vec<Output>,
    ) {
        self.last_number += 1;
        self.purposes.push_back((self.last_number, purpose));
        out.push(Output::Write(self.last_number, Box::new(record)));
    }

    /// Registers an action to take once all writes issued so far are persisted.
    pub(super) fn after_all(&mut self, purpose: WritePurpose) {
        self.purposes.push_back((self.last_number, purpose));
    }

    /// Returns the next purpose whose write is persisted, given that all writes up to `number` are.
    pub(super) fn pop_persisted(&mut self, number: u64) -> Option<WritePurpose> {
        let (write, _) = self.purposes.front()?;
        if *write > number {
            return None;
        }
        self.purposes.pop_front().map(|(_, purpose)| purpose)
    }
}

//! Calls that are not answered yet. Each is answered exactly once, and their number is bounded.

use super::{Call, CallResponse, Millis, Output};
use std::collections::{BTreeMap, BTreeSet};

/// Calls that wait for raft at most, and as many that wait for a leader; what comes beyond is answered as unavailable.
const MAX_PENDING_CALLS: usize = 512;

/// A call that waits to be answered.
pub(super) struct PendingCall {
    number: u64,
    deadline: Millis,
}

impl PendingCall {
    pub(super) fn new(number: u64, deadline: Millis) -> PendingCall {
        PendingCall { number, deadline }
    }

    pub(super) fn number(&self) -> u64 {
        self.number
    }

    pub(super) fn respond(self, response: CallResponse, out: &mut Vec<Output>) {
        out.push(Output::Respond(self.number, response));
    }

    pub(super) fn is_late(&self, now: Millis) -> bool {
        now >= self.deadline
    }

    /// Whether there is time left; a call that is late is answered as unavailable.
    pub(super) fn is_in_time(&self, now: Millis, out: &mut Vec<Output>) -> bool {
        let late = self.is_late(now);
        if late {
            out.push(Output::Respond(self.number, CallResponse::Unavailable));
        }
        !late
    }
}

/// A call that is answered once an entry is committed.
pub(super) struct AfterCommit {
    pub(super) call: PendingCall,
    /// Term of the entry; if one of another term takes its index, the outcome is unknown.
    pub(super) term: u64,
    pub(super) response: CallResponse,
}

/// What a call that waits for a read index gets (Raft paper, section 8).
pub(super) enum AfterRead {
    /// The committed configuration.
    ReadConfig,
    /// A rejection that was decided in `term`, by all entries up to `index`.
    Reject {
        response: CallResponse,
        term: u64,
        index: u64,
    },
}

/// All calls that wait, by what they wait for.
#[derive(Default)]
pub(super) struct PendingCalls {
    awaiting_leader: Vec<(PendingCall, Call)>,
    /// By the index of the entry.
    awaiting_commit: BTreeMap<u64, Vec<AfterCommit>>,
    /// By raft's ticket of the read.
    awaiting_read: BTreeMap<u64, (PendingCall, AfterRead)>,
    /// Reads that raft confirmed before their call was registered here.
    confirmed_reads: BTreeSet<u64>,
}

impl PendingCalls {
    /// Whether no further call may wait for raft.
    pub(super) fn is_full(&self) -> bool {
        let awaiting_commit: usize = self.awaiting_commit.values().map(Vec::len).sum();
        self.awaiting_read.len() + awaiting_commit >= MAX_PENDING_CALLS
    }

    /// Whether no further call may wait for a leader.
    pub(super) fn is_full_without_leader(&self) -> bool {
        self.awaiting_leader.len() >= MAX_PENDING_CALLS
    }

    pub(super) fn await_leader(&mut self, pending: PendingCall, call: Call) {
        self.awaiting_leader.push((pending, call));
    }

    /// The calls that wait for a leader; those that still do are given back by [`PendingCalls::await_leader`].
    pub(super) fn take_awaiting_leader(&mut self) -> Vec<(PendingCall, Call)> {
        std::mem::take(&mut self.awaiting_leader)
    }

    pub(super) fn await_commit(&mut self, index: u64, call: AfterCommit) {
        self.awaiting_commit.entry(index).or_default().push(call);
    }

    pub(super) fn await_read(&mut self, ticket: u64, call: PendingCall, then: AfterRead) {
        self.awaiting_read.insert(ticket, (call, then));
    }

    /// Raft has confirmed a read. Returns the call, or nothing where the read is confirmed within the request for it, or its call has
    /// been answered by now.
    pub(super) fn read_confirmed(&mut self, ticket: u64) -> Option<(PendingCall, AfterRead)> {
        let waiting = self.awaiting_read.remove(&ticket);
        if waiting.is_none() {
            self.confirmed_reads.insert(ticket);
        }
        waiting
    }

    /// Whether this read was confirmed within the request for it; forgets all such.
    pub(super) fn take_confirmed(&mut self, ticket: Option<u64>) -> bool {
        let confirmed = ticket.is_some_and(|ticket| self.confirmed_reads.contains(&ticket));
        self.confirmed_reads.clear();
        confirmed
    }

    /// The entry with this index and term is committed.
    pub(super) fn entry_committed(&mut self, index: u64, term: u64, out: &mut Vec<Output>) {
        for waiting in self.awaiting_commit.remove(&index).unwrap_or_default() {
            // One message can bring a leader both the new term and the entry that has replaced its own.
            let response = if waiting.term == term {
                waiting.response
            } else {
                CallResponse::Unavailable
            };
            waiting.call.respond(response, out);
        }
    }

    /// This controller has ceased to lead: only the next leader knows what becomes of the calls that wait for raft.
    pub(super) fn leadership_lost(&mut self, out: &mut Vec<Output>) {
        let awaiting_commit = std::mem::take(&mut self.awaiting_commit)
            .into_values()
            .flatten()
            .map(|waiting| waiting.call);
        let awaiting_read = std::mem::take(&mut self.awaiting_read)
            .into_values()
            .map(|(call, _)| call);
        for call in awaiting_commit.chain(awaiting_read) {
            call.respond(CallResponse::Unavailable, out);
        }
    }

    /// Answers calls that have waited for raft for too long.
    pub(super) fn expire(&mut self, now: Millis, out: &mut Vec<Output>) {
        for waiting in self.awaiting_commit.values_mut() {
            waiting.retain(|waiting| waiting.call.is_in_time(now, out));
        }
        self.awaiting_commit
            .retain(|_, waiting| !waiting.is_empty());
        self.awaiting_read
            .retain(|_, (call, _)| call.is_in_time(now, out));
    }
}

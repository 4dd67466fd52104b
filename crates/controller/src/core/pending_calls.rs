//! Calls that await a response. Each gets exactly one response, and their number is bounded.

use super::{Call, CallResponse, Millis, Output};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of calls that wait for Raft, and likewise of calls that wait for a leader;
/// further calls get an unavailable response.
const MAX_PENDING_CALLS: usize = 512;

/// A call that awaits its response.
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

    /// Returns whether the call's deadline has not passed; otherwise responds with unavailable.
    pub(super) fn is_in_time(&self, now: Millis, out: &mut Vec<Output>) -> bool {
        let late = self.is_late(now);
        if late {
            out.push(Output::Respond(self.number, CallResponse::Unavailable));
        }
        !late
    }
}

/// A call that gets its response once a log entry is committed.
pub(super) struct AfterCommit {
    pub(super) call: PendingCall,
    /// Term of the log entry. If an entry of another term takes the same index, the outcome of the
    /// call is unknown.
    pub(super) term: u64,
    pub(super) response: CallResponse,
}

/// What to do with a call once its read index is confirmed (Raft paper, section 8).
pub(super) enum AfterRead {
    /// Respond with the committed configuration.
    ReadConfig,
    /// Respond with a rejection that was decided in `term`, based on all log entries up to `index`.
    Reject {
        response: CallResponse,
        term: u64,
        index: u64,
    },
}

/// All pending calls, by what they wait for.
#[derive(Default)]
pub(super) struct PendingCalls {
    awaiting_leader: Vec<(PendingCall, Call)>,
    /// Calls that wait for a log entry, keyed by its index.
    awaiting_commit: BTreeMap<u64, Vec<AfterCommit>>,
    /// Calls that wait for a read, keyed by Raft's ticket for the read.
    awaiting_read: BTreeMap<u64, (PendingCall, AfterRead)>,
    /// Tickets of reads that Raft confirmed before their calls were registered in `awaiting_read`.
    confirmed_reads: BTreeSet<u64>,
}

impl PendingCalls {
    /// Returns whether the maximum number of calls wait for Raft.
    pub(super) fn is_full(&self) -> bool {
        let awaiting_commit: usize = self.awaiting_commit.values().map(Vec::len).sum();
        self.awaiting_read.len() + awaiting_commit >= MAX_PENDING_CALLS
    }

    /// Returns whether the maximum number of calls wait for a leader.
    pub(super) fn is_full_without_leader(&self) -> bool {
        self.awaiting_leader.len() >= MAX_PENDING_CALLS
    }

    pub(super) fn await_leader(&mut self, pending: PendingCall, call: Call) {
        self.awaiting_leader.push((pending, call));
    }

    /// Takes all calls that wait for a leader; the caller returns those that still wait through
    /// [`PendingCalls::await_leader`].
    pub(super) fn take_awaiting_leader(&mut self) -> Vec<(PendingCall, Call)> {
        std::mem::take(&mut self.awaiting_leader)
    }

    pub(super) fn await_commit(&mut self, index: u64, call: AfterCommit) {
        self.awaiting_commit.entry(index).or_default().push(call);
    }

    pub(super) fn await_read(&mut self, ticket: u64, call: PendingCall, after_read: AfterRead) {
        self.awaiting_read.insert(ticket, (call, after_read));
    }

    /// Handles Raft's confirmation of a read and returns the call that waits for the read. Returns
    /// `None` if no call waits, because it has expired or is registered only after Raft has
    /// confirmed the read.
    pub(super) fn read_confirmed(&mut self, ticket: u64) -> Option<(PendingCall, AfterRead)> {
        let waiting = self.awaiting_read.remove(&ticket);
        if waiting.is_none() {
            self.confirmed_reads.insert(ticket);
        }
        waiting
    }

    /// Returns whether this read was confirmed while it was being requested, and clears all such
    /// confirmations.
    pub(super) fn take_confirmed(&mut self, ticket: Option<u64>) -> bool {
        let confirmed = ticket.is_some_and(|ticket| self.confirmed_reads.contains(&ticket));
        self.confirmed_reads.clear();
        confirmed
    }

    /// Responds to the calls that wait for this entry, which is now committed.
    pub(super) fn entry_committed(&mut self, index: u64, term: u64, out: &mut Vec<Output>) {
        for waiting in self.awaiting_commit.remove(&index).unwrap_or_default() {
            // The committed entry may be that of another leader: a single message can inform a
            // leader both of a new term and of the entry that replaced its own.
            let response = if waiting.term == term {
                waiting.response
            } else {
                CallResponse::Unavailable
            };
            waiting.call.respond(response, out);
        }
    }

    /// Responds with unavailable to all calls that wait for Raft, after this controller has lost
    /// leadership: only the next leader knows their outcome.
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

    /// Responds with unavailable to calls whose deadline has passed while they waited for Raft.
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

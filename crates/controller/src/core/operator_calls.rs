//! The operator's calls `config.amend` and `config.read`.
//!
//! A definite response (200 or a rejection) is given only if no later leader can contradict it: a
//! 200 once the entry is committed; a rejection of the call's text at once; any other rejection
//! once a read index has confirmed that this controller was the leader when it decided, and the
//! entries on which the decision was based are committed. All other calls get
//! [`CallResponse::Unavailable`], and the operator repeats the call.

use super::event::Event;
use super::pending_calls::{AfterCommit, AfterRead, PendingCall};
use super::{Call, CallResponse, Core, Millis, Output, LEADER_TIMEOUT, QUORUM_TIMEOUT};
use bytes::Bytes;
use maplefall_gateway_config::{parse_amend, Change, ConfigError, Validation};
use prost::Message;

/// The position of an accepted change in the log.
struct ProposedChange {
    index: u64,
    term: u64,
}

impl Core {
    /// Validates a configuration change, and proposes it to the voters if it contains anything new.
    pub(super) fn amend(&mut self, now: Millis, call: u64, body: Bytes, out: &mut Vec<Output>) {
        let change = match parse_amend(&body) {
            Ok(change) => change,
            Err(error) => return reject(call, &error, out),
        };
        if !self.raft.is_leader() || self.is_stopping {
            return self.redirect(now, call, Call::Amend(body), out);
        }
        let last_index = self.uncommitted.catch_up(&self.raft);
        let term = self.raft.term();
        let pending = self.uncommitted.changes();
        match self.config.state().validate(pending, &change) {
            Err(error) if error.is_permanent() => reject(call, &error, out),
            Err(error) => {
                out.push(Event::CallRejected(&error).into());
                let reject = AfterRead::Reject {
                    response: CallResponse::rejected(&error),
                    term,
                    index: last_index,
                };
                self.respond_after_read(now, call, reject, out);
            }
            Ok(Validation::HistoryEvicted(kind, item, version)) => {
                let event = Event::VersionEvicted {
                    list: kind.list(),
                    item: &item,
                    version,
                };
                out.push(event.into());
                out.push(Output::Respond(call, CallResponse::Unavailable));
            }
            Ok(Validation::AlreadyApplied(index)) => {
                let items = change.items.len();
                let event = Event::AlreadyApplied { items, index };
                out.push(Output::Debug(event.to_string()));
                self.confirm_after_commit(now, call, &ProposedChange { index, term }, out);
            }
            Ok(Validation::Accepted(change)) => {
                self.propose(now, call, &change, term, body, out);
            }
        }
    }

    fn propose(
        &mut self,
        now: Millis,
        call: u64,
        change: &Change,
        term: u64,
        body: Bytes,
        out: &mut Vec<Output>,
    ) {
        if self.calls.is_full() {
            return out.push(Output::Respond(call, CallResponse::Unavailable));
        }
        let payload = change.encode_to_vec();
        let proposed = self.drive_raft(now, out, |raft, ready| raft.propose(now, payload, ready));
        match proposed {
            Some(index) => {
                self.confirm_after_commit(now, call, &ProposedChange { index, term }, out)
            }
            None => self.redirect(now, call, Call::Amend(body), out),
        }
    }

    /// Responds with the committed configuration.
    pub(super) fn read_config(&mut self, now: Millis, call: u64, out: &mut Vec<Output>) {
        if !self.raft.is_leader() {
            return self.redirect(now, call, Call::ReadConfig, out);
        }
        self.respond_after_read(now, call, AfterRead::ReadConfig, out);
    }

    /// Responds with a 200 once the entry of the call is committed.
    fn confirm_after_commit(
        &mut self,
        now: Millis,
        call: u64,
        proposed: &ProposedChange,
        out: &mut Vec<Output>,
    ) {
        let response = CallResponse::empty();
        if proposed.index <= self.raft.commit_index() {
            out.push(Output::Respond(call, response));
        } else if self.calls.is_full() {
            out.push(Output::Respond(call, CallResponse::Unavailable));
        } else {
            let after_commit = AfterCommit {
                call: PendingCall::new(call, now + QUORUM_TIMEOUT),
                term: proposed.term,
                response,
            };
            self.calls.await_commit(proposed.index, after_commit);
        }
    }

    /// Responds to a call once a read index has confirmed that this controller is the leader.
    fn respond_after_read(
        &mut self,
        now: Millis,
        call: u64,
        after_read: AfterRead,
        out: &mut Vec<Output>,
    ) {
        let pending = PendingCall::new(call, now + QUORUM_TIMEOUT);
        if self.calls.is_full() {
            return pending.respond(CallResponse::Unavailable, out);
        }
        let ticket = self.drive_raft(now, out, |raft, ready| raft.read_index(now, ready));
        let is_confirmed = self.calls.take_confirmed(ticket);
        match ticket {
            Some(_) if is_confirmed => self.read_confirmed(pending, after_read, out),
            Some(ticket) => self.calls.await_read(ticket, pending, after_read),
            None => pending.respond(CallResponse::Unavailable, out),
        }
    }

    /// Handles the confirmation that this controller was the leader after it received the call.
    pub(super) fn read_confirmed(
        &mut self,
        call: PendingCall,
        after_read: AfterRead,
        out: &mut Vec<Output>,
    ) {
        match after_read {
            AfterRead::ReadConfig => {
                call.respond(CallResponse::Ok(self.config.state().read_back()), out);
            }
            AfterRead::Reject { term, .. } if term != self.raft.term() => {
                call.respond(CallResponse::Unavailable, out);
            }
            AfterRead::Reject {
                response, index, ..
            } if index <= self.raft.commit_index() => call.respond(response, out),
            AfterRead::Reject {
                response,
                term,
                index,
            } => {
                let after_commit = AfterCommit {
                    call,
                    term,
                    response,
                };
                self.calls.await_commit(index, after_commit);
            }
        }
    }

    /// Redirects a call to the leader, or keeps the call until a leader is known.
    fn redirect(&mut self, now: Millis, number: u64, call: Call, out: &mut Vec<Output>) {
        match self.raft.leader() {
            Some(leader) if leader != self.ip => {
                let response = CallResponse::Redirect(leader.to_owned());
                out.push(Output::Respond(number, response));
            }
            _ if self.calls.is_full_without_leader() || self.is_stopping => {
                out.push(Output::Respond(number, CallResponse::Unavailable));
            }
            _ => {
                let pending = PendingCall::new(number, now + LEADER_TIMEOUT);
                self.calls.await_leader(pending, call);
            }
        }
    }

    /// Responds with unavailable to calls whose deadline has passed, and retries those that waited
    /// for a leader if there is one now.
    pub(super) fn expire_calls(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.uncommitted
            .release_if_committed(self.raft.commit_index());
        for (pending, call) in self.calls.take_awaiting_leader() {
            if pending.is_late(now) {
                pending.respond(CallResponse::Unavailable, out);
            } else if self.raft.leader().is_some_and(|leader| leader != self.ip)
                || self.raft.is_leader()
            {
                self.call(now, pending.number(), call, out);
            } else {
                self.calls.await_leader(pending, call);
            }
        }
        self.calls.expire(now, out);
        self.deregistrations.expire(now, out);
    }
}

/// Rejects a call whose text alone is invalid, so that every controller rejects it.
fn reject(call: u64, error: &ConfigError, out: &mut Vec<Output>) {
    out.push(Event::CallRejected(error).into());
    out.push(Output::Respond(call, CallResponse::rejected(error)));
}

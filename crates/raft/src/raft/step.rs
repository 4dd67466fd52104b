//! Dispatch of received messages: the check of the term, then the handler for the kind of message.
//!
//! A message of a higher term makes its receiver enter that term as a follower; a message of an
//! earlier term is rejected or ignored (paper, 5.1).

use super::constants::{Millis, MAX_TERM_OR_INDEX};
use super::{Member, Message, MessageBody, Raft, Ready};

impl Raft {
    /// Processes a message from the peer `from`. The caller guarantees the peer's name, not the
    /// content.
    pub fn step(&mut self, now: Millis, from: &str, message: Message, ready: &mut Ready) {
        // A leader that has lost quorum contact steps down before it processes a response:
        // responses that waited in a socket do not prove present contact.
        self.begin_input(now, ready);
        let term = message.term;
        let Some(body) = message.body.filter(|_| term < MAX_TERM_OR_INDEX) else {
            return;
        };
        if term > self.persistent.term && raises_term(&body) {
            self.set_term(term, "", ready);
            self.become_follower(now, None, ready);
        }
        let sender = Member {
            name: from.to_owned(),
            identity: message.identity,
        };
        self.handle(now, &sender, term, body, ready);
    }

    fn handle(
        &mut self,
        now: Millis,
        from: &Member,
        term: u64,
        body: MessageBody,
        ready: &mut Ready,
    ) {
        let is_stale = term < self.persistent.term;
        match body {
            MessageBody::RequestVote(request) => {
                self.handle_request_vote(now, &from.name, term, request, ready);
            }
            MessageBody::RequestVoteResponse(response) => {
                self.handle_vote_response(now, from, response, ready);
            }
            MessageBody::AppendEntries(_) | MessageBody::InstallSnapshot(_) if is_stale => {
                self.reject_stale_leader(&from.name, ready);
            }
            MessageBody::AppendEntries(append) => {
                self.handle_append_entries(now, &from.name, append, ready);
            }
            MessageBody::InstallSnapshot(install) => {
                self.handle_install_snapshot(now, &from.name, install, ready);
            }
            MessageBody::AppendEntriesResponse(response) if !is_stale => {
                self.handle_append_response(now, from, response, ready);
            }
            MessageBody::TimeoutNow(_) if !is_stale => {
                self.handle_timeout_now(now, &from.name, ready);
            }
            MessageBody::JoinRequest(request) => {
                let membership = request.membership.unwrap_or_default();
                self.handle_join_request(now, from, membership, ready);
            }
            MessageBody::AppendEntriesResponse(_) | MessageBody::TimeoutNow(_) => {}
        }
    }
}

/// Returns whether a message of a higher term makes its receiver enter that term. Pre-vote requests
/// and granted pre-votes carry a term that no node has entered, and a join request must not depose
/// a leader.
fn raises_term(body: &MessageBody) -> bool {
    match body {
        MessageBody::RequestVote(request) => !request.pre_vote,
        MessageBody::RequestVoteResponse(response) => !(response.pre_vote && response.granted),
        MessageBody::JoinRequest(_) => false,
        _ => true,
    }
}

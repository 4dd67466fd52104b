//! Pre-votes and elections.
//!
//! Election safety (paper, 5.2): a node grants one vote per term, a vote is persisted before it is
//! sent, and a candidate counts a vote by the identity of the voter's disk. Leader completeness
//! (5.4): a vote is granted only to a candidate whose log is at least as up to date as the voter's.
//! The pre-vote (dissertation, 9.6) keeps a node that was partitioned off from deposing a leader
//! that the other nodes follow.

use super::constants::*;
use super::progress::Progress;
use super::role::{LeaderState, Role};
use super::send_times::SendTimes;
use super::{
    uniform, EntryKind, LastLeader, Member, Message, MessageBody, PersistentUpdate, Raft, Ready,
    RequestVote, RequestVoteResponse,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

impl Raft {
    /// Requests pre-votes from the other members. A request that was rejected or lost is repeated
    /// soon, since a pre-vote does not disturb a leader.
    pub(super) fn start_pre_vote(&mut self, now: Millis, ready: &mut Ready) {
        let factor = 1.0 + 2.0 * uniform(&mut self.rng);
        self.election_deadline = now + ELECTION_RETRY_INTERVAL * factor;
        self.leader_id = None;
        let votes = BTreeSet::from([self.local_member.clone()]);
        if self.has_quorum(|member| votes.contains(member)) {
            return self.start_election(now, ready);
        }
        self.role = Role::PreCandidate { votes };
        self.request_votes(true, ready);
    }

    /// Enters the next term as a candidate, with a vote for itself.
    pub(super) fn start_election(&mut self, now: Millis, ready: &mut Ready) {
        let spread = ELECTION_TIMEOUT_SPREAD * uniform(&mut self.rng);
        self.election_deadline = now + 2.0 * ELECTION_RETRY_INTERVAL + spread;
        let name = self.local_member.name.clone();
        self.set_term(self.persistent.term + 1, &name, ready);
        self.leader_id = None;
        let votes = BTreeSet::from([self.local_member.clone()]);
        let is_elected = self.has_quorum(|member| votes.contains(member));
        self.role = Role::Candidate {
            votes,
            requested_at: now,
        };
        if is_elected {
            return self.become_leader(now, ready);
        }
        self.request_votes(false, ready);
    }

    fn request_votes(&mut self, pre_vote: bool, ready: &mut Ready) {
        let (last_log_term, last_log_index) = self.last_log_position();
        let request = RequestVote {
            pre_vote,
            last_log_index,
            last_log_term,
        };
        let term = self.persistent.term + u64::from(pre_vote);
        for name in self.peer_names() {
            let message = Message {
                term,
                ..self.message(MessageBody::RequestVote(request))
            };
            self.send_after_writes(&name, message, ready);
        }
    }

    /// Returns term and index of the last entry, by which logs are compared (paper, 5.4.1).
    fn last_log_position(&self) -> (u64, u64) {
        let last_index = self.persistent.last_index();
        let last_term = self.persistent.term_at(last_index).unwrap_or(0);
        (last_term, last_index)
    }

    /// Responds to a request for a vote or a pre-vote. Any node may grant one, even if it does not
    /// know yet that it is a member: the candidate counts it only if the response's identity is a
    /// member's.
    pub(super) fn handle_request_vote(
        &mut self,
        now: Millis,
        from: &str,
        term: u64,
        request: RequestVote,
        ready: &mut Ready,
    ) {
        let granted = if request.pre_vote {
            self.may_grant_pre_vote(now, term, &request)
        } else {
            self.may_grant_vote(from, term, &request)
        };
        if granted && !request.pre_vote {
            if self.persistent.voted_for.is_empty() {
                self.set_term(term, from, ready);
            }
            self.role = Role::Follower;
            self.reset_election_deadline(now);
        }
        let response = MessageBody::RequestVoteResponse(RequestVoteResponse {
            pre_vote: request.pre_vote,
            granted,
            requested_term: term,
        });
        let mut message = self.message(response);
        if request.pre_vote && granted {
            message.term = term;
        }
        self.send_after_writes(from, message, ready);
    }

    fn is_up_to_date(&self, request: &RequestVote) -> bool {
        (request.last_log_term, request.last_log_index) >= self.last_log_position()
    }

    /// Returns whether to grant a pre-vote. The election that it permits must not depose a leader
    /// that this node follows, or this node as the leader.
    fn may_grant_pre_vote(&self, now: Millis, term: u64, request: &RequestVote) -> bool {
        self.is_up_to_date(request)
            && term > self.persistent.term
            && !self.has_leader_role()
            && now - self.last_leader_message_at >= MIN_ELECTION_TIMEOUT
    }

    fn may_grant_vote(&self, from: &str, term: u64, request: &RequestVote) -> bool {
        let voted_for = &self.persistent.voted_for;
        let can_vote_for_candidate = voted_for.is_empty() || voted_for == from;
        self.is_up_to_date(request)
            && term == self.persistent.term
            && can_vote_for_candidate
            && matches!(self.role, Role::Follower | Role::PreCandidate { .. })
    }

    /// Counts a vote or a pre-vote. With a quorum of them, starts an election or becomes leader.
    pub(super) fn handle_vote_response(
        &mut self,
        now: Millis,
        from: &Member,
        response: RequestVoteResponse,
        ready: &mut Ready,
    ) {
        if !response.granted || !self.count_vote(from, &response) {
            return;
        }
        if response.pre_vote {
            self.start_election(now, ready);
        } else {
            self.become_leader(now, ready);
        }
    }

    /// Counts a vote if it belongs to the current request. Returns whether there is a quorum of
    /// votes.
    fn count_vote(&mut self, from: &Member, response: &RequestVoteResponse) -> bool {
        let term = self.persistent.term;
        let (votes, matches_request) = match &mut self.role {
            Role::PreCandidate { votes } => (
                votes,
                response.pre_vote && response.requested_term == term + 1,
            ),
            Role::Candidate { votes, .. } => {
                (votes, !response.pre_vote && response.requested_term == term)
            }
            Role::Follower | Role::Leader(_) => return false,
        };
        if !matches_request {
            return false;
        }
        votes.insert(from.clone());
        match &self.role {
            Role::PreCandidate { votes } | Role::Candidate { votes, .. } => {
                self.has_quorum(|member| votes.contains(member))
            }
            Role::Follower | Role::Leader(_) => false,
        }
    }

    fn become_leader(&mut self, now: Millis, ready: &mut Ready) {
        let (votes, requested_at) = match &mut self.role {
            Role::Candidate {
                votes,
                requested_at,
            } => (std::mem::take(votes), *requested_at),
            _ => (BTreeSet::new(), now),
        };
        self.role = Role::Leader(Box::new(LeaderState {
            progress: self.initial_progress(now, &votes, requested_at),
            send_times: SendTimes::after(0),
            pending_reads: VecDeque::new(),
        }));
        self.leader_id = Some(self.local_member.name.clone());
        self.last_leader_message_at = now;
        // Entries of earlier terms are committed along with this first entry of the new term
        // (paper, 5.4.2).
        self.append_entry(EntryKind::NoOp, Vec::new(), Vec::new(), ready);
        self.send_heartbeats(now, ready);
    }

    /// Returns the progress of all other members at the start of this leader's term. A vote proves
    /// contact at the time of the vote request. The last message of the previous leader is dated to
    /// when this node, as a follower, received it.
    fn initial_progress(
        &self,
        now: Millis,
        votes: &BTreeSet<Member>,
        requested_at: Millis,
    ) -> BTreeMap<String, Progress> {
        let next_index = self.persistent.last_index() + 1;
        let Member { name, .. } = &self.local_member;
        let configuration = &self.configuration;
        let members = configuration.current.iter().chain(&configuration.previous);
        let mut progress_by_name = BTreeMap::new();
        for member in members.filter(|member| member.name != *name) {
            let mut progress = Progress::new(member.identity, next_index, now);
            if votes.contains(member) {
                progress.last_contact = requested_at;
            }
            if let Some(leader) = &self.last_leader {
                if leader.name == member.name {
                    progress.last_message_at = leader.last_message_at;
                }
            }
            progress.membership_request.voter = true;
            progress_by_name
                .entry(member.name.clone())
                .or_insert(progress);
        }
        progress_by_name
    }

    /// Becomes a follower of `leader`, which is `None` until a leader sends a message.
    pub(super) fn become_follower(&mut self, now: Millis, leader: Option<&str>, ready: &mut Ready) {
        if self.has_leader_role() {
            ready.stepped_down = true;
            if self.is_leader() {
                self.retain_leader_contact(now);
            }
        }
        if leader.is_none() || leader != self.leader_id.as_deref() {
            self.verified_index = 0;
        }
        self.leader_id = leader.map(str::to_owned);
        self.role = Role::Follower;
        if let Some(leader) = leader {
            self.record_leader_message(now, leader);
        }
        self.reset_election_deadline(now);
    }

    fn record_leader_message(&mut self, now: Millis, leader: &str) {
        self.last_leader_message_at = now;
        match &mut self.last_leader {
            Some(last) if last.name == leader => last.last_message_at = now,
            last => {
                *last = Some(LastLeader {
                    name: leader.to_owned(),
                    last_message_at: now,
                });
            }
        }
    }

    /// Enters a term, or votes in the current one. `voted_for` is empty for no vote.
    pub(super) fn set_term(&mut self, term: u64, voted_for: &str, ready: &mut Ready) {
        if term > self.persistent.term {
            self.verified_index = 0;
        }
        let update = PersistentUpdate {
            term: Some(term),
            voted_for: voted_for.to_owned(),
            ..PersistentUpdate::default()
        };
        self.write(update, ready);
        self.term_write = self.last_write;
    }

    fn reset_election_deadline(&mut self, now: Millis) {
        let spread = ELECTION_TIMEOUT_SPREAD * uniform(&mut self.rng);
        self.election_deadline = now + MIN_ELECTION_TIMEOUT + spread;
    }

    /// Returns whether this node may be elected: a member that is not shutting down.
    pub(super) fn is_promotable(&self) -> bool {
        self.shutdown_since.is_none() && self.is_active(&self.local_member)
    }
}

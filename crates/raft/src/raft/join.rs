//! Nodes that hear no leader, and learners: nodes that are sent the log without a vote.
//!
//! Invariant: a request to join changes no term and deposes nobody. A learner does not count for a quorum; whether it
//! becomes a member is decided in `membership`.

use super::constants::*;
use super::progress::Progress;
use super::role::{LeaderState, Role};
use super::{JoinRequest, Member, MembershipRequest, MessageBody, Raft, Ready};

impl Raft {
    /// A node that hears no leader asks every known node to be sent the log; the leader answers. Also a member does,
    /// after a longer silence: it may have been removed while it was cut off.
    pub(super) fn request_to_join(&mut self, now: Millis, is_promotable: bool, ready: &mut Ready) {
        let (timeout, interval, earliest) = if is_promotable {
            let timeout = 2.0 * QUORUM_CONTACT_TIMEOUT;
            (timeout, QUORUM_CONTACT_TIMEOUT, self.started_at)
        } else {
            (MIN_ELECTION_TIMEOUT, JOIN_REQUEST_INTERVAL, f64::MIN)
        };
        let since_heard = now - self.last_heard.max(earliest);
        if now < self.next_join_request || since_heard <= timeout {
            return;
        }
        self.next_join_request = now + interval;
        let request = JoinRequest {
            membership: Some(self.membership_request),
        };
        self.send_after_term("", MessageBody::JoinRequest(request), ready);
    }

    /// A node that hears no leader is sent the log from now on, as a learner unless it is a member.
    pub(super) fn handle_join_request(
        &mut self,
        now: Millis,
        from: &Member,
        membership: MembershipRequest,
        ready: &mut Ready,
    ) {
        let next_index = self.persistent.last_index() + 1;
        let members = &self.configuration.current;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let is_known = leader.progress.contains_key(&from.name);
        if !is_known && learner_count(leader, members) >= MAX_LEARNERS {
            return;
        }
        let new = Progress::new(from.identity, next_index, now);
        let progress = leader
            .progress
            .entry(from.name.clone())
            .or_insert_with(|| new.clone());
        if !progress.is_for(from) {
            *progress = new;
        }
        progress.last_heard = now;
        progress.membership_request = membership;
        self.send_to(now, &from.name, ready);
    }

    /// Learners that are gone for good are forgotten.
    pub(super) fn forget_expired_learners(&mut self, now: Millis) {
        let voter_names = &self.voter_names;
        if let Role::Leader(leader) = &mut self.role {
            leader.progress.retain(|name, progress| {
                voter_names.contains(name) || now - progress.last_heard < LEARNER_EXPIRY
            });
        }
    }
}

fn learner_count(leader: &LeaderState, members: &[Member]) -> usize {
    let is_member = |name: &String| members.iter().any(|member| member.name == *name);
    let names = leader.progress.keys();
    names.filter(|name| !is_member(name)).count()
}

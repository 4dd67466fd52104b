//! Join requests of nodes without a leader, and learners: nodes that receive the log but have no
//! vote.
//!
//! Invariant: a join request changes no term and deposes no leader. A learner does not count
//! towards a quorum; `membership` decides whether it becomes a member.

use super::constants::*;
use super::progress::Progress;
use super::role::{LeaderState, Role};
use super::{JoinRequest, Member, MembershipRequest, MessageBody, Raft, Ready};

impl Raft {
    /// Sends a join request to every known node if no leader has sent a message for some time; the
    /// leader then starts to send the log. A member sends one too, after a longer wait, since it
    /// may have been removed while it was partitioned off.
    pub(super) fn request_to_join(&mut self, now: Millis, is_promotable: bool, ready: &mut Ready) {
        let (timeout, interval, earliest) = if is_promotable {
            let timeout = 2.0 * QUORUM_CONTACT_TIMEOUT;
            (timeout, QUORUM_CONTACT_TIMEOUT, self.started_at)
        } else {
            (MIN_ELECTION_TIMEOUT, JOIN_REQUEST_INTERVAL, f64::MIN)
        };
        let time_since_leader_message = now - self.last_leader_message_at.max(earliest);
        if now < self.next_join_request || time_since_leader_message <= timeout {
            return;
        }
        self.next_join_request = now + interval;
        let request = JoinRequest {
            membership: Some(self.membership_request),
        };
        self.send_after_term("", MessageBody::JoinRequest(request), ready);
    }

    /// Starts to replicate the log to the sender of a join request, as a learner unless it is a
    /// member.
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
        let new_progress = Progress::new(from.identity, next_index, now);
        let progress = leader
            .progress
            .entry(from.name.clone())
            .or_insert_with(|| new_progress.clone());
        if !progress.is_for(from) {
            *progress = new_progress;
        }
        progress.last_message_at = now;
        progress.membership_request = membership;
        self.send_to(now, &from.name, ready);
    }

    /// Removes the learners that have sent no message for [`LEARNER_EXPIRY`].
    pub(super) fn remove_expired_learners(&mut self, now: Millis) {
        let voter_names = &self.voter_names;
        if let Role::Leader(leader) = &mut self.role {
            leader.progress.retain(|name, progress| {
                voter_names.contains(name) || now - progress.last_message_at < LEARNER_EXPIRY
            });
        }
    }
}

fn learner_count(leader: &LeaderState, members: &[Member]) -> usize {
    let is_member = |name: &String| members.iter().any(|member| member.name == *name);
    let names = leader.progress.keys();
    names.filter(|name| !is_member(name)).count()
}

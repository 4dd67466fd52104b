//! Membership changes (paper, section 6; argument and timing in
//! `docs/design/control-membership.md`).
//!
//! Invariant: there is one change at a time, proposed only by a leader that has committed an entry
//! of its own term, and committed by a majority of the members before and of those after the
//! change. A new member has persisted all committed entries before it is proposed.

use super::constants::{Millis, QUORUM_CONTACT_TIMEOUT};
use super::event::{Event, MemberChange};
use super::progress::Progress;
use super::role::{LeaderState, Role};
use super::{Entry, EntryKind, Member, PersistentUpdate, Raft, Ready};

/// Maximum number of members.
pub const MAX_MEMBERS: usize = 9;
/// A member that has sent no message for this long may be replaced by a node that requests to be a
/// voter.
const REPLACE_TIMEOUT: Millis = 2000.0;
/// A node that requests to be a voter and replaces no member is added once it has been caught up
/// for this long.
const ADD_DELAY: Millis = 1500.0;
/// A member that has sent no message for longer than this is removed if there are more members than
/// `max_failures` requires.
const REMOVE_TIMEOUT: Millis = 2500.0;

/// The reason for a membership change: the payload of its entry, which is only logged.
#[derive(Clone, Copy, Debug)]
enum ChangeReason {
    /// A node of the first start of the whole system is added.
    Bootstrap,
    /// A member has returned with another disk.
    NewDisk,
    /// A node replaces an unreachable member.
    Replaces,
    /// A node is added to the existing members.
    Added,
    /// An unresponsive member is removed, and the remaining members suffice.
    Unresponsive,
}

impl ChangeReason {
    fn as_str(self) -> &'static str {
        match self {
            ChangeReason::Bootstrap => "bootstrap",
            ChangeReason::NewDisk => "new_disk",
            ChangeReason::Replaces => "replaces",
            ChangeReason::Added => "added",
            ChangeReason::Unresponsive => "unresponsive",
        }
    }
}

/// A membership change that is due.
struct MembershipChange {
    members: Vec<Member>,
    reason: ChangeReason,
}

impl Raft {
    /// Updates the configuration after the log has changed. A leader starts to replicate to new
    /// members.
    pub(super) fn refresh_configuration(&mut self) {
        self.configuration = self.persistent.configuration();
        let current = &self.configuration.current;
        let names = current.iter().map(|member| member.name.clone());
        self.voter_names = names.collect();
        let next_index = self.persistent.last_index() + 1;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        for member in current {
            if member.name != self.local_member.name {
                let new_progress = Progress::new(member.identity, next_index, self.now);
                leader
                    .progress
                    .entry(member.name.clone())
                    .or_insert(new_progress);
            }
        }
    }

    /// Proposes the membership change that is due, if any.
    pub(super) fn propose_membership_change(&mut self, now: Millis, ready: &mut Ready) {
        if !self.is_leader()
            || self.in_joint_configuration()
            || !self.is_voter()
            || self.shutdown_since.is_some()
        {
            return;
        }
        let change = self
            .leader_state()
            .and_then(|leader| self.due_change(now, leader));
        if let Some(MembershipChange { members, reason }) = change {
            let payload = reason.as_str().as_bytes().to_vec();
            self.append_entry(EntryKind::Membership, payload, members, ready);
            self.send_to_all(now, ready);
        }
    }

    /// Returns the change that is due; a promotion takes precedence over a removal.
    fn due_change(&self, now: Millis, leader: &LeaderState) -> Option<MembershipChange> {
        leader
            .progress
            .iter()
            .filter(|(_, progress)| self.may_become_voter(now, progress))
            .find_map(|(name, progress)| self.due_promotion(now, leader, name, progress))
            .or_else(|| self.due_removal(now, leader))
    }

    /// Returns whether the node requests to be a voter, is reachable, and has persisted all
    /// committed entries.
    fn may_become_voter(&self, now: Millis, progress: &Progress) -> bool {
        progress.membership_request.voter
            && !progress.membership_request.stopping
            && progress.is_reachable(now)
            && progress.match_index >= self.commit_index
    }

    fn due_promotion(
        &self,
        now: Millis,
        leader: &LeaderState,
        name: &str,
        progress: &Progress,
    ) -> Option<MembershipChange> {
        let members = &self.configuration.current;
        let promote = |replaced: Option<usize>, reason: ChangeReason| {
            let new_member = Member {
                name: name.to_owned(),
                identity: progress.identity,
            };
            let members = with_member(members, replaced, new_member);
            Some(MembershipChange { members, reason })
        };
        if let Some(position) = members.iter().position(|member| member.name == *name) {
            if progress.is_for(&members[position]) {
                return None;
            }
            return promote(Some(position), ChangeReason::NewDisk);
        }
        let is_below_limit = members.len() < MAX_MEMBERS;
        if progress.membership_request.initial && is_below_limit {
            return promote(None, ChangeReason::Bootstrap);
        }
        if let Some(position) = self.replaceable_member(now, leader) {
            return promote(Some(position), ChangeReason::Replaces);
        }
        let is_caught_up = progress
            .caught_up_since
            .is_some_and(|since| now - since >= ADD_DELAY);
        let is_reachable = |member: &Member| self.is_member_reachable(now, leader, member);
        let needs_no_replacement = !self.interchangeable || members.iter().all(is_reachable);
        if is_caught_up && needs_no_replacement && is_below_limit {
            return promote(None, ChangeReason::Added);
        }
        None
    }

    /// Returns the position of the member whose last message is the oldest, if it is old enough for
    /// another node to replace the member.
    fn replaceable_member(&self, now: Millis, leader: &LeaderState) -> Option<usize> {
        if !self.interchangeable {
            return None;
        }
        let age = |member: &Member| leader.time_since_last_message(member, now);
        let members = self.configuration.current.iter().enumerate();
        members
            .filter(|(_, member)| **member != self.local_member)
            .filter(|(_, member)| age(member) >= REPLACE_TIMEOUT)
            .max_by(|(_, a), (_, b)| age(a).total_cmp(&age(b)))
            .map(|(position, _)| position)
    }

    fn is_member_reachable(&self, now: Millis, leader: &LeaderState, member: &Member) -> bool {
        *member == self.local_member
            || leader.time_since_last_message(member, now) < QUORUM_CONTACT_TIMEOUT
    }

    /// Returns the removal of an unresponsive member if there are more members than `max_failures`
    /// requires. Several unresponsive members are removed one by one; all others must have
    /// persisted the whole log, and be a majority of the remaining members.
    fn due_removal(&self, now: Millis, leader: &LeaderState) -> Option<MembershipChange> {
        let members = &self.configuration.current;
        if !self.interchangeable || members.len() <= 2 * self.max_failures + 1 {
            return None;
        }
        let is_unresponsive = |member: &Member| {
            *member != self.local_member
                && leader.time_since_last_message(member, now) > REMOVE_TIMEOUT
        };
        let removed = members.iter().position(is_unresponsive)?;
        let mut remaining = members.clone();
        remaining.remove(removed);
        let tolerates_removal = |member: &Member| {
            is_unresponsive(member)
                || self.is_member_reachable(now, leader, member)
                    && self.has_complete_log(leader, member)
        };
        let responsive_count = remaining
            .iter()
            .filter(|member| !is_unresponsive(member))
            .count();
        let is_removable =
            remaining.iter().all(tolerates_removal) && responsive_count > remaining.len() / 2;
        is_removable.then_some(MembershipChange {
            members: remaining,
            reason: ChangeReason::Unresponsive,
        })
    }

    fn has_complete_log(&self, leader: &LeaderState, member: &Member) -> bool {
        let last_index = self.persistent.last_index();
        if *member == self.local_member && self.persisted_index >= last_index {
            return true;
        }
        leader
            .progress_of(member)
            .is_some_and(|progress| progress.match_index >= last_index)
    }

    /// Logs the membership changes among newly committed entries, and writes that they are
    /// committed: a node that restarts then needs no majority of removed members. `previous` are
    /// the members before these entries.
    pub(super) fn commit_membership(
        &mut self,
        entries: &[Entry],
        mut previous: Vec<Member>,
        ready: &mut Ready,
    ) {
        let mut members_committed = 0;
        for entry in entries {
            if entry.kind() == EntryKind::Membership {
                log_membership_change(entry, &previous, ready);
                previous.clone_from(&entry.members);
                members_committed = entry.index;
            }
        }
        if members_committed > self.persistent.members_committed {
            let update = PersistentUpdate {
                members_committed,
                ..PersistentUpdate::default()
            };
            self.write(update, ready);
        }
    }
}

/// Returns the sorted members with `new_member`, and without the one at position `replaced`.
fn with_member(members: &[Member], replaced: Option<usize>, new_member: Member) -> Vec<Member> {
    let mut members = members.to_vec();
    if let Some(position) = replaced {
        members.remove(position);
    }
    members.push(new_member);
    members.sort();
    members
}

/// Logs which members an entry adds and removes.
fn log_membership_change(entry: &Entry, previous: &[Member], ready: &mut Ready) {
    let why = String::from_utf8_lossy(&entry.payload);
    let change = |member| MemberChange {
        member,
        why: &why,
        index: entry.index,
        member_count: entry.members.len(),
    };
    for member in entry.members.iter().filter(|m| !previous.contains(m)) {
        ready.log(&Event::MemberAdded(change(member)));
    }
    for member in previous.iter().filter(|m| !entry.members.contains(m)) {
        ready.log(&Event::MemberRemoved(change(member)));
    }
}

//! Changes of members (paper, section 6; argument and timing in `docs/design/control-membership.md`).
//!
//! Invariant: one change at a time, proposed only by a leader that has committed an entry of its own term, and
//! committed by a majority of the members before and of those after. A new member has all committed entries on disk
//! before it is proposed.

use super::constants::{Millis, QUORUM_CONTACT_TIMEOUT};
use super::event::{Event, MemberChange};
use super::progress::Progress;
use super::role::{LeaderState, Role};
use super::{Entry, EntryKind, Member, PersistentUpdate, Raft, Ready};

/// Members at most.
pub const MAX_MEMBERS: usize = 9;
/// A member that has been silent for this long may be replaced by a node that asks to be a voter.
const REPLACE_TIMEOUT: Millis = 2000.0;
/// A node that asks to be a voter and replaces nobody is added once it has been caught up for this long.
const ADD_DELAY: Millis = 1500.0;
/// A member that has been silent for longer than this is removed where there are more members than `max_failures`
/// needs.
const REMOVE_TIMEOUT: Millis = 2500.0;

/// Why the members change. Only logged; the payload of the entry carries it.
#[derive(Clone, Copy, Debug)]
enum ChangeReason {
    /// A node of the first start of the whole system comes in.
    Bootstrap,
    /// A member came back without its disk.
    NewDisk,
    /// A node takes the place of a member that is silent.
    Replaces,
    /// A node comes in besides the others.
    Added,
    /// A member that is silent goes, and the others suffice.
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

/// A change of members that is due.
struct MembershipChange {
    members: Vec<Member>,
    reason: ChangeReason,
}

impl Raft {
    /// Takes the configuration from the log, after it has changed. A leader starts to replicate to new members.
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
                let new = Progress::new(member.identity, next_index, self.now);
                leader.progress.entry(member.name.clone()).or_insert(new);
            }
        }
    }

    /// Proposes the change of members that is due, if any.
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

    /// The change that is due: an admission before a removal.
    fn due_change(&self, now: Millis, leader: &LeaderState) -> Option<MembershipChange> {
        leader
            .progress
            .iter()
            .filter(|(_, progress)| self.may_become_voter(now, progress))
            .find_map(|(name, progress)| self.due_admission(now, leader, name, progress))
            .or_else(|| self.due_removal(now, leader))
    }

    /// Whether the node asks to be a voter, is reachable, and has all committed entries on disk.
    fn may_become_voter(&self, now: Millis, progress: &Progress) -> bool {
        progress.membership_request.voter
            && !progress.membership_request.stopping
            && progress.is_reachable(now)
            && progress.match_index >= self.commit_index
    }

    fn due_admission(
        &self,
        now: Millis,
        leader: &LeaderState,
        name: &str,
        progress: &Progress,
    ) -> Option<MembershipChange> {
        let members = &self.configuration.current;
        let admit = |replaced: Option<usize>, reason: ChangeReason| {
            let newcomer = Member {
                name: name.to_owned(),
                identity: progress.identity,
            };
            let members = with_member(members, replaced, newcomer);
            Some(MembershipChange { members, reason })
        };
        if let Some(position) = members.iter().position(|member| member.name == *name) {
            if progress.is_for(&members[position]) {
                return None;
            }
            return admit(Some(position), ChangeReason::NewDisk);
        }
        let is_below_limit = members.len() < MAX_MEMBERS;
        if progress.membership_request.initial && is_below_limit {
            return admit(None, ChangeReason::Bootstrap);
        }
        if let Some(position) = self.replaceable_member(now, leader) {
            return admit(Some(position), ChangeReason::Replaces);
        }
        let is_caught_up = progress
            .caught_up_since
            .is_some_and(|since| now - since >= ADD_DELAY);
        let is_reachable = |member: &Member| self.is_member_reachable(now, leader, member);
        let is_calm = !self.interchangeable || members.iter().all(is_reachable);
        if is_caught_up && is_calm && is_below_limit {
            return admit(None, ChangeReason::Added);
        }
        None
    }

    /// Position of the member that has been silent for longest, if that is long enough for another node to take its
    /// place.
    fn replaceable_member(&self, now: Millis, leader: &LeaderState) -> Option<usize> {
        if !self.interchangeable {
            return None;
        }
        let age = |member: &Member| leader.time_since_heard(member, now);
        let members = self.configuration.current.iter().enumerate();
        members
            .filter(|(_, member)| **member != self.local_member)
            .filter(|(_, member)| age(member) >= REPLACE_TIMEOUT)
            .max_by(|(_, a), (_, b)| age(a).total_cmp(&age(b)))
            .map(|(position, _)| position)
    }

    fn is_member_reachable(&self, now: Millis, leader: &LeaderState, member: &Member) -> bool {
        *member == self.local_member
            || leader.time_since_heard(member, now) < QUORUM_CONTACT_TIMEOUT
    }

    /// The removal of a silent member where there are more than `max_failures` needs. Several may be silent and go one
    /// by one; all others must have the whole log on disk, and be a majority of those that remain.
    fn due_removal(&self, now: Millis, leader: &LeaderState) -> Option<MembershipChange> {
        let members = &self.configuration.current;
        if !self.interchangeable || members.len() <= 2 * self.max_failures + 1 {
            return None;
        }
        let is_unresponsive = |member: &Member| {
            *member != self.local_member && leader.time_since_heard(member, now) > REMOVE_TIMEOUT
        };
        let removed = members.iter().position(is_unresponsive)?;
        let mut remaining = members.clone();
        remaining.remove(removed);
        let is_safe = |member: &Member| {
            is_unresponsive(member)
                || self.is_member_reachable(now, leader, member)
                    && self.has_complete_log(leader, member)
        };
        let present = remaining
            .iter()
            .filter(|member| !is_unresponsive(member))
            .count();
        let may_remove = remaining.iter().all(is_safe) && present > remaining.len() / 2;
        may_remove.then_some(MembershipChange {
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

    /// Logs the changes of members among entries that have just been committed, and writes that they are: a restart
    /// then needs no majority of members that were removed. `previous` are the members before.
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

/// The members with a further one, in order; the one at position `replaced` goes.
fn with_member(members: &[Member], replaced: Option<usize>, newcomer: Member) -> Vec<Member> {
    let mut members = members.to_vec();
    if let Some(position) = replaced {
        members.remove(position);
    }
    members.push(newcomer);
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

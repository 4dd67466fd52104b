//! Majorities of the active member sets.
//!
//! Invariant: while a membership change is not known to be committed, a quorum is a majority of the
//! members before it *and* of those after it, so that any two quorums intersect (paper, section 6,
//! joint consensus; `docs/design/control-membership.md` shows why one entry suffices).

use super::Raft;
use crate::message::Member;
use std::cmp::Ordering;
use std::collections::BTreeSet;

impl Raft {
    /// Returns the member sets of which a quorum needs a majority each: two in a joint
    /// configuration, otherwise one.
    pub(super) fn active_sets(&self) -> impl Iterator<Item = &Vec<Member>> {
        let previous = self
            .in_joint_configuration()
            .then_some(&self.configuration.previous);
        std::iter::once(&self.configuration.current).chain(previous)
    }

    /// Returns whether the member is in any of the active sets.
    pub(super) fn is_active(&self, member: &Member) -> bool {
        self.active_sets().any(|set| set.contains(member))
    }

    /// Returns the names of all members of the active sets other than this node.
    pub(super) fn peer_names(&self) -> BTreeSet<String> {
        self.active_sets()
            .flatten()
            .filter(|member| member.name != self.local_member.name)
            .map(|member| member.name.clone())
            .collect()
    }

    /// Returns the highest value that a majority of every active set reaches; `lowest` if a set is
    /// empty.
    pub(super) fn quorum_value<T: PartialOrd + Copy>(
        &self,
        lowest: T,
        value: impl Fn(&Member) -> T,
    ) -> T {
        let mut reached_by_all: Option<T> = None;
        for set in self.active_sets() {
            let reached = majority_value(set, lowest, &value);
            if reached_by_all.is_none_or(|other| reached < other) {
                reached_by_all = Some(reached);
            }
        }
        reached_by_all.unwrap_or(lowest)
    }

    /// Returns whether the predicate holds for a majority of every active set.
    pub(super) fn has_quorum(&self, predicate: impl Fn(&Member) -> bool) -> bool {
        self.quorum_value(0, |member| u8::from(predicate(member))) > 0
    }
}

/// Returns the highest value that a majority of the set reaches; `lowest` if the set is empty.
fn majority_value<T: PartialOrd + Copy>(
    set: &[Member],
    lowest: T,
    value: impl Fn(&Member) -> T,
) -> T {
    let mut values: Vec<T> = set.iter().map(value).collect();
    values.sort_unstable_by(|a, b| b.partial_cmp(a).unwrap_or(Ordering::Equal));
    values.get(set.len() / 2).copied().unwrap_or(lowest)
}

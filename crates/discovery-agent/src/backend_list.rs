//! The list of backends of an agent.

use crate::parse::{ListUpdate, PartialEntry};
use maplefall_membership::MAX_BACKENDS;
use maplefall_policy::Millis;
use maplefall_protocol::{Health, Member};
use std::collections::BTreeMap;

/// The backends that are not removed, by name; at most [`MAX_BACKENDS`].
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct BackendList(BTreeMap<String, Member>);

/// The entries of an update, completed from a list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Entries {
    /// The valid entries, and stops from entries that are otherwise unreadable.
    pub(crate) members: Vec<Member>,
    /// The names of the other invalid entries; their previous entries stay.
    pub(crate) unreadable: Vec<String>,
}

impl BackendList {
    pub(crate) fn new(members: &[Member]) -> BackendList {
        let mut list = BackendList::default();
        for member in members {
            list.apply_entry(member);
        }
        list
    }

    pub(crate) fn members(&self) -> Vec<Member> {
        self.0.values().cloned().collect()
    }

    /// Applies an entry. A new backend beyond [`MAX_BACKENDS`] is left out, as in the endpoint
    /// list, which reports it.
    fn apply_entry(&mut self, member: &Member) {
        if member.health == Health::Removed {
            self.0.remove(&member.host);
        } else if self.0.len() < MAX_BACKENDS || self.0.contains_key(&member.host) {
            self.0.insert(member.host.clone(), member.clone());
        }
    }

    /// Completes the entries of an update: a stop from a partial entry gets its other fields from
    /// the entry in this list.
    pub(crate) fn complete(&self, update: &ListUpdate) -> Entries {
        let mut entries = Entries {
            members: update.members.hosts.clone(),
            unreadable: Vec::new(),
        };
        let partial_entries = update
            .rejected
            .iter()
            .filter_map(|rejected| rejected.partial.as_ref());
        for partial in partial_entries {
            match self.stop_of(partial) {
                Some(stop) => entries.members.push(stop),
                None => entries.unreadable.push(partial.host.clone()),
            }
        }
        entries
    }

    fn stop_of(&self, partial: &PartialEntry) -> Option<Member> {
        let health = partial.stop?;
        let known = self.0.get(&partial.host)?;
        Some(Member {
            health,
            born_ms: partial.born_ms.unwrap_or(known.born_ms),
            ..known.clone()
        })
    }

    /// Applies changes, or replaces the list by a complete one. Previous entries of names that
    /// could not be read stay.
    pub(crate) fn apply(&mut self, is_complete: bool, entries: &Entries) {
        if !is_complete {
            self.apply_changes(&entries.members);
            return;
        }
        let mut list = BackendList::new(&entries.members);
        for host in &entries.unreadable {
            if let Some(previous) = self.0.remove(host) {
                list.0.insert(host.clone(), previous);
            }
        }
        *self = list;
    }

    pub(crate) fn apply_changes(&mut self, members: &[Member]) {
        for member in members {
            self.apply_entry(member);
        }
    }

    /// Returns the entries that stop a backend in the instance known here, or in a later one.
    pub(crate) fn stops(&self, entries: &[Member]) -> Vec<Member> {
        let is_stop = |entry: &&Member| {
            let Some(known) = self.0.get(&entry.host) else {
                return false;
            };
            let is_stronger = match entry.health {
                Health::Up => false,
                Health::Draining => known.health == Health::Up || entry.born_ms > known.born_ms,
                Health::Removed => true,
            };
            is_stronger && entry.born_ms >= known.born_ms
        };
        entries.iter().filter(is_stop).cloned().collect()
    }
}

/// Returns whether an entry has an instance that started after this time.
pub(crate) fn has_newer_instance(entries: &[Member], since: Millis) -> bool {
    entries.iter().any(|entry| entry.born_ms > since)
}

//! A list of backends as somebody tells it.

use crate::line::{Spoilt, Word};
use maplefall_membership::MOST_NODES;
use maplefall_policy::Millis;
use maplefall_protocol::{Health, Member};
use std::collections::BTreeMap;

/// The backends that are not gone, by name; [`MOST_NODES`] at most.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct List(BTreeMap<String, Member>);

impl List {
    pub fn new(members: &[Member]) -> List {
        let mut list = List::default();
        members.iter().for_each(|member| list.put(member));
        list
    }

    pub fn get(&self, host: &str) -> Option<&Member> {
        self.0.get(host)
    }

    /// Takes an entry in; a further backend where [`MOST_NODES`] are held is left out, as the roster leaves it out and tells.
    pub fn put(&mut self, member: &Member) {
        if member.health == Health::Removed {
            self.0.remove(&member.host);
        } else if self.0.len() < MOST_NODES || self.0.contains_key(&member.host) {
            self.0.insert(member.host.clone(), member.clone());
        }
    }

    pub fn members(&self) -> Vec<Member> {
        self.0.values().cloned().collect()
    }

    /// What a word says, with stops by entries that say no more than that, and the names of the others that cannot be used.
    /// What was said of the latter stands.
    pub fn read(&self, word: &Word) -> (Vec<Member>, Vec<String>) {
        let (mut entries, mut unread) = (word.members.hosts.clone(), Vec::new());
        for Spoilt {
            host,
            stop,
            born_ms,
        } in word
            .passed_over
            .iter()
            .filter_map(|passed| passed.host.as_ref())
        {
            let stopped = stop.and_then(|health| {
                let had = self.get(host)?;
                Some(Member {
                    health,
                    born_ms: born_ms.unwrap_or(had.born_ms),
                    ..had.clone()
                })
            });
            match stopped {
                Some(stopped) => entries.push(stopped),
                None => unread.push(host.clone()),
            }
        }
        (entries, unread)
    }

    /// Takes in entries that were read, and for a whole list what of the former one stands.
    pub fn take(&mut self, whole: bool, entries: &[Member], unread: &[String]) {
        if whole {
            let mut fresh = List::new(entries);
            for host in unread {
                if let Some(stands) = self.0.remove(host) {
                    fresh.0.insert(host.clone(), stands);
                }
            }
            *self = fresh;
        } else {
            entries.iter().for_each(|entry| self.put(entry));
        }
    }

    /// Whether an entry names a life that began after `since`.
    pub fn newer_life(entries: &[Member], since: Millis) -> bool {
        entries.iter().any(|entry| entry.born_ms > since)
    }

    /// The entries that stop a backend in the life that it has here, or in a later one.
    pub fn stops(&self, entries: &[Member]) -> Vec<Member> {
        let stops = |entry: &&Member| {
            let Some(had) = self.get(&entry.host) else {
                return false;
            };
            let stronger = match entry.health {
                Health::Up => false,
                Health::Draining => had.health == Health::Up || entry.born_ms > had.born_ms,
                Health::Removed => true,
            };
            stronger && entry.born_ms >= had.born_ms
        };
        entries.iter().filter(stops).cloned().collect()
    }
}

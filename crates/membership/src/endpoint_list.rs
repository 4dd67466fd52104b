//! The merged endpoint list, updated incrementally by the events of its sources.
//!
//! Invariant: the changes that were returned, applied one after the other, give the list that
//! results from the rules of the package.

use crate::addresses::Addresses;
use crate::interface::{Event, Report, SourceSettings, Update};
use crate::merge::merge;
use crate::source::{Changed, LatestStarts, Source};
use maplefall_policy::Millis;
use maplefall_protocol::{Health, Member, Members};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The list of backends, merged from several sources.
#[derive(Debug)]
pub struct EndpointList {
    sources: Vec<Source>,
    /// The merged entries of backends that are not removed, before shared addresses are resolved.
    merged: BTreeMap<String, Member>,
    /// The same backends by address.
    addresses: Addresses,
    /// The returned entries of backends that are not removed.
    returned: BTreeMap<String, Member>,
}

impl EndpointList {
    /// Creates an empty list with these sources, the one with precedence first.
    pub fn new(sources: Vec<SourceSettings>) -> EndpointList {
        EndpointList {
            sources: sources.into_iter().map(Source::new).collect(),
            merged: BTreeMap::new(),
            addresses: Addresses::default(),
            returned: BTreeMap::new(),
        }
    }

    /// Restores a list that an earlier incarnation of this process had, as if the source had sent
    /// it without a version: any event of the source supersedes it.
    pub fn restore(&mut self, now: Millis, source: usize, members: &Members) -> Update {
        let Some(source) = self.sources.get_mut(source) else {
            return Update::default();
        };
        let changed = source.restore(&members.hosts);
        self.update(now, changed)
    }

    /// Returns all entries of each source, stops included, for a later incarnation to pass to
    /// [`EndpointList::restore`].
    pub fn source_entries(&self) -> impl Iterator<Item = (&SourceSettings, Members)> {
        self.sources.iter().map(|source| {
            let members = Members {
                seq: 0,
                whole: true,
                hosts: source.entries(),
            };
            (&source.settings, members)
        })
    }

    /// Applies an event of a source. The cost grows with the backends in the event and those that
    /// share their addresses; only a snapshot, and a source that expires or reconnects, cost time
    /// for all backends of a source.
    pub fn apply_event(&mut self, now: Millis, event: Event) -> Update {
        let latest_starts = self.latest_starts_for(&event);
        let (Event::Snapshot { source, .. }
        | Event::Change { source, .. }
        | Event::Lost { source }
        | Event::Resumed { source }
        | Event::Replaced { source }) = event;
        let Some(source) = self.sources.get_mut(source) else {
            return Update::default();
        };
        let mut changed = Changed::default();
        match event {
            Event::Snapshot {
                members,
                unreadable,
                ..
            } => changed = source.apply_snapshot(now, members, &unreadable, &latest_starts),
            Event::Change { members, .. } => changed = source.apply_change(members, &latest_starts),
            Event::Lost { .. } => source.mark_lost(now),
            Event::Resumed { .. } => source.mark_connected(),
            Event::Replaced { .. } => source.restart_versions(),
        }
        self.update(now, changed)
    }

    /// Expires lost sources, and removes backends whose suspicion timeout has passed.
    pub fn tick(&mut self, now: Millis) -> Update {
        self.update(now, Changed::default())
    }

    /// Returns when [`EndpointList::tick`] is due; `None` if nothing is.
    pub fn next_due(&self) -> Option<Millis> {
        let due = self.sources.iter().filter_map(Source::next_due);
        due.min_by(f64::total_cmp)
    }

    /// Returns the backends that are not removed, as last returned in an update.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.returned.values()
    }

    // ---- Instances ------------------------------------------------------------------------------

    /// Returns the latest start over all sources of each backend that an event concerns: those in
    /// the event and, for a snapshot, all of the source. A stop applies to the instances known to
    /// any source.
    fn latest_starts_for(&self, event: &Event) -> LatestStarts {
        let (Event::Snapshot { members, .. } | Event::Change { members, .. }) = event else {
            return LatestStarts::new();
        };
        let mut hosts: Vec<&str> = Vec::new();
        hosts.extend(members.hosts.iter().map(|member| member.host.as_str()));
        if let Event::Snapshot { source, .. } = event {
            let source = self.sources.get(*source);
            hosts.extend(source.into_iter().flat_map(Source::hosts));
        }
        self.latest_starts(hosts.into_iter())
    }

    /// Returns the latest start of each of these backends over all sources.
    fn latest_starts<'a>(&self, hosts: impl Iterator<Item = &'a str>) -> LatestStarts {
        let latest_start = |host: &str| {
            let records = self.sources.iter().filter_map(|source| source.record(host));
            records
                .map(|record| record.member.born_ms)
                .fold(0.0, f64::max)
        };
        hosts
            .map(|host| (host.to_owned(), latest_start(host)))
            .collect()
    }

    // ---- Updates --------------------------------------------------------------------------------

    /// Recomputes the list after a change of the sources, and returns what changed in it.
    fn update(&mut self, now: Millis, mut changed: Changed) -> Update {
        self.remove_suspected(now, &mut changed);
        let expired = self.expire_sources(now, &mut changed);
        let Changed {
            mut hosts,
            mut reports,
        } = changed;
        let mut addresses = BTreeSet::new();
        for host in &hosts {
            self.merge_backend(host, &mut addresses);
        }
        for address in addresses {
            self.addresses
                .assign_owner(address, &self.merged, &mut hosts, &mut reports);
        }
        let changes = self.return_changes(hosts, &expired, &mut reports);
        Update { changes, reports }
    }

    /// Removes backends whose suspicion timeout has passed (rule 3).
    fn remove_suspected(&mut self, now: Millis, changed: &mut Changed) {
        for index in 0..self.sources.len() {
            let due = self.sources[index].suspicions_due(now);
            if !due.is_empty() {
                let latest_starts = self.latest_starts(due.iter().map(String::as_str));
                self.sources[index].remove_suspected(&due, &latest_starts, changed);
            }
        }
    }

    /// Expires lost sources, and restores the backends of reconnected ones (rule 4). Returns the
    /// backends of sources that have just expired.
    fn expire_sources(&mut self, now: Millis, changed: &mut Changed) -> BTreeSet<String> {
        let any_connected = self.sources.iter().any(Source::is_connected);
        let mut expired = BTreeSet::new();
        for source in &mut self.sources {
            if !source.update_expiry(now, any_connected) {
                continue;
            }
            changed.hosts.extend(source.hosts().map(str::to_owned));
            if source.is_expired() {
                expired.extend(source.hosts().map(str::to_owned));
            }
        }
        expired
    }

    /// Merges the entry of a backend again, and adds its old and new address to `addresses` if it
    /// changed.
    fn merge_backend(&mut self, host: &str, addresses: &mut BTreeSet<SocketAddr>) {
        let merged = merge(&self.sources, host);
        let previous = self.merged.get(host);
        if previous == merged.as_ref() {
            return;
        }
        if let Some(previous) = previous {
            addresses.insert(previous.dial);
            self.addresses.remove(previous.dial, host);
        }
        match merged {
            Some(member) => {
                addresses.insert(member.dial);
                self.addresses.add(member.dial, host);
                self.merged.insert(host.to_owned(), member);
            }
            None => {
                self.merged.remove(host);
                self.addresses.clear_displaced(host);
            }
        }
    }

    /// Returns the changes of these backends since they were last returned, stops first.
    fn return_changes(
        &mut self,
        hosts: BTreeSet<String>,
        expired: &BTreeSet<String>,
        reports: &mut Vec<Report>,
    ) -> Vec<Member> {
        let (mut stops, mut ups) = (Vec::new(), Vec::new());
        for host in hosts {
            let current = self
                .merged
                .get(&host)
                .filter(|_| !self.addresses.is_displaced(&host));
            if let Some(member) = current {
                if self.returned.get(&host) == Some(member) {
                    continue;
                }
                let changes = if member.health == Health::Up {
                    &mut ups
                } else {
                    &mut stops
                };
                changes.push(member.clone());
                self.returned.insert(host, member.clone());
            } else if let Some(previous) = self.returned.remove(&host) {
                stops.push(Member {
                    health: Health::Removed,
                    ..previous
                });
                if expired.contains(&host) {
                    reports.push(Report::Expired { host });
                }
            }
        }
        stops.append(&mut ups);
        stops
    }
}

//! The entries of one source, its versions, its suspected backends and its expiry (rules 1, 3 and
//! 4).

use crate::interface::{Report, SourceSettings, MAX_BACKENDS};
use maplefall_policy::Millis;
use maplefall_protocol::{Health, Member, Members};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The maximum number of removed backends whose stops a source keeps; beyond it the oldest are
/// evicted.
const MAX_STOPS: usize = 4096;
/// Removals in one event are reported if there are at least this many and they are over half of the
/// source's backends.
const MIN_MASS_REMOVAL: usize = 3;

/// The state of a backend in one source.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Record {
    /// The backend's entry. The entry of a removed backend is kept, as it is a stop.
    pub(crate) member: Member,
    /// For a stop: the latest start known when it was received.
    pub(crate) stopped_up_to: Millis,
    /// The sequence number of the record in this source.
    sequence: u64,
}

impl Record {
    pub(crate) fn is_listed(&self) -> bool {
        self.member.health != Health::Removed
    }
}

/// The backends that an event concerns, by name, each with its latest start over all sources.
pub(crate) type LatestStarts = BTreeMap<String, Millis>;

/// The effects of an event on a source.
#[derive(Debug, Default)]
pub(crate) struct Changed {
    /// The backends whose records have changed.
    pub(crate) hosts: BTreeSet<String>,
    /// The conditions to be logged.
    pub(crate) reports: Vec<Report>,
}

/// A source with its records.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) settings: SourceSettings,
    records: BTreeMap<String, Record>,
    /// The number of records that are not removed.
    listed: usize,
    last_sequence: u64,
    version: Option<u64>,
    lost_since: Option<Millis>,
    /// Whether any event was applied.
    has_begun: bool,
    /// Whether the source was lost for so long that its backends have expired.
    is_expired: bool,
    /// The removed backends with the sequence numbers of their records, the oldest first.
    stops: VecDeque<(String, u64)>,
    /// The suspected backends, and when each was first missing from a snapshot.
    suspected: BTreeMap<String, Millis>,
}

impl Source {
    pub(crate) fn new(settings: SourceSettings) -> Source {
        Source {
            settings,
            records: BTreeMap::new(),
            listed: 0,
            last_sequence: 0,
            version: None,
            lost_since: None,
            has_begun: false,
            is_expired: false,
            stops: VecDeque::new(),
            suspected: BTreeMap::new(),
        }
    }

    /// Returns whether the source is connected, and so would list a missing backend again.
    pub(crate) fn is_connected(&self) -> bool {
        self.has_begun && self.lost_since.is_none()
    }

    pub(crate) fn is_expired(&self) -> bool {
        self.is_expired
    }

    pub(crate) fn record(&self, host: &str) -> Option<&Record> {
        self.records.get(host)
    }

    pub(crate) fn hosts(&self) -> impl Iterator<Item = &str> {
        self.records.keys().map(String::as_str)
    }

    // ---- Persistence ----------------------------------------------------------------------------

    /// Returns all entries in the form that [`Source::restore`] takes: a removal has the latest
    /// start to which it applies.
    pub(crate) fn entries(&self) -> Vec<Member> {
        let entry = |record: &Record| match record.member.health {
            Health::Removed => Member {
                born_ms: record.stopped_up_to,
                ..record.member.clone()
            },
            Health::Up | Health::Draining => record.member.clone(),
        };
        self.records.values().map(entry).collect()
    }

    pub(crate) fn restore(&mut self, members: &[Member]) -> Changed {
        let mut changed = Changed::default();
        self.apply_members(members.to_vec(), &LatestStarts::new(), &mut changed);
        changed
    }

    // ---- Connection and versions ----------------------------------------------------------------

    pub(crate) fn mark_lost(&mut self, now: Millis) {
        self.lost_since.get_or_insert(now);
    }

    pub(crate) fn mark_connected(&mut self) {
        self.lost_since = None;
    }

    /// Resets the versions, as another service responds under this source's name. That service can
    /// have backends that the previous one lacked, so suspicions are cleared too.
    pub(crate) fn restart_versions(&mut self) {
        self.version = None;
        self.suspected.clear();
    }

    /// Returns whether a version is above the last one, and records it if so.
    fn accept_version(&mut self, version: u64) -> bool {
        if self.version.is_some_and(|last| version <= last) {
            return false;
        }
        self.version = Some(version);
        self.has_begun = true;
        self.lost_since = None;
        true
    }

    // ---- Events ---------------------------------------------------------------------------------

    pub(crate) fn apply_snapshot(
        &mut self,
        now: Millis,
        members: Members,
        unreadable: &[String],
        latest_starts: &LatestStarts,
    ) -> Changed {
        let mut changed = Changed::default();
        if !self.accept_version(members.seq) {
            return changed;
        }
        let named: BTreeSet<&str> = members
            .hosts
            .iter()
            .map(|member| member.host.as_str())
            .chain(unreadable.iter().map(String::as_str))
            .collect();
        self.suspected
            .retain(|host, _| !named.contains(host.as_str()));
        let missing = self
            .records
            .iter()
            .filter(|(host, record)| record.is_listed() && !named.contains(host.as_str()))
            .map(|(host, _)| host.clone())
            .collect();
        self.remove_or_suspect(now, missing, latest_starts, &mut changed);
        self.apply_members(members.hosts, latest_starts, &mut changed);
        changed
    }

    /// Removes backends that a snapshot lacks, or suspects them if there are too many.
    fn remove_or_suspect(
        &mut self,
        now: Millis,
        mut missing: Vec<String>,
        latest_starts: &LatestStarts,
        changed: &mut Changed,
    ) {
        let max_missing_fraction = self.settings.max_missing_fraction;
        let is_accepted =
            |missing: usize, total: usize| missing as f64 <= max_missing_fraction * total as f64;
        let mut total = self.listed;
        if !is_accepted(missing.len(), total) {
            // Backends already suspected have their own timeout. If they were counted, every later
            // removal would be suspected too.
            missing.retain(|host| !self.suspected.contains_key(host));
            total -= self.suspected.len();
        }
        if is_accepted(missing.len(), total) {
            self.report_mass_removal(missing.len(), total, changed);
            self.remove(&missing, latest_starts, changed);
            return;
        }
        changed.reports.push(Report::BackendsSuspected {
            source: self.settings.name.clone(),
            missing: missing.len(),
            total,
        });
        let suspected = missing.into_iter().map(|host| (host, now));
        self.suspected.extend(suspected);
    }

    pub(crate) fn apply_change(
        &mut self,
        members: Members,
        latest_starts: &LatestStarts,
    ) -> Changed {
        let mut changed = Changed::default();
        if !self.accept_version(members.seq) {
            return changed;
        }
        let removed = members
            .hosts
            .iter()
            .filter(|member| member.health == Health::Removed)
            .count();
        self.report_mass_removal(removed, self.listed, &mut changed);
        self.apply_members(members.hosts, latest_starts, &mut changed);
        changed
    }

    fn report_mass_removal(&self, removed: usize, total: usize, changed: &mut Changed) {
        if removed >= MIN_MASS_REMOVAL && removed * 2 > total {
            changed.reports.push(Report::MassRemoval {
                source: self.settings.name.clone(),
                removed,
                total,
            });
        }
    }

    // ---- Suspicion ------------------------------------------------------------------------------

    /// Returns the backends whose suspicion timeout has passed; none unless the source is
    /// connected.
    pub(crate) fn suspicions_due(&self, now: Millis) -> Vec<String> {
        if self.suspected.is_empty() || !self.is_connected() {
            return Vec::new();
        }
        self.suspected
            .iter()
            .filter(|(_, since)| now - **since >= self.settings.suspicion_timeout)
            .map(|(host, _)| host.clone())
            .collect()
    }

    /// Removes backends whose suspicion timeout has passed.
    pub(crate) fn remove_suspected(
        &mut self,
        hosts: &[String],
        latest_starts: &LatestStarts,
        changed: &mut Changed,
    ) {
        self.report_mass_removal(hosts.len(), self.listed, changed);
        self.remove(hosts, latest_starts, changed);
        self.evict_stops(changed);
    }

    // ---- Records --------------------------------------------------------------------------------

    fn remove(&mut self, hosts: &[String], latest_starts: &LatestStarts, changed: &mut Changed) {
        for host in hosts {
            let Some(record) = self.records.get(host) else {
                continue;
            };
            let member = Member {
                health: Health::Removed,
                ..record.member.clone()
            };
            self.set_record(member, latest_starts, changed);
        }
    }

    fn apply_members(
        &mut self,
        members: Vec<Member>,
        latest_starts: &LatestStarts,
        changed: &mut Changed,
    ) {
        let mut left_out = 0;
        for member in members {
            // Stops are bounded separately by `MAX_STOPS`.
            if member.health != Health::Removed && !self.has_capacity(&member.host) {
                left_out += 1;
            } else {
                self.set_record(member, latest_starts, changed);
            }
        }
        self.evict_stops(changed);
        if left_out > 0 {
            changed.reports.push(Report::CapacityReached {
                source: self.settings.name.clone(),
                left_out,
            });
        }
    }

    fn has_capacity(&self, host: &str) -> bool {
        self.listed < MAX_BACKENDS || self.record(host).is_some_and(Record::is_listed)
    }

    fn evict_stops(&mut self, changed: &mut Changed) {
        while self.stops.len() > MAX_STOPS {
            let Some((host, sequence)) = self.stops.pop_front() else {
                break;
            };
            // Since this stop the backend can have been listed again, and even removed again.
            let record = self.records.get(&host);
            if record.is_some_and(|record| record.sequence == sequence) {
                self.records.remove(&host);
                changed.hosts.insert(host);
            }
        }
    }

    /// Replaces the record of a backend.
    fn set_record(&mut self, member: Member, latest_starts: &LatestStarts, changed: &mut Changed) {
        self.last_sequence += 1;
        let host = member.host.clone();
        let latest_start = latest_starts.get(&host).copied().unwrap_or(0.0);
        let record = Record {
            stopped_up_to: latest_start.max(member.born_ms),
            member,
            sequence: self.last_sequence,
        };
        self.suspected.remove(&host);
        changed.hosts.insert(host.clone());
        if record.is_listed() {
            self.listed += 1;
        } else {
            self.stops.push_back((host.clone(), self.last_sequence));
        }
        let previous = self.records.insert(host, record);
        if previous.is_some_and(|previous| previous.is_listed()) {
            self.listed -= 1;
        }
    }

    // ---- Time -----------------------------------------------------------------------------------

    /// Updates whether the source is expired, and returns whether that changed. The backends of an
    /// expired source count as not listed; its stops stay in force.
    pub(crate) fn update_expiry(&mut self, now: Millis, any_connected: bool) -> bool {
        let was_expired = self.is_expired;
        self.is_expired = any_connected
            && self
                .lost_since
                .is_some_and(|since| now - since >= self.settings.expiry_timeout);
        self.is_expired != was_expired
    }

    /// Returns when an expiry or a suspicion timeout is due.
    pub(crate) fn next_due(&self) -> Option<Millis> {
        let may_expire = self.listed > 0 && !self.is_expired;
        let expiry = self
            .lost_since
            .filter(|_| may_expire)
            .map(|since| since + self.settings.expiry_timeout);
        let first_suspicion = self
            .suspected
            .values()
            .copied()
            .min_by(f64::total_cmp)
            .filter(|_| self.is_connected())
            .map(|since| since + self.settings.suspicion_timeout);
        expiry
            .into_iter()
            .chain(first_suspicion)
            .filter(|due| due.is_finite())
            .min_by(f64::total_cmp)
    }
}

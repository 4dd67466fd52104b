//! Random histories of three sources, compared with a reference model that merges everything again
//! after each event, by the rules of the package. After every event the endpoint list equals the
//! model's, and the returned changes, applied one after the other, give the same list.

use maplefall_membership::{EndpointList, Event, SourceSettings};
use maplefall_protocol::{Health, Member, Members};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeMap;

const HOSTS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn settings() -> Vec<SourceSettings> {
    vec![
        SourceSettings::trusted("agent"),
        SourceSettings {
            max_missing_fraction: 0.4,
            suspicion_timeout: 50.0,
            expiry_timeout: 80.0,
            ..SourceSettings::trusted("etcd")
        },
        SourceSettings {
            authoritative: false,
            expiry_timeout: 40.0,
            ..SourceSettings::trusted("file")
        },
    ]
}

/// The state of a backend in one source.
struct Record {
    member: Member,
    /// The latest start to which a stop applies.
    stopped_up_to: f64,
    suspected_since: Option<f64>,
}

#[derive(Default)]
struct ModelSource {
    records: BTreeMap<String, Record>,
    version: Option<u64>,
    lost_since: Option<f64>,
    has_begun: bool,
    is_expired: bool,
}

struct Model {
    settings: Vec<SourceSettings>,
    sources: Vec<ModelSource>,
}

impl Model {
    fn latest_start(&self, host: &str) -> f64 {
        self.sources
            .iter()
            .filter_map(|source| source.records.get(host))
            .map(|record| record.member.born_ms)
            .fold(0.0, f64::max)
    }

    fn set_record(&mut self, source: usize, member: &Member) {
        let stopped_up_to = self.latest_start(&member.host).max(member.born_ms);
        self.sources[source].records.insert(
            member.host.clone(),
            Record {
                member: member.clone(),
                stopped_up_to,
                suspected_since: None,
            },
        );
    }

    fn apply_event(&mut self, now: f64, event: &Event) {
        match event {
            Event::Lost { source } => {
                self.sources[*source].lost_since.get_or_insert(now);
            }
            Event::Resumed { source } => self.sources[*source].lost_since = None,
            Event::Replaced { source } => {
                self.sources[*source].version = None;
                self.sources[*source]
                    .records
                    .values_mut()
                    .for_each(|record| record.suspected_since = None);
            }
            Event::Snapshot {
                source, members, ..
            }
            | Event::Change { source, members } => {
                let state = &mut self.sources[*source];
                if state.version.is_some_and(|last| members.seq <= last) {
                    return self.apply_timeouts(now);
                }
                (state.version, state.has_begun, state.lost_since) =
                    (Some(members.seq), true, None);
                if let Event::Snapshot { unreadable, .. } = event {
                    self.apply_missing(now, *source, members, unreadable);
                }
                // The starts are those known before the event: a stop in it does not apply to
                // another instance in the same event.
                members
                    .hosts
                    .iter()
                    .for_each(|member| self.set_record(*source, member));
            }
        }
        self.apply_timeouts(now);
    }

    fn apply_missing(&mut self, now: f64, source: usize, members: &Members, unreadable: &[String]) {
        let settings = self.settings[source].clone();
        let state = &mut self.sources[source];
        for host in unreadable {
            if let Some(record) = state.records.get_mut(host) {
                record.suspected_since = None;
            }
        }
        let named = |host: &String| {
            members.hosts.iter().any(|m| m.host == *host) || unreadable.contains(host)
        };
        for (host, record) in &mut state.records {
            if named(host) {
                record.suspected_since = None;
            }
        }
        let is_accepted = |missing: usize, total: usize| {
            missing as f64 <= settings.max_missing_fraction * total as f64
        };
        let listed = state
            .records
            .iter()
            .filter(|(_, record)| record.member.health != Health::Removed);
        let listed: Vec<(String, bool)> = listed
            .map(|(host, record)| (host.clone(), record.suspected_since.is_some()))
            .collect();
        let missing: Vec<&String> = listed
            .iter()
            .map(|(host, _)| host)
            .filter(|host| !named(host))
            .collect();
        if is_accepted(missing.len(), listed.len()) {
            return missing
                .into_iter()
                .for_each(|host| self.remove(source, host));
        }
        // Backends already suspected count neither as listed nor as missing.
        let trusted: Vec<&String> = listed
            .iter()
            .filter(|(_, suspected)| !suspected)
            .map(|(host, _)| host)
            .collect();
        let newly_missing: Vec<&String> = trusted
            .iter()
            .copied()
            .filter(|host| !named(host))
            .collect();
        for host in &newly_missing {
            if is_accepted(newly_missing.len(), trusted.len()) {
                self.remove(source, host);
            } else {
                let record = self.sources[source].records.get_mut(*host).unwrap();
                record.suspected_since = Some(now);
            }
        }
    }

    fn remove(&mut self, source: usize, host: &str) {
        let member = self.sources[source].records[host].member.clone();
        self.set_record(
            source,
            &Member {
                health: Health::Removed,
                ..member
            },
        );
    }

    fn apply_timeouts(&mut self, now: f64) {
        for source in 0..self.sources.len() {
            let state = &self.sources[source];
            if !state.has_begun || state.lost_since.is_some() {
                continue;
            }
            let timeout = self.settings[source].suspicion_timeout;
            let due = state.records.iter().filter(|(_, record)| {
                record
                    .suspected_since
                    .is_some_and(|since| now - since >= timeout)
            });
            let due: Vec<String> = due.map(|(host, _)| host.clone()).collect();
            due.iter().for_each(|host| self.remove(source, host));
        }
        let any_connected = self
            .sources
            .iter()
            .any(|source| source.has_begun && source.lost_since.is_none());
        for (source, settings) in self.sources.iter_mut().zip(&self.settings) {
            source.is_expired = any_connected
                && source
                    .lost_since
                    .is_some_and(|since| now - since >= settings.expiry_timeout);
        }
    }

    fn list(&self) -> BTreeMap<String, Member> {
        let mut list = BTreeMap::new();
        for host in HOSTS {
            let latest_start = self.latest_start(host);
            let (mut details, mut removed, mut draining): (Option<&Member>, bool, bool) =
                (None, false, false);
            for (source, settings) in self.sources.iter().zip(&self.settings) {
                let Some(record) = source.records.get(host) else {
                    continue;
                };
                let member = &record.member;
                let is_stopped = settings.authoritative && latest_start <= record.stopped_up_to;
                removed |= is_stopped && member.health == Health::Removed;
                draining |= is_stopped && member.health == Health::Draining;
                let is_newer = details.is_none_or(|details| member.born_ms > details.born_ms);
                if member.health != Health::Removed && !source.is_expired && is_newer {
                    details = Some(member);
                }
            }
            if let Some(details) = details.filter(|_| !removed) {
                let health = if draining {
                    Health::Draining
                } else {
                    Health::Up
                };
                list.insert(
                    host.to_owned(),
                    Member {
                        health,
                        ..details.clone()
                    },
                );
            }
        }
        let all = list.clone();
        list.retain(|host, member| {
            !all.iter().any(|(other_host, other)| {
                let takes_precedence = other.born_ms > member.born_ms
                    || (other.born_ms == member.born_ms && other_host < host);
                other_host != host && other.dial == member.dial && takes_precedence
            })
        });
        list
    }
}

fn member() -> impl Strategy<Value = Member> {
    let health = prop::sample::select(vec![
        Health::Up,
        Health::Up,
        Health::Draining,
        Health::Removed,
    ]);
    (
        prop::sample::select(HOSTS.to_vec()),
        health,
        0u8..4,
        0u16..7,
    )
        .prop_map(|(host, health, born, port)| Member {
            host: host.to_owned(),
            dial: format!("127.0.0.1:{}", 100 + port).parse().unwrap(),
            site: "z".into(),
            block: 0,
            health,
            share: 1.0,
            born_ms: f64::from(born),
        })
}

/// Generates an event whose version is near the last one: sometimes late, sometimes repeated.
fn event() -> impl Strategy<Value = (u8, usize, i64, Vec<Member>, Vec<&'static str>, f64)> {
    let unreadable = prop::collection::vec(prop::sample::select(HOSTS.to_vec()), 0..2);
    (
        0u8..12,
        0usize..3,
        -2i64..4,
        prop::collection::vec(member(), 0..5),
        unreadable,
        0.0..60.0f64,
    )
}

fn cases() -> u32 {
    std::env::var("ROSTER_HISTORIES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(400)
}

proptest! {
    #![proptest_config(Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn the_endpoint_list_agrees_with_the_reference_model(history in prop::collection::vec(event(), 1..80)) {
        let mut endpoints = EndpointList::new(settings());
        let sources = (0..3).map(|_| ModelSource::default()).collect();
        let mut model = Model { settings: settings(), sources };
        let mut mirror: BTreeMap<String, Member> = BTreeMap::new();
        let (mut now, mut versions) = (0.0, [10i64; 3]);
        for (kind, source, step, mut hosts, unreadable, elapsed) in history {
            now += elapsed;
            let mut seen = std::collections::BTreeSet::new();
            // An event lists each backend at most once.
            hosts.retain(|member| seen.insert(member.host.clone()));
            let version = (versions[source] + step).max(1);
            let members = Members { seq: version as u64, whole: false, hosts };
            let event = match kind {
                0 => Event::Lost { source },
                1 => Event::Resumed { source },
                2 => { versions[source] = 5; Event::Replaced { source } }
                3..=5 => {
                    let unreadable = unreadable.iter().filter(|host| !seen.contains(**host)).map(|h| (*h).to_owned());
                    Event::Snapshot { source, members, unreadable: unreadable.collect() }
                }
                _ => Event::Change { source, members },
            };
            if kind > 2 {
                versions[source] = versions[source].max(version);
            }
            model.apply_event(now, &event);
            let update = endpoints.apply_event(now, event);
            let mut changed_hosts = std::collections::BTreeSet::new();
            for change in &update.changes {
                prop_assert!(changed_hosts.insert(change.host.clone()), "returned twice: {}", change.host);
                let before = match change.health {
                    Health::Removed => mirror.remove(&change.host),
                    _ => mirror.insert(change.host.clone(), change.clone()),
                };
                prop_assert!(before.as_ref() != Some(change), "returned without a change: {change:?}");
                prop_assert!(change.health != Health::Removed || before.is_some(), "removed an unknown backend: {change:?}");
            }
            let list = model.list();
            prop_assert_eq!(&mirror, &list);
            let returned: BTreeMap<String, Member> =
                endpoints.members().map(|member| (member.host.clone(), member.clone())).collect();
            prop_assert_eq!(&returned, &list);
        }
    }
}

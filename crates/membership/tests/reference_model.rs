//! Random histories of three sources against a plain model that puts everything together anew after each event, by the
//! rules as they are written: after every event the roster equals the model, and the changes that it hands out, applied one
//! after the other, give the same list.

use maplefall_membership::{Event, Roster, SourceSettings};
use maplefall_protocol::{Health, Member, Members};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::BTreeMap;

const HOSTS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn settings() -> Vec<SourceSettings> {
    vec![
        SourceSettings::trusted("agent"),
        SourceSettings {
            believed_part: 0.4,
            doubt: 50.0,
            keep: 80.0,
            ..SourceSettings::trusted("etcd")
        },
        SourceSettings {
            authoritative: false,
            keep: 40.0,
            ..SourceSettings::trusted("file")
        },
    ]
}

/// What one source has said of a node: its entry, the life a stop is for, since when it is missing.
type Word = (Member, f64, Option<f64>);

#[derive(Default)]
struct ModelSource {
    said: BTreeMap<String, Word>,
    version: Option<u64>,
    lost: Option<f64>,
    begun: bool,
    aged: bool,
}

struct Model {
    settings: Vec<SourceSettings>,
    sources: Vec<ModelSource>,
}

impl Model {
    fn life(&self, host: &str) -> f64 {
        self.sources
            .iter()
            .filter_map(|s| s.said.get(host))
            .map(|word| word.0.born_ms)
            .fold(0.0, f64::max)
    }

    fn word(&mut self, source: usize, member: &Member) {
        let life = self.life(&member.host).max(member.born_ms);
        self.sources[source]
            .said
            .insert(member.host.clone(), (member.clone(), life, None));
    }

    fn take(&mut self, now: f64, event: &Event) {
        match event {
            Event::Lost { source } => {
                self.sources[*source].lost.get_or_insert(now);
            }
            Event::Resumed { source } => self.sources[*source].lost = None,
            Event::Reborn { source } => {
                self.sources[*source].version = None;
                self.sources[*source]
                    .said
                    .values_mut()
                    .for_each(|word| word.2 = None);
            }
            Event::Snapshot {
                source, members, ..
            }
            | Event::Change { source, members } => {
                let of = &mut self.sources[*source];
                if of.version.is_some_and(|last| members.seq <= last) {
                    return self.age(now);
                }
                (of.version, of.begun, of.lost) = (Some(members.seq), true, None);
                if let Event::Snapshot { unread, .. } = event {
                    self.missing(now, *source, members, unread);
                }
                // Lives are those known before the event: a stop in it is not for a life that it tells of elsewhere.
                members
                    .hosts
                    .iter()
                    .for_each(|member| self.word(*source, member));
            }
        }
        self.age(now);
    }

    fn missing(&mut self, now: f64, source: usize, members: &Members, unread: &[String]) {
        let set = self.settings[source].clone();
        let of = &mut self.sources[source];
        for host in unread {
            if let Some(word) = of.said.get_mut(host) {
                word.2 = None;
            }
        }
        let named =
            |host: &String| members.hosts.iter().any(|m| m.host == *host) || unread.contains(host);
        for (host, word) in &mut of.said {
            if named(host) {
                word.2 = None;
            }
        }
        let believed =
            |missing: usize, had: usize| missing as f64 <= set.believed_part * had as f64;
        let here = of
            .said
            .iter()
            .filter(|(_, word)| word.0.health != Health::Removed);
        let here: Vec<(String, bool)> = here
            .map(|(host, word)| (host.clone(), word.2.is_some()))
            .collect();
        let all: Vec<&String> = here
            .iter()
            .map(|(host, _)| host)
            .filter(|host| !named(host))
            .collect();
        if believed(all.len(), here.len()) {
            return all.into_iter().for_each(|host| self.gone(source, host));
        }
        // What is in doubt already counts neither among those that were there nor among those that are missing.
        let sure: Vec<&String> = here
            .iter()
            .filter(|(_, doubted)| !doubted)
            .map(|(host, _)| host)
            .collect();
        let fresh: Vec<&String> = sure.iter().copied().filter(|host| !named(host)).collect();
        for host in &fresh {
            if believed(fresh.len(), sure.len()) {
                self.gone(source, host);
            } else {
                self.sources[source].said.get_mut(*host).unwrap().2 = Some(now);
            }
        }
    }

    fn gone(&mut self, source: usize, host: &str) {
        let member = self.sources[source].said[host].0.clone();
        self.word(
            source,
            &Member {
                health: Health::Removed,
                ..member
            },
        );
    }

    fn age(&mut self, now: f64) {
        for source in 0..self.sources.len() {
            let of = &self.sources[source];
            if !of.begun || of.lost.is_some() {
                continue;
            }
            let doubt = self.settings[source].doubt;
            let over = of
                .said
                .iter()
                .filter(|(_, word)| word.2.is_some_and(|since| now - since >= doubt));
            let over: Vec<String> = over.map(|(host, _)| host.clone()).collect();
            over.iter().for_each(|host| self.gone(source, host));
        }
        let heard = self
            .sources
            .iter()
            .any(|source| source.begun && source.lost.is_none());
        for (source, set) in self.sources.iter_mut().zip(&self.settings) {
            source.aged = heard && source.lost.is_some_and(|since| now - since >= set.keep);
        }
    }

    fn list(&self) -> BTreeMap<String, Member> {
        let mut list = BTreeMap::new();
        for host in HOSTS {
            let life = self.life(host);
            let (mut best, mut gone, mut drains): (Option<&Member>, bool, bool) =
                (None, false, false);
            for (source, set) in self.sources.iter().zip(&self.settings) {
                let Some((member, stopped, _)) = source.said.get(host) else {
                    continue;
                };
                let holds = set.authoritative && life <= *stopped;
                gone |= holds && member.health == Health::Removed;
                drains |= holds && member.health == Health::Draining;
                let newer = best.is_none_or(|best| member.born_ms > best.born_ms);
                if member.health != Health::Removed && !source.aged && newer {
                    best = Some(member);
                }
            }
            if let Some(best) = best.filter(|_| !gone) {
                let health = if drains { Health::Draining } else { Health::Up };
                list.insert(
                    host.to_owned(),
                    Member {
                        health,
                        ..best.clone()
                    },
                );
            }
        }
        let all = list.clone();
        list.retain(|host, member| {
            !all.iter().any(|(other, one)| {
                let first =
                    one.born_ms > member.born_ms || (one.born_ms == member.born_ms && other < host);
                other != host && one.dial == member.dial && first
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

/// An event whose version is near the last one: sometimes late, sometimes the same again.
fn event() -> impl Strategy<Value = (u8, usize, i64, Vec<Member>, Vec<&'static str>, f64)> {
    let unread = prop::collection::vec(prop::sample::select(HOSTS.to_vec()), 0..2);
    (
        0u8..12,
        0usize..3,
        -2i64..4,
        prop::collection::vec(member(), 0..5),
        unread,
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
    fn the_roster_is_what_its_rules_say(history in prop::collection::vec(event(), 1..80)) {
        let mut roster = Roster::new(settings());
        let sources = (0..3).map(|_| ModelSource::default()).collect();
        let mut model = Model { settings: settings(), sources };
        let mut mirror: BTreeMap<String, Member> = BTreeMap::new();
        let (mut now, mut versions) = (0.0, [10i64; 3]);
        for (kind, source, step, mut hosts, unread, pause) in history {
            now += pause;
            let mut seen = std::collections::BTreeSet::new();
            // One version tells of a node once.
            hosts.retain(|member| seen.insert(member.host.clone()));
            let version = (versions[source] + step).max(1);
            let members = Members { seq: version as u64, whole: false, hosts };
            let event = match kind {
                0 => Event::Lost { source },
                1 => Event::Resumed { source },
                2 => { versions[source] = 5; Event::Reborn { source } }
                3..=5 => {
                    let unread = unread.iter().filter(|host| !seen.contains(**host)).map(|h| (*h).to_owned());
                    Event::Snapshot { source, members, unread: unread.collect() }
                }
                _ => Event::Change { source, members },
            };
            if kind > 2 {
                versions[source] = versions[source].max(version);
            }
            model.take(now, &event);
            let update = roster.take(now, event);
            let mut once = std::collections::BTreeSet::new();
            for change in &update.changes {
                prop_assert!(once.insert(change.host.clone()), "told twice: {}", change.host);
                let before = match change.health {
                    Health::Removed => mirror.remove(&change.host),
                    _ => mirror.insert(change.host.clone(), change.clone()),
                };
                prop_assert!(before.as_ref() != Some(change), "told as new: {change:?}");
                prop_assert!(change.health != Health::Removed || before.is_some(), "removed unknown: {change:?}");
            }
            let list = model.list();
            prop_assert_eq!(&mirror, &list);
            let told: BTreeMap<String, Member> =
                roster.members().map(|member| (member.host.clone(), member.clone())).collect();
            prop_assert_eq!(&told, &list);
        }
    }
}

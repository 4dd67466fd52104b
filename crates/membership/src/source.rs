//! What one source has said of each node, and how far it is believed.

use crate::interface::{Report, SourceSettings, MOST_NODES};
use maplefall_policy::Millis;
use maplefall_protocol::{Health, Member, Members};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Removed nodes that a source is remembered to have stopped; beyond it the oldest are forgotten.
pub(crate) const MOST_STOPS: usize = 4096;
/// Removals in one word from which they are reported, if they are over half of what the source had.
const MASS: usize = 3;

/// What a source says of a node.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Said {
    /// Its entry. Once removed it is kept, for the stop that it is.
    pub member: Member,
    /// For a stop: the latest life known when it was told.
    pub stopped_life: Millis,
    /// Tells this word from earlier ones on the same node.
    word: u64,
}

impl Said {
    fn listed(&self) -> bool {
        self.member.health != Health::Removed
    }
}

/// The latest start of each node that bears on an event, by anybody's word.
pub(crate) type Lives = BTreeMap<String, Millis>;

/// What an event changed.
#[derive(Debug, Default)]
pub(crate) struct Touched {
    /// Nodes of which the source now says something else.
    pub hosts: BTreeSet<String>,
    /// What people should know.
    pub reports: Vec<Report>,
}

/// One source.
#[derive(Debug)]
pub(crate) struct Source {
    pub settings: SourceSettings,
    said: BTreeMap<String, Said>,
    /// How many of these it lists as not gone.
    listed: usize,
    words: u64,
    version: Option<u64>,
    lost: Option<Millis>,
    /// Whether it has been heard at all.
    begun: bool,
    /// Whether it has been lost for so long that its nodes are given up.
    aged: bool,
    /// Removals, the oldest first, each with its word: stops are remembered, but not without end.
    removed: VecDeque<(String, u64)>,
    /// Nodes that whole lists have lacked and that are not given up yet, and since when.
    doubts: BTreeMap<String, Millis>,
}

impl Source {
    pub fn new(settings: SourceSettings) -> Source {
        Source {
            settings,
            said: BTreeMap::new(),
            listed: 0,
            words: 0,
            version: None,
            lost: None,
            begun: false,
            aged: false,
            removed: VecDeque::new(),
            doubts: BTreeMap::new(),
        }
    }

    /// Whether it is there, so that what it does not say means something.
    pub fn heard(&self) -> bool {
        self.begun && self.lost.is_none()
    }

    pub fn said(&self, host: &str) -> Option<&Said> {
        self.said.get(host)
    }

    pub fn hosts(&self) -> impl Iterator<Item = &str> {
        self.said.keys().map(String::as_str)
    }

    /// All that it says, stops too, as [`Source::recall`] takes it: a removal has the start of the latest life that it is for.
    pub fn words(&self) -> Vec<Member> {
        let word = |said: &Said| match said.member.health {
            Health::Removed => Member {
                born_ms: said.stopped_life,
                ..said.member.clone()
            },
            Health::Up | Health::Draining => said.member.clone(),
        };
        self.said.values().map(word).collect()
    }

    pub fn aged(&self) -> bool {
        self.aged
    }

    pub fn recall(&mut self, members: &[Member]) -> Touched {
        let mut touched = Touched::default();
        self.take_in(members.to_vec(), &Lives::new(), &mut touched);
        touched
    }

    pub fn lose(&mut self, now: Millis) {
        self.lost.get_or_insert(now);
    }

    pub fn resume(&mut self) {
        self.lost = None;
    }

    pub fn reborn(&mut self) {
        self.version = None;
        // What the old one did not list, the new one may.
        self.doubts.clear();
    }

    /// Whether a word of this version is news.
    fn news(&mut self, version: u64) -> bool {
        if self.version.is_some_and(|last| version <= last) {
            return false;
        }
        self.version = Some(version);
        self.begun = true;
        self.lost = None;
        true
    }

    pub fn snapshot(
        &mut self,
        now: Millis,
        members: Members,
        unread: &[String],
        lives: &Lives,
    ) -> Touched {
        let mut touched = Touched::default();
        if !self.news(members.seq) {
            return touched;
        }
        // A list of many is looked up by name, not walked for each.
        let named: BTreeSet<&str> = members
            .hosts
            .iter()
            .map(|member| member.host.as_str())
            .chain(unread.iter().map(String::as_str))
            .collect();
        self.doubts.retain(|host, _| !named.contains(host.as_str()));
        let missing = self
            .said
            .iter()
            .filter(|(host, said)| said.listed() && !named.contains(host.as_str()));
        let mut missing: Vec<String> = missing.map(|(host, _)| host.clone()).collect();
        let believed =
            |missing: usize, had: usize| missing as f64 <= self.settings.believed_part * had as f64;
        let mut had = self.listed;
        if !believed(missing.len(), had) {
            // What is doubted already has its own time and says nothing of this list: counted with the rest, it would draw
            // every later removal into doubt.
            missing.retain(|host| !self.doubts.contains_key(host));
            had -= self.doubts.len();
        }
        if believed(missing.len(), had) {
            self.report_mass(missing.len(), had, &mut touched);
            self.remove(&missing, lives, &mut touched);
        } else {
            let source = self.settings.name.clone();
            touched.reports.push(Report::Doubted {
                source,
                missing: missing.len(),
                of: had,
            });
            self.doubts
                .extend(missing.into_iter().map(|host| (host, now)));
        }
        self.take_in(members.hosts, lives, &mut touched);
        touched
    }

    /// Nodes that have been missing for the time of doubt while the source was there to tell otherwise.
    pub fn doubts_over(&self, now: Millis) -> Vec<String> {
        if self.doubts.is_empty() || !self.heard() {
            return Vec::new();
        }
        let over = self
            .doubts
            .iter()
            .filter(|(_, since)| now - **since >= self.settings.doubt);
        over.map(|(host, _)| host.clone()).collect()
    }

    /// Takes nodes for removed that were doubted.
    pub fn believe(&mut self, hosts: &[String], lives: &Lives, touched: &mut Touched) {
        self.report_mass(hosts.len(), self.listed, touched);
        self.remove(hosts, lives, touched);
        self.forget_old_stops(touched);
    }

    /// What the source lists no more, it has removed.
    fn remove(&mut self, hosts: &[String], lives: &Lives, touched: &mut Touched) {
        for host in hosts {
            let Some(said) = self.said.get(host) else {
                continue;
            };
            let member = Member {
                health: Health::Removed,
                ..said.member.clone()
            };
            self.put(member, lives, touched);
        }
    }

    pub fn change(&mut self, members: Members, lives: &Lives) -> Touched {
        let mut touched = Touched::default();
        if self.news(members.seq) {
            let removed = members
                .hosts
                .iter()
                .filter(|m| m.health == Health::Removed)
                .count();
            self.report_mass(removed, self.listed, &mut touched);
            self.take_in(members.hosts, lives, &mut touched);
        }
        touched
    }

    fn report_mass(&self, removed: usize, of: usize, touched: &mut Touched) {
        if removed >= MASS && removed * 2 > of {
            let source = self.settings.name.clone();
            touched.reports.push(Report::MassRemoval {
                source,
                removed,
                of,
            });
        }
    }

    fn take_in(&mut self, members: Vec<Member>, lives: &Lives, touched: &mut Touched) {
        let mut left_out = 0;
        for member in members {
            // Kept stops have a bound of their own and take nobody's room.
            let full =
                self.listed >= MOST_NODES && !self.said.get(&member.host).is_some_and(Said::listed);
            if full && member.health != Health::Removed {
                left_out += 1;
            } else {
                self.put(member, lives, touched);
            }
        }
        self.forget_old_stops(touched);
        if left_out > 0 {
            touched.reports.push(Report::NoRoom {
                source: self.settings.name.clone(),
                left_out,
            });
        }
    }

    fn forget_old_stops(&mut self, touched: &mut Touched) {
        while self.removed.len() > MOST_STOPS {
            let Some((host, word)) = self.removed.pop_front() else {
                break;
            };
            // It may have come back, and may have been removed again since.
            if self.said.get(&host).is_some_and(|said| said.word == word) {
                self.said.remove(&host);
                touched.hosts.insert(host);
            }
        }
    }

    /// The source's word on one node from now on.
    fn put(&mut self, member: Member, lives: &Lives, touched: &mut Touched) {
        self.words += 1;
        let life = lives
            .get(&member.host)
            .copied()
            .unwrap_or(0.0)
            .max(member.born_ms);
        let said = Said {
            member,
            stopped_life: life,
            word: self.words,
        };
        let host = said.member.host.clone();
        self.doubts.remove(&host);
        touched.hosts.insert(host.clone());
        if said.listed() {
            self.listed += 1;
        } else {
            self.removed.push_back((host.clone(), self.words));
        }
        if self
            .said
            .insert(host, said)
            .is_some_and(|before| before.listed())
        {
            self.listed -= 1;
        }
    }

    /// Lets time pass. Tells whether it has aged or is heard again: then what it says of nodes counts for nothing, or
    /// counts again; its stops stand throughout.
    pub fn pass_time(&mut self, now: Millis, another: bool) -> bool {
        let before = self.aged;
        self.aged = another
            && self
                .lost
                .is_some_and(|since| now - since >= self.settings.keep);
        self.aged != before
    }

    /// When it has something to do by itself.
    pub fn due(&self) -> Option<Millis> {
        let waits = self.listed > 0 && !self.aged;
        let aging = self
            .lost
            .map(|since| since + self.settings.keep)
            .filter(|_| waits);
        let first = self
            .doubts
            .values()
            .copied()
            .min_by(f64::total_cmp)
            .filter(|_| self.heard());
        let doubt = first.map(|since| since + self.settings.doubt);
        aging
            .into_iter()
            .chain(doubt)
            .filter(|due| due.is_finite())
            .min_by(f64::total_cmp)
    }
}

//! The roster: what is true of the backends when several sources tell of them.
//!
//! Sources (the platform's agent, etcd, a file) hand in what they learn as [`Event`]s with the time; out comes one ordered
//! list of changes for the decision module, and [`Report`]s for people. Nothing here does I/O or reads a clock.
//!
//! The rules:
//!
//! 1. **Versions.** A source's word is taken only if its version is above the last one taken from it. What comes late, on
//!    a second stream or from a member that lags, changes nothing. [`Event::Reborn`] begins the versions anew.
//! 2. **Stops win.** A drain or a removal told by an authoritative source holds, whoever else says *up*, until that
//!    source takes it back or anybody tells of a newer life of the node (a later start). A stop is for the lives known when
//!    it was told, and for no later one.
//! 3. **Whole lists.** A node that a source had and a whole list of it lacks was removed by that source; but where the list
//!    lacks more than a part, the missing are doubted: they stay until the source, still heard, has not told of them for the
//!    time of doubt; what is doubted already says nothing of later lists. An entry that stands there and cannot be read is not missing: what was said of it stands. Removals told one by one are believed at once.
//! 4. **Lost sources.** What a lost source said stands. Nodes known from lost sources alone age out after a time, but only
//!    while another source is there; with all sources lost nothing ages, for a failing discovery must not empty the list.
//! 5. **One address, one node.** Of several nodes that are not gone at one address, the one that started last holds it, then
//!    the lower name; the others count as removed for as long as that lasts.
//! 6. **Details** (address, zone, size) come from the newest life, then from the source named first.

mod interface;
mod merge;
mod source;

pub use interface::{Event, Report, SourceSettings, Update, MOST_NODES};

use maplefall_policy::Millis;
use maplefall_protocol::{Health, Member, Members};
use source::{Lives, Source, Touched};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// The roster.
#[derive(Debug)]
pub struct Roster {
    sources: Vec<Source>,
    /// What the sources come to for each node that is not gone, before addresses are looked at.
    merged: BTreeMap<String, Member>,
    /// The same nodes by their addresses: nearly always one to an address, so that a list costs least.
    at: HashMap<SocketAddr, Vec<String>>,
    /// What has been handed out of each node that is not gone.
    told: BTreeMap<String, Member>,
    /// Nodes that give way at their address, and to whom, as reported.
    giving_way: BTreeMap<String, String>,
}

impl Roster {
    /// An empty roster over these sources, the one that goes before the others first.
    pub fn new(sources: Vec<SourceSettings>) -> Roster {
        Roster {
            sources: sources.into_iter().map(Source::new).collect(),
            merged: BTreeMap::new(),
            at: HashMap::new(),
            told: BTreeMap::new(),
            giving_way: BTreeMap::new(),
        }
    }

    /// Begins with a list that an earlier life had: as if the source had told it, at no version, so that its first own word
    /// goes before it.
    pub fn recall(&mut self, now: Millis, source: usize, members: &Members) -> Update {
        let Some(known) = self.sources.get_mut(source) else {
            return Update::default();
        };
        let touched = known.recall(&members.hosts);
        self.settle(now, touched)
    }

    /// All that each source says, stops too: what a later life may [`Roster::recall`], source by source.
    pub fn words(&self) -> impl Iterator<Item = (&SourceSettings, Members)> {
        self.sources.iter().map(|source| {
            (
                &source.settings,
                Members {
                    seq: 0,
                    whole: true,
                    hosts: source.words(),
                },
            )
        })
    }

    /// Takes what a source learned at `now`. The cost is that of the nodes that the event names, and of those that share
    /// their addresses; only a whole list, and a source that is lost for long or comes back, touch all nodes of a source.
    pub fn take(&mut self, now: Millis, event: Event) -> Update {
        // What anybody knows of each node's lives bears on what a stop is for.
        let mut hosts: Vec<&str> = Vec::new();
        if let Event::Snapshot { members, .. } | Event::Change { members, .. } = &event {
            hosts.extend(members.hosts.iter().map(|member| member.host.as_str()));
        }
        if let Event::Snapshot { source, .. } = &event {
            hosts.extend(
                self.sources
                    .get(*source)
                    .into_iter()
                    .flat_map(Source::hosts),
            );
        }
        let lives = self.lives(hosts.into_iter());
        let (Event::Snapshot { source, .. }
        | Event::Change { source, .. }
        | Event::Lost { source }
        | Event::Resumed { source }
        | Event::Reborn { source }) = event;
        let Some(of) = self.sources.get_mut(source) else {
            return Update::default();
        };
        let touched = match event {
            Event::Snapshot {
                members, unread, ..
            } => of.snapshot(now, members, &unread, &lives),
            Event::Change { members, .. } => of.change(members, &lives),
            Event::Lost { .. } => {
                of.lose(now);
                Touched::default()
            }
            Event::Resumed { .. } => {
                of.resume();
                Touched::default()
            }
            Event::Reborn { .. } => {
                of.reborn();
                Touched::default()
            }
        };
        self.settle(now, touched)
    }

    /// The latest start of each of these nodes, by anybody's word.
    fn lives<'a>(&self, hosts: impl Iterator<Item = &'a str>) -> Lives {
        let life = |host: &str| {
            let starts = self.sources.iter().filter_map(|source| source.said(host));
            starts.map(|said| said.member.born_ms).fold(0.0, f64::max)
        };
        hosts.map(|host| (host.to_owned(), life(host))).collect()
    }

    /// Carries out what has come due: sources that have been lost for long, nodes that have been doubted for long.
    pub fn tick(&mut self, now: Millis) -> Update {
        self.settle(now, Touched::default())
    }

    /// When [`Roster::tick`] has something to do next.
    pub fn next_due(&self) -> Option<Millis> {
        let due = self.sources.iter().filter_map(Source::due);
        due.min_by(f64::total_cmp)
    }

    /// The nodes that are not gone, as they have been handed out.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.told.values()
    }

    /// Brings what has been handed out in line with what the sources say now.
    fn settle(&mut self, now: Millis, mut touched: Touched) -> Update {
        for at in 0..self.sources.len() {
            let over = self.sources[at].doubts_over(now);
            if !over.is_empty() {
                let lives = self.lives(over.iter().map(String::as_str));
                self.sources[at].believe(&over, &lives, &mut touched);
            }
        }
        let heard = self.sources.iter().any(Source::heard);
        let mut aged = BTreeSet::new();
        for source in &mut self.sources {
            if source.pass_time(now, heard) {
                touched.hosts.extend(source.hosts().map(str::to_owned));
                if source.aged() {
                    aged.extend(source.hosts().map(str::to_owned));
                }
            }
        }
        let mut addresses = BTreeSet::new();
        for host in &touched.hosts {
            self.remerge(host, &mut addresses);
        }
        let mut hosts = touched.hosts;
        for address in &addresses {
            self.share(*address, &mut hosts, &mut touched.reports);
        }
        let (mut changes, mut ups) = (Vec::new(), Vec::new());
        for host in hosts {
            let now_is = self
                .merged
                .get(&host)
                .filter(|_| !self.giving_way.contains_key(&host));
            let before = match now_is {
                Some(member) if self.told.get(&host) == Some(member) => continue,
                Some(member) => {
                    let list = if member.health == Health::Up {
                        &mut ups
                    } else {
                        &mut changes
                    };
                    list.push(member.clone());
                    self.told.insert(host.clone(), member.clone())
                }
                None => self.told.remove(&host),
            };
            if now_is.is_none() {
                let Some(before) = before else { continue };
                changes.push(Member {
                    health: Health::Removed,
                    ..before
                });
                if aged.contains(&host) {
                    touched.reports.push(Report::GivenUp { host });
                }
            }
        }
        changes.append(&mut ups);
        Update {
            changes,
            reports: touched.reports,
        }
    }

    /// Puts together anew what the sources say of a node; notes the addresses where something changed.
    fn remerge(&mut self, host: &str, addresses: &mut BTreeSet<SocketAddr>) {
        let now_is = merge::merge(&self.sources, host);
        let before = self.merged.get(host);
        if before == now_is.as_ref() {
            return;
        }
        if let Some(before) = before {
            addresses.insert(before.dial);
            if let Some(there) = self.at.get_mut(&before.dial) {
                there.retain(|other| other != host);
                if there.is_empty() {
                    self.at.remove(&before.dial);
                }
            }
        }
        match now_is {
            Some(member) => {
                addresses.insert(member.dial);
                let there = self
                    .at
                    .entry(member.dial)
                    .or_insert_with(|| Vec::with_capacity(1));
                there.push(host.to_owned());
                self.merged.insert(host.to_owned(), member);
            }
            None => {
                self.merged.remove(host);
                self.giving_way.remove(host);
            }
        }
    }

    /// Settles who holds an address; adds the nodes there to those that are looked at.
    fn share(
        &mut self,
        address: SocketAddr,
        hosts: &mut BTreeSet<String>,
        reports: &mut Vec<Report>,
    ) {
        let Some(there) = self.at.get(&address) else {
            return;
        };
        let holder = merge::holder(there.iter().filter_map(|host| self.merged.get(host)));
        let Some(holder) = holder.map(|member| member.host.clone()) else {
            return;
        };
        for host in there {
            hosts.insert(host.clone());
            if *host == holder {
                self.giving_way.remove(host);
            } else if self
                .giving_way
                .insert(host.clone(), holder.clone())
                .as_ref()
                != Some(&holder)
            {
                let (holder, other) = (holder.clone(), host.clone());
                reports.push(Report::SharedAddress { holder, other });
            }
        }
    }
}

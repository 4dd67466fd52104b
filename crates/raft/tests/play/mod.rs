//! Nodes over a played network and played disks. Messages are lost, late and out of order; links are cut, one way too; nodes crash,
//! freeze and thaw with what came meanwhile, lose power with what is not synced, lose their disks, leave, and go for good while
//! others come in their place. A slow plain model judges every step.
#![allow(dead_code)]

use maplefall_raft::{
    Config, Entry, EntryKind, Member, Message, MessageBody, PersistentState, PersistentUpdate,
    Raft, Ready,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Nobody may be in touch for longer than this after its last contact.
pub const ALONE: f64 = 1000.0;
/// The caller gives up waiting for others to have what rests on one that leaves.
pub const LONGEST_LAST: f64 = 2500.0;

pub struct Node {
    pub tandem: Option<Raft>,
    /// What a start would read: the synced records, taken in one by one.
    pub disk: PersistentState,
    /// What all records of this life amount to, synced or not.
    pub written: PersistentState,
    /// The last entry that others were told is on this disk: its index and term, and the term it was said in.
    told: Option<(u64, u64, u64)>,
    /// What waits for the disk: number, record, when it is there.
    waiting: VecDeque<(u64, PersistentUpdate, f64)>,
    stalled_until: f64,
    pub down_until: f64,
    pub frozen_until: f64,
    pub frozen_since: f64,
    /// What came while it was frozen.
    socket: Vec<(String, Message)>,
    /// Entries that this life has been told are agreed on, and what of them it has folded.
    pub agreed: Vec<Entry>,
    pub lives: u64,
    pub first: bool,
    /// Reads under way, and up to where they have to see.
    reads: BTreeMap<u64, u64>,
    /// It leaves since then, and what becomes of it.
    leaving: Option<(f64, After)>,
    /// It is cut off since then from all others: what it says, and what it hears.
    pub apart: Option<(f64, bool, bool)>,
    pub stepped: f64,
}

#[derive(Clone, Copy, PartialEq)]
pub enum After {
    Restart,
    Gone,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Variant {
    Right,
    /// A node that has lost its disk counts at once.
    WipedVotes,
    /// What is written counts before it is on the disk.
    Unsynced,
    /// A change of the members counts with a majority of those after alone.
    NewAlone,
}

pub struct Fleet {
    pub rng: Pcg32,
    pub now: f64,
    /// All that run or will run again.
    pub names: Vec<String>,
    first: Vec<String>,
    pub losses: usize,
    pub nodes: BTreeMap<String, Node>,
    /// Messages under way: when they come, from, to.
    pub wire: Vec<(f64, String, String, Message)>,
    /// Links that are cut, one way.
    pub cut: BTreeSet<(String, String)>,
    pub loss: f64,
    /// What was ever agreed on at an index, and when first.
    pub truth: BTreeMap<u64, (Entry, f64)>,
    leaders: BTreeMap<u64, String>,
    /// Changes that a leader has told a caller are agreed on.
    pub acknowledged: BTreeSet<u64>,
    proposed: u64,
    pub variant: Variant,
    pub rate: f64,
    /// Bytes of a change.
    pub payload: usize,
    /// Bytes of a folded state for each change in it.
    pub folded_bytes: usize,
    /// Part of the parts of states that are spoilt on their way.
    pub spoilt: f64,
    /// Steps between two looks at what a node holds.
    pub look: u64,
    looks: u64,
    pub folded: u64,
    /// Messages and bytes to each node.
    pub sent_to: BTreeMap<String, (u64, u64)>,
    pub confirmed_reads: u64,
    pub sent: u64,
    pub notes: Vec<String>,
    newcomers: u64,
}

impl Fleet {
    pub fn new(seed: u64, size: usize, variant: Variant) -> Fleet {
        let names: Vec<String> = (1..=size).map(|n| format!("10.0.0.{n}")).collect();
        let mut fleet = Fleet {
            rng: Pcg32::seed_from_u64(seed),
            now: 0.0,
            names: names.clone(),
            first: names.clone(),
            losses: (size - 1) / 2,
            nodes: BTreeMap::new(),
            wire: Vec::new(),
            cut: BTreeSet::new(),
            loss: 0.02,
            truth: BTreeMap::new(),
            leaders: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            proposed: 0,
            variant,
            rate: 0.01,
            payload: 8,
            folded_bytes: 1,
            spoilt: 0.0,
            look: 1,
            looks: 0,
            folded: 0,
            sent_to: BTreeMap::new(),
            confirmed_reads: 0,
            sent: 0,
            notes: Vec::new(),
            newcomers: 0,
        };
        names.iter().for_each(|name| fleet.place(name, true));
        fleet
    }

    /// A machine is set up and starts.
    pub fn place(&mut self, name: &str, first: bool) {
        let node = Node {
            tandem: None,
            disk: PersistentState::default(),
            written: PersistentState::default(),
            told: None,
            waiting: VecDeque::new(),
            stalled_until: 0.0,
            down_until: 0.0,
            frozen_until: 0.0,
            frozen_since: 0.0,
            socket: Vec::new(),
            agreed: Vec::new(),
            lives: 0,
            first,
            reads: BTreeMap::new(),
            leaving: None,
            apart: None,
            stepped: 0.0,
        };
        self.nodes.insert(name.to_owned(), node);
        // Whoever is cut off is cut off from this one too.
        for (other, node) in self.nodes.iter().filter(|(other, _)| *other != name) {
            let (says, hears) = node
                .apart
                .map_or((false, false), |(_, says, hears)| (says, hears));
            if says {
                self.cut.insert((other.clone(), name.to_owned()));
            }
            if hears {
                self.cut.insert((name.to_owned(), other.clone()));
            }
        }
        self.start(name);
    }

    /// A new machine at an address that nobody had.
    pub fn newcomer(&mut self) -> String {
        self.newcomers += 1;
        let name = format!("10.0.1.{}", self.newcomers);
        self.names.push(name.clone());
        self.place(&name, false);
        name
    }

    pub fn draw(&mut self, most: u32) -> u32 {
        self.rng.next_u32() % most
    }

    pub fn chance(&mut self, part: f64) -> bool {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0 < part
    }

    pub fn any(&mut self) -> String {
        self.names[self.rng.next_u32() as usize % self.names.len()].clone()
    }

    fn start(&mut self, name: &str) {
        let seed = u64::from(self.rng.next_u32()) << 32 | u64::from(self.rng.next_u32());
        let (mut out, first) = (Ready::default(), self.first.clone());
        let (now, variant, losses) = (self.now, self.variant, self.losses);
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.lives += 1;
        node.agreed.clear();
        node.waiting.clear();
        node.reads.clear();
        node.leaving = None;
        node.socket.clear();
        node.frozen_until = 0.0;
        let disk = node.disk.clone();
        if variant == Variant::WipedVotes && disk.is_empty() {
            node.first = true;
        }
        node.written = disk.clone();
        let first = node.first.then_some(first.as_slice());
        let wrong_new_alone = variant == Variant::NewAlone;
        let setup = Config {
            initial_members: first,
            voter: true,
            max_failures: losses,
            interchangeable: true,
            skip_joint_quorum: wrong_new_alone,
        };
        node.tandem = Some(Raft::new(name, now, seed, disk, &setup, &mut out));
        node.first = false;
        self.carry(name, out);
    }

    pub fn step(&mut self, name: &str, step: impl FnOnce(&mut Raft, f64, &mut Ready)) {
        let (now, mut out) = (self.now, Ready::default());
        let Some(node) = self
            .nodes
            .get_mut(name)
            .filter(|node| node.frozen_until <= now)
        else {
            return;
        };
        let Some(tandem) = &mut node.tandem else {
            return;
        };
        step(tandem, now, &mut out);
        node.stepped = now;
        self.carry(name, out);
    }

    fn carry(&mut self, name: &str, out: Ready) {
        let mut at_once = None;
        self.notes.extend(
            out.log_lines
                .into_iter()
                .map(|note| format!("{} {name} {note}", self.now)),
        );
        for (number, record) in out.writes {
            let due = self.now + 2.0 + f64::from(self.draw(4));
            let Some(node) = self.nodes.get_mut(name) else {
                return;
            };
            node.written.apply(record.clone());
            node.waiting
                .push_back((number, record, due.max(node.stalled_until)));
            at_once = (self.variant == Variant::Unsynced).then_some(number);
        }
        for (to, message) in out.messages {
            if self.variant != Variant::Unsynced {
                self.said(name, &to, &message);
            }
            let all: Vec<String> = if to.is_empty() {
                self.names.clone()
            } else {
                vec![to]
            };
            for to in all.into_iter().filter(|to| to != name) {
                self.sent += 1;
                let size = match &message.body {
                    Some(MessageBody::InstallSnapshot(install)) => install.chunk.len(),
                    Some(MessageBody::AppendEntries(append)) => {
                        append.entries.iter().map(|e| e.payload.len()).sum()
                    }
                    _ => 0,
                };
                let (count, bytes) = self.sent_to.get(&to).copied().unwrap_or_default();
                self.sent_to
                    .insert(to.clone(), (count + 1, bytes + size as u64));
                if self.chance(self.loss) || self.cut.contains(&(name.to_owned(), to.clone())) {
                    continue;
                }
                let late = 0.5
                    + f64::from(self.draw(30)) / 10.0
                    + if self.chance(0.02) { 300.0 } else { 0.0 };
                let message = self.garble(message.clone());
                self.wire
                    .push((self.now + late, name.to_owned(), to, message));
            }
        }
        if let Some(snapshot) = out.installed_snapshot {
            // It is what whoever folded it wrote, whole; what is folded in it was agreed on before.
            assert!(
                self.state(snapshot.index) == snapshot.state,
                "{name} has put together another state"
            );
            let folded = self
                .truth
                .range(..=snapshot.index)
                .map(|(_, (e, _))| e.clone())
                .collect();
            self.nodes
                .entry(name.to_owned())
                .and_modify(|node| node.agreed = folded);
        }
        for entry in out.committed_entries {
            let now = self.now;
            let (known, _) = self
                .truth
                .entry(entry.index)
                .or_insert_with(|| (entry.clone(), now));
            assert_eq!(
                *known, entry,
                "{name} agrees on something else at {}",
                entry.index
            );
            self.nodes
                .entry(name.to_owned())
                .and_modify(|node| node.agreed.push(entry.clone()));
            let leads = self.nodes[name]
                .tandem
                .as_ref()
                .is_some_and(|tandem| tandem.is_leader());
            if leads && entry.kind() == EntryKind::Command {
                self.acknowledged.insert(entry.index);
            }
        }
        for ticket in out.confirmed_reads {
            let Some(node) = self.nodes.get_mut(name) else {
                return;
            };
            if let Some(floor) = node.reads.remove(&ticket) {
                let commit = node.tandem.as_ref().map_or(0, Raft::commit);
                assert!(
                    commit >= floor,
                    "{name} reads {commit}, and {floor} was acknowledged before it was asked"
                );
                self.confirmed_reads += 1;
            }
        }
        if out.stepped_down {
            self.nodes
                .entry(name.to_owned())
                .and_modify(|node| node.reads.clear());
        }
        self.looks += 1;
        if self.looks % self.look == 0 {
            self.holds(name);
        }
        self.touches(name);
        if self.nodes[name]
            .tandem
            .as_ref()
            .is_some_and(Raft::should_compact)
        {
            self.folded += 1;
            self.fold(name);
        }
        let tandem = self.nodes.get(name).and_then(|node| node.tandem.as_ref());
        if let Some((term, true)) = tandem.map(|t| (t.term(), t.is_leader())) {
            let leader = self.leaders.entry(term).or_insert_with(|| name.to_owned());
            assert_eq!(leader, name, "two lead in term {term}");
        }
        if let Some(number) = at_once {
            self.step(name, |tandem, now, out| tandem.written(now, number, out));
        }
    }

    /// Spoils a part of a state now and then: a byte of it, or that and the sum of the part too.
    fn garble(&mut self, mut message: Message) -> Message {
        if let Some(MessageBody::InstallSnapshot(install)) = &mut message.body {
            if !install.chunk.is_empty() && self.spoilt > 0.0 && self.chance(self.spoilt) {
                let mut bytes = install.chunk.to_vec();
                let place = self.draw(bytes.len() as u32) as usize;
                bytes[place] ^= 0x40;
                if self.chance(0.5) {
                    install.chunk_checksum = maplefall_raft::checksum(&bytes);
                }
                install.chunk = bytes.into();
            }
        }
        message
    }

    /// What a node says of its disk is there: a start would read it.
    fn said(&mut self, name: &str, to: &str, message: &Message) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let Some(held) = node.tandem.as_ref().map(Raft::persistent_state) else {
            return;
        };
        let mark = node.disk.identity;
        assert_eq!(
            mark,
            Some(message.identity),
            "{name} speaks for a disk that a start would not know"
        );
        match &message.body {
            Some(MessageBody::AppendEntriesResponse(answer)) if answer.success => {
                let matched = answer.match_index;
                assert!(
                    matched <= node.disk.last_index(),
                    "{name} says it has {matched}, and a start has less"
                );
                for index in node.disk.snapshot.index..=matched {
                    let (disk, memory) = (node.disk.term_at(index), held.term_at(index));
                    let folded = index < held.snapshot.index;
                    assert!(
                        folded || disk == memory,
                        "{name} has {memory:?} at {index}, a start {disk:?}"
                    );
                }
                let claim = (
                    matched,
                    node.disk.term_at(matched).unwrap_or(0),
                    message.term,
                );
                if node
                    .told
                    .is_none_or(|(index, _, term)| (term, index) <= (claim.2, claim.0))
                {
                    node.told = Some(claim);
                }
            }
            Some(MessageBody::RequestVoteResponse(vote)) if vote.granted && !vote.pre_vote => {
                let disk = &node.disk;
                let kept = disk.term > vote.requested_term
                    || (disk.term == vote.requested_term && disk.voted_for == to);
                assert!(
                    kept,
                    "{name} votes for {to} in {}, and a start would not know",
                    vote.requested_term
                );
            }
            _ => {}
        }
    }

    /// What a node has told others is there still, and it holds what its records amount to.
    fn holds(&self, name: &str) {
        let node = &self.nodes[name];
        if let Some(tandem) = &node.tandem {
            assert!(
                *tandem.persistent_state() == node.written,
                "{name} holds another state than a start would read"
            );
        }
        if let Some((index, term, said)) = node.told {
            let disk = &node.disk;
            let there = index < disk.snapshot.index
                || disk.term_at(index) == Some(term)
                || disk.term > said;
            assert!(
                there,
                "{name} told that {index} of term {term} is on its disk, and a start lacks it"
            );
        }
    }

    /// Whoever says when a majority was proven has applied all that was agreed on by then; whoever is cut off altogether is not in
    /// touch a second later.
    fn touches(&self, name: &str) {
        let node = &self.nodes[name];
        let Some(tandem) = &node.tandem else { return };
        let (contact, commit) = (tandem.last_quorum_contact(self.now), tandem.commit());
        let lacks = self
            .truth
            .range(commit + 1..)
            .next()
            .filter(|(_, (_, at))| *at < contact);
        if let Some((index, (_, at))) = lacks {
            panic!("{name} lacks {index}, agreed on at {at}, and says a majority was with it at {contact}");
        }
        let touch = tandem.has_quorum_contact(self.now);
        let lacks = self
            .truth
            .range(commit + 1..)
            .next()
            .filter(|(_, (_, at))| *at < self.now - ALONE);
        assert!(
            lacks.is_none() || !touch,
            "{name} is in touch at {} and lacks {lacks:?}",
            self.now
        );
        let apart = node
            .apart
            .is_some_and(|(since, ..)| self.now - since >= ALONE);
        assert!(
            !(apart && touch),
            "{name} is cut off for a second and says that it is in touch"
        );
    }

    pub fn crash(&mut self, name: &str, power: bool, wipe: bool, down: f64) {
        let torn = self.draw(3);
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.tandem = None;
        node.down_until = now + down;
        // One that goes for good goes all the same.
        node.leaving = node.leaving.filter(|(_, after)| *after == After::Gone);
        // A process that dies leaves what it wrote; with the power goes what was not synced, all or from some write on.
        let kept = if power {
            (torn as usize).min(node.waiting.len()) * usize::from(torn < 2)
        } else {
            usize::MAX
        };
        for (_, record, _) in node.waiting.drain(..).take(kept) {
            node.disk.apply(record);
        }
        if wipe {
            (node.disk, node.told) = (PersistentState::default(), None);
        }
    }

    /// A machine goes for good.
    pub fn remove(&mut self, name: &str) {
        self.crash(name, true, true, f64::INFINITY);
        self.names.retain(|other| other != name);
        self.nodes.remove(name);
    }

    /// A machine is told to stop.
    pub fn terminate(&mut self, name: &str, after: After) {
        let now = self.now;
        self.step(name, |tandem, now, out| tandem.shut_down(now, out));
        self.nodes
            .entry(name.to_owned())
            .and_modify(|node| node.leaving = Some((now, after)));
    }

    pub fn freeze(&mut self, name: &str, span: f64) {
        let now = self.now;
        self.nodes
            .entry(name.to_owned())
            .and_modify(|node| (node.frozen_since, node.frozen_until) = (now, now + span));
    }

    /// Cuts a node off from all others: what it says, what it hears, or both.
    pub fn cut_off(&mut self, name: &str, says: bool, hears: bool) {
        for peer in self.names.clone().into_iter().filter(|peer| peer != name) {
            if says {
                self.cut.insert((name.to_owned(), peer.clone()));
            }
            if hears {
                self.cut.insert((peer, name.to_owned()));
            }
        }
        let now = self.now;
        self.nodes
            .entry(name.to_owned())
            .and_modify(|node| node.apart = Some((now, says, hears)));
    }

    pub fn join(&mut self) {
        self.cut.clear();
        self.nodes.values_mut().for_each(|node| node.apart = None);
    }

    pub fn propose(&mut self, name: &str) {
        self.proposed += 1;
        let mut payload = self.proposed.to_be_bytes().to_vec();
        payload.resize(self.payload.max(8), 0);
        self.step(name, |tandem, now, out| {
            let _ = tandem.propose(now, payload, out);
        });
    }

    pub fn read(&mut self, name: &str) {
        let floor = self.acknowledged.last().copied().unwrap_or(0);
        let (now, mut out) = (self.now, Ready::default());
        let Some(node) = self
            .nodes
            .get_mut(name)
            .filter(|node| node.frozen_until <= now)
        else {
            return;
        };
        let Some(tandem) = &mut node.tandem else {
            return;
        };
        if let Some(ticket) = tandem.read_index(now, &mut out) {
            node.reads.insert(ticket, floor);
        }
        self.carry(name, out);
    }

    /// Plays so many milliseconds in steps of one.
    pub fn play(&mut self, span: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 1.0;
            for name in self.names.clone() {
                self.run(&name);
            }
            self.deliver();
            if self.chance(self.rate) {
                let name = self.any();
                self.propose(&name);
            }
            if self.chance(0.01) {
                let name = self.any();
                self.read(&name);
            }
        }
    }

    fn run(&mut self, name: &str) {
        let now = self.now;
        let node = &self.nodes[name];
        if node.tandem.is_none() && now >= node.down_until {
            self.start(name);
        }
        if self.nodes[name].frozen_until > now {
            return;
        }
        if let Some((since, after)) = self.nodes[name].leaving {
            let left = self.nodes[name]
                .tandem
                .as_ref()
                .is_none_or(|tandem| tandem.may_stop(now));
            if now - since >= 400.0 && left || now - since >= LONGEST_LAST {
                match after {
                    After::Restart => {
                        let down = 100.0 + f64::from(self.draw(800));
                        self.crash(name, false, false, down);
                    }
                    After::Gone => self.remove(name),
                }
                return;
            }
        }
        self.thaw(name);
        while let Some(node) = self.nodes.get_mut(name).filter(|n| n.tandem.is_some()) {
            if node
                .waiting
                .front()
                .is_none_or(|(_, _, due)| *due > now || node.stalled_until > now)
            {
                break;
            }
            if let Some((number, record, _)) = node.waiting.pop_front() {
                node.disk.apply(record);
                self.step(name, |tandem, now, out| tandem.written(now, number, out));
            }
        }
        if (now as u64) % 100 == 0 {
            self.step(name, |tandem, now, out| tandem.tick(now, out));
        }
    }

    /// One that thaws finds what came meanwhile, and is asked things, in any order.
    fn thaw(&mut self, name: &str) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if node.frozen_until == 0.0 || node.frozen_until > now {
            return;
        }
        node.frozen_until = 0.0;
        let long = now - node.frozen_since >= ALONE && self.names.len() > 1;
        let came = std::mem::take(&mut node.socket);
        let first = self.draw(if came.is_empty() { 3 } else { 4 });
        match first {
            0 => self.step(name, |tandem, now, out| tandem.tick(now, out)),
            1 => self.read(name),
            2 => self.propose(name),
            _ => {}
        }
        for (place, (from, message)) in came.into_iter().enumerate() {
            if place == 1 {
                self.read(name);
                self.propose(name);
            }
            self.step(name, |tandem, now, out| {
                tandem.step(now, &from, message, out)
            });
            if long {
                self.is_alone(name);
            }
        }
        if long {
            self.is_alone(name);
        }
    }

    /// One that has just thawed knows nothing of now, whatever lay in its sockets: it neither leads nor is in touch.
    fn is_alone(&self, name: &str) {
        let Some(tandem) = &self.nodes[name].tandem else {
            return;
        };
        assert!(!tandem.is_leader(), "{name} thaws and leads");
        assert!(
            !tandem.has_quorum_contact(self.now),
            "{name} thaws and says that it is in touch"
        );
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (come, wait) = std::mem::take(&mut self.wire)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.wire = wait;
        let come: Vec<(f64, String, String, Message)> = come;
        for (_, from, to, message) in come {
            if self.cut.contains(&(from.clone(), to.clone())) {
                continue;
            }
            match self.nodes.get_mut(&to) {
                Some(node) if node.frozen_until > now => {
                    // Its windows are small.
                    if node.socket.len() < 200 {
                        node.socket.push((from, message));
                    }
                }
                _ => self.step(&to, |tandem, now, out| {
                    tandem.step(now, &from, message, out)
                }),
            }
        }
    }

    pub fn leader(&self) -> Option<String> {
        let leads = |name: &&String| {
            self.nodes[*name]
                .tandem
                .as_ref()
                .is_some_and(Raft::is_leader)
        };
        let mut all: Vec<&String> = self.names.iter().filter(leads).collect();
        all.sort_by_key(|name| self.nodes[*name].tandem.as_ref().map(Raft::term));
        all.last().map(|name| (*name).clone())
    }

    /// Whether all that run are members, by what all of them know to be agreed on, nobody else is, and none is about to go.
    pub fn sound(&self) -> bool {
        let all: BTreeSet<String> = self.names.iter().cloned().collect();
        self.leader().is_some()
            && self.nodes.iter().all(|(_, node)| {
                let goes = node.leaving.is_some_and(|(_, after)| after == After::Gone);
                node.tandem.as_ref().is_some_and(|t| {
                    t.is_voter() && !t.in_joint_configuration() && *t.voters() == all
                }) && !goes
            })
    }

    /// Whether any loss of as many as may be lost would leave a majority that can go on and has all, by what each knows itself.
    pub fn bears_losses(&self) -> bool {
        let running: Vec<&String> = self
            .names
            .iter()
            .filter(|name| self.nodes[*name].tandem.is_some())
            .collect();
        let members = self
            .leader()
            .and_then(|leader| self.nodes[&leader].tandem.as_ref())
            .map(|t| t.voters());
        let Some(members) = members else { return false };
        let gone: Vec<u32> = (0..1_u32 << running.len())
            .filter(|set| set.count_ones() as usize == self.losses)
            .filter(|set| {
                (0..running.len()).all(|n| set >> n & 1 == 0 || members.contains(running[n]))
            })
            .collect();
        gone.into_iter().all(|set| {
            let rest: Vec<&String> = (0..running.len())
                .filter(|n| set >> n & 1 == 0)
                .map(|n| running[n])
                .collect();
            rest.iter().any(|name| self.could_lead(name, &rest))
        })
    }

    /// Whether a node would be elected by these, by what is on their disks, and has all that was agreed on.
    fn could_lead(&self, name: &str, voters: &[&String]) -> bool {
        let disk = &self.nodes[name].disk;
        let all = self
            .truth
            .keys()
            .next_back()
            .is_none_or(|last| disk.last_index() >= *last);
        let end = |disk: &PersistentState| (disk.term_at(disk.last_index()), disk.last_index());
        let votes = |member: &&Member| {
            voters.iter().any(|voter| {
                let other = &self.nodes[*voter].disk;
                **voter == member.name
                    && other.identity == Some(member.identity)
                    && end(other) <= end(disk)
            })
        };
        let sets = disk.configuration();
        let settled = sets.index <= disk.members_committed.max(disk.snapshot.index);
        let majority = |set: &Vec<Member>| set.iter().filter(votes).count() > set.len() / 2;
        let mine = sets
            .current
            .iter()
            .any(|m| m.name == name && Some(m.identity) == disk.identity);
        all && mine && majority(&sets.current) && (settled || majority(&sets.previous))
    }

    /// Plays until a change that all were asked for has just been acknowledged, for a while at most.
    pub fn until_acknowledged(&mut self) {
        let before = self.acknowledged.len();
        for name in self.names.clone() {
            self.propose(&name);
        }
        for _ in 0..40 {
            if self.acknowledged.len() > before {
                break;
            }
            self.play(1.0);
        }
    }

    /// What all up to an index amounts to, in the model: so many bytes for each change, which tell of the index.
    pub fn state(&self, index: u64) -> Vec<u8> {
        let length = if index <= 1 {
            0
        } else {
            self.folded_bytes * index as usize
        };
        let mut word = index;
        let mut state = Vec::with_capacity(length + 8);
        while state.len() < length {
            word = word.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(1);
            state.extend_from_slice(&word.to_be_bytes());
        }
        state
    }

    pub fn fold(&mut self, name: &str) {
        let commit = self.nodes[name].tandem.as_ref().map_or(0, Raft::commit);
        let state = self.state(commit);
        self.step(name, |tandem, _, out| tandem.compact(state, out));
    }

    pub fn until_sound(&mut self, most: f64) -> bool {
        let end = self.now + most;
        while self.now < end && !self.sound() {
            self.play(100.0);
        }
        self.sound()
    }

    /// One loses its disk, counts again, and then a majority rests on it while a third lags behind: it loses power, and the other
    /// that had all is gone for a while.
    pub fn rests_on_readmitted(&mut self) {
        let wiped = self.draw(self.names.len() as u32) as usize;
        let names: Vec<String> = (0..3)
            .map(|n| self.names[(wiped + n) % self.names.len()].clone())
            .collect();
        self.join();
        self.crash(&names[0], true, true, 60.0);
        self.until_sound(6000.0);
        self.cut_off(&names[2], true, true);
        let span = 400.0 + f64::from(self.draw(2500));
        self.play(span);
        let brief = f64::from(self.draw(200));
        self.crash(&names[0], true, false, brief);
        if self.chance(0.5) {
            self.crash(&names[1], true, false, 2500.0);
        }
        self.join();
        self.play(2000.0);
    }

    /// Some of the members, as many as may be lost at most.
    fn some(&mut self) -> Vec<String> {
        let count = 1 + self.draw(self.losses as u32) as usize;
        let start = self.draw(self.names.len() as u32) as usize;
        (0..count)
            .map(|n| self.names[(start + n) % self.names.len()].clone())
            .collect()
    }

    /// Some machines go for good, by a crash or told to, and others come in their place, before, at once or later.
    pub fn replace(&mut self) {
        let gone = self.some();
        let early = self.chance(0.3);
        if early {
            gone.iter().for_each(|_| drop(self.newcomer()));
            let span = f64::from(self.draw(2500));
            self.play(span);
        }
        for name in &gone {
            if self.chance(0.5) {
                self.remove(name);
            } else {
                self.terminate(name, After::Gone);
            }
        }
        if !early {
            let span = f64::from(self.draw(1500));
            self.play(span);
            gone.iter().for_each(|_| drop(self.newcomer()));
        }
    }

    /// One is silent while a newcomer is there; in the moment in which the leader changes the members, it is left with the newcomer alone,
    /// and those that were members before are among themselves.
    pub fn splits_at_change(&mut self) {
        let Some(leader) = self.leader() else { return };
        let silent = self.any();
        if silent == leader {
            return;
        }
        self.join();
        let others: Vec<String> = self
            .names
            .iter()
            .filter(|name| **name != leader)
            .cloned()
            .collect();
        let newcomer = self.newcomer();
        let apart = |fleet: &mut Fleet, a: &str, b: &str| {
            fleet.cut.insert((a.to_owned(), b.to_owned()));
            fleet.cut.insert((b.to_owned(), a.to_owned()));
        };
        apart(self, &silent, &leader);
        others
            .iter()
            .for_each(|other| apart(self, other, &newcomer));
        let knows = |fleet: &Fleet| {
            let tandem = fleet
                .nodes
                .get(&leader)
                .and_then(|node| node.tandem.as_ref());
            tandem.is_some_and(|tandem| tandem.voters().contains(&newcomer))
        };
        for _ in 0..4000 {
            if knows(self) {
                break;
            }
            self.play(1.0);
        }
        others.iter().for_each(|other| apart(self, other, &leader));
        for _ in 0..40 {
            self.play(100.0);
            self.propose(&leader);
        }
        self.join();
        if self.until_sound(8000.0) {
            self.remove(&silent);
        }
    }

    pub fn trouble(&mut self) {
        let (name, other) = (self.any(), self.any());
        let down = 50.0 + f64::from(self.draw(1500));
        match self.draw(15) {
            0 => self.crash(&name, false, false, down),
            1 => self.crash(&name, true, false, down),
            // Disks are lost only where all that were lost before are made good.
            2 if self.sound() => {
                let wiped = self.some();
                if self.chance(0.5) {
                    // One of the others is behind in that moment.
                    let behind = self.any();
                    self.cut_off(&behind, true, true);
                    let span = 300.0 + f64::from(self.draw(600));
                    self.play(span);
                    self.until_acknowledged();
                    self.join();
                }
                wiped
                    .iter()
                    .for_each(|name| self.crash(name, true, true, down));
                if self.chance(0.5) {
                    let others: Vec<String> = self
                        .names
                        .iter()
                        .filter(|n| !wiped.contains(n))
                        .cloned()
                        .collect();
                    others
                        .iter()
                        .for_each(|other| self.crash(other, true, false, down));
                }
            }
            3 => {
                if self.chance(0.5) {
                    self.until_acknowledged();
                }
                let all = self.names.clone();
                all.iter()
                    .for_each(|name| self.crash(name, true, false, down));
            }
            4 => {
                self.cut.insert((name.clone(), other.clone()));
            }
            5 => self.cut_off(&name, true, true),
            6 => {
                let until = self.now + down;
                self.nodes
                    .entry(name)
                    .and_modify(|node| node.stalled_until = until);
            }
            7 => self.terminate(&name, After::Restart),
            8 if self.sound() => self.rests_on_readmitted(),
            9 if self.sound() => self.replace(),
            13 if self.sound() => self.splits_at_change(),
            10 => self.freeze(&name, 2.0 * down),
            11 => self.cut_off(&name, true, false),
            12 => self.cut_off(&name, false, true),
            _ => self.fold(&name),
        }
        if self.chance(0.3) {
            self.join();
        }
    }

    pub fn print(&self) {
        for (name, node) in &self.nodes {
            let t = node.tandem.as_ref();
            println!(
                "{name}: lives {} term {:?} leader {:?} trusted {:?} members {:?} joint {:?} commit {:?} last {:?} waiting {} identity {:x?}",
                node.lives,
                t.map(Raft::term),
                t.and_then(Raft::leader),
                t.map(Raft::is_voter),
                t.map(Raft::voters),
                t.map(Raft::in_joint_configuration),
                t.map(Raft::commit),
                node.disk.log.last().map(|e| (e.index, e.term)),
                node.waiting.len(),
                node.disk.identity,
            );
        }
        self.notes
            .iter()
            .rev()
            .take(30)
            .rev()
            .for_each(|note| println!("  {note}"));
    }
}

/// Plays troubles for a while, then calm, and tells whether all is there and agreement goes on.
pub fn day(seed: u64, size: usize, variant: Variant) -> Fleet {
    let mut fleet = Fleet::new(seed, size, variant);
    fleet.play(1000.0);
    for _ in 0..14 {
        fleet.trouble();
        let span = 50.0 + f64::from(fleet.draw(900));
        fleet.play(span);
    }
    calm(&mut fleet, seed);
    fleet
}

/// After all troubles: agreement goes on, all that run are members and have all that was acknowledged.
pub fn calm(fleet: &mut Fleet, seed: u64) {
    fleet.join();
    fleet.loss = 0.0;
    fleet.play(7000.0);
    fleet.until_sound(4000.0);
    let before = fleet.truth.len();
    for name in fleet.names.clone() {
        fleet.propose(&name);
    }
    fleet.play(500.0);
    if fleet.truth.len() <= before || !fleet.sound() {
        fleet.print();
    }
    assert!(
        fleet.truth.len() > before,
        "seed {seed}: nothing is agreed on in calm times"
    );
    assert!(
        fleet.sound(),
        "seed {seed}: the members are not those that run"
    );
    let last = fleet.truth.keys().next_back().copied().unwrap_or(0);
    for (name, node) in &fleet.nodes {
        let tandem = node.tandem.as_ref();
        let commit = tandem.map_or(0, Raft::commit);
        assert!(
            commit + 20 >= last,
            "seed {seed}: {name} is at {commit} of {last}"
        );
        assert!(
            tandem.is_some_and(|t| t.has_quorum_contact(fleet.now)),
            "seed {seed}: {name} is out of touch in calm times"
        );
        let held: BTreeSet<u64> = node.agreed.iter().map(|entry| entry.index).collect();
        for index in fleet.acknowledged.iter().filter(|index| **index <= commit) {
            let folded = node.disk.snapshot.index >= *index;
            assert!(
                folded || held.contains(index),
                "seed {seed}: {name} lacks {index}"
            );
        }
    }
}

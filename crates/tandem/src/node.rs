//! One node.

use crate::message::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Milliseconds on the caller's steady clock.
type Millis = f64;

/// A leader speaks this often at least.
const PULSE: Millis = 200.0;
/// A node that has not heard from a leader for this long may be asked for its vote.
const SILENT: Millis = 600.0;
/// It stands after up to this much more, drawn by lot.
const SPREAD: Millis = 600.0;
/// A node that has just started asks around this soon, and up to three times as much later: where there is a leader, nobody
/// would vote for it.
const FIRST: Millis = 80.0;
/// A leader that has not heard from a majority for this long steps down.
const ALONE: Millis = 1000.0;
/// A message that is not answered is sent again after this.
const RESEND: Millis = 400.0;
/// Bytes of entries in one message, about.
const BATCH: usize = 1 << 20;
/// Nodes that follow without a vote, at most.
const MOST_LEARNERS: usize = 16;
/// Reads that wait for a round at most.
const MOST_READS: usize = 1024;

/// What a node finds on its disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Durable {
    /// The term.
    pub term: u64,
    /// The vote in it.
    pub voted: String,
    /// All up to here is folded.
    pub snapshot: Snapshot,
    /// The entries after it.
    pub log: Vec<Entry>,
    /// Whether it may vote.
    pub trusted: bool,
}

impl Durable {
    /// Takes in one record, as they were written in order. Doing it twice changes nothing once all have been taken in. This is the
    /// only fold there is: a start reads the disk with it, and a running node changes what it holds with it and with nothing
    /// else, so that both agree at every moment.
    pub fn take(&mut self, record: Record) {
        if let Some(term) = record.term {
            (self.term, self.voted) = (term, record.voted);
        }
        self.trusted |= record.trusted;
        if let Some(snapshot) = record.snapshot.filter(|s| s.index >= self.snapshot.index) {
            // Entries after it stay where they follow it: also on a state of index nought, which has no entry of its own.
            let same = self.term_at(snapshot.index) == Some(snapshot.term);
            self.log.retain(|entry| same && entry.index > snapshot.index);
            self.snapshot = snapshot;
        }
        for entry in record.entries {
            if entry.index <= self.snapshot.index {
                continue;
            }
            let place = (entry.index - self.snapshot.index - 1) as usize;
            if place <= self.log.len() {
                self.log.truncate(place);
                self.log.push(entry);
            }
        }
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.log.last().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// The term of the entry at an index, unless it is folded or not there.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let place = index.checked_sub(self.snapshot.index + 1)?;
        self.log.get(usize::try_from(place).ok()?).map(|entry| entry.term)
    }

    /// Whether nothing was ever written.
    pub fn is_empty(&self) -> bool {
        *self == Durable::default()
    }
}

/// What is to be done.
#[derive(Debug, Default)]
pub struct Out {
    /// To be written in this order; the word that one is on disk says so of all before it.
    pub writes: Vec<(u64, Record)>,
    /// To be sent.
    pub sends: Vec<(String, Message)>,
    /// Agreed on from now, in order.
    pub agreed: Vec<Entry>,
    /// A state that takes the place of all before it.
    pub installed: Option<Snapshot>,
    /// Reads that may be answered from what is agreed.
    pub readable: Vec<u64>,
    /// This node has ceased to lead: what it was asked and has not answered may or may not be agreed on.
    pub deposed: bool,
}

/// What a leader knows of another node.
#[derive(Clone, Copy, Debug)]
struct Progress {
    next: u64,
    matched: u64,
    heard: Millis,
    sent: Millis,
    round: u64,
    /// Its life, if it has lost its disk.
    life: u64,
    /// Whether it has been sent a whole state in this life: one that lost its disk knows no voters.
    installed: bool,
    /// Whether it asks to count.
    counts: bool,
}

#[derive(Debug)]
enum Role {
    Follower,
    /// Asks whether it would be elected.
    Asking(BTreeSet<String>),
    Candidate(BTreeSet<String>),
    Leader {
        others: BTreeMap<String, Progress>,
        round: u64,
        /// Ticket and round of each read.
        reads: VecDeque<(u64, u64)>,
        /// Lives for whose readmission there is an entry.
        readmitted: BTreeSet<u64>,
    },
}

/// One node.
pub struct Tandem {
    me: String,
    rng: Pcg32,
    disk: Durable,
    voters: BTreeSet<String>,
    /// Names this life of a node that lost its disk; nought once it counts.
    life: u64,
    counts: bool,
    role: Role,
    leader: Option<String>,
    heard: Millis,
    stands: Millis,
    joins: Millis,
    commit: u64,
    /// Up to here a leader of this term has confirmed what is in the log.
    verified: u64,
    written: u64,
    synced: u64,
    /// Number of each write of entries that is not on disk, with the last index in it.
    unsynced: VecDeque<(u64, u64)>,
    synced_index: u64,
    /// The write that holds the present term, or that this node counts: nothing is said before it is on disk.
    term_write: u64,
    held: VecDeque<(u64, String, Message)>,
    tickets: u64,
}

impl Tandem {
    /// A node that finds this on its disk. `first` names the voters where the whole system starts for the first time; with an
    /// empty disk and without it, the node has lost what it promised. `seed` is its only source of chance.
    pub fn new(
        me: &str,
        now: Millis,
        seed: u64,
        disk: Durable,
        first: Option<&[String]>,
        counts: bool,
        out: &mut Out,
    ) -> Tandem {
        let mut rng = Pcg32::seed_from_u64(seed);
        let fresh = disk.is_empty();
        let life = rng.next_u64().max(1);
        let stands = now + FIRST * (1.0 + 3.0 * chance(&mut rng));
        let last = disk.last_index();
        let mut node = Tandem {
            me: me.to_owned(),
            rng,
            commit: 0,
            synced_index: last,
            disk,
            voters: BTreeSet::new(),
            life,
            counts,
            role: Role::Follower,
            leader: None,
            heard: f64::NEG_INFINITY,
            stands,
            joins: now,
            verified: 0,
            written: 0,
            synced: 0,
            unsynced: VecDeque::new(),
            term_write: 0,
            held: VecDeque::new(),
            tickets: 0,
        };
        if let (true, Some(voters)) = (fresh, first) {
            let mut voters = voters.to_vec();
            voters.sort();
            voters.dedup();
            // Its index is not nought: whoever has nothing lacks this too, and is sent it before any entry.
            let snapshot = Some(Snapshot { index: 1, voters, ..Snapshot::default() });
            node.write(Record { snapshot, trusted: true, ..Record::default() }, out);
            node.term_write = node.written;
        }
        if node.disk.trusted {
            node.life = 0;
        }
        node.commit = node.disk.snapshot.index;
        node.synced_index = node.synced_index.max(node.commit);
        node.count_voters();
        node
    }

    /// The leader, as far as this node knows.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Whether this node leads, and all from before its time is agreed.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader { .. }) && self.term_at(self.commit) == self.disk.term
    }

    /// Whether this node counts.
    pub fn trusted(&self) -> bool {
        self.disk.trusted
    }

    /// Who votes.
    pub fn voters(&self) -> &BTreeSet<String> {
        &self.voters
    }

    /// What this node holds: what a start would find once all is on disk that was written so far.
    pub fn holds(&self) -> &Durable {
        &self.disk
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.disk.term
    }

    /// Up to where all is agreed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Entries that are not agreed yet.
    pub fn pending(&self) -> impl Iterator<Item = &Entry> {
        self.disk.log.iter().filter(|entry| entry.index > self.commit)
    }

    /// Entries in the log.
    pub fn length(&self) -> usize {
        self.disk.log.len()
    }

    /// Whether a majority of the voters has been heard of late, seen from a node that leads or follows.
    pub fn in_company(&self, now: Millis) -> bool {
        match &self.role {
            Role::Leader { .. } => !self.alone(now),
            _ => now - self.heard < ALONE,
        }
    }

    /// The latest moment, by this node's clock, at which a leader that a majority followed is known to have counted this node among
    /// the voters, with all agreed on by then applied here.
    pub fn contact(&self, now: Millis) -> Millis {
        if self.in_company(now) {
            now
        } else {
            self.heard
        }
    }

    // ---- Inputs -------------------------------------------------------------------------------------

    /// Time passes; to be called every tenth of a second or so.
    pub fn tick(&mut self, now: Millis, out: &mut Out) {
        if matches!(self.role, Role::Leader { .. }) {
            if self.alone(now) {
                self.follow(now, None, out);
                return;
            }
            self.pulse(now, out);
            return;
        }
        let votes = self.votes();
        if votes && now >= self.stands {
            self.ask_around(now, out);
        }
        if !votes && now >= self.joins && now - self.heard > SILENT {
            self.joins = now + ALONE;
            // Whoever leads takes it up; the others pass it over.
            let message = self.message(What::Join(Join { counts: self.counts }));
            out.sends.push((String::new(), message));
        }
    }

    /// A message has come.
    pub fn receive(&mut self, now: Millis, from: &str, message: Message, out: &mut Out) {
        let Some(what) = message.what else { return };
        let would = matches!(&what, What::Ask(ask) if ask.would)
            || matches!(&what, What::Voted(voted) if voted.would && voted.granted);
        if message.term > self.disk.term && !would && !matches!(what, What::Join(_)) {
            self.enter(message.term, "", out);
            self.follow(now, None, out);
        }
        let old = message.term < self.disk.term;
        match what {
            What::Ask(ask) => self.asked(now, from, message.term, ask, out),
            What::Voted(voted) => self.voted(now, from, voted, out),
            What::Append(append) if !old => self.append(now, from, append, out),
            What::Install(install) if !old => self.install(now, from, install, out),
            What::Append(_) | What::Install(_) => {
                // An old leader learns of the new term by it.
                let answer = Appended { fits: false, ..Appended::default() };
                self.say(from, What::Appended(answer), out);
            }
            What::Appended(answer) if !old => self.appended(now, from, answer, out),
            What::Stand(_) if !old && self.leader.as_deref() == Some(from) && self.votes() => {
                self.stand(now, out)
            }
            What::Join(join) => self.joined(now, from, join, out),
            _ => {}
        }
    }

    /// All writes up to this number are on disk.
    pub fn written(&mut self, now: Millis, number: u64, out: &mut Out) {
        self.synced = self.synced.max(number);
        while let Some((write, last)) = self.unsynced.front().copied().filter(|(w, _)| *w <= self.synced) {
            debug_assert!(write <= self.written);
            self.synced_index = self.synced_index.max(last);
            self.unsynced.pop_front();
        }
        while self.held.front().is_some_and(|(write, _, _)| *write <= self.synced) {
            if let Some((_, to, message)) = self.held.pop_front() {
                // What was to be said in an earlier term is of no more use.
                if message.term >= self.disk.term || matches!(message.what, Some(What::Voted(_))) {
                    out.sends.push((to, message));
                }
            }
        }
        match &self.role {
            Role::Leader { .. } => self.advance(now, out),
            _ => {
                if let Some(leader) = self.leader.clone() {
                    self.tell_matched(&leader, 0, out);
                }
            }
        }
    }

    /// Adds a change to the log, if this node leads; tells its index.
    pub fn propose(&mut self, now: Millis, payload: Vec<u8>, out: &mut Out) -> Option<u64> {
        if !self.leads() {
            return None;
        }
        let index = self.add(EntryKind::Change, payload, Vec::new(), 0, out);
        self.spread(now, out);
        Some(index)
    }

    /// Asks whether this node still leads; tells a ticket that becomes readable once a majority says so.
    pub fn read(&mut self, now: Millis, out: &mut Out) -> Option<u64> {
        if !self.leads() {
            return None;
        }
        self.tickets += 1;
        let ticket = self.tickets;
        if let Role::Leader { round, reads, .. } = &mut self.role {
            if reads.len() >= MOST_READS {
                return None;
            }
            *round += 1;
            reads.push_back((ticket, *round));
        }
        self.spread(now, out);
        self.confirm_reads(out);
        Some(ticket)
    }

    /// Folds all that is agreed into a state.
    pub fn fold(&mut self, state: Vec<u8>, out: &mut Out) {
        let (index, term) = (self.commit, self.term_at(self.commit));
        if index <= self.disk.snapshot.index {
            return;
        }
        let voters = self.voters_at(index);
        let snapshot = Snapshot { index, term, voters, state: state.into() };
        self.write(Record { snapshot: Some(snapshot), ..Record::default() }, out);
    }

    /// Gives up the lead to whoever is furthest, before a planned stop.
    pub fn resign(&mut self, now: Millis, out: &mut Out) {
        let Role::Leader { others, .. } = &self.role else { return };
        let next = others
            .iter()
            .filter(|(name, other)| other.life == 0 && self.voters.contains(*name))
            .max_by_key(|(_, other)| other.matched)
            .map(|(name, _)| name.clone());
        if let Some(next) = next {
            self.say(&next, What::Stand(Stand {}), out);
        }
        self.follow(now, None, out);
        self.stands = f64::INFINITY;
    }

    // ---- Elections ----------------------------------------------------------------------------------

    fn ask_around(&mut self, now: Millis, out: &mut Out) {
        self.draw(now);
        self.leader = None;
        self.role = Role::Asking(BTreeSet::from([self.me.clone()]));
        if self.majority() <= 1 {
            return self.stand(now, out);
        }
        self.ask(true, out);
    }

    fn stand(&mut self, now: Millis, out: &mut Out) {
        self.draw(now);
        let me = self.me.clone();
        self.enter(self.disk.term + 1, &me, out);
        self.leader = None;
        self.role = Role::Candidate(BTreeSet::from([me]));
        if self.majority() <= 1 {
            return self.lead(now, out);
        }
        self.ask(false, out);
    }

    fn ask(&mut self, would: bool, out: &mut Out) {
        let (last_index, last_term) = (self.last_index(), self.term_at(self.last_index()));
        let term = self.disk.term + u64::from(would);
        let others: Vec<String> = self.voters.iter().filter(|voter| **voter != self.me).cloned().collect();
        for voter in others {
            let ask = What::Ask(Ask { would, last_index, last_term });
            let message = Message { term, what: Some(ask) };
            self.after_writes(&voter, message, out);
        }
    }

    fn asked(&mut self, now: Millis, from: &str, term: u64, ask: Ask, out: &mut Out) {
        let last = (self.term_at(self.last_index()), self.last_index());
        let able = self.disk.trusted && (ask.last_term, ask.last_index) >= last;
        let granted = if ask.would {
            // Nobody is deposed who is heard.
            let leads = matches!(self.role, Role::Leader { .. });
            able && term > self.disk.term && !leads && now - self.heard >= SILENT
        } else {
            let free = self.disk.voted.is_empty() || self.disk.voted == from;
            able && term == self.disk.term && free && matches!(self.role, Role::Follower | Role::Asking(_))
        };
        if granted && !ask.would {
            if self.disk.voted.is_empty() {
                self.enter(term, from, out);
            }
            self.role = Role::Follower;
            self.draw(now);
        }
        let what = What::Voted(Voted { would: ask.would, granted, asked: term });
        let message =
            Message { term: if ask.would && granted { term } else { self.disk.term }, what: Some(what) };
        self.after_writes(from, message, out);
    }

    fn voted(&mut self, now: Millis, from: &str, voted: Voted, out: &mut Out) {
        if !voted.granted || !self.voters.contains(from) {
            return;
        }
        let majority = self.majority();
        let term = self.disk.term;
        match &mut self.role {
            Role::Asking(for_me) if voted.would && voted.asked == term + 1 => {
                for_me.insert(from.to_owned());
                if for_me.len() >= majority {
                    self.stand(now, out);
                }
            }
            Role::Candidate(for_me) if !voted.would && voted.asked == term => {
                for_me.insert(from.to_owned());
                if for_me.len() >= majority {
                    self.lead(now, out);
                }
            }
            _ => {}
        }
    }

    fn lead(&mut self, now: Millis, out: &mut Out) {
        let next = self.last_index() + 1;
        let fresh = Progress {
            next,
            matched: 0,
            heard: now,
            sent: 0.0,
            round: 0,
            life: 0,
            installed: false,
            counts: false,
        };
        let others = self.voters.iter().filter(|voter| **voter != self.me);
        let others = others.map(|voter| (voter.clone(), fresh)).collect();
        self.role = Role::Leader { others, round: 0, reads: VecDeque::new(), readmitted: BTreeSet::new() };
        self.leader = Some(self.me.clone());
        self.heard = now;
        self.add(EntryKind::Begin, Vec::new(), Vec::new(), 0, out);
        self.spread(now, out);
    }

    fn follow(&mut self, now: Millis, leader: Option<&str>, out: &mut Out) {
        if matches!(self.role, Role::Leader { .. }) {
            out.deposed = true;
        }
        if leader.is_none() || leader != self.leader.as_deref() {
            self.verified = 0;
        }
        self.leader = leader.map(str::to_owned);
        self.role = Role::Follower;
        if leader.is_some() {
            self.heard = now;
        }
        self.draw(now);
    }

    /// Enters a term, or votes in it.
    fn enter(&mut self, term: u64, voted: &str, out: &mut Out) {
        if term > self.disk.term {
            self.verified = 0;
        }
        self.write(Record { term: Some(term), voted: voted.to_owned(), ..Record::default() }, out);
        self.term_write = self.written;
    }

    fn draw(&mut self, now: Millis) {
        self.stands = now + SILENT + SPREAD * chance(&mut self.rng);
    }

    fn votes(&self) -> bool {
        self.disk.trusted && self.voters.contains(&self.me)
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether a leader has not heard from a majority of late.
    fn alone(&self, now: Millis) -> bool {
        let Role::Leader { others, .. } = &self.role else { return true };
        let near =
            |name: &String| *name == self.me || others.get(name).is_some_and(|o| now - o.heard < ALONE);
        self.voters.iter().filter(|name| near(name)).count() < self.majority()
    }

    // ---- Following ----------------------------------------------------------------------------------

    fn append(&mut self, now: Millis, from: &str, append: Append, out: &mut Out) {
        self.follow(now, Some(from), out);
        let fits = append.prev_index <= self.last_index()
            && (append.prev_index < self.disk.snapshot.index
                || self.term_at(append.prev_index) == append.prev_term);
        if !fits {
            let matched = self.last_index().min(append.prev_index.saturating_sub(1)).max(self.commit);
            let round = append.round;
            let answer = Appended { fits: false, matched, received: 0, round, life: self.life };
            self.say(from, What::Appended(answer), out);
            return;
        }
        let end = append.prev_index + append.entries.len() as u64;
        let new: Vec<Entry> = append
            .entries
            .into_iter()
            .skip_while(|e| {
                e.index <= self.disk.snapshot.index
                    || (e.index <= self.last_index() && self.term_at(e.index) == e.term)
            })
            .collect();
        self.push(new, out);
        self.verified = self.verified.max(end);
        self.agree(append.commit.min(self.verified), out);
        self.tell_matched(from, append.round, out);
    }

    fn install(&mut self, now: Millis, from: &str, install: Install, out: &mut Out) {
        self.follow(now, Some(from), out);
        let Some(snapshot) = install.snapshot else { return };
        if snapshot.index > self.commit || self.voters.is_empty() {
            let kept = self.disk.term_at(snapshot.index) == Some(snapshot.term);
            if !kept {
                self.synced_index = 0;
                self.unsynced.clear();
            }
            self.commit = snapshot.index;
            self.write(Record { snapshot: Some(snapshot.clone()), ..Record::default() }, out);
            self.unsynced.push_back((self.written, snapshot.index));
            self.count_voters();
            out.agreed.clear();
            out.installed = Some(snapshot);
        }
        self.verified = self.verified.max(self.disk.snapshot.index);
        self.tell_matched(from, install.round, out);
    }

    fn tell_matched(&mut self, leader: &str, round: u64, out: &mut Out) {
        let matched = self.verified.min(self.synced_index);
        let answer = Appended { fits: true, matched, received: self.verified, round, life: self.life };
        let message = self.message(What::Appended(answer));
        // Entries need not be on disk for this, the term must be.
        if self.term_write > self.synced {
            self.held.push_back((self.written, leader.to_owned(), message));
        } else {
            out.sends.push((leader.to_owned(), message));
        }
    }

    // ---- Leading ------------------------------------------------------------------------------------

    fn appended(&mut self, now: Millis, from: &str, answer: Appended, out: &mut Out) {
        let (last, commit) = (self.last_index(), self.commit);
        let Role::Leader { others, readmitted, .. } = &mut self.role else { return };
        let Some(other) = others.get_mut(from) else { return };
        other.heard = now;
        other.round = other.round.max(answer.round);
        if answer.life != other.life {
            // Another life: what was known of its disk is void.
            (other.life, other.matched, other.installed) = (answer.life, 0, false);
        }
        let mut more = false;
        if answer.fits {
            other.matched = other.matched.max(answer.matched.min(last));
            other.next = other.next.max(answer.received.min(last) + 1);
            more = other.next <= last && now - other.sent >= 1.0;
        } else if answer.round >= other.round || answer.matched + 1 < other.next {
            other.next = (answer.matched + 1).min(last + 1).max(1);
            more = true;
        }
        let back = other.life != 0 && other.matched >= commit && readmitted.len() < 1024;
        let readmit = (back && readmitted.insert(other.life)).then_some(other.life);
        let counts = other.life == 0 && other.counts && other.matched >= commit;
        if let Some(life) = readmit {
            self.add(EntryKind::Readmit, Vec::new(), vec![from.to_owned()], life, out);
            self.spread(now, out);
        } else if counts && !self.voters.contains(from) && self.voters_settled() {
            let mut voters: Vec<String> = self.voters.iter().cloned().collect();
            voters.push(from.to_owned());
            self.add(EntryKind::Voters, Vec::new(), voters, 0, out);
            self.spread(now, out);
        } else if more {
            self.send_to(now, from, out);
        }
        self.advance(now, out);
        self.confirm_reads(out);
    }

    /// Whether no change of the voters is on its way.
    fn voters_settled(&self) -> bool {
        self.leads() && !self.pending().any(|entry| entry.kind() == EntryKind::Voters)
    }

    fn joined(&mut self, now: Millis, from: &str, join: Join, out: &mut Out) {
        let next = self.last_index() + 1;
        let Role::Leader { others, .. } = &mut self.role else { return };
        let learners = others.keys().filter(|name| !self.voters.contains(*name)).count();
        if !others.contains_key(from) && learners >= MOST_LEARNERS {
            return;
        }
        let fresh = Progress {
            next,
            matched: 0,
            heard: now,
            sent: 0.0,
            round: 0,
            life: 0,
            installed: false,
            counts: false,
        };
        others.entry(from.to_owned()).or_insert(fresh).counts = join.counts;
        self.send_to(now, from, out);
    }

    /// Sends to all what they lack, and asks them all for a sign of life.
    fn spread(&mut self, now: Millis, out: &mut Out) {
        let Role::Leader { others, .. } = &self.role else { return };
        for name in others.keys().cloned().collect::<Vec<_>>() {
            self.send_to(now, &name, out);
        }
        self.advance(now, out);
    }

    /// Speaks to those that have not been spoken to for a while.
    fn pulse(&mut self, now: Millis, out: &mut Out) {
        let Role::Leader { others, .. } = &mut self.role else { return };
        // A learner that has gone for good is forgotten.
        let voters = &self.voters;
        others.retain(|name, other| voters.contains(name) || now - other.heard < 30.0 * ALONE);
        let due = others.iter().filter(|(_, other)| now - other.sent >= PULSE - 10.0);
        for name in due.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            if let Role::Leader { others, .. } = &mut self.role {
                if let Some(other) = others.get_mut(&name).filter(|other| now - other.heard > RESEND) {
                    // What went unanswered may be lost.
                    other.next = other.matched + 1;
                }
            }
            self.send_to(now, &name, out);
        }
    }

    fn send_to(&mut self, now: Millis, name: &str, out: &mut Out) {
        let last = self.last_index();
        let Role::Leader { others, round, .. } = &mut self.role else { return };
        let round = *round;
        let Some(other) = others.get_mut(name) else { return };
        other.sent = now;
        let first = other.next.max(1);
        let unknowing = other.life != 0 && !other.installed;
        let what = if first <= self.disk.snapshot.index || unknowing {
            other.installed = true;
            other.next = self.disk.snapshot.index + 1;
            What::Install(Install { snapshot: Some(self.disk.snapshot.clone()), round })
        } else {
            let start = (first - self.disk.snapshot.index - 1) as usize;
            let mut size = 0;
            let fits = |entry: &&Entry| {
                size += entry.payload.len() + 64;
                size <= BATCH + entry.payload.len() + 64
            };
            let entries: Vec<Entry> =
                self.disk.log.get(start..).unwrap_or_default().iter().take_while(fits).cloned().collect();
            other.next = (first + entries.len() as u64).min(last + 1);
            let prev_index = first - 1;
            let prev_term = self.term_at(prev_index);
            What::Append(Append { prev_index, prev_term, entries, commit: self.commit, round })
        };
        let message = self.message(what);
        out.sends.push((name.to_owned(), message));
    }

    /// Finds what a majority has on disk.
    fn advance(&mut self, now: Millis, out: &mut Out) {
        let Role::Leader { others, .. } = &self.role else { return };
        let mut have: Vec<u64> = self
            .voters
            .iter()
            .map(|name| match others.get(name) {
                _ if *name == self.me => self.synced_index,
                Some(other) if other.life == 0 => other.matched,
                _ => 0,
            })
            .collect();
        have.sort_unstable_by(|a, b| b.cmp(a));
        let agreed = have.get(self.majority() - 1).copied().unwrap_or(0);
        if agreed > self.commit && self.term_at(agreed) == self.disk.term {
            self.agree(agreed, out);
            // The others learn of it at once.
            self.spread(now, out);
        }
    }

    fn confirm_reads(&mut self, out: &mut Out) {
        let majority = self.majority();
        let (me, voters) = (&self.me, &self.voters);
        let Role::Leader { others, reads, .. } = &mut self.role else { return };
        let mut rounds: Vec<u64> = voters
            .iter()
            .map(|name| match others.get(name) {
                _ if name == me => u64::MAX,
                Some(other) if other.life == 0 => other.round,
                _ => 0,
            })
            .collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let confirmed = rounds.get(majority - 1).copied().unwrap_or(0);
        while let Some((ticket, _)) = reads.front().copied().filter(|(_, round)| *round <= confirmed) {
            out.readable.push(ticket);
            reads.pop_front();
        }
    }

    // ---- The log ------------------------------------------------------------------------------------

    fn add(
        &mut self,
        kind: EntryKind,
        payload: Vec<u8>,
        voters: Vec<String>,
        life: u64,
        out: &mut Out,
    ) -> u64 {
        let index = self.last_index() + 1;
        let entry = Entry { index, term: self.disk.term, kind: kind.into(), payload, voters, life };
        self.push(vec![entry], out);
        index
    }

    /// Appends entries; what stood at their places goes.
    fn push(&mut self, entries: Vec<Entry>, out: &mut Out) {
        let (Some(first), Some(last)) = (entries.first(), entries.last()) else { return };
        let (before, last) = (first.index - 1, last.index);
        if before < self.last_index() {
            self.synced_index = self.synced_index.min(before);
            self.unsynced.iter_mut().for_each(|(_, last)| *last = (*last).min(before));
        }
        self.write(Record { entries, ..Record::default() }, out);
        self.unsynced.push_back((self.written, last));
        self.count_voters();
    }

    fn agree(&mut self, commit: u64, out: &mut Out) {
        if commit <= self.commit {
            return;
        }
        let from = (self.commit - self.disk.snapshot.index) as usize;
        let to = (commit.min(self.last_index()) - self.disk.snapshot.index) as usize;
        self.commit = self.disk.snapshot.index + to as u64;
        let news: Vec<Entry> = self.disk.log[from..to].to_vec();
        for entry in &news {
            let mine = entry.kind() == EntryKind::Readmit && entry.life == self.life && self.life != 0;
            if mine && entry.voters.contains(&self.me) {
                self.life = 0;
                self.write(Record { trusted: true, ..Record::default() }, out);
                self.term_write = self.written;
            }
        }
        out.agreed.extend(news);
    }

    fn voters_at(&self, index: u64) -> Vec<String> {
        let last = self.disk.log.iter().rev().find(|e| e.index <= index && e.kind() == EntryKind::Voters);
        last.map_or_else(|| self.disk.snapshot.voters.clone(), |entry| entry.voters.clone())
    }

    fn count_voters(&mut self) {
        self.voters = self.voters_at(u64::MAX).into_iter().collect();
        let (voters, next) = (self.voters.clone(), self.last_index() + 1);
        if let Role::Leader { others, .. } = &mut self.role {
            for voter in voters.into_iter().filter(|voter| *voter != self.me) {
                let fresh = Progress {
                    next,
                    matched: 0,
                    heard: 0.0,
                    sent: 0.0,
                    round: 0,
                    life: 0,
                    installed: false,
                    counts: true,
                };
                others.entry(voter).or_insert(fresh);
            }
        }
    }

    fn last_index(&self) -> u64 {
        self.disk.last_index()
    }

    fn term_at(&self, index: u64) -> u64 {
        self.disk.term_at(index).unwrap_or(0)
    }

    // ---- Saying and writing -------------------------------------------------------------------------

    /// The one way to change what this node holds: the record that goes to disk is taken in here as a start will take it in.
    fn write(&mut self, record: Record, out: &mut Out) {
        self.written += 1;
        self.disk.take(record.clone());
        out.writes.push((self.written, record));
    }

    fn message(&self, what: What) -> Message {
        Message { term: self.disk.term, what: Some(what) }
    }

    fn say(&mut self, to: &str, what: What, out: &mut Out) {
        let message = self.message(what);
        if self.term_write > self.synced {
            self.held.push_back((self.written, to.to_owned(), message));
        } else {
            out.sends.push((to.to_owned(), message));
        }
    }

    /// Sends once all that was written so far is on disk.
    fn after_writes(&mut self, to: &str, message: Message, out: &mut Out) {
        if self.written > self.synced {
            self.held.push_back((self.written, to.to_owned(), message));
        } else {
            out.sends.push((to.to_owned(), message));
        }
    }
}

/// A number drawn evenly from nought to one.
fn chance(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

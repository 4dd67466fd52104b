//! One node.

mod election;
mod follower;
mod log;
mod membership;
mod replication;
mod snapshot;

use crate::message::*;
use crate::persistent_state::{Configuration, PersistentState};
use bytes::Bytes;
pub use membership::MAX_MEMBERS;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use replication::{Progress, Rounds};
use snapshot::{Folding, Sending, Taking};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Milliseconds on the caller's steady clock.
type Millis = f64;

/// A leader speaks this often at least, and each time begins a round.
const PULSE: Millis = 100.0;
/// A node that has not heard from a leader for this long may be asked for its vote.
const SILENT: Millis = 600.0;
/// It stands after up to this much more, drawn by lot.
const SPREAD: Millis = 600.0;
/// A node that has just started asks around this soon, and up to three times as much later: where there is a leader, nobody
/// would vote for it.
const FIRST: Millis = 80.0;
/// One that asked in vain asks again after this, up to three times as long; one that stood in vain after twice this and up to
/// [`SPREAD`] more.
const AGAIN: Millis = 150.0;
/// A leader whose last proven contact with a majority is this long ago leads no more; nobody is in touch for longer than this after
/// the last proof.
const ALONE: Millis = 1000.0;
/// One that is no member and hears nobody asks to follow this often.
const REJOIN: Millis = 250.0;
/// A message that is not answered is sent again after this.
const RESEND: Millis = 400.0;
/// Bytes of entries in one message, about.
const BATCH: usize = 1 << 20;
/// Nodes that follow without a vote, at most.
const MOST_LEARNERS: usize = 16;
/// No term and no index gets here: whoever says so is none of the system.
const HIGHEST: u64 = 1 << 62;
/// Reads that wait for a round at most.
const MOST_READS: usize = 1024;
/// Messages that wait for the disk at most; what comes beyond is as good as lost on its way.
const MOST_HELD: usize = 4096;
/// Numbers of rounds and of answers of which the time is remembered.
const MOST_TIMES: usize = 4096;

/// How a node is set up.
#[derive(Clone, Copy, Debug, Default)]
pub struct Config<'a> {
    /// Where the whole system starts for the first time: the first members. With an empty disk and without it, the node has
    /// lost what it promised, or is new.
    pub initial_members: Option<&'a [String]>,
    /// Whether this node would be a member.
    pub voter: bool,
    /// How many members may be lost at once.
    pub max_failures: usize,
    /// Whether members are all alike, so that one may take the place of any other; not where zones or regions may be lost.
    pub interchangeable: bool,
    /// Only for the played tests, which have to find it: a change of the members counts with a majority of those after alone.
    #[doc(hidden)]
    pub skip_joint_quorum: bool,
}

/// What is to be done.
#[derive(Debug, Default)]
pub struct Ready {
    /// To be written in this order; the word that one is on disk says so of all before it.
    pub writes: Vec<(u64, PersistentUpdate)>,
    /// To be sent; to nobody by name: to all there are.
    pub messages: Vec<(String, Message)>,
    /// Agreed on from now, in order.
    pub committed_entries: Vec<Entry>,
    /// A state that takes the place of all before it.
    pub installed_snapshot: Option<Snapshot>,
    /// Reads that may be answered from what is agreed.
    pub confirmed_reads: Vec<u64>,
    /// This node has ceased to lead: what it was asked and has not answered may or may not be agreed on.
    pub stepped_down: bool,
    /// Lines for the log, of key=value.
    pub log_lines: Vec<String>,
}

#[derive(Debug)]
enum Role {
    Follower,
    /// Asks whether it would be elected: who would, by name and identity.
    Asking(BTreeSet<Member>),
    /// Who votes for it, and when it asked.
    Candidate(BTreeSet<Member>, Millis),
    Leader(Box<Leading>),
}

/// What a leader keeps.
#[derive(Debug)]
struct Leading {
    others: BTreeMap<String, Progress>,
    rounds: Rounds,
    /// Ticket and round of each read.
    reads: VecDeque<(u64, u64)>,
}

/// One node.
pub struct Raft {
    me: Member,
    rng: Pcg32,
    now: Millis,
    born: Millis,
    disk: PersistentState,
    folding: Folding,
    /// A state that is coming.
    taking: Option<Taking>,
    sets: Configuration,
    voters: BTreeSet<String>,
    wish: MembershipRequest,
    /// How many members may be lost at once, and whether they are alike.
    losses: usize,
    alike: bool,
    wrong_new_alone: bool,
    role: Role,
    leader: Option<String>,
    heard: Millis,
    /// The last leader that was heard, and when.
    led: Option<(String, Millis)>,
    stands: Millis,
    joins: Millis,
    commit_index: u64,
    /// Up to here a leader of this term has confirmed what is in the log.
    verified: u64,
    persisted: u64,
    synced: u64,
    /// Number of each write of entries that is not on disk, with the last index in it.
    unsynced: VecDeque<(u64, u64)>,
    synced_index: u64,
    /// The write that holds the present term, or this disk's mark: nothing is said before it is on disk.
    term_write: u64,
    held: VecDeque<(u64, String, Message)>,
    tickets: u64,
    /// When each answer to a leader was made.
    answers: Rounds,
    /// The last proven contact with a majority: at all, and as a member.
    touched: Millis,
    counted: Millis,
    behind: bool,
    /// Since when it leaves, and whether it may go.
    leaving: Option<Millis>,
    may_go: bool,
}

impl Raft {
    /// A node that finds this on its disk, at this time of its steady clock. `seed` is its only source of chance.
    pub fn new(
        me: &str,
        now: Millis,
        seed: u64,
        disk: PersistentState,
        setup: &Config,
        out: &mut Ready,
    ) -> Raft {
        let mut rng = Pcg32::seed_from_u64(seed);
        let drawn = rng.next_u64().max(1);
        let number = rng.next_u64() >> 2;
        let stands = now + FIRST * (1.0 + 3.0 * chance(&mut rng));
        let identity = disk.identity;
        let last = disk.last_index();
        let mut node = Raft {
            me: Member {
                name: me.to_owned(),
                identity: identity.unwrap_or(drawn),
            },
            rng,
            now,
            born: now,
            folding: Folding::of(&disk),
            taking: None,
            sets: Configuration::default(),
            voters: BTreeSet::new(),
            wish: MembershipRequest {
                voter: setup.voter,
                initial: setup.initial_members.is_some(),
                stopping: false,
            },
            losses: setup.max_failures,
            alike: setup.interchangeable,
            wrong_new_alone: setup.skip_joint_quorum,
            role: Role::Follower,
            leader: None,
            heard: f64::NEG_INFINITY,
            led: None,
            stands,
            joins: now,
            commit_index: 0,
            verified: 0,
            persisted: 0,
            synced: 0,
            unsynced: VecDeque::new(),
            synced_index: last,
            term_write: 0,
            held: VecDeque::new(),
            tickets: 0,
            answers: Rounds::after(number),
            touched: f64::NEG_INFINITY,
            counted: f64::NEG_INFINITY,
            behind: false,
            leaving: None,
            may_go: false,
            disk,
        };
        if identity.is_none() {
            let mut snapshot = None;
            if let Some(first) = setup.initial_members {
                node.me.identity = 0;
                let names: BTreeSet<&String> = first.iter().collect();
                let members = names
                    .into_iter()
                    .map(|name| Member {
                        name: name.clone(),
                        identity: 0,
                    })
                    .collect();
                // Its index is not nought: whoever has nothing lacks this too, and is sent it before any entry.
                snapshot = Some(Snapshot {
                    index: 1,
                    members,
                    ..Snapshot::default()
                });
            }
            let identity = Some(node.me.identity);
            node.write(
                PersistentUpdate {
                    identity,
                    snapshot,
                    ..PersistentUpdate::default()
                },
                out,
            );
            node.term_write = node.persisted;
        }
        node.commit_index = node.disk.snapshot.index;
        node.synced_index = node.synced_index.max(node.commit_index);
        node.count_members();
        node
    }

    /// The leader, as far as this node knows.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Whether this node leads, and all from before its time is agreed. A leader whose contact is no longer proven finds out at its next
    /// input of any kind, before it acts on it.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
            && self.disk.term_at(self.commit_index) == Some(self.disk.term)
    }

    /// Whether this node is a member, by the last that its log names.
    pub fn is_voter(&self) -> bool {
        self.sets.current.contains(&self.me)
    }

    /// Names of the members, by the last that the log names.
    pub fn voters(&self) -> &BTreeSet<String> {
        &self.voters
    }

    /// The members, by the last that the log names.
    pub fn members(&self) -> &[Member] {
        &self.sets.current
    }

    /// Whether the last change of the members is not known to be agreed on.
    pub fn in_joint_configuration(&self) -> bool {
        self.sets.index > self.commit_index.max(self.disk.members_committed)
            && !self.wrong_new_alone
    }

    /// The mark of this node's disk.
    pub fn identity(&self) -> u64 {
        self.me.identity
    }

    /// What this node holds: what a start would find once all is on disk that was written so far.
    pub fn persistent_state(&self) -> &PersistentState {
        &self.disk
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.disk.term
    }

    /// Up to where all is agreed.
    pub fn commit(&self) -> u64 {
        self.commit_index
    }

    /// Entries that are not agreed yet.
    pub fn uncommitted(&self) -> impl Iterator<Item = &Entry> {
        let first = self.commit_index.saturating_sub(self.disk.snapshot.index) as usize;
        self.disk.log.get(first..).unwrap_or_default().iter()
    }

    /// Entries in the log.
    pub fn log_len(&self) -> usize {
        self.disk.log.len()
    }

    /// The latest moment, by this node's clock, by which a majority is proven to have followed a leader that counted this node among
    /// the members and whose agreed entries of then are all applied here. It is never later than the truth: for a follower the time
    /// at which it sent what the leader echoes, less the age of the leader's own proof; for a leader the time at which it sent what
    /// a majority has answered.
    pub fn last_quorum_contact(&self, now: Millis) -> Millis {
        if self.is_leader() && self.is_voter() {
            self.counted.max(self.proven(now))
        } else {
            self.counted
        }
    }

    /// Whether this node knows what a majority had agreed on less than a second ago, as a member or not: what it has may be handed on.
    /// One that is behind, or cut off, or led by one that is, does not.
    pub fn has_quorum_contact(&self, now: Millis) -> bool {
        let touched = if self.is_leader() {
            self.touched.max(self.proven(now))
        } else {
            self.touched
        };
        now - touched < ALONE
    }

    // ---- Inputs -------------------------------------------------------------------------------------

    /// Time passes; to be called every tenth of a second or so.
    pub fn tick(&mut self, now: Millis, out: &mut Ready) {
        if self.begin(now, out) {
            return;
        }
        if matches!(self.role, Role::Leader(_)) {
            self.pulse(now, out);
            self.consider(now, out);
            self.hand_over(now, out);
            return;
        }
        let stands = self.may_stand();
        if stands && now >= self.stands {
            self.ask_around(now, out);
        }
        // Also one that takes itself for a member: it may have been taken out while it was cut off.
        let patience = if stands { 2.0 * ALONE } else { SILENT };
        if now >= self.joins
            && now - self.heard.max(if stands { self.born } else { f64::MIN }) > patience
        {
            self.joins = now + if stands { ALONE } else { REJOIN };
            // Whoever leads takes it up; the others pass it over.
            self.say(
                "",
                MessageBody::JoinRequest(JoinRequest {
                    membership: Some(self.wish),
                }),
                out,
            );
        }
    }

    /// A message has come.
    pub fn step(&mut self, now: Millis, from: &str, message: Message, out: &mut Ready) {
        // Answers that have lain in a socket prove nothing of now: a leader that is alone is one no more before it reads them.
        self.begin(now, out);
        let Some(what) = message.body.filter(|_| message.term < HIGHEST) else {
            return;
        };
        let would = matches!(&what, MessageBody::RequestVote(ask) if ask.pre_vote)
            || matches!(&what, MessageBody::RequestVoteResponse(voted) if voted.pre_vote && voted.granted);
        if message.term > self.disk.term && !would && !matches!(what, MessageBody::JoinRequest(_)) {
            self.enter(message.term, "", out);
            self.follow(now, None, out);
        }
        let old = message.term < self.disk.term;
        let sender = Member {
            name: from.to_owned(),
            identity: message.identity,
        };
        match what {
            MessageBody::RequestVote(ask) => self.asked(now, from, message.term, ask, out),
            MessageBody::RequestVoteResponse(voted) => self.voted(now, sender, voted, out),
            MessageBody::AppendEntries(append) if !old => self.append(now, from, append, out),
            MessageBody::InstallSnapshot(install) if !old => self.install(now, from, install, out),
            MessageBody::AppendEntries(_) | MessageBody::InstallSnapshot(_) => {
                // An old leader learns of the new term by it.
                let answer = AppendEntriesResponse {
                    success: false,
                    ..AppendEntriesResponse::default()
                };
                self.say(from, MessageBody::AppendEntriesResponse(answer), out);
            }
            MessageBody::AppendEntriesResponse(answer) if !old => {
                self.appended(now, &sender, answer, out)
            }
            MessageBody::TimeoutNow(_)
                if !old && self.leader.as_deref() == Some(from) && self.may_stand() =>
            {
                self.stand(now, out)
            }
            MessageBody::JoinRequest(join) => {
                self.joined(now, &sender, join.membership.unwrap_or_default(), out)
            }
            _ => {}
        }
    }

    /// All writes up to this number are on disk.
    pub fn written(&mut self, now: Millis, number: u64, out: &mut Ready) {
        self.begin(now, out);
        self.synced = self.synced.max(number).min(self.persisted);
        while let Some((_, last)) = self
            .unsynced
            .front()
            .copied()
            .filter(|(w, _)| *w <= self.synced)
        {
            self.synced_index = self.synced_index.max(last);
            self.unsynced.pop_front();
        }
        while self
            .held
            .front()
            .is_some_and(|(write, _, _)| *write <= self.synced)
        {
            if let Some((_, to, message)) = self.held.pop_front() {
                // What was to be said in an earlier term is of no more use.
                if message.term >= self.disk.term
                    || matches!(message.body, Some(MessageBody::RequestVoteResponse(_)))
                {
                    out.messages.push((to, message));
                }
            }
        }
        match &self.role {
            Role::Leader(_) => self.advance(now, out),
            _ => {
                if let Some(leader) = self.leader.clone() {
                    self.tell_matched(&leader, 0, out);
                }
            }
        }
    }

    /// Adds a change to the log, if this node leads; tells its index.
    pub fn propose(&mut self, now: Millis, payload: Vec<u8>, out: &mut Ready) -> Option<u64> {
        if self.begin(now, out) || !self.is_leader() || self.leaving.is_some() {
            return None;
        }
        let index = self.add(EntryKind::Command, payload, Vec::new(), out);
        self.spread(now, out);
        Some(index)
    }

    /// Asks whether this node still leads; tells a ticket that becomes readable once a majority says so.
    pub fn read_index(&mut self, now: Millis, out: &mut Ready) -> Option<u64> {
        if self.begin(now, out) || !self.is_leader() {
            return None;
        }
        let Role::Leader(leading) = &mut self.role else {
            return None;
        };
        if leading.reads.len() >= MOST_READS {
            return None;
        }
        self.tickets += 1;
        let ticket = self.tickets;
        let round = leading.rounds.begin(now);
        leading.reads.push_back((ticket, round));
        self.spread(now, out);
        self.confirm_reads(out);
        Some(ticket)
    }

    /// The head of every input: takes the time, and tells whether this node has just found that it leads no more.
    fn begin(&mut self, now: Millis, out: &mut Ready) -> bool {
        self.now = now;
        let alone = matches!(self.role, Role::Leader(_)) && self.alone(now);
        if alone {
            let last = now - self.proven(now);
            out.log_lines.push(format!(
                "event=alone term={} last_proof_ms={last:.0}",
                self.disk.term
            ));
            self.follow(now, None, out);
        }
        alone
    }
}

/// A number drawn evenly from nought to one.
fn chance(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

//! What an exchange decides: who may be acknowledged what, and what the doors and the other exchanges are told.

mod agreement;
mod backends;
mod doors;
mod operator;
mod whole;

use crate::beat::read_beat;
use crate::store::{StoreRecord, StoredState};
use bytes::Bytes;
use maplefall_control_messages::{
    encode_frame, ConfigUpdate, Frame, Heartbeat, Heartbeats, Hello, IndexedChange, InstanceUpdates,
};
use maplefall_gateway_config::{parse_amend, Change, ConfigState, PendingChanges, Validation};
use maplefall_node_settings::Settings;
use maplefall_quota_lease::{
    membership_lease_valid, ClientId, LeaseRequest, LeaseServer, OwnedSlots, SlotEvent, Slots,
    CLOCK_SKEW, LEASE_DURATION,
};
use maplefall_raft::{Config, Entry, EntryKind, Raft, Ready, Snapshot};
use maplefall_service_registry::{Applied, InstanceRecord, InstanceState, Registry};
pub use whole::ReplicatedState;

use prost::Message;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Milliseconds on the steady clock.
pub type Millis = f64;

/// How often [`Core::tick`] wants to be called.
pub const TICK: Millis = 100.0;
/// How often exchanges tell one another whom they have heard.
const TELL: Millis = 500.0;
/// Longest time that a call is held: callers move on after a second.
const HOLD: Millis = 700.0;
/// Longest time that a call waits for a majority.
const AGREE: Millis = 900.0;
/// Beats that a backend may miss before it is taken for lost.
const MISSED: f64 = 4.0;
/// A pause between ticks over which this process was not running.
const FROZEN: Millis = 1000.0;
/// Changes that are kept for doors that lack a few.
const RING: usize = 256;
/// Lives whose leaving is remembered as shared at most; of others it is shared again.
const MOST_SHARED: usize = 50_000;
/// Receipts at most that wait for the disk.
const MOST_RECEIPTS: usize = 4096;
/// An exchange that has been out of touch for this long acknowledges no beats. Longer than an election takes.
const AWAY: Millis = 1500.0;
/// Doors whose names are on disk at most: others are lent nothing.
const MOST_NAMED: usize = 8192;
/// How often names of doors that hold nothing any more are struck off.
const STRIKE: Millis = 30_000.0;
/// Calls that wait at most; what comes beyond is sent on.
const MOST_CALLS: usize = 512;

/// What a caller asks.
#[derive(Clone, Debug)]
pub enum Call {
    /// A backend says what it is.
    Heartbeat(String, Bytes),
    /// A backend ends.
    Deregister(String),
    /// The operator changes items.
    Amend(Bytes),
    /// The operator reads all back.
    ReadConfig,
}

/// What a caller is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResponse {
    /// 200 with a JSON body.
    Ok(String),
    /// A 4xx with the reason: nothing of the call is in force.
    Rejected(u16, String),
    /// 307 to the exchange at this address.
    Redirect(String),
    /// 503: another may know.
    Unavailable,
}

/// What is to be done.
#[derive(Debug)]
pub enum Output {
    /// Write this; the number is told to [`Core::written`].
    Write(u64, Box<StoreRecord>),
    /// Send a frame to the exchange at this address.
    SendToPeer(String, Bytes),
    /// Send a frame to every exchange.
    SendToAllPeers(Bytes),
    /// Send a frame on the connection of this number.
    SendToProxy(u64, Bytes),
    /// Answer a call.
    Respond(u64, CallResponse),
    /// A line for the log.
    Log(String),
    /// A line for whoever looks closely.
    Debug(String),
}

struct Door {
    node: String,
    life: u64,
    index: u64,
    told_all: bool,
    /// It has no configuration, and waits until this exchange is in touch.
    held_back: bool,
    /// Its last report, where that came while nothing could be answered, and when.
    unanswered: Option<(Millis, LeaseRequest)>,
}

/// What a write was for.
enum Wrote {
    Tandem(u64),
    /// A door's name: it may be lent to.
    Name(String, u64, LeaseRequest),
    /// A note for later lives.
    Note,
    /// Words about backends.
    Words,
    /// Nothing of its own: all before it holds what this leave, by its receipt, says.
    Leave(u64),
    /// The same of words that this exchange wants a receipt for.
    Heard(String, u64),
}

/// A leave that is to be acknowledged.
struct Leave {
    id: String,
    waiting: Waiting,
    /// Whether it is on this disk.
    on_disk: bool,
    /// Exchanges that have it on theirs.
    receipts: BTreeSet<String>,
}

/// A call that waits.
struct Waiting {
    call: u64,
    until: Millis,
}

/// A call that is answered once an entry is agreed on; should another leader's take its place, the answer is unknown.
struct AfterEntry {
    waiting: Waiting,
    term: u64,
    answer: CallResponse,
}

/// What is answered once a round has confirmed that this exchange leads.
enum AfterRound {
    ReadBack,
    /// A refusal that was judged in this term, with all up to this index before it.
    Refused(CallResponse, u64, u64),
}

/// The changes that are on their way, as far as they were looked at.
#[derive(Default)]
struct Coming {
    term: u64,
    /// Index before the first and of the last that was looked at.
    after: u64,
    through: u64,
    ahead: PendingChanges,
}

/// The decisions of one exchange.
pub struct Core {
    me: String,
    born: Millis,
    silence: Millis,
    tandem: Raft,
    board: ConfigState,
    /// Index of the last change in `board`.
    index: u64,
    ring: VecDeque<IndexedChange>,
    /// All changes after this index are in the ring.
    ring_after: u64,
    directory: Registry,
    /// Since when a majority has been heard without a break.
    company: Option<Millis>,
    /// Since when it has not.
    parted: Option<Millis>,
    /// Exchanges to which there is a link that lives.
    linked: BTreeSet<String>,
    /// When each of the voters said something of the agreement last.
    heard_from: BTreeMap<String, Millis>,
    /// Whom this exchange heard itself since it last told the others.
    heard: BTreeMap<String, u64>,
    /// Lives whose leaving a majority has on disk, this exchange too.
    shared: BTreeSet<String>,
    /// Leaves that wait for that, by the number of their receipt.
    leaves: BTreeMap<u64, Leave>,
    last_receipt: u64,
    /// Receipts that wait for the disk.
    receipts_due: usize,
    doors: BTreeMap<u64, Door>,
    /// Which machines may be lost at once: how many slots the quotas are cut into follows from it at the first start.
    losses: u32,
    shares: OwnedSlots,
    lender: LeaseServer,
    was_leased: bool,
    lent_to: BTreeSet<String>,
    /// Whether that names all doors that may hold what this exchange has lent.
    lent_known: bool,
    /// Doors whose names are on their way to the disk.
    naming: BTreeSet<String>,
    struck: Millis,
    last_write: u64,
    writing: VecDeque<(u64, Wrote)>,
    /// What is on its way, for the judgement of calls.
    coming: Coming,
    /// Calls that wait for an entry to be agreed on, by its index.
    amends: BTreeMap<u64, Vec<AfterEntry>>,
    /// Calls that wait for a round of the leader, by its ticket.
    reads: BTreeMap<u64, (Waiting, AfterRound)>,
    /// Reads that were confirmed before anybody waited for them.
    confirmed: BTreeSet<u64>,
    /// Calls that wait for a leader.
    held: Vec<(Waiting, Call)>,
    ticked: Millis,
    told: Millis,
    led_by: Option<String>,
    stopping: bool,
    /// Entries after which the log is folded even if it is not long: for tests.
    compact_after: Option<usize>,
}

impl Core {
    /// An exchange that found this on its disk. `seed` is its only source of chance.
    pub fn new(
        settings: &Settings,
        now: Millis,
        seed: u64,
        kept: StoredState,
        out: &mut Vec<Output>,
    ) -> Core {
        let me = settings.ip.to_string();
        let mut first: Vec<String> = settings
            .seeds
            .iter()
            .map(|seed| seed.ip().to_string())
            .collect();
        if first.is_empty() {
            first.push(me.clone());
        }
        let fresh = kept.raft.is_empty();
        let tolerance = &settings.tolerance;
        let setup = Config {
            initial_members: settings.bootstrap.then_some(first.as_slice()),
            voter: settings.quorum_member,
            max_failures: tolerance.machine_losses as usize,
            interchangeable: tolerance.zones == 0 && tolerance.region_losses == 0,
            ..Config::default()
        };
        let snapshot = kept.raft.snapshot.clone();
        let losses = settings.tolerance.machine_losses;
        // The first disk of all has lent nothing; another that came empty may have.
        let starts = fresh && settings.bootstrap;
        let lent_known = kept.leased_to_complete || starts;
        let lent_to = lent_known.then(|| kept.leased_to.clone());
        let mut todo = Ready::default();
        let tandem = Raft::new(&me, now, seed, kept.raft, &setup, &mut todo);
        let lender = LeaseServer::new(now, (seed as u32).max(1), 0, lent_to);
        let (shares, _) = OwnedSlots::new(now, &me, Slots::default(), kept.waited_slots);
        let mut core = Core {
            me,
            born: now,
            silence: MISSED * settings.heartbeat_s * 1000.0,
            losses,
            shares,
            lender,
            was_leased: false,
            lent_known,
            lent_to: kept.leased_to,
            naming: BTreeSet::new(),
            struck: now,
            tandem,
            board: ConfigState::default(),
            index: 0,
            ring: VecDeque::new(),
            ring_after: 0,
            directory: Registry::default(),
            company: None,
            parted: Some(now),
            linked: BTreeSet::new(),
            heard_from: BTreeMap::new(),
            heard: BTreeMap::new(),
            shared: BTreeSet::new(),
            leaves: BTreeMap::new(),
            last_receipt: seed & 0xffff_ffff,
            receipts_due: 0,
            doors: BTreeMap::new(),
            last_write: kept.number,
            writing: VecDeque::new(),
            coming: Coming::default(),
            amends: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            held: Vec::new(),
            ticked: now,
            told: now,
            led_by: None,
            stopping: false,
            compact_after: None,
        };
        for word in kept.instances.into_values() {
            core.directory.apply(now, word);
        }
        if starts {
            core.write(
                StoreRecord {
                    leased_to_complete: true,
                    ..StoreRecord::default()
                },
                Wrote::Note,
                out,
            );
            let first = core.tandem.persistent_state().snapshot.clone();
            core.install(now, &first, out);
        } else if !snapshot.members.is_empty() {
            core.install(now, &snapshot, out);
        }
        core.carry(now, todo, out);
        core
    }

    /// Addresses of the exchanges that agree with one another.
    pub fn voters(&self) -> &BTreeSet<String> {
        self.tandem.voters()
    }

    /// Whether this exchange leads the others.
    pub fn is_leader(&self) -> bool {
        self.tandem.is_leader()
    }

    /// Folds the log after this many entries, where the usual number is too many for a test.
    pub fn fold_after(&mut self, entries: usize) {
        self.compact_after = Some(entries);
    }

    // ---- Inputs -------------------------------------------------------------------------------------

    /// Time passes; to be called every [`TICK`].
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        if now - self.ticked > FROZEN {
            out.push(Output::Log(format!(
                "event=frozen ms={:.0}",
                now - self.ticked
            )));
            self.lose_company(now, out);
        }
        self.ticked = now;
        self.agree(now, out, |tandem, todo| tandem.tick(now, todo));
        self.keep_company(now, out);
        self.expire_calls(now, out);
        self.keep_lending(now, out);
        if now - self.told < TELL {
            return;
        }
        self.told = now;
        let seen = std::mem::take(&mut self.heard)
            .into_iter()
            .map(|(id, seq)| Heartbeat { id, seq })
            .collect();
        out.push(Output::SendToAllPeers(encode_frame(Frame::Heartbeats(
            Heartbeats { heartbeats: seen },
        ))));
        // Whoever was alone for a while could not hear.
        if self.company.is_some_and(|since| now - since > self.silence) {
            let lost = self.directory.expire(now, self.silence);
            for word in &lost {
                out.push(Output::Log(format!(
                    "event=lost backend={} service={}",
                    word.id, word.service
                )));
            }
            if !lost.is_empty() {
                self.write(
                    StoreRecord {
                        instances: lost.clone(),
                        ..StoreRecord::default()
                    },
                    Wrote::Words,
                    out,
                );
            }
            self.tell(lost, out);
        }
        let whole = self.knows_all(now);
        let unaware: Vec<u64> = self
            .doors
            .iter()
            .filter(|(_, door)| whole && !door.told_all)
            .map(|(conn, _)| *conn)
            .collect();
        for conn in unaware {
            self.tell_all(now, conn, out);
        }
    }

    /// All writes up to this number are on disk.
    pub fn persisted(&mut self, now: Millis, number: u64, out: &mut Vec<Output>) {
        while self
            .writing
            .front()
            .is_some_and(|(write, _)| *write <= number)
        {
            match self
                .writing
                .pop_front()
                .map_or(Wrote::Tandem(0), |(_, wrote)| wrote)
            {
                Wrote::Tandem(number) => {
                    self.agree(now, out, |tandem, todo| tandem.written(now, number, todo))
                }
                Wrote::Name(name, conn, report) => self.named(now, &name, conn, &report, out),
                Wrote::Note => {}
                Wrote::Words => {}
                Wrote::Leave(receipt) => {
                    if let Some(leave) = self.leaves.get_mut(&receipt) {
                        leave.on_disk = true;
                    }
                    self.settle(receipt, out);
                }
                Wrote::Heard(ip, receipt) => {
                    self.receipts_due -= 1;
                    out.push(Output::SendToPeer(
                        ip,
                        encode_frame(Frame::InstancesPersisted(receipt)),
                    ));
                }
            }
        }
    }

    /// There is a new link to another exchange: what went to it before may be lost, so it is told all again.
    pub fn peer_connected(&mut self, now: Millis, ip: &str, out: &mut Vec<Output>) {
        self.linked.insert(ip.to_owned());
        let known = backends::words(self.directory.records(now), false, 0);
        out.push(Output::SendToPeer(ip.to_owned(), known));
        for (receipt, leave) in &self.leaves {
            if let Some(word) = self.directory.word(now, &leave.id) {
                out.push(Output::SendToPeer(
                    ip.to_owned(),
                    backends::words(vec![word], false, *receipt),
                ));
            }
        }
    }

    /// The link to another exchange is dead. What it may not have heard is told again when there is another; entries are sent again
    /// until they are answered.
    pub fn peer_disconnected(&mut self, ip: &str) {
        self.linked.remove(ip);
    }

    /// Another exchange says something.
    pub fn receive_from_peer(
        &mut self,
        now: Millis,
        ip: &str,
        frame: Frame,
        out: &mut Vec<Output>,
    ) {
        match frame {
            Frame::Raft(message) => {
                if self.tandem.voters().contains(ip) {
                    self.heard_from.insert(ip.to_owned(), now);
                }
                self.agree(now, out, |tandem, todo| tandem.step(now, ip, message, todo));
            }
            Frame::InstanceUpdates(words) => self.told(now, ip, words, out),
            Frame::InstancesPersisted(receipt) => {
                if let Some(leave) = self.leaves.get_mut(&receipt) {
                    leave.receipts.insert(ip.to_owned());
                    self.settle(receipt, out);
                }
            }
            Frame::Heartbeats(alive) => {
                for seen in alive.heartbeats {
                    self.directory.refresh(now, &seen.id, seen.seq);
                }
            }
            _ => {}
        }
    }

    /// A caller asks something; the answer has this number.
    pub fn call(&mut self, now: Millis, number: u64, call: Call, out: &mut Vec<Output>) {
        match call {
            Call::Heartbeat(id, body) => match read_beat(&id, &body) {
                Err(field) => {
                    let why = format!("step=read field={field} backend={id}");
                    out.push(Output::Log(format!("event=bad_beat {why}")));
                    out.push(Output::Respond(number, CallResponse::Rejected(400, why)));
                }
                Ok(word) => self.beat(now, number, word, out),
            },
            Call::Deregister(id) => {
                let brought = self.directory.deregister(now, &id);
                self.acknowledge(now, number, &id, brought, true, out);
            }
            Call::Amend(body) => self.amend(now, number, body, out),
            Call::ReadConfig => self.read(now, number, out),
        }
    }

    /// The settings file has changed: what it says of beats holds from now on; the rest takes a start.
    pub fn reload(&mut self, settings: &Settings) {
        self.silence = MISSED * settings.heartbeat_s * 1000.0;
    }

    /// A planned stop begins: somebody else is to lead, and nothing is to rest on this exchange alone.
    pub fn shut_down(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.stopping = true;
        self.agree(now, out, |tandem, todo| tandem.shut_down(now, todo));
        for (waiting, _) in std::mem::take(&mut self.held) {
            out.push(Output::Respond(waiting.call, CallResponse::Unavailable));
        }
    }

    /// Whether a planned stop may end: nothing that was agreed on rests on this exchange alone.
    pub fn may_stop(&self, now: Millis) -> bool {
        self.tandem.may_stop(now)
    }

    fn write(&mut self, stored: StoreRecord, wrote: Wrote, out: &mut Vec<Output>) {
        self.last_write += 1;
        self.writing.push_back((self.last_write, wrote));
        out.push(Output::Write(self.last_write, Box::new(stored)));
    }
}

//! What an exchange decides: who may be acknowledged what, and what the doors and the other exchanges are told.

mod agreement;
mod backends;
mod doors;
mod operator;
mod whole;

use crate::beat::read_beat;
use crate::store::{Kept, Stored};
use bytes::Bytes;
use maplefall_directory::{Brought, Directory, State, Word};
use maplefall_mainframe::Settings;
use maplefall_numbering::{read_call, Board, Change};
use maplefall_signalling::{write, Alive, Frame, Hello, Numbered, Plans, Seen, Words};
use maplefall_tandem::{Entry, EntryKind, Out, Setup, Tandem};
use maplefall_toll::{Lender, Report};
pub use whole::Whole;

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
/// Calls that wait at most; what comes beyond is sent on.
const MOST_CALLS: usize = 512;

/// What a caller asks.
#[derive(Clone, Debug)]
pub enum Call {
    /// A backend says what it is.
    Beat(String, Bytes),
    /// A backend ends.
    Leave(String),
    /// The operator changes items.
    Amend(Bytes),
    /// The operator reads all back.
    Read,
}

/// What a caller is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// 200 with a JSON body.
    Done(String),
    /// A 4xx with the reason: nothing of the call is in force.
    Refused(u16, String),
    /// 307 to the exchange at this address.
    Elsewhere(String),
    /// 503: another may know.
    Unknown,
}

/// What is to be done.
#[derive(Debug)]
pub enum Output {
    /// Write this; the number is told to [`Core::written`].
    Write(u64, Stored),
    /// Send a frame to the exchange at this address.
    Peer(String, Bytes),
    /// Send a frame to every exchange.
    Peers(Bytes),
    /// Send a frame on the connection of this number.
    Door(u64, Bytes),
    /// Answer a call.
    Answer(u64, Answer),
    /// A line for the log.
    Log(String),
}

struct Door {
    node: String,
    life: u64,
    index: u64,
    told_all: bool,
    spoken: Millis,
}

/// What a write was for.
enum Wrote {
    Tandem(u64),
    /// A door's name: it may be lent to.
    Name(u64, Report),
    /// Words about backends, and the call that waits for them.
    Words(Option<u64>),
}

/// A call that waits.
struct Waiting {
    call: u64,
    until: Millis,
}

/// The decisions of one exchange.
pub struct Core {
    me: String,
    born: Millis,
    silence: Millis,
    tandem: Tandem,
    board: Board,
    /// Index of the last change in `board`.
    index: u64,
    ring: VecDeque<Numbered>,
    /// All changes after this index are in the ring.
    ring_after: u64,
    directory: Directory,
    /// Since when a majority has been heard without a break.
    company: Option<Millis>,
    /// Whom this exchange heard itself since it last told the others.
    heard: BTreeMap<String, u64>,
    /// Lives whose leaving another exchange knows too.
    shared: BTreeSet<String>,
    /// Leaves that wait for another exchange's receipt, by its number.
    receipts: BTreeMap<u64, (String, u64)>,
    /// Calls that wait for the disk, for another exchange, or for both.
    leaves: BTreeMap<u64, (Waiting, u8)>,
    last_receipt: u64,
    doors: BTreeMap<u64, Door>,
    lender: Option<Lender>,
    lent_to: BTreeSet<String>,
    lent_known: bool,
    last_write: u64,
    writing: VecDeque<(u64, Wrote)>,
    /// Calls that wait for their entry to be agreed on, by its index.
    amends: BTreeMap<u64, Waiting>,
    reads: BTreeMap<u64, Waiting>,
    /// Reads that were confirmed before anybody waited for them.
    confirmed: BTreeSet<u64>,
    /// Calls that wait for a leader.
    held: Vec<(Waiting, Call)>,
    ticked: Millis,
    told: Millis,
    led_by: Option<String>,
    stopping: bool,
}

impl Core {
    /// An exchange that found this on its disk. `seed` is its only source of chance.
    pub fn new(settings: &Settings, now: Millis, seed: u64, kept: Kept, out: &mut Vec<Output>) -> Core {
        let me = settings.ip.to_string();
        let mut first: Vec<String> = settings.seeds.iter().map(|seed| seed.ip().to_string()).collect();
        if first.is_empty() {
            first.push(me.clone());
        }
        let fresh = kept.tandem.is_empty();
        let tolerance = &settings.tolerance;
        let setup = Setup {
            first: settings.bootstrap.then_some(first.as_slice()),
            counts: settings.quorum_member,
            losses: tolerance.machine_losses as usize,
            alike: tolerance.zones == 0 && tolerance.region_losses == 0,
            ..Setup::default()
        };
        let snapshot = kept.tandem.snapshot.clone();
        let mut todo = Out::default();
        let tandem = Tandem::new(&me, now, seed, kept.tandem, &setup, &mut todo);
        let mut core = Core {
            me,
            born: now,
            silence: MISSED * settings.heartbeat_s * 1000.0,
            lent_known: !fresh || settings.bootstrap,
            lent_to: kept.lent_to,
            tandem,
            board: Board::default(),
            index: 0,
            ring: VecDeque::new(),
            ring_after: 0,
            directory: Directory::default(),
            company: None,
            heard: BTreeMap::new(),
            shared: BTreeSet::new(),
            receipts: BTreeMap::new(),
            leaves: BTreeMap::new(),
            last_receipt: seed & 0xffff_ffff,
            doors: BTreeMap::new(),
            lender: None,
            last_write: kept.number,
            writing: VecDeque::new(),
            amends: BTreeMap::new(),
            reads: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            held: Vec::new(),
            ticked: now,
            told: now,
            led_by: None,
            stopping: false,
        };
        for word in kept.words.into_values() {
            core.directory.hear(now, word);
        }
        if snapshot.index > 0 {
            core.install(&snapshot.state, snapshot.index);
        }
        core.lend(now);
        core.carry(now, todo, out);
        core
    }

    /// Addresses of the exchanges that agree with one another.
    pub fn voters(&self) -> &BTreeSet<String> {
        self.tandem.voters()
    }

    // ---- Inputs -------------------------------------------------------------------------------------

    /// Time passes; to be called every [`TICK`].
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        if now - self.ticked > FROZEN {
            out.push(Output::Log(format!("event=frozen ms={:.0}", now - self.ticked)));
            self.company = None;
        }
        self.ticked = now;
        self.agree(now, out, |tandem, todo| tandem.tick(now, todo));
        self.keep_company(now, out);
        self.expire_calls(now, out);
        if now - self.told < TELL {
            return;
        }
        self.told = now;
        let seen = std::mem::take(&mut self.heard).into_iter().map(|(id, seq)| Seen { id, seq }).collect();
        out.push(Output::Peers(write(Frame::Alive(Alive { seen }))));
        // Whoever was alone for a while could not hear.
        if self.company.is_some_and(|since| now - since > self.silence) {
            let lost = self.directory.overdue(now, self.silence);
            for word in &lost {
                out.push(Output::Log(format!("event=lost backend={} service={}", word.id, word.service)));
            }
            if !lost.is_empty() {
                self.write(Stored { words: lost.clone(), ..Stored::default() }, Wrote::Words(None), out);
            }
            self.tell(now, lost, out);
        }
        let whole = self.knows_all(now);
        let unaware: Vec<u64> =
            self.doors.iter().filter(|(_, door)| whole && !door.told_all).map(|(conn, _)| *conn).collect();
        for conn in unaware {
            self.tell_all(now, conn, out);
        }
        let quiet: Vec<u64> = self
            .doors
            .iter()
            .filter(|(_, door)| now - door.spoken >= 2.0 * TELL - TICK)
            .map(|(conn, _)| *conn)
            .collect();
        for conn in quiet {
            self.say(now, conn, write(Frame::Pulse(0)), out);
        }
    }

    /// All writes up to this number are on disk.
    pub fn written(&mut self, now: Millis, number: u64, out: &mut Vec<Output>) {
        while self.writing.front().is_some_and(|(write, _)| *write <= number) {
            match self.writing.pop_front().map_or(Wrote::Tandem(0), |(_, wrote)| wrote) {
                Wrote::Tandem(number) => {
                    self.agree(now, out, |tandem, todo| tandem.written(now, number, todo))
                }
                Wrote::Name(conn, report) => self.reported(now, conn, &report, out),
                Wrote::Words(call) => self.half_known(call, out),
            }
        }
    }

    /// Another exchange has opened a connection.
    pub fn peer_up(&mut self, now: Millis, ip: &str, out: &mut Vec<Output>) {
        let words = self.directory.words(now);
        out.push(Output::Peer(ip.to_owned(), write(Frame::Words(Words { words, all: false, receipt: 0 }))));
    }

    /// Another exchange says something.
    pub fn peer(&mut self, now: Millis, ip: &str, frame: Frame, out: &mut Vec<Output>) {
        match frame {
            Frame::Tandem(message) => {
                self.agree(now, out, |tandem, todo| tandem.receive(now, ip, message, todo));
            }
            Frame::Words(words) => {
                let mut news = Vec::new();
                for word in words.words {
                    if matches!(word.state(), State::Leaving | State::Left) && self.shared.len() < MOST_SHARED
                    {
                        self.shared.insert(word.id.clone());
                    }
                    if let Brought::News(word) = self.directory.hear(now, word) {
                        news.push(word);
                    }
                }
                if !news.is_empty() {
                    self.write(Stored { words: news.clone(), ..Stored::default() }, Wrote::Words(None), out);
                }
                self.tell(now, news, out);
                if words.receipt != 0 {
                    out.push(Output::Peer(ip.to_owned(), write(Frame::Heard(words.receipt))));
                }
            }
            Frame::Heard(receipt) => {
                if let Some((id, call)) = self.receipts.remove(&receipt) {
                    self.shared.insert(id);
                    self.half_known(Some(call), out);
                }
            }
            Frame::Alive(alive) => {
                for seen in alive.seen {
                    self.directory.seen(now, &seen.id, seen.seq);
                }
            }
            _ => {}
        }
    }

    /// A caller asks something; the answer has this number.
    pub fn call(&mut self, now: Millis, number: u64, call: Call, out: &mut Vec<Output>) {
        match call {
            Call::Beat(id, body) => match read_beat(&id, &body) {
                Err(field) => {
                    let why = format!("step=read field={field} backend={id}");
                    out.push(Output::Log(format!("event=bad_beat {why}")));
                    out.push(Output::Answer(number, Answer::Refused(400, why)));
                }
                Ok(word) => self.beat(now, number, word, out),
            },
            Call::Leave(id) => {
                let brought = self.directory.leave(now, &id);
                self.acknowledge(now, number, &id, brought, true, out);
            }
            Call::Amend(body) => self.amend(now, number, body, out),
            Call::Read => {
                let ticket = self.ask(now, out, |tandem, todo| tandem.read(now, todo));
                match ticket {
                    Some(ticket) => {
                        let waiting = Waiting { call: number, until: now + AGREE };
                        if self.confirmed.remove(&ticket) {
                            out.push(Output::Answer(number, Answer::Done(self.board.read_back())));
                        } else {
                            self.reads.insert(ticket, waiting);
                        }
                    }
                    None => self.not_mine(now, number, Call::Read, out),
                }
            }
        }
    }

    /// The settings file has changed: what it says of beats holds from now on; the rest takes a start.
    pub fn reload(&mut self, settings: &Settings) {
        self.silence = MISSED * settings.heartbeat_s * 1000.0;
    }

    /// A planned stop begins: somebody else is to lead, and nothing is to rest on this exchange alone.
    pub fn stop(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.stopping = true;
        self.agree(now, out, |tandem, todo| tandem.leave(now, todo));
        for (waiting, _) in std::mem::take(&mut self.held) {
            out.push(Output::Answer(waiting.call, Answer::Unknown));
        }
    }

    /// Whether a planned stop may end: nothing that was agreed on rests on this exchange alone.
    pub fn left(&self, now: Millis) -> bool {
        self.tandem.left(now)
    }

    fn write(&mut self, stored: Stored, wrote: Wrote, out: &mut Vec<Output>) {
        self.last_write += 1;
        self.writing.push_back((self.last_write, wrote));
        out.push(Output::Write(self.last_write, stored));
    }
}

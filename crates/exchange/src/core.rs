//! What an exchange decides: who may be acknowledged what, and what the doors and the other exchanges are told.

use crate::beat::read_beat;
use crate::store::{Kept, Stored};
use bytes::Bytes;
use maplefall_directory::{Brought, Directory, State, Word};
use maplefall_mainframe::Settings;
use maplefall_numbering::{read_call, Board, Change};
use maplefall_signalling::{write, Alive, Frame, Hello, Numbered, Plans, Seen, Words};
use maplefall_tandem::{Entry, EntryKind, Out, Tandem};
use maplefall_toll::{Lender, Report};
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
/// Entries after which the log is folded.
const LONG_LOG: usize = 2000;
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
        let first = settings.bootstrap.then_some(first.as_slice());
        let snapshot = kept.tandem.snapshot.clone();
        let mut todo = Out::default();
        let tandem = Tandem::new(&me, now, seed, kept.tandem, first, settings.quorum_member, &mut todo);
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

    /// A door has opened a connection, of this number.
    pub fn door_up(&mut self, now: Millis, conn: u64, hello: &Hello, out: &mut Vec<Output>) {
        out.push(Output::Log(format!("event=door_up node={} index={}", hello.node, hello.index)));
        let door = Door {
            node: hello.node.clone(),
            life: hello.life,
            index: hello.index,
            told_all: false,
            spoken: now,
        };
        self.doors.insert(conn, door);
        // Even where nothing has changed: the door learns which exchanges there are.
        self.plans(now, conn, true, out);
        self.tell_all(now, conn, out);
    }

    /// A door's connection has ended.
    pub fn door_down(&mut self, conn: u64, out: &mut Vec<Output>) {
        if let Some(door) = self.doors.remove(&conn) {
            out.push(Output::Log(format!("event=door_down node={}", door.node)));
        }
    }

    /// A door says something.
    pub fn door(&mut self, now: Millis, conn: u64, frame: Frame, out: &mut Vec<Output>) {
        let Frame::Report(report) = frame else { return };
        let Some(door) = self.doors.get(&conn) else { return };
        if !self.lent_to.contains(&door.node) && !report.last {
            // Before it is lent anything, its name is on disk: a later life asks it first.
            self.lent_to.insert(door.node.clone());
            let stored = Stored { lent_to: vec![door.node.clone()], ..Stored::default() };
            self.write(stored, Wrote::Name(conn, report), out);
            return;
        }
        self.reported(now, conn, &report, out);
    }

    fn reported(&mut self, now: Millis, conn: u64, report: &Report, out: &mut Vec<Output>) {
        let (Some(door), Some(lender)) = (self.doors.get(&conn), &mut self.lender) else { return };
        let mine = door.node.clone();
        let tenants = self.board.standing(maplefall_numbering::Kind::Tenant).map(|item| item.name.as_str());
        let answers = lender.report(now, &door.node, door.life, report, tenants);
        for (node, lent) in answers {
            let conn = if node == mine { Some(conn) } else { self.conn_of(&node) };
            if let Some(conn) = conn {
                self.say(now, conn, write(Frame::Lent(lent)), out);
            }
        }
    }

    /// The latest connection of a door.
    fn conn_of(&self, node: &str) -> Option<u64> {
        self.doors.iter().rev().find(|(_, door)| door.node == node).map(|(conn, _)| *conn)
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

    /// A planned stop begins: somebody else is to lead.
    pub fn stop(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.stopping = true;
        self.agree(now, out, |tandem, todo| tandem.resign(now, todo));
        for (waiting, _) in std::mem::take(&mut self.held) {
            out.push(Output::Answer(waiting.call, Answer::Unknown));
        }
    }

    // ---- Backends -----------------------------------------------------------------------------------

    fn beat(&mut self, now: Millis, number: u64, word: Word, out: &mut Vec<Output>) {
        let (id, seq, leaving) = (word.id.clone(), word.seq, word.state() == State::Leaving);
        let brought = self.directory.hear(now, word);
        if brought != Brought::Nothing {
            self.heard.insert(id.clone(), seq);
        }
        self.acknowledge(now, number, &id, brought, leaving, out);
    }

    /// Answers a backend. That it leaves is acknowledged once another exchange knows it too: it has to hold though this one
    /// should be lost in the same moment.
    fn acknowledge(
        &mut self,
        now: Millis,
        number: u64,
        id: &str,
        brought: Brought,
        leaving: bool,
        out: &mut Vec<Output>,
    ) {
        let alone = self.tandem.voters().len() <= 1;
        let known = !leaving || alone || self.shared.contains(id);
        let news = match brought {
            Brought::News(word) => {
                self.tell(now, vec![word.clone()], out);
                let call = (!known).then_some(number);
                self.write(
                    Stored { words: vec![word.clone()], ..Stored::default() },
                    Wrote::Words(call),
                    out,
                );
                Some(word)
            }
            _ => None,
        };
        if known {
            out.push(Output::Answer(number, Answer::Done("{}".to_owned())));
            if news.is_none() {
                return;
            }
        }
        let written = news.is_some();
        let Some(word) = news.or_else(|| self.directory.word(now, id)) else { return };
        let mut receipt = 0;
        if !known {
            self.last_receipt += 1;
            receipt = self.last_receipt;
            self.receipts.insert(receipt, (id.to_owned(), number));
            let waiting = Waiting { call: number, until: now + AGREE };
            self.leaves.insert(number, (waiting, 1 + u8::from(written)));
        }
        out.push(Output::Peers(write(Frame::Words(Words { words: vec![word], all: false, receipt }))));
    }

    /// One of the things has happened that the acknowledgement of a leave waits for.
    fn half_known(&mut self, call: Option<u64>, out: &mut Vec<Output>) {
        let Some((call, waits)) = call.and_then(|call| Some((call, self.leaves.get_mut(&call)?))) else {
            return;
        };
        waits.1 -= 1;
        if waits.1 == 0 {
            self.leaves.remove(&call);
            out.push(Output::Answer(call, Answer::Done("{}".to_owned())));
        }
    }

    /// Tells all doors.
    fn tell(&mut self, now: Millis, words: Vec<Word>, out: &mut Vec<Output>) {
        if words.is_empty() {
            return;
        }
        for word in &words {
            if matches!(word.state(), State::Leaving | State::Left) {
                let state = if word.state() == State::Left { "left" } else { "leaving" };
                out.push(Output::Log(format!("event={state} backend={} service={}", word.id, word.service)));
            }
        }
        let bytes = write(Frame::Words(Words { words, all: false, receipt: 0 }));
        for conn in self.doors.keys().copied().collect::<Vec<_>>() {
            self.say(now, conn, bytes.clone(), out);
        }
    }

    /// Whether this exchange has listened for long enough to know every backend.
    fn knows_all(&self, now: Millis) -> bool {
        now - self.born > self.silence && self.company.is_some_and(|since| now - since > self.silence)
    }

    /// Tells a door all. One that is alone keeps what it found on its disk to itself: others may know that it is over.
    fn tell_all(&mut self, now: Millis, conn: u64, out: &mut Vec<Output>) {
        let all = self.knows_all(now);
        if self.company.is_none() {
            return;
        }
        let Some(door) = self.doors.get_mut(&conn) else { return };
        door.told_all = all;
        let words = self.directory.words(now);
        let serving = |word: &Word| matches!(word.state(), State::Serving | State::Leaving);
        let words = words.into_iter().filter(serving).collect();
        self.say(now, conn, write(Frame::Words(Words { words, all, receipt: 0 })), out);
    }

    fn keep_company(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.tandem.in_company(now) {
            self.company = None;
        } else if self.company.is_none() {
            self.company = Some(now);
            self.directory.excuse(now);
            for conn in self.doors.keys().copied().collect::<Vec<_>>() {
                self.tell_all(now, conn, out);
            }
        }
    }

    // ---- The operator -------------------------------------------------------------------------------

    fn amend(&mut self, now: Millis, number: u64, body: Bytes, out: &mut Vec<Output>) {
        let refuse = |why: maplefall_numbering::Refusal, out: &mut Vec<Output>| {
            out.push(Output::Log(format!("event=refused status={} {why}", why.status())));
            out.push(Output::Answer(number, Answer::Refused(why.status(), why.to_string())));
        };
        let change = match read_call(&body) {
            Ok(change) => change,
            Err(why) => return refuse(why, out),
        };
        if !self.tandem.leads() || self.stopping {
            return self.not_mine(now, number, Call::Amend(body), out);
        }
        // What is on its way counts too: it comes before this.
        let mut ahead = self.board.clone();
        for entry in self.tandem.pending().filter(|entry| entry.kind() == EntryKind::Change) {
            if let Ok(earlier) = Change::decode(entry.payload.as_slice()) {
                ahead.join(&earlier);
            }
        }
        if let Err(why) = ahead.check(&change) {
            return refuse(why, out);
        }
        let payload = change.encode_to_vec();
        match self.ask(now, out, |tandem, todo| tandem.propose(now, payload, todo)) {
            Some(index) if self.index >= index => {
                out.push(Output::Answer(number, Answer::Done("{}".to_owned())));
            }
            Some(index) => {
                self.amends.insert(index, Waiting { call: number, until: now + AGREE });
            }
            None => self.not_mine(now, number, Call::Amend(body), out),
        }
    }

    /// Sends a call on to the leader, or holds it until there is one.
    fn not_mine(&mut self, now: Millis, number: u64, call: Call, out: &mut Vec<Output>) {
        match self.tandem.leader() {
            Some(leader) if leader != self.me => {
                out.push(Output::Answer(number, Answer::Elsewhere(leader.to_owned())));
            }
            _ if self.held.len() >= MOST_CALLS || self.stopping => {
                out.push(Output::Answer(number, Answer::Unknown));
            }
            _ => self.held.push((Waiting { call: number, until: now + HOLD }, call)),
        }
    }

    fn expire_calls(&mut self, now: Millis, out: &mut Vec<Output>) {
        for (waiting, call) in std::mem::take(&mut self.held) {
            if now >= waiting.until {
                out.push(Output::Answer(waiting.call, Answer::Unknown));
            } else if self.tandem.leads() || self.tandem.leader().is_some_and(|leader| leader != self.me) {
                self.call(now, waiting.call, call, out);
            } else {
                self.held.push((waiting, call));
            }
        }
        let unknown = |waiting: &Waiting, out: &mut Vec<Output>| {
            let late = now >= waiting.until;
            if late {
                out.push(Output::Answer(waiting.call, Answer::Unknown));
            }
            !late
        };
        self.amends.retain(|_, waiting| unknown(waiting, out));
        self.reads.retain(|_, waiting| unknown(waiting, out));
        self.leaves.retain(|_, (waiting, _)| unknown(waiting, out));
        let leaves = &self.leaves;
        self.receipts.retain(|_, (_, call)| leaves.contains_key(call));
    }

    // ---- Agreement ----------------------------------------------------------------------------------

    fn agree(&mut self, now: Millis, out: &mut Vec<Output>, step: impl FnOnce(&mut Tandem, &mut Out)) {
        self.ask(now, out, |tandem, todo| step(tandem, todo));
    }

    fn ask<T>(
        &mut self,
        now: Millis,
        out: &mut Vec<Output>,
        step: impl FnOnce(&mut Tandem, &mut Out) -> T,
    ) -> T {
        let mut todo = Out::default();
        let result = step(&mut self.tandem, &mut todo);
        self.carry(now, todo, out);
        result
    }

    fn carry(&mut self, now: Millis, todo: Out, out: &mut Vec<Output>) {
        for (number, record) in todo.writes {
            self.write(Stored { tandem: Some(record), ..Stored::default() }, Wrote::Tandem(number), out);
        }
        for (to, message) in todo.sends {
            let bytes = write(Frame::Tandem(message));
            out.push(if to.is_empty() { Output::Peers(bytes) } else { Output::Peer(to, bytes) });
        }
        if let Some(snapshot) = todo.installed {
            self.install(&snapshot.state, snapshot.index);
            self.spread_plans(now, out);
        }
        if !todo.agreed.is_empty() {
            self.apply(now, todo.agreed, out);
        }
        self.confirmed.clear();
        for ticket in todo.readable {
            if let Some(waiting) = self.reads.remove(&ticket) {
                out.push(Output::Answer(waiting.call, Answer::Done(self.board.read_back())));
            } else {
                // It is confirmed in the very call that asked for it, or its caller has been answered.
                self.confirmed.insert(ticket);
            }
        }
        if todo.deposed {
            let waiting = std::mem::take(&mut self.amends).into_values();
            for call in waiting.chain(std::mem::take(&mut self.reads).into_values()) {
                out.push(Output::Answer(call.call, Answer::Unknown));
            }
        }
        if self.led_by.as_deref() != self.tandem.leader() {
            self.led_by = self.tandem.leader().map(str::to_owned);
            let leader = self.led_by.as_deref().unwrap_or("none");
            out.push(Output::Log(format!("event=leader leader={leader} term={}", self.tandem.term())));
        }
        self.lend(now);
        self.keep_company(now, out);
        if self.tandem.length() > LONG_LOG {
            let state = Change { items: self.board.items().cloned().collect() }.encode_to_vec();
            self.agree(now, out, |tandem, todo| tandem.fold(state, todo));
        }
    }

    fn apply(&mut self, now: Millis, entries: Vec<Entry>, out: &mut Vec<Output>) {
        for entry in entries {
            if entry.kind() == EntryKind::Change {
                if let Ok(change) = Change::decode(entry.payload.as_slice()) {
                    self.board.join(&change);
                    out.push(Output::Log(format!(
                        "event=agreed index={} items={}",
                        entry.index,
                        change.items.len()
                    )));
                    self.ring.push_back(Numbered { index: entry.index, change: Some(change) });
                    if self.ring.len() > RING {
                        self.ring_after = self.ring.pop_front().map_or(self.ring_after, |one| one.index);
                    }
                }
                self.index = entry.index;
            }
            if let Some(waiting) = self.amends.remove(&entry.index) {
                out.push(Output::Answer(waiting.call, Answer::Done("{}".to_owned())));
            }
        }
        self.spread_plans(now, out);
    }

    fn install(&mut self, state: &[u8], index: u64) {
        if let Ok(all) = Change::decode(state) {
            self.board = Board::of(all.items);
        }
        self.index = index;
        self.ring_after = index;
        self.ring.clear();
    }

    // ---- Doors --------------------------------------------------------------------------------------

    fn spread_plans(&mut self, now: Millis, out: &mut Vec<Output>) {
        for conn in self.doors.keys().copied().collect::<Vec<_>>() {
            self.plans(now, conn, false, out);
        }
    }

    /// Tells a door what it lacks of the configuration.
    fn plans(&mut self, now: Millis, conn: u64, always: bool, out: &mut Vec<Output>) {
        let Some(door) = self.doors.get_mut(&conn) else { return };
        let news = self.index > door.index;
        if !news && !always {
            return;
        }
        let exchanges = self.tandem.voters().iter().cloned().collect();
        let mut plans = Plans { after: door.index, index: door.index, exchanges, ..Plans::default() };
        if news {
            let after = door.index;
            (plans.index, door.index) = (self.index, self.index);
            if after > 0 && after >= self.ring_after {
                plans.changes = self.ring.iter().filter(|one| one.index > after).cloned().collect();
            } else {
                plans.after = 0;
                plans.items = self.board.items().cloned().collect();
            }
        }
        self.say(now, conn, write(Frame::Plans(plans)), out);
    }

    fn say(&mut self, now: Millis, conn: u64, bytes: Bytes, out: &mut Vec<Output>) {
        if let Some(door) = self.doors.get_mut(&conn) {
            door.spoken = now;
            out.push(Output::Door(conn, bytes));
        }
    }

    /// Begins to lend, or goes by another number of lenders.
    fn lend(&mut self, now: Millis) {
        let voters = self.tandem.voters();
        if !voters.contains(&self.me) || !self.tandem.trusted() {
            return;
        }
        match &mut self.lender {
            Some(lender) => lender.set_lenders(voters.len()),
            None => {
                let known = self.lent_known.then(|| self.lent_to.clone());
                self.lender = Some(Lender::new(now, voters.len(), known));
            }
        }
    }

    fn write(&mut self, stored: Stored, wrote: Wrote, out: &mut Vec<Output>) {
        self.last_write += 1;
        self.writing.push_back((self.last_write, wrote));
        out.push(Output::Write(self.last_write, stored));
    }
}

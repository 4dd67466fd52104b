//! Exchanges over a played network, with played disks, callers and one door each. Nothing sleeps: time is a list of what comes
//! next. Links are cut, one way too; processes crash with the end of what they wrote, freeze, lose their disks; a disk hangs;
//! answers get lost. The same seed plays the same.
//!
//! The knobs are the public methods and fields of [`Played`]; [`Played::next`] plays on and returns what concerns the caller.

#![allow(dead_code)]

use bytes::{Bytes, BytesMut};
use maplefall_control_messages::{decode_frame, ConfigUpdate, Frame, Hello};
use maplefall_controller::core::{Call, CallResponse, Core, Output};
use maplefall_controller::store::{StoreRecord, StoredState};
use maplefall_gateway_config::{Change, ItemSet};
use maplefall_node_settings::Settings;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Milliseconds.
pub type Millis = f64;

/// How often a process looks at its clock.
const TICK: Millis = 100.0;

/// What happened that concerns the caller of [`Played::next`].
#[derive(Debug)]
pub enum Happened {
    /// An exchange answers a call; whether the answer arrives is a matter of its own.
    Answered(u64, CallResponse),
    /// The answer to a call has come to its caller.
    Arrived(u64, CallResponse),
    /// A timer of the caller's has run out.
    Timer(u64),
    /// The time has come up to which was to be played.
    Over,
}

enum Event {
    Frame {
        to: String,
        life: u64,
        from: String,
        frame: Frame,
    },
    Disk {
        at: String,
        life: u64,
        stored: StoreRecord,
    },
    Tick {
        at: String,
        life: u64,
    },
    Call {
        at: String,
        number: u64,
        call: Call,
    },
    Answer {
        number: u64,
        answer: CallResponse,
    },
    Start {
        at: String,
        life: u64,
    },
    Timer(u64),
}

/// A door that follows one exchange, whatever life that is in. Its index only rises.
#[derive(Default)]
pub struct Follower {
    /// The index that it has.
    pub index: u64,
    /// What holds there.
    pub items: ItemSet,
}

struct Node {
    core: Option<Core>,
    life: u64,
    disk: StoredState,
    /// What is on its way to the disk.
    writing: Vec<StoreRecord>,
    disk_free: Millis,
    frozen_until: Millis,
    bootstrap: bool,
    follower: Follower,
}

/// The whole played system.
pub struct Played {
    rng: Pcg32,
    now: Millis,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    names: Vec<String>,
    nodes: BTreeMap<String, Node>,
    /// When the last frame of each link arrives: frames of one link come in order.
    links: BTreeMap<(String, String), Millis>,
    cut: BTreeSet<(String, String)>,
    /// Part of the frames between exchanges that get lost.
    pub loss: f64,
    /// Part of the answers that get lost.
    pub answer_loss: f64,
    /// Entries after which an exchange folds its log, where the usual number is too many.
    pub fold_after: Option<usize>,
    /// Whoever thaws looks at what has come before it looks at its clock; otherwise by lot.
    pub frames_first: bool,
    /// Exchanges that no caller reaches.
    pub unreachable: BTreeSet<String>,
    calls: u64,
    /// Where each call that is not answered yet has gone.
    under_way: BTreeMap<u64, String>,
    happened: Vec<Happened>,
    /// Every change that is agreed on, by its index, as a door was told.
    pub truth: BTreeMap<u64, Change>,
    /// Whole configurations that doors were told, to be compared with the changes up to their index.
    pub wholes: Vec<(u64, ItemSet)>,
    /// Lines of the log: which exchange, and what.
    pub lines: Vec<(String, String)>,
}

fn settings(names: &[String], me: &str, bootstrap: bool) -> Settings {
    let seeds: Vec<String> = names
        .iter()
        .map(|name| format!("\"{name}:8381\""))
        .collect();
    let text = format!(
        "Node = \"core-{me}\"\nServes = [\"controller\"]\nIp = \"{me}\"\nInternalPorts = [7560,7575]\nSeedAddrs = [{}]\n\
         Bootstrap = {bootstrap}\nQuorumMember = true\nHeartbeatS = 1.5\n",
        seeds.join(",")
    );
    Settings::read(&text, Path::new("played")).expect("settings")
}

impl Played {
    /// So many exchanges that start for the first time, all at once.
    pub fn new(seed: u64, size: usize) -> Played {
        let names: Vec<String> = (1..=size).map(|n| format!("10.0.0.{n}")).collect();
        let mut played = Played {
            rng: Pcg32::seed_from_u64(seed),
            now: 0.0,
            sequence: 0,
            events: BTreeMap::new(),
            names: names.clone(),
            nodes: BTreeMap::new(),
            links: BTreeMap::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            answer_loss: 0.0,
            fold_after: None,
            frames_first: false,
            unreachable: BTreeSet::new(),
            calls: 0,
            under_way: BTreeMap::new(),
            happened: Vec::new(),
            truth: BTreeMap::new(),
            wholes: Vec::new(),
            lines: Vec::new(),
        };
        for name in &names {
            let node = Node {
                core: None,
                life: 0,
                disk: StoredState::default(),
                writing: Vec::new(),
                disk_free: 0.0,
                frozen_until: 0.0,
                bootstrap: true,
                follower: Follower::default(),
            };
            played.nodes.insert(name.clone(), node);
            let late = f64::from(played.draw(300));
            played.at(
                late,
                Event::Start {
                    at: name.clone(),
                    life: 0,
                },
            );
        }
        played
    }

    /// A number below `most`.
    pub fn draw(&mut self, most: u32) -> u32 {
        self.rng.next_u32() % most
    }

    /// True in this part of all cases.
    pub fn chance(&mut self, part: f64) -> bool {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0 < part
    }

    /// One of the exchanges.
    pub fn any(&mut self) -> String {
        let at = self.draw(self.names.len() as u32) as usize;
        self.names[at].clone()
    }

    /// All exchanges.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// The time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// What the door that follows an exchange holds.
    pub fn follower(&self, name: &str) -> &Follower {
        &self.nodes[name].follower
    }

    /// Whether this exchange runs, frozen or not.
    pub fn runs(&self, name: &str) -> bool {
        self.nodes[name].core.is_some()
    }

    /// What is on an exchange's disk.
    pub fn disk(&self, name: &str) -> &StoredState {
        &self.nodes[name].disk
    }

    // ---- Knobs --------------------------------------------------------------------------------------

    /// Cuts the way from one exchange to another; the other way stays.
    pub fn cut_one_way(&mut self, from: &str, to: &str) {
        self.cut.insert((from.to_owned(), to.to_owned()));
    }

    /// Cuts an exchange off from all others, both ways.
    pub fn cut_off(&mut self, name: &str) {
        for peer in self.names.clone() {
            self.cut_one_way(name, &peer);
            self.cut_one_way(&peer, name);
        }
    }

    /// Joins all links, and answers and frames get through.
    pub fn calm(&mut self) {
        self.cut.clear();
        self.unreachable.clear();
        (self.loss, self.answer_loss) = (0.0, 0.0);
    }

    /// Joins all links.
    pub fn join(&mut self) {
        self.cut.clear();
    }

    /// The process ends at once, by a kill or a loss of power: what it wrote and was not told to be on disk may be there, up to
    /// some record. It starts again after `down`.
    pub fn crash(&mut self, name: &str, down: Millis) {
        let kept = self.draw(4) as usize;
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.core = None;
        node.life += 1;
        node.frozen_until = 0.0;
        let writing = std::mem::take(&mut node.writing);
        // All of it as often as none.
        let kept = if kept == 3 { writing.len() } else { kept };
        writing
            .into_iter()
            .take(kept)
            .for_each(|stored| node.disk.apply(stored));
        node.disk_free = 0.0;
        let life = node.life;
        self.at(
            down,
            Event::Start {
                at: name.to_owned(),
                life,
            },
        );
    }

    /// A crash that takes the disk too.
    pub fn wipe(&mut self, name: &str, down: Millis) {
        self.crash(name, down);
        if let Some(node) = self.nodes.get_mut(name) {
            node.disk = StoredState::default();
        }
    }

    /// The process stands still for so long, and goes on with what has come meanwhile.
    pub fn freeze(&mut self, name: &str, span: Millis) {
        let until = self.now + span;
        if let Some(node) = self.nodes.get_mut(name).filter(|node| node.core.is_some()) {
            node.frozen_until = until;
        }
    }

    /// The disk takes nothing for so long.
    pub fn hang_disk(&mut self, name: &str, span: Millis) {
        let until = self.now + span;
        if let Some(node) = self.nodes.get_mut(name) {
            node.disk_free = node.disk_free.max(until);
        }
    }

    /// A planned stop begins: the process gives up the lead.
    pub fn stop(&mut self, name: &str) {
        self.with(name, |core, now, out| core.shut_down(now, out));
    }

    // ---- Callers ------------------------------------------------------------------------------------

    /// Sends a call to an exchange. The answer comes with this number, or none does.
    pub fn call(&mut self, name: &str, call: Call) -> u64 {
        self.calls += 1;
        let number = self.calls;
        self.under_way.insert(number, name.to_owned());
        if !self.unreachable.contains(name) {
            let late = 0.2 + f64::from(self.draw(20)) / 10.0;
            self.at(
                late,
                Event::Call {
                    at: name.to_owned(),
                    number,
                    call,
                },
            );
        }
        number
    }

    /// The caller has closed its connection: a call that was not read yet is not read any more.
    pub fn hang_up(&mut self, number: u64) {
        self.under_way.remove(&number);
    }

    /// Asks for [`Happened::Timer`] after so long.
    pub fn timer(&mut self, span: Millis, id: u64) {
        self.at(span, Event::Timer(id));
    }

    /// Plays on until something happens that concerns the caller, or this time has come.
    pub fn next(&mut self, until: Millis) -> Happened {
        loop {
            if !self.happened.is_empty() {
                return self.happened.remove(0);
            }
            let Some((key, _)) = self.events.first_key_value() else {
                self.now = until;
                return Happened::Over;
            };
            if key.0 as f64 / 1000.0 > until {
                self.now = until;
                return Happened::Over;
            }
            let Some(((micros, _), event)) = self.events.pop_first() else {
                continue;
            };
            self.now = micros as f64 / 1000.0;
            self.take(event);
        }
    }

    /// Plays on for so long; what happens concerns nobody.
    pub fn play(&mut self, span: Millis) {
        let until = self.now + span;
        while !matches!(self.next(until), Happened::Over) {}
    }

    // ---- What happens -------------------------------------------------------------------------------

    fn at(&mut self, late: Millis, event: Event) {
        self.sequence += 1;
        let micros = ((self.now + late) * 1000.0).ceil() as u64;
        self.events.insert((micros, self.sequence), event);
    }

    fn take(&mut self, event: Event) {
        let whom = match &event {
            Event::Frame { to: at, .. }
            | Event::Disk { at, .. }
            | Event::Tick { at, .. }
            | Event::Call { at, .. } => Some(at.clone()),
            _ => None,
        };
        let frozen = whom
            .and_then(|at| self.nodes.get(&at))
            .map_or(0.0, |node| node.frozen_until);
        if frozen > self.now {
            // Whether a process that thaws looks at its clock first or at what has come is a matter of chance.
            let tick = matches!(event, Event::Tick { .. });
            let last = tick && (self.frames_first || self.chance(0.5));
            let late = frozen - self.now + if last { 1.0 } else { 0.0 };
            return self.at(late, event);
        }
        match event {
            Event::Timer(id) => self.happened.push(Happened::Timer(id)),
            Event::Start { at, life } => self.start(&at, life),
            Event::Tick { at, life } => {
                if self.nodes.get(&at).is_some_and(|node| node.life == life) {
                    self.with(&at, |core, now, out| core.tick(now, out));
                    self.at(TICK, Event::Tick { at, life });
                }
            }
            Event::Disk { at, life, stored } => {
                let number = stored.number;
                let Some(node) = self.nodes.get_mut(&at).filter(|node| node.life == life) else {
                    return;
                };
                node.writing.retain(|waiting| waiting.number != number);
                node.disk.apply(stored);
                self.with(&at, |core, now, out| core.persisted(now, number, out));
            }
            Event::Frame {
                to,
                life,
                from,
                frame,
            } => {
                let cut = self.cut.contains(&(from.clone(), to.clone()));
                if !cut && self.nodes.get(&to).is_some_and(|node| node.life == life) {
                    self.with(&to, |core, now, out| {
                        core.receive_from_peer(now, &from, frame, out)
                    });
                }
            }
            Event::Call { at, number, call } => {
                if self.under_way.contains_key(&number) {
                    self.with(&at, |core, now, out| core.call(now, number, call, out));
                }
            }
            Event::Answer { number, answer } => {
                if self.under_way.remove(&number).is_some() {
                    self.happened.push(Happened::Arrived(number, answer));
                }
            }
        }
    }

    fn start(&mut self, name: &str, life: u64) {
        let (now, names) = (self.now, self.names.clone());
        let seed = u64::from(self.rng.next_u32()) << 8 | 1;
        let Some(node) = self.nodes.get_mut(name).filter(|node| node.life == life) else {
            return;
        };
        let mut out = Vec::new();
        let settings = settings(&names, name, node.bootstrap);
        let mut core = Core::new(&settings, now, seed, node.disk.clone(), &mut out);
        if let Some(entries) = self.fold_after {
            core.set_compaction_threshold(entries);
        }
        node.bootstrap = false;
        node.core = Some(core);
        let index = node.follower.index;
        self.carry(name, out);
        let hello = Hello {
            node: format!("door-{name}"),
            incarnation: 1 + life,
            config_index: index,
            ..Hello::default()
        };
        self.with(name, |core, now, out| {
            core.proxy_connected(now, 1, &hello, out)
        });
        for peer in names.iter().filter(|peer| *peer != name) {
            self.with(name, |core, now, out| core.peer_connected(now, peer, out));
            self.with(peer, |core, now, out| core.peer_connected(now, name, out));
        }
        let late = f64::from(self.draw(100));
        self.at(
            late,
            Event::Tick {
                at: name.to_owned(),
                life,
            },
        );
    }

    fn with(&mut self, name: &str, step: impl FnOnce(&mut Core, Millis, &mut Vec<Output>)) {
        let (now, mut out) = (self.now, Vec::new());
        let Some(core) = self.nodes.get_mut(name).and_then(|node| node.core.as_mut()) else {
            return;
        };
        step(core, now, &mut out);
        self.carry(name, out);
    }

    fn carry(&mut self, name: &str, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Write(number, stored) => {
                    let late = 0.5 + f64::from(self.draw(25)) / 10.0;
                    let now = self.now;
                    let Some(node) = self.nodes.get_mut(name) else {
                        return;
                    };
                    let stored = StoreRecord { number, ..*stored };
                    node.writing.push(stored.clone());
                    node.disk_free = node.disk_free.max(now) + late;
                    let (wait, life) = (node.disk_free - now, node.life);
                    self.at(
                        wait,
                        Event::Disk {
                            at: name.to_owned(),
                            life,
                            stored,
                        },
                    );
                }
                Output::SendToPeer(to, bytes) => self.send(name, &to, bytes),
                Output::SendToAllPeers(bytes) => {
                    for to in self.names.clone().iter().filter(|to| *to != name) {
                        self.send(name, to, bytes.clone());
                    }
                }
                Output::SendToProxy(_, bytes) => {
                    if let Ok(Some(Frame::ConfigUpdate(plans))) =
                        decode_frame(&mut BytesMut::from(&bytes[..]))
                    {
                        self.follow(name, plans);
                    }
                }
                Output::Respond(number, answer) => {
                    self.happened
                        .push(Happened::Answered(number, answer.clone()));
                    if !self.unreachable.contains(name) && !self.chance(self.answer_loss) {
                        let late = 0.2 + f64::from(self.draw(20)) / 10.0;
                        self.at(late, Event::Answer { number, answer });
                    }
                }
                Output::Log(line) => self.lines.push((name.to_owned(), line)),
                Output::Debug(_) => {}
            }
        }
    }

    fn send(&mut self, from: &str, to: &str, bytes: Bytes) {
        if self.cut.contains(&(from.to_owned(), to.to_owned())) || self.chance(self.loss) {
            return;
        }
        let Ok(Some(frame)) = decode_frame(&mut BytesMut::from(&bytes[..])) else {
            panic!("an unreadable frame")
        };
        let late = 0.3 + f64::from(self.draw(20)) / 10.0;
        let now = self.now;
        let last = self
            .links
            .entry((from.to_owned(), to.to_owned()))
            .or_default();
        *last = last.max(now + late);
        let late = *last - now;
        let life = self.nodes.get(to).map_or(0, |node| node.life);
        self.at(
            late,
            Event::Frame {
                to: to.to_owned(),
                life,
                from: from.to_owned(),
                frame,
            },
        );
    }

    /// As a door does it.
    fn follow(&mut self, name: &str, plans: ConfigUpdate) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let follower = &mut node.follower;
        if plans.index <= follower.index || plans.after > follower.index {
            return;
        }
        if plans.after == 0 {
            follower.items = ItemSet::from_items(plans.items);
            self.wholes.push((plans.index, follower.items.clone()));
        }
        for one in plans.changes {
            let Some(change) = one.change.filter(|_| one.index > follower.index) else {
                continue;
            };
            follower.items.apply(&change);
            let known = self
                .truth
                .entry(one.index)
                .or_insert_with(|| change.clone());
            assert_eq!(
                *known, change,
                "{name} agrees on something else at {}",
                one.index
            );
        }
        follower.index = plans.index;
    }
}

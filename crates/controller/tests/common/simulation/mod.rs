//! A discrete-event simulation of controllers with their network, disks, callers and one proxy each. Nothing sleeps. Connections are
//! cut, also one way; processes crash with or without their latest writes, pause, lose their disks; a disk hangs; responses get
//! lost. The same seed gives the same run.
//!
//! [`Simulation::next`] goes on until something happens that concerns the caller; `faults` has what can be done to the system.

#![allow(dead_code)]

mod events;
mod faults;

use maplefall_control_messages::Frame;
use maplefall_controller::core::{Call, CallResponse, Core};
use maplefall_controller::store::{StoreRecord, StoredState};
use maplefall_gateway_config::{Change, ItemSet};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds.
pub type Millis = f64;

/// How often a process ticks.
const TICK: Millis = 100.0;

/// What concerns the caller of [`Simulation::next`].
#[derive(Debug)]
pub enum Occurrence {
    /// A controller has answered a call; the response may still get lost.
    Responded(u64, CallResponse),
    /// The response to a call has reached its caller.
    Received(u64, CallResponse),
    /// A timer of the caller has expired.
    Timer(u64),
    /// The time is over that was to be simulated.
    Finished,
}

enum Event {
    Frame {
        to: String,
        incarnation: u64,
        from: String,
        frame: Frame,
    },
    Disk {
        at: String,
        incarnation: u64,
        record: StoreRecord,
    },
    Tick {
        at: String,
        incarnation: u64,
    },
    Call {
        at: String,
        number: u64,
        call: Call,
    },
    Response {
        number: u64,
        response: CallResponse,
    },
    Start {
        at: String,
        incarnation: u64,
    },
    Timer(u64),
}

/// A proxy that follows one controller over its restarts. Its index only rises.
#[derive(Default)]
pub struct SimulatedProxy {
    /// Index of its configuration.
    pub index: u64,
    /// Its configuration.
    pub items: ItemSet,
}

struct Node {
    core: Option<Core>,
    incarnation: u64,
    disk: StoredState,
    /// Records that are not on disk yet.
    pending_writes: Vec<StoreRecord>,
    disk_free_at: Millis,
    paused_until: Millis,
    bootstrap: bool,
    proxy: SimulatedProxy,
}

/// The simulated system.
pub struct Simulation {
    rng: Pcg32,
    now: Millis,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    names: Vec<String>,
    nodes: BTreeMap<String, Node>,
    /// When the last frame of each connection arrives: frames of a connection arrive in order.
    last_arrivals: BTreeMap<(String, String), Millis>,
    cut: BTreeSet<(String, String)>,
    /// Fraction of the frames between controllers that get lost.
    pub frame_loss: f64,
    /// Fraction of the responses that get lost.
    pub response_loss: f64,
    /// Entries after which a controller compacts its log, where the usual number is too many.
    pub compact_after: Option<usize>,
    /// A process that resumes reads its frames before it ticks; otherwise the order is random.
    pub frames_first: bool,
    /// Controllers that no caller reaches.
    pub unreachable: BTreeSet<String>,
    last_call: u64,
    /// The controllers to which unanswered calls were sent.
    pending_calls: BTreeMap<u64, String>,
    occurrences: Vec<Occurrence>,
    /// Every committed change by its index, as it was sent to proxies.
    pub committed: BTreeMap<u64, Change>,
    /// Complete configurations that were sent to proxies, to be compared with the changes up to their index.
    pub complete_configs: Vec<(u64, ItemSet)>,
    /// Lines of the log, with the controller.
    pub log_lines: Vec<(String, String)>,
}

impl Simulation {
    /// Controllers that start for the first time, all at once.
    pub fn new(seed: u64, size: usize) -> Simulation {
        let names: Vec<String> = (1..=size).map(|n| format!("10.0.0.{n}")).collect();
        let mut simulation = Simulation {
            rng: Pcg32::seed_from_u64(seed),
            now: 0.0,
            sequence: 0,
            events: BTreeMap::new(),
            names: names.clone(),
            nodes: BTreeMap::new(),
            last_arrivals: BTreeMap::new(),
            cut: BTreeSet::new(),
            frame_loss: 0.0,
            response_loss: 0.0,
            compact_after: None,
            frames_first: false,
            unreachable: BTreeSet::new(),
            last_call: 0,
            pending_calls: BTreeMap::new(),
            occurrences: Vec::new(),
            committed: BTreeMap::new(),
            complete_configs: Vec::new(),
            log_lines: Vec::new(),
        };
        for name in &names {
            let node = Node {
                core: None,
                incarnation: 0,
                disk: StoredState::default(),
                pending_writes: Vec::new(),
                disk_free_at: 0.0,
                paused_until: 0.0,
                bootstrap: true,
                proxy: SimulatedProxy::default(),
            };
            simulation.nodes.insert(name.clone(), node);
            let delay = f64::from(simulation.draw(300));
            simulation.schedule(
                delay,
                Event::Start {
                    at: name.clone(),
                    incarnation: 0,
                },
            );
        }
        simulation
    }

    /// A number below `bound`.
    pub fn draw(&mut self, bound: u32) -> u32 {
        self.rng.next_u32() % bound
    }

    /// True with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0 < probability
    }

    /// A random controller.
    pub fn any_controller(&mut self) -> String {
        let at = self.draw(self.names.len() as u32) as usize;
        self.names[at].clone()
    }

    /// The names of all controllers.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// The time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// The proxy that follows a controller.
    pub fn proxy(&self, name: &str) -> &SimulatedProxy {
        &self.nodes[name].proxy
    }

    /// Whether this controller runs, paused or not.
    pub fn runs(&self, name: &str) -> bool {
        self.nodes[name].core.is_some()
    }

    /// What is on a controller's disk.
    pub fn disk(&self, name: &str) -> &StoredState {
        &self.nodes[name].disk
    }

    /// Sends a call to a controller. The response, if there is one, bears the number that is returned.
    pub fn call(&mut self, name: &str, call: Call) -> u64 {
        self.last_call += 1;
        let number = self.last_call;
        self.pending_calls.insert(number, name.to_owned());
        if !self.unreachable.contains(name) {
            let delay = 0.2 + f64::from(self.draw(20)) / 10.0;
            self.schedule(
                delay,
                Event::Call {
                    at: name.to_owned(),
                    number,
                    call,
                },
            );
        }
        number
    }

    /// The caller has closed its connection: a call that was not received yet is not received any more.
    pub fn cancel_call(&mut self, number: u64) {
        self.pending_calls.remove(&number);
    }

    /// Asks for [`Occurrence::Timer`] after this span.
    pub fn timer(&mut self, span: Millis, id: u64) {
        self.schedule(span, Event::Timer(id));
    }

    /// Goes on until something happens that concerns the caller, or this time has come.
    pub fn next(&mut self, until: Millis) -> Occurrence {
        loop {
            if !self.occurrences.is_empty() {
                return self.occurrences.remove(0);
            }
            let Some((key, _)) = self.events.first_key_value() else {
                self.now = until;
                return Occurrence::Finished;
            };
            if key.0 as f64 / 1000.0 > until {
                self.now = until;
                return Occurrence::Finished;
            }
            let Some(((micros, _), event)) = self.events.pop_first() else {
                continue;
            };
            self.now = micros as f64 / 1000.0;
            self.handle(event);
        }
    }

    /// Goes on for this long, and ignores what happens.
    pub fn run(&mut self, span: Millis) {
        let until = self.now + span;
        while !matches!(self.next(until), Occurrence::Finished) {}
    }
}

//! A discrete-event simulation of controllers with their network, disks, callers and one proxy
//! each, without real sleeps. Links can be blocked, also in one direction; processes crash with or
//! without their latest writes, pause, and lose their disks; disks stall; responses get lost. The
//! same seed gives the same run.
//!
//! [`Simulation::next`] runs until an event concerns the caller; `faults` has the faults that can
//! be injected.

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

/// A time or a duration in milliseconds.
pub type Millis = f64;

/// Interval between two ticks of a process.
const TICK: Millis = 100.0;

/// An event that concerns the caller of [`Simulation::next`].
#[derive(Debug)]
pub enum Occurrence {
    /// A controller has responded to a call; the response may still be lost.
    Responded(u64, CallResponse),
    /// The response to a call has reached its caller.
    Received(u64, CallResponse),
    /// A timer of the caller has expired.
    Timer(u64),
    /// The time up to which to simulate has been reached.
    Finished,
}

enum Event {
    Frame {
        to: String,
        incarnation: u64,
        from: String,
        frame: Frame,
    },
    Persisted {
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

/// A proxy that follows one controller across restarts. Its configuration index never decreases.
#[derive(Default)]
pub struct SimulatedProxy {
    /// Index of the proxy's configuration.
    pub index: u64,
    /// Items of the proxy's configuration.
    pub items: ItemSet,
}

struct Node {
    core: Option<Core>,
    incarnation: u64,
    disk: StoredState,
    /// Records that are not yet persisted.
    pending_writes: Vec<StoreRecord>,
    disk_free_at: Millis,
    paused_until: Millis,
    bootstrap: bool,
    proxy: SimulatedProxy,
}

pub struct Simulation {
    rng: Pcg32,
    now: Millis,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    names: Vec<String>,
    nodes: BTreeMap<String, Node>,
    /// When the last frame of each connection arrives: frames of one connection keep their order.
    last_arrivals: BTreeMap<(String, String), Millis>,
    blocked_links: BTreeSet<(String, String)>,
    /// Fraction of the frames between controllers that are lost.
    pub frame_loss: f64,
    /// Fraction of the responses that are lost.
    pub response_loss: f64,
    /// Number of entries after which a controller compacts its log, if the default is too many.
    pub compact_after: Option<usize>,
    /// Whether a resuming process reads its frames before it ticks; otherwise the order is random.
    pub frames_first: bool,
    /// Controllers that callers cannot reach.
    pub unreachable: BTreeSet<String>,
    last_call: u64,
    /// Calls without a response, each with the controller that it was sent to.
    pending_calls: BTreeMap<u64, String>,
    occurrences: Vec<Occurrence>,
    /// Every committed change by its index, as sent to proxies.
    pub committed: BTreeMap<u64, Change>,
    /// Complete configurations sent to proxies, each with its index, to compare with the changes up
    /// to that index.
    pub complete_configs: Vec<(u64, ItemSet)>,
    /// Log lines, each with its controller.
    pub log_lines: Vec<(String, String)>,
}

impl Simulation {
    /// Returns a simulation whose controllers all start for the first time, within 300 ms.
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
            blocked_links: BTreeSet::new(),
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

    /// Draws a number below `bound`.
    pub fn draw(&mut self, bound: u32) -> u32 {
        self.rng.next_u32() % bound
    }

    /// Draws `true` with this probability.
    pub fn draw_bool(&mut self, probability: f64) -> bool {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0 < probability
    }

    /// Draws a controller.
    pub fn random_controller(&mut self) -> String {
        let at = self.draw(self.names.len() as u32) as usize;
        self.names[at].clone()
    }

    /// Returns the names of all controllers.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Returns the proxy that follows a controller.
    pub fn proxy(&self, name: &str) -> &SimulatedProxy {
        &self.nodes[name].proxy
    }

    /// Returns whether a controller's process is running, paused or not.
    pub fn is_running(&self, name: &str) -> bool {
        self.nodes[name].core.is_some()
    }

    /// Returns what is on a controller's disk.
    pub fn disk(&self, name: &str) -> &StoredState {
        &self.nodes[name].disk
    }

    /// Sends a call to a controller; returns the number that its response, if any, will have.
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

    /// Closes the caller's connection: a call or response that has not arrived yet is dropped.
    pub fn cancel_call(&mut self, number: u64) {
        self.pending_calls.remove(&number);
    }

    /// Schedules [`Occurrence::Timer`] after `span`.
    pub fn timer(&mut self, span: Millis, id: u64) {
        self.schedule(span, Event::Timer(id));
    }

    /// Runs until an event concerns the caller or the time reaches `until`.
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

    /// Runs for `span` and ignores all occurrences.
    pub fn run(&mut self, span: Millis) {
        let until = self.now + span;
        while !matches!(self.next(until), Occurrence::Finished) {}
    }
}

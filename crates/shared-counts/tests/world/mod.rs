//! A scripted network between doors that share counts: what is lost, doubled, late or cut is data, and one seed gives one
//! run. The truth is kept beside it, by whoever uses a door.
#![allow(dead_code)]

use maplefall_shared_counts::node::{Node, Start};
use maplefall_shared_counts::{DoorId, Settings};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What the network does to a datagram.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    pub loss: f64,
    pub doubled: f64,
    pub delay: (f64, f64),
}

pub const CALM: Link = Link {
    loss: 0.0,
    doubled: 0.0,
    delay: (0.2, 2.0),
};
pub const ROUGH: Link = Link {
    loss: 0.3,
    doubled: 0.1,
    delay: (1.0, 300.0),
};

pub struct Door {
    pub name: String,
    pub node: Option<Node>,
    /// How far its clock is ahead of the world's, and how fast it goes.
    pub ahead: f64,
    pub pace: f64,
    /// How far its date is ahead.
    pub date_ahead: i64,
    pub lives: u64,
}

pub struct World {
    pub now: f64,
    pub set: Settings,
    pub link: Link,
    pub doors: Vec<Door>,
    /// Pairs between which nothing passes, from and to.
    pub cut: BTreeSet<(usize, usize)>,
    /// Units in thousandths that were used, and given back, by door and customer.
    pub truth: BTreeMap<(usize, u64), (i64, i64)>,
    queue: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    order: u64,
    pub rng: Pcg64Mcg,
    pub carried: u64,
    /// Datagrams that came, kept for replays, at most so many.
    pub kept: Vec<(usize, usize, Vec<u8>)>,
}

pub fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (at >> 8) as u8, at as u8], 7946))
}

pub fn settings() -> Settings {
    Settings {
        epoch: 600_000.0,
        ..Settings::usual("quito", vec![7; 32])
    }
}

impl World {
    pub fn new(doors: usize, set: Settings, link: Link, seed: u64) -> World {
        println!("world of {doors} doors, seed {seed}");
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let doors = (0..doors)
            .map(|at| Door {
                name: format!("d{at}"),
                node: None,
                // Clocks differ by hours and by a thousandth in pace; nobody compares them.
                ahead: chance(&mut rng) * 1e7,
                pace: 1.0 + 0.002 * (chance(&mut rng) - 0.5),
                date_ahead: 0,
                lives: 0,
            })
            .collect();
        let mut world = World {
            now: 0.0,
            set,
            link,
            doors,
            cut: BTreeSet::new(),
            truth: BTreeMap::new(),
            queue: BTreeMap::new(),
            order: 0,
            rng,
            carried: 0,
            kept: Vec::new(),
        };
        for at in 0..world.doors.len() {
            world.start(at);
        }
        world
    }

    pub fn clock(&self, at: usize) -> f64 {
        self.doors[at].ahead + self.now * self.doors[at].pace
    }

    /// Starts a door, or starts it again with nothing.
    pub fn start(&mut self, at: usize) {
        let seed = self.rng.next_u64();
        let now = self.clock(at);
        let door = &mut self.doors[at];
        door.lives += 1;
        let start = Start {
            name: door.name.clone(),
            address: address(at),
            seeds: vec![address(0), address(1)],
            date: (1_700_000_000_000 + self.now as i64 + door.date_ahead) as u64,
            seed,
        };
        door.node = Some(Node::new(self.set.clone(), start, now));
    }

    pub fn stop(&mut self, at: usize) {
        self.doors[at].node = None;
    }

    pub fn node(&mut self, at: usize) -> &mut Node {
        self.doors[at].node.as_mut().expect("the door runs")
    }

    pub fn used(&mut self, at: usize, customer: u64, units: f64) {
        let now = self.clock(at);
        let milli = (units * 1000.0).round() as i64;
        let truth = self.truth.entry((at, customer)).or_default();
        if milli > 0 {
            truth.0 += milli;
        } else {
            truth.1 -= milli;
        }
        self.node(at).used(now, customer, units);
        self.pump(at);
    }

    /// Sends what a door has to send.
    pub fn pump(&mut self, at: usize) {
        while let Some(output) = self.doors[at].node.as_mut().and_then(Node::poll) {
            let octets = match output.to.ip() {
                std::net::IpAddr::V4(ip) => ip.octets(),
                std::net::IpAddr::V6(_) => continue,
            };
            let to = usize::from(octets[2]) << 8 | usize::from(octets[3]);
            if to >= self.doors.len() || self.cut.contains(&(at, to)) {
                continue;
            }
            if chance(&mut self.rng) < self.link.loss {
                continue;
            }
            let copies = if chance(&mut self.rng) < self.link.doubled {
                2
            } else {
                1
            };
            for _ in 0..copies {
                let (least, most) = self.link.delay;
                let late = self.now + least + (most - least) * chance(&mut self.rng);
                self.order += 1;
                self.queue.insert(
                    ((late * 1000.0) as u64, self.order),
                    (at, to, output.bytes.clone()),
                );
            }
        }
    }

    pub fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.clock(to);
        if let Some(node) = self.doors[to].node.as_mut() {
            self.carried += 1;
            node.receive(now, address(from), bytes);
            self.pump(to);
        }
    }

    /// Plays on until so many milliseconds have passed.
    pub fn play(&mut self, span: f64) {
        let end = self.now + span;
        while self.now < end {
            let next = (self.now + 5.0).min(end);
            while let Some((&(due, order), _)) = self.queue.first_key_value() {
                if due as f64 / 1000.0 > next {
                    break;
                }
                self.now = self.now.max(due as f64 / 1000.0);
                let (from, to, bytes) = self.queue.remove(&(due, order)).expect("it was there");
                if self.kept.len() < 4096 {
                    self.kept.push((from, to, bytes.clone()));
                }
                self.deliver(from, to, &bytes);
            }
            self.now = next;
            for at in 0..self.doors.len() {
                let now = self.clock(at);
                if let Some(node) = self.doors[at].node.as_mut() {
                    if node.due() <= now {
                        node.tick(now);
                        self.pump(at);
                    }
                }
            }
        }
    }

    /// What was used of a customer by all doors: all that was taken, and less what was given back.
    pub fn truth_of(&self, customer: u64) -> (i64, i64) {
        let of = self
            .truth
            .iter()
            .filter(|((_, whose), _)| *whose == customer);
        of.fold((0, 0), |(taken, net), (_, (more, back))| {
            (taken + more, net + more - back)
        })
    }

    pub fn customers(&self) -> BTreeSet<u64> {
        self.truth.keys().map(|(_, customer)| *customer).collect()
    }

    /// No door knows of more than was used.
    pub fn assert_never_over(&mut self) {
        for customer in self.customers() {
            let (taken, _) = self.truth_of(customer);
            for at in 0..self.doors.len() {
                if let Some(node) = &self.doors[at].node {
                    let total = node.total(customer);
                    assert!(
                        total <= taken,
                        "door {at} counts {total} of customer {customer}, {taken} were used"
                    );
                }
            }
        }
    }

    /// All doors know all.
    pub fn all_equal(&self) -> Result<(), String> {
        for customer in self.customers() {
            let (_, net) = self.truth_of(customer);
            for (at, door) in self.doors.iter().enumerate() {
                if let Some(node) = &door.node {
                    let total = node.total(customer);
                    if total != net {
                        return Err(format!(
                            "door {at} counts {total} of customer {customer}, {net} are used"
                        ));
                    }
                }
            }
        }
        Ok(())
    }

    /// Plays until all doors know all; how long that took.
    pub fn settle(&mut self, most: f64) -> f64 {
        let begun = self.now;
        loop {
            let equal = self.all_equal();
            if equal.is_ok() {
                return self.now - begun;
            }
            assert!(self.now - begun < most, "after {most} ms: {equal:?}");
            self.play(100.0);
        }
    }

    /// Doors that a door takes for alive.
    pub fn alive(&self, at: usize) -> usize {
        let node = self.doors[at].node.as_ref().expect("the door runs");
        node.members()
            .filter(|m| m.state == maplefall_shared_counts::members::State::Alive)
            .count()
    }

    /// Plays until every door takes all others that run for alive.
    pub fn meet(&mut self, most: f64) -> f64 {
        let begun = self.now;
        let run = self.doors.iter().filter(|door| door.node.is_some()).count();
        loop {
            let met = (0..self.doors.len()).filter(|at| self.doors[*at].node.is_some());
            let least = met.map(|at| self.alive(at)).min().unwrap_or(0);
            if least + 1 >= run {
                return self.now - begun;
            }
            assert!(
                self.now - begun < most,
                "after {most} ms a door knows of {least} others of {}",
                run - 1
            );
            self.play(100.0);
        }
    }

    pub fn id(&self, at: usize) -> DoorId {
        DoorId::of(&self.doors[at].name)
    }
}

pub fn chance(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

/// Random schedules: doors that come and go, links that are cut and heal, loss, doubles, late datagrams, use everywhere.
/// Never over the truth, and equal once quiet (among doors that run; what a door that is gone told nobody is lost with it).
pub fn schedule(doors: usize, steps: usize, seed: u64) {
    let rough = Link {
        loss: 0.2,
        doubled: 0.1,
        delay: (0.5, 80.0),
    };
    let set = Settings {
        forget_after: 20_000_000.0,
        ..settings()
    };
    let mut world = World::new(doors, set, rough, seed);
    world.meet(60_000.0);
    for _ in 0..steps {
        let at = (chance(&mut world.rng) * doors as f64) as usize;
        match (chance(&mut world.rng) * 12.0) as u32 {
            0 => {
                let other = (chance(&mut world.rng) * doors as f64) as usize;
                world.cut.insert((at, other));
            }
            1 => world.cut.clear(),
            _ => {
                let customer = (chance(&mut world.rng) * 5.0) as u64;
                let units = 6.0 * chance(&mut world.rng);
                world.used(at, customer, units);
                world.used(at, customer, -0.3 * units);
            }
        }
        world.play(10.0);
        world.assert_never_over();
    }
    world.cut.clear();
    world.link = CALM;
    world.settle(120_000.0);
}

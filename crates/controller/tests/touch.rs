//! Exchanges that are cut off from the others, one way or both, or that stand still and thaw: what they hand to doors, what they confirm,
//! and what the others make of it. Whole exchanges ([`Core`]) over a played network of links that die within their bound, with
//! played disks. Seeds are printed.

use bytes::{Bytes, BytesMut};
use maplefall_control_messages::{
    decode_frame, encode_frame, ConfigUpdate, Frame, Hello, InstanceUpdates, PROTOCOL_VERSION,
};
use maplefall_control_transport::liveness::{PING_INTERVAL, PONG_TIMEOUT};
use maplefall_controller::core::TICK;
use maplefall_controller::store::StoredState;
use maplefall_controller::{Call, CallResponse, Core, Output};
use maplefall_node_settings::Settings;
use maplefall_service_registry::InstanceState;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A link is dead for both ends this long after a direction of it was cut, at the latest.
const BOUND: f64 = PONG_TIMEOUT + PING_INTERVAL;
/// A leader, or who follows one, is alone after this long without a word.
const ALONE: f64 = 1000.0;
/// Delays, ticks and elections, with room to spare.
const SLACK: f64 = 300.0;
/// How long a frame takes, and a disk.
const DELAY: f64 = 1.0;
const SYNC: f64 = 2.0;
const HEARTBEAT: f64 = 1500.0;

fn ip(node: usize) -> String {
    format!("10.0.0.{}", node + 1)
}

fn settings(node: usize, of: usize) -> Settings {
    let seeds: Vec<String> = (0..of)
        .map(|node| format!("\"{}:8080\"", ip(node)))
        .collect();
    let text = format!(
        "Node = \"core-{node}\"\nRole = \"exchange\"\nMachineClass = \"core\"\nServes = [\"controller\"]\nIp = \"{}\"\nZone = \"a\"\n\
         Region = \"r\"\nInternalPorts = [7000,7010]\nSeedAddrs = [{}]\nBootstrap = true\nQuorumMember = true\nDataDir = \"/tmp\"\n\
         HeartbeatS = 1.5\nActiveLaws = [\"base\"]\nBounds = []\n[Zones]\na = \"r\"\n[Bind]\nControl = \"{}:8080\"\n",
        ip(node),
        seeds.join(","),
        ip(node)
    );
    Settings::read(&text, std::path::Path::new("played")).expect("settings")
}

fn frame(bytes: &Bytes) -> Frame {
    decode_frame(&mut BytesMut::from(bytes.as_ref()))
        .expect("a frame")
        .expect("a whole one")
}

struct Node {
    core: Core,
    /// Numbers of writes that are not on disk, with the time at which they are.
    disk: VecDeque<(u64, f64)>,
    stalled: bool,
    frozen: bool,
    ticked: f64,
}

struct Fleet {
    now: f64,
    nodes: Vec<Node>,
    wire: VecDeque<(f64, usize, usize, Bytes)>,
    /// Directions that are cut, since when.
    cut: BTreeMap<(usize, usize), f64>,
    /// Pairs whose links are dead.
    dead: BTreeSet<(usize, usize)>,
    answers: BTreeMap<u64, CallResponse>,
    calls: u64,
    /// What came to each door: exchange, connection, when, what.
    to_doors: Vec<(usize, u64, f64, Frame)>,
    doors: u64,
    log: Vec<(f64, usize, String)>,
}

impl Fleet {
    fn new(of: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: 0.0,
            nodes: Vec::new(),
            wire: VecDeque::new(),
            cut: BTreeMap::new(),
            dead: BTreeSet::new(),
            answers: BTreeMap::new(),
            calls: 0,
            to_doors: Vec::new(),
            doors: 0,
            log: Vec::new(),
        };
        for node in 0..of {
            let mut out = Vec::new();
            let core = Core::new(
                &settings(node, of),
                0.0,
                seed * 16 + node as u64 + 1,
                StoredState::default(),
                &mut out,
            );
            fleet.nodes.push(Node {
                core,
                disk: VecDeque::new(),
                stalled: false,
                frozen: false,
                ticked: 0.0,
            });
            fleet.carry(node, out);
        }
        for (a, b) in fleet.pairs() {
            fleet.link(a, b, true);
        }
        fleet
    }

    fn pairs(&self) -> Vec<(usize, usize)> {
        let all = 0..self.nodes.len();
        all.clone()
            .flat_map(|a| all.clone().map(move |b| (a, b)))
            .filter(|(a, b)| a < b)
            .collect()
    }

    fn link(&mut self, a: usize, b: usize, up: bool) {
        for (at, of) in [(a, b), (b, a)] {
            if up {
                self.drive(at, |core, now, out| core.peer_connected(now, &ip(of), out));
            } else {
                self.nodes[at].core.peer_disconnected(&ip(of));
            }
        }
    }

    fn drive(&mut self, node: usize, step: impl FnOnce(&mut Core, f64, &mut Vec<Output>)) {
        let mut out = Vec::new();
        step(&mut self.nodes[node].core, self.now, &mut out);
        self.carry(node, out);
    }

    fn carry(&mut self, node: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Write(number, _) => {
                    self.nodes[node].disk.push_back((number, self.now + SYNC))
                }
                Output::SendToPeer(to, bytes) => {
                    let to = (0..self.nodes.len()).find(|node| ip(*node) == to);
                    to.into_iter()
                        .for_each(|to| self.send(node, to, bytes.clone()));
                }
                Output::SendToAllPeers(bytes) => {
                    (0..self.nodes.len()).for_each(|to| self.send(node, to, bytes.clone()));
                }
                Output::SendToProxy(conn, bytes) => {
                    self.to_doors.push((node, conn, self.now, frame(&bytes)))
                }
                Output::Respond(call, answer) => {
                    assert!(
                        self.answers.insert(call, answer).is_none(),
                        "call {call} is answered twice"
                    );
                }
                Output::Log(line) | Output::Debug(line) => self.log.push((self.now, node, line)),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Bytes) {
        if from != to {
            self.wire.push_back((self.now + DELAY, from, to, bytes));
        }
    }

    fn run(&mut self, time: f64) {
        let until = self.now + time;
        while self.now < until {
            self.now += 1.0;
            let pairs = if self.cut.len() + self.dead.len() > 0 {
                self.pairs()
            } else {
                Vec::new()
            };
            for pair in pairs {
                let cut = [pair, (pair.1, pair.0)]
                    .iter()
                    .filter_map(|way| self.cut.get(way))
                    .copied()
                    .reduce(f64::min);
                match cut {
                    Some(since) if self.now - since >= BOUND && self.dead.insert(pair) => {
                        self.link(pair.0, pair.1, false)
                    }
                    None if self.dead.remove(&pair) => self.link(pair.0, pair.1, true),
                    _ => {}
                }
            }
            while self.wire.front().is_some_and(|(at, ..)| *at <= self.now) {
                let Some((_, from, to, bytes)) = self.wire.pop_front() else {
                    break;
                };
                let pair = (from.min(to), from.max(to));
                // What comes to one that stands still is refused when it thaws, if that takes long: the link is dead by then.
                let lost = self.cut.contains_key(&(from, to))
                    || self.dead.contains(&pair)
                    || self.nodes[to].frozen;
                if !lost {
                    self.drive(to, |core, now, out| {
                        core.receive_from_peer(now, &ip(from), frame(&bytes), out)
                    });
                }
            }
            for node in 0..self.nodes.len() {
                let now = self.now;
                while !self.nodes[node].stalled
                    && self.nodes[node]
                        .disk
                        .front()
                        .is_some_and(|(_, at)| *at <= now)
                {
                    let Some((number, _)) = self.nodes[node].disk.pop_front() else {
                        break;
                    };
                    self.drive(node, |core, now, out| core.persisted(now, number, out));
                }
                if !self.nodes[node].frozen && now - self.nodes[node].ticked >= TICK {
                    self.nodes[node].ticked = now;
                    self.drive(node, |core, now, out| core.tick(now, out));
                }
            }
        }
    }

    fn call(&mut self, node: usize, call: Call) -> u64 {
        self.calls += 1;
        let number = self.calls;
        self.drive(node, |core, now, out| core.call(now, number, call, out));
        number
    }

    fn beat(&mut self, node: usize, id: &str, state: &str, seq: u64) -> u64 {
        let body = format!(
            "{{\"Id\":\"{id}\",\"Address\":\"10.1.0.1:80\",\"Details\":{{\"Service\":\"s\",\"Zone\":\"a\",\"Capacity\":4}},\
             \"Observed\":{{\"State\":\"{state}\",\"CallSeq\":{seq},\"WarmupLeftS\":0}}}}"
        );
        self.call(node, Call::Heartbeat(id.to_owned(), body.into()))
    }

    fn done(&self, call: u64) -> bool {
        matches!(self.answers.get(&call), Some(CallResponse::Ok(_)))
    }

    /// Changes a service's route in this version, at whoever leads; tells the call.
    fn amend(&mut self, node: usize, version: u64) -> u64 {
        let body = AMEND.replace("VERSION", &format!("{version:08}"));
        self.call(node, Call::Amend(body.into()))
    }

    /// The exchange that confirms a change now.
    fn leader(&mut self, version: u64) -> usize {
        for _ in 0..40 {
            for node in 0..self.nodes.len() {
                let call = self.amend(node, version);
                self.run(50.0);
                if self.done(call) {
                    return node;
                }
                let answer = self.answers.get(&call);
                assert!(
                    !matches!(answer, Some(CallResponse::Rejected(..))),
                    "refused: {answer:?}"
                );
            }
        }
        panic!("nobody leads");
    }

    fn door(&mut self, node: usize, index: u64) -> u64 {
        self.doors += 1;
        let conn = self.doors;
        let hello = Hello {
            version: PROTOCOL_VERSION,
            ip: "10.9.0.1".into(),
            node: format!("door-{conn}"),
            incarnation: 1,
            is_controller: false,
            config_index: index,
        };
        self.drive(node, |core, now, out| {
            core.proxy_connected(now, conn, &hello, out)
        });
        conn
    }

    /// The configurations and the lists that a door was told, with when.
    fn plans(&self, conn: u64) -> Vec<(f64, &ConfigUpdate)> {
        let of = self.to_doors.iter().filter(|(_, door, ..)| *door == conn);
        of.filter_map(|(_, _, at, frame)| match frame {
            Frame::ConfigUpdate(plans) if plans.index > 0 => Some((*at, plans)),
            _ => None,
        })
        .collect()
    }

    fn words(&self, conn: u64) -> Vec<&InstanceUpdates> {
        let of = self.to_doors.iter().filter(|(_, door, ..)| *door == conn);
        of.filter_map(|(.., frame)| match frame {
            Frame::InstanceUpdates(words) => Some(words),
            _ => None,
        })
        .collect()
    }

    fn cut_off(&mut self, node: usize, out: bool, into: bool) {
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            if out {
                self.cut.insert((node, other), self.now);
            }
            if into {
                self.cut.insert((other, node), self.now);
            }
        }
    }

    fn join(&mut self) {
        self.cut.clear();
    }

    fn logged(&self, node: usize, what: &str) -> usize {
        self.log
            .iter()
            .filter(|(_, at, line)| *at == node && line.contains(what))
            .count()
    }
}

const AMEND: &str = r#"{"Upsert":{"Tenants":{"ColumnNames":["Name","ApiKeys","Priority","RatePerS","BurstSize","Version"],
"DataRows":[["t",["k1k1k1k1k1k1k1k1k1k1"],0,94,94,"VERSION"]]}},"Remove":{}}"#;

/// Guards the first point of the users' letter. Cut off either way or both, leader or not, for twenty seconds: from the bound on, an
/// exchange hands nothing to a door that has nothing, confirms no order and no reading, acknowledges no beat and says of nobody that
/// it is lost; once joined it serves the doors that waited, at once and with what holds by now.
#[test]
fn an_exchange_that_is_cut_off_hands_out_and_confirms_nothing() {
    for (out, into) in [(true, false), (false, true), (true, true)] {
        for leads in [true, false] {
            let mut fleet = Fleet::new(3, 7);
            fleet.run(2000.0);
            let leader = fleet.leader(1);
            let away = if leads { leader } else { (leader + 1) % 3 };
            let near = (away + 1) % 3;
            for node in 0..3 {
                let call = fleet.beat(node, &format!("b{node}"), "in_loop", 1);
                assert!(fleet.done(call));
            }
            fleet.run(500.0);
            let had = fleet.door(away, 0);
            assert_eq!(
                (fleet.plans(had).len(), fleet.words(had)[0].records.len()),
                (1, 3)
            );
            fleet.cut_off(away, out, into);
            for seq in 2..6 {
                (0..3).for_each(|node| {
                    assert!(fleet.beat(near, &format!("b{node}"), "in_loop", seq) > 0)
                });
                fleet.run((BOUND + ALONE + SLACK) / 4.0);
            }
            let case = format!("out {out} into {into} leads {leads}");
            let elected = fleet.leader(2);
            assert_ne!(elected, away, "{case}");
            let fresh = fleet.door(away, 0);
            fleet.run(HEARTBEAT);
            let mut seq = 5;
            for _ in 0..13 {
                seq += 1;
                let (amend, all) = (fleet.amend(away, 9), fleet.call(away, Call::ReadConfig));
                // A backend that is turned away goes on to another.
                for node in 0..3 {
                    let id = format!("b{node}");
                    let beat = fleet.beat(away, &id, "in_loop", seq);
                    assert_eq!(
                        fleet.answers.get(&beat),
                        Some(&CallResponse::Unavailable),
                        "{case}"
                    );
                    let beat = fleet.beat(near, &id, "in_loop", seq);
                    assert!(fleet.done(beat), "{case}");
                }
                let leave = fleet.beat(away, "c", "decaying", seq);
                fleet.run(HEARTBEAT);
                for call in [amend, all, leave] {
                    assert_eq!(
                        fleet.answers.get(&call),
                        Some(&CallResponse::Unavailable),
                        "{case}"
                    );
                }
            }
            assert!(
                fleet.plans(fresh).is_empty(),
                "{case}: a fresh door got an old configuration"
            );
            assert!(
                fleet
                    .words(fresh)
                    .iter()
                    .all(|words| words.records.iter().all(|word| word.id == "c")),
                "{case}"
            );
            for node in 0..3 {
                assert_eq!(
                    fleet.logged(node, "event=backend_expired"),
                    0,
                    "{case}: exchange {node}"
                );
            }
            // A leader whose words go nowhere may follow another for a while, as long as it hears that one.
            let parted = fleet.logged(away, "event=quorum_lost");
            assert!((1..=2).contains(&parted), "{case}: {parted}");
            assert_eq!(fleet.logged(away, "event=config_withheld"), 1, "{case}");
            fleet.join();
            let joined = fleet.now;
            fleet.run(1500.0);
            let plans = fleet.plans(fresh);
            assert!(
                plans[0].0 - joined < 1000.0,
                "{case}: served after {} ms",
                plans[0].0 - joined
            );
            assert!(
                plans[0].1.index >= fleet.plans(had).last().expect("a plan").1.index,
                "{case}"
            );
            assert!(
                fleet
                    .words(fresh)
                    .iter()
                    .any(|words| words.records.len() >= 3),
                "{case}"
            );
            assert_eq!(
                fleet.logged(away, "event=quorum_restored"),
                parted + 1,
                "{case}"
            );
        }
    }
}

/// Guards a process that stood still: when it thaws it says nothing of what it knew before until it is in touch again, and takes nobody
/// for lost whom it could not hear.
#[test]
fn an_exchange_that_stood_still_says_nothing_old() {
    for time in [1300.0, 5000.0, 20_000.0] {
        let mut fleet = Fleet::new(3, 11);
        fleet.run(2000.0);
        let leader = fleet.leader(1);
        let (frozen, near) = (leader, (leader + 1) % 3);
        assert!(fleet.done(fleet.calls));
        fleet.beat(near, "b", "in_loop", 1);
        fleet.run(500.0);
        fleet.nodes[frozen].frozen = true;
        fleet.cut_off(frozen, true, true);
        let mut seq = 1;
        for _ in 0..(time / 100.0) as usize {
            seq += 1;
            fleet.beat(near, "b", "in_loop", seq);
            fleet.run(100.0);
        }
        let elected = if time > 3000.0 { fleet.leader(2) } else { near };
        assert_ne!(elected, frozen);
        // It runs again, and before anything of it has passed a door comes and orders do. Its links come up when they do.
        let thawed = fleet.now;
        fleet.nodes[frozen].frozen = false;
        let (fresh, amend) = (fleet.door(frozen, 0), fleet.amend(frozen, 9));
        fleet.run(400.0);
        assert!(!fleet.done(amend), "{time}: confirmed alone");
        assert!(
            fleet.plans(fresh).is_empty(),
            "{time}: handed out after a pause"
        );
        assert_eq!(fleet.logged(frozen, "event=process_paused"), 1, "{time}");
        fleet.join();
        fleet.run(4.0 * HEARTBEAT - 500.0);
        assert_eq!(
            fleet.logged(frozen, "event=backend_expired"),
            0,
            "{time}: took for lost whom it could not hear"
        );
        let plans = fleet.plans(fresh);
        assert!(plans[0].0 - thawed < 3000.0, "{time}");
    }
}

/// Guards what is acknowledged to a backend that leaves: it is on the disks of a majority, this one's among them, whoever of them heard it
/// first and however.
#[test]
fn a_leave_is_acknowledged_once_a_majority_has_it_on_disk() {
    for (of, others) in [(3, 1), (5, 2)] {
        let mut fleet = Fleet::new(of, 3);
        fleet.run(2500.0);
        fleet.leader(1);
        fleet.nodes.iter_mut().for_each(|node| node.stalled = true);
        // All hear it, and no disk has it.
        let first = fleet.beat(0, "b", "decaying", 1);
        fleet.run(100.0);
        // The backend has had no answer, and asks who knows it already.
        let second = fleet.beat(1, "b", "decaying", 2);
        let third = fleet.beat(2, "b", "decaying", 2);
        fleet.run(100.0);
        assert!(
            ![first, second]
                .iter()
                .any(|call| fleet.answers.contains_key(call)),
            "{of}"
        );
        fleet.nodes[0].stalled = false;
        fleet.run(100.0);
        assert!(
            ![first, second, third].iter().any(|call| fleet.done(*call)),
            "{of}: on one disk only"
        );
        for node in 1..others {
            fleet.nodes[node].stalled = false;
            fleet.run(100.0);
            assert!(
                ![first, second, third].iter().any(|call| fleet.done(*call)),
                "{of}: on {} disks",
                node + 1
            );
        }
        fleet.nodes[others].stalled = false;
        fleet.run(100.0);
        assert!(
            fleet.done(first) && fleet.done(second),
            "{of}: a majority has it"
        );
        assert_eq!(
            fleet.done(third),
            others >= 2,
            "{of}: its own disk has it or not"
        );
        // What is known to be there is acknowledged at once.
        let again = fleet.beat(0, "b", "decaying", 3);
        assert!(fleet.done(again), "{of}");
    }
}

/// Guards a leave against a reset of all links in the moment in which it is told: it is told again on the new ones, and acknowledged in
/// time.
#[test]
fn a_leave_outlives_a_reset_of_the_links() {
    let mut fleet = Fleet::new(3, 13);
    fleet.run(2500.0);
    fleet.leader(1);
    let leave = fleet.beat(0, "b", "decaying", 1);
    fleet.wire.clear();
    for up in [false, true] {
        fleet.link(0, 1, up);
        fleet.link(0, 2, up);
    }
    fleet.run(100.0);
    assert!(fleet.done(leave), "{:?}", fleet.answers.get(&leave));
}

/// Guards receipts against a disk that hangs: no more of them wait than there is room for.
#[test]
fn receipts_that_wait_for_a_disk_are_bounded() {
    let mut fleet = Fleet::new(3, 5);
    fleet.run(2000.0);
    fleet.nodes[1].stalled = true;
    let mut asked = 0;
    for round in 0..60_u64 {
        let word = maplefall_service_registry::InstanceRecord {
            id: "b".into(),
            state: InstanceState::Draining.into(),
            seq: round + 1,
            ..maplefall_service_registry::InstanceRecord::default()
        };
        for receipt in 0..100 {
            asked += 1;
            let words = InstanceUpdates {
                records: vec![word.clone()],
                complete: false,
                ack_number: round * 100 + receipt + 1,
            };
            fleet.drive(1, |core, now, out| {
                core.receive_from_peer(
                    now,
                    &ip(0),
                    frame(&encode_frame(Frame::InstanceUpdates(words))),
                    out,
                )
            });
        }
    }
    let heard = |fleet: &Fleet| {
        let heard = fleet.wire.iter().filter(|(_, from, _, bytes)| {
            *from == 1 && matches!(frame(bytes), Frame::InstancesPersisted(_))
        });
        heard.count()
    };
    assert_eq!(heard(&fleet), 0);
    fleet.nodes[1].stalled = false;
    while fleet.nodes[1].disk.front().is_some() {
        let Some((number, _)) = fleet.nodes[1].disk.pop_front() else {
            break;
        };
        fleet.drive(1, |core, now, out| core.persisted(now, number, out));
    }
    assert!(
        heard(&fleet) > 0 && heard(&fleet) <= 4096 && heard(&fleet) < asked,
        "{} of {asked}",
        heard(&fleet)
    );
}

/// Guards all of it in disorder: cuts one after another, of any exchange either way, while orders are confirmed and doors come. A door
/// that has nothing is never handed a configuration older than what was confirmed before the bound; no exchange takes for lost
/// whom another has acknowledged.
#[test]
fn what_a_fresh_door_is_handed_is_never_old() {
    println!("seeds 0 to 11");
    let mut handed = 0;
    for seed in 0..12 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut draw = |most: u32| rng.next_u32() % most;
        let mut fleet = Fleet::new(if seed % 3 == 0 { 5 } else { 3 }, seed + 50);
        let of = fleet.nodes.len();
        fleet.run(2500.0);
        let (mut version, mut seq, mut stays) = (1, 0, seed as usize % of);
        // Calls that order, with their versions; what was confirmed, with when.
        let mut orders: Vec<(u64, u64)> = Vec::new();
        let mut confirmed: BTreeMap<u64, f64> = BTreeMap::new();
        let (mut joins, mut cuts, mut beat_at) = (0.0, 3000.0, 0.0);
        let mut fresh: Vec<u64> = Vec::new();
        while fleet.now < 40_000.0 {
            if fleet.now >= cuts && fleet.cut.is_empty() {
                let (node, way) = (draw(of as u32) as usize, draw(3));
                let node = if draw(2) == 0 { stays } else { node };
                fleet.cut_off(node, way != 1, way != 0);
                joins = fleet.now + f64::from(500 + draw(8000));
            }
            if fleet.now >= joins && !fleet.cut.is_empty() {
                fleet.join();
                cuts = fleet.now + f64::from(draw(3000));
            }
            if draw(4) == 0 {
                version += 1;
                let node = draw(of as u32) as usize;
                let mut call = fleet.amend(node, version);
                if let Some(CallResponse::Redirect(leader)) = fleet.answers.get(&call).cloned() {
                    let node = (0..of)
                        .find(|node| ip(*node) == leader)
                        .expect("an exchange");
                    call = fleet.amend(node, version);
                }
                orders.push((call, version));
            }
            if draw(6) == 0 {
                fresh.push(fleet.door(draw(of as u32) as usize, 0));
            }
            if fleet.now >= beat_at {
                // A backend stays with the exchange that acknowledges it, and goes on where it is not acknowledged.
                (beat_at, seq) = (fleet.now + HEARTBEAT, seq + 1);
                for node in (0..of).cycle().skip(stays).take(of) {
                    let call = fleet.beat(node, "b", "in_loop", seq);
                    if fleet.done(call) {
                        stays = node;
                        break;
                    }
                }
            }
            fleet.run(100.0);
            for (call, version) in &orders {
                if fleet.done(*call) {
                    confirmed.entry(*version).or_insert(fleet.now);
                }
            }
        }
        for conn in fresh {
            let Some((at, first)) = fleet.plans(conn).first().copied() else {
                continue;
            };
            handed += 1;
            let items = first
                .items
                .iter()
                .map(|item| item.version)
                .max()
                .unwrap_or(0);
            let due = confirmed
                .iter()
                .filter(|(_, when)| **when < at - BOUND - ALONE - SLACK);
            let due = due.map(|(version, _)| *version).max().unwrap_or(0);
            assert!(
                u64::from(items) >= due,
                "seed {seed}: a door got version {items} at {at}, {due} was long confirmed"
            );
        }
        for node in 0..of {
            assert_eq!(
                fleet.logged(node, "event=backend_expired"),
                0,
                "seed {seed}: exchange {node} lost a backend that lives"
            );
        }
        assert!(
            confirmed.len() > 40,
            "seed {seed}: {} confirmed",
            confirmed.len()
        );
    }
    println!("first configurations handed out: {handed}");
    assert!(handed > 200, "{handed}");
}

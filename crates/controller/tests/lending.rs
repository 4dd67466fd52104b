//! What exchanges lend, and when they answer doors at all: played with [`Core`] alone, without sockets and without waiting.

use bytes::{Bytes, BytesMut};
use maplefall_control_messages::{decode_frame, Frame, Hello, PROTOCOL_VERSION};
use maplefall_controller::core::TICK;
use maplefall_controller::disk::Directory as Disk;
use maplefall_controller::store::{Store, StoreRecord, StoredState};
use maplefall_controller::{Call, Core, Output};
use maplefall_node_settings::Settings;
use maplefall_quota_lease::{
    Lease, LeaseClient, LeaseGrant, LeaseRequest, CLOCK_SKEW, LEASE_DURATION, MEMBERSHIP_LEASE,
    TAKEOVER_DELAY, WHOLE_QUOTA_PPM,
};
use std::collections::{BTreeMap, VecDeque};
use std::path::{Path, PathBuf};

/// One tenant.
const AMEND: &str = r#"{"Upsert":{"Tenants":{"ColumnNames":["Name","ApiKeys","RatePerS","BurstSize","Version"],"DataRows":[["t",["k"],100,100,"00000001"]]}}}"#;

fn settings(ip: &str, seeds: &[&str], bootstrap: bool, losses: u32) -> Settings {
    let seeds: Vec<String> = seeds.iter().map(|ip| format!("\"{ip}:8381\"")).collect();
    let text = format!(
        "Node = \"core-{ip}\"\nIp = \"{ip}\"\nInternalPorts = [7560, 7575]\nSeedAddrs = [{}]\nBootstrap = {bootstrap}\n\
         QuorumMember = true\n[Tolerance]\nMachineLosses = {losses}\n",
        seeds.join(", ")
    );
    Settings::read(&text, Path::new("local.toml")).expect("settings")
}

struct Node {
    core: Core,
    /// What it has written and is not yet told of.
    writes: Vec<(u64, StoreRecord)>,
    /// Whether its disk holds its word back.
    slow: bool,
    kept: Vec<StoreRecord>,
    cut: bool,
    lent: Vec<(u64, LeaseGrant)>,
    log: Vec<String>,
}

/// Exchanges that hear one another at once.
struct Play {
    now: f64,
    nodes: BTreeMap<String, Node>,
    mail: VecDeque<(String, String, Frame)>,
}

fn frames(bytes: &Bytes) -> Frame {
    decode_frame(&mut BytesMut::from(bytes.as_ref()))
        .expect("a frame")
        .expect("all of it")
}

impl Play {
    fn new(ips: &[&str], losses: u32) -> Play {
        let mut play = Play {
            now: 0.0,
            nodes: BTreeMap::new(),
            mail: VecDeque::new(),
        };
        for (n, ip) in ips.iter().enumerate() {
            play.start(
                &settings(ip, ips, true, losses),
                StoredState::default(),
                n as u64 + 7,
            );
        }
        play
    }

    fn start(&mut self, settings: &Settings, kept: StoredState, seed: u64) {
        let mut out = Vec::new();
        let core = Core::new(settings, self.now, seed, kept, &mut out);
        let node = Node {
            core,
            writes: Vec::new(),
            slow: false,
            kept: Vec::new(),
            cut: false,
            lent: Vec::new(),
            log: Vec::new(),
        };
        let ip = settings.ip.to_string();
        self.nodes.insert(ip.clone(), node);
        self.carry(&ip, out);
        self.settle();
    }

    fn carry(&mut self, ip: &str, out: Vec<Output>) {
        let others: Vec<String> = self
            .nodes
            .keys()
            .filter(|other| *other != ip)
            .cloned()
            .collect();
        let Some(node) = self.nodes.get_mut(ip) else {
            return;
        };
        for output in out {
            match output {
                Output::Write(number, stored) => node
                    .writes
                    .push((number, StoreRecord { number, ..*stored })),
                Output::SendToPeer(to, bytes) => {
                    self.mail.push_back((ip.to_owned(), to, frames(&bytes)))
                }
                Output::SendToAllPeers(bytes) => {
                    for to in &others {
                        self.mail
                            .push_back((ip.to_owned(), to.clone(), frames(&bytes)));
                    }
                }
                Output::SendToProxy(conn, bytes) => {
                    if let Frame::LeaseGrant(lent) = frames(&bytes) {
                        node.lent.push((conn, lent));
                    }
                }
                Output::Respond(..) => {}
                Output::Log(line) | Output::Debug(line) => node.log.push(line),
            }
        }
    }

    fn drive(&mut self, ip: &str, step: impl FnOnce(&mut Core, f64, &mut Vec<Output>)) {
        let mut out = Vec::new();
        if let Some(node) = self.nodes.get_mut(ip) {
            step(&mut node.core, self.now, &mut out);
        }
        self.carry(ip, out);
        self.settle();
    }

    /// Disks and exchanges answer, until there is nothing more to say.
    fn settle(&mut self) {
        loop {
            let due = self
                .nodes
                .iter()
                .find(|(_, node)| !node.slow && !node.writes.is_empty());
            if let Some(ip) = due.map(|(ip, _)| ip.clone()) {
                let mut out = Vec::new();
                if let Some(node) = self.nodes.get_mut(&ip) {
                    let writes = std::mem::take(&mut node.writes);
                    let last = writes.last().map_or(0, |(number, _)| *number);
                    node.kept
                        .extend(writes.into_iter().map(|(_, stored)| stored));
                    node.core.persisted(self.now, last, &mut out);
                }
                self.carry(&ip, out);
                continue;
            }
            let Some((from, to, frame)) = self.mail.pop_front() else {
                return;
            };
            let cut = |ip: &str| self.nodes.get(ip).is_none_or(|node| node.cut);
            if cut(&from) || cut(&to) {
                continue;
            }
            let mut out = Vec::new();
            if let Some(node) = self.nodes.get_mut(&to) {
                node.core
                    .receive_from_peer(self.now, &from, frame, &mut out);
            }
            self.carry(&to, out);
        }
    }

    fn run(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += TICK;
            for ip in self.nodes.keys().cloned().collect::<Vec<_>>() {
                self.drive(&ip, |core, now, out| core.tick(now, out));
            }
        }
    }

    fn door(&mut self, ip: &str, conn: u64, node: &str, life: u64) {
        let hello = Hello {
            version: PROTOCOL_VERSION,
            ip: "10.1.0.1".to_owned(),
            node: node.to_owned(),
            incarnation: life,
            is_controller: false,
            config_index: 0,
        };
        self.drive(ip, |core, now, out| {
            core.proxy_connected(now, conn, &hello, out)
        });
    }

    fn report(&mut self, ip: &str, conn: u64, report: LeaseRequest) -> Vec<LeaseGrant> {
        self.lent(ip, conn);
        self.drive(ip, |core, now, out| {
            core.door(now, conn, Frame::LeaseRequest(report), out)
        });
        self.lent(ip, conn)
    }

    /// What was said to a door since the last look.
    fn lent(&mut self, ip: &str, conn: u64) -> Vec<LeaseGrant> {
        let Some(node) = self.nodes.get_mut(ip) else {
            return Vec::new();
        };
        let (mine, others) = std::mem::take(&mut node.lent)
            .into_iter()
            .partition(|(to, _)| *to == conn);
        node.lent = others;
        let mine: Vec<(u64, LeaseGrant)> = mine;
        mine.into_iter().map(|(_, lent)| lent).collect()
    }

    /// A tenant comes into force.
    fn amend(&mut self) {
        for ip in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.drive(&ip, |core, now, out| {
                core.call(
                    now,
                    1,
                    Call::Amend(Bytes::from_static(AMEND.as_bytes())),
                    out,
                );
            });
        }
        self.run(500.0);
    }
}

fn parts(lent: &[LeaseGrant]) -> Vec<u32> {
    lent.iter()
        .flat_map(|lent| &lent.leases)
        .map(|loan| loan.ppm)
        .collect()
}

/// Guards restarts of an exchange: whom it lends to must be on its disk first, also where a door reports twice in that moment.
#[test]
fn nothing_is_lent_before_the_doors_name_is_on_disk() {
    let mut play = Play::new(&["10.0.0.1"], 0);
    play.run(2000.0);
    play.amend();
    let mut purse = LeaseClient::new(5);
    purse.connected("x");
    play.door("10.0.0.1", 1, "door", 5);
    play.nodes.get_mut("10.0.0.1").expect("a node").slow = true;
    for _ in 0..3 {
        let report = purse.next_request(play.now, "x", Vec::new());
        assert!(play.report("10.0.0.1", 1, report).is_empty());
    }
    play.nodes.get_mut("10.0.0.1").expect("a node").slow = false;
    play.settle();
    let lent = play.lent("10.0.0.1", 1);
    assert_eq!(parts(&lent[..1]), [WHOLE_QUOTA_PPM]);
    let kept = &play.nodes["10.0.0.1"].kept;
    assert!(kept.iter().any(|stored| stored.leased_to == ["door"]));
}

/// Guards quotas while an exchange is cut off: it answers for as long as its lease lasts and no longer, and says so; once it is back it
/// answers who asked meanwhile.
#[test]
fn an_exchange_that_is_out_of_touch_prolongs_nothing() {
    let ips = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];
    let mut play = Play::new(&ips, 1);
    play.run(5000.0);
    play.amend();
    for cut in ips {
        let mut purse = LeaseClient::new(5);
        purse.connected("x");
        play.door(cut, 1, "door", 5);
        let report = purse.next_request(play.now, "x", Vec::new());
        assert_eq!(parts(&play.report(cut, 1, report)), [WHOLE_QUOTA_PPM / 3]);
        play.nodes.get_mut(cut).expect("a node").cut = true;
        // A leader that hears nobody knows so after a second.
        for half in 1..=(2.0 * MEMBERSHIP_LEASE / 500.0) as u32 + 4 {
            play.run(500.0);
            let report = purse.next_request(play.now, "x", Vec::new());
            let answered = !play.report(cut, 1, report).is_empty();
            let since = f64::from(half) * 500.0;
            assert!(
                !answered || since < MEMBERSHIP_LEASE + 1500.0,
                "{cut} answers after {since} ms"
            );
            assert!(
                answered || since >= MEMBERSHIP_LEASE,
                "{cut} is silent after {since} ms"
            );
        }
        let said = |play: &Play, what: &str| {
            play.nodes[cut]
                .log
                .iter()
                .any(|line| line.starts_with(what))
        };
        assert!(said(&play, "event=lease_expired"));
        play.nodes.get_mut(cut).expect("a node").cut = false;
        play.lent(cut, 1);
        play.run(4000.0);
        let report = purse.next_request(play.now, "x", Vec::new());
        assert!(!play.report(cut, 1, report).is_empty());
        play.drive(cut, |core, _, out| core.proxy_disconnected(1, out));
        play.run(1000.0);
    }
}

/// Guards a first start with five exchanges of which three are told of: these lend a fifth each from the first moment on.
#[test]
fn three_of_five_lend_a_fifth_each() {
    let mut play = Play::new(&["10.0.0.1", "10.0.0.2", "10.0.0.3"], 2);
    play.run(5000.0);
    play.amend();
    for ip in ["10.0.0.1", "10.0.0.2", "10.0.0.3"] {
        let mut purse = LeaseClient::new(5);
        purse.connected("x");
        play.door(ip, 1, "door", 5);
        let report = purse.next_request(play.now, "x", Vec::new());
        assert_eq!(parts(&play.report(ip, 1, report)), [WHOLE_QUOTA_PPM / 5]);
    }
    // A fourth joins, and has one that nobody has lent.
    let mut fourth = settings("10.0.0.4", &["10.0.0.1", "10.0.0.2", "10.0.0.3"], true, 2);
    fourth.quorum_member = true;
    play.start(&fourth, StoredState::default(), 99);
    play.run(5000.0);
    let mut purse = LeaseClient::new(5);
    purse.connected("x");
    play.door("10.0.0.4", 1, "door", 5);
    let report = purse.next_request(play.now, "x", Vec::new());
    assert_eq!(
        parts(&play.report("10.0.0.4", 1, report)),
        [WHOLE_QUOTA_PPM / 5]
    );
}

/// Guards the seconds after a loss of all: exchanges that find their disks lend as soon as they agree and their doors are back. On merged
/// stages of this they waited for 23 s, and doors refused all that while.
#[test]
fn after_a_loss_of_all_loans_flow_at_once() {
    let ips = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];
    let mut play = Play::new(&ips, 1);
    play.run(3000.0);
    play.amend();
    for ip in ips {
        play.door(ip, 1, "door", 5);
        let lent = play.report(
            ip,
            1,
            LeaseRequest {
                sequence: 1,
                full: true,
                ..LeaseRequest::default()
            },
        );
        assert_eq!(parts(&lent), [WHOLE_QUOTA_PPM / 3]);
    }
    let disks: Vec<StoredState> = ips
        .iter()
        .map(|ip| {
            let mut kept = StoredState::default();
            play.nodes[*ip]
                .kept
                .iter()
                .for_each(|stored| kept.apply(stored.clone()));
            kept
        })
        .collect();
    (play.nodes, play.mail) = (BTreeMap::new(), VecDeque::new());
    for (n, (ip, kept)) in ips.iter().zip(disks).enumerate() {
        play.start(&settings(ip, &ips, false, 1), kept, n as u64 + 70);
    }
    play.run(1500.0);
    for ip in ips {
        play.door(ip, 1, "door", 6);
        let lent = play.report(
            ip,
            1,
            LeaseRequest {
                sequence: 1,
                full: true,
                ..LeaseRequest::default()
            },
        );
        assert_eq!(parts(&lent), [WHOLE_QUOTA_PPM / 3], "{ip}");
    }
}

/// Guards the disk against names without end, and restarts against waiting for doors that are gone for good.
#[test]
fn doors_that_hold_nothing_any_more_are_forgotten() {
    let path = std::env::temp_dir().join(format!("maplefall-forgotten-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let folder = Folder(path);
    let mut play = Play::new(&["10.0.0.1"], 0);
    play.run(2000.0);
    play.amend();
    let mut stays = LeaseClient::new(5);
    stays.connected("x");
    play.door("10.0.0.1", 1, "stays", 5);
    play.door("10.0.0.1", 2, "goes", 6);
    play.report(
        "10.0.0.1",
        2,
        LeaseRequest {
            sequence: 1,
            full: true,
            ..LeaseRequest::default()
        },
    );
    play.drive("10.0.0.1", |core, _, out| core.proxy_disconnected(2, out));
    let named = |play: &Play| {
        let (mut store, found) = Store::open(Disk::new(&folder.0)).expect("a disk");
        let new = play.nodes["10.0.0.1"]
            .kept
            .iter()
            .filter(|stored| stored.number > found.number);
        store.write(new.cloned().collect()).expect("written");
        store.close().expect("closed");
        Store::open(Disk::new(&folder.0))
            .expect("a disk")
            .1
            .leased_to
    };
    for turn in 0..90 {
        play.run(500.0);
        let report = stays.next_request(play.now, "x", Vec::new());
        for lent in play.report("10.0.0.1", 1, report) {
            stays.handle_grant(play.now, "x", &lent);
        }
        if turn == 10 {
            assert_eq!(
                named(&play).into_iter().collect::<Vec<_>>(),
                ["goes", "stays"]
            );
        }
    }
    assert_eq!(named(&play).into_iter().collect::<Vec<_>>(), ["stays"]);
    // Who comes again is written down again.
    play.door("10.0.0.1", 3, "goes", 6);
    play.report(
        "10.0.0.1",
        3,
        LeaseRequest {
            sequence: 2,
            full: true,
            ..LeaseRequest::default()
        },
    );
    assert_eq!(
        named(&play).into_iter().collect::<Vec<_>>(),
        ["goes", "stays"]
    );
}

/// Guards replacements by agreement, with whole exchanges: one is cut off from the others, goes on, and is replaced by one that
/// comes. The doors reach both. At no moment do they hold more than there is, and at the end they hold all; the new one lends
/// only once the wait is over, also where it starts anew in between, and the old one hears in the end that it lends nothing.
#[test]
fn an_exchange_and_its_successor_never_lend_the_same() {
    let seeds = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];
    let all = ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"];
    for (hit, back, again) in [
        (0, 60, false),
        (1, 60, true),
        (2, 8, false),
        (0, 8, true),
        (1, 14, false),
    ] {
        let hit = seeds[hit];
        let mut play = Play::new(&seeds, 1);
        play.run(5000.0);
        play.amend();
        // One door, with a purse for each, so that what it holds is not capped.
        let mut purses: BTreeMap<&str, LeaseClient> =
            all.iter().map(|ip| (*ip, LeaseClient::new(5))).collect();
        let connect =
            |play: &mut Play, purses: &mut BTreeMap<&str, LeaseClient>, ip: &str, conn: u64| {
                purses.get_mut(ip).expect("a purse").connected("x");
                play.door(ip, conn, "door", 5);
            };
        seeds
            .iter()
            .for_each(|ip| connect(&mut play, &mut purses, ip, 1));
        let mut conns: BTreeMap<&str, u64> = all.iter().map(|ip| (*ip, 1)).collect();
        let start = play.now;
        let mut waits = None;
        let mut lent = None;
        for half in 0..160 {
            let since = f64::from(half) * 500.0;
            if half == 4 {
                play.nodes.get_mut(hit).expect("a node").cut = true;
            }
            if half == 6 {
                play.start(
                    &settings(all[3], &seeds, false, 1),
                    StoredState::default(),
                    77,
                );
                connect(&mut play, &mut purses, all[3], 1);
            }
            if half == 4 + 2 * back {
                play.nodes.get_mut(hit).expect("a node").cut = false;
            }
            if half == 30 && again {
                // With what is on its disk, in the waiting time.
                let kept = play.nodes[all[3]].kept.clone();
                let path = std::env::temp_dir()
                    .join(format!("maplefall-successor-{}", std::process::id()));
                let _ = std::fs::remove_dir_all(&path);
                let folder = Folder(path);
                let (mut store, _) = Store::open(Disk::new(&folder.0)).expect("a disk");
                store.write(kept).expect("written");
                store.close().expect("closed");
                let found = Store::open(Disk::new(&folder.0)).expect("a disk").1;
                play.start(&settings(all[3], &seeds, false, 1), found, 78);
                conns.insert(all[3], 2);
                connect(&mut play, &mut purses, all[3], 2);
                waits = None;
            }
            play.run(500.0);
            for (ip, purse) in &mut purses {
                if !play.nodes.contains_key(*ip) {
                    continue;
                }
                let report = purse.next_request(play.now, "x", Vec::new());
                for lent in play.report(ip, conns[ip], report) {
                    purse.handle_grant(play.now, "x", &lent);
                }
            }
            let held: f64 = purses
                .values()
                .map(|purse| purse.fraction(play.now, "t"))
                .sum();
            assert!(
                held <= 1.0 + 1e-6,
                "{hit}, back after {back} s: {held} is held after {since} ms"
            );
            let said = |what: &str| {
                let fourth = play.nodes.get(all[3]);
                fourth.is_some_and(|node| node.log.iter().any(|line| line.starts_with(what)))
            };
            if waits.is_none() && said("event=slot_waiting") {
                waits = Some(play.now);
            }
            if lent.is_none() && purses[all[3]].fraction(play.now, "t") > 0.0 {
                lent = Some(play.now);
            }
        }
        let (waits, lent) = (waits.expect("a wait"), lent.expect("a loan"));
        let waited = lent - waits;
        let due = TAKEOVER_DELAY - 1000.0..TAKEOVER_DELAY + 2000.0;
        assert!(due.contains(&waited), "{waited} after {start}");
        let held: f64 = purses
            .values()
            .map(|purse| purse.fraction(play.now, "t"))
            .sum();
        assert!(
            held > 0.99 && purses[hit].fraction(play.now, "t") == 0.0,
            "{hit}: {held} is held at the end"
        );
    }
}

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Guards the second start after a disk was lost: what is on it by then does not tell whom the life before the loss has lent to.
#[test]
fn a_disk_that_came_empty_knows_its_doors_only_once_all_has_run_out() {
    let path = std::env::temp_dir().join(format!("maplefall-lending-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let folder = Folder(path);
    let mut play = Play::new(&["10.0.0.1"], 0);
    play.run(2000.0);
    play.amend();
    // What a disk holds that does not say that it knows: the agreement, and no doors.
    let mut kept = play.nodes["10.0.0.1"].kept.clone();
    kept.iter_mut()
        .for_each(|stored| stored.leased_to_complete = false);
    let again = |kept: Vec<StoreRecord>| {
        let (mut store, _) = Store::open(Disk::new(&folder.0)).expect("a disk");
        store.write(kept).expect("written");
        store.close().expect("closed");
        Store::open(Disk::new(&folder.0)).expect("a disk").1
    };
    let found = again(kept);
    assert!(!found.leased_to_complete && !found.raft.is_empty());
    play.now += 1000.0;
    let one = settings("10.0.0.1", &["10.0.0.1"], false, 0);
    play.start(&one, found, 50);
    play.run(2000.0);
    // One door comes with nothing; another may hold what it was lent before the disk was lost.
    let mut purse = LeaseClient::new(5);
    purse.connected("x");
    play.door("10.0.0.1", 1, "door", 5);
    let report = purse.next_request(play.now, "x", Vec::new());
    let lent = play.report("10.0.0.1", 1, report);
    assert!(parts(&lent).iter().all(|parts| *parts == 0), "{lent:?}");
    // One that comes with a loan keeps it.
    play.door("10.0.0.1", 2, "other", 6);
    let held = vec![Lease {
        tenant: "t".to_owned(),
        ppm: WHOLE_QUOTA_PPM / 2,
    }];
    let report = LeaseRequest {
        sequence: 1,
        full: true,
        leases: held,
        ..LeaseRequest::default()
    };
    assert_eq!(
        parts(&play.report("10.0.0.1", 2, report)),
        [WHOLE_QUOTA_PPM / 2]
    );
    play.run(LEASE_DURATION + CLOCK_SKEW);
    let report = purse.next_request(play.now, "x", Vec::new());
    assert!(
        parts(&play.report("10.0.0.1", 1, report))
            .iter()
            .sum::<u32>()
            > 0
    );
    let kept = play.nodes["10.0.0.1"].kept.clone();
    assert!(again(kept).leased_to_complete);
}

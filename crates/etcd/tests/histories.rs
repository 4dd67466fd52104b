//! Random histories of a store, its members and the connections to them, played against the follower and the roster without
//! a socket. What is told is held to a plain log of everything that was ever written, which no compaction touches:
//!
//! - a change tells of every node that was written since what was told before, its last word, and of no other;
//! - a whole reading is the store as it was at its revision;
//! - versions never go back;
//! - the source counts as lost whenever there is no connection;
//! - after quiet, the roster is the store.
//!
//! `ETCD_HISTORIES=N` plays more; `ETCD_SEED=S` one.

use maplefall_etcd::{
    Command, ConnectionId, Failure, Follower, Input, Output, Settings, SourceUpdate,
};
use maplefall_etcd_wire::{
    error, request_op, DeleteRangeRequest, Event as Change, PutRequest, RangeRequest, RequestOp,
    TxnRequest, WatchResponse,
};
use maplefall_membership::{Event, Roster, SourceSettings};
use maplefall_protocol::{Health, Member};
use maplefall_test_servers::etcd::store::Store;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};

const ENDPOINTS: usize = 2;
const PREFIX: &str = "/p/members/";

/// A way in which the other side of the follower is broken, to show that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    /// Watches begin at the current revision, whatever was asked.
    ResumesAtCurrent,
    /// A watch of what is compacted goes on from where history begins, without a word.
    CompactionUnheard,
    /// A change is told again as a new one.
    ToldTwice,
    /// What an old stream still says is taken for the new one's.
    OldStreamHeard,
}

/// What stands under a key: nothing, an unreadable value, or a node.
#[derive(Clone, Debug, PartialEq)]
enum Word {
    Gone,
    Unreadable,
    Node(Health, u32),
}

/// Everything that was ever written in one cluster.
type Log = Vec<(i64, String, Word)>;

struct Watch {
    connection: ConnectionId,
    endpoint: usize,
    request: maplefall_etcd_wire::WatchCreateRequest,
    next: i64,
}

struct World {
    rng: Pcg32,
    now: f64,
    store: Store,
    log: Log,
    clusters: u64,
    down: [bool; ENDPOINTS],
    silent: [bool; ENDPOINTS],
    behind: [Option<i64>; ENDPOINTS],
    tokens: u64,
    /// The token of the connection.
    token: Option<u64>,
    /// Connections that are open, with their endpoints.
    open: BTreeMap<ConnectionId, usize>,
    watch: Option<Watch>,
    /// The one before: its stream lives on for a while, and says what is new to it.
    old: Option<Watch>,
    /// Inputs on their way. Of each connection they come in order.
    wire: VecDeque<(ConnectionId, Input)>,
    lease: Option<i64>,
    broken: Option<Broken>,
    newest: ConnectionId,
    follower: Follower,
    roster: Roster,
    /// Whether the roster has been told last that the source is there.
    heard: bool,
    /// The last version told since the cluster was last another, and the cluster's log that it is of.
    told: Option<i64>,
    counts: Counts,
}

/// What was played, so that a history in which nothing happens does not pass for one that held.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    changes: u64,
    readings: u64,
    cuts: u64,
    compactions: u64,
    clusters: u64,
}

impl World {
    fn new(seed: u64, broken: Option<Broken>) -> World {
        let mut rng = Pcg32::seed_from_u64(seed);
        let credentials = rng.next_u32() % 2 == 0;
        let page = [1, 2, 3, 100][rng.next_u32() as usize % 4];
        let settings = Settings {
            authenticate: credentials,
            page_size: page,
            watch_timeout: 400.0,
            call_timeout: 200.0,
            backoff: [5.0, 100.0],
            seed,
            ..Settings::with_defaults(0, ENDPOINTS, "/p")
        };
        let source = SourceSettings {
            believed_part: 0.5,
            doubt: 150.0,
            ..SourceSettings::trusted("etcd")
        };
        World {
            rng,
            now: 0.0,
            store: Store::new(1),
            log: Vec::new(),
            clusters: 1,
            down: [false; ENDPOINTS],
            silent: [false; ENDPOINTS],
            behind: [None; ENDPOINTS],
            tokens: 0,
            token: None,
            open: BTreeMap::new(),
            watch: None,
            old: None,
            wire: VecDeque::new(),
            lease: None,
            broken,
            newest: 0,
            follower: Follower::new(settings),
            roster: Roster::new(vec![source]),
            heard: false,
            told: None,
            counts: Counts::default(),
        }
    }

    fn below(&mut self, bound: u32) -> u32 {
        self.rng.next_u32() % bound
    }

    fn at(&self, endpoint: usize) -> i64 {
        self.behind[endpoint].map_or(self.store.revision(), |at| at.min(self.store.revision()))
    }

    // ---- The store ------------------------------------------------------------------------------------

    fn put_of(&mut self, host: u32) -> (String, PutRequest, Word) {
        let name = format!("n{host}");
        let (word, value) = match self.below(12) {
            0 => (Word::Unreadable, "{".to_owned()),
            what => {
                let (health, state) = if what < 5 {
                    (Health::Draining, "draining")
                } else {
                    (Health::Up, "up")
                };
                let started = self.below(3);
                let port = 1000 + host;
                let value = format!(
                    r#"{{"address":"127.0.0.1:{port}","state":"{state}","started_ms":{started}}}"#
                );
                (Word::Node(health, started), value)
            }
        };
        let lease = self.lease.filter(|_| host % 3 == 0).unwrap_or(0);
        let key = format!("{PREFIX}{name}").into_bytes();
        (
            name,
            PutRequest {
                key,
                value: value.into_bytes(),
                lease,
                prev_kv: false,
            },
            word,
        )
    }

    /// Writes down what the store has done since.
    fn note(&mut self, before: i64, words: &BTreeMap<String, Word>) {
        let changes = self.store.changes(
            b"/p/members/",
            b"/p/members0",
            before + 1,
            self.store.revision(),
        );
        for (revision, events) in changes.unwrap_or_default() {
            for event in events {
                let kv = event.kv.unwrap();
                let host = String::from_utf8(kv.key[PREFIX.len()..].to_vec()).unwrap();
                let word = if event.kind == Change::DELETE {
                    Word::Gone
                } else {
                    words[&host].clone()
                };
                self.log.push((revision, host, word));
            }
        }
    }

    fn write(&mut self) {
        let before = self.store.revision();
        let mut words = BTreeMap::new();
        match self.below(10) {
            0..=4 => {
                let host = self.below(8);
                let (name, put, word) = self.put_of(host);
                words.insert(name, word);
                self.store.put(&put).unwrap();
            }
            5 | 6 => {
                let key = format!("{PREFIX}n{}", self.below(8)).into_bytes();
                self.store
                    .delete(&DeleteRangeRequest {
                        key,
                        ..Default::default()
                    })
                    .unwrap();
            }
            7 => {
                // A drain and the start of a replacement, seen together; and a key of somebody else.
                let first = self.below(8);
                let mut success = Vec::new();
                for host in [first, (first + 1) % 8] {
                    let (name, put, word) = self.put_of(host);
                    words.insert(name, word);
                    success.push(RequestOp {
                        request: Some(request_op::Request::Put(put)),
                    });
                }
                self.store
                    .txn(
                        &TxnRequest {
                            success,
                            ..Default::default()
                        },
                        before,
                    )
                    .unwrap();
            }
            8 => {
                let put = PutRequest {
                    key: b"/q/other".to_vec(),
                    ..Default::default()
                };
                self.store.put(&put).unwrap();
            }
            _ => match self.lease.take() {
                None => self.lease = self.store.grant(self.now, 1, 0).ok(),
                Some(lease) => self.store.revoke(lease).unwrap(),
            },
        }
        self.note(before, &words);
    }

    // ---- The members ----------------------------------------------------------------------------------

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Open {
                connection,
                endpoint,
            } => {
                (self.token, self.newest) = (None, connection);
                if self.down[endpoint] {
                    let refused = Input::Failed(Failure::Unavailable("refused".into()));
                    self.wire.push_back((connection, refused));
                } else {
                    self.open.insert(connection, endpoint);
                    self.say(connection, Input::Opened);
                }
            }
            Command::Authenticate { connection } => {
                self.token = Some(self.tokens);
                self.say(connection, Input::Authenticated);
            }
            Command::Range {
                connection,
                request,
            } => {
                let Some(endpoint) = self.open.get(&connection).copied() else {
                    return;
                };
                let input = match self.refused() {
                    Some(failure) => Input::Failed(failure),
                    None => self.read(endpoint, &request),
                };
                self.say(connection, input);
            }
            Command::Watch {
                connection,
                mut request,
            } => {
                let Some(endpoint) = self.open.get(&connection).copied() else {
                    return;
                };
                if let Some(failure) = self.refused() {
                    return self.say(connection, Input::Failed(failure));
                }
                if self.broken == Some(Broken::ResumesAtCurrent) {
                    request.start_revision = self.at(endpoint) + 1;
                }
                let next = request.start_revision;
                self.old = self.watch.replace(Watch {
                    connection,
                    endpoint,
                    request,
                    next,
                });
                let created = WatchResponse {
                    created: true,
                    ..self.answer(endpoint)
                };
                self.say(connection, Input::WatchResponse(created));
            }
            Command::RequestProgress { connection } => {
                let Some(endpoint) = self.open.get(&connection).copied() else {
                    return;
                };
                // It overtakes what is still to be told, as it has been known to.
                let answer = WatchResponse {
                    watch_id: -1,
                    ..self.answer(endpoint)
                };
                self.say(connection, Input::WatchResponse(answer));
            }
            Command::LeaseTimeToLive { connection, lease } => {
                let ttl = Some(self.store.time_to_live(self.now, lease));
                self.say(connection, Input::LeaseTimeToLive { lease, ttl });
            }
            Command::Close { connection } => {
                // What is on the way may still come, from a stream that is thought to be closed.
                self.open.remove(&connection);
            }
        }
    }

    fn refused(&self) -> Option<Failure> {
        self.token
            .is_some_and(|token| token != self.tokens)
            .then_some(Failure::InvalidToken)
    }

    fn read(&mut self, endpoint: usize, request: &RangeRequest) -> Input {
        let at = self.at(endpoint);
        match self.store.range(request, at) {
            Ok(mut page) => {
                page.header = Some(self.store.header(endpoint as u64, at));
                Input::Page(page)
            }
            Err(refused) if refused.0 == error::COMPACTED => Input::Failed(Failure::Compacted),
            Err(refused) => Input::Failed(Failure::Unavailable(refused.0.into())),
        }
    }

    fn answer(&self, endpoint: usize) -> WatchResponse {
        let header = Some(self.store.header(endpoint as u64, self.at(endpoint)));
        WatchResponse {
            header,
            ..Default::default()
        }
    }

    fn say(&mut self, connection: ConnectionId, input: Input) {
        if self
            .open
            .get(&connection)
            .is_some_and(|endpoint| !self.silent[*endpoint])
        {
            self.wire.push_back((connection, input));
        }
    }

    /// The old stream's member tells what is new to it, as far as it was never told.
    fn tell_old(&mut self) {
        let Some(old) = &mut self.old else { return };
        let at = self.behind[old.endpoint]
            .map_or(self.store.revision(), |at| at.min(self.store.revision()));
        let (key, end) = (&old.request.key, &old.request.range_end);
        let Ok(changes) = self.store.changes(key, end, old.next, at) else {
            return self.old = None;
        };
        let Some((last, _)) = changes.last() else {
            return;
        };
        old.next = *last + 1;
        let events = changes.into_iter().flat_map(|(_, events)| events).collect();
        let header = Some(self.store.header(old.endpoint as u64, at));
        let told = WatchResponse {
            header,
            events,
            ..Default::default()
        };
        self.wire
            .push_back((old.connection, Input::WatchResponse(told)));
    }

    /// The watch's member tells what is new.
    fn tell(&mut self) {
        let piece = 1 + self.below(3) as usize;
        let most = 1 + self.below(4) as usize;
        let Some(watch) = &self.watch else { return };
        let (connection, endpoint, next) = (watch.connection, watch.endpoint, watch.next);
        if !self.open.contains_key(&connection) || self.silent[endpoint] {
            return;
        }
        let at = self.at(endpoint);
        let (key, end) = (&watch.request.key, &watch.request.range_end);
        let mut changes = self.store.changes(key, end, next, at);
        if self.broken == Some(Broken::CompactionUnheard) {
            if let Err(kept) = changes {
                changes = self.store.changes(key, end, kept, at);
            }
        }
        match changes {
            Err(kept) => {
                self.watch = None;
                let told = WatchResponse {
                    canceled: true,
                    compact_revision: kept,
                    ..self.answer(endpoint)
                };
                self.say(connection, Input::WatchResponse(told));
            }
            Ok(changes) => {
                let Some((last, _)) = changes.iter().take(most).next_back() else {
                    // A notice of progress: all up to here has been told.
                    if self.below(4) == 0 && next <= at {
                        let told = self.answer(endpoint);
                        self.say(connection, Input::WatchResponse(told));
                    }
                    return;
                };
                let next = *last + 1;
                let events: Vec<Change> = changes
                    .into_iter()
                    .take(most)
                    .flat_map(|(_, events)| events)
                    .collect();
                let pieces = events.len().div_ceil(piece);
                for (number, part) in events.chunks(piece).enumerate() {
                    let fragment = number + 1 < pieces;
                    let told = WatchResponse {
                        fragment,
                        events: part.to_vec(),
                        ..self.answer(endpoint)
                    };
                    self.say(connection, Input::WatchResponse(told));
                }
                if let Some(watch) = &mut self.watch {
                    watch.next = next;
                }
            }
        }
    }

    /// Breaks a connection off, with some of what is on the way lost.
    fn cut(&mut self) {
        self.counts.cuts += 1;
        let Some((connection, _)) = self.open.pop_last() else {
            return;
        };
        let keep = self.below(3) as usize;
        let mut of = 0;
        self.wire.retain(|(on, _)| {
            of += usize::from(*on == connection);
            *on != connection || of <= keep
        });
        self.wire.push_back((
            connection,
            Input::Failed(Failure::Unavailable("cut".into())),
        ));
    }

    fn trouble(&mut self) {
        let endpoint = self.below(ENDPOINTS as u32) as usize;
        match self.below(12) {
            0..=3 => self.cut(),
            4 => self.down[endpoint] = !self.down[endpoint],
            5 => self.silent[endpoint] = !self.silent[endpoint],
            6 | 7 => {
                self.behind[endpoint] = match self.behind[endpoint] {
                    Some(_) => None,
                    None => Some((self.store.revision() - i64::from(self.below(4))).max(1)),
                }
            }
            8 | 9 => {
                let at = self.store.revision() - i64::from(self.below(4));
                self.counts.compactions += u64::from(self.store.compact(at).is_ok());
            }
            10 => self.tokens += 1,
            _ if self.below(4) == 0 => {
                // Another cluster, with a history of its own.
                self.counts.clusters += 1;
                self.clusters += 1;
                self.store = Store::new(self.clusters);
                (self.log, self.lease, self.behind) = (Vec::new(), None, [None; ENDPOINTS]);
                (self.watch, self.old) = (None, None);
                while !self.open.is_empty() {
                    self.cut();
                }
                for _ in 0..self.below(6) {
                    self.write();
                }
            }
            _ => self.cut(),
        }
    }

    // ---- The follower ---------------------------------------------------------------------------------

    fn pump(&mut self) -> Result<(), String> {
        while let Some(output) = self.follower.poll_output() {
            match output {
                Output::Command(command) => self.carry_out(command),
                Output::Update(told) => {
                    self.check(&told)?;
                    if self.broken == Some(Broken::ToldTwice)
                        && matches!(told.event, Event::Change { .. })
                    {
                        self.check(&told)?;
                    }
                    self.roster.take(self.now, told.event);
                }
                Output::Report(_) => {}
            }
        }
        match self.heard && self.follower.in_backoff() {
            true => Err("there is no connection, and the roster takes the source for heard".into()),
            false => Ok(()),
        }
    }

    fn deliver(&mut self) -> Result<(), String> {
        // Of any connection, the old ones too, the first that is on its way.
        let any = self.rng.next_u32() as usize % self.wire.len().max(1);
        let of = self.wire.get(any).map(|(connection, _)| *connection);
        let first = self
            .wire
            .iter()
            .position(|(connection, _)| Some(*connection) == of);
        if let Some((mut connection, input)) = first.and_then(|first| self.wire.remove(first)) {
            if self.broken == Some(Broken::OldStreamHeard)
                && matches!(input, Input::WatchResponse(_))
            {
                connection = self.newest;
            }
            self.follower.handle(self.now, connection, input);
        }
        self.pump()
    }

    fn pass(&mut self, time: f64) -> Result<(), String> {
        self.now += time;
        self.follower.handle_timeout(self.now);
        self.roster.tick(self.now);
        self.pump()
    }

    fn at_revision(&self, revision: i64) -> BTreeMap<String, Word> {
        let until = self.log.iter().filter(|(at, _, _)| *at <= revision);
        let last: BTreeMap<_, _> = until
            .map(|(_, host, word)| (host.clone(), word.clone()))
            .collect();
        last.into_iter()
            .filter(|(_, word)| *word != Word::Gone)
            .collect()
    }

    /// Holds what is told to the log.
    fn check(&mut self, told: &SourceUpdate) -> Result<(), String> {
        self.heard = match told.event {
            Event::Lost { .. } => false,
            Event::Reborn { .. } => self.heard,
            Event::Snapshot { .. } | Event::Change { .. } | Event::Resumed { .. } => true,
        };
        if told.revisions_behind < 0 {
            return Err(format!("a change from the future: {told:?}"));
        }
        match &told.event {
            Event::Reborn { .. } => self.told = None,
            Event::Snapshot {
                members, unread, ..
            } => {
                let seq = members.seq as i64;
                self.counts.readings += 1;
                if self.told.is_some_and(|last| seq < last) {
                    return Err(format!("a reading at {seq} after {:?}", self.told));
                }
                self.told = Some(seq);
                // A reading on the way while the cluster became another is of a log that is gone.
                if self.follower_is_of_another_cluster() {
                    return Ok(());
                }
                let there = self.at_revision(seq);
                let mut nodes: BTreeMap<String, Word> = members.hosts.iter().map(word).collect();
                nodes.extend(unread.iter().map(|host| (host.clone(), Word::Unreadable)));
                if nodes != there {
                    return Err(format!(
                        "a reading at {seq}: {nodes:?}, the store had {there:?}"
                    ));
                }
            }
            Event::Change { members, .. } => {
                let seq = members.seq as i64;
                self.counts.changes += 1;
                let before = self.told.unwrap_or(i64::MAX);
                if seq <= before {
                    return Err(format!("a change at {seq} after {before}"));
                }
                self.told = Some(seq);
                if self.follower_is_of_another_cluster() {
                    return Ok(());
                }
                let since = self
                    .log
                    .iter()
                    .filter(|(at, _, _)| *at > before && *at <= seq);
                let since = since.filter(|(_, _, word)| *word != Word::Unreadable);
                let expected: BTreeMap<String, Word> = since
                    .map(|(_, host, word)| (host.clone(), word.clone()))
                    .collect();
                let nodes: BTreeMap<String, Word> = members.hosts.iter().map(word).collect();
                if nodes != expected {
                    return Err(format!(
                        "changes from {before} to {seq}: {nodes:?}, written were {expected:?}"
                    ));
                }
            }
            Event::Lost { .. } | Event::Resumed { .. } => {}
        }
        Ok(())
    }

    fn follower_is_of_another_cluster(&self) -> bool {
        self.follower.cluster() != Some(self.store.cluster())
    }

    /// All is well from now on; what the follower and the roster make of it.
    fn quiet(&mut self) -> Result<(), String> {
        (self.down, self.silent, self.behind) = Default::default();
        for _ in 0..3000 {
            self.deliver()?;
            self.tell();
            self.pass(1.0)?;
        }
        if !self.follower.is_watching() {
            return Err("no watch after 3 s of quiet".into());
        }
        let listed: BTreeMap<String, Word> = self.roster.members().map(word).collect();
        let mut there = self.at_revision(self.store.revision());
        // Of an unreadable value only the word before it is known, if there was one.
        for (host, word) in there.clone() {
            if word == Word::Unreadable {
                there.remove(&host);
            }
        }
        let readable: BTreeMap<String, Word> = listed
            .iter()
            .filter(|(host, _)| !self.unreadable(host))
            .map(|(h, w)| (h.clone(), w.clone()))
            .collect();
        match readable == there {
            true => Ok(()),
            false => Err(format!(
                "after quiet the roster has {readable:?}, the store {there:?}"
            )),
        }
    }

    fn unreadable(&self, host: &str) -> bool {
        self.log
            .iter()
            .rev()
            .find(|(_, of, _)| of == host)
            .is_some_and(|(_, _, word)| *word == Word::Unreadable)
    }
}

fn word(member: &Member) -> (String, Word) {
    let word = match member.health {
        Health::Removed => Word::Gone,
        health => Word::Node(health, member.born_ms as u32),
    };
    (member.host.clone(), word)
}

fn play(seed: u64, broken: Option<Broken>) -> Result<Counts, String> {
    let mut world = World::new(seed, broken);
    let steps = 100 + world.below(300);
    for _ in 0..steps {
        match world.below(20) {
            0..=5 => world.write(),
            6..=10 => world.deliver()?,
            11..=13 => world.tell(),
            14 => world.tell_old(),
            15 => world.trouble(),
            _ => {
                let time = f64::from(1 + world.below(30));
                world.pass(time)?;
            }
        }
        world.pump()?;
    }
    world.quiet()?;
    Ok(world.counts)
}

#[test]
fn the_roster_is_the_store_after_any_history() {
    let told = |name: &str| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    let seeds = match told("ETCD_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..told("ETCD_HISTORIES").unwrap_or(1500),
    };
    let mut all = Counts::default();
    let many = seeds.end - seeds.start > 1;
    for seed in seeds.clone() {
        let counts = play(seed, None).unwrap_or_else(|error| panic!("ETCD_SEED={seed}: {error}"));
        all.changes += counts.changes;
        all.readings += counts.readings;
        all.cuts += counts.cuts;
        all.compactions += counts.compactions;
        all.clusters += counts.clusters;
    }
    println!("{} histories: {all:?}", seeds.end - seeds.start);
    let played = [
        all.changes,
        all.readings,
        all.cuts,
        all.compactions,
        all.clusters,
    ];
    assert!(!many || played.iter().all(|count| *count > 100), "{all:?}");
}

/// Shows that the checks can fail: each way to be broken is found within a few histories.
#[test]
fn what_is_broken_is_found() {
    for broken in [
        Broken::ResumesAtCurrent,
        Broken::CompactionUnheard,
        Broken::ToldTwice,
        Broken::OldStreamHeard,
    ] {
        let found = (0..400).find(|seed| play(*seed, Some(broken)).is_err());
        println!("{broken:?}: found by seed {found:?}");
        assert!(found.is_some(), "{broken:?} was not found");
    }
}

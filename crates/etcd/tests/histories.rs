//! Random histories of a store, its members and the connections to them, run against the follower
//! and the membership without sockets. The follower's events are checked against a log of all
//! writes, which no compaction removes:
//!
//! - a change has the last state of every node written since the previous event, and no other node;
//! - a snapshot is the store at its revision;
//! - versions never go back;
//! - the source counts as lost whenever there is no connection;
//! - once faults stop, the membership equals the store.
//!
//! `ETCD_HISTORIES=N` sets the number of histories; `ETCD_SEED=S` runs a single one.

use maplefall_etcd::{
    Command, ConnectionId, Failure, Follower, Input, Output, Settings, SourceUpdate,
};
use maplefall_etcd_wire::{
    error, request_op, DeleteRangeRequest, Event as Change, PutRequest, RangeRequest, RequestOp,
    TxnRequest, WatchResponse,
};
use maplefall_membership::{EndpointList, Event, SourceSettings};
use maplefall_protocol::{Health, Member};
use maplefall_test_servers::etcd::store::Store;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};

const ENDPOINTS: usize = 2;
const PREFIX: &str = "/p/members/";

/// A fault injected around the follower, to show that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Watches start at the current revision instead of the requested one.
    ResumesAtCurrent,
    /// A watch of a compacted revision silently starts at the oldest revision kept.
    CompactionIgnored,
    /// A change is reported twice.
    DuplicateChange,
    /// Responses of an old stream are delivered as those of the new one.
    OldStreamDelivered,
}

/// State of a key: removed, an invalid value, or a node with its health and start time.
#[derive(Clone, Debug, PartialEq)]
enum State {
    Removed,
    Unreadable,
    Node(Health, u32),
}

/// All writes to one cluster: revision, host and state.
type Log = Vec<(i64, String, State)>;

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
    unresponsive: [bool; ENDPOINTS],
    behind: [Option<i64>; ENDPOINTS],
    tokens: u64,
    /// Token of the connection.
    token: Option<u64>,
    /// Open connections, with their endpoints.
    open: BTreeMap<ConnectionId, usize>,
    watch: Option<Watch>,
    /// The watch before the current one: its stream stays open for a while and sends the changes
    /// that it has not sent.
    prior: Option<Watch>,
    /// Inputs in flight. Those of one connection arrive in order.
    in_flight: VecDeque<(ConnectionId, Input)>,
    lease: Option<i64>,
    fault: Option<Fault>,
    newest: ConnectionId,
    follower: Follower,
    roster: EndpointList,
    /// Whether the last event of the source means that it is connected.
    connected: bool,
    /// Version of the last event since the cluster last changed.
    last_version: Option<i64>,
    counts: Counts,
}

/// Counts of what happened, so that histories in which nothing happens do not pass.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    changes: u64,
    reads: u64,
    disconnects: u64,
    compactions: u64,
    clusters: u64,
}

impl World {
    fn new(seed: u64, fault: Option<Fault>) -> World {
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
            max_missing_fraction: 0.5,
            suspicion_timeout: 150.0,
            ..SourceSettings::trusted("etcd")
        };
        World {
            rng,
            now: 0.0,
            store: Store::new(1),
            log: Vec::new(),
            clusters: 1,
            down: [false; ENDPOINTS],
            unresponsive: [false; ENDPOINTS],
            behind: [None; ENDPOINTS],
            tokens: 0,
            token: None,
            open: BTreeMap::new(),
            watch: None,
            prior: None,
            in_flight: VecDeque::new(),
            lease: None,
            fault,
            newest: 0,
            follower: Follower::new(settings),
            roster: EndpointList::new(vec![source]),
            connected: false,
            last_version: None,
            counts: Counts::default(),
        }
    }

    fn below(&mut self, bound: u32) -> u32 {
        self.rng.next_u32() % bound
    }

    fn at(&self, endpoint: usize) -> i64 {
        self.behind[endpoint].map_or(self.store.revision(), |at| at.min(self.store.revision()))
    }

    // ---- The store ------------------------------------------------------------------------------

    fn put_of(&mut self, host: u32) -> (String, PutRequest, State) {
        let name = format!("n{host}");
        let (state, value) = match self.below(12) {
            0 => (State::Unreadable, "{".to_owned()),
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
                (State::Node(health, started), value)
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
            state,
        )
    }

    /// Adds the store's changes after revision `before` to the log.
    fn record(&mut self, before: i64, states: &BTreeMap<String, State>) {
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
                let state = if event.kind == Change::DELETE {
                    State::Removed
                } else {
                    states[&host].clone()
                };
                self.log.push((revision, host, state));
            }
        }
    }

    fn write(&mut self) {
        let before = self.store.revision();
        let mut states = BTreeMap::new();
        match self.below(10) {
            0..=4 => {
                let host = self.below(8);
                let (name, put, state) = self.put_of(host);
                states.insert(name, state);
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
                // Two nodes in one transaction, such as a drain and the start of a replacement.
                let first = self.below(8);
                let mut success = Vec::new();
                for host in [first, (first + 1) % 8] {
                    let (name, put, state) = self.put_of(host);
                    states.insert(name, state);
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
        self.record(before, &states);
    }

    // ---- The members ----------------------------------------------------------------------------

    fn execute(&mut self, command: Command) {
        match command {
            Command::Open {
                connection,
                endpoint,
            } => {
                (self.token, self.newest) = (None, connection);
                if self.down[endpoint] {
                    let token_failure = Input::Failed(Failure::Unavailable("refused".into()));
                    self.in_flight.push_back((connection, token_failure));
                } else {
                    self.open.insert(connection, endpoint);
                    self.send(connection, Input::Opened);
                }
            }
            Command::Authenticate { connection } => {
                self.token = Some(self.tokens);
                self.send(connection, Input::Authenticated);
            }
            Command::Range {
                connection,
                request,
            } => {
                let Some(endpoint) = self.open.get(&connection).copied() else {
                    return;
                };
                let input = match self.token_failure() {
                    Some(failure) => Input::Failed(failure),
                    None => self.read(endpoint, &request),
                };
                self.send(connection, input);
            }
            Command::Watch {
                connection,
                mut request,
            } => {
                let Some(endpoint) = self.open.get(&connection).copied() else {
                    return;
                };
                if let Some(failure) = self.token_failure() {
                    return self.send(connection, Input::Failed(failure));
                }
                if self.fault == Some(Fault::ResumesAtCurrent) {
                    request.start_revision = self.at(endpoint) + 1;
                }
                let next = request.start_revision;
                self.prior = self.watch.replace(Watch {
                    connection,
                    endpoint,
                    request,
                    next,
                });
                let created = WatchResponse {
                    created: true,
                    ..self.response(endpoint)
                };
                self.send(connection, Input::WatchResponse(created));
            }
            Command::RequestProgress { connection } => {
                let Some(endpoint) = self.open.get(&connection).copied() else {
                    return;
                };
                // The response to a progress request overtakes changes that are not yet sent, as
                // seen with etcd.
                let response = WatchResponse {
                    watch_id: -1,
                    ..self.response(endpoint)
                };
                self.send(connection, Input::WatchResponse(response));
            }
            Command::LeaseTimeToLive { connection, lease } => {
                let ttl = Some(self.store.time_to_live(self.now, lease));
                self.send(connection, Input::LeaseTimeToLive { lease, ttl });
            }
            Command::Close { connection } => {
                // Inputs in flight can still arrive after the connection is closed.
                self.open.remove(&connection);
            }
        }
    }

    fn token_failure(&self) -> Option<Failure> {
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
            Err(token_failure) if token_failure.0 == error::COMPACTED => {
                Input::Failed(Failure::Compacted)
            }
            Err(token_failure) => Input::Failed(Failure::Unavailable(token_failure.0.into())),
        }
    }

    fn response(&self, endpoint: usize) -> WatchResponse {
        let header = Some(self.store.header(endpoint as u64, self.at(endpoint)));
        WatchResponse {
            header,
            ..Default::default()
        }
    }

    fn send(&mut self, connection: ConnectionId, input: Input) {
        if self
            .open
            .get(&connection)
            .is_some_and(|endpoint| !self.unresponsive[*endpoint])
        {
            self.in_flight.push_back((connection, input));
        }
    }

    /// Sends the changes that the prior watch has not yet sent, on its old stream.
    fn send_prior_changes(&mut self) {
        let Some(old) = &mut self.prior else { return };
        let at = self.behind[old.endpoint]
            .map_or(self.store.revision(), |at| at.min(self.store.revision()));
        let (key, end) = (&old.request.key, &old.request.range_end);
        let Ok(changes) = self.store.changes(key, end, old.next, at) else {
            return self.prior = None;
        };
        let Some((last, _)) = changes.last() else {
            return;
        };
        old.next = *last + 1;
        let events = changes.into_iter().flat_map(|(_, events)| events).collect();
        let header = Some(self.store.header(old.endpoint as u64, at));
        let response = WatchResponse {
            header,
            events,
            ..Default::default()
        };
        self.in_flight
            .push_back((old.connection, Input::WatchResponse(response)));
    }

    /// Sends the changes that the watch has not yet sent, or a progress notification.
    fn send_changes(&mut self) {
        let fragment_size = 1 + self.below(3) as usize;
        let max_revisions = 1 + self.below(4) as usize;
        let Some(watch) = &self.watch else { return };
        let (connection, endpoint, next) = (watch.connection, watch.endpoint, watch.next);
        if !self.open.contains_key(&connection) || self.unresponsive[endpoint] {
            return;
        }
        let at = self.at(endpoint);
        let (key, end) = (&watch.request.key, &watch.request.range_end);
        let mut changes = self.store.changes(key, end, next, at);
        if self.fault == Some(Fault::CompactionIgnored) {
            if let Err(kept) = changes {
                changes = self.store.changes(key, end, kept, at);
            }
        }
        match changes {
            Err(kept) => {
                self.watch = None;
                let response = WatchResponse {
                    canceled: true,
                    compact_revision: kept,
                    ..self.response(endpoint)
                };
                self.send(connection, Input::WatchResponse(response));
            }
            Ok(changes) => {
                let Some((last, _)) = changes.iter().take(max_revisions).next_back() else {
                    // A progress notification: all changes up to this revision have been sent.
                    if self.below(4) == 0 && next <= at {
                        let response = self.response(endpoint);
                        self.send(connection, Input::WatchResponse(response));
                    }
                    return;
                };
                let next = *last + 1;
                let events: Vec<Change> = changes
                    .into_iter()
                    .take(max_revisions)
                    .flat_map(|(_, events)| events)
                    .collect();
                let fragments = events.len().div_ceil(fragment_size);
                for (number, events) in events.chunks(fragment_size).enumerate() {
                    let fragment = number + 1 < fragments;
                    let response = WatchResponse {
                        fragment,
                        events: events.to_vec(),
                        ..self.response(endpoint)
                    };
                    self.send(connection, Input::WatchResponse(response));
                }
                if let Some(watch) = &mut self.watch {
                    watch.next = next;
                }
            }
        }
    }

    /// Breaks a connection; some of its inputs in flight are lost.
    fn break_connection(&mut self) {
        self.counts.disconnects += 1;
        let Some((connection, _)) = self.open.pop_last() else {
            return;
        };
        let keep = self.below(3) as usize;
        let mut count = 0;
        self.in_flight.retain(|(on, _)| {
            count += usize::from(*on == connection);
            *on != connection || count <= keep
        });
        self.in_flight.push_back((
            connection,
            Input::Failed(Failure::Unavailable("cut".into())),
        ));
    }

    fn inject_fault(&mut self) {
        let endpoint = self.below(ENDPOINTS as u32) as usize;
        match self.below(12) {
            0..=3 => self.break_connection(),
            4 => self.down[endpoint] = !self.down[endpoint],
            5 => self.unresponsive[endpoint] = !self.unresponsive[endpoint],
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
                // Another cluster, with its own history, replaces the present one.
                self.counts.clusters += 1;
                self.clusters += 1;
                self.store = Store::new(self.clusters);
                (self.log, self.lease, self.behind) = (Vec::new(), None, [None; ENDPOINTS]);
                (self.watch, self.prior) = (None, None);
                while !self.open.is_empty() {
                    self.break_connection();
                }
                for _ in 0..self.below(6) {
                    self.write();
                }
            }
            _ => self.break_connection(),
        }
    }

    // ---- The follower ---------------------------------------------------------------------------

    fn process_outputs(&mut self) -> Result<(), String> {
        while let Some(output) = self.follower.poll_output() {
            match output {
                Output::Command(command) => self.execute(command),
                Output::Update(update) => {
                    self.check(&update)?;
                    if self.fault == Some(Fault::DuplicateChange)
                        && matches!(update.event, Event::Change { .. })
                    {
                        self.check(&update)?;
                    }
                    self.roster.apply_event(self.now, update.event);
                }
                Output::Report(_) => {}
            }
        }
        match self.connected && self.follower.in_backoff() {
            true => Err("there is no connection, but the source does not count as lost".into()),
            false => Ok(()),
        }
    }

    fn deliver(&mut self) -> Result<(), String> {
        // The first input in flight of a random connection, old ones included.
        let index = self.rng.next_u32() as usize % self.in_flight.len().max(1);
        let chosen = self.in_flight.get(index).map(|(connection, _)| *connection);
        let first = self
            .in_flight
            .iter()
            .position(|(connection, _)| Some(*connection) == chosen);
        if let Some((mut connection, input)) = first.and_then(|first| self.in_flight.remove(first))
        {
            if self.fault == Some(Fault::OldStreamDelivered)
                && matches!(input, Input::WatchResponse(_))
            {
                connection = self.newest;
            }
            self.follower.handle(self.now, connection, input);
        }
        self.process_outputs()
    }

    fn advance(&mut self, time: f64) -> Result<(), String> {
        self.now += time;
        self.follower.handle_timeout(self.now);
        self.roster.tick(self.now);
        self.process_outputs()
    }

    fn at_revision(&self, revision: i64) -> BTreeMap<String, State> {
        let until = self.log.iter().filter(|(at, _, _)| *at <= revision);
        let last: BTreeMap<_, _> = until
            .map(|(_, host, state)| (host.clone(), state.clone()))
            .collect();
        last.into_iter()
            .filter(|(_, state)| *state != State::Removed)
            .collect()
    }

    /// Checks an event against the log.
    fn check(&mut self, update: &SourceUpdate) -> Result<(), String> {
        self.connected = match update.event {
            Event::Lost { .. } => false,
            Event::Replaced { .. } => self.connected,
            Event::Snapshot { .. } | Event::Change { .. } | Event::Resumed { .. } => true,
        };
        if update.revisions_behind < 0 {
            return Err(format!("a change from the future: {update:?}"));
        }
        match &update.event {
            Event::Replaced { .. } => self.last_version = None,
            Event::Snapshot {
                members,
                unreadable,
                ..
            } => {
                let seq = members.seq as i64;
                self.counts.reads += 1;
                if self.last_version.is_some_and(|last| seq < last) {
                    return Err(format!("a snapshot at {seq} after {:?}", self.last_version));
                }
                self.last_version = Some(seq);
                // A page in flight during a change of the cluster belongs to a log that no longer
                // exists.
                if self.follower_is_of_another_cluster() {
                    return Ok(());
                }
                let expected = self.at_revision(seq);
                let mut nodes: BTreeMap<String, State> = members.hosts.iter().map(state).collect();
                nodes.extend(
                    unreadable
                        .iter()
                        .map(|host| (host.clone(), State::Unreadable)),
                );
                if nodes != expected {
                    return Err(format!(
                        "a snapshot at {seq}: {nodes:?}, the store had {expected:?}"
                    ));
                }
            }
            Event::Change { members, .. } => {
                let seq = members.seq as i64;
                self.counts.changes += 1;
                let before = self.last_version.unwrap_or(i64::MAX);
                if seq <= before {
                    return Err(format!("a change at {seq} after {before}"));
                }
                self.last_version = Some(seq);
                if self.follower_is_of_another_cluster() {
                    return Ok(());
                }
                let since = self
                    .log
                    .iter()
                    .filter(|(at, _, _)| *at > before && *at <= seq);
                let since = since.filter(|(_, _, state)| *state != State::Unreadable);
                let expected: BTreeMap<String, State> = since
                    .map(|(_, host, state)| (host.clone(), state.clone()))
                    .collect();
                let nodes: BTreeMap<String, State> = members.hosts.iter().map(state).collect();
                if nodes != expected {
                    return Err(format!(
                        "changes from {before} to {seq}: {nodes:?}, but {expected:?} were written"
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

    /// Stops all faults, lets the follower catch up for 3 s, and compares the membership with the
    /// store.
    fn run_without_faults(&mut self) -> Result<(), String> {
        (self.down, self.unresponsive, self.behind) = Default::default();
        for _ in 0..3000 {
            self.deliver()?;
            self.send_changes();
            self.advance(1.0)?;
        }
        if !self.follower.is_watching() {
            return Err("no watch after 3 s without faults".into());
        }
        let listed: BTreeMap<String, State> = self.roster.members().map(state).collect();
        let mut expected = self.at_revision(self.store.revision());
        // Nodes with an invalid value are left out: the membership has their previous state, if
        // any.
        for (host, state) in expected.clone() {
            if state == State::Unreadable {
                expected.remove(&host);
            }
        }
        let readable: BTreeMap<String, State> = listed
            .iter()
            .filter(|(host, _)| !self.unreadable(host))
            .map(|(h, w)| (h.clone(), w.clone()))
            .collect();
        match readable == expected {
            true => Ok(()),
            false => Err(format!(
                "without faults the membership has {readable:?}, the store {expected:?}"
            )),
        }
    }

    fn unreadable(&self, host: &str) -> bool {
        self.log
            .iter()
            .rev()
            .find(|(_, of, _)| of == host)
            .is_some_and(|(_, _, state)| *state == State::Unreadable)
    }
}

fn state(member: &Member) -> (String, State) {
    let state = match member.health {
        Health::Removed => State::Removed,
        health => State::Node(health, member.born_ms as u32),
    };
    (member.host.clone(), state)
}

fn run_history(seed: u64, fault: Option<Fault>) -> Result<Counts, String> {
    let mut world = World::new(seed, fault);
    let steps = 100 + world.below(300);
    for _ in 0..steps {
        match world.below(20) {
            0..=5 => world.write(),
            6..=10 => world.deliver()?,
            11..=13 => world.send_changes(),
            14 => world.send_prior_changes(),
            15 => world.inject_fault(),
            _ => {
                let time = f64::from(1 + world.below(30));
                world.advance(time)?;
            }
        }
        world.process_outputs()?;
    }
    world.run_without_faults()?;
    Ok(world.counts)
}

#[test]
fn the_roster_equals_the_store_after_any_history() {
    let variable = |name: &str| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    let seeds = match variable("ETCD_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..variable("ETCD_HISTORIES").unwrap_or(1500),
    };
    let mut all = Counts::default();
    let many = seeds.end - seeds.start > 1;
    for seed in seeds.clone() {
        let counts =
            run_history(seed, None).unwrap_or_else(|error| panic!("ETCD_SEED={seed}: {error}"));
        all.changes += counts.changes;
        all.reads += counts.reads;
        all.disconnects += counts.disconnects;
        all.compactions += counts.compactions;
        all.clusters += counts.clusters;
    }
    println!("{} histories: {all:?}", seeds.end - seeds.start);
    let totals = [
        all.changes,
        all.reads,
        all.disconnects,
        all.compactions,
        all.clusters,
    ];
    assert!(!many || totals.iter().all(|count| *count > 100), "{all:?}");
}

/// Shows that the checks can fail: each fault is found within 400 histories.
#[test]
fn injected_faults_are_found() {
    for fault in [
        Fault::ResumesAtCurrent,
        Fault::CompactionIgnored,
        Fault::DuplicateChange,
        Fault::OldStreamDelivered,
    ] {
        let found = (0..400).find(|seed| run_history(*seed, Some(fault)).is_err());
        println!("{fault:?}: found by seed {found:?}");
        assert!(found.is_some(), "{fault:?} was not found");
    }
}

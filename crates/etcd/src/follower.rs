//! The follower: reads a prefix whole at one revision, watches it from the next, and goes on from what it has seen
//! whatever breaks.
//!
//! It holds to these:
//!
//! 1. `seen` is the last revision of which every change has been told. A watch begins at `seen + 1`, always.
//! 2. A change at or below `seen` is not news, on whatever stream it comes.
//! 3. Where the history since `seen` is gone, or another cluster answers, all is read anew at one revision; until the
//!    reading is whole, nothing is told.
//! 4. A member that answers from before `seen` is not believed.
//! 5. A watch that has been silent is asked; one that stays silent is lost. Every new connection comes after a pause, whatever
//!    ended the last one; pauses grow, with jitter, up to a bound, until a watch has brought something or held for a while.
//! 6. Whenever there is no connection, the roster has been told that the source is lost.

use crate::interface::{
    Command, ConnectionId, Failure, Input, Output, Report, Settings, SourceUpdate,
};
use crate::text::one_line;
use crate::value;
use maplefall_etcd_wire::{
    prefix_end, Event as Change, KeyValue, RangeRequest, RangeResponse, ResponseHeader,
    WatchCreateRequest, WatchResponse,
};
use maplefall_membership::{Event, MOST_NODES};
use maplefall_policy::Millis;
use maplefall_protocol::{Health, Member, Members};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Changes of one answer, over all of its fragments, that are held at most, and bytes of their keys and values; beyond
/// either all is read anew, page by page.
const MOST_CHANGES: usize = 100_000;
const MOST_BYTES: usize = 16 << 20;
/// Keys that are remembered as unreadable, so that each is told of once; beyond it none is told of.
const MOST_COMPLAINTS: usize = 256;
/// Bytes of a key that are remembered and told.
const LONGEST_KEY: usize = 512;
/// Nodes that a line names.
const MOST_NAMED: usize = 10;
/// Leases that are asked about at once; beyond it nobody is told why nodes went.
const MOST_LEASES: usize = 64;
/// A watch that held for this long was a good one: pauses begin anew after it.
const STEADY: Millis = 1000.0;

/// What is under way.
#[derive(Debug)]
enum Phase {
    /// Another try comes at this time.
    Pausing(Millis),
    /// A connection is being opened.
    Opening,
    /// The user is being signed in.
    SigningIn,
    /// All keys are being read.
    Reading(Reading),
    /// The watch has been asked for.
    Subscribing,
    /// The watch is on, since this time.
    Watching(Millis),
}

/// A reading of all keys, page by page.
#[derive(Debug, Default)]
struct Reading {
    /// The revision; 0 until the first page has told it.
    at: i64,
    /// Where the next page begins.
    next: Vec<u8>,
    members: Vec<Member>,
    unread: Vec<String>,
    leases: BTreeMap<String, i64>,
}

/// Follows one prefix.
#[derive(Debug)]
pub struct Follower {
    settings: Settings,
    /// `PREFIX/members/`, and the end of its range.
    prefix: Vec<u8>,
    end: Vec<u8>,
    phase: Phase,
    connection: ConnectionId,
    endpoint: usize,
    seen: Option<i64>,
    cluster: Option<u64>,
    /// The watch on the stream, once it has been told.
    watch: Option<i64>,
    /// Changes of an answer that goes on, and their bytes.
    pending: Vec<Change>,
    pending_bytes: usize,
    /// Keys of one page: as they were set, or fewer since a page was too large.
    page_size: i64,
    /// When the connection last said something, or began to owe an answer.
    heard: Millis,
    /// Whether the watch has been asked how far it is, since.
    asked: bool,
    /// Tries that failed in a row.
    failed: u32,
    /// Whether all is to be read anew though something has been seen.
    anew: bool,
    /// Whether the roster takes the source for lost, or has not heard of it at all.
    lost: bool,
    /// Failures that have been told of since the watch was last on, by endpoint and kind.
    told: BTreeSet<(usize, u8)>,
    /// Keys told of as unreadable, until they can be read or are gone.
    complaints: BTreeSet<Vec<u8>>,
    /// Leases of the nodes that hang on one.
    leases: BTreeMap<String, i64>,
    /// Leases that are asked about, and the nodes that went with them.
    asked_leases: BTreeMap<i64, Vec<String>>,
    rng: Pcg32,
    out: VecDeque<Output>,
}

impl Follower {
    /// A follower that begins at its first [`Follower::handle_timeout`].
    pub fn new(settings: Settings) -> Follower {
        let prefix = format!("{}/members/", settings.prefix.trim_end_matches('/')).into_bytes();
        Follower {
            end: prefix_end(&prefix),
            prefix,
            phase: Phase::Pausing(0.0),
            connection: 0,
            endpoint: 0,
            seen: None,
            cluster: None,
            watch: None,
            pending: Vec::new(),
            pending_bytes: 0,
            page_size: settings.page_size.max(1),
            heard: 0.0,
            asked: false,
            failed: 0,
            anew: false,
            lost: true,
            told: BTreeSet::new(),
            complaints: BTreeSet::new(),
            leases: BTreeMap::new(),
            asked_leases: BTreeMap::new(),
            rng: Pcg32::seed_from_u64(settings.seed),
            out: VecDeque::new(),
            settings,
        }
    }

    /// What is to be done or told next; `None` once all has been taken.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// The last revision of which every change has been told.
    pub fn last_revision(&self) -> Option<i64> {
        self.seen
    }

    /// The cluster that answered last.
    pub fn cluster(&self) -> Option<u64> {
        self.cluster
    }

    /// Whether the watch is on.
    pub fn is_watching(&self) -> bool {
        matches!(self.phase, Phase::Watching(_))
    }

    /// Whether no connection is open or being opened.
    pub fn in_backoff(&self) -> bool {
        matches!(self.phase, Phase::Pausing(_))
    }

    /// The endpoint in use, or next.
    pub fn endpoint(&self) -> usize {
        self.endpoint
    }

    /// Goes over to these endpoints and settings of time; what is known stays. The watch is opened anew.
    pub fn reconfigure(&mut self, now: Millis, settings: Settings) {
        self.close();
        self.settings = Settings {
            prefix: self.settings.prefix.clone(),
            ..settings
        };
        (self.endpoint, self.failed, self.page_size) = (0, 0, self.settings.page_size.max(1));
        self.told.clear();
        self.phase = Phase::Pausing(now);
        self.handle_timeout(now);
    }

    /// When [`Follower::handle_timeout`] has something to do next.
    pub fn poll_timeout(&self) -> Option<Millis> {
        Some(match &self.phase {
            Phase::Pausing(until) => *until,
            Phase::Watching(_) if self.asked => self.heard + self.settings.watch_timeout,
            Phase::Watching(_) => self.heard + self.settings.watch_timeout / 2.0,
            _ => self.heard + self.settings.call_timeout,
        })
    }

    /// Lets time pass.
    pub fn handle_timeout(&mut self, now: Millis) {
        match &self.phase {
            Phase::Pausing(until) if now >= *until => self.open(now),
            Phase::Pausing(_) => {}
            Phase::Watching(_) => {
                let silent = now - self.heard;
                if silent >= self.settings.watch_timeout {
                    self.fail(
                        now,
                        Failure::Unavailable(format!("silent for {silent:.0} ms")),
                    );
                } else if silent >= self.settings.watch_timeout / 2.0 && !self.asked {
                    self.asked = true;
                    self.command(Command::RequestProgress {
                        connection: self.connection,
                    });
                }
            }
            _ if now - self.heard >= self.settings.call_timeout => {
                let late = self.settings.call_timeout;
                self.fail(
                    now,
                    Failure::Unavailable(format!("no answer within {late:.0} ms")),
                );
            }
            _ => {}
        }
    }

    /// Takes in what came of a command on this connection.
    pub fn handle(&mut self, now: Millis, connection: ConnectionId, input: Input) {
        if connection != self.connection || matches!(self.phase, Phase::Pausing(_)) {
            return;
        }
        match (input, &self.phase) {
            (Input::Failed(failure), _) => self.fail(now, failure),
            (Input::Opened, Phase::Opening) => {
                self.owe(now);
                if self.settings.authenticate {
                    self.phase = Phase::SigningIn;
                    self.command(Command::Authenticate { connection });
                } else {
                    self.begin(now);
                }
            }
            (Input::Authenticated, Phase::SigningIn) => self.begin(now),
            (Input::Page(page), Phase::Reading(_)) => self.page(now, page),
            (Input::WatchResponse(answer), Phase::Subscribing | Phase::Watching(_)) => {
                self.watched(now, answer)
            }
            (Input::LeaseTimeToLive { lease, ttl }, _) => {
                if let Some(hosts) = self.asked_leases.remove(&lease) {
                    if ttl.is_some_and(|ttl| ttl <= 0) {
                        let more = hosts.len().saturating_sub(MOST_NAMED);
                        let hosts = hosts.into_iter().take(MOST_NAMED).collect();
                        self.report(Report::LeaseEnded { lease, hosts, more });
                    }
                }
            }
            // An answer to what has been given up since.
            _ => {}
        }
    }

    // ---- Connections --------------------------------------------------------------------------------

    fn command(&mut self, command: Command) {
        self.out.push_back(Output::Command(command));
    }

    fn report(&mut self, report: Report) {
        self.out.push_back(Output::Report(report));
    }

    fn tell(&mut self, event: Event, behind: i64, late: Option<Millis>) {
        self.out.push_back(Output::Update(SourceUpdate {
            event,
            revisions_behind: behind,
            delay: late,
        }));
    }

    /// An answer is owed from now on.
    fn owe(&mut self, now: Millis) {
        (self.heard, self.asked) = (now, false);
    }

    fn open(&mut self, now: Millis) {
        self.connection += 1;
        self.owe(now);
        self.phase = Phase::Opening;
        self.command(Command::Open {
            connection: self.connection,
            endpoint: self.endpoint,
        });
    }

    fn close(&mut self) {
        if !self.in_backoff() {
            self.command(Command::Close {
                connection: self.connection,
            });
        }
        self.drop_pending();
        self.watch = None;
        self.asked_leases.clear();
        if !std::mem::replace(&mut self.lost, true) {
            self.tell(
                Event::Lost {
                    source: self.settings.source,
                },
                0,
                None,
            );
        }
    }

    fn drop_pending(&mut self) {
        (self.pending, self.pending_bytes) = (Vec::new(), 0);
    }

    /// Closes, and tries again after a pause: the shortest at first, then longer and longer, until a watch was a good one.
    fn pause(&mut self, now: Millis, least: Millis) {
        if matches!(self.phase, Phase::Watching(since) if now - since >= STEADY) {
            self.failed = 0;
        }
        self.close();
        let [shortest, most] = self.settings.backoff;
        let pause =
            (shortest * f64::from(1u32 << self.failed.min(16))).clamp(least, most.max(least));
        self.failed = self.failed.saturating_add(1);
        let jitter = 0.5 + 0.5 * f64::from(self.rng.next_u32()) / 4_294_967_296.0;
        self.phase = Phase::Pausing(now + pause * jitter);
    }

    /// The connection serves: from what has been seen on, or from the start.
    fn begin(&mut self, now: Millis) {
        match self.seen {
            Some(seen) if !self.anew => self.subscribe(now, seen + 1),
            _ => self.read(now),
        }
    }

    /// Reads all anew, on a connection of its own: what the open watch still says must not be taken for the next one's.
    fn start_over(&mut self, now: Millis) {
        self.anew = true;
        self.pause(now, 0.0);
    }

    fn subscribe(&mut self, now: Millis, from: i64) {
        self.owe(now);
        self.phase = Phase::Subscribing;
        self.drop_pending();
        self.watch = None;
        let request = WatchCreateRequest {
            key: self.prefix.clone(),
            range_end: self.end.clone(),
            start_revision: from,
            progress_notify: true,
            fragment: true,
            ..WatchCreateRequest::default()
        };
        self.command(Command::Watch {
            connection: self.connection,
            request,
        });
    }

    fn fail(&mut self, now: Millis, failure: Failure) {
        let (endpoint, first) = (self.endpoint, self.failed == 0);
        let (kind, moves) = match failure {
            Failure::Unavailable(_) => (0, true),
            // A token that has run out is the rule, and a new one is asked for where the old one was refused.
            Failure::InvalidToken => (1, !first),
            Failure::PermissionDenied(_) => (2, true),
            // The endpoint is good: the history went between two pages, or a page was too large.
            Failure::Compacted => (3, false),
            Failure::TooLarge => (5, false),
        };
        if failure == Failure::TooLarge {
            // Fewer keys at a time; a watch that cannot be read is passed over by reading what came of it.
            self.page_size = (self.page_size / 2).max(1);
            self.anew = true;
        }
        let told = moves || (failure == Failure::TooLarge && self.page_size == 1);
        if told && self.told.insert((endpoint, kind)) {
            self.report(Report::Lost {
                endpoint,
                failure: failure.clone(),
            });
        }
        if moves {
            self.endpoint = (endpoint + 1) % self.settings.endpoint_count.max(1);
        }
        let least = if matches!(failure, Failure::PermissionDenied(_)) {
            self.settings.backoff[1]
        } else {
            0.0
        };
        self.pause(now, least);
    }

    /// Looks at the head of an answer. `None` if it must not be believed; then all that follows from it has been done.
    fn head(&mut self, now: Millis, header: Option<ResponseHeader>) -> Option<ResponseHeader> {
        let Some(header) = header else {
            self.fail(
                now,
                Failure::Unavailable("an answer without a head".to_owned()),
            );
            return None;
        };
        match self.cluster.replace(header.cluster_id) {
            Some(was) if was != header.cluster_id => {
                self.report(Report::ClusterChanged {
                    previous: was,
                    current: header.cluster_id,
                });
                self.tell(
                    Event::Reborn {
                        source: self.settings.source,
                    },
                    0,
                    None,
                );
                self.seen = None;
                self.start_over(now);
                return None;
            }
            _ => {}
        }
        Some(header)
    }

    /// Leaves a member that is behind what has been seen.
    fn behind(&mut self, now: Millis, at: i64, seen: i64) {
        let endpoint = self.endpoint;
        if self.told.insert((endpoint, 4)) {
            self.report(Report::Behind {
                endpoint,
                revision: at,
                seen,
            });
        }
        // It has been told of.
        self.told.insert((endpoint, 0));
        self.fail(now, Failure::Unavailable("behind".to_owned()));
    }

    // ---- Reading ------------------------------------------------------------------------------------

    fn read(&mut self, now: Millis) {
        self.drop_pending();
        self.watch = None;
        self.phase = Phase::Reading(Reading {
            next: self.prefix.clone(),
            ..Reading::default()
        });
        self.next_page(now);
    }

    fn next_page(&mut self, now: Millis) {
        self.owe(now);
        let Phase::Reading(reading) = &self.phase else {
            return;
        };
        let request = RangeRequest {
            key: reading.next.clone(),
            range_end: self.end.clone(),
            limit: self.page_size,
            revision: reading.at,
            ..RangeRequest::default()
        };
        self.command(Command::Range {
            connection: self.connection,
            request,
        });
    }

    fn page(&mut self, now: Millis, page: RangeResponse) {
        let Some(header) = self.head(now, page.header) else {
            return;
        };
        if let Some(seen) = self.seen.filter(|seen| header.revision < *seen) {
            return self.behind(now, header.revision, seen);
        }
        let Phase::Reading(mut reading) = std::mem::replace(&mut self.phase, Phase::Opening) else {
            return;
        };
        if reading.at == 0 {
            reading.at = header.revision;
        }
        let more = page.more && !page.kvs.is_empty();
        if let Some(last) = page.kvs.last() {
            reading.next = [&last.key[..], &[0]].concat();
        }
        for kv in &page.kvs {
            match self.entry(kv) {
                Ok((member, _)) if reading.members.len() <= MOST_NODES => {
                    if kv.lease != 0 {
                        reading.leases.insert(member.host.clone(), kv.lease);
                    }
                    reading.members.push(member);
                }
                Ok(_) => {}
                Err(Some(host)) if reading.unread.len() <= MOST_NODES => reading.unread.push(host),
                Err(_) => {}
            }
        }
        if more {
            self.phase = Phase::Reading(reading);
            return self.next_page(now);
        }
        let (nodes, unread, revision) = (reading.members.len(), reading.unread.len(), reading.at);
        self.report(Report::Read {
            endpoint: self.endpoint,
            revision,
            nodes,
            unreadable: unread,
        });
        (self.seen, self.leases, self.anew) = (Some(revision), reading.leases, false);
        let members = Members {
            seq: revision as u64,
            whole: true,
            hosts: reading.members,
        };
        self.lost = false;
        let event = Event::Snapshot {
            source: self.settings.source,
            members,
            unread: reading.unread,
        };
        self.tell(event, header.revision - revision, None);
        self.subscribe(now, revision + 1);
    }

    /// The node that a key tells of; otherwise its id, if it has a usable one.
    fn entry(&mut self, kv: &KeyValue) -> Result<(Member, Option<Millis>), Option<String>> {
        let id = value::parse_id(&kv.key, &self.prefix);
        let known = &kv.key[..kv.key.len().min(LONGEST_KEY)];
        let read = match &id {
            Ok(id) => value::parse_member(id, &kv.value),
            Err(_) => Err(value::InvalidEntry::Id),
        };
        if read.is_ok() && !self.complaints.is_empty() {
            self.complaints.remove(known);
        }
        read.map_err(|why| {
            let room = self.complaints.len() < MOST_COMPLAINTS;
            if room && self.complaints.insert(known.to_vec()) {
                let key = one_line(&String::from_utf8_lossy(known));
                let why = one_line(&why.to_string());
                self.out
                    .push_back(Output::Report(Report::Unreadable { key, reason: why }));
            }
            id.ok().map(str::to_owned)
        })
    }

    // ---- The watch ----------------------------------------------------------------------------------

    fn watched(&mut self, now: Millis, answer: WatchResponse) {
        let Some(header) = self.head(now, answer.header) else {
            return;
        };
        let seen = self.seen.unwrap_or(0);
        if answer.canceled {
            if answer.compact_revision > 0 {
                self.report(Report::Compacted {
                    requested: seen + 1,
                    compact_revision: answer.compact_revision,
                });
                return self.start_over(now);
            }
            let reason = format!("the watch was ended: {}", one_line(&answer.cancel_reason));
            return self.fail(
                now,
                Failure::from_message(&answer.cancel_reason)
                    .unwrap_or(Failure::Unavailable(reason)),
            );
        }
        // A watch that says this and that but never that it has begun is waited for no longer than any other answer.
        if answer.created || self.is_watching() {
            self.owe(now);
        }
        if answer.created {
            self.watch = Some(answer.watch_id);
            // A watch says nothing false where its member is behind; but another may know more.
            if header.revision < seen && self.settings.endpoint_count > 1 {
                return self.behind(now, header.revision, seen);
            }
            self.phase = Phase::Watching(now);
            self.told.clear();
            self.report(Report::Watching {
                endpoint: self.endpoint,
                from: seen + 1,
            });
            if std::mem::take(&mut self.lost) {
                self.tell(
                    Event::Resumed {
                        source: self.settings.source,
                    },
                    0,
                    None,
                );
            }
        }
        let ours = self.watch == Some(answer.watch_id);
        if !ours {
            return;
        }
        if answer.events.is_empty() && !answer.fragment && self.pending.is_empty() {
            // All changes up to the head's revision have been sent on this watch. Only a notice to the watch itself says
            // so: answers to a question, for the whole stream, have been known to overtake changes.
            if !answer.created && header.revision > seen {
                self.seen = Some(header.revision);
            }
            return;
        }
        self.pending_bytes += answer.events.iter().map(length).sum::<usize>();
        self.pending.extend(answer.events);
        if self.pending.len() > MOST_CHANGES || self.pending_bytes > MOST_BYTES {
            self.report(Report::TooManyChanges(MOST_CHANGES));
            return self.start_over(now);
        }
        if !answer.fragment {
            let changes = std::mem::take(&mut self.pending);
            self.pending_bytes = 0;
            self.changed(now, header.revision, changes);
        }
    }

    /// One answer's changes, whole: each node's last word, as one change at the last revision.
    fn changed(&mut self, now: Millis, head: i64, changes: Vec<Change>) {
        let seen = self.seen.unwrap_or(0);
        let (mut oldest, mut newest) = (i64::MAX, seen);
        let mut last: BTreeMap<String, Member> = BTreeMap::new();
        let mut written: Option<Millis> = None;
        let mut gone: BTreeMap<i64, Vec<String>> = BTreeMap::new();
        for change in changes {
            let Some(kv) = change.kv else { continue };
            if kv.mod_revision <= seen {
                continue;
            }
            (oldest, newest) = (oldest.min(kv.mod_revision), newest.max(kv.mod_revision));
            if change.kind == Change::DELETE {
                self.complaints
                    .remove(&kv.key[..kv.key.len().min(LONGEST_KEY)]);
                let Ok(id) = value::parse_id(&kv.key, &self.prefix) else {
                    continue;
                };
                if let Some(lease) = self.leases.remove(id) {
                    gone.entry(lease).or_default().push(id.to_owned());
                }
                last.insert(id.to_owned(), removed(id));
            } else if let Ok((member, when)) = self.entry(&kv) {
                if kv.lease == 0 {
                    self.leases.remove(&member.host);
                } else if self.leases.len() < MOST_NODES || self.leases.contains_key(&member.host) {
                    self.leases.insert(member.host.clone(), kv.lease);
                }
                written = match (written, when) {
                    (Some(a), Some(b)) => Some(a.min(b)),
                    (a, b) => a.or(b),
                };
                last.insert(member.host.clone(), member);
            }
        }
        if newest == seen {
            return;
        }
        // A watch that brings something new is a good one, however soon it breaks: whoever waited on after an outage
        // would hear of everything late for as long as connections break now and then.
        (self.seen, self.failed) = (Some(newest), 0);
        if !last.is_empty() {
            let late = written.map(|at| (self.settings.unix_start + now - at).max(0.0));
            let members = Members {
                seq: newest as u64,
                whole: false,
                hosts: last.into_values().collect(),
            };
            self.tell(
                Event::Change {
                    source: self.settings.source,
                    members,
                },
                head - oldest,
                late,
            );
        }
        for (lease, hosts) in gone {
            if self.asked_leases.len() < MOST_LEASES {
                self.asked_leases.entry(lease).or_default().extend(hosts);
                self.command(Command::LeaseTimeToLive {
                    connection: self.connection,
                    lease,
                });
            }
        }
    }
}

/// Bytes of a change that a peer chooses.
fn length(change: &Change) -> usize {
    change
        .kv
        .as_ref()
        .map_or(0, |kv| kv.key.len() + kv.value.len())
}

/// The word that a node is gone.
fn removed(id: &str) -> Member {
    Member {
        host: id.to_owned(),
        dial: SocketAddr::from(([0, 0, 0, 0], 0)),
        site: String::new(),
        block: 0,
        health: Health::Removed,
        share: 1.0,
        born_ms: 0.0,
    }
}

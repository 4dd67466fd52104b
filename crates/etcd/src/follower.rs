//! The follower: reads all keys of a prefix at one revision, watches the prefix from the next
//! revision, and resumes from the last revision seen after any failure.
//!
//! Invariants:
//!
//! 1. `last_revision` is the last revision up to which every change has been reported. A watch
//!    always starts at the next revision.
//! 2. A change at or below `last_revision` is ignored, whichever stream it arrives on.
//! 3. If the history after `last_revision` has been compacted, or another cluster responds, all
//!    keys are read again at one revision; no nodes are reported until that read is complete.
//! 4. A read from a member that is behind `last_revision` is discarded. A watch on such a member is
//!    left if there is another endpoint.
//! 5. On an idle watch a progress notification is requested; if it stays idle, the connection is
//!    closed. A backoff precedes every new connection, whatever ended the last one. It grows, with
//!    jitter, up to a maximum, until a watch has delivered a change or has lasted for
//!    `STABLE_WATCH_MS`.
//! 6. Whenever there is no connection, the membership has been notified that the source is lost.

use crate::interface::{
    Command, ConnectionId, Failure, Input, Output, Report, Settings, SourceUpdate,
};
use crate::text::one_line;
use crate::value;
use maplefall_etcd_wire::{
    prefix_end, Event as Change, KeyValue, RangeRequest, RangeResponse, ResponseHeader,
    WatchCreateRequest, WatchResponse,
};
use maplefall_membership::{Event, MAX_BACKENDS};
use maplefall_policy::Millis;
use maplefall_protocol::{Health, Member, Members};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Maximum number of changes buffered of one watch response, over all of its fragments, and maximum
/// bytes of their keys and values. Beyond either, all keys are read again, page by page.
const MAX_CHANGES: usize = 100_000;
const MAX_CHANGE_BYTES: usize = 16 << 20;
/// Maximum number of invalid keys that are remembered, so that each is reported once. Further ones
/// are not reported.
const MAX_INVALID_KEYS: usize = 256;
/// Maximum number of bytes of a key that are remembered and reported.
const MAX_KEY_BYTES: usize = 512;
/// Maximum number of nodes named in a report.
const MAX_NAMED_NODES: usize = 10;
/// Maximum number of lease queries in flight. Beyond it, the reason for a removal is not reported.
const MAX_LEASE_QUERIES: usize = 64;
/// Duration after which a watch counts as stable and resets the backoff.
const STABLE_WATCH_MS: Millis = 1000.0;

/// Phase of the connection.
#[derive(Debug)]
enum Phase {
    /// The next connection is opened at this time.
    BackingOff(Millis),
    /// A connection is being opened.
    Connecting,
    /// The user is being authenticated.
    Authenticating,
    /// All keys are being read.
    Reading(FullRead),
    /// The watch has been requested.
    Subscribing,
    /// The watch was created at this time.
    Watching(Millis),
}

/// A full read, page by page.
#[derive(Debug, Default)]
struct FullRead {
    /// Revision of the read, from the header of the first page; 0 before.
    revision: i64,
    /// First key of the next page.
    next: Vec<u8>,
    members: Vec<Member>,
    unread: Vec<String>,
    leases: BTreeMap<String, i64>,
}

/// Follows one key prefix of an etcd cluster.
#[derive(Debug)]
pub struct Follower {
    settings: Settings,
    /// `PREFIX/members/`, with the end of its range in `end`.
    prefix: Vec<u8>,
    end: Vec<u8>,
    phase: Phase,
    connection: ConnectionId,
    endpoint: usize,
    /// The last revision up to which every change has been reported.
    last_revision: Option<i64>,
    cluster: Option<u64>,
    /// Id of the watch on the current stream, once it was created.
    watch: Option<i64>,
    /// Changes of a fragmented response that is not yet complete, with their size in
    /// `pending_bytes`.
    pending: Vec<Change>,
    pending_bytes: usize,
    /// Maximum number of keys per page: as in the settings, or fewer after a response was too
    /// large.
    page_size: i64,
    /// Time of the last response or of the last request that awaits one.
    last_activity: Millis,
    /// Whether a progress notification has been requested since `last_activity`.
    progress_requested: bool,
    /// Number of consecutive failures.
    failures: u32,
    /// Whether the next connection reads all keys although `last_revision` is set.
    full_read: bool,
    /// Whether the membership counts the source as lost or has no event of it yet.
    lost: bool,
    /// Failures reported since a watch was last created, by endpoint and kind.
    reported: BTreeSet<(usize, u8)>,
    /// Keys reported as invalid, until they are valid or deleted.
    invalid_keys: BTreeSet<Vec<u8>>,
    /// Lease of each node whose key is attached to one.
    leases: BTreeMap<String, i64>,
    /// Leases whose time to live has been requested, with the nodes removed with them.
    lease_queries: BTreeMap<i64, Vec<String>>,
    rng: Pcg32,
    outputs: VecDeque<Output>,
}

impl Follower {
    /// Creates a follower, which connects at its first [`Follower::handle_timeout`].
    pub fn new(settings: Settings) -> Follower {
        let prefix = format!("{}/members/", settings.prefix.trim_end_matches('/')).into_bytes();
        Follower {
            end: prefix_end(&prefix),
            prefix,
            phase: Phase::BackingOff(0.0),
            connection: 0,
            endpoint: 0,
            last_revision: None,
            cluster: None,
            watch: None,
            pending: Vec::new(),
            pending_bytes: 0,
            page_size: settings.page_size.max(1),
            last_activity: 0.0,
            progress_requested: false,
            failures: 0,
            full_read: false,
            lost: true,
            reported: BTreeSet::new(),
            invalid_keys: BTreeSet::new(),
            leases: BTreeMap::new(),
            lease_queries: BTreeMap::new(),
            rng: Pcg32::seed_from_u64(settings.seed),
            outputs: VecDeque::new(),
            settings,
        }
    }

    /// Returns the next output, or `None` if there is none.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the last revision up to which every change has been reported.
    pub fn last_revision(&self) -> Option<i64> {
        self.last_revision
    }

    /// Returns the id of the cluster that responded last.
    pub fn cluster(&self) -> Option<u64> {
        self.cluster
    }

    /// Whether a watch is open.
    pub fn is_watching(&self) -> bool {
        matches!(self.phase, Phase::Watching(_))
    }

    /// Whether no connection is open or being opened, because of a backoff.
    pub fn in_backoff(&self) -> bool {
        matches!(self.phase, Phase::BackingOff(_))
    }

    /// Returns the index of the endpoint in use, or of the next one.
    pub fn endpoint(&self) -> usize {
        self.endpoint
    }

    /// Applies new settings except for the prefix, and reconnects at the first endpoint. The last
    /// revision seen stays, so that the new watch resumes from it.
    pub fn reconfigure(&mut self, now: Millis, settings: Settings) {
        self.close();
        self.settings = Settings {
            prefix: self.settings.prefix.clone(),
            ..settings
        };
        (self.endpoint, self.failures, self.page_size) = (0, 0, self.settings.page_size.max(1));
        self.reported.clear();
        self.phase = Phase::BackingOff(now);
        self.handle_timeout(now);
    }

    /// Returns the time at which [`Follower::handle_timeout`] has to be called.
    pub fn poll_timeout(&self) -> Option<Millis> {
        Some(match &self.phase {
            Phase::BackingOff(until) => *until,
            Phase::Watching(_) if self.progress_requested => {
                self.last_activity + self.settings.watch_timeout
            }
            Phase::Watching(_) => self.last_activity + self.settings.watch_timeout / 2.0,
            _ => self.last_activity + self.settings.call_timeout,
        })
    }

    /// Handles the timeouts and backoffs that are due at `now`.
    pub fn handle_timeout(&mut self, now: Millis) {
        match &self.phase {
            Phase::BackingOff(until) if now >= *until => self.open(now),
            Phase::BackingOff(_) => {}
            Phase::Watching(_) => {
                let idle = now - self.last_activity;
                if idle >= self.settings.watch_timeout {
                    self.fail(
                        now,
                        Failure::Unavailable(format!("no watch response for {idle:.0} ms")),
                    );
                } else if idle >= self.settings.watch_timeout / 2.0 && !self.progress_requested {
                    self.progress_requested = true;
                    self.command(Command::RequestProgress {
                        connection: self.connection,
                    });
                }
            }
            _ if now - self.last_activity >= self.settings.call_timeout => {
                let timeout = self.settings.call_timeout;
                self.fail(
                    now,
                    Failure::Unavailable(format!("no response within {timeout:.0} ms")),
                );
            }
            _ => {}
        }
    }

    /// Handles a result of a command on a connection. Results of earlier connections are ignored.
    pub fn handle(&mut self, now: Millis, connection: ConnectionId, input: Input) {
        if connection != self.connection || matches!(self.phase, Phase::BackingOff(_)) {
            return;
        }
        match (input, &self.phase) {
            (Input::Failed(failure), _) => self.fail(now, failure),
            (Input::Opened, Phase::Connecting) => {
                self.restart_timeout(now);
                if self.settings.authenticate {
                    self.phase = Phase::Authenticating;
                    self.command(Command::Authenticate { connection });
                } else {
                    self.resume(now);
                }
            }
            (Input::Authenticated, Phase::Authenticating) => self.resume(now),
            (Input::Page(page), Phase::Reading(_)) => self.handle_page(now, page),
            (Input::WatchResponse(response), Phase::Subscribing | Phase::Watching(_)) => {
                self.handle_watch_response(now, response)
            }
            (Input::LeaseTimeToLive { lease, ttl }, _) => {
                if let Some(hosts) = self.lease_queries.remove(&lease) {
                    if ttl.is_some_and(|ttl| ttl <= 0) {
                        let more = hosts.len().saturating_sub(MAX_NAMED_NODES);
                        let hosts = hosts.into_iter().take(MAX_NAMED_NODES).collect();
                        self.report(Report::LeaseEnded { lease, hosts, more });
                    }
                }
            }
            // A response that the current phase does not await.
            _ => {}
        }
    }

    // ---- Connections ----------------------------------------------------------------------------

    fn command(&mut self, command: Command) {
        self.outputs.push_back(Output::Command(command));
    }

    fn report(&mut self, report: Report) {
        self.outputs.push_back(Output::Report(report));
    }

    fn push_update(&mut self, event: Event, revisions_behind: i64, delay: Option<Millis>) {
        self.outputs.push_back(Output::Update(SourceUpdate {
            event,
            revisions_behind,
            delay,
        }));
    }

    /// Restarts the timeout for a response.
    fn restart_timeout(&mut self, now: Millis) {
        (self.last_activity, self.progress_requested) = (now, false);
    }

    fn open(&mut self, now: Millis) {
        self.connection += 1;
        self.restart_timeout(now);
        self.phase = Phase::Connecting;
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
        self.lease_queries.clear();
        if !std::mem::replace(&mut self.lost, true) {
            self.push_update(
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

    /// Closes the connection and schedules the next one after a backoff, which doubles with each
    /// failure until a watch was stable, and is at least `min_delay` before jitter.
    fn back_off(&mut self, now: Millis, min_delay: Millis) {
        if matches!(self.phase, Phase::Watching(since) if now - since >= STABLE_WATCH_MS) {
            self.failures = 0;
        }
        self.close();
        let [min, max] = self.settings.backoff;
        let delay =
            (min * f64::from(1u32 << self.failures.min(16))).clamp(min_delay, max.max(min_delay));
        self.failures = self.failures.saturating_add(1);
        let jitter = 0.5 + 0.5 * f64::from(self.rng.next_u32()) / 4_294_967_296.0;
        self.phase = Phase::BackingOff(now + delay * jitter);
    }

    /// Starts work on an open connection: a watch after the last revision seen, or else a full
    /// read.
    fn resume(&mut self, now: Millis) {
        match self.last_revision {
            Some(seen) if !self.full_read => self.subscribe(now, seen + 1),
            _ => self.start_read(now),
        }
    }

    /// Schedules a full read on a new connection, so that late responses of the open watch are not
    /// taken for those of the next watch.
    fn read_again(&mut self, now: Millis) {
        self.full_read = true;
        self.back_off(now, 0.0);
    }

    fn subscribe(&mut self, now: Millis, from: i64) {
        self.restart_timeout(now);
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
        let (endpoint, first) = (self.endpoint, self.failures == 0);
        let (kind, switch_endpoint) = match failure {
            Failure::Unavailable(_) => (0, true),
            // Tokens expire in normal operation, so the same endpoint is asked for a new token
            // first.
            Failure::InvalidToken => (1, !first),
            Failure::PermissionDenied(_) => (2, true),
            // The endpoint is healthy: the history was compacted between two pages, or a page was
            // too large.
            Failure::Compacted => (3, false),
            Failure::TooLarge => (5, false),
        };
        if failure == Failure::TooLarge {
            // Halves the page size. A watch response that is too large is skipped by a full read.
            self.page_size = (self.page_size / 2).max(1);
            self.full_read = true;
        }
        let reported = switch_endpoint || (failure == Failure::TooLarge && self.page_size == 1);
        if reported && self.reported.insert((endpoint, kind)) {
            self.report(Report::Lost {
                endpoint,
                failure: failure.clone(),
            });
        }
        if switch_endpoint {
            self.endpoint = (endpoint + 1) % self.settings.endpoint_count.max(1);
        }
        let min_delay = if matches!(failure, Failure::PermissionDenied(_)) {
            self.settings.backoff[1]
        } else {
            0.0
        };
        self.back_off(now, min_delay);
    }

    /// Checks the header of a response. Returns `None` if the response must be discarded; the
    /// failure or the change of the cluster has then been handled.
    fn check_header(
        &mut self,
        now: Millis,
        header: Option<ResponseHeader>,
    ) -> Option<ResponseHeader> {
        let Some(header) = header else {
            self.fail(
                now,
                Failure::Unavailable("response without a header".to_owned()),
            );
            return None;
        };
        match self.cluster.replace(header.cluster_id) {
            Some(was) if was != header.cluster_id => {
                self.report(Report::ClusterChanged {
                    previous: was,
                    current: header.cluster_id,
                });
                self.push_update(
                    Event::Replaced {
                        source: self.settings.source,
                    },
                    0,
                    None,
                );
                self.last_revision = None;
                self.read_again(now);
                return None;
            }
            _ => {}
        }
        Some(header)
    }

    /// Reports a member that is behind `last_revision`, and switches to the next endpoint.
    fn fail_stale_member(&mut self, now: Millis, revision: i64, seen: i64) {
        let endpoint = self.endpoint;
        if self.reported.insert((endpoint, 4)) {
            self.report(Report::Behind {
                endpoint,
                revision,
                seen,
            });
        }
        // `Report::Behind` covers this failure: suppresses `Report::Lost`.
        self.reported.insert((endpoint, 0));
        self.fail(now, Failure::Unavailable("member is behind".to_owned()));
    }

    // ---- Full reads -----------------------------------------------------------------------------

    fn start_read(&mut self, now: Millis) {
        self.drop_pending();
        self.watch = None;
        self.phase = Phase::Reading(FullRead {
            next: self.prefix.clone(),
            ..FullRead::default()
        });
        self.request_page(now);
    }

    fn request_page(&mut self, now: Millis) {
        self.restart_timeout(now);
        let Phase::Reading(reading) = &self.phase else {
            return;
        };
        let request = RangeRequest {
            key: reading.next.clone(),
            range_end: self.end.clone(),
            limit: self.page_size,
            revision: reading.revision,
            ..RangeRequest::default()
        };
        self.command(Command::Range {
            connection: self.connection,
            request,
        });
    }

    fn handle_page(&mut self, now: Millis, page: RangeResponse) {
        let Some(header) = self.check_header(now, page.header) else {
            return;
        };
        if let Some(seen) = self.last_revision.filter(|seen| header.revision < *seen) {
            return self.fail_stale_member(now, header.revision, seen);
        }
        let Phase::Reading(mut reading) = std::mem::replace(&mut self.phase, Phase::Connecting)
        else {
            return;
        };
        if reading.revision == 0 {
            reading.revision = header.revision;
        }
        let more = page.more && !page.kvs.is_empty();
        if let Some(last) = page.kvs.last() {
            reading.next = [&last.key[..], &[0]].concat();
        }
        for kv in &page.kvs {
            match self.parse_entry(kv) {
                Ok((member, _)) if reading.members.len() <= MAX_BACKENDS => {
                    if kv.lease != 0 {
                        reading.leases.insert(member.host.clone(), kv.lease);
                    }
                    reading.members.push(member);
                }
                Ok(_) => {}
                Err(Some(host)) if reading.unread.len() <= MAX_BACKENDS => {
                    reading.unread.push(host)
                }
                Err(_) => {}
            }
        }
        if more {
            self.phase = Phase::Reading(reading);
            return self.request_page(now);
        }
        let (nodes, unread, revision) = (
            reading.members.len(),
            reading.unread.len(),
            reading.revision,
        );
        self.report(Report::Read {
            endpoint: self.endpoint,
            revision,
            nodes,
            unreadable: unread,
        });
        (self.last_revision, self.leases, self.full_read) = (Some(revision), reading.leases, false);
        let members = Members {
            seq: revision as u64,
            whole: true,
            hosts: reading.members,
        };
        self.lost = false;
        let event = Event::Snapshot {
            source: self.settings.source,
            members,
            unreadable: reading.unread,
        };
        self.push_update(event, header.revision - revision, None);
        self.subscribe(now, revision + 1);
    }

    /// Parses the node of a key. Reports an invalid entry and returns its id, if the id is valid.
    fn parse_entry(&mut self, kv: &KeyValue) -> Result<(Member, Option<Millis>), Option<String>> {
        let id = value::parse_id(&kv.key, &self.prefix);
        let key = &kv.key[..kv.key.len().min(MAX_KEY_BYTES)];
        let read = match &id {
            Ok(id) => value::parse_member(id, &kv.value),
            Err(_) => Err(value::InvalidEntry::Id),
        };
        if read.is_ok() && !self.invalid_keys.is_empty() {
            self.invalid_keys.remove(key);
        }
        read.map_err(|error| {
            let has_capacity = self.invalid_keys.len() < MAX_INVALID_KEYS;
            if has_capacity && self.invalid_keys.insert(key.to_vec()) {
                let key = one_line(&String::from_utf8_lossy(key));
                let reason = one_line(&error.to_string());
                self.outputs
                    .push_back(Output::Report(Report::Unreadable { key, reason }));
            }
            id.ok().map(str::to_owned)
        })
    }

    // ---- The watch ------------------------------------------------------------------------------

    fn handle_watch_response(&mut self, now: Millis, response: WatchResponse) {
        let Some(header) = self.check_header(now, response.header) else {
            return;
        };
        let seen = self.last_revision.unwrap_or(0);
        if response.canceled {
            if response.compact_revision > 0 {
                self.report(Report::Compacted {
                    requested: seen + 1,
                    compact_revision: response.compact_revision,
                });
                return self.read_again(now);
            }
            let reason = format!("watch cancelled: {}", one_line(&response.cancel_reason));
            return self.fail(
                now,
                Failure::from_message(&response.cancel_reason)
                    .unwrap_or(Failure::Unavailable(reason)),
            );
        }
        // Until the watch is created, other responses do not extend the timeout of the request.
        if response.created || self.is_watching() {
            self.restart_timeout(now);
        }
        if response.created {
            self.watch = Some(response.watch_id);
            // A watch on a member that is behind is correct, but another endpoint can be further
            // ahead.
            if header.revision < seen && self.settings.endpoint_count > 1 {
                return self.fail_stale_member(now, header.revision, seen);
            }
            self.phase = Phase::Watching(now);
            self.reported.clear();
            self.report(Report::Watching {
                endpoint: self.endpoint,
                from: seen + 1,
            });
            if std::mem::take(&mut self.lost) {
                self.push_update(
                    Event::Resumed {
                        source: self.settings.source,
                    },
                    0,
                    None,
                );
            }
        }
        let is_current = self.watch == Some(response.watch_id);
        if !is_current {
            return;
        }
        if response.events.is_empty() && !response.fragment && self.pending.is_empty() {
            // A progress notification with this watch's id: all changes up to the header's revision
            // have been sent. Responses to a progress request, which are for the whole stream, do
            // not guarantee this: they have been seen to overtake changes.
            if !response.created && header.revision > seen {
                self.last_revision = Some(header.revision);
            }
            return;
        }
        self.pending_bytes += response.events.iter().map(change_bytes).sum::<usize>();
        self.pending.extend(response.events);
        if self.pending.len() > MAX_CHANGES || self.pending_bytes > MAX_CHANGE_BYTES {
            self.report(Report::TooManyChanges(MAX_CHANGES));
            return self.read_again(now);
        }
        if !response.fragment {
            let changes = std::mem::take(&mut self.pending);
            self.pending_bytes = 0;
            self.apply_changes(now, header.revision, changes);
        }
    }

    /// Applies the changes of a complete response: the last state of each node, as one event at the
    /// last revision.
    fn apply_changes(&mut self, now: Millis, store_revision: i64, changes: Vec<Change>) {
        let seen = self.last_revision.unwrap_or(0);
        let (mut oldest, mut newest) = (i64::MAX, seen);
        let mut last: BTreeMap<String, Member> = BTreeMap::new();
        let mut written: Option<Millis> = None;
        let mut removed_by_lease: BTreeMap<i64, Vec<String>> = BTreeMap::new();
        for change in changes {
            let Some(kv) = change.kv else { continue };
            if kv.mod_revision <= seen {
                continue;
            }
            (oldest, newest) = (oldest.min(kv.mod_revision), newest.max(kv.mod_revision));
            if change.kind == Change::DELETE {
                self.invalid_keys
                    .remove(&kv.key[..kv.key.len().min(MAX_KEY_BYTES)]);
                let Ok(id) = value::parse_id(&kv.key, &self.prefix) else {
                    continue;
                };
                if let Some(lease) = self.leases.remove(id) {
                    removed_by_lease
                        .entry(lease)
                        .or_default()
                        .push(id.to_owned());
                }
                last.insert(id.to_owned(), removed(id));
            } else if let Ok((member, when)) = self.parse_entry(&kv) {
                if kv.lease == 0 {
                    self.leases.remove(&member.host);
                } else if self.leases.len() < MAX_BACKENDS || self.leases.contains_key(&member.host)
                {
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
        // A watch that delivers a change resets the backoff, however short it lasts. Otherwise,
        // after an outage, every change would be late for as long as connections break now and
        // then.
        (self.last_revision, self.failures) = (Some(newest), 0);
        if !last.is_empty() {
            let delay = written.map(|at| (self.settings.unix_start + now - at).max(0.0));
            let members = Members {
                seq: newest as u64,
                whole: false,
                hosts: last.into_values().collect(),
            };
            self.push_update(
                Event::Change {
                    source: self.settings.source,
                    members,
                },
                store_revision - oldest,
                delay,
            );
        }
        for (lease, hosts) in removed_by_lease {
            if self.lease_queries.len() < MAX_LEASE_QUERIES {
                self.lease_queries.entry(lease).or_default().extend(hosts);
                self.command(Command::LeaseTimeToLive {
                    connection: self.connection,
                    lease,
                });
            }
        }
    }
}

/// Returns the bytes of the key and the value of a change, whose lengths a peer chooses.
fn change_bytes(change: &Change) -> usize {
    change
        .kv
        .as_ref()
        .map_or(0, |kv| kv.key.len() + kv.value.len())
}

/// Returns the entry that marks a node as removed; all fields but `host` and `health` are
/// placeholders.
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

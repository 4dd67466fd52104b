//! Discovery agents, one beside each proxy: which version of the endpoint list each agent has, when
//! it sends, and at which address it responds.
//!
//! The proxy's side runs the real code (`maplefall-discovery-agent` and `maplefall-membership`);
//! this module simulates the agent. A proxy counts as notified of a drain from the time when its
//! agent could first have delivered the drain, whatever happens to the connection.

use maplefall_discovery_agent::{
    CallEvent, CallId, Follower, Output, RequestKind, Settings, HEARTBEAT, MAX_PROPAGATION_DELAY,
};
use maplefall_membership::{EndpointList, SourceSettings};
use maplefall_policy::{Availability, BackendEntry};
use maplefall_protocol::{Health, Member, Members};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// The history of the endpoint list: each version is a change of some entries.
#[derive(Debug, Default)]
pub struct EndpointHistory {
    changes: Vec<Vec<BackendEntry>>,
}

impl EndpointHistory {
    /// Appends a change and returns its version.
    pub fn push(&mut self, entries: &[BackendEntry]) -> u64 {
        self.changes.push(entries.to_vec());
        self.changes.len() as u64
    }

    /// Returns the latest version.
    pub fn version(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Returns the latest state of each entry that changed after version `from` and up to `to`.
    fn between(&self, from: u64, to: u64) -> BTreeMap<u32, BackendEntry> {
        let changes = self
            .changes
            .get(from as usize..to as usize)
            .unwrap_or_default();
        changes
            .iter()
            .flatten()
            .map(|entry| (entry.id.0, *entry))
            .collect()
    }

    /// Returns the change that made this version.
    pub fn change(&self, version: u64) -> &[BackendEntry] {
        let at = (version as usize).checked_sub(1);
        at.and_then(|at| self.changes.get(at))
            .map_or(&[], Vec::as_slice)
    }

    /// Returns the response of an agent that has version `latest` to a request for changes since
    /// `from`: the complete list if `from` is absent or later than `latest`.
    fn response(&self, from: Option<u64>, latest: u64) -> Members {
        let since = from.filter(|from| *from <= latest);
        let entries = self.between(since.unwrap_or(0), latest);
        let listed =
            |entry: &&BackendEntry| since.is_some() || entry.availability != Availability::Removed;
        let hosts = entries.values().filter(listed).map(member).collect();
        Members {
            seq: latest,
            whole: since.is_none(),
            hosts,
        }
    }
}

fn member(entry: &BackendEntry) -> Member {
    let health = match entry.availability {
        Availability::Ready => Health::Up,
        Availability::Draining => Health::Draining,
        Availability::Removed => Health::Removed,
    };
    let id = entry.id.0;
    Member {
        host: id.to_string(),
        dial: SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + id), 9000)),
        site: entry.zone.0.to_string(),
        block: entry.cell.0,
        health,
        share: entry.size,
        born_ms: entry.started.unwrap_or(0.0),
    }
}

/// Converts a member to the decision module's form of an entry; `None` if its identifiers are not
/// numbers.
fn entry(member: &Member) -> Option<BackendEntry> {
    Some(BackendEntry {
        id: maplefall_policy::BackendId(member.host.parse().ok()?),
        zone: maplefall_policy::ZoneId(member.site.parse().ok()?),
        cell: maplefall_policy::CellId(member.block),
        availability: match member.health {
            Health::Up => Availability::Ready,
            Health::Draining => Availability::Draining,
            Health::Removed => Availability::Removed,
        },
        started: (member.born_ms > 0.0).then_some(member.born_ms),
        size: member.share,
    })
}

/// An open call at one of the two addresses.
#[derive(Clone, Copy, Debug)]
struct Call {
    id: CallId,
    address: usize,
    request: RequestKind,
    /// The version that was last sent on this call; `None` before the first message.
    sent_version: Option<u64>,
    /// When a message was last sent on this call; before the first one, when the call was opened.
    sent_at: f64,
    /// Whether the remote end vanished without closing the connection.
    dead: bool,
}

/// A proxy's discovery follower and membership, and the agent that they talk to, which can move
/// once from its first address to its second.
#[derive(Debug)]
pub struct ProxyAgent {
    follower: Follower,
    membership: EndpointList,
    calls: Vec<Call>,
    /// The version of the list that the agent has at each address.
    versions: [u64; 2],
    /// Index of the agent's current address.
    address: usize,
    /// When the first address closes for good.
    closes_at: f64,
    /// Time until which the agent sends nothing.
    suspended_until: f64,
    /// Whether calls that are opened while the agent is suspended never get a response.
    drops_calls: bool,
    /// The latest version that was sent to the proxy.
    sent_version: u64,
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 8500 + at as u16))
}

fn follower(known: Members, seed: u64, at: usize, now: f64) -> Follower {
    let addresses = vec![address(at)];
    Follower::new(
        Settings {
            source: 0,
            is_local: true,
            process_count: 1,
            drain_grace_period: 500.0,
            seed,
            addresses,
            initial_list: Some(known),
        },
        now,
    )
}

impl ProxyAgent {
    /// Creates a proxy that starts at `now` with the latest version of the list.
    pub fn new(history: &EndpointHistory, seed: u64, now: f64) -> ProxyAgent {
        let latest = history.version();
        let known = history.response(None, latest);
        let mut membership = EndpointList::new(vec![SourceSettings::trusted("agent")]);
        membership.restore(now, 0, &known);
        ProxyAgent {
            follower: follower(known, seed, 0, now),
            membership,
            calls: Vec::new(),
            versions: [latest; 2],
            address: 0,
            closes_at: f64::INFINITY,
            suspended_until: 0.0,
            drops_calls: false,
            sent_version: latest,
        }
    }

    /// Restarts the proxy with the list that it had last.
    pub fn restart(&mut self, seed: u64, now: f64) {
        let hosts = self.membership.members().cloned().collect();
        let known = Members {
            seq: self.sent_version,
            whole: true,
            hosts,
        };
        self.membership = EndpointList::new(vec![SourceSettings::trusted("agent")]);
        self.membership.restore(now, 0, &known);
        self.calls.clear();
        self.follower = follower(known, seed, self.address, now);
    }

    /// Records that the agent received a version at one of its addresses.
    pub fn set_version(&mut self, at: usize, version: u64) {
        self.versions[at] = self.versions[at].max(version);
    }

    /// Returns the version that the agent has at its current address.
    pub fn version(&self) -> u64 {
        self.versions[self.address]
    }

    /// Returns the index of the agent's current address.
    pub fn address_index(&self) -> usize {
        self.address
    }

    /// Returns the time from which the proxy counts as notified of what the agent has at `now`:
    /// immediately, or when a suspended agent resumes, but no later than `MAX_PROPAGATION_DELAY`
    /// after `now`; exactly then if all open calls are dead and new calls get responses.
    pub fn notified_at(&self, now: f64) -> f64 {
        let deadline = now + MAX_PROPAGATION_DELAY;
        let lost = !self.calls.is_empty() && self.calls.iter().all(|call| call.dead);
        if lost && !self.drops_calls {
            deadline
        } else {
            self.suspended_until.min(deadline).max(now)
        }
    }

    /// Suspends the agent until `until`; with `dead`, the open calls and those opened meanwhile
    /// never get another message.
    pub fn suspend(&mut self, now: f64, until: f64, dead: bool) {
        self.suspended_until = until;
        self.drops_calls = dead && until > now;
        self.calls.iter_mut().for_each(|call| call.dead |= dead);
    }

    /// Moves the agent to the second address, where it has versions up to `latest`; the first
    /// address stays open for `close_ms`.
    pub fn move_to_second(&mut self, now: f64, latest: u64, close_ms: f64) {
        (self.address, self.versions[1], self.closes_at) = (1, latest, now + close_ms);
    }

    /// Notifies the proxy of the move.
    pub fn notify_move(&mut self, now: f64) -> Vec<BackendEntry> {
        let outputs = self.follower.move_to(now, address(self.address));
        self.handle_outputs(now, outputs)
    }

    /// Returns when the next message, close of the first address or timer of the follower is due.
    pub fn next_due(&self, now: f64) -> Option<f64> {
        let message_due = |call: &Call| match call.sent_version {
            _ if call.dead => None,
            Some(sent) if sent == self.versions[call.address] => Some(call.sent_at + HEARTBEAT),
            _ => Some(now),
        };
        let messages = self
            .calls
            .iter()
            .filter_map(message_due)
            .map(|at| at.max(self.suspended_until));
        let closes = self
            .calls
            .iter()
            .filter(|call| call.address == 0)
            .map(|_| self.closes_at);
        let due = messages
            .chain(closes)
            .chain(self.follower.next_due())
            .min_by(f64::total_cmp);
        due.filter(|due| due.is_finite()).map(|due| due.max(now))
    }

    /// Processes everything that is due at `now`: the follower's timers, the close of the first
    /// address, and messages. Returns the changes for the decision module.
    pub fn run_until(&mut self, now: f64, history: &EndpointHistory) -> Vec<BackendEntry> {
        let mut entries = Vec::new();
        while self.follower.next_due().is_some_and(|due| due <= now) {
            let outputs = self.follower.tick(now);
            entries.extend(self.handle_outputs(now, outputs));
        }
        if now >= self.closes_at {
            let closed: Vec<CallId> = self
                .calls
                .iter()
                .filter(|c| c.address == 0)
                .map(|c| c.id)
                .collect();
            for call in closed {
                entries.extend(self.end_call(now, call, "closed"));
            }
        }
        while let Some((call, text)) = self.next_message(now, history) {
            let outputs = self
                .follower
                .handle_call_event(now, call, CallEvent::Line(text));
            entries.extend(self.handle_outputs(now, outputs));
            let complete = self
                .calls
                .iter()
                .any(|open| open.id == call && open.request == RequestKind::CompleteList);
            if complete {
                self.calls.retain(|open| open.id != call);
                let outputs = self.follower.handle_call_event(
                    now,
                    call,
                    CallEvent::Ended(maplefall_discovery_agent::CallEnd::Complete),
                );
                entries.extend(self.handle_outputs(now, outputs));
            }
        }
        entries
    }

    /// Returns the next message that is due, if any; an empty one is a heartbeat.
    fn next_message(&mut self, now: f64, history: &EndpointHistory) -> Option<(CallId, Vec<u8>)> {
        if now < self.suspended_until {
            return None;
        }
        for call in self.calls.iter_mut().filter(|call| !call.dead) {
            let latest = self.versions[call.address];
            let changed = call.sent_version != Some(latest);
            // Uses the same sum as `next_due`: a difference could round to the other side.
            if !changed && now < call.sent_at + HEARTBEAT {
                continue;
            }
            let from = call.sent_version.or(match call.request {
                RequestKind::Watch(from) => Some(from),
                RequestKind::CompleteList => None,
            });
            (call.sent_version, call.sent_at) = (Some(latest), now);
            self.sent_version = self.sent_version.max(latest);
            let text = if changed {
                encode(&history.response(from, latest))
            } else {
                Vec::new()
            };
            return Some((call.id, text));
        }
        None
    }

    fn end_call(&mut self, now: f64, call: CallId, reason: &str) -> Vec<BackendEntry> {
        self.calls.retain(|open| open.id != call);
        let outputs = self.follower.handle_call_event(
            now,
            call,
            CallEvent::Ended(maplefall_discovery_agent::CallEnd::ConnectionFailed(
                reason.to_owned(),
            )),
        );
        self.handle_outputs(now, outputs)
    }

    fn handle_outputs(&mut self, now: f64, outputs: Vec<Output>) -> Vec<BackendEntry> {
        let mut entries = Vec::new();
        for output in outputs {
            match output {
                Output::OpenCall {
                    call,
                    address: to,
                    request,
                } => {
                    let at = usize::from(to == address(1));
                    // An address that is closed, or not open yet, refuses connections.
                    if (at == 0 && now >= self.closes_at) || at > self.address {
                        entries.extend(self.end_call(now, call, "refused"));
                    } else {
                        self.calls.push(Call {
                            id: call,
                            address: at,
                            request,
                            sent_version: None,
                            sent_at: now,
                            dead: self.drops_calls && now < self.suspended_until,
                        });
                    }
                }
                Output::CloseCall(call) => self.calls.retain(|open| open.id != call),
                Output::Event(event) => {
                    let update = self.membership.apply_event(now, event);
                    entries.extend(update.changes.iter().filter_map(entry));
                }
                Output::Report(_) => {}
            }
        }
        entries
    }
}

fn encode(members: &Members) -> Vec<u8> {
    // `Members` holds only numbers and text, so serialization cannot fail; an empty line would
    // count as a heartbeat.
    serde_json::to_vec(members).unwrap_or_default()
}

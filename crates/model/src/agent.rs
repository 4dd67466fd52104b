//! Discovery agents, one beside each proxy: which version of the endpoint list each has, when it sends, and at which address it
//! answers.
//!
//! The proxy's side is real (`maplefall-discovery-agent` and `maplefall-membership`); this module plays the agent. A proxy counts
//! as notified of a drain when its agent could first have delivered it, whatever becomes of the connection.

use maplefall_discovery_agent::{
    CallEvent, CallId, Follower, Output, RequestKind, Settings, HEARTBEAT, MAX_PROPAGATION_DELAY,
};
use maplefall_membership::{EndpointList, SourceSettings};
use maplefall_policy::{Availability, BackendEntry};
use maplefall_protocol::{Health, Member, Members};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// The list through time: each version is a change of some entries.
#[derive(Debug, Default)]
pub struct EndpointHistory {
    changes: Vec<Vec<BackendEntry>>,
}

impl EndpointHistory {
    /// Notes a change; tells its version.
    pub fn push(&mut self, entries: &[BackendEntry]) -> u64 {
        self.changes.push(entries.to_vec());
        self.changes.len() as u64
    }

    /// The version now.
    pub fn version(&self) -> u64 {
        self.changes.len() as u64
    }

    /// The entries as they last were among the changes after `from` and up to `to`.
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

    /// The change that made this version.
    pub fn change(&self, version: u64) -> &[BackendEntry] {
        let at = (version as usize).checked_sub(1);
        at.and_then(|at| self.changes.get(at))
            .map_or(&[], Vec::as_slice)
    }

    /// What an agent that has heard of versions up to `knows` answers to who asks from `from`: the whole list to one that asks
    /// from a version that it has not reached.
    fn answer(&self, from: Option<u64>, knows: u64) -> Members {
        let since = from.filter(|from| *from <= knows);
        let entries = self.between(since.unwrap_or(0), knows);
        let listed =
            |entry: &&BackendEntry| since.is_some() || entry.availability != Availability::Removed;
        let hosts = entries.values().filter(listed).map(member).collect();
        Members {
            seq: knows,
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

/// Entries as the module hears them.
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
    what: RequestKind,
    /// The version that was sent last on it, once it has been answered.
    sent_version: Option<u64>,
    /// When a message was last sent on it.
    sent_at: f64,
    /// Its other end vanished without closing it.
    dead: bool,
}

/// A proxy's follower and membership, and the agent at the other end, which may move once from its first address to its second.
#[derive(Debug)]
pub struct ProxyAgent {
    follower: Follower,
    membership: EndpointList,
    calls: Vec<Call>,
    /// The version of the list that the agent has at each address.
    versions: [u64; 2],
    /// Index of its present address.
    address: usize,
    /// When the first address closes for good.
    closes_at: f64,
    /// Until when it sends nothing.
    paused_until: f64,
    /// Whether calls made while it is paused are never answered.
    drops_calls: bool,
    /// The last version that was sent to the proxy.
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
    /// A proxy that starts at `now` with the list of the first version.
    pub fn new(history: &EndpointHistory, seed: u64, now: f64) -> ProxyAgent {
        let knows = history.version();
        let known = history.answer(None, knows);
        let mut membership = EndpointList::new(vec![SourceSettings::trusted("agent")]);
        membership.restore(now, 0, &known);
        ProxyAgent {
            follower: follower(known, seed, 0, now),
            membership,
            calls: Vec::new(),
            versions: [knows; 2],
            address: 0,
            closes_at: f64::INFINITY,
            paused_until: 0.0,
            drops_calls: false,
            sent_version: knows,
        }
    }

    /// The proxy starts again with the list that it last had.
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

    /// The agent receives a version at one of its addresses.
    pub fn set_version(&mut self, at: usize, version: u64) {
        self.versions[at] = self.versions[at].max(version);
    }

    /// The version that the agent has at its present address.
    pub fn version(&self) -> u64 {
        self.versions[self.address]
    }

    /// Index of the agent's present address.
    pub fn address_index(&self) -> usize {
        self.address
    }

    /// When what it has at `now` counts as notified: at once, or where it is silent once it speaks, and where its watch has lost
    /// the proxy without a word some seconds later.
    pub fn notified_at(&self, now: f64) -> f64 {
        let latest = now + MAX_PROPAGATION_DELAY;
        let lost = !self.calls.is_empty() && self.calls.iter().all(|call| call.dead);
        if lost && !self.drops_calls {
            latest
        } else {
            self.paused_until.min(latest).max(now)
        }
    }

    /// It says nothing until then; with `dead` the open calls stay silent for good, and so do those that are made meanwhile.
    pub fn pause(&mut self, now: f64, until: f64, dead: bool) {
        self.paused_until = until;
        self.drops_calls = dead && until > now;
        self.calls.iter_mut().for_each(|call| call.dead |= dead);
    }

    /// Discovery moves: the agent answers elsewhere, with what was known up to `knows`, and where it was it goes on for a while.
    pub fn move_to_second(&mut self, now: f64, knows: u64, close_ms: f64) {
        (self.address, self.versions[1], self.closes_at) = (1, knows, now + close_ms);
    }

    /// Notifies the proxy of the move.
    pub fn notify_move(&mut self, now: f64) -> Vec<BackendEntry> {
        let outputs = self.follower.move_to(now, address(self.address));
        self.handle_outputs(now, outputs)
    }

    /// When something comes due here by itself.
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
            .map(|at| at.max(self.paused_until));
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

    /// Says and does all that is due; what comes out is for the decision module.
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
                entries.extend(self.end(now, call, "closed"));
            }
        }
        while let Some((call, text)) = self.next_message(now, history) {
            let outputs = self
                .follower
                .handle_call_event(now, call, CallEvent::Line(text));
            entries.extend(self.handle_outputs(now, outputs));
            let whole = self
                .calls
                .iter()
                .any(|open| open.id == call && open.what == RequestKind::CompleteList);
            if whole {
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

    /// The next message that is due, if any.
    fn next_message(&mut self, now: f64, history: &EndpointHistory) -> Option<(CallId, Vec<u8>)> {
        if now < self.paused_until {
            return None;
        }
        for call in self.calls.iter_mut().filter(|call| !call.dead) {
            let knows = self.versions[call.address];
            let changed = call.sent_version != Some(knows);
            // The same sum as in `next_due`: a difference may round to the other side.
            if !changed && now < call.sent_at + HEARTBEAT {
                continue;
            }
            let from = call.sent_version.or(match call.what {
                RequestKind::Watch(from) => Some(from),
                RequestKind::CompleteList => None,
            });
            (call.sent_version, call.sent_at) = (Some(knows), now);
            self.sent_version = self.sent_version.max(knows);
            let text = if changed {
                encode(&history.answer(from, knows))
            } else {
                Vec::new()
            };
            return Some((call.id, text));
        }
        None
    }

    fn end(&mut self, now: f64, call: CallId, why: &str) -> Vec<BackendEntry> {
        self.calls.retain(|open| open.id != call);
        let outputs = self.follower.handle_call_event(
            now,
            call,
            CallEvent::Ended(maplefall_discovery_agent::CallEnd::ConnectionFailed(
                why.to_owned(),
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
                    request: what,
                } => {
                    let at = usize::from(to == address(1));
                    // An address that is closed, or not open yet, refuses connections.
                    if (at == 0 && now >= self.closes_at) || at > self.address {
                        entries.extend(self.end(now, call, "refused"));
                    } else {
                        self.calls.push(Call {
                            id: call,
                            address: at,
                            what,
                            sent_version: None,
                            sent_at: now,
                            dead: self.drops_calls && now < self.paused_until,
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
    // Figures and text alone: this cannot fail, and an empty line says nothing.
    serde_json::to_vec(members).unwrap_or_default()
}

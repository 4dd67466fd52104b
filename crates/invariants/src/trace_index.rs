//! The record sorted by what the rules ask for: requests with their tries, attempts with their ends, front doors and
//! nodes with their lives. One pass, and nothing is decided here.

use maplefall_event_trace::{
    AttemptEnd, Class, EventKind, FailureReason, Health, Millis, NodeState, Plan, ProxyState, Trace,
};
use std::collections::BTreeMap;

/// One sending of a request by its client.
#[derive(Clone, Debug)]
pub struct ClientRequest<'r> {
    /// The request's id on the wire.
    pub id: &'r str,
    /// The first try that it belongs to.
    pub original_request: u64,
    /// Tries before it.
    pub retry: u32,
    /// Where it went.
    pub proxy: u32,
    /// On which connection.
    pub connection: u64,
    /// Whose it is.
    pub customer: u64,
    /// The plan, by number.
    pub plan: usize,
    /// The class, by number.
    pub class: usize,
    /// Units that it counts.
    pub units: f64,
    /// When its last byte was written.
    pub sent_at: Millis,
    /// When its client stops waiting.
    pub deadline: Millis,
    /// What it sent that must come to a node unchanged.
    pub fingerprint: u64,
    /// Its line in the record.
    pub line: usize,
    /// Its whole answer.
    pub response: Option<Response>,
    /// That it has none, and why.
    pub failure: Option<(Millis, FailureReason, usize)>,
}

/// A whole answer.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// When its last byte came.
    pub at: Millis,
    /// The status.
    pub status: u16,
    /// The attempt that its body names.
    pub attempt: Option<u64>,
    /// Its line.
    pub line: usize,
}

impl Response {
    /// Whether it tells that trying again is harmless.
    pub fn is_rejection(&self) -> bool {
        matches!(self.status, 429 | 503)
    }
}

/// An attempt at a node.
#[derive(Clone, Debug)]
pub struct Attempt<'r> {
    /// Its number.
    pub number: u64,
    /// Which node.
    pub node: u32,
    /// Which front door sent it.
    pub proxy: u32,
    /// The request's id.
    pub id: &'r str,
    /// What came of what must be unchanged.
    pub fingerprint: u64,
    /// When its first byte came.
    pub first_byte_at: Millis,
    /// When its last byte came, or it broke off.
    pub received_at: Millis,
    /// Whether it came whole.
    pub complete: bool,
    /// Its work.
    pub work: Millis,
    /// Its line.
    pub line: usize,
    /// When and how it ended.
    pub end: Option<(Millis, AttemptEnd, usize)>,
    /// When its effect ran.
    pub effects: Vec<(Millis, usize)>,
}

impl Attempt<'_> {
    /// Whether its end proves that it never ran.
    pub fn never_ran(&self) -> bool {
        matches!(self.end, Some((_, AttemptEnd::Rejected, _)))
    }
}

/// One life of a node's process.
#[derive(Clone, Copy, Debug)]
pub struct NodeInstance {
    /// Which node.
    pub node: u32,
    /// When it started.
    pub started_at: Millis,
    /// When it ended.
    pub ended_at: Millis,
    /// Its cores.
    pub cores: f64,
    /// Part of its capacity that it started with.
    pub initial_capacity: f64,
    /// Time until it was warm.
    pub warmup_ms: Millis,
    /// The line of its start.
    pub line: usize,
}

impl NodeInstance {
    /// Part of its capacity that it has.
    pub fn capacity_factor(&self, at: Millis) -> f64 {
        if self.warmup_ms <= 0.0 {
            return 1.0;
        }
        self.initial_capacity
            + (1.0 - self.initial_capacity)
                * ((at - self.started_at) / self.warmup_ms).clamp(0.0, 1.0)
    }
}

/// One telling of a node to a front door.
#[derive(Clone, Copy, Debug)]
pub struct NodeUpdate {
    /// When.
    pub at: Millis,
    /// To whom.
    pub proxy: u32,
    /// Of which node.
    pub node: u32,
    /// Its state.
    pub health: Health,
    /// When it was said to have started.
    pub started_at: Option<Millis>,
    /// By which source.
    pub source: u32,
    /// The version of that source's list; 0 where it is not known.
    pub version: u64,
    /// The line.
    pub line: usize,
}

/// A record, sorted.
pub struct TraceIndex<'r> {
    /// The record.
    pub trace: &'r Trace,
    /// All tries, by the time they were asked.
    pub requests: Vec<ClientRequest<'r>>,
    /// Places in `tries` by the request's id.
    pub by_id: BTreeMap<&'r str, Vec<usize>>,
    /// All attempts, in the order in which they came.
    pub attempts: Vec<Attempt<'r>>,
    /// Places in `attempts` of those that came whole, by the request's id.
    pub complete_by_id: BTreeMap<&'r str, Vec<usize>>,
    /// Lives of nodes.
    pub instances: Vec<NodeInstance>,
    /// What front doors were told.
    pub updates: Vec<NodeUpdate>,
    /// What front doors' sources had to tell, and since when: counted as told at the latest, in the order of that.
    pub updates_due: Vec<NodeUpdate>,
    /// When a node's change was committed where front doors watch, and to which state.
    pub committed: Vec<(Millis, u32, Health)>,
    /// What happened to front doors.
    pub proxy_states: Vec<(Millis, u32, ProxyState, usize)>,
    /// Bytes that nobody asked for: when, on which front door's connection, after which request.
    pub unexpected_bytes: Vec<(Millis, u32, &'r str, usize)>,
    /// What rude clients were left with: their kind, the status, and whether with nothing.
    pub malformed_clients: Vec<(Millis, &'r str, Option<u16>, bool, usize)>,
}

impl<'r> TraceIndex<'r> {
    /// Sorts a record.
    pub fn new(record: &'r Trace) -> TraceIndex<'r> {
        let mut view = TraceIndex {
            trace: record,
            requests: Vec::new(),
            by_id: BTreeMap::new(),
            attempts: Vec::new(),
            complete_by_id: BTreeMap::new(),
            instances: Vec::new(),
            updates: Vec::new(),
            updates_due: Vec::new(),
            committed: Vec::new(),
            proxy_states: Vec::new(),
            unexpected_bytes: Vec::new(),
            malformed_clients: Vec::new(),
        };
        let mut numbers: BTreeMap<u64, usize> = BTreeMap::new();
        for (at, line) in record.events.iter().enumerate() {
            view.index_event(at + 2, line.at, &line.kind, &mut numbers);
        }
        view
    }

    /// A class of the record; tries of a class that it does not name are left out.
    pub fn class(&self, of: &ClientRequest<'_>) -> Option<&'r Class> {
        self.trace.header.classes.get(of.class)
    }

    /// A plan of the record.
    pub fn plan(&self, of: &ClientRequest<'_>) -> Option<&'r Plan> {
        self.trace.header.plans.get(of.plan)
    }

    /// The first try with an id.
    pub fn request(&self, id: &str) -> Option<&ClientRequest<'r>> {
        self.by_id
            .get(id)
            .and_then(|places| places.first())
            .map(|place| &self.requests[*place])
    }

    /// The attempts of a request that came whole, in the order in which they came.
    pub fn attempts_of(&self, id: &str) -> impl Iterator<Item = &Attempt<'r>> {
        self.complete_by_id
            .get(id)
            .into_iter()
            .flatten()
            .map(|place| &self.attempts[*place])
    }

    /// Whether a front door was killed, ended or not yet there within this span.
    pub fn was_killed_within(&self, door: u32, from: Millis, to: Millis) -> bool {
        self.proxy_states.iter().any(|(at, which, state, _)| {
            let ends = matches!(state, ProxyState::Killed);
            *which == door && ends && (from..=to).contains(at)
        })
    }

    fn index_event(
        &mut self,
        line: usize,
        at: Millis,
        entry: &'r EventKind,
        numbers: &mut BTreeMap<u64, usize>,
    ) {
        match entry {
            EventKind::RequestSent {
                id,
                original_request: item,
                retry,
                proxy: door,
                connection: link,
                customer,
                plan,
                class,
                units,
                deadline,
                fingerprint: form,
            } => {
                self.by_id.entry(id).or_default().push(self.requests.len());
                self.requests.push(ClientRequest {
                    id,
                    original_request: *item,
                    retry: *retry,
                    proxy: *door,
                    connection: *link,
                    customer: *customer,
                    plan: *plan,
                    class: *class,
                    units: *units,
                    sent_at: at,
                    deadline: *deadline,
                    fingerprint: *form,
                    line,
                    response: None,
                    failure: None,
                });
            }
            EventKind::ResponseReceived {
                id,
                connection: link,
                status,
                attempt,
                ..
            } => {
                if let Some(of) = self.request_on(id, *link) {
                    of.response = Some(Response {
                        at,
                        status: *status,
                        attempt: *attempt,
                        line,
                    });
                }
            }
            EventKind::RequestFailed {
                id,
                connection: link,
                reason: why,
                ..
            } => {
                if let Some(of) = self.request_on(id, *link) {
                    of.failure = Some((at, *why, line));
                }
            }
            EventKind::UnexpectedBytes {
                proxy: door, id, ..
            } => self.unexpected_bytes.push((at, *door, id, line)),
            EventKind::AttemptReceived {
                attempt,
                node,
                proxy: door,
                id,
                fingerprint: form,
                first_byte_at: first,
                complete: whole,
                work,
                ..
            } => {
                numbers.insert(*attempt, self.attempts.len());
                if *whole {
                    self.complete_by_id
                        .entry(id)
                        .or_default()
                        .push(self.attempts.len());
                }
                self.attempts.push(Attempt {
                    number: *attempt,
                    node: *node,
                    proxy: *door,
                    id,
                    fingerprint: *form,
                    first_byte_at: *first,
                    received_at: at,
                    complete: *whole,
                    work: *work,
                    line,
                    end: None,
                    effects: Vec::new(),
                });
            }
            EventKind::EffectApplied { attempt } => {
                if let Some(place) = numbers.get(attempt) {
                    self.attempts[*place].effects.push((at, line));
                }
            }
            EventKind::AttemptEnded { attempt, end } => {
                if let Some(place) = numbers.get(attempt) {
                    self.attempts[*place].end.get_or_insert((at, *end, line));
                }
            }
            EventKind::Node { node, state } => self.index_node(line, at, *node, *state),
            EventKind::NodeUpdate {
                proxy: door,
                node,
                health,
                started_at: born,
                source,
                version,
            } => self.updates.push(NodeUpdate {
                at,
                proxy: *door,
                node: *node,
                health: *health,
                started_at: *born,
                source: *source,
                version: *version,
                line,
            }),
            EventKind::NodeUpdateDue {
                proxy: door,
                node,
                health,
                version,
            } => self.updates_due.push(NodeUpdate {
                at: at + self.trace.header.rules.notification_timeout_ms,
                proxy: *door,
                node: *node,
                health: *health,
                started_at: None,
                source: 0,
                version: *version,
                line,
            }),
            EventKind::Committed { node, health } => self.committed.push((at, *node, *health)),
            EventKind::Proxy { proxy: door, state } => {
                self.proxy_states.push((at, *door, *state, line))
            }
            EventKind::MalformedClient {
                kind,
                status,
                neglected,
            } => {
                self.malformed_clients
                    .push((at, kind, *status, *neglected, line));
            }
            EventKind::Fault { .. }
            | EventKind::Credential { .. }
            | EventKind::ResourceUsage { .. }
            | EventKind::Lateness { .. } => {}
        }
    }

    /// The last try of a request on a connection.
    fn request_on(&mut self, id: &str, link: u64) -> Option<&mut ClientRequest<'r>> {
        let place = self
            .by_id
            .get(id)?
            .iter()
            .rev()
            .find(|place| self.requests[**place].connection == link)?;
        Some(&mut self.requests[*place])
    }

    fn index_node(&mut self, line: usize, at: Millis, node: u32, state: NodeState) {
        match state {
            NodeState::Up {
                cores,
                initial_capacity: cold_from,
                warmup_ms: cold_ms,
            } => {
                let to = f64::INFINITY;
                self.instances.push(NodeInstance {
                    node,
                    started_at: at,
                    ended_at: to,
                    cores,
                    initial_capacity: cold_from,
                    warmup_ms: cold_ms,
                    line,
                });
            }
            NodeState::Draining => {}
            NodeState::Stopped | NodeState::Overloaded => {
                if let Some(life) = self
                    .instances
                    .iter_mut()
                    .rev()
                    .find(|life| life.node == node)
                {
                    life.ended_at = life.ended_at.min(at);
                }
                // Its connections broke with it.
                let open = self
                    .attempts
                    .iter_mut()
                    .filter(|a| a.node == node && a.complete && a.end.is_none());
                open.for_each(|attempt| attempt.end = Some((at, AttemptEnd::Reset, line)));
            }
        }
    }
}

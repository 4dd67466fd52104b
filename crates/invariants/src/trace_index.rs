//! The trace indexed for the rules: requests with their responses, attempts with their ends, states of proxies and instances
//! of nodes. Built in one pass; decides nothing.

use maplefall_event_trace::{
    AttemptEnd, Class, EventKind, FailureReason, Health, Millis, NodeState, Plan, ProxyState, Trace,
};
use std::collections::BTreeMap;

/// One request as a client sent it; a retry is a request of its own.
#[derive(Clone, Debug)]
pub struct ClientRequest<'r> {
    /// The request's id on the wire.
    pub id: &'r str,
    /// Number of the original request; its own number if it is no retry.
    pub original_request: u64,
    /// Number of retries before it.
    pub retry: u32,
    /// The proxy it was sent to.
    pub proxy: u32,
    /// Number of the client's connection.
    pub connection: u64,
    /// The customer that sent it.
    pub customer: u64,
    /// Index of its plan in the header.
    pub plan: usize,
    /// Index of its class in the header.
    pub class: usize,
    /// Units that it takes from the quota.
    pub units: f64,
    /// When the client wrote its last byte.
    pub sent_at: Millis,
    /// When its client stops waiting.
    pub deadline: Millis,
    /// Fingerprint of what must reach a node unchanged.
    pub fingerprint: u64,
    /// Its trace line.
    pub line: usize,
    /// Its complete response, if any.
    pub response: Option<Response>,
    /// Time, reason and trace line, if it ended without a complete response.
    pub failure: Option<(Millis, FailureReason, usize)>,
}

/// A complete response.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// When its last byte was read.
    pub at: Millis,
    /// The HTTP status.
    pub status: u16,
    /// The attempt that its body names.
    pub attempt: Option<u64>,
    /// Its trace line.
    pub line: usize,
}

impl Response {
    /// Whether it is a rejection, after which a retry is harmless.
    pub fn is_rejection(&self) -> bool {
        matches!(self.status, 429 | 503)
    }
}

/// An attempt that reached a node.
#[derive(Clone, Debug)]
pub struct Attempt<'r> {
    /// Number of the attempt.
    pub number: u64,
    /// Number of the node.
    pub node: u32,
    /// The proxy that sent it.
    pub proxy: u32,
    /// The request's id.
    pub id: &'r str,
    /// Fingerprint of what was received.
    pub fingerprint: u64,
    /// When its first byte was read.
    pub first_byte_at: Millis,
    /// When its last byte was read, or it was cut off.
    pub received_at: Millis,
    /// Whether it was received completely.
    pub complete: bool,
    /// Work that it causes, in milliseconds of one warm core.
    pub work: Millis,
    /// Its trace line.
    pub line: usize,
    /// Time, kind and trace line of its end.
    pub end: Option<(Millis, AttemptEnd, usize)>,
    /// Times and trace lines at which its effect was applied.
    pub effects: Vec<(Millis, usize)>,
}

impl Attempt<'_> {
    /// Whether its end proves that it never ran.
    pub fn never_ran(&self) -> bool {
        matches!(self.end, Some((_, AttemptEnd::Rejected, _)))
    }
}

/// One instance of a node's process.
#[derive(Clone, Copy, Debug)]
pub struct NodeInstance {
    /// Number of the node.
    pub node: u32,
    /// When the process started.
    pub started_at: Millis,
    /// When the process ended; infinite if it did not.
    pub ended_at: Millis,
    /// Number of cores.
    pub cores: f64,
    /// Fraction of its capacity at the start.
    pub initial_capacity: f64,
    /// Duration of the warm-up.
    pub warmup_ms: Millis,
    /// Trace line of the start.
    pub line: usize,
}

impl NodeInstance {
    /// Fraction of its capacity at a time.
    pub fn capacity_factor(&self, at: Millis) -> f64 {
        if self.warmup_ms <= 0.0 {
            return 1.0;
        }
        self.initial_capacity
            + (1.0 - self.initial_capacity)
                * ((at - self.started_at) / self.warmup_ms).clamp(0.0, 1.0)
    }
}

/// One notification of a node's state to a proxy.
#[derive(Clone, Copy, Debug)]
pub struct NodeUpdate {
    /// Time of the notification.
    pub at: Millis,
    /// The proxy notified.
    pub proxy: u32,
    /// The node.
    pub node: u32,
    /// The node's state.
    pub health: Health,
    /// Start time of the node in the notification.
    pub started_at: Option<Millis>,
    /// Number of the membership source.
    pub source: u32,
    /// Version of the source's list; 0 if unknown.
    pub version: u64,
    /// Its trace line.
    pub line: usize,
}

/// A trace, indexed.
pub struct TraceIndex<'r> {
    /// The trace.
    pub trace: &'r Trace,
    /// All requests, in the order in which they were sent.
    pub requests: Vec<ClientRequest<'r>>,
    /// Positions in `requests` by the request's id.
    pub by_id: BTreeMap<&'r str, Vec<usize>>,
    /// All attempts, in the order in which they were received.
    pub attempts: Vec<Attempt<'r>>,
    /// Positions in `attempts` of the complete ones, by the request's id.
    pub complete_by_id: BTreeMap<&'r str, Vec<usize>>,
    /// Instances of nodes, in order of start.
    pub instances: Vec<NodeInstance>,
    /// Notifications to proxies.
    pub updates: Vec<NodeUpdate>,
    /// Changes that membership sources had, at the time at which proxies count as notified of them.
    pub updates_due: Vec<NodeUpdate>,
    /// Commits of node states: time, node, state.
    pub committed: Vec<(Millis, u32, Health)>,
    /// State changes of proxies: time, proxy, state, trace line.
    pub proxy_states: Vec<(Millis, u32, ProxyState, usize)>,
    /// Unexpected bytes: time, proxy, last request of the connection, trace line.
    pub unexpected_bytes: Vec<(Millis, u32, &'r str, usize)>,
    /// Clients that sent malformed requests: time, kind, status, whether neglected, trace line.
    pub malformed_clients: Vec<(Millis, &'r str, Option<u16>, bool, usize)>,
}

impl<'r> TraceIndex<'r> {
    /// Indexes a trace.
    pub fn new(record: &'r Trace) -> TraceIndex<'r> {
        let mut index = TraceIndex {
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
            index.index_event(at + 2, line.at, &line.kind, &mut numbers);
        }
        index
    }

    /// The class of a request; `None` if the header lacks it.
    pub fn class(&self, of: &ClientRequest<'_>) -> Option<&'r Class> {
        self.trace.header.classes.get(of.class)
    }

    /// The plan of a request; `None` if the header lacks it.
    pub fn plan(&self, of: &ClientRequest<'_>) -> Option<&'r Plan> {
        self.trace.header.plans.get(of.plan)
    }

    /// The first request with an id.
    pub fn request(&self, id: &str) -> Option<&ClientRequest<'r>> {
        self.by_id
            .get(id)
            .and_then(|places| places.first())
            .map(|place| &self.requests[*place])
    }

    /// The complete attempts of a request, in the order in which they were received.
    pub fn attempts_of(&self, id: &str) -> impl Iterator<Item = &Attempt<'r>> {
        self.complete_by_id
            .get(id)
            .into_iter()
            .flatten()
            .map(|place| &self.attempts[*place])
    }

    /// Whether a proxy was killed within this span.
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
        event: &'r EventKind,
        positions: &mut BTreeMap<u64, usize>,
    ) {
        match event {
            EventKind::RequestSent { .. }
            | EventKind::ResponseReceived { .. }
            | EventKind::RequestFailed { .. }
            | EventKind::UnexpectedBytes { .. }
            | EventKind::MalformedClient { .. } => self.index_client_event(line, at, event),
            EventKind::AttemptReceived { .. }
            | EventKind::EffectApplied { .. }
            | EventKind::AttemptEnded { .. } => {
                self.index_attempt_event(line, at, event, positions);
            }
            EventKind::Node { node, state } => self.index_node(line, at, *node, *state),
            EventKind::NodeUpdate { .. } | EventKind::NodeUpdateDue { .. } => {
                self.index_notification(line, at, event);
            }
            EventKind::Committed { node, health } => self.committed.push((at, *node, *health)),
            EventKind::Proxy { proxy, state } => self.proxy_states.push((at, *proxy, *state, line)),
            EventKind::Fault { .. }
            | EventKind::Credential { .. }
            | EventKind::ResourceUsage { .. }
            | EventKind::Lateness { .. } => {}
        }
    }

    /// What clients sent and received.
    fn index_client_event(&mut self, line: usize, at: Millis, event: &'r EventKind) {
        match event {
            EventKind::RequestSent {
                id,
                original_request,
                retry,
                proxy,
                connection,
                customer,
                plan,
                class,
                units,
                deadline,
                fingerprint,
            } => {
                self.by_id.entry(id).or_default().push(self.requests.len());
                self.requests.push(ClientRequest {
                    id,
                    original_request: *original_request,
                    retry: *retry,
                    proxy: *proxy,
                    connection: *connection,
                    customer: *customer,
                    plan: *plan,
                    class: *class,
                    units: *units,
                    sent_at: at,
                    deadline: *deadline,
                    fingerprint: *fingerprint,
                    line,
                    response: None,
                    failure: None,
                });
            }
            EventKind::ResponseReceived {
                id,
                connection,
                status,
                attempt,
                ..
            } => {
                if let Some(request) = self.request_on(id, *connection) {
                    request.response = Some(Response {
                        at,
                        status: *status,
                        attempt: *attempt,
                        line,
                    });
                }
            }
            EventKind::RequestFailed {
                id,
                connection,
                reason,
                ..
            } => {
                if let Some(request) = self.request_on(id, *connection) {
                    request.failure = Some((at, *reason, line));
                }
            }
            EventKind::UnexpectedBytes { proxy, id, .. } => {
                self.unexpected_bytes.push((at, *proxy, id, line))
            }
            EventKind::MalformedClient {
                kind,
                status,
                neglected,
            } => {
                self.malformed_clients
                    .push((at, kind, *status, *neglected, line));
            }
            _ => {}
        }
    }

    /// What nodes received; `positions` has the positions in `attempts` by number.
    fn index_attempt_event(
        &mut self,
        line: usize,
        at: Millis,
        event: &'r EventKind,
        positions: &mut BTreeMap<u64, usize>,
    ) {
        match event {
            EventKind::AttemptReceived {
                attempt,
                node,
                proxy,
                id,
                fingerprint,
                first_byte_at,
                complete,
                work,
                ..
            } => {
                positions.insert(*attempt, self.attempts.len());
                if *complete {
                    self.complete_by_id
                        .entry(id)
                        .or_default()
                        .push(self.attempts.len());
                }
                self.attempts.push(Attempt {
                    number: *attempt,
                    node: *node,
                    proxy: *proxy,
                    id,
                    fingerprint: *fingerprint,
                    first_byte_at: *first_byte_at,
                    received_at: at,
                    complete: *complete,
                    work: *work,
                    line,
                    end: None,
                    effects: Vec::new(),
                });
            }
            EventKind::EffectApplied { attempt } => {
                if let Some(position) = positions.get(attempt) {
                    self.attempts[*position].effects.push((at, line));
                }
            }
            EventKind::AttemptEnded { attempt, end } => {
                if let Some(position) = positions.get(attempt) {
                    self.attempts[*position].end.get_or_insert((at, *end, line));
                }
            }
            _ => {}
        }
    }

    /// What proxies were notified of, or count as notified of.
    fn index_notification(&mut self, line: usize, at: Millis, event: &'r EventKind) {
        match event {
            EventKind::NodeUpdate {
                proxy,
                node,
                health,
                started_at,
                source,
                version,
            } => self.updates.push(NodeUpdate {
                at,
                proxy: *proxy,
                node: *node,
                health: *health,
                started_at: *started_at,
                source: *source,
                version: *version,
                line,
            }),
            EventKind::NodeUpdateDue {
                proxy,
                node,
                health,
                version,
            } => self.updates_due.push(NodeUpdate {
                at: at + self.trace.header.rules.notification_timeout_ms,
                proxy: *proxy,
                node: *node,
                health: *health,
                started_at: None,
                source: 0,
                version: *version,
                line,
            }),
            _ => {}
        }
    }

    /// The last request with an id on a connection.
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
                // Its connections were reset with it.
                let open = self
                    .attempts
                    .iter_mut()
                    .filter(|a| a.node == node && a.complete && a.end.is_none());
                open.for_each(|attempt| attempt.end = Some((at, AttemptEnd::Reset, line)));
            }
        }
    }
}

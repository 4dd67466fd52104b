//! An index of a trace for the rules: requests with their responses, attempts with their ends,
//! states of proxies and instances of nodes. Built in one pass; checks no rule.

use maplefall_event_trace::{
    AttemptEnd, Class, EventKind, FailureReason, Health, Millis, NodeState, Plan, ProxyState, Trace,
};
use std::collections::BTreeMap;

/// A request that a client sent; each retry by the client is a separate `ClientRequest`.
#[derive(Clone, Debug)]
pub struct ClientRequest<'r> {
    /// The request's id on the wire.
    pub id: &'r str,
    /// Number of the original request; the request's own number if it is not a retry.
    pub original_request: u64,
    /// Number of retries by the client before this request.
    pub retry: u32,
    /// Number of the proxy that it was sent to.
    pub proxy: u32,
    /// Number of the client's connection.
    pub connection: u64,
    /// The customer that sent it.
    pub customer: u64,
    /// Index of the customer's plan in the header.
    pub plan: usize,
    /// Index of the request's class in the header.
    pub class: usize,
    /// Units that the request takes from the quota.
    pub units: f64,
    /// When the client wrote the last byte of the request.
    pub sent_at: Millis,
    /// When the client stops waiting.
    pub deadline: Millis,
    /// Fingerprint of the parts of the request that must reach a node unchanged.
    pub fingerprint: u64,
    /// Trace line of the request.
    pub line: usize,
    /// The complete response, if one arrived.
    pub response: Option<Response>,
    /// Time, reason and trace line of the failure, if the request ended without a complete
    /// response.
    pub failure: Option<(Millis, FailureReason, usize)>,
}

/// A complete response.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// When the client read the last byte.
    pub at: Millis,
    /// The HTTP status.
    pub status: u16,
    /// Number of the attempt that the body names.
    pub attempt: Option<u64>,
    /// Its trace line.
    pub line: usize,
}

impl Response {
    /// Returns whether the response is a rejection, after which a retry is harmless.
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
    /// Number of the proxy that sent the attempt.
    pub proxy: u32,
    /// The request's id.
    pub id: &'r str,
    /// Fingerprint of the received request.
    pub fingerprint: u64,
    /// When the node read the first byte.
    pub first_byte_at: Millis,
    /// When the node read the last byte, or the connection ended before it.
    pub received_at: Millis,
    /// Whether the node received all bytes.
    pub complete: bool,
    /// Work that the attempt causes, in milliseconds of one warm core.
    pub work: Millis,
    /// Its trace line.
    pub line: usize,
    /// Time, kind and trace line of the attempt's end.
    pub end: Option<(Millis, AttemptEnd, usize)>,
    /// Times and trace lines at which the attempt's effect was applied.
    pub effects: Vec<(Millis, usize)>,
}

impl Attempt<'_> {
    /// Returns whether the end proves that the attempt never ran.
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
    /// When the process ended; infinite if it was still running at the end of the trace.
    pub ended_at: Millis,
    /// Number of cores.
    pub cores: f64,
    /// Fraction of the full capacity at the start.
    pub initial_capacity: f64,
    /// Duration of the warm-up.
    pub warmup_ms: Millis,
    /// Trace line of the start.
    pub line: usize,
}

impl NodeInstance {
    /// Returns the fraction of the full capacity at a time.
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
    /// Number of the notified proxy.
    pub proxy: u32,
    /// Number of the node.
    pub node: u32,
    /// The node's state.
    pub health: Health,
    /// Start time of the node according to the notification.
    pub started_at: Option<Millis>,
    /// Number of the membership source.
    pub source: u32,
    /// Version of the source's list; 0 if unknown.
    pub version: u64,
    /// Its trace line.
    pub line: usize,
}

/// An indexed trace.
pub struct TraceIndex<'r> {
    /// The trace.
    pub trace: &'r Trace,
    /// All requests, in the order in which they were sent.
    pub requests: Vec<ClientRequest<'r>>,
    /// Positions in `requests` by the request's id.
    pub by_id: BTreeMap<&'r str, Vec<usize>>,
    /// All attempts that reached a node, in the order in which they were received.
    pub attempts: Vec<Attempt<'r>>,
    /// Positions of the complete attempts in `attempts`, by the request's id.
    pub complete_by_id: BTreeMap<&'r str, Vec<usize>>,
    /// Instances of nodes, in order of start.
    pub instances: Vec<NodeInstance>,
    /// Notifications to proxies.
    pub updates: Vec<NodeUpdate>,
    /// Changes that membership sources had for proxies, each with the time from which the proxy
    /// counts as notified.
    pub updates_due: Vec<NodeUpdate>,
    /// Commits of node states: time, node, state.
    pub committed: Vec<(Millis, u32, Health)>,
    /// State changes of proxies: time, proxy, state, trace line.
    pub proxy_states: Vec<(Millis, u32, ProxyState, usize)>,
    /// Bytes received with no request outstanding: time, proxy, last request of the connection,
    /// trace line.
    pub unexpected_bytes: Vec<(Millis, u32, &'r str, usize)>,
    /// Clients that sent malformed requests: time, kind, status, whether they got neither a
    /// response nor a close, trace line.
    pub malformed_clients: Vec<(Millis, &'r str, Option<u16>, bool, usize)>,
}

impl<'r> TraceIndex<'r> {
    /// Indexes a trace.
    pub fn new(trace: &'r Trace) -> TraceIndex<'r> {
        let mut index = TraceIndex {
            trace,
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
        let mut positions: BTreeMap<u64, usize> = BTreeMap::new();
        for (position, event) in trace.events.iter().enumerate() {
            index.index_event(position + 2, event.at, &event.kind, &mut positions);
        }
        index
    }

    /// Returns the class of a request; `None` if the header lacks it.
    pub fn class(&self, request: &ClientRequest<'_>) -> Option<&'r Class> {
        self.trace.header.classes.get(request.class)
    }

    /// Returns the plan of a request; `None` if the header lacks it.
    pub fn plan(&self, request: &ClientRequest<'_>) -> Option<&'r Plan> {
        self.trace.header.plans.get(request.plan)
    }

    /// Returns the first request with an id.
    pub fn request(&self, id: &str) -> Option<&ClientRequest<'r>> {
        self.by_id
            .get(id)
            .and_then(|positions| positions.first())
            .map(|position| &self.requests[*position])
    }

    /// Returns the complete attempts of a request, in the order in which they were received.
    pub fn attempts_of(&self, id: &str) -> impl Iterator<Item = &Attempt<'r>> {
        self.complete_by_id
            .get(id)
            .into_iter()
            .flatten()
            .map(|position| &self.attempts[*position])
    }

    /// Returns whether a proxy was killed between two times, inclusive.
    pub fn was_killed_within(&self, proxy: u32, from: Millis, to: Millis) -> bool {
        self.proxy_states
            .iter()
            .any(|(at, changed_proxy, state, _)| {
                let is_kill = matches!(state, ProxyState::Killed);
                *changed_proxy == proxy && is_kill && (from..=to).contains(at)
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

    /// Indexes what clients sent and received.
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

    /// Indexes what nodes received; `positions` maps attempt numbers to positions in `attempts`.
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

    /// Indexes changes of nodes that proxies were notified of, or count as notified of.
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

    /// Returns the last request with an id on a connection.
    fn request_on(&mut self, id: &str, connection: u64) -> Option<&mut ClientRequest<'r>> {
        let position = self
            .by_id
            .get(id)?
            .iter()
            .rev()
            .find(|position| self.requests[**position].connection == connection)?;
        Some(&mut self.requests[*position])
    }

    fn index_node(&mut self, line: usize, at: Millis, node: u32, state: NodeState) {
        match state {
            NodeState::Up {
                cores,
                initial_capacity,
                warmup_ms,
            } => {
                let ended_at = f64::INFINITY;
                self.instances.push(NodeInstance {
                    node,
                    started_at: at,
                    ended_at,
                    cores,
                    initial_capacity,
                    warmup_ms,
                    line,
                });
            }
            NodeState::Draining => {}
            NodeState::Stopped | NodeState::Overloaded => {
                if let Some(instance) = self
                    .instances
                    .iter_mut()
                    .rev()
                    .find(|instance| instance.node == node)
                {
                    instance.ended_at = instance.ended_at.min(at);
                }
                // The end of the process reset its connections.
                let in_flight = self
                    .attempts
                    .iter_mut()
                    .filter(|a| a.node == node && a.complete && a.end.is_none());
                in_flight.for_each(|attempt| attempt.end = Some((at, AttemptEnd::Reset, line)));
            }
        }
    }
}

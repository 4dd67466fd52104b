//! A harness that plays event sequences to a gateway.

use maplefall_policy::*;

/// A gateway, and the actions that its last event led to.
pub struct Harness {
    pub gateway: Gateway,
    pub actions: Vec<Action>,
}

/// Settings of one of `gateways` gateways, with one plan and three classes: 0 idempotent, 1 keyed
/// and 2 non-idempotent.
pub fn settings(plan: Plan, gateways: u32) -> Settings {
    let class = |idempotency| Class {
        latency_target: 1000.0,
        deadline: 3000.0,
        idempotency,
        ..Class::default()
    };
    let keyed = Idempotency::Keyed {
        scope: DedupScope::Zone,
        window: 2000.0,
    };
    Settings {
        gateways,
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed),
            class(Idempotency::NonIdempotent),
        ],
        plans: vec![plan],
        max_attempts: 4,
        ..Settings::default()
    }
}

/// A ready backend that is not warming up, in zone `zone` and cell `zone`.
pub fn ready(id: u32, zone: u32) -> BackendEntry {
    BackendEntry {
        id: BackendId(id),
        zone: ZoneId(zone),
        cell: CellId(zone),
        availability: Availability::Ready,
        started: None,
        size: 1.0,
    }
}

/// A request of customer 1.
pub fn request(id: u32, class: usize, now: Millis) -> Request {
    Request {
        id: RequestId(id),
        customer: CustomerId(1),
        plan: PlanId(0),
        class: ClassId(class),
        units: 1.0,
        deadline: now + 3000.0,
        authorized: true,
        gateways: 1.0,
    }
}

#[allow(dead_code)]
impl Harness {
    /// Creates a gateway that has received its first list of backends.
    pub fn new(settings: Settings, backends: Vec<BackendEntry>) -> Harness {
        Harness::with_seed(settings, 1, backends)
    }

    /// Creates a gateway with a seed of its own.
    pub fn with_seed(settings: Settings, seed: u64, backends: Vec<BackendEntry>) -> Harness {
        let mut harness = Harness {
            gateway: Gateway::new(settings, seed),
            actions: Vec::new(),
        };
        harness.handle(0.0, Event::Backends(ListKind::Cached, backends));
        harness
    }

    /// Handles an event and keeps its actions until the next one.
    pub fn handle(&mut self, now: Millis, event: Event) -> &[Action] {
        self.actions.clear();
        self.gateway.handle(now, event, &mut self.actions);
        &self.actions
    }

    /// Handles an arrival and returns the backend that it was sent to, if any.
    pub fn arrive(&mut self, now: Millis, request: Request) -> Option<BackendId> {
        self.handle(now, Event::Arrival(request));
        self.sent()
    }

    /// Returns the backend that the last event led to an attempt at, if any.
    pub fn sent(&self) -> Option<BackendId> {
        self.actions.iter().find_map(|action| match action {
            Action::Send { backend, .. } => Some(*backend),
            _ => None,
        })
    }

    /// Handles the end of an attempt.
    pub fn end_attempt(
        &mut self,
        now: Millis,
        id: u32,
        attempt: u32,
        backend: BackendId,
        outcome: Outcome,
    ) -> &[Action] {
        self.handle(
            now,
            Event::AttemptEnded(attempt_ended(id, attempt, backend, outcome)),
        )
    }

    /// Handles an arrival and, if it is sent to a backend, a response 10 ms later; returns whether
    /// it was sent.
    pub fn serve(&mut self, now: Millis, request: Request) -> bool {
        let sent = self.arrive(now, request);
        if let Some(backend) = sent {
            self.end_attempt(now + 10.0, request.id.0, 0, backend, Outcome::Ok);
        }
        sent.is_some()
    }
}

/// The end of an attempt after 10 ms; a successful one closes the request.
pub fn attempt_ended(id: u32, attempt: u32, backend: BackendId, outcome: Outcome) -> AttemptEnded {
    AttemptEnded {
        request: RequestId(id),
        attempt,
        backend,
        outcome,
        elapsed: 10.0,
        request_closed: outcome == Outcome::Ok,
        metered_usage: None,
        true_units: None,
        report: Report::default(),
        broken_connections: 0,
    }
}

//! A small stage for playing event sequences to a gateway.

use maplefall_policy::*;

/// A gateway with the actions of its last event.
pub struct Stage {
    pub gateway: Gateway,
    pub actions: Vec<Action>,
}

/// One gateway of `spread` with a plan and a class of each effect: 0 safe, 1 keyed, 2 unsafe.
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

/// A warm backend in zone `zone`, cell `zone`.
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
impl Stage {
    /// A gateway that has been handed its first list.
    pub fn new(settings: Settings, backends: Vec<BackendEntry>) -> Stage {
        Stage::seeded(settings, 1, backends)
    }

    /// One of several gateways, each with a seed of its own.
    pub fn seeded(settings: Settings, seed: u64, backends: Vec<BackendEntry>) -> Stage {
        let mut stage = Stage {
            gateway: Gateway::new(settings, seed),
            actions: Vec::new(),
        };
        stage.play(0.0, Event::Backends(ListKind::Cached, backends));
        stage
    }

    /// Plays one event; the actions are kept until the next.
    pub fn play(&mut self, now: Millis, event: Event) -> &[Action] {
        self.actions.clear();
        self.gateway.handle(now, event, &mut self.actions);
        &self.actions
    }

    /// Plays an arrival and tells where it was sent, if it was.
    pub fn arrive(&mut self, now: Millis, request: Request) -> Option<BackendId> {
        self.play(now, Event::Arrival(request));
        self.sent()
    }

    /// Where the last event led to a send.
    pub fn sent(&self) -> Option<BackendId> {
        self.actions.iter().find_map(|a| match a {
            Action::Send { backend, .. } => Some(*backend),
            _ => None,
        })
    }

    /// Plays the end of an attempt.
    pub fn settle(
        &mut self,
        now: Millis,
        id: u32,
        attempt: u32,
        at: BackendId,
        outcome: Outcome,
    ) -> &[Action] {
        self.play(
            now,
            Event::AttemptEnded(attempt_ended(id, attempt, at, outcome)),
        )
    }

    /// Plays an arrival that is answered 10 ms later if it is sent; tells whether it was.
    pub fn serve(&mut self, now: Millis, request: Request) -> bool {
        let sent = self.arrive(now, request);
        if let Some(at) = sent {
            self.settle(now + 10.0, request.id.0, 0, at, Outcome::Ok);
        }
        sent.is_some()
    }
}

/// The end of an attempt after 10 ms; a good one closes the request.
pub fn attempt_ended(id: u32, attempt: u32, at: BackendId, outcome: Outcome) -> AttemptEnded {
    AttemptEnded {
        request: RequestId(id),
        attempt,
        backend: at,
        outcome,
        elapsed: 10.0,
        request_closed: outcome == Outcome::Ok,
        metered_usage: None,
        true_units: None,
        report: Report::default(),
        broken_connections: 0,
    }
}

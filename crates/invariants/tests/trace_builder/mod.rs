//! A builder that assembles traces event by event.

#![allow(dead_code)]

use maplefall_event_trace::*;
use maplefall_invariants::{evaluate, Evaluation, RuleResult};

/// Fingerprint of all requests of a trace.
pub const FINGERPRINT: u64 = 77;

pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const UNSAFE: usize = 2;

/// Response slack of the header's rules with the slack of the sockets: 8 + 50 ms.
pub const RESPONSE_SLACK: Millis = 58.0;
/// Drain grace with the slack of the sockets: 500 + 50 ms.
pub const DRAIN_GRACE: Millis = 550.0;
/// Deduplication window of a key with the slack of the sockets: 2000 + 50 ms.
pub const DEDUP_WINDOW: Millis = 2050.0;

/// Builds a trace; events may be added in any order and are sorted by time.
pub struct TraceBuilder {
    events: Vec<Event>,
    pub header: Header,
}

pub fn header() -> Header {
    let class = |name: &str, effect| Class {
        name: name.into(),
        effect,
        dedup_window_ms: 2000.0,
        latency_target_ms: 500.0,
        value: 1.0,
        late_value_factor: 0.0,
        auth_optional: name == "read",
    };
    let plan = |name: &str, rate_limit| Plan {
        name: name.into(),
        rate: 10.0,
        burst: 20.0,
        value_factor: 1.0,
        rate_limit,
    };
    Header {
        version: VERSION,
        scenario: "by hand".into(),
        seed: 0,
        proxies: 2,
        classes: vec![
            class("read", Effect::Safe),
            class("extend", Effect::Keyed),
            class("charge", Effect::Unsafe),
        ],
        plans: vec![
            plan("open", None),
            plan(
                "capped",
                Some(RateLimit {
                    rate: 20.0,
                    burst: 40.0,
                    slack: 4.0,
                }),
            ),
        ],
        rules: Rules {
            revocation_grace_ms: 500.0,
            ..Rules::platform(100.0)
        },
    }
}

impl Default for TraceBuilder {
    fn default() -> Self {
        TraceBuilder {
            events: Vec::new(),
            header: header(),
        }
    }
}

impl TraceBuilder {
    pub fn event(mut self, at: Millis, kind: EventKind) -> TraceBuilder {
        self.events.push(Event { at, kind });
        self
    }

    /// Adds a request of customer 7 whose client waits for one second.
    pub fn request(self, at: Millis, id: &str, class: usize) -> TraceBuilder {
        self.request_of(at, id, class, 0, 7, 1.0)
    }

    pub fn request_of(
        self,
        at: Millis,
        id: &str,
        class: usize,
        plan: usize,
        customer: u64,
        units: f64,
    ) -> TraceBuilder {
        let original_request = id.bytes().fold(0, |sum, byte| sum * 31 + u64::from(byte));
        self.event(
            at,
            EventKind::RequestSent {
                id: id.into(),
                original_request,
                retry: 0,
                proxy: 0,
                connection: 1,
                customer,
                plan,
                class,
                units,
                deadline: at + 1000.0,
                fingerprint: FINGERPRINT,
            },
        )
    }

    pub fn response(self, at: Millis, id: &str, status: u16, attempt: Option<u64>) -> TraceBuilder {
        self.event(
            at,
            EventKind::ResponseReceived {
                id: id.into(),
                connection: 1,
                status,
                attempt,
                retry_after_ms: None,
            },
        )
    }

    pub fn failed(self, at: Millis, id: &str, reason: FailureReason) -> TraceBuilder {
        self.event(
            at,
            EventKind::RequestFailed {
                id: id.into(),
                proxy: 0,
                connection: 1,
                reason,
            },
        )
    }

    pub fn attempt(self, at: Millis, attempt: u64, id: &str, node: u32) -> TraceBuilder {
        self.attempt_from(0, at, attempt, id, node, 10.0)
    }

    pub fn attempt_from(
        self,
        proxy: u32,
        at: Millis,
        attempt: u64,
        id: &str,
        node: u32,
        work: Millis,
    ) -> TraceBuilder {
        let id = id.to_owned();
        self.event(
            at,
            EventKind::AttemptReceived {
                attempt,
                node,
                proxy,
                id,
                key: None,
                fingerprint: FINGERPRINT,
                first_byte_at: at,
                complete: true,
                work,
            },
        )
    }

    pub fn ended(self, at: Millis, attempt: u64, end: AttemptEnd) -> TraceBuilder {
        self.event(at, EventKind::AttemptEnded { attempt, end })
    }

    pub fn effect(self, at: Millis, attempt: u64) -> TraceBuilder {
        self.event(at, EventKind::EffectApplied { attempt })
    }

    pub fn notified(
        self,
        at: Millis,
        proxy: u32,
        node: u32,
        health: Health,
        started_at: Option<Millis>,
    ) -> TraceBuilder {
        self.notified_by(0, at, proxy, node, health, started_at)
    }

    pub fn notified_by(
        self,
        source: u32,
        at: Millis,
        proxy: u32,
        node: u32,
        health: Health,
        started_at: Option<Millis>,
    ) -> TraceBuilder {
        self.event(
            at,
            EventKind::NodeUpdate {
                proxy,
                node,
                health,
                started_at,
                source,
                version: 0,
            },
        )
    }

    pub fn proxy_state(self, at: Millis, state: ProxyState) -> TraceBuilder {
        self.event(at, EventKind::Proxy { proxy: 0, state })
    }

    /// Adds a request that is served by one attempt.
    pub fn served(
        self,
        at: Millis,
        attempt: u64,
        id: &str,
        class: usize,
        node: u32,
    ) -> TraceBuilder {
        self.request(at, id, class)
            .attempt(at + 2.0, attempt, id, node)
            .effect(at + 50.0, attempt)
            .ended(at + 50.0, attempt, AttemptEnd::Served)
            .response(at + 52.0, id, 200, Some(attempt))
    }

    pub fn evaluate(mut self) -> Evaluation {
        self.events.sort_by(|a, b| a.at.total_cmp(&b.at));
        let end = self.events.last().map_or(0.0, |event| event.at);
        let lateness = EventKind::Lateness {
            actions: 9,
            p50_ms: 0.1,
            p99_ms: 1.0,
            max_ms: 2.0,
        };
        self.events.push(Event {
            at: end,
            kind: lateness,
        });
        evaluate(&Trace {
            header: self.header,
            events: self.events,
        })
    }

    pub fn rule(self, number: u32) -> RuleResult {
        let evaluation = self.evaluate();
        let other_rules = evaluation
            .rules
            .iter()
            .filter(|result| result.rule != number);
        for other in other_rules {
            assert_eq!(
                other.violation_count, 0,
                "another rule was violated: {:?}",
                other.violations
            );
        }
        evaluation
            .rules
            .into_iter()
            .find(|result| result.rule == number)
            .expect("a rule")
    }
}

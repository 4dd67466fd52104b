//! Records made by hand, one line after the other.

#![allow(dead_code)]

use maplefall_event_trace::*;
use maplefall_invariants::{evaluate, Evaluation, RuleResult};

/// What all requests of a tale send.
pub const FORM: u64 = 77;

pub const SAFE: usize = 0;
pub const KEYED: usize = 1;
pub const UNSAFE: usize = 2;

/// Times of a rule, as the header tells them: 8 + 50 ms, 500 + 50 ms.
pub const ANSWER_SLACK: Millis = 58.0;
pub const DRAIN_GRACE: Millis = 550.0;
/// A key is kept for 2000 + 50 ms.
pub const MEMORY: Millis = 2050.0;

/// A record in the making; lines may be told in any order and are sorted by their times.
pub struct Tale {
    lines: Vec<Event>,
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
    let plan = |name: &str, ceiling| Plan {
        name: name.into(),
        rate: 10.0,
        burst: 20.0,
        value_factor: 1.0,
        rate_limit: ceiling,
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

impl Default for Tale {
    fn default() -> Self {
        Tale {
            lines: Vec::new(),
            header: header(),
        }
    }
}

impl Tale {
    pub fn line(mut self, at: Millis, entry: EventKind) -> Tale {
        self.lines.push(Event { at, kind: entry });
        self
    }

    /// A request of customer 7 that waits for a second.
    pub fn asked(self, at: Millis, id: &str, class: usize) -> Tale {
        self.asked_of(at, id, class, 0, 7, 1.0)
    }

    pub fn asked_of(
        self,
        at: Millis,
        id: &str,
        class: usize,
        plan: usize,
        customer: u64,
        units: f64,
    ) -> Tale {
        let item = id.bytes().fold(0, |sum, byte| sum * 31 + u64::from(byte));
        self.line(
            at,
            EventKind::RequestSent {
                id: id.into(),
                original_request: item,
                retry: 0,
                proxy: 0,
                connection: 1,
                customer,
                plan,
                class,
                units,
                deadline: at + 1000.0,
                fingerprint: FORM,
            },
        )
    }

    pub fn answered(self, at: Millis, id: &str, status: u16, attempt: Option<u64>) -> Tale {
        self.line(
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

    pub fn lost(self, at: Millis, id: &str, why: FailureReason) -> Tale {
        self.line(
            at,
            EventKind::RequestFailed {
                id: id.into(),
                proxy: 0,
                connection: 1,
                reason: why,
            },
        )
    }

    pub fn came(self, at: Millis, attempt: u64, id: &str, node: u32) -> Tale {
        self.came_from(0, at, attempt, id, node, 10.0)
    }

    pub fn came_from(
        self,
        door: u32,
        at: Millis,
        attempt: u64,
        id: &str,
        node: u32,
        work: Millis,
    ) -> Tale {
        let id = id.to_owned();
        self.line(
            at,
            EventKind::AttemptReceived {
                attempt,
                node,
                proxy: door,
                id,
                key: None,
                fingerprint: FORM,
                first_byte_at: at,
                complete: true,
                work,
            },
        )
    }

    pub fn over(self, at: Millis, attempt: u64, end: AttemptEnd) -> Tale {
        self.line(at, EventKind::AttemptEnded { attempt, end })
    }

    pub fn ran(self, at: Millis, attempt: u64) -> Tale {
        self.line(at, EventKind::EffectApplied { attempt })
    }

    pub fn told(
        self,
        at: Millis,
        door: u32,
        node: u32,
        health: Health,
        born: Option<Millis>,
    ) -> Tale {
        self.told_by(0, at, door, node, health, born)
    }

    pub fn told_by(
        self,
        source: u32,
        at: Millis,
        door: u32,
        node: u32,
        health: Health,
        born: Option<Millis>,
    ) -> Tale {
        self.line(
            at,
            EventKind::NodeUpdate {
                proxy: door,
                node,
                health,
                started_at: born,
                source,
                version: 0,
            },
        )
    }

    pub fn door(self, at: Millis, state: ProxyState) -> Tale {
        self.line(at, EventKind::Proxy { proxy: 0, state })
    }

    /// One request that is served by one attempt.
    pub fn served(self, at: Millis, attempt: u64, id: &str, class: usize, node: u32) -> Tale {
        self.asked(at, id, class)
            .came(at + 2.0, attempt, id, node)
            .ran(at + 50.0, attempt)
            .over(at + 50.0, attempt, AttemptEnd::Served)
            .answered(at + 52.0, id, 200, Some(attempt))
    }

    pub fn judge(mut self) -> Evaluation {
        self.lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        let end = self.lines.last().map_or(0.0, |line| line.at);
        let lateness = EventKind::Lateness {
            actions: 9,
            p50_ms: 0.1,
            p99_ms: 1.0,
            max_ms: 2.0,
        };
        self.lines.push(Event {
            at: end,
            kind: lateness,
        });
        evaluate(&Trace {
            header: self.header,
            events: self.lines,
        })
    }

    pub fn rule(self, number: u32) -> RuleResult {
        let judgement = self.judge();
        let others = judgement
            .rules
            .iter()
            .filter(|ruling| ruling.rule != number);
        for other in others {
            assert_eq!(
                other.violation_count, 0,
                "another rule: {:?}",
                other.violations
            );
        }
        judgement
            .rules
            .into_iter()
            .find(|ruling| ruling.rule == number)
            .expect("a rule")
    }
}

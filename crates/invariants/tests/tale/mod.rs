//! Records made by hand, one line after the other.

#![allow(dead_code)]

use maplefall_event_trace::*;
use maplefall_invariants::{judge, Judgement, Ruling};

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
    lines: Vec<Line>,
    pub header: Header,
}

pub fn header() -> Header {
    let class = |name: &str, effect| Class {
        name: name.into(),
        effect,
        memory_ms: 2000.0,
        aim_ms: 500.0,
        worth: 1.0,
        late_worth: 0.0,
        unchecked: name == "read",
    };
    let plan = |name: &str, ceiling| Plan {
        name: name.into(),
        rate: 10.0,
        burst: 20.0,
        price: 1.0,
        ceiling,
    };
    Header {
        version: VERSION,
        scenario: "by hand".into(),
        seed: 0,
        doors: 2,
        classes: vec![
            class("read", Effect::Safe),
            class("extend", Effect::Keyed),
            class("charge", Effect::Unsafe),
        ],
        plans: vec![
            plan("open", None),
            plan(
                "capped",
                Some(Ceiling {
                    rate: 20.0,
                    burst: 40.0,
                    slack: 4.0,
                }),
            ),
        ],
        rules: Rules {
            revoked_ms: 500.0,
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
    pub fn line(mut self, at: Millis, entry: Entry) -> Tale {
        self.lines.push(Line { at, entry });
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
            Entry::Asked {
                id: id.into(),
                item,
                retry: 0,
                door: 0,
                link: 1,
                customer,
                plan,
                class,
                units,
                deadline: at + 1000.0,
                form: FORM,
            },
        )
    }

    pub fn answered(self, at: Millis, id: &str, status: u16, attempt: Option<u64>) -> Tale {
        self.line(
            at,
            Entry::Answered {
                id: id.into(),
                link: 1,
                status,
                attempt,
                retry_after_ms: None,
            },
        )
    }

    pub fn lost(self, at: Millis, id: &str, why: Lost) -> Tale {
        self.line(
            at,
            Entry::Unanswered {
                id: id.into(),
                door: 0,
                link: 1,
                why,
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
            Entry::Came {
                attempt,
                node,
                door,
                id,
                key: None,
                form: FORM,
                first: at,
                whole: true,
                work,
            },
        )
    }

    pub fn over(self, at: Millis, attempt: u64, end: End) -> Tale {
        self.line(at, Entry::Over { attempt, end })
    }

    pub fn ran(self, at: Millis, attempt: u64) -> Tale {
        self.line(at, Entry::Ran { attempt })
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
            Entry::Told {
                door,
                node,
                health,
                born,
                source,
                version: 0,
            },
        )
    }

    pub fn door(self, at: Millis, state: DoorState) -> Tale {
        self.line(at, Entry::Door { door: 0, state })
    }

    /// One request that is served by one attempt.
    pub fn served(self, at: Millis, attempt: u64, id: &str, class: usize, node: u32) -> Tale {
        self.asked(at, id, class)
            .came(at + 2.0, attempt, id, node)
            .ran(at + 50.0, attempt)
            .over(at + 50.0, attempt, End::Served)
            .answered(at + 52.0, id, 200, Some(attempt))
    }

    pub fn judge(mut self) -> Judgement {
        self.lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        let end = self.lines.last().map_or(0.0, |line| line.at);
        let lateness = Entry::Lateness {
            actions: 9,
            p50_ms: 0.1,
            p99_ms: 1.0,
            most_ms: 2.0,
        };
        self.lines.push(Line {
            at: end,
            entry: lateness,
        });
        judge(&Record {
            header: self.header,
            lines: self.lines,
        })
    }

    pub fn rule(self, number: u32) -> Ruling {
        let judgement = self.judge();
        let others = judgement
            .rules
            .iter()
            .filter(|ruling| ruling.rule != number);
        for other in others {
            assert_eq!(other.breaks, 0, "another rule: {:?}", other.findings);
        }
        judgement
            .rules
            .into_iter()
            .find(|ruling| ruling.rule == number)
            .expect("a rule")
    }
}

//! The record sorted by what the rules ask for: requests with their tries, attempts with their ends, front doors and
//! nodes with their lives. One pass, and nothing is decided here.

use maplefall_event_trace::{
    Class, DoorState, End, Entry, Health, Lost, Millis, NodeState, Plan, Record,
};
use std::collections::BTreeMap;

/// One sending of a request by its client.
#[derive(Clone, Debug)]
pub struct Try<'r> {
    /// The request's id on the wire.
    pub id: &'r str,
    /// The first try that it belongs to.
    pub item: u64,
    /// Tries before it.
    pub retry: u32,
    /// Where it went.
    pub door: u32,
    /// On which connection.
    pub link: u64,
    /// Whose it is.
    pub customer: u64,
    /// The plan, by number.
    pub plan: usize,
    /// The class, by number.
    pub class: usize,
    /// Units that it counts.
    pub units: f64,
    /// When its last byte was written.
    pub asked: Millis,
    /// When its client stops waiting.
    pub deadline: Millis,
    /// What it sent that must come to a node unchanged.
    pub form: u64,
    /// Its line in the record.
    pub line: usize,
    /// Its whole answer.
    pub answer: Option<Answer>,
    /// That it has none, and why.
    pub lost: Option<(Millis, Lost, usize)>,
}

/// A whole answer.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// When its last byte came.
    pub at: Millis,
    /// The status.
    pub status: u16,
    /// The attempt that its body names.
    pub attempt: Option<u64>,
    /// Its line.
    pub line: usize,
}

impl Answer {
    /// Whether it tells that trying again is harmless.
    pub fn refuses(&self) -> bool {
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
    pub door: u32,
    /// The request's id.
    pub id: &'r str,
    /// What came of what must be unchanged.
    pub form: u64,
    /// When its first byte came.
    pub first: Millis,
    /// When its last byte came, or it broke off.
    pub at: Millis,
    /// Whether it came whole.
    pub whole: bool,
    /// Its work.
    pub work: Millis,
    /// Its line.
    pub line: usize,
    /// When and how it ended.
    pub over: Option<(Millis, End, usize)>,
    /// When its effect ran.
    pub ran: Vec<(Millis, usize)>,
}

impl Attempt<'_> {
    /// Whether its end proves that it never ran.
    pub fn never_ran(&self) -> bool {
        matches!(self.over, Some((_, End::TurnedAway, _)))
    }
}

/// One life of a node's process.
#[derive(Clone, Copy, Debug)]
pub struct Life {
    /// Which node.
    pub node: u32,
    /// When it started.
    pub from: Millis,
    /// When it ended.
    pub to: Millis,
    /// Its cores.
    pub cores: f64,
    /// Part of its capacity that it started with.
    pub cold_from: f64,
    /// Time until it was warm.
    pub cold_ms: Millis,
    /// The line of its start.
    pub line: usize,
}

impl Life {
    /// Part of its capacity that it has.
    pub fn warmth(&self, at: Millis) -> f64 {
        if self.cold_ms <= 0.0 {
            return 1.0;
        }
        self.cold_from + (1.0 - self.cold_from) * ((at - self.from) / self.cold_ms).clamp(0.0, 1.0)
    }
}

/// One telling of a node to a front door.
#[derive(Clone, Copy, Debug)]
pub struct Telling {
    /// When.
    pub at: Millis,
    /// To whom.
    pub door: u32,
    /// Of which node.
    pub node: u32,
    /// Its state.
    pub health: Health,
    /// When it was said to have started.
    pub born: Option<Millis>,
    /// By which source.
    pub source: u32,
    /// The version of that source's list; 0 where it is not known.
    pub version: u64,
    /// The line.
    pub line: usize,
}

/// A record, sorted.
pub struct View<'r> {
    /// The record.
    pub record: &'r Record,
    /// All tries, by the time they were asked.
    pub tries: Vec<Try<'r>>,
    /// Places in `tries` by the request's id.
    pub by_id: BTreeMap<&'r str, Vec<usize>>,
    /// All attempts, in the order in which they came.
    pub attempts: Vec<Attempt<'r>>,
    /// Places in `attempts` of those that came whole, by the request's id.
    pub whole_by_id: BTreeMap<&'r str, Vec<usize>>,
    /// Lives of nodes.
    pub lives: Vec<Life>,
    /// What front doors were told.
    pub tellings: Vec<Telling>,
    /// What front doors' sources had to tell, and since when: counted as told at the latest, in the order of that.
    pub due: Vec<Telling>,
    /// When a node's change was committed where front doors watch, and to which state.
    pub committed: Vec<(Millis, u32, Health)>,
    /// What happened to front doors.
    pub doors: Vec<(Millis, u32, DoorState, usize)>,
    /// Bytes that nobody asked for: when, on which front door's connection, after which request.
    pub surplus: Vec<(Millis, u32, &'r str, usize)>,
    /// What rude clients were left with: their kind, the status, and whether with nothing.
    pub rude: Vec<(Millis, &'r str, Option<u16>, bool, usize)>,
}

impl<'r> View<'r> {
    /// Sorts a record.
    pub fn new(record: &'r Record) -> View<'r> {
        let mut view = View {
            record,
            tries: Vec::new(),
            by_id: BTreeMap::new(),
            attempts: Vec::new(),
            whole_by_id: BTreeMap::new(),
            lives: Vec::new(),
            tellings: Vec::new(),
            due: Vec::new(),
            committed: Vec::new(),
            doors: Vec::new(),
            surplus: Vec::new(),
            rude: Vec::new(),
        };
        let mut numbers: BTreeMap<u64, usize> = BTreeMap::new();
        for (at, line) in record.lines.iter().enumerate() {
            view.take(at + 2, line.at, &line.entry, &mut numbers);
        }
        view
    }

    /// A class of the record; tries of a class that it does not name are left out.
    pub fn class(&self, of: &Try<'_>) -> Option<&'r Class> {
        self.record.header.classes.get(of.class)
    }

    /// A plan of the record.
    pub fn plan(&self, of: &Try<'_>) -> Option<&'r Plan> {
        self.record.header.plans.get(of.plan)
    }

    /// The first try with an id.
    pub fn try_of(&self, id: &str) -> Option<&Try<'r>> {
        self.by_id
            .get(id)
            .and_then(|places| places.first())
            .map(|place| &self.tries[*place])
    }

    /// The attempts of a request that came whole, in the order in which they came.
    pub fn attempts_of(&self, id: &str) -> impl Iterator<Item = &Attempt<'r>> {
        self.whole_by_id
            .get(id)
            .into_iter()
            .flatten()
            .map(|place| &self.attempts[*place])
    }

    /// Whether a front door was killed, ended or not yet there within this span.
    pub fn down_within(&self, door: u32, from: Millis, to: Millis) -> bool {
        self.doors.iter().any(|(at, which, state, _)| {
            let ends = matches!(state, DoorState::Killed);
            *which == door && ends && (from..=to).contains(at)
        })
    }

    fn take(
        &mut self,
        line: usize,
        at: Millis,
        entry: &'r Entry,
        numbers: &mut BTreeMap<u64, usize>,
    ) {
        match entry {
            Entry::Asked {
                id,
                item,
                retry,
                door,
                link,
                customer,
                plan,
                class,
                units,
                deadline,
                form,
            } => {
                self.by_id.entry(id).or_default().push(self.tries.len());
                self.tries.push(Try {
                    id,
                    item: *item,
                    retry: *retry,
                    door: *door,
                    link: *link,
                    customer: *customer,
                    plan: *plan,
                    class: *class,
                    units: *units,
                    asked: at,
                    deadline: *deadline,
                    form: *form,
                    line,
                    answer: None,
                    lost: None,
                });
            }
            Entry::Answered {
                id,
                link,
                status,
                attempt,
                ..
            } => {
                if let Some(of) = self.try_on(id, *link) {
                    of.answer = Some(Answer {
                        at,
                        status: *status,
                        attempt: *attempt,
                        line,
                    });
                }
            }
            Entry::Unanswered { id, link, why, .. } => {
                if let Some(of) = self.try_on(id, *link) {
                    of.lost = Some((at, *why, line));
                }
            }
            Entry::Surplus { door, id, .. } => self.surplus.push((at, *door, id, line)),
            Entry::Came {
                attempt,
                node,
                door,
                id,
                form,
                first,
                whole,
                work,
                ..
            } => {
                numbers.insert(*attempt, self.attempts.len());
                if *whole {
                    self.whole_by_id
                        .entry(id)
                        .or_default()
                        .push(self.attempts.len());
                }
                self.attempts.push(Attempt {
                    number: *attempt,
                    node: *node,
                    door: *door,
                    id,
                    form: *form,
                    first: *first,
                    at,
                    whole: *whole,
                    work: *work,
                    line,
                    over: None,
                    ran: Vec::new(),
                });
            }
            Entry::Ran { attempt } => {
                if let Some(place) = numbers.get(attempt) {
                    self.attempts[*place].ran.push((at, line));
                }
            }
            Entry::Over { attempt, end } => {
                if let Some(place) = numbers.get(attempt) {
                    self.attempts[*place].over.get_or_insert((at, *end, line));
                }
            }
            Entry::Node { node, state } => self.take_node(line, at, *node, *state),
            Entry::Told {
                door,
                node,
                health,
                born,
                source,
                version,
            } => self.tellings.push(Telling {
                at,
                door: *door,
                node: *node,
                health: *health,
                born: *born,
                source: *source,
                version: *version,
                line,
            }),
            Entry::Due {
                door,
                node,
                health,
                version,
            } => self.due.push(Telling {
                at: at + self.record.header.rules.told_within_ms,
                door: *door,
                node: *node,
                health: *health,
                born: None,
                source: 0,
                version: *version,
                line,
            }),
            Entry::Committed { node, health } => self.committed.push((at, *node, *health)),
            Entry::Door { door, state } => self.doors.push((at, *door, *state, line)),
            Entry::Rude {
                kind,
                status,
                neglected,
            } => {
                self.rude.push((at, kind, *status, *neglected, line));
            }
            Entry::Failure { .. }
            | Entry::Credential { .. }
            | Entry::Used { .. }
            | Entry::Lateness { .. } => {}
        }
    }

    /// The last try of a request on a connection.
    fn try_on(&mut self, id: &str, link: u64) -> Option<&mut Try<'r>> {
        let place = self
            .by_id
            .get(id)?
            .iter()
            .rev()
            .find(|place| self.tries[**place].link == link)?;
        Some(&mut self.tries[*place])
    }

    fn take_node(&mut self, line: usize, at: Millis, node: u32, state: NodeState) {
        match state {
            NodeState::Up {
                cores,
                cold_from,
                cold_ms,
            } => {
                let to = f64::INFINITY;
                self.lives.push(Life {
                    node,
                    from: at,
                    to,
                    cores,
                    cold_from,
                    cold_ms,
                    line,
                });
            }
            NodeState::Draining => {}
            NodeState::Gone | NodeState::Fell => {
                if let Some(life) = self.lives.iter_mut().rev().find(|life| life.node == node) {
                    life.to = life.to.min(at);
                }
                // Its connections broke with it.
                let open = self
                    .attempts
                    .iter_mut()
                    .filter(|a| a.node == node && a.whole && a.over.is_none());
                open.for_each(|attempt| attempt.over = Some((at, End::Reset, line)));
            }
        }
    }
}

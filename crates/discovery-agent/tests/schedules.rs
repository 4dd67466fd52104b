//! Random schedules of two agents that lag behind the truth, repeat themselves, begin to count anew, go silent, lose
//! connections and are moved between, against a plain observer that keeps every word. (Numberings that two agents use at
//! one time are not among them: a door that has heard of only one of these cannot tell.) Two laws:
//!
//! 1. A life that was once told to be leaving is never called up again but by a word that is newer than that.
//! 2. Once an agent has been heard for a while, the list is that agent's list: nothing is frozen, and nothing lost.

use maplefall_discovery_agent::*;
use maplefall_membership::Event;
use maplefall_policy::Millis;
use maplefall_protocol::{Health, Member, Members};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// One step of the clock.
const STEP: Millis = 100.0;
/// The second numbering begins far below the first, as one that begins anew does.
const FIRST: u64 = 1000;

/// A life of a backend.
type Life = (String, u64);

/// The truth: each change with its time.
#[derive(Clone, Debug)]
struct Change {
    at: Millis,
    member: Member,
}

fn place(agent: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8500 + agent as u16))
}

fn life(member: &Member) -> Life {
    (member.host.clone(), member.born_ms as u64)
}

/// The list after so many changes.
fn list_at(truth: &[Change], known: usize) -> BTreeMap<String, Member> {
    let mut list = BTreeMap::new();
    for Change { member, .. } in &truth[..known] {
        if member.health == Health::Removed {
            list.remove(&member.host);
        } else {
            list.insert(member.host.clone(), member.clone());
        }
    }
    list
}

#[derive(Debug)]
struct Agent {
    /// Changes of the truth that it knows, and the time up to which it knows all.
    known: usize,
    knows_until: Millis,
    lag: Millis,
    /// Its version is this and the changes that it knows; none before this many are in its history.
    base: u64,
    since: usize,
    silent: bool,
}

impl Agent {
    fn version(&self) -> u64 {
        self.base + self.known as u64
    }

    fn answer(&self, truth: &[Change], from: Option<u64>) -> Members {
        let known_from =
            from.filter(|from| (self.base + self.since as u64..=self.version()).contains(from));
        let hosts = match known_from {
            None => list_at(truth, self.known).into_values().collect(),
            Some(from) => {
                let changed = &truth[(from - self.base) as usize..self.known];
                let last: BTreeMap<&str, &Member> = changed
                    .iter()
                    .map(|c| (c.member.host.as_str(), &c.member))
                    .collect();
                last.into_values().cloned().collect()
            }
        };
        Members {
            seq: self.version(),
            whole: known_from.is_none(),
            hosts,
        }
    }
}

/// An open call as its agent has it.
#[derive(Debug)]
struct Open {
    call: CallId,
    agent: usize,
    what: What,
    /// What it has been told of, once it was answered.
    told: Option<usize>,
    last: Millis,
}

/// What the observer has heard of a life: when it was last told to leave, by the time of that change, and up to which time
/// it was told to be up.
#[derive(Clone, Copy, Debug)]
struct Words {
    stopped: Millis,
    up_until: Millis,
}

impl Default for Words {
    fn default() -> Words {
        Words {
            stopped: f64::NEG_INFINITY,
            up_until: f64::NEG_INFINITY,
        }
    }
}

struct World {
    now: Millis,
    truth: Vec<Change>,
    agents: [Agent; 2],
    /// Who listens: the other refuses.
    at: usize,
    open: Vec<Open>,
    waiting: VecDeque<Output>,
    follower: Follower,
    roster: BTreeMap<String, Member>,
    words: BTreeMap<Life, Words>,
    /// What the open call's agent has told so far, and whether it has told all of it.
    reports: Vec<String>,
}

impl World {
    fn new(known: bool) -> World {
        let now = 1_000_000.0;
        let up = |host: &str| Change {
            at: 0.0,
            member: member(host, Health::Up, 0.0),
        };
        let truth: Vec<Change> = ["a", "b", "c"].map(up).to_vec();
        let agent = |since| Agent {
            known: 3,
            knows_until: now,
            lag: 0.0,
            base: FIRST,
            since,
            silent: false,
        };
        let agents = [agent(0), agent(3)];
        let known = known.then(|| agents[0].answer(&truth, None));
        let mut world = World {
            now,
            follower: Follower::new(
                Settings {
                    source: 0,
                    own: true,
                    stop_within: 500.0,
                    sharing: 9,
                    seed: 7,
                    places: vec![place(0)],
                    known: known.clone(),
                },
                now,
            ),
            truth,
            agents,
            at: 0,
            open: Vec::new(),
            waiting: VecDeque::new(),
            roster: BTreeMap::new(),
            words: BTreeMap::new(),
            reports: Vec::new(),
        };
        if let Some(known) = known {
            world.observe(&known, 0, 3, now);
            world.roster = known
                .hosts
                .into_iter()
                .map(|member| (member.host.clone(), member))
                .collect();
        }
        world
    }

    /// Notes what an agent that knows so much until then has just told.
    fn observe(&mut self, told: &Members, from: usize, known: usize, until: Millis) {
        for change in &self.truth[from.min(known)..known] {
            // Of what it tells, each stop that is still in force there.
            let words = self.words.entry(life(&change.member)).or_default();
            let named = told.hosts.iter().find(|m| life(m) == life(&change.member));
            if named.is_some_and(|named| {
                named.health != Health::Up && named.health == change.member.health
            }) {
                words.stopped = words.stopped.max(change.at);
            }
        }
        for member in told
            .hosts
            .iter()
            .filter(|member| member.health == Health::Up)
        {
            let words = self.words.entry(life(member)).or_default();
            words.up_until = words.up_until.max(until);
        }
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        self.waiting.extend(out);
        while let Some(output) = self.waiting.pop_front() {
            match output {
                Output::Ask {
                    call,
                    place: to,
                    what,
                } => {
                    let agent = usize::from(to == place(1));
                    if agent == self.at {
                        self.open.push(Open {
                            call,
                            agent,
                            what,
                            told: None,
                            last: self.now,
                        });
                    } else {
                        let refused = Heard::Ended(End::Broken("refused".into()));
                        let more = self.follower.heard_of(self.now, call, refused);
                        self.waiting.extend(more);
                    }
                }
                Output::HangUp(call) => self.open.retain(|open| open.call != call),
                Output::Report(report) => self.reports.push(report.to_string()),
                Output::Tell(Event::Snapshot {
                    members, unread, ..
                }) => {
                    assert!(unread.is_empty());
                    self.roster.clear();
                    self.put(members);
                }
                Output::Tell(Event::Change { members, .. }) => self.put(members),
                Output::Tell(_) => {}
            }
        }
    }

    fn put(&mut self, members: Members) {
        for member in members.hosts {
            if member.health == Health::Removed {
                self.roster.remove(&member.host);
            } else {
                self.roster.insert(member.host.clone(), member);
            }
        }
    }

    fn hear(&mut self, call: CallId, heard: Heard) {
        let out = self.follower.heard_of(self.now, call, heard);
        self.carry_out(out);
    }

    /// Agents learn, and say what they have to.
    fn speak(&mut self) {
        for agent in &mut self.agents {
            agent.knows_until = agent.knows_until.max(self.now - agent.lag);
            let until = agent.knows_until;
            agent.known = agent.known.max(
                self.truth
                    .iter()
                    .take_while(|change| change.at <= until)
                    .count(),
            );
        }
        let mut at = 0;
        while at < self.open.len() {
            let Open {
                call,
                agent,
                what,
                told,
                last,
            } = self.open[at];
            let Agent {
                known,
                knows_until,
                silent,
                base,
                ..
            } = self.agents[agent];
            at += 1;
            let news = told.is_none_or(|told| told < known);
            if silent || !(news || self.now - last >= HEARTBEAT) {
                continue;
            }
            self.open[at - 1].last = self.now;
            self.open[at - 1].told = Some(known);
            let mut text = Vec::new();
            let from = match (told, what) {
                (Some(told), _) => Some(base + told as u64),
                (None, What::Watch(from)) => Some(from),
                (None, What::Whole) => None,
            };
            if news {
                let members = self.agents[agent].answer(&self.truth, from);
                // A whole list names all that is known, a change what has changed.
                let since = if members.whole {
                    0
                } else {
                    from.map_or(0, |from| (from - base) as usize)
                };
                self.observe(&members, since, known, knows_until);
                text = serde_json::to_vec(&members).expect("a line");
            }
            // What it has told of the rest still holds.
            let holds = Members {
                seq: 0,
                whole: false,
                hosts: list_at(&self.truth, known).into_values().collect(),
            };
            if told.is_some() {
                self.observe(&holds, known, known, knows_until);
            }
            self.hear(call, Heard::Line(text));
            if what == What::Whole && self.open.iter().any(|open| open.call == call) {
                self.open.retain(|open| open.call != call);
                self.hear(call, Heard::Ended(End::Whole));
            }
            // Calls may have come and gone.
            at = 0;
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while self.follower.next_due().is_some_and(|due| due <= self.now) {
            let out = self.follower.tick(self.now);
            self.carry_out(out);
        }
        self.speak();
    }

    /// The first law.
    fn check(&self) -> Result<(), TestCaseError> {
        for member in self
            .roster
            .values()
            .filter(|member| member.health == Health::Up)
        {
            let words = self.words.get(&life(member)).copied().unwrap_or_default();
            prop_assert!(
                words.up_until >= words.stopped,
                "{member:?} is up at {}: {words:?}; {:?}",
                self.now,
                self.reports
            );
        }
        Ok(())
    }
}

fn member(host: &str, health: Health, born_ms: f64) -> Member {
    let dial = place(0);
    Member {
        host: host.into(),
        dial,
        site: String::new(),
        block: 0,
        health,
        share: 1.0,
        born_ms,
    }
}

#[derive(Clone, Debug)]
enum Act {
    /// Something becomes of a backend.
    Change(usize, u8),
    /// An agent hears this much late from now on.
    Lag(usize, u16),
    Silent(usize, bool),
    /// The door is told to ask the other one.
    Move,
    /// The open calls break.
    Break,
    /// Discovery is replaced by one that counts anew: both agents forget their history.
    Anew,
    Pass(u8),
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        4 => (0usize..4, any::<u8>()).prop_map(|(host, way)| Act::Change(host, way)),
        2 => (0usize..2, 0u16..5900).prop_map(|(agent, lag)| Act::Lag(agent, lag)),
        1 => (0usize..2, any::<bool>()).prop_map(|(agent, silent)| Act::Silent(agent, silent)),
        1 => Just(Act::Move),
        1 => Just(Act::Break),
        1 => Just(Act::Anew),
        6 => (1u8..40).prop_map(Act::Pass),
    ]
}

impl World {
    fn act(&mut self, act: &Act) -> Result<(), TestCaseError> {
        match *act {
            Act::Change(host, way) => {
                let host = ["a", "b", "c", "d"][host];
                let now = list_at(&self.truth, self.truth.len()).remove(host);
                let member = match (now, way % 3) {
                    (None, _) => member(host, Health::Up, self.now),
                    (Some(m), 0) if m.health == Health::Up => Member {
                        health: Health::Draining,
                        ..m
                    },
                    (Some(m), 0) => Member {
                        health: Health::Up,
                        ..m
                    },
                    (Some(m), 1) => Member {
                        health: Health::Draining,
                        ..m
                    },
                    (Some(m), _) => Member {
                        health: Health::Removed,
                        ..m
                    },
                };
                self.truth.push(Change {
                    at: self.now,
                    member,
                });
            }
            Act::Lag(agent, lag) => self.agents[agent].lag = f64::from(lag),
            Act::Silent(agent, silent) => self.agents[agent].silent = silent,
            Act::Move => {
                self.at = 1 - self.at;
                let out = self.follower.moved(self.now, place(self.at));
                self.carry_out(out);
            }
            Act::Break => {
                for Open { call, .. } in std::mem::take(&mut self.open) {
                    self.hear(call, Heard::Ended(End::Broken("reset".into())));
                }
            }
            Act::Anew => {
                for agent in self.agents.iter_mut().filter(|agent| agent.base == FIRST) {
                    (agent.base, agent.since) = (1, agent.known);
                }
                return self.act(&Act::Break);
            }
            Act::Pass(steps) => {
                for _ in 0..steps {
                    self.step();
                    self.check()?;
                }
            }
        }
        self.check()
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 1500, max_global_rejects: 0, rng_seed: RngSeed::Fixed(38), failure_persistence: None, ..Config::default()
    })]

    #[test]
    fn no_drain_is_taken_back_by_an_older_word_and_no_list_is_frozen(
        known in any::<bool>(), acts in proptest::collection::vec(act(), 0..60),
    ) {
        let mut world = World::new(known);
        for act in &acts {
            world.act(act)?;
        }
        // Now everybody speaks, and nothing lags.
        for agent in &mut world.agents {
            (agent.silent, agent.lag) = (false, 0.0);
        }
        for _ in 0..150 {
            world.step();
            world.check()?;
        }
        let truth = list_at(&world.truth, world.truth.len());
        prop_assert_eq!(&world.roster, &truth, "{:?}", world.reports);
    }
}

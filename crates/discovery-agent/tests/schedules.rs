//! Random schedules of two agents that lag, repeat themselves, restart their numbering, go silent,
//! lose connections and are switched between, checked by an observer that records every update. Two
//! numberings at the same time are excluded: a process that sees only one of them cannot
//! distinguish them. Two invariants:
//!
//! 1. An instance that was stopped is up again only by an update that is newer than the stop.
//! 2. Once an agent has been received for a while, the list is that agent's list: nothing is
//!    frozen, and nothing is lost.

use maplefall_discovery_agent::*;
use maplefall_membership::Event;
use maplefall_policy::Millis;
use maplefall_protocol::{Health, Member, Members};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The time between two steps.
const STEP: Millis = 100.0;
/// The base of the first numbering. The second one begins far below.
const FIRST_NUMBERING: u64 = 1000;

/// An instance of a backend: its name and start.
type Instance = (String, u64);

/// A change of the true list, with its time.
#[derive(Clone, Debug)]
struct Change {
    at: Millis,
    member: Member,
}

fn address(agent: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8500 + agent as u16))
}

fn instance(member: &Member) -> Instance {
    (member.host.clone(), member.born_ms as u64)
}

/// Returns the true list after this many changes.
fn list_at(true_changes: &[Change], known: usize) -> BTreeMap<String, Member> {
    let mut list = BTreeMap::new();
    for Change { member, .. } in &true_changes[..known] {
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
    /// The number of changes that the agent has received.
    known: usize,
    /// The time up to which the agent has received all changes.
    knows_until: Millis,
    lag: Millis,
    /// The agent's version is this plus the number of changes that it has received.
    base: u64,
    /// The agent's history begins after this many changes.
    history_start: usize,
    is_unresponsive: bool,
}

impl Agent {
    fn version(&self) -> u64 {
        self.base + self.known as u64
    }

    fn response(&self, true_changes: &[Change], from: Option<u64>) -> Members {
        let known_from = from
            .filter(|from| (self.base + self.history_start as u64..=self.version()).contains(from));
        let hosts = match known_from {
            None => list_at(true_changes, self.known).into_values().collect(),
            Some(from) => {
                let changed = &true_changes[(from - self.base) as usize..self.known];
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

/// An open call.
#[derive(Debug)]
struct OpenCall {
    call: CallId,
    agent: usize,
    request: RequestKind,
    /// The number of changes that were sent on the call, once it was answered.
    sent: Option<usize>,
    last_line_at: Millis,
}

/// The observer's record of an instance.
#[derive(Clone, Copy, Debug)]
struct Observed {
    /// The time of the last stop that was sent.
    stopped_at: Millis,
    /// The time up to which the instance was sent as up.
    up_until: Millis,
}

impl Default for Observed {
    fn default() -> Observed {
        Observed {
            stopped_at: f64::NEG_INFINITY,
            up_until: f64::NEG_INFINITY,
        }
    }
}

struct Simulation {
    now: Millis,
    true_changes: Vec<Change>,
    agents: [Agent; 2],
    /// The agent that accepts calls; the other refuses connections.
    current_agent: usize,
    open_calls: Vec<OpenCall>,
    outputs: VecDeque<Output>,
    follower: Follower,
    endpoints: BTreeMap<String, Member>,
    observed: BTreeMap<Instance, Observed>,
    reports: Vec<String>,
}

impl Simulation {
    fn new(has_initial_list: bool) -> Simulation {
        let now = 1_000_000.0;
        let up = |host: &str| Change {
            at: 0.0,
            member: member(host, Health::Up, 0.0),
        };
        let true_changes: Vec<Change> = ["a", "b", "c"].map(up).to_vec();
        let agent = |history_start| Agent {
            known: 3,
            knows_until: now,
            lag: 0.0,
            base: FIRST_NUMBERING,
            history_start,
            is_unresponsive: false,
        };
        let agents = [agent(0), agent(3)];
        let initial_list = has_initial_list.then(|| agents[0].response(&true_changes, None));
        let mut simulation = Simulation {
            now,
            follower: Follower::new(
                Settings {
                    source: 0,
                    is_local: true,
                    drain_grace_period: 500.0,
                    process_count: 9,
                    seed: 7,
                    addresses: vec![address(0)],
                    initial_list: initial_list.clone(),
                },
                now,
            ),
            true_changes,
            agents,
            current_agent: 0,
            open_calls: Vec::new(),
            outputs: VecDeque::new(),
            endpoints: BTreeMap::new(),
            observed: BTreeMap::new(),
            reports: Vec::new(),
        };
        if let Some(list) = initial_list {
            simulation.observe(&list, 0, 3, now);
            simulation.endpoints = list
                .hosts
                .into_iter()
                .map(|member| (member.host.clone(), member))
                .collect();
        }
        simulation
    }

    /// Records an update sent by an agent that has received the first `known` changes, up to the
    /// time `until`.
    fn observe(&mut self, sent: &Members, from: usize, known: usize, until: Millis) {
        for change in &self.true_changes[from.min(known)..known] {
            // Each stop that is sent and still in force at the agent.
            let observed = self.observed.entry(instance(&change.member)).or_default();
            let named = sent
                .hosts
                .iter()
                .find(|m| instance(m) == instance(&change.member));
            if named.is_some_and(|named| {
                named.health != Health::Up && named.health == change.member.health
            }) {
                observed.stopped_at = observed.stopped_at.max(change.at);
            }
        }
        for member in sent
            .hosts
            .iter()
            .filter(|member| member.health == Health::Up)
        {
            let observed = self.observed.entry(instance(member)).or_default();
            observed.up_until = observed.up_until.max(until);
        }
    }

    fn apply_outputs(&mut self, out: Vec<Output>) {
        self.outputs.extend(out);
        while let Some(output) = self.outputs.pop_front() {
            match output {
                Output::OpenCall {
                    call,
                    address: to,
                    request,
                } => {
                    let agent = usize::from(to == address(1));
                    if agent == self.current_agent {
                        self.open_calls.push(OpenCall {
                            call,
                            agent,
                            request,
                            sent: None,
                            last_line_at: self.now,
                        });
                    } else {
                        let refused = CallEvent::Ended(CallEnd::ConnectionFailed("refused".into()));
                        let outputs = self.follower.handle_call_event(self.now, call, refused);
                        self.outputs.extend(outputs);
                    }
                }
                Output::CloseCall(call) => self.open_calls.retain(|open| open.call != call),
                Output::Report(report) => self.reports.push(report.to_string()),
                Output::Event(Event::Snapshot {
                    members,
                    unreadable,
                    ..
                }) => {
                    assert!(unreadable.is_empty());
                    self.endpoints.clear();
                    self.apply_members(members);
                }
                Output::Event(Event::Change { members, .. }) => self.apply_members(members),
                Output::Event(_) => {}
            }
        }
    }

    fn apply_members(&mut self, members: Members) {
        for member in members.hosts {
            if member.health == Health::Removed {
                self.endpoints.remove(&member.host);
            } else {
                self.endpoints.insert(member.host.clone(), member);
            }
        }
    }

    fn handle(&mut self, call: CallId, event: CallEvent) {
        let out = self.follower.handle_call_event(self.now, call, event);
        self.apply_outputs(out);
    }

    /// Lets the agents receive changes and send them.
    fn run_agents(&mut self) {
        for agent in &mut self.agents {
            agent.knows_until = agent.knows_until.max(self.now - agent.lag);
            let until = agent.knows_until;
            agent.known = agent.known.max(
                self.true_changes
                    .iter()
                    .take_while(|change| change.at <= until)
                    .count(),
            );
        }
        let mut index = 0;
        while index < self.open_calls.len() {
            let OpenCall {
                call,
                agent,
                request,
                sent,
                last_line_at,
            } = self.open_calls[index];
            let Agent {
                known,
                knows_until,
                is_unresponsive,
                base,
                ..
            } = self.agents[agent];
            index += 1;
            let has_update = sent.is_none_or(|sent| sent < known);
            if is_unresponsive || !(has_update || self.now - last_line_at >= HEARTBEAT) {
                continue;
            }
            self.open_calls[index - 1].last_line_at = self.now;
            self.open_calls[index - 1].sent = Some(known);
            let mut text = Vec::new();
            let from = match (sent, request) {
                (Some(sent), _) => Some(base + sent as u64),
                (None, RequestKind::Watch(from)) => Some(from),
                (None, RequestKind::CompleteList) => None,
            };
            if has_update {
                let members = self.agents[agent].response(&self.true_changes, from);
                // A complete list has all received changes, an incremental update those since
                // `from`.
                let since = if members.whole {
                    0
                } else {
                    from.map_or(0, |from| (from - base) as usize)
                };
                self.observe(&members, since, known, knows_until);
                text = serde_json::to_vec(&members).expect("members serialize");
            }
            // What the agent has sent before is still in force.
            let in_force = Members {
                seq: 0,
                whole: false,
                hosts: list_at(&self.true_changes, known).into_values().collect(),
            };
            if sent.is_some() {
                self.observe(&in_force, known, known, knows_until);
            }
            self.handle(call, CallEvent::Line(text));
            if request == RequestKind::CompleteList
                && self.open_calls.iter().any(|open| open.call == call)
            {
                self.open_calls.retain(|open| open.call != call);
                self.handle(call, CallEvent::Ended(CallEnd::Complete));
            }
            // Calls can have been opened and closed meanwhile.
            index = 0;
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while self.follower.next_due().is_some_and(|due| due <= self.now) {
            let out = self.follower.tick(self.now);
            self.apply_outputs(out);
        }
        self.run_agents();
    }

    /// Checks the first invariant.
    fn check(&self) -> Result<(), TestCaseError> {
        for member in self
            .endpoints
            .values()
            .filter(|member| member.health == Health::Up)
        {
            let observed = self
                .observed
                .get(&instance(member))
                .copied()
                .unwrap_or_default();
            prop_assert!(
                observed.up_until >= observed.stopped_at,
                "{member:?} is up at {}: {observed:?}; {:?}",
                self.now,
                self.reports
            );
        }
        Ok(())
    }
}

fn member(host: &str, health: Health, born_ms: f64) -> Member {
    let dial = address(0);
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
enum Action {
    /// A backend changes.
    Change(usize, u8),
    /// An agent lags by this much from now on.
    Lag(usize, u16),
    SetUnresponsive(usize, bool),
    /// The process is switched to the other agent.
    Switch,
    /// The open calls are reset.
    ResetCalls,
    /// Discovery restarts its numbering: both agents lose their history.
    RestartNumbering,
    Run(u8),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (0usize..4, any::<u8>()).prop_map(|(host, kind)| Action::Change(host, kind)),
        2 => (0usize..2, 0u16..5900).prop_map(|(agent, lag)| Action::Lag(agent, lag)),
        1 => (0usize..2, any::<bool>()).prop_map(|(agent, is_unresponsive)| Action::SetUnresponsive(agent, is_unresponsive)),
        1 => Just(Action::Switch),
        1 => Just(Action::ResetCalls),
        1 => Just(Action::RestartNumbering),
        6 => (1u8..40).prop_map(Action::Run),
    ]
}

impl Simulation {
    fn perform(&mut self, action: &Action) -> Result<(), TestCaseError> {
        match *action {
            Action::Change(host, kind) => {
                let host = ["a", "b", "c", "d"][host];
                let now = list_at(&self.true_changes, self.true_changes.len()).remove(host);
                let member = match (now, kind % 3) {
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
                self.true_changes.push(Change {
                    at: self.now,
                    member,
                });
            }
            Action::Lag(agent, lag) => self.agents[agent].lag = f64::from(lag),
            Action::SetUnresponsive(agent, is_unresponsive) => {
                self.agents[agent].is_unresponsive = is_unresponsive
            }
            Action::Switch => {
                self.current_agent = 1 - self.current_agent;
                let out = self.follower.move_to(self.now, address(self.current_agent));
                self.apply_outputs(out);
            }
            Action::ResetCalls => {
                for OpenCall { call, .. } in std::mem::take(&mut self.open_calls) {
                    self.handle(
                        call,
                        CallEvent::Ended(CallEnd::ConnectionFailed("reset".into())),
                    );
                }
            }
            Action::RestartNumbering => {
                for agent in self
                    .agents
                    .iter_mut()
                    .filter(|agent| agent.base == FIRST_NUMBERING)
                {
                    (agent.base, agent.history_start) = (1, agent.known);
                }
                return self.perform(&Action::ResetCalls);
            }
            Action::Run(steps) => {
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
    fn no_drain_is_revoked_by_an_older_update_and_no_list_is_frozen(
        has_initial_list in any::<bool>(), actions in proptest::collection::vec(action(), 0..60),
    ) {
        let mut simulation = Simulation::new(has_initial_list);
        for action in &actions {
            simulation.perform(action)?;
        }
        // From here on all agents send, and none lags.
        for agent in &mut simulation.agents {
            (agent.is_unresponsive, agent.lag) = (false, 0.0);
        }
        for _ in 0..150 {
            simulation.step();
            simulation.check()?;
        }
        let true_list = list_at(&simulation.true_changes, simulation.true_changes.len());
        prop_assert_eq!(&simulation.endpoints, &true_list, "{:?}", simulation.reports);
    }
}

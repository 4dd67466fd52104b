//! What will be played, drawn ahead from a scenario and a seed: the same seed gives the same script byte for byte.
//! Nothing here does I/O.

use crate::header_text::HeaderText;
use crate::scenario::{AuthTrouble, Range, Scenario, Sources, Strike, Teller, What};
use maplefall_event_trace as record;
use maplefall_event_trace::{Header, Millis, RateLimit, Rules};
use maplefall_test_servers::agent::Lapse;
use maplefall_test_servers::backend::USUAL_UNITS;
use maplefall_test_servers::client::Ask;
use maplefall_test_servers::etcd::Cut;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::fmt::Write;
use std::time::Duration;

/// Units that a request may count, each with its part of the requests.
const UNITS: [(f64, f64); 6] = [
    (1.0, 0.40),
    (2.0, 0.25),
    (3.0, 0.15),
    (4.0, 0.10),
    (6.0, 0.06),
    (8.0, 0.04),
];
/// Part of the customers that use nearly all of their quota, and of those that ask for a multiple of it.
const NEAR: f64 = 0.12;
const GREEDY: f64 = 0.06;
/// First number of the customers that ask once.
const ONE_SHOTS: u64 = 1 << 24;
/// First number of those whose credentials nobody has seen.
const STRANGERS: u64 = 1 << 28;
/// How long a neighbour is there, or away, at a time.
const NEIGHBOUR_MS: Range = [700.0, 2000.0];
/// Requests that a script holds at most.
pub const MOST_ASKS: usize = 400_000;

/// Something done to a front door's process.
#[derive(Clone, Debug, PartialEq)]
pub enum DoorAct {
    /// Killed, and started again after this.
    Kill(Millis),
    /// Told to stop, and started again this long after it has ended.
    Stop(Millis),
    /// Handed a configuration in which its agent has moved.
    Reload,
    /// From now on no counts pass between these, from and to; of all front doors, whichever is named.
    Cut(Vec<(usize, usize)>),
}

/// Something done to a node or by an agent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorldAct {
    /// Trouble at the node in a place.
    Strike {
        /// Which place.
        place: usize,
        /// What.
        strike: Strike,
        /// Part of the requests, or of the machine.
        share: f64,
        /// By how much answers are late.
        late_ms: Millis,
        /// For how long.
        for_ms: Millis,
    },
    /// The node in a place drains.
    Drain {
        /// Which place.
        place: usize,
        /// Whether it turns away what comes.
        turns_away: bool,
    },
    /// The node in a place ends.
    End(usize),
    /// A cold node moves into a place.
    Start {
        /// Which place.
        place: usize,
        /// The node's number.
        node: u32,
    },
    /// An agent hears of a node.
    Tell {
        /// Which front door's agent.
        door: usize,
        /// Where the node is.
        place: usize,
        /// Which node.
        node: u32,
        /// Its state.
        health: record::Health,
    },
    /// An agent falls silent, or speaks again.
    Silence {
        /// Which front door's agent.
        door: usize,
        /// Whether it is silent from now on.
        silent: bool,
    },
    /// An agent does this wrong from now on, or nothing.
    Lapse {
        /// Which front door's agent.
        door: usize,
        /// What.
        lapse: Option<Lapse>,
    },
    /// An agent's end of its open connections vanishes.
    Vanish {
        /// Which front door's agent.
        door: usize,
    },
    /// All agents break off their watches.
    BreakOff,
    /// All agents tell again what they know of every node.
    Repeat,
    /// A node's state changes for good: from here on sources may tell of it, etcd at once, agents later.
    Commit {
        /// Where the node is.
        place: usize,
        /// Which node.
        node: u32,
        /// Its state.
        health: record::Health,
    },
    /// A node's value is written to etcd anew, with nothing changed; which, the lot decides.
    Noise {
        /// The lot.
        lot: u32,
    },
    /// Something happens to a front door's member of etcd.
    Member {
        /// Which front door's.
        door: usize,
        /// What.
        act: MemberAct,
    },
    /// Etcd's history is compacted up to its last revision.
    Compact,
    /// A server of the authentication service fails, or no longer.
    Auth {
        /// Which.
        server: usize,
        /// How, at which part of the checks, and how late.
        trouble: Option<(AuthTrouble, f64, Millis)>,
    },
    /// A customer's credential is revoked.
    Revoke {
        /// Whose.
        customer: u64,
    },
}

/// Something that happens to a member of etcd.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberAct {
    /// The watch is cut the next time it comes to this point.
    Cut(Cut),
    /// It is gone, or back.
    Down(bool),
    /// It says nothing, or speaks again.
    Silent(bool),
}

/// A whole script. Times count from the moment at which the first request may come.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// What the record begins with.
    pub header: Header,
    /// How long requests come.
    pub length: Millis,
    /// Places that nodes live in.
    pub places: usize,
    /// First tries, in the order of their times.
    pub asks: Vec<Ask>,
    /// What is done to front doors.
    pub doors: Vec<(Millis, usize, DoorAct)>,
    /// What is done to nodes and by agents.
    pub world: Vec<(Millis, WorldAct)>,
    /// Customers that do not pass from the start on, where callers are checked.
    pub denied: Vec<u64>,
    /// When clients come that send what cannot be used.
    pub rude: Vec<Millis>,
    /// When failures begin and end, for the report.
    pub failures: Vec<(Millis, String, bool)>,
    /// How long the front goes on sending to a dead front door.
    pub notice_ms: Millis,
    /// How late the meter is.
    pub meter_delay_ms: Millis,
}

/// A source of chance with the few draws that scripts need.
struct Dice(Pcg32);

impl Dice {
    fn new(seed: u64, stream: u64) -> Dice {
        Dice(Pcg32::seed_from_u64(
            seed ^ stream.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        ))
    }

    fn one(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    fn within(&mut self, [least, most]: Range) -> f64 {
        least + (most - least) * self.one()
    }

    /// A wait of a Poisson process of so many a millisecond.
    fn wait(&mut self, per_ms: f64) -> Millis {
        -(1.0 - self.one()).ln() / per_ms
    }

    fn units(&mut self, most: f64) -> f64 {
        let mut left = self.one();
        for (units, share) in UNITS {
            if left < share {
                return units.min(most);
            }
            left -= share;
        }
        1.0
    }

    /// So many of `count`, each once, in a drawn order.
    fn pick(&mut self, count: usize, wanted: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..count).collect();
        for i in 0..wanted.min(count) {
            let other = i + (self.one() * (count - i) as f64) as usize;
            all.swap(i, other.min(count - 1));
        }
        all.truncate(wanted);
        all
    }

    /// Times from `from` to `to`, so far apart.
    fn times(&mut self, from: Millis, to: Millis, every: Range) -> Vec<Millis> {
        let mut times = Vec::new();
        let mut when = from;
        while when < to {
            times.push(when);
            when += self.within(every).max(1.0);
        }
        times
    }

    fn part(&mut self, count: usize, part: f64) -> Vec<usize> {
        self.pick(
            count,
            ((count as f64 * part).ceil() as usize).clamp(1, count),
        )
    }
}

/// Draws the script of a scenario.
pub fn draw(scenario: &Scenario, seed: u64) -> Script {
    let length = scenario.seconds * 1000.0;
    let mut dice = Dice::new(seed, 1);
    let mut script = Script {
        header: header(scenario, seed),
        length,
        places: scenario.nodes as usize,
        asks: Vec::new(),
        doors: Vec::new(),
        world: Vec::new(),
        denied: Vec::new(),
        rude: Vec::new(),
        failures: Vec::new(),
        notice_ms: dice.within(scenario.notice_ms),
        meter_delay_ms: dice.within([340.0, 1100.0]),
    };
    let customers = customers(scenario, seed);
    for customer in &customers {
        arrivals(&mut script, scenario, seed, customer, 1.0, [0.0, length], 0);
    }
    let usual_rate = script.asks.len() as f64 / length;
    if let Some(checks) = scenario
        .checks
        .as_ref()
        .filter(|checks| checks.denied > 0.0)
    {
        let picked = Dice::new(seed, 3).part(customers.len(), checks.denied);
        script.denied = picked.into_iter().map(|at| customers[at].number).collect();
    }
    let mut list = Told {
        seed,
        sources: scenario.sources,
        agent_ms: scenario.agent_ms,
        told: Vec::new(),
        last: Vec::new(),
        changes: 0,
    };
    let mut next_node = scenario.nodes;
    // Where the nodes live that the scenario began with or that came in their stead, and which they are.
    let mut homes: Vec<(usize, u32)> = (0..scenario.nodes)
        .map(|node| (node as usize, node))
        .collect();
    for (number, event) in scenario.events.iter().enumerate() {
        let mut dice = Dice::new(seed, 100 + number as u64);
        let at = dice.within(event.at_ms);
        let doors = scenario.doors as usize;
        let (name, end) = match &event.what {
            What::KillDoors { part, down_ms } => {
                let mut end = at;
                for door in dice.part(doors, *part) {
                    let down = dice.within(*down_ms);
                    script.doors.push((at, door, DoorAct::Kill(down)));
                    end = end.max(at + down);
                }
                ("front doors killed".to_owned(), end)
            }
            What::StopDoors { part, down_ms } => {
                let mut when = at;
                for door in dice.part(doors, *part) {
                    let down = dice.within(*down_ms);
                    script.doors.push((when, door, DoorAct::Stop(down)));
                    when += down + 1500.0;
                }
                ("planned restarts".to_owned(), when)
            }
            What::ReloadDoors => {
                (0..doors).for_each(|door| script.doors.push((at, door, DoorAct::Reload)));
                ("reload, agents move".to_owned(), at + 1500.0)
            }
            What::SplitDoors { for_ms } => {
                let length = dice.within(*for_ms);
                let half = dice.part(doors, 0.5);
                let pairs = |left: &[usize]| {
                    let apart = |door: usize| left.contains(&door);
                    let all = (0..doors).flat_map(|from| (0..doors).map(move |to| (from, to)));
                    all.filter(|(from, to)| apart(*from) != apart(*to))
                        .collect::<Vec<_>>()
                };
                script.doors.push((at, 0, DoorAct::Cut(pairs(&half))));
                script
                    .doors
                    .push((at + length, 0, DoorAct::Cut(Vec::new())));
                ("front doors in two halves".to_owned(), at + length)
            }
            What::SilentDoor { for_ms } => {
                let length = dice.within(*for_ms);
                let silent = dice.part(doors, 0.001);
                let others = (0..doors).filter(|door| !silent.contains(door));
                let pairs = others.flat_map(|other| {
                    silent
                        .iter()
                        .flat_map(move |one| [(*one, other), (other, *one)])
                });
                script.doors.push((at, 0, DoorAct::Cut(pairs.collect())));
                script
                    .doors
                    .push((at + length, 0, DoorAct::Cut(Vec::new())));
                ("a front door silent".to_owned(), at + length)
            }
            What::Strike {
                strike,
                part,
                share,
                late_ms,
                for_ms,
            } => {
                let length = dice.within(*for_ms);
                for place in dice.part(scenario.nodes as usize, *part) {
                    let share = dice.within(*share);
                    let late_ms = dice.within(*late_ms);
                    let (mut when, whole) = (at, *strike != Strike::Neighbour);
                    while when < at + length {
                        let for_ms = if whole {
                            length
                        } else {
                            dice.within(NEIGHBOUR_MS)
                        };
                        let for_ms = for_ms.min(at + length - when);
                        let act = WorldAct::Strike {
                            place,
                            strike: *strike,
                            share,
                            late_ms,
                            for_ms,
                        };
                        script.world.push((when, act));
                        when += for_ms
                            + if whole {
                                0.0
                            } else {
                                dice.within(NEIGHBOUR_MS)
                            };
                    }
                }
                (strike_name(*strike).to_owned(), at + length)
            }
            What::ReplaceNodes {
                part,
                every_ms,
                drain_ms,
                same_address,
                replaced,
                turns_away,
                rounds,
                told_by,
            } => {
                let (mut when, mut end) = (at, at);
                let chosen = dice.part(scenario.nodes as usize, *part);
                // One after the other, round after round; one that is still on its way out is waited for.
                let mut free = vec![at; scenario.nodes as usize];
                for home in (0..*rounds).flat_map(|_| chosen.iter().copied()) {
                    let (place, node) = homes[home];
                    when = when.max(free[home]);
                    let gone = when + dice.within(*drain_ms);
                    script.world.push((
                        when,
                        WorldAct::Drain {
                            place,
                            turns_away: *turns_away,
                        },
                    ));
                    list.tell(when, *told_by, doors, place, node, record::Health::Draining);
                    script.world.push((gone, WorldAct::End(place)));
                    list.tell(
                        gone,
                        Teller::All,
                        doors,
                        place,
                        node,
                        record::Health::Removed,
                    );
                    free[home] = f64::INFINITY;
                    if *replaced {
                        let fresh = if *same_address {
                            place
                        } else {
                            script.places += 1;
                            script.places - 1
                        };
                        let start = gone + 50.0;
                        script.world.push((
                            start,
                            WorldAct::Start {
                                place: fresh,
                                node: next_node,
                            },
                        ));
                        list.tell(
                            start,
                            Teller::All,
                            doors,
                            fresh,
                            next_node,
                            record::Health::Up,
                        );
                        homes[home] = (fresh, next_node);
                        free[home] = start + scenario.agent_ms[1];
                        next_node += 1;
                    }
                    end = gone;
                    when += dice.within(*every_ms);
                    if when >= length || !when.is_finite() {
                        break;
                    }
                }
                ("nodes replaced".to_owned(), end)
            }
            What::CrashNodes { part, down_ms } => {
                let mut end = at;
                for home in dice.part(scenario.nodes as usize, *part) {
                    let ((place, node), start) = (homes[home], at + dice.within(*down_ms));
                    script.world.push((at, WorldAct::End(place)));
                    list.tell(at, Teller::All, doors, place, node, record::Health::Removed);
                    script.world.push((start, WorldAct::Start { place, node }));
                    list.tell(start, Teller::All, doors, place, node, record::Health::Up);
                    end = end.max(start);
                }
                ("nodes crash".to_owned(), end)
            }
            What::SilentAgents { part, for_ms } => {
                let act = |door, silent| WorldAct::Silence { door, silent };
                let end = on_and_off(&mut script, &mut dice, at, *for_ms, (doors, *part), act);
                ("agents silent".to_owned(), end)
            }
            What::BehindAgents {
                part,
                behind_ms,
                for_ms,
            } => {
                let ago = Duration::from_secs_f64(dice.within(*behind_ms) / 1000.0);
                let act = |door, on| WorldAct::Lapse {
                    door,
                    lapse: Some(Lapse::Behind(ago)).filter(|_| on),
                };
                let end = on_and_off(&mut script, &mut dice, at, *for_ms, (doors, *part), act);
                ("agents behind".to_owned(), end)
            }
            What::HalfAgents { part, for_ms } => {
                let act = |door, on| WorldAct::Lapse {
                    door,
                    lapse: Some(Lapse::Half).filter(|_| on),
                };
                let end = on_and_off(&mut script, &mut dice, at, *for_ms, (doors, *part), act);
                ("lists break off".to_owned(), end)
            }
            What::SpoiltAgents { part, for_ms } => {
                let act = |door, on| WorldAct::Lapse {
                    door,
                    lapse: Some(Lapse::Spoilt).filter(|_| on),
                };
                let end = on_and_off(&mut script, &mut dice, at, *for_ms, (doors, *part), act);
                ("entries spoilt".to_owned(), end)
            }
            What::VanishedWatches { part } => {
                for door in dice.part(doors, *part) {
                    script.world.push((at, WorldAct::Vanish { door }));
                }
                ("watches vanish".to_owned(), at)
            }
            What::BrokenAgents => {
                script.world.push((at, WorldAct::BreakOff));
                ("watches broken off".to_owned(), at)
            }
            What::RepeatingAgents { every_ms, for_ms } => {
                let end = at + dice.within(*for_ms);
                for when in dice.times(at, end, *every_ms) {
                    script.world.push((when, WorldAct::Repeat));
                }
                ("agents repeat themselves".to_owned(), end)
            }
            What::EtcdCut { every_ms, for_ms } => {
                let end = at + dice.within(*for_ms);
                for door in 0..doors {
                    for when in dice.times(at, end, *every_ms) {
                        let cut = match (dice.one() * 4.0) as u32 {
                            0 => Cut::Between(0),
                            1 => Cut::Between(1),
                            2 => Cut::Within,
                            _ => Cut::BeforeCreated,
                        };
                        script.world.push((
                            when,
                            WorldAct::Member {
                                door,
                                act: MemberAct::Cut(cut),
                            },
                        ));
                    }
                }
                ("etcd's watches cut".to_owned(), end)
            }
            What::EtcdDown { part, for_ms } => {
                let act = |door, down| WorldAct::Member {
                    door,
                    act: MemberAct::Down(down),
                };
                let end = on_and_off(&mut script, &mut dice, at, *for_ms, (doors, *part), act);
                ("members of etcd gone".to_owned(), end)
            }
            What::EtcdSilent { part, for_ms } => {
                let act = |door, silent| WorldAct::Member {
                    door,
                    act: MemberAct::Silent(silent),
                };
                let end = on_and_off(&mut script, &mut dice, at, *for_ms, (doors, *part), act);
                ("members of etcd silent".to_owned(), end)
            }
            What::EtcdCompact { every_ms, for_ms } => {
                let end = at + dice.within(*for_ms);
                for when in dice.times(at, end, *every_ms) {
                    script.world.push((when, WorldAct::Compact));
                }
                ("etcd compacted".to_owned(), end)
            }
            What::EtcdNoise { rate, for_ms } => {
                let end = at + dice.within(*for_ms);
                let mut when = at;
                while when < end && script.world.len() < MOST_ASKS {
                    let lot = (dice.one() * 4_294_967_295.0) as u32;
                    script.world.push((when, WorldAct::Noise { lot }));
                    when += dice.wait(rate / 1000.0);
                }
                ("noise in etcd".to_owned(), end)
            }
            What::Flood {
                plan,
                customers: count,
                times,
                for_ms,
            } => {
                let end = at + dice.within(*for_ms);
                let of_plan: Vec<&Customer> = customers
                    .iter()
                    .filter(|c| scenario.plans[c.plan].name == *plan)
                    .collect();
                for pick in dice.pick(of_plan.len(), *count as usize) {
                    let customer = of_plan[pick];
                    let times = dice.within(*times) / customer.usage.max(0.01);
                    let stream = 10 + number as u64;
                    arrivals(
                        &mut script,
                        scenario,
                        seed,
                        customer,
                        times,
                        [at, end.min(length)],
                        stream,
                    );
                }
                (format!("flood past quota ({plan})"), end)
            }
            What::OneShots { share, for_ms } => {
                let end = at + dice.within(*for_ms);
                let rate = usual_rate * dice.within(*share);
                let mut when = at + dice.wait(rate.max(1e-9));
                while when < end.min(length) && script.asks.len() < MOST_ASKS {
                    let item = script.asks.len() as u64;
                    let doors = scenario.doors;
                    script.asks.push(Ask {
                        at: when,
                        item,
                        customer: ONE_SHOTS + item,
                        plan: 0,
                        class: class(scenario, dice.one()),
                        units: dice.units(scenario.most_units),
                        spread: (dice.within(scenario.spread) as u32).clamp(1, doors),
                        first: (dice.one() * f64::from(doors)) as u32,
                    });
                    when += dice.wait(rate);
                }
                ("one-shot clients".to_owned(), end)
            }
            What::AuthTrouble {
                trouble,
                part,
                share,
                late_ms,
                for_ms,
            } => {
                let end = at + dice.within(*for_ms);
                let servers = scenario
                    .checks
                    .as_ref()
                    .map_or(0, |checks| checks.servers as usize);
                for server in dice.part(servers, *part) {
                    let trouble = Some((*trouble, *share, dice.within(*late_ms)));
                    script.world.push((at, WorldAct::Auth { server, trouble }));
                    script.world.push((
                        end,
                        WorldAct::Auth {
                            server,
                            trouble: None,
                        },
                    ));
                }
                ("authentication fails".to_owned(), end)
            }
            What::Revoke { part } => {
                for at_place in dice.part(customers.len(), *part) {
                    let customer = customers[at_place].number;
                    if !script.denied.contains(&customer) {
                        script.world.push((at, WorldAct::Revoke { customer }));
                    }
                }
                ("credentials revoked".to_owned(), at)
            }
            What::Strangers { rate, for_ms } => {
                let end = at + dice.within(*for_ms);
                let mut when = at + dice.wait(rate / 1000.0);
                while when < end.min(length) && script.asks.len() < MOST_ASKS {
                    let (item, doors) = (script.asks.len() as u64, scenario.doors);
                    script.denied.push(STRANGERS + item);
                    script.asks.push(Ask {
                        at: when,
                        item,
                        customer: STRANGERS + item,
                        plan: 0,
                        class: class(scenario, dice.one()),
                        units: dice.units(scenario.most_units),
                        spread: (dice.within(scenario.spread) as u32).clamp(1, doors),
                        first: (dice.one() * f64::from(doors)) as u32,
                    });
                    when += dice.wait(rate / 1000.0);
                }
                ("credentials never seen".to_owned(), end)
            }
            What::Rude { rate, for_ms } => {
                let end = at + dice.within(*for_ms);
                let mut when = at;
                while when < end.min(length) {
                    script.rude.push(when);
                    when += dice.wait(rate / 1000.0);
                }
                ("bad clients".to_owned(), end)
            }
        };
        script.failures.push((at, name.clone(), true));
        script.failures.push((end.min(length), name, false));
    }
    script.world.append(&mut list.told);
    script.asks.sort_by(|a, b| a.at.total_cmp(&b.at));
    for (item, ask) in script.asks.iter_mut().enumerate() {
        ask.item = item as u64;
    }
    // Stable sorts: what falls on one moment stays in the order in which it was drawn.
    script.doors.sort_by(|a, b| a.0.total_cmp(&b.0));
    script.world.sort_by(|a, b| a.0.total_cmp(&b.0));
    script.rude.sort_by(f64::total_cmp);
    script.failures.sort_by(|a, b| a.0.total_cmp(&b.0));
    script
}

/// Something that a part of the front doors' surroundings is from `at` on, for a drawn time; tells until when.
fn on_and_off(
    script: &mut Script,
    dice: &mut Dice,
    at: Millis,
    for_ms: Range,
    (doors, part): (usize, f64),
    act: impl Fn(usize, bool) -> WorldAct,
) -> Millis {
    let end = at + dice.within(for_ms);
    for door in dice.part(doors, part) {
        script.world.push((at, act(door, true)));
        script.world.push((end, act(door, false)));
    }
    end
}

fn strike_name(strike: Strike) -> &'static str {
    match strike {
        Strike::Stall => "nodes stall",
        Strike::ResetBefore => "connections reset at once",
        Strike::ResetWithin => "connections reset within",
        Strike::ResetAfter => "connections reset after",
        Strike::Spoilt => "answers spoilt",
        Strike::Endless => "answers without end",
        Strike::FastErrors => "nodes fail fast",
        Strike::Late => "answers late",
        Strike::Refuse => "nodes refuse",
        Strike::Neighbour => "noisy neighbours",
    }
}

/// What agents are told of nodes: each change a drawn time late, and for one node in the order in which it happened; and
/// what is committed, at once.
struct Told {
    seed: u64,
    sources: Sources,
    agent_ms: Range,
    told: Vec<(Millis, WorldAct)>,
    last: Vec<(usize, u32, Millis)>,
    /// Changes so far.
    changes: usize,
}

impl Told {
    fn tell(
        &mut self,
        at: Millis,
        by: Teller,
        doors: usize,
        place: usize,
        node: u32,
        health: record::Health,
    ) {
        let mut dice = Dice::new(self.seed, 50_000 + (self.changes * doors) as u64);
        self.changes += 1;
        if self.sources == Sources::Agent || by != Teller::Agent {
            self.told.push((
                at,
                WorldAct::Commit {
                    place,
                    node,
                    health,
                },
            ));
        }
        if self.sources == Sources::Etcd || by == Teller::Etcd {
            return;
        }
        for door in 0..doors {
            let mut when = at + dice.within(self.agent_ms);
            match self
                .last
                .iter_mut()
                .find(|(d, n, _)| (*d, *n) == (door, node))
            {
                Some((_, _, last)) => {
                    when = when.max(*last + 1.0);
                    *last = when;
                }
                None => self.last.push((door, node, when)),
            }
            self.told.push((
                when,
                WorldAct::Tell {
                    door,
                    place,
                    node,
                    health,
                },
            ));
        }
    }
}

/// A customer and how much it asks for.
struct Customer {
    number: u64,
    plan: usize,
    usage: f64,
    spread: u32,
    first: u32,
}

fn customers(scenario: &Scenario, seed: u64) -> Vec<Customer> {
    let mut dice = Dice::new(seed, 2);
    let mut all = Vec::new();
    for (number, plan) in scenario.plans.iter().enumerate() {
        for _ in 0..plan.customers {
            let usage = match dice.one() {
                lot if lot < NEAR => 0.95,
                lot if lot < NEAR + GREEDY => dice.within([1.5, 4.0]),
                _ => dice.within(plan.usage),
            };
            all.push(Customer {
                number: all.len() as u64 + 1,
                plan: number,
                usage: usage * scenario.load,
                spread: (dice.within(scenario.spread).round() as u32).clamp(1, scenario.doors),
                first: (dice.one() * f64::from(scenario.doors)) as u32,
            });
        }
    }
    all
}

fn class(scenario: &Scenario, lot: f64) -> usize {
    let whole: f64 = scenario.classes.iter().map(|class| class.share).sum();
    let mut left = lot * whole;
    for (number, class) in scenario.classes.iter().enumerate() {
        if left < class.share {
            return number;
        }
        left -= class.share;
    }
    0
}

/// Adds a customer's requests at `times` what it usually asks for.
fn arrivals(
    script: &mut Script,
    scenario: &Scenario,
    seed: u64,
    customer: &Customer,
    times: f64,
    [from, to]: Range,
    stream: u64,
) {
    let mean: f64 = UNITS
        .iter()
        .map(|(units, share)| units.min(scenario.most_units) * share)
        .sum();
    let per_ms = scenario.plans[customer.plan].rate * customer.usage * times / mean / 1000.0;
    if per_ms <= 0.0 {
        return;
    }
    let mut dice = Dice::new(seed, 1_000_000 * (stream + 1) + customer.number);
    let mut when = from + dice.wait(per_ms);
    while when < to && script.asks.len() < MOST_ASKS {
        script.asks.push(Ask {
            at: when,
            item: 0,
            customer: customer.number,
            plan: customer.plan,
            class: class(scenario, dice.one()),
            units: dice.units(scenario.most_units),
            spread: customer.spread,
            first: customer.first,
        });
        when += dice.wait(per_ms);
    }
}

fn header(scenario: &Scenario, seed: u64) -> Header {
    let class = |class: &crate::scenario::Class| record::Class {
        name: class.name.clone(),
        effect: class.effect,
        dedup_window_ms: class.memory_ms,
        latency_target_ms: class.aim_ms,
        value: class.worth,
        late_value_factor: class.late_worth,
        auth_optional: scenario
            .checks
            .as_ref()
            .is_some_and(|checks| checks.open.contains(&class.name)),
    };
    let plan = |plan: &crate::scenario::Plan| record::Plan {
        name: plan.name.clone(),
        rate: plan.rate,
        burst: plan.burst,
        value_factor: plan.price,
        rate_limit: (plan.ceiling_rate > 0.0).then_some(RateLimit {
            rate: plan.ceiling_rate,
            burst: plan.ceiling_burst,
            slack: plan.ceiling_slack,
        }),
    };
    let most_work = scenario
        .classes
        .iter()
        .map(|class| class.work_ms[1])
        .fold(0.0, f64::max);
    Header {
        version: record::VERSION,
        scenario: scenario.name.clone(),
        seed,
        proxies: scenario.doors,
        classes: scenario.classes.iter().map(class).collect(),
        plans: scenario.plans.iter().map(plan).collect(),
        // Two of the largest requests may come by chance.
        rules: Rules {
            // A check that is out when the credential is revoked may bring its pass later, which is kept from then on.
            revocation_grace_ms: scenario
                .checks
                .as_ref()
                .map_or(0.0, |checks| checks.keep_ms + 2.0 * checks.limit_ms),
            sharing_delay_ms: scenario
                .sharing
                .as_ref()
                .map_or(0.0, |sharing| sharing.error_ms),
            ..Rules::platform(2.0 * scenario.most_units / USUAL_UNITS * most_work)
        },
    }
}

impl Script {
    /// The script as text: what `maplefall-rehearse script` prints, a line for each act.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // A string takes any text; the errors are those of a writer that can fail.
        let _ = writeln!(text, "{:?}", HeaderText(&self.header));
        let _ = writeln!(text, "length {:?} places {}", self.length, self.places);
        let _ = writeln!(
            text,
            "notice {:?} meter {:?}",
            self.notice_ms, self.meter_delay_ms
        );
        self.failures.iter().for_each(|line| {
            let _ = writeln!(text, "failure {line:?}");
        });
        self.doors.iter().for_each(|line| {
            let _ = writeln!(text, "door {line:?}");
        });
        self.world.iter().for_each(|line| {
            let _ = writeln!(text, "world {line:?}");
        });
        self.rude.iter().for_each(|line| {
            let _ = writeln!(text, "rude {line:?}");
        });
        self.asks.iter().for_each(|line| {
            let _ = writeln!(text, "ask {line:?}");
        });
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = "version = 1\ntitle = \"x\"\nseconds = 20\n[[event]]\nwhat = \"kill_doors\"\nat_ms = [4000, 6000]\n\
        [[event]]\nwhat = \"replace_nodes\"\nat_ms = 1000\n[[event]]\nwhat = \"flood\"\nplan = \"municipal\"\nat_ms = 5000\n\
        [[event]]\nwhat = \"one_shots\"\nat_ms = 2000\n[[event]]\nwhat = \"neighbour\"\nat_ms = 2000\n";

    #[test]
    fn the_same_seed_gives_the_same_script_and_another_another() {
        let scenario = Scenario::read("x", TEXT).unwrap();
        let texts: Vec<String> = [5, 5, 6].map(|seed| draw(&scenario, seed).to_text()).into();
        assert_eq!(texts[0], texts[1]);
        assert_ne!(texts[0], texts[2]);
    }

    #[test]
    fn a_node_is_told_in_the_order_of_what_happened_to_it() {
        let scenario = Scenario::read("x", TEXT).unwrap();
        for seed in 0..20 {
            let script = draw(&scenario, seed);
            let mut last: std::collections::BTreeMap<(usize, u32), Millis> = Default::default();
            for (at, act) in &script.world {
                if let WorldAct::Tell {
                    door, node, health, ..
                } = act
                {
                    let before = last.insert((*door, *node), *at);
                    assert!(before.is_none_or(|before| before < *at), "seed {seed}");
                    assert_eq!(
                        before.is_some(),
                        *health == record::Health::Removed,
                        "seed {seed}"
                    );
                }
            }
            assert!(script.asks.windows(2).all(|pair| pair[0].at <= pair[1].at));
            assert!(
                !script.doors.is_empty() && script.asks.iter().all(|ask| ask.at < script.length)
            );
        }
    }
}

//! Scripts: everything that a run does, drawn ahead from a scenario and a seed. The same seed gives
//! the same script byte for byte. This module does no I/O.

use crate::header_text::HeaderText;
use crate::scenario::{AuthFault, BackendFault, DrainSource, Range, Scenario, Sources, What};
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

/// Sizes of requests in units, each with its share of the requests.
const UNITS: [(f64, f64); 6] = [
    (1.0, 0.40),
    (2.0, 0.25),
    (3.0, 0.15),
    (4.0, 0.10),
    (6.0, 0.06),
    (8.0, 0.04),
];
/// Shares of the customers that use nearly all of their quota, and of those that exceed it.
const NEAR_QUOTA_SHARE: f64 = 0.12;
const OVER_QUOTA_SHARE: f64 = 0.06;
/// Number of the first one-shot customer.
const FIRST_ONE_SHOT_CUSTOMER: u64 = 1 << 24;
/// Number of the first customer with an unknown credential.
const FIRST_UNKNOWN_CUSTOMER: u64 = 1 << 28;
/// Length of each active and each idle phase of a noisy neighbour.
const NEIGHBOUR_MS: Range = [700.0, 2000.0];
/// Maximum number of requests in a script.
pub const MAX_REQUESTS: usize = 400_000;

/// An action on a gateway's process or on the network between gateways.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayAct {
    /// Kills the process and restarts it after this time.
    Kill(Millis),
    /// Terminates the process and restarts it this long after it has ended.
    Stop(Millis),
    /// Reloads a configuration in which the address of its agent has changed.
    Reload,
    /// Replaces the set of (from, to) pairs of gateways between which shared counts are dropped,
    /// whichever gateway the entry names.
    Cut(Vec<(usize, usize)>),
}

/// An action on a backend, an agent, etcd or the authentication service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EnvironmentAct {
    /// Adds a fault to the backend in a slot.
    Strike {
        /// Index of the backend's slot.
        place: usize,
        /// Kind of the fault.
        strike: BackendFault,
        /// Share of the requests, or of the machine's capacity for a noisy neighbour.
        share: f64,
        /// Added latency of responses.
        late_ms: Millis,
        /// Duration.
        for_ms: Millis,
    },
    /// Starts to drain the backend in a slot.
    Drain {
        /// Index of the backend's slot.
        place: usize,
        /// Whether the draining backend rejects requests.
        turns_away: bool,
    },
    /// Stops the backend in a slot.
    End(usize),
    /// Starts a cold backend in a slot.
    Start {
        /// Index of the backend's slot.
        place: usize,
        /// Number of the backend.
        node: u32,
    },
    /// Updates a backend in an agent's announcements.
    Tell {
        /// Index of the gateway whose agent it is.
        door: usize,
        /// Index of the backend's slot.
        place: usize,
        /// Number of the backend.
        node: u32,
        /// Its new state.
        health: record::Health,
    },
    /// Makes an agent stop sending, or resume.
    Silence {
        /// Index of the gateway whose agent it is.
        door: usize,
        /// Whether the agent sends nothing from now on.
        silent: bool,
    },
    /// Sets the fault of an agent, or clears it.
    Lapse {
        /// Index of the gateway whose agent it is.
        door: usize,
        /// The fault, if any.
        lapse: Option<Lapse>,
    },
    /// Makes an agent's end of its open connections vanish without a close.
    Vanish {
        /// Index of the gateway whose agent it is.
        door: usize,
    },
    /// Makes all agents break off their watches.
    BreakOff,
    /// Makes all agents repeat the state of every backend.
    Repeat,
    /// Commits a backend's state: from here on sources may report it, etcd at once, agents later.
    Commit {
        /// Index of the backend's slot.
        place: usize,
        /// Number of the backend.
        node: u32,
        /// Its new state.
        health: record::Health,
    },
    /// Rewrites one backend's value in etcd without a change of its state.
    Noise {
        /// Random number that selects the backend.
        lot: u32,
    },
    /// Acts on the etcd member that a gateway is connected to.
    Member {
        /// Index of the gateway.
        door: usize,
        /// The action.
        act: MemberAct,
    },
    /// Compacts etcd's history up to its last revision.
    Compact,
    /// Sets the fault of an authentication server, or clears it.
    Auth {
        /// Index of the server.
        server: usize,
        /// Kind, share of the checks that it affects, and added latency.
        trouble: Option<(AuthFault, f64, Millis)>,
    },
    /// Revokes a customer's credential.
    Revoke {
        /// Number of the customer.
        customer: u64,
    },
}

/// An action on an etcd member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberAct {
    /// Cuts the watch the next time it reaches this point.
    Cut(Cut),
    /// Takes the member down, or brings it back.
    Down(bool),
    /// Makes the member stop sending, or resume.
    Silent(bool),
}

/// A script. Times count from the earliest moment at which a request may be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Header of the record.
    pub header: Header,
    /// Time during which requests are sent.
    pub length: Millis,
    /// Number of backend slots.
    pub slots: usize,
    /// First attempts, in the order of their times.
    pub requests: Vec<Ask>,
    /// Actions on gateways, each with its time and the gateway's index.
    pub gateway_acts: Vec<(Millis, usize, GatewayAct)>,
    /// Actions on the systems around the gateways.
    pub environment_acts: Vec<(Millis, EnvironmentAct)>,
    /// Customers that authentication denies from the start, where callers are authenticated.
    pub denied: Vec<u64>,
    /// Times at which clients with malformed requests connect.
    pub malformed_clients: Vec<Millis>,
    /// Starts (`true`) and ends of failures, for the report.
    pub failures: Vec<(Millis, String, bool)>,
    /// How long the load balancer goes on sending to a dead gateway.
    pub notice_ms: Millis,
    /// Delay of the meter.
    pub meter_delay_ms: Millis,
}

/// A seeded random number generator with the draws that scripts need.
struct Random(Pcg32);

impl Random {
    fn new(seed: u64, stream: u64) -> Random {
        Random(Pcg32::seed_from_u64(
            seed ^ stream.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        ))
    }

    fn uniform(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    fn in_range(&mut self, [min, max]: Range) -> f64 {
        min + (max - min) * self.uniform()
    }

    /// Draws the time to the next event of a Poisson process with `per_ms` events a millisecond.
    fn poisson_gap(&mut self, per_ms: f64) -> Millis {
        -(1.0 - self.uniform()).ln() / per_ms
    }

    fn request_units(&mut self, max: f64) -> f64 {
        let mut left = self.uniform();
        for (units, share) in UNITS {
            if left < share {
                return units.min(max);
            }
            left -= share;
        }
        1.0
    }

    /// Draws `wanted` distinct indexes below `count`, in random order.
    fn sample(&mut self, count: usize, wanted: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..count).collect();
        for i in 0..wanted.min(count) {
            let other = i + (self.uniform() * (count - i) as f64) as usize;
            all.swap(i, other.min(count - 1));
        }
        all.truncate(wanted);
        all
    }

    /// Draws times from `from` to `to`, with gaps drawn from `every`.
    fn times(&mut self, from: Millis, to: Millis, every: Range) -> Vec<Millis> {
        let mut times = Vec::new();
        let mut when = from;
        while when < to {
            times.push(when);
            when += self.in_range(every).max(1.0);
        }
        times
    }

    fn sample_fraction(&mut self, count: usize, fraction: f64) -> Vec<usize> {
        self.sample(
            count,
            ((count as f64 * fraction).ceil() as usize).clamp(1, count),
        )
    }
}

/// Draws the script of a scenario.
pub fn draw(scenario: &Scenario, seed: u64) -> Script {
    let length = scenario.seconds * 1000.0;
    let mut random = Random::new(seed, 1);
    let mut script = Script {
        header: header(scenario, seed),
        length,
        slots: scenario.backends as usize,
        requests: Vec::new(),
        gateway_acts: Vec::new(),
        environment_acts: Vec::new(),
        denied: Vec::new(),
        malformed_clients: Vec::new(),
        failures: Vec::new(),
        notice_ms: random.in_range(scenario.notice_ms),
        meter_delay_ms: random.in_range([340.0, 1100.0]),
    };
    let customers = customers(scenario, seed);
    for customer in &customers {
        push_arrivals(&mut script, scenario, seed, customer, 1.0, [0.0, length], 0);
    }
    let base_rate = script.requests.len() as f64 / length;
    if let Some(checks) = scenario
        .checks
        .as_ref()
        .filter(|checks| checks.denied > 0.0)
    {
        let picked = Random::new(seed, 3).sample_fraction(customers.len(), checks.denied);
        script.denied = picked
            .into_iter()
            .map(|index| customers[index].number)
            .collect();
    }
    let mut announcements = Announcements {
        seed,
        sources: scenario.sources,
        agent_ms: scenario.agent_ms,
        acts: Vec::new(),
        last: Vec::new(),
        changes: 0,
    };
    let mut next_node = scenario.backends;
    // Slot and number of each initial backend, or of the one that has replaced it.
    let mut current: Vec<(usize, u32)> = (0..scenario.backends)
        .map(|node| (node as usize, node))
        .collect();
    for (number, event) in scenario.events.iter().enumerate() {
        let mut random = Random::new(seed, 100 + number as u64);
        let at = random.in_range(event.at_ms);
        let gateways = scenario.gateways as usize;
        let (name, end) = match &event.what {
            What::KillGateways { fraction, down_ms } => {
                let mut end = at;
                for gateway in random.sample_fraction(gateways, *fraction) {
                    let down = random.in_range(*down_ms);
                    script
                        .gateway_acts
                        .push((at, gateway, GatewayAct::Kill(down)));
                    end = end.max(at + down);
                }
                ("front doors killed".to_owned(), end)
            }
            What::StopGateways { fraction, down_ms } => {
                let mut when = at;
                for gateway in random.sample_fraction(gateways, *fraction) {
                    let down = random.in_range(*down_ms);
                    script
                        .gateway_acts
                        .push((when, gateway, GatewayAct::Stop(down)));
                    when += down + 1500.0;
                }
                ("planned restarts".to_owned(), when)
            }
            What::ReloadGateways => {
                (0..gateways).for_each(|gateway| {
                    script.gateway_acts.push((at, gateway, GatewayAct::Reload))
                });
                ("reload, agents move".to_owned(), at + 1500.0)
            }
            What::PartitionGateways { for_ms } => {
                let length = random.in_range(*for_ms);
                let half = random.sample_fraction(gateways, 0.5);
                let pairs = |left: &[usize]| {
                    let in_left = |gateway: usize| left.contains(&gateway);
                    let all =
                        (0..gateways).flat_map(|from| (0..gateways).map(move |to| (from, to)));
                    all.filter(|(from, to)| in_left(*from) != in_left(*to))
                        .collect::<Vec<_>>()
                };
                script
                    .gateway_acts
                    .push((at, 0, GatewayAct::Cut(pairs(&half))));
                script
                    .gateway_acts
                    .push((at + length, 0, GatewayAct::Cut(Vec::new())));
                ("front doors in two halves".to_owned(), at + length)
            }
            What::IsolateGateway { for_ms } => {
                let length = random.in_range(*for_ms);
                let isolated = random.sample_fraction(gateways, 0.001);
                let others = (0..gateways).filter(|gateway| !isolated.contains(gateway));
                let pairs = others.flat_map(|other| {
                    isolated
                        .iter()
                        .flat_map(move |one| [(*one, other), (other, *one)])
                });
                script
                    .gateway_acts
                    .push((at, 0, GatewayAct::Cut(pairs.collect())));
                script
                    .gateway_acts
                    .push((at + length, 0, GatewayAct::Cut(Vec::new())));
                ("a front door silent".to_owned(), at + length)
            }
            What::BackendFault {
                fault,
                fraction,
                share,
                late_ms,
                for_ms,
            } => {
                let length = random.in_range(*for_ms);
                for slot in random.sample_fraction(scenario.backends as usize, *fraction) {
                    let share = random.in_range(*share);
                    let late_ms = random.in_range(*late_ms);
                    let (mut when, continuous) = (at, *fault != BackendFault::Neighbour);
                    while when < at + length {
                        let for_ms = if continuous {
                            length
                        } else {
                            random.in_range(NEIGHBOUR_MS)
                        };
                        let for_ms = for_ms.min(at + length - when);
                        let act = EnvironmentAct::Strike {
                            place: slot,
                            strike: *fault,
                            share,
                            late_ms,
                            for_ms,
                        };
                        script.environment_acts.push((when, act));
                        when += for_ms
                            + if continuous {
                                0.0
                            } else {
                                random.in_range(NEIGHBOUR_MS)
                            };
                    }
                }
                (fault_name(*fault).to_owned(), at + length)
            }
            What::ReplaceBackends {
                fraction,
                every_ms,
                drain_ms,
                same_address,
                replaced,
                turns_away,
                rounds,
                announced_by,
            } => {
                let (mut when, mut end) = (at, at);
                let chosen = random.sample_fraction(scenario.backends as usize, *fraction);
                // One after the other, round after round. A backend whose replacement is not yet
                // complete delays the sequence.
                let mut available_from = vec![at; scenario.backends as usize];
                for index in (0..*rounds).flat_map(|_| chosen.iter().copied()) {
                    let (slot, node) = current[index];
                    when = when.max(available_from[index]);
                    let removed_at = when + random.in_range(*drain_ms);
                    script.environment_acts.push((
                        when,
                        EnvironmentAct::Drain {
                            place: slot,
                            turns_away: *turns_away,
                        },
                    ));
                    announcements.announce(
                        when,
                        *announced_by,
                        gateways,
                        slot,
                        node,
                        record::Health::Draining,
                    );
                    script
                        .environment_acts
                        .push((removed_at, EnvironmentAct::End(slot)));
                    announcements.announce(
                        removed_at,
                        DrainSource::All,
                        gateways,
                        slot,
                        node,
                        record::Health::Removed,
                    );
                    available_from[index] = f64::INFINITY;
                    if *replaced {
                        let new_slot = if *same_address {
                            slot
                        } else {
                            script.slots += 1;
                            script.slots - 1
                        };
                        let start = removed_at + 50.0;
                        script.environment_acts.push((
                            start,
                            EnvironmentAct::Start {
                                place: new_slot,
                                node: next_node,
                            },
                        ));
                        announcements.announce(
                            start,
                            DrainSource::All,
                            gateways,
                            new_slot,
                            next_node,
                            record::Health::Up,
                        );
                        current[index] = (new_slot, next_node);
                        available_from[index] = start + scenario.agent_ms[1];
                        next_node += 1;
                    }
                    end = removed_at;
                    when += random.in_range(*every_ms);
                    if when >= length || !when.is_finite() {
                        break;
                    }
                }
                ("nodes replaced".to_owned(), end)
            }
            What::CrashBackends { fraction, down_ms } => {
                let mut end = at;
                for index in random.sample_fraction(scenario.backends as usize, *fraction) {
                    let ((slot, node), start) = (current[index], at + random.in_range(*down_ms));
                    script
                        .environment_acts
                        .push((at, EnvironmentAct::End(slot)));
                    announcements.announce(
                        at,
                        DrainSource::All,
                        gateways,
                        slot,
                        node,
                        record::Health::Removed,
                    );
                    script
                        .environment_acts
                        .push((start, EnvironmentAct::Start { place: slot, node }));
                    announcements.announce(
                        start,
                        DrainSource::All,
                        gateways,
                        slot,
                        node,
                        record::Health::Up,
                    );
                    end = end.max(start);
                }
                ("nodes crash".to_owned(), end)
            }
            What::SilentAgents { fraction, for_ms } => {
                let act = |gateway, silent| EnvironmentAct::Silence {
                    door: gateway,
                    silent,
                };
                let end = push_on_and_off(
                    &mut script,
                    &mut random,
                    at,
                    *for_ms,
                    (gateways, *fraction),
                    act,
                );
                ("agents silent".to_owned(), end)
            }
            What::LaggingAgents {
                fraction,
                behind_ms,
                for_ms,
            } => {
                let ago = Duration::from_secs_f64(random.in_range(*behind_ms) / 1000.0);
                let act = |gateway, on| EnvironmentAct::Lapse {
                    door: gateway,
                    lapse: Some(Lapse::Behind(ago)).filter(|_| on),
                };
                let end = push_on_and_off(
                    &mut script,
                    &mut random,
                    at,
                    *for_ms,
                    (gateways, *fraction),
                    act,
                );
                ("agents behind".to_owned(), end)
            }
            What::TruncatingAgents { fraction, for_ms } => {
                let act = |gateway, on| EnvironmentAct::Lapse {
                    door: gateway,
                    lapse: Some(Lapse::Half).filter(|_| on),
                };
                let end = push_on_and_off(
                    &mut script,
                    &mut random,
                    at,
                    *for_ms,
                    (gateways, *fraction),
                    act,
                );
                ("lists break off".to_owned(), end)
            }
            What::CorruptAgents { fraction, for_ms } => {
                let act = |gateway, on| EnvironmentAct::Lapse {
                    door: gateway,
                    lapse: Some(Lapse::Spoilt).filter(|_| on),
                };
                let end = push_on_and_off(
                    &mut script,
                    &mut random,
                    at,
                    *for_ms,
                    (gateways, *fraction),
                    act,
                );
                ("entries spoilt".to_owned(), end)
            }
            What::VanishedWatches { fraction } => {
                for gateway in random.sample_fraction(gateways, *fraction) {
                    script
                        .environment_acts
                        .push((at, EnvironmentAct::Vanish { door: gateway }));
                }
                ("watches vanish".to_owned(), at)
            }
            What::DisconnectingAgents => {
                script.environment_acts.push((at, EnvironmentAct::BreakOff));
                ("watches broken off".to_owned(), at)
            }
            What::RepeatingAgents { every_ms, for_ms } => {
                let end = at + random.in_range(*for_ms);
                for when in random.times(at, end, *every_ms) {
                    script.environment_acts.push((when, EnvironmentAct::Repeat));
                }
                ("agents repeat themselves".to_owned(), end)
            }
            What::EtcdWatchesCut { every_ms, for_ms } => {
                let end = at + random.in_range(*for_ms);
                for gateway in 0..gateways {
                    for when in random.times(at, end, *every_ms) {
                        let cut = match (random.uniform() * 4.0) as u32 {
                            0 => Cut::Between(0),
                            1 => Cut::Between(1),
                            2 => Cut::Within,
                            _ => Cut::BeforeCreated,
                        };
                        script.environment_acts.push((
                            when,
                            EnvironmentAct::Member {
                                door: gateway,
                                act: MemberAct::Cut(cut),
                            },
                        ));
                    }
                }
                ("etcd's watches cut".to_owned(), end)
            }
            What::EtcdDown { fraction, for_ms } => {
                let act = |gateway, down| EnvironmentAct::Member {
                    door: gateway,
                    act: MemberAct::Down(down),
                };
                let end = push_on_and_off(
                    &mut script,
                    &mut random,
                    at,
                    *for_ms,
                    (gateways, *fraction),
                    act,
                );
                ("members of etcd gone".to_owned(), end)
            }
            What::EtcdSilent { fraction, for_ms } => {
                let act = |gateway, silent| EnvironmentAct::Member {
                    door: gateway,
                    act: MemberAct::Silent(silent),
                };
                let end = push_on_and_off(
                    &mut script,
                    &mut random,
                    at,
                    *for_ms,
                    (gateways, *fraction),
                    act,
                );
                ("members of etcd silent".to_owned(), end)
            }
            What::EtcdCompact { every_ms, for_ms } => {
                let end = at + random.in_range(*for_ms);
                for when in random.times(at, end, *every_ms) {
                    script
                        .environment_acts
                        .push((when, EnvironmentAct::Compact));
                }
                ("etcd compacted".to_owned(), end)
            }
            What::EtcdNoise { rate, for_ms } => {
                let end = at + random.in_range(*for_ms);
                let mut when = at;
                while when < end && script.environment_acts.len() < MAX_REQUESTS {
                    let draw = (random.uniform() * 4_294_967_295.0) as u32;
                    script
                        .environment_acts
                        .push((when, EnvironmentAct::Noise { lot: draw }));
                    when += random.poisson_gap(rate / 1000.0);
                }
                ("noise in etcd".to_owned(), end)
            }
            What::Flood {
                plan,
                customers: count,
                times,
                for_ms,
            } => {
                let end = at + random.in_range(*for_ms);
                let plan_customers: Vec<&Customer> = customers
                    .iter()
                    .filter(|c| scenario.plans[c.plan].name == *plan)
                    .collect();
                for index in random.sample(plan_customers.len(), *count as usize) {
                    let customer = plan_customers[index];
                    let times = random.in_range(*times) / customer.usage.max(0.01);
                    let stream = 10 + number as u64;
                    push_arrivals(
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
                let end = at + random.in_range(*for_ms);
                let rate = base_rate * random.in_range(*share);
                let mut when = at + random.poisson_gap(rate.max(1e-9));
                while when < end.min(length) && script.requests.len() < MAX_REQUESTS {
                    let item = script.requests.len() as u64;
                    let gateways = scenario.gateways;
                    script.requests.push(Ask {
                        at: when,
                        item,
                        customer: FIRST_ONE_SHOT_CUSTOMER + item,
                        plan: 0,
                        class: draw_class(scenario, random.uniform()),
                        units: random.request_units(scenario.max_units),
                        spread: (random.in_range(scenario.spread) as u32).clamp(1, gateways),
                        first: (random.uniform() * f64::from(gateways)) as u32,
                    });
                    when += random.poisson_gap(rate);
                }
                ("one-shot clients".to_owned(), end)
            }
            What::AuthFault {
                fault,
                fraction,
                share,
                late_ms,
                for_ms,
            } => {
                let end = at + random.in_range(*for_ms);
                let servers = scenario
                    .checks
                    .as_ref()
                    .map_or(0, |checks| checks.servers as usize);
                for server in random.sample_fraction(servers, *fraction) {
                    let fault = Some((*fault, *share, random.in_range(*late_ms)));
                    script.environment_acts.push((
                        at,
                        EnvironmentAct::Auth {
                            server,
                            trouble: fault,
                        },
                    ));
                    script.environment_acts.push((
                        end,
                        EnvironmentAct::Auth {
                            server,
                            trouble: None,
                        },
                    ));
                }
                ("authentication fails".to_owned(), end)
            }
            What::Revoke { fraction } => {
                for index in random.sample_fraction(customers.len(), *fraction) {
                    let customer = customers[index].number;
                    if !script.denied.contains(&customer) {
                        script
                            .environment_acts
                            .push((at, EnvironmentAct::Revoke { customer }));
                    }
                }
                ("credentials revoked".to_owned(), at)
            }
            What::UnknownCredentials { rate, for_ms } => {
                let end = at + random.in_range(*for_ms);
                let mut when = at + random.poisson_gap(rate / 1000.0);
                while when < end.min(length) && script.requests.len() < MAX_REQUESTS {
                    let (item, gateways) = (script.requests.len() as u64, scenario.gateways);
                    script.denied.push(FIRST_UNKNOWN_CUSTOMER + item);
                    script.requests.push(Ask {
                        at: when,
                        item,
                        customer: FIRST_UNKNOWN_CUSTOMER + item,
                        plan: 0,
                        class: draw_class(scenario, random.uniform()),
                        units: random.request_units(scenario.max_units),
                        spread: (random.in_range(scenario.spread) as u32).clamp(1, gateways),
                        first: (random.uniform() * f64::from(gateways)) as u32,
                    });
                    when += random.poisson_gap(rate / 1000.0);
                }
                ("credentials never seen".to_owned(), end)
            }
            What::MalformedClients { rate, for_ms } => {
                let end = at + random.in_range(*for_ms);
                let mut when = at;
                while when < end.min(length) {
                    script.malformed_clients.push(when);
                    when += random.poisson_gap(rate / 1000.0);
                }
                ("bad clients".to_owned(), end)
            }
        };
        script.failures.push((at, name.clone(), true));
        script.failures.push((end.min(length), name, false));
    }
    script.environment_acts.append(&mut announcements.acts);
    script.requests.sort_by(|a, b| a.at.total_cmp(&b.at));
    for (item, request) in script.requests.iter_mut().enumerate() {
        request.item = item as u64;
    }
    // Stable sorts: entries of the same time keep the order in which they were drawn.
    script.gateway_acts.sort_by(|a, b| a.0.total_cmp(&b.0));
    script.environment_acts.sort_by(|a, b| a.0.total_cmp(&b.0));
    script.malformed_clients.sort_by(f64::total_cmp);
    script.failures.sort_by(|a, b| a.0.total_cmp(&b.0));
    script
}

/// Switches an act on at `at` and off after a drawn time, for a fraction of the gateways. Returns
/// the time at which it ends.
fn push_on_and_off(
    script: &mut Script,
    random: &mut Random,
    at: Millis,
    for_ms: Range,
    (gateways, fraction): (usize, f64),
    act: impl Fn(usize, bool) -> EnvironmentAct,
) -> Millis {
    let end = at + random.in_range(for_ms);
    for gateway in random.sample_fraction(gateways, fraction) {
        script.environment_acts.push((at, act(gateway, true)));
        script.environment_acts.push((end, act(gateway, false)));
    }
    end
}

fn fault_name(fault: BackendFault) -> &'static str {
    match fault {
        BackendFault::Stall => "nodes stall",
        BackendFault::ResetBefore => "connections reset at once",
        BackendFault::ResetWithin => "connections reset within",
        BackendFault::ResetAfter => "connections reset after",
        BackendFault::Spoilt => "answers spoilt",
        BackendFault::Endless => "answers without end",
        BackendFault::FastErrors => "nodes fail fast",
        BackendFault::Late => "answers late",
        BackendFault::Refuse => "nodes refuse",
        BackendFault::Neighbour => "noisy neighbours",
    }
}

/// The updates of backends: each is committed at once, and reaches each agent after a drawn delay;
/// an agent gets the updates of one backend in order.
struct Announcements {
    seed: u64,
    sources: Sources,
    agent_ms: Range,
    acts: Vec<(Millis, EnvironmentAct)>,
    last: Vec<(usize, u32, Millis)>,
    /// Number of changes so far.
    changes: usize,
}

impl Announcements {
    fn announce(
        &mut self,
        at: Millis,
        source: DrainSource,
        gateways: usize,
        slot: usize,
        node: u32,
        health: record::Health,
    ) {
        let mut random = Random::new(self.seed, 50_000 + (self.changes * gateways) as u64);
        self.changes += 1;
        if self.sources == Sources::Agent || source != DrainSource::Agent {
            self.acts.push((
                at,
                EnvironmentAct::Commit {
                    place: slot,
                    node,
                    health,
                },
            ));
        }
        if self.sources == Sources::Etcd || source == DrainSource::Etcd {
            return;
        }
        for gateway in 0..gateways {
            let mut when = at + random.in_range(self.agent_ms);
            match self
                .last
                .iter_mut()
                .find(|(known, number, _)| (*known, *number) == (gateway, node))
            {
                Some((_, _, last)) => {
                    when = when.max(*last + 1.0);
                    *last = when;
                }
                None => self.last.push((gateway, node, when)),
            }
            self.acts.push((
                when,
                EnvironmentAct::Tell {
                    door: gateway,
                    place: slot,
                    node,
                    health,
                },
            ));
        }
    }
}

/// A customer and its request rate relative to its quota.
struct Customer {
    number: u64,
    plan: usize,
    usage: f64,
    spread: u32,
    first: u32,
}

fn customers(scenario: &Scenario, seed: u64) -> Vec<Customer> {
    let mut random = Random::new(seed, 2);
    let mut all = Vec::new();
    for (number, plan) in scenario.plans.iter().enumerate() {
        for _ in 0..plan.customers {
            let usage = match random.uniform() {
                draw if draw < NEAR_QUOTA_SHARE => 0.95,
                draw if draw < NEAR_QUOTA_SHARE + OVER_QUOTA_SHARE => random.in_range([1.5, 4.0]),
                _ => random.in_range(plan.usage),
            };
            all.push(Customer {
                number: all.len() as u64 + 1,
                plan: number,
                usage: usage * scenario.load,
                spread: (random.in_range(scenario.spread).round() as u32)
                    .clamp(1, scenario.gateways),
                first: (random.uniform() * f64::from(scenario.gateways)) as u32,
            });
        }
    }
    all
}

fn draw_class(scenario: &Scenario, draw: f64) -> usize {
    let total_share: f64 = scenario.classes.iter().map(|class| class.share).sum();
    let mut left = draw * total_share;
    for (number, class) in scenario.classes.iter().enumerate() {
        if left < class.share {
            return number;
        }
        left -= class.share;
    }
    0
}

/// Adds a customer's requests at `times` its usual rate.
fn push_arrivals(
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
        .map(|(units, share)| units.min(scenario.max_units) * share)
        .sum();
    let per_ms = scenario.plans[customer.plan].rate * customer.usage * times / mean / 1000.0;
    if per_ms <= 0.0 {
        return;
    }
    let mut random = Random::new(seed, 1_000_000 * (stream + 1) + customer.number);
    let mut when = from + random.poisson_gap(per_ms);
    while when < to && script.requests.len() < MAX_REQUESTS {
        script.requests.push(Ask {
            at: when,
            item: 0,
            customer: customer.number,
            plan: customer.plan,
            class: draw_class(scenario, random.uniform()),
            units: random.request_units(scenario.max_units),
            spread: customer.spread,
            first: customer.first,
        });
        when += random.poisson_gap(per_ms);
    }
}

fn header(scenario: &Scenario, seed: u64) -> Header {
    let class = |class: &crate::scenario::Class| record::Class {
        name: class.name.clone(),
        effect: class.effect,
        dedup_window_ms: class.memory_ms,
        latency_target_ms: class.latency_target_ms,
        value: class.value,
        late_value_factor: class.late_value_factor,
        auth_optional: scenario
            .checks
            .as_ref()
            .is_some_and(|checks| checks.auth_optional_classes.contains(&class.name)),
    };
    let plan = |plan: &crate::scenario::Plan| record::Plan {
        name: plan.name.clone(),
        rate: plan.rate,
        burst: plan.burst,
        value_factor: plan.price,
        rate_limit: (plan.rate_limit_rate > 0.0).then_some(RateLimit {
            rate: plan.rate_limit_rate,
            burst: plan.rate_limit_burst,
            slack: plan.rate_limit_slack,
        }),
    };
    let max_work_ms = scenario
        .classes
        .iter()
        .map(|class| class.work_ms[1])
        .fold(0.0, f64::max);
    Header {
        version: record::VERSION,
        scenario: scenario.name.clone(),
        seed,
        proxies: scenario.gateways,
        classes: scenario.classes.iter().map(class).collect(),
        plans: scenario.plans.iter().map(plan).collect(),
        // Two of the largest requests may arrive together by chance.
        rules: Rules {
            // A check in flight when the credential is revoked may still return a pass, which is
            // cached from then on.
            revocation_grace_ms: scenario
                .checks
                .as_ref()
                .map_or(0.0, |checks| checks.keep_ms + 2.0 * checks.limit_ms),
            sharing_delay_ms: scenario
                .sharing
                .as_ref()
                .map_or(0.0, |sharing| sharing.error_ms),
            ..Rules::platform(2.0 * scenario.max_units / USUAL_UNITS * max_work_ms)
        },
    }
}

impl Script {
    /// Formats the script as `maplefall-rehearse script` prints it, one line for each entry.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = writeln!(text, "{:?}", HeaderText(&self.header));
        let _ = writeln!(text, "length {:?} places {}", self.length, self.slots);
        let _ = writeln!(
            text,
            "notice {:?} meter {:?}",
            self.notice_ms, self.meter_delay_ms
        );
        self.failures.iter().for_each(|entry| {
            let _ = writeln!(text, "failure {entry:?}");
        });
        self.gateway_acts.iter().for_each(|entry| {
            let _ = writeln!(text, "door {entry:?}");
        });
        self.environment_acts.iter().for_each(|entry| {
            let _ = writeln!(text, "world {entry:?}");
        });
        self.malformed_clients.iter().for_each(|entry| {
            let _ = writeln!(text, "rude {entry:?}");
        });
        self.requests.iter().for_each(|entry| {
            let _ = writeln!(text, "ask {entry:?}");
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
    fn equal_seeds_give_equal_scripts_and_different_seeds_different_ones() {
        let scenario = Scenario::read("x", TEXT).unwrap();
        let texts: Vec<String> = [5, 5, 6].map(|seed| draw(&scenario, seed).to_text()).into();
        assert_eq!(texts[0], texts[1]);
        assert_ne!(texts[0], texts[2]);
    }

    #[test]
    fn agents_get_the_updates_of_a_backend_in_order() {
        let scenario = Scenario::read("x", TEXT).unwrap();
        for seed in 0..20 {
            let script = draw(&scenario, seed);
            let mut last: std::collections::BTreeMap<(usize, u32), Millis> = Default::default();
            for (at, act) in &script.environment_acts {
                if let EnvironmentAct::Tell {
                    door: gateway,
                    node,
                    health,
                    ..
                } = act
                {
                    let before = last.insert((*gateway, *node), *at);
                    assert!(before.is_none_or(|before| before < *at), "seed {seed}");
                    assert_eq!(
                        before.is_some(),
                        *health == record::Health::Removed,
                        "seed {seed}"
                    );
                }
            }
            assert!(script
                .requests
                .windows(2)
                .all(|pair| pair[0].at <= pair[1].at));
            assert!(
                !script.gateway_acts.is_empty()
                    && script
                        .requests
                        .iter()
                        .all(|request| request.at < script.length)
            );
        }
    }
}

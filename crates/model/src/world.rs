//! What is played, as data: a TOML file, and every mistake in it with its field. Times are milliseconds where a name ends in
//! `_ms`, seconds where it ends in `_s`.

use maplefall_policy::Effect;
use serde::{Deserialize, Serialize};

/// Requests that a run may draw at most: what a world needs of memory and time follows from it.
const MAX_REQUESTS: f64 = 50e6;
/// Bytes that a world may need at most.
const MAX_BYTES: f64 = 8e9;

/// How a backend is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LoadBalancer {
    /// By the project's decision module, admission too.
    Module,
    /// By who sees the true state of all backends and quotas: what is within reach.
    Oracle,
    /// By chance.
    Random,
    /// In turn.
    RoundRobin,
    /// The one with the fewest of the proxy's own attempts out.
    #[serde(rename = "least-out")]
    LeastOutstanding,
    /// The better of two by chance (Mitzenmacher).
    TwoChoices,
    /// The better of two among so many (a fixed aperture).
    Aperture(usize),
}

/// What is admitted, where a plain policy decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admission {
    /// All.
    None,
    /// Each proxy its even share of a quota.
    #[serde(rename = "even")]
    EvenShare,
    /// Each proxy a whole quota.
    #[serde(rename = "whole")]
    FullQuota,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Part of the requests.
    pub share: f64,
    /// Mean work of a request of the usual size.
    pub work_ms: f64,
    /// Coefficient of variation of the work; 1 is drawn exponentially, 0 not at all.
    pub cv: f64,
    /// An answer within this earns its value.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: f64,
    /// How long a client waits.
    #[serde(rename = "give_up_ms")]
    pub client_timeout_ms: f64,
    /// Value of a unit.
    #[serde(rename = "worth")]
    pub value: f64,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: String,
}

/// A plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanSpec {
    /// Part of the customers.
    pub share: f64,
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
    /// Factor on the value.
    pub price: f64,
    /// Attempts out at once that the quota covers; 0 for no such quota.
    #[serde(default)]
    pub max_open: u32,
    /// A hard ceiling at so many times rate and burst; 0 for none. Its slack is a tenth of its burst, a largest request at least.
    #[serde(default)]
    pub ceiling: f64,
}

/// What a group of customers asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemandSpec {
    /// Part of the customers.
    pub share: f64,
    /// Asked for on average, as a part of the quota's rate: drawn for each customer.
    #[serde(rename = "part")]
    pub fraction: [f64; 2],
    /// Now and then so many times the rate on top; 0 for never.
    #[serde(default)]
    pub spike: f64,
    /// For how long, and from one spike to the next.
    #[serde(default)]
    pub spike_s: f64,
    /// See above.
    #[serde(default)]
    pub every_s: f64,
}

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// Proxies are killed and come back with their last list, each after a time drawn from the range.
    #[serde(rename = "restart-doors")]
    RestartProxies {
        /// When.
        at_s: f64,
        /// Part of them.
        #[serde(rename = "part")]
        fraction: f64,
        /// How long each is down.
        down_ms: [f64; 2],
    },
    /// Backends drain, go and are replaced by new ones, which warm up.
    ReplaceBackends {
        /// When.
        at_s: f64,
        /// Part of them.
        #[serde(rename = "part")]
        fraction: f64,
        /// Over which time their drains begin.
        over_s: f64,
        /// From drain to end.
        drain_ms: f64,
    },
    /// Backends get slow for a while.
    SlowBackends {
        /// When.
        at_s: f64,
        /// Part of them.
        #[serde(rename = "part")]
        fraction: f64,
        /// Speed that is left.
        speed: f64,
        /// For how long.
        for_s: f64,
    },
    /// Some customers ask for a multiple of their quota on top of what they ask.
    Flood {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// How many.
        customers: usize,
        /// The multiple.
        times: f64,
        /// Through so many proxies of each one's set; 0 for all of them.
        #[serde(default)]
        through: usize,
    },
    /// Customers that ask once and are not seen again.
    OneShots {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// As a part of the usual requests.
        share: f64,
    },
    /// Proxies and backends that do not reach each other: new connections time out, kept ones go silent.
    Partition {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// Part of the proxies, part of the backends.
        #[serde(rename = "doors")]
        proxies: f64,
        /// See above.
        backends: f64,
    },
    /// The backends of a zone die and start again and warm up.
    LoseZone {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// Which, from 0.
        zone: usize,
    },
    /// Proxies are stopped one after another, as a release does: each takes nothing new, ends what it has, goes, and comes back with
    /// its last list.
    #[serde(rename = "roll-doors")]
    RollProxies {
        /// When.
        at_s: f64,
        /// Over which time.
        over_s: f64,
        /// How long each goes on with what it has.
        stop_ms: f64,
        /// How long each is down.
        down_ms: [f64; 2],
    },
    /// Discovery moves: each proxy's agent answers elsewhere, the old one closes a while later. Only where proxies have agents.
    MoveAgents {
        /// When.
        at_s: f64,
        /// Over which time proxies are notified.
        over_s: f64,
        /// From the telling to the close of the old place.
        close_ms: f64,
        /// By how much the new agents are behind the truth, beside the usual lateness.
        #[serde(rename = "behind_ms")]
        lag_ms: [f64; 2],
    },
    /// Agents fall silent. Only where proxies have agents.
    SilenceAgents {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// Part of them.
        #[serde(rename = "part")]
        fraction: f64,
        /// Whether open watches stay silent for good, as those of a machine that has vanished, and calls that are made meanwhile.
        #[serde(default)]
        dead: bool,
    },
}

impl Fault {
    /// When it begins.
    pub fn at_s(&self) -> f64 {
        match self {
            Fault::RestartProxies { at_s, .. }
            | Fault::ReplaceBackends { at_s, .. }
            | Fault::SlowBackends { at_s, .. }
            | Fault::Flood { at_s, .. }
            | Fault::OneShots { at_s, .. }
            | Fault::Partition { at_s, .. }
            | Fault::LoseZone { at_s, .. }
            | Fault::RollProxies { at_s, .. }
            | Fault::MoveAgents { at_s, .. }
            | Fault::SilenceAgents { at_s, .. } => *at_s,
        }
    }
}

/// A world.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct World {
    /// Its name.
    pub name: String,
    /// Simulated time.
    pub seconds: f64,
    /// Proxies.
    #[serde(rename = "doors")]
    pub proxies: usize,
    /// Backends.
    pub backends: usize,
    /// Cores of each, requests that may wait there.
    pub cores: usize,
    /// See above.
    pub queue: usize,
    /// Cold start: part of the capacity at first, time until warm.
    #[serde(rename = "cold_from")]
    pub initial_capacity: f64,
    /// See above.
    #[serde(rename = "cold_ms")]
    pub warm_up_ms: f64,
    /// Coefficient of variation of backends' speeds.
    pub speed_cv: f64,
    /// Multiple of its present capacity, and for how long, by which a backend that warms up fails.
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// See above.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: f64,
    /// One way between a proxy and a backend, or a client.
    pub delay_ms: [f64; 2],
    /// Time that a new connection takes, and work that it costs the backend.
    pub handshake_ms: f64,
    /// See above.
    /// After how long without use a connection is closed.
    pub idle_ms: f64,
    /// How late proxies hear of changes of the list.
    #[serde(rename = "notice_ms")]
    pub discovery_delay_ms: [f64; 2],
    /// Grace after a drain was announced.
    pub drain_grace_ms: f64,
    /// Customers, and the exponent of their sizes by rank (Zipf).
    pub customers: usize,
    /// See above.
    pub zipf: f64,
    /// Part of what all backends can do that is asked for.
    pub load: f64,
    /// Proxies that a customer's requests come through; 0 for all.
    pub spread: usize,
    /// Part of a customer's requests that come through the busiest proxy of its set; the rest come evenly. 0 for all evenly.
    pub uneven: f64,
    /// After how long another proxy of the set is the busiest, drawn anew for each customer; 0 for never.
    pub shift_s: [f64; 2],
    /// Part of the retries that come to the same proxy, as connections are kept.
    pub sticky: f64,
    /// Part of the clients that follow a time to come back.
    pub honour: f64,
    /// Zones, over which proxies and backends are dealt in turn; what a way between two zones takes longer, one way; and the
    /// price of such an attempt, as a part of the whole value.
    pub zones: usize,
    /// See above.
    #[serde(rename = "cross_ms")]
    pub cross_zone_ms: [f64; 2],
    /// See above.
    #[serde(rename = "cross_price")]
    pub cross_zone_price: f64,
    /// Period of the use meter, 0 for none, and how late it tells of a period.
    pub meter_ms: f64,
    /// See above.
    #[serde(rename = "meter_late_ms")]
    pub meter_delay_ms: [f64; 2],
    /// Coefficient of variation of what is guessed against the true units, which an answer settles; 0 for no guess.
    #[serde(rename = "guess_cv")]
    pub estimate_cv: f64,
    /// How long a dial into a partition takes to fail.
    #[serde(rename = "dial_ms")]
    pub connect_timeout_ms: f64,
    /// Mean units of a request; they are drawn from 1 up to `most_units`.
    pub units: f64,
    /// See above.
    #[serde(rename = "most_units")]
    pub max_units: f64,
    /// Quotas are set so that customers use this part of theirs on average; 0 leaves the plans' rates as they stand.
    pub usage: f64,
    /// Retries of a client request, and the wait before each where nothing is advised.
    pub retries: u32,
    /// See above.
    pub backoff_ms: [f64; 2],
    /// How a backend is chosen.
    #[serde(rename = "choice")]
    pub load_balancer: LoadBalancer,
    /// What a plain policy lets in.
    pub admission: Admission,
    /// Attempts for one request at most.
    pub attempts: u32,
    /// Groups of customers by what they ask of their quotas; then `load` is what is asked for within quotas, all plans are scaled
    /// by one factor to fit it, and `zipf` and `usage` are not used.
    pub demand: Vec<DemandSpec>,
    /// Classes; the usual three if none is named.
    pub class: Vec<ClassSpec>,
    /// Plans; the usual three if none is named.
    pub plan: Vec<PlanSpec>,
    /// Whether each proxy has an agent of discovery that it follows; else each change comes to each proxy by itself.
    pub agents: bool,
    /// What goes wrong.
    #[serde(rename = "trouble")]
    pub faults: Vec<Fault>,
}

impl Default for World {
    fn default() -> Self {
        let class = |share, latency_target_ms, client_timeout_ms, value, effect: &str| ClassSpec {
            share,
            work_ms: 80.0,
            cv: 1.0,
            latency_target_ms,
            client_timeout_ms,
            value,
            effect: effect.to_owned(),
        };
        let plan = |share, rate, burst, price| PlanSpec {
            share,
            rate,
            burst,
            price,
            max_open: 0,
            ceiling: 0.0,
        };
        World {
            name: "world".to_owned(),
            seconds: 20.0,
            proxies: 4,
            backends: 12,
            cores: 2,
            queue: 24,
            initial_capacity: 0.25,
            warm_up_ms: 10_000.0,
            speed_cv: 0.1,
            overload_factor: 3.0,
            overload_window_ms: 1500.0,
            delay_ms: [0.2, 1.0],
            handshake_ms: 2.0,
            idle_ms: 30_000.0,
            discovery_delay_ms: [200.0, 2500.0],
            drain_grace_ms: 500.0,
            customers: 200,
            zipf: 0.8,
            load: 0.6,
            spread: 0,
            uneven: 0.0,
            shift_s: [0.0, 0.0],
            sticky: 0.0,
            honour: 1.0,
            zones: 1,
            cross_zone_ms: [0.3, 0.8],
            cross_zone_price: 0.0,
            meter_ms: 0.0,
            meter_delay_ms: [200.0, 1500.0],
            estimate_cv: 0.0,
            connect_timeout_ms: 250.0,
            units: 3.0,
            max_units: 8.0,
            usage: 0.6,
            retries: 2,
            backoff_ms: [50.0, 250.0],
            load_balancer: LoadBalancer::Module,
            admission: Admission::EvenShare,
            attempts: 3,
            demand: Vec::new(),
            class: vec![
                class(0.46, 600.0, 2500.0, 3.0, "safe"),
                class(0.27, 750.0, 2000.0, 5.0, "keyed"),
                class(0.27, 750.0, 2500.0, 3.0, "unsafe"),
            ],
            plan: vec![
                plan(0.6, 2.0, 10.0, 0.6),
                plan(0.3, 6.0, 15.0, 0.8),
                plan(0.1, 20.0, 30.0, 1.5),
            ],
            agents: false,
            faults: Vec::new(),
        }
    }
}

impl World {
    /// Reads a world file's text.
    ///
    /// # Errors
    /// What cannot be read, or every figure that cannot be used, each with its field and what was expected.
    pub fn read(text: &str) -> Result<World, Vec<String>> {
        let world: World =
            toml::from_str(text).map_err(|error| vec![error.to_string().trim_end().to_owned()])?;
        let errors = world.errors();
        if errors.is_empty() {
            Ok(world)
        } else {
            Err(errors)
        }
    }

    /// Requests a second that the load makes: work of a request of the usual size against all cores.
    pub fn requests_per_second(&self) -> f64 {
        let share: f64 = self.class.iter().map(|class| class.share).sum();
        let work: f64 = self
            .class
            .iter()
            .map(|class| class.share * class.work_ms)
            .sum();
        self.load * (self.backends * self.cores) as f64 * 1000.0 * share / work.max(1e-9)
    }

    /// Client requests of a run, roughly: the usual ones, those of floods and of customers that come once.
    pub fn requests(&self) -> f64 {
        let usual = self.requests_per_second();
        let more = |fault: &Fault| match fault {
            Fault::OneShots { for_s, share, .. } => share * usual * for_s,
            Fault::Flood {
                for_s,
                customers,
                times,
                ..
            } => {
                let quota = usual / self.customers as f64 / self.usage.max(0.01);
                *customers as f64 * times * quota * for_s
            }
            _ => 0.0,
        };
        let excess = |demand: &DemandSpec| {
            let spikes = if demand.every_s > 0.0 {
                demand.spike * demand.spike_s / demand.every_s
            } else {
                0.0
            };
            demand.share * (demand.fraction[1] + spikes)
        };
        let shares: f64 = self.demand.iter().map(|demand| demand.share).sum();
        let fraction: f64 = self
            .demand
            .iter()
            .map(|demand| demand.share * demand.fraction[0].min(1.0))
            .sum();
        let asked =
            self.demand.iter().map(excess).sum::<f64>() / fraction.max(0.001 * shares.max(1e-9));
        let usual = if self.demand.is_empty() {
            usual
        } else {
            usual * asked.max(1.0)
        };
        usual * self.seconds + self.faults.iter().map(more).sum::<f64>()
    }

    /// Bytes that a run needs, roughly.
    pub fn bytes(&self) -> f64 {
        let proxies = self.proxies as f64;
        let spread = if self.spread == 0 {
            proxies
        } else {
            proxies.min(self.spread as f64)
        };
        // Every proxy holds every backend, and each customer at as many proxies as its requests come through, but no more than
        // there are requests.
        let requests = self.requests();
        proxies * self.backends as f64 * 400.0
            + (self.customers as f64 * spread).min(requests) * 250.0
            + requests * 8.0
    }

    /// The effect of a class by its name.
    pub fn effect(class: &ClassSpec) -> Option<Effect> {
        match class.effect.as_str() {
            "safe" => Some(Effect::Safe),
            "keyed" => Some(Effect::Keyed {
                group: maplefall_policy::Group::All,
                memory: 2000.0,
            }),
            "unsafe" => Some(Effect::Unsafe),
            _ => None,
        }
    }

    /// All that cannot be used.
    pub fn errors(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut within = |field: &str, value: f64, least: f64, most: f64| {
            if !(least..=most).contains(&value) {
                found.push(format!(
                    "{field}: a number from {least} to {most} was expected, not {value}"
                ));
            }
        };
        within("seconds", self.seconds, 0.1, 3600.0);
        within("doors", self.proxies as f64, 1.0, 10_000.0);
        within("backends", self.backends as f64, 1.0, 100_000.0);
        within("cores", self.cores as f64, 1.0, 1024.0);
        within("queue", self.queue as f64, 0.0, 1e9);
        within("cold_from", self.initial_capacity, 0.01, 1.0);
        within("cold_ms", self.warm_up_ms, 0.0, 3.6e6);
        within("speed_cv", self.speed_cv, 0.0, 2.0);
        within("fall_multiple", self.overload_factor, 1.0, 1e6);
        within("fall_ms", self.overload_window_ms, 1.0, 1e6);
        within("handshake_ms", self.handshake_ms, 0.0, 1e4);
        within("idle_ms", self.idle_ms, 1.0, 3.6e6);
        within("drain_grace_ms", self.drain_grace_ms, 0.0, 1e6);
        within("customers", self.customers as f64, 1.0, 1e7);
        within("zipf", self.zipf, 0.0, 4.0);
        within("load", self.load, 0.001, 100.0);
        within("spread", self.spread as f64, 0.0, 10_000.0);
        within("most_units", self.max_units, 1.0, 1e6);
        within("units", self.units, 1.0, self.max_units.max(1.0));
        within("usage", self.usage, 0.0, 100.0);
        within("uneven", self.uneven, 0.0, 1.0);
        within("sticky", self.sticky, 0.0, 1.0);
        within("honour", self.honour, 0.0, 1.0);
        within("zones", self.zones as f64, 1.0, 64.0);
        within("cross_price", self.cross_zone_price, 0.0, 10.0);
        within("meter_ms", self.meter_ms, 0.0, 1e6);
        within("guess_cv", self.estimate_cv, 0.0, 5.0);
        within("dial_ms", self.connect_timeout_ms, 1.0, 1e5);
        within("retries", f64::from(self.retries), 0.0, 10.0);
        within("attempts", f64::from(self.attempts), 1.0, 10.0);
        if let LoadBalancer::Aperture(width) = self.load_balancer {
            within("choice.aperture", width as f64, 1.0, 100_000.0);
        }
        let ranges = [
            ("delay_ms", self.delay_ms),
            ("notice_ms", self.discovery_delay_ms),
            ("backoff_ms", self.backoff_ms),
            ("shift_s", self.shift_s),
            ("cross_ms", self.cross_zone_ms),
            ("meter_late_ms", self.meter_delay_ms),
        ];
        for (field, range) in ranges {
            within(&format!("{field}.0"), range[0], 0.0, 1e6);
            within(&format!("{field}.1"), range[1], range[0].max(0.0), 1e6);
        }
        for (at, class) in self.class.iter().enumerate() {
            within(&format!("class.{at}.share"), class.share, 0.0, 1e6);
            within(&format!("class.{at}.work_ms"), class.work_ms, 0.001, 1e6);
            within(&format!("class.{at}.cv"), class.cv, 0.0, 20.0);
            within(
                &format!("class.{at}.aim_ms"),
                class.latency_target_ms,
                1.0,
                1e7,
            );
            within(
                &format!("class.{at}.give_up_ms"),
                class.client_timeout_ms,
                class.latency_target_ms.max(1.0),
                1e7,
            );
            within(&format!("class.{at}.worth"), class.value, 0.0, 1e6);
        }
        for (at, plan) in self.plan.iter().enumerate() {
            within(&format!("plan.{at}.share"), plan.share, 0.0, 1e6);
            within(&format!("plan.{at}.rate"), plan.rate, 0.001, 1e9);
            within(&format!("plan.{at}.burst"), plan.burst, 0.001, 1e9);
            within(&format!("plan.{at}.price"), plan.price, 0.0, 1e6);
            within(&format!("plan.{at}.ceiling"), plan.ceiling, 0.0, 1e6);
        }
        for (at, demand) in self.demand.iter().enumerate() {
            within(&format!("demand.{at}.share"), demand.share, 0.0, 1e6);
            within(
                &format!("demand.{at}.part.0"),
                demand.fraction[0],
                0.001,
                1000.0,
            );
            within(
                &format!("demand.{at}.part.1"),
                demand.fraction[1],
                demand.fraction[0].max(0.001),
                1000.0,
            );
            within(&format!("demand.{at}.spike"), demand.spike, 0.0, 1000.0);
            if demand.spike > 0.0 {
                within(
                    &format!("demand.{at}.spike_s"),
                    demand.spike_s,
                    0.01,
                    3600.0,
                );
                within(
                    &format!("demand.{at}.every_s"),
                    demand.every_s,
                    demand.spike_s.max(0.01),
                    3600.0,
                );
            }
        }
        for (at, fault) in self.faults.iter().enumerate() {
            // What is drawn after the end would never be played.
            within(
                &format!("trouble.{at}.at_s"),
                fault.at_s(),
                0.0,
                self.seconds,
            );
            match fault {
                Fault::RestartProxies {
                    fraction, down_ms, ..
                } => {
                    within(&format!("trouble.{at}.part"), *fraction, 0.0, 1.0);
                    within(&format!("trouble.{at}.down_ms.0"), down_ms[0], 0.0, 1e6);
                    within(
                        &format!("trouble.{at}.down_ms.1"),
                        down_ms[1],
                        down_ms[0].max(0.0),
                        1e6,
                    );
                }
                Fault::ReplaceBackends {
                    fraction,
                    over_s,
                    drain_ms,
                    ..
                } => {
                    within(&format!("trouble.{at}.part"), *fraction, 0.0, 1.0);
                    within(&format!("trouble.{at}.over_s"), *over_s, 0.0, 3600.0);
                    within(&format!("trouble.{at}.drain_ms"), *drain_ms, 0.0, 1e6);
                }
                Fault::SlowBackends {
                    fraction,
                    speed,
                    for_s,
                    ..
                } => {
                    within(&format!("trouble.{at}.part"), *fraction, 0.0, 1.0);
                    within(&format!("trouble.{at}.speed"), *speed, 0.001, 10.0);
                    within(&format!("trouble.{at}.for_s"), *for_s, 0.0, 3600.0);
                }
                Fault::Flood {
                    for_s,
                    customers,
                    times,
                    through,
                    ..
                } => {
                    within(&format!("trouble.{at}.for_s"), *for_s, 0.0, 3600.0);
                    within(
                        &format!("trouble.{at}.customers"),
                        *customers as f64,
                        1.0,
                        self.customers as f64,
                    );
                    within(&format!("trouble.{at}.times"), *times, 0.0, 1000.0);
                    within(
                        &format!("trouble.{at}.through"),
                        *through as f64,
                        0.0,
                        10_000.0,
                    );
                }
                Fault::OneShots { for_s, share, .. } => {
                    within(&format!("trouble.{at}.for_s"), *for_s, 0.0, 3600.0);
                    within(&format!("trouble.{at}.share"), *share, 0.0, 100.0);
                }
                Fault::Partition {
                    for_s,
                    proxies,
                    backends,
                    ..
                } => {
                    within(&format!("trouble.{at}.for_s"), *for_s, 0.0, 3600.0);
                    within(&format!("trouble.{at}.doors"), *proxies, 0.0, 1.0);
                    within(&format!("trouble.{at}.backends"), *backends, 0.0, 1.0);
                }
                Fault::RollProxies {
                    over_s,
                    stop_ms,
                    down_ms,
                    ..
                } => {
                    within(&format!("trouble.{at}.over_s"), *over_s, 0.0, 3600.0);
                    within(&format!("trouble.{at}.stop_ms"), *stop_ms, 0.0, 1e6);
                    within(&format!("trouble.{at}.down_ms.0"), down_ms[0], 0.0, 1e6);
                    within(
                        &format!("trouble.{at}.down_ms.1"),
                        down_ms[1],
                        down_ms[0].max(0.0),
                        1e6,
                    );
                }
                Fault::MoveAgents {
                    over_s,
                    close_ms,
                    lag_ms,
                    ..
                } => {
                    within(&format!("trouble.{at}.over_s"), *over_s, 0.0, 3600.0);
                    within(&format!("trouble.{at}.close_ms"), *close_ms, 0.0, 1e6);
                    within(&format!("trouble.{at}.behind_ms.0"), lag_ms[0], 0.0, 1e6);
                    within(
                        &format!("trouble.{at}.behind_ms.1"),
                        lag_ms[1],
                        lag_ms[0].max(0.0),
                        1e6,
                    );
                }
                Fault::SilenceAgents {
                    for_s, fraction, ..
                } => {
                    within(&format!("trouble.{at}.for_s"), *for_s, 0.0, 3600.0);
                    within(&format!("trouble.{at}.part"), *fraction, 0.0, 1.0);
                }
                Fault::LoseZone { for_s, zone, .. } => {
                    within(&format!("trouble.{at}.for_s"), *for_s, 0.0, 3600.0);
                    within(
                        &format!("trouble.{at}.zone"),
                        *zone as f64,
                        0.0,
                        self.zones as f64 - 1.0,
                    );
                }
            }
        }
        for (at, class) in self.class.iter().enumerate() {
            if World::effect(class).is_none() {
                found.push(format!(
                    "class.{at}.effect: safe, keyed or unsafe was expected"
                ));
            }
        }
        if self.class.iter().map(|class| class.share).sum::<f64>() <= 0.0 {
            found.push("class: one with a share above 0 was expected".to_owned());
        }
        if self.plan.iter().map(|plan| plan.share).sum::<f64>() <= 0.0 {
            found.push("plan: one with a share above 0 was expected".to_owned());
        }
        if !self.demand.is_empty()
            && self.demand.iter().map(|demand| demand.share).sum::<f64>() <= 0.0
        {
            found.push("demand: one with a share above 0 was expected".to_owned());
        }
        if found.is_empty() {
            let (requests, bytes) = (self.requests(), self.bytes());
            if requests > MAX_REQUESTS {
                found.push(format!(
                    "load: {requests:.0} requests, {MAX_REQUESTS:.0} at most were expected"
                ));
            }
            if bytes > MAX_BYTES {
                found.push(format!(
                    "doors: a world of {bytes:.0} bytes, {MAX_BYTES:.0} at most were expected"
                ));
            }
        }
        found
    }
}

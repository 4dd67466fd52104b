//! A world as data, read from a TOML file.
//!
//! Times are milliseconds where a name ends in `_ms`, seconds where it ends in `_s`. Keys of world files are fixed: where a Rust name
//! differs from its key, a serde attribute keeps the key, and errors name the key.

mod default;
mod fault;
mod validation;

pub use fault::Fault;

use maplefall_policy::Idempotency;
use serde::{Deserialize, Serialize};

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

/// A world: a fleet, its load and its faults. Every field has a default; outside names are keys of world files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct World {
    /// Name, repeated in each outcome.
    pub name: String,
    /// Simulated time in seconds during which clients make requests.
    pub seconds: f64,
    /// Number of proxies.
    #[serde(rename = "doors")]
    pub proxies: usize,
    /// Number of backends.
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
    /// Time that a new connection takes.
    pub handshake_ms: f64,
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
    /// Fraction of the clients that honour a `Retry-After`.
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
    /// Coefficient of variation of the estimated against the true units, which an answer corrects; 0 for no estimate.
    #[serde(rename = "guess_cv")]
    pub estimate_cv: f64,
    /// How long connecting into a partition takes to time out.
    #[serde(rename = "dial_ms")]
    pub connect_timeout_ms: f64,
    /// Mean units of a request; they are drawn from 1 up to `max_units`.
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
    /// The admission rule of a baseline policy.
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
    /// Whether each proxy follows a discovery agent; otherwise each change reaches each proxy directly.
    pub agents: bool,
    /// What goes wrong.
    #[serde(rename = "trouble")]
    pub faults: Vec<Fault>,
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
    pub fn effect(class: &ClassSpec) -> Option<Idempotency> {
        match class.effect.as_str() {
            "safe" => Some(Idempotency::Idempotent),
            "keyed" => Some(Idempotency::Keyed {
                scope: maplefall_policy::DedupScope::All,
                window: 2000.0,
            }),
            "unsafe" => Some(Idempotency::NonIdempotent),
            _ => None,
        }
    }
}

//! A world as data, read from a TOML file.
//!
//! Times are in milliseconds where a name ends in `_ms`, in seconds where it ends in `_s`. Keys of
//! world files are fixed: where a Rust name differs from its key, a serde attribute keeps the key,
//! and errors name the key.

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
    /// The project's decision module, which also decides on admission.
    Module,
    /// An oracle that sees the true state of all backends and quotas: a reference for what is
    /// achievable.
    Oracle,
    /// Uniformly at random.
    Random,
    /// Round robin.
    RoundRobin,
    /// The backend with the fewest of the proxy's own attempts in flight.
    #[serde(rename = "least-out")]
    LeastOutstanding,
    /// Power of two choices: the less loaded of two random backends (Mitzenmacher).
    TwoChoices,
    /// Power of two choices among a fixed number of backends (a fixed aperture).
    Aperture(usize),
}

/// The admission rule of a baseline policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Admission {
    /// Admits everything.
    None,
    /// Each proxy admits an even share of a quota.
    #[serde(rename = "even")]
    EvenShare,
    /// Each proxy admits a full quota.
    #[serde(rename = "whole")]
    FullQuota,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Share of the requests.
    pub share: f64,
    /// Mean service time of a request of mean size, in milliseconds.
    pub work_ms: f64,
    /// Coefficient of variation of the service time: 1 is exponential, 0 constant, others
    /// log-normal.
    pub cv: f64,
    /// Latency target: a response within this time earns its value.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: f64,
    /// How long a client waits for a response.
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
    /// Share of the customers.
    pub share: f64,
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
    /// Factor on the value.
    pub price: f64,
    /// Maximum number of attempts in flight that the quota covers; 0 for no limit.
    #[serde(default, rename = "max_open")]
    pub max_in_flight: u32,
    /// Hard rate limit as a multiple of rate and burst; 0 for none. Its slack is a tenth of its
    /// burst, but at least one request of the largest size.
    #[serde(default, rename = "ceiling")]
    pub rate_limit_factor: f64,
}

/// The demand of a group of customers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemandSpec {
    /// Share of the customers.
    pub share: f64,
    /// Range of the mean demand as a fraction of the quota's rate; drawn for each customer.
    #[serde(rename = "part")]
    pub fraction: [f64; 2],
    /// Request rate of a spike as a multiple of the quota's rate, in addition to the usual
    /// requests; 0 for no spikes.
    #[serde(default)]
    pub spike: f64,
    /// Duration of a spike.
    #[serde(default)]
    pub spike_s: f64,
    /// Mean time from the start of one spike to the next.
    #[serde(default)]
    pub every_s: f64,
}

/// A world: a fleet, its load and its faults. Every field has a default; outer names are keys of
/// world files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct World {
    /// Name, repeated in each outcome.
    pub name: String,
    /// Horizon: simulated time in seconds during which clients make requests.
    pub seconds: f64,
    /// Number of proxies.
    #[serde(rename = "doors")]
    pub proxies: usize,
    /// Number of backends.
    pub backends: usize,
    /// Cores of each backend.
    pub cores: usize,
    /// Capacity of each backend's waiting room.
    pub queue: usize,
    /// Slow start: fraction of the capacity that a backend has when it starts.
    #[serde(rename = "cold_from")]
    pub initial_capacity: f64,
    /// Slow start: time until a backend has its full capacity.
    #[serde(rename = "cold_ms")]
    pub warm_up_ms: f64,
    /// Coefficient of variation of the backends' speeds.
    pub speed_cv: f64,
    /// Multiple of its current capacity, sustained over the overload window, at which a backend
    /// that warms up fails.
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// The overload window.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: f64,
    /// Range of the one-way delay between a proxy and a backend, or a client.
    pub delay_ms: [f64; 2],
    /// Additional delay of a new connection.
    pub handshake_ms: f64,
    /// Idle time after which a connection is closed.
    pub idle_ms: f64,
    /// Range of the delay with which proxies receive changes of the endpoint list.
    #[serde(rename = "notice_ms")]
    pub discovery_delay_ms: [f64; 2],
    /// Grace period after a drain was announced.
    pub drain_grace_ms: f64,
    /// Number of customers.
    pub customers: usize,
    /// Exponent of the customers' sizes by rank (Zipf).
    pub zipf: f64,
    /// Offered load as a fraction of the capacity of all backends.
    pub load: f64,
    /// Number of proxies that a customer's requests come through; 0 for all.
    pub spread: usize,
    /// Share of a customer's requests that come through the busiest proxy of its set; the rest come
    /// evenly through all. 0 for all evenly.
    pub uneven: f64,
    /// Range of the time after which another proxy of the set becomes the busiest, drawn for each
    /// change; 0 for never.
    pub shift_s: [f64; 2],
    /// Share of the retries that come to the same proxy, as over a kept connection.
    pub sticky: f64,
    /// Fraction of the clients that honour a `Retry-After`.
    pub honour: f64,
    /// Number of zones, to which proxies and backends are assigned round robin.
    pub zones: usize,
    /// Range of the additional one-way delay between two zones.
    #[serde(rename = "cross_ms")]
    pub cross_zone_ms: [f64; 2],
    /// Price of an attempt to another zone, as a fraction of the full value.
    #[serde(rename = "cross_price")]
    pub cross_zone_price: f64,
    /// Period of the usage meter; 0 for none.
    pub meter_ms: f64,
    /// Range of the delay with which the meter reports a period; drawn once for a run.
    #[serde(rename = "meter_late_ms")]
    pub meter_delay_ms: [f64; 2],
    /// Coefficient of variation of the estimated units against the true ones, which a response
    /// corrects; 0 for exact estimates.
    #[serde(rename = "guess_cv")]
    pub estimate_cv: f64,
    /// Connect timeout across a partition.
    #[serde(rename = "dial_ms")]
    pub connect_timeout_ms: f64,
    /// Mean units of a request, drawn from 1 up to `max_units`.
    pub units: f64,
    /// Maximum units of a request.
    #[serde(rename = "most_units")]
    pub max_units: f64,
    /// Mean fraction of their quotas that customers use, to which the plans are scaled; 0 leaves
    /// the plans' rates unchanged.
    pub usage: f64,
    /// Maximum retries of a client request.
    pub retries: u32,
    /// Range of the backoff before a retry without an advised delay.
    pub backoff_ms: [f64; 2],
    /// How a backend is chosen.
    #[serde(rename = "choice")]
    pub load_balancer: LoadBalancer,
    /// The admission rule of a baseline policy.
    pub admission: Admission,
    /// Maximum attempts for one request.
    pub attempts: u32,
    /// Groups of customers by their demand relative to their quotas. If there are any, `load` is
    /// the demand within quotas, all plans are scaled by one factor to fit it, and `zipf` and
    /// `usage` are not used.
    pub demand: Vec<DemandSpec>,
    /// Classes of requests; the default three if none is given.
    pub class: Vec<ClassSpec>,
    /// Plans; the default three if none is given.
    pub plan: Vec<PlanSpec>,
    /// Whether each proxy follows a discovery agent; otherwise each change reaches each proxy
    /// directly.
    pub agents: bool,
    /// Faults of the run.
    #[serde(rename = "trouble")]
    pub faults: Vec<Fault>,
}

impl World {
    /// Parses and validates a world file's text.
    ///
    /// # Errors
    /// The parse error, or a line for every invalid figure, with its key and what was expected.
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

    /// Returns the requests a second that give the offered load, from the mean service time of a
    /// request of mean size and all cores.
    pub fn requests_per_second(&self) -> f64 {
        let share: f64 = self.class.iter().map(|class| class.share).sum();
        let work: f64 = self
            .class
            .iter()
            .map(|class| class.share * class.work_ms)
            .sum();
        self.load * (self.backends * self.cores) as f64 * 1000.0 * share / work.max(1e-9)
    }

    /// Returns the approximate number of client requests of a run, including those of floods and
    /// one-shot customers.
    pub fn requests(&self) -> f64 {
        let usual = self.requests_per_second();
        let extra_requests = |fault: &Fault| match fault {
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
        let peak_demand = |demand: &DemandSpec| {
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
        let demand_factor = self.demand.iter().map(peak_demand).sum::<f64>()
            / fraction.max(0.001 * shares.max(1e-9));
        let usual = if self.demand.is_empty() {
            usual
        } else {
            usual * demand_factor.max(1.0)
        };
        usual * self.seconds + self.faults.iter().map(extra_requests).sum::<f64>()
    }

    /// Returns the approximate memory that a run needs, in bytes.
    pub fn bytes(&self) -> f64 {
        let proxies = self.proxies as f64;
        let spread = if self.spread == 0 {
            proxies
        } else {
            proxies.min(self.spread as f64)
        };
        // Every proxy stores every backend, and each customer is stored at as many proxies as its
        // requests come through, but no more than there are requests.
        let requests = self.requests();
        proxies * self.backends as f64 * 400.0
            + (self.customers as f64 * spread).min(requests) * 250.0
            + requests * 8.0
    }

    /// Returns the idempotency of a class; `None` for an unknown `effect`.
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

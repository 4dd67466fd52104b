//! The decisions of one gateway: their constants, the state they need and the dispatch of events.
//!
//! Spans that should follow what clients wait for are counted in latency targets: in the shortest of
//! all classes, unless a class is named. Figures marked "design" are given by the design.

mod attempts;
mod backends;
mod choice;
mod customers;

use crate::backend::{Backend, Reach};
use crate::interface::*;
use crate::pending::{Exposure, Pending, PendingRequests};
use maplefall_backend_index::BackendTable;
use maplefall_load_estimators::{
    uniform, Attempt, Backpressure, BalanceBounds, ConcurrencyLimit, EjectionChange, EvictingMap,
    HealthScore, MeteredUsage, RetryBudget, ServiceTime, ServiceTimePrior, SharedBalances, Usage,
};
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use std::f64::consts::LN_2;

/// The penalty box closes at this multiple of the quota rate, plus the burst's share (design).
const BOX_LIMIT_FACTOR: f64 = 3.0;
/// A slice is refilled at up to this multiple of the local recent rate (design).
const REFILL_FACTOR: f64 = 2.0;
/// A slice holds at least so many requests of the largest size (design).
const MIN_SLICE_REQUESTS: f64 = 2.0;
/// Half-life of the recent average, in burst lengths (design: at least one). A lasting flood should
/// close the box; a spike with its retries should not, since slices hold it to the quota already.
const AVERAGE_HALFLIFE_BURSTS: f64 = 16.0;
/// Half-life of everything else that is known of a customer's usage, in burst lengths.
const USAGE_HALFLIFE_BURSTS: f64 = 4.0;
/// The recent average covers at least this fraction of its memory, however young the gateway is.
const MIN_AVERAGE_COVERAGE: f64 = 0.05;
/// A customer is forgotten after so many of the longest half-lives without a request.
const EVICT_HALFLIVES: f64 = 2.0;
/// A slice's refill rate rises over so many burst lengths: slower than a spike, faster than a shift.
const REFILL_RISE_BURSTS: f64 = 2.0;
/// Longest acceptable wait at a backend, in latency targets; beyond it a request is rejected.
const MAX_WAIT_TARGETS: f64 = 0.33;
/// A deadline must leave this multiple of the expected time: half of the answers take longer.
const DEADLINE_FACTOR: f64 = 1.5;
/// An answer is slow beyond this fraction of the latency target of its class.
const SLOW_TARGETS: f64 = 0.5;
/// Number of requests over which the typical size is averaged.
const TYPICAL_UNITS_WINDOW: f64 = 30.0;
/// Typical requests that a new customer's usage starts with, against twice as many allowed.
const PRIOR_REQUESTS: f64 = 0.5;
/// What the meter reports decays this many times as fast as other knowledge of usage.
const METER_DECAY_FACTOR: f64 = 2.0;
/// Standard deviations by which usage must exceed the box limit where there are few requests.
const BOX_DEVIATIONS: f64 = 3.0;
/// A repeatable attempt times out after this multiple of its expected time...
const ATTEMPT_TIMEOUT_FACTOR: f64 = 8.0;
/// ...and not before this fraction of the latency target of its class.
const MIN_ATTEMPT_TIMEOUT_TARGETS: f64 = 0.4;
/// Retries need this fraction of requests to be admitted, and pressure below its complement.
const RETRY_HEADROOM: f64 = 0.95;
/// For so many latency targets after a connection broke, every request is sent with caution.
const CAUTION_TARGETS: f64 = 8.0;
/// A request crosses zones to save a wait of this multiple of the crossing's price, in targets.
const CROSS_ZONE_TARGETS: f64 = 10.0;
/// Fraction of a rate limit's slack that its shares use; the rest covers rounding.
const RATE_LIMIT_SLACK_FRACTION: f64 = 0.9;
/// Fraction of the overload factor that all gateways may use up at a backend in slow start.
const SLOW_START_OVERLOAD_FRACTION: f64 = 0.6;
/// Longest advised retry time, in latency targets, where another gateway may admit the retry.
const MAX_SLICE_RETRY_TARGETS: f64 = 0.3;
/// Reports of usage at other gateways are valid for so many latency targets.
const REPORT_VALID_TARGETS: f64 = 6.0;
/// Mean number of gateways that prefer each backend: with fewer, load would be spread unevenly.
const GATEWAYS_PER_BACKEND: f64 = 16.0;
/// Least number of preferred backends: with fewer, one that fails shifts too much to the others.
const MIN_PREFERRED_BACKENDS: usize = 8;
/// A backend that is not preferred must be better by so many latency targets.
const UNPREFERRED_TARGETS: f64 = 0.25;
const SUBSCRIBE_TIMER: TimerId = TimerId(u64::MAX);

type Candidate = maplefall_backend_index::Candidate<BackendId>;

/// The recent average rate of the design: an impulse at each arrival, decaying exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cewma {
    units: f64,
    updated_at: Millis,
}

impl Cewma {
    /// Counts an arrival of `units`; `lambda` is ln 2 / half-life, per millisecond.
    pub fn feed(&mut self, now: Millis, units: f64, lambda: f64) {
        self.units = units + self.decayed(now, lambda);
        self.updated_at = now;
    }

    /// The recent rate, in units a second.
    pub fn rate(&self, now: Millis, lambda: f64) -> f64 {
        1000.0 * self.units * lambda * (lambda * (self.updated_at - now)).exp()
    }

    fn decayed(&self, now: Millis, lambda: f64) -> f64 {
        self.units * (lambda * (self.updated_at - now)).exp()
    }
}

/// How long the penalty box is closed to a recent rate, until the estimate has decayed; `None` where
/// it is open. `rate` and `burst` are the quota's.
pub(crate) fn box_closed_for(recent: f64, rate: f64, burst: f64, lambda: f64) -> Option<Millis> {
    let limit = BOX_LIMIT_FACTOR * rate + 1000.0 * lambda * burst;
    (recent > limit).then(|| (recent / limit).ln() / lambda)
}

/// What a gateway knows of one customer.
#[derive(Clone, Debug, Default)]
struct Customer {
    average: Cewma,
    largest_units: f64,
    /// Units that the slice may hold.
    slice_depth: f64,
    /// Units in this gateway's slice of the quota and share of the rate limit, as of `refilled_at`.
    slice: f64,
    rate_limit_units: f64,
    refilled_at: Millis,
    /// Refill rate of the slice, in units a second.
    refill_rate: f64,
    open: ConcurrencyLimit,
    /// Usage at all gateways.
    metered: MeteredUsage,
    admitted_fraction: f64,
}

/// This gateway's share of a quota.
#[derive(Clone, Copy, Debug)]
struct QuotaShare {
    /// Decay of the recent average, ln 2 / half-life per millisecond...
    lambda: f64,
    /// ...of other knowledge of usage...
    usage_lambda: f64,
    /// ...and of metered usage.
    meter_lambda: f64,
    /// The even share of the quota rate, in units a second.
    even_rate: f64,
    /// Units that the slice may hold.
    depth: f64,
    /// Whether the even share of the burst is smaller than a typical request.
    is_sliver: bool,
}

/// The decisions of one gateway.
pub struct Gateway {
    settings: Settings,
    rng: Pcg32,
    /// The time of the event that is handled, and the actions it calls for.
    now: Millis,
    actions: Vec<Action>,
    started_at: Option<Millis>,
    /// The shortest latency target of all classes.
    target: Millis,
    customers: EvictingMap<CustomerId, Customer>,
    /// Quotas by what other gateways report; empty where they report nothing.
    shared_balances: SharedBalances<CustomerId>,
    backends: BackendTable<BackendId, Backend>,
    requests: PendingRequests,
    service_time: ServiceTime,
    backpressure: Backpressure,
    retries: RetryBudget,
    /// When a connection to any backend last broke.
    connection_broke_at: Millis,
    /// Mean units of a request.
    typical_units: f64,
}

impl Gateway {
    /// A gateway with these settings; `seed` is its only source of randomness.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Gateway {
            rng: Pcg32::seed_from_u64(seed),
            now: 0.0,
            actions: Vec::new(),
            started_at: None,
            target: settings.shortest_target(),
            customers: EvictingMap::default(),
            shared_balances: SharedBalances::default(),
            backends: BackendTable::default(),
            requests: PendingRequests::default(),
            service_time: ServiceTime::default(),
            backpressure: Backpressure::new(settings.gateways),
            retries: RetryBudget::new(settings.initial_retries),
            connection_broke_at: f64::NEG_INFINITY,
            typical_units: 1.0,
            settings,
        }
    }

    /// Takes an event that happened at `now` and appends the actions it calls for.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        std::mem::swap(&mut self.actions, actions);
        self.started_at.get_or_insert(now);
        match event {
            Event::Backends(kind, entries) => self.list_changed(kind, &entries),
            Event::Arrival(request) => self.arrived(request),
            Event::Authorized { request, allowed } => self.authorized(request, allowed),
            Event::RemoteUsage(report) => self.usage_reported(&report),
            Event::StreamStarted(id) => {
                self.requests.update(id, |p| p.stream_started = true);
            }
            Event::AttemptEnded(ended) => self.attempt_ended(&ended),
            Event::ClientDisconnected(id) => self.abandon(id),
            Event::Timer(SUBSCRIBE_TIMER) => self.actions.push(Action::Subscribe),
            Event::Timer(timer) => self.timer_fired(timer),
            // No health checks are sent: this gateway's own attempts tell enough.
            Event::Probed { .. } => {}
        }
        std::mem::swap(&mut self.actions, actions);
    }

    /// Changes the settings. Classes and plans may be added and changed, and keep their indices.
    pub fn amend(&mut self, change: impl FnOnce(&mut Settings)) {
        change(&mut self.settings);
        self.target = self.settings.shortest_target();
    }

    /// The same gateway, examining all backends for each choice: it decides the same, more slowly.
    pub fn walking(mut self) -> Self {
        self.backends.index_mut().make_exhaustive();
        self
    }

    /// The size of its state, and how many backends its choices have examined.
    pub fn stats(&self) -> GatewayStats {
        GatewayStats {
            customers: self.customers.len(),
            backends_examined: self.backends.index().examined(),
        }
    }

    fn set_timer(&mut self, timer: TimerId, at: Millis) {
        self.actions.push(Action::SetTimer { at, timer });
    }
}

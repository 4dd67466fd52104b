//! The decisions of one gateway: their constants, the state they need and the dispatch of events.
//!
//! Times named `_TARGETS` are multiples of a latency target: of the shortest target of all classes,
//! unless a class is named. CEWMA paper: the paper behind `Cewma` and the penalty box.

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

/// The penalty box rejects above this multiple of the quota rate, plus the burst (CEWMA paper).
const PENALTY_BOX_LIMIT_FACTOR: f64 = 3.0;
/// A slice is refilled at up to this multiple of the local recent rate (CEWMA paper).
const REFILL_FACTOR: f64 = 2.0;
/// A slice holds at least this many requests of the largest size (CEWMA paper).
const MIN_SLICE_REQUESTS: f64 = 2.0;
/// Half-life of the recent average, in burst lengths (CEWMA paper: at least 1). The penalty box
/// should reject a lasting flood, not a spike with retries: slices hold it to the quota already.
const AVERAGE_HALFLIFE_BURSTS: f64 = 16.0;
/// Half-life of a customer's usage estimates other than the recent average, in burst lengths.
const USAGE_HALFLIFE_BURSTS: f64 = 4.0;
/// Minimum fraction of its time window that the recent average counts as covering in a new gateway.
const MIN_AVERAGE_COVERAGE: f64 = 0.05;
/// A customer is evicted after this multiple of the longest half-life without a request.
const EVICT_HALFLIVES: f64 = 2.0;
/// Burst lengths over which a refill rate rises: slower than a spike, faster than a load shift.
const REFILL_RISE_BURSTS: f64 = 2.0;
/// Maximum acceptable wait at a backend, in latency targets; beyond it a request is rejected.
const MAX_WAIT_TARGETS: f64 = 0.33;
/// A deadline must leave this multiple of the expected time, which half of the responses exceed.
const DEADLINE_FACTOR: f64 = 1.5;
/// A response is slow beyond this fraction of the latency target of its class.
const SLOW_TARGETS: f64 = 0.5;
/// Number of requests over which the typical size (units per request) is averaged.
const TYPICAL_UNITS_WINDOW: f64 = 30.0;
/// Prior of a new customer's usage, in typical requests; twice as many count as allowed.
const PRIOR_REQUESTS: f64 = 0.5;
/// Metered usage decays this many times as fast as other estimates of a customer's usage.
const METER_DECAY_FACTOR: f64 = 2.0;
/// Standard deviations by which usage must exceed the limit of the penalty box in a sliver.
const PENALTY_BOX_DEVIATIONS: f64 = 3.0;
/// Timeout of an attempt that may be retried, as a multiple of its expected time.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 8.0;
/// Minimum timeout of an attempt that may be retried, as a fraction of its class's latency target.
const MIN_ATTEMPT_TIMEOUT_TARGETS: f64 = 0.4;
/// Attempts time out early only with an admitted fraction above this and pressure below 1 - this.
const RETRY_HEADROOM: f64 = 0.95;
/// For this many latency targets after a connection broke, every request withholds its last byte.
const WITHHOLD_AFTER_BREAK_TARGETS: f64 = 8.0;
/// A request crosses zones to save a wait of this many latency targets times the cross-zone price.
const CROSS_ZONE_TARGETS: f64 = 10.0;
/// Fraction of a rate limit's overdraft that gateways' shares use; the rest covers rounding.
const RATE_LIMIT_SLACK_FRACTION: f64 = 0.9;
/// Fraction of the overload factor up to which all gateways load a backend in slow start.
const SLOW_START_OVERLOAD_FRACTION: f64 = 0.6;
/// Maximum advised retry time, in latency targets, where another gateway may admit the retry.
const MAX_SLICE_RETRY_TARGETS: f64 = 0.3;
/// Reports of usage at other gateways are valid for this many latency targets.
const REPORT_VALID_TARGETS: f64 = 6.0;
/// Mean number of gateways that prefer each backend; with fewer, the load would be uneven.
const GATEWAYS_PER_BACKEND: f64 = 16.0;
/// Minimum number of preferred backends; with fewer, one failure shifts too much load to the rest.
const MIN_PREFERRED_BACKENDS: usize = 8;
/// A backend that is not preferred must cost this many latency targets less than a preferred one.
const UNPREFERRED_TARGETS: f64 = 0.25;
const SUBSCRIBE_TIMER: TimerId = TimerId(u64::MAX);

type Candidate = maplefall_backend_index::Candidate<BackendId>;

/// A CEWMA (continuously decaying exponentially weighted moving average) of a rate of arrivals.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cewma {
    units: f64,
    updated_at: Millis,
}

impl Cewma {
    /// Adds an arrival of `units`; `lambda` is ln 2 / half-life, per millisecond.
    pub fn feed(&mut self, now: Millis, units: f64, lambda: f64) {
        self.units = units + self.decayed(now, lambda);
        self.updated_at = now;
    }

    /// Returns the recent rate, in units a second.
    pub fn rate(&self, now: Millis, lambda: f64) -> f64 {
        1000.0 * self.units * lambda * (lambda * (self.updated_at - now)).exp()
    }

    fn decayed(&self, now: Millis, lambda: f64) -> f64 {
        self.units * (lambda * (self.updated_at - now)).exp()
    }
}

/// Returns for how long the penalty box rejects all requests: until the `recent` average rate has
/// decayed; `None` if it admits them. `rate` and `burst` are the quota's.
pub(crate) fn penalty_box_wait(recent: f64, rate: f64, burst: f64, lambda: f64) -> Option<Millis> {
    let limit = PENALTY_BOX_LIMIT_FACTOR * rate + 1000.0 * lambda * burst;
    (recent > limit).then(|| (recent / limit).ln() / lambda)
}

/// The state of one customer at this gateway.
#[derive(Clone, Debug, Default)]
struct Customer {
    average: Cewma,
    largest_units: f64,
    /// Units that the slice may hold.
    slice_depth: f64,
    /// Units left in the slice of the quota and the share of the rate limit, as of `refilled_at`.
    slice: f64,
    rate_limit_units: f64,
    refilled_at: Millis,
    /// Refill rate of the slice, in units a second.
    refill_rate: f64,
    attempts: ConcurrencyLimit,
    /// Metered usage of the quota through all gateways.
    metered: MeteredUsage,
    admitted_fraction: f64,
}

/// This gateway's share of a quota.
#[derive(Clone, Copy, Debug)]
struct QuotaShare {
    /// Decay rate of the recent average: ln 2 / half-life, per millisecond.
    lambda: f64,
    /// Decay rate of estimates of usage other than the recent average and metered usage.
    usage_lambda: f64,
    /// Decay rate of metered usage.
    meter_lambda: f64,
    /// The even share of the quota rate, in units a second.
    even_rate: f64,
    /// Units that the slice may hold.
    depth: f64,
    /// Whether the slice is a sliver: the even share of the burst is below a typical request.
    is_sliver: bool,
}

/// The decision module of one gateway: takes events and returns actions.
pub struct Gateway {
    settings: Settings,
    rng: Pcg32,
    /// Time of the event being handled, and the actions that result from it.
    now: Millis,
    actions: Vec<Action>,
    started_at: Option<Millis>,
    /// The shortest latency target of all classes.
    target: Millis,
    customers: EvictingMap<CustomerId, Customer>,
    /// Balances of quotas by the reports of other gateways; empty if they report nothing.
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
    /// Creates a gateway; `seed` is its only source of randomness.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Gateway {
            rng: Pcg32::seed_from_u64(seed),
            now: 0.0,
            actions: Vec::new(),
            started_at: None,
            target: settings.min_target(),
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

    /// Handles an event that happened at `now` and appends the resulting actions to `actions`.
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
            // This module never sends a probe: the outcomes of its own attempts suffice.
            Event::Probed { .. } => {}
        }
        std::mem::swap(&mut self.actions, actions);
    }

    /// Changes the settings. Classes and plans may be added or changed but must keep their indices.
    pub fn amend(&mut self, change: impl FnOnce(&mut Settings)) {
        change(&mut self.settings);
        self.target = self.settings.min_target();
    }

    /// Makes every choice examine all backends, for comparison: same decisions, at a higher cost.
    pub fn exhaustive(mut self) -> Self {
        self.backends.index_mut().make_exhaustive();
        self
    }

    /// Returns the size of the state, and how many backends all choices have examined.
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

//! The types that pass between a gateway process and the decision module: settings and events in,
//! actions out.
//!
//! All times are milliseconds on the caller's clock; the module never reads a clock itself. Rates
//! are per second. Quotas are counted in units: each request takes some units of its customer's
//! quota.

/// A point in time or a span, in milliseconds.
pub type Millis = f64;

/// A request id, assigned by the caller and never used twice in one incarnation of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A backend id, as in the list of backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u32);

/// A customer, the owner of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);

/// The index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// The index of a plan in [`Settings::plans`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);

/// A zone, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A cell: a small group of backends that share their memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

/// A timer; the module chooses its id in [`Action::SetTimer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// The backends that deduplicate the attempts of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every backend deduplicates the attempts.
    All,
    /// Only the backends in the zone of the first attempt deduplicate the attempts.
    Zone,
    /// Only the backends in the cell of the first attempt deduplicate the attempts.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// Backends deduplicate the attempts of the request by an idempotency key, within a scope and
    /// for a time.
    Keyed {
        /// The backends that deduplicate.
        scope: DedupScope,
        /// For how long backends deduplicate, in milliseconds from the send of the first attempt
        /// that may have run.
        window: Millis,
    },
    /// The request must not run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Time within which a response earns its full value, in milliseconds.
    pub latency_target: Millis,
    /// Maximum time that a client waits, over all its retries, in milliseconds.
    pub deadline: Millis,
    /// Value of a served request, per unit.
    pub value: f64,
    /// Fraction of the value that a response after the latency target still earns.
    pub late_value: f64,
    /// Whether a request of this class may run more than once.
    pub idempotency: Idempotency,
    /// Whether responses are streamed.
    pub streaming: bool,
    /// Maximum number of attempts for one request, if [`Settings::max_attempts`] is not lower.
    pub max_attempts: u32,
}

/// A hard limit on the rate at which all gateways together forward one customer's requests: a token
/// bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Refill rate, in units a second.
    pub rate: f64,
    /// Maximum number of units in the bucket.
    pub burst: f64,
    /// Number of units by which the bucket may be overdrawn.
    pub slack: f64,
}

/// A plan: the quota and the prices of the customers that bought it.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Quota in units a second, through all gateways; 0 for no quota.
    pub rate: f64,
    /// Units of the quota that may be used at once.
    pub burst: f64,
    /// Maximum number of attempts in flight through all gateways; 0 for no limit.
    pub max_in_flight: u32,
    /// Factor on the value of a request.
    pub price: f64,
    /// Fraction of its value that a request earns if it is forwarded beyond the quota.
    pub over_quota_value: f64,
    /// Fraction of its value that a request costs if it is forwarded beyond the quota.
    pub over_quota_cost: f64,
    /// The hard rate limit, if the plan has one.
    pub rate_limit: Option<RateLimit>,
}

/// How the list of backends reaches a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed without a subscription.
    Pushed,
    /// Changes arrive only after [`Action::Subscribe`] or [`Action::FetchBackends`].
    OnRequest,
}

/// How backends' load reports reach a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// Load reports do not reach the gateway.
    Off,
    /// Load reports arrive with every end of an attempt and every probe result.
    Inline,
    /// Load reports arrive with probe results only.
    OnProbe,
}

/// The settings of a gateway: the size of its deployment, and what the deployment permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of gateways in this tier.
    pub gateways: u32,
    /// Zone of this gateway.
    pub zone: ZoneId,
    /// Minimum time between two batches of events, in milliseconds.
    pub tick: Millis,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// Maximum number of units of one request; larger values are clamped.
    pub max_units: f64,
    /// Period of the usage meter, in milliseconds; 0 if there is no meter.
    pub meter_period: Millis,
    /// How the list of backends arrives.
    pub discovery: Discovery,
    /// How load reports arrive.
    pub reports: Reports,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Retries that each forwarded request adds to the gateway's retry budget.
    pub retry_ratio: f64,
    /// Retries in the budget at the start.
    pub initial_retries: f64,
    /// Maximum number of retries that accumulate in the budget.
    pub max_saved_retries: f64,
    /// Window over which the fleet's retries are counted, in milliseconds. If it is not 0, a
    /// gateway whose `max_saved_retries` is below one retry also accumulates what it earned in this
    /// window.
    pub retry_window: Millis,
    /// Whether a request may have two attempts in flight at a time.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether probes (health checks) are permitted.
    pub probes: bool,
    /// Whether rejections may advise a retry-after time.
    pub retry_after: bool,
    /// Maximum retry-after time that clients follow, in milliseconds.
    pub max_retry_after: Millis,
    /// Price of an attempt that crosses zones, as a fraction of the request's value.
    pub cross_zone_price: f64,
    /// Time after the client's deadline in which a final response still counts, in milliseconds.
    pub response_grace: Millis,
    /// Time within which forwarding to a draining or removed backend must stop, in milliseconds.
    pub drain_grace: Millis,
    /// With [`Discovery::OnRequest`]: age in milliseconds after which a list counts as known to the
    /// gateway, even if the gateway did not request it.
    pub max_unrequested_list_age: Millis,
    /// Minimum fraction of its full capacity that a backend has at its start.
    pub start_capacity: f64,
    /// Maximum time until a started backend has its full capacity, in milliseconds.
    pub warm_up: Millis,
    /// Load, as a multiple of its present capacity, that overloads a backend that is warming up.
    pub overload_factor: f64,
    /// Time for which a load above `overload_factor` must last to overload the backend, in
    /// milliseconds.
    pub overload_window: Millis,
}

/// State of a backend in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The backend accepts requests.
    Ready,
    /// The backend finishes its requests and accepts no new ones.
    Draining,
    /// The backend was removed from the list.
    Removed,
}

/// An entry of the list of backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendEntry {
    /// Id of the backend.
    pub id: BackendId,
    /// Zone of the backend.
    pub zone: ZoneId,
    /// Cell of the backend.
    pub cell: CellId,
    /// State of the backend.
    pub availability: Availability,
    /// Time of the backend's last start; `None` if long ago.
    pub started: Option<Millis>,
    /// Capacity relative to other backends; 1 if unknown.
    pub size: f64,
}

/// What an [`Event::Backends`] contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Changes,
    /// The complete list; backends that are not in it count as removed.
    Full,
    /// The complete list as an earlier incarnation of this gateway last received it.
    Cached,
    /// Nothing: a query or subscription failed, and the previous list stays.
    Failed,
}

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// The customer whose quota the request uses.
    pub customer: CustomerId,
    /// The customer's plan.
    pub plan: PlanId,
    /// Class of the request.
    pub class: ClassId,
    /// Units that the request takes from the quota; an estimate if responses report
    /// [`AttemptEnded::true_units`].
    pub units: f64,
    /// When the client stops waiting for a response; a retry by the client is a new request.
    pub deadline: Millis,
    /// Whether the caller is authorized already. Otherwise the request is admitted or rejected like
    /// any other and, if admitted, is pending until [`Event::Authorized`].
    pub authorized: bool,
    /// Number of gateways through which this customer's requests come.
    pub gateways: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served.
    Ok,
    /// The backend responded with an error; the request may have run.
    Error,
    /// The backend rejected the request before it ran, because it was at capacity.
    Full,
    /// No response in time; the request may have run or may still run.
    Timeout,
    /// No connection could be established, or it broke before the request's head was completely
    /// written; the request did not run.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The request was never sent.
    NotSent,
}

/// How an attempt is protected against a connection that turns out to be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendMode {
    /// No protection: the request is written at once, on any connection.
    Immediate,
    /// The last byte of the head is withheld until the connection has carried the rest of the
    /// head. If the connection breaks before, the request cannot have run.
    WithholdLastByte,
    /// As [`SendMode::WithholdLastByte`], and an idle connection is reused only at an idle age at
    /// which other connections have recently proved intact.
    WithholdLastByteOnProvenConnection,
}

/// A backend's load report, which is delayed and approximate. `None` is a value that the backend
/// does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests in flight at the backend.
    pub in_flight: Option<f64>,
    /// Requests in the backend's queue.
    pub queue: Option<f64>,
    /// Fraction of the backend's processors in use.
    pub utilisation: Option<f64>,
    /// Recent service time, in milliseconds.
    pub latency: Option<Millis>,
    /// Requests served per second.
    pub throughput: Option<f64>,
    /// Errors per second.
    pub errors: Option<f64>,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt among those of the request, from 0.
    pub attempt: u32,
    /// The backend that the attempt was sent to.
    pub backend: BackendId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent, in milliseconds.
    pub elapsed: Millis,
    /// Whether the request is finished, so that no further attempt may follow.
    pub request_closed: bool,
    /// The customer's usage through all gateways in the last metered period, as a fraction of what
    /// [`Plan::rate`] allows.
    pub metered_usage: Option<f64>,
    /// Units that the request actually took, if the response reports them.
    pub true_units: Option<f64>,
    /// The backend's load report, empty if there was none.
    pub report: Report,
    /// Number of established connections that broke during this attempt; the attempt may have gone
    /// on over another connection.
    pub broken_connections: u32,
}

/// A report of what other gateways have admitted for a customer, if gateways share their counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemoteUsage {
    /// The customer.
    pub customer: CustomerId,
    /// The customer's plan.
    pub plan: PlanId,
    /// Units used at other gateways since the previous report; negative if more units were given
    /// back than used.
    pub units: f64,
    /// Time up to which usage at other gateways is reported, except for at most `error` units.
    pub as_of: Millis,
    /// Maximum number of units that were used at other gateways without being reported.
    pub error: f64,
    /// Fraction of the gateways whose usage is reported, including this one, from 0 to 1.
    pub reporting_fraction: f64,
}

/// Something that happened at a gateway process.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of backends, or changes of it.
    Backends(ListKind, Vec<BackendEntry>),
    /// A request arrived.
    Arrival(Request),
    /// The check of a caller has ended ([`Action::Authorize`]). If the caller is allowed, the
    /// request is forwarded or rejected. If not, the request takes no units from its quota, and the
    /// process that reports this event responds to the client.
    Authorized {
        /// The request.
        request: RequestId,
        /// Whether the caller is allowed.
        allowed: bool,
    },
    /// Usage at other gateways was reported. Without a recent report a gateway decides by its own
    /// counts.
    RemoteUsage(RemoteUsage),
    /// A streamed response has begun.
    StreamStarted(RequestId),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The client disconnected.
    ClientDisconnected(RequestId),
    /// A timer fired.
    Timer(TimerId),
    /// A probe ended.
    Probed {
        /// The backend.
        backend: BackendId,
        /// How the probe ended.
        outcome: Outcome,
        /// How long the probe took, in milliseconds.
        elapsed: Millis,
        /// The backend's load report, empty if there was none.
        report: Report,
    },
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// The settings have no such plan or class.
    Unknown,
    /// All requests are rejected: the customer's recent average rate is over the penalty box's
    /// limit.
    PenaltyBox,
    /// The quota is used up, according to the reports of other gateways. Proxies that hold leases
    /// use [`QuotaRejection`](crate::QuotaRejection) instead.
    QuotaExhausted,
    /// Only a random fraction of the requests is admitted, which depends on how slow responses are
    /// and on the known usage; this request was not among them.
    Backpressure,
    /// This gateway's slice of the quota is used up.
    Slice,
    /// The customer is at its hard rate limit.
    RateLimit,
    /// The customer has the maximum number of attempts in flight.
    InFlightLimit,
    /// No backend is expected to respond in time.
    NoBackend,
    /// The request was forwarded, but no attempt has served it, and no further attempt can.
    AttemptsFailed,
}

impl RejectReason {
    /// All reasons, in the order of declaration.
    pub const ALL: [RejectReason; 9] = [
        RejectReason::Unknown,
        RejectReason::PenaltyBox,
        RejectReason::QuotaExhausted,
        RejectReason::Backpressure,
        RejectReason::Slice,
        RejectReason::RateLimit,
        RejectReason::InFlightLimit,
        RejectReason::NoBackend,
        RejectReason::AttemptsFailed,
    ];

    /// Returns the reason's name in tables and results.
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::Unknown => "unknown",
            RejectReason::PenaltyBox => "box",
            RejectReason::QuotaExhausted => "sold-out",
            RejectReason::Backpressure => "share",
            RejectReason::Slice => "slice",
            RejectReason::RateLimit => "ceiling",
            RejectReason::InFlightLimit => "open",
            RejectReason::NoBackend => "backends",
            RejectReason::AttemptsFailed => "attempts",
        }
    }
}

/// Something that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The backend to send the attempt to.
        backend: BackendId,
        /// Timeout of the attempt, in milliseconds; `None` to wait until the client gives up.
        timeout: Option<Millis>,
        /// How the attempt is protected against a broken connection.
        mode: SendMode,
    },
    /// Check the caller of a request, and report the result as [`Event::Authorized`]. The request
    /// is not forwarded before that.
    Authorize(RequestId),
    /// Send the final response that the request is rejected: a retry by the client is safe.
    Reject {
        /// The request.
        request: RequestId,
        /// Why the request is rejected.
        reason: RejectReason,
        /// Time after which a retry is advised, in milliseconds; `None` for no advice.
        retry_after: Option<Millis>,
    },
    /// Send the final response that the request failed: the request may have run.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Set a timer, which fires as [`Event::Timer`].
    SetTimer {
        /// When the timer fires.
        at: Millis,
        /// Id that the timer's event reports.
        timer: TimerId,
    },
    /// Check the health of a backend, and report the result as [`Event::Probed`].
    Probe(BackendId),
    /// Close idle connections to a backend.
    CloseIdle(BackendId),
    /// Subscribe to changes of the list of backends.
    Subscribe,
    /// Fetch the complete list of backends once.
    FetchBackends,
    /// Write a log line.
    Log(String),
}

impl Default for Class {
    fn default() -> Self {
        Class {
            latency_target: 1000.0,
            deadline: 2000.0,
            value: 1.0,
            late_value: 0.0,
            idempotency: Idempotency::NonIdempotent,
            streaming: false,
            max_attempts: u32::MAX,
        }
    }
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            rate: 0.0,
            burst: 0.0,
            max_in_flight: 0,
            price: 1.0,
            over_quota_value: 0.0,
            over_quota_cost: 0.0,
            rate_limit: None,
        }
    }
}

impl Default for Settings {
    /// A single gateway without any optional permission: one attempt per request, no hedging,
    /// cancellation, probes or retry-after times.
    fn default() -> Self {
        Settings {
            gateways: 1,
            zone: ZoneId(0),
            tick: 1.0,
            classes: Vec::new(),
            plans: Vec::new(),
            max_units: 1.0,
            meter_period: 0.0,
            discovery: Discovery::Pushed,
            reports: Reports::Off,
            max_attempts: 1,
            retry_ratio: 0.2,
            initial_retries: 10.0,
            max_saved_retries: 10.0,
            retry_window: 0.0,
            hedging: false,
            cancellation: false,
            probes: false,
            retry_after: false,
            max_retry_after: 0.0,
            cross_zone_price: 0.0,
            response_grace: 0.0,
            drain_grace: 0.0,
            max_unrequested_list_age: 10_000.0,
            start_capacity: 0.1,
            warm_up: 30_000.0,
            overload_factor: 2.0,
            overload_window: 1000.0,
        }
    }
}

/// The size of a gateway's state, and the cost of its choices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayStats {
    /// Number of customers with an entry.
    pub customers: usize,
    /// Number of backends that the gateway's choices have examined so far.
    pub backends_examined: u64,
}

//! What passes between a front door and the decision module: settings in, events in, actions out.
//!
//! All times are milliseconds on the clock of the caller; the module never reads a clock of its own.

/// A point in time or a span, in milliseconds.
pub type Millis = f64;

/// A request as the front door numbers it; an id is never used twice in one life of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A backend as the list of backends names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u32);

/// A customer, the owner of one quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);

/// The place of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// The place of a plan in [`Settings::plans`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);

/// A zone, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// A cell: a handful of backends that remember the same idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

/// A timer, named by the module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// The backends that drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every backend.
    All,
    /// Those in the zone of the first attempt.
    Zone,
    /// Those in the cell of the first attempt.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Repeating it is harmless.
    Idempotent,
    /// Repeats are dropped within a group of backends for a time.
    Keyed {
        /// Who drops the repeats.
        scope: DedupScope,
        /// For how long, from the send of the first attempt that may have run.
        window: Millis,
    },
    /// It must never run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns its full worth.
    pub latency_target: Millis,
    /// How long a client waits at most, over all its tries.
    pub deadline: Millis,
    /// Worth of one unit of it.
    pub value: f64,
    /// Part of the worth that an answer after the aim still earns.
    pub late_value: f64,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// Whether its answer is a stream.
    pub streaming: bool,
    /// Most attempts for one of its requests, besides [`Settings::max_attempts`].
    pub max_attempts: u32,
}

/// A hard rate limit on what all gateways send on for one customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Units a second that refill it.
    pub rate: f64,
    /// Units it holds at most.
    pub burst: f64,
    /// Units by which it may be overdrawn.
    pub slack: f64,
}

/// A plan that customers buy.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Quota in units a second over all gateways; 0 means none.
    pub rate: f64,
    /// Units of quota that may be used at once.
    pub burst: f64,
    /// Attempts out at once that the quota covers; 0 means no such quota.
    pub max_in_flight: u32,
    /// Factor on the worth of a request.
    pub price: f64,
    /// Part of its worth that a request sent on beyond the quota earns.
    pub over_quota_value: f64,
    /// Part of its worth that a request sent on beyond the quota costs.
    pub over_quota_cost: f64,
    /// The hard rate limit, if the plan has one.
    pub rate_limit: Option<RateLimit>,
}

/// How the list of backends reaches a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive by themselves.
    Pushed,
    /// Changes arrive only after a subscription or a query.
    OnRequest,
}

/// How load reports of backends reach a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// Not at all.
    Off,
    /// In every outcome and probe result.
    Inline,
    /// In probe results only.
    OnProbe,
}

/// What a deployment permits and how it is shaped, told once at the start of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of gateways in this tier.
    pub gateways: u32,
    /// Zone this gateway stands in.
    pub zone: ZoneId,
    /// Shortest time between two batches of events.
    pub tick: Millis,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// Most units that one request counts.
    pub max_units: f64,
    /// Period of the use meter; 0 means there is no meter.
    pub meter_period: Millis,
    /// How the list of backends arrives.
    pub discovery: Discovery,
    /// How load reports arrive.
    pub reports: Reports,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Further attempts earned with each first one; so many are there at the start, and saved up at most.
    pub retry_ratio: f64,
    /// See above.
    pub initial_retries: f64,
    /// See above.
    pub max_saved_retries: f64,
    /// The span over which the fleet's retries are counted, where a gateway whose `max_saved_retries` is below one
    /// retry may save what it has earned in that span; 0 where it may not.
    pub retry_window: Millis,
    /// Whether one request may have two attempts out at a time.
    pub hedging: bool,
    /// Whether attempts may be called off.
    pub cancellation: bool,
    /// Whether probes are permitted.
    pub probes: bool,
    /// Whether clients are handed a retry-after time.
    pub retry_after: bool,
    /// Longest retry-after time that clients follow.
    pub max_retry_after: Millis,
    /// Price of an attempt that crosses zones, as a part of the whole worth.
    pub cross_zone_price: f64,
    /// Time after the client's deadline in which a final answer still counts.
    pub response_grace: Millis,
    /// Grace within which sends to a draining or gone backend must stop.
    pub drain_grace: Millis,
    /// With [`Discovery::OnRequest`]: how old an unasked list may be before it counts as known.
    pub max_unrequested_list_age: Millis,
    /// Part of its capacity with which a backend starts, at least.
    pub start_capacity: f64,
    /// Time after which a started backend is warm, at most.
    pub warm_up: Millis,
    /// Multiple of its present capacity that pushes a cold backend over.
    pub overload_factor: f64,
    /// Time for which it takes that multiple.
    pub overload_window: Millis,
}

/// State of a backend in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// May be sent to.
    Ready,
    /// Finishing its work.
    Draining,
    /// Removed.
    Removed,
}

/// One line of the list of backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendEntry {
    /// Which backend.
    pub id: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub availability: Availability,
    /// Time of its last start; `None` if long ago.
    pub started: Option<Millis>,
    /// Size relative to others; 1 where nothing is known.
    pub size: f64,
}

/// What a [`Event::Backends`] holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed lines.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as this gateway last had it in an earlier life.
    Cached,
    /// A query or subscription failed; the old list stays.
    Failed,
}

/// A request of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Whose it is.
    pub customer: CustomerId,
    /// The customer's plan.
    pub plan: PlanId,
    /// Its class.
    pub class: ClassId,
    /// Units it takes from the quota; a guess where units are settled with the answer.
    pub units: f64,
    /// When the client stops waiting for this try.
    pub deadline: Millis,
    /// Whether its caller needs no check any more. One that does is admitted or refused like any other, and if it is
    /// admitted, held until [`Event::Authorized`].
    pub authorized: bool,
    /// Through how many gateways this customer's requests come.
    pub gateways: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The backend answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in time; it may have run or may still run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// What is done lest a connection that breaks takes a request along.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendMode {
    /// Nothing: the request is written at once, to any connection.
    Immediate,
    /// Its last byte waits until the connection has stood the rest: it cannot have run where that breaks before.
    WithholdLastByte,
    /// So it does, and a kept connection is used only at an age at which others have held of late.
    WithholdLastByteOnProvenConnection,
}

/// A load report of a backend; late and not exact.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests it holds.
    pub in_flight: Option<f64>,
    /// Requests that wait.
    pub queue: Option<f64>,
    /// Part of its processors that is busy.
    pub utilisation: Option<f64>,
    /// Its recent service time.
    pub latency: Option<Millis>,
    /// Requests it serves a second.
    pub throughput: Option<f64>,
    /// Errors a second.
    pub errors: Option<f64>,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnded {
    /// Whose attempt.
    pub request: RequestId,
    /// Which attempt of the request, from 0.
    pub attempt: u32,
    /// Where it went.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Millis,
    /// Whether the request is over.
    pub request_closed: bool,
    /// The customer's use by all gateways in the last metered period, as a part of its rate.
    pub metered_usage: Option<f64>,
    /// True units, where they are settled with the answer.
    pub true_units: Option<f64>,
    /// The backend's load, if it came along.
    pub report: Report,
    /// Connections that had come up and broke under this attempt; others may have stood in for them.
    pub broken_connections: u32,
}

/// What other gateways have let in for a customer, where gateways can tell one another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemoteUsage {
    /// Whose quota.
    pub customer: CustomerId,
    /// Its plan.
    pub plan: PlanId,
    /// Units used elsewhere that were not told before; below nought where more was given back than used.
    pub units: f64,
    /// All that was used elsewhere until then is told, but for `error`.
    pub as_of: Millis,
    /// Units at most that may have been used elsewhere and are not told.
    pub error: f64,
    /// Part of the gateways that are heard of, this one with them; from nought to one.
    pub reporting_fraction: f64,
}

/// Something that happened at a front door.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of backends, or changes of it.
    Backends(ListKind, Vec<BackendEntry>),
    /// A request came in.
    Arrival(Request),
    /// The caller of a held request was checked. One that does not pass takes nothing from its quota, and whoever told
    /// this answers it; one that does is sent on or refused.
    Authorized {
        /// Which request.
        request: RequestId,
        /// Whether its caller passes.
        allowed: bool,
    },
    /// More was used elsewhere. Without such news, or once it is old, a gateway decides by itself.
    RemoteUsage(RemoteUsage),
    /// A streamed answer has begun.
    StreamStarted(RequestId),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The client went away.
    ClientDisconnected(RequestId),
    /// A timer came due.
    Timer(TimerId),
    /// A probe ended.
    Probed {
        /// Which backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        elapsed: Millis,
        /// The load report, if it came along.
        report: Report,
    },
}

/// Why a request is turned away, in the order in which it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RejectReason {
    /// Its plan or class is in no settings.
    Unknown,
    /// Its customer's recent average is over the limit: the box is shut.
    PenaltyBox,
    /// Its quota is used up, as other gateways tell.
    QuotaExhausted,
    /// It was not drawn: a part is let in, by how slow answers are and what use is known.
    Backpressure,
    /// This gateway's slice of its quota is used up.
    Slice,
    /// Its customer is at its rate limit.
    RateLimit,
    /// Its customer has as many attempts out as it may.
    InFlightLimit,
    /// No backend would answer it in time.
    NoBackend,
    /// It was sent on, and no attempt has served it or can.
    AttemptsFailed,
}

impl RejectReason {
    /// All, in their order.
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

    /// Its name in tables and results.
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

/// Something the front door is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; `timeout` is its time-out, `None` until the client gives up.
    Send {
        /// Which request.
        request: RequestId,
        /// To which backend.
        backend: BackendId,
        /// Its time-out.
        timeout: Option<Millis>,
        /// What is done lest a broken connection takes the request along.
        mode: SendMode,
    },
    /// Have the caller of a request checked, and tell by [`Event::Authorized`]. Nothing is sent on until then.
    Authorize(RequestId),
    /// Final answer: turned away, trying again is harmless.
    Reject {
        /// Which request.
        request: RequestId,
        /// Why.
        reason: RejectReason,
        /// When to come back, if advised.
        retry_after: Option<Millis>,
    },
    /// Final answer: failed, nothing promised.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// Which request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Ask for an [`Event::Timer`] at a time.
    SetTimer {
        /// When.
        at: Millis,
        /// Its name.
        timer: TimerId,
    },
    /// Check a backend.
    Probe(BackendId),
    /// Close idle connections to a backend.
    CloseIdle(BackendId),
    /// Ask for changes of the list of backends from now on.
    Subscribe,
    /// Ask for the whole list once.
    FetchBackends,
    /// A line for the operators.
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
    /// One gateway and the most careful reading of what is not told: nothing is permitted that needs leave.
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

/// What a gateway holds, and what its choices took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayStats {
    /// Customers of which it holds an entry.
    pub customers: usize,
    /// Backends that its choices have looked at one by one so far.
    pub backends_examined: u64,
}

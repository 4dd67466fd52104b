//! State of requests, on three levels: the client's request, each request at a proxy (the first or
//! a retry of the client's), and each attempt of a proxy at a backend.

/// A client request and its result.
#[derive(Clone, Debug)]
pub(super) struct ClientRequest {
    pub(super) started_at: f64,
    pub(super) customer: usize,
    pub(super) class: usize,
    /// Estimated units, and the units that the request really takes.
    pub(super) units: f64,
    pub(super) true_units: f64,
    pub(super) work: f64,
    pub(super) served: bool,
    /// Whether one of its requests at proxies was admitted within the quota.
    pub(super) admitted: bool,
}

/// A request at a proxy, kept until it is completed and has no pending attempt.
#[derive(Clone, Debug)]
pub(super) struct ProxyRequest {
    pub(super) client_request: usize,
    pub(super) number: u32,
    pub(super) proxy: usize,
    pub(super) incarnation: u32,
    pub(super) deadline: f64,
    pub(super) completed: bool,
    pub(super) attempts_sent: u32,
    pub(super) pending_attempt: Option<u64>,
    pub(super) within_quota: bool,
    pub(super) executions: u32,
}

/// An attempt at a backend, kept until its end was reported and it has left the backend.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) id: u32,
    pub(super) number: u32,
    pub(super) backend: usize,
    pub(super) proxy: usize,
    pub(super) incarnation: u32,
    pub(super) sent: f64,
    pub(super) client_request: usize,
    /// Whether its end was reported to its proxy.
    pub(super) reported: bool,
    /// Whether it is in its backend, or on its way there.
    pub(super) at_backend: bool,
}

//! Client requests, requests at proxies and attempts that a run follows.

/// A client request and what came of it.
#[derive(Clone, Debug)]
pub(super) struct ClientRequest {
    pub(super) started_at: f64,
    pub(super) customer: usize,
    pub(super) class: usize,
    /// What it is estimated to take, and what it takes in truth.
    pub(super) units: f64,
    pub(super) true_units: f64,
    pub(super) work: f64,
    pub(super) served: bool,
    /// Whether an attempt of it was admitted within its quota.
    pub(super) admitted: bool,
}

/// A request at a proxy that is not over.
#[derive(Clone, Debug)]
pub(super) struct ProxyRequest {
    pub(super) client_request: usize,
    pub(super) number: u32,
    pub(super) proxy: usize,
    pub(super) incarnation: u32,
    pub(super) deadline: f64,
    pub(super) answered: bool,
    pub(super) attempts_sent: u32,
    pub(super) pending_attempt: Option<u64>,
    pub(super) within_quota: bool,
    pub(super) executions: u32,
}

/// An attempt that is not over.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) id: u32,
    pub(super) number: u32,
    pub(super) backend: usize,
    pub(super) proxy: usize,
    pub(super) incarnation: u32,
    pub(super) sent: f64,
    pub(super) client_request: usize,
    /// Whether its end has been notified to its proxy.
    pub(super) reported: bool,
    /// Whether it is in its backend, or on its way there.
    pub(super) at_backend: bool,
}

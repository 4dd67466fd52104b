//! The events of a run. Each is handled by the module whose name it carries; `u32` is the id of a request at a proxy, `u64`
//! that of an attempt.

use maplefall_policy as policy;
use maplefall_policy::{BackendEntry, TimerId};

/// An event of a run.
#[derive(Clone, Debug)]
pub(super) enum RunEvent {
    /// The next client request is made.
    NextRequest,
    /// A client retries.
    Retry {
        client_request: usize,
        number: u32,
        proxy: Option<usize>,
    },
    /// A request reaches its proxy.
    ProxyReceives(u32),
    /// A client stops waiting for an answer.
    ClientTimeout(u32),
    /// An attempt reaches its backend.
    BackendReceives(u64),
    /// A backend has done a job.
    JobDone {
        backend: usize,
        incarnation: u32,
        attempt: u64,
    },
    /// The end of an attempt reaches its proxy.
    AttemptEnded(u64, policy::Outcome),
    /// An attempt's time limit is reached.
    AttemptTimeout(u64),
    /// An alarm of a proxy's decision module is due.
    Alarm {
        proxy: usize,
        incarnation: u32,
        alarm: TimerId,
    },
    /// A proxy without an agent receives changes of the endpoint list.
    EndpointsChanged {
        proxy: usize,
        entries: Vec<BackendEntry>,
    },
    /// A proxy's agent receives a version of the endpoint list at one of its addresses.
    AgentUpdated {
        proxy: usize,
        at: usize,
        version: u64,
    },
    /// The proxy counts as notified of all versions up to this one.
    Notified { proxy: usize, version: u64 },
    /// Something is due between a proxy and its agent.
    AgentDue { proxy: usize, at: f64 },
    /// A proxy is notified that its agent has moved.
    AgentMoved {
        proxy: usize,
        close_ms: f64,
        lag_ms: f64,
    },
    /// A proxy begins an orderly stop.
    ProxyStopping {
        proxy: usize,
        stop_ms: f64,
        down_ms: f64,
    },
    /// An orderly stop ends.
    ProxyStopped { proxy: usize, down_ms: f64 },
    /// A fault begins.
    Fault(usize),
    /// A proxy starts again.
    ProxyRestart(usize),
    /// A backend begins to drain.
    BackendDrain(usize),
    /// A drained backend ends and is replaced.
    BackendEnd(usize),
    /// A backend's speed changes by this factor.
    BackendSpeed(usize, f64),
    /// The next request of a flood, which ends at `until`; `pause` is the mean gap in milliseconds.
    FloodRequest {
        customer: usize,
        pause: f64,
        until: f64,
    },
    /// A customer's spike begins.
    SpikeStart(usize),
    /// The next request of a customer that comes once.
    OneShotRequest { pause: f64, until: f64 },
    /// A partition ends.
    PartitionHealed,
    /// The backends of a zone start again.
    BackendsRestart(Vec<usize>),
}

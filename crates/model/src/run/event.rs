//! The events of a run. Each is handled by the module that its name refers to; `u32` is the
//! identifier of a request at a proxy, `u64` that of an attempt.

use maplefall_policy as policy;
use maplefall_policy::{BackendEntry, TimerId};

/// An event of a run.
#[derive(Clone, Debug)]
pub(super) enum RunEvent {
    /// The arrival process makes the next client request.
    NextRequest,
    /// A client retries.
    Retry {
        client_request: usize,
        number: u32,
        proxy: Option<usize>,
    },
    /// A request reaches its proxy.
    ProxyReceives(u32),
    /// A client stops waiting for a response.
    ClientTimeout(u32),
    /// An attempt reaches its backend.
    BackendReceives(u64),
    /// A backend completes a job.
    JobDone {
        backend: usize,
        incarnation: u32,
        attempt: u64,
    },
    /// The end of an attempt reaches its proxy.
    AttemptEnded(u64, policy::Outcome),
    /// An attempt times out.
    AttemptTimeout(u64),
    /// A timer of a proxy's decision module fires.
    PolicyTimer {
        proxy: usize,
        incarnation: u32,
        timer: TimerId,
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
    /// A proxy begins a graceful shutdown.
    ProxyStopping {
        proxy: usize,
        stop_ms: f64,
        down_ms: f64,
    },
    /// A graceful shutdown ends.
    ProxyStopped { proxy: usize, down_ms: f64 },
    /// The fault of this index begins.
    Fault(usize),
    /// A proxy starts again.
    ProxyRestart(usize),
    /// A backend begins to drain.
    BackendDrain(usize),
    /// A drained backend ends and is replaced.
    BackendEnd(usize),
    /// A backend's speed changes by this factor.
    BackendSpeed(usize, f64),
    /// The next request of a flood or a spike, which ends at `until`; `mean_gap` is the mean
    /// interarrival time in milliseconds.
    FloodRequest {
        customer: usize,
        mean_gap: f64,
        until: f64,
    },
    /// A customer's spike begins.
    SpikeStart(usize),
    /// The next request of a one-shot customer; `mean_gap` is the mean interarrival time in
    /// milliseconds.
    OneShotRequest { mean_gap: f64, until: f64 },
    /// A partition ends.
    PartitionHealed,
    /// The backends of a lost zone start again.
    BackendsRestart(Vec<usize>),
}

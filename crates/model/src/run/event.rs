//! The events of a run.

use maplefall_policy as policy;
use maplefall_policy::{AlarmId, BackendEntry};

/// Something that happens.
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
    /// An attempt comes to its backend.
    BackendReceives(u64),
    /// A backend has done a job.
    JobDone {
        backend: usize,
        incarnation: u32,
        attempt: u64,
    },
    /// The end of an attempt comes to its proxy.
    AttemptEnded(u64, policy::Outcome),
    /// An attempt's limit is over.
    AttemptTimeout(u64),
    /// An alarm of a proxy's.
    Alarm {
        proxy: usize,
        incarnation: u32,
        alarm: AlarmId,
    },
    /// A proxy hears of backends.
    EndpointsChanged {
        proxy: usize,
        entries: Vec<BackendEntry>,
    },
    /// A proxy's agent hears of a version at one of its places.
    AgentUpdated {
        proxy: usize,
        at: usize,
        version: u64,
    },
    /// What a proxy's agent has to tell counts as notified.
    Notified { proxy: usize, version: u64 },
    /// Something is due between a proxy and its agent.
    AgentDue { proxy: usize, at: f64 },
    /// A proxy is notified that its agent has moved.
    AgentMoved {
        proxy: usize,
        close_ms: f64,
        lag_ms: f64,
    },
    /// A proxy begins to stop; has stopped.
    ProxyStopping {
        proxy: usize,
        stop_ms: f64,
        down_ms: f64,
    },
    /// See above.
    ProxyStopped { proxy: usize, down_ms: f64 },
    /// A fault begins.
    Fault(usize),
    /// A proxy comes back.
    ProxyRestart(usize),
    /// A backend begins to drain; ends.
    BackendDrain(usize),
    /// See above.
    BackendEnd(usize),
    /// A backend's speed changes.
    BackendSpeed(usize, f64),
    /// The next request of a flood's customer, or of one that comes once, until then.
    FloodRequest {
        customer: usize,
        pause: f64,
        until: f64,
    },
    /// A customer's spike begins.
    SpikeStart(usize),
    /// See above.
    OneShotRequest { pause: f64, until: f64 },
    /// A partition ends.
    PartitionHealed,
    /// The backends of a zone start again.
    BackendsRestart(Vec<usize>),
}

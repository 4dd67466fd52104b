//! Log reports of the time that the controller's thread spends on each kind of input, and of slow
//! calls.
//!
//! One thread handles all inputs, so an input that takes long delays all others: Raft messages,
//! pongs and calls alike. The `load` log line shows the time spent on each kind of input, and in
//! `max_tick_gap_ms` the longest time between two ticks, which a long input extends.

use crate::core::{Call, CallResponse};
use std::fmt;
use std::time::{Duration, Instant};

/// The interval between two `load` log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// A call whose response takes at least this time, or that gets none, is slow: clients stop waiting
/// after one second.
const SLOW_CALL_THRESHOLD: Duration = Duration::from_millis(500);
/// Maximum number of slow calls that are logged per [`REPORT_INTERVAL`]; further ones are only
/// counted.
const MAX_LOGGED_SLOW_CALLS: u32 = 16;

/// The kind of an input of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputKind {
    /// `instances.beat` and `instances.leave`.
    InstanceCall,
    /// `config.amend` and `config.read`.
    OperatorCall,
    /// A frame from another controller.
    PeerFrame,
    /// A frame from a proxy; a lease request is only queued.
    ProxyFrame,
    /// The processing of a queued lease request.
    LeaseRequest,
    /// A connection that was established or has ended.
    Connection,
    /// The notification that records are persisted.
    DiskWrite,
    /// A tick, which advances the core's time.
    Tick,
}

impl InputKind {
    const ALL: [InputKind; 8] = [
        InputKind::InstanceCall,
        InputKind::OperatorCall,
        InputKind::PeerFrame,
        InputKind::ProxyFrame,
        InputKind::LeaseRequest,
        InputKind::Connection,
        InputKind::DiskWrite,
        InputKind::Tick,
    ];

    /// Returns the kind of a call.
    pub(super) fn of_call(call: &Call) -> InputKind {
        match call {
            Call::Heartbeat(..) | Call::Deregister(_) => InputKind::InstanceCall,
            Call::Amend(_) | Call::ReadConfig => InputKind::OperatorCall,
        }
    }

    fn name(self) -> &'static str {
        match self {
            InputKind::InstanceCall => "instance_calls",
            InputKind::OperatorCall => "operator_calls",
            InputKind::PeerFrame => "peer_frames",
            InputKind::ProxyFrame => "proxy_frames",
            InputKind::LeaseRequest => "lease_requests",
            InputKind::Connection => "connections",
            InputKind::DiskWrite => "disk_writes",
            InputKind::Tick => "ticks",
        }
    }
}

/// Number and processing time of the inputs of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct InputLoad {
    count: u64,
    processing_time: Duration,
}

/// Load figures since the last report.
pub(super) struct Load {
    since: Instant,
    last_tick: Instant,
    max_tick_gap: Duration,
    max_input: Duration,
    inputs: [InputLoad; InputKind::ALL.len()],
    slow_calls: u32,
}

impl Load {
    pub(super) fn new(now: Instant) -> Load {
        Load {
            since: now,
            last_tick: now,
            max_tick_gap: Duration::ZERO,
            max_input: Duration::ZERO,
            inputs: Default::default(),
            slow_calls: 0,
        }
    }

    /// Records that the core handled an input, and its outputs were carried out, between these
    /// times.
    pub(super) fn handled(&mut self, kind: InputKind, from: Instant, until: Instant) {
        let processing_time = until - from;
        let input = &mut self.inputs[kind as usize];
        input.count += 1;
        input.processing_time += processing_time;
        self.max_input = self.max_input.max(processing_time);
    }

    /// Records a tick; returns the `load` log line when it is due.
    pub(super) fn tick(&mut self, now: Instant) -> Option<String> {
        self.max_tick_gap = self.max_tick_gap.max(now - self.last_tick);
        self.last_tick = now;
        if now - self.since < REPORT_INTERVAL {
            return None;
        }
        let report = self.to_string();
        *self = Load::new(now);
        Some(report)
    }

    /// Records that a call has ended; returns a log line if it was slow.
    pub(super) fn call_ended(&mut self, call: &CallSummary, duration: Duration) -> Option<String> {
        let is_slow = duration >= SLOW_CALL_THRESHOLD || call.outcome == Outcome::Unavailable;
        if !is_slow {
            return None;
        }
        self.slow_calls += 1;
        let ms = duration.as_millis();
        (self.slow_calls <= MAX_LOGGED_SLOW_CALLS)
            .then(|| format!("event=slow_call {call} ms={ms}"))
    }
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let processing_time: Duration = self.inputs.iter().map(|input| input.processing_time).sum();
        write!(
            f,
            "event=load busy_ms={} max_input_ms={} max_tick_gap_ms={} slow_calls={}",
            processing_time.as_millis(),
            self.max_input.as_millis(),
            self.max_tick_gap.as_millis(),
            self.slow_calls,
        )?;
        for kind in InputKind::ALL {
            let input = self.inputs[kind as usize];
            let name = kind.name();
            let ms = input.processing_time.as_millis();
            write!(f, " {name}={} {name}_ms={ms}", input.count)?;
        }
        Ok(())
    }
}

/// How a call has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    Ok,
    Rejected,
    Redirected,
    Unavailable,
    /// The client closed its connection before it got a response.
    Abandoned,
}

impl Outcome {
    /// Returns the outcome of a call with this response.
    pub(super) fn of(response: &CallResponse) -> Outcome {
        match response {
            CallResponse::Ok(_) => Outcome::Ok,
            CallResponse::Rejected(..) => Outcome::Rejected,
            CallResponse::Redirect(_) => Outcome::Redirected,
            CallResponse::Unavailable => Outcome::Unavailable,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Outcome::Ok => "ok",
            Outcome::Rejected => "rejected",
            Outcome::Redirected => "redirected",
            Outcome::Unavailable => "unavailable",
            Outcome::Abandoned => "abandoned",
        }
    }
}

/// A call as it is logged, with the names that the API uses.
pub(super) struct CallSummary {
    call: &'static str,
    /// Id of the backend; empty for the operator's calls.
    instance: String,
    pub(super) outcome: Outcome,
}

impl CallSummary {
    /// Creates the summary of a call without a response.
    pub(super) fn new(call: &Call) -> CallSummary {
        let (call, instance) = match call {
            Call::Heartbeat(id, _) => ("instances.beat", id.clone()),
            Call::Deregister(id) => ("instances.leave", id.clone()),
            Call::Amend(_) => ("config.amend", String::new()),
            Call::ReadConfig => ("config.read", String::new()),
        };
        CallSummary {
            call,
            instance,
            outcome: Outcome::Abandoned,
        }
    }
}

impl fmt::Display for CallSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "call={}", self.call)?;
        if !self.instance.is_empty() {
            write!(f, " of={}", self.instance)?;
        }
        write!(f, " outcome={}", self.outcome.name())
    }
}

#[cfg(test)]
mod tests;

//! Faults of a world: their kind, start and duration.
//!
//! The outer names of variants and fields are keys of world files (`[[trouble]]`,
//! `what = "restart-doors"`) and are fixed.

use serde::{Deserialize, Serialize};

/// A fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// Proxies are killed and restart with their last endpoint list, each after a time drawn from
    /// the range.
    #[serde(rename = "restart-doors")]
    RestartProxies {
        /// When the fault begins.
        at_s: f64,
        /// Fraction of the proxies.
        #[serde(rename = "part")]
        fraction: f64,
        /// How long each is down.
        down_ms: [f64; 2],
    },
    /// Backends drain, end and are replaced by new ones, which warm up.
    ReplaceBackends {
        /// When the fault begins.
        at_s: f64,
        /// Fraction of the running backends.
        #[serde(rename = "part")]
        fraction: f64,
        /// Time over which their drains begin.
        over_s: f64,
        /// Time from drain to end.
        drain_ms: f64,
    },
    /// Backends slow down for a while.
    SlowBackends {
        /// When the fault begins.
        at_s: f64,
        /// Fraction of the backends.
        #[serde(rename = "part")]
        fraction: f64,
        /// Factor on their speed.
        speed: f64,
        /// Duration.
        for_s: f64,
    },
    /// Some customers send a multiple of their quota in addition to their usual requests.
    Flood {
        /// When the fault begins.
        at_s: f64,
        /// Duration.
        for_s: f64,
        /// Number of customers.
        customers: usize,
        /// Request rate as a multiple of the quota.
        times: f64,
        /// Number of proxies of each customer's set that the flood comes through; 0 for all of
        /// them.
        #[serde(default)]
        through: usize,
    },
    /// Customers that make a single request each.
    OneShots {
        /// When the fault begins.
        at_s: f64,
        /// Duration.
        for_s: f64,
        /// Their request rate as a fraction of the usual one.
        share: f64,
    },
    /// Proxies and backends that cannot reach each other: new connections time out, existing ones
    /// lose all packets.
    Partition {
        /// When the fault begins.
        at_s: f64,
        /// Duration.
        for_s: f64,
        /// Fraction of the proxies.
        #[serde(rename = "doors")]
        proxies: f64,
        /// Fraction of the backends.
        backends: f64,
    },
    /// The backends of a zone die, start again later and warm up.
    LoseZone {
        /// When the fault begins.
        at_s: f64,
        /// Duration.
        for_s: f64,
        /// Index of the zone, from 0.
        zone: usize,
    },
    /// All proxies are stopped and restarted, each at a drawn time, as in a rolling release: each
    /// accepts nothing new, completes its pending requests, stops, and restarts with its last
    /// endpoint list.
    #[serde(rename = "roll-doors")]
    RollProxies {
        /// When the fault begins.
        at_s: f64,
        /// Time over which the stops begin.
        over_s: f64,
        /// How long each continues with its pending requests.
        stop_ms: f64,
        /// How long each is down.
        down_ms: [f64; 2],
    },
    /// Discovery moves: each proxy's agent moves to a second address, and the first closes a while
    /// later. Only in worlds with agents.
    MoveAgents {
        /// When the fault begins.
        at_s: f64,
        /// Time over which proxies are notified.
        over_s: f64,
        /// Time from the notification to the close of the first address.
        close_ms: f64,
        /// How far the agents lag behind at the second address, in addition to the usual delay.
        #[serde(rename = "behind_ms")]
        lag_ms: [f64; 2],
    },
    /// Agents send nothing for a while. Only in worlds with agents.
    SilenceAgents {
        /// When the fault begins.
        at_s: f64,
        /// Duration.
        for_s: f64,
        /// Fraction of the agents.
        #[serde(rename = "part")]
        fraction: f64,
        /// Whether open watches, and calls that are made meanwhile, never get another message, as
        /// after the crash of the agent's machine.
        #[serde(default)]
        dead: bool,
    },
}

impl Fault {
    /// Returns when the fault begins, in seconds.
    pub fn at_s(&self) -> f64 {
        match self {
            Fault::RestartProxies { at_s, .. }
            | Fault::ReplaceBackends { at_s, .. }
            | Fault::SlowBackends { at_s, .. }
            | Fault::Flood { at_s, .. }
            | Fault::OneShots { at_s, .. }
            | Fault::Partition { at_s, .. }
            | Fault::LoseZone { at_s, .. }
            | Fault::RollProxies { at_s, .. }
            | Fault::MoveAgents { at_s, .. }
            | Fault::SilenceAgents { at_s, .. } => *at_s,
        }
    }
}

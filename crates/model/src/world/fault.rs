//! Faults of a world: what goes wrong, when and for how long.
//!
//! The variants' and fields' outside names are keys of world files (`[[trouble]]`, `what = "restart-doors"`) and stay as they
//! are.

use serde::{Deserialize, Serialize};

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// Proxies are killed and come back with their last list, each after a time drawn from the range.
    #[serde(rename = "restart-doors")]
    RestartProxies {
        /// When.
        at_s: f64,
        /// Part of them.
        #[serde(rename = "part")]
        fraction: f64,
        /// How long each is down.
        down_ms: [f64; 2],
    },
    /// Backends drain, go and are replaced by new ones, which warm up.
    ReplaceBackends {
        /// When.
        at_s: f64,
        /// Part of them.
        #[serde(rename = "part")]
        fraction: f64,
        /// Over which time their drains begin.
        over_s: f64,
        /// From drain to end.
        drain_ms: f64,
    },
    /// Backends get slow for a while.
    SlowBackends {
        /// When.
        at_s: f64,
        /// Part of them.
        #[serde(rename = "part")]
        fraction: f64,
        /// Speed that is left.
        speed: f64,
        /// For how long.
        for_s: f64,
    },
    /// Some customers ask for a multiple of their quota on top of what they ask.
    Flood {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// How many.
        customers: usize,
        /// The multiple.
        times: f64,
        /// Through so many proxies of each one's set; 0 for all of them.
        #[serde(default)]
        through: usize,
    },
    /// Customers that ask once and are not seen again.
    OneShots {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// As a part of the usual requests.
        share: f64,
    },
    /// Proxies and backends that do not reach each other: new connections time out, kept ones go silent.
    Partition {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// Part of the proxies, part of the backends.
        #[serde(rename = "doors")]
        proxies: f64,
        /// See above.
        backends: f64,
    },
    /// The backends of a zone die and start again and warm up.
    LoseZone {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// Which, from 0.
        zone: usize,
    },
    /// Proxies are stopped one after another, as a release does: each takes nothing new, ends what it has, goes, and comes back with
    /// its last list.
    #[serde(rename = "roll-doors")]
    RollProxies {
        /// When.
        at_s: f64,
        /// Over which time.
        over_s: f64,
        /// How long each goes on with what it has.
        stop_ms: f64,
        /// How long each is down.
        down_ms: [f64; 2],
    },
    /// Discovery moves: each proxy's agent answers elsewhere, the old one closes a while later. Only where proxies have agents.
    MoveAgents {
        /// When.
        at_s: f64,
        /// Over which time proxies are notified.
        over_s: f64,
        /// From the telling to the close of the old place.
        close_ms: f64,
        /// By how much the new agents are behind the truth, beside the usual lateness.
        #[serde(rename = "behind_ms")]
        lag_ms: [f64; 2],
    },
    /// Agents fall silent. Only where proxies have agents.
    SilenceAgents {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// Part of them.
        #[serde(rename = "part")]
        fraction: f64,
        /// Whether open watches stay silent for good, as those of a machine that has vanished, and calls that are made meanwhile.
        #[serde(default)]
        dead: bool,
    },
}

impl Fault {
    /// When it begins.
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

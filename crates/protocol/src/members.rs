//! The endpoint list as discovery sends it (protocol page, "Discovery"). Field names are those of
//! the JSON on the wire.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An endpoint list, or the changes since the previous one.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Members {
    /// Version of the list, which increases with every change.
    pub seq: u64,
    /// Whether the list is complete; otherwise it contains only the changed entries.
    pub whole: bool,
    /// The entries.
    pub hosts: Vec<Member>,
}

/// A backend instance of the list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Member {
    /// Name of the backend, the same at every proxy.
    pub host: String,
    /// Address at which the backend listens.
    pub dial: SocketAddr,
    /// Zone; empty if unknown.
    #[serde(default)]
    pub site: String,
    /// Cell (a group of backends that remember the same idempotency keys); 0 by default.
    #[serde(default)]
    pub block: u32,
    /// State of the backend.
    pub health: Health,
    /// Capacity relative to other backends; 1 by default.
    #[serde(default = "default_share")]
    pub share: f64,
    /// Time of the last start, in milliseconds since the Unix epoch; 0 (the default) if long ago.
    #[serde(default)]
    pub born_ms: f64,
}

/// State of a backend in the list, in lower case on the wire.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Accepts requests.
    Up,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Removed from the list.
    Removed,
}

/// Returns the capacity of a backend whose entry has none.
fn default_share() -> f64 {
    1.0
}

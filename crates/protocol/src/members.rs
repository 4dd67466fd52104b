//! The list of backends as discovery tells it (protocol page, "Discovery").

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A list of backends, or what changed in it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Members {
    /// Its version.
    pub seq: u64,
    /// Whether it is the whole list.
    pub whole: bool,
    /// Its entries.
    pub hosts: Vec<Member>,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Member {
    /// Its name, the same at every front door.
    pub host: String,
    /// Where it listens.
    pub dial: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its cell.
    #[serde(default)]
    pub block: u32,
    /// Its state.
    pub health: Health,
    /// Its size relative to others.
    #[serde(default = "whole_share")]
    pub share: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: f64,
}

/// State of a backend in the list.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// May be sent to.
    Up,
    /// Finishing its work.
    Draining,
    /// Gone.
    Removed,
}

fn whole_share() -> f64 {
    1.0
}

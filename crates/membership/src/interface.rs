//! Settings and events that a roster takes, and the changes and reports that it returns.

use maplefall_policy::Millis;
use maplefall_protocol::{Member, Members};

/// The most nodes of one source; further ones are reported and left out.
pub const MAX_BACKENDS: usize = 20_000;

/// Settings of a source.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceSettings {
    /// Its name in reports.
    pub name: String,
    /// Whether its drains and removals win over other sources. A source without authority may only add nodes.
    pub authoritative: bool,
    /// The part of its nodes that a snapshot may lack and be believed at once; 1 believes all.
    pub max_missing_fraction: f64,
    /// The suspicion timeout: how long missing nodes stay beyond that, in milliseconds.
    pub suspicion_timeout: Millis,
    /// The timeout after which nodes that only lost sources know expire while another source is connected, in milliseconds.
    pub expiry_timeout: Millis,
}

impl SourceSettings {
    /// An authoritative source whose every event is believed at once, like the platform's agent.
    pub fn trusted(name: &str) -> SourceSettings {
        SourceSettings {
            name: name.to_owned(),
            authoritative: true,
            max_missing_fraction: 1.0,
            suspicion_timeout: 0.0,
            expiry_timeout: f64::INFINITY,
        }
    }
}

/// What a source has learned. `source` is its index in the settings; the first has precedence.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The complete list at a version.
    Snapshot {
        /// The source.
        source: usize,
        /// The list; its `whole` is ignored.
        members: Members,
        /// Nodes in the list whose entries could not be read; their previous entries stay.
        unreadable: Vec<String>,
    },
    /// What changed up to a version, applied as one: a drain and the start of a replacement are seen together.
    Change {
        /// The source.
        source: usize,
        /// The changed entries.
        members: Members,
    },
    /// The connection to the source is lost.
    Lost {
        /// The source.
        source: usize,
    },
    /// The connection is back.
    Resumed {
        /// The source.
        source: usize,
    },
    /// Another service answers under its name: its versions restart, and its entries stay until its next snapshot, which is subject to
    /// suspicion like any other.
    Replaced {
        /// The source.
        source: usize,
    },
}

/// Something for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// A snapshot lacks so many nodes of the source that they are suspected.
    BackendsSuspected {
        /// The source.
        source: String,
        /// How many nodes are missing.
        missing: usize,
        /// How many nodes it had.
        total: usize,
    },
    /// Many nodes were removed at once.
    MassRemoval {
        /// The source.
        source: String,
        /// How many nodes were removed.
        removed: usize,
        /// How many nodes it had.
        total: usize,
    },
    /// Two nodes have the same address.
    SharedAddress {
        /// The node that owns it.
        owner: String,
        /// The node that counts as removed.
        displaced: String,
    },
    /// A node that only lost sources knew has expired.
    Expired {
        /// The node.
        host: String,
    },
    /// The source has more than [`MAX_BACKENDS`] nodes.
    CapacityReached {
        /// The source.
        source: String,
        /// How many nodes were left out.
        left_out: usize,
    },
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Report::BackendsSuspected {
                source,
                missing,
                total,
            } => {
                write!(f, "{source}: {missing} of {total} nodes are missing; they stay until the time of doubt is over")
            }
            Report::MassRemoval {
                source,
                removed,
                total,
            } => {
                write!(
                    f,
                    "{source}: {removed} of {total} nodes were removed at once"
                )
            }
            Report::SharedAddress { owner, displaced } => {
                write!(f, "{displaced} has the address of {owner}, which started later or comes first by name: not used")
            }
            Report::Expired { host } => {
                write!(f, "{host} was known from lost sources only: given up")
            }
            Report::CapacityReached { source, left_out } => {
                write!(
                    f,
                    "{source}: {left_out} nodes left out; {MAX_BACKENDS} are held at most"
                )
            }
        }
    }
}

/// The result of an event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// Changes for the policy, each node once. Stops come first, so that no request goes to a stopped node while the rest is applied.
    pub changes: Vec<Member>,
    /// For the log.
    pub reports: Vec<Report>,
}

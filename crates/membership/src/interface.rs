//! The settings and events that an endpoint list takes, and the changes and reports that it
//! returns.

use maplefall_policy::Millis;
use maplefall_protocol::{Member, Members};

/// The maximum number of backends of one source; further ones are reported and left out.
pub const MAX_BACKENDS: usize = 20_000;

/// Settings of a source.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceSettings {
    /// The name of the source in reports.
    pub name: String,
    /// Whether drains and removals by the source override other sources. A source without authority
    /// can only add backends.
    pub authoritative: bool,
    /// The maximum fraction of the source's backends that a snapshot can lack and still be applied
    /// at once; 1 accepts every snapshot. Beyond it the missing backends are suspected.
    pub max_missing_fraction: f64,
    /// How long suspected backends stay in the list, in milliseconds.
    pub suspicion_timeout: Millis,
    /// The time after which backends known only from lost sources expire while another source is
    /// connected, in milliseconds.
    pub expiry_timeout: Millis,
}

impl SourceSettings {
    /// Returns the settings of an authoritative source whose every event is applied at once, such
    /// as the platform's agent.
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

/// An event of a source. `source` is its index in the settings; the first has precedence.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The complete list at a version.
    Snapshot {
        /// The source.
        source: usize,
        /// The list; its field `whole` is ignored.
        members: Members,
        /// Backends in the list whose entries could not be read; their previous entries stay.
        unreadable: Vec<String>,
    },
    /// The changes up to a version, applied together, so that a drain and the start of a
    /// replacement become visible at the same time.
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
    /// The connection to the source is restored.
    Resumed {
        /// The source.
        source: usize,
    },
    /// Another service responds under the source's name: the versions restart. The source's entries
    /// stay until its next snapshot, to which suspicion applies as to any other.
    Replaced {
        /// The source.
        source: usize,
    },
}

/// A condition to be logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// A snapshot lacks so many of the source's backends that they are suspected.
    BackendsSuspected {
        /// The source.
        source: String,
        /// How many backends are missing.
        missing: usize,
        /// How many backends the source had.
        total: usize,
    },
    /// Many backends were removed at once.
    MassRemoval {
        /// The source.
        source: String,
        /// How many backends were removed.
        removed: usize,
        /// How many backends the source had.
        total: usize,
    },
    /// Two backends have the same address.
    SharedAddress {
        /// The backend that owns the address.
        owner: String,
        /// The backend that counts as removed.
        displaced: String,
    },
    /// A backend known only from lost sources has expired.
    Expired {
        /// The backend.
        host: String,
    },
    /// The source has more than [`MAX_BACKENDS`] backends.
    CapacityReached {
        /// The source.
        source: String,
        /// How many backends were left out.
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
                write!(f, "{source}: {missing} of {total} backends are missing; they stay for the suspicion timeout")
            }
            Report::MassRemoval {
                source,
                removed,
                total,
            } => {
                write!(
                    f,
                    "{source}: {removed} of {total} backends were removed at once"
                )
            }
            Report::SharedAddress { owner, displaced } => {
                write!(f, "{displaced} is not used: {owner} has its address and started later or has the lower name")
            }
            Report::Expired { host } => {
                write!(f, "{host} was known from lost sources only: given up")
            }
            Report::CapacityReached { source, left_out } => {
                write!(
                    f,
                    "{source}: {left_out} backends were left out; the limit is {MAX_BACKENDS}"
                )
            }
        }
    }
}

/// The result of an event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// The changes for the policy, each backend once. Stops come first, so that no request is
    /// forwarded to a stopped backend while the rest is applied.
    pub changes: Vec<Member>,
    /// The conditions to be logged.
    pub reports: Vec<Report>,
}

//! What passes between a roster and whoever feeds it: settings and events in, changes and reports out.

use maplefall_policy::Millis;
use maplefall_protocol::{Member, Members};

/// Nodes that a roster holds at most; further ones are reported and left out.
pub const MOST_NODES: usize = 20_000;

/// How a source is treated.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceSettings {
    /// What it is called in reports.
    pub name: String,
    /// Whether its drains and removals win over what others say. One that is not may only add nodes.
    pub authoritative: bool,
    /// Part of its nodes that a whole list of it may lack and be believed at once; 1 believes all.
    pub believed_part: f64,
    /// How long missing nodes are doubted beyond that.
    pub doubt: Millis,
    /// After how long nodes that only lost sources know are given up, while another source is there.
    pub keep: Millis,
}

impl SourceSettings {
    /// An authoritative source whose every word is believed at once, as the platform's agent is.
    pub fn trusted(name: &str) -> SourceSettings {
        SourceSettings {
            name: name.to_owned(),
            authoritative: true,
            believed_part: 1.0,
            doubt: 0.0,
            keep: f64::INFINITY,
        }
    }
}

/// What a source learned. `source` is its place in the settings; the first goes before the others.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The whole list at a version.
    Snapshot {
        /// Which source.
        source: usize,
        /// The list; its `whole` is not looked at.
        members: Members,
        /// Nodes that stand in the list with entries that could not be read: what was said of them before stands.
        unread: Vec<String>,
    },
    /// What changed up to a version, as one change: a drain and the start of a replacement are seen together.
    Change {
        /// Which source.
        source: usize,
        /// The changed entries.
        members: Members,
    },
    /// The source is not heard any more.
    Lost {
        /// Which source.
        source: usize,
    },
    /// It is heard again.
    Resumed {
        /// Which source.
        source: usize,
    },
    /// Another service answers under its name: its versions begin anew, and all that it said before stands only until its
    /// next whole list, which is doubted like any other.
    Reborn {
        /// Which source.
        source: usize,
    },
}

/// Something that people should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// A whole list lacks so many of the nodes that the source had that it is not believed yet.
    Doubted {
        /// The source.
        source: String,
        /// Nodes that are missing.
        missing: usize,
        /// Nodes that it had.
        of: usize,
    },
    /// So many nodes were removed at once.
    MassRemoval {
        /// The source.
        source: String,
        /// Nodes that went.
        removed: usize,
        /// Nodes that it had.
        of: usize,
    },
    /// Two nodes at one address; the second counts as removed.
    SharedAddress {
        /// Who holds it.
        holder: String,
        /// Who does not.
        other: String,
    },
    /// A node that only lost sources knew was given up.
    GivenUp {
        /// Which.
        host: String,
    },
    /// There was no room for so many nodes of this source.
    NoRoom {
        /// The source.
        source: String,
        /// Nodes left out.
        left_out: usize,
    },
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Report::Doubted {
                source,
                missing,
                of,
            } => {
                write!(f, "{source}: {missing} of {of} nodes are missing; they stay until the time of doubt is over")
            }
            Report::MassRemoval {
                source,
                removed,
                of,
            } => {
                write!(f, "{source}: {removed} of {of} nodes were removed at once")
            }
            Report::SharedAddress { holder, other } => {
                write!(f, "{other} has the address of {holder}, which started later or comes first by name: not used")
            }
            Report::GivenUp { host } => {
                write!(f, "{host} was known from lost sources only: given up")
            }
            Report::NoRoom { source, left_out } => {
                write!(
                    f,
                    "{source}: {left_out} nodes left out; {MOST_NODES} are held at most"
                )
            }
        }
    }
}

/// What came of an event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// Changes for the decision module, each node once: stops first, so that nothing new goes there while the rest is
    /// taken in.
    pub changes: Vec<Member>,
    /// What people should know.
    pub reports: Vec<Report>,
}

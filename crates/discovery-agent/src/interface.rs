//! What passes between a [`crate::Follower`] and whoever carries it out.

use maplefall_membership::Event;
use maplefall_policy::Millis;
use maplefall_protocol::Members;
use std::net::SocketAddr;

/// How an agent is followed.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The agent's place among the roster's sources.
    pub source: usize,
    /// Whether the agent is this door's own, answers at once and costs nothing; else it is shared by the fleet, and asked
    /// no more often than its pauses allow.
    pub own: bool,
    /// How many doors share it; 1 for one's own.
    pub sharing: u32,
    /// Within how many milliseconds after a stop was told no more may be sent (the rule on drains).
    pub stop_within: Millis,
    /// The only source of chance.
    pub seed: u64,
    /// Where it may be, the likeliest first; not empty.
    pub places: Vec<SocketAddr>,
    /// The list that the door was started with.
    pub known: Option<Members>,
}

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// The whole list.
    Whole,
    /// What has changed since this version, and a watch on what changes from then on.
    Watch(u64),
}

impl What {
    /// The path that asks for it.
    pub fn path(self) -> String {
        match self {
            What::Whole => "/catalog/members".to_owned(),
            What::Watch(from) => format!("/catalog/members?watch=1&from={from}"),
        }
    }
}

/// Tells one call from others; each number is used once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// What happened to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// The head of its answer has come: 200.
    Begun,
    /// A line of it, without its end.
    Line(Vec<u8>),
    /// It has ended by itself.
    Ended(End),
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The answer has ended as it should.
    Whole,
    /// The connection refused, broke, or spoke something else.
    Broken(String),
    /// Another status.
    Status(u16),
    /// A line of it cannot be used.
    Unreadable(String),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Make a call.
    Ask {
        /// Its number.
        call: CallId,
        /// To whom.
        place: SocketAddr,
        /// What for.
        what: What,
    },
    /// End a call; nothing of it is heard any more.
    HangUp(CallId),
    /// Hand this to the roster.
    Tell(Event),
    /// Tell people.
    Report(Report),
}

/// Something that people should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// The watch has ended; told once for an outage.
    Lost(String),
    /// An entry cannot be used.
    PassedOver {
        /// Whose it is.
        host: String,
        /// Why.
        why: String,
    },
    /// The agent's list is older than what has been told: its stops are taken, the rest waits.
    Behind {
        /// The agent's version.
        version: u64,
        /// The version that has been told.
        told: u64,
    },
    /// It is not older any more, and its list holds.
    Believed {
        /// Why.
        why: Believed,
        /// Its version.
        version: u64,
    },
}

/// Why a list that seemed to be older is believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Believed {
    /// Its version has passed what had been told.
    Passed,
    /// It names a backend that started after that had been told.
    NewerLife,
    /// It has been heard for so long that it must have heard all that had been told.
    HeardForLong(Millis),
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Report::Lost(why) => write!(f, "watch ended: {why}"),
            Report::PassedOver { host, why } => write!(f, "{host}: passed over: {why}"),
            Report::Behind { version, told } => {
                write!(
                    f,
                    "its list is of version {version}, and {told} has been told: only its stops are taken"
                )
            }
            Report::Believed {
                why: Believed::Passed,
                version,
            } => {
                write!(f, "it has caught up with version {version}")
            }
            Report::Believed {
                why: Believed::NewerLife,
                version,
            } => {
                write!(
                    f,
                    "it counts anew: version {version} names a backend that started since"
                )
            }
            Report::Believed {
                why: Believed::HeardForLong(ms),
                version,
            } => {
                write!(
                    f,
                    "it counts anew: heard for {ms:.0} ms, version {version} holds"
                )
            }
        }
    }
}

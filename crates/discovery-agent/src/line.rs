//! One line of a watch, or a whole list: what can be used of it.
//!
//! A line with one entry that cannot be used is not worth less for the others: they are taken, and the one is passed over
//! and told of. Where it still names a backend and says that it is leaving, that much is taken too: a stop needs no more
//! than a name.

use crate::lines::LONGEST_LINE;
use maplefall_protocol::{Health, Member, Members};
use serde::Deserialize;
use serde_json::Value;

/// Longest name of a backend that is taken, in bytes.
pub const LONGEST_NAME: usize = 1024;

/// What a line says.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// Nothing has changed.
    Alive,
    /// The list, or what changed in it.
    Word(Word),
}

/// What can be used of a list, or of what changed in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Word {
    /// The entries that can be used; no name twice.
    pub members: Members,
    /// Entries that cannot.
    pub passed_over: Vec<PassedOver>,
}

/// An entry that cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub struct PassedOver {
    /// Whose it is, where that can be read.
    pub host: Option<Spoilt>,
    /// Why it cannot be used.
    pub why: String,
}

/// What is left of an entry that cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub struct Spoilt {
    /// The backend's name.
    pub host: String,
    /// Whether it is said to be leaving, or gone.
    pub stop: Option<Health>,
    /// When it last started, in Unix milliseconds, where that can be read.
    pub born_ms: Option<f64>,
}

/// Why nothing of a line can be used.
#[derive(Debug, thiserror::Error)]
pub enum Unreadable {
    /// It is no JSON object with a version, with `whole` and with an array of entries.
    #[error("unreadable line: {0}")]
    Json(#[from] serde_json::Error),
    /// It is too long.
    #[error("unreadable line: {LONGEST_LINE} bytes at most were expected")]
    Long,
}

/// A line with its entries as they came.
#[derive(Deserialize)]
struct Raw {
    seq: u64,
    whole: bool,
    hosts: Vec<Value>,
}

/// Reads a line of a watch, without its end, or a whole list.
///
/// # Errors
///
/// Where it is no JSON object with a version, with `whole` and with an array of entries.
pub fn line(text: &[u8]) -> Result<Line, Unreadable> {
    if text.trim_ascii().is_empty() {
        return Ok(Line::Alive);
    }
    // The usual line costs one reading; only one that is spoilt is looked at entry by entry.
    if let Ok(members) = serde_json::from_slice::<Members>(text) {
        if members.hosts.iter().all(|member| flaw(member).is_none()) {
            return Ok(Line::Word(Word {
                members: each_once(members),
                passed_over: Vec::new(),
            }));
        }
    }
    let Raw { seq, whole, hosts } = serde_json::from_slice(text)?;
    let (mut members, mut passed_over) = (Vec::with_capacity(hosts.len()), Vec::new());
    for entry in hosts {
        let left = spoilt(&entry);
        match serde_json::from_value::<Member>(entry) {
            Ok(member) => match flaw(&member) {
                None => members.push(member),
                Some(why) => passed_over.push(PassedOver {
                    host: left,
                    why: why.to_owned(),
                }),
            },
            Err(error) => passed_over.push(PassedOver {
                host: left,
                why: error.to_string(),
            }),
        }
    }
    let members = each_once(Members {
        seq,
        whole,
        hosts: members,
    });
    Ok(Line::Word(Word {
        members,
        passed_over,
    }))
}

/// What keeps a readable entry from being used.
fn flaw(member: &Member) -> Option<&'static str> {
    if member.host.is_empty() || member.host.len() > LONGEST_NAME {
        Some("host: a name of 1 to 1024 bytes was expected")
    } else if !(member.share.is_finite() && member.share >= 0.0) {
        Some("share: a number from 0 was expected")
    } else if !(member.born_ms.is_finite() && member.born_ms >= 0.0) {
        Some("born_ms: a time from 0 was expected")
    } else {
        None
    }
}

fn spoilt(entry: &Value) -> Option<Spoilt> {
    let host = entry
        .get("host")?
        .as_str()
        .filter(|host| !host.is_empty() && host.len() <= LONGEST_NAME)?;
    let health = entry
        .get("health")
        .and_then(|health| Health::deserialize(health).ok());
    let born_ms = entry
        .get("born_ms")
        .and_then(Value::as_f64)
        .filter(|born| *born >= 0.0);
    Some(Spoilt {
        host: host.to_owned(),
        stop: health.filter(|health| *health != Health::Up),
        born_ms,
    })
}

/// A line has no order within it, so of several entries of one name that with the latest start holds, and of these the one
/// that stops most.
fn each_once(mut members: Members) -> Members {
    let stops = |health: Health| match health {
        Health::Up => 0,
        Health::Draining => 1,
        Health::Removed => 2,
    };
    let twice = {
        let mut names: Vec<&str> = members
            .hosts
            .iter()
            .map(|member| member.host.as_str())
            .collect();
        names.sort_unstable();
        names.windows(2).any(|pair| pair[0] == pair[1])
    };
    if twice {
        members.hosts.sort_by(|a, b| {
            let latest = b.born_ms.total_cmp(&a.born_ms);
            a.host
                .cmp(&b.host)
                .then(latest)
                .then_with(|| stops(b.health).cmp(&stops(a.health)))
        });
        members
            .hosts
            .dedup_by(|later, first| later.host == first.host);
    }
    members
}

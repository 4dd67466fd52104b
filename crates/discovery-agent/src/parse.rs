//! Parses the lines of a watch, and complete lists.
//!
//! An invalid entry does not invalidate the others: they are used, and the invalid one is rejected
//! and reported. If it still has a backend's name and a state that stops it, the stop is applied
//! too, since a stop needs no more than a name.

use crate::line_splitter::MAX_LINE_BYTES;
use maplefall_protocol::{Health, Member, Members};
use serde::Deserialize;
use serde_json::Value;

/// The maximum length of a backend's name, in bytes.
pub const MAX_NAME_BYTES: usize = 1024;

/// A line of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// Nothing has changed.
    Heartbeat,
    /// A complete list, or changes of it.
    Update(ListUpdate),
}

/// The usable content of a list, or of changes of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListUpdate {
    /// The valid entries, each name once.
    pub members: Members,
    /// The invalid entries.
    pub rejected: Vec<RejectedEntry>,
}

/// An invalid entry.
#[derive(Clone, Debug, PartialEq)]
pub struct RejectedEntry {
    /// The readable fields, if the entry has a usable name.
    pub partial: Option<PartialEntry>,
    /// The reason why the entry is invalid.
    pub reason: String,
}

/// The readable fields of an invalid entry.
#[derive(Clone, Debug, PartialEq)]
pub struct PartialEntry {
    /// The backend's name.
    pub host: String,
    /// The state, if it is draining or removed.
    pub stop: Option<Health>,
    /// The last start, in milliseconds since 1970, if it can be read.
    pub born_ms: Option<f64>,
}

/// The reason why a whole line is rejected.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line is not a JSON object with a version, with `whole` and with a list of entries.
    #[error("unreadable line: {0}")]
    Json(#[from] serde_json::Error),
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("unreadable line: {MAX_LINE_BYTES} bytes at most were expected")]
    TooLong,
}

/// A line whose entries are not parsed yet.
#[derive(Deserialize)]
struct UnparsedLine {
    seq: u64,
    whole: bool,
    hosts: Vec<Value>,
}

/// Parses a line of a watch, without its line end, or a complete list.
///
/// # Errors
///
/// Returns [`LineError::Json`].
pub fn parse_line(text: &[u8]) -> Result<Line, LineError> {
    if text.trim_ascii().is_empty() {
        return Ok(Line::Heartbeat);
    }
    // A valid line is parsed once; only an invalid one is parsed entry by entry.
    if let Ok(members) = serde_json::from_slice::<Members>(text) {
        if members
            .hosts
            .iter()
            .all(|member| invalid_field(member).is_none())
        {
            return Ok(Line::Update(ListUpdate {
                members: deduplicate(members),
                rejected: Vec::new(),
            }));
        }
    }
    Ok(Line::Update(parse_entries(serde_json::from_slice(text)?)))
}

fn parse_entries(line: UnparsedLine) -> ListUpdate {
    let mut hosts = Vec::with_capacity(line.hosts.len());
    let mut rejected = Vec::new();
    for entry in line.hosts {
        let partial = partial_entry(&entry);
        match parse_entry(entry) {
            Ok(member) => hosts.push(member),
            Err(reason) => rejected.push(RejectedEntry { partial, reason }),
        }
    }
    let members = deduplicate(Members {
        seq: line.seq,
        whole: line.whole,
        hosts,
    });
    ListUpdate { members, rejected }
}

fn parse_entry(entry: Value) -> Result<Member, String> {
    let member = serde_json::from_value::<Member>(entry).map_err(|error| error.to_string())?;
    match invalid_field(&member) {
        None => Ok(member),
        Some(reason) => Err(reason.to_owned()),
    }
}

/// Returns what is wrong with a field of an entry.
fn invalid_field(member: &Member) -> Option<&'static str> {
    if member.host.is_empty() || member.host.len() > MAX_NAME_BYTES {
        Some("host: a name of 1 to 1024 bytes was expected")
    } else if !(member.share.is_finite() && member.share >= 0.0) {
        Some("share: a number from 0 was expected")
    } else if !(member.born_ms.is_finite() && member.born_ms >= 0.0) {
        Some("born_ms: a time from 0 was expected")
    } else {
        None
    }
}

fn partial_entry(entry: &Value) -> Option<PartialEntry> {
    let host = entry
        .get("host")?
        .as_str()
        .filter(|host| !host.is_empty() && host.len() <= MAX_NAME_BYTES)?;
    let health = entry
        .get("health")
        .and_then(|health| Health::deserialize(health).ok());
    let born_ms = entry
        .get("born_ms")
        .and_then(Value::as_f64)
        .filter(|born| *born >= 0.0);
    Some(PartialEntry {
        host: host.to_owned(),
        stop: health.filter(|health| *health != Health::Up),
        born_ms,
    })
}

/// Keeps one entry of each name. A line has no order, so the entry with the latest start is kept,
/// and of those with the same start the strongest stop.
fn deduplicate(mut members: Members) -> Members {
    if !has_duplicates(&members.hosts) {
        return members;
    }
    members.hosts.sort_by(|a, b| {
        let latest_first = b.born_ms.total_cmp(&a.born_ms);
        a.host
            .cmp(&b.host)
            .then(latest_first)
            .then_with(|| stop_strength(b.health).cmp(&stop_strength(a.health)))
    });
    members
        .hosts
        .dedup_by(|later, first| later.host == first.host);
    members
}

fn has_duplicates(members: &[Member]) -> bool {
    let mut names: Vec<&str> = members.iter().map(|member| member.host.as_str()).collect();
    names.sort_unstable();
    names.windows(2).any(|pair| pair[0] == pair[1])
}

fn stop_strength(health: Health) -> u8 {
    match health {
        Health::Up => 0,
        Health::Draining => 1,
        Health::Removed => 2,
    }
}

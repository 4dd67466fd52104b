//! What operators are shown of shared counts (`maplefall counts`).

use crate::members::State;
use crate::wire::Refused;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

/// A door as another one sees it.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What is thought of it.
    pub state: State,
    /// The number of its life.
    pub incarnation: u64,
    /// Earlier lives of it whose counts are still held.
    pub former: usize,
    /// How long ago it was heard of, in milliseconds.
    pub news_ms: f64,
    /// How far back its counts are complete, in milliseconds; none before they were complete once.
    pub complete_ms: Option<f64>,
    /// Counts of it that are held.
    pub counts: usize,
}

/// What a customer has used, over all doors and the epochs that are kept.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct UseStatus {
    /// Whose use.
    pub customer: u64,
    /// By which plan, by its number in the settings.
    pub plan: u16,
    /// Units.
    pub units: f64,
}

/// All that is shown.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// The door that was asked.
    pub name: String,
    /// The number of its life.
    pub incarnation: u64,
    /// Doors that are heard of, the one asked with them.
    pub doors: usize,
    /// The others.
    pub members: Vec<MemberStatus>,
    /// The largest customers.
    pub customers: Vec<UseStatus>,
    /// Units of all that have no count of their own.
    pub tail_units: f64,
    /// Counts that are held.
    pub counts: usize,
    /// How old the oldest news is among the doors that are heard of, in milliseconds.
    pub behind_ms: f64,
    /// Units that one customer may have used elsewhere without being told, if all doors are as full as this one.
    pub untold_units: f64,
    /// Datagrams and bytes in and out since the start.
    pub datagrams_in: u64,
    /// See above.
    pub bytes_in: u64,
    /// See above.
    pub datagrams_out: u64,
    /// See above.
    pub bytes_out: u64,
    /// Datagrams that were not sent for want of budget.
    pub held_back: u64,
    /// Times that another life of the same name was met.
    pub renamed: u64,
    /// What changed nothing, by reason.
    pub refused: BTreeMap<Refused, u64>,
}

impl Status {
    /// One line of JSON. Nothing in it can fail to be written.
    pub fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// As a person reads it.
    pub fn plain(&self) -> String {
        plain_status(self)
    }
}

fn plain_status(status: &Status) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "{}: {} doors heard of, {} counts, oldest news {} ms, untold at most {:.1} units a customer",
        status.name, status.doors, status.counts, status.behind_ms, status.untold_units
    );
    let _ = writeln!(
        text,
        "{:<20} {:<22} {:<10} {:>9} {:>12} {:>7}",
        "door", "address", "state", "news ms", "complete ms", "counts"
    );
    for member in &status.members {
        let complete = member
            .complete_ms
            .map_or("-".to_owned(), |ms| format!("{ms}"));
        let state = format!("{:?}", member.state).to_lowercase();
        let _ = writeln!(
            text,
            "{:<20} {:<22} {:<10} {:>9} {:>12} {:>7}",
            member.name, member.address, state, member.news_ms, complete, member.counts
        );
    }
    for one in &status.customers {
        let _ = writeln!(
            text,
            "customer {:<20} plan {:<4} {:>12.3} units",
            one.customer, one.plan, one.units
        );
    }
    if status.tail_units != 0.0 {
        let _ = writeln!(
            text,
            "{:<39} {:>12.3} units",
            "all others", status.tail_units
        );
    }
    for (reason, count) in &status.refused {
        let _ = writeln!(text, "refused: {:?} {count}", reason);
    }
    text
}

//! The status of shared counts for operators (`maplefall counts`). Operators' tools read the JSON
//! field names and the text.

use crate::members::MemberState;
use crate::wire::RejectReason;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

/// The status of a member as this node judges it.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct MemberStatus {
    /// The node's name.
    pub name: String,
    /// The address that the node listens on.
    pub address: SocketAddr,
    /// The state by the failure detector.
    pub state: MemberState,
    /// The number of the current incarnation.
    pub incarnation: u64,
    /// The number of earlier incarnations kept.
    pub former: usize,
    /// The age of the last heartbeat, in milliseconds.
    #[serde(rename = "news_ms")]
    pub heartbeat_age_ms: f64,
    /// The time since the counts of the node were last complete here, in milliseconds; `None` if
    /// they never were.
    #[serde(rename = "complete_ms")]
    pub staleness_ms: Option<f64>,
    /// The number of counts of the node.
    pub counts: usize,
}

/// The usage of a customer over all nodes and kept epochs.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct CustomerStatus {
    /// The customer.
    pub customer: u64,
    /// The customer's plan, by its number in the settings.
    pub plan: u16,
    /// Units used.
    pub units: f64,
}

/// The status of a node.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// The node's name.
    pub name: String,
    /// The number of the current incarnation.
    pub incarnation: u64,
    /// The number of nodes that are alive, this one included.
    #[serde(rename = "doors")]
    pub nodes: usize,
    /// The other nodes.
    pub members: Vec<MemberStatus>,
    /// The customers with the largest usage.
    pub customers: Vec<CustomerStatus>,
    /// Units used by all customers without a count of their own.
    pub tail_units: f64,
    /// The number of counts.
    pub counts: usize,
    /// The staleness of the counts of the nodes that are alive, in milliseconds.
    #[serde(rename = "behind_ms")]
    pub staleness_ms: f64,
    /// The most units that one customer may have used at other nodes without a count of its own,
    /// assuming that the other nodes' tables of counts are as full as this node's.
    #[serde(rename = "untold_units")]
    pub untracked_units: f64,
    /// Datagrams received since the start.
    pub datagrams_in: u64,
    /// Bytes received since the start.
    pub bytes_in: u64,
    /// Datagrams sent since the start.
    pub datagrams_out: u64,
    /// Bytes sent since the start.
    pub bytes_out: u64,
    /// Datagrams that were not sent because of the rate limit or a full queue.
    #[serde(rename = "held_back")]
    pub unsent: u64,
    /// How often this node took a new incarnation number because another process had its name or
    /// the date went back.
    #[serde(rename = "renamed")]
    pub renumbered: u64,
    /// Rejected datagrams and parts of them, by reason.
    #[serde(rename = "refused")]
    pub rejected: BTreeMap<RejectReason, u64>,
}

impl Status {
    /// Returns the status as one line of JSON.
    pub fn json(&self) -> String {
        // Serialising these field types cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the status as text for a terminal.
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
        status.name, status.nodes, status.counts, status.staleness_ms, status.untracked_units
    );
    let _ = writeln!(
        text,
        "{:<20} {:<22} {:<10} {:>9} {:>12} {:>7}",
        "door", "address", "state", "news ms", "complete ms", "counts"
    );
    for member in &status.members {
        let staleness = member
            .staleness_ms
            .map_or("-".to_owned(), |ms| format!("{ms}"));
        let state = format!("{:?}", member.state).to_lowercase();
        let _ = writeln!(
            text,
            "{:<20} {:<22} {:<10} {:>9} {:>12} {:>7}",
            member.name, member.address, state, member.heartbeat_age_ms, staleness, member.counts
        );
    }
    for customer in &status.customers {
        let _ = writeln!(
            text,
            "customer {:<20} plan {:<4} {:>12.3} units",
            customer.customer, customer.plan, customer.units
        );
    }
    if status.tail_units != 0.0 {
        let _ = writeln!(
            text,
            "{:<39} {:>12.3} units",
            "all others", status.tail_units
        );
    }
    for (reason, count) in &status.rejected {
        let _ = writeln!(text, "refused: {:?} {count}", reason);
    }
    text
}

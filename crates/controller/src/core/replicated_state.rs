//! The state machine's content in the form in which a Raft snapshot keeps it (Raft paper, section 7).

use maplefall_gateway_config::{ConfigState, Item, VersionHistory};
use maplefall_quota_lease::Slots;

/// The state that the committed changes lead to. Tag 1 is what earlier programs wrote as a `Change`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicatedState {
    /// Every item in its highest version, dropped ones too.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Item>,
    /// What was accepted under lower versions.
    #[prost(message, optional, tag = "2")]
    pub taken: Option<VersionHistory>,
    /// Which controller leases which slot of every quota.
    #[prost(message, optional, tag = "3")]
    pub owners: Option<Slots>,
}

impl ReplicatedState {
    /// Captures a configuration and the ownership of slots for a snapshot.
    pub fn capture(config: &ConfigState, slots: &Slots) -> ReplicatedState {
        let items = config.items().cloned().collect();
        ReplicatedState {
            items,
            taken: Some(config.version_history()),
            owners: Some(slots.clone()),
        }
    }
}

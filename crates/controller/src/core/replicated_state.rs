//! The state machine's content as stored in a Raft snapshot (Raft paper, section 7).

use maplefall_gateway_config::{ConfigState, Item, VersionHistory};
use maplefall_quota_lease::Slots;

/// The state after applying the committed changes. Tag 1 is compatible with the `Change` message
/// that earlier versions wrote.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicatedState {
    /// Every item in its highest version, including dropped items.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Item>,
    /// The history of accepted versions of items that are lower than those in `items`.
    #[prost(message, optional, tag = "2")]
    pub taken: Option<VersionHistory>,
    /// The controller that owns, and may lease, each slot of every quota.
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

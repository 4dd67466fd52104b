//! All that is agreed on, folded: what a snapshot of the log holds.

use maplefall_gateway_config::{ConfigState, Item, VersionHistory};
use maplefall_quota_lease::Slots;

/// The state that the agreed changes lead to. Tag 1 is what earlier programs wrote as a `Change`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicatedState {
    /// Every item in its highest version, dropped ones too.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Item>,
    /// What was taken under lower versions.
    #[prost(message, optional, tag = "2")]
    pub taken: Option<VersionHistory>,
    /// Who lends which slot of every quota.
    #[prost(message, optional, tag = "3")]
    pub owners: Option<Slots>,
}

impl ReplicatedState {
    /// What a snapshot keeps of a board, and of who lends.
    pub fn capture(board: &ConfigState, slots: &Slots) -> ReplicatedState {
        let items = board.items().cloned().collect();
        ReplicatedState {
            items,
            taken: Some(board.taken()),
            owners: Some(slots.clone()),
        }
    }
}

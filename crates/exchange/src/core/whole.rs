//! All that is agreed on, folded: what a snapshot of the log holds.

use maplefall_numbering::Item;
use maplefall_toll::Slots;

/// The state that the agreed changes lead to. Tag 1 is what earlier programs wrote as a `Change`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Whole {
    /// Every item in its highest version, dropped ones too.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Item>,
    /// Who lends which slot of every quota.
    #[prost(message, optional, tag = "3")]
    pub owners: Option<Slots>,
}

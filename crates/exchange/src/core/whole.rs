//! All that is agreed on, folded: what a snapshot of the log holds.

use maplefall_numbering::{Board, Item, Taken};

/// The state that the agreed changes lead to. Tag 1 is what earlier programs wrote as a `Change`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Whole {
    /// Every item in its highest version, dropped ones too.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Item>,
    /// What was taken under lower versions.
    #[prost(message, optional, tag = "2")]
    pub taken: Option<Taken>,
}

impl Whole {
    /// What a snapshot keeps of a board.
    pub fn of(board: &Board) -> Whole {
        Whole { items: board.items().cloned().collect(), taken: Some(board.taken()) }
    }
}

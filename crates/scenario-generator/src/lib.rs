//! Draws days with many troubles at once, the busiest hours that a deployment may have.
//!
//! What may happen is read from the text in which the bench lists its kinds of troubles ([`kinds`]), where it may happen from a
//! deployment's site file ([`site`]); [`draw`] puts days together. Nothing is written from one deployment: a kind that is new
//! here is drawn with the values that the list gives for it and with its own variants.

pub mod draw;
pub mod error;
pub mod kinds;
pub mod luck;
pub mod site;

//! What the played tests share.

pub mod operators;
pub mod played;

//! What the played tests share.

pub mod played;

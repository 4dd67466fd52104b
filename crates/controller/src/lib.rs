//! The core of the system. [`Core`] decides and does no I/O; [`net`] carries out what it returns; [`store`] is its disk,
//! on a [`disk`].

mod beat;
pub mod core;
pub mod disk;
pub mod net;
pub mod store;

pub use crate::core::{Call, CallResponse, Core, Output};

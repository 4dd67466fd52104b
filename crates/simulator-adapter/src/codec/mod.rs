//! Frames of the simulator's wire format: little-endian records without padding.
//!
//! The simulator defines the codes and layouts, so they are fixed.

mod decode;
mod encode;
#[cfg(test)]
mod tests;

pub use decode::{decode, ListedBackend, Record};
pub use encode::Reply;

/// Codes of the simulator's events.
mod event_code {
    pub const CREATE: u16 = 256;
    pub const BACKEND_LIST: u16 = 257;
    pub const REQUEST_ARRIVED: u16 = 258;
    pub const FIRST_BYTE: u16 = 259;
    pub const ATTEMPT_ENDED: u16 = 260;
    pub const CLIENT_DISCONNECTED: u16 = 261;
    pub const TIMER_FIRED: u16 = 262;
    pub const PROBE_ENDED: u16 = 263;
    pub const PEER_MESSAGE: u16 = 264;
    pub const RETIRE: u16 = 265;
    pub const COUNTER_RESPONSE: u16 = 266;
}

/// Codes of the adapter's actions.
mod action_code {
    pub const SEND: u16 = 320;
    pub const REJECT: u16 = 321;
    pub const FAIL: u16 = 322;
    pub const CANCEL: u16 = 323;
    pub const SET_TIMER: u16 = 324;
    pub const PROBE: u16 = 325;
    pub const CLOSE_IDLE: u16 = 326;
    pub const LOG: u16 = 328;
    pub const INSTANCE_FAILED: u16 = 329;
    pub const SUBSCRIBE: u16 = 330;
    pub const FETCH_LIST: u16 = 331;
}

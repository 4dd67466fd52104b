//! An account of the memory that the bodies of requests and responses hold, without I/O.
//!
//! The memory is divided into pools, one for each [`Direction`] and kind of body: a request that
//! waits for its response holds memory of another pool than the response takes, so that two
//! requests never wait for each other, and long bodies never take the memory of short ones. Within
//! a pool, a tenant that holds memory already may not go beyond three quarters of it, and those who wait are
//! served in turn, one tenant after the other.
//!
//! Bodies are held in blocks ([`BlockBuffer`]), so that what they take is known from their length,
//! whatever the size of the pieces in which they arrive.

mod account;
mod block_buffer;
mod pool;

pub use account::{Direction, MemoryAccount, PoolId, MAX_SMALL_BYTES};
pub use block_buffer::{charge, BlockBuffer, BLOCK_BYTES};
pub use pool::{AcquireError, Acquisition, MemoryPool, WaiterId, MAX_WAITERS};

//! The pools of a process.

use crate::pool::MemoryPool;
use std::hash::Hash;

/// Maximum charge of a short body, in bytes.
pub const MAX_SMALL_BYTES: usize = 72 << 10;
/// Part of the memory that is for requests, in thousandths: they hold theirs for longer than
/// responses, until a backend has responded.
const REQUEST_PERMILLE: usize = 625;
/// Divisor of the memory of one direction: this part of it is for short bodies.
const SMALL_DIVISOR: usize = 8;

/// The direction in which a body is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From a client to a backend.
    Request,
    /// From a backend to a client.
    Response,
}

/// Identifies one of the pools of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PoolId {
    /// The direction of the bodies in the pool.
    pub direction: Direction,
    /// Whether the pool is for long bodies.
    pub is_large: bool,
}

impl PoolId {
    /// Returns the pool for a body with this charge.
    pub fn for_charge(direction: Direction, charge: usize) -> PoolId {
        PoolId {
            direction,
            is_large: charge > MAX_SMALL_BYTES,
        }
    }

    fn indices(self) -> (usize, usize) {
        let is_response = self.direction == Direction::Response;
        (usize::from(is_response), usize::from(self.is_large))
    }
}

/// The memory for all bodies of a process.
#[derive(Debug)]
pub struct MemoryAccount<T> {
    /// By direction and by whether the bodies are long.
    pools: [[MemoryPool<T>; 2]; 2],
}

impl<T: Clone + Eq + Hash> MemoryAccount<T> {
    /// Creates an account of `total_bytes`, of which none are held.
    pub fn new(total_bytes: usize) -> MemoryAccount<T> {
        let requests = total_bytes / 1000 * REQUEST_PERMILLE;
        let responses = total_bytes - requests;
        let pools = [requests, responses].map(|bytes| {
            let small = bytes / SMALL_DIVISOR;
            [small, bytes - small].map(MemoryPool::new)
        });
        MemoryAccount { pools }
    }

    /// Creates an account for a process whose requests have short bodies only: all memory is for
    /// them.
    pub fn for_short_requests(total_bytes: usize) -> MemoryAccount<T> {
        let requests = [total_bytes, 0].map(MemoryPool::new);
        let responses = [0, 0].map(MemoryPool::new);
        MemoryAccount {
            pools: [requests, responses],
        }
    }

    /// Returns a pool.
    pub fn pool(&self, id: PoolId) -> &MemoryPool<T> {
        let (direction, kind) = id.indices();
        &self.pools[direction][kind]
    }

    /// Returns the number of bytes that are held in all pools.
    pub fn used(&self) -> usize {
        self.pools.iter().flatten().map(MemoryPool::used).sum()
    }

    /// Returns a pool to acquire or release memory in.
    pub fn pool_mut(&mut self, id: PoolId) -> &mut MemoryPool<T> {
        let (direction, kind) = id.indices();
        &mut self.pools[direction][kind]
    }
}

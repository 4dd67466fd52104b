//! One pool of memory, shared among tenants.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Maximum number of waiters in a pool; further ones are rejected.
pub const MAX_WAITERS: usize = 4096;
/// Percentage of a pool beyond which a tenant that holds memory acquires no more.
const TENANT_SHARE_PERCENT: usize = 75;

/// Identifies a waiter within its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WaiterId(u64);

/// The result of a successful call of [`MemoryPool::acquire`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquisition {
    /// The memory was acquired.
    Granted,
    /// The memory is acquired once this id is returned by [`MemoryPool::release`] or
    /// [`MemoryPool::cancel`].
    Waiting(WaiterId),
}

/// The reason why memory can neither be acquired nor waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AcquireError {
    /// The pool is smaller.
    #[error("more than the pool holds")]
    TooLarge,
    /// [`MAX_WAITERS`] are waiting.
    #[error("too many are waiting")]
    TooManyWaiters,
}

#[derive(Debug)]
struct Waiter {
    id: WaiterId,
    bytes: usize,
}

/// The waiters of one tenant, the first one first; never empty.
#[derive(Debug)]
struct TenantQueue<T> {
    tenant: T,
    waiters: VecDeque<Waiter>,
}

/// A number of bytes that are acquired and released by tenants. The sum of what is held never
/// exceeds the limit.
#[derive(Debug)]
pub struct MemoryPool<T> {
    limit: usize,
    used: usize,
    /// What each tenant holds, without those that hold nothing.
    held: HashMap<T, usize>,
    /// The waiting tenants; the one whose turn is next first.
    queues: VecDeque<TenantQueue<T>>,
    waiters: usize,
    next_id: u64,
}

impl<T: Clone + Eq + Hash> MemoryPool<T> {
    /// Creates a pool of `limit` bytes, of which none are held.
    pub fn new(limit: usize) -> MemoryPool<T> {
        MemoryPool {
            limit,
            used: 0,
            held: HashMap::new(),
            queues: VecDeque::new(),
            waiters: 0,
            next_id: 0,
        }
    }

    /// Returns the size of the pool, in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of bytes that are held.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Acquires memory, or begins to wait for it.
    ///
    /// # Errors
    /// Returns an error if the pool is smaller than `bytes`, or too many are waiting.
    pub fn acquire(&mut self, tenant: &T, bytes: usize) -> Result<Acquisition, AcquireError> {
        if bytes > self.limit {
            return Err(AcquireError::TooLarge);
        }
        if self.try_acquire(tenant, bytes) {
            return Ok(Acquisition::Granted);
        }
        if self.waiters >= MAX_WAITERS {
            return Err(AcquireError::TooManyWaiters);
        }
        let id = WaiterId(self.next_id);
        self.next_id += 1;
        self.enqueue(tenant, Waiter { id, bytes });
        Ok(Acquisition::Waiting(id))
    }

    /// Acquires memory if it is free and none of those who wait could have it.
    pub fn try_acquire(&mut self, tenant: &T, bytes: usize) -> bool {
        let available = self.next_in_turn().is_none()
            && self.is_within_share(tenant, bytes)
            && bytes <= self.limit - self.used;
        if available {
            self.hold(tenant, bytes);
        }
        available
    }

    /// Releases memory. Returns the waiters that have acquired theirs.
    pub fn release(&mut self, tenant: &T, bytes: usize) -> Vec<WaiterId> {
        self.used -= bytes;
        if let Some(held) = self.held.get_mut(tenant) {
            *held -= bytes;
            if *held == 0 {
                self.held.remove(tenant);
            }
        }
        self.grant_waiters()
    }

    /// Ends the wait of a waiter that has not acquired its memory. Returns the waiters that have
    /// acquired theirs, since they may have waited only for this one's turn.
    pub fn cancel(&mut self, tenant: &T, id: WaiterId) -> Vec<WaiterId> {
        let Some(position) = self.queues.iter().position(|queue| queue.tenant == *tenant) else {
            return Vec::new();
        };
        let queue = &mut self.queues[position];
        let waiting_before = queue.waiters.len();
        queue.waiters.retain(|waiter| waiter.id != id);
        self.waiters -= waiting_before - queue.waiters.len();
        if queue.waiters.is_empty() {
            self.queues.remove(position);
        }
        self.grant_waiters()
    }

    fn enqueue(&mut self, tenant: &T, waiter: Waiter) {
        self.waiters += 1;
        match self.queues.iter_mut().find(|queue| queue.tenant == *tenant) {
            Some(queue) => queue.waiters.push_back(waiter),
            None => self.queues.push_back(TenantQueue {
                tenant: tenant.clone(),
                waiters: VecDeque::from([waiter]),
            }),
        }
    }

    /// Returns whether a tenant may hold this much more. What a tenant acquires while it holds
    /// nothing may be of any size, so that a body that is longer than a share is not stuck.
    fn is_within_share(&self, tenant: &T, bytes: usize) -> bool {
        let held = self.held.get(tenant).copied().unwrap_or(0);
        held == 0 || held + bytes <= self.limit / 100 * TENANT_SHARE_PERCENT
    }

    /// Returns the position of the queue whose first waiter is the next to acquire memory.
    fn next_in_turn(&self) -> Option<usize> {
        self.queues.iter().position(|queue| {
            let first = queue.waiters.front();
            first.is_some_and(|waiter| self.is_within_share(&queue.tenant, waiter.bytes))
        })
    }

    /// Lets the waiters in turn acquire memory for as long as the next one's is free. None is
    /// passed over because it needs more than others, so each acquires its memory in time.
    fn grant_waiters(&mut self) -> Vec<WaiterId> {
        let mut granted = Vec::new();
        while let Some(position) = self.next_in_turn() {
            let first = self.queues[position].waiters.front();
            if first.is_none_or(|waiter| waiter.bytes > self.limit - self.used) {
                break;
            }
            let Some(mut queue) = self.queues.remove(position) else {
                break;
            };
            if let Some(waiter) = queue.waiters.pop_front() {
                self.waiters -= 1;
                self.hold(&queue.tenant, waiter.bytes);
                granted.push(waiter.id);
            }
            if !queue.waiters.is_empty() {
                self.queues.push_back(queue);
            }
        }
        granted
    }

    fn hold(&mut self, tenant: &T, bytes: usize) {
        self.used += bytes;
        if bytes > 0 {
            *self.held.entry(tenant.clone()).or_default() += bytes;
        }
    }
}

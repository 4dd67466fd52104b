//! Memory for bodies: reservations in the process's account, and waiting for them.
//!
//! Whoever waits, or is refused, makes the pool contended, so that connections which hold its memory
//! and hardly move can be closed (`eviction`).

use maplefall_memory_account::{Acquisition, Direction, MemoryAccount, PoolId, WaiterId};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// The tenant that memory is held for; `None` for requests without a known key.
pub type MemoryTenant = Option<Rc<str>>;

/// The account of all bodies of a process.
pub struct BodyMemory {
    account: RefCell<MemoryAccount<MemoryTenant>>,
    /// Those who wait, by pool and id. The account limits their number.
    waiting: RefCell<HashMap<(PoolId, WaiterId), oneshot::Sender<()>>>,
    /// Pools that had too little memory for a body since the last call of
    /// [`take_contended`](Self::take_contended).
    refusing: RefCell<HashSet<PoolId>>,
    /// Notified when somebody begins to wait or is refused.
    contention: Notify,
    counters: Cell<Counters>,
}

/// What happened since the last `body_memory` log line.
#[derive(Clone, Copy, Default)]
struct Counters {
    /// Number of bodies that waited for memory.
    waits: u64,
    /// Number of waits that ended without memory, by a deadline or a disconnect.
    given_up: u64,
    /// Number of bodies that were refused without a wait.
    refused: u64,
}

/// The reason why memory was not reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// No such body is ever taken.
    TooLarge,
    /// Too many are waiting.
    Exhausted,
}

/// Identifies the memory of one body within the account.
#[derive(Clone)]
struct Claim {
    memory: Rc<BodyMemory>,
    pool: PoolId,
    tenant: MemoryTenant,
}

/// Memory reserved for a body, released on drop.
pub struct Reservation {
    claim: Claim,
    bytes: usize,
}

/// A wait for memory, given up on drop.
struct Wait {
    claim: Claim,
    id: WaiterId,
    bytes: usize,
    granted: oneshot::Receiver<()>,
}

impl BodyMemory {
    /// Creates an account of `total_bytes`, of which none are reserved.
    pub fn new(total_bytes: usize) -> Rc<BodyMemory> {
        BodyMemory::with_account(MemoryAccount::new(total_bytes))
    }

    /// Creates an account of `total_bytes` for a process whose requests have short bodies only.
    pub fn for_short_requests(total_bytes: usize) -> Rc<BodyMemory> {
        BodyMemory::with_account(MemoryAccount::for_short_requests(total_bytes))
    }

    fn with_account(account: MemoryAccount<MemoryTenant>) -> Rc<BodyMemory> {
        Rc::new(BodyMemory {
            account: RefCell::new(account),
            waiting: RefCell::default(),
            refusing: RefCell::default(),
            contention: Notify::new(),
            counters: Cell::default(),
        })
    }

    /// Returns a log line with the counters since the last call and resets them; `None` if no body
    /// waited or was refused. `held_kib=` is what bodies hold at the time of the line.
    pub fn take_summary(&self) -> Option<String> {
        let counters = self.counters.take();
        if counters.waits + counters.refused == 0 {
            return None;
        }
        let held_kib = self.account.borrow().used() / 1024;
        Some(format!(
            "event=body_memory waits={} given_up={} refused={} held_kib={held_kib}",
            counters.waits, counters.given_up, counters.refused
        ))
    }

    /// Completes once somebody waits for memory, or has been refused.
    pub async fn contention(&self) {
        if self.waiting.borrow().is_empty() && self.refusing.borrow().is_empty() {
            self.contention.notified().await;
        }
    }

    /// Returns the pools for whose memory somebody waits, or was refused since the last call.
    pub fn take_contended(&self) -> Vec<PoolId> {
        let mut contended = self.refusing.take();
        contended.extend(self.waiting.borrow().keys().map(|(pool, _)| *pool));
        contended.into_iter().collect()
    }

    fn refused(&self, pool: PoolId) {
        self.count(|counters| counters.refused += 1);
        self.refusing.borrow_mut().insert(pool);
        self.contention.notify_one();
    }

    fn count(&self, change: impl FnOnce(&mut Counters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    /// Reserves memory, waiting until it is free. Dropping the future gives up the wait.
    ///
    /// # Errors
    /// Returns an error without waiting if the account never has that much, or too many wait.
    pub async fn reserve(
        self: &Rc<Self>,
        direction: Direction,
        tenant: MemoryTenant,
        bytes: usize,
    ) -> Result<Reservation, ReserveError> {
        let pool = PoolId::for_charge(direction, bytes);
        if bytes > self.account.borrow().pool(pool).limit() {
            self.count(|counters| counters.refused += 1);
            return Err(ReserveError::TooLarge);
        }
        let claim = Claim {
            memory: self.clone(),
            pool,
            tenant,
        };
        let acquisition = {
            let mut account = self.account.borrow_mut();
            let pool = account.pool_mut(claim.pool);
            pool.acquire(&claim.tenant, bytes)
        };
        match acquisition {
            Ok(Acquisition::Granted) => Ok(Reservation { claim, bytes }),
            Ok(Acquisition::Waiting(id)) => {
                self.count(|counters| counters.waits += 1);
                Ok(claim.wait(id, bytes).await)
            }
            Err(_) => {
                self.refused(claim.pool);
                Err(ReserveError::Exhausted)
            }
        }
    }

    fn notify(&self, pool: PoolId, granted: Vec<WaiterId>) {
        let mut waiting = self.waiting.borrow_mut();
        for id in granted {
            if let Some(sender) = waiting.remove(&(pool, id)) {
                // Whoever has stopped waiting meanwhile releases the memory itself.
                let _ = sender.send(());
            }
        }
    }
}

impl Claim {
    async fn wait(self, id: WaiterId, bytes: usize) -> Reservation {
        let (sender, granted) = oneshot::channel();
        let key = (self.pool, id);
        self.memory.waiting.borrow_mut().insert(key, sender);
        self.memory.contention.notify_one();
        let mut wait = Wait {
            claim: self.clone(),
            id,
            bytes,
            granted,
        };
        // The sender is dropped only by `Wait::drop`, so the result is always a grant.
        let _ = (&mut wait.granted).await;
        Reservation { claim: self, bytes }
    }

    fn release(&self, bytes: usize) {
        let granted = {
            let mut account = self.memory.account.borrow_mut();
            account.pool_mut(self.pool).release(&self.tenant, bytes)
        };
        self.memory.notify(self.pool, granted);
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        let key = (self.claim.pool, self.id);
        let was_waiting = self.claim.memory.waiting.borrow_mut().remove(&key);
        if was_waiting.is_some() {
            self.claim.memory.count(|counters| counters.given_up += 1);
            let granted = {
                let mut account = self.claim.memory.account.borrow_mut();
                let pool = account.pool_mut(self.claim.pool);
                pool.cancel(&self.claim.tenant, self.id)
            };
            self.claim.memory.notify(self.claim.pool, granted);
        } else if self.granted.try_recv().is_ok() {
            // Granted, but nobody has taken the reservation.
            self.claim.release(self.bytes);
        }
    }
}

impl Reservation {
    /// Returns the pool that the memory belongs to.
    pub fn pool(&self) -> PoolId {
        self.claim.pool
    }

    /// Returns whether the memory is that for long bodies.
    pub fn is_large(&self) -> bool {
        self.claim.pool.is_large
    }

    /// Increases the reservation to `bytes` if they are free now. Returns whether they are.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        let pool = PoolId::for_charge(self.claim.pool.direction, bytes);
        let additional = if pool == self.claim.pool {
            bytes - self.bytes
        } else {
            bytes
        };
        let acquired = {
            let mut account = self.claim.memory.account.borrow_mut();
            let pool = account.pool_mut(pool);
            pool.try_acquire(&self.claim.tenant, additional)
        };
        if !acquired {
            self.claim.memory.refused(pool);
            return false;
        }
        if pool != self.claim.pool {
            self.claim.release(self.bytes);
            self.claim.pool = pool;
        }
        self.bytes = bytes;
        true
    }

    /// Releases what is beyond `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        if bytes < self.bytes {
            self.claim.release(self.bytes - bytes);
            self.bytes = bytes;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.claim.release(self.bytes);
    }
}

//! Properties of a memory pool and of an account, over random calls.

use maplefall_memory_account::{
    AcquireError, Acquisition, Direction, MemoryAccount, MemoryPool, PoolId, WaiterId,
    MAX_SMALL_BYTES, MAX_WAITERS,
};
use quickcheck::{quickcheck, Arbitrary, Gen};
use std::collections::HashMap;

const LIMIT: usize = 1000;
const TENANTS: u8 = 4;

/// A call of a pool, on behalf of one of [`TENANTS`] tenants.
#[derive(Clone, Debug)]
enum Call {
    Acquire {
        tenant: u8,
        bytes: usize,
    },
    TryAcquire {
        tenant: u8,
        bytes: usize,
    },
    /// Releases what was acquired at this position among all that is held.
    Release(usize),
    /// Ends the wait at this position among all waits.
    Cancel(usize),
}

impl Arbitrary for Call {
    fn arbitrary(random: &mut Gen) -> Call {
        let tenant = u8::arbitrary(random) % TENANTS;
        let bytes = usize::arbitrary(random) % (LIMIT + 100);
        match u8::arbitrary(random) % 8 {
            0..=2 => Call::Acquire { tenant, bytes },
            3 => Call::TryAcquire { tenant, bytes },
            4 => Call::Cancel(usize::arbitrary(random)),
            _ => Call::Release(usize::arbitrary(random)),
        }
    }
}

/// What was acquired or is waited for.
#[derive(Clone, Copy, Debug)]
struct Entry {
    tenant: u8,
    bytes: usize,
}

/// A pool beside what its callers know of it.
struct Model {
    pool: MemoryPool<u8>,
    held: Vec<Entry>,
    waiting: Vec<(WaiterId, Entry)>,
}

impl Model {
    fn new() -> Model {
        Model {
            pool: MemoryPool::new(LIMIT),
            held: Vec::new(),
            waiting: Vec::new(),
        }
    }

    fn acquire(&mut self, entry: Entry) {
        match self.pool.acquire(&entry.tenant, entry.bytes) {
            Ok(Acquisition::Granted) => self.held.push(entry),
            Ok(Acquisition::Waiting(id)) => self.waiting.push((id, entry)),
            Err(error) => assert_eq!((error, entry.bytes > LIMIT), (AcquireError::TooLarge, true)),
        }
    }

    fn grant(&mut self, granted: Vec<WaiterId>) {
        for id in granted {
            let position = self.waiting.iter().position(|(waiting, _)| *waiting == id);
            let position = position.expect("only who waits acquires");
            self.held.push(self.waiting.remove(position).1);
        }
    }

    fn release(&mut self, position: usize) {
        if !self.held.is_empty() {
            let entry = self.held.remove(position % self.held.len());
            let granted = self.pool.release(&entry.tenant, entry.bytes);
            self.grant(granted);
        }
    }

    fn call(&mut self, call: &Call) {
        match *call {
            Call::Acquire { tenant, bytes } => self.acquire(Entry { tenant, bytes }),
            Call::TryAcquire { tenant, bytes } => {
                if self.pool.try_acquire(&tenant, bytes) {
                    self.held.push(Entry { tenant, bytes });
                }
            }
            Call::Release(position) => self.release(position),
            Call::Cancel(position) => {
                if !self.waiting.is_empty() {
                    let position = position % self.waiting.len();
                    let (id, entry) = self.waiting.remove(position);
                    let granted = self.pool.cancel(&entry.tenant, id);
                    self.grant(granted);
                }
            }
        }
    }

    fn held_by(&self, tenant: u8) -> impl Iterator<Item = usize> + '_ {
        let held = self.held.iter().filter(move |entry| entry.tenant == tenant);
        held.map(|entry| entry.bytes)
    }

    fn check(&self) {
        let held: usize = self.held.iter().map(|entry| entry.bytes).sum();
        assert_eq!(self.pool.used(), held);
        assert!(held <= LIMIT);
        for tenant in 0..TENANTS {
            let total: usize = self.held_by(tenant).sum();
            let longest = self.held_by(tenant).max().unwrap_or(0);
            assert!(
                total <= (LIMIT / 4 * 3).max(longest),
                "a tenant holds {total} of {LIMIT} bytes"
            );
        }
        // A pool of which nothing is held lets nobody wait.
        assert!(held > 0 || self.waiting.iter().all(|(_, entry)| entry.bytes == 0));
    }
}

quickcheck! {
    /// The limit and the tenants' shares hold after every call, and once all is released, everyone
    /// who waits has acquired memory.
    fn limits_hold_and_every_wait_ends(calls: Vec<Call>) -> bool {
        let mut model = Model::new();
        for call in &calls {
            model.call(call);
            model.check();
        }
        while !model.held.is_empty() {
            model.release(0);
            model.check();
        }
        model.waiting.is_empty() && model.pool.used() == 0
    }

    /// A waiter acquires memory before any other tenant has acquired it twice after it began to
    /// wait, however many others wait and whatever they need.
    fn tenants_take_turns(before: Vec<Call>, bytes: usize, needs: Vec<usize>, order: Vec<usize>) -> bool {
        let mut model = Model::new();
        before.iter().for_each(|call| model.call(call));
        let own = TENANTS;
        model.acquire(Entry { tenant: own, bytes: 1 + bytes % LIMIT });
        let Some((id, _)) = model.waiting.last().copied().filter(|(_, entry)| entry.tenant == own) else {
            return true;
        };
        let mut acquired: HashMap<u8, usize> = HashMap::new();
        let mut needs = needs.iter().cycle();
        for position in order.iter().copied().chain(std::iter::repeat_n(0, 4 * LIMIT)) {
            let held_before = model.held.len().saturating_sub(1);
            model.release(position);
            let is_waiting = model.waiting.iter().any(|(waiting, _)| *waiting == id);
            for entry in model.held.iter().skip(held_before) {
                *acquired.entry(entry.tenant).or_default() += 1;
            }
            if !is_waiting {
                acquired.remove(&own);
                // The call that lets the waiter acquire memory may let others follow it.
                return true;
            }
            if acquired.values().any(|count| *count > 1) || model.held.is_empty() {
                return false;
            }
            // Every other tenant always has someone else waiting.
            for tenant in 0..TENANTS {
                let bytes = needs.next().map_or(1, |need| 1 + need % LIMIT);
                model.acquire(Entry { tenant, bytes });
            }
        }
        false
    }
}

#[test]
fn a_long_need_is_not_passed_over() {
    let mut model = Model::new();
    model.acquire(Entry {
        tenant: 0,
        bytes: 400,
    });
    model.acquire(Entry {
        tenant: 1,
        bytes: 900,
    });
    model.acquire(Entry {
        tenant: 2,
        bytes: 1,
    });
    assert_eq!(
        model.waiting.len(),
        2,
        "the short need overtook the long one"
    );
    model.release(0);
    assert_eq!(model.waiting.len(), 0);
}

#[test]
fn a_tenant_beyond_its_share_holds_up_no_other() {
    let mut model = Model::new();
    model.acquire(Entry {
        tenant: 0,
        bytes: 400,
    });
    model.acquire(Entry {
        tenant: 0,
        bytes: 400,
    });
    model.acquire(Entry {
        tenant: 1,
        bytes: 400,
    });
    assert_eq!(model.held.len(), 2);
    assert_eq!(model.waiting[0].1.tenant, 0);
}

/// Guards the account against a cancelled wait: those behind it need not wait for its turn.
#[test]
fn those_behind_a_cancelled_wait_go_on() {
    let mut model = Model::new();
    model.acquire(Entry {
        tenant: 0,
        bytes: 400,
    });
    model.acquire(Entry {
        tenant: 1,
        bytes: 900,
    });
    model.acquire(Entry {
        tenant: 2,
        bytes: 400,
    });
    model.call(&Call::Cancel(0));
    assert_eq!((model.held.len(), model.waiting.len()), (2, 0));
}

#[test]
fn waiters_are_bounded() {
    let mut pool = MemoryPool::new(LIMIT);
    assert_eq!(pool.acquire(&0, LIMIT), Ok(Acquisition::Granted));
    for _ in 0..MAX_WAITERS {
        assert!(matches!(pool.acquire(&1, 1), Ok(Acquisition::Waiting(_))));
    }
    assert_eq!(pool.acquire(&1, 1), Err(AcquireError::TooManyWaiters));
}

/// Guards against long bodies that starve short ones, and against requests that wait for responses
/// which wait for requests: each pool is acquired whatever the others hold.
#[test]
fn no_kind_of_body_takes_the_memory_of_another() {
    let charges = [MAX_SMALL_BYTES, MAX_SMALL_BYTES + 1];
    let pools = [Direction::Request, Direction::Response]
        .map(|direction| charges.map(|charge| (PoolId::for_charge(direction, charge), charge)))
        .concat();
    for (exhausted, _) in &pools {
        let mut account = MemoryAccount::new(64 << 20);
        let limit = account.pool(*exhausted).limit();
        let pool = account.pool_mut(*exhausted);
        assert_eq!(pool.acquire(&0, limit), Ok(Acquisition::Granted));
        for (pool, charge) in pools.iter().filter(|(pool, _)| pool != exhausted) {
            let acquired = account.pool_mut(*pool).acquire(&0, *charge);
            assert_eq!(acquired, Ok(Acquisition::Granted));
        }
    }
    let account: MemoryAccount<u8> = MemoryAccount::new(64 << 20);
    let total: usize = pools
        .iter()
        .map(|(pool, _)| account.pool(*pool).limit())
        .sum();
    assert_eq!(total, 64 << 20);
}

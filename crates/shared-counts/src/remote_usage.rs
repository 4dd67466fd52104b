//! Usage at other nodes, on its way to the policy.
//!
//! A fact says how much more was used since the last one, how old that is, and how much may have been used since. Usage is reported as
//! soon as it is received: a token bucket that refills all the time must lose units when they were used, not all at once when the
//! customer's next request comes.

use crate::Customer;
use maplefall_policy::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// What other nodes, and earlier incarnations of this one, have let a customer use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageUpdate {
    /// Units used elsewhere that no earlier fact has reported; negative if more was returned than used.
    pub units: f64,
    /// All usage elsewhere until then is reported, but for `error`.
    pub as_of: Millis,
    /// The most units that may have been used elsewhere by now and are not reported, if customers go on at their recent rate.
    pub error: f64,
}

/// The time constant of the rate of usage elsewhere.
const RATE_TIME_CONSTANT: Millis = 2000.0;

/// The usage of one customer at other nodes.
#[derive(Clone, Copy, Debug)]
struct Usage {
    /// Thousandths of a unit that no fact has reported yet.
    unreported: i64,
    /// The recent rate, in thousandths of a unit per second, decayed as of `updated_at`.
    rate: f64,
    updated_at: Millis,
}

/// The usage of all customers at other nodes. It has no more customers than the node has counts.
#[derive(Clone, Debug, Default)]
pub struct RemoteUsage {
    customers: BTreeMap<Customer, Usage>,
    /// Customers with unreported usage.
    unreported: BTreeSet<Customer>,
}

impl RemoteUsage {
    /// Adds the increase of a count of another incarnation, in thousandths of a unit.
    pub fn add(&mut self, now: Millis, customer: Customer, taken: u64, returned: u64) {
        let usage = self.customers.entry(customer).or_insert(Usage {
            unreported: 0,
            rate: 0.0,
            updated_at: now,
        });
        usage.rate =
            usage.rate * decay(now - usage.updated_at) + taken as f64 * 1000.0 / RATE_TIME_CONSTANT;
        usage.updated_at = now;
        usage.unreported = usage
            .unreported
            .saturating_add_unsigned(taken)
            .saturating_sub_unsigned(returned);
        self.unreported.insert(customer);
    }

    /// A customer with unreported usage.
    pub fn next_unreported(&self) -> Option<Customer> {
        self.unreported.first().copied()
    }

    /// Reports the usage of a customer; `None` if there never was any. `untracked` is how many units may be used elsewhere without a
    /// count of the customer.
    pub fn report(
        &mut self,
        now: Millis,
        customer: Customer,
        as_of: Millis,
        untracked: f64,
    ) -> Option<UsageUpdate> {
        let usage = self.customers.get_mut(&customer)?;
        self.unreported.remove(&customer);
        let units = std::mem::take(&mut usage.unreported) as f64 / 1000.0;
        let rate = usage.rate * decay(now - usage.updated_at) / 1000.0;
        Some(UsageUpdate {
            units,
            as_of,
            error: rate * (now - as_of).max(0.0) / 1000.0 + untracked,
        })
    }

    /// Forgets customers without usage for this long.
    pub fn forget(&mut self, now: Millis, timeout: Millis) {
        self.customers
            .retain(|_, usage| now - usage.updated_at < timeout);
        let customers = &self.customers;
        self.unreported
            .retain(|customer| customers.contains_key(customer));
    }

    /// How many customers there are.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Whether there is no customer.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }
}

/// The part of a rate that is left after this time.
fn decay(elapsed: Millis) -> f64 {
    (-elapsed.max(0.0) / RATE_TIME_CONSTANT).exp()
}

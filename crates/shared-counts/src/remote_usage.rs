//! Usage at other nodes, to be passed to the policy.
//!
//! An update contains the usage since the last one, its age, and the usage that may have happened
//! since. Usage is reported as soon as it is received: a token bucket that refills continuously
//! must lose units when they are used, not all at once at the customer's next request.

use crate::Customer;
use maplefall_policy::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Usage that other nodes, and earlier incarnations of this one, have admitted for a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageUpdate {
    /// Units used elsewhere that no earlier update has reported; negative if more was returned than
    /// used.
    pub units: f64,
    /// All usage at other nodes up to this time has been reported, except for what `error` covers.
    pub as_of: Millis,
    /// The most unreported units that may have been used elsewhere by now, assuming that the recent
    /// rate continues.
    pub error: f64,
}

/// The time constant of the moving average of the usage rate.
const RATE_TIME_CONSTANT: Millis = 2000.0;

/// The usage of one customer at other nodes.
#[derive(Clone, Copy, Debug)]
struct Usage {
    /// Usage that no update has reported yet, in thousandths of a unit.
    unreported: i64,
    /// The recent rate, in thousandths of a unit per second, decayed as of `updated_at`.
    rate: f64,
    updated_at: Millis,
}

/// The usage of all customers at other nodes, for at most as many customers as the node has counts.
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

    /// Returns a customer with unreported usage.
    pub fn next_unreported(&self) -> Option<Customer> {
        self.unreported.first().copied()
    }

    /// Returns the unreported usage of a customer at other nodes, which then counts as reported;
    /// `None` if no usage was ever received. `untracked` is the number of units that may be used
    /// elsewhere without a count of the customer.
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

    /// Forgets customers whose last usage is older than the timeout.
    pub fn forget(&mut self, now: Millis, timeout: Millis) {
        self.customers
            .retain(|_, usage| now - usage.updated_at < timeout);
        let customers = &self.customers;
        self.unreported
            .retain(|customer| customers.contains_key(customer));
    }

    /// Returns the number of customers.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Returns whether there are no customers.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }
}

/// Returns the fraction of a rate that is left after this time.
fn decay(elapsed: Millis) -> f64 {
    (-elapsed.max(0.0) / RATE_TIME_CONSTANT).exp()
}

//! What is used elsewhere, on its way to the decisions.
//!
//! A fact says how much more has been used since the last one, how old it is, and how much may have been used meanwhile. Use is
//! told as soon as it is heard: a store that fills all the time must lose units when they were used, not in a lump when somebody
//! asks.

use crate::{Customer, Epoch};
use maplefall_policy::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// What other doors, and earlier lives of this one, have let in for a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fact {
    /// Units used elsewhere that no fact has told yet; below nought where more was given back than used.
    pub units: f64,
    /// Everything that was used elsewhere until then has been told, but for `error`.
    pub as_of: Millis,
    /// Units at most that may have been used elsewhere by now and are not told, if customers go on as of late.
    pub error: f64,
}

/// Times an interval in which use elsewhere is averaged.
const RATE_SPAN: Millis = 2000.0;

/// What was heard of one customer.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Thousandths of a unit that no fact has told yet.
    untold: i64,
    /// Recent rate of use elsewhere, in thousandths of a unit a second, decayed as of `at`.
    rate: f64,
    at: Millis,
}

/// What was heard of all customers; as many at most as counts are held.
#[derive(Clone, Debug, Default)]
pub struct Heard {
    customers: BTreeMap<Customer, Entry>,
    /// Those of whom something is untold.
    fresh: BTreeSet<Customer>,
}

impl Heard {
    /// Takes in a change of a count of another life.
    pub fn add(&mut self, now: Millis, customer: Customer, taken: u64, returned: u64) {
        let entry = self.customers.entry(customer).or_insert(Entry {
            untold: 0,
            rate: 0.0,
            at: now,
        });
        entry.rate = entry.rate * decay(now - entry.at) + taken as f64 * 1000.0 / RATE_SPAN;
        entry.at = now;
        entry.untold = entry
            .untold
            .saturating_add_unsigned(taken)
            .saturating_sub_unsigned(returned);
        self.fresh.insert(customer);
    }

    /// Somebody of whom something is untold.
    pub fn next(&self) -> Option<Customer> {
        self.fresh.first().copied()
    }

    /// What is to be told of a customer; `None` where nothing was ever heard of it.
    pub fn fact(
        &mut self,
        now: Millis,
        customer: Customer,
        as_of: Millis,
        untold: f64,
    ) -> Option<Fact> {
        let entry = self.customers.get_mut(&customer)?;
        self.fresh.remove(&customer);
        let units = std::mem::take(&mut entry.untold) as f64 / 1000.0;
        let rate = entry.rate * decay(now - entry.at) / 1000.0;
        Some(Fact {
            units,
            as_of,
            error: rate * (now - as_of).max(0.0) / 1000.0 + untold,
        })
    }

    /// Forgets who was not heard of for so long.
    pub fn forget(&mut self, now: Millis, span: Millis) {
        self.customers.retain(|_, entry| now - entry.at < span);
        let customers = &self.customers;
        self.fresh
            .retain(|customer| customers.contains_key(customer));
    }

    /// Customers held.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Whether nobody was heard of.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }
}

fn decay(span: Millis) -> f64 {
    (-span.max(0.0) / RATE_SPAN).exp()
}

/// The epoch of a life's own time.
pub fn epoch_of(time: u64, epoch: Millis) -> Epoch {
    (time as f64 / epoch.max(1.0)) as Epoch
}

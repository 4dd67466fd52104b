//! The gate of customers against a plain map that counts everybody: bytes, time for each use, and how much of what heavy
//! customers use has a count of its own, with 100,000 customers that come once. `cargo bench -p maplefall-shared-counts
//! --bench gate`.

use maplefall_shared_counts::gate::Gate;
use std::collections::{HashMap, HashSet};
use std::time::Instant;

const PLACES: usize = 1024;
const HEAVY: u64 = 200;
const ONCE: u64 = 100_000;

fn main() {
    // Heavy customers have a use of 8 units for every ten that come once with one.
    let uses: Vec<(u64, u64)> = (0..ONCE)
        .flat_map(|n| {
            let heavy = (n % 10 == 0).then_some((n / 10 % HEAVY, 8000));
            std::iter::once((1_000_000 + n, 1000)).chain(heavy)
        })
        .collect();
    let begun = Instant::now();
    let mut plain: HashMap<u64, u64> = HashMap::new();
    for (customer, milli) in &uses {
        *plain.entry(*customer).or_default() += milli;
    }
    let took = begun.elapsed().as_nanos() as f64 / uses.len() as f64;
    let bytes = plain.capacity() * (std::mem::size_of::<(u64, u64)>() + 1);
    println!(
        "plain map: {took:.0} ns a use, {bytes} bytes, {} customers counted",
        plain.len()
    );
    let begun = Instant::now();
    let mut gate = Gate::new(PLACES, 7);
    let (mut told, mut own) = (HashSet::new(), 0u64);
    for (customer, milli) in &uses {
        let has = told.contains(customer) || {
            let gets = gate.asks(*customer, *milli);
            if gets {
                told.insert(*customer);
            }
            gets
        };
        if has && *customer < HEAVY {
            own += milli;
        }
    }
    let took = begun.elapsed().as_nanos() as f64 / uses.len() as f64;
    let heavy: u64 = uses
        .iter()
        .filter(|(customer, _)| *customer < HEAVY)
        .map(|(_, milli)| milli)
        .sum();
    let counted = told.iter().filter(|customer| **customer < HEAVY).count();
    println!(
        "gate: {took:.0} ns a use, {} bytes and {} places of {PLACES}; {counted} of {HEAVY} heavy customers have one, with {:.1}% \
         of what they used; at the end a customer needs {} thousandths",
        gate.bytes(),
        told.len(),
        100.0 * own as f64 / heavy as f64,
        gate.untold(),
    );
}

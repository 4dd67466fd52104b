//! Compares the admission of customers with a map that counts every customer: memory, time per use,
//! and the fraction of heavy customers' usage that has a count of its own, with 100,000 customers
//! that have a single use. `cargo bench -p maplefall-shared-counts --bench admission`.

use maplefall_shared_counts::admission::Admission;
use std::collections::{HashMap, HashSet};
use std::time::Instant;

const CAPACITY: usize = 1024;
const HEAVY_CUSTOMERS: u64 = 200;
const SINGLE_USE_CUSTOMERS: u64 = 100_000;

fn main() {
    // For every ten uses of one unit by single-use customers there is one use of 8 units by a heavy
    // customer.
    let uses: Vec<(u64, u64)> = (0..SINGLE_USE_CUSTOMERS)
        .flat_map(|n| {
            let heavy = (n % 10 == 0).then_some((n / 10 % HEAVY_CUSTOMERS, 8000));
            std::iter::once((1_000_000 + n, 1000)).chain(heavy)
        })
        .collect();
    let started_at = Instant::now();
    let mut map: HashMap<u64, u64> = HashMap::new();
    for (customer, milli) in &uses {
        *map.entry(*customer).or_default() += milli;
    }
    let took = started_at.elapsed().as_nanos() as f64 / uses.len() as f64;
    let bytes = map.capacity() * (std::mem::size_of::<(u64, u64)>() + 1);
    println!(
        "map: {took:.0} ns a use, {bytes} bytes, {} customers counted",
        map.len()
    );
    let started_at = Instant::now();
    let mut admission = Admission::new(CAPACITY, 7);
    let (mut admitted, mut counted_milli) = (HashSet::new(), 0u64);
    for (customer, milli) in &uses {
        let has_count = admitted.contains(customer) || {
            let is_admitted = admission.admit(*customer, *milli);
            if is_admitted {
                admitted.insert(*customer);
            }
            is_admitted
        };
        if has_count && *customer < HEAVY_CUSTOMERS {
            counted_milli += milli;
        }
    }
    let took = started_at.elapsed().as_nanos() as f64 / uses.len() as f64;
    let heavy: u64 = uses
        .iter()
        .filter(|(customer, _)| *customer < HEAVY_CUSTOMERS)
        .map(|(_, milli)| milli)
        .sum();
    let heavy_admitted = admitted
        .iter()
        .filter(|customer| **customer < HEAVY_CUSTOMERS)
        .count();
    println!(
        "admission: {took:.0} ns a use, {} bytes and {} of {CAPACITY} customers; {heavy_admitted} of {HEAVY_CUSTOMERS} heavy customers are \
         admitted, with {:.1}% of what they used; at the end a customer needs {} thousandths",
        admission.memory_bytes(),
        admitted.len(),
        100.0 * counted_milli as f64 / heavy as f64,
        admission.max_untracked(),
    );
}

//! Rule 7: where front doors share counts, all together let in no more for one customer than its quota and the stated error: one
//! more burst, and the quota of the time in which news may be missing. The first attempt of a request takes its units when it has
//! come whole to a node.

use crate::ruling::Ruling;
use crate::view::View;
use std::collections::BTreeMap;

/// Part of the store that must have been used for it to be a test.
const USED: f64 = 0.5;

struct Store {
    level: f64,
    at: f64,
    tested: bool,
}

/// Judges it.
pub fn judge(view: &View<'_>) -> Ruling {
    let tested_by = "customers that used more than half of their quota's store";
    let mut ruling = Ruling::new(7, "shared quotas", tested_by, "units left to the stated error's end");
    let shared_ms = view.record.header.rules.shared_ms;
    if shared_ms <= 0.0 {
        return ruling.close();
    }
    let mut stores: BTreeMap<u64, Store> = BTreeMap::new();
    for attempt in view.attempts.iter().filter(|attempt| attempt.whole) {
        let first = view.attempts_of(attempt.id).next().is_some_and(|first| first.number == attempt.number);
        let Some(one) = view.try_of(attempt.id).filter(|_| first) else { continue };
        let Some(plan) = view.plan(one) else { continue };
        let fresh = || Store { level: plan.burst, at: attempt.at, tested: false };
        let store = stores.entry(one.customer).or_insert_with(fresh);
        let gained = plan.rate * (attempt.at - store.at) / 1000.0;
        store.level = (store.level + gained).min(plan.burst) - one.units;
        store.at = attempt.at;
        let error = plan.burst + plan.rate * shared_ms / 1000.0;
        if store.level < (1.0 - USED) * plan.burst && !store.tested {
            store.tested = true;
            ruling.tested += 1;
        }
        ruling.margin(attempt.at, store.level + error);
        if store.level < -error {
            let text = format!(
                "customer {:x}: its quota's store fell to {:.1} units; {:.1} below nought are allowed",
                one.customer, store.level, error
            );
            ruling.broken(attempt.at, one.id, &[one.line, attempt.line], text);
        }
    }
    ruling.close()
}

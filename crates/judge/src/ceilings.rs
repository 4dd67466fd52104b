//! Rule 5: where a plan has a hard ceiling, all front doors together never send on more for one customer than its store
//! gives. The first attempt of a request takes its units when it has come whole to a node.

use crate::ruling::Ruling;
use crate::view::View;
use std::collections::BTreeMap;

/// Longest time on the sockets by which what is sent on at one rate may come closer together (protocol page: 150 ms).
const BUNCHED_MS: f64 = 150.0;
/// Part of the store that must have been used for it to be a test.
const USED: f64 = 0.5;

struct Store {
    level: f64,
    at: f64,
    tested: bool,
}

/// Judges it.
pub fn judge(view: &View<'_>) -> Ruling {
    let tested_by = "customers that used more than half of their ceiling's store";
    let mut ruling = Ruling::new(5, "hard ceilings", tested_by, "units left to the slack's end");
    let mut stores: BTreeMap<u64, Store> = BTreeMap::new();
    for attempt in view.attempts.iter().filter(|attempt| attempt.whole) {
        let first = view.attempts_of(attempt.id).next().is_some_and(|first| first.number == attempt.number);
        let Some(one) = view.try_of(attempt.id).filter(|_| first) else { continue };
        let Some(ceiling) = view.plan(one).and_then(|plan| plan.ceiling) else { continue };
        let fresh = || Store { level: ceiling.burst, at: attempt.at, tested: false };
        let store = stores.entry(one.customer).or_insert_with(fresh);
        let gained = ceiling.rate * (attempt.at - store.at) / 1000.0;
        store.level = (store.level + gained).min(ceiling.burst) - one.units;
        store.at = attempt.at;
        let slack = ceiling.slack + ceiling.rate * BUNCHED_MS / 1000.0;
        if store.level < (1.0 - USED) * ceiling.burst && !store.tested {
            store.tested = true;
            ruling.tested += 1;
        }
        ruling.margin(attempt.at, store.level + slack);
        if store.level < -slack {
            let text = format!(
                "customer {:x}: the ceiling's store fell to {:.1} units; {:.1} below nought are allowed",
                one.customer, store.level, slack
            );
            ruling.broken(attempt.at, one.id, &[one.line, attempt.line], text);
        }
    }
    ruling.close()
}

//! A store of units for each customer, as rules 5 and 7 have it: what all front doors together send on for one customer may not
//! pass what its store gives. The first attempt of a request takes its units when it has come whole to a node.

use crate::ruling::Ruling;
use crate::view::View;
use maplefall_event_trace::Plan;
use std::collections::BTreeMap;

/// Part of the store that must have been used for it to be a test.
const USED: f64 = 0.5;

/// What a customer's store gives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Gives {
    /// Units a second that refill it.
    pub rate: f64,
    /// Units that it holds at most, and at the start.
    pub burst: f64,
    /// Units below nought that are allowed.
    pub slack: f64,
}

struct Store {
    level: f64,
    at: f64,
    tested: bool,
}

/// Judges all customers whose plan has such a store, called by its name in findings.
pub(crate) fn judge(
    view: &View<'_>,
    mut ruling: Ruling,
    name: &str,
    gives: impl Fn(&Plan) -> Option<Gives>,
) -> Ruling {
    let mut stores: BTreeMap<u64, Store> = BTreeMap::new();
    for attempt in view.attempts.iter().filter(|attempt| attempt.whole) {
        let first = view
            .attempts_of(attempt.id)
            .next()
            .is_some_and(|first| first.number == attempt.number);
        let Some(one) = view.try_of(attempt.id).filter(|_| first) else {
            continue;
        };
        let Some(gives) = view.plan(one).and_then(&gives) else {
            continue;
        };
        let fresh = || Store {
            level: gives.burst,
            at: attempt.at,
            tested: false,
        };
        let store = stores.entry(one.customer).or_insert_with(fresh);
        let gained = gives.rate * (attempt.at - store.at) / 1000.0;
        store.level = (store.level + gained).min(gives.burst) - one.units;
        store.at = attempt.at;
        if store.level < (1.0 - USED) * gives.burst && !store.tested {
            store.tested = true;
            ruling.tested += 1;
        }
        ruling.margin(attempt.at, store.level + gives.slack);
        if store.level < -gives.slack {
            let text = format!(
                "customer {:x}: the {name}'s store fell to {:.1} units; {:.1} below nought are allowed",
                one.customer, store.level, gives.slack
            );
            ruling.broken(attempt.at, one.id, &[one.line, attempt.line], text);
        }
    }
    ruling.close()
}

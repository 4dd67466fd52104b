//! The table of backends: its index follows every change, and a search of some backends finds the
//! same as a search of all.

use maplefall_backend_index::{BackendTable, Candidate, Entry, Indexed, State};
use rand_pcg::Pcg32;

#[derive(Clone, Debug)]
struct Backend {
    state: State,
    position: f64,
    warming: bool,
    in_use: bool,
}

impl Indexed for Backend {
    fn index_entry(&self) -> Entry {
        Entry {
            state: self.state,
            position: self.position,
            warming_since: self.warming.then_some(0.0),
            suspect_since: None,
            in_use: self.in_use,
            time_per_unit: None,
        }
    }
}

/// `count` backends in the order of their positions, of which every third is warming up.
fn table(count: u32) -> BackendTable<u32, Backend> {
    let mut table = BackendTable::default();
    table.update_many(None, |backends| {
        for key in 0..count {
            let backend = Backend {
                state: State::Ready,
                position: f64::from(key) / f64::from(count),
                warming: key % 3 == 0,
                in_use: false,
            };
            backends.insert(key, backend);
        }
    });
    table
}

#[test]
fn an_update_changes_the_index() {
    let mut table = table(3);
    assert_eq!(table.index().ready(), [0, 1, 2]);
    let result = table.update(1, |backend| {
        backend.state = State::Draining;
        "changed"
    });
    assert_eq!(result, Some("changed"));
    assert_eq!(table.index().ready(), [0, 2]);
    assert_eq!(table.len(), 3);
    assert_eq!(table.update(7, |_| ()), None);
}

#[test]
fn drained_backends_are_removed() {
    let mut table = table(3);
    table.update_many(Some(&[2]), |backends| {
        for backend in backends.values_mut().skip(2) {
            backend.state = State::Drained;
        }
    });
    assert_eq!(table.len(), 2);
    assert!(table.get(&2).is_none());
    assert!(!table.is_empty());
}

#[test]
fn ready_backends_are_listed_only_if_all_are_in_use() {
    let mut table = table(2);
    table.update(0, |backend| backend.in_use = true);
    assert_eq!(table.ready_if_all_in_use().count(), 0);
    table.update(1, |backend| backend.in_use = true);
    assert_eq!(table.ready_if_all_in_use().count(), 2);
}

#[test]
fn warm_backends_are_removed_from_the_list_of_warming_backends() {
    let mut table = table(7);
    table.retain_warming(|backend| backend.position > 0.0);
    let mut warming = Vec::new();
    table.for_each_warming(|key, _| warming.push(key));
    assert_eq!(warming, [3, 6]);
    assert_eq!(table.warming().count(), 2);
}

fn search(
    table: &BackendTable<u32, Backend>,
    keys: &[u32],
    due: Option<u32>,
) -> (Option<u32>, Option<u32>, Pcg32) {
    let found = table.search(
        keys,
        due,
        &Pcg32::new(7, 7),
        |key, backend| !backend.warming || due == Some(key),
        |key, backend, draw| Candidate {
            key,
            cost: 10.0 * backend.position + draw,
            wait: 0.0,
            response_time: 0.0,
        },
    );
    let key = |candidate: Option<Candidate<u32>>| candidate.map(|candidate| candidate.key);
    (key(found.due), key(found.cheapest), found.rng)
}

#[test]
fn a_search_of_the_preferred_backends_finds_the_same_as_a_search_of_all() {
    let table = table(30);
    let all: Vec<u32> = (0..30).collect();
    for due in [None, Some(0), Some(3)] {
        let found = search(&table, &all, due);
        assert_eq!(found.0, due);
        assert_eq!(search(&table, &all[..12], due), found);
    }
}

#[test]
fn a_search_without_eligible_backends_finds_none() {
    let table = table(1);
    let (due, cheapest, rng) = search(&table, &[0], None);
    assert_eq!((due, cheapest), (None, None));
    assert_eq!(rng, Pcg32::new(7, 7), "no number was drawn");
}

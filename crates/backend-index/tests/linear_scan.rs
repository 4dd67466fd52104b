//! Compares the index with a table that is scanned for each query, over random sequences of
//! changes.

use maplefall_backend_index::{Entry, Index, State};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::{BTreeMap, BTreeSet};

/// The scanned table: the last entry of each backend, and the backends removed from a list since.
#[derive(Default)]
struct LinearScan {
    all: BTreeMap<u32, Entry>,
    removed_warming: BTreeSet<u32>,
    removed_suspects: BTreeSet<u32>,
}

impl LinearScan {
    fn set(&mut self, key: u32, entry: Option<Entry>) {
        let previous = match entry {
            Some(entry) => self.all.insert(key, entry),
            None => self.all.remove(&key),
        };
        if previous != entry {
            self.removed_warming.remove(&key);
            self.removed_suspects.remove(&key);
        }
    }

    fn ready(&self) -> Vec<(u32, Entry)> {
        self.all
            .iter()
            .filter(|(_, s)| s.state == State::Ready)
            .map(|(key, s)| (*key, *s))
            .collect()
    }

    fn warming(&self) -> Vec<u32> {
        let warming = self
            .ready()
            .into_iter()
            .filter(|(key, s)| s.warming_since.is_some() && !self.removed_warming.contains(key));
        warming.map(|(key, _)| key).collect()
    }

    fn healthy_positions(&self) -> Vec<f64> {
        let is_healthy = |(key, s): &(u32, Entry)| {
            s.suspect_since.is_none() || self.removed_suspects.contains(key)
        };
        let mut positions: Vec<f64> = self
            .ready()
            .into_iter()
            .filter(is_healthy)
            .map(|(_, s)| s.position)
            .collect();
        positions.sort_by(f64::total_cmp);
        positions
    }
}

#[derive(Clone, Debug)]
enum Step {
    Set(u32, Option<Entry>),
    RemoveWarming(u32),
    RemoveSuspect(u32),
}

fn entry() -> impl Strategy<Value = Entry> {
    // Few positions and times, so that there are ties.
    let figures = (0u8..5, proptest::option::of(0u8..4));
    let state =
        prop_oneof![4 => Just(State::Ready), 1 => Just(State::Draining), 1 => Just(State::Drained)];
    let since = || proptest::option::of((0u8..3).prop_map(f64::from));
    (state, any::<bool>(), since(), since(), figures).prop_map(
        |(state, in_use, warming_since, suspect_since, (position, time))| Entry {
            state,
            position: f64::from(position) / 5.0,
            warming_since,
            suspect_since,
            in_use,
            time_per_unit: time.map(|time| f64::from(time) * 7.5),
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u32..12, proptest::option::weighted(0.85, entry())).prop_map(|(key, s)| Step::Set(key, s)),
        1 => (0u32..12).prop_map(Step::RemoveWarming),
        1 => (0u32..12).prop_map(Step::RemoveSuspect),
    ]
}

proptest! {
    #![proptest_config(Config { cases: 2000, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() })]

    /// Each query of the index returns the same as a scan, after any sequence of changes.
    #[test]
    fn each_query_equals_a_scan(steps in proptest::collection::vec(step(), 1..60)) {
        let (mut index, mut scan) = (Index::default(), LinearScan::default());
        for step in steps {
            match step {
                Step::Set(key, now) => {
                    index.set(key, now);
                    scan.set(key, now);
                }
                Step::RemoveWarming(key) => {
                    index.retain_warming(|other| other != key);
                    scan.removed_warming.insert(key);
                }
                Step::RemoveSuspect(key) => {
                    index.retain_suspects(|other| other != key);
                    scan.removed_suspects.insert(key);
                }
            }
            let ready = scan.ready();
            let keys: Vec<u32> = ready.iter().map(|(key, _)| *key).collect();
            prop_assert_eq!(index.ready(), &keys[..]);
            let drained = scan.all.iter().filter(|(_, s)| s.state == State::Drained).map(|(key, _)| *key);
            prop_assert!(index.drained().eq(drained));
            let idle = ready.iter().any(|(_, s)| !s.in_use);
            prop_assert_eq!(index.ready_if_all_in_use(), if idle { &[] } else { &keys[..] });
            let warming = scan.warming();
            prop_assert!(index.warming().eq(warming.iter().copied()));
            let extra = warming.first().copied();
            prop_assert_eq!(index.warm_count(None), (ready.len() - warming.len()) as u64);
            prop_assert_eq!(index.warm_count(extra), (ready.len() - warming.len() + warming.len().min(1)) as u64);
            let healthy = scan.healthy_positions();
            prop_assert_eq!(index.healthy_count(), healthy.len());
            prop_assert_eq!(index.healthy_position(0), None);
            for n in 1..=healthy.len() + 1 {
                prop_assert_eq!(index.healthy_position(n), healthy.get(n - 1).copied());
            }
            for last in [0.0, 0.2, 0.5, 1.0] {
                let candidates = index.candidates(last);
                let expected: Vec<u32> =
                    ready.iter().filter(|(_, s)| s.position <= last).map(|(key, _)| *key).collect();
                prop_assert_eq!(&candidates, &expected);
                index.recycle(candidates);
            }
            for key in 0..13 {
                let before = keys.iter().filter(|other| **other < key && !warming.contains(other)).count();
                prop_assert_eq!(index.warm_rank(key, None), before as u64);
                let expected = before + usize::from(extra.is_some_and(|extra| extra < key));
                prop_assert_eq!(index.warm_rank(key, extra), expected as u64);
            }
            let least = ready.iter().filter_map(|(_, s)| s.time_per_unit).min_by(f64::total_cmp);
            prop_assert_eq!(index.least_time_per_unit(), least);
        }
    }
}

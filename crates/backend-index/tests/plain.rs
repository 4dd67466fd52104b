//! The index against a plain table that is walked for each question, over random histories.

use maplefall_backend_index::{Index, Is, Standing};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::collections::{BTreeMap, BTreeSet};

/// The plain table: what was last put in, and who was struck off a list since.
#[derive(Default)]
struct Plain {
    all: BTreeMap<u32, Standing>,
    not_cold: BTreeSet<u32>,
    not_doubted: BTreeSet<u32>,
}

impl Plain {
    fn set(&mut self, key: u32, now: Option<Standing>) {
        let before = match now {
            Some(standing) => self.all.insert(key, standing),
            None => self.all.remove(&key),
        };
        if before != now {
            self.not_cold.remove(&key);
            self.not_doubted.remove(&key);
        }
    }

    fn ready(&self) -> Vec<(u32, Standing)> {
        self.all
            .iter()
            .filter(|(_, s)| s.is == Is::Ready)
            .map(|(key, s)| (*key, *s))
            .collect()
    }

    fn cold(&self) -> Vec<u32> {
        let cold = self
            .ready()
            .into_iter()
            .filter(|(key, s)| s.cold.is_some() && !self.not_cold.contains(key));
        cold.map(|(key, _)| key).collect()
    }

    fn trusted(&self) -> Vec<f64> {
        let of = |(key, s): &(u32, Standing)| s.doubted.is_none() || self.not_doubted.contains(key);
        let mut places: Vec<f64> = self
            .ready()
            .into_iter()
            .filter(of)
            .map(|(_, s)| s.place)
            .collect();
        places.sort_by(f64::total_cmp);
        places
    }
}

#[derive(Clone, Debug)]
enum Step {
    Set(u32, Option<Standing>),
    Warm(u32),
    Trust(u32),
}

fn standing() -> impl Strategy<Value = Standing> {
    // Few places and paces, so that there are ties.
    let figures = (0u8..5, proptest::option::of(0u8..4));
    let is = prop_oneof![4 => Just(Is::Ready), 1 => Just(Is::Leaving), 1 => Just(Is::Over)];
    let since = || proptest::option::of((0u8..3).prop_map(f64::from));
    (is, any::<bool>(), since(), since(), figures).prop_map(
        |(is, busy, cold, doubted, (place, pace))| Standing {
            is,
            place: f64::from(place) / 5.0,
            cold,
            doubted,
            busy,
            pace: pace.map(|pace| f64::from(pace) * 7.5),
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u32..12, proptest::option::weighted(0.85, standing())).prop_map(|(key, s)| Step::Set(key, s)),
        1 => (0u32..12).prop_map(Step::Warm),
        1 => (0u32..12).prop_map(Step::Trust),
    ]
}

proptest! {
    #![proptest_config(Config { cases: 2000, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() })]

    /// Guards each answer of the index: it is the walk's, whatever happened before.
    #[test]
    fn each_answer_is_that_of_a_walk(steps in proptest::collection::vec(step(), 1..60)) {
        let (mut index, mut plain) = (Index::default(), Plain::default());
        for step in steps {
            match step {
                Step::Set(key, now) => {
                    index.set(key, now);
                    plain.set(key, now);
                }
                Step::Warm(key) => {
                    index.keep_cold(|other| other != key);
                    plain.not_cold.insert(key);
                }
                Step::Trust(key) => {
                    index.keep_doubted(|other| other != key);
                    plain.not_doubted.insert(key);
                }
            }
            let ready = plain.ready();
            let keys: Vec<u32> = ready.iter().map(|(key, _)| *key).collect();
            prop_assert_eq!(index.ready(), &keys[..]);
            let over = plain.all.iter().filter(|(_, s)| s.is == Is::Over).map(|(key, _)| *key);
            prop_assert!(index.over().eq(over));
            let idle = ready.iter().any(|(_, s)| !s.busy);
            prop_assert_eq!(index.all_busy(), if idle { &[] } else { &keys[..] });
            let cold = plain.cold();
            prop_assert!(index.cold().eq(cold.iter().copied()));
            let and = cold.first().copied();
            prop_assert_eq!(index.warm(None), (ready.len() - cold.len()) as u64);
            prop_assert_eq!(index.warm(and), (ready.len() - cold.len() + cold.len().min(1)) as u64);
            let trusted = plain.trusted();
            prop_assert_eq!(index.trusted(), trusted.len());
            prop_assert_eq!(index.place_of(0), None);
            for n in 1..=trusted.len() + 1 {
                prop_assert_eq!(index.place_of(n), trusted.get(n - 1).copied());
            }
            for last in [0.0, 0.2, 0.5, 1.0] {
                let placed = index.placed_up_to(last);
                let walked: Vec<u32> =
                    ready.iter().filter(|(_, s)| s.place <= last).map(|(key, _)| *key).collect();
                prop_assert_eq!(&placed, &walked);
                index.done_with(placed);
            }
            for key in 0..13 {
                let before = keys.iter().filter(|other| **other < key && !cold.contains(other)).count();
                prop_assert_eq!(index.warm_before(key, None), before as u64);
                let with = before + usize::from(and.is_some_and(|one| one < key));
                prop_assert_eq!(index.warm_before(key, and), with as u64);
            }
            let least = ready.iter().filter_map(|(_, s)| s.pace).min_by(f64::total_cmp);
            prop_assert_eq!(index.least_pace(), least);
        }
    }
}

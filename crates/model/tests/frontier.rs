//! The bound on all rules without talk against brute force and closed cases, and the module against it.

use maplefall_model::bound::{bound, Case};
use maplefall_model::frontier::{bound_of, worlds, Point, WHO};
use maplefall_model::{play, World};

fn case() -> Case {
    Case {
        proxies: 50,
        uneven: 0.0,
        seconds: 20.0,
        burst_s: 2.0,
        requests_per_second: 1.0,
        proxy_requests: 1,
        fractions: vec![(0.4, 0.6), (1.0, 0.2), (3.0, 0.2)],
        cost: 0.8,
    }
}

/// The same sum by trying every rule that knows the number of earlier requests at proxies (up to three and more) by steps of a tenth, in a
/// single stretch: what the programme gives for one stretch is no less, and no more than a step allows.
fn bound_by_enumeration(case: &Case, seen_for: f64) -> f64 {
    let room = 1.0 + case.burst_s / case.seconds;
    let offered: f64 = case
        .fractions
        .iter()
        .map(|(fraction, share)| share * fraction.min(room))
        .sum();
    let chances: Vec<[f64; 4]> = case
        .fractions
        .iter()
        .map(|(fraction, _)| {
            let mean = fraction * case.requests_per_second * seen_for / case.proxies as f64;
            let none = (-mean).exp();
            let [one, two] = [none * mean, none * mean * mean / 2.0];
            [none, one, two, 1.0 - none - one - two]
        })
        .collect();
    let mut best = f64::NEG_INFINITY;
    for rule in 0..11usize.pow(4) {
        let f: Vec<f64> = (0..4)
            .map(|at| (rule / 11usize.pow(at) % 11) as f64 / 10.0)
            .collect();
        let value: f64 = case
            .fractions
            .iter()
            .zip(&chances)
            .map(|((fraction, share), chances)| {
                let admitted = fraction
                    * chances
                        .iter()
                        .zip(&f)
                        .map(|(random, f)| random * f)
                        .sum::<f64>();
                share * (admitted.min(room) - case.cost * (admitted - room).max(0.0))
            })
            .sum();
        best = best.max(value / offered);
    }
    best
}

#[test]
fn bound_equals_enumeration_of_rules() {
    for (cost, proxies) in [(0.3, 50), (0.8, 50), (2.0, 50), (0.8, 200), (5.0, 20)] {
        let case = Case {
            cost,
            proxies,
            ..case()
        };
        let found = bound(&case).expect("a bound");
        // A rule that knows at once what others know at the end earns no less than the bound, which learns in stretches; one
        // that never learns more than in the first stretch no more.
        let (most, least) = (
            bound_by_enumeration(&case, case.seconds),
            bound_by_enumeration(&case, case.seconds / 4.0),
        );
        assert!(
            found.value <= most + 0.02,
            "{cost} {proxies}: {found:?} {most}"
        );
        assert!(
            found.value >= least - 1e-6,
            "{cost} {proxies}: {found:?} {least}"
        );
        assert!((found.served_value - cost * found.over - found.value).abs() < 1e-9);
    }
}

/// Where nothing is unknown nothing is lost: one proxy, one part, or no cost.
#[test]
fn known_demand_reaches_full_value() {
    let value = |case: Case| bound(&case).expect("a bound").value;
    assert!(
        (value(Case {
            proxies: 1,
            requests_per_second: 20.0,
            ..case()
        }) - 1.0)
            .abs()
            < 1e-6
    );
    assert!(
        (value(Case {
            fractions: vec![(3.0, 1.0)],
            ..case()
        }) - 1.0)
            .abs()
            < 1e-6
    );
    assert!(
        (value(Case {
            cost: 0.0,
            ..case()
        }) - 1.0)
            .abs()
            < 1e-6
    );
    assert!(value(case()) < 0.95, "and what is not known costs");
    // More proxies know less, a busier one knows more.
    let [few, many, uneven] = [
        value(Case {
            proxies: 10,
            ..case()
        }),
        value(Case {
            proxies: 100,
            ..case()
        }),
        value(Case {
            proxies: 100,
            uneven: 0.9,
            ..case()
        }),
    ];
    assert!(few > many && uneven > many, "{few} {many} {uneven}");
    assert!(
        bound(&Case {
            proxies: 0,
            ..case()
        })
        .is_err()
            && bound(&Case {
                fractions: vec![],
                ..case()
            })
            .is_err()
    );
}

fn base() -> World {
    let text = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../worlds/frontier.toml"
    ));
    World::read(&text.expect("worlds/frontier.toml")).expect("a world")
}

const COST: f64 = 0.8;

fn points(proxies: usize, uneven: f64) -> Vec<Point> {
    worlds(&base(), proxies, uneven)
        .iter()
        .zip(WHO)
        .map(|(world, (who, ..))| {
            let runs: Vec<_> = (1..=3).map(|seed| play(world, seed)).collect();
            let mean =
                |of: fn(&maplefall_model::Outcome) -> f64| runs.iter().map(of).sum::<f64>() / 3.0;
            let (served_value, over) = (
                mean(|one| one.served_value),
                mean(|one| one.over_quota_value),
            );
            Point {
                proxies,
                uneven,
                who: who.to_owned(),
                served_value,
                over,
                value: served_value - COST * over,
            }
        })
        .collect()
}

/// In terms of the fleet, for 4, 30 and 100 proxies: nowhere is the module dominated by even shares, and it keeps its distance to what
/// is possible without talk (measured: 0.95 and 0.87 of it, 0.88 and 0.64, 0.83 and 0.56). The bound is one: nobody who talks to
/// nobody passes it by more than chance.
#[test]
fn module_is_not_dominated_and_stays_near_bound() {
    let grid = [
        (4, 0.0, 0.92),
        (4, 0.6, 0.83),
        (30, 0.0, 0.85),
        (30, 0.6, 0.6),
        (100, 0.0, 0.8),
        (100, 0.6, 0.52),
    ];
    for (proxies, uneven, least) in grid {
        let points = points(proxies, uneven);
        let [module, even, whole, oracle] = points.as_slice() else {
            panic!("four")
        };
        let most = bound_of(
            &World {
                proxies,
                uneven,
                ..base()
            },
            COST,
        )
        .expect("a bound");
        println!("{proxies} {uneven}: bound {most:?}\n{points:#?}");
        assert!(!module.dominated_by(even), "{module:?} {even:?}");
        assert!(module.value >= least * most.value, "{module:?} {most:?}");
        for one in [module, even, whole] {
            assert!(one.value <= most.value + 0.03, "{one:?} {most:?}");
        }
        assert!(oracle.value > 0.97, "{oracle:?}");
    }
}

#[test]
fn dominance_requires_no_worse_figure() {
    let point = |served_value, over| Point {
        proxies: 1,
        uneven: 0.0,
        who: String::new(),
        served_value,
        over,
        value: 0.0,
    };
    let here = point(0.8, 0.1);
    assert!(here.dominated_by(&point(0.8, 0.05)) && here.dominated_by(&point(0.9, 0.1)));
    assert!(
        !here.dominated_by(&here)
            && !here.dominated_by(&point(0.9, 0.2))
            && !here.dominated_by(&point(0.7, 0.0))
    );
}

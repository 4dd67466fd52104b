//! Whatever the record: one that follows the rules is never called broken, and one bad thing put into it always is.

mod tale;

use maplefall_event_trace::{AttemptEnd, Health};
use maplefall_invariants::Verdict;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use tale::*;

fn config() -> Config {
    Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

/// One request: its class, when it is asked, and the ends of its attempts, of which all but the last are repeats that
/// its class permits.
#[derive(Clone, Debug)]
struct Course {
    class: usize,
    at: f64,
    gaps: Vec<(u8, f64)>,
}

fn course() -> impl Strategy<Value = Course> {
    let gaps = prop::collection::vec((0u8..4, 1.0..200.0f64), 1..3);
    (0usize..3, 0.0..20_000.0f64, gaps).prop_map(|(class, at, gaps)| Course { class, at, gaps })
}

/// Tells a course that keeps every rule; attempts go to nodes of their own.
fn tell(mut tale: Tale, number: u64, course: &Course) -> Tale {
    let id = format!("r{number}");
    tale = tale.asked(course.at, &id, course.class);
    let mut at = course.at;
    for (i, (kind, gap)) in course.gaps.iter().enumerate() {
        let attempt = number * 10 + i as u64;
        at += gap;
        tale = tale.came(at, attempt, &id, number as u32 % 7);
        at += 20.0;
        // An unsafe request ends with the first attempt that may have run.
        let end = match (kind, course.class) {
            (0, _) => AttemptEnd::Served,
            (1, _) => AttemptEnd::Rejected,
            (_, UNSAFE) => AttemptEnd::Rejected,
            (2, _) => AttemptEnd::Reset,
            _ => AttemptEnd::Cancelled,
        };
        tale = tale.over(at, attempt, end);
        if end == AttemptEnd::Served {
            return tale
                .ran(at, attempt)
                .answered(at + 1.0, &id, 200, Some(attempt));
        }
    }
    let status = if course.class == UNSAFE { 429 } else { 502 };
    tale.answered(at + 1.0, &id, status, None)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn what_keeps_the_rules_is_never_called_broken(
        courses in prop::collection::vec(course(), 1..60),
        drain in 0.0..20_000.0f64,
    ) {
        let told = tale_with(&courses).told(drain, 1, 3, Health::Draining, None);
        let judgement = told.judge();
        let found: Vec<_> = judgement.rules.iter().flat_map(|ruling| &ruling.violations).collect();
        prop_assert!(!judgement.has_violations(), "{found:#?}");
        prop_assert_eq!(judgement.metrics.client_requests, courses.len() as u64);
    }

    #[test]
    fn one_unsafe_repeat_is_always_found_and_only_it(
        courses in prop::collection::vec(course(), 1..60),
        at in 0.0..20_000.0f64,
        end in prop::sample::select(vec![AttemptEnd::Reset, AttemptEnd::Error, AttemptEnd::Malformed, AttemptEnd::Cancelled]),
    ) {
        let bad = tale_with(&courses)
            .asked(at, "bad", UNSAFE)
            .came(at + 5.0, 9001, "bad", 1)
            .over(at + 30.0, 9001, end)
            .came(at + 60.0, 9002, "bad", 2)
            .over(at + 90.0, 9002, AttemptEnd::Served)
            .answered(at + 91.0, "bad", 200, Some(9002));
        let judgement = bad.judge();
        let broken: Vec<_> =
            judgement.rules.iter().filter(|r| r.verdict == Verdict::Violated).map(|r| r.rule).collect();
        prop_assert_eq!(broken, vec![2]);
        let finding = &judgement.rules[1].violations[0];
        prop_assert_eq!(finding.request.as_str(), "bad");
    }

    #[test]
    fn one_send_past_a_drain_is_always_found(
        courses in prop::collection::vec(course(), 1..60),
        drain in 0.0..20_000.0f64,
        late in 1.0..5_000.0f64,
    ) {
        let at = drain + DRAIN_GRACE + late;
        let told = tale_with(&courses).told(drain, 0, 99, Health::Removed, None);
        let judgement = told.asked(at - 3.0, "bad", SAFE).came(at, 9001, "bad", 99)
            .over(at + 9.0, 9001, AttemptEnd::Served).answered(at + 10.0, "bad", 200, Some(9001)).judge();
        let ruling = &judgement.rules[2];
        prop_assert_eq!(ruling.violation_count, 1);
        prop_assert!((ruling.margin.unwrap() + late).abs() < 1e-6);
    }
}

fn tale_with(courses: &[Course]) -> Tale {
    courses
        .iter()
        .enumerate()
        .fold(Tale::default(), |tale, (i, course)| {
            tell(tale, i as u64 + 1, course)
        })
}

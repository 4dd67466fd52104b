//! Random traces: a trace that follows the rules has no violation, and a single injected fault is
//! always found.

mod trace_builder;

use maplefall_event_trace::{AttemptEnd, Health};
use maplefall_invariants::Verdict;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use trace_builder::*;

fn config() -> Config {
    Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

/// A request: its class, the time when it is sent, and for each attempt the kind of its end and the
/// gap before it. All but the first attempt are retries that the class permits.
#[derive(Clone, Debug)]
struct RequestPlan {
    class: usize,
    at: f64,
    gaps: Vec<(u8, f64)>,
}

fn request_plan() -> impl Strategy<Value = RequestPlan> {
    let gaps = prop::collection::vec((0u8..4, 1.0..200.0f64), 1..3);
    (0usize..3, 0.0..20_000.0f64, gaps).prop_map(|(class, at, gaps)| RequestPlan {
        class,
        at,
        gaps,
    })
}

/// Adds a request that follows every rule; all its attempts go to one node, by the request's
/// number.
fn add_request(mut trace: TraceBuilder, number: u64, request_plan: &RequestPlan) -> TraceBuilder {
    let id = format!("r{number}");
    trace = trace.request(request_plan.at, &id, request_plan.class);
    let mut at = request_plan.at;
    for (i, (kind, gap)) in request_plan.gaps.iter().enumerate() {
        let attempt = number * 10 + i as u64;
        at += gap;
        trace = trace.attempt(at, attempt, &id, number as u32 % 7);
        at += 20.0;
        // An unsafe request ends with the first attempt that may have run.
        let end = match (kind, request_plan.class) {
            (0, _) => AttemptEnd::Served,
            (1, _) => AttemptEnd::Rejected,
            (_, UNSAFE) => AttemptEnd::Rejected,
            (2, _) => AttemptEnd::Reset,
            _ => AttemptEnd::Cancelled,
        };
        trace = trace.ended(at, attempt, end);
        if end == AttemptEnd::Served {
            return trace
                .effect(at, attempt)
                .response(at + 1.0, &id, 200, Some(attempt));
        }
    }
    let status = if request_plan.class == UNSAFE {
        429
    } else {
        502
    };
    trace.response(at + 1.0, &id, status, None)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_run_that_follows_the_rules_has_no_violation(
        plans in prop::collection::vec(request_plan(), 1..60),
        drain in 0.0..20_000.0f64,
    ) {
        let trace = trace_with(&plans).notified(drain, 1, 3, Health::Draining, None);
        let evaluation = trace.evaluate();
        let found: Vec<_> = evaluation.rules.iter().flat_map(|result| &result.violations).collect();
        prop_assert!(!evaluation.has_violations(), "{found:#?}");
        prop_assert_eq!(evaluation.metrics.client_requests, plans.len() as u64);
    }

    #[test]
    fn one_unsafe_retry_is_the_only_violation_found(
        plans in prop::collection::vec(request_plan(), 1..60),
        at in 0.0..20_000.0f64,
        end in prop::sample::select(vec![AttemptEnd::Reset, AttemptEnd::Error, AttemptEnd::Malformed, AttemptEnd::Cancelled]),
    ) {
        let trace = trace_with(&plans)
            .request(at, "bad", UNSAFE)
            .attempt(at + 5.0, 9001, "bad", 1)
            .ended(at + 30.0, 9001, end)
            .attempt(at + 60.0, 9002, "bad", 2)
            .ended(at + 90.0, 9002, AttemptEnd::Served)
            .response(at + 91.0, "bad", 200, Some(9002));
        let evaluation = trace.evaluate();
        let violated: Vec<_> =
            evaluation.rules.iter().filter(|r| r.verdict == Verdict::Violated).map(|r| r.rule).collect();
        prop_assert_eq!(violated, vec![2]);
        let violation = &evaluation.rules[1].violations[0];
        prop_assert_eq!(violation.request.as_str(), "bad");
    }

    #[test]
    fn one_send_after_the_drain_grace_is_always_found(
        plans in prop::collection::vec(request_plan(), 1..60),
        drain in 0.0..20_000.0f64,
        late in 1.0..5_000.0f64,
    ) {
        let at = drain + DRAIN_GRACE + late;
        let trace = trace_with(&plans).notified(drain, 0, 99, Health::Removed, None);
        let evaluation = trace.request(at - 3.0, "bad", SAFE).attempt(at, 9001, "bad", 99)
            .ended(at + 9.0, 9001, AttemptEnd::Served).response(at + 10.0, "bad", 200, Some(9001)).evaluate();
        let result = &evaluation.rules[2];
        prop_assert_eq!(result.violation_count, 1);
        prop_assert!((result.margin.unwrap() + late).abs() < 1e-6);
    }
}

fn trace_with(plans: &[RequestPlan]) -> TraceBuilder {
    plans
        .iter()
        .enumerate()
        .fold(TraceBuilder::default(), |trace, (i, request_plan)| {
            add_request(trace, i as u64 + 1, request_plan)
        })
}

//! Random schedules of transport events, checked against the invariants of the package by a model
//! that records which attempts ran:
//!
//! - a call has one final status and nothing after it; all that the client receives comes from one
//!   attempt, in order;
//! - a call is served only by an attempt that succeeded in time, and then completely;
//! - an attempt that ran is never reported as one that did not, so that a non-idempotent call runs
//!   at most once;
//! - a rejected non-idempotent call did not run, and a failed call has no status that clients
//!   retry.
//!
//! The limit of the buffered response is tested in `tests/call.rs`: no schedule reaches the limit,
//! since a unary response of more than one message ends its attempt.
//!
//! `GRPC_SCHEDULES=N` runs N schedules.

mod world;

use maplefall_grpc::{CallResult, Shape, CANCEL, REFUSED_STREAM};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use world::{run_schedule, Defect, Event, Run};

/// Number of schedules without `GRPC_SCHEDULES`.
const DEFAULT_SCHEDULES: u32 = 4_000;

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => Just(Event::Head),
        6 => (0..40u8, proptest::option::weighted(0.1, 0..6u8)).prop_map(|(length, truncated_at)| Event::Data { length, truncated_at }),
        5 => (prop_oneof![3 => Just(0u8), 2 => 0..18u8], any::<bool>()).prop_map(|(code, not_started)| Event::Trailers { code, not_started }),
        1 => (0..18u8, any::<bool>()).prop_map(|(code, not_started)| Event::TrailersOnly { code, not_started }),
        1 => Just(Event::EndsWithoutStatus),
        2 => prop_oneof![Just(0u32), Just(2), Just(REFUSED_STREAM), Just(CANCEL), 0..14u32].prop_map(Event::Reset),
        1 => Just(Event::Unprocessed),
        1 => Just(Event::ConnectionLost),
        1 => Just(Event::Unreachable),
        2 => (0..40u8).prop_map(Event::Wait),
    ]
}

fn shape() -> impl Strategy<Value = Shape> {
    prop_oneof![
        Just(Shape::Unary),
        Just(Shape::ServerStream),
        Just(Shape::ClientStream),
        Just(Shape::Bidi)
    ]
}

/// A method's shape, whether its calls are non-idempotent, and the events.
fn schedule() -> impl Strategy<Value = (Shape, bool, Vec<Event>)> {
    (
        shape(),
        any::<bool>(),
        proptest::collection::vec(event(), 1..60),
    )
}

fn schedules() -> u32 {
    std::env::var("GRPC_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SCHEDULES)
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

/// Totals over all schedules.
#[derive(Clone, Copy, Default)]
struct Tally {
    attempts: u64,
    open: u64,
    served: u64,
    rejected: u64,
    failed: u64,
}

impl Tally {
    fn add(&mut self, run: &Run) {
        self.attempts += u64::from(run.attempts);
        let count = match run.result {
            None => &mut self.open,
            Some(CallResult::Served) => &mut self.served,
            Some(CallResult::Rejected) => &mut self.rejected,
            Some(CallResult::Failed) => &mut self.failed,
        };
        *count += 1;
    }
}

#[test]
fn invariants_hold_in_random_schedules() {
    let tally = std::cell::Cell::new(Tally::default());
    let outcome = runner(schedules()).run(&schedule(), |(shape, non_idempotent, events)| {
        let run =
            run_schedule(shape, non_idempotent, &events, None).map_err(TestCaseError::fail)?;
        let mut counts = tally.get();
        counts.add(&run);
        tally.set(counts);
        Ok(())
    });
    let Tally {
        attempts,
        open,
        served,
        rejected,
        failed,
    } = tally.get();
    println!(
        "{attempts} attempts; {served} calls served, {rejected} rejected, {failed} failed, {open} left open"
    );
    outcome.unwrap();
    assert!(
        [served, rejected, failed].iter().all(|count| *count > 200),
        "every result occurs"
    );
}

#[test]
fn every_defect_is_found() {
    for defect in [
        Defect::ResetIsRejection,
        Defect::DataOfPreviousAttempt,
        Defect::ResetIsOk,
        Defect::IgnoresTime,
    ] {
        let run = runner(1_000).run(&schedule(), |(shape, non_idempotent, events)| {
            run_schedule(shape, non_idempotent, &events, Some(defect))
                .map_err(TestCaseError::fail)
                .map(drop)
        });
        assert!(run.is_err(), "{defect:?} was not found");
    }
}

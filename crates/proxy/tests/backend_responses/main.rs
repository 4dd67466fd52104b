//! Simulates backends byte by byte behind a complete proxy: responses are valid, mutated,
//! truncated, duplicated, early, late, encoded, framed in two ways or in none, written at once, in
//! pieces or byte by byte; connections are closed and reset at any time, also while a request is in
//! flight. Checked with the plain parser in `common`:
//!
//! - A client receives a response of the proxy's own, or exactly a complete response that a backend
//!   wrote to this request, with its id, and with a seal if it is a success.
//! - A request that arrived after unsolicited bytes were written on a connection is never sent on
//!   that connection.
//! - One backend at most gets the complete head of a non-idempotent request, unless those before
//!   responded, completely and with its id, that they have not run it; and its client receives no
//!   status that promises more than that. With the head, a backend may begin to work on a request
//!   and respond to it; what it writes before it has the head does not count.
//! - A backend receives what a client sent.
//!
//! Failures are printed with their seeds.

mod backend;
mod case;
mod check;
mod client;
#[path = "../common/mod.rs"]
mod common;

use backend::start_backend;
use case::TestCase;
use check::{check_case, Counts};
use client::run_client;
use common::random::Random;
use common::TestProxy;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// Number of cases, and how many of them run concurrently.
const CASES: u64 = 2000;
const CONCURRENT_CASES: usize = 48;

async fn run_case(seed: u64, counts: &RefCell<Counts>) -> Result<(), String> {
    let mut random = Random::new(seed);
    let case = Rc::new(TestCase::default());
    let (mut backends, mut tasks) = (Vec::new(), Vec::new());
    for number in 0..1 + random.below(3) as u64 {
        let (address, task) = start_backend(case.clone(), seed ^ (number + 1) << 48).await;
        backends.push(address);
        tasks.push(task);
    }
    let proxy = TestProxy::start(seed, &backends).await;
    let clients: Vec<_> = (0..1 + random.below(3))
        .map(|client_index| {
            let random = Random::new(seed ^ (client_index as u64 + 1) << 56);
            tokio::task::spawn_local(run_client(
                case.clone(),
                proxy.address,
                random,
                format!("{seed}-{client_index}"),
            ))
        })
        .collect();
    let mut result = Ok(());
    for client in clients {
        result = result.and(client.await.map_err(|error| error.to_string())?);
    }
    tasks.iter().for_each(|task| task.abort());
    result.and_then(|()| check_case(&case, &mut counts.borrow_mut()))
}

#[test]
fn clients_receive_their_own_responses_and_no_request_runs_twice() {
    let started = Instant::now();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let (next_seed, counts) = (
        Rc::new(Cell::new(0)),
        Rc::new(RefCell::new(Counts::default())),
    );
    let failures = Rc::new(RefCell::new(Vec::new()));
    let local = tokio::task::LocalSet::new();
    runtime.block_on(local.run_until(async {
        let workers: Vec<_> = (0..CONCURRENT_CASES)
            .map(|_| {
                let (next_seed, counts, failures) =
                    (next_seed.clone(), counts.clone(), failures.clone());
                tokio::task::spawn_local(async move {
                    while next_seed.get() < CASES {
                        let seed = next_seed.get();
                        next_seed.set(seed + 1);
                        if let Err(failure) = run_case(seed, &counts).await {
                            failures
                                .borrow_mut()
                                .push(format!("seed {seed}: {failure}"));
                        }
                    }
                })
            })
            .collect();
        for worker in workers {
            worker.await.expect("a worker");
        }
    }));
    let (failures, counts) = (failures.borrow(), counts.borrow());
    println!(
        "{CASES} cases in {:.1} s, {} failures: {counts:?}",
        started.elapsed().as_secs_f64(),
        failures.len()
    );
    assert!(
        failures.is_empty(),
        "{} failures in {CASES} cases, the first: {:#?}",
        failures.len(),
        &failures[..failures.len().min(8)]
    );
    // The test is only meaningful while most requests are served and many are retried.
    assert!(
        counts.forwarded > counts.local
            && counts.retries > CASES
            && counts.unusable_connections > CASES
            && counts.partial_attempts > CASES / 50,
        "{counts:?}"
    );
}

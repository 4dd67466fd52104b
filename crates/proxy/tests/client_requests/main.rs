//! Simulates clients byte by byte in front of a complete proxy with backends that record each
//! request: clients pipeline requests, split them anywhere, disconnect midway, half-close, wait for
//! 100 Continue or not, and send invalid or ambiguous messages. Checked with the plain parser in
//! `common`:
//!
//! - The responses on a connection belong to its requests in their order, without duplicates or
//!   extra ones.
//! - If the end of a request is ambiguous, nothing after it on its connection is answered or
//!   forwarded.
//! - A backend receives only requests that a client sent, unchanged; a non-idempotent one once.
//!
//! Failures are printed with their seeds.

mod backend;
mod client;
#[path = "../common/mod.rs"]
mod common;
mod message;

use backend::{start_backend, ReceivedRequests};
use client::{run_client, Counts};
use common::random::Random;
use common::TestProxy;
use message::{random_message, TestMessage, Validity};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// Number of connections, and how many of them run concurrently.
const CONNECTIONS: u64 = 3000;
const CONCURRENT_CONNECTIONS: usize = 32;

#[test]
fn responses_follow_request_order_and_no_request_is_smuggled() {
    let started = Instant::now();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let (next_seed, counts) = (
        Rc::new(Cell::new(0)),
        Rc::new(RefCell::new(Counts::default())),
    );
    let (failures, received) = (
        Rc::new(RefCell::new(Vec::new())),
        ReceivedRequests::default(),
    );
    let sent = Rc::new(RefCell::new(HashMap::new()));
    runtime.block_on(local.run_until(async {
        let backends = [
            start_backend(received.clone()).await,
            start_backend(received.clone()).await,
        ];
        let proxy = TestProxy::start(1, &backends).await;
        let workers: Vec<_> = (0..CONCURRENT_CONNECTIONS)
            .map(|_| {
                let (next_seed, counts, failures) =
                    (next_seed.clone(), counts.clone(), failures.clone());
                let (sent, proxy_address) = (sent.clone(), proxy.address);
                tokio::task::spawn_local(async move {
                    while next_seed.get() < CONNECTIONS {
                        let seed = next_seed.get();
                        next_seed.set(seed + 1);
                        let mut random = Random::new(seed);
                        let messages: Vec<TestMessage> = (0..1 + random.below(6))
                            .map(|number| {
                                random_message(&mut random, &format!("{seed}-{number}"), number)
                            })
                            .collect();
                        sent.borrow_mut().extend(
                            messages
                                .iter()
                                .map(|message| (message.id.clone(), message.clone())),
                        );
                        if let Err(failure) =
                            run_client(seed, proxy_address, &messages, &counts).await
                        {
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
    let (mut failures, counts) = (failures.take(), counts.borrow());
    for (id, received_copies) in received.borrow().iter() {
        let sent = sent.borrow();
        let Some(message) = sent.get(id) else {
            failures.push(format!("{id}: not sent by any client: {received_copies:?}"));
            continue;
        };
        let start = format!("{} {} HTTP/1.1", message.method, message.path);
        let is_unchanged = received_copies
            .iter()
            .all(|(line, body)| *line == start && *body == message.body);
        if !is_unchanged
            || message.validity == Validity::Rejected
            || (received_copies.len() > 1 && message.path.starts_with("/once/"))
        {
            failures.push(format!(
                "{id} {:?} {}: received as {received_copies:?}",
                message.validity, message.variant
            ));
        }
    }
    println!(
        "{CONNECTIONS} connections in {:.1} s, {} failures: {counts:?}",
        started.elapsed().as_secs_f64(),
        failures.len()
    );
    assert!(
        failures.is_empty(),
        "{} failures, the first: {:#?}",
        failures.len(),
        &failures[..failures.len().min(12)]
    );
    assert!(
        counts.served > 4 * counts.local && counts.rejected > CONNECTIONS / 10,
        "{counts:?}"
    );
}

//! Clients that are simulated byte by byte before a complete proxy with backends that count: clients pipeline requests, split them
//! anywhere, disconnect midway, close their half, wait for 100 Continue or not, and write what is no request or is ambiguous. Checked
//! with the plain parser in `common`:
//!
//! - The responses on a connection belong to its requests in their order, none twice and none too many.
//! - Where the end of a request is ambiguous, nothing behind it on its connection is answered or forwarded.
//! - A backend receives only requests that a client sent, unchanged; one that is not idempotent once.
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

/// Connections, and how many of them run at a time.
const CONNECTIONS: u64 = 3000;
const CONCURRENT_CONNECTIONS: usize = 32;

#[test]
fn responses_are_in_the_order_of_their_requests_and_nothing_is_smuggled() {
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
        let proxy_address = TestProxy::start(1, &backends).await;
        let workers: Vec<_> = (0..CONCURRENT_CONNECTIONS)
            .map(|_| {
                let (next_seed, counts, failures) =
                    (next_seed.clone(), counts.clone(), failures.clone());
                let (sent, proxy_address) = (sent.clone(), proxy_address.address);
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
                        sent.borrow_mut()
                            .extend(messages.iter().map(|random_message| {
                                (random_message.id.clone(), random_message.clone())
                            }));
                        if let Err(why) = run_client(seed, proxy_address, &messages, &counts).await
                        {
                            failures.borrow_mut().push(format!("seed {seed}: {why}"));
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
    for (id, all) in received.borrow().iter() {
        let sent = sent.borrow();
        let Some(random_message) = sent.get(id) else {
            failures.push(format!("{id}: no client sent it: {all:?}"));
            continue;
        };
        let start = format!("{} {} HTTP/1.1", random_message.method, random_message.path);
        let same = all
            .iter()
            .all(|(line, body)| *line == start && *body == random_message.body);
        if !same
            || random_message.validity == Validity::Rejected
            || (all.len() > 1 && random_message.path.starts_with("/once/"))
        {
            failures.push(format!(
                "{id} {:?} {}: received as {all:?}",
                random_message.validity, random_message.variant
            ));
        }
    }
    println!(
        "{CONNECTIONS} connections in {:.1} s, {} broken: {counts:?}",
        started.elapsed().as_secs_f64(),
        failures.len()
    );
    assert!(
        failures.is_empty(),
        "{} broken, the first: {:#?}",
        failures.len(),
        &failures[..failures.len().min(12)]
    );
    assert!(
        counts.served > 4 * counts.local && counts.rejected > CONNECTIONS / 10,
        "{counts:?}"
    );
}

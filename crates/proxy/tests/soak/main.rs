//! Soak test of proxies over sockets, seeded: clients use their connections until a proxy closes
//! them, and some disconnect early; proxies are stopped and replaced, backends drain and return,
//! and the configuration changes, in overlapping sequences.
//!
//! `SOAK_SEEDS=60 cargo test --release -p maplefall-proxy --test soak -- --nocapture` runs more
//! seeds and prints a summary of each.

#[path = "../common/mod.rs"]
mod common;

mod backend;
mod client;
mod operator;

use backend::SoakBackend;
use client::{Client, Outcome};
use common::slow_backend::run_local;
use operator::Operator;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const DEFAULT_SEEDS: u64 = 16;
const CLIENTS: u64 = 12;
/// Number of clients if they go on connecting to stopping proxies: enough that a request is always
/// in flight.
const CLIENTS_WITH_STOPPING_PROXIES: u64 = 48;
const BACKENDS: u64 = 3;
/// Time for which the clients and the operator of one seed run.
const RUN_TIME: Duration = Duration::from_millis(1500);
/// The time that backends may still work on a request after its client has disconnected (500 ms by
/// rule GONE, and as much again for a busy machine).
const MAX_WORK_AFTER_DISCONNECT: Duration = Duration::from_millis(1000);

/// Whether a request is idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run once at most.
    NonIdempotent,
}

/// The record of one attempt of a client.
pub struct Attempt {
    /// Whether the request is idempotent.
    pub kind: RequestKind,
    /// What the client saw of the attempt, and when; `None` while the client waits.
    pub outcome: Option<(Outcome, Instant)>,
    /// Number of times that a backend has started to work on the request.
    pub runs: usize,
    /// When a backend last stopped working on the request.
    pub work_ended_at: Option<Instant>,
    /// Number of backends that are working on the request.
    pub working_backends: usize,
}

/// State shared by the clients, backends and operator.
#[derive(Default)]
pub struct World {
    /// All attempts by their ids.
    pub attempts: RefCell<HashMap<String, Attempt>>,
    /// Addresses to which clients connect.
    pub proxies: RefCell<Vec<SocketAddr>>,
    /// Set to stop the clients.
    pub is_finished: Cell<bool>,
    last_attempt: Cell<u64>,
}

impl World {
    /// Records a new attempt and returns its id.
    pub fn begin_attempt(&self, kind: RequestKind) -> String {
        self.last_attempt.set(self.last_attempt.get() + 1);
        let id = format!("a{}", self.last_attempt.get());
        let attempt = Attempt {
            kind,
            outcome: None,
            runs: 0,
            work_ended_at: None,
            working_backends: 0,
        };
        self.attempts.borrow_mut().insert(id.clone(), attempt);
        id
    }

    /// Updates the record of an attempt.
    pub fn update_attempt(&self, id: &str, update: impl FnOnce(&mut Attempt)) {
        let mut attempts = self.attempts.borrow_mut();
        update(attempts.get_mut(id).expect("an attempt of a client"));
    }

    fn assert_invariants(&self, seed: u64) {
        for (id, attempt) in self.attempts.borrow().iter() {
            let context = format!("seed {seed}, attempt {id}, {:?}", attempt.kind);
            let Some((outcome, ended_at)) = attempt.outcome else {
                panic!("{context}: its client is still waiting");
            };
            if attempt.kind == RequestKind::NonIdempotent {
                assert!(
                    attempt.runs <= 1,
                    "{context}: it ran {} times",
                    attempt.runs
                );
            }
            match outcome {
                Outcome::Responded(429 | 503 | 408 | 421)
                    if attempt.kind == RequestKind::NonIdempotent =>
                {
                    assert_eq!(
                        attempt.runs, 0,
                        "{context}: its status implies that it has not run"
                    );
                }
                Outcome::Responded(200) => assert!(attempt.runs > 0, "{context}: it never ran"),
                Outcome::Responded(_) => {}
                Outcome::Closed => {
                    panic!(
                        "{context}: closed without a response after {} runs",
                        attempt.runs
                    )
                }
                Outcome::Disconnected if attempt.kind == RequestKind::Idempotent => {
                    let work_ended_at = attempt.work_ended_at.unwrap_or(ended_at);
                    let extra_work = work_ended_at.saturating_duration_since(ended_at);
                    assert!(
                        attempt.working_backends == 0 && extra_work <= MAX_WORK_AFTER_DISCONNECT,
                        "{context}: a backend worked on it for {extra_work:?} after its client had disconnected"
                    );
                }
                Outcome::Disconnected => {}
            }
        }
    }

    /// Returns a line with the totals of the run.
    fn summary(&self) -> String {
        let attempts = self.attempts.borrow();
        let count = |matches: &dyn Fn(&Attempt) -> bool| {
            attempts.values().filter(|attempt| matches(attempt)).count()
        };
        let count_outcome = |wanted: Outcome| {
            count(
                &move |attempt| matches!(attempt.outcome, Some((outcome, _)) if outcome == wanted),
            )
        };
        format!(
            "attempts={} ok={} left={} closed={} runs={}",
            attempts.len(),
            count_outcome(Outcome::Responded(200)),
            count_outcome(Outcome::Disconnected),
            count_outcome(Outcome::Closed),
            attempts.values().map(|attempt| attempt.runs).sum::<usize>()
        )
    }
}

async fn run_seed(seed: u64) {
    let world = Rc::new(World::default());
    let mut backends = Vec::new();
    for number in 0..BACKENDS {
        backends.push(SoakBackend::listen(world.clone(), seed * 100 + number).await);
    }
    let mut operator = Operator::start(world.clone(), seed, backends).await;
    let client_count = if operator.publishes_stopping_proxies() {
        CLIENTS_WITH_STOPPING_PROXIES
    } else {
        CLIENTS
    };
    let clients: Vec<_> = (0..client_count)
        .map(|number| {
            let client = Client::new(world.clone(), seed * 1000 + number);
            tokio::task::spawn_local(client.run())
        })
        .collect();
    let end = Instant::now() + RUN_TIME;
    while Instant::now() < end {
        operator.step().await;
    }
    world.is_finished.set(true);
    for client in clients {
        client.await.expect("a client's checks");
    }
    operator.stop_all().await;
    world.assert_invariants(seed);
    println!("seed {seed}: {} {}", world.summary(), operator.summary());
    let attempts = world.attempts.borrow().len();
    assert!(attempts > 100, "seed {seed}: only {attempts} attempts");
}

#[test]
fn no_request_is_lost_duplicated_or_left_running() {
    let seeds = std::env::var("SOAK_SEEDS").map_or(DEFAULT_SEEDS, |seeds| {
        seeds.parse().expect("SOAK_SEEDS is a number")
    });
    for seed in 1..=seeds {
        run_local(run_seed(seed));
    }
}

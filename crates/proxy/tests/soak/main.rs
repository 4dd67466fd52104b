//! Soak of proxies over sockets: clients keep using their connections until a proxy is gone, some of them leave early; proxies are
//! stopped and replaced, backends drain and return, the configuration changes, in series that overlap. Seeded.
//!
//! `SOAK_SEEDS=60 cargo test --release -p maplefall-proxy --test soak -- --nocapture` plays more seeds and prints what they did.

#[path = "../common/mod.rs"]
mod common;

mod backend;
mod client;
mod operator;

use backend::SoakBackend;
use client::{Client, Ended};
use common::slow_backend::run_local;
use operator::Operator;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

const SEEDS_IN_CI: u64 = 16;
const CLIENTS: u64 = 12;
/// Clients where they go on connecting to proxies that stop: enough that there is always a request open.
const CLIENTS_OF_STOPPING_PROXIES: u64 = 48;
const BACKENDS: u64 = 3;
/// For how long clients and operator of one seed go on.
const PLAY_TIME: Duration = Duration::from_millis(1500);
/// Backends may be at work this long after a client has left (the users' rule GONE, and as much again for a busy machine).
const MAX_WORK_AFTER_CLIENT: Duration = Duration::from_millis(1000);

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It may run once at most.
    Once,
}

/// What is known of one attempt of a client.
pub struct Attempt {
    /// Whether it may be repeated.
    pub kind: Kind,
    /// What its client saw; `None` while it waits.
    pub ended: Option<(Ended, Instant)>,
    /// How often a backend has begun to work on it.
    pub runs: usize,
    /// When a backend last stopped working on it.
    pub work_ended_at: Option<Instant>,
    /// Backends that are at work on it.
    pub at_work: usize,
}

/// What clients, backends and operator share.
#[derive(Default)]
pub struct World {
    /// All attempts by their ids.
    pub attempts: RefCell<HashMap<String, Attempt>>,
    /// The proxies that take new connections.
    pub proxies: RefCell<Vec<SocketAddr>>,
    /// Whether clients are to stop.
    pub is_over: Cell<bool>,
    last_attempt: Cell<u64>,
}

impl World {
    /// A new attempt's id.
    pub fn begin_attempt(&self, kind: Kind) -> String {
        self.last_attempt.set(self.last_attempt.get() + 1);
        let id = format!("a{}", self.last_attempt.get());
        let attempt = Attempt {
            kind,
            ended: None,
            runs: 0,
            work_ended_at: None,
            at_work: 0,
        };
        self.attempts.borrow_mut().insert(id.clone(), attempt);
        id
    }

    /// Enters what has become of an attempt.
    pub fn change(&self, id: &str, change: impl FnOnce(&mut Attempt)) {
        let mut attempts = self.attempts.borrow_mut();
        change(attempts.get_mut(id).expect("an attempt of a client"));
    }

    fn assert_rules(&self, seed: u64) {
        for (id, attempt) in self.attempts.borrow().iter() {
            let at = format!("seed {seed}, attempt {id}, {:?}", attempt.kind);
            let Some((ended, ended_at)) = attempt.ended else {
                panic!("{at}: its client still waits");
            };
            if attempt.kind == Kind::Once {
                assert!(attempt.runs <= 1, "{at}: it ran {} times", attempt.runs);
            }
            match ended {
                Ended::Answered(429 | 503 | 408 | 421) if attempt.kind == Kind::Once => {
                    assert_eq!(attempt.runs, 0, "{at}: it was promised that it had not run");
                }
                Ended::Answered(200) => assert!(attempt.runs > 0, "{at}: it never ran"),
                Ended::Answered(_) => {}
                Ended::Closed => {
                    panic!("{at}: closed without an answer after {} runs", attempt.runs)
                }
                Ended::Left if attempt.kind == Kind::Idempotent => {
                    let work_ended_at = attempt.work_ended_at.unwrap_or(ended_at);
                    let worked_on = work_ended_at.saturating_duration_since(ended_at);
                    assert!(
                        attempt.at_work == 0 && worked_on <= MAX_WORK_AFTER_CLIENT,
                        "{at}: a backend was at work for {worked_on:?} after its client had left"
                    );
                }
                Ended::Left => {}
            }
        }
    }

    /// A line about what happened.
    fn summary(&self) -> String {
        let attempts = self.attempts.borrow();
        let count = |matches: &dyn Fn(&Attempt) -> bool| {
            attempts.values().filter(|attempt| matches(attempt)).count()
        };
        let ended = |wanted: Ended| {
            count(&move |attempt| matches!(attempt.ended, Some((ended, _)) if ended == wanted))
        };
        format!(
            "attempts={} ok={} left={} closed={} runs={}",
            attempts.len(),
            ended(Ended::Answered(200)),
            ended(Ended::Left),
            ended(Ended::Closed),
            attempts.values().map(|attempt| attempt.runs).sum::<usize>()
        )
    }
}

async fn play(seed: u64) {
    let world = Rc::new(World::default());
    let mut backends = Vec::new();
    for number in 0..BACKENDS {
        backends.push(SoakBackend::listen(world.clone(), seed * 100 + number).await);
    }
    let mut operator = Operator::start(world.clone(), seed, backends).await;
    let client_count = if operator.keeps_stopping_proxies() {
        CLIENTS_OF_STOPPING_PROXIES
    } else {
        CLIENTS
    };
    let clients: Vec<_> = (0..client_count)
        .map(|number| {
            let client = Client::new(world.clone(), seed * 1000 + number);
            tokio::task::spawn_local(client.run())
        })
        .collect();
    let end = Instant::now() + PLAY_TIME;
    while Instant::now() < end {
        operator.step().await;
    }
    world.is_over.set(true);
    for client in clients {
        client.await.expect("a client's checks");
    }
    operator.stop_all().await;
    world.assert_rules(seed);
    println!("seed {seed}: {} {}", world.summary(), operator.summary());
    let attempts = world.attempts.borrow().len();
    assert!(attempts > 100, "seed {seed}: only {attempts} attempts");
}

#[test]
fn nothing_is_lost_doubled_or_left_running() {
    let seeds = std::env::var("SOAK_SEEDS").map_or(SEEDS_IN_CI, |seeds| {
        seeds.parse().expect("SOAK_SEEDS is a number")
    });
    for seed in 1..=seeds {
        run_local(play(seed));
    }
}

//! Attempt timeouts while retries are scarce (the users' rule LOST: breaking off a request while its backend is at work on it, and
//! answering it in the backend's place).
//!
//! What happened: a proxy that had just been restarted gave up attempts after 160 to 270 ms, with 450 to 2,340 ms left, and answered
//! 502 while the backends were at work. An attempt has a timeout where a retry could follow it, by the retry budget at the time it is
//! sent. A young proxy has earned a retry or two; several attempts were sent in the sight of the same one, the first to time out got
//! it, and the others were given up for nothing. What showed the cause: in 48 days of restarts 656 lines of a trial's
//! `event=attempt_timeout`, 18 of them followed at once by a rejection after one attempt, in processes 0.5 to 3.4 s old.
//!
//! An attempt is therefore given up only where a retry follows; otherwise its request waits as long as its client does.

mod common;

use common::{config_update, serving_instances, settings_of, unused_addresses, CONFIGURATION};
use maplefall_policy::{Outcome, RequestId};
use maplefall_proxy::{AttemptEnd, Core, IncomingRequest, Output};

/// Requests that are sent at once. By the users' ratio of 0.2 they earn two retries.
const REQUESTS: usize = 12;
const BACKENDS: u16 = 4;
/// Their route has 20 s; responses leave a little earlier.
const BEFORE_THE_DEADLINE: u32 = 19_900;

/// `RetrySlack` of the users' first deployments.
const USERS_RETRY_SLACK: f64 = 62.0;
/// A slack of which one proxy's part is less than a retry: as many proxies as this share 62.
const SLACK_OF_ONE_OF_MANY: f64 = USERS_RETRY_SLACK / 100.0;

/// A proxy with the users' retry budget and backends that never respond.
struct Proxy {
    core: Core,
    /// Attempts that are in flight.
    in_flight: Vec<(RequestId, u32)>,
    /// Attempts beyond the first of a request.
    retries: usize,
    /// Attempts that were given up.
    given_up: usize,
    responses: usize,
}

impl Proxy {
    fn new(retry_slack: f64) -> Proxy {
        let mut settings = settings_of(unused_addresses(1)[0]);
        settings.bounds.retry_slack = retry_slack;
        let mut proxy = Proxy {
            core: Core::new(&settings, 1),
            in_flight: Vec::new(),
            retries: 0,
            given_up: 0,
            responses: 0,
        };
        let mut out = Vec::new();
        let core = &mut proxy.core;
        core.receive(0.0, "x", config_update(CONFIGURATION), &mut out);
        let instances = serving_instances(&unused_addresses(BACKENDS));
        core.receive(0.0, "x", instances, &mut out);
        proxy
    }

    fn admit(&mut self, now: f64) {
        let incoming = IncomingRequest {
            host: "h.example",
            path: "/safe/a",
            api_key: None,
            remaining: None,
            received_at: now,
            is_retry: false,
        };
        let mut out = Vec::new();
        self.core
            .admit(now, &incoming, &mut out)
            .expect("it is admitted");
        self.carry_out(now, out);
    }

    /// What the driver does: outputs are carried out before the next input.
    fn carry_out(&mut self, now: f64, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send {
                    request, attempt, ..
                } => {
                    self.in_flight.push((request, attempt));
                    self.retries += usize::from(attempt > 0);
                }
                Output::CancelAttempt(request, attempt) => {
                    self.in_flight.retain(|known| *known != (request, attempt));
                    self.given_up += 1;
                    let end = AttemptEnd {
                        outcome: Outcome::Timeout,
                        broken_connections: 0,
                        wrong_instance: false,
                    };
                    let mut out = Vec::new();
                    self.core
                        .attempt_ended(now, request, attempt, end, &mut out);
                    self.carry_out(now, out);
                }
                Output::Respond(..) => self.responses += 1,
                _ => {}
            }
        }
    }

    fn run_timers(&mut self, now: f64) {
        while self.core.next_due().is_some_and(|at| at <= now) {
            let mut out = Vec::new();
            self.core.run_timers(now, &mut out);
            self.carry_out(now, out);
        }
    }
}

/// Guards requests of a young proxy whose backends are slow: no attempt is given up without a retry, and none is answered by the proxy
/// before its client's time is over.
#[test]
fn an_attempt_is_given_up_for_a_retry_only() {
    let mut proxy = Proxy::new(USERS_RETRY_SLACK);
    for _ in 0..REQUESTS {
        proxy.admit(10.0);
    }
    assert_eq!(proxy.in_flight.len(), REQUESTS);
    for now in 10..BEFORE_THE_DEADLINE {
        proxy.run_timers(f64::from(now));
        assert_eq!(proxy.responses, 0, "answered after {now} ms");
        assert_eq!(proxy.given_up, proxy.retries, "given up after {now} ms");
    }
    assert!(proxy.retries > 0, "no attempt ever timed out");
    assert_eq!(proxy.in_flight.len(), REQUESTS);
    proxy.run_timers(f64::from(BEFORE_THE_DEADLINE + 200));
    assert_eq!(
        (proxy.responses, proxy.in_flight.len()),
        (REQUESTS, 0),
        "requests outlast their clients"
    );
}

/// Guards proxies of a large fleet, whose part of the retry slack is less than one retry: they never retried (beyond 37 proxies with a
/// slack of 62, beyond 128 with 214). What a proxy earns with its requests is enough for a retry, and is not more than its share.
#[test]
fn a_proxy_of_a_large_fleet_retries_what_it_has_earned() {
    let mut proxy = Proxy::new(SLACK_OF_ONE_OF_MANY);
    for _ in 0..2 * REQUESTS {
        proxy.admit(10.0);
    }
    for now in 10..BEFORE_THE_DEADLINE {
        proxy.run_timers(f64::from(now));
        assert_eq!(proxy.given_up, proxy.retries, "given up after {now} ms");
    }
    let max_retries = (0.2 * 2.0 * REQUESTS as f64 + SLACK_OF_ONE_OF_MANY) as usize;
    assert!(
        (1..=max_retries).contains(&proxy.retries),
        "{} retries",
        proxy.retries
    );
}

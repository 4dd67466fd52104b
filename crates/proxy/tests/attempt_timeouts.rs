//! Attempt timeouts while retries are scarce (rule LOST forbids a proxy to cancel a request while
//! its backend works on it and to respond in the backend's place).
//!
//! Guards against the following failure: a proxy that had just been restarted cancelled attempts
//! after 160 to 270 ms, with 450 to 2,340 ms left, and responded 502 while the backends were
//! working. An attempt has a timeout if, when it is sent, the retry budget allows a retry to follow
//! it. A proxy that has just started has earned only a retry or two; several attempts were sent
//! while the same retry was available, the first to time out used it, and the others were cancelled
//! without a retry. In 48 days of restarts a trial logged 656 lines of `event=attempt_timeout`, 18
//! of them followed at once by a rejection after one attempt, in processes 0.5 to 3.4 s old.
//!
//! An attempt is therefore cancelled only if a retry follows; otherwise its request waits as long
//! as its client does.

mod common;

use common::{config_update, serving_instances, settings_of, unused_addresses, CONFIGURATION};
use maplefall_policy::{Outcome, RequestId};
use maplefall_proxy::{AttemptEnd, Core, IncomingRequest, Output};
use maplefall_upstream::ConnectionCounts;

/// Requests that are sent at once. At the retry budget ratio of 0.2 they earn two retries.
const REQUESTS: usize = 12;
const BACKENDS: u16 = 4;
/// A time shortly before the deadline of the requests, in milliseconds: the route's timeout is
/// 20 s, and responses are due slightly earlier.
const JUST_BEFORE_DEADLINE_MS: u32 = 19_900;

/// The setting `RetrySlack` (additional retries allowed in a window) of the first deployments.
const RETRY_SLACK: f64 = 62.0;
/// One proxy's share of a retry slack of 62 in a fleet of 100 proxies: less than one retry.
const RETRY_SLACK_SHARE: f64 = RETRY_SLACK / 100.0;

/// A proxy with the deployments' retry budget and backends that never respond.
struct SimulatedProxy {
    core: Core,
    in_flight: Vec<(RequestId, u32)>,
    /// Attempts beyond the first of a request.
    retries: usize,
    /// Number of cancelled attempts.
    cancelled: usize,
    responses: usize,
}

impl SimulatedProxy {
    fn new(retry_slack: f64) -> SimulatedProxy {
        let mut settings = settings_of(unused_addresses(1)[0]);
        settings.bounds.retry_slack = retry_slack;
        let mut proxy = SimulatedProxy {
            core: Core::new(&settings, 1),
            in_flight: Vec::new(),
            retries: 0,
            cancelled: 0,
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
            is_repeated_admission: false,
        };
        let mut out = Vec::new();
        self.core
            .admit(now, &incoming, &mut out)
            .expect("the request is admitted");
        self.apply_outputs(now, out);
    }

    /// Applies the core's outputs before its next input, as the driver does.
    fn apply_outputs(&mut self, now: f64, outputs: Vec<Output>) {
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
                    self.cancelled += 1;
                    let end = AttemptEnd {
                        outcome: Outcome::Timeout,
                        connections: ConnectionCounts::default(),
                        wrong_instance: false,
                    };
                    let mut out = Vec::new();
                    self.core
                        .attempt_ended(now, request, attempt, end, &mut out);
                    self.apply_outputs(now, out);
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
            self.apply_outputs(now, out);
        }
    }
}

/// Guards requests of a proxy that has just started and whose backends are slow: no attempt is
/// cancelled without a retry, and the proxy sends no response of its own before the client's
/// deadline.
#[test]
fn an_attempt_is_cancelled_only_if_a_retry_follows() {
    let mut proxy = SimulatedProxy::new(RETRY_SLACK);
    for _ in 0..REQUESTS {
        proxy.admit(10.0);
    }
    assert_eq!(proxy.in_flight.len(), REQUESTS);
    for now in 10..JUST_BEFORE_DEADLINE_MS {
        proxy.run_timers(f64::from(now));
        assert_eq!(proxy.responses, 0, "responded after {now} ms");
        assert_eq!(
            proxy.cancelled, proxy.retries,
            "cancelled without a retry after {now} ms"
        );
    }
    assert!(proxy.retries > 0, "no attempt ever timed out");
    assert_eq!(proxy.in_flight.len(), REQUESTS);
    proxy.run_timers(f64::from(JUST_BEFORE_DEADLINE_MS + 200));
    assert_eq!(
        (proxy.responses, proxy.in_flight.len()),
        (REQUESTS, 0),
        "requests outlast their deadlines"
    );
}

/// Guards proxies of a large fleet, whose share of the retry slack is less than one retry: they
/// never retried (beyond 37 proxies with a slack of 62, beyond 128 with 214). A proxy retries, but
/// at most as often as its requests earn retries plus its share of the slack.
#[test]
fn a_proxy_of_a_large_fleet_retries_within_its_earned_budget() {
    let mut proxy = SimulatedProxy::new(RETRY_SLACK_SHARE);
    for _ in 0..2 * REQUESTS {
        proxy.admit(10.0);
    }
    for now in 10..JUST_BEFORE_DEADLINE_MS {
        proxy.run_timers(f64::from(now));
        assert_eq!(
            proxy.cancelled, proxy.retries,
            "cancelled without a retry after {now} ms"
        );
    }
    let max_retries = (0.2 * 2.0 * REQUESTS as f64 + RETRY_SLACK_SHARE) as usize;
    assert!(
        (1..=max_retries).contains(&proxy.retries),
        "{} retries",
        proxy.retries
    );
}

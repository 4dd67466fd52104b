//! Delays in a fleet: clients that fail together do not retry together.

use maplefall_backoff::{Backoff, MAX_DELAY, MAX_FLEET_CALLS_PER_SECOND};
use maplefall_policy::Millis;

/// The result of a simulated fleet.
struct Run {
    /// When each client was answered.
    answered: Vec<Millis>,
    calls: u32,
}

/// Simulates a service that all clients call at once: a response takes `service_time`, and a call
/// whose response would come later than `timeout` is rejected after that time.
fn simulate(
    clients: u32,
    service_time: Millis,
    timeout: Millis,
    delay: &mut dyn FnMut(u32) -> Millis,
) -> Run {
    let mut due: Vec<(Millis, u32)> = (0..clients).map(|client| (0.0, client)).collect();
    let mut run = Run {
        answered: Vec::new(),
        calls: 0,
    };
    let mut idle_at = 0.0f64;
    while let Some(next) = (0..due.len()).min_by(|a, b| due[*a].0.total_cmp(&due[*b].0)) {
        let (now, client) = due.swap_remove(next);
        run.calls += 1;
        idle_at = idle_at.max(now);
        // A rejection costs the service half as much as a response.
        if idle_at + service_time - now > timeout {
            idle_at += service_time / 2.0;
            due.push((now + timeout + delay(client), client));
        } else {
            idle_at += service_time;
            run.answered.push(idle_at);
        }
        if run.calls > 100 * clients {
            break;
        }
    }
    run
}

/// A service has rejected a whole fleet: without a delay the retries alone keep it overloaded; with
/// delays that depend on the size of the fleet all clients are answered.
#[test]
fn a_rejected_fleet_is_eventually_answered() {
    let (service_time, timeout) = (60.0, 2000.0);
    let run = simulate(100, service_time, timeout, &mut |_| 0.0);
    assert!(
        run.answered.len() < 100 || run.answered[99] > 14_000.0,
        "without a delay the overload should persist"
    );
    for seed in 0..20u64 {
        let mut backoffs: Vec<_> = (0..100)
            .map(|client| Backoff::new(100, 250.0, seed * 1000 + client))
            .collect();
        let Run { answered, calls } = simulate(100, service_time, timeout, &mut |client| {
            backoffs[client as usize].next_delay()
        });
        assert_eq!(answered.len(), 100, "seed {seed}");
        assert!(
            answered[99] < 60_000.0,
            "seed {seed}: the last after {} ms",
            answered[99]
        );
        assert!(calls < 500, "seed {seed}: {calls} calls");
    }
}

/// One of four clients waits hardly longer than the minimum delay.
#[test]
fn small_fleets_wait_little_and_all_delays_are_bounded() {
    for (clients, max_delay) in [
        (0, 250.0),
        (1, 250.0),
        (4, 670.0),
        (100, 16_670.0),
        (u32::MAX, MAX_DELAY),
    ] {
        let mut backoff = Backoff::new(clients, 250.0, 7);
        let delays: Vec<_> = (0..200).map(|_| backoff.next_delay()).collect();
        assert!(
            delays
                .iter()
                .all(|delay| (250.0..=max_delay).contains(delay)),
            "{clients} clients"
        );
        let calls_per_second =
            f64::from(clients.min(100)) * 1000.0 / (delays.iter().sum::<f64>() / 200.0);
        assert!(
            calls_per_second <= 2.5 * MAX_FLEET_CALLS_PER_SECOND || clients < 10,
            "{clients} clients call {calls_per_second} times per second"
        );
    }
    for min_delay in [f64::NAN, -1.0, f64::INFINITY] {
        assert!((1.0..=MAX_DELAY).contains(&Backoff::new(3, min_delay, 7).next_delay()));
    }
}

/// The first failure after a response has as short a delay as the first of all.
#[test]
fn a_response_resets_the_delay() {
    let mut backoff = Backoff::new(100, 250.0, 7);
    (0..10).for_each(|_| _ = backoff.next_delay());
    let largest_delay = (0..50).map(|_| backoff.next_delay()).fold(0.0, f64::max);
    let first_delays = (0..50).map(|_| {
        backoff.reset();
        backoff.next_delay()
    });
    let first = first_delays.fold(0.0, f64::max);
    assert!(
        largest_delay > 9000.0 && first <= 8400.0,
        "{largest_delay} {first}"
    );
}

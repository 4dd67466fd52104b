//! The cost of a decision by the number of backends, for a gateway that examines few of them and
//! for one that examines all for each choice; and the cost of a change of the list.
//! `cargo bench -p maplefall-policy --bench decision`.

use maplefall_policy::*;
use std::time::Instant;

const REQUESTS: u32 = 2_000;
const CHANGES: u32 = 2_000;

fn entry(id: u32, availability: Availability) -> BackendEntry {
    BackendEntry {
        id: BackendId(id),
        zone: ZoneId(0),
        cell: CellId(0),
        availability,
        started: None,
        size: 1.0,
    }
}

fn gateway(gateways: u32, backends: u32, exhaustive: bool) -> Gateway {
    let settings = Settings {
        gateways,
        classes: vec![Class {
            latency_target: 600.0,
            deadline: 2500.0,
            ..Class::default()
        }],
        plans: vec![Plan {
            rate: 1000.0,
            burst: 3000.0,
            ..Plan::default()
        }],
        ..Settings::default()
    };
    let gateway = Gateway::new(settings, 5);
    let mut gateway = if exhaustive {
        gateway.exhaustive()
    } else {
        gateway
    };
    let list = (0..backends)
        .map(|id| entry(id, Availability::Ready))
        .collect();
    gateway.handle(
        0.0,
        Event::Backends(ListKind::Cached, list),
        &mut Vec::new(),
    );
    gateway
}

/// Returns the microseconds per request, including its response.
fn time_requests(mut gateway: Gateway) -> f64 {
    let mut actions = Vec::new();
    let started = Instant::now();
    for id in 0..REQUESTS {
        let now = f64::from(id) * 20.0;
        let request = Request {
            id: RequestId(id),
            customer: CustomerId(u64::from(id % 50)),
            plan: PlanId(0),
            class: ClassId(0),
            units: 1.0,
            deadline: now + 2500.0,
            authorized: true,
            gateways: 1.0,
        };
        actions.clear();
        gateway.handle(now, Event::Arrival(request), &mut actions);
        let sent = actions.iter().find_map(|action| match action {
            Action::Send { backend, .. } => Some(*backend),
            _ => None,
        });
        let Some(backend) = sent else { continue };
        let ended = AttemptEnded {
            request: RequestId(id),
            attempt: 0,
            backend,
            outcome: Outcome::Ok,
            elapsed: 80.0,
            request_closed: true,
            metered_usage: None,
            true_units: None,
            report: Report::default(),
            broken_connections: 0,
        };
        gateway.handle(now + 10.0, Event::AttemptEnded(ended), &mut actions);
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS)
}

/// Returns the microseconds per change of one entry of the list.
fn time_changes(mut gateway: Gateway, backends: u32) -> f64 {
    let started = Instant::now();
    for at in 0..CHANGES {
        let state = if at % 2 == 0 {
            Availability::Draining
        } else {
            Availability::Ready
        };
        let entries = vec![entry(at / 2 * 7919 % backends, state)];
        gateway.handle(
            f64::from(at),
            Event::Backends(ListKind::Changes, entries),
            &mut Vec::new(),
        );
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(CHANGES)
}

/// Returns the minimum of three runs, because other load on the machine only adds time.
fn min_of_three(mut run: impl FnMut() -> f64) -> f64 {
    (0..3).map(|_| run()).fold(f64::INFINITY, f64::min)
}

fn main() {
    println!("gateways  backends  us a request  exhaustive choices  us a change of the list");
    for gateways in [4, 100, 300] {
        for backends in [10, 60, 200, 1000, 20_000] {
            let index = min_of_three(|| time_requests(gateway(gateways, backends, false)));
            let exhaustive = min_of_three(|| time_requests(gateway(gateways, backends, true)));
            let change =
                min_of_three(|| time_changes(gateway(gateways, backends, false), backends));
            println!("{gateways:8}  {backends:8}  {index:12.2}  {exhaustive:18.2}  {change:23.2}");
        }
    }
}

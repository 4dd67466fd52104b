//! The default world: a small fleet below capacity, with three classes and three plans.

use super::{Admission, ClassSpec, LoadBalancer, PlanSpec, World};

impl Default for World {
    fn default() -> Self {
        let class = |share, latency_target_ms, client_timeout_ms, value, effect: &str| ClassSpec {
            share,
            work_ms: 80.0,
            cv: 1.0,
            latency_target_ms,
            client_timeout_ms,
            value,
            effect: effect.to_owned(),
        };
        let plan = |share, rate, burst, price| PlanSpec {
            share,
            rate,
            burst,
            price,
            max_in_flight: 0,
            rate_limit_factor: 0.0,
        };
        World {
            name: "world".to_owned(),
            seconds: 20.0,
            proxies: 4,
            backends: 12,
            cores: 2,
            queue: 24,
            initial_capacity: 0.25,
            warm_up_ms: 10_000.0,
            speed_cv: 0.1,
            overload_factor: 3.0,
            overload_window_ms: 1500.0,
            delay_ms: [0.2, 1.0],
            handshake_ms: 2.0,
            idle_ms: 30_000.0,
            discovery_delay_ms: [200.0, 2500.0],
            drain_grace_ms: 500.0,
            customers: 200,
            zipf: 0.8,
            load: 0.6,
            spread: 0,
            uneven: 0.0,
            shift_s: [0.0, 0.0],
            sticky: 0.0,
            honour: 1.0,
            zones: 1,
            cross_zone_ms: [0.3, 0.8],
            cross_zone_price: 0.0,
            meter_ms: 0.0,
            meter_delay_ms: [200.0, 1500.0],
            estimate_cv: 0.0,
            connect_timeout_ms: 250.0,
            units: 3.0,
            max_units: 8.0,
            usage: 0.6,
            retries: 2,
            backoff_ms: [50.0, 250.0],
            load_balancer: LoadBalancer::Module,
            admission: Admission::EvenShare,
            attempts: 3,
            demand: Vec::new(),
            class: vec![
                class(0.46, 600.0, 2500.0, 3.0, "safe"),
                class(0.27, 750.0, 2000.0, 5.0, "keyed"),
                class(0.27, 750.0, 2500.0, 3.0, "unsafe"),
            ],
            plan: vec![
                plan(0.6, 2.0, 10.0, 0.6),
                plan(0.3, 6.0, 15.0, 0.8),
                plan(0.1, 20.0, 30.0, 1.5),
            ],
            agents: false,
            faults: Vec::new(),
        }
    }
}

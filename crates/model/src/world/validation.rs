//! Checks of a world before it is simulated: every invalid figure is named with its key in the
//! world file.

use super::{Fault, LoadBalancer, World};

/// Maximum number of requests that a run draws; it bounds memory and time.
const MAX_REQUESTS: f64 = 50e6;
/// Maximum memory that a world needs, in bytes.
const MAX_BYTES: f64 = 8e9;

/// The errors found so far, in the order of the checks.
#[derive(Default)]
struct Report {
    errors: Vec<String>,
}

impl Report {
    fn push(&mut self, error: String) {
        self.errors.push(error);
    }

    /// Requires `min <= value <= max`; a value that is not a number is an error too.
    fn within(&mut self, field: &str, value: f64, min: f64, max: f64) {
        if !(min..=max).contains(&value) {
            self.push(format!(
                "{field}: a number from {min} to {max} expected, got {value}"
            ));
        }
    }

    /// Requires a range whose ends are in order, both from 0 to `max`.
    fn range(&mut self, field: &str, range: [f64; 2], max: f64) {
        self.within(&format!("{field}.0"), range[0], 0.0, max);
        self.within(&format!("{field}.1"), range[1], range[0].max(0.0), max);
    }
}

impl World {
    /// Returns a line for every invalid figure of the world, with its key in the world file; empty
    /// for a valid world.
    ///
    /// The size of a run (requests, bytes) is checked only if each figure by itself is valid.
    pub fn errors(&self) -> Vec<String> {
        let mut report = Report::default();
        self.check_fleet(&mut report);
        self.check_ranges(&mut report);
        self.check_classes(&mut report);
        self.check_plans(&mut report);
        self.check_demand(&mut report);
        self.check_faults(&mut report);
        self.check_effects(&mut report);
        self.check_shares(&mut report);
        if report.errors.is_empty() {
            self.check_size(&mut report);
        }
        report.errors
    }

    fn check_fleet(&self, report: &mut Report) {
        report.within("seconds", self.seconds, 0.1, 3600.0);
        report.within("doors", self.proxies as f64, 1.0, 10_000.0);
        report.within("backends", self.backends as f64, 1.0, 100_000.0);
        report.within("cores", self.cores as f64, 1.0, 1024.0);
        report.within("queue", self.queue as f64, 0.0, 1e9);
        report.within("cold_from", self.initial_capacity, 0.01, 1.0);
        report.within("cold_ms", self.warm_up_ms, 0.0, 3.6e6);
        report.within("speed_cv", self.speed_cv, 0.0, 2.0);
        report.within("fall_multiple", self.overload_factor, 1.0, 1e6);
        report.within("fall_ms", self.overload_window_ms, 1.0, 1e6);
        report.within("handshake_ms", self.handshake_ms, 0.0, 1e4);
        report.within("idle_ms", self.idle_ms, 1.0, 3.6e6);
        report.within("drain_grace_ms", self.drain_grace_ms, 0.0, 1e6);
        report.within("customers", self.customers as f64, 1.0, 1e7);
        report.within("zipf", self.zipf, 0.0, 4.0);
        report.within("load", self.load, 0.001, 100.0);
        report.within("spread", self.spread as f64, 0.0, 10_000.0);
        report.within("most_units", self.max_units, 1.0, 1e6);
        report.within("units", self.units, 1.0, self.max_units.max(1.0));
        report.within("usage", self.usage, 0.0, 100.0);
        report.within("uneven", self.uneven, 0.0, 1.0);
        report.within("sticky", self.sticky, 0.0, 1.0);
        report.within("honour", self.honour, 0.0, 1.0);
        report.within("zones", self.zones as f64, 1.0, 64.0);
        report.within("cross_price", self.cross_zone_price, 0.0, 10.0);
        report.within("meter_ms", self.meter_ms, 0.0, 1e6);
        report.within("guess_cv", self.estimate_cv, 0.0, 5.0);
        report.within("dial_ms", self.connect_timeout_ms, 1.0, 1e5);
        report.within("retries", f64::from(self.retries), 0.0, 10.0);
        report.within("attempts", f64::from(self.attempts), 1.0, 10.0);
        if let LoadBalancer::Aperture(width) = self.load_balancer {
            report.within("choice.aperture", width as f64, 1.0, 100_000.0);
        }
    }

    fn check_ranges(&self, report: &mut Report) {
        let ranges = [
            ("delay_ms", self.delay_ms),
            ("notice_ms", self.discovery_delay_ms),
            ("backoff_ms", self.backoff_ms),
            ("shift_s", self.shift_s),
            ("cross_ms", self.cross_zone_ms),
            ("meter_late_ms", self.meter_delay_ms),
        ];
        for (field, range) in ranges {
            report.range(field, range, 1e6);
        }
    }

    fn check_classes(&self, report: &mut Report) {
        for (at, class) in self.class.iter().enumerate() {
            report.within(&format!("class.{at}.share"), class.share, 0.0, 1e6);
            report.within(&format!("class.{at}.work_ms"), class.work_ms, 0.001, 1e6);
            report.within(&format!("class.{at}.cv"), class.cv, 0.0, 20.0);
            report.within(
                &format!("class.{at}.aim_ms"),
                class.latency_target_ms,
                1.0,
                1e7,
            );
            report.within(
                &format!("class.{at}.give_up_ms"),
                class.client_timeout_ms,
                class.latency_target_ms.max(1.0),
                1e7,
            );
            report.within(&format!("class.{at}.worth"), class.value, 0.0, 1e6);
        }
    }

    fn check_plans(&self, report: &mut Report) {
        for (at, plan) in self.plan.iter().enumerate() {
            report.within(&format!("plan.{at}.share"), plan.share, 0.0, 1e6);
            report.within(&format!("plan.{at}.rate"), plan.rate, 0.001, 1e9);
            report.within(&format!("plan.{at}.burst"), plan.burst, 0.001, 1e9);
            report.within(&format!("plan.{at}.price"), plan.price, 0.0, 1e6);
            report.within(
                &format!("plan.{at}.ceiling"),
                plan.rate_limit_factor,
                0.0,
                1e6,
            );
        }
    }

    fn check_demand(&self, report: &mut Report) {
        for (at, demand) in self.demand.iter().enumerate() {
            report.within(&format!("demand.{at}.share"), demand.share, 0.0, 1e6);
            report.within(
                &format!("demand.{at}.part.0"),
                demand.fraction[0],
                0.001,
                1000.0,
            );
            report.within(
                &format!("demand.{at}.part.1"),
                demand.fraction[1],
                demand.fraction[0].max(0.001),
                1000.0,
            );
            report.within(&format!("demand.{at}.spike"), demand.spike, 0.0, 1000.0);
            if demand.spike > 0.0 {
                report.within(
                    &format!("demand.{at}.spike_s"),
                    demand.spike_s,
                    0.01,
                    3600.0,
                );
                report.within(
                    &format!("demand.{at}.every_s"),
                    demand.every_s,
                    demand.spike_s.max(0.01),
                    3600.0,
                );
            }
        }
    }

    fn check_faults(&self, report: &mut Report) {
        for (at, fault) in self.faults.iter().enumerate() {
            // A fault after the horizon would have no effect.
            report.within(
                &format!("trouble.{at}.at_s"),
                fault.at_s(),
                0.0,
                self.seconds,
            );
            check_fault(self, fault, &format!("trouble.{at}"), report);
        }
    }

    fn check_effects(&self, report: &mut Report) {
        for (at, class) in self.class.iter().enumerate() {
            if World::effect(class).is_none() {
                report.push(format!("class.{at}.effect: expected safe, keyed or unsafe"));
            }
        }
    }

    /// At least one class, plan and group of demand must have a positive share.
    fn check_shares(&self, report: &mut Report) {
        if self.class.iter().map(|class| class.share).sum::<f64>() <= 0.0 {
            report.push("class: expected one with a share above 0".to_owned());
        }
        if self.plan.iter().map(|plan| plan.share).sum::<f64>() <= 0.0 {
            report.push("plan: expected one with a share above 0".to_owned());
        }
        if !self.demand.is_empty()
            && self.demand.iter().map(|demand| demand.share).sum::<f64>() <= 0.0
        {
            report.push("demand: expected one with a share above 0".to_owned());
        }
    }

    fn check_size(&self, report: &mut Report) {
        let (requests, bytes) = (self.requests(), self.bytes());
        if requests > MAX_REQUESTS {
            report.push(format!(
                "load: {requests:.0} requests, above the maximum of {MAX_REQUESTS:.0}"
            ));
        }
        if bytes > MAX_BYTES {
            report.push(format!(
                "doors: a world of {bytes:.0} bytes, above the maximum of {MAX_BYTES:.0}"
            ));
        }
    }
}

/// Checks the figures of one fault; `field` is its key, as `trouble.0`.
fn check_fault(world: &World, fault: &Fault, field: &str, report: &mut Report) {
    match fault {
        Fault::RestartProxies {
            fraction, down_ms, ..
        } => {
            report.within(&format!("{field}.part"), *fraction, 0.0, 1.0);
            report.range(&format!("{field}.down_ms"), *down_ms, 1e6);
        }
        Fault::ReplaceBackends {
            fraction,
            over_s,
            drain_ms,
            ..
        } => {
            report.within(&format!("{field}.part"), *fraction, 0.0, 1.0);
            report.within(&format!("{field}.over_s"), *over_s, 0.0, 3600.0);
            report.within(&format!("{field}.drain_ms"), *drain_ms, 0.0, 1e6);
        }
        Fault::SlowBackends {
            fraction,
            speed,
            for_s,
            ..
        } => {
            report.within(&format!("{field}.part"), *fraction, 0.0, 1.0);
            report.within(&format!("{field}.speed"), *speed, 0.001, 10.0);
            report.within(&format!("{field}.for_s"), *for_s, 0.0, 3600.0);
        }
        Fault::Flood {
            for_s,
            customers,
            times,
            through,
            ..
        } => {
            report.within(&format!("{field}.for_s"), *for_s, 0.0, 3600.0);
            report.within(
                &format!("{field}.customers"),
                *customers as f64,
                1.0,
                world.customers as f64,
            );
            report.within(&format!("{field}.times"), *times, 0.0, 1000.0);
            report.within(&format!("{field}.through"), *through as f64, 0.0, 10_000.0);
        }
        Fault::OneShots { for_s, share, .. } => {
            report.within(&format!("{field}.for_s"), *for_s, 0.0, 3600.0);
            report.within(&format!("{field}.share"), *share, 0.0, 100.0);
        }
        Fault::Partition {
            for_s,
            proxies,
            backends,
            ..
        } => {
            report.within(&format!("{field}.for_s"), *for_s, 0.0, 3600.0);
            report.within(&format!("{field}.doors"), *proxies, 0.0, 1.0);
            report.within(&format!("{field}.backends"), *backends, 0.0, 1.0);
        }
        Fault::RollProxies {
            over_s,
            stop_ms,
            down_ms,
            ..
        } => {
            report.within(&format!("{field}.over_s"), *over_s, 0.0, 3600.0);
            report.within(&format!("{field}.stop_ms"), *stop_ms, 0.0, 1e6);
            report.range(&format!("{field}.down_ms"), *down_ms, 1e6);
        }
        Fault::MoveAgents {
            over_s,
            close_ms,
            lag_ms,
            ..
        } => {
            report.within(&format!("{field}.over_s"), *over_s, 0.0, 3600.0);
            report.within(&format!("{field}.close_ms"), *close_ms, 0.0, 1e6);
            report.range(&format!("{field}.behind_ms"), *lag_ms, 1e6);
        }
        Fault::SilenceAgents {
            for_s, fraction, ..
        } => {
            report.within(&format!("{field}.for_s"), *for_s, 0.0, 3600.0);
            report.within(&format!("{field}.part"), *fraction, 0.0, 1.0);
        }
        Fault::LoseZone { for_s, zone, .. } => {
            report.within(&format!("{field}.for_s"), *for_s, 0.0, 3600.0);
            report.within(
                &format!("{field}.zone"),
                *zone as f64,
                0.0,
                world.zones as f64 - 1.0,
            );
        }
    }
}

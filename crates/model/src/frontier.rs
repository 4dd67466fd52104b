//! The frontier of value against quota overrun: a world simulated over numbers of proxies and
//! degrees of unevenness under each policy, beside the bound on all rules without communication
//! ([`crate::bound`]).

use crate::bound::{bound, Bound, Case};
use crate::world::{Admission, LoadBalancer, World};
use serde::Serialize;

/// The policies of the frontier, by name.
pub const POLICIES: [(&str, LoadBalancer, Admission); 4] = [
    ("module", LoadBalancer::Module, Admission::EvenShare),
    ("even", LoadBalancer::LeastOutstanding, Admission::EvenShare),
    (
        "whole",
        LoadBalancer::LeastOutstanding,
        Admission::FullQuota,
    ),
    ("oracle", LoadBalancer::Oracle, Admission::EvenShare),
];

/// A point of the frontier: the mean of some runs, or the bound.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Number of proxies.
    #[serde(rename = "doors")]
    pub proxies: usize,
    /// Share of a customer's requests that come through its busiest proxy.
    pub uneven: f64,
    /// A name of [`POLICIES`], or `bound`.
    #[serde(rename = "who")]
    pub policy: String,
    /// Value served within quotas.
    #[serde(rename = "worth")]
    pub served_value: f64,
    /// Value admitted over quotas.
    #[serde(rename = "over")]
    pub over_quota_value: f64,
    /// `served_value` less the cost of `over_quota_value`.
    pub value: f64,
}

impl Point {
    /// Whether `other` is no worse in value served and in value over quotas, and better in at least
    /// one of them.
    pub fn dominated_by(&self, other: &Point) -> bool {
        let no_worse = other.served_value >= self.served_value
            && other.over_quota_value <= self.over_quota_value;
        no_worse
            && (other.served_value > self.served_value
                || other.over_quota_value < self.over_quota_value)
    }
}

/// Returns the worlds of one grid point, one for each of [`POLICIES`].
pub fn worlds(base: &World, proxies: usize, uneven: f64) -> Vec<World> {
    let world_for = |(_, load_balancer, admission): &(&str, LoadBalancer, Admission)| World {
        proxies,
        uneven,
        load_balancer: *load_balancer,
        admission: *admission,
        ..base.clone()
    };
    POLICIES.iter().map(world_for).collect()
}

/// Returns the case of the bound for a world of one plan whose groups of demand each have a single
/// demand.
///
/// # Errors
/// The property of the world that the bound does not cover.
pub fn case(world: &World, cost: f64) -> Result<Case, String> {
    let [plan] = world.plan.as_slice() else {
        return Err("plan: one plan expected, the bound covers a single plan".to_owned());
    };
    if world.demand.is_empty() || world.demand.iter().any(|group| group.spike > 0.0) {
        return Err("demand: expected groups without spikes".to_owned());
    }
    if world.meter_ms > 0.0 {
        return Err(
            "meter_ms: expected 0, the bound is for doors that see only their own arrivals"
                .to_owned(),
        );
    }
    // As in a run, one factor scales all plans to the load; the burst keeps its duration, apart
    // from its minimum of two requests of the largest size.
    let shares: f64 = world.demand.iter().map(|group| group.share).sum();
    let midpoint = |group: &crate::world::DemandSpec| 0.5 * (group.fraction[0] + group.fraction[1]);
    let within: f64 = world
        .demand
        .iter()
        .map(|group| group.share / shares * midpoint(group).min(1.0))
        .sum();
    let rate = world.requests_per_second() * world.units / (world.customers as f64 * within);
    let burst = (plan.burst * rate / plan.rate).max(2.0 * world.max_units);
    Ok(Case {
        proxies: if world.spread == 0 {
            world.proxies
        } else {
            world.spread.min(world.proxies)
        },
        uneven: world.uneven,
        seconds: world.seconds,
        burst_s: burst / rate,
        requests_per_second: rate / world.units,
        proxy_requests: world.retries + 1,
        fractions: world
            .demand
            .iter()
            .map(|group| (midpoint(group), group.share / shares))
            .collect(),
        cost,
    })
}

/// Returns the bound of a world as a point.
///
/// # Errors
/// The errors of [`case`] and [`bound`].
pub fn bound_of(world: &World, cost: f64) -> Result<Point, String> {
    let Bound {
        served_value,
        over_quota_value,
        value,
    } = bound(&case(world, cost)?)?;
    Ok(Point {
        proxies: world.proxies,
        uneven: world.uneven,
        policy: "bound".to_owned(),
        served_value,
        over_quota_value,
        value,
    })
}

/// Returns the points of a grid point from its runs: one group of runs for each of [`POLICIES`], in
/// their order.
pub fn points<'a>(
    grid_point: &Point,
    cost: f64,
    groups: &mut impl Iterator<Item = &'a [crate::Outcome]>,
) -> Vec<Point> {
    let mean = |runs: &[crate::Outcome], of: fn(&crate::Outcome) -> f64| {
        runs.iter().map(of).sum::<f64>() / runs.len().max(1) as f64
    };
    let point = |(runs, (policy, ..)): (&[crate::Outcome], &(&str, LoadBalancer, Admission))| {
        let (served_value, over_quota_value) = (
            mean(runs, |outcome| outcome.served_value),
            mean(runs, |outcome| outcome.over_quota_value),
        );
        Point {
            policy: (*policy).to_owned(),
            served_value,
            over_quota_value,
            value: served_value - cost * over_quota_value,
            ..grid_point.clone()
        }
    };
    groups
        .take(POLICIES.len())
        .zip(&POLICIES)
        .map(point)
        .collect()
}

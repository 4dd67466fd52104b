//! How much a fleet can sell: a world played over numbers of proxies and unevenness by each policy, beside the bound on all rules
//! without talk ([`crate::bound`]).

use crate::bound::{bound, Bound, Case};
use crate::world::{Admission, LoadBalancer, World};
use serde::Serialize;

/// Who decides, by name.
pub const WHO: [(&str, LoadBalancer, Admission); 4] = [
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
    /// Proxies, and the part of a customer's requests that come through its busiest one.
    #[serde(rename = "doors")]
    pub proxies: usize,
    /// See above.
    pub uneven: f64,
    /// One of [`WHO`], or `bound`.
    pub who: String,
    /// Value inside quotas, value beyond, and the first less the cost of the second.
    #[serde(rename = "worth")]
    pub served_value: f64,
    /// See above.
    pub over: f64,
    /// See above.
    pub value: f64,
}

impl Point {
    /// Whether another one has as much value with as little beyond quotas, and is better in one of them.
    pub fn dominated_by(&self, other: &Point) -> bool {
        let no_worse = other.served_value >= self.served_value && other.over <= self.over;
        no_worse && (other.served_value > self.served_value || other.over < self.over)
    }
}

/// The worlds of one place of the grid, one for each of [`WHO`].
pub fn worlds(base: &World, proxies: usize, uneven: f64) -> Vec<World> {
    let one = |(_, load_balancer, admission): &(&str, LoadBalancer, Admission)| World {
        proxies,
        uneven,
        load_balancer: *load_balancer,
        admission: *admission,
        ..base.clone()
    };
    WHO.iter().map(one).collect()
}

/// The case of the bound for a world of one plan, whose groups of demand each ask for one part.
///
/// # Errors
/// What of the world the bound does not cover.
pub fn case(world: &World, cost: f64) -> Result<Case, String> {
    let [plan] = world.plan.as_slice() else {
        return Err("plan: one plan was expected, the bound is for one".to_owned());
    };
    if world.demand.is_empty() || world.demand.iter().any(|group| group.spike > 0.0) {
        return Err("demand: groups without spikes were expected".to_owned());
    }
    if world.meter_ms > 0.0 {
        return Err(
            "meter_ms: 0 was expected, the bound is for doors that see their own arrivals"
                .to_owned(),
        );
    }
    // All plans are scaled by one factor to the load; its bursts keep their length, but for the least.
    let shares: f64 = world.demand.iter().map(|group| group.share).sum();
    let mid = |group: &crate::world::DemandSpec| 0.5 * (group.fraction[0] + group.fraction[1]);
    let within: f64 = world
        .demand
        .iter()
        .map(|group| group.share / shares * mid(group).min(1.0))
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
            .map(|group| (mid(group), group.share / shares))
            .collect(),
        cost,
    })
}

/// The bound of a world, as a point.
///
/// # Errors
/// As [`case`] and [`bound`].
pub fn bound_of(world: &World, cost: f64) -> Result<Point, String> {
    let Bound {
        served_value,
        over,
        value,
    } = bound(&case(world, cost)?)?;
    Ok(Point {
        proxies: world.proxies,
        uneven: world.uneven,
        who: "bound".to_owned(),
        served_value,
        over,
        value,
    })
}

/// The points of a place from its runs: a group for each of [`WHO`], in their order.
pub fn points<'a>(
    place: &Point,
    cost: f64,
    groups: &mut impl Iterator<Item = &'a [crate::Outcome]>,
) -> Vec<Point> {
    let mean = |runs: &[crate::Outcome], of: fn(&crate::Outcome) -> f64| {
        runs.iter().map(of).sum::<f64>() / runs.len().max(1) as f64
    };
    let point = |(runs, (who, ..)): (&[crate::Outcome], &(&str, LoadBalancer, Admission))| {
        let (served_value, over) = (
            mean(runs, |one| one.served_value),
            mean(runs, |one| one.over_quota_value),
        );
        Point {
            who: (*who).to_owned(),
            served_value,
            over,
            value: served_value - cost * over,
            ..place.clone()
        }
    };
    groups.take(WHO.len()).zip(&WHO).map(point).collect()
}

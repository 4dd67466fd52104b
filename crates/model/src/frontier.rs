//! How much a fleet can sell: a world played over numbers of doors and unevenness by each policy, beside the bound on all rules
//! without talk ([`crate::bound`]).

use crate::bound::{bound, Bound, Case};
use crate::world::{Admission, Choice, World};
use serde::Serialize;

/// Who decides, by name.
pub const WHO: [(&str, Choice, Admission); 4] = [
    ("module", Choice::Module, Admission::Even),
    ("even", Choice::LeastOut, Admission::Even),
    ("whole", Choice::LeastOut, Admission::Whole),
    ("oracle", Choice::Oracle, Admission::Even),
];

/// A point of the frontier: the mean of some runs, or the bound.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Doors, and the part of a customer's requests that come through its busiest one.
    pub doors: usize,
    /// See above.
    pub uneven: f64,
    /// One of [`WHO`], or `bound`.
    pub who: String,
    /// Worth inside quotas, worth beyond, and the first less the cost of the second.
    pub worth: f64,
    /// See above.
    pub over: f64,
    /// See above.
    pub value: f64,
}

impl Point {
    /// Whether another one has as much worth with as little beyond quotas, and is better in one of them.
    pub fn dominated_by(&self, other: &Point) -> bool {
        let no_worse = other.worth >= self.worth && other.over <= self.over;
        no_worse && (other.worth > self.worth || other.over < self.over)
    }
}

/// The worlds of one place of the grid, one for each of [`WHO`].
pub fn worlds(base: &World, doors: usize, uneven: f64) -> Vec<World> {
    let one = |(_, choice, admission): &(&str, Choice, Admission)| World {
        doors,
        uneven,
        choice: *choice,
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
    let mid = |group: &crate::world::DemandSpec| 0.5 * (group.part[0] + group.part[1]);
    let within: f64 = world
        .demand
        .iter()
        .map(|group| group.share / shares * mid(group).min(1.0))
        .sum();
    let rate = world.requests_per_second() * world.units / (world.customers as f64 * within);
    let burst = (plan.burst * rate / plan.rate).max(2.0 * world.most_units);
    Ok(Case {
        doors: if world.spread == 0 {
            world.doors
        } else {
            world.spread.min(world.doors)
        },
        uneven: world.uneven,
        seconds: world.seconds,
        burst_s: burst / rate,
        requests_per_second: rate / world.units,
        tries: world.retries + 1,
        parts: world
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
    let Bound { worth, over, value } = bound(&case(world, cost)?)?;
    Ok(Point {
        doors: world.doors,
        uneven: world.uneven,
        who: "bound".to_owned(),
        worth,
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
    let point = |(runs, (who, ..)): (&[crate::Outcome], &(&str, Choice, Admission))| {
        let (worth, over) = (mean(runs, |one| one.worth), mean(runs, |one| one.over));
        Point {
            who: (*who).to_owned(),
            worth,
            over,
            value: worth - cost * over,
            ..place.clone()
        }
    };
    groups.take(WHO.len()).zip(&WHO).map(point).collect()
}

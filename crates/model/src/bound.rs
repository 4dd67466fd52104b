//! What any rule can earn for a quota that sees only the arrivals at its own proxy: an upper bound, as a linear programme.
//!
//! A customer asks for a part `x` of its quota, `x` drawn from known parts; which one, no proxy is notified. A proxy has seen `n`
//! earlier requests at proxies of it by time `t`, Poisson with a mean that is in proportion to `x`. For a Poisson process of unknown rate that
//! count says all that its arrivals say (it is sufficient), so whatever a rule looks at, what it lets in of customers with part
//! `x` is the mean over `n` of some `f(n)` from nought to one. Over a customer's whole day what is admitted counts as inside up
//! to rate and burst, and as beyond above that; both are concave in `f` together, so fluctuation only takes away. The best `f`
//! is the solution of a linear programme (solved by `microlp`), and no rule without talk earns more.
//!
//! Where something is not known it is given away, so that the bound stays one: the busiest proxy of a customer knows that it is,
//! no proxy ever forgets, every refused try comes again as an independent one (more to see than real ones), and proxies that see
//! more than `MOST_SEEN` requests at proxies of a customer know its part.

use microlp::{ComparisonOp, OptimizationDirection, Problem, Variable};

/// Requests at proxies of a customer at a proxy, at the most that it asks for, beyond which a proxy is taken to know the part that is asked.
const MAX_SEEN: f64 = 120.0;
/// Stretches of the day in which proxies have seen more and more.
const STRETCHES: usize = 4;
/// Probability that is left out at the end of a distribution.
const TAIL: f64 = 1e-9;

/// Customers of one plan and how they come.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// Proxies that a customer's requests come through.
    pub proxies: usize,
    /// Part of them that comes through the busiest; the rest come evenly through all.
    pub uneven: f64,
    /// Length of the day, and of the burst (burst over rate), in seconds.
    pub seconds: f64,
    /// See above.
    pub burst_s: f64,
    /// Requests a second that use up a quota.
    pub requests_per_second: f64,
    /// Requests at proxies of a request at most.
    pub proxy_requests: u32,
    /// Parts of the quota that are asked for, each with its share of the customers.
    pub fractions: Vec<(f64, f64)>,
    /// What a unit beyond the quota costs against one inside.
    pub cost: f64,
}

/// The most that is possible, as parts of what one proxy that sees all would admit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Let in inside quotas.
    pub served_value: f64,
    /// Let in beyond.
    pub over: f64,
    /// Value less the cost of what is beyond.
    pub value: f64,
}

/// Probabilities of 0, 1, 2, ... up to where little is left; what is left is in the last.
fn poisson(mean: f64, count: usize) -> Vec<f64> {
    let mut all = Vec::with_capacity(count);
    let (mut one, mut sum) = ((-mean).exp(), 0.0);
    for n in 0..count.saturating_sub(1) {
        all.push(one);
        sum += one;
        one *= mean / (n + 1) as f64;
    }
    all.push((1.0 - sum).max(0.0));
    all
}

/// Places that a Poisson distribution of this mean needs.
fn places(mean: f64) -> usize {
    let (mut one, mut sum, mut n) = ((-mean).exp(), (-mean).exp(), 0usize);
    while sum < 1.0 - TAIL && n < 10_000 {
        n += 1;
        one *= mean / n as f64;
        sum += one;
    }
    n + 2
}

/// The bound of a case.
///
/// # Errors
/// What the solver says, or a case without customers or proxies.
pub fn bound(case: &Case) -> Result<Bound, String> {
    let most = case
        .fractions
        .iter()
        .map(|(fraction, _)| *fraction)
        .fold(0.0, f64::max);
    if case.proxies == 0 || most <= 0.0 || case.seconds <= 0.0 {
        return Err("a case with doors, time and parts above 0 was expected".to_owned());
    }
    let proxies = case.proxies as f64;
    // A group of proxies: the part of the requests that come through it, and through one proxy of it.
    let even = (1.0 - case.uneven) / proxies;
    let groups = [
        (case.uneven + even, case.uneven + even),
        (even * (proxies - 1.0), even),
    ];
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let room = 1.0 + case.burst_s / case.seconds;
    let offered: f64 = case
        .fractions
        .iter()
        .map(|(fraction, share)| share * fraction.min(room))
        .sum();
    // What is admitted of each part is the sum of these; each is a variable and its factor.
    let mut admitted: Vec<Vec<(Variable, f64)>> = vec![Vec::new(); case.fractions.len()];
    for stretch in 0..STRETCHES {
        let seen_for = case.seconds * (stretch + 1) as f64 / STRETCHES as f64;
        for (through, each) in groups {
            if through <= 0.0 {
                continue;
            }
            let mean = case.requests_per_second * f64::from(case.proxy_requests) * each * seen_for;
            let whole = through / STRETCHES as f64;
            if mean * most > MAX_SEEN {
                for ((fraction, _), terms) in case.fractions.iter().zip(&mut admitted) {
                    terms.push((problem.add_var(0.0, (0.0, 1.0)), fraction * whole));
                }
                continue;
            }
            let count = places(mean * most);
            let rule: Vec<Variable> = (0..count)
                .map(|_| problem.add_var(0.0, (0.0, 1.0)))
                .collect();
            for ((fraction, _), terms) in case.fractions.iter().zip(&mut admitted) {
                let chances = poisson(mean * fraction, count);
                terms.extend(
                    rule.iter()
                        .zip(&chances)
                        .map(|(var, random)| (*var, fraction * whole * random)),
                );
            }
        }
    }
    let mut ends = Vec::new();
    for ((_, share), terms) in case.fractions.iter().zip(&admitted) {
        let weight = share / offered;
        let within_quota = problem.add_var(weight, (0.0, room));
        let over_quota_units = problem.add_var(-weight * case.cost, (0.0, f64::INFINITY));
        let mut line = terms.clone();
        line.extend([(within_quota, -1.0), (over_quota_units, -1.0)]);
        problem.add_constraint(&line, ComparisonOp::Eq, 0.0);
        ends.push((weight, within_quota, over_quota_units));
    }
    let solved = problem.solve().map_err(|error| error.to_string())?;
    let solution = solved
        .into_solution()
        .map_err(|_| "the solver stopped before it was done".to_owned())?;
    let value = |of: &Variable| solution.var_value(*of);
    let served_value = ends
        .iter()
        .map(|(weight, within_quota, _)| weight * value(within_quota))
        .sum();
    let over = ends
        .iter()
        .map(|(weight, _, over_quota_units)| weight * value(over_quota_units))
        .sum();
    Ok(Bound {
        served_value,
        over,
        value: served_value - case.cost * over,
    })
}

//! An upper bound, as a linear programme, on what an admission rule can earn from quotas if it sees
//! only the arrivals at its own proxy.
//!
//! A customer's demand is a fraction `x` of its quota, drawn from a known distribution; no proxy is
//! told which. By time `t` a proxy has seen `n` of the customer's earlier requests, where `n` is
//! Poisson with a mean proportional to `x`. For a Poisson process of unknown rate that count is a
//! sufficient statistic, so whatever a rule looks at, the share that it admits of customers with
//! demand `x` is the mean over `n` of some `f(n)` from 0 to 1. Over the horizon, units admitted up
//! to rate and burst count as within the quota, those above as over it; the value of both is
//! jointly concave in `f`, so fluctuation can only reduce it. The best `f` solves a linear
//! programme (by `microlp`), and no rule without communication earns more.
//!
//! Where something is unknown the rule gets the benefit, so that the result stays an upper bound: a
//! customer's busiest proxy knows that it is the busiest, no proxy ever forgets, every rejected
//! request is retried as an independent arrival (which reveals more than real retries), and a proxy
//! that would see more than `MAX_SEEN` requests of a customer knows its demand.

use microlp::{ComparisonOp, OptimizationDirection, Problem, Variable};

/// Expected requests of one customer at one proxy, at the largest demand, above which the proxy
/// counts as knowing the customer's demand.
const MAX_SEEN: f64 = 120.0;
/// Number of intervals that the horizon is divided into; a proxy has seen more requests in each
/// later one.
const INTERVALS: usize = 4;
/// Probability that is cut off at the tail of a distribution.
const TAIL: f64 = 1e-9;

/// Customers of one plan and their arrival process.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// Number of proxies that a customer's requests come through.
    pub proxies: usize,
    /// Share of a customer's requests that come through its busiest proxy; the rest are spread
    /// evenly over all.
    pub uneven: f64,
    /// Length of the horizon, in seconds.
    pub seconds: f64,
    /// Burst divided by rate, in seconds.
    pub burst_s: f64,
    /// Requests a second that use up a quota.
    pub requests_per_second: f64,
    /// Maximum number of times that a request reaches a proxy: the first time and its retries.
    pub proxy_requests: u32,
    /// Possible demands as fractions of the quota, each with its share of the customers.
    pub fractions: Vec<(f64, f64)>,
    /// Cost of a unit over the quota relative to the value of one within it.
    pub cost: f64,
}

/// The best possible result, as fractions of what one proxy that sees all requests would admit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Value admitted within quotas.
    pub served_value: f64,
    /// Value admitted over quotas.
    pub over_quota_value: f64,
    /// `served_value` less the cost of `over_quota_value`.
    pub value: f64,
}

/// Returns the Poisson probabilities of 0, 1, 2, ...; the last of the `count` terms holds the rest
/// of the distribution.
fn poisson(mean: f64, count: usize) -> Vec<f64> {
    let mut terms = Vec::with_capacity(count);
    let (mut term, mut sum) = ((-mean).exp(), 0.0);
    for n in 0..count.saturating_sub(1) {
        terms.push(term);
        sum += term;
        term *= mean / (n + 1) as f64;
    }
    terms.push((1.0 - sum).max(0.0));
    terms
}

/// Returns the number of terms that a Poisson distribution with this mean needs.
fn term_count(mean: f64) -> usize {
    let (mut term, mut sum, mut n) = ((-mean).exp(), (-mean).exp(), 0usize);
    while sum < 1.0 - TAIL && n < 10_000 {
        n += 1;
        term *= mean / n as f64;
        sum += term;
    }
    n + 2
}

/// Computes the bound of a case.
///
/// # Errors
/// The solver's error, or a case without customers or proxies.
pub fn bound(case: &Case) -> Result<Bound, String> {
    let max_fraction = case
        .fractions
        .iter()
        .map(|(fraction, _)| *fraction)
        .fold(0.0, f64::max);
    if case.proxies == 0 || max_fraction <= 0.0 || case.seconds <= 0.0 {
        return Err("expected a case with doors, time and parts above 0".to_owned());
    }
    let proxies = case.proxies as f64;
    // Two groups of proxies, the busiest and the others: the share of the requests that come
    // through the whole group, and through one proxy of it.
    let even_share = (1.0 - case.uneven) / proxies;
    let groups = [
        (case.uneven + even_share, case.uneven + even_share),
        (even_share * (proxies - 1.0), even_share),
    ];
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let max_within_quota = 1.0 + case.burst_s / case.seconds;
    let offered: f64 = case
        .fractions
        .iter()
        .map(|(fraction, share)| share * fraction.min(max_within_quota))
        .sum();
    // What is admitted of each demand is the sum of these terms: a variable and its coefficient.
    let mut admitted: Vec<Vec<(Variable, f64)>> = vec![Vec::new(); case.fractions.len()];
    for interval in 0..INTERVALS {
        let observed_s = case.seconds * (interval + 1) as f64 / INTERVALS as f64;
        for (group_share, share_per_proxy) in groups {
            if group_share <= 0.0 {
                continue;
            }
            let mean = case.requests_per_second
                * f64::from(case.proxy_requests)
                * share_per_proxy
                * observed_s;
            let traffic_share = group_share / INTERVALS as f64;
            if mean * max_fraction > MAX_SEEN {
                for ((fraction, _), terms) in case.fractions.iter().zip(&mut admitted) {
                    terms.push((problem.add_var(0.0, (0.0, 1.0)), fraction * traffic_share));
                }
                continue;
            }
            let count = term_count(mean * max_fraction);
            let rule: Vec<Variable> = (0..count)
                .map(|_| problem.add_var(0.0, (0.0, 1.0)))
                .collect();
            for ((fraction, _), terms) in case.fractions.iter().zip(&mut admitted) {
                let probabilities = poisson(mean * fraction, count);
                terms.extend(
                    rule.iter()
                        .zip(&probabilities)
                        .map(|(var, probability)| (*var, fraction * traffic_share * probability)),
                );
            }
        }
    }
    let mut results = Vec::new();
    for ((_, share), terms) in case.fractions.iter().zip(&admitted) {
        let weight = share / offered;
        let within_quota = problem.add_var(weight, (0.0, max_within_quota));
        let over_quota_units = problem.add_var(-weight * case.cost, (0.0, f64::INFINITY));
        let mut balance = terms.clone();
        balance.extend([(within_quota, -1.0), (over_quota_units, -1.0)]);
        problem.add_constraint(&balance, ComparisonOp::Eq, 0.0);
        results.push((weight, within_quota, over_quota_units));
    }
    let solved = problem.solve().map_err(|error| error.to_string())?;
    let solution = solved
        .into_solution()
        .map_err(|_| "the solver stopped before it finished".to_owned())?;
    let value = |of: &Variable| solution.var_value(*of);
    let served_value = results
        .iter()
        .map(|(weight, within_quota, _)| weight * value(within_quota))
        .sum();
    let over_quota_value = results
        .iter()
        .map(|(weight, _, over_quota_units)| weight * value(over_quota_units))
        .sum();
    Ok(Bound {
        served_value,
        over_quota_value,
        value: served_value - case.cost * over_quota_value,
    })
}

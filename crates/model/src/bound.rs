//! What any rule can earn for a quota that sees only the arrivals at its own door: an upper bound, as a linear programme.
//!
//! A customer asks for a part `x` of its quota, `x` drawn from known parts; which one, no door is told. A door has seen `n`
//! earlier tries of it by time `t`, Poisson with a mean that is in proportion to `x`. For a Poisson process of unknown rate that
//! count says all that its arrivals say (it is sufficient), so whatever a rule looks at, what it lets in of customers with part
//! `x` is the mean over `n` of some `f(n)` from nought to one. Over a customer's whole day what is let in counts as inside up
//! to rate and burst, and as beyond above that; both are concave in `f` together, so fluctuation only takes away. The best `f`
//! is the solution of a linear programme (solved by `microlp`), and no rule without talk earns more.
//!
//! Where something is not known it is given away, so that the bound stays one: the busiest door of a customer knows that it is,
//! no door ever forgets, every refused try comes again as an independent one (more to see than real ones), and doors that see
//! more than `MOST_SEEN` tries of a customer know its part.

use microlp::{ComparisonOp, OptimizationDirection, Problem, Variable};

/// Tries of a customer at a door, at the most that it asks for, beyond which a door is taken to know the part that is asked.
const MOST_SEEN: f64 = 120.0;
/// Stretches of the day in which doors have seen more and more.
const STRETCHES: usize = 4;
/// Probability that is left out at the end of a distribution.
const TAIL: f64 = 1e-9;

/// Customers of one plan and how they come.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// Doors that a customer's requests come through.
    pub doors: usize,
    /// Part of them that comes through the busiest; the rest come evenly through all.
    pub uneven: f64,
    /// Length of the day, and of the burst (burst over rate), in seconds.
    pub seconds: f64,
    /// See above.
    pub burst_s: f64,
    /// Requests a second that use up a quota.
    pub requests_per_second: f64,
    /// Tries of a request at most.
    pub tries: u32,
    /// Parts of the quota that are asked for, each with its share of the customers.
    pub parts: Vec<(f64, f64)>,
    /// What a unit beyond the quota costs against one inside.
    pub cost: f64,
}

/// The most that is possible, as parts of what one door that sees all would let in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Let in inside quotas.
    pub worth: f64,
    /// Let in beyond.
    pub over: f64,
    /// Worth less the cost of what is beyond.
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
/// What the solver says, or a case without customers or doors.
pub fn bound(case: &Case) -> Result<Bound, String> {
    let most = case.parts.iter().map(|(part, _)| *part).fold(0.0, f64::max);
    if case.doors == 0 || most <= 0.0 || case.seconds <= 0.0 {
        return Err("a case with doors, time and parts above 0 was expected".to_owned());
    }
    let doors = case.doors as f64;
    // A group of doors: the part of the requests that come through it, and through one door of it.
    let even = (1.0 - case.uneven) / doors;
    let groups = [
        (case.uneven + even, case.uneven + even),
        (even * (doors - 1.0), even),
    ];
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let room = 1.0 + case.burst_s / case.seconds;
    let offered: f64 = case
        .parts
        .iter()
        .map(|(part, share)| share * part.min(room))
        .sum();
    // What is let in of each part is the sum of these; each is a variable and its factor.
    let mut let_in: Vec<Vec<(Variable, f64)>> = vec![Vec::new(); case.parts.len()];
    for stretch in 0..STRETCHES {
        let seen_for = case.seconds * (stretch + 1) as f64 / STRETCHES as f64;
        for (through, each) in groups {
            if through <= 0.0 {
                continue;
            }
            let mean = case.requests_per_second * f64::from(case.tries) * each * seen_for;
            let whole = through / STRETCHES as f64;
            if mean * most > MOST_SEEN {
                for ((part, _), terms) in case.parts.iter().zip(&mut let_in) {
                    terms.push((problem.add_var(0.0, (0.0, 1.0)), part * whole));
                }
                continue;
            }
            let count = places(mean * most);
            let rule: Vec<Variable> = (0..count)
                .map(|_| problem.add_var(0.0, (0.0, 1.0)))
                .collect();
            for ((part, _), terms) in case.parts.iter().zip(&mut let_in) {
                let chances = poisson(mean * part, count);
                terms.extend(
                    rule.iter()
                        .zip(&chances)
                        .map(|(var, chance)| (*var, part * whole * chance)),
                );
            }
        }
    }
    let mut ends = Vec::new();
    for ((_, share), terms) in case.parts.iter().zip(&let_in) {
        let weight = share / offered;
        let inside = problem.add_var(weight, (0.0, room));
        let beyond = problem.add_var(-weight * case.cost, (0.0, f64::INFINITY));
        let mut line = terms.clone();
        line.extend([(inside, -1.0), (beyond, -1.0)]);
        problem.add_constraint(&line, ComparisonOp::Eq, 0.0);
        ends.push((weight, inside, beyond));
    }
    let solved = problem.solve().map_err(|error| error.to_string())?;
    let solution = solved
        .into_solution()
        .map_err(|_| "the solver stopped before it was done".to_owned())?;
    let value = |of: &Variable| solution.var_value(*of);
    let worth = ends
        .iter()
        .map(|(weight, inside, _)| weight * value(inside))
        .sum();
    let over = ends
        .iter()
        .map(|(weight, _, beyond)| weight * value(beyond))
        .sum();
    Ok(Bound {
        worth,
        over,
        value: worth - case.cost * over,
    })
}

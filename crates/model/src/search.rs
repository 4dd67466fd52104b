//! Searches for a run in which a figure breaks a bound, and shrinks its world while the figure
//! still does: a small case is easier to read.

use crate::run::simulate;
use crate::world::World;
use crate::Outcome;

/// The target of a search: a figure above or below a bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    figure: String,
    above: bool,
    bound: f64,
}

impl Target {
    /// Parses `figure>bound` or `figure<bound`.
    ///
    /// # Errors
    /// A message that names what was expected, or an unknown figure.
    pub fn parse(text: &str) -> Result<Target, String> {
        let expected = || format!("expected figure>bound or figure<bound, got {text}");
        let at = text.find(['>', '<']).ok_or_else(expected)?;
        let bound = text[at + 1..].trim().parse().map_err(|_| expected())?;
        let target = Target {
            figure: text[..at].trim().to_owned(),
            above: text[at..].starts_with('>'),
            bound,
        };
        if Outcome::default().field(&target.figure).is_none() {
            return Err(format!("{} is not a figure of a run", target.figure));
        }
        Ok(target)
    }

    fn violation(&self, outcome: &Outcome) -> Option<f64> {
        let value = outcome.field(&self.figure)?;
        let breaks = if self.above {
            value > self.bound
        } else {
            value < self.bound
        };
        breaks.then_some(value)
    }
}

/// A run that breaks the bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    /// The world, shrunk as far as possible.
    pub world: World,
    /// The smallest seed at which the world breaks the bound.
    pub seed: u64,
    /// The figure and its value, for display.
    pub figure: String,
    /// Number of runs up to and including this one.
    pub runs: usize,
}

/// Returns the next smaller worlds; those that remove a fault or a group of demand come first.
fn smaller_worlds(world: &World) -> Vec<World> {
    let mut all = Vec::new();
    for at in 0..world.faults.len() {
        let mut candidate = world.clone();
        candidate.faults.remove(at);
        all.push(candidate);
    }
    for at in 0..world.demand.len() {
        let mut candidate = world.clone();
        candidate.demand.remove(at);
        all.push(candidate);
    }
    let halved = |of: usize| (of / 2).max(1);
    all.push(World {
        proxies: halved(world.proxies),
        ..world.clone()
    });
    all.push(World {
        customers: halved(world.customers),
        ..world.clone()
    });
    all.push(World {
        seconds: world.seconds / 2.0,
        ..world.clone()
    });
    // The load is a fraction of the backends' capacity, so half of the backends get half of the
    // requests.
    all.push(World {
        backends: halved(world.backends),
        ..world.clone()
    });
    all.push(World {
        retries: 0,
        ..world.clone()
    });
    all.push(World {
        zones: 1,
        ..world.clone()
    });
    all.push(World {
        uneven: 0.0,
        ..world.clone()
    });
    all.push(World {
        meter_ms: 0.0,
        ..world.clone()
    });
    all.push(World {
        estimate_cv: 0.0,
        ..world.clone()
    });
    all.retain(|candidate| candidate != world && candidate.errors().is_empty());
    all
}

/// Searches the seeds of a world, from 1, and of each smaller world; `None` if none breaks the
/// bound. Runs at most `max_runs` simulations.
pub fn search(world: &World, target: &Target, seeds: u64, max_runs: usize) -> Option<Found> {
    let mut runs = 0;
    let mut first = |world: &World| {
        (1..=seeds).find_map(|seed| {
            if runs >= max_runs {
                return None;
            }
            runs += 1;
            target
                .violation(&simulate(world, seed))
                .map(|value| (seed, value, runs))
        })
    };
    let (mut seed, mut value, mut runs_used) = first(world)?;
    let mut smallest = world.clone();
    while let Some((less, found)) = smaller_worlds(&smallest)
        .into_iter()
        .find_map(|candidate| first(&candidate).map(|found| (candidate, found)))
    {
        smallest = less;
        (seed, value, runs_used) = found;
    }
    Some(Found {
        world: smallest,
        seed,
        figure: format!("{} {value}", target.figure),
        runs: runs_used,
    })
}

//! Looks for a run in which a figure breaks a bound, and shrinks its world while it still does: a small case can be read.

use crate::run::play;
use crate::world::World;
use crate::Outcome;

/// What is target for: a figure above or below a bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    figure: String,
    above: bool,
    bound: f64,
}

impl Target {
    /// Reads `figure>bound` or `figure<bound`.
    ///
    /// # Errors
    /// What was expected.
    pub fn parse(text: &str) -> Result<Target, String> {
        let expected = || format!("figure>bound or figure<bound was expected, not {text}");
        let at = text.find(['>', '<']).ok_or_else(expected)?;
        let bound = text[at + 1..].trim().parse().map_err(|_| expected())?;
        let target = Target {
            figure: text[..at].trim().to_owned(),
            above: text[at..].starts_with('>'),
            bound,
        };
        if Outcome::default().field(&target.figure).is_none() {
            return Err(format!("{} is no figure of a run", target.figure));
        }
        Ok(target)
    }

    fn seen(&self, outcome: &Outcome) -> Option<f64> {
        let value = outcome.field(&self.figure)?;
        let breaks = if self.above {
            value > self.bound
        } else {
            value < self.bound
        };
        breaks.then_some(value)
    }
}

/// A world that breaks it.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    /// The world, as small as it became.
    pub world: World,
    /// The smallest seed at which it does.
    pub seed: u64,
    /// The figure, as it was.
    pub what: String,
    /// Runs that were played.
    pub runs: usize,
}

/// The next smaller worlds, those first that take away most.
fn smaller(world: &World) -> Vec<World> {
    let mut all = Vec::new();
    for at in 0..world.faults.len() {
        let mut one = world.clone();
        one.faults.remove(at);
        all.push(one);
    }
    for at in 0..world.demand.len() {
        let mut one = world.clone();
        one.demand.remove(at);
        all.push(one);
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
    // Half of the backends carry the same load if half is asked for: the load is a part of what they can do.
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
    all.retain(|one| one != world && one.errors().is_empty());
    all
}

/// Requests at proxies so many seeds of a world, from 1, and of each smaller one; `None` where none breaks it. At most `most` runs.
pub fn search(world: &World, target: &Target, seeds: u64, max_runs: usize) -> Option<Found> {
    let mut runs = 0;
    let mut first = |world: &World| {
        (1..=seeds).find_map(|seed| {
            if runs >= max_runs {
                return None;
            }
            runs += 1;
            target
                .seen(&play(world, seed))
                .map(|value| (seed, value, runs))
        })
    };
    let (mut seed, mut value, mut played) = first(world)?;
    let mut at = world.clone();
    while let Some((less, found)) = smaller(&at)
        .into_iter()
        .find_map(|one| first(&one).map(|found| (one, found)))
    {
        at = less;
        (seed, value, played) = found;
    }
    Some(Found {
        world: at,
        seed,
        what: format!("{} {value}", target.figure),
        runs: played,
    })
}

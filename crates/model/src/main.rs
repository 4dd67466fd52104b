//! `maplefall-model`: simulates worlds, sweeps over their fields, searches and compares them.
//!
//! The output does not depend on `--jobs`: lines are printed in the order of the runs. Doc comments
//! of commands and flags are their help texts.

#![forbid(unsafe_code)]

mod plot;

use clap::{Parser, Subcommand};
use maplefall_model::compare::paired;
use maplefall_model::search::{search, Target};
use maplefall_model::{frontier, simulate, Outcome, World};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Maximum number of runs of a sweep.
const MAX_RUNS: usize = 100_000;

#[derive(Parser)]
#[command(
    name = "maplefall-model",
    version,
    about = "A discrete-event simulation of a fleet of gateways, with the real decision module in each"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulates a world; prints a line of JSON for each seed
    Run {
        /// The world, a TOML file
        world: PathBuf,
        /// The first seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of seeds
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Number of runs in parallel; does not change the output
        #[arg(long, default_value_t = 1)]
        jobs: usize,
    },
    /// Simulates a world for each value of its fields; prints a line of JSON for each run
    Sweep {
        /// The world, a TOML file
        world: PathBuf,
        /// A field and its values, as doors=4,30,300; several make a grid
        #[arg(long, required = true)]
        over: Vec<String>,
        /// Number of seeds
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// Number of runs in parallel; does not change the output
        #[arg(long, default_value_t = 1)]
        jobs: usize,
    },
    /// Plots results as an SVG: the mean of a figure over a field, with every run as a point
    Plot {
        /// Lines of JSON, as printed by run and sweep
        results: PathBuf,
        /// The field of the x axis; `second` plots the value served in each second instead
        #[arg(long)]
        x: String,
        /// The figure of the y axis
        #[arg(long, default_value = "worth")]
        y: String,
        /// Results that differ in this field are plotted as separate series
        #[arg(long)]
        by: Option<String>,
        /// The SVG file to write
        #[arg(long)]
        out: PathBuf,
    },
    /// Simulates a world over numbers of doors and unevenness under each policy, beside the bound
    /// on all rules without communication; prints a table
    Frontier {
        /// The world, a TOML file: one plan, groups of demand with a single demand each, no meter
        world: PathBuf,
        /// Numbers of doors
        #[arg(
            long = "doors",
            value_name = "DOORS",
            value_delimiter = ',',
            default_value = "1,4,10,30,100,300"
        )]
        proxies: Vec<usize>,
        /// Shares of a customer's requests that come through its busiest door
        #[arg(long, value_delimiter = ',', default_value = "0,0.3,0.6")]
        uneven: Vec<f64>,
        /// Cost of a unit over a quota relative to the value of one within it
        #[arg(long, default_value_t = 0.8)]
        cost: f64,
        /// Number of seeds
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// Number of runs in parallel; does not change the output
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// Prints lines of JSON instead of the table, for plot: --x over --y worth --by who
        #[arg(long)]
        json: bool,
    },
    /// Searches for the smallest seed at which a figure breaks a bound, then shrinks the world
    /// while it still does
    Search {
        /// The world, a TOML file
        world: PathBuf,
        /// The condition to search for, as over_ceiling>0 or worth<0.6
        #[arg(long)]
        breaks: String,
        /// Number of seeds tried of the world, and of each smaller one
        #[arg(long, default_value_t = 50)]
        seeds: u64,
        /// Maximum number of runs
        #[arg(long, default_value_t = 2000)]
        runs: usize,
    },
    /// Prints the client requests that a world draws, a line of JSON each
    Load {
        /// The world, a TOML file
        world: PathBuf,
        /// The seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Simulates two worlds with the same seeds and reports whether a figure differs
    Compare {
        /// The first world
        first: PathBuf,
        /// The second world
        second: PathBuf,
        /// The figure, by its name in the output of run
        #[arg(long, default_value = "worth")]
        figure: String,
        /// Number of seeds
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Number of runs in parallel; does not change the output
        #[arg(long, default_value_t = 1)]
        jobs: usize,
    },
}

fn main() -> ExitCode {
    match execute(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(lines) => {
            for line in lines {
                eprintln!("maplefall-model: {line}");
            }
            ExitCode::from(2)
        }
    }
}

/// Executes a command; the error holds lines for stderr.
fn execute(command: Command) -> Result<(), Vec<String>> {
    match command {
        Command::Run {
            world,
            seed,
            seeds,
            jobs,
        } => {
            let world = read_world(&world)?;
            let runs = (seed..seed.saturating_add(seeds))
                .map(|seed| (world.clone(), seed))
                .collect();
            print_runs(runs, jobs, |_, outcome| {
                serde_json::to_string(outcome).unwrap_or_default()
            })
        }
        Command::Sweep {
            world,
            over,
            seeds,
            jobs,
        } => sweep(&world, &over, seeds, jobs),
        Command::Plot {
            results,
            x,
            y,
            by,
            out,
        } => {
            let with_path = |error: std::io::Error| vec![format!("{}: {error}", results.display())];
            let text = std::fs::read_to_string(&results).map_err(with_path)?;
            plot::draw(&text, &x, &y, by.as_deref(), &out).map_err(|error| vec![error])
        }
        Command::Frontier {
            world,
            proxies,
            uneven,
            cost,
            seeds,
            jobs,
            json,
        } => print_frontier(
            &world,
            &Grid { proxies, uneven },
            cost,
            seeds.max(1),
            jobs,
            json,
        ),
        Command::Search {
            world,
            breaks,
            seeds,
            runs,
        } => search_world(&world, &breaks, seeds, runs),
        Command::Load { world, seed } => print_load(&world, seed),
        Command::Compare {
            first,
            second,
            figure,
            seeds,
            jobs,
        } => compare([&first, &second], &figure, seeds, jobs),
    }
}

/// Prints the frontier of a world over a grid beside the bound, as a table or as lines of JSON.
fn print_frontier(
    path: &Path,
    grid: &Grid,
    cost: f64,
    seeds: u64,
    jobs: usize,
    json: bool,
) -> Result<(), Vec<String>> {
    let base = read_world(path)?;
    let with_path = |line: String| vec![format!("{}: {line}", path.display())];
    let grid_points = grid.points();
    let mut bounds = Vec::new();
    let mut runs = Vec::new();
    for (proxies, uneven) in &grid_points {
        let grid_world = World {
            proxies: *proxies,
            uneven: *uneven,
            ..base.clone()
        };
        let found = grid_world.errors();
        if !found.is_empty() {
            return Err(found.into_iter().flat_map(with_path).collect());
        }
        bounds.push(frontier::bound_of(&grid_world, cost).map_err(with_path)?);
        for variant in frontier::worlds(&base, *proxies, *uneven) {
            runs.extend((1..=seeds).map(|seed| (variant.clone(), seed)));
        }
    }
    let outcomes = run_all(&runs, jobs);
    let mut groups = outcomes.chunks(seeds as usize);
    if !json {
        println!("doors uneven | bound | module (worth, beyond) of bound | even | whole | oracle");
    }
    for bound in bounds {
        let points = frontier::points(&bound, cost, &mut groups);
        if json {
            for point in std::iter::once(&bound).chain(&points) {
                println!("{}", serde_json::to_string(point).unwrap_or_default());
            }
            continue;
        }
        print_frontier_row(&bound, &points);
    }
    Ok(())
}

/// Searches for the smallest seed and world that break a bound, and prints the world.
fn search_world(path: &Path, breaks: &str, seeds: u64, runs: usize) -> Result<(), Vec<String>> {
    let base = read_world(path)?;
    let target = Target::parse(breaks).map_err(|line| vec![format!("--breaks: {line}")])?;
    match search(&base, &target, seeds, runs) {
        Some(found) => {
            eprintln!(
                "{} at seed {} after {} runs",
                found.figure, found.seed, found.runs
            );
            print!(
                "{}",
                toml::to_string(&found.world).map_err(|error| vec![error.to_string()])?
            );
        }
        None => println!("not seen in {seeds} seeds"),
    }
    Ok(())
}

/// Prints the client requests of a world, a line of JSON each.
fn print_load(path: &Path, seed: u64) -> Result<(), Vec<String>> {
    for request in maplefall_model::run::load(&read_world(path)?, seed) {
        let line = serde_json::to_string(&request).unwrap_or_default();
        // A reader that closed the pipe needs no more lines.
        if writeln!(std::io::stdout(), "{line}").is_err() {
            break;
        }
    }
    Ok(())
}

/// Compares a figure of two worlds over the same seeds.
fn compare(paths: [&Path; 2], figure: &str, seeds: u64, jobs: usize) -> Result<(), Vec<String>> {
    let worlds = [read_world(paths[0])?, read_world(paths[1])?];
    let runs = worlds
        .iter()
        .flat_map(|world| (1..=seeds).map(move |seed| (world.clone(), seed)))
        .collect::<Vec<_>>();
    let outcomes = run_all(&runs, jobs);
    let figures: Option<Vec<f64>> = outcomes
        .iter()
        .map(|outcome| outcome.field(figure))
        .collect();
    let figures = figures.ok_or(vec![format!("--figure: {figure} is not a figure of a run")])?;
    let (first, second) = figures.split_at(seeds as usize);
    let found = paired(first, second, 1).ok_or(vec!["--seeds: expected at least 1".to_owned()])?;
    let prefix = if found.is_significant() {
        ""
    } else {
        "no difference seen: "
    };
    println!(
        "{prefix}{figure}: {:+.4} ({:+.4} to {:+.4}, 95 of 100) over {} pairs",
        found.mean, found.from, found.to, found.pairs
    );
    Ok(())
}

/// Prints a row of the frontier's table: the bound, the module with its fraction of the bound, and
/// the other policies.
fn print_frontier_row(bound: &frontier::Point, points: &[frontier::Point]) {
    let cells: Vec<String> = points
        .iter()
        .map(|point| {
            format!(
                "{:.3} ({:.3}, {:.3})",
                point.value, point.served_value, point.over_quota_value
            )
        })
        .collect();
    let fraction = points
        .first()
        .map_or(0.0, |module| module.value / bound.value);
    println!(
        "{} {} | {:.3} ({:.3}, {:.3}) | {} {:.3} | {}",
        bound.proxies,
        bound.uneven,
        bound.value,
        bound.served_value,
        bound.over_quota_value,
        cells[0],
        fraction,
        cells[1..].join(" | ")
    );
}

/// The grid of a frontier: numbers of proxies by unevenness.
struct Grid {
    proxies: Vec<usize>,
    uneven: Vec<f64>,
}

impl Grid {
    fn points(&self) -> Vec<(usize, f64)> {
        self.proxies
            .iter()
            .flat_map(|proxies| self.uneven.iter().map(move |uneven| (*proxies, *uneven)))
            .collect()
    }
}

/// Reads a world file; each error names the file.
fn read_world(path: &Path) -> Result<World, Vec<String>> {
    let with_path = |line: String| format!("{}: {line}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| vec![with_path(error.to_string())])?;
    World::read(&text).map_err(|found| found.into_iter().map(with_path).collect())
}

/// Simulates a world over a grid of values of its fields.
fn sweep(path: &Path, over: &[String], seeds: u64, jobs: usize) -> Result<(), Vec<String>> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| vec![format!("{}: {error}", path.display())])?;
    let mut grid: Vec<Vec<(String, toml::Value)>> = vec![Vec::new()];
    for axis in over {
        let (field, values) = axis.split_once('=').ok_or(vec![format!(
            "--over: expected field=value,..., got {axis}"
        )])?;
        let mut next = Vec::new();
        for value in values.split(',') {
            let parsed: toml::Table = toml::from_str(&format!("x = {value}"))
                .or_else(|_| toml::from_str(&format!("x = \"{value}\"")))
                .map_err(|_| vec![format!("--over {field}: cannot parse {value}")])?;
            for point in &grid {
                let mut point = point.clone();
                point.push((field.to_owned(), parsed["x"].clone()));
                next.push(point);
            }
        }
        grid = next;
        if grid.len() as u64 * seeds > MAX_RUNS as u64 {
            return Err(vec![format!(
                "--over: the grid has more than {MAX_RUNS} runs"
            )]);
        }
    }
    let mut runs = Vec::new();
    let mut points = Vec::new();
    for point in grid {
        let mut table: toml::Table =
            toml::from_str(&text).map_err(|error| vec![format!("{}: {error}", path.display())])?;
        table.extend(point.iter().cloned());
        let world = World::read(&table.to_string()).map_err(|found| {
            found
                .into_iter()
                .map(|line| format!("{} with {point:?}: {line}", path.display()))
                .collect::<Vec<_>>()
        })?;
        for seed in 1..=seeds {
            runs.push((world.clone(), seed));
            points.push(
                point
                    .iter()
                    .map(|(field, value)| (field.clone(), value.to_string()))
                    .collect::<Vec<_>>(),
            );
        }
    }
    print_runs(runs, jobs, move |at, outcome| {
        let mut record = serde_json::Map::new();
        for (field, value) in &points[at] {
            record.insert(
                field.clone(),
                serde_json::Value::String(value.trim_matches('"').to_owned()),
            );
        }
        let outcome_fields = serde_json::to_value(outcome).unwrap_or_default();
        for (name, value) in outcome_fields.as_object().into_iter().flatten() {
            record.entry(name.clone()).or_insert(value.clone());
        }
        serde_json::Value::Object(record).to_string()
    })
}

/// Simulates all runs and prints a line for each as soon as all earlier ones are printed, so that
/// an interrupted command has printed the runs that were done.
fn print_runs(
    runs: Vec<(World, u64)>,
    jobs: usize,
    format_line: impl Fn(usize, &Outcome) -> String + Sync,
) -> Result<(), Vec<String>> {
    let printed = Mutex::new((0usize, std::collections::BTreeMap::new()));
    run_in_parallel(&runs, jobs, |at, outcome| {
        let text = format_line(at, &outcome);
        let mut printed = printed
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        printed.1.insert(at, text);
        loop {
            let next = printed.0;
            let Some(text) = printed.1.remove(&next) else {
                break;
            };
            // A reader that closed the pipe needs no more lines.
            let _ = writeln!(std::io::stdout(), "{text}");
            printed.0 += 1;
        }
    });
    Ok(())
}

/// Simulates all runs and returns their outcomes in order.
fn run_all(runs: &[(World, u64)], jobs: usize) -> Vec<Outcome> {
    let outcomes = Mutex::new(vec![Outcome::default(); runs.len()]);
    run_in_parallel(runs, jobs, |at, outcome| {
        outcomes
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)[at] = outcome;
    });
    outcomes
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Simulates all runs on `jobs` threads; each run stays on one thread.
fn run_in_parallel(runs: &[(World, u64)], jobs: usize, done: impl Fn(usize, Outcome) + Sync) {
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, 64).min(runs.len()) {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let Some((world, seed)) = runs.get(at) else {
                    return;
                };
                done(at, simulate(world, *seed));
            });
        }
    });
}

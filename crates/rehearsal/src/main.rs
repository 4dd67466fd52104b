//! `maplefall-rehearse`: runs the built gateway program under failures on one machine and reports
//! whether every rule held.

mod capacity;
mod daemon;
mod drains;
mod etcd_cluster;
mod find;
mod header_text;
mod html;
mod library;
mod members;
mod prove;
mod reading;
mod report;
mod runner;
mod scenario;
mod script;
mod settings;

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use maplefall_event_trace::Trace;
use maplefall_invariants::{Evaluation, Verdict};
use prove::{BreakageTest, BREAKAGE_TESTS};
use runner::Run;
use scenario::Scenario;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Tests maplefall gateways on one machine: backends, the discovery agent and clients are test
/// servers on loopback sockets, gateways are real processes of the built program, failures come
/// from a script, and each rule is evaluated on one record of all observations.
///
/// Exit code: 0 all rules held, 1 a rule was broken or too little value was served, 2 the scenario
/// could not be run (or the run is void, because the test servers themselves were late or a rule
/// that the scenario is for was never exercised).
#[derive(Parser)]
#[command(name = "maplefall-rehearse", version, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Lists the built-in scenarios and the events that a scenario file may name.
    List,
    /// Runs one scenario and evaluates it.
    Run {
        /// A built-in scenario by its name, or a scenario file by its path (ending in .toml).
        scenario: String,
        #[command(flatten)]
        options: Options,
        /// The seed from which times, sizes and targets are drawn; the same seed gives the same
        /// script.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Writes the evaluation as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Writes the record, which can be evaluated again later.
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
        /// Writes the report as an HTML page with a timeline.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// Enables a breakage in a program built with the feature `breakages` (see prove).
        #[arg(long, value_name = "NAME")]
        breakage: Option<String>,
    },
    /// Runs all built-in scenarios.
    All {
        #[command(flatten)]
        options: Options,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of seeds for each scenario.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Runs only these scenarios.
        #[arg(long, value_name = "NAME", value_delimiter = ',')]
        only: Vec<String>,
        /// Number of concurrent runs; each needs a core for the test servers and a part of one for
        /// each gateway.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
    },
    /// Runs deliberately broken programs and checks that the right rule detects each breakage and
    /// that the intact program passes.
    Prove {
        #[command(flatten)]
        options: Options,
        /// A program built with the feature `breakages`; by default one is built from this
        /// workspace.
        #[arg(long, value_name = "PATH")]
        broken: Option<PathBuf>,
        /// Runs only these breakages.
        #[arg(long, value_name = "NAME", value_delimiter = ',')]
        only: Vec<String>,
        /// The seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of concurrent runs.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
    },
    /// Measures how many requests a second the test servers sustain without a gateway.
    Carry {
        /// Duration of each rate.
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
    },
    /// Measures how long drains take from their commit, and from the gateway's learning of them, to
    /// the last new request.
    Drains {
        /// Scenarios to run, each a row of the table.
        #[arg(value_name = "SCENARIO", default_values = ["drains-etcd", "drains-etcd-cut", "drains-agent"])]
        scenarios: Vec<String>,
        #[command(flatten)]
        options: Options,
        /// The seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measures what a large list from a fake etcd or agent costs one gateway: memory, and CPU time
    /// for each change.
    Members {
        /// Source of the list.
        #[arg(long, value_enum, default_value = "etcd")]
        teller: members::Teller,
        /// Number of gateways in the settings.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=100_000))]
        doors: u32,
        /// Number of backends in the list.
        #[arg(long, default_value_t = 5000, value_parser = clap::value_parser!(u32).range(1..=i64::from(members::MAX_BACKENDS)))]
        nodes: u32,
        /// Changes of their state a second.
        #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u32).range(0..=i64::from(members::MAX_BACKENDS)))]
        rate: u32,
        /// Duration in seconds.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(1..=300))]
        seconds: u32,
        #[command(flatten)]
        options: Options,
    },
    /// Serves a fake etcd for any etcd client; ends when standard input ends.
    Etcd {
        /// Listening address.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: std::net::SocketAddr,
        /// The only user that may call, as NAME:PASSWORD; without it no authentication is required.
        #[arg(long, value_name = "NAME:PASSWORD")]
        user: Option<String>,
        /// Interval of progress notifications of a watch that requests them, in milliseconds.
        #[arg(long, value_name = "MS")]
        notices: Option<u64>,
    },
    /// Evaluates a record that an earlier run wrote.
    Judge {
        /// The record.
        record: PathBuf,
        /// Writes the evaluation as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Writes the report as an HTML page with a timeline.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
    },
    /// Prints the script of a scenario and a seed without running it.
    Script {
        /// A built-in scenario by its name, or a scenario file by its path.
        scenario: String,
        /// The seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// Options common to all runs.
#[derive(clap::Args)]
struct Options {
    /// The gateway program to run; by default the one of this workspace, or the one beside this
    /// program.
    #[arg(long, value_name = "PATH")]
    daemon: Option<PathBuf>,
    /// Directory for configurations and logs of the gateways.
    #[arg(long, value_name = "FOLDER")]
    folder: Option<PathBuf>,
}

/// Outcome of a command.
enum Outcome {
    Passed,
    Failed,
}

fn main() -> ExitCode {
    let outcome = match Arguments::parse().command {
        Command::List => list(),
        Command::Run {
            scenario,
            options,
            seed,
            json,
            record,
            html,
            breakage,
        } => {
            let files = Files { json, record, html };
            run(&scenario, &options, seed, &files, breakage.as_deref())
        }
        Command::All {
            options,
            seed,
            seeds,
            only,
            jobs,
        } => all(&options, seed, seeds, &only, jobs),
        Command::Prove {
            options,
            broken,
            only,
            seed,
            jobs,
        } => prove(&options, broken.as_deref(), &only, seed, jobs),
        Command::Members {
            teller,
            doors,
            nodes,
            rate,
            seconds,
            options,
        } => measure_members(
            members::Load {
                source: teller,
                gateways: doors,
                backends: nodes,
                rate,
                seconds,
            },
            &options,
        ),
        Command::Etcd {
            listen,
            user,
            notices,
        } => serve_etcd(listen, user.as_deref(), notices),
        Command::Drains {
            scenarios,
            options,
            seed,
        } => measure_drains(&scenarios, &options, seed),
        Command::Carry { seconds } => measure_capacity(seconds),
        Command::Judge { record, json, html } => evaluate_record(
            &record,
            &Files {
                json,
                record: None,
                html,
            },
        ),
        Command::Script { scenario, seed } => {
            library::find(&scenario)
                .map_err(to_message)
                .map(|scenario| {
                    print!("{}", script::draw(&scenario, seed).to_text());
                    Outcome::Passed
                })
        }
    };
    match outcome {
        Ok(Outcome::Passed) => ExitCode::SUCCESS,
        Ok(Outcome::Failed) => ExitCode::from(1),
        Err(error) => {
            eprintln!("maplefall-rehearse: {error}");
            ExitCode::from(2)
        }
    }
}

fn to_message(error: impl std::fmt::Display) -> String {
    error.to_string()
}

fn list() -> Result<Outcome, String> {
    println!("Scenarios:");
    for (name, _) in library::SHIPPED {
        let scenario = library::find(name).map_err(to_message)?;
        println!("  {name:<12} {:>3} s  {}", scenario.seconds, scenario.title);
    }
    println!("\nEvents that a scenario file may name ([[event]] with what, at_ms and these):");
    for (name, text) in scenario::EVENTS {
        println!("  {name:<14} {text}");
    }
    Ok(Outcome::Passed)
}

/// Returns a separate directory for a run.
fn run_directory(options: &Options, name: &str, seed: u64) -> PathBuf {
    let name = format!("{name}-{seed}-{}", std::process::id());
    match &options.folder {
        Some(directory) => directory.join(name),
        None => std::env::temp_dir().join("maplefall-rehearse").join(name),
    }
}

/// Runs a scenario with a progress bar on a terminal.
fn run_with_progress(
    scenario: &Scenario,
    seed: u64,
    daemon: &Path,
    breakage: Option<&str>,
    directory: PathBuf,
) -> Result<Trace, String> {
    let script = script::draw(scenario, seed);
    let bar = ProgressBar::new((script.length + runner::AFTER_LAST_REQUEST_MS) as u64);
    let style = ProgressStyle::with_template("{prefix} {wide_bar} {elapsed}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_prefix(scenario.name.clone());
    bar.enable_steady_tick(Duration::from_millis(250));
    let progress = |at: f64| bar.set_position(at as u64);
    let run = Run {
        scenario,
        script: &script,
        daemon,
        breakage,
        directory,
        progress: &progress,
    };
    let record = run.run().map_err(to_message);
    bar.finish_and_clear();
    record
}

fn write_file(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

/// Returns a message if less value was served than the scenario requires.
fn below_min_value(evaluation: &Evaluation, scenario: &Scenario) -> Option<String> {
    let (served, min) = (evaluation.metrics.value_share, scenario.min_value_share);
    (served < min)
        .then(|| format!("value share {served:.3} was served, at least {min} is required"))
}

/// Returns the outcome of a run from its evaluation.
fn verdict(evaluation: &Evaluation, scenario: &Scenario) -> Result<Outcome, String> {
    if evaluation.has_violations() {
        return Ok(Outcome::Failed);
    }
    if let Some(reason) = &evaluation.invalid_reason {
        return Err(format!("the run is void: {reason}"));
    }
    if let Some(text) = below_min_value(evaluation, scenario) {
        println!("  {}: {text}", scenario.name);
        return Ok(Outcome::Failed);
    }
    match evaluation.not_exercised(&scenario.strains)[..] {
        [] => Ok(Outcome::Passed),
        ref rules => Err(format!(
            "the run did not exercise the rules that the scenario is for: {rules:?}"
        )),
    }
}

fn run(
    name: &str,
    options: &Options,
    seed: u64,
    files: &Files,
    breakage: Option<&str>,
) -> Result<Outcome, String> {
    let scenario = library::find(name).map_err(to_message)?;
    let daemon = find::daemon(options.daemon.as_deref()).map_err(to_message)?;
    let directory = run_directory(options, &scenario.name, seed);
    let record = run_with_progress(&scenario, seed, &daemon, breakage, directory.clone())?;
    let evaluation = maplefall_invariants::evaluate(&record);
    write_results(&record, &evaluation, files)?;
    println!("  gateway logs: {}", directory.display());
    verdict(&evaluation, &scenario)
}

/// Measures and prints the cost of a large list.
fn measure_members(load: members::Load, options: &Options) -> Result<Outcome, String> {
    let daemon = find::daemon(options.daemon.as_deref()).map_err(to_message)?;
    let cost =
        members::run(&daemon, &run_directory(options, "members", 1), load).map_err(to_message)?;
    let members::Cost {
        ready_ms,
        ready_cpu_ms,
        ready_kib,
        cpu_ms,
        changes,
        end_kib,
    } = cost;
    println!(
        "{} backends: ready after {ready_ms:.0} ms, {ready_cpu_ms:.0} ms of CPU, {ready_kib} KiB",
        load.backends
    );
    println!(
        "{changes} changes in {} s: {cpu_ms:.0} ms of CPU, {:.0} us a change, {end_kib} KiB at most",
        load.seconds,
        cpu_ms * 1000.0 / changes.max(1) as f64
    );
    Ok(Outcome::Passed)
}

/// Serves a fake etcd until standard input ends.
fn serve_etcd(
    listen: std::net::SocketAddr,
    user: Option<&str>,
    notices: Option<u64>,
) -> Result<Outcome, String> {
    use maplefall_test_servers::etcd::{store::Store, Etcd};
    if !listen.ip().is_loopback() {
        return Err(format!(
            "{listen}: a loopback address was expected; the fake etcd is not secure"
        ));
    }
    let listener = std::net::TcpListener::bind(listen).map_err(to_message)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(to_message)?;
    runtime.block_on(async move {
        let etcd = Etcd::new(Store::new(1), |_| {});
        if let Some(user) = user {
            let (name, password) = user
                .split_once(':')
                .ok_or("--user: NAME:PASSWORD was expected")?;
            etcd.only(name, password);
        }
        let member = etcd.member(1, listener).map_err(to_message)?;
        if let Some(every) = notices {
            member.set_progress_interval(Duration::from_millis(every.max(1)));
        }
        println!("http://{}", member.address);
        let (input_ended, end) = tokio::sync::oneshot::channel();
        std::thread::spawn(move || {
            // The input is discarded; an error ends it like its end.
            let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
            let _ = input_ended.send(());
        });
        let _ = end.await;
        Ok(Outcome::Passed)
    })
}

/// Runs each scenario once and prints how long its drains took.
fn measure_drains(names: &[String], options: &Options, seed: u64) -> Result<Outcome, String> {
    let daemon = find::daemon(options.daemon.as_deref()).map_err(to_message)?;
    println!("{}", drains::HEAD);
    let mut broken = false;
    for name in names {
        let scenario = library::find(name).map_err(to_message)?;
        let record = run_with_progress(
            &scenario,
            seed,
            &daemon,
            None,
            run_directory(options, name, seed),
        )?;
        let evaluation = maplefall_invariants::evaluate(&record);
        println!(
            "{}",
            drains::row(
                name,
                &maplefall_invariants::drain_times::drain_times(&record)
            )
        );
        let times = &evaluation.metrics.latency;
        println!(
            "{:18}responses p50 {:.0} p99 {:.0} ms; test servers late by {:.1} ms at p99; rules 1-6 {}",
            "",
            times.p50_ms,
            times.p99_ms,
            evaluation.metrics.lateness_p99_ms,
            verdict_letters(&evaluation)
        );
        broken |= evaluation.has_violations();
        if let Some(reason) = evaluation.invalid_reason {
            return Err(format!("the run is void: {reason}"));
        }
    }
    Ok(if broken {
        Outcome::Failed
    } else {
        Outcome::Passed
    })
}

/// Applies `work` to each item, `jobs` at a time, and returns the results in order.
fn run_parallel<T: Sync, R: Send>(
    jobs: usize,
    items: &[T],
    work: impl Fn(&T) -> R + Sync,
) -> Vec<R> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let worker = || {
        let mut done = Vec::new();
        loop {
            let index = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            match items.get(index) {
                Some(item) => done.push((index, work(item))),
                None => return done,
            }
        }
    };
    let mut done: Vec<(usize, R)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..jobs.max(1)).map(|_| scope.spawn(worker)).collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap_or_default())
            .collect()
    });
    done.sort_by_key(|(index, _)| *index);
    done.into_iter().map(|(_, result)| result).collect()
}

/// Returns one letter for each rule: kept, broken or not exercised.
fn verdict_letters(evaluation: &Evaluation) -> String {
    let letter = |result: &maplefall_invariants::RuleResult| match result.verdict {
        Verdict::Satisfied => 'k',
        Verdict::Violated => 'B',
        Verdict::NotExercised => '-',
    };
    evaluation.rules.iter().map(letter).collect()
}

fn all(
    options: &Options,
    seed: u64,
    seeds: u64,
    only: &[String],
    jobs: usize,
) -> Result<Outcome, String> {
    let daemon = find::daemon(options.daemon.as_deref()).map_err(to_message)?;
    if let Some(name) = only
        .iter()
        .find(|name| !library::SHIPPED.iter().any(|(known, _)| known == name))
    {
        return Err(library::find(name)
            .map_err(to_message)
            .map_or_else(|error| error, |_| name.clone()));
    }
    let names = library::SHIPPED.iter().map(|(name, _)| *name);
    let wanted = names.filter(|name| only.is_empty() || only.iter().any(|only| only == name));
    let runs: Vec<(&str, u64)> = wanted
        .flat_map(|name| (seed..seed.saturating_add(seeds)).map(move |seed| (name, seed)))
        .collect();
    println!(
        "{:<12} {:>5} rules 1-6  value  p99 ms  late p99  wall s",
        "scenario", "seed"
    );
    let outcomes = run_parallel(jobs, &runs, |(name, seed)| {
        let started = Instant::now();
        let result = library::find(name)
            .map_err(to_message)
            .and_then(|scenario| {
                let directory = run_directory(options, name, *seed);
                let record = run_with_progress(&scenario, *seed, &daemon, None, directory)?;
                let evaluation = maplefall_invariants::evaluate(&record);
                let outcome = verdict(&evaluation, &scenario);
                Ok((evaluation, outcome))
            });
        let wall = started.elapsed().as_secs_f64();
        match result {
            Ok((evaluation, outcome)) => {
                let metrics = &evaluation.metrics;
                let error_text = outcome
                    .as_ref()
                    .err()
                    .map(|error| format!("  {error}"))
                    .unwrap_or_default();
                println!(
                    "{name:<12} {seed:>5} {:<10} {:>5.3} {:>7.0} {:>9.2} {wall:>7.1}{error_text}",
                    verdict_letters(&evaluation),
                    metrics.value_share,
                    metrics.latency.p99_ms,
                    metrics.lateness_p99_ms,
                );
                for result in evaluation
                    .rules
                    .iter()
                    .filter(|result| result.verdict == Verdict::Violated)
                {
                    for violation in result.violations.iter().take(2) {
                        println!(
                            "    rule {}: {:.1} ms {}",
                            result.rule, violation.at, violation.description
                        );
                    }
                }
                outcome
            }
            Err(error) => {
                println!("{name:<12} {seed:>5} not run: {error}");
                Err(error)
            }
        }
    });
    let broken = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, Ok(Outcome::Failed)))
        .count();
    let other = outcomes.iter().filter(|outcome| outcome.is_err()).count();
    let passed = outcomes.len() - broken - other;
    println!("{passed} held, {broken} broke a rule, {other} void or not run");
    match (broken, other) {
        (0, 0) => Ok(Outcome::Passed),
        (0, other) => Err(format!(
            "{other} of {} runs were void or not run",
            outcomes.len()
        )),
        _ => Ok(Outcome::Failed),
    }
}

fn prove(
    options: &Options,
    broken: Option<&Path>,
    only: &[String],
    seed: u64,
    jobs: usize,
) -> Result<Outcome, String> {
    let intact = find::daemon(options.daemon.as_deref()).map_err(to_message)?;
    let broken = find::broken_daemon(broken).map_err(to_message)?;
    let wanted =
        |test: &&BreakageTest| only.is_empty() || only.iter().any(|name| name == test.breakage);
    let tests: Vec<BreakageTest> = BREAKAGE_TESTS.iter().filter(wanted).copied().collect();
    if let Some(name) = only
        .iter()
        .find(|name| !BREAKAGE_TESTS.iter().any(|test| test.breakage == **name))
    {
        let known: Vec<&str> = BREAKAGE_TESTS.iter().map(|test| test.breakage).collect();
        return Err(format!(
            "no breakage has the name {name:?}; known names: {}",
            known.join(", ")
        ));
    }
    let mut scenarios: Vec<&str> = tests.iter().map(|test| test.scenario).collect();
    scenarios.sort_unstable();
    scenarios.dedup();
    // The intact program in each scenario, then each breakage.
    let mut runs: Vec<(&str, Option<BreakageTest>)> =
        scenarios.iter().map(|name| (*name, None)).collect();
    runs.extend(tests.iter().map(|test| (test.scenario, Some(*test))));
    println!(
        "{:<18} {:<11} rules 1-6  by rule  found",
        "breakage", "scenario"
    );
    let outcomes = run_parallel(jobs, &runs, |(name, test)| {
        let scenario = library::find(name).map_err(to_message)?;
        let breakage = test.map(|test| test.breakage);
        let daemon = if breakage.is_some() { &broken } else { &intact };
        let directory = run_directory(
            options,
            &format!("{name}-{}", breakage.unwrap_or("whole")),
            seed,
        );
        let evaluation = maplefall_invariants::evaluate(&run_with_progress(
            &scenario, seed, daemon, breakage, directory,
        )?);
        let violated: Vec<u32> = evaluation
            .rules
            .iter()
            .filter(|result| result.verdict == Verdict::Violated)
            .map(|result| result.rule)
            .collect();
        let below_min = below_min_value(&evaluation, &scenario);
        let is_correct = evaluation.invalid_reason.is_none()
            && match test {
                Some(test) if test.rule == prove::MIN_VALUE_SHARE => below_min.is_some(),
                Some(test) => violated.contains(&test.rule),
                None => violated.is_empty() && below_min.is_none(),
            };
        let rule_name = test.map_or("none".to_owned(), |test| match test.rule {
            prove::MIN_VALUE_SHARE => "value".to_owned(),
            rule => rule.to_string(),
        });
        let first = test.and_then(|test| {
            evaluation
                .rules
                .iter()
                .find(|result| result.rule == test.rule)
        });
        let first = first.and_then(|result| {
            result
                .violations
                .first()
                .map(|violation| violation.description.clone())
        });
        let first = first.or(below_min);
        println!(
            "{:<18} {name:<11} {:<10} {rule_name:<8} {}  {}{}",
            breakage.unwrap_or("(intact)"),
            verdict_letters(&evaluation),
            if is_correct { "yes" } else { "NO" },
            first.unwrap_or_default(),
            evaluation
                .invalid_reason
                .as_ref()
                .map(|reason| format!("  VOID: {reason}"))
                .unwrap_or_default(),
        );
        if test.is_none() {
            for violation in evaluation
                .rules
                .iter()
                .flat_map(|result| &result.violations)
                .take(3)
            {
                println!(
                    "    {:.1} ms {} {}",
                    violation.at, violation.request, violation.description
                );
            }
        }
        match &evaluation.invalid_reason {
            Some(reason) => Err(format!("{name} is void: {reason}")),
            None => Ok(is_correct),
        }
    });
    if let Some(error) = outcomes.iter().find_map(|outcome| outcome.as_ref().err()) {
        return Err(error.clone());
    }
    let bad = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, Ok(false)))
        .count();
    println!(
        "{} of {} as they should be",
        outcomes.len() - bad,
        outcomes.len()
    );
    Ok(if bad == 0 {
        Outcome::Passed
    } else {
        Outcome::Failed
    })
}

/// Files to which the results of a run are written.
struct Files {
    json: Option<PathBuf>,
    record: Option<PathBuf>,
    html: Option<PathBuf>,
}

fn write_results(record: &Trace, evaluation: &Evaluation, files: &Files) -> Result<(), String> {
    print!("{}", report::text(evaluation));
    if let Some(path) = &files.json {
        write_file(
            path,
            &serde_json::to_string_pretty(evaluation).map_err(to_message)?,
        )?;
    }
    if let Some(path) = &files.record {
        write_file(path, &record.to_text().map_err(to_message)?)?;
    }
    if let Some(path) = &files.html {
        write_file(path, &html::page(record, evaluation))?;
    }
    Ok(())
}

fn measure_capacity(seconds: f64) -> Result<Outcome, String> {
    println!(
        "{:>6} {:>8} {:>8} {:>12} {:>12}",
        "a sec.", "due", "served", "late p99 ms", "late max ms"
    );
    for rate in [
        500.0, 1000.0, 2000.0, 4000.0, 6000.0, 8000.0, 12_000.0, 16_000.0, 24_000.0,
    ] {
        let result = capacity::measure(rate, seconds.clamp(0.5, 60.0)).map_err(to_message)?;
        println!(
            "{:>6.0} {:>8} {:>8} {:>12.2} {:>12.1}",
            result.rate, result.due, result.served, result.p99_ms, result.max_ms
        );
        if !result.is_sustained() {
            println!(
                "sustained up to the previous rate, with a lateness of at most {} ms at p99",
                capacity::MAX_LATENESS_MS
            );
            break;
        }
    }
    Ok(Outcome::Passed)
}

fn evaluate_record(path: &Path, files: &Files) -> Result<Outcome, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let record = Trace::from_text(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    let evaluation = maplefall_invariants::evaluate(&record);
    write_results(&record, &evaluation, files)?;
    match &evaluation.invalid_reason {
        _ if evaluation.has_violations() => Ok(Outcome::Failed),
        Some(reason) => Err(format!("the run is void: {reason}")),
        None => Ok(Outcome::Passed),
    }
}

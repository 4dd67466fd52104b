//! `maplefall-rehearse`: plays failures to the built daemon on one machine, and tells whether every rule held.

mod carry;
mod daemon;
mod drains;
mod etcd_world;
mod find;
mod header_text;
mod html;
mod library;
mod members;
mod play;
mod prove;
mod reading;
mod report;
mod scenario;
mod script;
mod settings;

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use maplefall_event_trace::Trace;
use maplefall_invariants::{Evaluation, Verdict};
use play::Run;
use prove::{Proof, PROOFS};
use scenario::Scenario;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Rehearses a maplefall front door on one machine: api nodes, the discovery agent and clients are played on loopback
/// sockets, front doors are real processes of the built daemon, failures come by script, and a judge decides rule by
/// rule from one record of all that was seen.
///
/// Exit code: 0 all rules held, 1 a rule was broken or too little was served, 2 it could not be played (or the run is void, because the
/// stand-ins themselves were late, or a rule that the scenario is for was never put to the test).
#[derive(Parser)]
#[command(name = "maplefall-rehearse", version, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Tells which scenarios ship, and which events a scenario file may name.
    List,
    /// Plays one scenario and judges it.
    Run {
        /// A shipped scenario by its name, or a scenario file by its path (ending in .toml).
        scenario: String,
        #[command(flatten)]
        options: Options,
        /// The seed that times, sizes and victims are drawn from; the same seed gives the same script.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Writes the judgement as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Writes the record, which can be judged again later.
        #[arg(long, value_name = "FILE")]
        record: Option<PathBuf>,
        /// Writes the report as one page with a timeline.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// Names a breakage to a daemon that was built with the feature `breakages` (see prove).
        #[arg(long, value_name = "NAME")]
        breakage: Option<String>,
    },
    /// Plays all shipped scenarios, one after the other.
    All {
        #[command(flatten)]
        options: Options,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds of each.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Only these scenarios, by their names.
        #[arg(long, value_name = "NAME", value_delimiter = ',')]
        only: Vec<String>,
        /// Scenarios that play at once; each wants a core for the stand-ins and a part of one for each front door.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
    },
    /// Plays deliberately broken daemons, and tells whether the judge finds each by the right rule and does not call the
    /// whole one broken.
    Prove {
        #[command(flatten)]
        options: Options,
        /// A daemon built with the feature `breakages`; without it one is built from this workspace.
        #[arg(long, value_name = "PATH")]
        broken: Option<PathBuf>,
        /// Only these breakages, by their names.
        #[arg(long, value_name = "NAME", value_delimiter = ',')]
        only: Vec<String>,
        /// The seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Runs that play at once.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
    },
    /// Measures how many requests a second the stand-ins carry by themselves, with no front door between.
    Carry {
        /// How long each rate is played.
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
    },
    /// Measures how long drains take, from their commit and from the front door's learning, to the last new work.
    Drains {
        /// Scenarios to play, each a row of the table.
        #[arg(value_name = "SCENARIO", default_values = ["drains-etcd", "drains-etcd-cut", "drains-agent"])]
        scenarios: Vec<String>,
        #[command(flatten)]
        options: Options,
        /// The seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measures what a large list, told by a played etcd or agent, costs one front door: memory, and processor time for each change.
    Members {
        /// Who tells of the nodes.
        #[arg(long, value_enum, default_value = "etcd")]
        teller: members::Teller,
        /// Front doors that the settings name.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=100_000))]
        doors: u32,
        /// Nodes in the list.
        #[arg(long, default_value_t = 5000, value_parser = clap::value_parser!(u32).range(1..=i64::from(members::MOST)))]
        nodes: u32,
        /// Changes of their state a second.
        #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u32).range(0..=i64::from(members::MOST)))]
        rate: u32,
        /// For how long.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u32).range(1..=300))]
        seconds: u32,
        #[command(flatten)]
        options: Options,
    },
    /// Plays an etcd by itself, for any client of etcd to try; ends when its input does.
    Etcd {
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: std::net::SocketAddr,
        /// The one user that may call, as NAME:PASSWORD; without it everybody may.
        #[arg(long, value_name = "NAME:PASSWORD")]
        user: Option<String>,
        /// How often a watch that asks for it is told that there is nothing new, in milliseconds.
        #[arg(long, value_name = "MS")]
        notices: Option<u64>,
    },
    /// Judges a record that an earlier run wrote.
    Judge {
        /// The record.
        record: PathBuf,
        /// Writes the judgement as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Writes the report as one page with a timeline.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
    },
    /// Prints the script that a scenario and a seed give, without playing it.
    Script {
        /// A shipped scenario by its name, or a scenario file by its path.
        scenario: String,
        /// The seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// What runs have in common.
#[derive(clap::Args)]
struct Options {
    /// The daemon to play; without it the one of this workspace, or the one beside this program.
    #[arg(long, value_name = "PATH")]
    daemon: Option<PathBuf>,
    /// Where configurations and logs of the front doors go.
    #[arg(long, value_name = "FOLDER")]
    folder: Option<PathBuf>,
}

/// How a command ended.
enum Ended {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let ended = match Arguments::parse().command {
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
        } => membered(
            members::Load {
                teller,
                doors,
                nodes,
                rate,
                seconds,
            },
            &options,
        ),
        Command::Etcd {
            listen,
            user,
            notices,
        } => played_etcd(listen, user.as_deref(), notices),
        Command::Drains {
            scenarios,
            options,
            seed,
        } => drained(&scenarios, &options, seed),
        Command::Carry { seconds } => carried(seconds),
        Command::Judge { record, json, html } => judge_again(
            &record,
            &Files {
                json,
                record: None,
                html,
            },
        ),
        Command::Script { scenario, seed } => {
            library::find(&scenario).map_err(plainly).map(|scenario| {
                print!("{}", script::draw(&scenario, seed).to_text());
                Ended::Held
            })
        }
    };
    match ended {
        Ok(Ended::Held) => ExitCode::SUCCESS,
        Ok(Ended::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("maplefall-rehearse: {error}");
            ExitCode::from(2)
        }
    }
}

fn plainly(error: impl std::fmt::Display) -> String {
    error.to_string()
}

fn list() -> Result<Ended, String> {
    println!("Scenarios:");
    for (name, _) in library::SHIPPED {
        let scenario = library::find(name).map_err(plainly)?;
        println!("  {name:<12} {:>3} s  {}", scenario.seconds, scenario.title);
    }
    println!("\nEvents that a scenario file may name ([[event]] with what, at_ms and these):");
    for (name, text) in scenario::EVENTS {
        println!("  {name:<14} {text}");
    }
    Ok(Ended::Held)
}

/// A folder of this run's own.
fn folder(options: &Options, name: &str, seed: u64) -> PathBuf {
    let below = format!("{name}-{seed}-{}", std::process::id());
    match &options.folder {
        Some(folder) => folder.join(below),
        None => std::env::temp_dir().join("maplefall-rehearse").join(below),
    }
}

/// Plays a scenario and shows how far it is, where somebody looks on.
fn play(
    scenario: &Scenario,
    seed: u64,
    daemon: &Path,
    breakage: Option<&str>,
    folder: PathBuf,
) -> Result<Trace, String> {
    let script = script::draw(scenario, seed);
    let bar = ProgressBar::new((script.length + play::AFTER_LAST_REQUEST_MS) as u64);
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
        directory: folder,
        progress: &progress,
    };
    let record = run.run().map_err(plainly);
    bar.finish_and_clear();
    record
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

/// That less was served than the scenario asks for.
fn too_little(judgement: &Evaluation, scenario: &Scenario) -> Option<String> {
    let (served, least) = (judgement.metrics.value_share, scenario.min_value_share);
    (served < least)
        .then(|| format!("worth {served:.3} was served, {least} at least was asked for"))
}

/// What the judgement of a scenario's run comes to.
fn verdict(judgement: &Evaluation, scenario: &Scenario) -> Result<Ended, String> {
    if judgement.has_violations() {
        return Ok(Ended::Broken);
    }
    if let Some(void) = &judgement.invalid_reason {
        return Err(format!("the run is void: {void}"));
    }
    if let Some(text) = too_little(judgement, scenario) {
        println!("  {}: {text}", scenario.name);
        return Ok(Ended::Broken);
    }
    match judgement.not_exercised(&scenario.strains)[..] {
        [] => Ok(Ended::Held),
        ref rules => Err(format!(
            "the run never put to the test what it is for: rules {rules:?}"
        )),
    }
}

fn run(
    name: &str,
    options: &Options,
    seed: u64,
    files: &Files,
    breakage: Option<&str>,
) -> Result<Ended, String> {
    let scenario = library::find(name).map_err(plainly)?;
    let daemon = find::daemon(options.daemon.as_deref()).map_err(plainly)?;
    let folder = folder(options, &scenario.name, seed);
    let record = play(&scenario, seed, &daemon, breakage, folder.clone())?;
    let judgement = maplefall_invariants::evaluate(&record);
    told(&record, &judgement, files)?;
    println!("  logs of the front doors: {}", folder.display());
    verdict(&judgement, &scenario)
}

/// Prints what a large list costs.
fn membered(load: members::Load, options: &Options) -> Result<Ended, String> {
    let daemon = find::daemon(options.daemon.as_deref()).map_err(plainly)?;
    let cost = members::play(&daemon, &folder(options, "members", 1), load).map_err(plainly)?;
    let members::Cost {
        ready_ms,
        ready_cpu_ms,
        ready_kib,
        cpu_ms,
        changes,
        end_kib,
    } = cost;
    println!(
        "{} nodes: ready after {ready_ms:.0} ms, {ready_cpu_ms:.0} ms of CPU, {ready_kib} KiB",
        load.nodes
    );
    println!(
        "{changes} changes in {} s: {cpu_ms:.0} ms of CPU, {:.0} us a change, {end_kib} KiB at most",
        load.seconds,
        cpu_ms * 1000.0 / changes.max(1) as f64
    );
    Ok(Ended::Held)
}

/// Serves a played etcd until the input ends.
fn played_etcd(
    listen: std::net::SocketAddr,
    user: Option<&str>,
    notices: Option<u64>,
) -> Result<Ended, String> {
    use maplefall_test_servers::etcd::{store::Store, Etcd};
    if !listen.ip().is_loopback() {
        return Err(format!(
            "{listen}: a loopback address was expected; what is played here keeps nothing safe"
        ));
    }
    let listener = std::net::TcpListener::bind(listen).map_err(plainly)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
        .map_err(plainly)?;
    runtime.block_on(async move {
        let etcd = Etcd::new(Store::new(1), |_| {});
        if let Some(user) = user {
            let (name, password) = user
                .split_once(':')
                .ok_or("--user: NAME:PASSWORD was expected")?;
            etcd.only(name, password);
        }
        let member = etcd.member(1, listener).map_err(plainly)?;
        if let Some(every) = notices {
            member.set_progress_interval(Duration::from_millis(every.max(1)));
        }
        println!("http://{}", member.address);
        let (end, ended) = tokio::sync::oneshot::channel();
        std::thread::spawn(move || {
            // Whatever comes is passed over; an error ends it as the end does.
            let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
            let _ = end.send(());
        });
        let _ = ended.await;
        Ok(Ended::Held)
    })
}

/// Plays each scenario once and prints how long its drains took.
fn drained(names: &[String], options: &Options, seed: u64) -> Result<Ended, String> {
    let daemon = find::daemon(options.daemon.as_deref()).map_err(plainly)?;
    println!("{}", drains::HEAD);
    let mut broken = false;
    for name in names {
        let scenario = library::find(name).map_err(plainly)?;
        let record = play(&scenario, seed, &daemon, None, folder(options, name, seed))?;
        let judgement = maplefall_invariants::evaluate(&record);
        println!(
            "{}",
            drains::row(
                name,
                &maplefall_invariants::drain_times::drain_times(&record)
            )
        );
        let times = &judgement.metrics.latency;
        println!(
            "{:18}answers p50 {:.0} p99 {:.0} ms; stand-ins late by {:.1} ms at p99; rules 1-6 {}",
            "",
            times.p50_ms,
            times.p99_ms,
            judgement.metrics.lateness_p99_ms,
            letters(&judgement)
        );
        broken |= judgement.has_violations();
        if let Some(void) = judgement.invalid_reason {
            return Err(format!("the run is void: {void}"));
        }
    }
    Ok(if broken { Ended::Broken } else { Ended::Held })
}

/// Carries out `work` for each of these, `jobs` at once, and hands the results out in order.
fn side_by_side<T: Sync, R: Send>(jobs: usize, of: &[T], work: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let worker = || {
        let mut done = Vec::new();
        loop {
            let at = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            match of.get(at) {
                Some(one) => done.push((at, work(one))),
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
    done.sort_by_key(|(at, _)| *at);
    done.into_iter().map(|(_, result)| result).collect()
}

/// The verdicts of all rules, as one letter each: kept, broken, not exercised.
fn letters(judgement: &Evaluation) -> String {
    let letter = |ruling: &maplefall_invariants::RuleResult| match ruling.verdict {
        Verdict::Satisfied => 'k',
        Verdict::Violated => 'B',
        Verdict::NotExercised => '-',
    };
    judgement.rules.iter().map(letter).collect()
}

fn all(
    options: &Options,
    seed: u64,
    seeds: u64,
    only: &[String],
    jobs: usize,
) -> Result<Ended, String> {
    let daemon = find::daemon(options.daemon.as_deref()).map_err(plainly)?;
    if let Some(name) = only
        .iter()
        .find(|name| !library::SHIPPED.iter().any(|(known, _)| known == name))
    {
        return Err(library::find(name)
            .map_err(plainly)
            .map_or_else(|error| error, |_| name.clone()));
    }
    let names = library::SHIPPED.iter().map(|(name, _)| *name);
    let wanted = names.filter(|name| only.is_empty() || only.iter().any(|only| only == name));
    let runs: Vec<(&str, u64)> = wanted
        .flat_map(|name| (seed..seed.saturating_add(seeds)).map(move |seed| (name, seed)))
        .collect();
    println!(
        "{:<12} {:>5} rules 1-6  worth  p99 ms  late p99  wall s",
        "scenario", "seed"
    );
    let ends = side_by_side(jobs, &runs, |(name, seed)| {
        let begun = Instant::now();
        let played = library::find(name).map_err(plainly).and_then(|scenario| {
            let folder = folder(options, name, *seed);
            let record = play(&scenario, *seed, &daemon, None, folder)?;
            let judgement = maplefall_invariants::evaluate(&record);
            let end = verdict(&judgement, &scenario);
            Ok((judgement, end))
        });
        let wall = begun.elapsed().as_secs_f64();
        match played {
            Ok((judgement, end)) => {
                let figures = &judgement.metrics;
                let note = end
                    .as_ref()
                    .err()
                    .map(|error| format!("  {error}"))
                    .unwrap_or_default();
                println!(
                    "{name:<12} {seed:>5} {:<10} {:>5.3} {:>7.0} {:>9.2} {wall:>7.1}{note}",
                    letters(&judgement),
                    figures.value_share,
                    figures.latency.p99_ms,
                    figures.lateness_p99_ms,
                );
                for ruling in judgement
                    .rules
                    .iter()
                    .filter(|ruling| ruling.verdict == Verdict::Violated)
                {
                    for finding in ruling.violations.iter().take(2) {
                        println!(
                            "    rule {}: {:.1} ms {}",
                            ruling.rule, finding.at, finding.description
                        );
                    }
                }
                end
            }
            Err(error) => {
                println!("{name:<12} {seed:>5} not played: {error}");
                Err(error)
            }
        }
    });
    let broken = ends
        .iter()
        .filter(|end| matches!(end, Ok(Ended::Broken)))
        .count();
    let other = ends.iter().filter(|end| end.is_err()).count();
    let held = ends.len() - broken - other;
    println!("{held} held, {broken} broke a rule, {other} void or not played");
    match (broken, other) {
        (0, 0) => Ok(Ended::Held),
        (0, other) => Err(format!(
            "{other} of {} runs were void or not played",
            ends.len()
        )),
        _ => Ok(Ended::Broken),
    }
}

fn prove(
    options: &Options,
    broken: Option<&Path>,
    only: &[String],
    seed: u64,
    jobs: usize,
) -> Result<Ended, String> {
    let whole = find::daemon(options.daemon.as_deref()).map_err(plainly)?;
    let broken = find::broken_daemon(broken).map_err(plainly)?;
    let wanted = |proof: &&Proof| only.is_empty() || only.iter().any(|name| name == proof.breakage);
    let proofs: Vec<Proof> = PROOFS.iter().filter(wanted).copied().collect();
    if let Some(name) = only
        .iter()
        .find(|name| !PROOFS.iter().any(|proof| proof.breakage == **name))
    {
        let known: Vec<&str> = PROOFS.iter().map(|proof| proof.breakage).collect();
        return Err(format!(
            "no breakage is called {name:?}; there are {}",
            known.join(", ")
        ));
    }
    let mut scenarios: Vec<&str> = proofs.iter().map(|proof| proof.scenario).collect();
    scenarios.sort_unstable();
    scenarios.dedup();
    // The whole daemon in each scenario, then each breakage.
    let mut runs: Vec<(&str, Option<Proof>)> = scenarios.iter().map(|name| (*name, None)).collect();
    runs.extend(proofs.iter().map(|proof| (proof.scenario, Some(*proof))));
    println!(
        "{:<18} {:<11} rules 1-6  by rule  found",
        "breakage", "scenario"
    );
    let ends = side_by_side(jobs, &runs, |(name, proof)| {
        let scenario = library::find(name).map_err(plainly)?;
        let breakage = proof.map(|proof| proof.breakage);
        let daemon = if breakage.is_some() { &broken } else { &whole };
        let folder = folder(
            options,
            &format!("{name}-{}", breakage.unwrap_or("whole")),
            seed,
        );
        let judgement =
            maplefall_invariants::evaluate(&play(&scenario, seed, daemon, breakage, folder)?);
        let found: Vec<u32> = judgement
            .rules
            .iter()
            .filter(|r| r.verdict == Verdict::Violated)
            .map(|r| r.rule)
            .collect();
        let little = too_little(&judgement, &scenario);
        let good = judgement.invalid_reason.is_none()
            && match proof {
                Some(proof) if proof.rule == prove::WORTH => little.is_some(),
                Some(proof) => found.contains(&proof.rule),
                None => found.is_empty() && little.is_none(),
            };
        let by = proof.map_or("none".to_owned(), |proof| match proof.rule {
            prove::WORTH => "worth".to_owned(),
            rule => rule.to_string(),
        });
        let first = proof.and_then(|proof| judgement.rules.iter().find(|r| r.rule == proof.rule));
        let first = first.and_then(|ruling| {
            ruling
                .violations
                .first()
                .map(|finding| finding.description.clone())
        });
        let first = first.or(little);
        println!(
            "{:<18} {name:<11} {:<10} {by:<8} {}  {}{}",
            breakage.unwrap_or("(whole)"),
            letters(&judgement),
            if good { "yes" } else { "NO" },
            first.unwrap_or_default(),
            judgement
                .invalid_reason
                .as_ref()
                .map(|void| format!("  VOID: {void}"))
                .unwrap_or_default(),
        );
        if proof.is_none() {
            for finding in judgement
                .rules
                .iter()
                .flat_map(|ruling| &ruling.violations)
                .take(3)
            {
                println!(
                    "    {:.1} ms {} {}",
                    finding.at, finding.request, finding.description
                );
            }
        }
        match &judgement.invalid_reason {
            Some(void) => Err(format!("{name} is void: {void}")),
            None => Ok(good),
        }
    });
    if let Some(error) = ends.iter().find_map(|end| end.as_ref().err()) {
        return Err(error.clone());
    }
    let bad = ends.iter().filter(|end| matches!(end, Ok(false))).count();
    println!("{} of {} as they should be", ends.len() - bad, ends.len());
    Ok(if bad == 0 { Ended::Held } else { Ended::Broken })
}

/// Where the results of a run go besides the terminal.
struct Files {
    json: Option<PathBuf>,
    record: Option<PathBuf>,
    html: Option<PathBuf>,
}

fn told(record: &Trace, judgement: &Evaluation, files: &Files) -> Result<(), String> {
    print!("{}", report::text(judgement));
    if let Some(path) = &files.json {
        write(
            path,
            &serde_json::to_string_pretty(judgement).map_err(plainly)?,
        )?;
    }
    if let Some(path) = &files.record {
        write(path, &record.to_text().map_err(plainly)?)?;
    }
    if let Some(path) = &files.html {
        write(path, &html::page(record, judgement))?;
    }
    Ok(())
}

fn carried(seconds: f64) -> Result<Ended, String> {
    println!(
        "{:>6} {:>8} {:>8} {:>12} {:>12}",
        "a sec.", "due", "served", "late p99 ms", "late most ms"
    );
    for rate in [
        500.0, 1000.0, 2000.0, 4000.0, 6000.0, 8000.0, 12_000.0, 16_000.0, 24_000.0,
    ] {
        let one = carry::measure(rate, seconds.clamp(0.5, 60.0)).map_err(plainly)?;
        println!(
            "{:>6.0} {:>8} {:>8} {:>12.2} {:>12.1}",
            one.rate, one.asked, one.served, one.p99_ms, one.most_ms
        );
        if !one.good() {
            println!(
                "carried up to the rate before, late by at most {} ms at p99",
                carry::CARRIED_MS
            );
            break;
        }
    }
    Ok(Ended::Held)
}

fn judge_again(path: &Path, files: &Files) -> Result<Ended, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let record = Trace::from_text(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    let judgement = maplefall_invariants::evaluate(&record);
    told(&record, &judgement, files)?;
    match &judgement.invalid_reason {
        _ if judgement.has_violations() => Ok(Ended::Broken),
        Some(void) => Err(format!("the run is void: {void}")),
        None => Ok(Ended::Held),
    }
}

//! `maplefall-rehearse`: plays failures to the built daemon on one machine, and tells whether every rule held.

mod daemon;
mod find;
mod library;
mod play;
mod reading;
mod report;
mod scenario;
mod script;
mod settings;

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use maplefall_judge::Judgement;
use maplefall_record::Record;
use play::Play;
use scenario::Scenario;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Rehearses a maplefall front door on one machine: api nodes, the discovery agent and clients are played on loopback
/// sockets, front doors are real processes of the built daemon, failures come by script, and a judge decides rule by
/// rule from one record of all that was seen.
///
/// Exit code: 0 all rules held, 1 a rule was broken, 2 it could not be played (or the run is void, because the
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
    },
    /// Judges a record that an earlier run wrote.
    Judge {
        /// The record.
        record: PathBuf,
        /// Writes the judgement as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
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
        Command::Run { scenario, options, seed, json, record } => {
            run(&scenario, &options, seed, json.as_deref(), record.as_deref())
        }
        Command::Judge { record, json } => judge_again(&record, json.as_deref()),
        Command::Script { scenario, seed } => library::find(&scenario).map_err(plainly).map(|scenario| {
            print!("{}", script::draw(&scenario, seed).to_text());
            Ended::Held
        }),
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
) -> Result<Record, String> {
    let script = script::draw(scenario, seed);
    let bar = ProgressBar::new((script.length + play::AFTER) as u64);
    let style = ProgressStyle::with_template("{prefix} {wide_bar} {elapsed}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_prefix(scenario.name.clone());
    bar.enable_steady_tick(Duration::from_millis(250));
    let progress = |at: f64| bar.set_position(at as u64);
    let play = Play { scenario, script: &script, daemon, breakage, folder, progress: &progress };
    let record = play.play().map_err(plainly);
    bar.finish_and_clear();
    record
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

/// What a judgement comes to, for a run that was to test these rules.
fn verdict(judgement: &Judgement, strains: &[u32]) -> Result<Ended, String> {
    if judgement.broken() {
        return Ok(Ended::Broken);
    }
    if let Some(void) = &judgement.void {
        return Err(format!("the run is void: {void}"));
    }
    match judgement.untested(strains)[..] {
        [] => Ok(Ended::Held),
        ref rules => Err(format!("the run never put to the test what it is for: rules {rules:?}")),
    }
}

fn run(
    name: &str,
    options: &Options,
    seed: u64,
    json: Option<&Path>,
    keep: Option<&Path>,
) -> Result<Ended, String> {
    let scenario = library::find(name).map_err(plainly)?;
    let daemon = find::daemon(options.daemon.as_deref()).map_err(plainly)?;
    let folder = folder(options, &scenario.name, seed);
    let record = play(&scenario, seed, &daemon, None, folder.clone())?;
    if let Some(path) = keep {
        write(path, &record.to_text().map_err(plainly)?)?;
    }
    let judgement = maplefall_judge::judge(&record);
    told(&judgement, json)?;
    println!("  logs of the front doors: {}", folder.display());
    verdict(&judgement, &scenario.strains)
}

fn told(judgement: &Judgement, json: Option<&Path>) -> Result<(), String> {
    print!("{}", report::text(judgement));
    if let Some(path) = json {
        write(path, &serde_json::to_string_pretty(judgement).map_err(plainly)?)?;
    }
    Ok(())
}

fn judge_again(path: &Path, json: Option<&Path>) -> Result<Ended, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let record = Record::from_text(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    let judgement = maplefall_judge::judge(&record);
    told(&judgement, json)?;
    verdict(&judgement, &[])
}

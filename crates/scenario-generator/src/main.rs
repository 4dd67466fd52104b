//! `maplefall-scenario-generator`: draws scenarios with several concurrent faults for the users'
//! bench.

use clap::{Parser, Subcommand, ValueEnum};
use maplefall_scenario_generator::error::Error;
use maplefall_scenario_generator::generator::{Emphasis, ScenarioGenerator};
use maplefall_scenario_generator::kinds::Kinds;
use maplefall_scenario_generator::site::Site;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Draws scenarios (days) with several concurrent faults, as TOML files that the users' bench runs.
///
/// The faults and changes are read from the bench's list of kinds (`fleetbench kinds SITE`, saved
/// to a file): each kind with its variants, further modifiers for an entry's `how`, numeric fields
/// with their defaults, and the closing faults of a day. The machines, zones and services are read
/// from the site file, whose standard days also give each drawn day its traffic and its goal. A
/// listed kind that this program does not know is drawn with the listed defaults and variants.
///
/// Exit code: 0 if all days were written, 2 if a file could not be read or written.
#[derive(Parser)]
#[command(name = "maplefall-scenario-generator", version, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Draws days and writes each to a separate file.
    Draw {
        /// The deployment's site file.
        #[arg(long, value_name = "FILE")]
        site: PathBuf,
        /// The bench's list of kinds for the site.
        #[arg(long, value_name = "FILE")]
        kinds: PathBuf,
        /// Number of days.
        #[arg(long, default_value_t = 20)]
        days: u32,
        /// The seed; the same seed gives the same days.
        #[arg(long)]
        seed: u64,
        /// Kinds that are preferred.
        #[arg(long, value_enum, default_value_t = EmphasisArgument::Mixed)]
        pile: EmphasisArgument,
        /// Folder for the files; created if missing.
        #[arg(long, value_name = "DIR")]
        out: PathBuf,
    },
    /// Prints the parsed list of kinds.
    Kinds {
        /// The bench's list of kinds.
        #[arg(long, value_name = "FILE")]
        kinds: PathBuf,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum EmphasisArgument {
    /// None: all kinds have the same weight.
    Mixed,
    /// Partitions, losses, disk wipes and replacements of control plane machines, concurrent
    /// configuration changes, clock steps.
    Control,
    /// Backends with bad, late or missing responses, and proxies that stop during a response.
    Answers,
    /// Hundreds of changes, and losses of control plane machines.
    Long,
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Draw {
            site,
            kinds,
            days,
            seed,
            pile,
            out,
        } => draw(&site, &kinds, (days, seed), pile, &out),
        Command::Kinds { kinds } => print_kinds(&kinds),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("event=ended {error}");
            ExitCode::from(2)
        }
    }
}

fn draw(
    site: &Path,
    kinds: &Path,
    (days, seed): (u32, u64),
    pile: EmphasisArgument,
    out: &Path,
) -> Result<(), Error> {
    let (site, kinds) = (Site::load(site)?, Kinds::load(kinds)?);
    let emphasis = match pile {
        EmphasisArgument::Mixed => Emphasis::Mixed,
        EmphasisArgument::Control => Emphasis::ControlPlane,
        EmphasisArgument::Answers => Emphasis::Responses,
        EmphasisArgument::Long => Emphasis::Long,
    };
    std::fs::create_dir_all(out).map_err(|error| Error::Write(out.to_owned(), error))?;
    let mut generator = ScenarioGenerator::new(&site, &kinds, emphasis, seed);
    let mut written = 0;
    for number in 0..days {
        let Some(scenario) = generator.next_scenario(number) else {
            break;
        };
        let file = out.join(format!("{}.toml", scenario.name));
        std::fs::write(&file, scenario.to_toml()).map_err(|error| Error::Write(file, error))?;
        written += 1;
    }
    println!(
        "event=drawn site={} days={written} seed={seed} folder={}",
        site.name,
        out.display()
    );
    Ok(())
}

fn print_kinds(file: &Path) -> Result<(), Error> {
    let kinds = Kinds::load(file)?;
    for kind in &kinds.kinds {
        let numbers = kind.fields.iter().map(|(field, default)| match default {
            Some(default) => format!("{field}={default}"),
            None => field.clone(),
        });
        let numbers: Vec<String> = numbers.collect();
        println!(
            "kind={} struck={:?} how={:?} numbers={:?}",
            kind.name,
            kind.target,
            kind.variants.join(" "),
            numbers.join(" ")
        );
    }
    let modifiers: Vec<&str> = kinds.modifiers.iter().map(String::as_str).collect();
    println!("words={:?}", modifiers.join(" "));
    println!(
        "closing={:?} how={:?}",
        kinds.closing_kinds.join(" "),
        kinds.closing_variants.join(" ")
    );
    Ok(())
}

//! `maplefall-scenario-generator`: draws scenarios with several concurrent faults for the users' bench.

use clap::{Parser, Subcommand, ValueEnum};
use maplefall_scenario_generator::error::Error;
use maplefall_scenario_generator::generator::{Emphasis, ScenarioGenerator};
use maplefall_scenario_generator::kinds::Kinds;
use maplefall_scenario_generator::site::Site;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Draws days with many troubles at once, as TOML files that the users' bench plays.
///
/// What may happen is read from the bench's own list of kinds (`fleetbench kinds SITE`, saved to a file): each kind with its
/// variants, the words that an entry's `how` may hold besides, the numbers it takes with their usual values, and the faults at a
/// day's end. Where it may happen is read from the site file, whose standard days also give each drawn day its traffic and what it
/// has to reach. A kind that is listed and not known here is drawn with its usual values and its own variants.
///
/// Exit code: 0 all days are written, 2 something could not be read or written.
#[derive(Parser)]
#[command(name = "maplefall-scenario-generator", version, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Draws days and writes each into a file of its own.
    Draw {
        /// The deployment's site file.
        #[arg(long, value_name = "FILE")]
        site: PathBuf,
        /// What the bench lists as kinds for that site.
        #[arg(long, value_name = "FILE")]
        kinds: PathBuf,
        /// How many days.
        #[arg(long, default_value_t = 20)]
        days: u32,
        /// The seed; the same seed gives the same days.
        #[arg(long)]
        seed: u64,
        /// What the days lean to.
        #[arg(long, value_enum, default_value_t = EmphasisArgument::Mixed)]
        pile: EmphasisArgument,
        /// The folder for the files; it is made if it is not there.
        #[arg(long, value_name = "DIR")]
        out: PathBuf,
    },
    /// Tells what was understood of a list of kinds.
    Kinds {
        /// What the bench lists as kinds.
        #[arg(long, value_name = "FILE")]
        kinds: PathBuf,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum EmphasisArgument {
    /// To nothing: all kinds alike.
    Mixed,
    /// To cuts, losses, wipes and replacements of counted machines, races of orders, clocks.
    Control,
    /// To backends that answer badly, late or not, and doors that go while they answer.
    Answers,
    /// To hundreds of changes, and losses of counted machines.
    Long,
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
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
    match done {
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
    let pile = match pile {
        EmphasisArgument::Mixed => Emphasis::Mixed,
        EmphasisArgument::Control => Emphasis::Control,
        EmphasisArgument::Answers => Emphasis::Answers,
        EmphasisArgument::Long => Emphasis::Long,
    };
    std::fs::create_dir_all(out).map_err(|error| Error::Write(out.to_owned(), error))?;
    let mut generator = ScenarioGenerator::new(&site, &kinds, pile, seed);
    let mut written = 0;
    for number in 0..days {
        let Some(day) = generator.scenario(number) else {
            break;
        };
        let file = out.join(format!("{}.toml", day.name));
        std::fs::write(&file, day.text()).map_err(|error| Error::Write(file, error))?;
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
        let numbers = kind.fields.iter().map(|(field, usual)| match usual {
            Some(usual) => format!("{field}={usual}"),
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
    let words: Vec<&str> = kinds.modifiers.iter().map(String::as_str).collect();
    println!("words={:?}", words.join(" "));
    println!(
        "closing={:?} how={:?}",
        kinds.closing_kinds.join(" "),
        kinds.closing_variants.join(" ")
    );
    Ok(())
}

//! The scripts of the review's cases: `review-cases CASE RECORD`, from the repository's root.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod backend;
mod departed;
mod http;
mod memory;
mod system;
mod tenants;

use std::process::exit;
use std::time::{Duration, Instant};
use system::Record;

/// The longest time that a run may take.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let started = Instant::now();
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        println!("could not run: not finished in time");
        // The processes end with this one.
        system::clean_up();
        exit(2);
    });
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = arguments.get(2).map_or("record.txt", String::as_str);
    let result = Record::create(path, started).and_then(|mut record| {
        record.line(if with_trouble {
            "with the disruption"
        } else {
            "without the disruption"
        });
        let run = match arguments.get(1).map(String::as_str) {
            Some("1") => memory::run,
            Some("2") => departed::run,
            Some("3") => tenants::run,
            _ => return Err("no such case".to_owned()),
        };
        let outcome = run(&mut record, with_trouble);
        match &outcome {
            Ok(true) => record.line("result: the rule was broken"),
            Ok(false) => record.line("result: the rule held"),
            Err(error) => record.line(format!("result: could not run: {error}")),
        }
        outcome
    });
    match result {
        Ok(true) => {
            println!("the rule was broken");
            exit(1)
        }
        Ok(false) => println!("the rule held"),
        Err(error) => {
            println!("could not run: {error}");
            exit(2)
        }
    }
}

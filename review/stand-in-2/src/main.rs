//! Stand-ins and checks of the review's cases 4 to 8: `review-stand-in-2 CASE FOLDER`. The exit code
//! is 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod early;
mod memory;
mod http;
mod malformed;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("review-stand-in-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let record = world::Record::new();
    let verdict = match case.as_str() {
        "early" => early::run(trouble, &record),
        "malformed" => malformed::run(trouble, &record),
        "memory" => memory::run(trouble, &record),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Broken => ("broken", 1),
        Verdict::Held => ("held", 0),
        Verdict::NotRun => ("not run", 2),
    };
    record.line(format!("verdict: {text}"));
    record.write(&folder);
    println!("{case}: {text}, trouble={trouble}");
    ExitCode::from(code)
}

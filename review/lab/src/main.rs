//! Runs one case: `review-lab CASE RECORD`. Exit status: 1 if the rule was broken, 0 if it held, 2
//! if the case could not run. `TROUBLE=0` leaves the disruption out.

mod drip;
mod lab;
mod leave;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (arguments.get(1), arguments.get(2)) else {
        lab::cannot_run("usage: review-lab CASE RECORD");
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = lab::Record::new(record);
    let broken = match case.as_str() {
        "leave" => leave::run(record, trouble),
        "drip" => drip::run(record, trouble),
        _ => lab::cannot_run("no such case"),
    };
    println!(
        "{}",
        if broken {
            "the rule was broken"
        } else {
            "the rule held"
        }
    );
    std::process::exit(i32::from(broken));
}

//! Settings by their wire names, as `path=value` lines: the one mapping for both programs. Unknown keys are
//! skipped; missing ones take the defaults of [`Settings::default`], [`Class::default`] and [`Plan::default`].

use maplefall_policy::*;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::str::FromStr;

/// A value of a load report; their order is that in which a report tells them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Metric {
    /// Requests being handled.
    InFlight,
    /// Requests that wait.
    Queue,
    /// Part of the processors in use.
    Utilisation,
    /// Recent service time.
    Latency,
    /// Requests served a second.
    Throughput,
    /// Errors a second.
    Errors,
    /// One that this program does not know.
    Unknown,
}

/// All that the settings tell.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// What the decisions go by.
    pub settings: Settings,
    /// The values of a load report, in their order.
    pub metrics: Vec<Metric>,
    /// The names that numbers stand for.
    pub names: Names,
    /// What connections to backends go by.
    pub links: Links,
}

/// The names of classes, plans, zones and report values, each at its number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Of the request classes.
    pub classes: Vec<String>,
    /// Of the plans.
    pub plans: Vec<String>,
    /// Of the zones.
    pub zones: Vec<String>,
    /// Of the values of a load report.
    pub metrics: Vec<String>,
}

/// Times that bound a connection to a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Links {
    /// A connection not made within this has failed.
    pub dial_timeout: Millis,
    /// A backend closes a connection that has been idle this long.
    pub idle_close: Millis,
}

impl Default for Links {
    fn default() -> Self {
        Links {
            dial_timeout: 250.0,
            idle_close: 10_000.0,
        }
    }
}

/// Entries of a list of objects that are read at most.
const MOST_LISTED: usize = 4096;

/// A value as the facts hold it: spaces and commas as underscores.
pub fn plain(value: &str) -> String {
    value.replace([' ', ','], "_")
}

/// The facts, and what is wrong with those that have been read.
struct Facts<'a> {
    told: BTreeMap<&'a str, &'a str>,
    mistakes: RefCell<Vec<String>>,
}

impl Facts<'_> {
    fn wrong(&self, path: &str, what: impl std::fmt::Display) {
        self.mistakes
            .borrow_mut()
            .push(format!("settings: {path}={what}"));
    }

    fn get<T: FromStr>(&self, path: &str, otherwise: T) -> T {
        let Some(text) = self.told.get(path) else {
            return otherwise;
        };
        text.trim().parse().unwrap_or_else(|_| {
            self.wrong(path, format_args!("{text} cannot be read"));
            otherwise
        })
    }

    fn number(&self, path: &str, otherwise: f64) -> f64 {
        let value: f64 = self.get(path, otherwise);
        if value.is_finite() {
            return value;
        }
        self.wrong(path, format_args!("{value} is not a finite number"));
        otherwise
    }

    /// The length of a list of objects.
    fn count(&self, list: &str) -> usize {
        let path = format!("{list}.count");
        let count = self.get(&path, 0);
        if count <= MOST_LISTED {
            return count;
        }
        self.wrong(&path, format_args!("{count} is over {MOST_LISTED}"));
        0
    }

    fn list(&self, path: &str) -> Vec<String> {
        let text = self.told.get(path).copied().unwrap_or_default();
        text.split(',')
            .filter(|name| !name.is_empty())
            .map(str::to_owned)
            .collect()
    }

    fn names(&self, list: &str) -> Vec<String> {
        let name = |i| {
            self.told
                .get(format!("{list}.{i}.name").as_str())
                .copied()
                .unwrap_or_default()
                .to_owned()
        };
        (0..self.count(list)).map(name).collect()
    }

    fn choice<T: Copy>(&self, path: &str, otherwise: T, choices: &[(&str, T)]) -> T {
        let Some(text) = self.told.get(path) else {
            return otherwise;
        };
        let found = choices.iter().find(|(word, _)| word == text);
        found.map_or_else(
            || {
                self.wrong(path, format_args!("{text} is not a known choice"));
                otherwise
            },
            |(_, value)| *value,
        )
    }
}

/// Reads the facts.
///
/// # Errors
/// All that cannot be read, each named by its path, in one line.
pub fn parse(text: &str) -> Result<Told, String> {
    parse_all(text).map_err(|mistakes| mistakes.join("; "))
}

/// Reads the facts.
///
/// # Errors
/// All that cannot be read, each named by its path.
pub fn parse_all(text: &str) -> Result<Told, Vec<String>> {
    let told = text
        .lines()
        .filter_map(|line| line.split_once('='))
        .collect();
    let facts = Facts {
        told,
        mistakes: RefCell::default(),
    };
    let told = read(&facts);
    let mut mistakes = facts.mistakes.into_inner();
    // A count is read once for the names and once for the rest.
    let mut seen = BTreeSet::new();
    mistakes.retain(|mistake| seen.insert(mistake.clone()));
    if mistakes.is_empty() {
        Ok(told)
    } else {
        Err(mistakes)
    }
}

fn read(facts: &Facts<'_>) -> Told {
    let base = Settings::default();
    let links = Links::default();
    let names = Names {
        classes: facts.names("grades"),
        plans: facts.names("plans"),
        zones: facts.list("zones"),
        metrics: facts.list("report.names"),
    };
    let settings = Settings {
        gateways: facts.get("fleet_size", base.gateways),
        zone: ZoneId(facts.get("my_zone", base.zone.0)),
        tick: facts.number("tick", base.tick),
        classes: (0..facts.count("grades"))
            .map(|i| class(facts, i))
            .collect(),
        plans: (0..facts.count("plans")).map(|i| plan(facts, i)).collect(),
        max_units: facts.number("extra.max_units", base.max_units),
        meter_period: facts.number("extra.meter", base.meter_period),
        discovery: facts.choice(
            "registry_mode",
            base.discovery,
            &[
                ("pushed", Discovery::Pushed),
                ("on_request", Discovery::OnRequest),
            ],
        ),
        reports: facts.choice(
            "report.via",
            base.reports,
            &[
                ("off", Reports::Off),
                ("inline", Reports::Inline),
                ("on_probe", Reports::OnProbe),
            ],
        ),
        max_attempts: facts.get("policy_limits.send_cap", base.max_attempts),
        second_copies: facts.get("policy_limits.second_copies", base.second_copies),
        cancel: facts.get("policy_limits.cancel", base.cancel),
        probes: facts.get("policy_limits.probes", base.probes),
        retry_after: facts.get("policy_limits.retry_after", base.retry_after),
        max_retry_after: facts.number("policy_limits.max_retry_after", base.max_retry_after),
        cross_zone_price: facts.number("charges.cross_zone", base.cross_zone_price),
        answer_slack: facts.number("rules.answer_slack", base.answer_slack),
        drain_grace: facts.number("rules.stop_sending_within", base.drain_grace),
        ask_within: facts.number("rules.ask_within", base.ask_within),
        start_capacity: facts.number("rules.start_capacity", base.start_capacity),
        warm_up: facts.number("rules.warm_up", base.warm_up),
        overload_factor: facts.number("rules.overload_factor", base.overload_factor),
        overload_window: facts.number("rules.fall", base.overload_window),
        ..Settings::default()
    };
    Told {
        settings,
        metrics: names.metrics.iter().map(|name| metric(name)).collect(),
        names,
        links: Links {
            dial_timeout: facts.number("policy_limits.dial_timeout", links.dial_timeout),
            idle_close: facts.number("policy_limits.idle_close", links.idle_close),
        },
    }
}

fn class(facts: &Facts<'_>, index: usize) -> Class {
    let path = |key: &str| format!("grades.{index}.{key}");
    let base = Class::default();
    let groups = [
        ("all", Group::All),
        ("zone", Group::Zone),
        ("cell", Group::Cell),
    ];
    let keyed = Effect::Keyed {
        group: facts.choice(&path("group"), Group::Cell, &groups),
        memory: facts.number(&path("memory_span"), 0.0),
    };
    let effects = [
        ("safe", Effect::Safe),
        ("keyed", keyed),
        ("unsafe", Effect::Unsafe),
    ];
    Class {
        aim: facts.number(&path("aim"), base.aim),
        deadline: facts.number(&path("give_up"), base.deadline),
        worth: facts.number(&path("credit"), base.worth),
        late_worth: facts.number(&path("late_worth"), base.late_worth),
        effect: facts.choice(&path("idempotency"), base.effect, &effects),
        streaming: facts.get(&path("streaming"), base.streaming),
        max_attempts: u32::MAX,
    }
}

fn plan(facts: &Facts<'_>, index: usize) -> Plan {
    let path = |key: &str| format!("plans.{index}.{key}");
    let base = Plan::default();
    let ceiling = Ceiling {
        rate: facts.number(&path("cap_rate"), 0.0),
        burst: facts.number(&path("never_over_depth"), 0.0),
        slack: facts.number(&path("hard_slack"), 0.0),
    };
    Plan {
        rate: facts.number(&path("per_second"), base.rate),
        burst: facts.number(&path("peak_units"), base.burst),
        max_open: facts.get(&path("max_out"), base.max_open),
        price: facts.number(&path("pays"), base.price),
        over_worth: facts.number(&path("excess_worth"), base.over_worth),
        over_cost: facts.number(&path("over_cost"), base.over_cost),
        ceiling: (ceiling.rate > 0.0).then_some(ceiling),
    }
}

fn metric(name: &str) -> Metric {
    match name {
        "concurrent" => Metric::InFlight,
        "depth" => Metric::Queue,
        "load_share" => Metric::Utilisation,
        "mean_ms" => Metric::Latency,
        "tps" => Metric::Throughput,
        "err_ps" => Metric::Errors,
        _ => Metric::Unknown,
    }
}

/// Puts the values of a load report in their places.
pub fn report(metrics: &[Metric], values: &[f32]) -> Report {
    let mut report = Report::default();
    for (metric, value) in metrics.iter().zip(values) {
        tell(&mut report, *metric, *value);
    }
    report
}

/// Puts one value of a load report in its place.
pub fn tell(report: &mut Report, metric: Metric, value: f32) {
    let value = Some(f64::from(value));
    match metric {
        Metric::InFlight => report.in_flight = value,
        Metric::Queue => report.queue = value,
        Metric::Utilisation => report.utilisation = value,
        Metric::Latency => report.latency = value,
        Metric::Throughput => report.throughput = value,
        Metric::Errors => report.errors = value,
        Metric::Unknown => {}
    }
}

/// Nested settings as the `path=value` lines that the simulator tells, so that both are read the same way.
pub fn facts(settings: &Value) -> String {
    let mut lines = String::new();
    flatten("", settings, &mut lines);
    lines
}

fn flatten(path: &str, value: &Value, lines: &mut String) {
    let below = |key: &str| {
        if path.is_empty() {
            key.to_owned()
        } else {
            format!("{path}.{key}")
        }
    };
    match value {
        Value::Object(map) => map
            .iter()
            .for_each(|(key, value)| flatten(&below(key), value, lines)),
        Value::Array(items) if items.iter().any(|item| item.is_object() || item.is_array()) => {
            // A string takes any text; the error is that of a writer that can fail.
            let _ = writeln!(lines, "{}={}", below("count"), items.len());
            items
                .iter()
                .enumerate()
                .for_each(|(i, item)| flatten(&below(&i.to_string()), item, lines));
        }
        Value::Array(items) => {
            let words: Vec<String> = items.iter().filter_map(word).collect();
            let _ = writeln!(lines, "{path}={}", words.join(","));
        }
        value => {
            if let Some(word) = word(value) {
                let _ = writeln!(lines, "{path}={word}");
            }
        }
    }
}

fn word(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(plain(text)),
        Value::Bool(_) | Value::Number(_) => Some(value.to_string()),
        Value::Null | Value::Array(_) | Value::Object(_) => None,
    }
}

#[cfg(test)]
mod tests;

//! `maplefall check FILE`: reports all errors in a configuration at once, each with its path; the
//! start reports only the first. Also reports settings that are valid but cannot be intended.

use super::config::{min_memory_mb, MIN_SOCKETS};
use super::{auth_settings, counts_settings, grpc, membership, sources};
use maplefall_protocol::Members;
use maplefall_settings::{self as settings, ParsedSettings};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// Returns all errors in a `.toml` file: of gRPC, of shared counts, of forward authentication, or
/// of sources with the files that it names.
pub fn toml_file_errors(path: &Path, text: &str) -> Vec<String> {
    if grpc::is_grpc_file(text) {
        return grpc::read(path, None).err().unwrap_or_default();
    }
    if counts_settings::is_counts_file(text) {
        return counts_settings::read(path).err().unwrap_or_default();
    }
    if auth_settings::is_auth_file(text) {
        return auth_settings::read(path, None).err().unwrap_or_default();
    }
    match sources::read(path) {
        Err(found) => found,
        Ok(sources) => {
            let files = sources
                .list
                .into_iter()
                .filter_map(|source| match source.kind {
                    sources::SourceKind::File(path) => Some(path),
                    _ => None,
                });
            files
                .flat_map(|path| membership::node_file_errors(&path))
                .collect()
        }
    }
}

/// Returns all errors in a configuration's text; none if it can be used.
pub fn config_errors(text: &str) -> Vec<String> {
    let value: Value = match serde_json::from_str(text) {
        Ok(value) => value,
        Err(error) => return vec![format!("the file is not JSON: {error}")],
    };
    if !value.is_object() {
        return vec!["the file: an object was expected".to_owned()];
    }
    let mut errors = Vec::new();
    // Variables may replace the name, the listen address and the address of discovery; values in
    // the file must be valid all the same.
    for (path, address) in [("name", false), ("listen", true), ("discovery", true)] {
        match value.get(path).map(|value| value.as_str()) {
            None => {}
            Some(Some(text)) if !address || text.parse::<SocketAddr>().is_ok() => {}
            Some(_) if address => {
                errors.push(format!("{path}: an address with a port was expected"))
            }
            Some(_) => errors.push(format!("{path}: a string was expected")),
        }
    }
    match value
        .get("seed")
        .and_then(Value::as_str)
        .map(|text| u64::from_str_radix(text, 16))
    {
        Some(Ok(_)) => {}
        _ => errors.push("seed: up to 16 hexadecimal digits in quotes were expected".to_owned()),
    }
    let minimums = [
        ("sockets", MIN_SOCKETS, true),
        ("memory_mb", min_memory_mb(), false),
    ];
    for (key, min, required) in minimums {
        let limit = value.pointer(&format!("/limits/{key}"));
        let number = limit
            .and_then(Value::as_u64)
            .and_then(|number| usize::try_from(number).ok());
        if number.is_none_or(|number| number < min) && (required || limit.is_some()) {
            errors.push(format!(
                "limits.{key}: a whole number of {min} or more was expected"
            ));
        }
    }
    if let Some(known) = value.get("known").filter(|known| !known.is_null()) {
        check_known_list(known, &mut errors);
    }
    match value.get("settings") {
        None => errors.push("settings: an object was expected".to_owned()),
        Some(value) => match settings::parse_all(&settings::to_lines(value)) {
            Ok(parsed) => check_plausibility(&parsed, &mut errors),
            Err(found) => errors.extend(found),
        },
    }
    errors
}

/// Checks the list of backends, entry by entry.
fn check_known_list(known: &Value, errors: &mut Vec<String>) {
    if known.get("seq").and_then(Value::as_u64).is_none() {
        errors.push("known.seq: a whole number was expected".to_owned());
    }
    let Some(hosts) = known.get("hosts").and_then(Value::as_array) else {
        return errors.push("known.hosts: a list was expected".to_owned());
    };
    let before = errors.len();
    for (at, host) in hosts.iter().enumerate() {
        // Parses each entry as a list of its own, so that each error is reported with its index.
        let single = serde_json::json!({"seq": 1, "whole": true, "hosts": [host]});
        if let Err(error) = serde_json::from_value::<Members>(single) {
            errors.push(format!("known.hosts.{at}: {error}"));
        }
    }
    if errors.len() == before && serde_json::from_value::<Members>(known.clone()).is_err() {
        errors.push("known.whole: true or false was expected".to_owned());
    }
}

/// Reports settings that are valid but cannot be intended.
fn check_plausibility(parsed: &ParsedSettings, errors: &mut Vec<String>) {
    let (set, names) = (&parsed.settings, &parsed.names);
    for (list, known) in [("grades", &names.classes), ("plans", &names.plans)] {
        if known.is_empty() {
            errors.push(format!(
                "settings.{list}: at least one was expected; nothing can be served without"
            ));
        }
        for (at, name) in known.iter().enumerate() {
            if name.is_empty() {
                errors.push(format!("settings.{list}.{at}.name: a name was expected"));
            } else if known[..at].contains(name) {
                errors.push(format!("settings.{list}.{at}.name: {name} appears twice"));
            }
        }
    }
    for (at, class) in set.classes.iter().enumerate() {
        if class.deadline <= 0.0 || class.latency_target <= 0.0 {
            errors.push(format!(
                "settings.grades.{at}: aim and give_up above 0 were expected"
            ));
        } else if class.latency_target > class.deadline {
            let (latency_target, deadline) = (class.latency_target, class.deadline);
            errors.push(format!(
                "settings.grades.{at}.aim: {latency_target} is over its give_up of {deadline}"
            ));
        }
    }
    for (at, plan) in set.plans.iter().enumerate() {
        if plan.rate < 0.0 || plan.burst < 0.0 {
            errors.push(format!(
                "settings.plans.{at}: per_second and peak_units of 0 or more were expected"
            ));
        } else if plan.rate > 0.0 && plan.burst < set.max_units {
            let (burst, max_units) = (plan.burst, set.max_units);
            errors.push(format!(
                "settings.plans.{at}.peak_units: {burst} is under extra.max_units of {max_units}: its largest requests are \
                 always rejected"
            ));
        }
        if let Some(rate_limit) = plan.rate_limit.filter(|rate_limit| rate_limit.burst <= 0.0) {
            let rate = rate_limit.rate;
            errors.push(format!(
                "settings.plans.{at}.never_over_depth: above 0 was expected where cap_rate is {rate}"
            ));
        }
    }
    if set.max_attempts == 0 {
        errors.push("settings.policy_limits.send_cap: 1 or more was expected".to_owned());
    }
    if set.gateways == 0 {
        errors.push("settings.fleet_size: 1 or more was expected".to_owned());
    }
}

#[cfg(test)]
mod tests;

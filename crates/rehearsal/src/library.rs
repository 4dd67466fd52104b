//! Scenarios built into the program.

use crate::reading::Mistake;
use crate::scenario::Scenario;
use std::path::Path;

macro_rules! shipped {
    ($($name:literal),* $(,)?) => {
        /// Name and text of each scenario, the simplest first.
        pub const SHIPPED: &[(&str, &str)] =
            &[$(($name, include_str!(concat!("../../../rehearsals/", $name, ".toml")))),*];
    };
}

shipped!(
    "calm",
    "short",
    "doors",
    "month-end",
    "municipal",
    "errors",
    "neighbours",
    "rolling",
    "leaving",
    "leaving-spoilt",
    "silent",
    "connections",
    "counts-back",
    "counts-shared",
    "counts-split",
    "rude",
    "restart",
    "crash",
    "forgetful",
    "quincena",
    "etcd-rolling",
    "etcd-compacted",
    "disagreement",
    "sources-lost",
    "auth-dead",
    "auth-dying",
    "auth-slow",
    "auth-flapping",
    "auth-half",
    "auth-revoked",
    "auth-strangers",
);

/// Long scenarios for measurements, which `all` does not run.
const MEASUREMENTS: &[(&str, &str)] = &[
    (
        "drains-etcd",
        include_str!("../../../rehearsals/measure/drains-etcd.toml"),
    ),
    (
        "drains-etcd-cut",
        include_str!("../../../rehearsals/measure/drains-etcd-cut.toml"),
    ),
    (
        "drains-agent",
        include_str!("../../../rehearsals/measure/drains-agent.toml"),
    ),
    (
        "auth-hole",
        include_str!("../../../rehearsals/measure/auth-hole.toml"),
    ),
    (
        "auth-hole-unbroken",
        include_str!("../../../rehearsals/measure/auth-hole-unbroken.toml"),
    ),
    (
        "noise",
        include_str!("../../../rehearsals/measure/noise.toml"),
    ),
    (
        "noise-without",
        include_str!("../../../rehearsals/measure/noise-without.toml"),
    ),
];

/// Reason why a scenario could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// No built-in scenario has the name.
    #[error("no scenario is called {name:?}; there are {known}, or a file by its path")]
    Unknown {
        /// The requested name.
        name: String,
        /// The known names.
        known: String,
    },
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The I/O error.
        error: std::io::Error,
    },
    /// The scenario has mistakes.
    #[error("{name}: {} mistakes\n{}", mistakes.len(), list(mistakes))]
    Mistakes {
        /// Name of the scenario.
        name: String,
        /// All mistakes.
        mistakes: Vec<Mistake>,
    },
}

fn list(mistakes: &[Mistake]) -> String {
    mistakes
        .iter()
        .map(|mistake| format!("  {mistake}"))
        .collect::<Vec<_>>()
        .join("\n")
}

/// Returns a built-in scenario by its name, or one in a file by its path.
///
/// # Errors
/// Returns why it could not be loaded.
pub fn find(name: &str) -> Result<Scenario, ScenarioError> {
    let shipped = SHIPPED
        .iter()
        .chain(MEASUREMENTS)
        .find(|(known, _)| *known == name);
    let (name, text) = match shipped {
        Some((name, text)) => ((*name).to_owned(), (*text).to_owned()),
        None if name.ends_with(".toml") => {
            let unreadable = |error| ScenarioError::Unreadable {
                path: name.to_owned(),
                error,
            };
            let text = std::fs::read_to_string(name).map_err(unreadable)?;
            let stem = Path::new(name)
                .file_stem()
                .map_or(name.into(), |stem| stem.to_string_lossy());
            (stem.into_owned(), text)
        }
        None => {
            let known: Vec<&str> = SHIPPED.iter().map(|(name, _)| *name).collect();
            return Err(ScenarioError::Unknown {
                name: name.to_owned(),
                known: known.join(", "),
            });
        }
    };
    Scenario::read(&name, &text).map_err(|mistakes| ScenarioError::Mistakes { name, mistakes })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_shipped_scenario_can_be_read_and_is_listed() {
        for (name, _) in SHIPPED.iter().chain(MEASUREMENTS) {
            let scenario = find(name).unwrap_or_else(|error| panic!("{error}"));
            assert!(
                !scenario.title.is_empty() && scenario.seconds <= 120.0,
                "{name}"
            );
        }
        let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../rehearsals");
        let files = std::fs::read_dir(directory).unwrap().filter_map(|file| {
            let name = file.unwrap().file_name().into_string().unwrap();
            name.strip_suffix(".toml").map(str::to_owned)
        });
        let mut files: Vec<String> = files.collect();
        files.sort();
        let mut shipped: Vec<String> = SHIPPED.iter().map(|(name, _)| (*name).to_owned()).collect();
        shipped.sort();
        assert_eq!(files, shipped, "a file that is not built in");
    }
}

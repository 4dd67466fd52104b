//! The parts of a deployment's site file from which scenarios are generated.

use crate::error::Error;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use toml::{Table, Value};

/// A deployment, and the kinds, variants and values that its standard scenarios use.
#[derive(Clone, Debug)]
pub struct Site {
    /// Name of the deployment.
    pub name: String,
    /// Length of a scenario in seconds; at least 5.
    pub length_s: f64,
    /// Number of control plane machines that may fail at once; 1 by default.
    pub tolerated_losses: u32,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the services.
    pub services: Vec<String>,
    /// Classes of machines.
    pub classes: BTreeSet<String>,
    /// The standard scenarios, unchanged.
    pub standard_scenarios: Vec<Table>,
    /// Kinds that the standard scenarios use as planned changes.
    pub planned_kinds: BTreeSet<String>,
    /// Kinds that the standard scenarios use as faults.
    pub fault_kinds: BTreeSet<String>,
    /// Variants that the site file uses, by kind.
    pub variants: BTreeMap<String, BTreeSet<String>>,
    /// The first number that the site file uses, by kind and field.
    pub field_values: BTreeMap<(String, String), f64>,
    /// Variants of closing faults that the standard scenarios use, by kind.
    pub closing_variants: BTreeMap<String, BTreeSet<String>>,
}

#[derive(Deserialize)]
struct File {
    name: String,
    length_s: f64,
    #[serde(default)]
    zones: Vec<Named>,
    #[serde(default)]
    services: Vec<Named>,
    #[serde(default)]
    machines: Vec<Machine>,
    #[serde(default, rename = "troubles")]
    sample_entries: Vec<Table>,
    tolerate: Option<Tolerate>,
    #[serde(default, rename = "day")]
    scenarios: Vec<Table>,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

#[derive(Deserialize)]
struct Machine {
    class: String,
}

#[derive(Deserialize)]
struct Tolerate {
    machines: u32,
}

impl Site {
    /// Reads a site file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or is not a usable site file.
    pub fn load(file: &Path) -> Result<Site, Error> {
        let text =
            std::fs::read_to_string(file).map_err(|error| Error::Read(file.to_owned(), error))?;
        Site::parse(&text).map_err(|cause| Error::site(file, cause))
    }

    /// Parses the text of a site file.
    ///
    /// # Errors
    /// Fails if the text is not TOML, has no standard scenario, or has a length under 5 seconds.
    pub fn parse(text: &str) -> Result<Site, String> {
        let file: File = toml::from_str(text).map_err(|error| error.message().to_owned())?;
        if file.scenarios.is_empty() {
            return Err("the site has no day".to_owned());
        }
        if !(file.length_s.is_finite() && file.length_s >= 5.0) {
            return Err("length_s must be at least 5".to_owned());
        }
        let mut site = Site {
            name: file.name,
            length_s: file.length_s,
            tolerated_losses: file.tolerate.map_or(1, |tolerate| tolerate.machines),
            zones: file.zones.into_iter().map(|zone| zone.name).collect(),
            services: file
                .services
                .into_iter()
                .map(|service| service.name)
                .collect(),
            classes: file
                .machines
                .into_iter()
                .map(|machine| machine.class)
                .collect(),
            standard_scenarios: file.scenarios,
            planned_kinds: BTreeSet::new(),
            fault_kinds: BTreeSet::new(),
            variants: BTreeMap::new(),
            field_values: BTreeMap::new(),
            closing_variants: BTreeMap::new(),
        };
        for entry in &file.sample_entries {
            site.record_usage(entry);
        }
        for scenario in site.standard_scenarios.clone() {
            for (list, planned) in [("plan", true), ("faults", false)] {
                for entry in scenario
                    .get(list)
                    .and_then(Value::as_array)
                    .into_iter()
                    .flatten()
                {
                    let Some(entry) = entry.as_table() else {
                        continue;
                    };
                    site.record_usage(entry);
                    let Some(kind) = entry.get("kind").and_then(Value::as_str) else {
                        continue;
                    };
                    let kinds = if planned {
                        &mut site.planned_kinds
                    } else {
                        &mut site.fault_kinds
                    };
                    kinds.insert(kind.to_owned());
                }
            }
            let closing = scenario.get("closing").and_then(Value::as_table);
            let text = |name: &str| {
                closing
                    .and_then(|closing| closing.get(name))
                    .and_then(Value::as_str)
            };
            if let (Some(kind), Some(how)) = (text("kind"), text("how")) {
                site.closing_variants
                    .entry(kind.to_owned())
                    .or_default()
                    .insert(how.to_owned());
            }
        }
        Ok(site)
    }

    fn record_usage(&mut self, entry: &Table) {
        let Some(kind) = entry.get("kind").and_then(Value::as_str) else {
            return;
        };
        if let Some(how) = entry
            .get("how")
            .and_then(Value::as_str)
            .filter(|how| !how.is_empty())
        {
            self.variants
                .entry(kind.to_owned())
                .or_default()
                .insert(how.to_owned());
        }
        for (field, value) in entry {
            let number = value
                .as_float()
                .or_else(|| value.as_integer().map(|integer| integer as f64));
            if let Some(number) = number.filter(|_| field != "at") {
                self.field_values
                    .entry((kind.to_owned(), field.clone()))
                    .or_insert(number);
            }
        }
    }
}

//! The site file of a deployment, as far as scenarios are generated from it.

use crate::error::Error;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use toml::{Table, Value};

/// A deployment and what its own scenarios use.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// Length of a scenario in seconds; at least 5.
    pub length_s: f64,
    /// Control plane machines that may fail at once; 1 by default.
    pub tolerated_losses: u32,
    /// Its zones.
    pub zones: Vec<String>,
    /// Its services.
    pub services: Vec<String>,
    /// Classes of machines.
    pub classes: BTreeSet<String>,
    /// Its standard scenarios, unchanged.
    pub days: Vec<Table>,
    /// Kinds that its scenarios use as planned changes.
    pub planned: BTreeSet<String>,
    /// Kinds that its scenarios use as faults.
    pub faults: BTreeSet<String>,
    /// Variants that its scenarios use, by kind.
    pub variants: BTreeMap<String, BTreeSet<String>>,
    /// The first number that its scenarios use, by kind and field.
    pub numbers: BTreeMap<(String, String), f64>,
    /// Variants of closing faults, by kind.
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
    #[serde(default)]
    troubles: Vec<Table>,
    tolerate: Option<Tolerate>,
    #[serde(default)]
    day: Vec<Table>,
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
    /// The file cannot be read or is not a usable site file.
    pub fn load(file: &Path) -> Result<Site, Error> {
        let text =
            std::fs::read_to_string(file).map_err(|error| Error::Read(file.to_owned(), error))?;
        Site::read(&text).map_err(|what| Error::site(file, what))
    }

    /// Parses the text of a site file.
    ///
    /// # Errors
    /// The text is not TOML, has no scenario, or a length under 5 seconds.
    pub fn read(text: &str) -> Result<Site, String> {
        let file: File = toml::from_str(text).map_err(|error| error.message().to_owned())?;
        if file.day.is_empty() {
            return Err("it has no day".to_owned());
        }
        if !(file.length_s.is_finite() && file.length_s >= 5.0) {
            return Err("length_s is under 5".to_owned());
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
            days: file.day,
            planned: BTreeSet::new(),
            faults: BTreeSet::new(),
            variants: BTreeMap::new(),
            numbers: BTreeMap::new(),
            closing_variants: BTreeMap::new(),
        };
        for entry in &file.troubles {
            site.record_usage(entry);
        }
        for day in site.days.clone() {
            for (list, planned) in [("plan", true), ("faults", false)] {
                for entry in day
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
                    let known = if planned {
                        &mut site.planned
                    } else {
                        &mut site.faults
                    };
                    known.insert(kind.to_owned());
                }
            }
            let closing = day.get("closing").and_then(Value::as_table);
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
                .or_else(|| value.as_integer().map(|whole| whole as f64));
            if let Some(number) = number.filter(|_| field != "at") {
                self.numbers
                    .entry((kind.to_owned(), field.clone()))
                    .or_insert(number);
            }
        }
    }
}

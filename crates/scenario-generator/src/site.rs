//! What a site file tells that days are drawn from.

use crate::error::Error;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use toml::{Table, Value};

/// A deployment.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// How long its days are, in seconds.
    pub length_s: f64,
    /// How many counted machines may be lost at once.
    pub losses: u32,
    /// Its zones.
    pub zones: Vec<String>,
    /// Its services.
    pub services: Vec<String>,
    /// Classes of machines.
    pub classes: BTreeSet<String>,
    /// Its standard days, as they stand there.
    pub days: Vec<Table>,
    /// Kinds that its days have as planned work.
    pub planned: BTreeSet<String>,
    /// Kinds that its days have as faults.
    pub faults: BTreeSet<String>,
    /// Variants in use there, by kind.
    pub hows: BTreeMap<String, BTreeSet<String>>,
    /// Numbers in use there, by kind and field.
    pub numbers: BTreeMap<(String, String), f64>,
    /// Variants of the faults at the ends of its days, by kind.
    pub closing_hows: BTreeMap<String, BTreeSet<String>>,
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
    pub fn load(file: &Path) -> Result<Site, Error> {
        let text =
            std::fs::read_to_string(file).map_err(|error| Error::Read(file.to_owned(), error))?;
        Site::read(&text).map_err(|what| Error::site(file, what))
    }

    /// Reads the text of a site file.
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
            losses: file.tolerate.map_or(1, |tolerate| tolerate.machines),
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
            hows: BTreeMap::new(),
            numbers: BTreeMap::new(),
            closing_hows: BTreeMap::new(),
        };
        for entry in &file.troubles {
            site.learn(entry);
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
                    site.learn(entry);
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
                site.closing_hows
                    .entry(kind.to_owned())
                    .or_default()
                    .insert(how.to_owned());
            }
        }
        Ok(site)
    }

    fn learn(&mut self, entry: &Table) {
        let Some(kind) = entry.get("kind").and_then(Value::as_str) else {
            return;
        };
        if let Some(how) = entry
            .get("how")
            .and_then(Value::as_str)
            .filter(|how| !how.is_empty())
        {
            self.hows
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

//! Reads a TOML text key by key and collects every mistake with its line; a derived deserialiser
//! would stop at the first.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// A mistake in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Line, from 1.
    pub line: usize,
    /// Path of the key, with those of the enclosing tables.
    pub path: String,
    /// Description, with what was expected.
    pub text: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.path, self.text)
    }
}

/// State shared by all tables of a text.
struct Shared<'t> {
    text: &'t str,
    mistakes: RefCell<Vec<Mistake>>,
}

/// A table that is being read.
pub struct Table<'t, 'd> {
    shared: Rc<Shared<'t>>,
    path: String,
    line: usize,
    table: Option<&'d DeTable<'t>>,
    used: RefCell<BTreeSet<String>>,
}

fn line_at(text: &str, at: usize) -> usize {
    text.as_bytes()
        .iter()
        .take(at)
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}

impl Table<'_, '_> {
    /// Parses a text and reads it with `read`.
    ///
    /// # Errors
    /// Returns every mistake, in the order of the lines.
    pub fn read<T>(text: &str, read: impl FnOnce(&Table<'_, '_>) -> T) -> Result<T, Vec<Mistake>> {
        let parsed = match DeTable::parse(text) {
            Ok(parsed) => parsed,
            Err(error) => {
                let line = line_at(text, error.span().map_or(0, |span| span.start));
                let text = error.message().to_owned();
                return Err(vec![Mistake {
                    line,
                    path: "the file".into(),
                    text,
                }]);
            }
        };
        let shared = Rc::new(Shared {
            text,
            mistakes: RefCell::default(),
        });
        let top = Table {
            shared: shared.clone(),
            path: String::new(),
            line: 1,
            table: Some(parsed.get_ref()),
            used: RefCell::default(),
        };
        let value = read(&top);
        top.finish();
        let mut mistakes = shared.mistakes.borrow_mut();
        if mistakes.is_empty() {
            return Ok(value);
        }
        mistakes.sort_by_key(|mistake| mistake.line);
        mistakes.dedup();
        Err(std::mem::take(&mut *mistakes))
    }
}

impl<'t, 'd> Table<'t, 'd> {
    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn get(&self, key: &str) -> Option<&'d Spanned<DeValue<'t>>> {
        self.used.borrow_mut().insert(key.to_owned());
        let mut entries = self.table?.iter();
        entries
            .find(|(known, _)| known.get_ref().as_ref() == key)
            .map(|(_, value)| value)
    }

    fn report(&self, line: usize, path: String, text: String) {
        self.shared
            .mistakes
            .borrow_mut()
            .push(Mistake { line, path, text });
    }

    /// Reports that a key's value is not what was expected.
    pub fn report_expected(&self, key: &str, expected: &str) {
        let line = self.get(key).map_or(self.line, |value| {
            line_at(self.shared.text, value.span().start)
        });
        self.report(line, self.path_of(key), format!("{expected} was expected"));
    }

    /// Reports every key that was not read.
    pub fn finish(&self) {
        for (key, _) in self.table.into_iter().flatten() {
            let name: &str = key.get_ref().as_ref();
            if !self.used.borrow().contains(name) {
                let mut known: Vec<String> = self.used.borrow().iter().cloned().collect();
                known.sort();
                let line = line_at(self.shared.text, key.span().start);
                let text = format!("no such key; known here: {}", known.join(", "));
                self.report(line, self.path_of(name), text);
            }
        }
    }

    /// Reads a number within bounds; required if there is no `default`.
    pub fn number(&self, key: &str, default: Option<f64>, min: f64, max: f64) -> f64 {
        match (self.get(key), default) {
            (None, Some(value)) => value,
            (value, _) => {
                let number = value.and_then(|value| finite_number(value.get_ref()));
                number
                    .filter(|n| (min..=max).contains(n))
                    .unwrap_or_else(|| {
                        self.report_expected(key, &format!("a number from {min} to {max}"));
                        default.unwrap_or(min)
                    })
            }
        }
    }

    /// Reads an integer within bounds.
    pub fn integer(&self, key: &str, default: Option<f64>, min: f64, max: f64) -> u32 {
        let number = self.number(key, default, min, max);
        if number.fract() != 0.0 {
            self.report_expected(key, "a whole number");
        }
        number as u32
    }

    /// Reads a number, or two of which the second is not below the first.
    pub fn range(&self, key: &str, default: Option<[f64; 2]>, min: f64, max: f64) -> [f64; 2] {
        let range = match (self.get(key), default) {
            (None, Some(range)) => return range,
            (None, None) => None,
            (Some(value), _) => match value.get_ref() {
                DeValue::Array(items) if items.len() == 2 => {
                    let mut ends = items
                        .iter()
                        .filter_map(|item| finite_number(item.get_ref()));
                    ends.next().zip(ends.next()).map(|(a, b)| [a, b])
                }
                value => finite_number(value).map(|number| [number, number]),
            },
        };
        range
            .filter(|[a, b]| min <= *a && a <= b && *b <= max)
            .unwrap_or_else(|| {
                self.report_expected(key, &format!("a number or [min, max] from {min} to {max}"));
                default.unwrap_or([min, min])
            })
    }

    /// Reads a list of numbers within bounds; empty if missing.
    pub fn numbers(&self, key: &str, min: f64, max: f64) -> Vec<f64> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            self.report_expected(key, &format!("a list of numbers from {min} to {max}"));
            return Vec::new();
        };
        let good: Vec<f64> = items
            .iter()
            .filter_map(|item| finite_number(item.get_ref()))
            .collect();
        if good.len() != items.len() || good.iter().any(|n| !(min..=max).contains(n)) {
            self.report_expected(key, &format!("a list of numbers from {min} to {max}"));
        }
        good
    }

    /// Reads a string; required if there is no `default`.
    pub fn text(&self, key: &str, default: Option<&str>) -> String {
        match (self.get(key).map(Spanned::get_ref), default) {
            (Some(DeValue::String(text)), _) if !text.is_empty() => text.clone().into_owned(),
            (None, Some(text)) => text.to_owned(),
            _ => {
                self.report_expected(key, "a text in quotes");
                String::new()
            }
        }
    }

    /// Reads a boolean.
    pub fn boolean(&self, key: &str, default: bool) -> bool {
        match self.get(key).map(Spanned::get_ref) {
            Some(DeValue::Boolean(value)) => *value,
            None => default,
            Some(_) => {
                self.report_expected(key, "true or false");
                default
            }
        }
    }

    /// Reads one of `choices`; required if `default` is empty.
    pub fn choice(&self, key: &str, default: &str, choices: &[&str]) -> String {
        match self.get(key).map(Spanned::get_ref) {
            Some(DeValue::String(text)) if choices.contains(&text.as_ref()) => {
                text.clone().into_owned()
            }
            None if !default.is_empty() => default.to_owned(),
            _ => {
                self.report_expected(key, &format!("one of {}", choices.join(", ")));
                default.to_owned()
            }
        }
    }

    /// Reads a subtable; empty if missing.
    pub fn table(&self, key: &str) -> Table<'t, 'd> {
        let value = self.get(key);
        let table = match value.map(Spanned::get_ref) {
            Some(DeValue::Table(table)) => Some(table),
            None => None,
            Some(_) => {
                self.report_expected(key, "a table");
                None
            }
        };
        self.subtable(self.path_of(key), value, table)
    }

    /// Reads a list of subtables; empty if missing.
    pub fn tables(&self, key: &str) -> Vec<Table<'t, 'd>> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            self.report_expected(key, &format!("a list of tables, each begun by [[{key}]]"));
            return Vec::new();
        };
        let subtable_at = |(i, item): (usize, &'d Spanned<DeValue<'t>>)| match item.get_ref() {
            DeValue::Table(table) => Some(self.subtable(
                format!("{}[{}]", self.path_of(key), i + 1),
                Some(item),
                Some(table),
            )),
            _ => {
                self.report_expected(key, "a table");
                None
            }
        };
        items.iter().enumerate().filter_map(subtable_at).collect()
    }

    fn subtable(
        &self,
        path: String,
        value: Option<&Spanned<DeValue<'t>>>,
        table: Option<&'d DeTable<'t>>,
    ) -> Table<'t, 'd> {
        let line = value.map_or(self.line, |value| {
            line_at(self.shared.text, value.span().start)
        });
        Table {
            shared: self.shared.clone(),
            path,
            line,
            table,
            used: RefCell::default(),
        }
    }
}

fn finite_number(value: &DeValue<'_>) -> Option<f64> {
    let text = match value {
        DeValue::Integer(number) => number.as_str(),
        DeValue::Float(number) => number.as_str(),
        _ => return None,
    };
    text.replace('_', "")
        .parse()
        .ok()
        .filter(|number: &f64| number.is_finite())
}

//! Reads a TOML text key by key and gathers every mistake with its line, where a derived reader would stop at the
//! first.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// One mistake in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Its line, from 1.
    pub line: usize,
    /// The key, with those of the tables round it.
    pub path: String,
    /// What is wrong, and what was expected.
    pub text: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.path, self.text)
    }
}

/// What all tables of a text share.
struct Shared<'t> {
    text: &'t str,
    mistakes: RefCell<Vec<Mistake>>,
}

/// One table that is being read.
pub struct Table<'t, 'd> {
    shared: Rc<Shared<'t>>,
    path: String,
    line: usize,
    table: Option<&'d DeTable<'t>>,
    used: RefCell<BTreeSet<String>>,
}

fn line_of(text: &str, at: usize) -> usize {
    text.as_bytes()
        .iter()
        .take(at)
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}

impl Table<'_, '_> {
    /// Reads a whole text by `read`.
    ///
    /// # Errors
    /// Every mistake, in the order of the lines.
    pub fn read<T>(text: &str, read: impl FnOnce(&Table<'_, '_>) -> T) -> Result<T, Vec<Mistake>> {
        let parsed = match DeTable::parse(text) {
            Ok(parsed) => parsed,
            Err(error) => {
                let line = line_of(text, error.span().map_or(0, |span| span.start));
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
        let mut all = self.table?.iter();
        all.find(|(known, _)| known.get_ref().as_ref() == key)
            .map(|(_, value)| value)
    }

    fn tell(&self, line: usize, path: String, text: String) {
        self.shared
            .mistakes
            .borrow_mut()
            .push(Mistake { line, path, text });
    }

    /// Tells that a key's value is not what was expected.
    pub fn wrong(&self, key: &str, expected: &str) {
        let line = self.get(key).map_or(self.line, |value| {
            line_of(self.shared.text, value.span().start)
        });
        self.tell(line, self.path_of(key), format!("{expected} was expected"));
    }

    /// Tells of every key that nobody asked for.
    pub fn finish(&self) {
        for (key, _) in self.table.into_iter().flatten() {
            let name: &str = key.get_ref().as_ref();
            if !self.used.borrow().contains(name) {
                let mut known: Vec<String> = self.used.borrow().iter().cloned().collect();
                known.sort();
                let line = line_of(self.shared.text, key.span().start);
                let text = format!("no such key; known here: {}", known.join(", "));
                self.tell(line, self.path_of(name), text);
            }
        }
    }

    /// A number within bounds; without `otherwise` it must be there.
    pub fn number(&self, key: &str, otherwise: Option<f64>, least: f64, most: f64) -> f64 {
        match (self.get(key), otherwise) {
            (None, Some(value)) => value,
            (value, _) => {
                let number = value.and_then(|value| figure(value.get_ref()));
                number
                    .filter(|n| (least..=most).contains(n))
                    .unwrap_or_else(|| {
                        self.wrong(key, &format!("a number from {least} to {most}"));
                        otherwise.unwrap_or(least)
                    })
            }
        }
    }

    /// A whole number within bounds.
    pub fn whole(&self, key: &str, otherwise: Option<f64>, least: f64, most: f64) -> u32 {
        let number = self.number(key, otherwise, least, most);
        if number.fract() != 0.0 {
            self.wrong(key, "a whole number");
        }
        number as u32
    }

    /// A number, or two of which the second is not below the first.
    pub fn range(&self, key: &str, otherwise: Option<[f64; 2]>, least: f64, most: f64) -> [f64; 2] {
        let range = match (self.get(key), otherwise) {
            (None, Some(range)) => return range,
            (None, None) => None,
            (Some(value), _) => match value.get_ref() {
                DeValue::Array(items) if items.len() == 2 => {
                    let mut ends = items.iter().filter_map(|item| figure(item.get_ref()));
                    ends.next().zip(ends.next()).map(|(a, b)| [a, b])
                }
                value => figure(value).map(|number| [number, number]),
            },
        };
        range
            .filter(|[a, b]| least <= *a && a <= b && *b <= most)
            .unwrap_or_else(|| {
                self.wrong(
                    key,
                    &format!("a number or [least, most] from {least} to {most}"),
                );
                otherwise.unwrap_or([least, least])
            })
    }

    /// A list of numbers within bounds; none where it is left out.
    pub fn numbers(&self, key: &str, least: f64, most: f64) -> Vec<f64> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            self.wrong(key, &format!("a list of numbers from {least} to {most}"));
            return Vec::new();
        };
        let good: Vec<f64> = items
            .iter()
            .filter_map(|item| figure(item.get_ref()))
            .collect();
        if good.len() != items.len() || good.iter().any(|n| !(least..=most).contains(n)) {
            self.wrong(key, &format!("a list of numbers from {least} to {most}"));
        }
        good
    }

    /// A text; without `otherwise` it must be there.
    pub fn text(&self, key: &str, otherwise: Option<&str>) -> String {
        match (self.get(key).map(Spanned::get_ref), otherwise) {
            (Some(DeValue::String(text)), _) if !text.is_empty() => text.clone().into_owned(),
            (None, Some(text)) => text.to_owned(),
            _ => {
                self.wrong(key, "a text in quotes");
                String::new()
            }
        }
    }

    /// Yes or no.
    pub fn yes(&self, key: &str, otherwise: bool) -> bool {
        match self.get(key).map(Spanned::get_ref) {
            Some(DeValue::Boolean(yes)) => *yes,
            None => otherwise,
            Some(_) => {
                self.wrong(key, "true or false");
                otherwise
            }
        }
    }

    /// One of these words; with an empty `otherwise` it must be there.
    pub fn choice(&self, key: &str, otherwise: &str, choices: &[&str]) -> String {
        match self.get(key).map(Spanned::get_ref) {
            Some(DeValue::String(text)) if choices.contains(&text.as_ref()) => {
                text.clone().into_owned()
            }
            None if !otherwise.is_empty() => otherwise.to_owned(),
            _ => {
                self.wrong(key, &format!("one of {}", choices.join(", ")));
                otherwise.to_owned()
            }
        }
    }

    /// A table below this one; an empty one where it is left out.
    pub fn table(&self, key: &str) -> Table<'t, 'd> {
        let value = self.get(key);
        let table = match value.map(Spanned::get_ref) {
            Some(DeValue::Table(table)) => Some(table),
            None => None,
            Some(_) => {
                self.wrong(key, "a table");
                None
            }
        };
        self.below(self.path_of(key), value, table)
    }

    /// The tables of a list below this one; none where it is left out.
    pub fn tables(&self, key: &str) -> Vec<Table<'t, 'd>> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let DeValue::Array(items) = value.get_ref() else {
            self.wrong(key, &format!("a list of tables, each begun by [[{key}]]"));
            return Vec::new();
        };
        let one = |(i, item): (usize, &'d Spanned<DeValue<'t>>)| match item.get_ref() {
            DeValue::Table(table) => Some(self.below(
                format!("{}[{}]", self.path_of(key), i + 1),
                Some(item),
                Some(table),
            )),
            _ => {
                self.wrong(key, "a table");
                None
            }
        };
        items.iter().enumerate().filter_map(one).collect()
    }

    fn below(
        &self,
        path: String,
        value: Option<&Spanned<DeValue<'t>>>,
        table: Option<&'d DeTable<'t>>,
    ) -> Table<'t, 'd> {
        let line = value.map_or(self.line, |value| {
            line_of(self.shared.text, value.span().start)
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

fn figure(value: &DeValue<'_>) -> Option<f64> {
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

//! Typed access to `path=value` lines.
//!
//! Invariant: a read never fails. If a value cannot be read, the default is returned and the error
//! is collected for [`Reader::finish`], so that operators see all errors at once.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::str::FromStr;

/// Maximum number of entries in a list of objects; a longer list is an error and counts as empty.
const MAX_LIST_ENTRIES: usize = 4096;

/// Why the value of a path cannot be used. Its text is part of the operator interface.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum ValueError {
    /// The value is not of the setting's type.
    #[error("settings: {path}={value} cannot be read")]
    Malformed { path: String, value: String },
    /// A number is infinite or NaN.
    #[error("settings: {path}={value} is not a finite number")]
    NotFinite { path: String, value: f64 },
    /// The value is not one of the setting's choices.
    #[error("settings: {path}={value} is not a known choice")]
    UnknownChoice { path: String, value: String },
    /// A list has too many entries.
    #[error("settings: {path}={count} is over {MAX_LIST_ENTRIES}")]
    ListTooLong { path: String, count: usize },
}

/// The values by their paths, and the errors of the reads so far.
pub(crate) struct Reader<'a> {
    values: BTreeMap<&'a str, &'a str>,
    errors: RefCell<Vec<ValueError>>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of these lines. A line without `=` is ignored; of several lines with the
    /// same path, the last one counts.
    pub(crate) fn new(lines: &'a str) -> Reader<'a> {
        Reader {
            values: lines
                .lines()
                .filter_map(|line| line.split_once('='))
                .collect(),
            errors: RefCell::default(),
        }
    }

    /// Returns the errors of all reads.
    pub(crate) fn finish(self) -> Vec<ValueError> {
        self.errors.into_inner()
    }

    fn report(&self, error: ValueError) {
        self.errors.borrow_mut().push(error);
    }

    /// Returns a value of any type that can be parsed.
    pub(crate) fn get<T: FromStr>(&self, path: &str, default: T) -> T {
        let Some(value) = self.values.get(path) else {
            return default;
        };
        value.trim().parse().unwrap_or_else(|_| {
            self.report(ValueError::Malformed {
                path: path.to_owned(),
                value: (*value).to_owned(),
            });
            default
        })
    }

    /// Returns a finite number.
    pub(crate) fn number(&self, path: &str, default: f64) -> f64 {
        let value: f64 = self.get(path, default);
        if value.is_finite() {
            return value;
        }
        self.report(ValueError::NotFinite {
            path: path.to_owned(),
            value,
        });
        default
    }

    /// Returns one of several choices by name.
    pub(crate) fn choice<T: Copy>(&self, path: &str, default: T, choices: &[(&str, T)]) -> T {
        let Some(value) = self.values.get(path) else {
            return default;
        };
        match choices.iter().find(|(name, _)| name == value) {
            Some((_, choice)) => *choice,
            None => {
                self.report(ValueError::UnknownChoice {
                    path: path.to_owned(),
                    value: (*value).to_owned(),
                });
                default
            }
        }
    }

    /// Returns a list of scalars that are separated by commas, without empty ones.
    pub(crate) fn list(&self, path: &str) -> Vec<String> {
        let value = self.values.get(path).copied().unwrap_or_default();
        value
            .split(',')
            .filter(|entry| !entry.is_empty())
            .map(str::to_owned)
            .collect()
    }

    /// Returns the names in a list of objects, one for each entry; empty for an entry without a
    /// name.
    pub(crate) fn entry_names(&self, list: &str) -> Vec<String> {
        let name = |index: usize| {
            let path = format!("{list}.{index}.name");
            self.values
                .get(path.as_str())
                .copied()
                .unwrap_or_default()
                .to_owned()
        };
        (0..self.count(list)).map(name).collect()
    }

    /// Returns the length of a list of objects.
    fn count(&self, list: &str) -> usize {
        let path = format!("{list}.count");
        let count = self.get(&path, 0);
        if count <= MAX_LIST_ENTRIES {
            return count;
        }
        self.report(ValueError::ListTooLong { path, count });
        0
    }
}

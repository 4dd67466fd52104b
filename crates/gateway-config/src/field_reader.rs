//! Typed access to the JSON fields of an item.

use crate::error::ConfigError;
use crate::item::Item;
use crate::json::{parse, Json};

/// The parsed fields of an item. Errors identify the item and the field, and give the reason.
pub(crate) struct FieldReader<'a> {
    item: &'a Item,
    values: Vec<(&'a str, Json)>,
}

impl<'a> FieldReader<'a> {
    /// Parses all fields, including those that are not read afterwards.
    pub(crate) fn new(item: &'a Item) -> Result<FieldReader<'a>, ConfigError> {
        let mut reader = FieldReader {
            item,
            values: Vec::with_capacity(item.fields.len()),
        };
        for field in &item.fields {
            let value =
                parse(field.json.as_bytes()).map_err(|reason| reader.invalid("value", reason))?;
            reader.values.push((field.name.as_str(), value));
        }
        Ok(reader)
    }

    /// Returns the value of a field; `None` if the field is missing.
    pub(crate) fn get(&self, name: &str) -> Option<&Json> {
        self.values
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }

    /// Returns an error for a field whose value is not allowed.
    pub(crate) fn invalid(&self, field: &'static str, reason: impl Into<String>) -> ConfigError {
        ConfigError::InvalidField {
            kind: self.item.kind(),
            name: self.item.name.clone(),
            version: self.item.version,
            field,
            reason: reason.into(),
        }
    }

    /// Reads a required, non-empty string.
    pub(crate) fn string(&self, field: &'static str) -> Result<String, ConfigError> {
        self.get(field)
            .and_then(Json::as_string)
            .map(|text| text.as_str().to_owned())
            .filter(|text| !text.is_empty())
            .ok_or_else(|| self.invalid(field, "no text"))
    }

    /// Reads a finite, non-negative number; `None` if the field is missing.
    pub(crate) fn number(&self, field: &'static str) -> Result<Option<f64>, ConfigError> {
        let Some(value) = self.get(field) else {
            return Ok(None);
        };
        non_negative_number(value)
            .map(Some)
            .ok_or_else(|| self.invalid(field, "no figure of nought at least"))
    }

    /// Reads an unsigned 32-bit integer; `None` if the field is missing.
    pub(crate) fn integer(&self, field: &'static str) -> Result<Option<u32>, ConfigError> {
        let is_integer = |number: f64| number.fract() == 0.0 && number <= f64::from(u32::MAX);
        match self.number(field)? {
            Some(number) if !is_integer(number) => Err(self.invalid(field, "no whole number")),
            number => Ok(number.map(|number| number as u32)),
        }
    }

    /// Reads a boolean; `false` if the field is missing.
    pub(crate) fn boolean(&self, field: &'static str) -> Result<bool, ConfigError> {
        match self.get(field) {
            None => Ok(false),
            Some(value) => value
                .as_bool()
                .ok_or_else(|| self.invalid(field, "neither true nor false")),
        }
    }
}

/// Returns the value as a finite, non-negative number; `None` if it is anything else.
pub(crate) fn non_negative_number(value: &Json) -> Option<f64> {
    value
        .as_number()
        .map(|number| number.to_f64_lossy())
        .filter(|number| number.is_finite() && *number >= 0.0)
}

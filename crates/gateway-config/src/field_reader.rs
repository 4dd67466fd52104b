//! Typed access to the JSON fields of an item.

use crate::error::ConfigError;
use crate::item::Item;
use crate::json::{parse, Json};

/// The parsed fields of an item. Each method's error names the item, the field and what is wrong.
pub(crate) struct FieldReader<'a> {
    item: &'a Item,
    values: Vec<(&'a str, Json)>,
}

impl<'a> FieldReader<'a> {
    /// Parses all fields, also those that are not read afterwards.
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

    /// The value of a field; `None` if it is left out.
    pub(crate) fn get(&self, name: &str) -> Option<&Json> {
        self.values
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }

    /// The error that a field has a value that is not allowed.
    pub(crate) fn invalid(&self, field: &'static str, reason: impl Into<String>) -> ConfigError {
        ConfigError::InvalidField {
            kind: self.item.kind(),
            name: self.item.name.clone(),
            version: self.item.version,
            field,
            reason: reason.into(),
        }
    }

    /// A string that is required and not empty.
    pub(crate) fn string(&self, field: &'static str) -> Result<String, ConfigError> {
        self.get(field)
            .and_then(Json::as_string)
            .map(|text| text.as_str().to_owned())
            .filter(|text| !text.is_empty())
            .ok_or_else(|| self.invalid(field, "no text"))
    }

    /// A finite number that is not negative; `None` if it is left out.
    pub(crate) fn number(&self, field: &'static str) -> Result<Option<f64>, ConfigError> {
        let Some(value) = self.get(field) else {
            return Ok(None);
        };
        non_negative_number(value)
            .map(Some)
            .ok_or_else(|| self.invalid(field, "no figure of nought at least"))
    }

    /// An integer of 32 bits that is not negative; `None` if it is left out.
    pub(crate) fn integer(&self, field: &'static str) -> Result<Option<u32>, ConfigError> {
        let is_integer = |number: f64| number.fract() == 0.0 && number <= f64::from(u32::MAX);
        match self.number(field)? {
            Some(number) if !is_integer(number) => Err(self.invalid(field, "no whole number")),
            number => Ok(number.map(|number| number as u32)),
        }
    }

    /// A boolean; `false` if it is left out.
    pub(crate) fn boolean(&self, field: &'static str) -> Result<bool, ConfigError> {
        match self.get(field) {
            None => Ok(false),
            Some(value) => value
                .as_bool()
                .ok_or_else(|| self.invalid(field, "neither true nor false")),
        }
    }
}

/// The value as a finite number that is not negative.
pub(crate) fn non_negative_number(value: &Json) -> Option<f64> {
    value
        .as_number()
        .map(|number| number.to_f64_lossy())
        .filter(|number| number.is_finite() && *number >= 0.0)
}

//! Conversion of nested JSON to `path=value` lines, the form that the simulator sends.
//!
//! Keys are joined by dots. A list of objects becomes `list.count=N` and `list.0.key=value`; a list
//! of scalars becomes one line with commas between the values; `null` is omitted.

use serde_json::Value;
use std::fmt::Write;

/// Returns a string value in its wire form: spaces and commas, which separate values on the wire,
/// become underscores.
pub fn wire_value(value: &str) -> String {
    value.replace([' ', ','], "_")
}

/// Returns nested settings as `path=value` lines, which [`parse`](crate::parse) reads.
pub fn to_lines(settings: &Value) -> String {
    let mut lines = String::new();
    flatten("", settings, &mut lines);
    lines
}

fn flatten(path: &str, value: &Value, lines: &mut String) {
    match value {
        Value::Object(entries) => entries
            .iter()
            .for_each(|(key, value)| flatten(&join_path(path, key), value, lines)),
        Value::Array(items) if items.iter().any(is_nested) => {
            push_line(&join_path(path, "count"), &items.len().to_string(), lines);
            for (index, item) in items.iter().enumerate() {
                flatten(&join_path(path, &index.to_string()), item, lines);
            }
        }
        Value::Array(items) => {
            let values: Vec<String> = items.iter().filter_map(scalar).collect();
            push_line(path, &values.join(","), lines);
        }
        value => {
            if let Some(value) = scalar(value) {
                push_line(path, &value, lines);
            }
        }
    }
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn push_line(path: &str, value: &str, lines: &mut String) {
    // Writing to a string cannot fail.
    let _ = writeln!(lines, "{path}={value}");
}

fn is_nested(value: &Value) -> bool {
    value.is_object() || value.is_array()
}

/// Returns the text of a scalar; `None` for `null`, lists and objects.
fn scalar(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(wire_value(text)),
        Value::Bool(_) | Value::Number(_) => Some(value.to_string()),
        Value::Null | Value::Array(_) | Value::Object(_) => None,
    }
}

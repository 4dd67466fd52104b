//! A generated scenario and the TOML form that the bench reads: one line per entry, time and kind
//! first.

use toml::{Table, Value};

/// The order of an entry's fields in the file; other fields follow.
const FIELD_ORDER: [&str; 11] = [
    "at", "kind", "on", "zone", "service", "share", "count", "x", "for_s", "gap_s", "how",
];

/// A generated scenario.
pub struct Scenario {
    /// Name of the scenario; also the stem of the file name.
    pub name: String,
    /// Content of the scenario file.
    pub table: Table,
}

impl Scenario {
    /// Returns the TOML text that the bench reads, one line per entry.
    pub fn to_toml(&self) -> String {
        let mut text = String::new();
        for (key, value) in &self.table {
            match value
                .as_array()
                .filter(|list| list.iter().any(Value::is_table))
            {
                Some(list) => {
                    text.push_str(&format!("{key} = [\n"));
                    for entry in list {
                        text.push_str(&format!("  {},\n", inline_table(entry)));
                    }
                    text.push_str("]\n");
                }
                None => text.push_str(&format!("{key} = {value}\n")),
            }
        }
        text
    }
}

/// Formats an entry as an inline table with its fields in [`FIELD_ORDER`].
fn inline_table(entry: &Value) -> String {
    let Some(table) = entry.as_table() else {
        return entry.to_string();
    };
    let mut fields: Vec<(&String, &Value)> = table.iter().collect();
    let order_of = |field: &str| {
        FIELD_ORDER
            .iter()
            .position(|known| *known == field)
            .unwrap_or(FIELD_ORDER.len())
    };
    fields.sort_by_key(|(field, _)| order_of(field));
    let fields: Vec<String> = fields
        .into_iter()
        .map(|(field, value)| format!("{field} = {value}"))
        .collect();
    format!("{{ {} }}", fields.join(", "))
}

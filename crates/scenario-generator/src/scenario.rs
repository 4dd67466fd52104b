//! A generated scenario and its TOML form, in which the bench reads it: one line per entry, time and kind first.

use toml::{Table, Value};

/// The order of an entry's fields in the file; other fields follow.
const FIELD_ORDER: [&str; 11] = [
    "at", "kind", "on", "zone", "service", "share", "count", "x", "for_s", "gap_s", "how",
];
/// One generated scenario.
pub struct Scenario {
    /// Its name and the stem of its file name.
    pub name: String,
    /// Its content.
    pub table: Table,
}

impl Scenario {
    /// The TOML text that the bench reads, one line per entry.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (key, value) in &self.table {
            match value
                .as_array()
                .filter(|list| list.iter().any(Value::is_table))
            {
                Some(list) => {
                    text.push_str(&format!("{key} = [\n"));
                    for entry in list {
                        text.push_str(&format!("  {},\n", inline(entry)));
                    }
                    text.push_str("]\n");
                }
                None => text.push_str(&format!("{key} = {value}\n")),
            }
        }
        text
    }
}

/// An entry as an inline table, in [`FIELD_ORDER`].
fn inline(entry: &Value) -> String {
    let Some(table) = entry.as_table() else {
        return entry.to_string();
    };
    let mut fields: Vec<(&String, &Value)> = table.iter().collect();
    let place = |field: &str| {
        FIELD_ORDER
            .iter()
            .position(|one| *one == field)
            .unwrap_or(FIELD_ORDER.len())
    };
    fields.sort_by_key(|(field, _)| place(field));
    let fields: Vec<String> = fields
        .into_iter()
        .map(|(field, value)| format!("{field} = {value}"))
        .collect();
    format!("{{ {} }}", fields.join(", "))
}

//! Parses the body of a `config.amend` call: JSON with lists of items to set (`Upsert`) and to
//! remove (`Remove`).

use crate::error::ConfigError;
use crate::item::{Change, Field, Item, ItemKind};
use crate::json::{parse, Json};
use crate::model;

/// Maximum number of items in one call; a call with more is rejected.
const MAX_ITEMS: usize = 100_000;

/// Number of hexadecimal digits of a version.
const VERSION_DIGITS: usize = 8;

/// The name and value of a field, before the item is built.
type NamedValue<'a> = (String, &'a Json);

/// Parses a call and checks each of its items individually. Consistency among the items and with
/// the configuration is checked by [`ConfigState::validate`](crate::ConfigState::validate).
///
/// # Errors
/// Returns [`ConfigError::Malformed`] or [`ConfigError::InvalidField`].
pub fn parse_amend(body: &[u8]) -> Result<Change, ConfigError> {
    let items = parse_items(body)?;
    if items.len() > MAX_ITEMS {
        return Err(ConfigError::malformed("body", "too many items"));
    }
    reject_ambiguous_versions(&items)?;
    for item in &items {
        model::check(item)?;
    }
    Ok(Change { items })
}

fn parse_items(body: &[u8]) -> Result<Vec<Item>, ConfigError> {
    let call = parse(body).map_err(|reason| ConfigError::malformed("body", reason))?;
    let call = call
        .as_object()
        .ok_or_else(|| ConfigError::malformed("body", "no object"))?;
    let mut items = Vec::new();
    for (name, value) in call.iter() {
        match name.as_str() {
            "Upsert" => parse_upsert(value, &mut items)?,
            "Remove" => parse_remove(value, &mut items)?,
            // Unknown sections, which newer operator tools may send, are ignored.
            _ => {}
        }
    }
    Ok(items)
}

/// Rejects a call with two different contents for one version of an item. An item may otherwise
/// occur more than once: with several versions, or in both sections.
fn reject_ambiguous_versions(items: &[Item]) -> Result<(), ConfigError> {
    fn key(item: &Item) -> (i32, &str, u32) {
        (item.kind, &item.name, item.version)
    }
    let mut sorted: Vec<&Item> = items.iter().collect();
    sorted.sort_by(|a, b| key(a).cmp(&key(b)));
    let ambiguous = sorted
        .windows(2)
        .find(|pair| key(pair[0]) == key(pair[1]) && pair[0] != pair[1]);
    match ambiguous {
        None => Ok(()),
        Some(pair) => Err(ConfigError::malformed(
            "Version",
            format!("{} stands twice in one version", pair[0].name),
        )),
    }
}

fn kind_of_list(list: &str) -> Option<ItemKind> {
    ItemKind::ALL.into_iter().find(|kind| kind.list() == list)
}

fn parse_upsert(value: &Json, items: &mut Vec<Item>) -> Result<(), ConfigError> {
    if value.is_null() {
        return Ok(());
    }
    let lists = value
        .as_object()
        .ok_or_else(|| ConfigError::malformed("Upsert", "no object"))?;
    for (list, value) in lists.iter() {
        let kind = kind_of_list(list.as_str())
            .ok_or_else(|| ConfigError::malformed("Upsert", "unknown list"))?;
        if value.is_null() {
            continue;
        }
        if kind == ItemKind::Limits {
            items.push(build_item(kind, parse_object(kind.list(), value)?)?);
        } else {
            parse_table(kind, value, items)?;
        }
    }
    Ok(())
}

/// Parses a list of items in the form of `ColumnNames` and `DataRows`.
fn parse_table(kind: ItemKind, value: &Json, items: &mut Vec<Item>) -> Result<(), ConfigError> {
    let malformed = |reason: &str| ConfigError::malformed(kind.list(), reason);
    let table = value.as_object().ok_or_else(|| malformed("no object"))?;
    let columns: Vec<&str> = table
        .get("ColumnNames")
        .and_then(Json::as_array)
        .ok_or_else(|| malformed("no ColumnNames"))?
        .iter()
        .map(|column| column.as_string().map(|name| name.as_str()))
        .collect::<Option<_>>()
        .ok_or_else(|| malformed("a column without a name"))?;
    let rows = table
        .get("DataRows")
        .and_then(Json::as_array)
        .ok_or_else(|| malformed("no DataRows"))?;
    for row in rows.iter() {
        let row = row
            .as_array()
            .filter(|row| row.len() == columns.len())
            .ok_or_else(|| malformed("a row of another length"))?;
        let fields = columns
            .iter()
            .map(|name| (*name).to_owned())
            .zip(row.iter())
            .collect();
        items.push(build_item(kind, fields)?);
    }
    Ok(())
}

fn parse_remove(value: &Json, items: &mut Vec<Item>) -> Result<(), ConfigError> {
    if value.is_null() {
        return Ok(());
    }
    let malformed = |reason: &str| ConfigError::malformed("Remove", reason);
    let lists = value.as_object().ok_or_else(|| malformed("no object"))?;
    for (list, value) in lists.iter() {
        let kind = kind_of_list(list.as_str())
            .filter(|kind| *kind != ItemKind::Limits)
            .ok_or_else(|| malformed("unknown list"))?;
        if value.is_null() {
            continue;
        }
        let entries = value.as_array().ok_or_else(|| malformed("no list"))?;
        for entry in entries.iter() {
            let item = build_item(kind, parse_object("Remove", entry)?)?;
            items.push(Item {
                dropped: true,
                fields: Vec::new(),
                ..item
            });
        }
    }
    Ok(())
}

fn parse_object<'a>(
    section: &'static str,
    value: &'a Json,
) -> Result<Vec<NamedValue<'a>>, ConfigError> {
    let object = value
        .as_object()
        .ok_or_else(|| ConfigError::malformed(section, "no object"))?;
    Ok(object
        .iter()
        .map(|(name, value)| (name.as_str().to_owned(), value))
        .collect())
}

/// Builds an item; null fields are omitted.
fn build_item(kind: ItemKind, values: Vec<NamedValue<'_>>) -> Result<Item, ConfigError> {
    let mut name = String::new();
    let mut version = None;
    let mut fields = Vec::new();
    for (field, value) in values {
        match field.as_str() {
            _ if value.is_null() => {}
            "Name" if kind != ItemKind::Limits => name = parse_name(value)?,
            "Version" => version = Some(parse_version(value)?),
            _ => {
                let json = facet_json::to_string(value)
                    .map_err(|error| ConfigError::malformed("value", error.to_string()))?;
                fields.push(Field { name: field, json });
            }
        }
    }
    if name.is_empty() && kind != ItemKind::Limits {
        return Err(ConfigError::malformed(
            kind.list(),
            "an item without a Name",
        ));
    }
    let version =
        version.ok_or_else(|| ConfigError::malformed("Version", format!("{name} has none")))?;
    fields.sort_by(|a, b| a.name.cmp(&b.name));
    if fields.windows(2).any(|pair| pair[0].name == pair[1].name) {
        return Err(ConfigError::malformed(
            "ColumnNames",
            "a column stands twice",
        ));
    }
    Ok(Item {
        kind: kind.into(),
        name,
        version,
        dropped: false,
        fields,
    })
}

fn parse_name(value: &Json) -> Result<String, ConfigError> {
    value
        .as_string()
        .map(|text| text.as_str().to_owned())
        .ok_or_else(|| ConfigError::malformed("Name", "no text"))
}

/// Parses a version: eight hexadecimal digits.
fn parse_version(value: &Json) -> Result<u32, ConfigError> {
    value
        .as_string()
        .map(|text| text.as_str())
        // `from_str_radix` alone would accept a sign.
        .filter(|text| text.len() == VERSION_DIGITS)
        .filter(|text| text.bytes().all(|byte| byte.is_ascii_hexdigit()))
        .and_then(|text| u32::from_str_radix(text, 16).ok())
        .ok_or_else(|| ConfigError::malformed("Version", "not eight hexadecimal digits"))
}

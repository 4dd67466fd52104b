//! A call of the operator, read.

use crate::item::{Change, ConfigError, Field, Item, ItemKind};
use crate::json::{parse, Json};
use crate::model;

/// Most items in one call.
const MOST_ITEMS: usize = 100_000;

/// Reads the body of `config.amend`. Every item in it is checked by itself; how it goes with the others is for the board.
pub fn parse_amend(body: &[u8]) -> Result<Change, ConfigError> {
    let whole = parse(body).map_err(|why| ConfigError::Malformed("body", why))?;
    let whole = whole
        .as_object()
        .ok_or_else(|| unreadable("body", "no object"))?;
    let mut items = Vec::new();
    for (name, value) in whole.iter() {
        match name.as_str() {
            "Upsert" => sets(value, &mut items)?,
            "Remove" => drops(value, &mut items)?,
            // What a newer operator says besides is none of ours.
            _ => {}
        }
    }
    if items.len() > MOST_ITEMS {
        return Err(unreadable("body", "too many items"));
    }
    // A name may stand more than once, as a set and as a drop: the highest version holds, and one version says one thing.
    let mut sorted: Vec<&Item> = items.iter().collect();
    sorted.sort_by(|a, b| (a.kind, &a.name, a.version).cmp(&(b.kind, &b.name, b.version)));
    let at_odds =
        |a: &Item, b: &Item| (a.kind, &a.name, a.version) == (b.kind, &b.name, b.version) && a != b;
    if let Some(twice) = sorted.windows(2).find(|pair| at_odds(pair[0], pair[1])) {
        return Err(unreadable(
            "Version",
            &format!("{} stands twice in one version", twice[0].name),
        ));
    }
    for item in &items {
        model::check(item)?;
    }
    Ok(Change { items })
}

fn unreadable(what: &'static str, why: &str) -> ConfigError {
    ConfigError::Malformed(what, why.to_owned())
}

fn kind(list: &str) -> Option<ItemKind> {
    [
        ItemKind::Route,
        ItemKind::Tenant,
        ItemKind::Service,
        ItemKind::Limits,
    ]
    .into_iter()
    .find(|kind| kind.list() == list)
}

fn sets(value: &Json, items: &mut Vec<Item>) -> Result<(), ConfigError> {
    if value.is_null() {
        return Ok(());
    }
    let lists = value
        .as_object()
        .ok_or_else(|| unreadable("Upsert", "no object"))?;
    for (list, value) in lists.iter() {
        let Some(kind) = kind(list.as_str()) else {
            return Err(unreadable("Upsert", "unknown list"));
        };
        if value.is_null() {
            continue;
        }
        let what = kind.list();
        let table = value
            .as_object()
            .ok_or_else(|| unreadable(what, "no object"))?;
        if kind == ItemKind::Limits {
            let fields = table
                .iter()
                .map(|(name, value)| (name.as_str().to_owned(), value))
                .collect();
            items.push(item(kind, fields)?);
            continue;
        }
        let columns = table.get("ColumnNames").and_then(Json::as_array);
        let columns = columns.ok_or_else(|| unreadable(what, "no ColumnNames"))?;
        let columns: Option<Vec<&str>> = columns
            .iter()
            .map(|c| Some(c.as_string()?.as_str()))
            .collect();
        let columns = columns.ok_or_else(|| unreadable(what, "a column without a name"))?;
        let rows = table.get("DataRows").and_then(Json::as_array);
        for row in rows.ok_or_else(|| unreadable(what, "no DataRows"))?.iter() {
            let row = row.as_array().filter(|row| row.len() == columns.len());
            let row = row.ok_or_else(|| unreadable(what, "a row of another length"))?;
            let fields = columns
                .iter()
                .map(|name| (*name).to_owned())
                .zip(row.iter())
                .collect();
            items.push(item(kind, fields)?);
        }
    }
    Ok(())
}

fn drops(value: &Json, items: &mut Vec<Item>) -> Result<(), ConfigError> {
    if value.is_null() {
        return Ok(());
    }
    let lists = value
        .as_object()
        .ok_or_else(|| unreadable("Remove", "no object"))?;
    for (list, value) in lists.iter() {
        let kind = kind(list.as_str()).filter(|kind| *kind != ItemKind::Limits);
        let kind = kind.ok_or_else(|| unreadable("Remove", "unknown list"))?;
        if value.is_null() {
            continue;
        }
        let entries = value
            .as_array()
            .ok_or_else(|| unreadable("Remove", "no list"))?;
        for entry in entries.iter() {
            let entry = entry
                .as_object()
                .ok_or_else(|| unreadable("Remove", "no object"))?;
            let fields = entry
                .iter()
                .map(|(name, value)| (name.as_str().to_owned(), value))
                .collect();
            let whole = item(kind, fields)?;
            items.push(Item {
                dropped: true,
                fields: Vec::new(),
                ..whole
            });
        }
    }
    Ok(())
}

/// An item of these fields; those that are null are left out.
fn item(kind: ItemKind, fields: Vec<(String, &Json)>) -> Result<Item, ConfigError> {
    let (mut name, mut version, mut rest) = (String::new(), None, Vec::new());
    for (field, value) in fields {
        match field.as_str() {
            _ if value.is_null() => {}
            "Name" if kind != ItemKind::Limits => {
                let text = value
                    .as_string()
                    .ok_or_else(|| unreadable("Name", "no text"))?;
                name = text.as_str().to_owned();
            }
            "Version" => version = Some(read_version(value)?),
            _ => {
                let json = facet_json::to_string(value);
                let json =
                    json.map_err(|error| ConfigError::Malformed("value", error.to_string()))?;
                rest.push(Field { name: field, json });
            }
        }
    }
    if name.is_empty() && kind != ItemKind::Limits {
        return Err(unreadable(kind.list(), "an item without a Name"));
    }
    let version = version.ok_or_else(|| unreadable("Version", &format!("{name} has none")))?;
    rest.sort_by(|a, b| a.name.cmp(&b.name));
    if rest.windows(2).any(|pair| pair[0].name == pair[1].name) {
        return Err(unreadable("ColumnNames", "a column stands twice"));
    }
    Ok(Item {
        kind: kind.into(),
        name,
        version,
        dropped: false,
        fields: rest,
    })
}

/// Eight hexadecimal digits.
fn read_version(value: &Json) -> Result<u32, ConfigError> {
    let text = value
        .as_string()
        .map(|text| text.as_str())
        .unwrap_or_default();
    let good = text.len() == 8 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = if good {
        u32::from_str_radix(text, 16).ok()
    } else {
        None
    };
    number.ok_or_else(|| unreadable("Version", "not eight hexadecimal digits"))
}

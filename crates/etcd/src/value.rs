//! What a value under `PREFIX/members/ID` may say (schema: `docs/operators/membership.md`).

use maplefall_policy::Millis;
use maplefall_protocol::{Health, Member};
use serde::Deserialize;
use std::net::SocketAddr;

/// Longest value that is read.
pub const MAX_VALUE_BYTES: usize = 16 * 1024;
/// Longest id.
pub const MAX_ID_BYTES: usize = 200;

/// The document. Fields that are not named here are passed over, so that an installation may add its own.
#[derive(Deserialize)]
struct Document {
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: u32,
    #[serde(default)]
    state: State,
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    started_ms: f64,
    written_ms: Option<f64>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    #[default]
    Up,
    Draining,
}

fn one() -> f64 {
    1.0
}

/// Why a key or value cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InvalidEntry {
    /// The id has no text, or too much of it, or a slash.
    #[error(
        "an id of 1 to {MAX_ID_BYTES} bytes of UTF-8 without a slash was expected behind the prefix"
    )]
    Id,
    /// The value is too long.
    #[error("a value of {MAX_VALUE_BYTES} bytes at most was expected")]
    TooLong,
    /// The value is no document of the schema.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A figure is out of bounds.
    #[error("{0}: a number of {1} was expected")]
    Number(&'static str, &'static str),
}

/// The id in a key, behind this prefix.
///
/// # Errors
/// If there is no usable one.
pub fn parse_id<'a>(key: &'a [u8], prefix: &[u8]) -> Result<&'a str, InvalidEntry> {
    let id = key.strip_prefix(prefix).ok_or(InvalidEntry::Id)?;
    let id = std::str::from_utf8(id).map_err(|_| InvalidEntry::Id)?;
    match id.is_empty()
        || id.len() > MAX_ID_BYTES
        || id.contains('/')
        || id.contains(char::is_control)
    {
        true => Err(InvalidEntry::Id),
        false => Ok(id),
    }
}

/// The node that a value tells of, and the Unix time in milliseconds at which it was written, if it says.
///
/// # Errors
/// If it is no document of the schema.
pub fn parse_member(id: &str, value: &[u8]) -> Result<(Member, Option<Millis>), InvalidEntry> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(InvalidEntry::TooLong);
    }
    let told: Document = serde_json::from_slice(value)?;
    if !(told.size.is_finite() && told.size > 0.0) {
        return Err(InvalidEntry::Number("size", "more than 0"));
    }
    if !(told.started_ms.is_finite() && told.started_ms >= 0.0) {
        return Err(InvalidEntry::Number("started_ms", "0 or more"));
    }
    let member = Member {
        host: id.to_owned(),
        dial: told.address,
        site: told.zone,
        block: told.cell,
        health: match told.state {
            State::Up => Health::Up,
            State::Draining => Health::Draining,
        },
        share: told.size,
        born_ms: told.started_ms,
    };
    Ok((member, told.written_ms))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_value_needs_no_more_than_an_address() {
        let (node, written) =
            parse_member("a", br#"{"address": "127.0.0.1:80", "rack": 7}"#).unwrap();
        assert_eq!(
            (node.health, node.share, node.born_ms, written),
            (Health::Up, 1.0, 0.0, None)
        );
        let text = br#"{"address":"[::1]:80","zone":"z","cell":3,"state":"draining","size":2,"started_ms":5,"written_ms":9}"#;
        let (node, written) = parse_member("a", text).unwrap();
        assert_eq!(
            (node.health, node.site.as_str(), node.block, node.share),
            (Health::Draining, "z", 3, 2.0)
        );
        assert_eq!((node.born_ms, written), (5.0, Some(9.0)));
    }

    #[test]
    fn what_is_no_document_says_what_was_expected() {
        let why = |text: &str| parse_member("a", text.as_bytes()).unwrap_err().to_string();
        assert!(why("{}").contains("address"));
        assert!(why(r#"{"address":"x:80"}"#).contains("socket address"));
        assert!(why(r#"{"address":"127.0.0.1:80","state":"drain"}"#).contains("`up` or `draining`"));
        assert!(
            why(r#"{"address":"127.0.0.1:80","size":0}"#).contains("size: a number of more than 0")
        );
        assert!(why(r#"{"address":"127.0.0.1:80","started_ms":-1}"#).contains("started_ms"));
        assert!(why(&format!("{:20000}", "{}")).contains("16384 bytes"));
        for key in [
            "/p/members/",
            "/p/members/a/b",
            "/q/members/a",
            "/p/members/a\nb",
        ] {
            assert!(parse_id(key.as_bytes(), b"/p/members/").is_err(), "{key}");
        }
        assert_eq!(parse_id(b"/p/members/a", b"/p/members/").unwrap(), "a");
    }
}

//! Parser of the entries `PREFIX/members/ID` (schema: `docs/operators/membership.md`).

use maplefall_policy::Millis;
use maplefall_protocol::{Health, Member};
use serde::Deserialize;
use std::net::SocketAddr;

/// Maximum length of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 16 * 1024;
/// Maximum length of an id, in bytes.
pub const MAX_ID_BYTES: usize = 200;

/// The JSON document of a node. Unknown fields are ignored, so that an installation can add its
/// own.
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

/// Why a key or value is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidEntry {
    /// The key does not start with the prefix, or its id is empty, too long, not UTF-8, or contains
    /// a slash or a control character.
    #[error(
        "an id of 1 to {MAX_ID_BYTES} bytes of UTF-8 without a slash was expected after the prefix"
    )]
    Id,
    /// The value is too long.
    #[error("a value of at most {MAX_VALUE_BYTES} bytes was expected")]
    TooLong,
    /// The value does not match the schema.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A number is out of range: the field and the range that was expected.
    #[error("{0}: a number of {1} was expected")]
    Number(&'static str, &'static str),
}

/// Returns the id in a key, which follows the prefix.
///
/// # Errors
/// Returns [`InvalidEntry::Id`] if there is no valid id.
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

/// Parses the value of a node. Returns the node, and the Unix time in milliseconds at which the
/// value was written, if it has one.
///
/// # Errors
/// Returns an error if the value is too long or does not match the schema.
pub fn parse_member(id: &str, value: &[u8]) -> Result<(Member, Option<Millis>), InvalidEntry> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(InvalidEntry::TooLong);
    }
    let document: Document = serde_json::from_slice(value)?;
    if !(document.size.is_finite() && document.size > 0.0) {
        return Err(InvalidEntry::Number("size", "more than 0"));
    }
    if !(document.started_ms.is_finite() && document.started_ms >= 0.0) {
        return Err(InvalidEntry::Number("started_ms", "0 or more"));
    }
    let member = Member {
        host: id.to_owned(),
        dial: document.address,
        site: document.zone,
        block: document.cell,
        health: match document.state {
            State::Up => Health::Up,
            State::Draining => Health::Draining,
        },
        share: document.size,
        born_ms: document.started_ms,
    };
    Ok((member, document.written_ms))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_value_needs_only_an_address() {
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
    fn errors_name_what_was_expected() {
        let error = |text: &str| parse_member("a", text.as_bytes()).unwrap_err().to_string();
        assert!(error("{}").contains("address"));
        assert!(error(r#"{"address":"x:80"}"#).contains("socket address"));
        assert!(
            error(r#"{"address":"127.0.0.1:80","state":"drain"}"#).contains("`up` or `draining`")
        );
        assert!(error(r#"{"address":"127.0.0.1:80","size":0}"#)
            .contains("size: a number of more than 0"));
        assert!(error(r#"{"address":"127.0.0.1:80","started_ms":-1}"#).contains("started_ms"));
        assert!(error(&format!("{:20000}", "{}")).contains("16384 bytes"));
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

//! Parsing of JSON from callers, with `facet-json`.
//!
//! The library ignores text after a value and recurses without a limit, so the text is checked
//! first: it must be exactly one value, nested no deeper than [`MAX_DEPTH`].

pub use facet_value::Value as Json;

/// Maximum nesting depth. An operator's call has five levels.
const MAX_DEPTH: usize = 24;

/// Parses a text that is exactly one JSON value.
///
/// # Errors
/// Returns a short description of what is wrong with the text.
pub fn parse(text: &[u8]) -> Result<Json, String> {
    let text = std::str::from_utf8(text).map_err(|_| "not UTF-8".to_owned())?;
    check_structure(text)?;
    facet_json::from_str(text).map_err(|error| error.to_string())
}

/// Returns the text as a JSON string literal, including its quotes.
pub fn quoted(text: &str) -> String {
    facet_json::to_string(&text.to_owned()).unwrap_or_else(|_| "\"\"".to_owned())
}

/// Rejects text after the first object or list, nesting that would exhaust the stack, and truncated
/// values.
fn check_structure(text: &str) -> Result<(), String> {
    let mut depth = 0_usize;
    let mut in_string = false;
    let mut escaped = false;
    let mut value_ended = false;
    for byte in text.bytes() {
        if in_string {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_string = false,
                _ => {}
            }
            continue;
        }
        if value_ended && !byte.is_ascii_whitespace() {
            return Err("something follows the value".to_owned());
        }
        match byte {
            b'"' => in_string = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => {
                depth = depth.checked_sub(1).ok_or("closed twice")?;
                value_ended = depth == 0;
            }
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Err("nested too deeply".to_owned());
        }
    }
    if depth > 0 || in_string {
        return Err("cut short".to_owned());
    }
    Ok(())
}

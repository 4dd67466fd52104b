//! JSON of callers, read with `facet-json`, behind a look that it doesn't take: nothing after the value, and no nesting
//! deeper than [`DEEPEST`].

pub use facet_value::Value as Json;

/// Deepest nesting that is read: a call of the operator has five levels.
const DEEPEST: usize = 24;

/// Reads one JSON value that is the whole text; the error tells what is wrong in a few words.
pub fn parse(text: &[u8]) -> Result<Json, String> {
    let text = std::str::from_utf8(text).map_err(|_| "not UTF-8".to_owned())?;
    whole(text)?;
    facet_json::from_str(text).map_err(|error| error.to_string())
}

/// A text as JSON writes it.
pub fn quoted(text: &str) -> String {
    facet_json::to_string(&text.to_owned()).unwrap_or_else(|_| "\"\"".to_owned())
}

/// Guards against what follows a whole value, which the library leaves unread, and against nesting that would use up the
/// stack.
fn whole(text: &str) -> Result<(), String> {
    let (mut depth, mut in_text, mut escaped, mut over) = (0_usize, false, false, false);
    for byte in text.bytes() {
        if in_text {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_text = false,
                _ => {}
            }
            continue;
        }
        if over && !byte.is_ascii_whitespace() {
            return Err("something follows the value".to_owned());
        }
        match byte {
            b'"' => in_text = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => {
                depth = depth.checked_sub(1).ok_or("closed twice")?;
                over = depth == 0;
            }
            _ => {}
        }
        if depth > DEEPEST {
            return Err("nested too deeply".to_owned());
        }
    }
    if depth > 0 || in_text {
        return Err("cut short".to_owned());
    }
    Ok(())
}

//! Sanitizing of text that a peer wrote, or that quotes a peer.

/// Maximum number of input characters kept.
const MAX_CHARS: usize = 200;

/// Returns untrusted text for use within a log line: truncated, and with the characters escaped
/// that would end the line or move the cursor.
pub fn one_line(text: &str) -> String {
    text.chars()
        .take(MAX_CHARS)
        .flat_map(char::escape_debug)
        .collect()
}

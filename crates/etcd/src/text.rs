//! Texts that a peer wrote, or that quote one.

/// Characters that are told at most.
const LONGEST: usize = 200;

/// A text from outside as a part of a line: of bounded length, and with nothing in it that ends the line or moves a cursor.
pub fn one_line(text: &str) -> String {
    text.chars()
        .take(LONGEST)
        .flat_map(char::escape_debug)
        .collect()
}

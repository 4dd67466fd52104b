//! Deadlines on the wire: `grpc-timeout` (`PROTOCOL-HTTP2.md`, "Timeout"), at most eight digits and
//! a unit.
//!
//! Invariant: a deadline shrinks at each hop, so [`format()`] never writes more than the time that
//! is left.

use maplefall_policy::Millis;

/// Milliseconds in an hour.
const HOUR: Millis = 3600e3;
/// Maximum number of digits of a `grpc-timeout` value.
const MAX_DIGITS: usize = 8;
/// Largest `grpc-timeout` value in any unit.
const MAX_VALUE: f64 = 99_999_999.0;
/// Units from the finest to the coarsest, with their lengths in milliseconds.
const UNIT_MILLIS: [(u8, Millis); 6] = [
    (b'n', 1e-6),
    (b'u', 1e-3),
    (b'm', 1.0),
    (b'S', 1e3),
    (b'M', 60e3),
    (b'H', HOUR),
];

/// Parses a header value to milliseconds; `None` if the value is malformed.
pub fn parse(text: &[u8]) -> Option<Millis> {
    let (unit, digits) = text.split_last()?;
    let (_, length) = UNIT_MILLIS.iter().find(|(known, _)| known == unit)?;
    if digits.is_empty() || digits.len() > MAX_DIGITS || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let value = digits
        .iter()
        .fold(0.0, |value, digit| value * 10.0 + f64::from(digit - b'0'));
    Some(value * length)
}

/// Formats a time in milliseconds, rounded down, in the finest unit whose eight digits suffice. A
/// time below 1 ns becomes `1n`, since some servers treat zero as no limit; a time that is not
/// finite becomes the largest value.
pub fn format(time: Millis) -> String {
    let time = if time.is_finite() {
        time.max(0.0)
    } else {
        MAX_VALUE * HOUR
    };
    for (unit, length) in UNIT_MILLIS {
        let value = (time / length).floor();
        if value <= MAX_VALUE {
            return format!("{}{}", value.max(1.0) as u64, char::from(unit));
        }
    }
    format!("{}H", MAX_VALUE as u64)
}

#[cfg(test)]
mod tests;

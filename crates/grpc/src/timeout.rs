//! `grpc-timeout` (`PROTOCOL-HTTP2.md`, "Timeout"): at most eight digits and a unit.

use maplefall_policy::Millis;

/// Most digits of a value.
const DIGITS: usize = 8;
const MOST: f64 = 99_999_999.0;
/// Units, from the finest on, with their length in milliseconds.
const UNITS: [(u8, Millis); 6] = [
    (b'n', 1e-6),
    (b'u', 1e-3),
    (b'm', 1.0),
    (b'S', 1e3),
    (b'M', 60e3),
    (b'H', 3600e3),
];

/// The time that a header allows; `None` if it is none.
pub fn parse(text: &[u8]) -> Option<Millis> {
    let (unit, digits) = text.split_last()?;
    let (_, length) = UNITS.iter().find(|(known, _)| known == unit)?;
    if digits.is_empty() || digits.len() > DIGITS || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let value = digits
        .iter()
        .fold(0.0, |value, digit| value * 10.0 + f64::from(digit - b'0'));
    Some(value * length)
}

/// A header that allows this time or a little less, never more, in the finest unit that has room for it; never none at
/// all, which some servers take for no limit.
pub fn format(time: Millis) -> String {
    let time = if time.is_finite() {
        time.max(0.0)
    } else {
        MOST * 3600e3
    };
    for (unit, length) in UNITS {
        let value = (time / length).floor();
        if value <= MOST {
            return format!("{}{}", value.max(1.0) as u64, char::from(unit));
        }
    }
    format!("{}H", MOST as u64)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn times_are_read_by_their_units() {
        let good = [
            ("1H", 3600e3),
            ("2M", 120e3),
            ("3S", 3e3),
            ("250m", 250.0),
            ("1500u", 1.5),
            ("0n", 0.0),
        ];
        for (text, time) in good {
            assert_eq!(parse(text.as_bytes()), Some(time), "{text}");
        }
        for odd in [
            "",
            "m",
            "5",
            "123456789m",
            "-5m",
            "5 m",
            "1.5S",
            "5s",
            "5ms",
            "+5m",
        ] {
            assert_eq!(parse(odd.as_bytes()), None, "{odd:?}");
        }
    }

    proptest! {
        /// Guards deadlines that shrink at each hop: what is told on is never longer than what is left.
        #[test]
        fn what_is_told_on_is_never_longer(time in 1e-5..1e13f64) {
            let told = parse(format(time).as_bytes()).unwrap();
            prop_assert!(told <= time * (1.0 + 1e-12), "{} -> {}", time, told);
            prop_assert!(told >= time * 0.999 || time < 0.001, "{} -> {}", time, told);
        }
    }

    #[test]
    fn no_time_at_all_is_told_as_next_to_none() {
        assert_eq!(
            (format(0.0), format(-3.0), format(f64::NAN)),
            ("1n".into(), "1n".into(), "99999999H".into())
        );
    }
}

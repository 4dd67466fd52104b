use super::*;
use proptest::prelude::*;

#[test]
fn timeouts_are_parsed_by_unit() {
    let valid = [
        ("1H", 3600e3),
        ("2M", 120e3),
        ("3S", 3e3),
        ("250m", 250.0),
        ("1500u", 1.5),
        ("0n", 0.0),
    ];
    for (text, time) in valid {
        assert_eq!(parse(text.as_bytes()), Some(time), "{text}");
    }
    for invalid in [
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
        assert_eq!(parse(invalid.as_bytes()), None, "{invalid:?}");
    }
}

proptest! {
    /// Guards against deadlines that grow at a hop: the forwarded timeout never exceeds the time
    /// left.
    #[test]
    fn formatted_timeout_is_never_longer(time in 1e-5..1e13f64) {
        let forwarded = parse(format(time).as_bytes()).unwrap();
        prop_assert!(forwarded <= time * (1.0 + 1e-12), "{} -> {}", time, forwarded);
        prop_assert!(forwarded >= time * 0.999 || time < 0.001, "{} -> {}", time, forwarded);
    }
}

#[test]
fn zero_and_non_finite_timeouts_have_a_valid_form() {
    assert_eq!(
        (format(0.0), format(-3.0), format(f64::NAN)),
        ("1n".into(), "1n".into(), "99999999H".into())
    );
}

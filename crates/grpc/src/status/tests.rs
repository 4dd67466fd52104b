use super::*;

#[test]
fn codes_parse_from_their_numbers_and_other_values_are_unknown() {
    for (number, code) in Code::ALL.iter().enumerate() {
        assert_eq!(usize::from(code.number()), number);
        assert_eq!(Code::from_wire(number.to_string().as_bytes()), *code);
    }
    for invalid in ["17", "-1", "", "0x0", " 0", "99999999999999999999", "OK"] {
        assert_eq!(
            Code::from_wire(invalid.as_bytes()),
            Code::Unknown,
            "{invalid:?}"
        );
    }
}

/// Checks the mappings against the rows of the published tables.
#[test]
fn http_and_reset_codes_map_as_published() {
    let http = [
        (400, 13),
        (401, 16),
        (403, 7),
        (404, 12),
        (429, 14),
        (502, 14),
        (503, 14),
        (504, 14),
    ];
    for (status, code) in http {
        assert_eq!(Code::from_http_status(status).number(), code, "{status}");
    }
    assert!([200, 204, 302, 418, 500]
        .iter()
        .all(|status| Code::from_http_status(*status) == Code::Unknown));
    let resets = [
        (0, 13),
        (1, 13),
        (2, 13),
        (3, 13),
        (4, 13),
        (6, 13),
        (7, 14),
        (8, 1),
        (9, 13),
        (10, 13),
        (11, 8),
        (12, 7),
    ];
    for (error, code) in resets {
        assert_eq!(Code::from_reset_code(error).number(), code, "{error}");
    }
    assert_eq!(
        (Code::from_reset_code(5), Code::from_reset_code(13)),
        (Code::Unknown, Code::Unknown)
    );
}

use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn encoded_text_is_printable_ascii_and_decodes_to_itself(text in "\\PC{0,100}|[\\x00-\\x7f]{0,60}") {
        let header = encode(&text);
        prop_assert!(header.bytes().all(|byte| (b' '..=b'~').contains(&byte)));
        prop_assert_eq!(decode(header.as_bytes()), text);
    }

    #[test]
    fn decode_accepts_any_bytes(header in proptest::collection::vec(any::<u8>(), 0..60)) {
        decode(&header);
    }
}

#[test]
fn invalid_escapes_are_kept_unchanged() {
    assert_eq!(decode(b"100% of %4x %C3%A9 %"), "100% of %4x \u{e9} %");
    assert_eq!(encode("a\r\nx: 1 \u{e9}%"), "a%0D%0Ax: 1 %C3%A9%25");
}

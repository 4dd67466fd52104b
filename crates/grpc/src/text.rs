//! `grpc-message` (`PROTOCOL-HTTP2.md`, "Responses"): percent-encoded text.

/// Most bytes of a text that this gateway writes, before it is encoded.
const LONGEST: usize = 512;

/// A text as it stands in a header: printable ASCII but for `%`, all else as `%XX`.
pub fn encode(text: &str) -> String {
    let mut out = String::new();
    for byte in text.bytes().take(LONGEST) {
        match byte {
            b' '..=b'~' if byte != b'%' => out.push(char::from(byte)),
            _ => out.push_str(&format!("%{byte:02X}")),
        }
    }
    out
}

/// What a header says. What is no encoding stands for itself, and bytes that are no UTF-8 are replaced: a message is
/// never a reason to lose a status.
pub fn decode(header: &[u8]) -> String {
    let mut out = Vec::with_capacity(header.len());
    let hex = |byte: Option<&u8>| byte.and_then(|byte| char::from(*byte).to_digit(16));
    let mut at = 0;
    while at < header.len() {
        match (header[at], hex(header.get(at + 1)), hex(header.get(at + 2))) {
            (b'%', Some(high), Some(low)) => {
                out.push((high * 16 + low) as u8);
                at += 3;
            }
            (byte, _, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn what_is_encoded_is_read_again_and_is_a_header(text in "\\PC{0,100}|[\\x00-\\x7f]{0,60}") {
            let header = encode(&text);
            prop_assert!(header.bytes().all(|byte| (b' '..=b'~').contains(&byte)));
            prop_assert_eq!(decode(header.as_bytes()), text);
        }

        #[test]
        fn no_header_is_too_odd(header in proptest::collection::vec(any::<u8>(), 0..60)) {
            decode(&header);
        }
    }

    #[test]
    fn what_is_no_encoding_stands_for_itself() {
        assert_eq!(decode(b"100% of %4x %C3%A9 %"), "100% of %4x \u{e9} %");
        assert_eq!(encode("a\r\nx: 1 \u{e9}%"), "a%0D%0Ax: 1 %C3%A9%25");
    }
}

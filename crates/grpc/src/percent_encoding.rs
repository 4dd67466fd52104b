//! Percent encoding of `grpc-message` (gRPC's `PROTOCOL-HTTP2.md`, "Responses").

/// Maximum text that [`encode`] writes, in bytes before encoding; the rest is truncated.
const MAX_TEXT_BYTES: usize = 512;

/// Encodes a text as a header value: printable ASCII except `%` unchanged, every other byte as
/// `%XX`. At most the first 512 bytes are encoded.
pub fn encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes().take(MAX_TEXT_BYTES) {
        match byte {
            b' '..=b'~' if byte != b'%' => encoded.push(char::from(byte)),
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}

/// Decodes a header value. A `%` without two hexadecimal digits is kept unchanged, and invalid
/// UTF-8 is replaced: a malformed message must not invalidate the status that it accompanies.
pub fn decode(header: &[u8]) -> String {
    let mut decoded = Vec::with_capacity(header.len());
    let hex_digit = |byte: Option<&u8>| byte.and_then(|byte| char::from(*byte).to_digit(16));
    let mut position = 0;
    while position < header.len() {
        match (
            header[position],
            hex_digit(header.get(position + 1)),
            hex_digit(header.get(position + 2)),
        ) {
            (b'%', Some(high), Some(low)) => {
                decoded.push((high * 16 + low) as u8);
                position += 3;
            }
            (byte, _, _) => {
                decoded.push(byte);
                position += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

#[cfg(test)]
mod tests;

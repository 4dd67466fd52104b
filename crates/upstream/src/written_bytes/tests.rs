use super::*;

const HEAD: &[u8] = b"POST /a HTTP/1.1\r\nhost: x\r\n\r\n";

/// Guards the distinction between "could not connect" and "reset": only the last byte completes a
/// request, however the writes are split.
#[test]
fn a_request_is_complete_with_its_last_byte_and_not_before() {
    let bytes = [HEAD, b"\r\n\r\nbody"].concat();
    for split in 1..bytes.len() {
        let mut written = WrittenBytes::new(8);
        written.record(&bytes[..split]);
        assert!(!written.is_complete(), "complete after {split} bytes");
        written.record(&bytes[split..]);
        assert!(
            written.is_complete(),
            "incomplete when split after {split} bytes"
        );
    }
}

/// Guards requests without a body: they are complete with the empty line, written byte by byte too.
#[test]
fn a_request_without_a_body_is_complete_with_its_head() {
    let mut written = WrittenBytes::new(0);
    for byte in &HEAD[..HEAD.len() - 1] {
        written.record(&[*byte]);
        assert!(!written.is_complete());
    }
    written.record(b"\n");
    assert!(written.is_complete());
}

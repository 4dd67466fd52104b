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

/// Guards the statement that a request cannot have run: it holds up to the last byte of the head and
/// not after it, however the writes are split; a withheld byte is the last one of the head.
#[test]
fn a_request_cannot_have_run_before_its_head_is_complete() {
    let bytes = [HEAD, b"\r\n\r\nbody"].concat();
    for split in 1..bytes.len() {
        let mut written = WrittenBytes::new(8);
        let in_first = written.head_bytes_left(&bytes[..split]);
        assert_eq!(in_first, (split >= HEAD.len()).then_some(HEAD.len()));
        written.record(&bytes[..split]);
        assert_eq!(written.is_head_complete(), split >= HEAD.len());
        let in_second = written.head_bytes_left(&bytes[split..]);
        let left = HEAD.len().checked_sub(split).filter(|left| *left > 0);
        assert_eq!(in_second, left, "split after {split} bytes");
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

//! Tracks, below the HTTP library, how much of a request has been written to its socket. A backend
//! may begin to work on a request once it has the complete head, so a request whose head has not
//! been completely written cannot have run.

#[cfg(test)]
mod tests;

/// The empty line that ends a head, with the end of the line before it.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Write progress of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct WrittenBytes {
    /// Number of bytes of [`HEAD_END`] matched by the last bytes of an incomplete head.
    matched_bytes: usize,
    head_written: bool,
    body_left: usize,
}

impl WrittenBytes {
    /// Creates the progress of a request with a body of this length, of which nothing has been
    /// written.
    pub fn new(body_bytes: usize) -> WrittenBytes {
        WrittenBytes {
            body_left: body_bytes,
            ..WrittenBytes::default()
        }
    }

    /// Records that these bytes have been written.
    pub fn record(&mut self, bytes: &[u8]) {
        if self.head_written {
            self.body_left = self.body_left.saturating_sub(bytes.len());
            return;
        }
        let Some(head_bytes) = self.head_bytes_left(bytes) else {
            self.matched_bytes = bytes.iter().fold(self.matched_bytes, match_byte);
            return;
        };
        self.head_written = true;
        self.body_left = self.body_left.saturating_sub(bytes.len() - head_bytes);
    }

    /// Returns how many of these bytes, which are the next to be written, belong to the head;
    /// `None` if the head ends after them or has been completely written.
    pub fn head_bytes_left(&self, bytes: &[u8]) -> Option<usize> {
        if self.head_written {
            return None;
        }
        let mut matched = self.matched_bytes;
        let last = bytes.iter().position(|byte| {
            matched = match_byte(matched, byte);
            matched == HEAD_END.len()
        });
        last.map(|last| last + 1)
    }

    /// Returns whether the head has been completely written.
    pub fn is_head_complete(&self) -> bool {
        self.head_written
    }

    /// Returns whether the last byte of the request has been written.
    pub fn is_complete(&self) -> bool {
        self.head_written && self.body_left == 0
    }
}

/// Returns how many bytes of [`HEAD_END`] are matched after this byte, if `matched` were before it.
fn match_byte(matched: usize, byte: &u8) -> usize {
    match *byte {
        byte if byte == HEAD_END[matched] => matched + 1,
        b'\r' => 1,
        _ => 0,
    }
}

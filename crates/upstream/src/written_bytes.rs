//! Tracks, below the HTTP library, how much of a request has been written to its socket. A request
//! whose last byte has not been written cannot have run.

#[cfg(test)]
mod tests;

/// Write progress of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct WrittenBytes {
    /// Number of bytes matched of the empty line that ends the head.
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
        const HEAD_END: &[u8] = b"\r\n\r\n";
        for (index, byte) in bytes.iter().enumerate() {
            if self.head_written {
                self.body_left = self.body_left.saturating_sub(bytes.len() - index);
                return;
            }
            self.matched_bytes = match *byte {
                byte if byte == HEAD_END[self.matched_bytes] => self.matched_bytes + 1,
                b'\r' => 1,
                _ => 0,
            };
            self.head_written = self.matched_bytes == HEAD_END.len();
        }
    }

    /// Returns whether the last byte of the request has been written.
    pub fn is_complete(&self) -> bool {
        self.head_written && self.body_left == 0
    }

    /// Returns whether the request would be complete with these bytes.
    pub fn would_complete(&self, bytes: &[u8]) -> bool {
        let mut after = self.clone();
        after.record(bytes);
        after.is_complete()
    }
}

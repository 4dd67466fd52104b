//! Length-prefixed messages (`PROTOCOL-HTTP2.md`, "Length-Prefixed-Message"): a compression flag of
//! one byte, a length of four bytes, and the message.
//!
//! Messages are only counted, not decoded. Invariant: the count does not depend on the transport's
//! chunk boundaries.

/// Bytes before each message: the flag and the length.
const PREFIX_BYTES: u8 = 5;

/// Position in a sequence of messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Frames {
    /// Bytes received of the current message's prefix; 0 between messages.
    prefix_bytes: u8,
    /// Length of the current message.
    length: u32,
    /// Bytes of the current message that were not received yet.
    remaining: u32,
    /// Number of complete messages.
    messages: u64,
}

/// A compression flag that is neither 0 nor 1, so that the bytes after it cannot be divided into
/// messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the compression flag of a message is neither 0 nor 1")]
pub struct InvalidFlag;

impl Frames {
    /// Counts the next bytes of the stream, which may end anywhere.
    ///
    /// # Errors
    /// [`InvalidFlag`] if a message begins with an invalid flag; the position is then undefined.
    pub fn take(&mut self, mut bytes: &[u8]) -> Result<(), InvalidFlag> {
        while let Some((first, rest)) = bytes.split_first() {
            if self.remaining > 0 {
                let taken = bytes.len().min(self.remaining as usize);
                self.remaining -= taken as u32;
                bytes = &bytes[taken..];
                self.finish_complete_message();
                continue;
            }
            if self.prefix_bytes == 0 {
                if *first > 1 {
                    return Err(InvalidFlag);
                }
                self.length = 0;
            } else {
                self.length = self.length << 8 | u32::from(*first);
            }
            self.prefix_bytes += 1;
            bytes = rest;
            if self.prefix_bytes == PREFIX_BYTES {
                self.remaining = self.length;
                self.finish_complete_message();
            }
        }
        Ok(())
    }

    fn finish_complete_message(&mut self) {
        if self.remaining == 0 {
            self.messages += 1;
            self.prefix_bytes = 0;
        }
    }

    /// Number of complete messages so far.
    pub fn messages(&self) -> u64 {
        self.messages
    }

    /// Whether the bytes so far end within a message or its prefix.
    pub fn in_message(&self) -> bool {
        self.prefix_bytes > 0
    }

    /// Bytes received of the current message, its prefix included; 0 between messages.
    pub fn bytes_in_message(&self) -> usize {
        let prefix_bytes = usize::from(self.prefix_bytes);
        if self.prefix_bytes == PREFIX_BYTES {
            prefix_bytes + (self.length - self.remaining) as usize
        } else {
            prefix_bytes
        }
    }

    /// Length in bytes of the message whose prefix was received last.
    pub fn length(&self) -> u32 {
        self.length
    }
}

/// The prefix of an uncompressed message of `length` bytes.
pub fn prefix(length: u32) -> [u8; PREFIX_BYTES as usize] {
    let [a, b, c, d] = length.to_be_bytes();
    [0, a, b, c, d]
}

#[cfg(test)]
mod tests;

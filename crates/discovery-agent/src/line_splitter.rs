//! Splits received bytes into lines.

use crate::LineError;

/// The maximum length of a line in bytes: some 20,000 entries.
pub const MAX_LINE_BYTES: usize = 4 << 20;

/// Splits chunks of any length into lines. It buffers at most one line of [`MAX_LINE_BYTES`].
#[derive(Debug, Default)]
pub struct LineSplitter {
    /// The beginning of a line whose end has not been received yet.
    pending: Vec<u8>,
}

impl LineSplitter {
    /// Adds a chunk and calls `consume` for each line that it completes, without the line end.
    ///
    /// # Errors
    ///
    /// Returns [`LineError::TooLong`], or an error of `consume`.
    pub fn push(
        &mut self,
        mut chunk: &[u8],
        mut consume: impl FnMut(&[u8]) -> Result<(), LineError>,
    ) -> Result<(), LineError> {
        while let Some(end) = chunk.iter().position(|byte| *byte == b'\n') {
            let (line, following) = (&chunk[..end], &chunk[end + 1..]);
            if self.pending.is_empty() {
                check_length(line.len())?;
                consume(line)?;
            } else {
                self.buffer(line)?;
                consume(&self.pending)?;
                // Long lines are rare: their memory is released.
                self.pending = Vec::new();
            }
            chunk = following;
        }
        self.buffer(chunk)
    }

    /// Returns what was received after the last line end.
    pub fn remainder(self) -> Vec<u8> {
        self.pending
    }

    fn buffer(&mut self, chunk: &[u8]) -> Result<(), LineError> {
        check_length(self.pending.len() + chunk.len())?;
        self.pending.extend_from_slice(chunk);
        Ok(())
    }
}

fn check_length(length: usize) -> Result<(), LineError> {
    if length > MAX_LINE_BYTES {
        return Err(LineError::TooLong);
    }
    Ok(())
}

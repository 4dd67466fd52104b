//! Splits received bytes into lines.

use crate::LineError;

/// The longest line in bytes: some 20,000 entries.
pub const MAX_LINE_BYTES: usize = 4 << 20;

/// Splits pieces of any length into lines. It buffers at most one line of [`MAX_LINE_BYTES`].
#[derive(Debug, Default)]
pub struct LineSplitter {
    /// The beginning of a line whose end was not received yet.
    pending: Vec<u8>,
}

impl LineSplitter {
    /// Adds a piece and passes on each line that it completes, without the line end.
    ///
    /// # Errors
    ///
    /// [`LineError::TooLong`], and the errors of `take`.
    pub fn push(
        &mut self,
        mut piece: &[u8],
        mut take: impl FnMut(&[u8]) -> Result<(), LineError>,
    ) -> Result<(), LineError> {
        while let Some(end) = piece.iter().position(|byte| *byte == b'\n') {
            let (line, following) = (&piece[..end], &piece[end + 1..]);
            if self.pending.is_empty() {
                check_length(line.len())?;
                take(line)?;
            } else {
                self.buffer(line)?;
                take(&self.pending)?;
                // Long lines are rare: their memory is released.
                self.pending = Vec::new();
            }
            piece = following;
        }
        self.buffer(piece)
    }

    /// What was received after the last line end.
    pub fn remainder(self) -> Vec<u8> {
        self.pending
    }

    fn buffer(&mut self, piece: &[u8]) -> Result<(), LineError> {
        check_length(self.pending.len() + piece.len())?;
        self.pending.extend_from_slice(piece);
        Ok(())
    }
}

fn check_length(length: usize) -> Result<(), LineError> {
    if length > MAX_LINE_BYTES {
        return Err(LineError::TooLong);
    }
    Ok(())
}

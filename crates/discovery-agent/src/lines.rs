//! Bytes as they come, cut into lines.

use crate::Unreadable;

/// Longest line that is taken in, in bytes: some 20,000 entries.
pub const LONGEST_LINE: usize = 4 << 20;

/// Cuts what comes in pieces of any length into lines; holds at most one line of [`LONGEST_LINE`] bytes.
#[derive(Debug, Default)]
pub struct Lines {
    pending: Vec<u8>,
}

impl Lines {
    /// Takes a piece in and hands on each line that it ends, without its end.
    ///
    /// # Errors
    ///
    /// Where a line is longer than [`LONGEST_LINE`] bytes, and what `take` says.
    pub fn push(
        &mut self,
        mut piece: &[u8],
        mut take: impl FnMut(&[u8]) -> Result<(), Unreadable>,
    ) -> Result<(), Unreadable> {
        while let Some(end) = piece.iter().position(|byte| *byte == b'\n') {
            let (rest, then) = (&piece[..end], &piece[end + 1..]);
            if self.pending.is_empty() {
                bounded(rest.len())?;
                take(rest)?;
            } else {
                self.hold(rest)?;
                take(&self.pending)?;
                // A long line is rare: its room is given back.
                self.pending = Vec::new();
            }
            piece = then;
        }
        self.hold(piece)
    }

    /// What came behind the last end of a line.
    pub fn rest(self) -> Vec<u8> {
        self.pending
    }

    fn hold(&mut self, piece: &[u8]) -> Result<(), Unreadable> {
        bounded(self.pending.len() + piece.len())?;
        self.pending.extend_from_slice(piece);
        Ok(())
    }
}

fn bounded(length: usize) -> Result<(), Unreadable> {
    if length > LONGEST_LINE {
        return Err(Unreadable::Long);
    }
    Ok(())
}

//! Length-prefixed messages (`PROTOCOL-HTTP2.md`): a flag byte, four bytes of length, so many bytes. Only counted: what is
//! passed through is not taken apart.

/// How far a sequence of messages has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Frames {
    /// Bytes of the present prefix that have come.
    prefix: u8,
    length: u32,
    /// Bytes of the present message still to come.
    left: u32,
    messages: u64,
}

/// A flag that is neither 0 nor 1: what follows cannot be told apart any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoMessage;

impl Frames {
    /// Takes in the next bytes, cut wherever the transport cut them.
    ///
    /// # Errors
    /// If they are no messages.
    pub fn take(&mut self, mut bytes: &[u8]) -> Result<(), NoMessage> {
        while let Some((first, rest)) = bytes.split_first() {
            if self.left > 0 {
                let part = bytes.len().min(self.left as usize);
                self.left -= part as u32;
                bytes = &bytes[part..];
                self.end_of_message();
                continue;
            }
            if self.prefix == 0 {
                if *first > 1 {
                    return Err(NoMessage);
                }
                self.length = 0;
            } else {
                self.length = self.length << 8 | u32::from(*first);
            }
            self.prefix += 1;
            bytes = rest;
            if self.prefix == 5 {
                self.left = self.length;
                self.end_of_message();
            }
        }
        Ok(())
    }

    fn end_of_message(&mut self) {
        if self.left == 0 {
            self.messages += 1;
            self.prefix = 0;
        }
    }

    /// Whole messages so far.
    pub fn messages(&self) -> u64 {
        self.messages
    }

    /// Whether the bytes so far end within a message.
    pub fn within(&self) -> bool {
        self.prefix > 0
    }

    /// Length of the message whose prefix came last.
    pub fn length(&self) -> u32 {
        self.length
    }
}

/// The prefix of a message that is not compressed.
pub fn prefix(length: u32) -> [u8; 5] {
    let [a, b, c, d] = length.to_be_bytes();
    [0, a, b, c, d]
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        /// Guards against a message taken for whole, or for cut, because of where the transport cut it.
        #[test]
        fn any_cuts_tell_the_same(lengths in proptest::collection::vec(0u32..40, 0..6), cuts in proptest::collection::vec(0usize..9, 1..60), end in 0usize..200) {
            let mut text = Vec::new();
            let mut ends = vec![0];
            for length in &lengths {
                text.extend(prefix(*length));
                text.extend(std::iter::repeat_n(7, *length as usize));
                ends.push(text.len());
            }
            let text = &text[..end.min(text.len())];
            let mut frames = Frames::default();
            let (mut at, mut next) = (0, cuts.iter().cycle());
            while at < text.len() {
                let to = (at + 1 + next.next().unwrap()).min(text.len());
                frames.take(&text[at..to]).unwrap();
                at = to;
            }
            let whole = ends.iter().rposition(|end| *end <= text.len()).unwrap();
            prop_assert_eq!(frames.messages(), whole as u64);
            prop_assert_eq!(frames.within(), ends[whole] != text.len());
        }
    }

    #[test]
    fn a_flag_that_is_none_is_told() {
        let mut frames = Frames::default();
        assert_eq!(
            frames.take(&[0, 0, 0, 0, 1, 9, 1, 0, 0, 0, 0, 2]),
            Err(NoMessage)
        );
        assert_eq!(frames.messages(), 2);
    }
}

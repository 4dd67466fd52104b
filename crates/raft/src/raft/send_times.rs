//! Consecutive sequence numbers and the times at which they were assigned.
//!
//! A response that echoes a number proves that its sender was reachable at some time after the
//! number was assigned. Contact is dated to the assignment, never to the time at which the response
//! is read, since a response may have waited in a socket.

use super::constants::{Millis, MAX_SEND_TIMES};
use std::collections::VecDeque;

/// Sequence numbers with the send times of the latest [`MAX_SEND_TIMES`].
#[derive(Clone, Debug)]
pub(super) struct SendTimes {
    last_sequence: u64,
    times: VecDeque<Millis>,
}

impl SendTimes {
    /// Creates a sequence that continues with `last_sequence + 1`.
    pub fn after(last_sequence: u64) -> SendTimes {
        SendTimes {
            last_sequence,
            times: VecDeque::new(),
        }
    }

    /// Assigns the next number at the time `now`.
    pub fn next(&mut self, now: Millis) -> u64 {
        if self.times.len() >= MAX_SEND_TIMES {
            self.times.pop_front();
        }
        self.times.push_back(now);
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Returns the number that was assigned last.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns when a number was assigned, if that time is still kept.
    pub fn sent_at(&self, sequence: u64) -> Option<Millis> {
        let age = usize::try_from(self.last_sequence.checked_sub(sequence)?).ok()?;
        let position = self.times.len().checked_sub(age + 1)?;
        Some(self.times[position])
    }
}

//! Detects replayed datagrams by their numbers (a sliding window as in RFC 4303, appendix A2).

/// The size of the window below the highest number; older numbers are rejected as received.
const WINDOW: u64 = 64;

/// The datagram numbers received from one sender.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if `highest - n` was received.
    received: u64,
}

impl ReplayWindow {
    /// Returns whether a number is new, and records it.
    pub(crate) fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            let shift = number - self.highest;
            let shifted = if shift < WINDOW {
                self.received << shift
            } else {
                0
            };
            self.highest = number;
            self.received = shifted | 1;
            return true;
        }
        let distance = self.highest - number;
        if distance >= WINDOW || self.received & (1 << distance) != 0 {
            return false;
        }
        self.received |= 1 << distance;
        true
    }
}

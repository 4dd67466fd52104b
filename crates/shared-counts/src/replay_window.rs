//! Recognises datagrams that were received before, by their numbers (a window as in RFC 4303, appendix A2).

/// How many numbers before the highest are remembered; older ones count as received.
const WINDOW: u64 = 64;

/// The numbers of a sender's datagrams that were received.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if `highest - n` was received.
    received: u64,
}

impl ReplayWindow {
    /// Whether a number is new. It is not new from then on.
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

//! The clock of a process that forwards requests.

use maplefall_policy::Millis;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that reads as Unix milliseconds, so that start times of backends compare with it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_start: Millis,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

impl Clock {
    /// A clock that starts at the present system time.
    pub fn new() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix_start: unix.as_secs_f64() * 1000.0,
        }
    }

    /// The present time, in Unix milliseconds.
    pub fn now(&self) -> Millis {
        self.unix_start + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// A time of this clock as an instant of the runtime; times before the start are the start.
    pub fn instant(&self, at: Millis) -> tokio::time::Instant {
        let after =
            Duration::try_from_secs_f64((at - self.unix_start) / 1000.0).unwrap_or_default();
        tokio::time::Instant::from_std(self.start + after)
    }
}

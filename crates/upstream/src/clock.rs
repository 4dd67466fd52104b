//! The clock of a process that forwards requests.

use maplefall_policy::Millis;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that gives Unix milliseconds, so that its times can be compared with the start
/// times of backends.
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
    /// Creates a clock that starts at the current system time.
    pub fn new() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix_start: unix.as_secs_f64() * 1000.0,
        }
    }

    /// Returns the current time, in Unix milliseconds.
    pub fn now(&self) -> Millis {
        self.unix_start + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Converts a time of this clock to an instant of the runtime. Times before the start of the
    /// clock become its start.
    pub fn instant(&self, at: Millis) -> tokio::time::Instant {
        let after =
            Duration::try_from_secs_f64((at - self.unix_start) / 1000.0).unwrap_or_default();
        tokio::time::Instant::from_std(self.start + after)
    }
}

//! The idle ages up to which pooled connections are still alive. Backends close idle connections
//! earlier than they announce, and middleboxes in between drop connections without notice.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

/// Upper bound in milliseconds of the first band of idle ages; each further band reaches twice as
/// far.
const FIRST_BAND_MS: f64 = 4.0;
/// Number of bands of idle ages: the last begins at about 8 s.
const BANDS: usize = 13;
/// Half-life of the observations of a band.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Minimum number of broken connections for a band to count as failing.
const MIN_BROKEN: f64 = 2.0;
/// Minimum fraction of broken connections for a band to count as failing.
const MIN_BROKEN_FRACTION: f64 = 0.2;

/// Decayed observations of one band of idle ages.
#[derive(Clone, Copy, Default)]
struct Band {
    reused: f64,
    broken: f64,
    updated_at: Option<Instant>,
}

impl Band {
    /// Returns the factor by which the observations have decayed.
    fn decay(&self, now: Instant) -> f64 {
        let age = self
            .updated_at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn is_failing(&self, now: Instant) -> bool {
        self.broken * self.decay(now) >= MIN_BROKEN
            && self.broken >= MIN_BROKEN_FRACTION * self.reused
    }
}

/// Success of requests on pooled connections, by the idle age of the connections. Every reuse is
/// recorded, and idempotent requests continue to use old connections, so a recovery is detected
/// too. A single backend that breaks young connections is not detected, and where a larger fraction
/// of connections than [`MIN_BROKEN_FRACTION`] breaks for reasons other than age, unnecessary new
/// connections are established.
#[derive(Default)]
pub(crate) struct IdleAgeStats([Band; BANDS]);

impl IdleAgeStats {
    fn band(idle: Duration) -> usize {
        let doublings = (idle.as_secs_f64() * 1000.0 / FIRST_BAND_MS).log2();
        (doublings.max(-1.0) as isize + 1).clamp(0, BANDS as isize - 1) as usize
    }

    /// Records a request on a connection that had been idle for this long, and whether the
    /// connection broke.
    pub fn record(&mut self, now: Instant, idle: Duration, broke: bool) {
        let band = &mut self.0[Self::band(idle)];
        let decay = band.decay(now);
        band.reused = band.reused * decay + 1.0;
        band.broken = band.broken * decay + f64::from(u8::from(broke));
        band.updated_at = Some(now);
    }

    /// Returns whether connections can be reused at this idle age: neither its band nor a lower one
    /// is failing.
    pub fn allows_reuse(&self, now: Instant, idle: Duration) -> bool {
        !self.0[..=Self::band(idle)]
            .iter()
            .any(|band| band.is_failing(now))
    }
}

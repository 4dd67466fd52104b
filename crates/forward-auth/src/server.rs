//! Circuit breaker of one server of the service.

use maplefall_policy::Millis;

/// State of a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Server {
    consecutive_failures: u32,
    /// When the current backoff ends; `None` while the server is considered healthy.
    blocked_until: Option<Millis>,
    /// Number of backoffs since the server's last response.
    consecutive_backoffs: u32,
    /// The check in flight that probes the server after a backoff.
    probe: Option<u64>,
    /// Checks in flight at the server.
    pub in_flight: usize,
}

impl Server {
    /// Whether a check may be sent to the server: always while it is healthy, and one at a time
    /// once its backoff is over.
    pub fn is_available(&self, now: Millis) -> bool {
        match self.blocked_until {
            None => true,
            Some(until) => now >= until && self.probe.is_none(),
        }
    }

    pub fn start_check(&mut self, check: u64) {
        self.in_flight += 1;
        if self.blocked_until.is_some() {
            self.probe = Some(check);
        }
    }

    /// Records a response. Any verdict shows that the server is healthy.
    pub fn record_response(&mut self) {
        *self = Server {
            in_flight: self.in_flight.saturating_sub(1),
            ..Server::default()
        };
    }

    /// Records a failure. After `max_failures` in a row, or a failed probe, the server is blocked
    /// for the time that `backoff` returns for the number of backoffs so far.
    pub fn record_failure(
        &mut self,
        now: Millis,
        check: u64,
        max_failures: u32,
        backoff: impl Fn(u32) -> Millis,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let probe_failed = self.probe == Some(check);
        if probe_failed {
            self.probe = None;
        }
        // Failures of checks that were in flight when the server was blocked do not extend the
        // backoff.
        if probe_failed
            || (self.blocked_until.is_none() && self.consecutive_failures >= max_failures)
        {
            self.blocked_until = Some(now + backoff(self.consecutive_backoffs));
            self.consecutive_backoffs = self.consecutive_backoffs.saturating_add(1);
        }
    }

    /// Removes a check that ended without showing whether the server is healthy.
    pub fn release_check(&mut self, check: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.probe == Some(check) {
            self.probe = None;
        }
    }
}

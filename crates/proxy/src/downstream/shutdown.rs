//! Graceful shutdown: no request that has arrived is dropped within the grace period, and no
//! connection is accepted that could not be served.

use super::connection::FIRST_REQUEST_GRACE;
use super::DownstreamServer;
use maplefall_downstream::ShutdownPhase;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time after SIGTERM for which connections are still accepted and kept open: the platform
/// checks readiness every second and reacts to the second failure.
const MAX_DRAIN_DELAY: Duration = Duration::from_millis(2400);
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

impl DownstreamServer {
    /// Shuts down within the grace period: continues to accept connections for a while, responds to
    /// the requests that have arrived, closes idle connections, and returns with the listener
    /// closed.
    pub async fn shut_down(&self, grace: Duration) {
        let deadline = Instant::now() + grace.saturating_sub(EXIT_RESERVE);
        self.shut_down_by(MAX_DRAIN_DELAY.min(grace / 2), deadline)
            .await;
    }

    /// Shuts down with explicit times: idle connections stay open for `drain_delay`, and
    /// connections are abandoned at `deadline`.
    ///
    /// Where most proxies of a zone stop at the same time, the platform continues to send clients
    /// to them, so that a request is always pending. A request that is accepted late and still runs
    /// at the deadline would be lost (users' rule LOST). Therefore no request is admitted after
    /// `drain_delay` that may take until after the deadline, and connections are refused once no
    /// request could be admitted on them.
    pub async fn shut_down_by(&self, drain_delay: Duration, deadline: Instant) {
        self.phase.send_replace(ShutdownPhase::ClosingAfterResponse);
        tokio::time::sleep(drain_delay).await;
        self.phase.send_replace(ShutdownPhase::ClosingIdle);
        self.end_admission_by(deadline);
        self.wait_for_open_work(self.last_accept(deadline)).await;
        // The listener is closed before the last request has its response, so that clients are
        // refused and try another proxy. Otherwise connections would be accepted and then broken
        // when the process exits.
        if let Some(accept_task) = self.close_listener() {
            let _ = accept_task.await;
        }
        self.wait_for_open_work(deadline).await;
        if self.has_open_work() {
            log::warn!("event=shutdown_timeout open={}", self.connections.len());
        }
    }

    /// Makes the core reject requests that may take until after `deadline`.
    fn end_admission_by(&self, deadline: Instant) {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let end = self.proxy.clock.now() + time_left.as_secs_f64() * 1000.0;
        self.proxy.with_core(|core| core.set_end_time(end));
    }

    /// Returns the time from which a request on a new connection could not be admitted, whatever
    /// its route.
    fn last_accept(&self, deadline: Instant) -> Instant {
        let shortest_timeout = self.proxy.with_core(|core| core.shortest_timeout());
        let shortest_timeout = Duration::try_from_secs_f64(shortest_timeout / 1000.0);
        let time_needed = shortest_timeout
            .unwrap_or_default()
            .max(FIRST_REQUEST_GRACE);
        deadline.checked_sub(time_needed).unwrap_or(deadline)
    }

    /// Waits until no connection is open and no request is pending, or until `deadline`.
    async fn wait_for_open_work(&self, deadline: Instant) {
        while self.has_open_work() {
            let closed = tokio::time::timeout_at(deadline, self.connections.closed()).await;
            if closed.is_err() {
                return;
            }
        }
    }

    fn has_open_work(&self) -> bool {
        !self.connections.is_empty() || self.proxy.with_core(|core| core.has_pending_requests())
    }
}

//! Graceful shutdown: proxies and clients switch to another controller, leadership is transferred,
//! and committed entries are replicated so that none depends on this controller alone.

use super::controller::Controller;
use super::load::InputKind;
use maplefall_node_settings::Settings;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum duration of a graceful shutdown, so that connected processes can find another
/// controller.
const MIN_SHUTDOWN_DURATION: Duration = Duration::from_millis(400);
/// Maximum time that a graceful shutdown waits for the peers.
const MAX_SHUTDOWN_DURATION: Duration = Duration::from_millis(2500);
/// Maximum of half the grace period, which is the time from SIGTERM to SIGKILL according to the
/// settings, in seconds.
const MAX_HALF_GRACE_S: f64 = 60.0;

/// Returns the maximum duration of a graceful shutdown. It is at most half of the grace period from
/// SIGTERM to SIGKILL; the other half remains as a reserve.
pub(super) fn max_duration(settings: &Settings) -> Duration {
    let half_grace_s = (settings.bounds.grace_s / 2.0).clamp(0.0, MAX_HALF_GRACE_S);
    MAX_SHUTDOWN_DURATION.min(Duration::from_secs_f64(half_grace_s))
}

/// A graceful shutdown in progress.
pub(super) struct Shutdown {
    started_at: Instant,
    max_duration: Duration,
}

impl Shutdown {
    pub(super) fn begin(controller: &Rc<Controller>, max_duration: Duration) -> Shutdown {
        log::info!("event=shutdown node={}", controller.node());
        controller.drive(InputKind::Connection, |core, now, out| {
            core.shut_down(now, out)
        });
        Shutdown {
            started_at: Instant::now(),
            max_duration,
        }
    }

    /// Returns whether the process may end.
    pub(super) fn is_complete(&self, controller: &Controller) -> bool {
        let elapsed = self.started_at.elapsed();
        let may_stop = controller.may_stop();
        let complete =
            elapsed >= MIN_SHUTDOWN_DURATION && (may_stop || elapsed >= self.max_duration);
        if complete {
            let ms = elapsed.as_millis();
            log::info!("event=shutdown_complete handed_over={may_stop} ms={ms}");
        }
        complete
    }
}

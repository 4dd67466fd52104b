//! A planned stop: proxies and callers find another controller, another one leads, and nothing committed rests on this one alone.

use super::controller::Controller;
use super::load::InputKind;
use maplefall_node_settings::Settings;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a planned stop takes at least, so that whoever is connected finds another controller.
const MIN_SHUTDOWN: Duration = Duration::from_millis(400);
/// How long it waits at most for its peers.
const MAX_SHUTDOWN: Duration = Duration::from_millis(2500);
/// Longest grace period before the SIGKILL that settings can give, in seconds, halved.
const MAX_HALF_GRACE_S: f64 = 60.0;

/// How long a planned stop takes at most: half of the time until the SIGKILL is left for what comes after.
pub(super) fn max_duration(settings: &Settings) -> Duration {
    let half_grace_s = (settings.bounds.grace_s / 2.0).clamp(0.0, MAX_HALF_GRACE_S);
    MAX_SHUTDOWN.min(Duration::from_secs_f64(half_grace_s))
}

/// A planned stop that has begun.
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

    /// Whether the process may end.
    pub(super) fn is_complete(&self, controller: &Controller) -> bool {
        let elapsed = self.started_at.elapsed();
        let may_stop = controller.may_stop();
        let complete = elapsed >= MIN_SHUTDOWN && (may_stop || elapsed >= self.max_duration);
        if complete {
            let ms = elapsed.as_millis();
            log::info!("event=shutdown_complete handed_over={may_stop} ms={ms}");
        }
        complete
    }
}

//! Retries with backoff while the disk returns errors.
//!
//! The process keeps running: after a restart it would have to be readmitted by the other
//! controllers, and would find the same disk.

use super::error::Error;
use crate::disk::Disk;
use std::time::Duration;

/// Delay before the first retry; it doubles with each further retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum delay between two attempts, so that a disk that works again is used within this time.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Number of doublings after which the delay exceeds [`MAX_RETRY_DELAY`] anyway; bounds the shift
/// that calculates the delay.
const MAX_DOUBLINGS: u32 = 9;

/// Retry state of one operation.
#[derive(Default)]
pub(super) struct Retry {
    failed_attempts: u32,
}

impl Retry {
    /// Counts a failed attempt and waits until the next one is due. Logs attempts 1, 2, 4, 8, ...
    pub(super) fn failed(&mut self, disk: &impl Disk, error: &Error) {
        self.failed_attempts += 1;
        if self.failed_attempts.is_power_of_two() {
            log::error!("event=disk_error attempts={} {error}", self.failed_attempts);
        }
        let doublings = (self.failed_attempts - 1).min(MAX_DOUBLINGS);
        disk.sleep(MAX_RETRY_DELAY.min(MIN_RETRY_DELAY * (1 << doublings)));
    }

    /// Records that the operation has succeeded, and logs the success if the operation had failed
    /// before.
    pub(super) fn succeeded(self, disk: &impl Disk) {
        if self.failed_attempts > 0 {
            log::info!(
                "event=disk_recovered path={} attempts={}",
                disk.path().display(),
                self.failed_attempts
            );
        }
    }
}

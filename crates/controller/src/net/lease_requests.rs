//! Answers the lease requests that wait, one at a time, for [`MAX_LEASE_LOAD`] of the time at most.
//!
//! Between two of them every other task has its turn. Beyond that load they wait longer, and proxies go on with the leases that they
//! have.

use super::controller::Controller;
use super::load::InputKind;
use crate::core::{Core, MAX_LEASE_CREDIT, MAX_LEASE_LOAD};
use maplefall_quota_lease::Pacer;
use std::rc::Rc;
use std::time::Duration;

/// Runs for as long as the process does.
pub(super) async fn answer(controller: Rc<Controller>) {
    let mut pacer = Pacer::new(controller.now(), MAX_LEASE_CREDIT);
    loop {
        if !controller.inspect(Core::has_lease_requests) {
            controller.lease_requests_queued.notified().await;
            continue;
        }
        let from = controller.now();
        controller.drive(InputKind::LeaseRequest, |core, now, out| {
            core.answer_lease_request(now, out)
        });
        let now = controller.now();
        pacer.charge(now, (now - from) / MAX_LEASE_LOAD);
        if pacer.is_due(now) {
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep(Duration::from_secs_f64(pacer.wait(now) / 1000.0)).await;
        }
    }
}

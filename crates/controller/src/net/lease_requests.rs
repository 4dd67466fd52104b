//! Responds to pending lease requests one at a time, for a fraction of at most [`MAX_LEASE_LOAD`]
//! of the time.
//!
//! Between two lease requests every other task can run. If lease requests need more than this
//! fraction of the time, they wait longer, and proxies continue with the leases that they hold.

use super::controller::Controller;
use super::load::InputKind;
use crate::core::{Core, MAX_LEASE_CREDIT, MAX_LEASE_LOAD};
use maplefall_quota_lease::Pacer;
use std::rc::Rc;
use std::time::Duration;

/// Responds to lease requests until the process ends.
pub(super) async fn process(controller: Rc<Controller>) {
    let mut pacer = Pacer::new(controller.now(), MAX_LEASE_CREDIT);
    loop {
        if !controller.inspect(Core::has_lease_requests) {
            controller.lease_requests_queued.notified().await;
            continue;
        }
        let started_at = controller.now();
        controller.drive(InputKind::LeaseRequest, |core, now, out| {
            core.answer_lease_request(now, out)
        });
        let now = controller.now();
        pacer.charge(now, (now - started_at) / MAX_LEASE_LOAD);
        if pacer.is_due(now) {
            tokio::task::yield_now().await;
        } else {
            tokio::time::sleep(Duration::from_secs_f64(pacer.wait(now) / 1000.0)).await;
        }
    }
}

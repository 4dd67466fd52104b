//! Shared counts on a socket: connects the driver, the state machine of `maplefall-shared-counts`
//! and UDP.
//!
//! No decisions are made here. [`SharedCounts::record_usage`] records usage at this gateway. Usage
//! at peers is passed to the decision module when it changes, and with each request together with
//! its age ([`SharedCounts::usage_elsewhere`]).

use super::counts_settings::CountsSettings;
use maplefall_policy::{CustomerId, Millis, PlanId, RemoteUsage};
use maplefall_shared_counts::node::{Node, Start};
use maplefall_shared_counts::wire::MAX_DATAGRAM_BYTES;
use maplefall_shared_counts::{plan_and_customer, quota, UsageUpdate};
use maplefall_upstream::Clock;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;

/// Maximum number of datagrams that are read before other tasks run.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// This gateway as a member of the shared counts.
pub struct SharedCounts {
    node: RefCell<Node>,
    socket: UdpSocket,
    clock: Clock,
    /// The log line at the start of the task.
    start_message: String,
    /// Number of gateways in the settings: those that are not live keep their slice of each quota.
    configured_gateways: u32,
}

impl SharedCounts {
    /// Opens the socket and begins a new incarnation of the gateway of this name.
    ///
    /// # Errors
    /// One line with the address.
    pub async fn start(
        settings: CountsSettings,
        name: &str,
        clock: Clock,
        seed: u64,
        configured_gateways: u32,
    ) -> Result<Rc<SharedCounts>, String> {
        let listen = settings.listen;
        let socket_error = |error| format!("cannot share counts on {listen}: {error}");
        let socket = UdpSocket::bind(listen).await.map_err(socket_error)?;
        let bound = socket.local_addr().map_err(socket_error)?;
        // A clock before 1970 or a missing name must not prevent serving: the incarnation is then
        // 1, the name is the address, and peers report the larger number of an earlier incarnation.
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |since| since.as_millis() as u64);
        let address = settings.advertise.unwrap_or(bound);
        let printable: String = name
            .chars()
            .filter(char::is_ascii_graphic)
            .take(64)
            .collect();
        let name = if printable.is_empty() {
            address.to_string()
        } else {
            printable
        };
        let start = Start {
            name,
            address,
            seeds: settings.seeds,
            date: unix_ms,
            seed,
        };
        let start_message = format!("{}: shares counts on {bound} as {address}", start.name);
        let node = RefCell::new(Node::new(settings.sharing, start, clock.now()));
        Ok(Rc::new(SharedCounts {
            node,
            socket,
            clock,
            configured_gateways,
            start_message,
        }))
    }

    /// Records units that a customer used at this gateway; negative units are returned to the
    /// customer.
    pub fn record_usage(&self, now: Millis, customer: CustomerId, plan: PlanId, units: f64) {
        self.node
            .borrow_mut()
            .record_usage(now, quota_of(customer, plan), units);
    }

    /// Returns the units that peers have admitted for a customer, with the age of that count;
    /// `None` if the decision module has the count already.
    pub fn usage_elsewhere(
        &self,
        now: Millis,
        customer: CustomerId,
        plan: PlanId,
    ) -> Option<RemoteUsage> {
        let mut node = self.node.borrow_mut();
        let update = node.usage_update(now, quota_of(customer, plan))?;
        Some(self.usage_of(&mut node, now, customer, plan, update))
    }

    /// Returns the usage of the next customer whose usage at peers has changed.
    fn next_change(&self, now: Millis) -> Option<RemoteUsage> {
        let mut node = self.node.borrow_mut();
        let (quota, update) = node.poll_usage_update(now)?;
        let (plan, customer) = plan_and_customer(quota);
        Some(self.usage_of(
            &mut node,
            now,
            CustomerId(customer),
            PlanId(usize::from(plan)),
            update,
        ))
    }

    fn usage_of(
        &self,
        node: &mut Node,
        now: Millis,
        customer: CustomerId,
        plan: PlanId,
        update: UsageUpdate,
    ) -> RemoteUsage {
        #[cfg(feature = "breakages")]
        let update = super::breakages::usage_update(update, now);
        let live_share =
            (node.freshness(now).1 as f64 / f64::from(self.configured_gateways.max(1))).min(1.0);
        #[cfg(feature = "breakages")]
        let live_share = super::breakages::live_share(live_share);
        RemoteUsage {
            customer,
            plan,
            units: update.units,
            as_of: update.as_of,
            error: update.error,
            reporting_fraction: live_share,
        }
    }

    /// Receives datagrams and runs the gossip rounds, for as long as the process runs. `notify` is
    /// called with the time and each change of a customer's known usage at peers.
    pub async fn run(self: Rc<Self>, notify: impl Fn(Millis, RemoteUsage)) {
        eprintln!("{}", self.start_message);
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            self.send();
            let deadline = self.node.borrow().due();
            tokio::select! {
                // An error on an unconnected socket belongs to an earlier datagram that could not
                // be delivered; the next datagram is awaited.
                _ = self.socket.readable() => self.receive_datagrams(&mut bytes),
                () = tokio::time::sleep_until(self.clock.instant(deadline)) => {
                    self.node.borrow_mut().tick(self.clock.now());
                }
            }
            let now = self.clock.now();
            while let Some(usage) = self.next_change(now) {
                notify(now, usage);
            }
            // A flood of datagrams must not starve requests.
            tokio::task::yield_now().await;
        }
    }

    fn receive_datagrams(&self, bytes: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Ok((length, from)) = self.socket.try_recv_from(bytes) else {
                return;
            };
            self.node
                .borrow_mut()
                .receive(self.clock.now(), from, &bytes[..length]);
        }
    }

    /// Sends queued datagrams. A datagram that the system does not accept now is lost, as it may be
    /// lost on the network.
    fn send(&self) {
        while let Some(output) = self.node.borrow_mut().poll() {
            let _ = self.socket.try_send_to(&output.bytes, output.to);
        }
    }
}

/// Returns the quota of a customer of a plan. Plans beyond the 65,535th would share a quota;
/// settings have at most 4,096 plans.
fn quota_of(customer: CustomerId, plan: PlanId) -> u64 {
    quota(u16::try_from(plan.0).unwrap_or(u16::MAX), customer.0)
}

//! The decisions of an admission gateway for a service whose customers buy plans with quotas.
//!
//! A program owns sockets, clients and connections; this library decides which requests are
//! admitted, which backend each attempt goes to, and when to retry. The program creates a
//! [`Gateway`] from its [`Settings`] and a seed, passes it every event with the time it happened,
//! and carries out the resulting actions. Nothing here reads a clock, opens a file or shares state.
//!
//! ```
//! use maplefall_policy::*;
//!
//! let settings = Settings {
//!     classes: vec![Class { latency_target: 500.0, deadline: 2000.0, ..Class::default() }],
//!     plans: vec![Plan { rate: 10.0, burst: 20.0, ..Plan::default() }],
//!     ..Settings::default()
//! };
//! let mut gateway = Gateway::new(settings, 7);
//! let mut actions = Vec::new();
//! let backend = BackendEntry {
//!     id: BackendId(1),
//!     zone: ZoneId(0),
//!     cell: CellId(0),
//!     availability: Availability::Ready,
//!     started: None,
//!     size: 1.0,
//! };
//! gateway.handle(0.0, Event::Backends(ListKind::Cached, vec![backend]), &mut actions);
//! let request = Request {
//!     id: RequestId(1),
//!     customer: CustomerId(42),
//!     plan: PlanId(0),
//!     class: ClassId(0),
//!     units: 1.0,
//!     deadline: 2000.0,
//!     authorized: true,
//!     gateways: 1.0,
//! };
//! gateway.handle(5.0, Event::Arrival(request), &mut actions);
//! for action in actions.drain(..) {
//!     match action {
//!         Action::Send { request, backend, .. } => assert_eq!((request.0, backend.0), (1, 1)),
//!         Action::SetTimer { at, .. } => assert!(at <= 2000.0),
//!         other => panic!("a quiet gateway would not do {other:?}"),
//!     }
//! }
//! ```

mod backend;
mod gateway;
mod interface;
mod lookup;
mod pending;
mod tenants;

pub use gateway::{Cewma, Gateway};
pub use interface::*;
pub use tenants::{Quota, QuotaRejection, Tenants};

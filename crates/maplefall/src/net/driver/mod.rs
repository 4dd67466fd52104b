//! The driver: feeds events to the decision module (`maplefall-policy`) and executes the actions
//! that the module returns.
//!
//! The driver owns the decision module, the tables of requests and attempts, the timers, and the
//! maps between names on the wire and the module's ids. Invariant: only `Driver::post` calls the
//! module, and events that arise while actions are executed are queued, so the module is never
//! re-entered.
//!
//! One file for each concern: [`requests`] (arrival to final response), [`attempts`], [`timers`],
//! [`backend_list`], and the tables in [`state`].

mod attempts;
mod backend_list;
mod requests;
mod state;
mod timers;

use crate::net::backends::ResponseReader;
#[cfg(feature = "breakages")]
use crate::net::breakages;
use crate::net::config::Config;
use crate::net::counts::SharedCounts;
use crate::net::grpc::{self, GrpcSettings};
use maplefall_load_estimators::SchedulingDelay;
#[cfg(feature = "breakages")]
use maplefall_policy::BackendId;
use maplefall_policy::{Action, Event, Gateway, Millis, Outcome, Settings};
use maplefall_protocol::{EndedAttempt, FinalResponse};
use maplefall_settings::Names;
use maplefall_upstream::{self as upstream, Clock, Pools};
use state::State;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use timers::TimerEvent;
use tokio::sync::Notify;

/// The driver of one process; single-threaded.
pub struct Driver {
    /// The clock of all decisions, in Unix milliseconds.
    pub clock: Clock,
    /// The settings of the configuration file.
    pub settings: Settings,
    /// Names of classes, plans, zones and metrics, by the ids that the settings assign.
    pub names: Names,
    pools: Rc<Pools>,
    grpc_backends: grpc::Backends,
    /// The counts shared with peers; set once before the first request, if usage is shared.
    shared_counts: OnceCell<Rc<SharedCounts>>,
    response_reader: Rc<ResponseReader>,
    state: RefCell<State>,
    event_queue: RefCell<VecDeque<(Millis, Event)>>,
    last_event_at: Cell<Millis>,
    handling: Cell<bool>,
    timer_advanced: Notify,
    scheduling_delay: Cell<SchedulingDelay>,
    #[cfg(feature = "breakages")]
    last_body: RefCell<hyper::body::Bytes>,
    #[cfg(feature = "breakages")]
    last_started: Cell<Option<BackendId>>,
}

/// Returns the settings for the decision module.
fn policy_settings(settings: Settings) -> Settings {
    #[cfg(feature = "breakages")]
    let settings = breakages::settings(settings);
    settings
}

/// Ends the process if the decision module panics, because no further request could be decided.
struct ExitOnPanic;

impl Drop for ExitOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            std::process::exit(70);
        }
    }
}

impl Driver {
    /// Creates a driver with an empty list of backends, whose connections get all descriptors for
    /// backends except `reserved_sockets`.
    pub fn new(
        config: &Config,
        reserved_sockets: usize,
        grpc: Option<&GrpcSettings>,
    ) -> Rc<Driver> {
        let parsed = &config.parsed;
        let (connections, streams) =
            grpc.map_or((0, 0), |grpc| (grpc.backend_connections, grpc.streams));
        let response_reader = ResponseReader::new(parsed, config.limits.memory_mb << 20);
        let pools = Pools::new(
            parsed.connection_timeouts,
            upstream::upstream_budget(config.limits.sockets).saturating_sub(reserved_sockets),
        );
        Rc::new(Driver {
            clock: Clock::new(),
            settings: parsed.settings.clone(),
            names: parsed.names.clone(),
            pools: Rc::new(pools),
            grpc_backends: grpc::Backends::new(
                parsed.connection_timeouts,
                connections,
                streams as usize,
                parsed.settings.max_units,
            ),
            shared_counts: OnceCell::new(),
            response_reader: Rc::new(response_reader),
            state: RefCell::new(State::new(Gateway::new(
                policy_settings(parsed.settings.clone()),
                config.seed,
            ))),
            event_queue: RefCell::default(),
            last_event_at: Cell::new(0.0),
            handling: Cell::new(false),
            timer_advanced: Notify::new(),
            scheduling_delay: Cell::default(),
            #[cfg(feature = "breakages")]
            last_body: RefCell::default(),
            #[cfg(feature = "breakages")]
            last_started: Cell::new(None),
        })
    }

    /// Enables sharing of usage with peers.
    pub fn enable_shared_counts(&self, counts: Rc<SharedCounts>) {
        // The shared counts can be set once: a second call changes nothing.
        let _ = self.shared_counts.set(counts);
    }

    /// Returns whether there was no memory for a long response since the last call.
    pub fn take_response_memory_exhausted(&self) -> bool {
        self.response_reader.take_memory_exhausted()
    }

    /// Returns whether any backend is known.
    pub fn ready(&self) -> bool {
        self.state.borrow().has_backends()
    }

    /// Passes an event to the decision module, or queues it if another event is being handled.
    fn post(self: &Rc<Self>, at: Millis, event: Event) {
        self.event_queue.borrow_mut().push_back((at, event));
        if self.handling.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some((at, event)) = self.event_queue.borrow_mut().pop_front() else {
                break;
            };
            // Events may be read in another order than they occurred; the module's time never goes
            // back.
            let at = at.max(self.last_event_at.get());
            self.last_event_at.set(at);
            let exit_on_panic = ExitOnPanic;
            self.state
                .borrow_mut()
                .gateway
                .handle(at, event, &mut actions);
            drop(exit_on_panic);
            actions.drain(..).for_each(|action| self.execute(action));
        }
        self.handling.set(false);
    }

    /// Executes an action of the decision module.
    fn execute(self: &Rc<Self>, action: Action) {
        #[cfg(feature = "breakages")]
        let action = breakages::action(action);
        match action {
            Action::Send {
                request,
                backend,
                timeout,
                mode,
            } => self.send(request, backend, timeout, mode),
            Action::Authorize(request) => {
                if let Some(entry) = self.state.borrow_mut().requests.get_mut(&request) {
                    entry.awaits_authorization = true;
                }
            }
            Action::Reject {
                request,
                retry_after,
                ..
            } => self.send_response(request, FinalResponse::Rejected(retry_after)),
            Action::Fail(request) => self.send_response(request, FinalResponse::Failed),
            Action::CancelAttempt { request, attempt } => self.finish_attempt(
                request,
                attempt,
                EndedAttempt::without_response(Outcome::Cancelled),
            ),
            Action::SetTimer { at, timer } => self.set_timer(at, TimerEvent::PolicyTimer(timer)),
            Action::CloseIdle(backend) => self.pools.close_idle(backend),
            Action::Log(text) => eprintln!("{text}"),
            // Changes of the list of backends are received without a subscription, and health
            // checks are not permitted.
            Action::Subscribe | Action::FetchBackends | Action::Probe(_) => {}
        }
    }

    /// Closes idle connections before the backends close them, for as long as the process runs.
    pub async fn close_idle_connections(self: Rc<Self>) {
        tokio::join!(
            self.pools.close_idle_periodically(),
            self.grpc_backends.close_idle_connections(&self.pools)
        );
    }
}

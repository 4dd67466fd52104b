//! Measures the capacity of the test servers and clients themselves: clients connect to a backend
//! without a gateway between and without work to do, at rising rates, until they are late. The load
//! of a rehearsal must stay well below this.

use crate::settings;
use maplefall_event_trace::{Effect, EventKind, Millis, Recorder};
use maplefall_test_servers::backend::{
    Backend, BackendSlot, BackendSpec, Deployment, Listeners, Metering, Overload, SharedState, Work,
};
use maplefall_test_servers::client::{
    Ask, Backoff, ClientBehavior, ClientOptions, Clients, GatewayState, GatewayStates, RequestClass,
};
use maplefall_test_servers::lateness::Lateness;
use std::io;

/// Maximum lateness at the 99th percentile of a sustained rate.
pub const MAX_LATENESS_MS: Millis = 5.0;

/// Result of one rate.
#[derive(Clone, Copy, Debug)]
pub struct RateResult {
    /// Requests a second that were due.
    pub rate: f64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were due.
    pub due: u64,
    /// Lateness at the 99th percentile.
    pub p99_ms: Millis,
    /// Maximum lateness.
    pub max_ms: Millis,
}

impl RateResult {
    /// Returns whether the rate was sustained: all requests served and the lateness within its
    /// limit.
    pub fn is_sustained(&self) -> bool {
        self.served == self.due && self.p99_ms <= MAX_LATENESS_MS
    }
}

fn block_on_local<T>(future: impl std::future::Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, future))
}

/// Runs one rate for `seconds`: the backend on one thread, the clients on another.
///
/// # Errors
/// Returns the I/O error if there is no port or no thread.
pub fn measure(rate: f64, seconds: f64) -> io::Result<RateResult> {
    let (recorder, lateness) = (Recorder::new(), Lateness::default());
    let listeners = Listeners::open(1)?;
    let address = listeners.address(0);
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let due = (rate * seconds) as u64;
    let backend = {
        let (recorder, lateness) = (recorder.clone(), lateness.clone());
        std::thread::spawn(move || {
            block_on_local(async move {
                let work = Work {
                    class: "consulta".into(),
                    effect: Effect::Safe,
                    memory_ms: 0.0,
                    work_ms: [0.0, 0.0],
                };
                let metering = Metering {
                    period_ms: settings::METER_MS,
                    delay_ms: 300.0,
                    rates: vec![10.0],
                };
                let overload = Overload {
                    factor: 3.0,
                    window_ms: 1500.0,
                    slack_ms: 100.0,
                };
                let idle_ms = settings::IDLE_MS;
                let deployment = Deployment {
                    seed: 1,
                    work: vec![work],
                    metering,
                    idle_ms,
                    overload,
                };
                let shared_state = SharedState::new(deployment, recorder, lateness);
                let slot = BackendSlot::over(listeners);
                let spec = BackendSpec {
                    number: 0,
                    cores: 64,
                    queue: 10_000,
                    initial_capacity: 1.0,
                    warmup_ms: 0.0,
                    connections: 10_000,
                };
                slot.set_backend(Some(Backend::start(&shared_state, spec)));
                // The other thread signals the end.
                let _ = stopped.await;
            })
        })
    };
    block_on_local(async {
        let gateway_states = GatewayStates::new(1);
        gateway_states.set(
            0,
            GatewayState {
                ready: true,
                left: None,
            },
        );
        let kind = RequestClass {
            name: "consulta".into(),
            effect: Effect::Safe,
            memory_ms: 0.0,
            give_up_ms: 10_000.0,
        };
        let behavior = ClientBehavior {
            retries: 0,
            backoff: Backoff::AtOnce,
            honour: 0.0,
            max_wait_ms: 0.0,
            patience: [1.0, 1.0],
            notice_ms: 0.0,
            stop_ms: 0.0,
            busiest_ms: 8000.0,
            answer_slack_ms: 58.0,
        };
        let options = ClientOptions {
            seed: 1,
            kinds: vec![kind],
            plans: vec!["basico".into()],
            behavior,
            gateways: vec![address],
            states: gateway_states,
            credentials: false,
        };
        let clients = Clients::new(options, recorder.clone(), lateness.clone());
        let zero = recorder.now() + 100.0;
        let requests = (0..due).map(|item| Ask {
            at: zero + item as f64 * 1000.0 / rate,
            item,
            customer: item % 500,
            plan: 0,
            class: 0,
            units: 1.0,
            spread: 1,
            first: 0,
        });
        clients.run(requests).await;
    })?;
    // Fails if the backend's thread has already ended.
    let _ = stop.send(());
    let _ = backend.join();
    let events = recorder.take_events();
    let served = events
        .iter()
        .filter(|event| matches!(event.kind, EventKind::ResponseReceived { status: 200, .. }))
        .count() as u64;
    let EventKind::Lateness { p99_ms, max_ms, .. } = lateness.entry() else {
        return Err(io::ErrorKind::Other.into());
    };
    Ok(RateResult {
        rate,
        served,
        due,
        p99_ms,
        max_ms,
    })
}

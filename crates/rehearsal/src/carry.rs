//! How much the stand-ins carry by themselves: clients against nodes with no front door between and no work to do, at
//! rising rates, until they are late. What a rehearsal asks of them must stay well below.

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

/// Lateness at the 99th percentile up to which a rate counts as carried.
pub const CARRIED_MS: Millis = 5.0;

/// What became of one rate.
#[derive(Clone, Copy, Debug)]
pub struct Carried {
    /// Requests a second that were due.
    pub rate: f64,
    /// Requests that were served.
    pub served: u64,
    /// Those that were due.
    pub asked: u64,
    /// Lateness at the 99th percentile.
    pub p99_ms: Millis,
    /// Lateness at most.
    pub most_ms: Millis,
}

impl Carried {
    /// Whether it was carried: all served, and nobody late.
    pub fn good(&self) -> bool {
        self.served == self.asked && self.p99_ms <= CARRIED_MS
    }
}

fn on_a_runtime<T>(of: impl std::future::Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, of))
}

/// Plays one rate for so many seconds: the nodes on one thread, the clients on another.
///
/// # Errors
/// What the system says where it has no port or no thread.
pub fn measure(rate: f64, seconds: f64) -> io::Result<Carried> {
    let (recorder, lateness) = (Recorder::new(), Lateness::default());
    let seats = Listeners::open(1)?;
    let address = seats.address(0);
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let asked = (rate * seconds) as u64;
    let nodes = {
        let (recorder, lateness) = (recorder.clone(), lateness.clone());
        std::thread::spawn(move || {
            on_a_runtime(async move {
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
                let world = SharedState::new(deployment, recorder, lateness);
                let place = BackendSlot::over(seats);
                let spec = BackendSpec {
                    number: 0,
                    cores: 64,
                    queue: 10_000,
                    initial_capacity: 1.0,
                    warmup_ms: 0.0,
                    connections: 10_000,
                };
                place.set_backend(Some(Backend::start(&world, spec)));
                // Whoever holds the other end says when it is over.
                let _ = stopped.await;
            })
        })
    };
    on_a_runtime(async {
        let board = GatewayStates::new(1);
        board.set(
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
        let habits = ClientBehavior {
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
        let crowd = ClientOptions {
            seed: 1,
            kinds: vec![kind],
            plans: vec!["basico".into()],
            behavior: habits,
            gateways: vec![address],
            states: board,
            credentials: false,
        };
        let clients = Clients::new(crowd, recorder.clone(), lateness.clone());
        let zero = recorder.now() + 100.0;
        let asks = (0..asked).map(|item| Ask {
            at: zero + item as f64 * 1000.0 / rate,
            item,
            customer: item % 500,
            plan: 0,
            class: 0,
            units: 1.0,
            spread: 1,
            first: 0,
        });
        clients.run(asks).await;
    })?;
    // The nodes may have ended already; then there is nobody to tell.
    let _ = stop.send(());
    let _ = nodes.join();
    let lines = recorder.take_events();
    let served = lines
        .iter()
        .filter(|line| matches!(line.kind, EventKind::ResponseReceived { status: 200, .. }))
        .count() as u64;
    let EventKind::Lateness {
        p99_ms,
        max_ms: most_ms,
        ..
    } = lateness.entry()
    else {
        return Err(io::ErrorKind::Other.into());
    };
    Ok(Carried {
        rate,
        served,
        asked,
        p99_ms,
        most_ms,
    })
}

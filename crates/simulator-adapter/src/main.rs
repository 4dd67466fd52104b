//! Connects the decision module of maplefall to the simulator: reads frames of events on standard
//! input and writes frames of actions to standard output.
//!
//! Each simulated instance has its own [`Gateway`]; this program only translates. If the decision
//! code of an instance panics, the instance is reported as failed and removed; the others continue.

#![forbid(unsafe_code)]

mod codec;

use codec::{Record, Reply};
use maplefall_policy::*;
use maplefall_settings::{self as settings, Metric, ParsedSettings};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;
use std::sync::Mutex;

/// Message of the last panic in the decision code.
static PANIC: Mutex<String> = Mutex::new(String::new());

struct Instance {
    gateway: Gateway,
    metrics: Vec<Metric>,
}

fn main() -> ExitCode {
    panic::set_hook(Box::new(|info| {
        if let Ok(mut text) = PANIC.lock() {
            *text = info.to_string();
        }
    }));
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("maplefall-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: &mut impl Read, output: &mut impl Write) -> io::Result<()> {
    let mut instances = BTreeMap::new();
    let mut payload = Vec::new();
    while let Some(length) = frame_length(input)? {
        payload.clear();
        let read = input.take(u64::from(length)).read_to_end(&mut payload)?;
        if read < length as usize {
            let text = format!("truncated frame at offset {read} of {length}");
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, text));
        }
        let (now, records) = codec::decode(&payload)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))?;
        let mut reply = Reply::default();
        let mut actions = Vec::new();
        for (instance_id, record) in records {
            if let Err(text) = dispatch(&mut instances, now, instance_id, record, &mut actions) {
                reply.instance_failed(instance_id, &text);
                instances.remove(&instance_id);
            }
            actions
                .drain(..)
                .for_each(|action| encode(&mut reply, instance_id, action));
        }
        output.write_all(&reply.into_frame())?;
        output.flush()?;
    }
    Ok(())
}

/// Reads the length of the next frame; `None` at the end of the input.
fn frame_length(input: &mut impl Read) -> io::Result<Option<u32>> {
    let mut header = Vec::with_capacity(4);
    input.take(4).read_to_end(&mut header)?;
    match <[u8; 4]>::try_from(header.as_slice()) {
        Ok(bytes) => Ok(Some(u32::from_le_bytes(bytes))),
        Err(_) if header.is_empty() => Ok(None),
        Err(_) => {
            let text = format!("truncated frame at offset {} of its header", header.len());
            Err(io::Error::new(io::ErrorKind::UnexpectedEof, text))
        }
    }
}

/// Delivers a record to its instance. An error is the text with which the instance's failure is
/// reported.
fn dispatch(
    instances: &mut BTreeMap<u32, Instance>,
    now: Millis,
    instance_id: u32,
    record: Record,
    actions: &mut Vec<Action>,
) -> Result<(), String> {
    match record {
        Record::Create {
            seed,
            settings_text,
        } => {
            let ParsedSettings {
                settings, metrics, ..
            } = settings::parse(&settings_text)?;
            let gateway = catch_panic(|| Gateway::new(settings, seed))?;
            instances.insert(instance_id, Instance { gateway, metrics });
            Ok(())
        }
        Record::Retire => {
            instances.remove(&instance_id);
            Ok(())
        }
        record => {
            let Some(instance) = instances.get_mut(&instance_id) else {
                return Ok(());
            };
            let Some(event) = event(record, &instance.metrics) else {
                return Ok(());
            };
            catch_panic(|| instance.gateway.handle(now, event, actions))
        }
    }
}

fn catch_panic<T>(call: impl FnOnce() -> T) -> Result<T, String> {
    panic::catch_unwind(AssertUnwindSafe(call)).map_err(|_| {
        PANIC
            .lock()
            .map_or_else(|_| "panic".to_owned(), |text| text.clone())
    })
}

fn event(record: Record, metrics: &[Metric]) -> Option<Event> {
    Some(match record {
        Record::BackendList { kind, backends } => {
            let kind = match kind {
                0 => ListKind::Changes,
                1 => ListKind::Full,
                2 => ListKind::Cached,
                _ => ListKind::Failed,
            };
            Event::Backends(kind, backends.iter().map(backend_entry).collect())
        }
        Record::RequestArrived {
            id,
            gateways,
            customer,
            deadline,
            plan,
            units,
            class,
        } => Event::Arrival(Request {
            id: RequestId(id),
            customer: CustomerId(customer),
            plan: PlanId(plan as usize),
            class: ClassId(usize::from(class)),
            units: f64::from(units),
            deadline,
            // The simulator has no authorization service, so every caller counts as authorized.
            authorized: true,
            gateways: f64::from(gateways),
        }),
        Record::FirstByte { id } => Event::StreamStarted(RequestId(id)),
        Record::AttemptEnded(ended) => Event::AttemptEnded(AttemptEnded {
            request: RequestId(ended.id),
            attempt: u32::from(ended.attempt),
            backend: BackendId(ended.backend),
            outcome: outcome(ended.outcome),
            elapsed: ended.elapsed_ms,
            request_closed: ended.connection_closed,
            metered_usage: (ended.quota_use > 0).then(|| f64::from(ended.quota_use - 1) / 100.0),
            true_units: (ended.true_units > 0).then(|| f64::from(ended.true_units)),
            broken_connections: 0,
            report: settings::report(metrics, &ended.stats),
        }),
        Record::ClientDisconnected { id } => Event::ClientDisconnected(RequestId(id)),
        Record::TimerFired { timer_id } => Event::Timer(TimerId(timer_id)),
        Record::ProbeEnded {
            elapsed_ms,
            backend,
            outcome: code,
            stats,
        } => Event::Probed {
            backend: BackendId(backend),
            outcome: outcome(code),
            elapsed: elapsed_ms,
            report: settings::report(metrics, &stats),
        },
        Record::Create { .. } | Record::Retire | Record::Unused => return None,
    })
}

fn backend_entry(entry: &codec::ListedBackend) -> BackendEntry {
    BackendEntry {
        id: BackendId(entry.backend),
        zone: ZoneId(u32::from(entry.zone)),
        cell: CellId(u32::from(entry.cell)),
        availability: match entry.availability {
            2 => Availability::Ready,
            1 => Availability::Draining,
            _ => Availability::Removed,
        },
        started: (entry.started_at != 0.0).then_some(entry.started_at),
        size: f64::from(entry.size),
    }
}

fn outcome(code: u16) -> Outcome {
    match code {
        0 => Outcome::Ok,
        2 => Outcome::Full,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        _ => Outcome::Error,
    }
}

fn encode(reply: &mut Reply, instance_id: u32, action: Action) {
    match action {
        Action::Send {
            request,
            backend,
            timeout,
            ..
        } => {
            reply.send(instance_id, request.0, backend.0, timeout.unwrap_or(0.0));
        }
        Action::Reject {
            request,
            retry_after,
            ..
        } => reply.reject(instance_id, request.0, retry_after.unwrap_or(0.0)),
        Action::Fail(request) => reply.fail(instance_id, request.0),
        Action::Authorize(_) => {}
        Action::CancelAttempt { request, attempt } => {
            reply.cancel(
                instance_id,
                request.0,
                attempt.min(u32::from(u16::MAX)) as u16,
            );
        }
        Action::SetTimer { at, timer } => reply.set_timer(instance_id, at, timer.0),
        Action::Probe(backend) => reply.probe(instance_id, backend.0),
        Action::CloseIdle(backend) => reply.close_idle(instance_id, backend.0),
        Action::Subscribe => reply.subscribe(instance_id),
        Action::FetchBackends => reply.fetch_list(instance_id),
        Action::Log(text) => reply.log(instance_id, &text),
    }
}

//! Puts the decisions of maplefall on the simulator's wire: frames on standard input and output.
//!
//! One [`Gateway`] for each instance; this program translates and decides nothing.

#![forbid(unsafe_code)]

mod codec;

use codec::{Record, Reply};
use maplefall_policy::*;
use maplefall_settings::{self as settings, Metric, Told};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;
use std::sync::Mutex;

/// Where and why the decision code last panicked.
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
        for (door, record) in records {
            if let Err(text) = play(&mut instances, now, door, record, &mut actions) {
                reply.broken(door, &text);
                instances.remove(&door);
            }
            actions
                .drain(..)
                .for_each(|action| encode(&mut reply, door, action));
        }
        output.write_all(&reply.into_frame())?;
        output.flush()?;
    }
    Ok(())
}

/// The length of the next frame, or nothing at the end of the input.
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

/// Hands a record to its instance; an error is the text of a failure of that instance.
fn play(
    instances: &mut BTreeMap<u32, Instance>,
    now: Millis,
    door: u32,
    record: Record,
    actions: &mut Vec<Action>,
) -> Result<(), String> {
    match record {
        Record::Create { seed, facts } => {
            let Told {
                settings, metrics, ..
            } = settings::parse(&facts)?;
            let gateway = guarded(|| Gateway::new(settings, seed))?;
            instances.insert(door, Instance { gateway, metrics });
            Ok(())
        }
        Record::Retire => {
            instances.remove(&door);
            Ok(())
        }
        record => {
            let Some(instance) = instances.get_mut(&door) else {
                return Ok(());
            };
            let Some(event) = event(record, &instance.metrics) else {
                return Ok(());
            };
            guarded(|| instance.gateway.handle(now, event, actions))
        }
    }
}

fn guarded<T>(call: impl FnOnce() -> T) -> Result<T, String> {
    panic::catch_unwind(AssertUnwindSafe(call)).map_err(|_| {
        PANIC
            .lock()
            .map_or_else(|_| "panic".to_owned(), |text| text.clone())
    })
}

fn event(record: Record, metrics: &[Metric]) -> Option<Event> {
    Some(match record {
        Record::Roster { kind, entries } => {
            let kind = match kind {
                0 => ListKind::Changes,
                1 => ListKind::Full,
                2 => ListKind::Cached,
                _ => ListKind::Failed,
            };
            Event::Backends(kind, entries.iter().map(backend_entry).collect())
        }
        Record::Ingress {
            id,
            doors,
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
            // The simulator plays no authentication service.
            checked: true,
            spread: f64::from(doors),
        }),
        Record::FirstByte { id } => Event::StreamStarted(RequestId(id)),
        Record::Settled(o) => Event::Settled(Settled {
            request: RequestId(o.id),
            attempt: u32::from(o.attempt),
            backend: BackendId(o.backend),
            outcome: outcome(o.outcome),
            elapsed: o.waited,
            closed: o.closed,
            use_of_quota: (o.used > 0).then(|| f64::from(o.used - 1) / 100.0),
            true_units: (o.actual > 0).then(|| f64::from(o.actual)),
            broken: 0,
            report: settings::report(metrics, &o.stats),
        }),
        Record::ClientGone { id } => Event::ClientGone(RequestId(id)),
        Record::Alarm { name } => Event::Alarm(AlarmId(name)),
        Record::Probed {
            waited,
            backend,
            outcome: how,
            stats,
        } => Event::Probed {
            backend: BackendId(backend),
            outcome: outcome(how),
            elapsed: waited,
            report: settings::report(metrics, &stats),
        },
        Record::Create { .. } | Record::Retire | Record::Unused => return None,
    })
}

fn backend_entry(entry: &codec::Entry) -> BackendEntry {
    BackendEntry {
        id: BackendId(entry.backend),
        zone: ZoneId(u32::from(entry.zone)),
        cell: CellId(u32::from(entry.cell)),
        availability: match entry.availability {
            2 => Availability::Ready,
            1 => Availability::Draining,
            _ => Availability::Gone,
        },
        started: (entry.came_up != 0.0).then_some(entry.came_up),
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

fn encode(reply: &mut Reply, door: u32, action: Action) {
    match action {
        Action::Send {
            request,
            backend,
            limit,
            ..
        } => {
            reply.send(door, request.0, backend.0, limit.unwrap_or(0.0));
        }
        Action::Refuse {
            request,
            retry_after,
            ..
        } => reply.refuse(door, request.0, retry_after.unwrap_or(0.0)),
        Action::Fail(request) => reply.fail(door, request.0),
        Action::Check(_) => {}
        Action::CallOff { request, attempt } => {
            reply.call_off(door, request.0, attempt.min(u32::from(u16::MAX)) as u16);
        }
        Action::SetAlarm { at, alarm } => reply.set_alarm(door, at, alarm.0),
        Action::Probe(backend) => reply.probe(door, backend.0),
        Action::CloseIdle(backend) => reply.close_idle(door, backend.0),
        Action::Subscribe => reply.subscribe(door),
        Action::FetchList => reply.fetch_list(door),
        Action::Log(text) => reply.log(door, &text),
    }
}

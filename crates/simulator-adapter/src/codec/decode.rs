//! Decodes the simulator's batches of events. A frame with a record that overruns it or has an
//! unknown code is rejected as a whole.

use super::event_code;
use std::fmt;

/// A frame that cannot be decoded.
#[derive(Debug, PartialEq)]
pub struct Malformed {
    /// Offset in the frame's payload at which decoding stopped.
    pub offset: usize,
    /// Code of the invalid record, if it was decoded.
    pub code: Option<u16>,
    /// What is invalid.
    pub reason: &'static str,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed frame at offset {}", self.offset)?;
        if let Some(code) = self.code {
            write!(f, ", code {code}")?;
        }
        write!(f, ": {}", self.reason)
    }
}

/// A backend in a list; `started_at` is in milliseconds, 0 if unknown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedBackend {
    pub zone: u8,
    pub started_at: f64,
    pub backend: u32,
    pub cell: u16,
    pub availability: u8,
    pub size: f32,
}

/// One event for an instance. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    Create {
        seed: u64,
        settings_text: String,
    },
    Retire,
    BackendList {
        kind: u8,
        backends: Vec<ListedBackend>,
    },
    RequestArrived {
        id: u32,
        gateways: f32,
        customer: u64,
        deadline: f64,
        plan: u32,
        units: f32,
        class: u8,
    },
    FirstByte {
        id: u32,
    },
    AttemptEnded(EndedAttempt),
    ClientDisconnected {
        id: u32,
    },
    TimerFired {
        timer_id: u64,
    },
    ProbeEnded {
        elapsed_ms: f64,
        backend: u32,
        outcome: u16,
        stats: Vec<f32>,
    },
    /// A message from a peer or a response of the counter; the decision module uses neither.
    Unused,
}

/// The end of an attempt. `quota_use` is a percentage plus 1, and `true_units` is a number of
/// units; in both, 0 means not reported.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    pub id: u32,
    pub attempt: u16,
    pub backend: u32,
    pub outcome: u16,
    pub elapsed_ms: f64,
    pub connection_closed: bool,
    pub quota_use: u16,
    pub true_units: u16,
    pub stats: Vec<f32>,
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    code: Option<u16>,
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], Malformed> {
        let end = self
            .at
            .checked_add(count)
            .filter(|end| *end <= self.bytes.len());
        let Some(end) = end else {
            return Err(self.malformed("the record overruns its frame"));
        };
        let taken = &self.bytes[self.at..end];
        self.at = end;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, Malformed> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, Malformed> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, Malformed> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f32, Malformed> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    fn f64(&mut self) -> Result<f64, Malformed> {
        Ok(f64::from_le_bytes(self.array()?))
    }

    fn stats(&mut self) -> Result<Vec<f32>, Malformed> {
        (0..self.u8()?).map(|_| self.f32()).collect()
    }

    fn malformed(&self, reason: &'static str) -> Malformed {
        Malformed {
            offset: self.at,
            code: self.code,
            reason,
        }
    }
}

/// Decodes the payload of a batch: its time in milliseconds, and its events in order, each with the
/// id of its instance.
///
/// # Errors
///
/// Returns the first record that overruns the frame, has an unknown code or contains invalid text.
pub fn decode(payload: &[u8]) -> Result<(f64, Vec<(u32, Record)>), Malformed> {
    let mut reader = Reader {
        bytes: payload,
        at: 0,
        code: None,
    };
    let clock = reader.f64()?;
    let mut records = Vec::new();
    while reader.at < payload.len() {
        reader.code = None;
        let code = reader.u16()?;
        reader.code = Some(code);
        let instance_id = reader.u32()?;
        records.push((instance_id, record(&mut reader, code)?));
    }
    Ok((clock, records))
}

fn record(r: &mut Reader<'_>, code: u16) -> Result<Record, Malformed> {
    Ok(match code {
        event_code::CREATE => {
            let seed = r.u64()?;
            let length = r.u32()? as usize;
            let settings_text = std::str::from_utf8(r.take(length)?)
                .map_err(|_| r.malformed("the settings are not text"))?;
            Record::Create {
                seed,
                settings_text: settings_text.to_owned(),
            }
        }
        event_code::BACKEND_LIST => {
            let kind = r.u8()?;
            r.u32()?; // the list's version
            let count = r.u32()?;
            let backends = (0..count)
                .map(|_| listed_backend(r))
                .collect::<Result<_, _>>()?;
            Record::BackendList { kind, backends }
        }
        event_code::REQUEST_ARRIVED => {
            let id = r.u32()?;
            let gateways = r.f32()?;
            r.f32()?; // index of the customer's first gateway
            let (customer, deadline, plan, units, class) =
                (r.u64()?, r.f64()?, r.u32()?, r.f32()?, r.u8()?);
            r.u8()?; // flags
            Record::RequestArrived {
                id,
                gateways,
                customer,
                deadline,
                plan,
                units,
                class,
            }
        }
        event_code::FIRST_BYTE => {
            let id = r.u32()?;
            r.take(8 + 2 + 4)?; // wait, attempt, backend
            Record::FirstByte { id }
        }
        event_code::ATTEMPT_ENDED => Record::AttemptEnded(EndedAttempt {
            id: r.u32()?,
            attempt: r.u16()?,
            backend: r.u32()?,
            outcome: r.u16()?,
            elapsed_ms: r.f64()?,
            connection_closed: r.u8()? != 0,
            quota_use: r.u16()?,
            true_units: r.u16()?,
            stats: r.stats()?,
        }),
        event_code::CLIENT_DISCONNECTED => Record::ClientDisconnected { id: r.u32()? },
        event_code::TIMER_FIRED => Record::TimerFired { timer_id: r.u64()? },
        event_code::PROBE_ENDED => {
            let (elapsed_ms, backend, outcome) = (r.f64()?, r.u32()?, r.u16()?);
            Record::ProbeEnded {
                elapsed_ms,
                backend,
                outcome,
                stats: r.stats()?,
            }
        }
        event_code::PEER_MESSAGE => {
            r.u32()?;
            let length = r.u16()? as usize;
            r.take(length)?;
            Record::Unused
        }
        event_code::RETIRE => Record::Retire,
        event_code::COUNTER_RESPONSE => {
            r.take(8 + 8 + 4 + 2)?;
            Record::Unused
        }
        _ => return Err(r.malformed("unknown event code")),
    })
}

fn listed_backend(r: &mut Reader<'_>) -> Result<ListedBackend, Malformed> {
    let (zone, started_at, backend, cell) = (r.u8()?, r.f64()?, r.u32()?, r.u16()?);
    r.u8()?; // machine type
    Ok(ListedBackend {
        zone,
        started_at,
        backend,
        cell,
        availability: r.u8()?,
        size: r.f32()?,
    })
}

//! Frames of the simulator's wire: little-endian records without padding.

use std::fmt;

/// A frame that cannot be read: where, and what was found there.
#[derive(Debug, PartialEq)]
pub struct Malformed {
    /// Offset in the frame's payload.
    pub offset: usize,
    /// Code of the record at fault, if it was read.
    pub code: Option<u16>,
    /// What is wrong.
    pub what: &'static str,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed frame at offset {}", self.offset)?;
        if let Some(code) = self.code {
            write!(f, ", code {code}")?;
        }
        write!(f, ": {}", self.what)
    }
}

/// One line of a list of backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    pub zone: u8,
    pub came_up: f64,
    pub backend: u32,
    pub cell: u16,
    pub availability: u8,
    pub size: f32,
}

/// One event, addressed to the instance `door`.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    Create {
        seed: u64,
        facts: String,
    },
    Retire,
    Roster {
        kind: u8,
        entries: Vec<Entry>,
    },
    Ingress {
        id: u32,
        doors: f32,
        customer: u64,
        deadline: f64,
        plan: u32,
        units: f32,
        class: u8,
    },
    FirstByte {
        id: u32,
    },
    Settled(Outcome),
    ClientGone {
        id: u32,
    },
    Alarm {
        name: u64,
    },
    Probed {
        waited: f64,
        backend: u32,
        outcome: u16,
        stats: Vec<f32>,
    },
    /// Messages of peers and answers of the counter, which this design makes no use of.
    Unused,
}

/// The fields of a settled attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub id: u32,
    pub attempt: u16,
    pub backend: u32,
    pub outcome: u16,
    pub waited: f64,
    pub closed: bool,
    pub used: u16,
    pub actual: u16,
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
            return Err(self.wrong("the record overruns its frame"));
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

    fn wrong(&self, what: &'static str) -> Malformed {
        Malformed {
            offset: self.at,
            code: self.code,
            what,
        }
    }
}

/// Reads the payload of a batch: its clock and its events in order.
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
        let door = reader.u32()?;
        records.push((door, record(&mut reader, code)?));
    }
    Ok((clock, records))
}

fn record(r: &mut Reader<'_>, code: u16) -> Result<Record, Malformed> {
    Ok(match code {
        256 => {
            let seed = r.u64()?;
            let length = r.u32()? as usize;
            let facts = std::str::from_utf8(r.take(length)?)
                .map_err(|_| r.wrong("the settings are not text"))?;
            Record::Create {
                seed,
                facts: facts.to_owned(),
            }
        }
        257 => {
            let kind = r.u8()?;
            r.u32()?; // the list's version
            let count = r.u32()?;
            let entries = (0..count).map(|_| entry(r)).collect::<Result<_, _>>()?;
            Record::Roster { kind, entries }
        }
        258 => {
            let id = r.u32()?;
            let doors = r.f32()?;
            r.f32()?; // number of the first gateway of the set
            let (customer, deadline, plan, units, class) =
                (r.u64()?, r.f64()?, r.u32()?, r.f32()?, r.u8()?);
            r.u8()?; // flags
            Record::Ingress {
                id,
                doors,
                customer,
                deadline,
                plan,
                units,
                class,
            }
        }
        259 => {
            let id = r.u32()?;
            r.take(8 + 2 + 4)?; // wait, attempt, backend
            Record::FirstByte { id }
        }
        260 => Record::Settled(Outcome {
            id: r.u32()?,
            attempt: r.u16()?,
            backend: r.u32()?,
            outcome: r.u16()?,
            waited: r.f64()?,
            closed: r.u8()? != 0,
            used: r.u16()?,
            actual: r.u16()?,
            stats: r.stats()?,
        }),
        261 => Record::ClientGone { id: r.u32()? },
        262 => Record::Alarm { name: r.u64()? },
        263 => {
            let (waited, backend, outcome) = (r.f64()?, r.u32()?, r.u16()?);
            Record::Probed {
                waited,
                backend,
                outcome,
                stats: r.stats()?,
            }
        }
        264 => {
            r.u32()?;
            let length = r.u16()? as usize;
            r.take(length)?;
            Record::Unused
        }
        265 => Record::Retire,
        266 => {
            r.take(8 + 8 + 4 + 2)?;
            Record::Unused
        }
        _ => return Err(r.wrong("unknown event code")),
    })
}

fn entry(r: &mut Reader<'_>) -> Result<Entry, Malformed> {
    let (zone, came_up, backend, cell) = (r.u8()?, r.f64()?, r.u32()?, r.u16()?);
    r.u8()?; // kind of machine
    Ok(Entry {
        zone,
        came_up,
        backend,
        cell,
        availability: r.u8()?,
        size: r.f32()?,
    })
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    fn start(&mut self, code: u16, door: u32) -> &mut Vec<u8> {
        self.count += 1;
        self.body.extend(code.to_le_bytes());
        self.body.extend(door.to_le_bytes());
        &mut self.body
    }

    pub fn send(&mut self, door: u32, id: u32, backend: u32, limit: f64) {
        let body = self.start(320, door);
        body.extend(id.to_le_bytes());
        body.extend(backend.to_le_bytes());
        body.extend(limit.to_le_bytes());
    }

    pub fn refuse(&mut self, door: u32, id: u32, retry_after: f64) {
        let body = self.start(321, door);
        body.extend(id.to_le_bytes());
        body.extend(retry_after.to_le_bytes());
    }

    pub fn fail(&mut self, door: u32, id: u32) {
        self.start(322, door).extend(id.to_le_bytes());
    }

    pub fn call_off(&mut self, door: u32, id: u32, attempt: u16) {
        let body = self.start(323, door);
        body.extend(id.to_le_bytes());
        body.extend(attempt.to_le_bytes());
    }

    pub fn set_alarm(&mut self, door: u32, at: f64, name: u64) {
        let body = self.start(324, door);
        body.extend(at.to_le_bytes());
        body.extend(name.to_le_bytes());
    }

    pub fn probe(&mut self, door: u32, backend: u32) {
        self.start(325, door).extend(backend.to_le_bytes());
    }

    pub fn close_idle(&mut self, door: u32, backend: u32) {
        self.start(326, door).extend(backend.to_le_bytes());
    }

    pub fn subscribe(&mut self, door: u32) {
        self.start(330, door).push(1);
    }

    pub fn fetch_list(&mut self, door: u32) {
        self.start(331, door);
    }

    pub fn log(&mut self, door: u32, text: &str) {
        self.text(328, door, text);
    }

    pub fn broken(&mut self, door: u32, text: &str) {
        self.text(329, door, text);
    }

    fn text(&mut self, code: u16, door: u32, text: &str) {
        let mut length = text.len().min(usize::from(u16::MAX));
        while !text.is_char_boundary(length) {
            length -= 1;
        }
        let body = self.start(code, door);
        body.extend((length as u16).to_le_bytes());
        body.extend(&text.as_bytes()[..length]);
    }

    /// The whole frame, header included.
    pub fn into_frame(self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.body.len());
        frame.extend((4 + self.body.len() as u32).to_le_bytes());
        frame.extend(self.count.to_le_bytes());
        frame.extend(self.body);
        frame
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hex(text: &str) -> Vec<u8> {
        let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
        digits
            .chunks(2)
            .map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap())
            .collect()
    }

    #[test]
    fn an_arrival_an_alarm_and_a_client_gone_are_read() {
        let payload = hex(
            "00000000 00408f40 0201 02000000 05000000 00000040 00000000 0900000000000000 0000000000007940 \
             01000000 00004040 02 04   0601 02000000 4d00000000000000   0501 07000000 05000000",
        );
        let (clock, records) = decode(&payload).unwrap();
        assert_eq!(clock, 1000.0);
        let arrival = Record::Ingress {
            id: 5,
            doors: 2.0,
            customer: 9,
            deadline: 400.0,
            plan: 1,
            units: 3.0,
            class: 2,
        };
        assert_eq!(
            records,
            vec![
                (2, arrival),
                (2, Record::Alarm { name: 77 }),
                (7, Record::ClientGone { id: 5 })
            ]
        );
    }

    #[test]
    fn a_settled_attempt_and_a_list_are_read() {
        let payload = hex(
            "0000000000000000 0401 01000000 05000000 0100 0b000000 0300 0000000000003440 01 6500 0300 01 0000003f \
             0101 01000000 01 29000000 01000000 01 0000000000005940 0b000000 0200 00 01 0000803f",
        );
        let (_, records) = decode(&payload).unwrap();
        let settled = Outcome {
            id: 5,
            attempt: 1,
            backend: 11,
            outcome: 3,
            waited: 20.0,
            closed: true,
            used: 101,
            actual: 3,
            stats: vec![0.5],
        };
        let entry = Entry {
            zone: 1,
            came_up: 100.0,
            backend: 11,
            cell: 2,
            availability: 1,
            size: 1.0,
        };
        assert_eq!(records[0].1, Record::Settled(settled));
        assert_eq!(
            records[1].1,
            Record::Roster {
                kind: 1,
                entries: vec![entry]
            }
        );
    }

    #[test]
    fn what_this_design_does_not_use_is_still_read_whole() {
        let payload = hex(
            "0000000000000000 0801 01000000 02000000 0200 6869   0a01 01000000 000000000000f03f 0100000000000000 \
             0000803f 0000   0301 01000000 05000000 0000000000003440 0000 0b000000   0901 01000000",
        );
        let (_, records) = decode(&payload).unwrap();
        let kinds: Vec<Record> = records.into_iter().map(|(_, record)| record).collect();
        assert_eq!(
            kinds,
            vec![
                Record::Unused,
                Record::Unused,
                Record::FirstByte { id: 5 },
                Record::Retire
            ]
        );
    }

    #[test]
    fn a_record_that_overruns_and_an_unknown_code_are_told_with_place_and_code() {
        let overrun = decode(&hex("0000000000000000 0601 01000000 4d0000")).unwrap_err();
        assert_eq!((overrun.offset, overrun.code), (14, Some(262)));
        let unknown = decode(&hex("0000000000000000 ff01 01000000")).unwrap_err();
        assert_eq!(
            unknown.to_string(),
            "malformed frame at offset 14, code 511: unknown event code"
        );
        assert!(decode(&hex("0000")).is_err());
    }

    #[test]
    fn every_action_has_its_code_and_length() {
        let mut reply = Reply::default();
        reply.send(3, 5, 9, 80.0);
        reply.refuse(3, 5, 0.0);
        reply.fail(3, 5);
        reply.call_off(3, 5, 1);
        reply.set_alarm(3, 10.0, 77);
        reply.probe(3, 9);
        reply.close_idle(3, 9);
        reply.log(3, "hi");
        reply.broken(3, "no");
        reply.subscribe(3);
        reply.fetch_list(3);
        let expected = hex(
            "4001 03000000 05000000 09000000 0000000000005440   4101 03000000 05000000 0000000000000000 \
             4201 03000000 05000000   4301 03000000 05000000 0100   4401 03000000 0000000000002440 \
             4d00000000000000   4501 03000000 09000000   4601 03000000 09000000   4801 03000000 0200 6869 \
             4901 03000000 0200 6e6f   4a01 03000000 01   4b01 03000000",
        );
        let frame = reply.into_frame();
        assert_eq!(frame[..4], (4 + expected.len() as u32).to_le_bytes());
        assert_eq!(frame[4..8], 11u32.to_le_bytes());
        assert_eq!(frame[8..], expected);
    }
}

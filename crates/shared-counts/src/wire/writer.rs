//! Serialisation of datagrams.

use super::{
    section_kind, DigestEntry, Head, MemberInfo, Seal, Section, HEADER_BYTES, IPV4, IPV6, MAGIC,
    MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, SECTION_HEADER_BYTES, TAG_BYTES, VERSION,
};
use crate::members::Heartbeat;
use crate::replica::{Delta, VersionedCount};
use crate::Life;
use std::net::IpAddr;

/// Writes one datagram within a maximum size.
#[derive(Debug)]
pub struct Writer {
    bytes: Vec<u8>,
    /// The maximum size without the authenticator.
    max_bytes: usize,
}

impl Writer {
    /// Begins a datagram of at most `max_bytes` bytes, and at most [`MAX_DATAGRAM_BYTES`].
    pub fn new(seal: &Seal, head: &Head, max_bytes: usize) -> Writer {
        let mut bytes = Vec::with_capacity(max_bytes);
        bytes.extend_from_slice(&MAGIC);
        bytes.push(VERSION);
        bytes.push(head.kind.code());
        let fields = [
            seal.cluster,
            head.from.door.0,
            head.from.incarnation,
            head.number,
            head.nonce,
            head.echo,
        ];
        for field in fields {
            bytes.extend_from_slice(&field.to_be_bytes());
        }
        Writer {
            bytes,
            max_bytes: max_bytes.clamp(HEADER_BYTES + TAG_BYTES, MAX_DATAGRAM_BYTES) - TAG_BYTES,
        }
    }

    /// Returns the number of bytes left for sections.
    pub fn remaining(&self) -> usize {
        self.max_bytes.saturating_sub(self.bytes.len())
    }

    /// Returns whether there is no section yet.
    pub fn is_empty(&self) -> bool {
        self.bytes.len() <= HEADER_BYTES
    }

    /// Adds a section. Returns `false` and changes nothing if it does not fit.
    pub fn add(&mut self, section: &Section) -> bool {
        let start = self.bytes.len();
        self.bytes.extend_from_slice(&[0; SECTION_HEADER_BYTES]);
        let kind = self.write_body(section);
        let length = self.bytes.len() - start - SECTION_HEADER_BYTES;
        let fits = self.bytes.len() <= self.max_bytes;
        let (Ok(length), true) = (u16::try_from(length), fits) else {
            self.bytes.truncate(start);
            return false;
        };
        self.bytes[start] = kind;
        self.bytes[start + 1..start + SECTION_HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
        true
    }

    /// Writes the body of a section and returns the section's kind.
    fn write_body(&mut self, section: &Section) -> u8 {
        match section {
            Section::Members(members) => {
                for member in members {
                    self.write_member(member);
                }
                section_kind::MEMBERS
            }
            Section::Digest(entries) => {
                self.write_digest(entries);
                section_kind::DIGEST
            }
            Section::Want(entries) => {
                self.write_digest(entries);
                section_kind::WANT
            }
            Section::Counts(source, delta) => {
                self.write_counts(*source, delta);
                section_kind::COUNTS
            }
            Section::StatusText(parts, text) => {
                self.write_varint(u64::from(*parts));
                self.bytes.extend_from_slice(text);
                section_kind::STATUS_TEXT
            }
            Section::StatusPart(part) => {
                self.write_varint(u64::from(*part));
                section_kind::STATUS_PART
            }
        }
    }

    fn write_member(&mut self, member: &MemberInfo) {
        self.write_heartbeat(&member.heartbeat);
        match member.address.ip() {
            IpAddr::V4(ip) => {
                self.bytes.push(IPV4);
                self.bytes.extend_from_slice(&ip.octets());
            }
            IpAddr::V6(ip) => {
                self.bytes.push(IPV6);
                self.bytes.extend_from_slice(&ip.octets());
            }
        }
        let port = member.address.port();
        self.bytes.extend_from_slice(&port.to_be_bytes());
        let name = &member.name.as_bytes()[..member.name.len().min(MAX_NAME_BYTES)];
        self.bytes.push(name.len() as u8);
        self.bytes.extend_from_slice(name);
    }

    fn write_digest(&mut self, entries: &[DigestEntry]) {
        for entry in entries {
            self.write_heartbeat(&entry.heartbeat);
            self.write_varint(entry.known_version);
        }
    }

    fn write_counts(&mut self, source: Life, delta: &Delta) {
        self.write_source(source);
        self.write_varint(delta.after);
        self.write_varint(delta.up_to);
        for versioned in &delta.counts {
            self.write_varint(versioned.version);
            self.write_varint(u64::from(versioned.epoch));
            self.bytes
                .extend_from_slice(&versioned.customer.to_be_bytes());
            self.write_varint(versioned.count.taken);
            self.write_varint(versioned.count.returned);
        }
    }

    fn write_source(&mut self, source: Life) {
        self.bytes.extend_from_slice(&source.door.0.to_be_bytes());
        self.write_varint(source.incarnation);
    }

    fn write_heartbeat(&mut self, heartbeat: &Heartbeat) {
        self.write_source(heartbeat.source);
        self.write_varint(heartbeat.uptime);
        self.write_varint(heartbeat.version);
        self.write_varint(heartbeat.age);
    }

    /// Writes a LEB128 number: seven bits per byte, the lowest first.
    fn write_varint(&mut self, mut number: u64) {
        while number >= 0x80 {
            self.bytes.push(number as u8 | 0x80);
            number >>= 7;
        }
        self.bytes.push(number as u8);
    }

    /// Appends raw section bytes and returns the datagram with its authenticator; for tests of the
    /// reader.
    pub fn seal_with(mut self, seal: &Seal, sections: &[u8]) -> Vec<u8> {
        self.bytes.extend_from_slice(sections);
        self.seal(seal)
    }

    /// Returns the datagram with its authenticator.
    pub fn seal(mut self, seal: &Seal) -> Vec<u8> {
        let tag = seal.tag(&self.bytes);
        self.bytes.extend_from_slice(&tag);
        self.bytes
    }
}

/// Returns the size of a LEB128 number in bytes.
fn varint_bytes(number: u64) -> usize {
    (64 - (number | 1).leading_zeros() as usize).div_ceil(7)
}

/// Returns the size of a digest entry in bytes.
pub fn digest_entry_bytes(entry: &DigestEntry) -> usize {
    let heartbeat = entry.heartbeat;
    let numbers = [
        heartbeat.source.incarnation,
        heartbeat.uptime,
        heartbeat.version,
        heartbeat.age,
        entry.known_version,
    ];
    8 + numbers.into_iter().map(varint_bytes).sum::<usize>()
}

/// Returns the size of a count within a section in bytes.
pub fn count_bytes(versioned: &VersionedCount) -> usize {
    let count = versioned.count;
    varint_bytes(versioned.version)
        + varint_bytes(u64::from(versioned.epoch))
        + 8
        + varint_bytes(count.taken)
        + varint_bytes(count.returned)
}

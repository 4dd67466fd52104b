//! Parsing of datagrams.

use super::{
    section_kind, DigestEntry, Head, Kind, MemberInfo, RejectReason, Seal, Section, HEADER_BYTES,
    IPV4, IPV6, MAGIC, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, TAG_BYTES, VERSION,
};
use crate::count::MAX_MILLI_UNITS;
use crate::members::Heartbeat;
use crate::replica::{Delta, VersionedCount};
use crate::{Count, DoorId, Life};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// The maximum length of a LEB128 encoding of 64 bits.
const MAX_VARINT_BYTES: u32 = 10;

/// Parses the header and the sections of a datagram. Only the protocol, the version and the cluster
/// are checked before the authenticator is verified.
///
/// # Errors
/// The reason for rejecting the datagram.
pub fn read(seal: &Seal, bytes: &[u8]) -> Result<(Head, Vec<Section>), RejectReason> {
    check_protocol(bytes)?;
    let (body, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
    let mut reader = Reader {
        bytes: body,
        position: MAGIC.len() + 1,
    };
    let kind = reader.byte()?;
    if reader.read_u64()? != seal.cluster {
        return Err(RejectReason::OtherCluster);
    }
    if !seal.verify(body, tag) {
        return Err(RejectReason::Forged);
    }
    let head = reader.head(kind)?;
    let sections = reader.sections()?;
    Ok((head, sections))
}

fn check_protocol(bytes: &[u8]) -> Result<(), RejectReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(RejectReason::TooLong);
    }
    if !bytes.starts_with(&MAGIC) {
        let is_prefix = MAGIC.starts_with(bytes);
        return Err(if is_prefix {
            RejectReason::Cut
        } else {
            RejectReason::Foreign
        });
    }
    match bytes.get(MAGIC.len()) {
        None => return Err(RejectReason::Cut),
        Some(&VERSION) => {}
        // Later versions of the protocol keep the first six bytes, the cluster's name and the
        // position of the authenticator.
        Some(_) => return Err(RejectReason::OtherVersion),
    }
    if bytes.len() < HEADER_BYTES + TAG_BYTES {
        return Err(RejectReason::Cut);
    }
    Ok(())
}

struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    fn is_empty(&self) -> bool {
        self.position >= self.bytes.len()
    }

    fn take(&mut self, length: usize) -> Result<&'a [u8], RejectReason> {
        let end = self.position.checked_add(length).ok_or(RejectReason::Cut)?;
        let taken = self
            .bytes
            .get(self.position..end)
            .ok_or(RejectReason::Cut)?;
        self.position = end;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], RejectReason> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    fn byte(&mut self) -> Result<u8, RejectReason> {
        Ok(self.take(1)?[0])
    }

    /// Reads 16 bits in big-endian order.
    fn read_u16(&mut self) -> Result<u16, RejectReason> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    /// Reads 64 bits in big-endian order.
    fn read_u64(&mut self) -> Result<u64, RejectReason> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    /// Reads a LEB128 number of at most 64 bits.
    fn varint(&mut self) -> Result<u64, RejectReason> {
        let mut number = 0u64;
        for index in 0..MAX_VARINT_BYTES {
            let byte = self.byte()?;
            let bits = u64::from(byte & 0x7f);
            if index == MAX_VARINT_BYTES - 1 && bits > 1 {
                return Err(RejectReason::Absurd);
            }
            number |= bits << (7 * index);
            if byte & 0x80 == 0 {
                return Ok(number);
            }
        }
        Err(RejectReason::Absurd)
    }

    /// Reads a LEB128 number of at most 32 bits.
    fn varint32(&mut self) -> Result<u32, RejectReason> {
        u32::try_from(self.varint()?).map_err(|_| RejectReason::Absurd)
    }

    /// Reads items up to the end of the body.
    fn all<T>(
        &mut self,
        mut item: impl FnMut(&mut Self) -> Result<T, RejectReason>,
    ) -> Result<Vec<T>, RejectReason> {
        let mut items = Vec::new();
        while !self.is_empty() {
            items.push(item(self)?);
        }
        Ok(items)
    }

    /// Reads the rest of the header, after the cluster.
    fn head(&mut self, kind: u8) -> Result<Head, RejectReason> {
        Ok(Head {
            kind: Kind::from_code(kind).ok_or(RejectReason::Absurd)?,
            from: Life {
                door: DoorId(self.read_u64()?),
                incarnation: self.read_u64()?,
            },
            number: self.read_u64()?,
            nonce: self.read_u64()?,
            echo: self.read_u64()?,
        })
    }

    fn sections(&mut self) -> Result<Vec<Section>, RejectReason> {
        let mut sections = Vec::new();
        while !self.is_empty() {
            let kind = self.byte()?;
            let length = usize::from(self.read_u16()?);
            let mut body = Reader {
                bytes: self.take(length)?,
                position: 0,
            };
            // Sections of unknown kinds belong to a later minor version and are skipped.
            if let Some(section) = body.section(kind)? {
                sections.push(section);
            }
        }
        Ok(sections)
    }

    /// Reads the section of this kind; `None` if the kind is unknown.
    fn section(&mut self, kind: u8) -> Result<Option<Section>, RejectReason> {
        let section = match kind {
            section_kind::MEMBERS => Section::Members(self.all(Self::member)?),
            section_kind::DIGEST => Section::Digest(self.all(Self::digest_entry)?),
            section_kind::WANT => Section::Want(self.all(Self::digest_entry)?),
            section_kind::COUNTS => Section::Counts(self.source()?, self.delta()?),
            section_kind::STATUS_TEXT => {
                let parts = self.varint32()?;
                let text = self.take(self.bytes.len() - self.position)?;
                Section::StatusText(parts, text.to_vec())
            }
            section_kind::STATUS_PART => Section::StatusPart(self.varint32()?),
            _ => return Ok(None),
        };
        if self.is_empty() {
            Ok(Some(section))
        } else {
            Err(RejectReason::Cut)
        }
    }

    fn source(&mut self) -> Result<Life, RejectReason> {
        Ok(Life {
            door: DoorId(self.read_u64()?),
            incarnation: self.varint()?,
        })
    }

    fn heartbeat(&mut self) -> Result<Heartbeat, RejectReason> {
        Ok(Heartbeat {
            source: self.source()?,
            uptime: self.varint()?,
            version: self.varint()?,
            age: self.varint()?,
        })
    }

    fn digest_entry(&mut self) -> Result<DigestEntry, RejectReason> {
        Ok(DigestEntry {
            heartbeat: self.heartbeat()?,
            known_version: self.varint()?,
        })
    }

    fn member(&mut self) -> Result<MemberInfo, RejectReason> {
        let heartbeat = self.heartbeat()?;
        let ip = self.ip_address()?;
        let port = self.read_u16()?;
        let length = usize::from(self.byte()?);
        let name = std::str::from_utf8(self.take(length)?).map_err(|_| RejectReason::Absurd)?;
        let is_valid =
            (1..=MAX_NAME_BYTES).contains(&length) && name.chars().all(|c| c.is_ascii_graphic());
        // The id is a hash of the name, so a node cannot use another's id under a name of its own.
        if !is_valid || DoorId::of(name) != heartbeat.source.door {
            return Err(RejectReason::Absurd);
        }
        Ok(MemberInfo {
            heartbeat,
            address: SocketAddr::new(ip, port),
            name: name.to_owned(),
        })
    }

    fn ip_address(&mut self) -> Result<IpAddr, RejectReason> {
        match self.byte()? {
            IPV4 => Ok(IpAddr::V4(Ipv4Addr::from(self.array::<4>()?))),
            IPV6 => Ok(IpAddr::V6(Ipv6Addr::from(self.array::<16>()?))),
            _ => Err(RejectReason::Absurd),
        }
    }

    fn delta(&mut self) -> Result<Delta, RejectReason> {
        let delta = Delta {
            after: self.varint()?,
            up_to: self.varint()?,
            counts: self.all(Self::versioned_count)?,
        };
        if is_plausible(&delta) {
            Ok(delta)
        } else {
            Err(RejectReason::Absurd)
        }
    }

    fn versioned_count(&mut self) -> Result<VersionedCount, RejectReason> {
        let versioned = VersionedCount {
            version: self.varint()?,
            epoch: self.varint32()?,
            customer: self.read_u64()?,
            count: Count {
                taken: self.varint()?,
                returned: self.varint()?,
            },
        };
        let count = versioned.count;
        let is_too_large = count.taken > MAX_MILLI_UNITS || count.returned > MAX_MILLI_UNITS;
        if is_too_large || versioned.version == 0 {
            return Err(RejectReason::Absurd);
        }
        Ok(versioned)
    }
}

/// Returns whether the versions of a delta are ascending and within its version range. A delta
/// without a version range, as rumours have, may have its counts in any order.
fn is_plausible(delta: &Delta) -> bool {
    if delta.up_to < delta.after {
        return false;
    }
    let is_rising = delta
        .counts
        .windows(2)
        .all(|pair| pair[0].version < pair[1].version);
    let is_within = delta
        .counts
        .iter()
        .all(|count| delta.after < count.version && count.version <= delta.up_to);
    delta.up_to == 0 || (is_rising && is_within)
}

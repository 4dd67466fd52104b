//! Datagrams between doors: form, bounds and authenticator. `docs/shared-counts-wire.md` tells it for other teams.
//!
//! Whatever cannot be read is an error that names what is wrong; nothing is made of it. No list is longer than its bytes, so
//! nothing is allocated beyond a small multiple of a datagram.

use crate::members::Beat;
use crate::replica::{Delta, Versioned};
use crate::{count, Count, DoorId, Life};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Bytes of a datagram at most.
pub const MOST_DATAGRAM: usize = 1400;
/// Bytes of a door's name at most.
pub const MOST_NAME: usize = 64;
/// The version spoken here.
pub const VERSION: u8 = 1;
const MAGIC: [u8; 4] = *b"MFSC";
/// Bytes of the authenticator: HMAC-SHA-256 cut to half (RFC 2104, section 5).
const TAG: usize = 16;
/// Bytes before the sections.
pub const HEAD: usize = 4 + 1 + 1 + 8 * 6;

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Shows the sender's nonce and asks for the receiver's.
    Hello,
    /// Gossip: sections.
    Gossip,
    /// An operator asks for a part of the status; carries the number of the part.
    Ask,
    /// The status asked for, as text.
    Told,
}

/// What stands before the sections of every datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// What it is for.
    pub kind: Kind,
    /// Who sent it.
    pub from: Life,
    /// Its number among all that this life has sent.
    pub number: u64,
    /// What the sender wants to see as `echo` in what it is sent.
    pub nonce: u64,
    /// The receiver's nonce as the sender last heard it; nought if never.
    pub echo: u64,
}

/// Who a door is and where it listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Card {
    /// The life that it is about, and its last heartbeat.
    pub beat: Beat,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its name.
    pub name: String,
}

/// A line of a digest: a heartbeat, and up to which version its counts are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Line {
    /// The heartbeat.
    pub beat: Beat,
    /// All its counts up to this version are known to the sender.
    pub known: u64,
}

/// One section of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Section {
    /// Who takes part.
    Cards(Vec<Card>),
    /// What the sender knows; the receiver sends what is lacking there and asks for what it lacks itself.
    Digest(Vec<Line>),
    /// What the sender lacks: answered with deltas alone.
    Want(Vec<Line>),
    /// Counts of one life.
    Counts(Life, Delta),
    /// Text of a status, and the number of parts.
    Text(u32, Vec<u8>),
    /// The number of the part that is asked for.
    Part(u32),
}

/// Why a datagram changes nothing.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Refused {
    /// It is longer than any may be.
    TooLong,
    /// It ends too early, or goes on where it should end.
    Cut,
    /// It is not of this protocol.
    Foreign,
    /// It is of another version of it.
    OtherVersion,
    /// It is of another cluster.
    OtherCluster,
    /// It was not made with the shared key.
    Forged,
    /// It has come before.
    Repeated,
    /// Its sender has not heard this process's nonce.
    Unproven,
    /// Something in it cannot be true.
    Absurd,
    /// More came in this second than is taken.
    TooMany,
    /// There are as many doors as there may be.
    NoMember,
    /// There are as many counts as there may be.
    NoRoom,
}

/// The shared key and the cluster.
#[derive(Clone)]
pub struct Seal {
    mac: Hmac<Sha256>,
    cluster: u64,
}

impl std::fmt::Debug for Seal {
    /// The key is not shown.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Seal of cluster {:016x}", self.cluster)
    }
}

impl Seal {
    /// For a cluster of this name and key.
    pub fn new(cluster: &str, key: &[u8]) -> Seal {
        // HMAC takes keys of any length (RFC 2104, section 2), so this has no error to tell.
        let mac = Hmac::<Sha256>::new_from_slice(key)
            .unwrap_or_else(|_| unreachable!("HMAC takes any key"));
        Seal {
            mac,
            cluster: DoorId::of(cluster).0,
        }
    }

    fn tag(&self, bytes: &[u8]) -> [u8; TAG] {
        let whole = self.mac.clone().chain_update(bytes).finalize().into_bytes();
        std::array::from_fn(|at| whole[at])
    }

    fn holds(&self, bytes: &[u8], tag: &[u8]) -> bool {
        // In constant time, so that a tag cannot be guessed byte by byte.
        self.mac
            .clone()
            .chain_update(bytes)
            .verify_truncated_left(tag)
            .is_ok()
    }
}

/// Writes one datagram, never past its bound.
#[derive(Debug)]
pub struct Writer {
    bytes: Vec<u8>,
    most: usize,
}

impl Writer {
    /// Begins a datagram of so many bytes at most.
    pub fn new(seal: &Seal, head: &Head, most: usize) -> Writer {
        let mut bytes = Vec::with_capacity(most);
        bytes.extend_from_slice(&MAGIC);
        bytes.push(VERSION);
        bytes.push(match head.kind {
            Kind::Hello => 0,
            Kind::Gossip => 1,
            Kind::Ask => 2,
            Kind::Told => 3,
        });
        let words = [
            seal.cluster,
            head.from.door.0,
            head.from.incarnation,
            head.number,
            head.nonce,
            head.echo,
        ];
        for word in words {
            bytes.extend_from_slice(&word.to_be_bytes());
        }
        Writer {
            bytes,
            most: most.clamp(HEAD + TAG, MOST_DATAGRAM) - TAG,
        }
    }

    /// Bytes that are left.
    pub fn room(&self) -> usize {
        self.most.saturating_sub(self.bytes.len())
    }

    /// Whether it holds no section yet.
    pub fn is_empty(&self) -> bool {
        self.bytes.len() <= HEAD
    }

    /// Adds a section if it fits whole; `false` if not, and nothing is changed.
    pub fn add(&mut self, section: &Section) -> bool {
        let start = self.bytes.len();
        self.bytes.extend_from_slice(&[0, 0, 0]);
        let kind = self.body(section);
        let length = self.bytes.len() - start - 3;
        let (Ok(length), true) = (u16::try_from(length), self.bytes.len() <= self.most) else {
            self.bytes.truncate(start);
            return false;
        };
        self.bytes[start] = kind;
        self.bytes[start + 1..start + 3].copy_from_slice(&length.to_be_bytes());
        true
    }

    fn body(&mut self, section: &Section) -> u8 {
        match section {
            Section::Cards(cards) => {
                for card in cards {
                    self.beat(&card.beat);
                    match card.address.ip() {
                        IpAddr::V4(ip) => {
                            self.bytes.push(4);
                            self.bytes.extend_from_slice(&ip.octets());
                        }
                        IpAddr::V6(ip) => {
                            self.bytes.push(6);
                            self.bytes.extend_from_slice(&ip.octets());
                        }
                    }
                    self.bytes
                        .extend_from_slice(&card.address.port().to_be_bytes());
                    let name = &card.name.as_bytes()[..card.name.len().min(MOST_NAME)];
                    self.bytes.push(name.len() as u8);
                    self.bytes.extend_from_slice(name);
                }
                1
            }
            Section::Digest(lines) => {
                self.lines(lines);
                2
            }
            Section::Want(lines) => {
                self.lines(lines);
                3
            }
            Section::Counts(life, delta) => {
                self.life(*life);
                self.number(delta.after);
                self.number(delta.up_to);
                for told in &delta.counts {
                    // Versions rise, so steps are short; what is told out of order begins from nought each time.
                    self.number(told.version);
                    self.number(u64::from(told.epoch));
                    self.bytes.extend_from_slice(&told.customer.to_be_bytes());
                    self.number(told.count.taken);
                    self.number(told.count.returned);
                }
                4
            }
            Section::Text(parts, text) => {
                self.number(u64::from(*parts));
                self.bytes.extend_from_slice(text);
                5
            }
            Section::Part(part) => {
                self.number(u64::from(*part));
                6
            }
        }
    }

    fn lines(&mut self, lines: &[Line]) {
        for line in lines {
            self.beat(&line.beat);
            self.number(line.known);
        }
    }

    fn life(&mut self, life: Life) {
        self.bytes.extend_from_slice(&life.door.0.to_be_bytes());
        self.number(life.incarnation);
    }

    fn beat(&mut self, beat: &Beat) {
        self.life(beat.life);
        self.number(beat.time);
        self.number(beat.version);
        self.number(beat.age);
    }

    /// LEB128: seven bits to a byte, the lowest first.
    fn number(&mut self, mut number: u64) {
        while number >= 0x80 {
            self.bytes.push(number as u8 | 0x80);
            number >>= 7;
        }
        self.bytes.push(number as u8);
    }

    /// The datagram with its authenticator, and these bytes where sections stand: for those who try out receivers.
    pub fn seal_with(mut self, seal: &Seal, sections: &[u8]) -> Vec<u8> {
        self.bytes.extend_from_slice(sections);
        self.seal(seal)
    }

    /// The datagram with its authenticator.
    pub fn seal(mut self, seal: &Seal) -> Vec<u8> {
        let tag = seal.tag(&self.bytes);
        self.bytes.extend_from_slice(&tag);
        self.bytes
    }
}

/// Bytes that a number takes.
fn bytes_of_number(number: u64) -> usize {
    (64 - (number | 1).leading_zeros() as usize).div_ceil(7)
}

/// Bytes that a line of a digest takes.
pub fn bytes_of_line(line: &Line) -> usize {
    let beat = line.beat;
    let numbers = [
        beat.life.incarnation,
        beat.time,
        beat.version,
        beat.age,
        line.known,
    ];
    8 + numbers.into_iter().map(bytes_of_number).sum::<usize>()
}

/// Bytes that a count takes in a section.
pub fn bytes_of(told: &Versioned) -> usize {
    let number = bytes_of_number;
    let (count, epoch) = (told.count, u64::from(told.epoch));
    number(told.version) + number(epoch) + 8 + number(count.taken) + number(count.returned)
}

/// Bytes that a line of a digest takes at most.
pub const LINE_BYTES: usize = 8 + 7 + 5 + 5 + 4 + 5;

/// Reads a datagram: its head and its sections. The authenticator is looked at before anything else is believed.
///
/// # Errors
/// Why it changes nothing.
pub fn read(seal: &Seal, bytes: &[u8]) -> Result<(Head, Vec<Section>), Refused> {
    if bytes.len() > MOST_DATAGRAM {
        return Err(Refused::TooLong);
    }
    if !bytes.starts_with(&MAGIC) {
        return Err(if MAGIC.starts_with(bytes) {
            Refused::Cut
        } else {
            Refused::Foreign
        });
    }
    match bytes.get(4) {
        None => return Err(Refused::Cut),
        Some(&VERSION) => {}
        // Later versions keep the first six bytes, the cluster and the place of the authenticator.
        Some(_) => return Err(Refused::OtherVersion),
    }
    if bytes.len() < HEAD + TAG {
        return Err(Refused::Cut);
    }
    let (body, tag) = bytes.split_at(bytes.len() - TAG);
    let mut reader = Reader { bytes: body, at: 5 };
    let kind = reader.byte()?;
    if reader.word()? != seal.cluster {
        return Err(Refused::OtherCluster);
    }
    if !seal.holds(body, tag) {
        return Err(Refused::Forged);
    }
    let kind = match kind {
        0 => Kind::Hello,
        1 => Kind::Gossip,
        2 => Kind::Ask,
        3 => Kind::Told,
        _ => return Err(Refused::Absurd),
    };
    let from = Life {
        door: DoorId(reader.word()?),
        incarnation: reader.word()?,
    };
    let (number, nonce, echo) = (reader.word()?, reader.word()?, reader.word()?);
    let mut sections = Vec::new();
    while !reader.is_empty() {
        let kind = reader.byte()?;
        let length = usize::from(u16::from_be_bytes([reader.byte()?, reader.byte()?]));
        let mut section = Reader {
            bytes: reader.take(length)?,
            at: 0,
        };
        // A kind that is not known is of a later minor change: it is passed over.
        if let Some(section) = section.section(kind)? {
            sections.push(section);
        }
    }
    Ok((
        Head {
            kind,
            from,
            number,
            nonce,
            echo,
        },
        sections,
    ))
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn is_empty(&self) -> bool {
        self.at >= self.bytes.len()
    }

    fn take(&mut self, length: usize) -> Result<&'a [u8], Refused> {
        let end = self.at.checked_add(length).ok_or(Refused::Cut)?;
        let taken = self.bytes.get(self.at..end).ok_or(Refused::Cut)?;
        self.at = end;
        Ok(taken)
    }

    fn byte(&mut self) -> Result<u8, Refused> {
        Ok(self.take(1)?[0])
    }

    fn word(&mut self) -> Result<u64, Refused> {
        let mut word = [0; 8];
        word.copy_from_slice(self.take(8)?);
        Ok(u64::from_be_bytes(word))
    }

    fn number(&mut self) -> Result<u64, Refused> {
        let mut number = 0u64;
        for place in 0..10 {
            let byte = self.byte()?;
            let bits = u64::from(byte & 0x7f);
            if place == 9 && bits > 1 {
                return Err(Refused::Absurd);
            }
            number |= bits << (7 * place);
            if byte & 0x80 == 0 {
                return Ok(number);
            }
        }
        Err(Refused::Absurd)
    }

    fn small(&mut self) -> Result<u32, Refused> {
        u32::try_from(self.number()?).map_err(|_| Refused::Absurd)
    }

    fn life(&mut self) -> Result<Life, Refused> {
        Ok(Life {
            door: DoorId(self.word()?),
            incarnation: self.number()?,
        })
    }

    fn beat(&mut self) -> Result<Beat, Refused> {
        let life = self.life()?;
        Ok(Beat {
            life,
            time: self.number()?,
            version: self.number()?,
            age: self.number()?,
        })
    }

    fn lines(&mut self) -> Result<Vec<Line>, Refused> {
        let mut lines = Vec::new();
        while !self.is_empty() {
            lines.push(Line {
                beat: self.beat()?,
                known: self.number()?,
            });
        }
        Ok(lines)
    }

    fn card(&mut self) -> Result<Card, Refused> {
        let beat = self.beat()?;
        let ip = match self.byte()? {
            4 => {
                let mut octets = [0; 4];
                octets.copy_from_slice(self.take(4)?);
                IpAddr::V4(Ipv4Addr::from(octets))
            }
            6 => {
                let mut octets = [0; 16];
                octets.copy_from_slice(self.take(16)?);
                IpAddr::V6(Ipv6Addr::from(octets))
            }
            _ => return Err(Refused::Absurd),
        };
        let port = u16::from_be_bytes([self.byte()?, self.byte()?]);
        let length = usize::from(self.byte()?);
        let name = std::str::from_utf8(self.take(length)?).map_err(|_| Refused::Absurd)?;
        let plain = name.chars().all(|c| c.is_ascii_graphic());
        // The id is a hash of the name, so nobody can take another's place under a name of its own.
        if length > MOST_NAME || length == 0 || !plain || DoorId::of(name) != beat.life.door {
            return Err(Refused::Absurd);
        }
        Ok(Card {
            beat,
            address: SocketAddr::new(ip, port),
            name: name.to_owned(),
        })
    }

    fn section(&mut self, kind: u8) -> Result<Option<Section>, Refused> {
        let section = match kind {
            1 => {
                let mut cards = Vec::new();
                while !self.is_empty() {
                    cards.push(self.card()?);
                }
                Section::Cards(cards)
            }
            2 => Section::Digest(self.lines()?),
            3 => Section::Want(self.lines()?),
            4 => {
                let life = self.life()?;
                let (after, up_to) = (self.number()?, self.number()?);
                let mut counts = Vec::new();
                while !self.is_empty() {
                    let (version, epoch) = (self.number()?, self.small()?);
                    let customer = self.word()?;
                    let count = Count {
                        taken: self.number()?,
                        returned: self.number()?,
                    };
                    if count.taken > count::MOST || count.returned > count::MOST || version == 0 {
                        return Err(Refused::Absurd);
                    }
                    counts.push(Versioned {
                        version,
                        epoch,
                        customer,
                        count,
                    });
                }
                let ordered = counts
                    .windows(2)
                    .all(|pair| pair[0].version < pair[1].version);
                let within = counts
                    .iter()
                    .all(|told| after < told.version && told.version <= up_to);
                if up_to < after || (up_to > 0 && !(ordered && within)) {
                    return Err(Refused::Absurd);
                }
                Section::Counts(
                    life,
                    Delta {
                        after,
                        up_to,
                        counts,
                    },
                )
            }
            5 => {
                let parts = self.small()?;
                let text = self.take(self.bytes.len() - self.at)?;
                Section::Text(parts, text.to_vec())
            }
            6 => Section::Part(self.small()?),
            _ => return Ok(None),
        };
        // A section that is longer than what it should hold is as broken as one that is shorter.
        if self.is_empty() {
            Ok(Some(section))
        } else {
            Err(Refused::Cut)
        }
    }
}

//! What was taken under numbers that were overtaken since: a digest of each content, so that the same call can be known
//! again and another one under its number be told from it.

use crate::item::{Item, ItemKind};
use crate::item_set::KINDS;
use prost::Message;
use siphasher::sip128::{Hasher128, SipHasher24};
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Numbers of one name that are remembered besides the highest.
pub const MAX_VERSIONS_PER_ITEM: usize = 256;
/// Numbers of all names that are remembered besides the highest of each. Beyond it the older half goes.
pub const MAX_VERSIONS: usize = 1 << 19;

/// 128 bits that stand for the content of an item: SipHash-2-4 with a fixed key over the item as prost writes it. The same
/// in every process and every version of the program, since it is kept in snapshots.
pub(crate) type Digest = [u8; 16];

pub(crate) fn digest(item: &Item) -> Digest {
    let mut hasher = SipHasher24::new_with_keys(0x6d61_706c_6566_616c, 0x6c2e_6e75_6d62_6572);
    hasher.write(&item.encode_to_vec());
    hasher.finish128().as_bytes()
}

/// What is remembered of the overtaken numbers of one name, as a snapshot keeps it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemHistory {
    /// What the items are.
    #[prost(enumeration = "ItemKind", tag = "1")]
    pub kind: i32,
    /// Their name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Numbers up to here may be forgotten.
    #[prost(uint32, optional, tag = "3")]
    pub evicted_up_to: Option<u32>,
    /// The numbers, rising.
    #[prost(uint32, repeated, tag = "4")]
    pub versions: Vec<u32>,
    /// The place of each in the order in which numbers were overtaken.
    #[prost(uint64, repeated, tag = "5")]
    pub sequences: Vec<u64>,
    /// Digests of the contents: 16 bytes for each.
    #[prost(bytes = "vec", tag = "6")]
    pub digests: Vec<u8>,
}

/// All that is remembered of overtaken numbers, as a snapshot keeps it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct VersionHistory {
    /// By kind and name.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<ItemHistory>,
    /// How many numbers were ever recorded.
    #[prost(uint64, tag = "2")]
    pub recorded: u64,
}

/// What is known of a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Number {
    /// Nobody has taken it.
    New,
    /// It was taken with this content.
    Same,
    /// It was taken with another content.
    Other,
    /// It may have been taken; what with is no longer known.
    Forgotten,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Numbers {
    forgotten: Option<u32>,
    /// Version, place, digest; rising by version.
    known: Vec<(u32, u64, Digest)>,
}

/// The overtaken numbers of all names. What it holds depends on the order of the log alone, so it is the same at every
/// exchange.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Overtaken {
    kinds: [BTreeMap<String, Numbers>; KINDS],
    held: usize,
    recorded: u64,
    most_numbers: usize,
    most: usize,
}

impl Overtaken {
    pub(crate) fn bounded(most_numbers: usize, most: usize) -> Overtaken {
        Overtaken {
            kinds: Default::default(),
            held: 0,
            recorded: 0,
            most_numbers,
            most,
        }
    }

    /// What is known of a number, given what came with it.
    pub(crate) fn number(&self, item: &Item) -> Number {
        let Some(numbers) = self.kinds[item.kind() as usize].get(&item.name) else {
            return Number::New;
        };
        match numbers
            .known
            .binary_search_by_key(&item.version, |known| known.0)
        {
            Ok(at) if numbers.known[at].2 == digest(item) => Number::Same,
            Ok(_) => Number::Other,
            Err(_)
                if numbers
                    .forgotten
                    .is_some_and(|version| item.version <= version) =>
            {
                Number::Forgotten
            }
            Err(_) => Number::New,
        }
    }

    /// Remembers what an overtaken number was taken with. The first content stays.
    pub(crate) fn record(&mut self, item: &Item) {
        let name = &item.name;
        let kind = &mut self.kinds[item.kind() as usize];
        if !kind.contains_key(name) {
            kind.insert(name.clone(), Numbers::default());
        }
        let Some(numbers) = kind.get_mut(name) else {
            return;
        };
        let Err(at) = numbers
            .known
            .binary_search_by_key(&item.version, |known| known.0)
        else {
            return;
        };
        self.recorded += 1;
        numbers
            .known
            .insert(at, (item.version, self.recorded, digest(item)));
        self.held += 1;
        if numbers.known.len() > self.most_numbers {
            let gone = numbers.known.remove(0).0;
            numbers.forgotten = numbers.forgotten.max(Some(gone));
            self.held -= 1;
        }
        if self.held > self.most {
            self.forget_older_half();
        }
    }

    fn forget_older_half(&mut self) {
        let mut places: Vec<u64> = self
            .all()
            .flat_map(|(_, _, n)| n.known.iter().map(|k| k.1))
            .collect();
        let middle = places.len() / 2;
        let first_kept = *places.select_nth_unstable(middle).1;
        self.held = 0;
        for numbers in self.kinds.iter_mut().flat_map(BTreeMap::values_mut) {
            let forgotten = &mut numbers.forgotten;
            numbers.known.retain(|(version, place, _)| {
                let kept = *place >= first_kept;
                if !kept {
                    *forgotten = (*forgotten).max(Some(*version));
                }
                kept
            });
            self.held += numbers.known.len();
        }
    }

    fn all(&self) -> impl Iterator<Item = (usize, &String, &Numbers)> {
        self.kinds
            .iter()
            .enumerate()
            .flat_map(|(kind, names)| names.iter().map(move |(n, o)| (kind, n, o)))
    }

    pub(crate) fn taken(&self) -> VersionHistory {
        let names = self.all().map(|(kind, name, numbers)| ItemHistory {
            kind: kind as i32,
            name: name.clone(),
            evicted_up_to: numbers.forgotten,
            versions: numbers.known.iter().map(|known| known.0).collect(),
            sequences: numbers.known.iter().map(|known| known.1).collect(),
            digests: numbers.known.iter().flat_map(|known| known.2).collect(),
        });
        VersionHistory {
            items: names.collect(),
            recorded: self.recorded,
        }
    }

    pub(crate) fn restore(&mut self, taken: VersionHistory) {
        self.recorded = taken.recorded;
        for one in taken.items {
            let kind = one.kind() as usize;
            let digests = one
                .digests
                .chunks_exact(16)
                .filter_map(|bytes| bytes.try_into().ok());
            let known: Vec<(u32, u64, Digest)> = one
                .versions
                .iter()
                .zip(&one.sequences)
                .zip(digests)
                .map(|((version, place), digest)| (*version, *place, digest))
                .collect();
            self.held += known.len();
            self.kinds[kind].insert(
                one.name,
                Numbers {
                    forgotten: one.evicted_up_to,
                    known,
                },
            );
        }
    }
}

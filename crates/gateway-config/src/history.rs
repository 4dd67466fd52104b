//! Superseded versions: a digest of each content, so that a repeated call is recognised and another content under an old version is
//! rejected.
//!
//! Invariant: the history depends only on the order of committed changes, so it is the same at every controller.

use crate::item::{Item, ItemKind};
use prost::Message;
use siphasher::sip128::{Hasher128, SipHasher24};
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Superseded versions of one item that are remembered. Beyond it the lowest is evicted.
pub const MAX_VERSIONS_PER_ITEM: usize = 256;
/// Superseded versions of all items together that are remembered. Beyond it the older half is evicted.
pub const MAX_VERSIONS: usize = 1 << 19;

const DIGEST_BYTES: usize = 16;

/// The first and the second half of the fixed key of [`digest`].
const DIGEST_KEY: (u64, u64) = (0x6d61_706c_6566_616c, 0x6c2e_6e75_6d62_6572);

/// Identifies the content of an item: SipHash-2-4 of 128 bits with a fixed key over its protobuf encoding. It is stored in
/// snapshots, so it must be the same in every process and every release.
pub(crate) type Digest = [u8; DIGEST_BYTES];

pub(crate) fn digest(item: &Item) -> Digest {
    let mut hasher = SipHasher24::new_with_keys(DIGEST_KEY.0, DIGEST_KEY.1);
    hasher.write(&item.encode_to_vec());
    hasher.finish128().as_bytes()
}

/// The superseded versions of one item, as a snapshot stores them.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemHistory {
    /// The kind of the item.
    #[prost(enumeration = "ItemKind", tag = "1")]
    pub kind: i32,
    /// The name of the item.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The highest version that was evicted; what is not listed up to it may have been applied.
    #[prost(uint32, optional, tag = "3")]
    pub evicted_up_to: Option<u32>,
    /// The versions, rising.
    #[prost(uint32, repeated, tag = "4")]
    pub versions: Vec<u32>,
    /// The sequence number of each, in the order in which they were recorded.
    #[prost(uint64, repeated, tag = "5")]
    pub sequences: Vec<u64>,
    /// The digests of the contents, 16 bytes for each.
    #[prost(bytes = "vec", tag = "6")]
    pub digests: Vec<u8>,
}

/// All superseded versions, as a snapshot stores them.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct VersionHistory {
    /// By kind and name.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<ItemHistory>,
    /// How many versions were ever recorded.
    #[prost(uint64, tag = "2")]
    pub recorded: u64,
}

/// What is known of a version of an item, compared with the content that came with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VersionStatus {
    /// It does not exist yet.
    New,
    /// It exists with this content.
    Identical,
    /// It exists with another content.
    Conflicting,
    /// It may exist; its digest was evicted.
    Evicted,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct SupersededVersion {
    version: u32,
    /// Its number in the order of recording, over all items.
    sequence: u64,
    digest: Digest,
}

/// The superseded versions of one item.
#[derive(Clone, Debug, Default, PartialEq)]
struct ItemVersions {
    evicted_up_to: Option<u32>,
    /// Rising by version.
    known: Vec<SupersededVersion>,
}

impl ItemVersions {
    fn find(&self, version: u32) -> Result<usize, usize> {
        self.known
            .binary_search_by_key(&version, |known| known.version)
    }

    fn status(&self, item: &Item) -> VersionStatus {
        match self.find(item.version) {
            Ok(index) if self.known[index].digest == digest(item) => VersionStatus::Identical,
            Ok(_) => VersionStatus::Conflicting,
            Err(_) if self.evicted_up_to >= Some(item.version) => VersionStatus::Evicted,
            Err(_) => VersionStatus::New,
        }
    }

    fn evict_lowest(&mut self) {
        let evicted = self.known.remove(0);
        self.evicted_up_to = self.evicted_up_to.max(Some(evicted.version));
    }

    fn evict_recorded_before(&mut self, sequence: u64) {
        let evicted_up_to = &mut self.evicted_up_to;
        self.known.retain(|known| {
            let retained = known.sequence >= sequence;
            if !retained {
                *evicted_up_to = (*evicted_up_to).max(Some(known.version));
            }
            retained
        });
    }

    fn to_message(&self, kind: usize, name: &str) -> ItemHistory {
        ItemHistory {
            kind: kind as i32,
            name: name.to_owned(),
            evicted_up_to: self.evicted_up_to,
            versions: self.known.iter().map(|known| known.version).collect(),
            sequences: self.known.iter().map(|known| known.sequence).collect(),
            digests: self.known.iter().flat_map(|known| known.digest).collect(),
        }
    }

    fn from_message(message: &ItemHistory) -> ItemVersions {
        let digests = message
            .digests
            .chunks_exact(DIGEST_BYTES)
            .filter_map(|bytes| bytes.try_into().ok());
        let known = message
            .versions
            .iter()
            .zip(&message.sequences)
            .zip(digests)
            .map(|((version, sequence), digest)| SupersededVersion {
                version: *version,
                sequence: *sequence,
                digest,
            })
            .collect();
        ItemVersions {
            evicted_up_to: message.evicted_up_to,
            known,
        }
    }
}

/// The superseded versions of all items.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SupersededVersions {
    kinds: [BTreeMap<String, ItemVersions>; ItemKind::COUNT],
    /// How many versions are known, over all items.
    known: usize,
    /// How many versions were ever recorded.
    recorded: u64,
    max_versions_per_item: usize,
    max_versions: usize,
}

impl SupersededVersions {
    pub(crate) fn with_limits(
        max_versions_per_item: usize,
        max_versions: usize,
    ) -> SupersededVersions {
        SupersededVersions {
            kinds: Default::default(),
            known: 0,
            recorded: 0,
            max_versions_per_item,
            max_versions,
        }
    }

    /// What is known of the item's version.
    pub(crate) fn status(&self, item: &Item) -> VersionStatus {
        match self.kinds[item.kind() as usize].get(&item.name) {
            Some(versions) => versions.status(item),
            None => VersionStatus::New,
        }
    }

    /// Remembers the content of a superseded version. The first content that is recorded stays.
    pub(crate) fn record(&mut self, item: &Item) {
        let kind = &mut self.kinds[item.kind() as usize];
        if !kind.contains_key(&item.name) {
            kind.insert(item.name.clone(), ItemVersions::default());
        }
        let Some(versions) = kind.get_mut(&item.name) else {
            return;
        };
        let Err(index) = versions.find(item.version) else {
            return;
        };
        self.recorded += 1;
        let superseded = SupersededVersion {
            version: item.version,
            sequence: self.recorded,
            digest: digest(item),
        };
        versions.known.insert(index, superseded);
        self.known += 1;
        if versions.known.len() > self.max_versions_per_item {
            versions.evict_lowest();
            self.known -= 1;
        }
        if self.known > self.max_versions {
            self.evict_older_half();
        }
    }

    fn evict_older_half(&mut self) {
        let mut sequences: Vec<u64> = self
            .iter()
            .flat_map(|(_, _, versions)| versions.known.iter().map(|known| known.sequence))
            .collect();
        let middle = sequences.len() / 2;
        let first_retained = *sequences.select_nth_unstable(middle).1;
        self.known = 0;
        for versions in self.kinds.iter_mut().flat_map(BTreeMap::values_mut) {
            versions.evict_recorded_before(first_retained);
            self.known += versions.known.len();
        }
    }

    fn iter(&self) -> impl Iterator<Item = (usize, &String, &ItemVersions)> {
        self.kinds.iter().enumerate().flat_map(|(kind, items)| {
            items
                .iter()
                .map(move |(name, versions)| (kind, name, versions))
        })
    }

    /// The history as a snapshot stores it.
    pub(crate) fn to_message(&self) -> VersionHistory {
        VersionHistory {
            items: self
                .iter()
                .map(|(kind, name, versions)| versions.to_message(kind, name))
                .collect(),
            recorded: self.recorded,
        }
    }

    /// Adds the history of a snapshot.
    pub(crate) fn restore(&mut self, history: VersionHistory) {
        self.recorded = history.recorded;
        for message in history.items {
            let versions = ItemVersions::from_message(&message);
            self.known += versions.known.len();
            self.kinds[message.kind() as usize].insert(message.name, versions);
        }
    }
}

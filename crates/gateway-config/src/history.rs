//! Superseded versions of items. A digest of each version's content is kept, so that a repeated
//! call is recognised and different content under an old version is rejected.
//!
//! Invariant: the history depends only on the order of committed changes, so it is the same at
//! every controller.

use crate::item::{Item, ItemKind};
use prost::Message;
use siphasher::sip128::{Hasher128, SipHasher24};
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Maximum number of superseded versions kept for one item; beyond it, the lowest is evicted.
pub const MAX_VERSIONS_PER_ITEM: usize = 256;
/// Maximum number of superseded versions kept for all items together; beyond it, the older half is
/// evicted.
pub const MAX_VERSIONS: usize = 1 << 19;

const DIGEST_BYTES: usize = 16;

/// The two halves of the fixed key of [`digest`].
const DIGEST_KEY: (u64, u64) = (0x6d61_706c_6566_616c, 0x6c2e_6e75_6d62_6572);

/// A digest of an item's content: 128-bit SipHash-2-4 with a fixed key over the protobuf encoding.
/// Digests are stored in snapshots, so they must be the same in every process and every release.
pub(crate) type Digest = [u8; DIGEST_BYTES];

pub(crate) fn digest(item: &Item) -> Digest {
    let mut hasher = SipHasher24::new_with_keys(DIGEST_KEY.0, DIGEST_KEY.1);
    hasher.write(&item.encode_to_vec());
    hasher.finish128().as_bytes()
}

/// The superseded versions of one item, as stored in a snapshot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ItemHistory {
    /// The kind of the item.
    #[prost(enumeration = "ItemKind", tag = "1")]
    pub kind: i32,
    /// The name of the item.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The highest evicted version. An unlisted version up to this one may have been applied.
    #[prost(uint32, optional, tag = "3")]
    pub evicted_up_to: Option<u32>,
    /// The versions, in ascending order.
    #[prost(uint32, repeated, tag = "4")]
    pub versions: Vec<u32>,
    /// The sequence number of each version, in the order of `versions`; sequence numbers increase
    /// in the order of recording.
    #[prost(uint64, repeated, tag = "5")]
    pub sequences: Vec<u64>,
    /// The digest of each version's content, in the order of `versions`; 16 bytes each.
    #[prost(bytes = "vec", tag = "6")]
    pub digests: Vec<u8>,
}

/// The superseded versions of all items, as stored in a snapshot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct VersionHistory {
    /// The histories of the items, in the order of kind and name.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<ItemHistory>,
    /// Number of versions ever recorded, including evicted ones.
    #[prost(uint64, tag = "2")]
    pub recorded: u64,
}

/// The status of an item's version, compared with the content given for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VersionStatus {
    /// The version does not exist yet.
    New,
    /// The version exists with the given content.
    Identical,
    /// The version exists with different content.
    Conflicting,
    /// The version may exist; its digest was evicted.
    Evicted,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct SupersededVersion {
    version: u32,
    /// Position of the version in the order of recording, across all items.
    sequence: u64,
    digest: Digest,
}

/// The superseded versions of one item.
#[derive(Clone, Debug, Default, PartialEq)]
struct ItemVersions {
    evicted_up_to: Option<u32>,
    /// The superseded versions, in ascending order.
    entries: Vec<SupersededVersion>,
}

impl ItemVersions {
    fn find(&self, version: u32) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&version, |entry| entry.version)
    }

    fn status(&self, item: &Item) -> VersionStatus {
        match self.find(item.version) {
            Ok(index) if self.entries[index].digest == digest(item) => VersionStatus::Identical,
            Ok(_) => VersionStatus::Conflicting,
            Err(_) if self.evicted_up_to >= Some(item.version) => VersionStatus::Evicted,
            Err(_) => VersionStatus::New,
        }
    }

    fn evict_lowest(&mut self) {
        let evicted = self.entries.remove(0);
        self.evicted_up_to = self.evicted_up_to.max(Some(evicted.version));
    }

    fn evict_recorded_before(&mut self, sequence: u64) {
        let evicted_up_to = &mut self.evicted_up_to;
        self.entries.retain(|entry| {
            let retained = entry.sequence >= sequence;
            if !retained {
                *evicted_up_to = (*evicted_up_to).max(Some(entry.version));
            }
            retained
        });
    }

    fn to_message(&self, kind: usize, name: &str) -> ItemHistory {
        ItemHistory {
            kind: kind as i32,
            name: name.to_owned(),
            evicted_up_to: self.evicted_up_to,
            versions: self.entries.iter().map(|entry| entry.version).collect(),
            sequences: self.entries.iter().map(|entry| entry.sequence).collect(),
            digests: self.entries.iter().flat_map(|entry| entry.digest).collect(),
        }
    }

    fn from_message(message: &ItemHistory) -> ItemVersions {
        let digests = message
            .digests
            .chunks_exact(DIGEST_BYTES)
            .filter_map(|bytes| bytes.try_into().ok());
        let entries = message
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
            entries,
        }
    }
}

/// The superseded versions of all items.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SupersededVersions {
    kinds: [BTreeMap<String, ItemVersions>; ItemKind::COUNT],
    /// Number of versions kept, across all items.
    version_count: usize,
    /// Number of versions ever recorded, including evicted ones.
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
            version_count: 0,
            recorded: 0,
            max_versions_per_item,
            max_versions,
        }
    }

    /// Returns the status of the item's version.
    pub(crate) fn status(&self, item: &Item) -> VersionStatus {
        match self.kinds[item.kind() as usize].get(&item.name) {
            Some(versions) => versions.status(item),
            None => VersionStatus::New,
        }
    }

    /// Records the content of a superseded version. A version that is already recorded keeps its
    /// content.
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
        versions.entries.insert(index, superseded);
        self.version_count += 1;
        if versions.entries.len() > self.max_versions_per_item {
            versions.evict_lowest();
            self.version_count -= 1;
        }
        if self.version_count > self.max_versions {
            self.evict_older_half();
        }
    }

    fn evict_older_half(&mut self) {
        let mut sequences: Vec<u64> = self
            .iter()
            .flat_map(|(_, _, versions)| versions.entries.iter().map(|entry| entry.sequence))
            .collect();
        let middle = sequences.len() / 2;
        let first_retained = *sequences.select_nth_unstable(middle).1;
        self.version_count = 0;
        for versions in self.kinds.iter_mut().flat_map(BTreeMap::values_mut) {
            versions.evict_recorded_before(first_retained);
            self.version_count += versions.entries.len();
        }
    }

    fn iter(&self) -> impl Iterator<Item = (usize, &String, &ItemVersions)> {
        self.kinds.iter().enumerate().flat_map(|(kind, items)| {
            items
                .iter()
                .map(move |(name, versions)| (kind, name, versions))
        })
    }

    /// Returns the history as stored in a snapshot.
    pub(crate) fn to_message(&self) -> VersionHistory {
        VersionHistory {
            items: self
                .iter()
                .map(|(kind, name, versions)| versions.to_message(kind, name))
                .collect(),
            recorded: self.recorded,
        }
    }

    /// Adds the history stored in a snapshot.
    pub(crate) fn restore(&mut self, history: VersionHistory) {
        self.recorded = history.recorded;
        for message in history.items {
            let versions = ItemVersions::from_message(&message);
            self.version_count += versions.entries.len();
            self.kinds[message.kind() as usize].insert(message.name, versions);
        }
    }
}

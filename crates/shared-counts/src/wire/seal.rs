//! The authenticator of datagrams: HMAC-SHA-256 with the cluster's key.

use super::TAG_BYTES;
use crate::DoorId;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The key and the id of a cluster.
#[derive(Clone)]
pub struct Seal {
    mac: Hmac<Sha256>,
    pub(super) cluster: u64,
}

impl std::fmt::Debug for Seal {
    /// Formats the cluster id without the key.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Seal of cluster {:016x}", self.cluster)
    }
}

impl Seal {
    /// Creates the authenticator of the cluster with this name and key.
    pub fn new(cluster: &str, key: &[u8]) -> Seal {
        // HMAC accepts keys of any length (RFC 2104, section 2).
        let mac = Hmac::<Sha256>::new_from_slice(key)
            .unwrap_or_else(|_| unreachable!("HMAC takes any key"));
        Seal {
            mac,
            cluster: DoorId::of(cluster).0,
        }
    }

    /// Returns the authentication tag of these bytes.
    pub(super) fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let code = self.mac.clone().chain_update(bytes).finalize().into_bytes();
        std::array::from_fn(|index| code[index])
    }

    /// Returns whether the tag is that of these bytes. Takes constant time, so that a tag cannot be
    /// guessed byte by byte.
    pub(super) fn verify(&self, bytes: &[u8], tag: &[u8]) -> bool {
        self.mac
            .clone()
            .chain_update(bytes)
            .verify_truncated_left(tag)
            .is_ok()
    }
}

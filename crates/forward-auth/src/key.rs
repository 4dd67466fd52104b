//! What makes two questions the same.

use siphasher::sip128::{Hasher128, SipHasher24};
use std::hash::Hasher;

/// A question, as a keyed hash of 128 bits (SipHash-2-4): the credentials themselves are not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(u128);

/// Makes keys, with a secret of this process.
#[derive(Clone)]
pub struct KeyHasher([u8; 16]);

impl std::fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Keyring")
    }
}

impl KeyHasher {
    /// With this secret.
    pub fn new(secret: [u8; 16]) -> KeyHasher {
        KeyHasher(secret)
    }

    /// The key of these parts in this order: one for each header that the operator names (`None` where the request has
    /// none), then class, plan and whatever else is configured. Each part is told apart from its neighbours and from
    /// none at all, so that no two lists of parts run together.
    pub fn key<'a>(&self, parts: impl IntoIterator<Item = Option<&'a [u8]>>) -> Key {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        for part in parts {
            match part {
                None => hasher.write_u8(0),
                Some(part) => {
                    hasher.write_u8(1);
                    hasher.write_u64(part.len() as u64);
                    hasher.write(part);
                }
            }
        }
        Key(hasher.finish128().as_u128())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parts_do_not_run_together() {
        let ring = KeyHasher::new([7; 16]);
        let key =
            |parts: &[Option<&str>]| ring.key(parts.iter().map(|part| part.map(str::as_bytes)));
        let lists: [&[Option<&str>]; 12] = [
            // What would be the same without the lengths: the marks between parts are bytes like any other.
            &[Some("a\u{1}b")],
            &[Some("a\u{0}")],
            &[],
            &[None],
            &[Some("")],
            &[Some("a"), Some("b")],
            &[Some("a"), None],
            &[Some("ab"), Some("c")],
            &[Some("a"), Some("bc")],
            &[Some("abc")],
            &[Some("ab"), None, Some("c")],
            &[Some("ab"), Some("c"), None],
        ];
        for (at, list) in lists.iter().enumerate() {
            for (other_at, other) in lists.iter().enumerate() {
                assert_eq!(
                    key(list) == key(other),
                    at == other_at,
                    "{list:?} {other:?}"
                );
            }
        }
        let other = KeyHasher::new([8; 16]);
        assert_ne!(
            other.key([Some(&b"abc"[..])]),
            key(&[Some("abc")]),
            "another process makes other keys"
        );
    }
}

//! Keys of checks: requests with equal keys share a check and its verdict.

use siphasher::sip128::{Hasher128, SipHasher24};
use std::hash::Hasher;

/// The key of a check, a keyed hash of 128 bits (SipHash-2-4): the credentials themselves are not
/// stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(u128);

/// Computes keys with a secret of this process.
#[derive(Clone)]
pub struct KeyHasher([u8; 16]);

impl std::fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Keyring")
    }
}

impl KeyHasher {
    /// A hasher with this secret.
    pub fn new(secret: [u8; 16]) -> KeyHasher {
        KeyHasher(secret)
    }

    /// The key of these parts in this order: one for each header that the operator names (`None`
    /// where the request lacks the header), then class, plan and whatever else is configured. Each
    /// part is hashed with its length, and a missing part differs from an empty one, so that
    /// different lists never hash the same bytes.
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
    fn different_lists_of_parts_have_different_keys() {
        let hasher = KeyHasher::new([7; 16]);
        let key =
            |parts: &[Option<&str>]| hasher.key(parts.iter().map(|part| part.map(str::as_bytes)));
        let lists: [&[Option<&str>]; 12] = [
            // Without the lengths, these two lists would hash the same bytes as `a`, `b` and as
            // `a`, `None`, since a part may contain the byte that marks the next part.
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
        for (index, list) in lists.iter().enumerate() {
            for (other_index, other) in lists.iter().enumerate() {
                assert_eq!(
                    key(list) == key(other),
                    index == other_index,
                    "{list:?} {other:?}"
                );
            }
        }
        let other_hasher = KeyHasher::new([8; 16]);
        assert_ne!(
            other_hasher.key([Some(&b"abc"[..])]),
            key(&[Some("abc")]),
            "another process has other keys"
        );
    }
}

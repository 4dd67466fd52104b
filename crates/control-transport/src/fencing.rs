//! Which link of a machine is its latest: what is left of older ones is not taken. See [`crate::liveness`] for why the order in
//! which hellos were read is the order of the links that prove themselves.

use std::collections::BTreeMap;

/// Whose links are remembered at most, beyond those that are up. An older link than the latest proves itself within
/// [`crate::liveness::DEAD`] or never, so what has gone needs no memory for long.
const MOST_GONE: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct Latest {
    link: u64,
    up: bool,
}

/// Whether a link that has proven itself is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is, and there is no other.
    New,
    /// It is, in place of the link of this number.
    Replaces(u64),
    /// A later one has been taken.
    Stale,
}

/// The latest link of each speaker.
#[derive(Clone, Debug)]
pub struct ConnectionFence<K> {
    latest: BTreeMap<K, Latest>,
    last: u64,
}

impl<K> Default for ConnectionFence<K> {
    fn default() -> Self {
        ConnectionFence {
            latest: BTreeMap::new(),
            last: 0,
        }
    }
}

impl<K: Ord + Clone> ConnectionFence<K> {
    /// A hello has been read: the number of its link.
    pub fn next_token(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// A link has proven itself.
    pub fn admit(&mut self, who: &K, link: u64) -> Admission {
        if self.latest.len() >= MOST_GONE {
            self.latest.retain(|_, latest| latest.up);
        }
        match self.latest.get_mut(who) {
            Some(latest) if latest.link > link => Admission::Stale,
            Some(latest) => {
                let before = std::mem::replace(latest, Latest { link, up: true });
                if before.up {
                    Admission::Replaces(before.link)
                } else {
                    Admission::New
                }
            }
            None => {
                self.latest.insert(who.clone(), Latest { link, up: true });
                Admission::New
            }
        }
    }

    /// Whether what comes on this link may be taken.
    pub fn is_current(&self, who: &K, link: u64) -> bool {
        self.latest
            .get(who)
            .is_some_and(|latest| latest.link == link)
    }

    /// A link has ended.
    pub fn disconnected(&mut self, who: &K, link: u64) {
        if let Some(latest) = self.latest.get_mut(who) {
            latest.up &= latest.link != link;
        }
    }
}

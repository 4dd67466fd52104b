//! What a client has sent of its call, kept so that a further attempt can be sent the same again.

use bytes::Bytes;
use std::collections::VecDeque;

/// The client's half of a call. Until it is [committed](Replay::commit) every chunk is kept; from then on only what the one
/// attempt has not taken yet. Holds `most` bytes, and one chunk beyond them, which the transport has taken in already.
#[derive(Debug)]
pub struct Replay {
    chunks: VecDeque<Bytes>,
    /// Chunks that were here and are gone.
    gone: u64,
    bytes: usize,
    most: usize,
    ended: bool,
    committed: bool,
}

/// What comes next at a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// This.
    Chunk(Bytes),
    /// Nothing yet.
    Wait,
    /// The client has ended its half.
    End,
    /// It is no longer kept: nobody may begin here any more.
    Gone,
}

impl Replay {
    /// Nothing sent yet, and at most so many bytes kept.
    pub fn new(most: usize) -> Replay {
        Replay {
            chunks: VecDeque::new(),
            gone: 0,
            bytes: 0,
            most,
            ended: false,
            committed: false,
        }
    }

    /// Whether more may be taken from the client.
    pub fn has_room(&self) -> bool {
        self.bytes < self.most
    }

    /// The client has sent this. `false` if it can no longer all be kept: then the call must be committed before there is
    /// room again.
    pub fn push(&mut self, chunk: Bytes) -> bool {
        // An empty one says nothing, and without end they would take no room by their bytes.
        if chunk.is_empty() {
            return self.has_room();
        }
        self.bytes += chunk.len();
        self.chunks.push_back(chunk);
        self.has_room()
    }

    /// The client has ended its half.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Whether the client has ended its half.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// No further attempt will be made: what the present one has taken, up to `place`, need not be kept.
    pub fn commit(&mut self, place: u64) {
        self.committed = true;
        self.taken(place);
    }

    /// What comes at a place, counted in chunks from the first.
    pub fn next(&self, place: u64) -> Next {
        let Some(at) = place.checked_sub(self.gone) else {
            return Next::Gone;
        };
        match usize::try_from(at).ok().and_then(|at| self.chunks.get(at)) {
            Some(chunk) => Next::Chunk(chunk.clone()),
            None if self.ended => Next::End,
            None => Next::Wait,
        }
    }

    /// The present attempt has taken all before a place.
    pub fn taken(&mut self, place: u64) {
        while self.committed && self.gone < place {
            let Some(chunk) = self.chunks.pop_front() else {
                return;
            };
            self.bytes -= chunk.len();
            self.gone += 1;
        }
    }

    /// Bytes kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn all_is_kept_until_it_is_committed_and_nobody_begins_within() {
        let mut replay = Replay::new(6);
        assert!(replay.push(Bytes::from_static(b"abc")));
        replay.taken(1);
        assert_eq!(
            replay.next(0),
            Next::Chunk(Bytes::from_static(b"abc")),
            "another attempt needs it"
        );
        assert_eq!(replay.next(1), Next::Wait);
        assert!(!replay.push(Bytes::from_static(b"defg")));
        assert!(!replay.has_room());
        replay.commit(1);
        assert!(replay.has_room());
        assert_eq!((replay.next(0), replay.bytes()), (Next::Gone, 4));
        replay.end();
        replay.taken(2);
        assert_eq!(
            (replay.next(1), replay.next(2), replay.bytes()),
            (Next::Gone, Next::End, 0)
        );
    }

    /// Guards memory against a client that sends frames with nothing in them for ever.
    #[test]
    fn empty_chunks_are_not_kept() {
        let mut replay = Replay::new(6);
        (0..1000).for_each(|_| assert!(replay.push(Bytes::new())));
        replay.push(Bytes::from_static(b"a"));
        assert_eq!(
            (replay.chunks.len(), replay.next(0)),
            (1, Next::Chunk(Bytes::from_static(b"a")))
        );
    }

    proptest! {
        /// Two attempts one after the other are sent the same, whatever comes between.
        #[test]
        fn every_attempt_is_sent_the_same(chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..5), 0..20), first in 0usize..20, commit in any::<bool>()) {
            let mut replay = Replay::new(1 << 20);
            let first = first.min(chunks.len());
            for chunk in &chunks[..first] {
                replay.push(Bytes::from(chunk.clone()));
            }
            replay.taken(first as u64);
            for chunk in &chunks[first..] {
                replay.push(Bytes::from(chunk.clone()));
            }
            replay.end();
            let (mut place, mut sent) = (0, Vec::new());
            if commit {
                replay.commit(0);
            }
            while let Next::Chunk(chunk) = replay.next(place) {
                sent.push(chunk.to_vec());
                place += 1;
                replay.taken(place);
            }
            prop_assert_eq!(replay.next(place), Next::End);
            prop_assert_eq!(sent, chunks);
            prop_assert_eq!(replay.bytes() == 0, commit || replay.chunks.is_empty());
        }
    }
}

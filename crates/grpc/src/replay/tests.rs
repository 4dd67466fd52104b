use super::*;
use proptest::prelude::*;

#[test]
fn chunks_are_kept_until_commit_and_then_dropped_once_taken() {
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
    assert!(!replay.has_capacity());
    replay.commit(1);
    assert!(replay.has_capacity());
    assert_eq!((replay.next(0), replay.bytes()), (Next::Dropped, 4));
    replay.end();
    replay.taken(2);
    assert_eq!(
        (replay.next(1), replay.next(2), replay.bytes()),
        (Next::Dropped, Next::End, 0)
    );
}

/// Guards memory against a client that sends an endless series of empty frames.
#[test]
fn empty_chunks_are_not_stored() {
    let mut replay = Replay::new(6);
    (0..1000).for_each(|_| assert!(replay.push(Bytes::new())));
    replay.push(Bytes::from_static(b"a"));
    assert_eq!(
        (replay.chunks.len(), replay.next(0)),
        (1, Next::Chunk(Bytes::from_static(b"a")))
    );
}

proptest! {
    /// Guards against an attempt that misses chunks because of the time at which they arrived.
    #[test]
    fn every_attempt_is_sent_the_same_chunks(chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..5), 0..20), first in 0usize..20, commit in any::<bool>()) {
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
        let (mut position, mut sent) = (0, Vec::new());
        if commit {
            replay.commit(0);
        }
        while let Next::Chunk(chunk) = replay.next(position) {
            sent.push(chunk.to_vec());
            position += 1;
            replay.taken(position);
        }
        prop_assert_eq!(replay.next(position), Next::End);
        prop_assert_eq!(sent, chunks);
        prop_assert_eq!(replay.bytes() == 0, commit || replay.chunks.is_empty());
    }
}

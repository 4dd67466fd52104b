//! The directory against a plain model: whatever the order in which words come, the last one said holds.

use maplefall_service_registry::{Applied, InstanceRecord, InstanceState, Registry};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Debug)]
struct Words(Vec<InstanceRecord>);

impl Arbitrary for Words {
    fn arbitrary(g: &mut Gen) -> Words {
        let one = |g: &mut Gen| {
            let seq = u64::from(u8::arbitrary(g) % 6);
            let state = [
                InstanceState::Serving,
                InstanceState::Draining,
                InstanceState::Expired,
                InstanceState::Deregistered,
            ][usize::arbitrary(g) % 4];
            InstanceRecord {
                id: ["i-1", "i-2"][usize::arbitrary(g) % 2].into(),
                service: "s".into(),
                address: "10.0.0.1:80".into(),
                state: state.into(),
                seq,
                ..InstanceRecord::default()
            }
        };
        Words((0..usize::arbitrary(g) % 14).map(|_| one(g)).collect())
    }
}

/// Of all that was ever said of a life: its end, else the highest call, else how far it is gone.
fn plain(words: &[InstanceRecord], id: &str) -> Option<(i32, u64)> {
    let of = words.iter().filter(|word| word.id == id);
    of.max_by_key(|word| {
        (
            word.state() == InstanceState::Deregistered,
            word.seq,
            word.state,
        )
    })
    .map(|word| (word.state, word.seq))
}

/// Guards drains and ends against late calls, which come by other doors and in any order.
#[test]
fn in_any_order_the_last_word_holds() {
    fn holds(words: Words) -> bool {
        let told = |words: &[InstanceRecord]| {
            let mut directory = Registry::default();
            for word in words {
                directory.apply(1.0, word.clone());
            }
            ["i-1", "i-2"].map(|id| directory.word(1.0, id).map(|word| (word.state, word.seq)))
        };
        let mut back = words.0.clone();
        back.reverse();
        let expected = ["i-1", "i-2"].map(|id| plain(&words.0, id));
        told(&words.0) == expected && told(&back) == expected
    }
    println!("seed 11");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 11))
        .tests(600)
        .quickcheck(holds as fn(Words) -> bool);
}

fn serving(seq: u64) -> InstanceRecord {
    InstanceRecord {
        id: "i-1".into(),
        service: "s".into(),
        address: "10.0.0.1:80".into(),
        seq,
        ..InstanceRecord::default()
    }
}

/// Guards backends whose beats are lost for a while: they are lost once, and back with the next beat; who has left is not.
#[test]
fn who_is_silent_is_lost_and_back_with_a_beat() {
    let mut directory = Registry::default();
    directory.apply(0.0, serving(1));
    assert_eq!(directory.refresh(5000.0, "i-1", 3), Applied::Refreshed);
    assert!(directory.expire(10_000.0, 6000.0).is_empty());
    assert_eq!(directory.expire(11_100.0, 6000.0).len(), 1);
    assert!(directory.expire(12_000.0, 6000.0).is_empty());
    // A late call does not bring it back, a new one does.
    assert_eq!(directory.apply(12_000.0, serving(2)), Applied::Stale);
    assert!(matches!(
        directory.apply(12_000.0, serving(4)),
        Applied::Changed(_)
    ));
    assert!(matches!(
        directory.deregister(12_500.0, "i-1"),
        Applied::Changed(_)
    ));
    assert_eq!(directory.apply(13_000.0, serving(9)), Applied::Stale);
    assert_eq!(
        directory.word(13_000.0, "i-1").map(|word| word.state()),
        Some(InstanceState::Deregistered)
    );
}

/// Guards a leave that comes to an exchange which never heard of the life: its late beats do not open it.
#[test]
fn a_leave_of_an_unknown_life_holds() {
    let mut directory = Registry::default();
    directory.deregister(0.0, "i-1");
    assert_eq!(directory.apply(10.0, serving(7)), Applied::Stale);
}

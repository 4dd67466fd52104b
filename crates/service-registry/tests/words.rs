//! The directory against a plain model: whatever the order in which words come, the last one said holds.

use maplefall_service_registry::{Brought, Directory, State, Word};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Debug)]
struct Words(Vec<Word>);

impl Arbitrary for Words {
    fn arbitrary(g: &mut Gen) -> Words {
        let one = |g: &mut Gen| {
            let seq = u64::from(u8::arbitrary(g) % 6);
            let state =
                [State::Serving, State::Leaving, State::Lost, State::Left][usize::arbitrary(g) % 4];
            Word {
                id: ["i-1", "i-2"][usize::arbitrary(g) % 2].into(),
                service: "s".into(),
                address: "10.0.0.1:80".into(),
                state: state.into(),
                seq,
                ..Word::default()
            }
        };
        Words((0..usize::arbitrary(g) % 14).map(|_| one(g)).collect())
    }
}

/// Of all that was ever said of a life: its end, else the highest call, else how far it is gone.
fn plain(words: &[Word], id: &str) -> Option<(i32, u64)> {
    let of = words.iter().filter(|word| word.id == id);
    of.max_by_key(|word| (word.state() == State::Left, word.seq, word.state))
        .map(|word| (word.state, word.seq))
}

/// Guards drains and ends against late calls, which come by other doors and in any order.
#[test]
fn in_any_order_the_last_word_holds() {
    fn holds(words: Words) -> bool {
        let told = |words: &[Word]| {
            let mut directory = Directory::default();
            for word in words {
                directory.hear(1.0, word.clone());
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

fn serving(seq: u64) -> Word {
    Word {
        id: "i-1".into(),
        service: "s".into(),
        address: "10.0.0.1:80".into(),
        seq,
        ..Word::default()
    }
}

/// Guards backends whose beats are lost for a while: they are lost once, and back with the next beat; who has left is not.
#[test]
fn who_is_silent_is_lost_and_back_with_a_beat() {
    let mut directory = Directory::default();
    directory.hear(0.0, serving(1));
    assert_eq!(directory.seen(5000.0, "i-1", 3), Brought::Life);
    assert!(directory.overdue(10_000.0, 6000.0).is_empty());
    assert_eq!(directory.overdue(11_100.0, 6000.0).len(), 1);
    assert!(directory.overdue(12_000.0, 6000.0).is_empty());
    // A late call does not bring it back, a new one does.
    assert_eq!(directory.hear(12_000.0, serving(2)), Brought::Nothing);
    assert!(matches!(
        directory.hear(12_000.0, serving(4)),
        Brought::News(_)
    ));
    assert!(matches!(directory.leave(12_500.0, "i-1"), Brought::News(_)));
    assert_eq!(directory.hear(13_000.0, serving(9)), Brought::Nothing);
    assert_eq!(
        directory.word(13_000.0, "i-1").map(|word| word.state()),
        Some(State::Left)
    );
}

/// Guards a leave that comes to an exchange which never heard of the life: its late beats do not open it.
#[test]
fn a_leave_of_an_unknown_life_holds() {
    let mut directory = Directory::default();
    directory.leave(0.0, "i-1");
    assert_eq!(directory.hear(10.0, serving(7)), Brought::Nothing);
}

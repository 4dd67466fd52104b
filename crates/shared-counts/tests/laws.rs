//! What must hold whatever is thrown at it: the laws of the join, deltas in any order, the decoder, random schedules.

mod world;
use maplefall_shared_counts::members::Beat;
use maplefall_shared_counts::replica::{Delta, Replica, Versioned};
use maplefall_shared_counts::wire::{self, Card, Head, Kind, Line, Refused, Seal, Section, Writer};
use maplefall_shared_counts::{Count, DoorId, Life};
use proptest::prelude::*;
use world::schedule;

fn count() -> impl Strategy<Value = Count> {
    (0..1u64 << 50, 0..1u64 << 50).prop_map(|(taken, returned)| Count { taken, returned })
}

/// What a life has counted after a string of changes, and the state of each count after each.
fn played(changes: &[(u32, u64, i64)]) -> (Replica, Vec<Versioned>) {
    let mut replica = Replica::default();
    let mut epoch = 0;
    let told = changes.iter().filter_map(|(later, customer, milli)| {
        epoch += later;
        replica.change(epoch, *customer, *milli)
    });
    let told = told.collect();
    (replica, told)
}

fn changes() -> impl Strategy<Value = Vec<(u32, u64, i64)>> {
    prop::collection::vec(
        (
            prop::sample::select(vec![0u32, 0, 0, 1]),
            0u64..6,
            -5000i64..9000,
        ),
        1..60,
    )
}

fn same(left: &Replica, right: &Replica) -> bool {
    left.counts().eq(right.counts())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn the_join_is_idempotent_commutative_and_associative(a in count(), b in count(), c in count()) {
        prop_assert_eq!(a.join(a), a);
        prop_assert_eq!(a.join(b), b.join(a));
        prop_assert_eq!(a.join(b).join(c), a.join(b.join(c)));
        prop_assert!(a.join(b).taken >= a.taken && a.join(b).returned >= a.returned);
    }

    /// Rumours in any order, any of them twice or never, and one delta at the end: the same as at the source.
    #[test]
    fn any_order_loss_and_repetition_converges(
        changes in changes(),
        picks in prop::collection::vec(any::<prop::sample::Index>(), 0..120),
    ) {
        let (source, told) = played(&changes);
        let mut here = Replica::default();
        for pick in picks {
            if !told.is_empty() {
                here.join(&told[pick.index(told.len())], true).expect("there is room");
            }
        }
        for (epoch, customer, count) in here.counts() {
            let truth = source.get(epoch, customer).expect("nothing is made up");
            prop_assert!(count.taken <= truth.taken && count.returned <= truth.returned);
        }
        let delta = source.delta(here.known(), |_| true);
        for told in &delta.counts {
            here.join(told, true).expect("there is room");
        }
        here.heard_all(delta.after, delta.up_to);
        prop_assert!(same(&here, &source));
        prop_assert_eq!(here.known(), source.known());
    }

    /// Deltas cut anywhere, each sent on from what is known, some lost: the same in the end, and nothing is skipped.
    #[test]
    fn deltas_may_be_cut_and_lost_anywhere(changes in changes(), cuts in prop::collection::vec((1usize..5, any::<bool>()), 200)) {
        let (source, _) = played(&changes);
        let mut here = Replica::default();
        for (most, lost) in cuts {
            let mut room = most;
            let delta = source.delta(here.known(), |_| { room = room.wrapping_sub(1); room < most });
            if lost {
                continue;
            }
            for told in &delta.counts {
                here.join(told, true).expect("there is room");
            }
            here.heard_all(delta.after, delta.up_to);
        }
        let missed = source.delta(here.known(), |_| true);
        prop_assert!(missed.counts.is_empty() == same(&here, &source));
    }

    /// Whatever bytes come: no panic, and no more is made of them than they hold.
    #[test]
    fn the_decoder_takes_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..1500)) {
        let seal = Seal::new("quito", &[7; 32]);
        prop_assert!(wire::read(&seal, &bytes).is_err());
    }

    /// Any bytes behind a right head and under a right seal: an error or sections no larger than the bytes.
    #[test]
    fn the_decoder_takes_any_sections(body in prop::collection::vec(any::<u8>(), 0..1200), kind in 0u8..5) {
        let seal = Seal::new("quito", &[7; 32]);
        let life = Life { door: DoorId(1), incarnation: 2 };
        let head = Head { kind: Kind::Gossip, from: life, number: 3, nonce: 4, echo: 5 };
        let mut framed = vec![kind];
        framed.extend_from_slice(&(body.len() as u16).to_be_bytes());
        framed.extend_from_slice(&body);
        let bytes = Writer::new(&seal, &head, wire::MOST_DATAGRAM).seal_with(&seal, &framed);
        if let Ok((read, sections)) = wire::read(&seal, &bytes) {
            prop_assert_eq!(read, head);
            for section in sections {
                let items = match section {
                    Section::Cards(cards) => cards.len(),
                    Section::Digest(lines) | Section::Want(lines) => lines.len(),
                    Section::Counts(_, delta) => delta.counts.len(),
                    Section::Text(_, text) => text.len(),
                    Section::Part(_) => 1,
                };
                prop_assert!(items <= body.len());
            }
        }
    }

    /// What is written is read as it was, whatever its figures.
    #[test]
    fn what_is_written_is_read_the_same(
        (door, incarnation, number) in (any::<u64>(), 1u64..1 << 60, any::<u64>()),
        (time, version, age) in (any::<u64>(), any::<u64>(), any::<u64>()),
        counts in prop::collection::vec((1u64..1 << 40, any::<u32>(), any::<u64>(), count()), 0..20),
    ) {
        let seal = Seal::new("quito", &[7; 32]);
        let life = Life { door: DoorId(door), incarnation };
        let head = Head { kind: Kind::Hello, from: life, number, nonce: 9, echo: number };
        let beat = Beat { life, time, version, age };
        let line = Line { beat, known: version };
        let card_beat = Beat { life: Life { door: DoorId::of("n3"), incarnation }, ..beat };
        let card = Card { beat: card_beat, address: "[::1]:7946".parse().expect("an address"), name: "n3".to_owned() };
        let counts = counts.into_iter()
            .map(|(version, epoch, customer, count)| Versioned { version, epoch, customer, count }).collect();
        let sections = vec![
            Section::Cards(vec![card]),
            Section::Digest(vec![line, line]),
            Section::Want(vec![line]),
            Section::Counts(life, Delta { after: 0, up_to: 0, counts }),
            Section::Text(3, b"abc".to_vec()),
            Section::Part(7),
        ];
        let mut writer = Writer::new(&seal, &head, wire::MOST_DATAGRAM);
        for section in &sections {
            prop_assert!(writer.add(section));
        }
        let bytes = writer.seal(&seal);
        prop_assert!(bytes.len() <= wire::MOST_DATAGRAM);
        prop_assert_eq!(wire::read(&seal, &bytes), Ok((head, sections)));
    }
}

/// A delta that begins after what is known here proves nothing of what lies between; a count that is told late does not take the
/// place of a later one.
#[test]
fn gaps_stay_gaps_and_late_news_is_no_news() {
    let (source, told) = played(&[(0, 1, 1000), (0, 2, 1000), (0, 3, 1000), (0, 1, 500)]);
    let mut here = Replica::default();
    let delta = source.delta(2, |_| true);
    for told in &delta.counts {
        here.join(told, true).expect("there is room");
    }
    here.heard_all(delta.after, delta.up_to);
    assert_eq!(here.known(), 0, "the first two changes may be missing");
    assert_eq!(source.delta(here.known(), |_| true).counts.len(), 3);
    let late = told[0];
    assert_eq!(here.join(&late, true), Ok(None));
    assert_eq!(here.told(0, 1).map(|told| told.version), Some(4));
}

/// Kinds of sections that are not known yet are passed over; a delta that claims what it cannot know is not believed.
#[test]
fn later_sections_are_passed_over_and_impossible_ones_refused() {
    let seal = Seal::new("quito", &[7; 32]);
    let life = Life {
        door: DoorId(1),
        incarnation: 2,
    };
    let head = Head {
        kind: Kind::Gossip,
        from: life,
        number: 3,
        nonce: 4,
        echo: 5,
    };
    let later = Writer::new(&seal, &head, 1200).seal_with(&seal, &[99, 0, 2, 1, 1]);
    assert_eq!(wire::read(&seal, &later), Ok((head, vec![])));
    let one = |version| Versioned {
        version,
        epoch: 0,
        customer: 1,
        count: Count {
            taken: 5,
            returned: 0,
        },
    };
    for delta in [
        Delta {
            after: 5,
            up_to: 4,
            counts: vec![],
        },
        Delta {
            after: 5,
            up_to: 9,
            counts: vec![one(5)],
        },
        Delta {
            after: 5,
            up_to: 9,
            counts: vec![one(10)],
        },
        Delta {
            after: 5,
            up_to: 9,
            counts: vec![one(7), one(6)],
        },
    ] {
        let mut writer = Writer::new(&seal, &head, 1200);
        assert!(writer.add(&Section::Counts(life, delta)));
        assert_eq!(
            wire::read(&seal, &writer.seal(&seal)).err(),
            Some(Refused::Absurd)
        );
    }
}

#[test]
fn random_schedules_of_three_and_ten_doors() {
    for seed in 0..150 {
        schedule(3, 40, seed);
    }
    for seed in 0..25 {
        schedule(10, 60, 1000 + seed);
    }
}

#[test]
fn a_random_schedule_of_a_hundred_doors() {
    schedule(100, 60, 2000);
}

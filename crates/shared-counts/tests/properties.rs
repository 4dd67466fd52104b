//! Property tests: join laws, deltas in any order, the reader, random schedules.

mod simulation;
use maplefall_shared_counts::members::Heartbeat;
use maplefall_shared_counts::replica::{Delta, Replica, VersionedCount};
use maplefall_shared_counts::wire::{
    self, DigestEntry, Head, Kind, MemberInfo, RejectReason, Seal, Section, Writer,
};
use maplefall_shared_counts::{Count, DoorId, Life};
use proptest::prelude::*;
use simulation::schedule;

fn count() -> impl Strategy<Value = Count> {
    (0..1u64 << 50, 0..1u64 << 50).prop_map(|(taken, returned)| Count { taken, returned })
}

/// Applies a series of changes to a node's replica; returns the replica and the changed count after
/// each.
fn apply_changes(changes: &[(u32, u64, i64)]) -> (Replica, Vec<VersionedCount>) {
    let mut replica = Replica::default();
    let mut epoch = 0;
    let versions = changes
        .iter()
        .filter_map(|(epochs_later, customer, milli)| {
            epoch += epochs_later;
            replica.change(epoch, *customer, *milli)
        });
    let versions = versions.collect();
    (replica, versions)
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

fn have_equal_counts(left: &Replica, right: &Replica) -> bool {
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

    /// Guards convergence: rumours in any order, repeated or lost, followed by one delta yield the
    /// counts of the source.
    #[test]
    fn counts_converge_despite_reordering_loss_and_repetition(
        changes in changes(),
        picks in prop::collection::vec(any::<prop::sample::Index>(), 0..120),
    ) {
        let (source, versions) = apply_changes(&changes);
        let mut replica = Replica::default();
        for pick in picks {
            if !versions.is_empty() {
                replica.join(&versions[pick.index(versions.len())], true).expect("there is capacity");
            }
        }
        for (epoch, customer, count) in replica.counts() {
            let expected = source.get(epoch, customer).expect("the source has this count");
            prop_assert!(count.taken <= expected.taken && count.returned <= expected.returned);
        }
        let delta = source.delta(replica.complete_version(), |_| true);
        for count in &delta.counts {
            replica.join(count, true).expect("there is capacity");
        }
        replica.complete_up_to(delta.after, delta.up_to);
        prop_assert!(have_equal_counts(&replica, &source));
        prop_assert_eq!(replica.complete_version(), source.complete_version());
    }

    /// Guards anti-entropy: no change is skipped when deltas are truncated anywhere and partly
    /// lost, and each continues from the known version.
    #[test]
    fn truncated_and_lost_deltas_skip_nothing(changes in changes(), deltas in prop::collection::vec((1usize..5, any::<bool>()), 200)) {
        let (source, _) = apply_changes(&changes);
        let mut replica = Replica::default();
        for (max_counts, lost) in deltas {
            let mut remaining = max_counts;
            let delta = source.delta(replica.complete_version(), |_| { remaining = remaining.wrapping_sub(1); remaining < max_counts });
            if lost {
                continue;
            }
            for count in &delta.counts {
                replica.join(count, true).expect("there is capacity");
            }
            replica.complete_up_to(delta.after, delta.up_to);
        }
        let missing = source.delta(replica.complete_version(), |_| true);
        prop_assert!(missing.counts.is_empty() == have_equal_counts(&replica, &source));
    }

    /// Guards the reader against arbitrary bytes: they are rejected without a panic.
    #[test]
    fn the_reader_rejects_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..1500)) {
        let seal = Seal::new("quito", &[7; 32]);
        prop_assert!(wire::read(&seal, &bytes).is_err());
    }

    /// Guards the reader against arbitrary sections under a valid header and authenticator: it
    /// returns an error, or sections with no more items than bytes.
    #[test]
    fn the_reader_accepts_or_rejects_any_sections(body in prop::collection::vec(any::<u8>(), 0..1200), kind in 0u8..5) {
        let seal = Seal::new("quito", &[7; 32]);
        let source = Life { door: DoorId(1), incarnation: 2 };
        let head = Head { kind: Kind::Gossip, from: source, number: 3, nonce: 4, echo: 5 };
        let mut framed = vec![kind];
        framed.extend_from_slice(&(body.len() as u16).to_be_bytes());
        framed.extend_from_slice(&body);
        let bytes = Writer::new(&seal, &head, wire::MAX_DATAGRAM_BYTES).seal_with(&seal, &framed);
        if let Ok((read, sections)) = wire::read(&seal, &bytes) {
            prop_assert_eq!(read, head);
            for section in sections {
                let items = match section {
                    Section::Members(members) => members.len(),
                    Section::Digest(entries) | Section::Want(entries) => entries.len(),
                    Section::Counts(_, delta) => delta.counts.len(),
                    Section::StatusText(_, text) => text.len(),
                    Section::StatusPart(_) => 1,
                };
                prop_assert!(items <= body.len());
            }
        }
    }

    /// Guards the format: datagrams with any values are read back as written.
    #[test]
    fn datagrams_round_trip(
        (node_id, incarnation, number) in (any::<u64>(), 1u64..1 << 60, any::<u64>()),
        (uptime, version, age) in (any::<u64>(), any::<u64>(), any::<u64>()),
        counts in prop::collection::vec((1u64..1 << 40, any::<u32>(), any::<u64>(), count()), 0..20),
    ) {
        let seal = Seal::new("quito", &[7; 32]);
        let source = Life { door: DoorId(node_id), incarnation };
        let head = Head { kind: Kind::Hello, from: source, number, nonce: 9, echo: number };
        let heartbeat = Heartbeat { source, uptime, version, age };
        let entry = DigestEntry { heartbeat, known_version: version };
        let member_heartbeat = Heartbeat { source: Life { door: DoorId::of("n3"), incarnation }, ..heartbeat };
        let member = MemberInfo { heartbeat: member_heartbeat, address: "[::1]:7946".parse().expect("an address"), name: "n3".to_owned() };
        let counts = counts.into_iter()
            .map(|(version, epoch, customer, count)| VersionedCount { version, epoch, customer, count }).collect();
        let sections = vec![
            Section::Members(vec![member]),
            Section::Digest(vec![entry, entry]),
            Section::Want(vec![entry]),
            Section::Counts(source, Delta { after: 0, up_to: 0, counts }),
            Section::StatusText(3, b"abc".to_vec()),
            Section::StatusPart(7),
        ];
        let mut writer = Writer::new(&seal, &head, wire::MAX_DATAGRAM_BYTES);
        for section in &sections {
            prop_assert!(writer.add(section));
        }
        let bytes = writer.seal(&seal);
        prop_assert!(bytes.len() <= wire::MAX_DATAGRAM_BYTES);
        prop_assert_eq!(wire::read(&seal, &bytes), Ok((head, sections)));
    }
}

/// Guards completeness: a delta that begins after the complete version does not raise it, and a
/// late count does not replace a newer one.
#[test]
fn deltas_after_a_gap_do_not_complete_and_late_counts_do_not_replace() {
    let (source, versions) =
        apply_changes(&[(0, 1, 1000), (0, 2, 1000), (0, 3, 1000), (0, 1, 500)]);
    let mut replica = Replica::default();
    let delta = source.delta(2, |_| true);
    for count in &delta.counts {
        replica.join(count, true).expect("there is capacity");
    }
    replica.complete_up_to(delta.after, delta.up_to);
    assert_eq!(
        replica.complete_version(),
        0,
        "the first two changes may be missing"
    );
    assert_eq!(
        source
            .delta(replica.complete_version(), |_| true)
            .counts
            .len(),
        3
    );
    let late = versions[0];
    assert_eq!(replica.join(&late, true), Ok(None));
    assert_eq!(
        replica.get_versioned(0, 1).map(|count| count.version),
        Some(4)
    );
}

/// Guards compatibility and validation: sections of unknown kinds are skipped, and deltas with
/// impossible versions are rejected.
#[test]
fn unknown_sections_are_skipped_and_impossible_deltas_rejected() {
    let seal = Seal::new("quito", &[7; 32]);
    let source = Life {
        door: DoorId(1),
        incarnation: 2,
    };
    let head = Head {
        kind: Kind::Gossip,
        from: source,
        number: 3,
        nonce: 4,
        echo: 5,
    };
    let unknown = Writer::new(&seal, &head, 1200).seal_with(&seal, &[99, 0, 2, 1, 1]);
    assert_eq!(wire::read(&seal, &unknown), Ok((head, vec![])));
    let count = |version| VersionedCount {
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
            counts: vec![count(5)],
        },
        Delta {
            after: 5,
            up_to: 9,
            counts: vec![count(10)],
        },
        Delta {
            after: 5,
            up_to: 9,
            counts: vec![count(7), count(6)],
        },
    ] {
        let mut writer = Writer::new(&seal, &head, 1200);
        assert!(writer.add(&Section::Counts(source, delta)));
        assert_eq!(
            wire::read(&seal, &writer.seal(&seal)).err(),
            Some(RejectReason::Absurd)
        );
    }
}

#[test]
fn random_schedules_of_three_and_ten_nodes() {
    for seed in 0..150 {
        schedule(3, 40, seed);
    }
    for seed in 0..25 {
        schedule(10, 60, 1000 + seed);
    }
}

#[test]
fn a_random_schedule_of_a_hundred_nodes() {
    schedule(100, 60, 2000);
}

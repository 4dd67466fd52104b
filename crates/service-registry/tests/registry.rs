//! Tests of the registry against a simple model: the latest record is kept, in any order of
//! arrival.

use maplefall_service_registry::{Applied, InstanceRecord, InstanceState, Registry};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Debug)]
struct Records(Vec<InstanceRecord>);

impl Arbitrary for Records {
    fn arbitrary(g: &mut Gen) -> Records {
        let record = |g: &mut Gen| {
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
        Records((0..usize::arbitrary(g) % 14).map(|_| record(g)).collect())
    }
}

/// The model: returns the state and sequence number of an instance's latest record, which is its
/// deregistration, else the record with the highest sequence number, else the one whose state is
/// furthest along.
fn latest(records: &[InstanceRecord], id: &str) -> Option<(i32, u64)> {
    let of_instance = records.iter().filter(|record| record.id == id);
    of_instance
        .max_by_key(|record| {
            (
                record.state() == InstanceState::Deregistered,
                record.seq,
                record.state,
            )
        })
        .map(|record| (record.state, record.seq))
}

/// Guards against late calls that revert the state of a draining or deregistered instance. Calls
/// arrive through several processes and in any order.
#[test]
fn the_latest_record_is_kept_in_any_order_of_arrival() {
    fn latest_is_kept(records: Records) -> bool {
        let kept = |records: &[InstanceRecord]| {
            let mut registry = Registry::default();
            for record in records {
                registry.apply(1.0, record.clone());
            }
            ["i-1", "i-2"].map(|id| {
                registry
                    .record(1.0, id)
                    .map(|record| (record.state, record.seq))
            })
        };
        let mut reversed = records.0.clone();
        reversed.reverse();
        let expected = ["i-1", "i-2"].map(|id| latest(&records.0, id));
        kept(&records.0) == expected && kept(&reversed) == expected
    }
    println!("seed 11");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 11))
        .tests(600)
        .quickcheck(latest_is_kept as fn(Records) -> bool);
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

/// Guards against losing a backend whose heartbeats do not arrive for some time: it expires once,
/// and the next heartbeat makes it live again, unless it has deregistered.
#[test]
fn an_expired_instance_is_live_again_after_its_next_heartbeat() {
    let mut registry = Registry::default();
    registry.apply(0.0, serving(1));
    assert_eq!(registry.refresh(5000.0, "i-1", 3), Applied::Refreshed);
    assert!(registry.expire(10_000.0, 6000.0).is_empty());
    assert_eq!(registry.expire(11_100.0, 6000.0).len(), 1);
    assert!(registry.expire(12_000.0, 6000.0).is_empty());
    // A late call does not make it live again; a new one does.
    assert_eq!(registry.apply(12_000.0, serving(2)), Applied::Stale);
    assert!(matches!(
        registry.apply(12_000.0, serving(4)),
        Applied::Changed(_)
    ));
    assert!(matches!(
        registry.deregister(12_500.0, "i-1"),
        Applied::Changed(_)
    ));
    assert_eq!(registry.apply(13_000.0, serving(9)), Applied::Stale);
    assert_eq!(
        registry
            .record(13_000.0, "i-1")
            .map(|record| record.state()),
        Some(InstanceState::Deregistered)
    );
}

/// Guards against late heartbeats that register an instance after its deregistration has reached a
/// controller that does not know the instance.
#[test]
fn a_deregistration_of_an_unknown_instance_is_kept() {
    let mut registry = Registry::default();
    registry.deregister(0.0, "i-1");
    assert_eq!(registry.apply(10.0, serving(7)), Applied::Stale);
}

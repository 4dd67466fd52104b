//! Tests of validation against a reference model that checks the whole configuration, and of the
//! limits of the version history.

mod reference_model;

use maplefall_gateway_config::{
    Change, ConfigState, Field, Item, ItemKind, ItemSet, PendingChanges, RouteTable, Validation,
    VersionHistory,
};
use prost::Message;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use reference_model::{ReferenceModel, ValidationOutcome as Outcome};

fn field(name: &str, json: String) -> Field {
    Field {
        name: name.into(),
        json,
    }
}

/// Generates an item from few names, route keys, API keys and versions, so that conflicts are
/// frequent.
fn item(g: &mut Gen) -> Item {
    let mut draw = |bound: u32| u32::arbitrary(g) % bound;
    let version = draw(12);
    let kind = [
        ItemKind::Route,
        ItemKind::Route,
        ItemKind::Tenant,
        ItemKind::Service,
    ][draw(4) as usize];
    let name = format!("n{}", draw(4));
    let dropped = draw(4) == 0;
    let mut fields = match kind {
        ItemKind::Route => vec![
            field("Host", format!("\"h{}.example\"", draw(2))),
            field("PathPrefix", format!("\"/p{}/\"", draw(3))),
            field("RouteKind", "\"safe\"".into()),
            match draw(2) {
                0 => field("Service", format!("\"n{}\"", draw(4))),
                _ => field(
                    "TrafficSplit",
                    format!(
                        "[{{\"Service\":\"n{}\",\"Weight\":1}},{{\"Service\":\"n{}\",\"Weight\":2}}]",
                        draw(4),
                        draw(4)
                    ),
                ),
            },
            field("TimeoutS", format!("{}", 1 + draw(2))),
        ],
        ItemKind::Tenant => {
            let keys: Vec<String> = (0..draw(3)).map(|_| format!("\"k{}\"", draw(5))).collect();
            vec![field("ApiKeys", format!("[{}]", keys.join(",")))]
        }
        _ => vec![field("ConnLimit", format!("{}", draw(2)))],
    };
    if dropped {
        fields.clear();
    }
    Item {
        kind: kind.into(),
        name,
        version,
        dropped,
        fields,
    }
}

/// Calls, and the seed of the random events between them.
#[derive(Clone, Debug)]
struct Schedule {
    calls: Vec<Change>,
    seed: u64,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Schedule {
        let mut calls: Vec<Change> = Vec::new();
        for _ in 0..2 + usize::arbitrary(g) % 40 {
            // A third of the calls repeat an earlier one, some of them with new items.
            let repeated = g
                .choose(&calls)
                .cloned()
                .filter(|_| u8::arbitrary(g) % 3 == 0);
            let mut change = repeated.unwrap_or_default();
            while change.items.is_empty() || u8::arbitrary(g) % 3 == 0 {
                let item = item(g);
                let same_version = |known: &Item| {
                    (known.kind, &known.name, known.version)
                        == (item.kind, &item.name, item.version)
                };
                // One version has one content within a call: the parser rejects anything else.
                if !change.items.iter().any(same_version) {
                    change.items.push(item);
                }
            }
            calls.push(change);
        }
        Schedule {
            calls,
            seed: u64::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Schedule>> {
        let Schedule { calls, seed } = self.clone();
        Box::new((0..calls.len()).map(move |index| {
            let mut fewer = calls.clone();
            fewer.remove(index);
            Schedule { calls: fewer, seed }
        }))
    }
}

fn outcome(
    validation: &Result<Validation, maplefall_gateway_config::ConfigError>,
) -> Option<Outcome> {
    Some(match validation {
        Ok(Validation::AlreadyApplied(_)) => Outcome::AlreadyApplied,
        Ok(Validation::Accepted(_)) => Outcome::Accepted,
        Ok(Validation::HistoryEvicted(..)) => return None,
        Err(error) if error.status() == 409 => Outcome::Conflict,
        Err(_) => Outcome::Invalid,
    })
}

/// Guards against incremental validation that differs from a check of the whole configuration. Some
/// entries are committed while others are pending, some stay in the pending changes after they are
/// applied, and the state is restored from a snapshot from time to time.
#[test]
fn validation_agrees_with_a_check_of_the_whole_configuration() {
    fn property(schedule: Schedule) -> bool {
        let Schedule { calls, mut seed } = schedule;
        let mut draw = |bound: u64| {
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (seed >> 33) % bound
        };
        let (mut state, mut model) = (ConfigState::default(), ReferenceModel::default());
        let mut pending_changes = PendingChanges::default();
        let mut pending: Vec<(u64, Change)> = Vec::new();
        for (index, call) in (1..).zip(&calls) {
            let validation = state.validate(&pending_changes, call);
            let expected = model.validate(call);
            if outcome(&validation) != Some(expected) {
                println!("{call:?}\n{validation:?} is not {expected:?}");
                return false;
            }
            match validation {
                Ok(Validation::Accepted(new)) => {
                    model.accept(&new);
                    pending_changes.add(index, &new);
                    pending.push((index, new));
                }
                // The returned log index must be that of a pending entry that contains one of the
                // call's items.
                Ok(Validation::AlreadyApplied(pending_index)) if pending_index > 0 => {
                    let known = |(index, change): &(u64, Change)| {
                        *index == pending_index
                            && call.items.iter().any(|item| change.items.contains(item))
                    };
                    if !pending.iter().any(known) {
                        return false;
                    }
                }
                _ => {}
            }
            for _ in 0..draw(3).min(pending.len() as u64) {
                let (_, committed) = pending.remove(0);
                state.apply(&committed);
            }
            if draw(4) == 0 {
                pending_changes = PendingChanges::default();
                pending
                    .iter()
                    .for_each(|(index, change)| pending_changes.add(*index, change));
            }
            if draw(6) == 0 {
                let items = state.items().cloned().collect();
                let history =
                    VersionHistory::decode(state.version_history().encode_to_vec().as_slice())
                        .expect("a message");
                let restored = ConfigState::restore(items, history);
                if restored != state {
                    return false;
                }
                state = restored;
            }
        }
        pending.iter().for_each(|(_, change)| {
            state.apply(change);
        });
        let expected: Vec<Item> = model.latest().into_values().collect();
        model.is_consistent(&[]) && state.items().cloned().collect::<Vec<_>>() == expected
    }
    println!("seed 11");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(800)
        .quickcheck(property as fn(Schedule) -> bool);
}

/// Guards against outdated route tables in proxies: a table that is patched after every change, or
/// after several at once, equals the table built from the items.
#[test]
fn a_patched_route_table_equals_a_rebuilt_one() {
    fn property(schedule: Schedule) -> bool {
        let Schedule { calls, seed } = schedule;
        let (mut state, mut items, mut table) = (
            ConfigState::default(),
            ItemSet::default(),
            RouteTable::default(),
        );
        let mut unpatched = Vec::new();
        for (index, call) in calls.into_iter().enumerate() {
            if state.check(&call).is_err() {
                continue;
            }
            state.apply(&call);
            items.apply(&call);
            unpatched.push(call);
            if seed >> (index % 60) & 1 == 0 {
                table.patch(&items, unpatched.iter());
                unpatched.clear();
                if table != RouteTable::from_items(&items)
                    || table != RouteTable::from_items(&state)
                {
                    return false;
                }
            }
        }
        true
    }
    println!("seed 13");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 13))
        .tests(400)
        .quickcheck(property as fn(Schedule) -> bool);
}

fn service_change(name: &str, version: u32, conn_limit: u32) -> Change {
    let fields = vec![field("ConnLimit", conn_limit.to_string())];
    let item = Item {
        kind: ItemKind::Service.into(),
        name: name.into(),
        version,
        dropped: false,
        fields,
    };
    Change { items: vec![item] }
}

fn validate_service(
    state: &ConfigState,
    name: &str,
    version: u32,
    conn_limit: u32,
) -> Option<Outcome> {
    outcome(&state.validate(
        &PendingChanges::default(),
        &service_change(name, version, conn_limit),
    ))
}

/// Guards against unbounded memory use of a controller and against wrong responses: a version whose
/// history was evicted is neither confirmed nor rejected.
#[test]
fn evicted_versions_are_neither_confirmed_nor_rejected() {
    let mut state = ConfigState::with_history_limits(4, 12);
    for version in 1..=10 {
        state.apply(&service_change("a", version, version));
    }
    // The item's highest version and the four before it are known.
    assert_eq!(
        validate_service(&state, "a", 10, 10),
        Some(Outcome::AlreadyApplied)
    );
    for version in 6..=10 {
        assert_eq!(
            validate_service(&state, "a", version, version),
            Some(Outcome::AlreadyApplied),
            "{version}"
        );
        assert_eq!(
            validate_service(&state, "a", version, 99),
            Some(Outcome::Conflict),
            "{version}"
        );
    }
    for version in 1..=5 {
        assert_eq!(
            validate_service(&state, "a", version, version),
            None,
            "{version}"
        );
        assert_eq!(
            validate_service(&state, "a", version, 99),
            None,
            "{version}"
        );
    }
    // A version that arrives after a higher one is recorded too.
    state.apply(&service_change("b", 7, 7));
    assert_eq!(validate_service(&state, "b", 5, 5), Some(Outcome::Accepted));
    state.apply(&service_change("b", 5, 5));
    assert_eq!(
        validate_service(&state, "b", 5, 5),
        Some(Outcome::AlreadyApplied)
    );
    assert_eq!(validate_service(&state, "b", 5, 6), Some(Outcome::Conflict));
    // Beyond the limit for all items, the older half is evicted; items without superseded versions
    // lose nothing.
    state.apply(&service_change("quiet", 3, 3));
    for name in 0..8 {
        state.apply(&service_change(&format!("c{name}"), 1, 1));
        state.apply(&service_change(&format!("c{name}"), 2, 2));
    }
    assert_eq!(
        validate_service(&state, "a", 9, 9),
        None,
        "the oldest is evicted"
    );
    assert_eq!(
        validate_service(&state, "c7", 1, 1),
        Some(Outcome::AlreadyApplied),
        "the newest is known"
    );
    assert_eq!(
        validate_service(&state, "quiet", 3, 3),
        Some(Outcome::AlreadyApplied)
    );
    assert_eq!(
        validate_service(&state, "quiet", 2, 3),
        Some(Outcome::Accepted)
    );
    let recorded: usize = state
        .version_history()
        .items
        .iter()
        .map(|name| name.versions.len())
        .sum();
    assert!(recorded <= 12, "{recorded}");
}

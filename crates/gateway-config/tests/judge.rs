//! The judgement of calls by what they change, against a slow plain model that looks at everything; and the bounds of what is
//! remembered.

mod plain;

use maplefall_gateway_config::{
    Change, ConfigState, Field, Item, ItemKind, ItemSet, PendingChanges, RouteTable, Validation,
    VersionHistory,
};
use plain::{Judgement, Plain};
use prost::Message;
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn field(name: &str, json: String) -> Field {
    Field {
        name: name.into(),
        json,
    }
}

/// Few names, places, keys and versions: all that can be at odds often is.
fn item(g: &mut Gen) -> Item {
    let mut draw = |most: u32| u32::arbitrary(g) % most;
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

#[derive(Clone, Debug)]
struct Story(Vec<Change>, u64);

impl Arbitrary for Story {
    fn arbitrary(g: &mut Gen) -> Story {
        let mut calls: Vec<Change> = Vec::new();
        for _ in 0..2 + usize::arbitrary(g) % 40 {
            // A third come again, some of them with something new.
            let again = g
                .choose(&calls)
                .cloned()
                .filter(|_| u8::arbitrary(g) % 3 == 0);
            let mut change = again.unwrap_or_default();
            while change.items.is_empty() || u8::arbitrary(g) % 3 == 0 {
                let item = item(g);
                let twice = |known: &Item| {
                    (known.kind, &known.name, known.version)
                        == (item.kind, &item.name, item.version)
                };
                // One call says one thing under a number: the reader sees to that.
                if !change.items.iter().any(twice) {
                    change.items.push(item);
                }
            }
            calls.push(change);
        }
        Story(calls, u64::arbitrary(g))
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Story>> {
        let (calls, chance) = (self.0.clone(), self.1);
        let chance_of = chance;
        Box::new((0..calls.len()).map(move |at| {
            let mut fewer = calls.clone();
            fewer.remove(at);
            Story(fewer, chance_of)
        }))
    }
}

fn plain_of(
    verdict: &Result<Validation, maplefall_gateway_config::ConfigError>,
) -> Option<Judgement> {
    Some(match verdict {
        Ok(Validation::AlreadyApplied(_)) => Judgement::Taken,
        Ok(Validation::Accepted(_)) => Judgement::New,
        Ok(Validation::HistoryEvicted(..)) => return None,
        Err(why) if why.status() == 409 => Judgement::Conflict,
        Err(_) => Judgement::Invalid,
    })
}

/// Guards every judgement: base, what is ahead of it and the call, looked at by what they claim, come to what a look at
/// everything comes to; some entries are agreed on while others wait, some stay in what is ahead after they are agreed on, and
/// the board goes through a snapshot now and then.
#[test]
fn what_a_change_touches_decides_as_a_look_at_everything() {
    fn holds(story: Story) -> bool {
        let Story(calls, mut chance) = story;
        let mut draw = |most: u64| {
            chance = chance
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (chance >> 33) % most
        };
        let (mut board, mut plain) = (ConfigState::default(), Plain::default());
        let mut ahead = PendingChanges::default();
        let mut pending: Vec<(u64, Change)> = Vec::new();
        for (index, call) in (1..).zip(&calls) {
            let verdict = board.validate(&ahead, call);
            let expected = plain.judge(call);
            if plain_of(&verdict) != Some(expected) {
                println!("{call:?}\n{verdict:?} is not {expected:?}");
                return false;
            }
            match verdict {
                Ok(Validation::Accepted(news)) => {
                    plain.take(&news);
                    ahead.add(index, &news);
                    pending.push((index, news));
                }
                // It waits for the entry that has it, which is on its way.
                Ok(Validation::AlreadyApplied(after)) if after > 0 => {
                    let known = |(i, change): &(u64, Change)| {
                        *i == after && call.items.iter().any(|item| change.items.contains(item))
                    };
                    if !pending.iter().any(known) {
                        return false;
                    }
                }
                _ => {}
            }
            for _ in 0..draw(3).min(pending.len() as u64) {
                let (_, agreed) = pending.remove(0);
                board.apply(&agreed);
            }
            if draw(4) == 0 {
                ahead = PendingChanges::default();
                pending
                    .iter()
                    .for_each(|(index, change)| ahead.add(*index, change));
            }
            if draw(6) == 0 {
                let items = board.items().cloned().collect();
                let taken = VersionHistory::decode(board.taken().encode_to_vec().as_slice())
                    .expect("a message");
                let restored = ConfigState::restore(items, taken);
                if restored != board {
                    return false;
                }
                board = restored;
            }
        }
        pending.iter().for_each(|(_, change)| {
            board.apply(change);
        });
        let held: Vec<Item> = plain.held().into_values().collect();
        plain.sound(&[]) && board.items().cloned().collect::<Vec<_>>() == held
    }
    println!("seed 11");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(800)
        .quickcheck(holds as fn(Story) -> bool);
}

/// Guards doors: a plan that follows change by change, some at once, is the plan of all that holds.
#[test]
fn a_plan_that_follows_its_items_is_the_plan_of_them() {
    fn holds(story: Story) -> bool {
        let Story(calls, chance) = story;
        let (mut board, mut items, mut plan) = (
            ConfigState::default(),
            ItemSet::default(),
            RouteTable::default(),
        );
        let mut waiting = Vec::new();
        for (at, call) in calls.into_iter().enumerate() {
            if board.check(&call).is_err() {
                continue;
            }
            board.apply(&call);
            items.apply(&call);
            waiting.push(call);
            if chance >> (at % 60) & 1 == 0 {
                plan.patch(&items, waiting.iter());
                waiting.clear();
                if plan != RouteTable::from_items(&items) || plan != RouteTable::from_items(&board)
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
        .quickcheck(holds as fn(Story) -> bool);
}

fn limit(name: &str, version: u32, content: u32) -> Change {
    let fields = vec![field("ConnLimit", content.to_string())];
    let item = Item {
        kind: ItemKind::Service.into(),
        name: name.into(),
        version,
        dropped: false,
        fields,
    };
    Change { items: vec![item] }
}

fn judged(board: &ConfigState, name: &str, version: u32, content: u32) -> Option<Judgement> {
    plain_of(&board.validate(&PendingChanges::default(), &limit(name, version, content)))
}

/// Guards the memory of an exchange, and its word: a number that is no longer remembered is neither confirmed nor refused.
#[test]
fn what_is_forgotten_is_neither_confirmed_nor_refused() {
    let mut board = ConfigState::with_history_limits(4, 12);
    for version in 1..=10 {
        board.apply(&limit("a", version, version));
    }
    // The highest and the four before it.
    assert_eq!(judged(&board, "a", 10, 10), Some(Judgement::Taken));
    for version in 6..=10 {
        assert_eq!(
            judged(&board, "a", version, version),
            Some(Judgement::Taken),
            "{version}"
        );
        assert_eq!(
            judged(&board, "a", version, 99),
            Some(Judgement::Conflict),
            "{version}"
        );
    }
    for version in 1..=5 {
        assert_eq!(judged(&board, "a", version, version), None, "{version}");
        assert_eq!(judged(&board, "a", version, 99), None, "{version}");
    }
    // What comes late is remembered too.
    board.apply(&limit("b", 7, 7));
    assert_eq!(judged(&board, "b", 5, 5), Some(Judgement::New));
    board.apply(&limit("b", 5, 5));
    assert_eq!(judged(&board, "b", 5, 5), Some(Judgement::Taken));
    assert_eq!(judged(&board, "b", 5, 6), Some(Judgement::Conflict));
    // Over all names the older half goes, and names that were never overtaken lose nothing.
    board.apply(&limit("quiet", 3, 3));
    for name in 0..8 {
        board.apply(&limit(&format!("c{name}"), 1, 1));
        board.apply(&limit(&format!("c{name}"), 2, 2));
    }
    assert_eq!(judged(&board, "a", 9, 9), None, "the oldest went");
    assert_eq!(
        judged(&board, "c7", 1, 1),
        Some(Judgement::Taken),
        "the newest is known"
    );
    assert_eq!(judged(&board, "quiet", 3, 3), Some(Judgement::Taken));
    assert_eq!(judged(&board, "quiet", 2, 3), Some(Judgement::New));
    let kept: usize = board
        .taken()
        .items
        .iter()
        .map(|name| name.versions.len())
        .sum();
    assert!(kept <= 12, "{kept}");
}

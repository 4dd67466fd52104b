//! The operator's orders: what was taken is known, under whatever number, and nothing is answered that a later leader could
//! contradict.

mod common;
#[path = "../../gateway-config/tests/plain/mod.rs"]
mod plain;

use common::operators::Operators;
use common::played::{Happened, Played};
use maplefall_controller::core::{Call, CallResponse};

const ROUTE: &str =
    "\"Name\",\"Host\",\"PathPrefix\",\"RouteKind\",\"TimeoutS\",\"Service\",\"Version\"";

fn call(upsert: &str, remove: &str) -> String {
    format!("{{\"Upsert\":{{{upsert}}},\"Remove\":{{{remove}}}}}")
}

fn route(name: &str, place: &str, service: &str, timeout: u32, version: u32) -> String {
    call(
        &format!(
            "\"RouteTable\":{{\"ColumnNames\":[{ROUTE}],\"DataRows\":\
             [[\"{name}\",\"one.example\",\"/{place}/\",\"safe\",{timeout},\"{service}\",\"{version:08x}\"]]}}"
        ),
        "",
    )
}

fn service(name: &str, limit: u32, version: u32) -> String {
    call(
        &format!(
            "\"Services\":{{\"ColumnNames\":[\"Name\",\"ConnLimit\",\"Version\"],\"DataRows\":[[\"{name}\",{limit},\"{version:08x}\"]]}}"
        ),
        "",
    )
}

fn drop_service(name: &str, version: u32) -> String {
    call(
        "",
        &format!("\"Services\":[{{\"Name\":\"{name}\",\"Version\":\"{version:08x}\"}}]"),
    )
}

/// The status of one call to the only exchange.
fn status(fleet: &mut Played, body: String) -> u16 {
    let at = fleet.names()[0].clone();
    let number = fleet.call(&at, Call::Amend(body.into()));
    let until = fleet.now() + 3000.0;
    loop {
        match fleet.next(until) {
            Happened::Arrived(call, answer) if call == number => {
                return match answer {
                    CallResponse::Ok(_) => 200,
                    CallResponse::Rejected(status, _) => status,
                    CallResponse::Redirect(_) => 307,
                    CallResponse::Unavailable => 503,
                }
            }
            Happened::Over => return 0,
            _ => {}
        }
    }
}

fn alone() -> Played {
    let mut fleet = Played::new(3, 1);
    fleet.play(2000.0);
    for name in ["s1", "s2"] {
        assert_eq!(status(&mut fleet, service(name, 9, 1)), 200);
    }
    fleet
}

/// Guards finding 3: under one number only one content is ever confirmed, also once a higher number holds and after a restart.
#[test]
fn one_number_is_confirmed_with_one_content() {
    let mut fleet = alone();
    assert_eq!(status(&mut fleet, route("r", "a", "s1", 1, 7)), 200);
    assert_eq!(status(&mut fleet, route("r", "a", "s1", 2, 9)), 200);
    for _ in 0..2 {
        assert_eq!(status(&mut fleet, route("r", "a", "s1", 3, 7)), 409);
        assert_eq!(status(&mut fleet, route("r", "a", "s1", 1, 7)), 200);
        assert_eq!(status(&mut fleet, route("r", "a", "s1", 2, 9)), 200);
        assert_eq!(status(&mut fleet, route("r", "a", "s1", 3, 9)), 409);
        // A number that was overtaken before anybody took it: the first content is taken, and changes nothing.
        assert_eq!(status(&mut fleet, route("r", "a", "s1", 4, 8)), 200);
        assert_eq!(status(&mut fleet, route("r", "a", "s1", 5, 8)), 409);
        let at = fleet.names()[0].clone();
        fleet.crash(&at, 50.0);
        fleet.play(2000.0);
    }
    let held = fleet.follower("10.0.0.1").items.read_back();
    assert!(held.contains("\"00000009\""), "{held}");
}

/// Guards finding 4: what was taken is acknowledged again whatever holds by now; what was not is judged as ever.
#[test]
fn an_order_that_was_taken_is_acknowledged_again() {
    let mut fleet = alone();
    let first = route("r", "a", "s1", 1, 7);
    assert_eq!(status(&mut fleet, first.clone()), 200);
    assert_eq!(status(&mut fleet, route("r", "b", "s2", 1, 9)), 200);
    assert_eq!(status(&mut fleet, drop_service("s1", 9)), 200);
    for again in [400, 409] {
        assert_eq!(status(&mut fleet, first.clone()), 200);
        assert_eq!(status(&mut fleet, service("s1", 9, 1)), 200);
        // Another route that names the service was never taken.
        assert_eq!(status(&mut fleet, route("q", "c", "s1", 1, 7)), 400);
        // Nor was this number of the first, though it would change nothing.
        assert_eq!(status(&mut fleet, route("r", "a", "s1", 1, 8)), 400);
        // A call with something new in it is judged by that alone.
        let both = |new: &str| {
            first.replace(
                "]]",
                &format!("],[\"q\",\"two.example\",\"/a/\",\"safe\",1,\"{new}\",\"00000002\"]]"),
            )
        };
        assert_eq!(status(&mut fleet, both("s1")), again);
        assert_eq!(status(&mut fleet, both("s2")), 200);
        let at = fleet.names()[0].clone();
        fleet.crash(&at, 50.0);
        fleet.play(2000.0);
    }
}

/// Whether every exchange runs, and every disk says that exactly these disks are the members', and that no change of them is
/// under way: a further disk may be lost.
fn all_count(fleet: &Played) -> bool {
    let marks: Vec<(String, u64)> = fleet
        .names()
        .iter()
        .map(|name| {
            (
                name.clone(),
                fleet.disk(name).raft.identity.unwrap_or(u64::MAX),
            )
        })
        .collect();
    fleet.names().iter().all(|name| {
        let disk = &fleet.disk(name).raft;
        let sets = disk.configuration();
        let through = sets.previous == sets.current || disk.members_committed >= sets.index;
        let mut newest: Vec<(String, u64)> = sets
            .current
            .into_iter()
            .map(|m| (m.name, m.identity))
            .collect();
        newest.sort();
        fleet.runs(name) && newest == marks && through
    })
}

/// One trouble, and how long until the next.
fn trouble(operators: &mut Operators) -> f64 {
    let fleet = &mut operators.fleet;
    let (one, other) = (fleet.any(), fleet.any());
    let down = 50.0 + f64::from(fleet.draw(1500));
    match fleet.draw(14) {
        0 => fleet.crash(&one, down),
        // One disk at a time, and none before the last that was lost counts again; at times all others lose power with it.
        1 | 13 if all_count(fleet) => {
            fleet.wipe(&one, down);
            if fleet.chance(0.3) {
                for name in fleet.names().to_vec() {
                    let late = down + f64::from(fleet.draw(300));
                    if name != one {
                        fleet.crash(&name, late);
                    }
                }
            }
            operators.wiped += 1;
        }
        1 => fleet.crash(&one, down),
        2 => {
            for name in fleet.names().to_vec() {
                let late = down + f64::from(fleet.draw(300));
                fleet.crash(&name, late);
            }
        }
        3 | 4 => fleet.cut_off(&one),
        5 | 6 => fleet.cut_one_way(&one, &other),
        7 => fleet.freeze(&one, 3.0 * down),
        8 => fleet.hang_disk(&one, down),
        9 => {
            // The platform waits for the process, a caller's call in the meantime for another.
            fleet.stop(&one);
            operators.play(30.0);
            operators.fleet.crash(&one, down);
            return 100.0;
        }
        10 => fleet.answer_loss = 0.4,
        11 => fleet.loss = 0.05,
        12 => {
            fleet.unreachable.insert(one);
        }
        _ => fleet.calm(),
    }
    if fleet.chance(0.2) {
        fleet.join();
    }
    100.0 + f64::from(fleet.draw(1500))
}

fn day(seed: u64, size: usize) -> Operators {
    let mut operators = Operators::new(seed, size);
    operators.play(1000.0);
    for _ in 0..20 {
        let span = trouble(&mut operators);
        operators.play(span);
    }
    operators.end();
    operators
}

/// Guards every word to an operator on bad days: at most one content is ever confirmed under a number; what was confirmed is
/// confirmed again or left open, never refused; what is refused had a cause in what was agreed on, and never comes into force;
/// what is read back is all that was agreed on at one moment since the call. Up to eight orders under way, sent until there is a
/// clear answer. `ORDER_FIRST=40 ORDER_DAYS=1000` plays others than CI does.
#[test]
fn what_operators_are_told_holds_on_bad_days() {
    let figure = |name| {
        std::env::var(name)
            .ok()
            .and_then(|figure| figure.parse().ok())
    };
    let (first, days) = (
        figure("ORDER_FIRST").unwrap_or(0),
        figure("ORDER_DAYS").unwrap_or(40),
    );
    let mut wiped = 0;
    for seed in first..first + days {
        println!("seed {seed}");
        let operators = day(seed, if seed % 4 == 0 { 5 } else { 3 });
        println!("{:?} wiped {}", operators.count, operators.wiped);
        wiped += operators.wiped;
    }
    assert!(
        days < 40 || wiped >= 10,
        "disks were lost {wiped} times only"
    );
}

/// The exchange that leads, as its callers find out.
fn leader(fleet: &mut Played) -> String {
    for name in fleet.names().to_vec() {
        if answer(fleet, &name, Call::ReadConfig)
            .is_some_and(|answer| matches!(answer, CallResponse::Ok(_)))
        {
            return name;
        }
    }
    panic!("nobody leads");
}

/// The answer of one exchange to one call, if there is one within two seconds.
fn answer(fleet: &mut Played, at: &str, call: Call) -> Option<CallResponse> {
    let number = fleet.call(at, call);
    let until = fleet.now() + 2000.0;
    loop {
        match fleet.next(until) {
            Happened::Arrived(call, answer) if call == number => return Some(answer),
            Happened::Over => return None,
            _ => {}
        }
    }
}

/// Guards valid orders against an exchange that thinks that it leads and does not, or no longer hears from the others: it
/// confirms nothing new and refuses nothing but what nobody could take. Cut off both ways, one way and the other.
#[test]
fn a_leader_that_is_cut_off_refuses_and_confirms_nothing() {
    let taken_other = route("r", "a", "s1", 2, 7);
    let unknown = route("q", "b", "s9", 1, 7);
    let new = route("q", "b", "s1", 1, 7);
    for (seed, body) in (20..).zip([&taken_other, &unknown, &new].into_iter().cycle().take(9)) {
        println!("seed {seed}");
        let (mut fleet, first) = three(seed);
        for (body, due) in [(&taken_other, 409), (&unknown, 400)] {
            assert!(
                refused(&answer(&mut fleet, &first, amend(body)), due),
                "in touch: {body}"
            );
        }
        let way = (seed - 20) / 3;
        for peer in fleet.names().to_vec() {
            if way != 1 {
                fleet.cut_one_way(&first, &peer);
            }
            if way != 2 {
                fleet.cut_one_way(&peer, &first);
            }
        }
        // At once, while it still thinks that it leads, and when it has stepped down.
        for _ in 0..3 {
            let said = answer(&mut fleet, &first, amend(body));
            let open = matches!(
                said,
                None | Some(CallResponse::Unavailable | CallResponse::Redirect(_))
            );
            assert!(open, "cut off, way {way}: {said:?} to {body}");
        }
        // What nobody could take is refused by whoever reads it.
        let said = answer(&mut fleet, &first, amend(&route("q", "b", "s1", 601, 7)));
        assert!(refused(&said, 400), "{said:?}");
    }
}

fn amend(body: &str) -> Call {
    Call::Amend(body.to_owned().into())
}

fn refused(answer: &Option<CallResponse>, due: u16) -> bool {
    matches!(answer, Some(CallResponse::Rejected(status, _)) if *status == due)
}

/// Three exchanges with two services and a route, and the one that leads.
fn three(seed: u64) -> (Played, String) {
    let mut fleet = Played::new(seed, 3);
    fleet.play(3000.0);
    let first = leader(&mut fleet);
    for body in [
        service("s1", 9, 1),
        service("s2", 9, 1),
        route("r", "a", "s1", 1, 7),
    ] {
        assert_eq!(
            answer(&mut fleet, &first, amend(&body)),
            Some(CallResponse::Ok("{}".to_owned()))
        );
    }
    (fleet, first)
}

/// Guards an order against the entry of another leader: a leader that froze with an order under way hears, by one message, of the
/// new term and of the entry that was agreed on in the order's place. The order is not in force and may not be confirmed.
#[test]
fn an_order_is_not_confirmed_by_another_leaders_entry() {
    let (mut fleet, first) = three(50);
    let peers: Vec<String> = fleet
        .names()
        .iter()
        .filter(|name| **name != first)
        .cloned()
        .collect();
    for peer in &peers {
        fleet.cut_one_way(&first, peer);
        fleet.cut_one_way(peer, &first);
    }
    let body = route("q", "b", "s1", 1, 7);
    let number = fleet.call(&first, amend(&body));
    fleet.play(5.0);
    fleet.frames_first = true;
    fleet.freeze(&first, 5000.0);
    fleet.play(3500.0);
    let next = peers.iter().find(|peer| {
        let other = Call::Amend(route("q", "c", "s2", 1, 8).into());
        matches!(answer(&mut fleet, peer, other), Some(CallResponse::Ok(_)))
    });
    assert!(next.is_some(), "the others have no leader");
    fleet.join();
    let (mut said, until) = (None, fleet.now() + 3000.0);
    loop {
        match fleet.next(until) {
            Happened::Answered(call, answer) if call == number => said = Some(answer),
            Happened::Over => break,
            _ => {}
        }
    }
    assert_eq!(said, Some(CallResponse::Unavailable));
    let agreed = fleet.truth.values().flat_map(|change| &change.items);
    assert!(agreed
        .clone()
        .any(|item| item.name == "q" && item.version == 8));
    assert!(!agreed
        .clone()
        .any(|item| item.name == "q" && item.version == 7));
}

/// Guards an order that comes again while it is on its way: it is confirmed with its entry, and both are, without a second entry.
#[test]
fn an_order_that_comes_again_waits_for_its_entry() {
    let (mut fleet, first) = three(60);
    let before = fleet.truth.len();
    for lost in [true, false] {
        let body = route("q", "b", "s1", 1 + u32::from(lost), 7 + u32::from(lost));
        if lost {
            for peer in fleet.names().to_vec() {
                fleet.cut_one_way(&first, &peer);
            }
        }
        let calls = [(); 3].map(|()| fleet.call(&first, amend(&body)));
        let (mut said, until) = (Vec::new(), fleet.now() + 2000.0);
        loop {
            match fleet.next(until) {
                Happened::Answered(call, answer) if calls.contains(&call) => said.push(answer),
                Happened::Over => break,
                _ => {}
            }
        }
        let due = if lost {
            CallResponse::Unavailable
        } else {
            CallResponse::Ok("{}".to_owned())
        };
        assert_eq!(said, vec![due; 3], "lost: {lost}");
        fleet.join();
        fleet.play(4000.0);
        if lost {
            // Whoever leads now: the first that does again is the one that is asked.
            while leader(&mut fleet) != first {
                let now = leader(&mut fleet);
                fleet.crash(&now, 1500.0);
                fleet.play(4000.0);
            }
        }
    }
    assert!(fleet.truth.len() <= before + 2);
    let agreed = fleet
        .truth
        .values()
        .filter(|change| change.items.iter().any(|item| item.version == 7));
    assert!(agreed.filter(|change| change.items[0].name == "q").count() == 1);
}

fn tenant(name: &str, key: &str, version: u32) -> String {
    let columns = "\"Name\",\"ApiKeys\",\"Version\"";
    call(
        &format!(
            "\"Tenants\":{{\"ColumnNames\":[{columns}],\"DataRows\":[[\"{name}\",[\"{key}\"],\"{version:08x}\"]]}}"
        ),
        "",
    )
}

/// Guards two orders that are each valid and do not go together: whichever comes first, it alone is taken, also when both are
/// under way at once and come to different exchanges.
#[test]
fn of_two_orders_that_do_not_go_together_one_is_taken() {
    let pairs = [
        (
            route("p", "same", "s1", 1, 7),
            route("q", "same", "s1", 1, 7),
        ),
        (tenant("t", "key", 7), tenant("u", "key", 7)),
        (drop_service("s2", 7), route("q", "b", "s2", 1, 7)),
        (route("r", "a", "s1", 2, 9), route("r", "a", "s1", 3, 9)),
    ];
    let mut firsts = [[0; 2]; 4];
    for (seed, at) in (100..).zip((0..4).cycle().take(40)) {
        println!("seed {seed}");
        let (mut fleet, first) = three(seed);
        let (one, other) = &pairs[at];
        let calls = [
            fleet.call(&first, amend(one)),
            fleet.call(&first, amend(other)),
        ];
        let (mut said, until) = ([None, None], fleet.now() + 2000.0);
        loop {
            match fleet.next(until) {
                Happened::Arrived(call, answer) => {
                    said[usize::from(call == calls[1])] = Some(answer);
                }
                Happened::Over => break,
                _ => {}
            }
        }
        let taken = usize::from(said[1] == Some(CallResponse::Ok("{}".to_owned())));
        assert_eq!(
            said[taken],
            Some(CallResponse::Ok("{}".to_owned())),
            "{said:?}"
        );
        assert!(
            refused(&said[1 - taken], if at == 3 { 409 } else { 400 }),
            "{said:?}"
        );
        firsts[at][taken] += 1;
    }
    assert!(
        firsts.iter().flatten().all(|times| *times > 0),
        "an order of arrival was never played: {firsts:?}"
    );
}

/// Guards the bound of what is remembered, at the exchange: a number that is too old to be known is answered with nothing clear,
/// whatever comes under it, also after a restart from a snapshot; the newest are known.
#[test]
fn a_forgotten_number_gets_no_clear_answer() {
    let mut fleet = Played::new(3, 1);
    fleet.fold_after = Some(50);
    fleet.play(2000.0);
    for version in 1..=300 {
        assert_eq!(status(&mut fleet, service("s1", version, version)), 200);
    }
    for _ in 0..2 {
        for (version, limit, due) in [
            (1, 1, 503),
            (1, 9, 503),
            (43, 43, 503),
            (44, 44, 200),
            (44, 9, 409),
            (300, 300, 200),
        ] {
            assert_eq!(
                status(&mut fleet, service("s1", limit, version)),
                due,
                "{version} with {limit}"
            );
        }
        let at = fleet.names()[0].clone();
        fleet.crash(&at, 50.0);
        fleet.play(2000.0);
        assert!(
            fleet.disk(&at).raft.snapshot.index > 200,
            "nothing was folded"
        );
    }
    assert!(fleet.lines.iter().any(|(_, line)| line
        .contains("event=version_evicted list=Services item=\"s1\" version=00000001")));
}

//! What a lender does with doors that come one after the other, ask, and come back.

use maplefall_quota_lease::{
    ClientId, Demand, Lease, LeaseClient, LeaseGrant, LeaseRequest, LeaseServer, CLOCK_SKEW,
    LEASE_DURATION, WHOLE_QUOTA_PPM,
};
use std::collections::{BTreeMap, BTreeSet};

struct Bench {
    tenants: Vec<&'static str>,
    lender: LeaseServer,
    purses: BTreeMap<String, (u64, LeaseClient)>,
    now: f64,
}

impl Bench {
    fn new() -> Bench {
        let lender = LeaseServer::new(0.0, 1, WHOLE_QUOTA_PPM, Some(BTreeSet::new()));
        Bench {
            tenants: vec!["t"],
            lender,
            purses: BTreeMap::new(),
            now: 0.0,
        }
    }

    /// A door reports, and all that follows is delivered.
    fn report(&mut self, door: &str, life: u64, rate: f64, short: bool) {
        let known = self
            .purses
            .get(door)
            .is_some_and(|(known, _)| *known == life);
        if !known {
            let mut purse = LeaseClient::new(life);
            purse.connected("lender");
            self.purses.insert(door.to_owned(), (life, purse));
        }
        let mut due = vec![(door.to_owned(), rate, short)];
        while let Some((door, rate, short)) = due.pop() {
            let Some((life, purse)) = self.purses.get_mut(&door) else {
                continue;
            };
            let asked = Demand {
                tenant: "t".into(),
                milli_rps: (rate * 1000.0) as u32,
                starved: short,
            };
            let demand = if rate > 0.0 { vec![asked] } else { Vec::new() };
            let report = purse.next_request(self.now, "lender", demand);
            let caller = ClientId {
                name: &door,
                incarnation: *life,
                connection: *life,
            };
            for (to, lent) in
                self.lender
                    .handle_request(self.now, caller, &report, self.tenants.iter().copied())
            {
                let Some((_, purse)) = self.purses.get_mut(&to) else {
                    continue;
                };
                let (less, _) = purse.handle_grant(self.now, "lender", &lent);
                if less {
                    due.push((to, 0.0, false));
                }
            }
        }
    }

    fn part(&self, door: &str) -> f64 {
        self.purses
            .get(door)
            .map_or(0.0, |(_, purse)| purse.fraction(self.now, "t"))
    }
}

/// Guards the first seconds: doors that come after the first find it has all, and must not stay without.
#[test]
fn doors_that_come_one_after_the_other_end_with_even_parts() {
    let mut bench = Bench::new();
    for _ in 0..4 {
        for door in ["a", "b", "c", "d"] {
            bench.now += 100.0;
            bench.report(door, 1, 0.0, false);
        }
    }
    for door in ["a", "b", "c", "d"] {
        let part = bench.part(door);
        assert!((part - 0.25).abs() < 0.03, "{door} holds {part}");
    }
}

/// Guards a configuration that comes after the doors have reported: each has its part before anybody asks.
#[test]
fn tenants_that_come_later_are_dealt_to_all_doors() {
    let mut bench = Bench::new();
    bench.tenants.clear();
    for turn in 0..8 {
        if turn == 4 {
            bench.tenants.push("t");
        }
        for door in ["a", "b", "c", "d"] {
            bench.now += 100.0;
            bench.report(door, 1, 0.0, false);
        }
    }
    for door in ["a", "b", "c", "d"] {
        let part = bench.part(door);
        assert!((part - 0.25).abs() < 0.03, "{door} holds {part}");
    }
}

/// Guards tenants that come through one door: what others hold unused is there at once when it lacks it.
#[test]
fn a_door_that_is_short_gets_what_others_do_not_use_at_once() {
    let mut bench = Bench::new();
    for _ in 0..4 {
        for door in ["a", "b", "c", "d"] {
            bench.report(door, 1, 0.0, false);
        }
    }
    bench.now += 10.0;
    bench.report("a", 1, 30.0, true);
    assert!(bench.part("a") > 0.7, "{}", bench.part("a"));
    // One that is not short leaves the others theirs.
    bench.report("b", 1, 30.0, false);
    assert!(bench.part("b") < 0.3, "{}", bench.part("b"));
}

/// Guards restarts: a new life is asked what the old one was asked, before it can know.
#[test]
fn a_new_life_inherits_what_the_old_one_was_asked() {
    let mut bench = Bench::new();
    for _ in 0..6 {
        bench.now += 100.0;
        bench.report("a", 1, 30.0, true);
        bench.report("b", 1, 0.0, false);
    }
    assert!(bench.part("a") > 0.8);
    bench.now += 1000.0;
    bench.report("a", 2, 0.0, false);
    assert!(bench.part("a") > 0.8, "{}", bench.part("a"));
    assert!(bench.lender.out("t") <= WHOLE_QUOTA_PPM);
}

/// Guards tenants of few requests before many doors: which door is asked next is chance, so a door that was asked nothing of late
/// keeps more than half of an even part, however short others are; with a quarter its bucket holds no whole request.
#[test]
fn doors_that_are_asked_little_keep_most_of_an_even_part() {
    let mut bench = Bench::new();
    let doors: Vec<String> = (0..27).map(|door| format!("door-{door}")).collect();
    // Twenty requests a second in all: in turn, each door is asked three times its part, its part, and nothing.
    for turn in 0..60 {
        for (place, door) in doors.iter().enumerate() {
            bench.now += 20.0;
            let rate = [2.2, 0.74, 0.0][(place + turn) % 3];
            bench.report(door, 1, rate, rate > 1.0);
        }
        let even = 1.0 / doors.len() as f64;
        if turn > 1 {
            for door in &doors {
                let part = bench.part(door);
                assert!(
                    part > 0.5 * even,
                    "turn {turn}: {door} holds {part} of {even}"
                );
            }
        }
    }
}

/// Guards what loans are for: a tenant that asks a lot of one door has most of its quota there, also before many doors.
#[test]
fn a_door_that_is_asked_a_lot_has_most_also_before_many_doors() {
    let mut bench = Bench::new();
    let doors: Vec<String> = (0..27).map(|door| format!("door-{door}")).collect();
    for _ in 0..20 {
        for (place, door) in doors.iter().enumerate() {
            bench.now += 20.0;
            let rate = if place == 3 { 200.0 } else { 0.0 };
            bench.report(door, 1, rate, place == 3);
        }
    }
    // Its aim is 0.67, and what is nearer than a twelfth is not said.
    assert!(bench.part("door-3") > 0.6, "{}", bench.part("door-3"));
}

fn caller(name: &str, life: u64, conn: u64) -> ClientId<'_> {
    ClientId {
        name,
        incarnation: life,
        connection: conn,
    }
}

fn said(answers: &[(String, LeaseGrant)], to: &str) -> Vec<u32> {
    let mine = answers.iter().filter(|(name, _)| name == to);
    mine.flat_map(|(_, lent)| &lent.leases)
        .map(|loan| loan.ppm)
        .collect()
}

/// Guards an exchange that thaws: it may read what an earlier life of a door has left behind after the words of the present one.
#[test]
fn what_an_earlier_life_or_connection_left_behind_is_passed_over() {
    let mut lender = LeaseServer::new(0.0, 9, WHOLE_QUOTA_PPM, Some(BTreeSet::new()));
    let (mut old, mut new) = (LeaseClient::new(1), LeaseClient::new(2));
    old.connected("x");
    new.connected("x");
    let report = new.next_request(0.0, "x", Vec::new());
    assert_eq!(
        said(
            &lender.handle_request(0.0, caller("a", 2, 5), &report, ["t"].into_iter()),
            "a"
        ),
        [WHOLE_QUOTA_PPM]
    );
    let late = old.next_request(0.0, "x", Vec::new());
    let last = LeaseRequest {
        release: true,
        ..old.next_request(0.0, "x", Vec::new())
    };
    for report in [&late, &last] {
        assert!(lender
            .handle_request(1.0, caller("a", 1, 4), report, ["t"].into_iter())
            .is_empty());
        assert_eq!(lender.out("t"), WHOLE_QUOTA_PPM);
    }
    // Neither on the same connection, nor an older number of the same life on another one.
    assert!(lender
        .handle_request(1.0, caller("a", 1, 5), &late, ["t"].into_iter())
        .is_empty());
    assert!(lender
        .handle_request(1.0, caller("a", 2, 6), &report, ["t"].into_iter())
        .is_empty());
    assert_eq!(lender.out("t"), WHOLE_QUOTA_PPM);
    // A later life on a later connection proves that the one before is over.
    let report = LeaseClient::new(3).next_request(2.0, "x", Vec::new());
    lender.handle_request(2.0, caller("a", 3, 6), &report, ["t"].into_iter());
    assert_eq!(lender.out("t"), WHOLE_QUOTA_PPM);
}

/// Guards a door against what another life of a lender has said, and against answers that are older than what it knows.
#[test]
fn an_answer_of_another_life_or_an_older_one_is_passed_over() {
    let mut purse = LeaseClient::new(1);
    purse.connected("x");
    let number = purse.next_request(0.0, "x", Vec::new()).sequence;
    let lent = |lender: u32, number: u64, report: u64, parts: u32| LeaseGrant {
        sequence: number,
        request: report,
        leases: vec![Lease {
            tenant: "t".into(),
            ppm: parts,
        }],
        client_count: 1,
        client_incarnation: 1,
        server_incarnation: lender,
    };
    purse.handle_grant(1.0, "x", &lent(7, 4, number, WHOLE_QUOTA_PPM / 2));
    purse.handle_grant(1.0, "x", &lent(8, 5, number, WHOLE_QUOTA_PPM));
    purse.handle_grant(1.0, "x", &lent(7, 4, number, WHOLE_QUOTA_PPM));
    purse.handle_grant(1.0, "x", &lent(7, 3, number, WHOLE_QUOTA_PPM));
    assert!((purse.fraction(1.0, "t") - 0.5).abs() < 1e-9);
    // It says whose answers it confirms; a new connection begins anew, and tells what it holds until it is answered.
    let report = purse.next_request(1.0, "x", Vec::new());
    assert_eq!(
        (report.server_incarnation, report.acknowledged, report.full),
        (7, 4, false)
    );
    purse.connected("x");
    purse.handle_grant(2.0, "x", &lent(7, 9, report.sequence, WHOLE_QUOTA_PPM));
    assert!((purse.fraction(2.0, "t") - 0.5).abs() < 1e-9);
    for _ in 0..2 {
        let report = purse.next_request(2.0, "x", Vec::new());
        assert_eq!(
            (
                report.server_incarnation,
                report.acknowledged,
                report.full,
                report.leases.len()
            ),
            (0, 0, true, 1)
        );
    }
}

/// Guards lenders that start anew: a number that an earlier life's answer had confirms nothing of this one's.
#[test]
fn what_is_confirmed_of_another_life_counts_for_nothing() {
    let mut lender = LeaseServer::new(0.0, 9, WHOLE_QUOTA_PPM, Some(BTreeSet::new()));
    let report = LeaseRequest {
        sequence: 1,
        full: true,
        ..LeaseRequest::default()
    };
    lender.handle_request(0.0, caller("a", 1, 1), &report, ["t"].into_iter());
    let short = vec![Demand {
        tenant: "t".into(),
        milli_rps: 9000,
        starved: true,
    }];
    let report = LeaseRequest {
        sequence: 1,
        full: true,
        demand: short,
        ..LeaseRequest::default()
    };
    let answers = lender.handle_request(0.0, caller("b", 1, 2), &report, ["t"].into_iter());
    assert!(
        said(&answers, "a")[0] < WHOLE_QUOTA_PPM && said(&answers, "b").iter().sum::<u32>() == 0
    );
    for (life, freed) in [(8, false), (9, true)] {
        let report = LeaseRequest {
            sequence: u64::from(life),
            acknowledged: 1000,
            server_incarnation: life,
            ..LeaseRequest::default()
        };
        let answers = lender.handle_request(1.0, caller("a", 1, 1), &report, ["t"].into_iter());
        assert_eq!(
            said(&answers, "b").iter().sum::<u32>() > 0,
            freed,
            "{answers:?}"
        );
    }
}

/// Guards slots that go to another: what shrinks shrinks for every door at once, whatever they ask, and nobody gets back what is not
/// given back yet.
#[test]
fn a_limit_that_shrinks_takes_back_at_once() {
    let mut lender = LeaseServer::new(0.0, 9, WHOLE_QUOTA_PPM, Some(BTreeSet::new()));
    let mut purses: Vec<LeaseClient> = (0..4).map(|_| LeaseClient::new(1)).collect();
    let names = ["a", "b", "c", "d"];
    let mut now = 0.0;
    // Nobody asks at first, so all hold even parts; then one asks for all.
    let busy = |who: usize, now: f64| match who {
        0 if now > 600.0 => vec![Demand {
            tenant: "t".into(),
            milli_rps: 50_000,
            starved: true,
        }],
        _ => Vec::new(),
    };
    purses.iter_mut().for_each(|purse| purse.connected("x"));
    let turn =
        |lender: &mut LeaseServer, purses: &mut Vec<LeaseClient>, deaf: Option<usize>, now: f64| {
            for who in 0..4 {
                let report = purses[who].next_request(now, "x", busy(who, now));
                for (to, lent) in
                    lender.handle_request(now, caller(names[who], 1, 1), &report, ["t"].into_iter())
                {
                    let to = names.iter().position(|name| *name == to).expect("a door");
                    if deaf != Some(to) {
                        purses[to].handle_grant(now, "x", &lent);
                    }
                }
            }
        };
    for _ in 0..6 {
        now += 100.0;
        turn(&mut lender, &mut purses, None, now);
    }
    assert!(lender.out("t") <= WHOLE_QUOTA_PPM && lender.out("t") > WHOLE_QUOTA_PPM * 9 / 10);
    let even = purses[0].fraction(now, "t");
    assert!((even - 0.25).abs() < 0.03, "{even}");
    let told = lender.set_limit(WHOLE_QUOTA_PPM / 5);
    let sum: u32 = names.iter().flat_map(|name| said(&told, name)).sum();
    assert!(told.len() == 4 && sum <= WHOLE_QUOTA_PPM / 5, "{told:?}");
    // Not a word of that comes to one of them; the others ask on.
    for _ in 0..8 {
        now += 100.0;
        turn(&mut lender, &mut purses, Some(1), now);
        let heard: f64 = [0, 2, 3]
            .iter()
            .map(|who: &usize| purses[*who].fraction(now, "t"))
            .sum();
        assert!(heard <= 0.2 + 1e-6, "{heard}");
    }
    now += LEASE_DURATION + CLOCK_SKEW;
    turn(&mut lender, &mut purses, None, now);
    turn(&mut lender, &mut purses, None, now + 100.0);
    let held: f64 = purses
        .iter()
        .map(|purse| purse.fraction(now + 100.0, "t"))
        .sum();
    assert!(
        held <= 0.2 + 1e-6 && lender.out("t") <= WHOLE_QUOTA_PPM / 5,
        "{held}"
    );
    // Taken out: nothing is left.
    lender.set_limit(0);
    turn(&mut lender, &mut purses, None, now + 200.0);
    turn(&mut lender, &mut purses, None, now + 300.0);
    assert_eq!(
        purses
            .iter()
            .map(|purse| purse.fraction(now + 300.0, "t"))
            .sum::<f64>(),
        0.0
    );
    assert_eq!(lender.out("t"), 0);
}

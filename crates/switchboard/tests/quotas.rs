//! Doors and lenders over a played network: reports and answers are late, lost, or lost with their connection; doors are cut off,
//! die and come back; lenders die and come back, knowing whom they lent to or not. Whatever happens, what is held adds up to
//! the whole at most, and in no window do all doors together let in more than the quota's bound. Seeds are printed.

use maplefall_mainframe::Bounds;
use maplefall_policy::Tenants;
use maplefall_switchboard::quota;
use maplefall_toll::{Demand, Lender, Lent, Purse, Report, WHOLE};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const TENANTS: [(&str, f64, f64); 3] = [("large", 94.0, 94.0), ("small", 6.0, 6.0), ("odd", 20.0, 0.0)];

struct Door {
    purse: Purse,
    tenants: Tenants<&'static str>,
    life: u64,
    /// Which lenders it is connected to, each connection by its number.
    links: BTreeMap<usize, u64>,
    down: f64,
    cut: f64,
    /// Requests a second for each tenant.
    asks: [f64; 3],
}

enum Mail {
    Report(usize, usize, u64, u64, Report),
    Lent(usize, usize, u64, Lent),
}

fn day(seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut draw = move || f64::from(rng.next_u32()) / 4_294_967_296.0;
    let bounds = Bounds::default();
    let doors_there = 2 + (draw() * 12.0) as usize;
    let lenders_there = if draw() < 0.2 { 5 } else { 3 };
    let fresh = |life: u64, full: bool| Door {
        purse: Purse::new(life),
        tenants: Tenants::new(full),
        life,
        links: BTreeMap::new(),
        down: 0.0,
        cut: 0.0,
        asks: [0.0; 3],
    };
    let mut doors: Vec<Door> = (0..doors_there).map(|n| fresh(n as u64 + 1, true)).collect();
    let mut lenders: Vec<(Lender, BTreeSet<String>, f64)> = (0..lenders_there)
        .map(|_| (Lender::new(0.0, lenders_there, Some(BTreeSet::new())), BTreeSet::new(), 0.0))
        .collect();
    let mut mail: Vec<(f64, Mail)> = Vec::new();
    // A connection keeps its order: when the last thing comes on it, each way.
    let mut last: BTreeMap<(u64, bool), f64> = BTreeMap::new();
    let mut order = move |conn: u64, up: bool, at: f64| {
        let earliest = last.entry((conn, up)).or_insert(at);
        *earliest = earliest.max(at);
        *earliest
    };
    let mut runs: Vec<VecDeque<f64>> = vec![VecDeque::new(); TENANTS.len()];
    let (mut lives, mut conns, mut served) = (100, 0, 0_u64);
    let mut now = 0.0;
    while now < 40_000.0 {
        now += 10.0;
        // Troubles, and demand that moves about.
        if draw() < 0.004 {
            let hit = (draw() * doors.len() as f64) as usize;
            match (draw() * 5.0) as u32 {
                0 => {
                    lives += 1;
                    doors[hit] = Door { down: now + draw() * 2000.0, ..fresh(lives, false) };
                }
                1 => doors[hit].cut = now + draw() * 15_000.0,
                2 => {
                    let lender = (draw() * lenders.len() as f64) as usize;
                    let known = (draw() < 0.6).then(|| lenders[lender].1.clone());
                    lenders[lender].0 = Lender::new(now, lenders_there, known);
                    lenders[lender].2 = now + draw() * 3000.0;
                    doors.iter_mut().for_each(|door| {
                        door.links.remove(&lender);
                    });
                }
                3 => {
                    for door in &mut doors {
                        if draw() > 0.6 {
                            continue;
                        }
                        lives += 1;
                        *door = Door { down: now + draw() * 2000.0, ..fresh(lives, false) };
                    }
                }
                _ => {
                    let lender = (draw() * lenders.len() as f64) as usize;
                    doors[hit].links.remove(&lender);
                }
            }
        }
        if draw() < 0.01 {
            for door in &mut doors {
                let hot = if draw() < 0.2 { 8.0 } else { 1.0 };
                door.asks = [draw() * 12.0 * hot, draw() * 2.0 * hot, draw() * 6.0 * hot];
            }
        }
        for (n, door) in doors.iter_mut().enumerate().filter(|(_, door)| now >= door.down) {
            for (lender, (_, _, down)) in lenders.iter().enumerate() {
                let away = now < door.cut || now < *down;
                if away && draw() < 0.01 {
                    door.links.remove(&lender);
                }
                if !away && !door.links.contains_key(&lender) && draw() < 0.1 {
                    conns += 1;
                    door.links.insert(lender, conns);
                    door.purse.connected(&lender.to_string());
                }
                let Some(conn) = door.links.get(&lender).copied() else { continue };
                if draw() < 0.03 {
                    let demand = door.tenants.demand(now);
                    let demand = demand.map(|(who, rate)| Demand {
                        tenant: (*who).to_owned(),
                        rate: (rate * 1000.0) as u32,
                        short: draw() < 0.3,
                    });
                    let report = door.purse.report(now, &lender.to_string(), demand.collect());
                    if !away {
                        let at = now + draw() * if draw() < 0.05 { 3000.0 } else { 20.0 };
                        let at = order(conn, true, at);
                        mail.push((at, Mail::Report(n, lender, door.life, conn, report)));
                    }
                }
            }
        }
        let (come, wait): (Vec<_>, Vec<_>) = mail.into_iter().partition(|(at, _)| *at <= now);
        mail = wait;
        for (_, one) in come {
            match one {
                Mail::Report(n, lender, life, conn, report) => {
                    // What was sent on a connection that is gone does not arrive.
                    let there = doors[n].links.get(&lender) == Some(&conn) && doors[n].life == life;
                    if !there || now < doors[n].cut || now < lenders[lender].2 {
                        continue;
                    }
                    let name = format!("door-{n}");
                    lenders[lender].1.insert(name.clone());
                    let tenants = TENANTS.iter().map(|(name, _, _)| *name);
                    for (to, lent) in lenders[lender].0.report(now, &name, life, &report, tenants) {
                        let to: usize = to.trim_start_matches("door-").parse().expect("a door");
                        // To the latest connection, which may be another life's than the one that is meant.
                        let Some(conn) = doors[to].links.get(&lender).copied() else { continue };
                        let at = order(conn, false, now + draw() * 20.0);
                        mail.push((at, Mail::Lent(to, lender, conn, lent)));
                    }
                }
                Mail::Lent(n, lender, conn, lent) => {
                    if doors[n].links.get(&lender) == Some(&conn) && now >= doors[n].cut {
                        let _ = doors[n].purse.lent(now, &lender.to_string(), &lent);
                    }
                }
            }
        }
        for (t, (tenant, rate, burst)) in TENANTS.iter().enumerate() {
            let all: f64 = doors.iter().map(|door| door.purse.part(now, tenant)).sum();
            assert!(all <= 1.0 + 1e-6, "seed {seed}: {all} of {tenant} is held at {now}");
            for (lender, (it, _, _)) in lenders.iter().enumerate() {
                let limit = WHOLE / lenders_there as u32;
                assert!(it.out(tenant) <= limit, "seed {seed}: lender {lender} is over its limit");
            }
            for door in doors.iter_mut().filter(|door| now >= door.down) {
                let part = door.purse.part(now, tenant);
                door.tenants.hold(now, tenant, quota(&bounds, *rate, *burst, part, 500.0));
                let mut due = door.asks[t] * 0.01;
                while due > draw() {
                    due -= 1.0;
                    let held = quota(&bounds, *rate, *burst, part, 500.0);
                    // It runs once its token is there, whatever becomes of the loan meanwhile.
                    if let Ok(wait) = door.tenants.arrived(now, tenant, 1.0, held) {
                        runs[t].push_back(now + wait);
                        served += 1;
                    }
                }
            }
            let window = bounds.quota_window_s * 1000.0;
            runs[t].retain(|at| *at > now - window);
            let most =
                (rate * bounds.quota_window_s + burst) * (1.0 + bounds.quota_overshoot) + bounds.quota_slack;
            let ran = runs[t].iter().filter(|at| **at <= now).count() as f64;
            assert!(ran <= most, "seed {seed}: {ran} runs of {tenant} in a window of {most} at {now}");
        }
    }
    assert!(served > 200, "seed {seed}: hardly anything was let in");
}

#[test]
fn what_is_lent_never_adds_up_to_more_than_the_quota() {
    for seed in 0..100 {
        println!("seed {seed}");
        day(seed);
    }
}

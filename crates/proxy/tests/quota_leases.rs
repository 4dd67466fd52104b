//! Doors and lenders over a played network: reports and answers are late, lost, or lost with their connection; what an earlier
//! connection or life of a door has left behind comes late; doors are cut off, die and come back; lenders die and come back, with
//! their disk or without it, are frozen, cut off from the doors or from the other exchanges, and go on meanwhile; members join, go and are
//! replaced, also those that are cut off or frozen just then. Steady clocks run apart by two in a hundred at most. Whatever
//! happens, what is held adds up to the whole at most, so does what the lenders count as out, and in no window do all doors together
//! let in more than the quota's bound. Seeds are printed.

use maplefall_node_settings::Bounds;
use maplefall_policy::Tenants;
use maplefall_proxy::quota;
use maplefall_quota_lease::{
    membership_lease_valid, ClientId, Demand, LeaseClient, LeaseGrant, LeaseRequest, LeaseServer,
    OwnedSlots, SlotEvent, Slots, CLOCK_SKEW, LEASE_DURATION, WHOLE_QUOTA_PPM,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const TENANTS: [(&str, f64, f64); 3] = [
    ("large", 94.0, 94.0),
    ("small", 6.0, 6.0),
    ("odd", 20.0, 0.0),
];
/// How long a day is, ms.
const DAY: f64 = 75_000.0;
/// A leader that has been replaced may go on for this long, and its followers with it.
const DEPOSED: f64 = 1000.0;

type Members = BTreeSet<String>;

struct Door {
    purse: LeaseClient,
    tenants: Tenants<&'static str>,
    life: u64,
    /// Which lenders it is connected to, each connection by its number.
    links: BTreeMap<usize, u64>,
    down: f64,
    cut: f64,
    /// How fast its steady clock runs.
    rate: f64,
    /// Requests a second for each tenant.
    asks: [f64; 3],
}

/// What the exchanges have agreed on: the members, by the index of each entry that changed them, from the first.
struct Agreed {
    losses: u32,
    entries: Vec<(u64, Members)>,
}

impl Agreed {
    /// The slots as they follow from the first entries, so many.
    fn slots(&self, entries: usize) -> Slots {
        let (index, first) = &self.entries[0];
        let mut slots = Slots::initial(first, self.losses, *index, false);
        for (index, members) in &self.entries[1..entries] {
            slots.reassign(members, *index);
        }
        slots
    }

    fn members(&self) -> &Members {
        &self.entries[self.entries.len() - 1].1
    }

    fn agree(&mut self, members: Members) {
        let index = self.entries[self.entries.len() - 1].0 + 1;
        self.entries.push((index, members));
    }
}

/// What is on an exchange's disk.
#[derive(Clone, Default)]
struct Disk {
    names: BTreeSet<String>,
    known: bool,
    waited: BTreeSet<u64>,
    /// How many entries are folded; nought for a disk that came empty.
    folded: usize,
}

/// One life of an exchange.
struct Life {
    shares: OwnedSlots,
    lender: LeaseServer,
    born: f64,
    /// How many entries are applied.
    applied: usize,
    contact: f64,
}

struct Exchange {
    name: String,
    /// How fast its steady clock runs.
    rate: f64,
    disk: Disk,
    life: Option<Life>,
    /// Starts then; never, where it is gone for good or not there yet.
    starts: f64,
    frozen: f64,
    /// Cut off from the other exchanges, since when and until when.
    alone: (f64, f64),
    /// Cut off from the doors until then.
    away: f64,
    /// It ends once more then, and comes back with its disk.
    again: f64,
}

impl Exchange {
    fn clock(&self, now: f64) -> f64 {
        now * self.rate
    }

    fn runs(&self, now: f64) -> bool {
        self.life.is_some() && now >= self.frozen
    }

    fn start(&mut self, now: f64, life: u32, agreed: &Agreed) {
        let clock = self.clock(now);
        let known = self.disk.known.then(|| self.disk.names.clone());
        let lender = LeaseServer::new(clock, life, 0, known);
        let slots = if self.disk.folded > 0 {
            agreed.slots(self.disk.folded)
        } else {
            Slots::default()
        };
        let (shares, _) = OwnedSlots::new(clock, &self.name, slots, self.disk.waited.clone());
        let mut life = Life {
            shares,
            lender,
            born: clock,
            applied: self.disk.folded,
            contact: f64::NEG_INFINITY,
        };
        assert!(life.lender.set_limit(life.shares.limit()).is_empty());
        self.life = Some(life);
    }

    /// It hears of what is agreed, up to the entry of this number; tells what doors are to be told.
    fn apply(
        &mut self,
        now: f64,
        agreed: &Agreed,
        to: usize,
        written: bool,
    ) -> Vec<(String, LeaseGrant)> {
        let clock = self.clock(now);
        let mut told = Vec::new();
        let Some(life) = &mut self.life else {
            return told;
        };
        let mut turns = Vec::new();
        if life.applied == 0 {
            // It gets a whole state first.
            life.applied = to;
            turns.extend(life.shares.install(clock, agreed.slots(to)));
        }
        while life.applied < to {
            let (index, members) = &agreed.entries[life.applied];
            turns.extend(life.shares.members_changed(clock, members, *index));
            life.applied += 1;
        }
        turns.extend(life.shares.tick(clock));
        for turn in turns {
            if let (SlotEvent::WaitOver(since), true) = (turn, written) {
                self.disk.waited.insert(since);
            }
        }
        told.extend(life.lender.set_limit(life.shares.limit()));
        if clock - life.born >= LEASE_DURATION + CLOCK_SKEW {
            self.disk.known = true;
        }
        told
    }
}

enum Mail {
    /// From a door, to a lender in this life, on this connection, from the door's life.
    Report(usize, usize, u32, u64, u64, LeaseRequest),
    Lent(usize, usize, u64, LeaseGrant),
}

fn day(seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut draw = move || f64::from(rng.next_u32()) / 4_294_967_296.0;
    let bounds = Bounds::default();
    let doors_there = 2 + (draw() * 9.0) as usize;
    // Three are told of at the first start; where two may be lost there are five, and the others join then.
    let losses = if draw() < 0.4 { 2 } else { 1 };
    let mut rates: Vec<f64> = (0..32).map(|_| 0.99 + draw() * 0.02).collect();
    let mut fresh = |life: u32, full: bool| Door {
        purse: LeaseClient::new(u64::from(life)),
        tenants: Tenants::new(full),
        life: u64::from(life),
        links: BTreeMap::new(),
        down: 0.0,
        cut: 0.0,
        rate: rates.pop().unwrap_or(1.0),
        asks: [0.0; 3],
    };
    let mut doors: Vec<Door> = (0..doors_there)
        .map(|n| fresh(n as u32 + 1, true))
        .collect();
    // Machines: the first three, those that join, and those that replace others.
    let mut exchanges: Vec<Exchange> = (0..9)
        .map(|n| Exchange {
            name: format!("10.0.0.{n}"),
            rate: 0.99 + draw() * 0.02,
            disk: Disk::default(),
            life: None,
            starts: f64::INFINITY,
            frozen: 0.0,
            alone: (0.0, 0.0),
            away: 0.0,
            again: f64::INFINITY,
        })
        .collect();
    let first: Members = (0..3).map(|n| exchanges[n].name.clone()).collect();
    let mut agreed = Agreed {
        losses,
        entries: vec![(0, first)],
    };
    let (mut lives, mut conns, mut served) = (100_u32, 0_u64, 0_u64);
    for exchange in &mut exchanges[..3] {
        exchange.disk = Disk {
            known: true,
            folded: 1,
            ..Disk::default()
        };
        exchange.start(0.0, lives, &agreed);
        lives += 1;
    }
    let mut next = 3;
    let mut joins: Vec<f64> = Vec::new();
    if losses == 2 {
        joins = vec![200.0 + draw() * 3000.0, 200.0 + draw() * 3000.0];
    }
    let mut mail: Vec<(f64, Mail)> = Vec::new();
    // A connection keeps its order: when the last thing comes on it, each way.
    let mut last: BTreeMap<(u64, bool), f64> = BTreeMap::new();
    let mut order = move |conn: u64, up: bool, at: f64| {
        let earliest = last.entry((conn, up)).or_insert(at);
        *earliest = earliest.max(at);
        *earliest
    };
    let mut runs: Vec<VecDeque<f64>> = vec![VecDeque::new(); TENANTS.len()];
    let mut lives_of: BTreeMap<(u64, usize), u32> = BTreeMap::new();
    let mut now = 0.0;
    while now < DAY {
        now += 10.0;
        // Troubles, and demand that moves about.
        if draw() < 0.003 {
            let hit = (draw() * doors.len() as f64) as usize;
            match (draw() * 6.0) as u32 {
                0 => {
                    lives += 1;
                    doors[hit] = Door {
                        down: now + draw() * 2000.0,
                        rate: doors[hit].rate,
                        ..fresh(lives, false)
                    };
                }
                1 => doors[hit].cut = now + draw() * 15_000.0,
                2 => {
                    for door in &mut doors {
                        if draw() > 0.6 {
                            continue;
                        }
                        lives += 1;
                        *door = Door {
                            down: now + draw() * 2000.0,
                            rate: door.rate,
                            ..fresh(lives, false)
                        };
                    }
                }
                3 => {
                    // A planned stop: it gives back, and comes again at once.
                    let clock = now * doors[hit].rate;
                    for (lender, conn) in doors[hit].links.clone() {
                        let report =
                            doors[hit]
                                .purse
                                .next_request(clock, &lender.to_string(), Vec::new());
                        let report = LeaseRequest {
                            release: true,
                            ..report
                        };
                        let at = order(
                            conn,
                            true,
                            now + draw() * if draw() < 0.3 { 3000.0 } else { 20.0 },
                        );
                        let to = lives_of.get(&(conn, lender)).copied().unwrap_or(0);
                        mail.push((
                            at,
                            Mail::Report(hit, lender, to, conn, doors[hit].life, report),
                        ));
                    }
                    lives += 1;
                    doors[hit] = Door {
                        down: now + draw() * 500.0,
                        rate: doors[hit].rate,
                        ..fresh(lives, false)
                    };
                }
                _ => {
                    let lender = (draw() * exchanges.len() as f64) as usize;
                    doors[hit].links.remove(&lender);
                }
            }
        }
        if draw() < 0.003 {
            let members: Vec<usize> = (0..exchanges.len())
                .filter(|n| agreed.members().contains(&exchanges[*n].name))
                .collect();
            let hit = members[(draw() * members.len() as f64) as usize];
            match (draw() * 9.0) as u32 {
                // It ends and comes back, with its disk or without it.
                0 | 1 => {
                    let lost = draw() < 0.4;
                    let it = &mut exchanges[hit];
                    it.life = None;
                    it.starts = now + draw() * 3000.0;
                    if lost {
                        it.disk = Disk::default();
                        it.again = it.starts + 500.0 + draw() * 6000.0;
                    } else if draw() < 0.5 {
                        it.disk.folded = it.disk.folded.max(1);
                    }
                }
                2 => exchanges[hit].frozen = now + draw() * 25_000.0,
                3 => exchanges[hit].alone = (now, now + draw() * 25_000.0),
                4 => exchanges[hit].away = now + draw() * 8000.0,
                // Taken out, or replaced in one step: it has gone for good, or is cut off or frozen and goes on.
                5..=7 if next < exchanges.len() || draw() < 0.5 => {
                    match (draw() * 4.0) as u32 {
                        0 => (exchanges[hit].life, exchanges[hit].starts) = (None, f64::INFINITY),
                        1 => exchanges[hit].frozen = now + 2000.0 + draw() * 25_000.0,
                        2 => exchanges[hit].alone = (now, now + 10_000.0 + draw() * 30_000.0),
                        // It runs and can be reached: it may hear of it or not, and be taken in again soon.
                        _ => joins.push(now + draw() * 20_000.0),
                    }
                    let mut members = agreed.members().clone();
                    members.remove(&exchanges[hit].name);
                    if next < exchanges.len() && (members.len() < 2 || draw() < 0.8) {
                        members.insert(exchanges[next].name.clone());
                        exchanges[next].start(now, lives, &agreed);
                        lives += 1;
                        next += 1;
                    }
                    if !members.is_empty() {
                        agreed.agree(members);
                    }
                }
                // One more, or one of those that were taken out comes back.
                _ => joins.push(now),
            }
        }
        let due = joins.iter().filter(|at| **at <= now).count();
        joins.retain(|at| *at > now);
        for _ in 0..due {
            let mut members = agreed.members().clone();
            let out = (0..next).find(|n| {
                let it = &exchanges[*n];
                !members.contains(&it.name) && it.runs(now) && now >= it.alone.1 && draw() < 0.5
            });
            let joiner = out.or_else(|| {
                (next < exchanges.len()).then(|| {
                    exchanges[next].start(now, lives, &agreed);
                    lives += 1;
                    next += 1;
                    next - 1
                })
            });
            if let Some(joiner) = joiner.filter(|_| members.len() < 6) {
                members.insert(exchanges[joiner].name.clone());
                agreed.agree(members);
            }
        }
        // What the exchanges hear of one another.
        for (n, it) in exchanges.iter_mut().enumerate() {
            if it.life.is_some() && now >= it.again {
                (it.life, it.starts, it.again) = (None, now + draw() * 300.0, f64::INFINITY);
            }
            if it.life.is_none() && now >= it.starts && next > n {
                it.starts = f64::INFINITY;
                it.start(now, lives, &agreed);
                lives += 1;
            }
            if !it.runs(now) {
                continue;
            }
            let there = agreed.entries.len();
            let member = agreed.members().contains(&it.name);
            let cut = now >= it.alone.0 && now < it.alone.1;
            let (spoken, heard) = (draw() < 0.05, draw() < 0.7);
            let applied = it.life.as_ref().map_or(0, |life| life.applied);
            // A member hears all; whoever was taken out may not hear of that.
            let to = if !cut && spoken && (member || heard) {
                there
            } else {
                applied
            };
            let clock = it.clock(now);
            if to > 0 {
                let told = it.apply(now, &agreed, to, draw() < 0.9);
                if draw() < 0.01 {
                    it.disk.folded = to;
                }
                for (door, lent) in told {
                    let to: usize = door.trim_start_matches("door-").parse().expect("a door");
                    let Some(conn) = doors[to].links.get(&n).copied() else {
                        continue;
                    };
                    mail.push((
                        order(conn, false, now + draw() * 20.0),
                        Mail::Lent(to, n, conn, lent),
                    ));
                }
            }
            // Followers of a leader that has been replaced since the cut may not know for a while.
            let led = !cut || now < it.alone.0 + DEPOSED;
            if let Some(life) = it
                .life
                .as_mut()
                .filter(|life| led && spoken && life.applied > 0)
            {
                let counted = agreed.entries[life.applied - 1].1.contains(&it.name);
                if (cut || life.applied == there) && counted {
                    life.contact = clock;
                }
            }
        }
        if draw() < 0.01 {
            for door in &mut doors {
                let hot = if draw() < 0.2 { 8.0 } else { 1.0 };
                door.asks = [draw() * 12.0 * hot, draw() * 2.0 * hot, draw() * 6.0 * hot];
            }
        }
        for (n, door) in doors
            .iter_mut()
            .enumerate()
            .filter(|(_, door)| now >= door.down)
        {
            let clock = now * door.rate;
            for (lender, it) in exchanges.iter().enumerate() {
                let Some(life) = &it.life else {
                    door.links.remove(&lender);
                    continue;
                };
                let away = now < door.cut || now < it.away;
                if (away || now < it.frozen) && draw() < 0.01 {
                    door.links.remove(&lender);
                }
                // One that is frozen still has a queue for new connections.
                if !away && !door.links.contains_key(&lender) && draw() < 0.1 {
                    conns += 1;
                    door.links.insert(lender, conns);
                    lives_of.insert((conns, lender), life.lender.life());
                    door.purse.connected(&lender.to_string());
                }
                let Some(conn) = door.links.get(&lender).copied() else {
                    continue;
                };
                if lives_of.get(&(conn, lender)) != Some(&life.lender.life()) {
                    door.links.remove(&lender);
                    continue;
                }
                if draw() < 0.03 {
                    let demand = door.tenants.demand(now);
                    let demand = demand.map(|(who, rate)| Demand {
                        tenant: (*who).to_owned(),
                        milli_rps: (rate * 1000.0) as u32,
                        starved: draw() < 0.3,
                    });
                    let report =
                        door.purse
                            .next_request(clock, &lender.to_string(), demand.collect());
                    if !away {
                        let at = now + draw() * if draw() < 0.05 { 3000.0 } else { 20.0 };
                        let at = order(conn, true, at);
                        let to = life.lender.life();
                        mail.push((at, Mail::Report(n, lender, to, conn, door.life, report)));
                    }
                }
            }
        }
        let frozen: Vec<bool> = exchanges.iter().map(|it| now < it.frozen).collect();
        let (mut come, wait): (Vec<_>, Vec<_>) = mail.into_iter().partition(|(at, one)| {
            let waits = matches!(one, Mail::Report(_, lender, ..) if frozen[*lender]);
            *at <= now && !waits
        });
        mail = wait;
        // What waited for one that was frozen: by connections in any order, each in its own.
        if draw() < 0.5 {
            come.sort_by_key(|(_, one)| match one {
                Mail::Report(_, _, _, conn, ..) | Mail::Lent(_, _, conn, _) => u64::MAX - conn,
            });
        }
        for (_, one) in come {
            match one {
                Mail::Report(n, lender, to, conn, from, report) => {
                    // It arrives, also if its door has gone since; not at another life of the lender.
                    let it = &mut exchanges[lender];
                    let clock = it.clock(now);
                    let Some(life) = it.life.as_mut().filter(|life| life.lender.life() == to)
                    else {
                        continue;
                    };
                    if now < doors[n].cut || now < it.away {
                        continue;
                    }
                    if !membership_lease_valid(clock, life.contact) && !report.release {
                        continue;
                    }
                    let name = format!("door-{n}");
                    if !report.release {
                        it.disk.names.insert(name.clone());
                    }
                    let tenants = TENANTS.iter().map(|(name, _, _)| *name);
                    let caller = ClientId {
                        name: &name,
                        incarnation: from,
                        connection: conn,
                    };
                    for (to, lent) in life.lender.handle_request(clock, caller, &report, tenants) {
                        let to: usize = to.trim_start_matches("door-").parse().expect("a door");
                        // To the latest connection, which may be another life's than the one that is meant.
                        let Some(conn) = doors[to].links.get(&lender).copied() else {
                            continue;
                        };
                        let at = order(conn, false, now + draw() * 20.0);
                        mail.push((at, Mail::Lent(to, lender, conn, lent)));
                    }
                }
                Mail::Lent(n, lender, conn, lent) => {
                    if doors[n].links.get(&lender) == Some(&conn) && now >= doors[n].cut {
                        let clock = now * doors[n].rate;
                        let _ = doors[n]
                            .purse
                            .handle_grant(clock, &lender.to_string(), &lent);
                    }
                }
            }
        }
        for (t, (tenant, rate, burst)) in TENANTS.iter().enumerate() {
            let all: f64 = doors
                .iter()
                .map(|door| door.purse.fraction(now * door.rate, tenant))
                .sum();
            assert!(
                all <= 1.0 + 1e-6,
                "seed {seed}: {all} of {tenant} is held at {now}"
            );
            let lent = exchanges
                .iter()
                .filter_map(|it| Some((it.clock(now), it.life.as_ref()?)));
            let out: u32 = lent
                .map(|(clock, life)| life.lender.outstanding_at(clock, tenant))
                .sum();
            assert!(
                out <= WHOLE_QUOTA_PPM,
                "seed {seed}: {out} of {tenant} is out at {now}"
            );
            for door in doors.iter_mut().filter(|door| now >= door.down) {
                let part = door.purse.fraction(now * door.rate, tenant);
                door.tenants
                    .hold(now, tenant, quota(&bounds, *rate, *burst, part, 500.0));
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
            let most = (rate * bounds.quota_window_s + burst) * (1.0 + bounds.quota_overshoot)
                + bounds.quota_slack;
            let ran = runs[t].iter().filter(|at| **at <= now).count() as f64;
            assert!(
                ran <= most,
                "seed {seed}: {ran} runs of {tenant} in a window of {most} at {now}"
            );
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

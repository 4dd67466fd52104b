//! Who lends.

use crate::*;
use std::collections::{BTreeMap, BTreeSet};

/// Part of a quota that is dealt evenly, whoever asks.
const EVEN: f64 = 0.25;
/// Requests a second that each door is taken to be asked beside what it tells: where a door is asked about this much or less, what it
/// was asked of late says next to nothing about its next request, and loans that follow it only move to and fro.
const SUPPOSED: f64 = 1.0;
/// Changes below this part of the whole, and below this part of the loan, are not worth a word.
const COARSE: f64 = 0.004;
const COARSE_PART: f64 = 0.08;
/// Doors at most: more are lent nothing.
const MOST_DOORS: usize = 2048;
/// For this long a new life of a door is taken to be asked what the one before was asked.
const INHERITS: Millis = 2000.0;

/// A loan of one tenant's quota to one door.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Out {
    /// The last that was said.
    said: u32,
    /// The highest that the door may go by.
    most: u32,
    /// Number of the answer that said it.
    number: u64,
}

#[derive(Clone, Debug)]
struct Door {
    life: u64,
    /// Its latest connection.
    conn: u64,
    /// Whether it knows this life of the lender.
    knows: bool,
    /// When all that it holds has run out.
    until: Millis,
    loans: BTreeMap<String, Out>,
    demand: BTreeMap<String, f64>,
    /// What the life before was asked, and until when that counts.
    inherited: (BTreeMap<String, f64>, Millis),
    confirmed: u64,
    /// Its last report.
    report: u64,
    /// Doors that there were when all its loans were balanced last.
    among: usize,
}

impl Door {
    fn asks(&self, now: Millis, tenant: &str) -> f64 {
        let own = self.demand.get(tenant).copied().unwrap_or(0.0);
        let before = self
            .inherited
            .0
            .get(tenant)
            .filter(|_| now < self.inherited.1);
        own.max(before.copied().unwrap_or(0.0))
    }
}

/// Which door reports.
#[derive(Clone, Copy, Debug)]
pub struct ClientId<'a> {
    /// The door's name.
    pub name: &'a str,
    /// Its life.
    pub incarnation: u64,
    /// Number of its connection to this life of the lender: later ones have higher numbers.
    pub connection: u64,
}

/// Who lends parts of one share of every quota.
#[derive(Clone, Debug)]
pub struct LeaseServer {
    life: u32,
    /// Number of the last answer to anybody.
    answered: u64,
    /// Parts per million of each quota that are this lender's to lend.
    limit: u32,
    client_count: BTreeMap<String, Door>,
    /// Doors that may hold what this lender does not know of, and until when.
    unknown: BTreeSet<String>,
    /// Whether there may be others than those.
    unnamed: bool,
    unknown_until: Millis,
    /// Whether the last report found that so.
    doubted: bool,
}

impl LeaseServer {
    /// A lender of `limit` parts per million, in a life with this number that is never nought. `lent_to` are the doors that earlier
    /// lives have lent to, `None` if that is not known; the last of them ended before `now`.
    pub fn new(
        now: Millis,
        incarnation: u32,
        limit: u32,
        lent_to: Option<BTreeSet<String>>,
    ) -> LeaseServer {
        LeaseServer {
            life: incarnation,
            answered: 0,
            limit,
            client_count: BTreeMap::new(),
            unnamed: lent_to.is_none(),
            unknown: lent_to.unwrap_or_default(),
            unknown_until: now + LEASE_DURATION + CLOCK_SKEW,
            doubted: true,
        }
    }

    /// What may be lent from now on. Growing takes effect with the next reports. If it shrinks, every loan shrinks by as much; doors
    /// are to be told what is returned. Nothing above that is prolonged by any answer that comes after.
    pub fn set_limit(&mut self, limit: u32) -> Vec<(String, LeaseGrant)> {
        let before = std::mem::replace(&mut self.limit, limit);
        if limit >= before {
            if limit > before {
                self.deal_anew();
            }
            return Vec::new();
        }
        let count = self.client_count.len() as u32;
        let mut told = Vec::new();
        for (name, door) in &mut self.client_count {
            self.answered += 1;
            let mut loans = Vec::new();
            for (tenant, loan) in &mut door.loans {
                loan.said = (u64::from(loan.said) * u64::from(limit) / u64::from(before)) as u32;
                loan.number = self.answered;
                loans.push(Lease {
                    tenant: tenant.clone(),
                    ppm: loan.said,
                });
            }
            let (number, report, life) = (self.answered, door.report, door.life);
            let lent = LeaseGrant {
                sequence: number,
                request: report,
                leases: loans,
                client_count: count,
                client_incarnation: life,
                server_incarnation: self.life,
            };
            told.push((name.clone(), lent));
        }
        told
    }

    /// This life.
    pub fn life(&self) -> u32 {
        self.life
    }

    /// There is more to lend than there was: all tenants are balanced at the next report of every door.
    fn deal_anew(&mut self) {
        self.client_count
            .values_mut()
            .for_each(|door| door.among = 0);
    }

    /// What may be lent, in parts per million.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Doors that are known.
    pub fn doors(&self) -> usize {
        self.client_count.len()
    }

    /// Whether a door of this name may hold anything: what this life has lent to it, or an earlier one that is known by name.
    pub fn may_hold_lease(&self, now: Millis, name: &str) -> bool {
        let earlier = now < self.unknown_until && self.unknown.contains(name);
        earlier
            || self
                .client_count
                .get(name)
                .is_some_and(|door| now < door.until)
    }

    /// Whether what earlier lives have lent may still be out.
    pub fn recovering(&self, now: Millis) -> bool {
        now < self.unknown_until && (self.unnamed || !self.unknown.is_empty())
    }

    /// Takes in a door's report; `tenants` are all that have a quota. Returns the answer, which is the first, and what other
    /// doors are to be told: what they must give back, because this one lacks it, or what they get of what came back. What an
    /// earlier life or connection of the door has left behind is passed over.
    pub fn handle_request<'a>(
        &mut self,
        now: Millis,
        caller: ClientId<'_>,
        report: &LeaseRequest,
        tenants: impl Iterator<Item = &'a str>,
    ) -> Vec<(String, LeaseGrant)> {
        let ClientId {
            name,
            incarnation: life,
            connection: conn,
        } = caller;
        self.client_count.retain(|_, door| now < door.until);
        if let Some(door) = self.client_count.get(name) {
            let same = door.life == life;
            if conn < door.conn
                || (same && report.sequence <= door.report)
                || (!same && conn == door.conn)
            {
                return Vec::new();
            }
        }
        let confirmed = if report.server_incarnation == self.life {
            report.acknowledged
        } else {
            0
        };
        if report.release {
            self.client_count.remove(name);
            self.unknown.remove(name);
            return Vec::new();
        }
        if self
            .client_count
            .get(name)
            .is_none_or(|door| door.life != life)
        {
            if self.client_count.len() >= MOST_DOORS && !self.client_count.contains_key(name) {
                self.answered += 1;
                let (number, lender) = (self.answered, self.life);
                let lent = LeaseGrant {
                    sequence: number,
                    request: report.sequence,
                    client_incarnation: life,
                    server_incarnation: lender,
                    ..LeaseGrant::default()
                };
                return vec![(name.to_owned(), lent)];
            }
            self.begin(now, caller, report);
        }
        self.unknown.remove(name);
        let Some(door) = self.client_count.get_mut(name) else {
            return Vec::new();
        };
        door.until = now + LEASE_DURATION + CLOCK_SKEW;
        (door.conn, door.report, door.confirmed) = (conn, report.sequence, confirmed);
        door.knows = report.server_incarnation == self.life;
        let demand = report
            .demand
            .iter()
            .map(|d| (d.tenant.clone(), f64::from(d.milli_rps) / 1000.0));
        let before = std::mem::replace(&mut door.demand, demand.collect());
        let short: BTreeSet<String> = report
            .demand
            .iter()
            .filter(|d| d.starved)
            .map(|d| d.tenant.clone())
            .collect();
        let mut freed = BTreeSet::new();
        for (tenant, loan) in door
            .loans
            .iter_mut()
            .filter(|(_, loan)| loan.number <= confirmed)
        {
            if loan.most > loan.said {
                freed.insert(tenant.clone());
            }
            loan.most = loan.said;
        }
        let doubt = self.recovering(now);
        if std::mem::replace(&mut self.doubted, doubt) && !doubt {
            self.deal_anew();
        }
        let there = self.client_count.len();
        let others_came = self
            .client_count
            .get_mut(name)
            .is_some_and(|door| std::mem::replace(&mut door.among, there) != there);
        let mut changed: BTreeMap<String, Vec<Lease>> =
            BTreeMap::from([(name.to_owned(), Vec::new())]);
        for tenant in tenants {
            let news = freed.contains(tenant) || before.contains_key(tenant);
            let asked = self
                .client_count
                .get(name)
                .is_some_and(|door| door.asks(now, tenant) > 0.0);
            let unheard = self
                .client_count
                .get(name)
                .is_some_and(|door| !door.loans.contains_key(tenant));
            if report.full || news || asked || unheard || others_came {
                let lacks = short.contains(tenant) || others_came || unheard;
                let why = (doubt, freed.contains(tenant), lacks);
                self.balance(now, name, tenant, why, &mut changed);
            }
        }
        let count = self.client_count.len() as u32;
        let mut answers = Vec::new();
        for (to, loans) in changed {
            let Some(door) = self.client_count.get_mut(&to) else {
                continue;
            };
            let mine = to == name;
            // What was said and is not confirmed is said again.
            let again = |loan: &Out| mine && (loan.number > confirmed || report.full);
            let mut all: BTreeMap<String, u32> = door
                .loans
                .iter()
                .filter(|(_, loan)| again(loan))
                .map(|(t, l)| (t.clone(), l.said))
                .collect();
            all.extend(loans.into_iter().map(|loan| (loan.tenant, loan.ppm)));
            if all.is_empty() && !mine {
                continue;
            }
            self.answered += 1;
            let number = self.answered;
            for tenant in all.keys() {
                door.loans
                    .entry(tenant.clone())
                    .and_modify(|loan| loan.number = number);
            }
            let loans = all
                .into_iter()
                .map(|(tenant, parts)| Lease { tenant, ppm: parts })
                .collect();
            let (report, life) = (door.report, door.life);
            let lender = if door.knows { 0 } else { self.life };
            let lent = LeaseGrant {
                sequence: number,
                request: report,
                leases: loans,
                client_count: count,
                client_incarnation: life,
                server_incarnation: lender,
            };
            if mine {
                answers.insert(0, (to, lent));
            } else {
                answers.push((to, lent));
            }
        }
        answers
    }

    /// A new life of a door: what an earlier one held is over with it, and what it says that it holds is confirmed.
    fn begin(
        &mut self,
        now: Millis,
        ClientId {
            name,
            incarnation: life,
            connection: conn,
        }: ClientId<'_>,
        report: &LeaseRequest,
    ) {
        let inherited = self
            .client_count
            .remove(name)
            .map(|door| door.demand)
            .unwrap_or_default();
        let mut door = Door {
            life,
            conn,
            knows: false,
            until: now,
            loans: BTreeMap::new(),
            demand: BTreeMap::new(),
            inherited: (inherited, now + INHERITS),
            confirmed: 0,
            report: 0,
            among: 0,
        };
        for loan in report.leases.iter().filter(|_| report.full) {
            // A report may be long under way: what has run out meanwhile may be lent to others.
            let parts = loan
                .ppm
                .min(self.limit.saturating_sub(self.out(&loan.tenant)));
            door.loans.insert(
                loan.tenant.clone(),
                Out {
                    said: parts,
                    most: parts,
                    number: 0,
                },
            );
        }
        self.client_count.insert(name.to_owned(), door);
    }

    /// Brings one tenant's loans nearer to what is asked. The door that reports is brought there as far as there is room. What
    /// others hold is taken back only where it lacks that: with a loan goes what its bucket holds, and demand moves to and fro.
    fn balance(
        &mut self,
        now: Millis,
        name: &str,
        tenant: &str,
        (doubt, freed, lacks): (bool, bool, bool),
        changed: &mut BTreeMap<String, Vec<Lease>>,
    ) {
        let limit = f64::from(self.limit);
        let count = self.client_count.len().max(1) as f64;
        let even = 1.0 / count;
        let all: f64 = self
            .client_count
            .values()
            .map(|door| door.asks(now, tenant))
            .sum();
        let target = |door: &Door| {
            let share = (door.asks(now, tenant) + SUPPOSED) / (all + SUPPOSED * count);
            (limit * (EVEN * even + (1.0 - EVEN) * share)) as u32
        };
        let worth = |next: u32, said: u32| {
            let coarse = (COARSE * limit).max(COARSE_PART * f64::from(said.min(next)));
            f64::from(next.abs_diff(said)) > coarse
        };
        let mut outstanding = self.out(tenant);
        let lacks = self.client_count.get(name).is_some_and(|door| {
            let loan = door.loans.get(tenant).copied().unwrap_or_default();
            let free = if doubt {
                0
            } else {
                self.limit.saturating_sub(outstanding)
            };
            lacks && worth(target(door), loan.said) && target(door) > loan.most.saturating_add(free)
        });
        let mut tell = |to: &str, parts: u32| {
            let loan = Lease {
                tenant: tenant.to_owned(),
                ppm: parts,
            };
            changed.entry(to.to_owned()).or_default().push(loan);
        };
        // First who gives back: it counts as out until that is confirmed.
        for (to, door) in &mut self.client_count {
            let aim = target(door);
            let Some(loan) = door.loans.get_mut(tenant) else {
                continue;
            };
            if lacks && aim < loan.said && worth(aim, loan.said) {
                loan.said = aim;
                tell(to, aim);
            }
        }
        for (to, door) in &mut self.client_count {
            let aim = target(door);
            // A door that has never been told of a tenant is told when it reports.
            if to != name && !door.loans.contains_key(tenant) {
                continue;
            }
            let loan = door.loans.entry(tenant.to_owned()).or_default();
            let free = if doubt {
                0
            } else {
                self.limit.saturating_sub(outstanding)
            };
            // While more is out than may be, nobody gets back what is to be given back.
            let most = if outstanding > self.limit {
                loan.said
            } else {
                loan.most
            };
            let next = aim.min(most.saturating_add(free));
            if next > loan.said && worth(next, loan.said) && (freed || to == name) {
                outstanding += next.saturating_sub(loan.most);
                (loan.said, loan.most) = (next, loan.most.max(next));
                tell(to, next);
            }
        }
    }

    /// What is out of a tenant's quota at most, as of the last report.
    pub fn out(&self, tenant: &str) -> u32 {
        self.client_count
            .values()
            .filter_map(|door| Some(door.loans.get(tenant)?.most))
            .sum()
    }

    /// What is out of a tenant's quota at most, without what has run out by now.
    pub fn outstanding_at(&self, now: Millis, tenant: &str) -> u32 {
        let doors = self.client_count.values().filter(|door| now < door.until);
        doors
            .filter_map(|door| Some(door.loans.get(tenant)?.most))
            .sum()
    }
}

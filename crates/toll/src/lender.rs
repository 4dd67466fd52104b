//! Who lends.

use crate::*;
use std::collections::{BTreeMap, BTreeSet};

/// Part of a quota that is dealt evenly, whoever asks.
const EVEN: f64 = 0.25;
/// Changes below this part of the whole, and below this part of the loan, are not worth a word.
const COARSE: f64 = 0.004;
const COARSE_PART: f64 = 0.08;
/// Doors at most: more are lent nothing.
const MOST_DOORS: usize = 2048;

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
    /// When all that it holds has run out.
    until: Millis,
    loans: BTreeMap<String, Out>,
    demand: BTreeMap<String, f64>,
    answered: u64,
}

/// Who lends parts of one share of every quota.
#[derive(Clone, Debug)]
pub struct Lender {
    /// Parts per million of each quota that are this lender's to lend.
    limit: u32,
    doors: BTreeMap<String, Door>,
    /// Doors that may hold what this lender does not know of, and until when.
    unknown: BTreeSet<String>,
    /// Whether there may be others than those.
    unnamed: bool,
    unknown_until: Millis,
}

impl Lender {
    /// One of `lenders`. `lent_to` are the doors that an earlier life has lent to, `None` if that is not known.
    pub fn new(now: Millis, lenders: usize, lent_to: Option<BTreeSet<String>>) -> Lender {
        Lender {
            limit: WHOLE / lenders.max(1) as u32,
            doors: BTreeMap::new(),
            unnamed: lent_to.is_none(),
            unknown: lent_to.unwrap_or_default(),
            unknown_until: now + LASTS,
        }
    }

    /// So many lend from now on. Growing takes effect at once, and shrinking as loans are given back.
    pub fn set_lenders(&mut self, lenders: usize) {
        self.limit = WHOLE / lenders.max(1) as u32;
    }

    /// Doors that are known.
    pub fn doors(&self) -> usize {
        self.doors.len()
    }

    /// Whether a door has been lent to before; whoever keeps state writes its name down first.
    pub fn knows(&self, door: &str) -> bool {
        self.doors.contains_key(door)
    }

    /// Whether what earlier lives have lent may still be out.
    pub fn in_doubt(&self, now: Millis) -> bool {
        now < self.unknown_until && (self.unnamed || !self.unknown.is_empty())
    }

    /// Answers a door's report; `tenants` are all that have a quota.
    pub fn report<'a>(
        &mut self,
        now: Millis,
        name: &str,
        life: u64,
        report: &Report,
        tenants: impl Iterator<Item = &'a str>,
    ) -> Lent {
        self.doors.retain(|_, door| now < door.until);
        let fresh =
            |life| Door { life, until: now, loans: BTreeMap::new(), demand: BTreeMap::new(), answered: 0 };
        let known = self.doors.get(name).is_some_and(|door| door.life == life);
        if report.last {
            self.doors.remove(name);
            self.unknown.remove(name);
            return Lent::default();
        }
        if !known {
            if self.doors.len() >= MOST_DOORS && !self.doors.contains_key(name) {
                return Lent { report: report.number, ..Lent::default() };
            }
            // A new life: what an earlier one held is over with it.
            let mut door = fresh(life);
            let all: Vec<&Loan> = report.held.iter().filter(|_| report.first).collect();
            for loan in all {
                // A report may be long under way: what has run out meanwhile may be lent to others.
                let others = self.doors.iter().filter(|(n, _)| *n != name);
                let out: u32 = others.filter_map(|(_, d)| Some(d.loans.get(&loan.tenant)?.most)).sum();
                let parts = loan.parts.min(self.limit.saturating_sub(out));
                door.loans.insert(loan.tenant.clone(), Out { said: parts, most: parts, number: 0 });
            }
            self.doors.insert(name.to_owned(), door);
        }
        self.unknown.remove(name);
        let doubt = self.in_doubt(now);
        let count = self.doors.len();
        let Some(door) = self.doors.get_mut(name) else { return Lent::default() };
        door.until = now + LASTS;
        door.demand = report.demand.iter().map(|d| (d.tenant.clone(), f64::from(d.rate) / 1000.0)).collect();
        for loan in door.loans.values_mut().filter(|loan| loan.number <= report.confirmed) {
            loan.most = loan.said;
        }
        door.answered += 1;
        let number = door.answered;
        let mut loans = Vec::new();
        for tenant in tenants {
            let target = self.target(name, tenant, count);
            let others: u32 = self
                .doors
                .iter()
                .filter(|(n, _)| *n != name)
                .filter_map(|(_, d)| Some(d.loans.get(tenant)?.most))
                .sum();
            let limit = self.limit;
            let Some(door) = self.doors.get_mut(name) else { break };
            let loan = door.loans.entry(tenant.to_owned()).or_default();
            let free = if doubt { 0 } else { limit.saturating_sub(others.saturating_add(loan.most)) };
            let next = target.min(loan.most.saturating_add(free));
            let change = f64::from(next.abs_diff(loan.said));
            let coarse = (COARSE * f64::from(limit)).max(COARSE_PART * f64::from(loan.said.min(next)));
            if change > coarse {
                *loan = Out { said: next, most: loan.most.max(next), number };
            }
            if loan.number > report.confirmed || report.first {
                loans.push(Loan { tenant: tenant.to_owned(), parts: loan.said });
                loan.number = number;
            }
        }
        Lent { number, report: report.number, loans, doors: count as u32 }
    }

    /// What a door should have of a tenant: a part evenly, the rest by what is asked of each.
    fn target(&self, name: &str, tenant: &str, count: usize) -> u32 {
        let limit = f64::from(self.limit);
        let asks = |door: &Door| door.demand.get(tenant).copied().unwrap_or(0.0);
        let all: f64 = self.doors.values().map(asks).sum();
        let own = self.doors.get(name).map_or(0.0, asks);
        let even = 1.0 / count.max(1) as f64;
        let part = if all > 0.0 { EVEN * even + (1.0 - EVEN) * own / all } else { even };
        (limit * part) as u32
    }

    /// What is out of a tenant's quota at most; for tests and for the log.
    pub fn out(&self, tenant: &str) -> u32 {
        self.doors.values().filter_map(|door| Some(door.loans.get(tenant)?.most)).sum()
    }
}

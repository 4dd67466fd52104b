//! Who holds.

use crate::*;
use std::collections::{BTreeMap, VecDeque};

/// Reports without an answer that are remembered at most.
const MOST_ASKED: usize = 64;

/// What a door holds of one lender.
#[derive(Clone, Debug, Default)]
struct Held {
    loans: BTreeMap<String, u32>,
    until: Millis,
    reports: u64,
    confirmed: u64,
    /// The life of the lender at the other end; nought until it has answered on this connection.
    lender: u32,
    /// Number and time of reports that have no answer yet.
    asked: VecDeque<(u64, Millis)>,
    doors: u32,
}

/// What a door holds of all lenders.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    life: u64,
    held: BTreeMap<String, Held>,
}

impl LeaseClient {
    /// The purse of this life of a door.
    pub fn new(life: u64) -> LeaseClient {
        LeaseClient {
            life,
            held: BTreeMap::new(),
        }
    }

    /// There is a new connection to a lender, which may be a new life of it: answers that are under way are void.
    pub fn connected(&mut self, lender: &str) {
        let held = self.held.entry(lender.to_owned()).or_default();
        held.asked.clear();
        (held.confirmed, held.lender) = (0, 0);
    }

    /// The next report for a lender, sent now.
    pub fn next_request(&mut self, now: Millis, lender: &str, demand: Vec<Demand>) -> LeaseRequest {
        let held = self.held.entry(lender.to_owned()).or_default();
        if now >= held.until {
            held.loans.clear();
        }
        held.reports += 1;
        if held.asked.len() >= MOST_ASKED {
            held.asked.pop_front();
        }
        held.asked.push_back((held.reports, now));
        // Until an answer shows that it has come: a lender that is not in its lease passes reports over.
        let first = held.lender == 0;
        let loans = held.loans.iter().filter(|_| first);
        LeaseRequest {
            sequence: held.reports,
            acknowledged: held.confirmed,
            leases: loans
                .map(|(tenant, parts)| Lease {
                    tenant: tenant.clone(),
                    ppm: *parts,
                })
                .collect(),
            full: first,
            demand,
            release: false,
            server_incarnation: held.lender,
        }
    }

    /// A lender has answered, or says more on the same report. What has run out before is void, and does not come back with it.
    /// Tells whether it takes something back, and whether it lends more: the former is to be confirmed at once.
    pub fn handle_grant(&mut self, now: Millis, lender: &str, lent: &LeaseGrant) -> (bool, bool) {
        // What was lent to an earlier life is not lent to this one.
        let Some(held) = self
            .held
            .get_mut(lender)
            .filter(|_| lent.client_incarnation == self.life)
        else {
            return (false, false);
        };
        if now >= held.until {
            held.loans.clear();
        }
        let Some(at) = held
            .asked
            .iter()
            .find(|(number, _)| *number == lent.request)
            .map(|(_, at)| *at)
        else {
            return (false, false);
        };
        // Another life of the lender than the one that answered first here, or an answer that is older than what is known.
        let other = held.lender != 0
            && lent.server_incarnation != 0
            && held.lender != lent.server_incarnation;
        if other || lent.sequence <= held.confirmed {
            return (false, false);
        }
        if lent.server_incarnation != 0 {
            held.lender = lent.server_incarnation;
        }
        held.asked.retain(|(number, _)| *number >= lent.request);
        held.until = held.until.max(at + LEASE_DURATION);
        held.confirmed = lent.sequence;
        held.doors = lent.client_count;
        let (mut less, mut more) = (false, false);
        for loan in &lent.leases {
            let before = held
                .loans
                .insert(loan.tenant.clone(), loan.ppm)
                .unwrap_or(0);
            less |= loan.ppm < before;
            more |= loan.ppm > before;
        }
        (less, more)
    }

    /// The part of a tenant's quota that is held now, from nought to one.
    pub fn fraction(&self, now: Millis, tenant: &str) -> f64 {
        let held = self.held.values().filter(|held| now < held.until);
        let parts: u32 = held
            .filter_map(|held| held.loans.get(tenant))
            .fold(0, |a, b| a.saturating_add(*b));
        f64::from(parts.min(WHOLE_QUOTA_PPM)) / f64::from(WHOLE_QUOTA_PPM)
    }

    /// Doors that the lenders know of, at least one.
    pub fn client_count(&self) -> u32 {
        self.held
            .values()
            .map(|held| held.doors)
            .max()
            .unwrap_or(0)
            .max(1)
    }
}

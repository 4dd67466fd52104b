//! The status for operators, and its transfer in parts.

use super::Node;
use crate::members::Member;
use crate::status::{CustomerStatus, MemberStatus, Status};
use crate::wire::{Head, Kind, RejectReason, Section, Writer, MAX_DATAGRAM_BYTES};
use crate::{plan_and_customer, Customer, TAIL};
use maplefall_policy::Millis;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The maximum bytes of status text in one datagram.
const STATUS_PART_BYTES: usize = 1000;
/// The maximum number of customers in a requested status.
const STATUS_CUSTOMERS: usize = 50;

impl Node {
    /// Returns the status, with at most this many customers.
    pub fn status(&mut self, now: Millis, max_customers: usize) -> Status {
        self.freshness = None;
        let (as_of, nodes) = self.freshness(now);
        let mut totals = self.totals();
        let tail = totals.remove(&TAIL).unwrap_or(0);
        let stats = &self.stats;
        Status {
            name: self.local.name.clone(),
            incarnation: self.local.incarnation,
            nodes,
            members: self
                .peers
                .values()
                .map(|member| member_status(member, now))
                .collect(),
            customers: largest_customers(totals, max_customers),
            tail_units: tail as f64 / 1000.0,
            counts: self.count_len,
            staleness_ms: (now - as_of).max(0.0).round(),
            untracked_units: self.max_untracked_units(),
            datagrams_in: stats.received.datagrams,
            bytes_in: stats.received.bytes,
            datagrams_out: stats.sent.datagrams,
            bytes_out: stats.sent.bytes,
            unsent: stats.unsent,
            renumbered: stats.renumbered,
            rejected: stats.rejected.clone(),
        }
    }

    /// Returns the usage of each customer at all nodes in the kept epochs, in thousandths of a
    /// unit.
    fn totals(&self) -> BTreeMap<Customer, i64> {
        let mut totals = BTreeMap::new();
        for (_, incarnation) in self.all_members().flat_map(Member::incarnations) {
            for (_, customer, count) in incarnation.replica.counts() {
                *totals.entry(customer).or_default() += count.net();
            }
        }
        totals
    }

    /// Sends an operator the requested part of the status, if the request echoes the nonce of this
    /// process.
    pub(super) fn reply_to_status_request(
        &mut self,
        now: Millis,
        from: SocketAddr,
        head: &Head,
        sections: &[Section],
    ) -> Result<(), RejectReason> {
        if head.echo != self.nonce {
            self.send_hello(now, from, head.nonce);
            return Err(RejectReason::Unproven);
        }
        let part = sections
            .iter()
            .find_map(|section| match section {
                Section::StatusPart(part) => Some(*part as usize),
                _ => None,
            })
            .ok_or(RejectReason::Absurd)?;
        // All parts are of the status at the time of the first request.
        if part == 0 {
            let status = self.status(now, STATUS_CUSTOMERS);
            self.requested_status = status.json().into_bytes();
        }
        let parts = self.requested_status.len().div_ceil(STATUS_PART_BYTES);
        let text = self
            .requested_status
            .chunks(STATUS_PART_BYTES)
            .nth(part)
            .ok_or(RejectReason::Absurd)?
            .to_vec();
        let head = self.next_head(Kind::Told, head.nonce);
        let mut writer = Writer::new(&self.seal, &head, MAX_DATAGRAM_BYTES);
        writer.add(&Section::StatusText(parts as u32, text));
        self.send(now, from, writer);
        Ok(())
    }
}

fn member_status(member: &Member, now: Millis) -> MemberStatus {
    let current = &member.current;
    let staleness_ms = (now - current.as_of()).max(0.0).round();
    MemberStatus {
        name: member.name.clone(),
        address: member.address,
        state: member.state,
        incarnation: member.incarnation,
        former: member.former.len(),
        heartbeat_age_ms: (now - current.last_heartbeat).max(0.0).round(),
        staleness_ms: (current.complete_uptime > 0).then_some(staleness_ms),
        counts: member.count_len(),
    }
}

/// Returns the customers with the largest usage, the largest first.
fn largest_customers(totals: BTreeMap<Customer, i64>, max_customers: usize) -> Vec<CustomerStatus> {
    let mut totals: Vec<(Customer, i64)> = totals.into_iter().collect();
    totals.sort_by_key(|(quota, milli)| (Reverse(*milli), *quota));
    totals
        .into_iter()
        .take(max_customers)
        .map(|(quota, milli)| {
            let (plan, customer) = plan_and_customer(quota);
            CustomerStatus {
                customer,
                plan,
                units: milli as f64 / 1000.0,
            }
        })
        .collect()
}

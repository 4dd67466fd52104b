//! Checks of responses against all committed changes.

use super::{Activity, Amendment, Operators, SentCall, OPERATORS};
use crate::reference_model::{ReferenceModel, ValidationOutcome};
use maplefall_controller::core::CallResponse;
use maplefall_gateway_config::ItemSet;
use std::collections::BTreeSet;

impl Operators {
    /// Validates and records the changes that were committed since the last call.
    pub(super) fn record_commits(&mut self) {
        if self.initial.is_empty() || self.simulation.committed.len() == self.lengths.len() {
            return;
        }
        let last = self.lengths.last().map_or(0, |(index, _)| *index);
        for (index, change) in self.simulation.committed.range(last + 1..) {
            let outcome = self.committed.validate(change);
            assert_eq!(
                outcome,
                ValidationOutcome::Accepted,
                "committed at {index}: {change:?}"
            );
            self.committed.accept(change);
            self.lengths.push((*index, self.committed.0.len()));
        }
        assert_eq!(
            self.simulation.committed.len(),
            self.lengths.len(),
            "changes were not committed in the order of their indices"
        );
    }

    /// Returns the reference model after this many changes.
    pub(super) fn model_after(&self, changes: usize) -> ReferenceModel {
        let length = changes
            .checked_sub(1)
            .map_or(self.initial.len(), |last| self.lengths[last].1);
        ReferenceModel(self.committed.0[..length].to_vec())
    }

    /// Checks the response of a controller, whether or not it reaches the caller.
    pub(super) fn check_response(&mut self, call: u64, response: &CallResponse) {
        let Some(sent_call) = self.sent_calls.remove(&call) else {
            return;
        };
        let kind = match response {
            CallResponse::Ok(_) if sent_call.amendment.is_none() => "read",
            CallResponse::Ok(_) => "accepted",
            CallResponse::Rejected(409, _) => "conflict",
            CallResponse::Rejected(..) => "rejected",
            CallResponse::Redirect(_) => "redirect",
            CallResponse::Unavailable => "unavailable",
        };
        *self.statistics.responses.entry(kind).or_default() += 1;
        match (sent_call.amendment, response) {
            (None, CallResponse::Ok(json)) if !self.initial.is_empty() => {
                self.check_read(&sent_call, json);
            }
            (Some(amendment), CallResponse::Ok(_)) => self.check_accepted(amendment),
            (Some(amendment), CallResponse::Rejected(status, reason)) => {
                self.check_rejected(amendment, &sent_call, *status, reason);
            }
            _ => {}
        }
    }

    /// Checks that a read returned the configuration as committed at some moment since the call.
    fn check_read(&self, sent_call: &SentCall, json: &str) {
        let is_consistent = (sent_call.committed..=self.lengths.len())
            .rev()
            .any(|changes| {
                ItemSet::from_items(self.model_after(changes).latest().into_values().collect())
                    .read_back()
                    == json
            });
        assert!(
            is_consistent,
            "read after {} changes: {json}",
            sent_call.committed
        );
    }

    /// Checks that a confirmed amendment is committed, and that no other content was ever confirmed
    /// under the same version.
    fn check_accepted(&mut self, amendment: usize) {
        let now = self.simulation.now();
        let amendment = &mut self.amendments[amendment];
        amendment.accepted = amendment.accepted.or(Some(now));
        for item in amendment.change.iter().flat_map(|change| &change.items) {
            let number = (item.kind(), item.name.clone(), item.version);
            let confirmed_item = self.confirmed.entry(number).or_insert_with(|| item.clone());
            assert_eq!(
                confirmed_item, item,
                "two contents were confirmed under one version"
            );
            if !self.initial.is_empty() {
                assert!(
                    self.committed.0.contains(item),
                    "confirmed and not committed: {item:?}"
                );
            }
        }
    }

    /// Checks that a rejected amendment had not been accepted when the call was sent, and that the
    /// rejection has a cause in the committed changes.
    fn check_rejected(&self, amendment: usize, sent_call: &SentCall, status: u16, reason: &str) {
        let amendment = &self.amendments[amendment];
        assert!(
            amendment
                .accepted
                .is_none_or(|accepted| accepted > sent_call.at),
            "accepted at {:?}, then {status} {reason} for a call of {}: {}",
            amendment.accepted,
            sent_call.at,
            amendment.body
        );
        let Some(change) = &amendment.change else {
            return;
        };
        let cause = if status == 409 {
            ValidationOutcome::Conflict
        } else {
            ValidationOutcome::Invalid
        };
        let has_cause = (amendment.sent_after..=self.lengths.len())
            .rev()
            .any(|n| self.model_after(n).validate(change) == cause);
        assert!(
            has_cause,
            "{status} {reason} without a cause: {}",
            amendment.body
        );
    }

    /// Checks that every amendment has a definite response.
    pub(super) fn check_all_finished(&self) {
        let unfinished = self
            .operators
            .iter()
            .filter(|operator| operator.activity != Activity::Idle)
            .count();
        assert_eq!(
            unfinished, 0,
            "amendments without a definite response after all faults were cleared"
        );
    }

    /// Checks that no amendment was both accepted and rejected, unless two operators sent it.
    pub(super) fn check_none_accepted_and_rejected(&self) {
        for amendment in 0..self.amendments.len() {
            let Amendment {
                status,
                accepted,
                is_shared,
                ..
            } = &self.amendments[amendment];
            if !is_shared && accepted.is_some() && status.is_some_and(|status| status != 200) {
                panic!(
                    "amendment {amendment} was accepted and rejected: {}",
                    self.amendments[amendment].body
                );
            }
        }
    }

    /// Repeats every amendment that was ever accepted, and checks that it is accepted again.
    pub(super) fn repeat_accepted(&mut self) {
        let accepted: Vec<usize> = (0..self.amendments.len())
            .filter(|n| self.amendments[*n].accepted.is_some())
            .collect();
        for chunk in accepted.chunks(OPERATORS) {
            for (operator, amendment) in chunk.iter().enumerate() {
                self.amendments[*amendment].status = None;
                self.send(operator, Some(*amendment));
            }
            self.run(1500.0);
            for amendment in chunk {
                assert_eq!(
                    self.amendments[*amendment].status,
                    Some(200),
                    "repeated: {}",
                    self.amendments[*amendment].body
                );
            }
        }
    }

    /// Checks that no item of a rejected amendment was committed, unless an accepted one contains
    /// it too.
    pub(super) fn check_rejected_never_committed(&self) {
        let is_rejected =
            |amendment: &&Amendment| amendment.status.is_some_and(|status| status != 200);
        let accepted_items: BTreeSet<String> = self
            .amendments
            .iter()
            .filter(|amendment| !is_rejected(amendment))
            .flat_map(|amendment| amendment.change.iter().flat_map(|change| &change.items))
            .map(|item| format!("{item:?}"))
            .collect();
        for amendment in self.amendments.iter().filter(is_rejected) {
            for item in amendment
                .change
                .iter()
                .flat_map(|change| &change.items)
                .filter(|item| !item.dropped)
            {
                let committed = self.committed.0.contains(item)
                    && !accepted_items.contains(&format!("{item:?}"));
                assert!(!committed, "rejected and committed: {item:?}");
            }
        }
    }

    /// Checks that complete configurations equal the sum of the changes, and that every proxy has
    /// received all changes.
    pub(super) fn check_proxies(&self) {
        for (index, items) in &self.simulation.complete_configs {
            let mut replayed = ItemSet::from_items(self.initial.clone());
            for change in self
                .simulation
                .committed
                .range(..=*index)
                .map(|(_, change)| change)
            {
                replayed.apply(change);
            }
            assert_eq!(*items, replayed, "the complete configuration at {index}");
        }
        let last = self
            .simulation
            .committed
            .keys()
            .next_back()
            .copied()
            .unwrap_or(0);
        for name in self.simulation.names() {
            assert!(
                self.simulation.proxy(name).index >= last,
                "{name} has not caught up"
            );
        }
    }
}

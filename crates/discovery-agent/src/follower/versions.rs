//! Decides which updates of an agent are applied, by the rules in the parent module.
//!
//! Invariant: a stop that was applied is revoked only by an update that is known to be newer.

use super::Follower;
use crate::backend_list::{has_newer_instance, BackendList, Entries};
use crate::interface::{Output, Report, TrustReason};
use crate::parse::ListUpdate;
use maplefall_membership::Event;
use maplefall_policy::Millis;
use maplefall_protocol::{Member, Members};

/// The maximum number of names of rejected entries that are recorded as reported; further ones are
/// reported each time.
const MAX_REPORTED_ENTRIES: usize = 1024;

/// The list of an agent whose version is not above the applied one.
#[derive(Debug)]
pub(super) struct OutdatedList {
    list: BackendList,
    pub(super) version: u64,
    /// Whether its version can be compared with the applied one.
    is_comparable: bool,
    /// The time since which its agent's lines have been received without a gap.
    pub(super) received_since: Millis,
    /// Whether stops from this list were applied.
    pub(super) has_stops_applied: bool,
}

impl Follower {
    /// Applies an update, or only its stops if it is not known to be newer.
    pub(super) fn apply_update(
        &mut self,
        now: Millis,
        is_first_line: bool,
        update: &ListUpdate,
        out: &mut Vec<Output>,
    ) {
        self.report_rejected_entries(update, out);
        let Members { seq, whole, .. } = update.members;
        if whole {
            self.needs_complete_list = false;
        }
        if let Some(outdated) = &mut self.outdated {
            let entries = outdated.list.complete(update);
            outdated.list.apply(whole, &entries);
            outdated.version = seq;
            return self.compare_outdated_list(now, &entries.members, out);
        }
        let entries = self.list.complete(update);
        // If the first line of a call jumps to the versions of a superseded numbering, it may use
        // that numbering.
        let may_be_superseded = is_first_line
            && self
                .superseded_version
                .is_some_and(|superseded| seq >= superseded && self.version < Some(superseded));
        let is_order_unknown = self.is_order_unknown || may_be_superseded;
        let Some(applied) = self.version else {
            return self.apply_in_order(now, seq, whole, entries, out);
        };
        if seq < applied
            || is_order_unknown
            || (seq == applied && self.would_change(whole, &entries))
        {
            out.push(Output::Report(Report::ListOutdated {
                version: seq,
                applied,
            }));
            if whole {
                self.keep_outdated_list(now, seq, !is_order_unknown, &entries, out);
            } else {
                self.reject_outdated_change(now, &entries, out);
            }
        } else if seq == applied {
            self.emit_change(Vec::new(), out);
        } else {
            self.apply_in_order(now, seq, whole, entries, out);
        }
    }

    fn apply_in_order(
        &mut self,
        now: Millis,
        version: u64,
        is_complete: bool,
        entries: Entries,
        out: &mut Vec<Output>,
    ) {
        self.list.apply(is_complete, &entries);
        self.version = Some(version);
        self.applied_at = now;
        if is_complete {
            self.emit_snapshot(entries.members, entries.unreadable, out);
        } else {
            self.emit_change(entries.members, out);
        }
    }

    /// Reports invalid entries, each once until it is valid again.
    fn report_rejected_entries(&mut self, update: &ListUpdate, out: &mut Vec<Output>) {
        if !self.reported_entries.is_empty() {
            for member in &update.members.hosts {
                self.reported_entries.remove(&member.host);
            }
        }
        for rejected in &update.rejected {
            let partial = rejected.partial.as_ref();
            let host = partial.map_or("an entry", |partial| partial.host.as_str());
            let is_reported = if self.reported_entries.len() >= MAX_REPORTED_ENTRIES {
                self.reported_entries.contains(host)
            } else {
                !self.reported_entries.insert(host.to_owned())
            };
            if !is_reported {
                out.push(Output::Report(Report::EntryRejected {
                    host: host.to_owned(),
                    reason: rejected.reason.clone(),
                }));
            }
        }
    }

    /// Returns whether an update would change the applied list.
    fn would_change(&self, is_complete: bool, entries: &Entries) -> bool {
        let mut updated = self.list.clone();
        updated.apply(is_complete, entries);
        updated != self.list
    }

    // ---- Outdated lists -------------------------------------------------------------------------

    /// Keeps an outdated list beside the applied one.
    fn keep_outdated_list(
        &mut self,
        now: Millis,
        version: u64,
        is_comparable: bool,
        entries: &Entries,
        out: &mut Vec<Output>,
    ) {
        let mut list = self.list.clone();
        list.apply(true, entries);
        self.outdated = Some(OutdatedList {
            list,
            version,
            is_comparable,
            received_since: now,
            has_stops_applied: false,
        });
        self.compare_outdated_list(now, &entries.members, out);
    }

    /// Applies the stops of an outdated change, and requests the complete list to which it belongs.
    /// The request is delayed, since an agent that never sends the list would otherwise be called
    /// in a busy loop.
    fn reject_outdated_change(&mut self, now: Millis, entries: &Entries, out: &mut Vec<Output>) {
        self.apply_stops(now, &entries.members, out);
        if let Some(main) = self.main.take() {
            out.push(Output::CloseCall(main.id));
        }
        self.needs_complete_list = true;
        self.was_interrupted = true;
        self.schedule_call(now);
    }

    /// Replaces the applied list by the outdated one if a rule allows it; otherwise applies the
    /// stops of its last update.
    fn compare_outdated_list(&mut self, now: Millis, update: &[Member], out: &mut Vec<Output>) {
        let Some(outdated) = &self.outdated else {
            return;
        };
        let has_caught_up = outdated.is_comparable
            && self
                .version
                .is_none_or(|applied| outdated.version > applied);
        if self.version == Some(outdated.version) && outdated.list == self.list {
            self.outdated = None;
            self.is_order_unknown = false;
            self.emit_change(Vec::new(), out);
        } else if has_caught_up {
            self.trust_outdated_list(now, TrustReason::CaughtUp, out);
        } else if has_newer_instance(update, self.applied_at) {
            self.trust_outdated_list(now, TrustReason::NewerInstance, out);
        } else {
            self.apply_stops(now, update, out);
        }
    }

    fn apply_stops(&mut self, now: Millis, entries: &[Member], out: &mut Vec<Output>) {
        let stops = self.list.stops(entries);
        self.list.apply_changes(&stops);
        if !stops.is_empty() {
            self.applied_at = now;
            match &mut self.outdated {
                Some(outdated) => outdated.has_stops_applied = true,
                None => self.is_order_unknown = true,
            }
        }
        // Even without stops the event shows the endpoint list that the source is connected.
        self.emit_change(stops, out);
    }

    pub(super) fn trust_outdated_list(
        &mut self,
        now: Millis,
        reason: TrustReason,
        out: &mut Vec<Output>,
    ) {
        let Some(OutdatedList { list, version, .. }) = self.outdated.take() else {
            return;
        };
        if reason != TrustReason::CaughtUp {
            // A new numbering supersedes the previous one, unless it is the same.
            self.superseded_version = self.version.filter(|applied| version < *applied);
        }
        self.is_order_unknown = false;
        out.push(Output::Report(Report::ListTrusted { reason, version }));
        self.version = Some(version);
        self.applied_at = now;
        self.emit_snapshot(list.members(), Vec::new(), out);
        self.list = list;
    }

    // ---- Events ---------------------------------------------------------------------------------

    fn emit_snapshot(
        &mut self,
        hosts: Vec<Member>,
        unreadable: Vec<String>,
        out: &mut Vec<Output>,
    ) {
        let event = Event::Snapshot {
            source: self.source,
            members: self.next_members(true, hosts),
            unreadable,
        };
        out.push(Output::Event(event));
    }

    fn emit_change(&mut self, hosts: Vec<Member>, out: &mut Vec<Output>) {
        let event = Event::Change {
            source: self.source,
            members: self.next_members(false, hosts),
        };
        out.push(Output::Event(event));
    }

    /// Returns the members of the next event, with the next version.
    fn next_members(&mut self, whole: bool, hosts: Vec<Member>) -> Members {
        self.last_event_version += 1;
        Members {
            seq: self.last_event_version,
            whole,
            hosts,
        }
    }
}

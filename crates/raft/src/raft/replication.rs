//! Replication of a leader's log.
//!
//! Log matching (paper, 5.3): entries are sent with the index and term of the entry before them.
//! Commitment (5.4.2): a leader counts replicas only of entries of its own term; earlier entries
//! are committed along with these.

use super::constants::*;
use super::event::Event;
use super::progress::Progress;
use super::role::Role;
use super::snapshot::{entry_bytes, CompactedEntries};
use super::snapshot_transfer::OutgoingSnapshot;
use super::{
    AppendEntries, AppendEntriesResponse, Entry, Member, MessageBody, PersistentState, Raft, Ready,
};

impl Raft {
    pub(super) fn handle_append_response(
        &mut self,
        now: Millis,
        from: &Member,
        response: AppendEntriesResponse,
        ready: &mut Ready,
    ) {
        let last_index = self.persistent.last_index();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from.name) else {
            return;
        };
        if !progress.is_for(from) {
            *progress = Progress::new(from.identity, last_index + 1, now);
        }
        let sent_at = leader.send_times.sent_at(response.sequence);
        progress.record_response(now, &response, sent_at);
        if let Some(received) = response.snapshot_progress {
            let snapshot = progress.outgoing_snapshot.as_mut();
            if snapshot.is_some_and(|snapshot| snapshot.acknowledge(received)) {
                self.send_to(now, &from.name, ready);
            }
            self.confirm_reads(ready);
            return;
        }
        let sends_more = if response.success {
            progress.record_match(&response, last_index);
            finish_snapshot(progress, &from.name, response.received_index, now, ready);
            progress.next_index <= last_index && now - progress.last_sent >= MIN_SEND_INTERVAL
        } else {
            progress.record_rejection(&response, last_index)
        };
        if progress.match_index >= self.commit_index && progress.caught_up_since.is_none() {
            progress.caught_up_since = Some(now);
        }
        if sends_more {
            self.send_to(now, &from.name, ready);
        }
        self.advance_commit(now, ready);
        self.confirm_reads(ready);
        self.propose_membership_change(now, ready);
        self.transfer_leadership(now, ready);
    }

    /// Sends to all peers the entries that they lack; each message is also a heartbeat.
    pub(super) fn send_to_all(&mut self, now: Millis, ready: &mut Ready) {
        let Some(leader) = self.leader_state() else {
            return;
        };
        let names: Vec<String> = leader.progress.keys().cloned().collect();
        for name in names {
            self.send_to(now, &name, ready);
        }
        self.advance_commit(now, ready);
    }

    /// Sends to all peers to which nothing was sent for [`HEARTBEAT_INTERVAL`].
    pub(super) fn send_heartbeats(&mut self, now: Millis, ready: &mut Ready) {
        self.remove_expired_learners(now);
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        let due: Vec<String> = leader
            .progress
            .iter()
            .filter(|(_, progress)| is_heartbeat_due(progress.last_sent, now))
            .map(|(name, _)| name.clone())
            .collect();
        // The sequence number advances at the heartbeat interval even if entries are sent
        // continuously and no heartbeat is due.
        let send_times = &mut leader.send_times;
        if send_times
            .sent_at(send_times.last_sequence())
            .is_none_or(|sent_at| is_heartbeat_due(sent_at, now))
        {
            send_times.next(now);
        }
        for name in due {
            self.rewind_if_unanswered(now, &name);
            self.send_to(now, &name, ready);
        }
        self.advance_commit(now, ready);
    }

    /// Resets the next index to resend unacknowledged entries, which may be lost, if the peer has
    /// sent no message for [`RESEND_TIMEOUT`].
    fn rewind_if_unanswered(&mut self, now: Millis, name: &str) {
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        if let Some(progress) = leader.progress.get_mut(name) {
            if now - progress.last_message_at > RESEND_TIMEOUT && progress.match_index > 0 {
                progress.next_index = progress.match_index + 1;
            }
        }
    }

    /// Sends a peer the next entries, or the next chunk of a snapshot if the entries that it lacks
    /// are compacted.
    pub(super) fn send_to(&mut self, now: Millis, name: &str, ready: &mut Ready) {
        let snapshot_index = self.persistent.snapshot.index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let sequence = leader.send_times.last_sequence();
        let Some(progress) = leader.progress.get_mut(name) else {
            return;
        };
        let first_index = progress.next_index.max(1);
        let is_compacted = first_index <= snapshot_index;
        if progress.outgoing_snapshot.is_none()
            && is_compacted
            && !self.compacted.covers(first_index, snapshot_index)
        {
            let snapshot = OutgoingSnapshot::new(&self.persistent.snapshot, now);
            progress.outgoing_snapshot = Some(snapshot);
        }
        let body = if let Some(snapshot) = &mut progress.outgoing_snapshot {
            let Some(install) = snapshot.next_message(now, progress.last_sent, sequence) else {
                return;
            };
            progress.last_sent = now;
            MessageBody::InstallSnapshot(install)
        } else {
            let Some(append) = self.next_append(now, name) else {
                return;
            };
            MessageBody::AppendEntries(append)
        };
        let message = self.message(body);
        ready.messages.push((name.to_owned(), message));
    }

    /// Returns a message with the next entries for a peer, or with none as a heartbeat.
    fn next_append(&mut self, now: Millis, name: &str) -> Option<AppendEntries> {
        let is_established = self.is_leader();
        let quorum_age = (now - self.proven_contact(now)).max(0.0);
        let last_index = self.persistent.last_index();
        let Role::Leader(leader) = &mut self.role else {
            return None;
        };
        let progress = leader.progress.get_mut(name)?;
        progress.last_sent = now;
        let first_index = progress.next_index.max(1);
        let entries = entries_from(&self.persistent, &self.compacted, first_index);
        progress.next_index = (first_index + entries.len() as u64).min(last_index + 1);
        // A new leader does not know yet which entries earlier leaders have committed, so its
        // messages echo no response number, from which the peer would infer quorum contact.
        let last_response = if is_established {
            progress.last_response
        } else {
            0
        };
        let released = progress.released_at.is_some();
        let receiver = Member {
            name: name.to_owned(),
            identity: progress.identity,
        };
        let sequence = leader.send_times.last_sequence();
        let prev_log_index = first_index - 1;
        Some(AppendEntries {
            prev_log_index,
            prev_log_term: self.sendable_term_at(prev_log_index),
            entries,
            leader_commit: self.commit_index,
            sequence,
            last_response,
            quorum_age_ms: quorum_age.ceil() as u64,
            is_voter: self.active_sets().all(|set| set.contains(&receiver)),
            released,
        })
    }

    /// Returns the term of an entry in the log or among the compacted ones; 0 if there is none.
    fn sendable_term_at(&self, index: u64) -> u64 {
        self.persistent
            .term_at(index)
            .or_else(|| self.compacted.term_at(index))
            .unwrap_or(0)
    }

    /// Commits the entries that a quorum has persisted.
    pub(super) fn advance_commit(&mut self, now: Millis, ready: &mut Ready) {
        let Some(leader) = self.leader_state() else {
            return;
        };
        let replicated = self.quorum_value(0, |member| {
            if *member == self.local_member {
                return self.persisted_index;
            }
            leader
                .progress_of(member)
                .map_or(0, Progress::committable_index)
        });
        let is_own_term = self.persistent.term_at(replicated) == Some(self.persistent.term);
        if replicated > self.commit_index && is_own_term {
            self.commit_up_to(replicated, ready);
            // Sends the new commit index to the followers at once, not with the next heartbeat.
            self.send_to_all(now, ready);
        }
    }
}

fn is_heartbeat_due(last: Millis, now: Millis) -> bool {
    now - last >= HEARTBEAT_INTERVAL - TICK_TOLERANCE
}

/// Ends the transfer of a snapshot once the peer's log reaches the snapshot's index.
fn finish_snapshot(
    progress: &mut Progress,
    name: &str,
    received_index: u64,
    now: Millis,
    ready: &mut Ready,
) {
    let is_complete = |snapshot: &mut OutgoingSnapshot| snapshot.index() <= received_index;
    if let Some(snapshot) = progress.outgoing_snapshot.take_if(is_complete) {
        ready.log(&Event::SnapshotSent {
            to: name,
            index: snapshot.index(),
            bytes: snapshot.total_bytes(),
            duration: snapshot.duration(now),
        });
    }
}

/// Returns the entries from an index on that fit into one message, at least one if there is any.
fn entries_from(
    persistent: &PersistentState,
    compacted: &CompactedEntries,
    first_index: u64,
) -> Vec<Entry> {
    let position = first_index.saturating_sub(persistent.snapshot.index + 1) as usize;
    let log = persistent.log.get(position..).unwrap_or_default();
    let mut bytes = 0;
    compacted
        .entries_from(first_index)
        .chain(log)
        .take_while(|entry| {
            bytes += entry_bytes(entry);
            bytes <= MAX_BATCH_BYTES + entry_bytes(entry)
        })
        .cloned()
        .collect()
}

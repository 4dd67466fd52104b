//! Processing of a leader's messages by its followers.
//!
//! Log matching (paper, 5.3): entries are appended only after an entry whose index and term match
//! those in the leader's message, and a conflicting entry is removed with all that follow it.
//! `verified_index` is the last entry confirmed in this way; commitment and acknowledgements never
//! go beyond it.

use super::constants::Millis;
use super::event::Event;
use super::{
    AppendEntries, AppendEntriesResponse, Entry, InstallSnapshot, MessageBody, PersistentUpdate,
    Raft, Ready, Snapshot,
};

impl Raft {
    pub(super) fn handle_append_entries(
        &mut self,
        now: Millis,
        from: &str,
        append: AppendEntries,
        ready: &mut Ready,
    ) {
        if !has_consecutive_indexes(&append) {
            ready.log(&Event::BadAppendEntries { peer: from });
            return;
        }
        self.become_follower(now, Some(from), ready);
        if !self.has_previous_entry(&append) {
            return self.reject_append(from, &append, ready);
        }
        let AppendEntries {
            prev_log_index,
            entries,
            leader_commit,
            sequence,
            last_response,
            quorum_age_ms,
            is_voter,
            released,
            ..
        } = append;
        let last_sent_index = prev_log_index + entries.len() as u64;
        self.append_missing_entries(entries, ready);
        self.verified_index = self.verified_index.max(last_sent_index);
        self.commit_up_to(leader_commit.min(self.verified_index), ready);
        if self.commit_index >= leader_commit {
            self.record_echoed_contact(last_response, quorum_age_ms, is_voter);
        }
        self.released |= released && self.shutdown_since.is_some();
        self.acknowledge(from, sequence, ready);
    }

    /// Returns whether the log contains the entry before those that the leader sent. Entries that
    /// the snapshot has replaced are committed, and so the same on all nodes.
    fn has_previous_entry(&self, append: &AppendEntries) -> bool {
        let index = append.prev_log_index;
        index <= self.persistent.last_index()
            && (index < self.persistent.snapshot.index
                || self.persistent.term_at(index) == Some(append.prev_log_term))
    }

    /// Rejects a message, and reports the index after which the leader continues: the end of the
    /// log or, if the log has a conflicting entry, the commit index, up to which both logs match.
    fn reject_append(&mut self, leader: &str, append: &AppendEntries, ready: &mut Ready) {
        let last_index = self.persistent.last_index();
        if !std::mem::replace(&mut self.is_lagging, true) {
            ready.log(&Event::ReplicaLagging {
                last_index,
                leader,
                leader_commit: append.leader_commit,
            });
        }
        let match_index = if append.prev_log_index <= last_index {
            self.commit_index
        } else {
            last_index
        };
        let response = AppendEntriesResponse {
            success: false,
            match_index,
            sequence: append.sequence,
            ..AppendEntriesResponse::default()
        };
        self.respond(leader, response, ready);
    }

    /// Appends entries from the first one on that the log lacks or has with another term.
    fn append_missing_entries(&mut self, entries: Vec<Entry>, ready: &mut Ready) {
        let persistent = &self.persistent;
        let is_present = |entry: &Entry| {
            entry.index <= persistent.snapshot.index
                || persistent.term_at(entry.index) == Some(entry.term)
        };
        let missing = entries.into_iter().skip_while(is_present).collect();
        self.append_entries(missing, ready);
    }

    pub(super) fn handle_install_snapshot(
        &mut self,
        now: Millis,
        from: &str,
        install: InstallSnapshot,
        ready: &mut Ready,
    ) {
        self.become_follower(now, Some(from), ready);
        let sequence = install.sequence;
        if install.index > self.commit_index {
            match self.receive_snapshot_chunk(from, install, ready) {
                Ok(snapshot) => self.install_snapshot(from, snapshot, ready),
                Err(progress) => {
                    let response = AppendEntriesResponse {
                        sequence,
                        snapshot_progress: Some(progress),
                        ..AppendEntriesResponse::default()
                    };
                    return self.respond(from, response, ready);
                }
            }
        }
        // A leader has all committed entries (paper, 5.4), so the leader's log and this node's
        // match up to the commit index.
        self.verified_index = self.verified_index.max(self.commit_index);
        self.acknowledge(from, sequence, ready);
    }

    fn install_snapshot(&mut self, from: &str, snapshot: Snapshot, ready: &mut Ready) {
        let index = snapshot.index;
        let keeps_log = self.persistent.term_at(index) == Some(snapshot.term);
        if !keeps_log {
            self.persisted_index = 0;
            self.pending_entry_writes.clear();
        }
        self.commit_index = index;
        ready.log(&Event::SnapshotReceived {
            index,
            bytes: snapshot.state.len(),
            from,
        });
        let update = PersistentUpdate {
            snapshot: Some(snapshot.clone()),
            ..PersistentUpdate::default()
        };
        self.write(update, ready);
        self.track_entry_write(index);
        self.refresh_configuration();
        ready.committed_entries.clear();
        ready.installed_snapshot = Some(snapshot);
    }

    /// Reports to the leader the index up to which this node has the leader's log, on disk and in
    /// memory. `sequence` is 0 if this responds to no message.
    pub(super) fn acknowledge(&mut self, leader: &str, sequence: u64, ready: &mut Ready) {
        let response = AppendEntriesResponse {
            success: true,
            match_index: self.verified_index.min(self.persisted_index),
            received_index: self.verified_index,
            sequence,
            ..AppendEntriesResponse::default()
        };
        self.respond(leader, response, ready);
    }

    /// Sends a response with the next number, once the term is persisted; entries need not be
    /// persisted. The recorded time is that of the response's creation, which is not later than its
    /// sending.
    fn respond(&mut self, leader: &str, response: AppendEntriesResponse, ready: &mut Ready) {
        let number = self.response_times.next(self.now);
        let response = AppendEntriesResponse {
            number,
            membership: Some(self.membership_request),
            ..response
        };
        let body = MessageBody::AppendEntriesResponse(response);
        self.send_after_term(leader, body, ready);
    }

    /// Responds to a leader of an earlier term, which learns of the current term from any response.
    pub(super) fn reject_stale_leader(&mut self, leader: &str, ready: &mut Ready) {
        let body = MessageBody::AppendEntriesResponse(AppendEntriesResponse::default());
        self.send_after_term(leader, body, ready);
    }

    /// Starts an election at once, at the leader's request (dissertation, 3.10).
    pub(super) fn handle_timeout_now(&mut self, now: Millis, from: &str, ready: &mut Ready) {
        if self.leader_id.as_deref() == Some(from) && self.is_promotable() {
            self.start_election(now, ready);
        }
    }
}

/// Returns whether the entries have consecutive indexes that start after `prev_log_index`.
fn has_consecutive_indexes(append: &AppendEntries) -> bool {
    let mut positions = append.entries.iter().enumerate();
    positions.all(|(position, entry)| {
        append.prev_log_index.checked_add(position as u64 + 1) == Some(entry.index)
    })
}

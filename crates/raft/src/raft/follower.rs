//! What a node does with what a leader sends.

use super::*;

impl Raft {
    pub(super) fn append(
        &mut self,
        now: Millis,
        from: &str,
        append: AppendEntries,
        out: &mut Ready,
    ) {
        let in_order = |(place, entry): (usize, &Entry)| {
            append.prev_log_index.checked_add(place as u64 + 1) == Some(entry.index)
        };
        if !append.entries.iter().enumerate().all(in_order) {
            out.log_lines.push(format!(
                "event=bad_append step=read field=index peer={from}"
            ));
            return;
        }
        self.follow(now, Some(from), out);
        let last = self.disk.last_index();
        let fits = append.prev_log_index <= last
            && (append.prev_log_index < self.disk.snapshot.index
                || self.disk.term_at(append.prev_log_index) == Some(append.prev_log_term));
        if !fits {
            if !std::mem::replace(&mut self.behind, true) {
                let commit = append.leader_commit;
                out.log_lines.push(format!(
                    "event=behind last={last} leader={from} leader_commit={commit}"
                ));
            }
            // Another entry stands there: what is agreed on fits in any case.
            let matched = if append.prev_log_index <= last {
                self.commit_index
            } else {
                last
            };
            let round = append.sequence;
            self.answer(
                from,
                AppendEntriesResponse {
                    success: false,
                    match_index: matched,
                    sequence: round,
                    ..AppendEntriesResponse::default()
                },
                out,
            );
            return;
        }
        let end = append.prev_log_index + append.entries.len() as u64;
        let new: Vec<Entry> = append
            .entries
            .into_iter()
            .skip_while(|e| {
                e.index <= self.disk.snapshot.index || self.disk.term_at(e.index) == Some(e.term)
            })
            .collect();
        self.push(new, out);
        self.verified = self.verified.max(end);
        self.agree(append.leader_commit.min(self.verified), out);
        // The leader has had what this node sent then, and a majority followed it so long before that: all that was agreed on up
        // to there is applied here.
        let sent = self
            .answers
            .at(append.last_response)
            .filter(|_| self.commit_index >= append.leader_commit);
        if let Some(sent) = sent {
            let proven = sent - append.quorum_age_ms as f64;
            self.touched = self.touched.max(proven);
            if append.is_voter {
                self.counted = self.counted.max(proven);
            }
            self.behind = false;
        }
        self.may_go |= append.released && self.leaving.is_some();
        self.tell_matched(from, append.sequence, out);
    }

    pub(super) fn install(
        &mut self,
        now: Millis,
        from: &str,
        install: InstallSnapshot,
        out: &mut Ready,
    ) {
        self.follow(now, Some(from), out);
        let round = install.sequence;
        if install.index > self.commit_index {
            let snapshot = match self.take_part(from, install, out) {
                Ok(snapshot) => snapshot,
                Err(taken) => {
                    self.answer(
                        from,
                        AppendEntriesResponse {
                            sequence: round,
                            snapshot_progress: Some(taken),
                            ..AppendEntriesResponse::default()
                        },
                        out,
                    );
                    return;
                }
            };
            let kept = self.disk.term_at(snapshot.index) == Some(snapshot.term);
            if !kept {
                self.synced_index = 0;
                self.unsynced.clear();
            }
            self.commit_index = snapshot.index;
            let (index, bytes) = (snapshot.index, snapshot.state.len());
            out.log_lines.push(format!(
                "event=snapshot_received index={index} bytes={bytes} from={from}"
            ));
            self.write(
                PersistentUpdate {
                    snapshot: Some(snapshot.clone()),
                    ..PersistentUpdate::default()
                },
                out,
            );
            self.unsynced.push_back((self.persisted, snapshot.index));
            self.count_members();
            out.committed_entries.clear();
            out.installed_snapshot = Some(snapshot);
        }
        // What is agreed on is what the leader has.
        self.verified = self.verified.max(self.commit_index);
        self.tell_matched(from, round, out);
    }

    pub(super) fn tell_matched(&mut self, leader: &str, round: u64, out: &mut Ready) {
        let matched = self.verified.min(self.synced_index);
        let received = self.verified;
        self.answer(
            leader,
            AppendEntriesResponse {
                success: true,
                match_index: matched,
                received_index: received,
                sequence: round,
                ..AppendEntriesResponse::default()
            },
            out,
        );
    }

    /// Entries need not be on disk for an answer, the term must be. Its time is that of its making, which is not after its sending.
    pub(super) fn answer(&mut self, leader: &str, answer: AppendEntriesResponse, out: &mut Ready) {
        let number = self.answers.begin(self.now);
        self.say(
            leader,
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                number,
                membership: Some(self.wish),
                ..answer
            }),
            out,
        );
    }
}

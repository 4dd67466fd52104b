//! What a node does with what a leader sends.

use super::*;

impl Tandem {
    pub(super) fn append(&mut self, now: Millis, from: &str, append: Append, out: &mut Out) {
        let in_order = |(place, entry): (usize, &Entry)| {
            append.prev_index.checked_add(place as u64 + 1) == Some(entry.index)
        };
        if !append.entries.iter().enumerate().all(in_order) {
            out.notes.push(format!(
                "event=bad_append step=read field=index peer={from}"
            ));
            return;
        }
        self.follow(now, Some(from), out);
        let last = self.disk.last_index();
        let fits = append.prev_index <= last
            && (append.prev_index < self.disk.snapshot.index
                || self.disk.term_at(append.prev_index) == Some(append.prev_term));
        if !fits {
            if !std::mem::replace(&mut self.behind, true) {
                let commit = append.commit;
                out.notes.push(format!(
                    "event=behind last={last} leader={from} leader_commit={commit}"
                ));
            }
            // Another entry stands there: what is agreed on fits in any case.
            let matched = if append.prev_index <= last {
                self.commit
            } else {
                last
            };
            let round = append.round;
            self.answer(
                from,
                Appended {
                    fits: false,
                    matched,
                    round,
                    ..Appended::default()
                },
                out,
            );
            return;
        }
        let end = append.prev_index + append.entries.len() as u64;
        let new: Vec<Entry> = append
            .entries
            .into_iter()
            .skip_while(|e| {
                e.index <= self.disk.snapshot.index || self.disk.term_at(e.index) == Some(e.term)
            })
            .collect();
        self.push(new, out);
        self.verified = self.verified.max(end);
        self.agree(append.commit.min(self.verified), out);
        // The leader has had what this node sent then, and a majority followed it so long before that: all that was agreed on up
        // to there is applied here.
        let sent = self
            .answers
            .at(append.echo)
            .filter(|_| self.commit >= append.commit);
        if let Some(sent) = sent {
            let proven = sent - append.age as f64;
            self.touched = self.touched.max(proven);
            if append.member {
                self.counted = self.counted.max(proven);
            }
            self.behind = false;
        }
        self.may_go |= append.left && self.leaving.is_some();
        self.tell_matched(from, append.round, out);
    }

    pub(super) fn install(&mut self, now: Millis, from: &str, install: Install, out: &mut Out) {
        self.follow(now, Some(from), out);
        let round = install.round;
        if install.index > self.commit {
            let snapshot = match self.take_part(from, install, out) {
                Ok(snapshot) => snapshot,
                Err(taken) => {
                    self.answer(
                        from,
                        Appended {
                            round,
                            taken: Some(taken),
                            ..Appended::default()
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
            self.commit = snapshot.index;
            let (index, bytes) = (snapshot.index, snapshot.state.len());
            out.notes.push(format!(
                "event=snapshot_received index={index} bytes={bytes} from={from}"
            ));
            self.write(
                Record {
                    snapshot: Some(snapshot.clone()),
                    ..Record::default()
                },
                out,
            );
            self.unsynced.push_back((self.written, snapshot.index));
            self.count_members();
            out.agreed.clear();
            out.installed = Some(snapshot);
        }
        // What is agreed on is what the leader has.
        self.verified = self.verified.max(self.commit);
        self.tell_matched(from, round, out);
    }

    pub(super) fn tell_matched(&mut self, leader: &str, round: u64, out: &mut Out) {
        let matched = self.verified.min(self.synced_index);
        let received = self.verified;
        self.answer(
            leader,
            Appended {
                fits: true,
                matched,
                received,
                round,
                ..Appended::default()
            },
            out,
        );
    }

    /// Entries need not be on disk for an answer, the term must be. Its time is that of its making, which is not after its sending.
    pub(super) fn answer(&mut self, leader: &str, answer: Appended, out: &mut Out) {
        let number = self.answers.begin(self.now);
        self.say(
            leader,
            What::Appended(Appended {
                number,
                wish: Some(self.wish),
                ..answer
            }),
            out,
        );
    }
}

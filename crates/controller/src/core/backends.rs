//! Beats and leaves: who is told, and when they may be acknowledged.

use super::*;

impl Core {
    pub(super) fn beat(
        &mut self,
        now: Millis,
        number: u64,
        word: InstanceRecord,
        out: &mut Vec<Output>,
    ) {
        let (id, seq, leaving) = (
            word.id.clone(),
            word.seq,
            word.state() == InstanceState::Draining,
        );
        let brought = self.directory.apply(now, word);
        if brought != Applied::Stale {
            self.heard.insert(id.clone(), seq);
        }
        self.acknowledge(now, number, &id, brought, leaving, out);
    }

    /// Answers a backend. That it leaves is acknowledged once a majority of the exchanges has it on disk, this one among them: it has
    /// to hold whichever exchanges are lost in the same moment. One that has been out of touch for long, or that a majority does not hear, takes in what it is told and
    /// acknowledges nothing: who beats here alone would be taken for lost by all others.
    pub(super) fn acknowledge(
        &mut self,
        now: Millis,
        number: u64,
        id: &str,
        brought: Applied,
        leaving: bool,
        out: &mut Vec<Output>,
    ) {
        let news = match brought {
            Applied::Changed(word) => {
                self.tell(vec![word.clone()], out);
                self.write(
                    StoreRecord {
                        instances: vec![word.clone()],
                        ..StoreRecord::default()
                    },
                    Wrote::Words,
                    out,
                );
                Some(word)
            }
            _ => None,
        };
        let away = !self.is_linked() || self.parted.is_some_and(|since| now - since > AWAY);
        let known = !leaving || self.shared.contains(id);
        if away || known {
            let answer = if away {
                CallResponse::Unavailable
            } else {
                CallResponse::Ok("{}".to_owned())
            };
            out.push(Output::Respond(number, answer));
            if let Some(word) = news {
                out.push(Output::SendToAllPeers(words(vec![word], false, 0)));
            }
            return;
        }
        let Some(word) = news.or_else(|| self.directory.word(now, id)) else {
            return;
        };
        self.last_receipt += 1;
        let receipt = self.last_receipt;
        let leave = Leave {
            id: id.to_owned(),
            waiting: Waiting {
                call: number,
                until: now + AGREE,
            },
            on_disk: self.writing.is_empty(),
            receipts: BTreeSet::new(),
        };
        self.leaves.insert(receipt, leave);
        if !self.writing.is_empty() {
            // It may stand in any write that is under way, also where it is no news by now.
            self.writing
                .push_back((self.last_write, Wrote::Leave(receipt)));
        }
        out.push(Output::SendToAllPeers(words(vec![word], false, receipt)));
        self.settle(receipt, out);
    }

    /// Acknowledges a leave if a majority has it on disk.
    pub(super) fn settle(&mut self, receipt: u64, out: &mut Vec<Output>) {
        let voters = self.tandem.voters();
        let Some(leave) = self.leaves.get(&receipt) else {
            return;
        };
        let others = leave
            .receipts
            .iter()
            .filter(|ip| voters.contains(*ip))
            .count();
        let copies = others + usize::from(voters.contains(&self.me));
        if !leave.on_disk || copies < voters.len() / 2 + 1 {
            return;
        }
        let Some(leave) = self.leaves.remove(&receipt) else {
            return;
        };
        if self.shared.len() < MOST_SHARED {
            self.shared.insert(leave.id);
        }
        out.push(Output::Respond(
            leave.waiting.call,
            CallResponse::Ok("{}".to_owned()),
        ));
    }

    /// Another exchange says something about backends, and may want to know when it is on disk here.
    pub(super) fn told(
        &mut self,
        now: Millis,
        ip: &str,
        said: InstanceUpdates,
        out: &mut Vec<Output>,
    ) {
        let mut news = Vec::new();
        for word in said.records {
            if let Applied::Changed(word) = self.directory.apply(now, word) {
                news.push(word);
            }
        }
        if !news.is_empty() {
            self.write(
                StoreRecord {
                    instances: news.clone(),
                    ..StoreRecord::default()
                },
                Wrote::Words,
                out,
            );
        }
        self.tell(news, out);
        if said.ack_number == 0 {
            return;
        }
        if self.writing.is_empty() {
            out.push(Output::SendToPeer(
                ip.to_owned(),
                encode_frame(Frame::InstancesPersisted(said.ack_number)),
            ));
        } else if self.receipts_due < MOST_RECEIPTS {
            // What is no news may stand in any write that is under way. Beyond the bound whoever asks has no answer in time.
            self.receipts_due += 1;
            self.writing.push_back((
                self.last_write,
                Wrote::Heard(ip.to_owned(), said.ack_number),
            ));
        }
    }

    /// Tells all doors.
    pub(super) fn tell(&mut self, news: Vec<InstanceRecord>, out: &mut Vec<Output>) {
        if news.is_empty() {
            return;
        }
        for word in &news {
            if matches!(
                word.state(),
                InstanceState::Draining | InstanceState::Deregistered
            ) {
                let state = if word.state() == InstanceState::Deregistered {
                    "left"
                } else {
                    "leaving"
                };
                out.push(Output::Log(format!(
                    "event={state} backend={} service={}",
                    word.id, word.service
                )));
            }
        }
        let bytes = words(news, false, 0);
        for conn in self.doors.keys().copied().collect::<Vec<_>>() {
            self.say(conn, bytes.clone(), out);
        }
    }

    /// Whether this exchange has listened for long enough to know every backend.
    pub(super) fn knows_all(&self, now: Millis) -> bool {
        now - self.born > self.silence
            && self.company.is_some_and(|since| now - since > self.silence)
    }

    /// Tells a door all. One that is out of touch keeps what it found on its disk to itself: others may know that it is over.
    pub(super) fn tell_all(&mut self, now: Millis, conn: u64, out: &mut Vec<Output>) {
        let all = self.knows_all(now);
        if !self.in_touch(now) {
            return;
        }
        let Some(door) = self.doors.get_mut(&conn) else {
            return;
        };
        door.told_all = all;
        let open = |word: &InstanceRecord| {
            matches!(
                word.state(),
                InstanceState::Serving | InstanceState::Draining
            )
        };
        let known = self
            .directory
            .records(now)
            .into_iter()
            .filter(open)
            .collect();
        self.say(conn, words(known, all, 0), out);
    }

    /// Whether a majority of the exchanges is known to be there.
    pub(super) fn in_touch(&self, now: Millis) -> bool {
        self.company.is_some() && self.tandem.has_quorum_contact(now)
    }

    /// Whether a majority of the exchanges hears this one: there are links to them that live.
    fn is_linked(&self) -> bool {
        let voters = self.tandem.voters();
        let near = voters
            .iter()
            .filter(|ip| **ip == self.me || self.linked.contains(*ip))
            .count();
        near > voters.len() / 2
    }

    /// For how long a majority of the exchanges has said nothing of the agreement.
    fn silent_for(&self, now: Millis) -> Millis {
        let voters = self.tandem.voters();
        let heard = |ip: &String| {
            if *ip == self.me {
                Some(&now)
            } else {
                self.heard_from.get(ip)
            }
        };
        let mut heard: Vec<Millis> = voters
            .iter()
            .map(|ip| heard(ip).copied().unwrap_or(self.born))
            .collect();
        heard.sort_by(|a, b| b.total_cmp(a));
        now - heard.get(voters.len() / 2).copied().unwrap_or(self.born)
    }

    /// Notes when this exchange has come into touch with a majority, and when it has lost it.
    pub(super) fn keep_company(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.tandem.has_quorum_contact(now) {
            self.lose_company(now, out);
        } else if self.company.is_none() {
            self.company = Some(now);
            let away = self.parted.take().map_or(0.0, |since| now - since);
            out.push(Output::Log(format!("event=in_touch after_ms={away:.0}")));
            self.directory.restart_timeouts(now);
            // Doors that have nothing have waited for this.
            self.spread_plans(now, out);
            for conn in self.doors.keys().copied().collect::<Vec<_>>() {
                self.tell_all(now, conn, out);
            }
        }
    }

    pub(super) fn lose_company(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.company.take().is_some() {
            let since = self.silent_for(now);
            let (linked, voters) = (self.linked.len(), self.tandem.voters().len());
            out.push(Output::Log(format!(
                "event=out_of_touch since_ms={since:.0} linked={linked} voters={voters}"
            )));
        }
        self.parted.get_or_insert(now);
    }
}

pub(super) fn words(words: Vec<InstanceRecord>, all: bool, receipt: u64) -> Bytes {
    encode_frame(Frame::InstanceUpdates(InstanceUpdates {
        records: words,
        complete: all,
        ack_number: receipt,
    }))
}

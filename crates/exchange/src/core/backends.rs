//! Beats and leaves: who is told, and when they may be acknowledged.

use super::*;

impl Core {
    pub(super) fn beat(&mut self, now: Millis, number: u64, word: Word, out: &mut Vec<Output>) {
        let (id, seq, leaving) = (word.id.clone(), word.seq, word.state() == State::Leaving);
        let brought = self.directory.hear(now, word);
        if brought != Brought::Nothing {
            self.heard.insert(id.clone(), seq);
        }
        self.acknowledge(now, number, &id, brought, leaving, out);
    }

    /// Answers a backend. That it leaves is acknowledged once another exchange knows it too: it has to hold though this one
    /// should be lost in the same moment.
    pub(super) fn acknowledge(
        &mut self,
        now: Millis,
        number: u64,
        id: &str,
        brought: Brought,
        leaving: bool,
        out: &mut Vec<Output>,
    ) {
        let alone = self.tandem.voters().len() <= 1;
        let known = !leaving || alone || self.shared.contains(id);
        let news = match brought {
            Brought::News(word) => {
                self.tell(now, vec![word.clone()], out);
                let call = (!known).then_some(number);
                self.write(
                    Stored { words: vec![word.clone()], ..Stored::default() },
                    Wrote::Words(call),
                    out,
                );
                Some(word)
            }
            _ => None,
        };
        if known {
            out.push(Output::Answer(number, Answer::Done("{}".to_owned())));
            if news.is_none() {
                return;
            }
        }
        let written = news.is_some();
        let Some(word) = news.or_else(|| self.directory.word(now, id)) else { return };
        let mut receipt = 0;
        if !known {
            self.last_receipt += 1;
            receipt = self.last_receipt;
            self.receipts.insert(receipt, (id.to_owned(), number));
            let waiting = Waiting { call: number, until: now + AGREE };
            self.leaves.insert(number, (waiting, 1 + u8::from(written)));
        }
        out.push(Output::Peers(write(Frame::Words(Words { words: vec![word], all: false, receipt }))));
    }

    /// One of the things has happened that the acknowledgement of a leave waits for.
    pub(super) fn half_known(&mut self, call: Option<u64>, out: &mut Vec<Output>) {
        let Some((call, waits)) = call.and_then(|call| Some((call, self.leaves.get_mut(&call)?))) else {
            return;
        };
        waits.1 -= 1;
        if waits.1 == 0 {
            self.leaves.remove(&call);
            out.push(Output::Answer(call, Answer::Done("{}".to_owned())));
        }
    }

    /// Tells all doors.
    pub(super) fn tell(&mut self, now: Millis, words: Vec<Word>, out: &mut Vec<Output>) {
        if words.is_empty() {
            return;
        }
        for word in &words {
            if matches!(word.state(), State::Leaving | State::Left) {
                let state = if word.state() == State::Left { "left" } else { "leaving" };
                out.push(Output::Log(format!("event={state} backend={} service={}", word.id, word.service)));
            }
        }
        let bytes = write(Frame::Words(Words { words, all: false, receipt: 0 }));
        for conn in self.doors.keys().copied().collect::<Vec<_>>() {
            self.say(now, conn, bytes.clone(), out);
        }
    }

    /// Whether this exchange has listened for long enough to know every backend.
    pub(super) fn knows_all(&self, now: Millis) -> bool {
        now - self.born > self.silence && self.company.is_some_and(|since| now - since > self.silence)
    }

    /// Tells a door all. One that is alone keeps what it found on its disk to itself: others may know that it is over.
    pub(super) fn tell_all(&mut self, now: Millis, conn: u64, out: &mut Vec<Output>) {
        let all = self.knows_all(now);
        if self.company.is_none() {
            return;
        }
        let Some(door) = self.doors.get_mut(&conn) else { return };
        door.told_all = all;
        let words = self.directory.words(now);
        let serving = |word: &Word| matches!(word.state(), State::Serving | State::Leaving);
        let words = words.into_iter().filter(serving).collect();
        self.say(now, conn, write(Frame::Words(Words { words, all, receipt: 0 })), out);
    }

    pub(super) fn keep_company(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.tandem.in_touch(now) {
            if let Some(since) = self.company.take() {
                let last = now - self.tandem.contact(now);
                out.push(Output::Log(format!(
                    "event=out_of_touch after_ms={:.0} last_ms={last:.0}",
                    now - since
                )));
            }
        } else if self.company.is_none() {
            self.company = Some(now);
            out.push(Output::Log("event=in_touch".to_owned()));
            self.directory.excuse(now);
            for conn in self.doors.keys().copied().collect::<Vec<_>>() {
                self.tell_all(now, conn, out);
            }
        }
    }
}

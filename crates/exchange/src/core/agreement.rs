//! What becomes of what the exchanges agree on.

use super::*;

impl Core {
    pub(super) fn agree(
        &mut self,
        now: Millis,
        out: &mut Vec<Output>,
        step: impl FnOnce(&mut Tandem, &mut Out),
    ) {
        self.ask(now, out, |tandem, todo| step(tandem, todo));
    }

    pub(super) fn ask<T>(
        &mut self,
        now: Millis,
        out: &mut Vec<Output>,
        step: impl FnOnce(&mut Tandem, &mut Out) -> T,
    ) -> T {
        let mut todo = Out::default();
        let result = step(&mut self.tandem, &mut todo);
        self.carry(now, todo, out);
        result
    }

    pub(super) fn carry(&mut self, now: Millis, todo: Out, out: &mut Vec<Output>) {
        for (number, record) in todo.writes {
            self.write(Stored { tandem: Some(record), ..Stored::default() }, Wrote::Tandem(number), out);
        }
        for (to, message) in todo.sends {
            let bytes = write(Frame::Tandem(message));
            out.push(if to.is_empty() { Output::Peers(bytes) } else { Output::Peer(to, bytes) });
        }
        out.extend(todo.notes.into_iter().map(Output::Log));
        if let Some(snapshot) = todo.installed {
            self.install(&snapshot.state, snapshot.index);
            self.spread_plans(now, out);
        }
        if !todo.agreed.is_empty() {
            self.apply(now, todo.agreed, out);
        }
        self.confirmed.clear();
        for ticket in todo.readable {
            if let Some(waiting) = self.reads.remove(&ticket) {
                out.push(Output::Answer(waiting.call, Answer::Done(self.board.read_back())));
            } else {
                // It is confirmed in the very call that asked for it, or its caller has been answered.
                self.confirmed.insert(ticket);
            }
        }
        if todo.deposed {
            let waiting = std::mem::take(&mut self.amends).into_values();
            for call in waiting.chain(std::mem::take(&mut self.reads).into_values()) {
                out.push(Output::Answer(call.call, Answer::Unknown));
            }
        }
        if self.led_by.as_deref() != self.tandem.leader() {
            self.led_by = self.tandem.leader().map(str::to_owned);
            let leader = self.led_by.as_deref().unwrap_or("none");
            out.push(Output::Log(format!("event=leader leader={leader} term={}", self.tandem.term())));
        }
        self.lend(now);
        self.keep_company(now, out);
        if self.tandem.should_fold() {
            let state = Whole { items: self.board.items().cloned().collect() }.encode_to_vec();
            self.agree(now, out, |tandem, todo| tandem.fold(state, todo));
        }
    }

    pub(super) fn apply(&mut self, now: Millis, entries: Vec<Entry>, out: &mut Vec<Output>) {
        for entry in entries {
            if entry.kind() == EntryKind::Change {
                if let Ok(change) = Change::decode(entry.payload.as_slice()) {
                    self.board.join(&change);
                    out.push(Output::Log(format!(
                        "event=agreed index={} items={}",
                        entry.index,
                        change.items.len()
                    )));
                    self.ring.push_back(Numbered { index: entry.index, change: Some(change) });
                    if self.ring.len() > RING {
                        self.ring_after = self.ring.pop_front().map_or(self.ring_after, |one| one.index);
                    }
                }
                self.index = entry.index;
            }
            if let Some(waiting) = self.amends.remove(&entry.index) {
                out.push(Output::Answer(waiting.call, Answer::Done("{}".to_owned())));
            }
        }
        self.spread_plans(now, out);
    }

    pub(super) fn install(&mut self, state: &[u8], index: u64) {
        // The state of the first start, and of what held nothing but members since: there is no configuration yet.
        if state.is_empty() {
            return;
        }
        if let Ok(all) = Whole::decode(state) {
            self.board = Board::of(all.items);
        }
        self.index = index;
        self.ring_after = index;
        self.ring.clear();
    }
}

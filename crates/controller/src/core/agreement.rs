//! What becomes of what the exchanges agree on.

use super::*;

impl Core {
    pub(super) fn agree(
        &mut self,
        now: Millis,
        out: &mut Vec<Output>,
        step: impl FnOnce(&mut Raft, &mut Ready),
    ) {
        self.ask(now, out, |tandem, todo| step(tandem, todo));
    }

    pub(super) fn ask<T>(
        &mut self,
        now: Millis,
        out: &mut Vec<Output>,
        step: impl FnOnce(&mut Raft, &mut Ready) -> T,
    ) -> T {
        let mut todo = Ready::default();
        let result = step(&mut self.tandem, &mut todo);
        self.carry(now, todo, out);
        result
    }

    pub(super) fn carry(&mut self, now: Millis, todo: Ready, out: &mut Vec<Output>) {
        for (number, record) in todo.writes {
            self.write(
                StoreRecord {
                    raft: Some(record),
                    ..StoreRecord::default()
                },
                Wrote::Tandem(number),
                out,
            );
        }
        for (to, message) in todo.messages {
            let bytes = encode_frame(Frame::Raft(message));
            out.push(if to.is_empty() {
                Output::SendToAllPeers(bytes)
            } else {
                Output::SendToPeer(to, bytes)
            });
        }
        out.extend(todo.log_lines.into_iter().map(Output::Log));
        if let Some(snapshot) = todo.installed_snapshot {
            self.install(now, &snapshot, out);
            self.spread_plans(now, out);
        }
        if !todo.committed_entries.is_empty() {
            self.apply(now, todo.committed_entries, out);
        }
        for ticket in todo.confirmed_reads {
            match self.reads.remove(&ticket) {
                Some((waiting, due)) => self.round_done(waiting, due, out),
                // It is confirmed in the very call that asked for it, or its caller has been answered.
                None => {
                    self.confirmed.insert(ticket);
                }
            }
        }
        if todo.stepped_down {
            self.give_up_calls(out);
        }
        if self.led_by.as_deref() != self.tandem.leader() {
            self.led_by = self.tandem.leader().map(str::to_owned);
            let leader = self.led_by.as_deref().unwrap_or("none");
            out.push(Output::Log(format!(
                "event=leader leader={leader} term={}",
                self.tandem.term()
            )));
        }
        self.keep_lending(now, out);
        self.keep_company(now, out);
        // What is not agreed on cannot be folded, however much it is.
        let pending = self.tandem.uncommitted().count();
        let long = self
            .compact_after
            .is_some_and(|entries| self.tandem.log_len() > entries + pending);
        if long || self.tandem.should_compact() {
            let state = ReplicatedState::capture(&self.board, self.shares.slots()).encode_to_vec();
            self.agree(now, out, |tandem, todo| tandem.compact(state, todo));
        }
    }

    pub(super) fn apply(&mut self, now: Millis, entries: Vec<Entry>, out: &mut Vec<Output>) {
        for entry in entries {
            if entry.kind() == EntryKind::Command {
                if let Ok(change) = Change::decode(entry.payload.as_slice()) {
                    self.board.apply(&change);
                    out.push(Output::Log(format!(
                        "event=agreed index={} items={}",
                        entry.index,
                        change.items.len()
                    )));
                    self.ring.push_back(IndexedChange {
                        index: entry.index,
                        change: Some(change),
                    });
                    if self.ring.len() > RING {
                        self.ring_after = self
                            .ring
                            .pop_front()
                            .map_or(self.ring_after, |one| one.index);
                    }
                }
                self.index = entry.index;
            }
            self.entry_agreed(entry.index, entry.term, out);
            if entry.kind() == EntryKind::Membership {
                let members = entry
                    .members
                    .iter()
                    .map(|member| member.name.clone())
                    .collect();
                let turns = self.shares.members_changed(now, &members, entry.index);
                self.slots_turned(turns, out);
            }
        }
        self.spread_plans(now, out);
    }

    pub(super) fn install(&mut self, now: Millis, snapshot: &Snapshot, out: &mut Vec<Output>) {
        let whole = match ReplicatedState::decode(snapshot.state.as_ref()) {
            Ok(whole) => whole,
            Err(error) => {
                out.push(Output::Log(format!(
                    "event=bad_snapshot index={} error={error}",
                    snapshot.index
                )));
                ReplicatedState::default()
            }
        };
        // The first state of all is empty. What an earlier program folded holds no slots either; by then others may have lent.
        let slots = whole.owners.unwrap_or_else(|| {
            let members = snapshot
                .members
                .iter()
                .map(|member| member.name.clone())
                .collect();
            Slots::initial(
                &members,
                self.losses,
                snapshot.index,
                !snapshot.state.is_empty(),
            )
        });
        let turns = self.shares.install(now, slots);
        self.slots_turned(turns, out);
        // The state of the first start, and of what held nothing but members since: there is no configuration yet.
        if snapshot.state.is_empty() {
            return;
        }
        self.board = ConfigState::restore(whole.items, whole.taken.unwrap_or_default());
        self.index = snapshot.index;
        self.ring_after = snapshot.index;
        self.ring.clear();
    }
}

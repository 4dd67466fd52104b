//! The calls of the operator, and who answers them.

use super::*;

impl Core {
    pub(super) fn amend(&mut self, now: Millis, number: u64, body: Bytes, out: &mut Vec<Output>) {
        let refuse = |why: maplefall_numbering::Refusal, out: &mut Vec<Output>| {
            out.push(Output::Log(format!("event=refused status={} {why}", why.status())));
            out.push(Output::Answer(number, Answer::Refused(why.status(), why.to_string())));
        };
        let change = match read_call(&body) {
            Ok(change) => change,
            Err(why) => return refuse(why, out),
        };
        if !self.tandem.leads() || self.stopping {
            return self.not_mine(now, number, Call::Amend(body), out);
        }
        // What is on its way counts too: it comes before this.
        let mut ahead = self.board.clone();
        for entry in self.tandem.pending().filter(|entry| entry.kind() == EntryKind::Change) {
            if let Ok(earlier) = Change::decode(entry.payload.as_slice()) {
                ahead.join(&earlier);
            }
        }
        if let Err(why) = ahead.check(&change) {
            return refuse(why, out);
        }
        let payload = change.encode_to_vec();
        match self.ask(now, out, |tandem, todo| tandem.propose(now, payload, todo)) {
            Some(index) if self.index >= index => {
                out.push(Output::Answer(number, Answer::Done("{}".to_owned())));
            }
            Some(index) => {
                self.amends.insert(index, Waiting { call: number, until: now + AGREE });
            }
            None => self.not_mine(now, number, Call::Amend(body), out),
        }
    }

    /// Sends a call on to the leader, or holds it until there is one.
    pub(super) fn not_mine(&mut self, now: Millis, number: u64, call: Call, out: &mut Vec<Output>) {
        match self.tandem.leader() {
            Some(leader) if leader != self.me => {
                out.push(Output::Answer(number, Answer::Elsewhere(leader.to_owned())));
            }
            _ if self.held.len() >= MOST_CALLS || self.stopping => {
                out.push(Output::Answer(number, Answer::Unknown));
            }
            _ => self.held.push((Waiting { call: number, until: now + HOLD }, call)),
        }
    }

    pub(super) fn expire_calls(&mut self, now: Millis, out: &mut Vec<Output>) {
        for (waiting, call) in std::mem::take(&mut self.held) {
            if now >= waiting.until {
                out.push(Output::Answer(waiting.call, Answer::Unknown));
            } else if self.tandem.leads() || self.tandem.leader().is_some_and(|leader| leader != self.me) {
                self.call(now, waiting.call, call, out);
            } else {
                self.held.push((waiting, call));
            }
        }
        let unknown = |waiting: &Waiting, out: &mut Vec<Output>| {
            let late = now >= waiting.until;
            if late {
                out.push(Output::Answer(waiting.call, Answer::Unknown));
            }
            !late
        };
        self.amends.retain(|_, waiting| unknown(waiting, out));
        self.reads.retain(|_, waiting| unknown(waiting, out));
        self.leaves.retain(|_, leave| unknown(&leave.waiting, out));
    }
}

//! The calls of the operator, and who answers them.
//!
//! What is answered with certainty (200 or a refusal) is only what no later leader can contradict: a 200 once the entries are agreed
//! on; a refusal for the text of the call at once, any other once a round has confirmed that this exchange led when it judged,
//! and what it rested on is agreed. All else is [`Answer::Unknown`], and the operator sends the call again.

use super::*;
use maplefall_gateway_config::ConfigError;

impl Core {
    pub(super) fn amend(&mut self, now: Millis, number: u64, body: Bytes, out: &mut Vec<Output>) {
        let change = match parse_amend(&body) {
            Ok(change) => change,
            Err(why) => return refuse(number, &why, out),
        };
        if !self.tandem.is_leader() || self.stopping {
            return self.not_mine(now, number, Call::Amend(body), out);
        }
        let last = self.look_ahead();
        let term = self.tandem.term();
        let (index, answer) = match self.board.validate(&self.coming.ahead, &change) {
            Err(why) if why.is_permanent() => return refuse(number, &why, out),
            Err(why) => {
                out.push(Output::Log(format!(
                    "event=refused status={} {why}",
                    why.status()
                )));
                let answer = CallResponse::Rejected(why.status(), why.to_string());
                return self.after_round(now, number, AfterRound::Refused(answer, term, last), out);
            }
            Ok(Validation::HistoryEvicted(kind, name, version)) => {
                let list = kind.list();
                out.push(Output::Log(format!(
                    "event=forgotten list={list} item={name:?} version={version:08x}"
                )));
                return out.push(Output::Respond(number, CallResponse::Unavailable));
            }
            Ok(Validation::AlreadyApplied(index)) => {
                let items = change.items.len();
                out.push(Output::Debug(format!(
                    "event=known items={items} index={index}"
                )));
                (index, CallResponse::Ok("{}".to_owned()))
            }
            Ok(Validation::Accepted(news)) => {
                if self.waiting() >= MOST_CALLS {
                    return out.push(Output::Respond(number, CallResponse::Unavailable));
                }
                let payload = news.encode_to_vec();
                match self.ask(now, out, |tandem, todo| tandem.propose(now, payload, todo)) {
                    Some(index) => (index, CallResponse::Ok("{}".to_owned())),
                    None => return self.not_mine(now, number, Call::Amend(body), out),
                }
            }
        };
        self.after_entry(now, number, index, term, answer, out);
    }

    pub(super) fn read(&mut self, now: Millis, number: u64, out: &mut Vec<Output>) {
        if !self.tandem.is_leader() {
            return self.not_mine(now, number, Call::ReadConfig, out);
        }
        self.after_round(now, number, AfterRound::ReadBack, out);
    }

    /// Takes in what is on its way: it comes before any call that is judged now. Tells the index of the last of it.
    fn look_ahead(&mut self) -> u64 {
        let (term, commit) = (self.tandem.term(), self.tandem.commit());
        let coming = &mut self.coming;
        // What is agreed by now may stay in here for a while, but not more than what is not.
        let agreed = commit.saturating_sub(coming.after);
        if coming.term != term || agreed > coming.through.saturating_sub(commit) {
            *coming = Coming {
                term,
                after: commit,
                through: commit,
                ahead: PendingChanges::default(),
            };
        }
        for entry in self.tandem.uncommitted() {
            if entry.index <= coming.through {
                continue;
            }
            if entry.kind() == EntryKind::Command {
                if let Ok(earlier) = Change::decode(entry.payload.as_slice()) {
                    coming.ahead.add(entry.index, &earlier);
                }
            }
            coming.through = entry.index;
        }
        coming.through
    }

    /// Calls that wait for an entry or a round.
    fn waiting(&self) -> usize {
        self.reads.len() + self.amends.values().map(Vec::len).sum::<usize>()
    }

    /// Answers a call once the entry of this index, made in this term, is agreed on.
    fn after_entry(
        &mut self,
        now: Millis,
        call: u64,
        index: u64,
        term: u64,
        answer: CallResponse,
        out: &mut Vec<Output>,
    ) {
        if index <= self.tandem.commit() {
            out.push(Output::Respond(call, answer));
        } else if self.waiting() >= MOST_CALLS {
            out.push(Output::Respond(call, CallResponse::Unavailable));
        } else {
            let waiting = Waiting {
                call,
                until: now + AGREE,
            };
            self.amends.entry(index).or_default().push(AfterEntry {
                waiting,
                term,
                answer,
            });
        }
    }

    /// Answers a call once a round has confirmed that this exchange leads.
    fn after_round(&mut self, now: Millis, call: u64, due: AfterRound, out: &mut Vec<Output>) {
        let waiting = Waiting {
            call,
            until: now + AGREE,
        };
        if self.waiting() >= MOST_CALLS {
            return out.push(Output::Respond(call, CallResponse::Unavailable));
        }
        let ticket = self.ask(now, out, |tandem, todo| tandem.read_index(now, todo));
        let at_once = ticket.is_some_and(|ticket| self.confirmed.contains(&ticket));
        self.confirmed.clear();
        match ticket {
            Some(_) if at_once => self.round_done(waiting, due, out),
            Some(ticket) => {
                self.reads.insert(ticket, (waiting, due));
            }
            None => out.push(Output::Respond(call, CallResponse::Unavailable)),
        }
    }

    /// A round has confirmed that this exchange led after the call had come.
    pub(super) fn round_done(&mut self, waiting: Waiting, due: AfterRound, out: &mut Vec<Output>) {
        match due {
            AfterRound::ReadBack => {
                out.push(Output::Respond(
                    waiting.call,
                    CallResponse::Ok(self.board.read_back()),
                ));
            }
            AfterRound::Refused(_, term, _) if term != self.tandem.term() => {
                out.push(Output::Respond(waiting.call, CallResponse::Unavailable));
            }
            AfterRound::Refused(answer, _, index) if index <= self.tandem.commit() => {
                out.push(Output::Respond(waiting.call, answer));
            }
            AfterRound::Refused(answer, term, index) => {
                self.amends.entry(index).or_default().push(AfterEntry {
                    waiting,
                    term,
                    answer,
                });
            }
        }
    }

    /// The entry of this index is agreed on, as the leader of this term made it.
    pub(super) fn entry_agreed(&mut self, index: u64, term: u64, out: &mut Vec<Output>) {
        for after in self.amends.remove(&index).unwrap_or_default() {
            // A leader that learns of a new term and of another entry in its own entry's place by one message is told of both.
            let answer = if after.term == term {
                after.answer
            } else {
                CallResponse::Unavailable
            };
            out.push(Output::Respond(after.waiting.call, answer));
        }
    }

    /// This exchange has ceased to lead: what it has not answered is for the next leader to tell.
    pub(super) fn give_up_calls(&mut self, out: &mut Vec<Output>) {
        let amends = std::mem::take(&mut self.amends)
            .into_values()
            .flatten()
            .map(|after| after.waiting);
        let reads = std::mem::take(&mut self.reads)
            .into_values()
            .map(|(waiting, _)| waiting);
        for waiting in amends.chain(reads) {
            out.push(Output::Respond(waiting.call, CallResponse::Unavailable));
        }
    }

    /// Sends a call on to the leader, or holds it until there is one.
    pub(super) fn not_mine(&mut self, now: Millis, number: u64, call: Call, out: &mut Vec<Output>) {
        match self.tandem.leader() {
            Some(leader) if leader != self.me => {
                out.push(Output::Respond(
                    number,
                    CallResponse::Redirect(leader.to_owned()),
                ));
            }
            _ if self.held.len() >= MOST_CALLS || self.stopping => {
                out.push(Output::Respond(number, CallResponse::Unavailable));
            }
            _ => self.held.push((
                Waiting {
                    call: number,
                    until: now + HOLD,
                },
                call,
            )),
        }
    }

    pub(super) fn expire_calls(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.coming.through <= self.tandem.commit() {
            // Nothing of it is on its way: a large call need not be kept twice.
            self.coming = Coming::default();
        }
        for (waiting, call) in std::mem::take(&mut self.held) {
            if now >= waiting.until {
                out.push(Output::Respond(waiting.call, CallResponse::Unavailable));
            } else if self.tandem.is_leader()
                || self.tandem.leader().is_some_and(|leader| leader != self.me)
            {
                self.call(now, waiting.call, call, out);
            } else {
                self.held.push((waiting, call));
            }
        }
        let unknown = |waiting: &Waiting, out: &mut Vec<Output>| {
            let late = now >= waiting.until;
            if late {
                out.push(Output::Respond(waiting.call, CallResponse::Unavailable));
            }
            !late
        };
        self.amends
            .values_mut()
            .for_each(|calls| calls.retain(|after| unknown(&after.waiting, out)));
        self.amends.retain(|_, calls| !calls.is_empty());
        self.reads.retain(|_, (waiting, _)| unknown(waiting, out));
        self.leaves.retain(|_, leave| unknown(&leave.waiting, out));
    }
}

/// Refuses a call for its text, which says the same to every exchange.
fn refuse(number: u64, why: &ConfigError, out: &mut Vec<Output>) {
    out.push(Output::Log(format!(
        "event=refused status={} {why}",
        why.status()
    )));
    out.push(Output::Respond(
        number,
        CallResponse::Rejected(why.status(), why.to_string()),
    ));
}

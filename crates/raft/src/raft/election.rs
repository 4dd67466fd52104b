//! Who leads.

use super::*;

impl Raft {
    pub(super) fn ask_around(&mut self, now: Millis, out: &mut Ready) {
        // To ask disturbs nobody: a question that was refused or lost is asked again soon.
        self.stands = now + AGAIN * (1.0 + 2.0 * chance(&mut self.rng));
        self.leader = None;
        let mine = BTreeSet::from([self.me.clone()]);
        if self.quorum(|member| mine.contains(member)) {
            return self.stand(now, out);
        }
        self.role = Role::Asking(mine);
        self.ask(true, out);
    }

    pub(super) fn stand(&mut self, now: Millis, out: &mut Ready) {
        self.stands = now + 2.0 * AGAIN + SPREAD * chance(&mut self.rng);
        let name = self.me.name.clone();
        self.enter(self.disk.term + 1, &name, out);
        self.leader = None;
        let mine = BTreeSet::from([self.me.clone()]);
        let elected = self.quorum(|member| mine.contains(member));
        self.role = Role::Candidate(mine, now);
        if elected {
            return self.lead(now, out);
        }
        self.ask(false, out);
    }

    fn ask(&mut self, would: bool, out: &mut Ready) {
        let last_index = self.disk.last_index();
        let last_term = self.disk.term_at(last_index).unwrap_or(0);
        let term = self.disk.term + u64::from(would);
        for name in self.names() {
            let ask = MessageBody::RequestVote(RequestVote {
                pre_vote: would,
                last_log_index: last_index,
                last_log_term: last_term,
            });
            let message = Message {
                term,
                ..self.message(ask)
            };
            self.after_writes(&name, message, out);
        }
    }

    /// Whoever asks counts a vote only by the identity that it comes with, so that it may be given by anyone: also by one that does
    /// not know yet that it is a member.
    pub(super) fn asked(
        &mut self,
        now: Millis,
        from: &str,
        term: u64,
        ask: RequestVote,
        out: &mut Ready,
    ) {
        let last_index = self.disk.last_index();
        let last = (self.disk.term_at(last_index).unwrap_or(0), last_index);
        let able = (ask.last_log_term, ask.last_log_index) >= last;
        let granted = if ask.pre_vote {
            // Nobody is deposed who is heard.
            let leads = matches!(self.role, Role::Leader(_));
            able && term > self.disk.term && !leads && now - self.heard >= SILENT
        } else {
            let free = self.disk.voted_for.is_empty() || self.disk.voted_for == from;
            able && term == self.disk.term
                && free
                && matches!(self.role, Role::Follower | Role::Asking(_))
        };
        if granted && !ask.pre_vote {
            if self.disk.voted_for.is_empty() {
                self.enter(term, from, out);
            }
            self.role = Role::Follower;
            self.draw(now);
        }
        let what = MessageBody::RequestVoteResponse(RequestVoteResponse {
            pre_vote: ask.pre_vote,
            granted,
            requested_term: term,
        });
        let mut message = self.message(what);
        if ask.pre_vote && granted {
            message.term = term;
        }
        self.after_writes(from, message, out);
    }

    pub(super) fn voted(
        &mut self,
        now: Millis,
        from: Member,
        voted: RequestVoteResponse,
        out: &mut Ready,
    ) {
        if !voted.granted {
            return;
        }
        let term = self.disk.term;
        let asked = match &mut self.role {
            Role::Asking(votes) if voted.pre_vote && voted.requested_term == term + 1 => {
                votes.insert(from);
                true
            }
            Role::Candidate(votes, _) if !voted.pre_vote && voted.requested_term == term => {
                votes.insert(from);
                true
            }
            _ => false,
        };
        let (Role::Asking(votes) | Role::Candidate(votes, _)) = &self.role else {
            return;
        };
        if !asked || !self.quorum(|member| votes.contains(member)) {
            return;
        }
        if voted.pre_vote {
            self.stand(now, out);
        } else {
            self.lead(now, out);
        }
    }

    fn lead(&mut self, now: Millis, out: &mut Ready) {
        let next = self.disk.last_index() + 1;
        let (votes, asked) = match &mut self.role {
            Role::Candidate(votes, asked) => (std::mem::take(votes), *asked),
            _ => (BTreeSet::new(), now),
        };
        let mut others = BTreeMap::new();
        for member in self
            .sets
            .current
            .iter()
            .chain(&self.sets.previous)
            .filter(|m| m.name != self.me.name)
        {
            let mut fresh = Progress::fresh(member.identity, next, now);
            // A vote answers what was asked then. Nothing is known of the others; the last leader was last heard when it was.
            if votes.contains(member) {
                fresh.proven = asked;
            }
            if let Some((_, heard)) = self.led.as_ref().filter(|(name, _)| *name == member.name) {
                fresh.heard = *heard;
            }
            fresh.wish.voter = true;
            others.entry(member.name.clone()).or_insert(fresh);
        }
        self.role = Role::Leader(Box::new(Leading {
            others,
            rounds: Rounds::after(0),
            reads: VecDeque::new(),
        }));
        self.leader = Some(self.me.name.clone());
        self.heard = now;
        self.add(EntryKind::NoOp, Vec::new(), Vec::new(), out);
        self.pulse(now, out);
    }

    pub(super) fn follow(&mut self, now: Millis, leader: Option<&str>, out: &mut Ready) {
        if matches!(self.role, Role::Leader(_)) {
            out.stepped_down = true;
            if self.is_leader() {
                let proven = self.proven(now);
                self.touched = self.touched.max(proven);
                self.counted = self.counted.max(proven);
            }
        }
        if leader.is_none() || leader != self.leader.as_deref() {
            self.verified = 0;
        }
        self.leader = leader.map(str::to_owned);
        self.role = Role::Follower;
        if let Some(leader) = leader {
            self.heard = now;
            match &mut self.led {
                Some((name, heard)) if name == leader => *heard = now,
                led => *led = Some((leader.to_owned(), now)),
            }
        }
        self.draw(now);
    }

    /// Enters a term, or votes in it.
    pub(super) fn enter(&mut self, term: u64, voted: &str, out: &mut Ready) {
        if term > self.disk.term {
            self.verified = 0;
        }
        self.write(
            PersistentUpdate {
                term: Some(term),
                voted_for: voted.to_owned(),
                ..PersistentUpdate::default()
            },
            out,
        );
        self.term_write = self.persisted;
    }

    fn draw(&mut self, now: Millis) {
        self.stands = now + SILENT + SPREAD * chance(&mut self.rng);
    }

    /// Whether it may be elected: a member that does not leave.
    pub(super) fn may_stand(&self) -> bool {
        self.leaving.is_none() && self.active().any(|set| set.contains(&self.me))
    }
}

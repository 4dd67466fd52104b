//! What a leader does.

use super::snapshot::weight;
use super::*;

/// What a leader knows of another node.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Whose words these are: another disk's are not.
    pub identity: u64,
    pub next: u64,
    pub matched: u64,
    /// When it was last heard.
    pub heard: Millis,
    /// The latest time at which a message was sent that it has answered.
    pub proven: Millis,
    pub sent: Millis,
    pub round: u64,
    /// Number of its last answer.
    pub echo: u64,
    pub wish: MembershipRequest,
    /// Since when it has had all that was agreed on.
    pub caught_up: Option<Millis>,
    /// It leaves, and nothing above this rests on it.
    pub left: Option<u64>,
    /// The state that it is sent.
    pub sending: Option<Sending>,
}

impl Progress {
    pub fn fresh(identity: u64, next: u64, now: Millis) -> Progress {
        Progress {
            identity,
            next,
            matched: 0,
            heard: now,
            proven: f64::NEG_INFINITY,
            sent: f64::NEG_INFINITY,
            round: 0,
            echo: 0,
            wish: MembershipRequest::default(),
            caught_up: None,
            left: None,
            sending: None,
        }
    }

    /// Up to where its disk counts.
    fn counted(&self) -> u64 {
        self.left
            .map_or(self.matched, |left| left.min(self.matched))
    }
}

/// The times at which numbered things began, of the latest.
#[derive(Clone, Debug)]
pub(super) struct Rounds {
    last: u64,
    times: VecDeque<Millis>,
}

impl Rounds {
    pub fn after(last: u64) -> Rounds {
        Rounds {
            last,
            times: VecDeque::new(),
        }
    }

    /// The next one begins.
    pub fn begin(&mut self, now: Millis) -> u64 {
        if self.times.len() >= MOST_TIMES {
            self.times.pop_front();
        }
        self.times.push_back(now);
        self.last += 1;
        self.last
    }

    /// The number of the last one.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// When the one of this number began, if it is remembered.
    pub fn at(&self, number: u64) -> Option<Millis> {
        let back = usize::try_from(self.last.checked_sub(number)?).ok()?;
        self.times
            .len()
            .checked_sub(back + 1)
            .map(|place| self.times[place])
    }
}

impl Raft {
    pub(super) fn appended(
        &mut self,
        now: Millis,
        from: &Member,
        answer: AppendEntriesResponse,
        out: &mut Ready,
    ) {
        let (last, commit) = (self.disk.last_index(), self.commit_index);
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let Some(other) = leading.others.get_mut(&from.name) else {
            return;
        };
        if from.identity != other.identity {
            // Another disk: what was known of the one before is void.
            *other = Progress::fresh(from.identity, last + 1, now);
        }
        if now - other.heard > ALONE {
            other.caught_up = None;
        }
        other.heard = now;
        if let Some(sent) = leading.rounds.at(answer.sequence) {
            other.proven = other.proven.max(sent);
            other.round = other.round.max(answer.sequence);
        }
        other.echo = answer.number;
        other.wish = answer.membership.unwrap_or_default();
        if !other.wish.stopping {
            other.left = None;
        }
        if let Some(taken) = answer.snapshot_progress {
            if other
                .sending
                .as_mut()
                .is_some_and(|sending| sending.taken(taken))
            {
                self.send_to(now, &from.name, out);
            }
            self.confirm_reads(out);
            return;
        }
        let mut more = false;
        if answer.success {
            other.matched = other.matched.max(answer.match_index.min(last));
            other.next = other.next.max(answer.received_index.min(last) + 1);
            if let Some(done) = other
                .sending
                .take_if(|sending| sending.index() <= answer.received_index)
            {
                out.log_lines.push(done.note(&from.name, now));
            }
            more = other.next <= last && now - other.sent >= 1.0;
        } else if answer.sequence >= other.round
            || answer.match_index.saturating_add(1) < other.next
        {
            other.next = answer.match_index.min(last) + 1;
            more = true;
        }
        if other.matched >= commit && other.caught_up.is_none() {
            other.caught_up = Some(now);
        }
        if more {
            self.send_to(now, &from.name, out);
        }
        self.advance(now, out);
        self.confirm_reads(out);
        self.consider(now, out);
        self.hand_over(now, out);
    }

    pub(super) fn joined(
        &mut self,
        now: Millis,
        from: &Member,
        wish: MembershipRequest,
        out: &mut Ready,
    ) {
        let next = self.disk.last_index() + 1;
        let newest = &self.sets.current;
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let learners = leading
            .others
            .keys()
            .filter(|name| !newest.iter().any(|m| m.name == **name))
            .count();
        if !leading.others.contains_key(&from.name) && learners >= MOST_LEARNERS {
            return;
        }
        let fresh = Progress::fresh(from.identity, next, now);
        let other = leading.others.entry(from.name.clone()).or_insert(fresh);
        if other.identity != from.identity {
            *other = Progress::fresh(from.identity, next, now);
        }
        (other.heard, other.wish) = (now, wish);
        self.send_to(now, &from.name, out);
    }

    /// Sends to all what they lack, and asks them all for a sign of life.
    pub(super) fn spread(&mut self, now: Millis, out: &mut Ready) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        for name in leading.others.keys().cloned().collect::<Vec<_>>() {
            self.send_to(now, &name, out);
        }
        self.advance(now, out);
    }

    /// Speaks to those that have not been spoken to for a while.
    pub(super) fn pulse(&mut self, now: Millis, out: &mut Ready) {
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        // A learner that has gone for good is forgotten.
        let voters = &self.voters;
        leading
            .others
            .retain(|name, other| voters.contains(name) || now - other.heard < 30.0 * ALONE);
        let due = leading
            .others
            .iter()
            .filter(|(_, other)| now - other.sent >= PULSE - 10.0);
        let due: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        // A round for each pulse, also where changes have been sent all the while and no pulse is due: they carry it then.
        if leading
            .rounds
            .at(leading.rounds.last())
            .is_none_or(|begun| now - begun >= PULSE - 10.0)
        {
            leading.rounds.begin(now);
        }
        for name in due {
            if let Role::Leader(leading) = &mut self.role {
                let unanswered =
                    |other: &&mut Progress| now - other.heard > RESEND && other.matched > 0;
                if let Some(other) = leading.others.get_mut(&name).filter(unanswered) {
                    // What went unanswered may be lost.
                    other.next = other.matched + 1;
                }
            }
            self.send_to(now, &name, out);
        }
        self.advance(now, out);
    }

    pub(super) fn send_to(&mut self, now: Millis, name: &str, out: &mut Ready) {
        let last = self.disk.last_index();
        let (leads, age) = (
            self.is_leader(),
            (now - self.proven(now)).max(0.0).ceil() as u64,
        );
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        let round = leading.rounds.last();
        let Some(other) = leading.others.get_mut(name) else {
            return;
        };
        let first = other.next.max(1);
        let (folded, tail) = (self.disk.snapshot.index, &self.folding);
        if other.sending.is_none() && first <= folded && !tail.has(first, folded) {
            other.sending = Some(Sending::of(&self.disk.snapshot, now));
        }
        if let Some(sending) = &mut other.sending {
            let Some(install) = sending.next(now, other.sent, round) else {
                return;
            };
            other.sent = now;
            let message = self.message(MessageBody::InstallSnapshot(install));
            out.messages.push((name.to_owned(), message));
            return;
        }
        other.sent = now;
        // Before it knows what its forerunners agreed on, what it has said to be agreed on proves nothing.
        let echo = if leads { other.echo } else { 0 };
        let left = other.left.is_some();
        let receiver = Member {
            name: name.to_owned(),
            identity: other.identity,
        };
        let mut size = 0;
        let fits = |entry: &&Entry| {
            size += weight(entry);
            size <= BATCH + weight(entry)
        };
        let start = first.saturating_sub(folded + 1) as usize;
        let log = self.disk.log.get(start..).unwrap_or_default();
        let entries: Vec<Entry> = tail
            .from(first)
            .chain(log)
            .take_while(fits)
            .cloned()
            .collect();
        other.next = (first + entries.len() as u64).min(last + 1);
        let prev_index = first - 1;
        let prev_term = self
            .disk
            .term_at(prev_index)
            .or_else(|| tail.term_at(prev_index))
            .unwrap_or(0);
        let member = self.active().all(|set| set.contains(&receiver));
        let commit = self.commit_index;
        let append = AppendEntries {
            prev_log_index: prev_index,
            prev_log_term: prev_term,
            entries,
            leader_commit: commit,
            sequence: round,
            last_response: echo,
            quorum_age_ms: age,
            is_voter: member,
            released: left,
        };
        let message = self.message(MessageBody::AppendEntries(append));
        out.messages.push((name.to_owned(), message));
    }

    /// Finds what a majority has on disk.
    pub(super) fn advance(&mut self, now: Millis, out: &mut Ready) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let agreed = self.by_majority(0, |member| match leading.others.get(&member.name) {
            _ if *member == self.me => self.synced_index,
            Some(other) if other.identity == member.identity => other.counted(),
            _ => 0,
        });
        if agreed > self.commit_index && self.disk.term_at(agreed) == Some(self.disk.term) {
            self.agree(agreed, out);
            // The others learn of it at once.
            self.spread(now, out);
        }
    }

    pub(super) fn confirm_reads(&mut self, out: &mut Ready) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let confirmed = self.by_majority(0, |member| match leading.others.get(&member.name) {
            _ if *member == self.me => u64::MAX,
            Some(other) if other.identity == member.identity => other.round,
            _ => 0,
        });
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        while let Some((ticket, _)) = leading
            .reads
            .front()
            .copied()
            .filter(|(_, round)| *round <= confirmed)
        {
            out.confirmed_reads.push(ticket);
            leading.reads.pop_front();
        }
    }

    /// The latest time by which a majority is proven to have followed this leader.
    pub(super) fn proven(&self, now: Millis) -> Millis {
        let Role::Leader(leading) = &self.role else {
            return f64::NEG_INFINITY;
        };
        self.by_majority(f64::NEG_INFINITY, |member| {
            match leading.others.get(&member.name) {
                _ if *member == self.me => now,
                Some(other) if other.identity == member.identity => other.proven,
                _ => f64::NEG_INFINITY,
            }
        })
    }

    /// Whether a leader has no proof that a majority followed it of late.
    pub(super) fn alone(&self, now: Millis) -> bool {
        now - self.proven(now) >= ALONE
    }
}

//! Who votes, how that changes, and how a member leaves. The argument stands in `docs/design/control-membership.md`.

use super::*;

/// A member that has been silent for this long may be replaced by a newcomer.
const REPLACE: Millis = 2000.0;
/// A newcomer that nobody waits for is added after having been caught up for this long.
const GROW: Millis = 1500.0;
/// A member that has been silent for longer than this is dropped where there are more than are wanted.
const DROP: Millis = 2500.0;
/// Members at most.
pub const MAX_MEMBERS: usize = 9;
/// A leader that leaves hands over after this long, whether the others have all or not.
const HAND_OVER: Millis = 1500.0;

impl Raft {
    /// The sets of which a majority is needed: two while a change is not known to be agreed on.
    pub(super) fn active(&self) -> impl Iterator<Item = &Vec<Member>> {
        std::iter::once(&self.sets.current)
            .chain(self.in_joint_configuration().then_some(&self.sets.previous))
    }

    /// Names of the others in those sets.
    pub(super) fn names(&self) -> BTreeSet<String> {
        let all = self
            .active()
            .flatten()
            .filter(|member| member.name != self.me.name);
        all.map(|member| member.name.clone()).collect()
    }

    /// The highest value that a majority of every active set reaches.
    pub(super) fn by_majority<T: PartialOrd + Copy>(
        &self,
        none: T,
        value: impl Fn(&Member) -> T,
    ) -> T {
        let mut lowest: Option<T> = None;
        for set in self.active() {
            let mut values: Vec<T> = set.iter().map(&value).collect();
            values.sort_unstable_by(|a, b| b.partial_cmp(a).unwrap_or(std::cmp::Ordering::Equal));
            let reached = values.get(set.len() / 2).copied().unwrap_or(none);
            if lowest.is_none_or(|lowest| reached < lowest) {
                lowest = Some(reached);
            }
        }
        lowest.unwrap_or(none)
    }

    /// Whether a majority of every active set is of this kind.
    pub(super) fn quorum(&self, kind: impl Fn(&Member) -> bool) -> bool {
        self.by_majority(0, |member| u8::from(kind(member))) > 0
    }

    /// Reads the members from the log.
    pub(super) fn count_members(&mut self) {
        self.sets = self.disk.configuration();
        self.voters = self
            .sets
            .current
            .iter()
            .map(|member| member.name.clone())
            .collect();
        let (next, now) = (self.disk.last_index() + 1, self.now);
        let (sets, me) = (&self.sets, &self.me.name);
        if let Role::Leader(leading) = &mut self.role {
            for member in sets.current.iter().filter(|member| member.name != *me) {
                let fresh = Progress::fresh(member.identity, next, now);
                leading.others.entry(member.name.clone()).or_insert(fresh);
            }
        }
    }

    /// Changes the members where that is due: one change at a time, each agreed on by a majority of those before and of those after,
    /// and only by a leader that has agreed on an entry of its own term.
    pub(super) fn consider(&mut self, now: Millis, out: &mut Ready) {
        if !self.is_leader()
            || self.in_joint_configuration()
            || !self.is_voter()
            || self.leaving.is_some()
        {
            return;
        }
        if let Some((members, why)) = self.wanted(now) {
            self.add(EntryKind::Membership, why.as_bytes().to_vec(), members, out);
            self.spread(now, out);
        }
    }

    /// The change that is due, and why.
    fn wanted(&self, now: Millis) -> Option<(Vec<Member>, &'static str)> {
        let Role::Leader(leading) = &self.role else {
            return None;
        };
        let (members, others) = (&self.sets.current, &leading.others);
        let heard = |member: &Member| *member == self.me || silence(member, others, now) < ALONE;
        let ready = |other: &Progress| {
            other.wish.voter
                && !other.wish.stopping
                && now - other.heard < ALONE
                && other.matched >= self.commit_index
        };
        let with = |out: Option<usize>, name: &String, identity: u64| {
            let mut members = members.clone();
            if let Some(place) = out {
                members.remove(place);
            }
            members.push(Member {
                name: name.clone(),
                identity,
            });
            members.sort();
            members
        };
        for (name, other) in others.iter().filter(|(_, other)| ready(other)) {
            match members.iter().position(|member| member.name == *name) {
                // It came back without its disk.
                Some(place) if members[place].identity != other.identity => {
                    return Some((with(Some(place), name, other.identity), "new_disk"));
                }
                Some(_) => continue,
                None => {}
            }
            if other.wish.initial && members.len() < MAX_MEMBERS {
                return Some((with(None, name, other.identity), "first_start"));
            }
            let silent =
                |member: &&Member| silence(member, others, now) >= REPLACE && **member != self.me;
            let longest = |a: &&Member, b: &&Member| {
                silence(a, others, now).total_cmp(&silence(b, others, now))
            };
            let gone = members
                .iter()
                .filter(silent)
                .max_by(longest)
                .filter(|_| self.alike);
            if let Some(place) =
                gone.and_then(|gone| members.iter().position(|member| member == gone))
            {
                return Some((with(Some(place), name, other.identity), "replaces"));
            }
            let grown = other.caught_up.is_some_and(|since| now - since >= GROW);
            let calm = !self.alike || members.iter().all(heard);
            if grown && calm && members.len() < MAX_MEMBERS {
                return Some((with(None, name, other.identity), "grows"));
            }
        }
        if !self.alike || members.len() <= 2 * self.losses + 1 {
            return None;
        }
        let silent = |member: &Member| *member != self.me && silence(member, others, now) > DROP;
        let gone = members.iter().position(silent)?;
        let last = self.disk.last_index();
        let holds = |member: &Member| {
            let there =
                |other: &Progress| other.identity == member.identity && other.matched >= last;
            *member == self.me && self.synced_index >= last
                || others.get(&member.name).is_some_and(there)
        };
        // Several may be gone: they go one by one. All the others hold all, and are a majority of those that remain.
        let rest: Vec<Member> = members
            .iter()
            .enumerate()
            .filter(|(n, _)| *n != gone)
            .map(|(_, m)| m.clone())
            .collect();
        let whole = rest
            .iter()
            .all(|member| silent(member) || heard(member) && holds(member));
        let there = rest.iter().filter(|member| !silent(member)).count();
        (whole && there > rest.len() / 2).then_some((rest, "silent"))
    }

    /// Tells of a change of the members that has just been agreed on.
    pub(super) fn note_members(&self, entry: &Entry, before: &[Member], out: &mut Ready) {
        let why = String::from_utf8_lossy(&entry.payload);
        let changed = [
            ("member_in", &entry.members[..], before),
            ("member_out", before, &entry.members[..]),
        ];
        for (event, these, those) in changed {
            for member in these.iter().filter(|member| !those.contains(member)) {
                let Member { name, identity } = member;
                let (index, count) = (entry.index, entry.members.len());
                out.log_lines.push(format!(
                    "event={event} name={name} identity={identity:x} why={why} index={index} members={count}"
                ));
            }
        }
    }

    // ---- Leaving ------------------------------------------------------------------------------------

    /// A planned stop begins. This node votes and answers until it goes, but does not stand. A leader brings the others up to its
    /// last entry and hands over; another tells the leader, which says when nothing rests on it: see [`Tandem::left`].
    pub fn shut_down(&mut self, now: Millis, out: &mut Ready) {
        self.begin(now, out);
        self.leaving.get_or_insert(now);
        self.wish.stopping = true;
        if matches!(self.role, Role::Leader(_)) {
            self.spread(now, out);
            self.hand_over(now, out);
        } else if let Some(leader) = self.leader.clone() {
            self.tell_matched(&leader, 0, out);
        }
    }

    /// Whether this node, which leaves, may go: nothing that was agreed on rests on it alone.
    pub fn may_stop(&self, _now: Millis) -> bool {
        let member = self.active().any(|set| set.contains(&self.me));
        self.leaving.is_some() && (self.may_go || !member || self.names().is_empty())
    }

    /// What a leader does for those that leave, itself too.
    pub(super) fn hand_over(&mut self, now: Millis, out: &mut Ready) {
        let (commit, last) = (self.commit_index, self.disk.last_index());
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let live: Vec<(&String, &Progress)> = leading
            .others
            .iter()
            .filter(|(name, other)| {
                let member = Member {
                    name: (*name).clone(),
                    identity: other.identity,
                };
                now - other.heard < ALONE && self.active().any(|set| set.contains(&member))
            })
            .collect();
        let stays = |other: &Progress| !other.wish.stopping;
        // One that has agreed on members without itself, by an entry of a leader before it, leads no longer than that.
        let outside = !self.in_joint_configuration() && !self.sets.current.contains(&self.me);
        if let Some(since) = self.leaving.or(outside.then_some(f64::NEG_INFINITY)) {
            let mut staying = live.iter().filter(|(_, other)| stays(other));
            let whole = staying.clone().all(|(_, other)| other.matched >= last);
            if whole || now - since >= HAND_OVER {
                let best = staying.clone().max_by_key(|(_, other)| other.matched);
                let best = best
                    .or_else(|| staying.next())
                    .map(|(name, _)| (*name).clone());
                if let Some(best) = best {
                    out.log_lines.push(format!(
                        "event=hand_over to={best} whole={whole} last={last}"
                    ));
                    self.say(&best, MessageBody::TimeoutNow(TimeoutNow {}), out);
                }
                self.follow(now, None, out);
                self.may_go = self.leaving.is_some();
            }
            return;
        }
        // Whatever was agreed on with the help of one that leaves is by then on all other disks that can be reached, and no more
        // will be with its help.
        let mine = self.synced_index >= commit;
        let free = |name: &String| {
            live.iter()
                .all(|(n, o)| *n == name || !stays(o) || o.matched >= commit)
        };
        let due = live.iter().filter(|(name, other)| {
            other.wish.stopping && other.left.is_none() && mine && free(name)
        });
        let due: Vec<String> = due.map(|(name, _)| (*name).clone()).collect();
        for name in due {
            if let Role::Leader(leading) = &mut self.role {
                if let Some(other) = leading.others.get_mut(&name) {
                    other.left = Some(commit);
                }
            }
            self.send_to(now, &name, out);
        }
    }
}

/// How long a member has not been heard, in milliseconds. One whose address speaks for another disk is there.
fn silence(member: &Member, others: &BTreeMap<String, Progress>, now: Millis) -> Millis {
    others
        .get(&member.name)
        .map_or(0.0, |other| now - other.heard)
}

//! The core of agreement, searched exhaustively: three members, two operators with other contents under one number, a member that
//! crashes, one that loses its disk, one that is replaced for good; messages lost, doubled and in any order. This is a model of the
//! design (docs/design/control.md), not the code: `played.rs` plays the code. Wrong variants of it have to be found.
//!
//! What was ever sent stays in a set and may come at any time, any number of times or never: so loss, doubling and reordering are all
//! in it. A node's disk is written with the step that changes it; a crash takes what is in memory alone.

use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// A member: the name of its address, and the identity that it keeps on its disk.
type Member = (u8, u8);
/// Members, in order.
type Members = BTreeSet<Member>;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum What {
    Begin,
    /// The one number, with this content.
    Change(u8),
    Members(Members),
}

type Entry = (u8, What);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    up: bool,
    identity: u8,
    term: u8,
    voted: Option<u8>,
    log: Vec<Entry>,
    commit: usize,
    leads: bool,
    /// It asks for votes, and has heard of no leader of its term.
    stands: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Said {
    /// Term, candidate, its last entry's term, and its log's length.
    Ask(u8, u8, u8, usize),
    /// Term, candidate, who votes.
    Vote(u8, u8, Member),
    /// Term, leader, all of its log, and how much of it is agreed.
    Append(u8, u8, Vec<Entry>, usize),
    /// Term, who has the leader's log up to here on its disk.
    Has(u8, Member, usize),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    nodes: Vec<Node>,
    said: BTreeSet<Said>,
    /// What was ever agreed on, by place.
    agreed: Vec<Entry>,
    /// Contents that an operator was told are taken.
    told: BTreeSet<u8>,
    leaders: BTreeSet<(u8, u8)>,
    crashes: u8,
    wipes: u8,
    replacements: u8,
    /// Two leaders in a term, or two entries agreed on for one place.
    broken: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Stand(u8),
    Hear(u8, Said),
    Win(u8),
    Propose(u8, u8),
    Spread(u8),
    Agree(u8),
    Change(u8, Members),
    Crash(u8),
    Wipe(u8),
    Replace(u8),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Variant {
    Right,
    /// What the leader has on its own disk is agreed on.
    OneDisk,
    /// A member that has lost its disk counts as the one that it was.
    WipedVotes,
    /// A new set of members is agreed on by its own majority alone.
    NewMajorityAlone,
}

/// What may happen: how many of each, and the highest term.
#[derive(Clone, Copy)]
struct Core {
    variant: Variant,
    crashes: u8,
    wipes: u8,
    replacements: u8,
    terms: u8,
}

/// Three members and one machine that may take the place of one.
const NODES: u8 = 4;
/// The machine that is replaced, if one is.
const GOES: u8 = 2;

fn first() -> Members {
    (0..3).map(|name| (name, name)).collect()
}

/// The members by a log, those before them, and where they stand in it.
fn members(log: &[Entry]) -> (Members, Members, usize) {
    let mut sets = vec![(first(), 0)];
    for (at, (_, what)) in log.iter().enumerate() {
        if let What::Members(set) = what {
            sets.push((set.clone(), at + 1));
        }
    }
    let (now, at) = sets.pop().unwrap_or_default();
    let before = sets.pop().map_or_else(|| now.clone(), |(set, _)| set);
    (now, before, at)
}

fn majority(set: &Members, have: &BTreeSet<Member>) -> bool {
    set.intersection(have).count() > set.len() / 2
}

impl Core {
    /// Whether those who have it suffice for a node with this log, of which so much is agreed.
    fn suffices(&self, log: &[Entry], commit: usize, have: &BTreeSet<Member>) -> bool {
        let (now, before, at) = members(log);
        let joint = at > commit && self.variant != Variant::NewMajorityAlone;
        majority(&now, have) && (!joint || majority(&before, have))
    }

    fn me(&self, state: &State, node: u8) -> Member {
        (node, state.nodes[usize::from(node)].identity)
    }

    /// What a leader says to all. How much is agreed on matters to others only where members change.
    fn append(&self, node: &Node, name: u8) -> Said {
        let tells = node
            .log
            .iter()
            .any(|(_, what)| matches!(what, What::Members(_)));
        Said::Append(
            node.term,
            name,
            node.log.clone(),
            if tells { node.commit } else { 0 },
        )
    }

    /// How much of a leader's log could be agreed on now.
    fn agreeable(&self, state: &State, leader: u8) -> Option<usize> {
        let node = &state.nodes[usize::from(leader)];
        (node.commit + 1..=node.log.len()).rev().find(|length| {
            let mut have: BTreeSet<Member> = state
                .said
                .iter()
                .filter_map(|said| match said {
                    Said::Has(term, member, has) if *term == node.term && has >= length => {
                        Some(*member)
                    }
                    _ => None,
                })
                .collect();
            have.insert(self.me(state, leader));
            let enough =
                self.variant == Variant::OneDisk || self.suffices(&node.log, node.commit, &have);
            node.log[length - 1].0 == node.term && enough
        })
    }

    /// All losses before are repaired: every member by what is agreed is up, is the one that is meant, and has all of it.
    fn settled(&self, state: &State) -> bool {
        let (now, _, _) = members(&state.agreed);
        now.iter().all(|(name, identity)| {
            let node = &state.nodes[usize::from(*name)];
            let has = node.log.len() >= state.agreed.len()
                && node.log[..state.agreed.len()] == state.agreed[..];
            node.up && node.identity == *identity && has
        })
    }

    /// The set that a leader would go over to, if it has reason to: an address that came back as another, or a machine that takes the
    /// place of one that is gone; each of them has all that is agreed.
    fn next_members(&self, state: &State, leader: u8) -> Option<Members> {
        let node = &state.nodes[usize::from(leader)];
        let (now, _, at) = members(&node.log);
        let own = node
            .log
            .get(node.commit.wrapping_sub(1))
            .is_some_and(|(term, _)| *term == node.term);
        if at > node.commit || !own {
            return None;
        }
        let has_all = |member: Member| {
            state.said.iter().any(|said| {
                matches!(said, Said::Has(term, who, has) if *term == node.term && *who == member && *has >= node.commit)
            })
        };
        for name in 0..NODES {
            let other = &state.nodes[usize::from(name)];
            let member = (name, other.identity);
            if !other.up || name == leader || now.contains(&member) || !has_all(member) {
                continue;
            }
            let gone = now
                .iter()
                .find(|(one, _)| *one == name || (name == 3 && !state.nodes[usize::from(*one)].up));
            if let Some(gone) = gone {
                let mut set = now.clone();
                set.remove(gone);
                set.insert(member);
                return Some(set);
            }
        }
        None
    }
}

impl Model for Core {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        // Node 0 leads in the first term, and its first entry is on all disks.
        let node = |name| Node {
            up: name < 3,
            identity: name,
            term: u8::from(name < 3),
            voted: (name < 3).then_some(0),
            log: if name < 3 {
                vec![(1, What::Begin)]
            } else {
                Vec::new()
            },
            commit: usize::from(name == 0),
            leads: name == 0,
            stands: false,
        };
        vec![State {
            nodes: (0..NODES).map(node).collect(),
            said: BTreeSet::new(),
            agreed: vec![(1, What::Begin)],
            told: BTreeSet::new(),
            leaders: BTreeSet::from([(1, 0)]),
            crashes: 0,
            wipes: 0,
            replacements: 0,
            broken: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.broken {
            return;
        }
        for name in 0..NODES {
            let node = &state.nodes[usize::from(name)];
            if !node.up {
                continue;
            }
            let member = members(&node.log).0.contains(&self.me(state, name));
            if !node.leads && member && node.term < self.terms {
                steps.push(Step::Stand(name));
            }
            if node.stands {
                steps.push(Step::Win(name));
            }
            if node.leads {
                let own = node
                    .log
                    .get(node.commit.wrapping_sub(1))
                    .is_some_and(|(term, _)| *term == node.term);
                let taken = node
                    .log
                    .iter()
                    .any(|(_, what)| matches!(what, What::Change(_)));
                if own && !taken {
                    // One operator finds the first leader, the other any later one.
                    steps.push(Step::Propose(name, 1 + u8::from(node.term > 1)));
                }
                if !state.said.contains(&self.append(node, name)) {
                    steps.push(Step::Spread(name));
                }
                if self.agreeable(state, name).is_some() {
                    steps.push(Step::Agree(name));
                }
                steps.extend(
                    self.next_members(state, name)
                        .map(|set| Step::Change(name, set)),
                );
            }
            if state.crashes < self.crashes && node.leads {
                steps.push(Step::Crash(name));
            }
            if state.wipes < self.wipes && name == GOES && self.settled(state) {
                steps.push(Step::Wipe(name));
            }
            let news = state
                .said
                .iter()
                .filter(|said| self.changes(state, name, said));
            steps.extend(news.map(|said| Step::Hear(name, said.clone())));
        }
        let gone = &state.nodes[usize::from(GOES)];
        if state.replacements < self.replacements
            && gone.up
            && !gone.log.is_empty()
            && self.settled(state)
        {
            steps.push(Step::Replace(GOES));
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::Stand(name) => {
                let node = &mut state.nodes[usize::from(name)];
                node.term += 1;
                node.voted = Some(name);
                node.stands = true;
                let last = node.log.last().map_or(0, |(term, _)| *term);
                let ask = Said::Ask(node.term, name, last, node.log.len());
                state.said.insert(ask);
            }
            Step::Win(name) => {
                let me = self.me(&state, name);
                let node = &mut state.nodes[usize::from(name)];
                let votes = state.said.iter().filter_map(|said| match said {
                    Said::Vote(term, whom, who) if *term == node.term && *whom == name => {
                        Some(*who)
                    }
                    _ => None,
                });
                let votes: BTreeSet<Member> = votes.chain([me]).collect();
                if !self.suffices(&node.log, node.commit, &votes) {
                    return None;
                }
                (node.leads, node.stands) = (true, false);
                node.log.push((node.term, What::Begin));
                let term = node.term;
                state.broken |= state
                    .leaders
                    .iter()
                    .any(|(other, who)| *other == term && *who != name);
                state.leaders.insert((term, name));
            }
            Step::Propose(name, content) => {
                let node = &mut state.nodes[usize::from(name)];
                node.log.push((node.term, What::Change(content)));
            }
            Step::Change(name, set) => {
                let node = &mut state.nodes[usize::from(name)];
                node.log.push((node.term, What::Members(set)));
            }
            Step::Spread(name) => {
                let node = &state.nodes[usize::from(name)];
                let append = self.append(node, name);
                state.said.insert(append);
            }
            Step::Agree(name) => {
                let length = self.agreeable(&state, name)?;
                let node = &mut state.nodes[usize::from(name)];
                node.commit = length;
                for (at, entry) in node.log[..length].iter().enumerate() {
                    match state.agreed.get(at) {
                        Some(known) => state.broken |= known != entry,
                        None => state.agreed.push(entry.clone()),
                    }
                    if let What::Change(content) = entry.1 {
                        state.told.insert(content);
                    }
                }
            }
            Step::Crash(name) => {
                let node = &mut state.nodes[usize::from(name)];
                (node.leads, node.stands, node.commit) = (false, false, 0);
                state.crashes += 1;
            }
            Step::Wipe(name) => {
                let identity = if self.variant == Variant::WipedVotes {
                    name
                } else {
                    name + 10
                };
                let empty = Node {
                    identity,
                    up: true,
                    term: 0,
                    voted: None,
                    log: Vec::new(),
                    commit: 0,
                    leads: false,
                    stands: false,
                };
                state.nodes[usize::from(name)] = empty;
                state.wipes += 1;
            }
            Step::Replace(name) => {
                let node = &mut state.nodes[usize::from(name)];
                (node.up, node.leads, node.stands) = (false, false, false);
                (node.log, node.term, node.voted) = (Vec::new(), 0, None);
                state.nodes[usize::from(NODES - 1)].up = true;
                state.replacements += 1;
            }
            Step::Hear(name, said) => self.hear(&mut state, name, said)?,
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Core>> {
        vec![
            Property::always(
                "one leader a term, one entry a place",
                |_, state: &State| !state.broken,
            ),
            Property::always("one content a number", |_, state: &State| {
                state.told.len() <= 1
            }),
            Property::always("a leader has all that is agreed", |_, state: &State| {
                state
                    .nodes
                    .iter()
                    .filter(|node| node.up && node.leads)
                    .all(|node| {
                        let later = state.leaders.iter().any(|(term, _)| *term > node.term);
                        later
                            || node.log.len() >= state.agreed.len()
                                && node.log[..state.agreed.len()] == state.agreed[..]
                    })
            }),
            Property::sometimes("a change is taken", |_, state: &State| {
                !state.told.is_empty()
            }),
        ]
    }
}

impl Core {
    /// Whether a message may change anything where it comes: most of what was ever said does not any more.
    fn changes(&self, state: &State, name: u8, said: &Said) -> bool {
        let (node, me) = (&state.nodes[usize::from(name)], self.me(state, name));
        match said {
            Said::Ask(term, from, ..) => {
                let voted = || state.said.contains(&Said::Vote(*term, *from, me));
                *from != name
                    && (*term > node.term || *term == node.term && !node.leads && !voted())
            }
            Said::Append(term, from, log, commit) => {
                let has = || state.said.contains(&Said::Has(*term, me, log.len()));
                let same = !node.leads
                    && !node.stands
                    && *commit <= node.commit
                    && node.log.starts_with(log);
                *from != name && (*term > node.term || *term == node.term && !(same && has()))
            }
            Said::Vote(..) | Said::Has(..) => false,
        }
    }

    fn hear(&self, state: &mut State, name: u8, said: Said) -> Option<()> {
        let me = self.me(state, name);
        let node = &mut state.nodes[usize::from(name)];
        match said {
            Said::Ask(term, from, last_term, length) if from != name && term >= node.term => {
                if term > node.term {
                    (node.term, node.voted, node.leads, node.stands) = (term, None, false, false);
                }
                let mine = (node.log.last().map_or(0, |(term, _)| *term), node.log.len());
                let votes = members(&node.log).0.contains(&me);
                let free = node.voted.is_none() || node.voted == Some(from);
                if votes && free && !node.leads && (last_term, length) >= mine {
                    node.voted = Some(from);
                    state.said.insert(Said::Vote(term, from, me));
                }
            }
            Said::Append(term, from, log, commit) if from != name && term >= node.term => {
                if term > node.term {
                    (node.term, node.voted) = (term, None);
                }
                (node.leads, node.stands) = (false, false);
                let held = node.log.len() >= log.len() && node.log[..log.len()] == log[..];
                if !held {
                    node.log = log.clone();
                }
                node.commit = node.commit.max(commit.min(log.len()));
                state.said.insert(Said::Has(term, me, log.len()));
            }
            // Those who ask and lead look at these where they need them.
            _ => return None,
        }
        Some(())
    }
}

fn search(core: Core) -> (usize, bool) {
    let checker = core
        .checker()
        .threads(1)
        .finish_when(stateright::HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let mut wrong = false;
    for (name, path) in checker
        .discoveries()
        .into_iter()
        .filter(|(name, _)| *name != "a change is taken")
    {
        println!("{name}: {:?}", path.into_actions());
        wrong = true;
    }
    println!(
        "{} states, {} of them different, broken: {wrong}",
        checker.state_count(),
        checker.unique_state_count()
    );
    (checker.unique_state_count(), wrong)
}

const RIGHT: Core = Core {
    variant: Variant::Right,
    crashes: 1,
    wipes: 0,
    replacements: 0,
    terms: 2,
};

/// Guards the design: no order of steps breaks it within these bounds.
#[test]
fn no_order_of_steps_breaks_the_core() {
    for core in [
        RIGHT,
        Core {
            crashes: 0,
            wipes: 1,
            ..RIGHT
        },
        Core {
            crashes: 0,
            replacements: 1,
            ..RIGHT
        },
    ] {
        let (states, wrong) = search(core);
        assert!(!wrong && states > 1000, "{states} states");
    }
}

/// Guards the search: what it is meant to find it finds.
#[test]
fn wrong_variants_are_found() {
    let wiped = Core {
        crashes: 0,
        wipes: 1,
        ..RIGHT
    };
    let replaced = Core {
        crashes: 0,
        replacements: 1,
        ..RIGHT
    };
    assert!(
        search(Core {
            variant: Variant::OneDisk,
            ..RIGHT
        })
        .1,
        "what counts on one disk is not found"
    );
    assert!(
        search(Core {
            variant: Variant::WipedVotes,
            ..wiped
        })
        .1,
        "a wiped member that votes is not found"
    );
    assert!(
        search(Core {
            variant: Variant::NewMajorityAlone,
            ..replaced
        })
        .1,
        "a new majority alone is not found"
    );
}

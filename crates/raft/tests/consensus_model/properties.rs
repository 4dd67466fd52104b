//! The initial state and the properties that the search checks.

use super::actions::Action;
use super::state::{Entry, Node, NodeId, Payload, State};
use super::{starts_with, ConsensusModel, INITIAL_MEMBERS, NODE_COUNT};
use stateright::{Model, Property};
use std::collections::BTreeSet;

/// Name of the property that shows that commands are committed at all.
pub const COMMAND_IS_COMMITTED: &str = "a command is committed";

impl Model for ConsensusModel {
    type State = State;
    type Action = Action;

    /// Node 0 leads in the first term, and its first entry is on the disks of all members.
    fn init_states(&self) -> Vec<State> {
        let first_entry = Entry {
            term: 1,
            payload: Payload::NoOp,
        };
        let initial_member = |id: NodeId| Node {
            term: 1,
            voted_for: Some(0),
            log: vec![first_entry.clone()],
            commit: usize::from(id == 0),
            is_leader: id == 0,
            ..Node::empty(true, id)
        };
        let members = (0..INITIAL_MEMBERS).map(initial_member);
        let others = (INITIAL_MEMBERS..NODE_COUNT).map(|id| Node::empty(false, id));
        vec![State {
            nodes: members.chain(others).collect(),
            sent: BTreeSet::new(),
            committed: vec![first_entry.clone()],
            acknowledged: BTreeSet::new(),
            leaders: BTreeSet::from([(1, 0)]),
            crashes: 0,
            disk_losses: 0,
            replacements: 0,
            is_violated: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        self.possible_actions(state, actions);
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        self.perform(&mut state, action)?;
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<ConsensusModel>> {
        vec![
            Property::always(
                "one leader a term, one entry an index",
                |_, state: &State| !state.is_violated,
            ),
            Property::always("one content for the change", |_, state: &State| {
                state.acknowledged.len() <= 1
            }),
            Property::always("a leader has all that is committed", |_, state: &State| {
                is_leader_complete(state)
            }),
            Property::sometimes(COMMAND_IS_COMMITTED, |_, state: &State| {
                !state.acknowledged.is_empty()
            }),
        ]
    }
}

/// Leader completeness (paper, 5.4): every leader that no later one has replaced has all that is committed.
fn is_leader_complete(state: &State) -> bool {
    let mut leaders = state.nodes.iter().filter(|node| node.up && node.is_leader);
    leaders.all(|node| {
        let is_replaced = state.leaders.iter().any(|(term, _)| *term > node.term);
        is_replaced || starts_with(&node.log, &state.committed)
    })
}

//! The initial state and the properties that the search checks.

use super::actions::Action;
use super::state::{Entry, Node, NodeId, Payload, State};
use super::{starts_with, ConsensusModel, INITIAL_MEMBERS, NODE_COUNT};
use stateright::{Model, Property};
use std::collections::BTreeSet;

/// Name of the property that the search reaches a state in which a command is committed.
pub const COMMAND_IS_COMMITTED: &str = "a command is committed";

impl Model for ConsensusModel {
    type State = State;
    type Action = Action;

    /// Returns the state in which node 0 leads the first term and all members have persisted its
    /// first entry.
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
                "at most one leader per term and one entry per index",
                |_, state: &State| !state.is_violated,
            ),
            Property::always("at most one acknowledged command", |_, state: &State| {
                state.acknowledged.len() <= 1
            }),
            Property::always("a leader has all committed entries", |_, state: &State| {
                is_leader_complete(state)
            }),
            Property::sometimes(COMMAND_IS_COMMITTED, |_, state: &State| {
                !state.acknowledged.is_empty()
            }),
        ]
    }
}

/// Checks leader completeness (paper, 5.4): every leader that no later leader has replaced has all
/// committed entries.
fn is_leader_complete(state: &State) -> bool {
    let mut leaders = state.nodes.iter().filter(|node| node.up && node.is_leader);
    leaders.all(|node| {
        let is_replaced = state.leaders.iter().any(|(term, _)| *term > node.term);
        is_replaced || starts_with(&node.log, &state.committed)
    })
}

//! Exhaustive search of a model of the consensus rules (`consensus_model`) with bounded faults,
//! using stateright. The search must find violations in incorrect variants of the rules.

mod consensus_model;

use consensus_model::properties::COMMAND_IS_COMMITTED;
use consensus_model::{ConsensusModel, Variant};
use stateright::{Checker, Model};

/// The result of a search.
struct SearchResult {
    unique_states: usize,
    has_violation: bool,
}

/// Searches all states, until the first violation.
fn search(model: ConsensusModel) -> SearchResult {
    let checker = model
        .checker()
        .threads(1)
        .finish_when(stateright::HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let mut has_violation = false;
    for (property, path) in checker.discoveries() {
        if property != COMMAND_IS_COMMITTED {
            println!("{property}: {:?}", path.into_actions());
            has_violation = true;
        }
    }
    let unique_states = checker.unique_state_count();
    println!(
        "{} states, {unique_states} of them unique, violation: {has_violation}",
        checker.state_count(),
    );
    SearchResult {
        unique_states,
        has_violation,
    }
}

const ONE_CRASH: ConsensusModel = ConsensusModel {
    variant: Variant::Correct,
    max_crashes: 1,
    max_disk_losses: 0,
    max_replacements: 0,
    max_term: 2,
};

const ONE_DISK_LOSS: ConsensusModel = ConsensusModel {
    max_crashes: 0,
    max_disk_losses: 1,
    ..ONE_CRASH
};

const ONE_REPLACEMENT: ConsensusModel = ConsensusModel {
    max_crashes: 0,
    max_replacements: 1,
    ..ONE_CRASH
};

/// No order of actions within these bounds violates a property of the design.
#[test]
fn no_order_of_actions_violates_a_property() {
    for model in [ONE_CRASH, ONE_DISK_LOSS, ONE_REPLACEMENT] {
        let SearchResult {
            unique_states,
            has_violation,
        } = search(model);
        assert!(
            !has_violation && unique_states > 1000,
            "violation: {has_violation}, {unique_states} unique states"
        );
    }
}

fn assert_violation_found(variant: Variant, model: ConsensusModel, description: &str) {
    let result = search(ConsensusModel { variant, ..model });
    assert!(result.has_violation, "no violation found for {description}");
}

/// The search finds a violation in each incorrect variant of the rules.
#[test]
fn violations_of_incorrect_variants_are_found() {
    let variant = Variant::CommitWithoutQuorum;
    assert_violation_found(variant, ONE_CRASH, "commitment without a quorum");
    let variant = Variant::ReusedIdentity;
    assert_violation_found(
        variant,
        ONE_DISK_LOSS,
        "a member that votes with its old identity after losing its disk",
    );
    let variant = Variant::NewMajorityAlone;
    assert_violation_found(
        variant,
        ONE_REPLACEMENT,
        "membership changes committed by a majority of the new members alone",
    );
}

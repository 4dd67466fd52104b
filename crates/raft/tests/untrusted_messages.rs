//! Arbitrary messages, since any message that decodes may come from the network. No node panics,
//! exceeds its memory bounds, or has a state in memory that differs from the one that a restart
//! would read. Seeds are printed.

use maplefall_raft::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

const SEEDS: u64 = 600;
const INPUTS: u64 = 600;

/// Returns a number: small, near a bound, or arbitrary.
fn any_number(rng: &mut Pcg32) -> u64 {
    match rng.next_u32() % 8 {
        0 => 0,
        1 => u64::MAX,
        2 => u64::MAX - u64::from(rng.next_u32() % 3),
        3 => 1 << 62,
        4 => rng.next_u64(),
        _ => u64::from(rng.next_u32() % 12),
    }
}

fn any_bool(rng: &mut Pcg32) -> bool {
    rng.next_u32() % 2 == 0
}

fn any_members(rng: &mut Pcg32) -> Vec<Member> {
    let any_member = |rng: &mut Pcg32| Member {
        name: format!("n{}", rng.next_u32() % 5),
        identity: any_number(rng),
    };
    (0..rng.next_u32() % 4).map(|_| any_member(rng)).collect()
}

/// Returns an entry, mostly with the given index.
fn any_entry(rng: &mut Pcg32, index: u64) -> Entry {
    let index = if rng.next_u32() % 6 == 0 {
        any_number(rng)
    } else {
        index
    };
    let kind = (rng.next_u32() % 6) as i32;
    let payload = vec![1; (rng.next_u32() % 20) as usize];
    Entry {
        index,
        term: any_number(rng),
        kind,
        payload,
        members: any_members(rng),
    }
}

fn any_append_entries(rng: &mut Pcg32) -> AppendEntries {
    let prev_log_index = any_number(rng);
    let count = u64::from(rng.next_u32() % 4);
    let entries = (1..=count)
        .map(|n| any_entry(rng, prev_log_index.wrapping_add(n)))
        .collect();
    AppendEntries {
        prev_log_index,
        prev_log_term: any_number(rng),
        entries,
        leader_commit: any_number(rng),
        sequence: any_number(rng),
        last_response: any_number(rng),
        quorum_age_ms: any_number(rng),
        is_voter: any_bool(rng),
        released: any_bool(rng),
    }
}

fn any_append_response(
    rng: &mut Pcg32,
    membership: Option<MembershipRequest>,
) -> AppendEntriesResponse {
    let snapshot_progress = any_bool(rng).then(|| SnapshotProgress {
        index: any_number(rng),
        checksum: any_number(rng),
        received_bytes: any_number(rng),
    });
    AppendEntriesResponse {
        success: any_bool(rng),
        match_index: any_number(rng),
        received_index: any_number(rng),
        sequence: any_number(rng),
        number: any_number(rng),
        membership,
        snapshot_progress,
    }
}

/// Returns a chunk, of which each checksum and bound is correct half the time.
fn any_install_snapshot(rng: &mut Pcg32) -> InstallSnapshot {
    let chunk: Vec<u8> = vec![7; (rng.next_u32() % 30) as usize];
    let number_or = |rng: &mut Pcg32, correct: u64| {
        if any_bool(rng) {
            correct
        } else {
            any_number(rng)
        }
    };
    let chunk_checksum = number_or(rng, checksum(&chunk));
    InstallSnapshot {
        sequence: any_number(rng),
        index: any_number(rng),
        term: any_number(rng),
        members: any_members(rng),
        total_bytes: number_or(rng, chunk.len() as u64),
        checksum: number_or(rng, checksum(&chunk)),
        offset: number_or(rng, 0),
        chunk: chunk.into(),
        chunk_checksum,
    }
}

fn any_body(rng: &mut Pcg32) -> MessageBody {
    let membership = any_bool(rng).then(|| MembershipRequest {
        voter: any_bool(rng),
        initial: any_bool(rng),
        stopping: any_bool(rng),
    });
    match rng.next_u32() % 8 {
        0 => MessageBody::RequestVote(RequestVote {
            pre_vote: any_bool(rng),
            last_log_index: any_number(rng),
            last_log_term: any_number(rng),
        }),
        1 => MessageBody::RequestVoteResponse(RequestVoteResponse {
            pre_vote: any_bool(rng),
            granted: any_bool(rng),
            requested_term: any_number(rng),
        }),
        2 | 3 => MessageBody::AppendEntries(any_append_entries(rng)),
        4 => MessageBody::AppendEntriesResponse(any_append_response(rng, membership)),
        5 => MessageBody::InstallSnapshot(any_install_snapshot(rng)),
        6 => MessageBody::TimeoutNow(TimeoutNow {}),
        _ => MessageBody::JoinRequest(JoinRequest { membership }),
    }
}

/// Passes a random message to the node, half the time of the node's own term.
fn step_any_message(raft: &mut Raft, rng: &mut Pcg32, now: f64, ready: &mut Ready) {
    let term = if any_bool(rng) {
        raft.term()
    } else {
        any_number(rng)
    };
    let from = format!("n{}", rng.next_u32() % 5);
    let message = Message {
        term,
        identity: any_number(rng),
        body: Some(any_body(rng)),
    };
    raft.step(now, &from, message, ready);
}

/// Passes a random input to the node. Returns whether it was a message.
fn any_input(raft: &mut Raft, rng: &mut Pcg32, now: f64, ready: &mut Ready) -> bool {
    match rng.next_u32() % 10 {
        0 => raft.tick(now, ready),
        1 => drop(raft.propose(now, vec![1; 10], ready)),
        2 => drop(raft.read_index(now, ready)),
        3 if rng.next_u32() % 10 == 0 => raft.compact(vec![3; 20], ready),
        4 if rng.next_u32() % 50 == 0 => raft.shut_down(now, ready),
        _ => {
            step_any_message(raft, rng, now, ready);
            return true;
        }
    }
    false
}

/// Calls the node's read-only methods, none of which may panic in any state.
fn query_status(raft: &Raft, now: f64) {
    let _ = (
        raft.last_quorum_contact(now),
        raft.has_quorum_contact(now),
        raft.may_stop(now),
        raft.should_compact(),
    );
}

/// Runs one node with random inputs. Returns how many of them were messages.
fn run_with_any_inputs(seed: u64) -> u64 {
    let mut rng = Pcg32::seed_from_u64(seed);
    let names = ["n0", "n1", "n2"].map(str::to_owned);
    // The node is the only member, one of three members, or a new node.
    let initial_members = [Some(&names[..1]), Some(&names[..]), None][seed as usize % 3];
    let config = Config {
        initial_members,
        voter: true,
        max_failures: 1,
        interchangeable: any_bool(&mut rng),
        ..Config::default()
    };
    let (mut ready, mut now) = (Ready::default(), 0.0);
    let disk = PersistentState::default();
    let mut raft = Raft::new("n0", now, seed, disk, &config, &mut ready);
    let mut written = PersistentState::default();
    let mut messages = 0;
    for _ in 0..INPUTS {
        now += f64::from(rng.next_u32() % 80);
        for (number, update) in std::mem::take(&mut ready).writes {
            written.apply(update);
            if rng.next_u32() % 4 != 0 {
                raft.persisted(now, number, &mut ready);
            }
        }
        assert!(
            *raft.persistent_state() == written || !ready.writes.is_empty(),
            "the state in memory differs from the one that a restart would read"
        );
        messages += u64::from(any_input(&mut raft, &mut rng, now, &mut ready));
        query_status(&raft, now);
    }
    messages
}

/// Arbitrary messages at the internal port cause no panic, and no difference between memory and
/// disk.
#[test]
fn arbitrary_messages_neither_panic_nor_diverge_from_disk() {
    let mut messages = 0;
    for seed in 0..SEEDS {
        println!("seed {seed}");
        messages += run_with_any_inputs(seed);
    }
    println!("{messages} messages");
}

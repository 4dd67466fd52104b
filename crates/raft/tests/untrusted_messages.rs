//! What a stranger may say: anything that can be read as a message. No node panics, keeps more than is bounded, or holds another state
//! than its records amount to. Seeds are printed.

use maplefall_raft::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A number: small, near the edges, or any.
fn number(rng: &mut Pcg32) -> u64 {
    match rng.next_u32() % 8 {
        0 => 0,
        1 => u64::MAX,
        2 => u64::MAX - u64::from(rng.next_u32() % 3),
        3 => 1 << 62,
        4 => rng.next_u64(),
        _ => u64::from(rng.next_u32() % 12),
    }
}

fn flag(rng: &mut Pcg32) -> bool {
    rng.next_u32() % 2 == 0
}

fn members(rng: &mut Pcg32) -> Vec<Member> {
    let one = |rng: &mut Pcg32| Member {
        name: format!("n{}", rng.next_u32() % 5),
        identity: number(rng),
    };
    (0..rng.next_u32() % 4).map(|_| one(rng)).collect()
}

fn entry(rng: &mut Pcg32, index: u64) -> Entry {
    let index = if rng.next_u32() % 6 == 0 {
        number(rng)
    } else {
        index
    };
    let kind = (rng.next_u32() % 6) as i32;
    let payload = vec![1; (rng.next_u32() % 20) as usize];
    Entry {
        index,
        term: number(rng),
        kind,
        payload,
        members: members(rng),
    }
}

fn what(rng: &mut Pcg32) -> MessageBody {
    let wish = flag(rng).then(|| MembershipRequest {
        voter: flag(rng),
        initial: flag(rng),
        stopping: flag(rng),
    });
    match rng.next_u32() % 8 {
        0 => MessageBody::RequestVote(RequestVote {
            pre_vote: flag(rng),
            last_log_index: number(rng),
            last_log_term: number(rng),
        }),
        1 => MessageBody::RequestVoteResponse(RequestVoteResponse {
            pre_vote: flag(rng),
            granted: flag(rng),
            requested_term: number(rng),
        }),
        2 | 3 => {
            let prev_index = number(rng);
            let count = u64::from(rng.next_u32() % 4);
            let entries = (1..=count)
                .map(|n| entry(rng, prev_index.wrapping_add(n)))
                .collect();
            MessageBody::AppendEntries(AppendEntries {
                prev_log_index: prev_index,
                prev_log_term: number(rng),
                entries,
                leader_commit: number(rng),
                sequence: number(rng),
                last_response: number(rng),
                quorum_age_ms: number(rng),
                is_voter: flag(rng),
                released: flag(rng),
            })
        }
        4 => {
            let taken = flag(rng).then(|| SnapshotProgress {
                index: number(rng),
                checksum: number(rng),
                received_bytes: number(rng),
            });
            MessageBody::AppendEntriesResponse(AppendEntriesResponse {
                success: flag(rng),
                match_index: number(rng),
                received_index: number(rng),
                sequence: number(rng),
                number: number(rng),
                membership: wish,
                snapshot_progress: taken,
            })
        }
        5 => {
            let part: Vec<u8> = vec![7; (rng.next_u32() % 30) as usize];
            let sum = if flag(rng) {
                checksum(&part)
            } else {
                number(rng)
            };
            MessageBody::InstallSnapshot(InstallSnapshot {
                sequence: number(rng),
                index: number(rng),
                term: number(rng),
                members: members(rng),
                total_bytes: if flag(rng) {
                    part.len() as u64
                } else {
                    number(rng)
                },
                checksum: if flag(rng) {
                    checksum(&part)
                } else {
                    number(rng)
                },
                offset: if flag(rng) { 0 } else { number(rng) },
                chunk: part.into(),
                chunk_checksum: sum,
            })
        }
        6 => MessageBody::TimeoutNow(TimeoutNow {}),
        _ => MessageBody::JoinRequest(JoinRequest { membership: wish }),
    }
}

/// Guards the internal port: whatever comes, nothing breaks.
#[test]
fn whatever_a_stranger_says_nothing_breaks() {
    let mut messages = 0_u64;
    for seed in 0..600 {
        println!("seed {seed}");
        let mut rng = Pcg32::seed_from_u64(seed);
        let first = ["n0".to_owned(), "n1".to_owned(), "n2".to_owned()];
        // One that leads alone, one among three, one that is new.
        let first = [Some(&first[..1]), Some(&first[..]), None][seed as usize % 3];
        let setup = Config {
            initial_members: first,
            voter: true,
            max_failures: 1,
            interchangeable: flag(&mut rng),
            ..Config::default()
        };
        let (mut out, mut now) = (Ready::default(), 0.0);
        let mut tandem = Raft::new(
            "n0",
            now,
            seed,
            PersistentState::default(),
            &setup,
            &mut out,
        );
        let mut written = PersistentState::default();
        for _ in 0..600 {
            now += f64::from(rng.next_u32() % 80);
            for (number, record) in std::mem::take(&mut out).writes {
                written.apply(record);
                if rng.next_u32() % 4 != 0 {
                    tandem.written(now, number, &mut out);
                }
            }
            assert!(
                *tandem.persistent_state() == written || !out.writes.is_empty(),
                "another state than its records amount to"
            );
            match rng.next_u32() % 10 {
                0 => tandem.tick(now, &mut out),
                1 => drop(tandem.propose(now, vec![1; 10], &mut out)),
                2 => drop(tandem.read_index(now, &mut out)),
                3 if rng.next_u32() % 10 == 0 => tandem.compact(vec![3; 20], &mut out),
                4 if rng.next_u32() % 50 == 0 => tandem.shut_down(now, &mut out),
                _ => {
                    let term = if flag(&mut rng) {
                        tandem.term()
                    } else {
                        number(&mut rng)
                    };
                    let from = format!("n{}", rng.next_u32() % 5);
                    let message = Message {
                        term,
                        identity: number(&mut rng),
                        body: Some(what(&mut rng)),
                    };
                    messages += 1;
                    tandem.step(now, &from, message, &mut out);
                }
            }
            let _ = (
                tandem.last_quorum_contact(now),
                tandem.has_quorum_contact(now),
                tandem.may_stop(now),
                tandem.should_compact(),
            );
        }
    }
    println!("{messages} messages");
}

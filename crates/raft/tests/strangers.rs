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

fn what(rng: &mut Pcg32) -> What {
    let wish = flag(rng).then(|| Wish {
        counts: flag(rng),
        first: flag(rng),
        leaving: flag(rng),
    });
    match rng.next_u32() % 8 {
        0 => What::Ask(Ask {
            would: flag(rng),
            last_index: number(rng),
            last_term: number(rng),
        }),
        1 => What::Voted(Voted {
            would: flag(rng),
            granted: flag(rng),
            asked: number(rng),
        }),
        2 | 3 => {
            let prev_index = number(rng);
            let count = u64::from(rng.next_u32() % 4);
            let entries = (1..=count)
                .map(|n| entry(rng, prev_index.wrapping_add(n)))
                .collect();
            What::Append(Append {
                prev_index,
                prev_term: number(rng),
                entries,
                commit: number(rng),
                round: number(rng),
                echo: number(rng),
                age: number(rng),
                member: flag(rng),
                left: flag(rng),
            })
        }
        4 => {
            let taken = flag(rng).then(|| Taken {
                index: number(rng),
                whole: number(rng),
                bytes: number(rng),
            });
            What::Appended(Appended {
                fits: flag(rng),
                matched: number(rng),
                received: number(rng),
                round: number(rng),
                number: number(rng),
                wish,
                taken,
            })
        }
        5 => {
            let part: Vec<u8> = vec![7; (rng.next_u32() % 30) as usize];
            let sum = if flag(rng) {
                checksum(&part)
            } else {
                number(rng)
            };
            What::Install(Install {
                round: number(rng),
                index: number(rng),
                term: number(rng),
                members: members(rng),
                length: if flag(rng) {
                    part.len() as u64
                } else {
                    number(rng)
                },
                whole: if flag(rng) {
                    checksum(&part)
                } else {
                    number(rng)
                },
                offset: if flag(rng) { 0 } else { number(rng) },
                part: part.into(),
                sum,
            })
        }
        6 => What::Stand(Stand {}),
        _ => What::Join(Join { wish }),
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
        let setup = Setup {
            first,
            counts: true,
            losses: 1,
            alike: flag(&mut rng),
            ..Setup::default()
        };
        let (mut out, mut now) = (Out::default(), 0.0);
        let mut tandem = Tandem::new("n0", now, seed, Durable::default(), &setup, &mut out);
        let mut written = Durable::default();
        for _ in 0..600 {
            now += f64::from(rng.next_u32() % 80);
            for (number, record) in std::mem::take(&mut out).writes {
                written.take(record);
                if rng.next_u32() % 4 != 0 {
                    tandem.written(now, number, &mut out);
                }
            }
            assert!(
                *tandem.holds() == written || !out.writes.is_empty(),
                "another state than its records amount to"
            );
            match rng.next_u32() % 10 {
                0 => tandem.tick(now, &mut out),
                1 => drop(tandem.propose(now, vec![1; 10], &mut out)),
                2 => drop(tandem.read(now, &mut out)),
                3 if rng.next_u32() % 10 == 0 => tandem.fold(vec![3; 20], &mut out),
                4 if rng.next_u32() % 50 == 0 => tandem.leave(now, &mut out),
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
                        what: Some(what(&mut rng)),
                    };
                    messages += 1;
                    tandem.receive(now, &from, message, &mut out);
                }
            }
            let _ = (
                tandem.contact(now),
                tandem.in_touch(now),
                tandem.left(now),
                tandem.should_fold(),
            );
        }
    }
    println!("{messages} messages");
}

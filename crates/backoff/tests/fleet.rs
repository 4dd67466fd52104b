//! Pauses put in terms of a fleet: doors that fail together do not come together again.

use maplefall_backoff::{BackOff, FLEET_CALLS_A_SECOND, LONGEST};
use maplefall_policy::Millis;

/// A service that all doors ask at once: it takes a call each `each` milliseconds, and turns one away whose turn would
/// come only after `patience`, when that has passed. Tells when each door was served, and how many calls it took.
fn play(
    doors: u32,
    each: Millis,
    patience: Millis,
    pause: &mut dyn FnMut(u32) -> Millis,
) -> (Vec<Millis>, u32) {
    let mut calls: Vec<(Millis, u32)> = (0..doors).map(|door| (0.0, door)).collect();
    let (mut served, mut made, mut free) = (Vec::new(), 0, 0.0f64);
    while let Some(next) = (0..calls.len()).min_by(|a, b| calls[*a].0.total_cmp(&calls[*b].0)) {
        let (now, door) = calls.swap_remove(next);
        made += 1;
        free = free.max(now);
        // Turning away costs it as much as half an answer.
        if free + each - now > patience {
            free += each / 2.0;
            calls.push((now + patience + pause(door), door));
        } else {
            free += each;
            served.push(free);
        }
        if made > 100 * doors {
            break;
        }
    }
    (served, made)
}

/// Guards a service that has turned a whole fleet away: with an even pause, as short for a hundred doors as for one, the
/// calls alone keep it busy for good; with pauses by the size of the fleet all are served.
#[test]
fn a_fleet_that_was_turned_away_is_served_in_the_end() {
    let (each, patience) = (60.0, 2000.0);
    let (served, _) = play(100, each, patience, &mut |_| 0.0);
    assert!(
        served.len() < 100 || served[99] > 14_000.0,
        "an even pause should show what is guarded against"
    );
    for seed in 0..20u64 {
        let mut doors: Vec<_> = (0..100)
            .map(|door| BackOff::new(100, 250.0, seed * 1000 + door))
            .collect();
        let (served, made) = play(100, each, patience, &mut |door| {
            doors[door as usize].pause()
        });
        assert_eq!(served.len(), 100, "seed {seed}");
        assert!(
            served[99] < 60_000.0,
            "seed {seed}: the last after {} ms",
            served[99]
        );
        assert!(made < 500, "seed {seed}: {made} calls");
    }
}

/// Guards few doors: one of four waits hardly longer than the shortest pause, as ever.
#[test]
fn few_doors_hardly_wait_and_none_waits_for_ever() {
    for (doors, most) in [
        (0, 250.0),
        (1, 250.0),
        (4, 670.0),
        (100, 16_670.0),
        (u32::MAX, LONGEST),
    ] {
        let mut pauses = BackOff::new(doors, 250.0, 7);
        let drawn: Vec<_> = (0..200).map(|_| pauses.pause()).collect();
        assert!(
            drawn.iter().all(|pause| (250.0..=most).contains(pause)),
            "{doors} doors"
        );
        let calls = f64::from(doors.min(100)) * 1000.0 / (drawn.iter().sum::<f64>() / 200.0);
        assert!(
            calls <= 2.5 * FLEET_CALLS_A_SECOND || doors < 10,
            "{doors} doors call {calls} times a second"
        );
    }
    for shortest in [f64::NAN, -1.0, f64::INFINITY] {
        assert!((1.0..=LONGEST).contains(&BackOff::new(3, shortest, 7).pause()));
    }
}

/// Guards the first failure after a good time: it is waited for as little as the first of all.
#[test]
fn a_service_that_has_served_is_asked_soon_again() {
    let mut pauses = BackOff::new(100, 250.0, 7);
    (0..10).for_each(|_| _ = pauses.pause());
    let longest = (0..50).map(|_| pauses.pause()).fold(0.0, f64::max);
    let firsts = (0..50).map(|_| {
        pauses.served();
        pauses.pause()
    });
    let first = firsts.fold(0.0, f64::max);
    assert!(longest > 9000.0 && first <= 8400.0, "{longest} {first}");
}

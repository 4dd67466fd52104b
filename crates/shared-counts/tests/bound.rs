//! The stated bound: what a door says of the age of its news is true (all that was used until then is in its totals), and no
//! news is older than [`Settings::news_bound`](maplefall_shared_counts::Settings::news_bound), which is not so loose that it says
//! nothing.

mod world;
use world::*;

/// Plays so many doors with this loss and delay; the greatest age of news, and the bound.
fn oldest_news(doors: usize, loss: f64, delay: (f64, f64), seed: u64) -> (f64, f64) {
    let set = settings();
    let bound = set.news_bound(doors, loss, delay.1);
    let mut world = World::new(
        doors,
        set,
        Link {
            loss,
            doubled: 0.05,
            delay,
        },
        seed,
    );
    world.meet(120_000.0);
    world.play(2000.0);
    // What was used of one customer, thousandths, in the order of time.
    let mut used: Vec<(f64, i64)> = vec![(world.now, 0)];
    let mut worst: f64 = 0.0;
    let mut total = 0;
    while used.len() < 250 {
        let at = (chance(&mut world.rng) * doors as f64) as usize;
        world.used(at, 1, 3.0);
        total += 3000;
        used.push((world.now, total));
        world.play(25.0);
        for at in 0..doors {
            let known = world.node(at).total(1);
            assert!(known <= total, "door {at} counts {known} of {total}");
            let now = world.clock(at);
            let age = now - world.node(at).news(now).0;
            worst = worst.max(age);
            // News is taken to have come by the shortest way that was seen, and times are whole milliseconds.
            let since = world.now - age - delay.0 - 2.0;
            let before = used.partition_point(|(when, _)| *when < since);
            let due = used[..before].last().map_or(0, |(_, sum)| *sum);
            assert!(
                known >= due,
                "door {at} says that all until {age:.0} ms ago is known: {known} of {due}"
            );
        }
    }
    println!(
        "{doors} doors, loss {loss}, delay {delay:?}: worst {worst:.0} ms, bound {bound:.0} ms"
    );
    (worst, bound)
}

#[test]
fn news_is_never_older_than_the_bound_and_the_bound_is_not_too_loose() {
    let mut nearest: f64 = 0.0;
    for (doors, loss, delay) in [
        (3, 0.01, (0.2, 2.0)),
        (10, 0.01, (0.2, 2.0)),
        (10, 0.3, (0.2, 2.0)),
        (10, 0.3, (50.0, 500.0)),
        (30, 0.01, (0.2, 2.0)),
        (30, 0.3, (0.2, 100.0)),
        (100, 0.01, (0.2, 2.0)),
    ] {
        for seed in 0..if doors < 100 { 2 } else { 1 } {
            let (worst, bound) = oldest_news(doors, loss, delay, seed);
            assert!(worst <= bound, "{worst} ms, {bound} ms stated");
            nearest = nearest.max(worst / bound);
        }
    }
    assert!(
        nearest >= 1.0 / 3.0,
        "the worst seen is {nearest:.2} of the bound"
    );
}

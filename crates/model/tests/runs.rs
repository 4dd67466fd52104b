//! The invariants of the rules over many seeds, the same bytes for the same seed, and files that cannot be used.

use maplefall_model::play;
use maplefall_model::world::{Fault, LoadBalancer, World};
use std::process::{Command, Output};

fn faulty_world() -> World {
    World {
        seconds: 8.0,
        proxies: 6,
        backends: 10,
        load: 0.7,
        warm_up_ms: 4000.0,
        faults: vec![
            Fault::RestartProxies {
                at_s: 2.0,
                fraction: 0.5,
                down_ms: [300.0, 1500.0],
            },
            Fault::ReplaceBackends {
                at_s: 3.0,
                fraction: 0.5,
                over_s: 2.0,
                drain_ms: 1500.0,
            },
            Fault::SlowBackends {
                at_s: 1.0,
                fraction: 0.3,
                speed: 0.4,
                for_s: 3.0,
            },
        ],
        ..World::default()
    }
}

/// The five rules in the model, over a hundred seeds with proxies killed, backends replaced and slow ones: one answer each, nothing
/// unsafe twice, no late send after a drain, no warming up backend pushed over, and all requests at proxies accounted for.
#[test]
fn invariants_hold_over_a_hundred_seeds() {
    let world = faulty_world();
    for seed in 0..100 {
        let one = play(&world, seed);
        assert_eq!(
            (
                one.duplicate_answers,
                one.executed_twice,
                one.late_sends,
                one.overload_failures
            ),
            (0, 0, 0, 0),
            "seed {seed}"
        );
        assert_eq!(
            one.proxy_requests,
            one.served + one.rejected + one.failed + one.lost,
            "seed {seed}"
        );
        assert!(
            one.served_value > 0.3 && one.served_value <= 1.0,
            "seed {seed}: {}",
            one.served_value
        );
    }
}

/// The checks are no empty ones: a policy that knows nothing of warming up backends pushes them over, and one that lets all in passes
/// quotas.
#[test]
fn baseline_policy_breaks_invariants() {
    let mut world = World {
        load_balancer: LoadBalancer::Aperture(1),
        load: 0.9,
        ..faulty_world()
    };
    world.admission = maplefall_model::world::Admission::None;
    let outcomes: Vec<_> = (0..10).map(|seed| play(&world, seed)).collect();
    assert!(outcomes.iter().any(|one| one.overload_failures > 0));
    assert!(outcomes.iter().all(|one| one.over_quota_units > 0.01));
}

#[test]
fn oracle_serves_more_value_than_module() {
    let served_value = |load_balancer| {
        play(
            &World {
                load_balancer,
                ..faulty_world()
            },
            3,
        )
        .served_value
    };
    let (module, oracle) = (
        served_value(LoadBalancer::Module),
        served_value(LoadBalancer::Oracle),
    );
    assert!(oracle > module, "{oracle} {module}");
}

#[test]
fn same_seed_gives_same_outcome() {
    let world = faulty_world();
    assert_eq!(play(&world, 7), play(&world, 7));
    assert_ne!(play(&world, 7), play(&world, 8));
}

fn model(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_maplefall-model"))
        .args(words)
        .output()
        .expect("the program starts")
}

fn file(name: &str, text: &str) -> String {
    let path = format!(
        "{}/{name}-{}.toml",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    std::fs::write(&path, text).expect("a file");
    path
}

/// Two processes, one run at a time and eight, a grid and its parts: the same bytes.
#[test]
fn output_is_independent_of_process_and_jobs() {
    let path = file(
        "same",
        "seconds = 2\n[[trouble]]\nwhat = \"restart-doors\"\nat_s = 1\npart = 0.5\ndown_ms = [100, 300]\n",
    );
    let runs = |jobs: &str| model(&["run", &path, "--seeds", "9", "--jobs", jobs]).stdout;
    let one = runs("1");
    assert_eq!(one, runs("8"));
    assert_eq!(one, runs("1"));
    assert_eq!(String::from_utf8_lossy(&one).lines().count(), 9);
    let sweep = |jobs: &str| {
        model(&[
            "sweep",
            &path,
            "--over",
            "doors=2,4",
            "--over",
            "choice=module,random",
            "--jobs",
            jobs,
        ])
    };
    let (one, eight) = (sweep("1"), sweep("8"));
    assert_eq!(one.stdout, eight.stdout);
    assert_eq!(String::from_utf8_lossy(&one.stdout).lines().count(), 12);
}

#[test]
fn compare_reports_real_differences_only() {
    let one = file(
        "one",
        "seconds = 4\nchoice = \"random\"\nadmission = \"none\"\n",
    );
    let other = file(
        "other",
        "seconds = 4\nchoice = \"least-out\"\nadmission = \"none\"\n",
    );
    let compare = |first: &str, second: &str| {
        let output = model(&[
            "compare", first, second, "--figure", "p99_ms", "--seeds", "8", "--jobs", "2",
        ]);
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    assert!(
        compare(&one, &other).starts_with("p99_ms: -"),
        "{}",
        compare(&one, &other)
    );
    assert!(compare(&one, &one).starts_with("no difference seen"));
}

/// A sweep drawn: one line for each kind, and what cannot be drawn is notified.
#[test]
fn plot_draws_results() {
    let path = file("drawn", "seconds = 2\n");
    let sweep = model(&[
        "sweep",
        &path,
        "--over",
        "doors=2,4",
        "--over",
        "choice=module,random",
        "--seeds",
        "2",
    ]);
    let results = file("results", &String::from_utf8_lossy(&sweep.stdout));
    let out = format!("{results}.svg");
    let plot = |x: &str, y: &str| {
        model(&[
            "plot", &results, "--x", x, "--y", y, "--by", "choice", "--out", &out,
        ])
    };
    for (x, y) in [("doors", "worth"), ("second", "worth")] {
        assert_eq!(plot(x, y).status.code(), Some(0), "{x}");
        let svg = std::fs::read_to_string(&out).expect("an SVG");
        assert!(svg.contains("<svg") && svg.contains("module") && svg.contains("random"));
    }
    let wrong = plot("doors", "world");
    assert_eq!(wrong.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&wrong.stderr).contains("figures"));
}

/// One line each with file, field and what was expected, exit code 2, and nothing played.
#[test]
fn invalid_world_files_are_reported() {
    for (text, expected) in [
        ("second = 3", "unknown field `second`"),
        ("seconds = \"long\"", "seconds"),
        ("backends = 0", "backends: a number from 1"),
        ("load = 0", "load: a number from 0.001"),
        ("load = -3.0", "load:"),
        ("delay_ms = [5, 1]", "delay_ms.1: a number from 5"),
        ("units = 9", "units: a number from 1 to 8"),
        ("choice = { aperture = 0 }", "choice.aperture"),
        ("[[trouble]]\nwhat = \"restart-doors\"\nat_s = 99\npart = 0.5\ndown_ms = [1, 2]", "trouble.0.at_s: a number from 0 to 20"),
        ("[[trouble]]\nwhat = \"earthquake\"\nat_s = 1", "earthquake"),
        ("[[class]]\nshare = 1\nwork_ms = 1\ncv = 1\naim_ms = 9\ngive_up_ms = 3\nworth = 1\neffect = \"maybe\"", "class.0.effect"),
        ("doors = 10000\nbackends = 100000", "bytes"),
        ("seconds = 3600\nbackends = 100000\nload = 1.0", "requests"),
    ] {
        let output = model(&["run", &file("bad", text)]);
        let told = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0), "{text}: {told}");
        assert!(told.contains(expected) && told.contains("bad-"), "{text}: {told}");
    }
    assert_eq!(model(&["run", "/nowhere.toml"]).status.code(), Some(2));
}

/// A world with all that days have: uneven customers whose busiest proxy changes, groups of demand with spikes, guesses that are
/// settled, a meter that is late, caps, ceilings, zones, clients that follow advice at times.
fn days() -> World {
    let text = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../worlds/days.toml"
    ));
    let world = World::read(&text.expect("worlds/days.toml")).expect("a world");
    World {
        seconds: 10.0,
        ..world
    }
}

/// The rules and the ceilings over fifty seeds of such days with floods, customers that come once, a partition and a lost zone.
#[test]
fn invariants_and_ceilings_hold_on_uneven_load() {
    let mut world = World { zones: 3, ..days() };
    world.faults = vec![
        Fault::Flood {
            at_s: 2.0,
            for_s: 4.0,
            customers: 3,
            times: 10.0,
            through: 2,
        },
        Fault::OneShots {
            at_s: 3.0,
            for_s: 3.0,
            share: 0.3,
        },
        Fault::Partition {
            at_s: 4.0,
            for_s: 2.0,
            proxies: 0.5,
            backends: 0.3,
        },
        Fault::LoseZone {
            at_s: 5.0,
            for_s: 2.0,
            zone: 1,
        },
    ];
    for seed in 0..50 {
        let one = play(&world, seed);
        assert_eq!(
            (
                one.duplicate_answers,
                one.executed_twice,
                one.late_sends,
                one.overload_failures
            ),
            (0, 0, 0, 0),
            "seed {seed}"
        );
        assert_eq!(one.over_ceiling, 0, "seed {seed}");
        assert_eq!(
            one.proxy_requests,
            one.served + one.rejected + one.failed + one.lost,
            "seed {seed}"
        );
        let by_reason: u64 = one.rejections.values().sum();
        assert_eq!(by_reason, one.rejected, "seed {seed}");
        assert!(one.served_value > 0.3, "seed {seed}: {}", one.served_value);
    }
}

/// Who knows no ceilings breaks them, so that keeping them is no empty word.
#[test]
fn policy_without_admission_breaks_ceilings() {
    let mut world = World {
        load_balancer: LoadBalancer::LeastOutstanding,
        ..days()
    };
    world.admission = maplefall_model::world::Admission::None;
    world.faults = vec![Fault::Flood {
        at_s: 1.0,
        for_s: 8.0,
        customers: 30,
        times: 10.0,
        through: 0,
    }];
    assert!((0..5).any(|seed| play(&world, seed).over_ceiling > 0));
}

/// What the new parts of a world are for can be seen in its figures.
#[test]
fn world_fields_affect_figures() {
    let mean = |world: &World, of: &dyn Fn(&maplefall_model::Outcome) -> f64| {
        (0..6).map(|seed| of(&play(world, seed))).sum::<f64>() / 6.0
    };
    let served_value = |world: &World| mean(world, &|one| one.served_value);
    // Even shares lose by unevenness, and one that sees all does not.
    let even = World {
        load_balancer: LoadBalancer::LeastOutstanding,
        uneven: 0.0,
        ..days()
    };
    let uneven = World {
        uneven: 0.9,
        ..even.clone()
    };
    assert!(
        served_value(&even) > served_value(&uneven) + 0.05,
        "{} {}",
        served_value(&even),
        served_value(&uneven)
    );
    let seen = World {
        load_balancer: LoadBalancer::Oracle,
        ..uneven
    };
    assert!(served_value(&seen) > 0.97, "{}", served_value(&seen));
    // Slices rise where a meter would tell of too much, so that uneven customers get more of their quotas.
    let metered = World {
        uneven: 0.6,
        ..days()
    };
    let blind = World {
        meter_ms: 0.0,
        ..metered.clone()
    };
    assert!(
        served_value(&metered) > served_value(&blind) + 0.02,
        "{} {}",
        served_value(&metered),
        served_value(&blind)
    );
    // Backends of other zones are left alone where crossing has a price.
    let free = World {
        zones: 2,
        cross_zone_ms: [0.0, 0.0],
        ..days()
    };
    let dear = World {
        cross_zone_price: 0.05,
        ..free.clone()
    };
    let cross_zone_attempts = |world: &World| mean(world, &|one| one.cross_zone_attempts);
    assert!(
        cross_zone_attempts(&free) > 2.0 * cross_zone_attempts(&dear),
        "{} {}",
        cross_zone_attempts(&free),
        cross_zone_attempts(&dear)
    );
    // A partition costs attempts, not answers.
    let mut cut = World {
        proxies: 2,
        ..days()
    };
    cut.faults = vec![Fault::Partition {
        at_s: 2.0,
        for_s: 4.0,
        proxies: 1.0,
        backends: 0.5,
    }];
    assert!(served_value(&cut) > 0.5, "{}", served_value(&cut));
    assert!(mean(&cut, &|one| one.failed as f64) > mean(&days(), &|one| one.failed as f64));
    // A lost zone comes back warming up.
    let mut lost = World { zones: 3, ..days() };
    lost.faults = vec![Fault::LoseZone {
        at_s: 3.0,
        for_s: 2.0,
        zone: 0,
    }];
    assert!(mean(&lost, &|one| one.dead as f64) > 0.0);
}

/// A search finds the smallest seed, and its world is as small as it can be read: what is not needed is gone.
#[test]
fn search_shrinks_world() {
    let path = file(
        "searched",
        "seconds = 8\ndoors = 6\nzones = 2\nchoice = \"least-out\"\nadmission = \"none\"\n\
         [[trouble]]\nwhat = \"slow-backends\"\nat_s = 1\npart = 0.5\nspeed = 0.5\nfor_s = 3\n\
         [[trouble]]\nwhat = \"one-shots\"\nat_s = 2\nfor_s = 3\nshare = 0.3\n",
    );
    let output = model(&[
        "search",
        &path,
        "--breaks",
        "beyond>0.05",
        "--seeds",
        "3",
        "--runs",
        "200",
    ]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(
        output.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let small = World::read(&text).expect("what is printed is a world");
    assert!(
        small.faults.is_empty() && small.proxies == 1 && small.zones == 1,
        "{text}"
    );
    assert!(
        play(&small, 1).over_quota_units > 0.05
            || play(&small, 2).over_quota_units > 0.05
            || play(&small, 3).over_quota_units > 0.05
    );
    let none = model(&["search", &path, "--breaks", "ran_twice>0", "--seeds", "2"]);
    assert!(String::from_utf8_lossy(&none.stdout).starts_with("not seen"));
    for wrong in ["beyond", "nothing>1", "beyond>much"] {
        assert_eq!(
            model(&["search", &path, "--breaks", wrong]).status.code(),
            Some(2),
            "{wrong}"
        );
    }
}

/// The load of a world is its client requests in the order of their times, whoever decides.
#[test]
fn load_depends_on_seed_alone() {
    let world = World {
        seconds: 3.0,
        ..days()
    };
    let asks = maplefall_model::run::load(&world, 4);
    assert_eq!(asks.len() as u64, play(&world, 4).client_requests);
    assert!(asks.windows(2).all(|pair| pair[0].at <= pair[1].at));
    assert!(asks
        .iter()
        .all(|ask| ask.at < 3000.0 && ask.plan < 4 && ask.class < 3 && ask.spread == 4));
    let path = file("load", "seconds = 1\n");
    let lines = |seed: &str| model(&["load", &path, "--seed", seed]).stdout;
    assert_eq!(lines("2"), lines("2"));
    assert_ne!(lines("2"), lines("3"));
    let first = String::from_utf8_lossy(&lines("2"))
        .lines()
        .next()
        .map(str::to_owned)
        .expect("a line");
    assert!(
        serde_json::from_str::<maplefall_model::run::GeneratedRequest>(&first).is_ok(),
        "{first}"
    );
}

/// A frontier's table has a row for each place, and what the bound does not cover is notified.
#[test]
fn frontier_prints_table_or_json_lines() {
    let path = file(
        "frontier",
        "seconds = 3\ncustomers = 20\n[[plan]]\nshare = 1\nrate = 4\nburst = 16\nprice = 1\n\
         [[demand]]\nshare = 1\npart = [0.5, 0.5]\n[[demand]]\nshare = 1\npart = [3, 3]\n",
    );
    let words = [
        "frontier", &path, "--doors", "1,5", "--uneven", "0,0.5", "--seeds", "2", "--cost", "0.5",
    ];
    let table = String::from_utf8_lossy(&model(&words).stdout).into_owned();
    assert_eq!(table.lines().count(), 5, "{table}");
    let json = model(&[words.as_slice(), &["--json", "--jobs", "4"]].concat());
    let text = String::from_utf8_lossy(&json.stdout).into_owned();
    assert_eq!(text.lines().count(), 4 * 5, "{text}");
    assert!(text.lines().all(|line| line.contains("\"value\"")));
    let metered = file("metered", "meter_ms = 500\n");
    let told = model(&["frontier", &metered]);
    assert_eq!(told.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&told.stderr).contains("plan: one plan"));
}

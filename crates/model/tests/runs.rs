//! Invariants over many seeds, determinism of the output, and reports of invalid files.

use maplefall_model::simulate;
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

/// The five invariants over a hundred seeds with killed proxies, replaced backends and slow ones:
/// one response each, no non-idempotent request executed twice, no late send after a drain, no
/// warming-up backend overloaded, and all requests at proxies accounted for.
#[test]
fn invariants_hold_over_a_hundred_seeds() {
    let world = faulty_world();
    for seed in 0..100 {
        let outcome = simulate(&world, seed);
        assert_eq!(
            (
                outcome.duplicate_responses,
                outcome.executed_twice,
                outcome.late_sends,
                outcome.overload_failures
            ),
            (0, 0, 0, 0),
            "seed {seed}"
        );
        assert_eq!(
            outcome.proxy_requests,
            outcome.served + outcome.rejected + outcome.failed + outcome.lost,
            "seed {seed}"
        );
        assert!(
            outcome.served_value > 0.3 && outcome.served_value <= 1.0,
            "seed {seed}: {}",
            outcome.served_value
        );
    }
}

/// Guards against checks that cannot fail: a policy that ignores slow start overloads warming-up
/// backends, and one that admits everything exceeds quotas.
#[test]
fn baseline_policy_breaks_invariants() {
    let mut world = World {
        load_balancer: LoadBalancer::Aperture(1),
        load: 0.9,
        ..faulty_world()
    };
    world.admission = maplefall_model::world::Admission::None;
    let outcomes: Vec<_> = (0..10).map(|seed| simulate(&world, seed)).collect();
    assert!(outcomes.iter().any(|outcome| outcome.overload_failures > 0));
    assert!(outcomes
        .iter()
        .all(|outcome| outcome.over_quota_units > 0.01));
}

#[test]
fn oracle_serves_more_value_than_module() {
    let served_value = |load_balancer| {
        simulate(
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
    assert_eq!(simulate(&world, 7), simulate(&world, 7));
    assert_ne!(simulate(&world, 7), simulate(&world, 8));
}

fn run_model(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_maplefall-model"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn write_file(name: &str, text: &str) -> String {
    let path = format!(
        "{}/{name}-{}.toml",
        env!("CARGO_TARGET_TMPDIR"),
        std::process::id()
    );
    std::fs::write(&path, text).expect("a file");
    path
}

/// Two processes, and one or eight runs in parallel, give the same bytes, for single worlds and for
/// a grid.
#[test]
fn output_is_independent_of_process_and_jobs() {
    let path = write_file(
        "same",
        "seconds = 2\n[[trouble]]\nwhat = \"restart-doors\"\nat_s = 1\npart = 0.5\ndown_ms = [100, 300]\n",
    );
    let runs = |jobs: &str| run_model(&["run", &path, "--seeds", "9", "--jobs", jobs]).stdout;
    let sequential = runs("1");
    assert_eq!(sequential, runs("8"));
    assert_eq!(sequential, runs("1"));
    assert_eq!(String::from_utf8_lossy(&sequential).lines().count(), 9);
    let sweep = |jobs: &str| {
        run_model(&[
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
    let (sequential, parallel) = (sweep("1"), sweep("8"));
    assert_eq!(sequential.stdout, parallel.stdout);
    assert_eq!(
        String::from_utf8_lossy(&sequential.stdout).lines().count(),
        12
    );
}

#[test]
fn compare_reports_real_differences_only() {
    let random = write_file(
        "one",
        "seconds = 4\nchoice = \"random\"\nadmission = \"none\"\n",
    );
    let least_outstanding = write_file(
        "other",
        "seconds = 4\nchoice = \"least-out\"\nadmission = \"none\"\n",
    );
    let compare = |first: &str, second: &str| {
        let output = run_model(&[
            "compare", first, second, "--figure", "p99_ms", "--seeds", "8", "--jobs", "2",
        ]);
        String::from_utf8_lossy(&output.stdout).into_owned()
    };
    assert!(
        compare(&random, &least_outstanding).starts_with("p99_ms: -"),
        "{}",
        compare(&random, &least_outstanding)
    );
    assert!(compare(&random, &random).starts_with("no difference seen"));
}

/// A sweep is plotted with one series for each policy; a field that is not a figure is an error.
#[test]
fn plot_draws_results() {
    let path = write_file("drawn", "seconds = 2\n");
    let sweep = run_model(&[
        "sweep",
        &path,
        "--over",
        "doors=2,4",
        "--over",
        "choice=module,random",
        "--seeds",
        "2",
    ]);
    let results = write_file("results", &String::from_utf8_lossy(&sweep.stdout));
    let out = format!("{results}.svg");
    let plot = |x: &str, y: &str| {
        run_model(&[
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

/// Each invalid file gives an error line with file, field and the expected value, exit code 2, and
/// no run.
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
        let output = run_model(&["run", &write_file("bad", text)]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0), "{text}: {stderr}");
        assert!(stderr.contains(expected) && stderr.contains("bad-"), "{text}: {stderr}");
    }
    assert_eq!(run_model(&["run", "/nowhere.toml"]).status.code(), Some(2));
}

/// Returns a world with uneven customers whose busiest proxy changes, groups of demand with spikes,
/// estimated units that are corrected, a delayed meter, limits on attempts in flight, hard rate
/// limits, zones, and clients that honour advised delays only sometimes.
fn uneven_world() -> World {
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

/// The invariants and hard rate limits hold over fifty seeds with floods, one-shot customers, a
/// partition and a lost zone.
#[test]
fn invariants_and_rate_limits_hold_on_uneven_load() {
    let mut world = World {
        zones: 3,
        ..uneven_world()
    };
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
        let outcome = simulate(&world, seed);
        assert_eq!(
            (
                outcome.duplicate_responses,
                outcome.executed_twice,
                outcome.late_sends,
                outcome.overload_failures
            ),
            (0, 0, 0, 0),
            "seed {seed}"
        );
        assert_eq!(outcome.over_rate_limit, 0, "seed {seed}");
        assert_eq!(
            outcome.proxy_requests,
            outcome.served + outcome.rejected + outcome.failed + outcome.lost,
            "seed {seed}"
        );
        let by_reason: u64 = outcome.rejections.values().sum();
        assert_eq!(by_reason, outcome.rejected, "seed {seed}");
        assert!(
            outcome.served_value > 0.3,
            "seed {seed}: {}",
            outcome.served_value
        );
    }
}

/// Guards against a check that cannot fail: a policy that ignores rate limits breaks them.
#[test]
fn policy_without_admission_breaks_rate_limits() {
    let mut world = World {
        load_balancer: LoadBalancer::LeastOutstanding,
        ..uneven_world()
    };
    world.admission = maplefall_model::world::Admission::None;
    world.faults = vec![Fault::Flood {
        at_s: 1.0,
        for_s: 8.0,
        customers: 30,
        times: 10.0,
        through: 0,
    }];
    assert!((0..5).any(|seed| simulate(&world, seed).over_rate_limit > 0));
}

/// Each of these world fields has a visible effect on the figures.
#[test]
fn world_fields_affect_figures() {
    let mean = |world: &World, of: &dyn Fn(&maplefall_model::Outcome) -> f64| {
        (0..6).map(|seed| of(&simulate(world, seed))).sum::<f64>() / 6.0
    };
    let served_value = |world: &World| mean(world, &|outcome| outcome.served_value);
    // Even shares lose value on uneven load; the oracle does not.
    let even = World {
        load_balancer: LoadBalancer::LeastOutstanding,
        uneven: 0.0,
        ..uneven_world()
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
    let oracle = World {
        load_balancer: LoadBalancer::Oracle,
        ..uneven
    };
    assert!(served_value(&oracle) > 0.97, "{}", served_value(&oracle));
    // With a meter, slices grow until the meter would report overuse, so that uneven customers get
    // more of their quotas.
    let metered = World {
        uneven: 0.6,
        ..uneven_world()
    };
    let unmetered = World {
        meter_ms: 0.0,
        ..metered.clone()
    };
    assert!(
        served_value(&metered) > served_value(&unmetered) + 0.02,
        "{} {}",
        served_value(&metered),
        served_value(&unmetered)
    );
    // Backends of other zones are avoided if crossing has a price.
    let unpriced = World {
        zones: 2,
        cross_zone_ms: [0.0, 0.0],
        ..uneven_world()
    };
    let priced = World {
        cross_zone_price: 0.05,
        ..unpriced.clone()
    };
    let cross_zone_attempts = |world: &World| mean(world, &|outcome| outcome.cross_zone_attempts);
    assert!(
        cross_zone_attempts(&unpriced) > 2.0 * cross_zone_attempts(&priced),
        "{} {}",
        cross_zone_attempts(&unpriced),
        cross_zone_attempts(&priced)
    );
    // A partition costs attempts but leaves most of the value.
    let mut partitioned = World {
        proxies: 2,
        ..uneven_world()
    };
    partitioned.faults = vec![Fault::Partition {
        at_s: 2.0,
        for_s: 4.0,
        proxies: 1.0,
        backends: 0.5,
    }];
    assert!(
        served_value(&partitioned) > 0.5,
        "{}",
        served_value(&partitioned)
    );
    assert!(
        mean(&partitioned, &|outcome| outcome.failed as f64)
            > mean(&uneven_world(), &|outcome| outcome.failed as f64)
    );
    // Attempts reach the dead backends of a lost zone.
    let mut zone_lost = World {
        zones: 3,
        ..uneven_world()
    };
    zone_lost.faults = vec![Fault::LoseZone {
        at_s: 3.0,
        for_s: 2.0,
        zone: 0,
    }];
    assert!(mean(&zone_lost, &|outcome| outcome.dead as f64) > 0.0);
}

/// A search shrinks its world: faults, proxies and zones that are not needed are removed.
#[test]
fn search_shrinks_world() {
    let path = write_file(
        "searched",
        "seconds = 8\ndoors = 6\nzones = 2\nchoice = \"least-out\"\nadmission = \"none\"\n\
         [[trouble]]\nwhat = \"slow-backends\"\nat_s = 1\npart = 0.5\nspeed = 0.5\nfor_s = 3\n\
         [[trouble]]\nwhat = \"one-shots\"\nat_s = 2\nfor_s = 3\nshare = 0.3\n",
    );
    let output = run_model(&[
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
    let small = World::read(&text).expect("the output is a valid world");
    assert!(
        small.faults.is_empty() && small.proxies == 1 && small.zones == 1,
        "{text}"
    );
    assert!(
        simulate(&small, 1).over_quota_units > 0.05
            || simulate(&small, 2).over_quota_units > 0.05
            || simulate(&small, 3).over_quota_units > 0.05
    );
    let none = run_model(&["search", &path, "--breaks", "ran_twice>0", "--seeds", "2"]);
    assert!(String::from_utf8_lossy(&none.stdout).starts_with("not seen"));
    for wrong in ["beyond", "nothing>1", "beyond>much"] {
        assert_eq!(
            run_model(&["search", &path, "--breaks", wrong])
                .status
                .code(),
            Some(2),
            "{wrong}"
        );
    }
}

/// The generated load is the client requests of a run in order of time, and depends on the seed.
#[test]
fn load_depends_on_seed_alone() {
    let world = World {
        seconds: 3.0,
        ..uneven_world()
    };
    let requests = maplefall_model::run::load(&world, 4);
    assert_eq!(requests.len() as u64, simulate(&world, 4).client_requests);
    assert!(requests.windows(2).all(|pair| pair[0].at <= pair[1].at));
    assert!(requests.iter().all(|request| request.at < 3000.0
        && request.plan < 4
        && request.class < 3
        && request.spread == 4));
    let path = write_file("load", "seconds = 1\n");
    let lines = |seed: &str| run_model(&["load", &path, "--seed", seed]).stdout;
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

/// The frontier's table has a row for each grid point; a world that the bound does not cover is an
/// error.
#[test]
fn frontier_prints_table_or_json_lines() {
    let path = write_file(
        "frontier",
        "seconds = 3\ncustomers = 20\n[[plan]]\nshare = 1\nrate = 4\nburst = 16\nprice = 1\n\
         [[demand]]\nshare = 1\npart = [0.5, 0.5]\n[[demand]]\nshare = 1\npart = [3, 3]\n",
    );
    let arguments = [
        "frontier", &path, "--doors", "1,5", "--uneven", "0,0.5", "--seeds", "2", "--cost", "0.5",
    ];
    let table = String::from_utf8_lossy(&run_model(&arguments).stdout).into_owned();
    assert_eq!(table.lines().count(), 5, "{table}");
    let json = run_model(&[arguments.as_slice(), &["--json", "--jobs", "4"]].concat());
    let text = String::from_utf8_lossy(&json.stdout).into_owned();
    assert_eq!(text.lines().count(), 4 * 5, "{text}");
    assert!(text.lines().all(|line| line.contains("\"value\"")));
    let metered = write_file("metered", "meter_ms = 500\n");
    let stderr = run_model(&["frontier", &metered]);
    assert_eq!(stderr.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&stderr.stderr).contains("plan: one plan"));
}

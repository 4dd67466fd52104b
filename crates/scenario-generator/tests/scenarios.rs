//! Drawn scenarios: each can be parsed again, holds only listed kinds and variants, and is
//! reproducible from the seed.

use maplefall_scenario_generator::generator::{Emphasis, ScenarioGenerator};
use maplefall_scenario_generator::kinds::{
    Kinds, Permanence, Target, BACKEND_SELECTORS, MACHINE_MODIFIERS, MACHINE_SELECTORS,
    MID_RESPONSE_STOP, PARTITION_EFFECTS,
};
use maplefall_scenario_generator::site::Site;
use std::collections::BTreeSet;
use toml::{Table, Value};

const KINDS: &str = "\
Each entry has 'at' (seconds) and 'kind'. for_s: how long (5). share: part of the things, count: a number of them.
For servers, 'how' may also hold across (of all copies) and all. For machines, 'how' may also hold leader or seed. After these may \
stand meet (a change meets it), hard and, for roll_term, busy. Cuts are silent unless 'how' holds reset or refuse.
closing = { kind = power_off_all | wipe_after_ack, down_s } strikes at the end (how timed: 5 to 400 ms after; how taken: right after)

hot_tenant: one tenant sends x times its usual; count: its rank by size
srv_crash: share (.15) of a service's servers are down for for_s; how: dark (silent, or so), gone (for good)
scale_in: share (.15) drain and leave; how: spot (they are gone x s (2) after the notice; others come 4 s later)
answer_lost: share (.5) lose the answer of x (.03) of the requests
node_kill: share (.1) of the machines: SIGKILL; how: power (dark for for_s)
roll_term: share (1) get SIGTERM, x (1) at a time, each gap_s, and start again; how: remove (they leave)
herd_kill: share (.6) are killed at once; how: power; on core: all of them; how taken: all lose power
after_ack_kill: the machine that acknowledges a change (and count - 1 more) loses power; how: kill, timed (later), taken (other)
after_ack_wipe: the same, or counted machines drawn by lot, and they come back with empty disks
disk_stall: count (1) disks answer nothing
clock_step: the time of day jumps by x ms (2000) on share (.3) of all machines and back after for_s; how: back ahead
core_cut: count (1) counted machines are cut off; how: one_way, seeds (new seeds begin; others, too), both (one, then others)
node_cut: share (.1) are cut off from all counted machines; how: servers (share of the servers, from all machines)
config_change: how: route weights
config_race: count (1) pairs of changes on the same version, each gap_s
bad_config: count (1), each gap_s; how: cut_short old_version
solar_flare: x (4) of whatever there is; how: left right
";

const SITE: &str = r#"
name = "tiny"
length_s = 20.0
zones = [{ name = "north", region = "r" }, { name = "south", region = "r" }]
services = [{ name = "maps" }, { name = "mail" }]
machines = [{ class = "front", count = 2 }, { class = "core", count = 1 }]
troubles = [{ kind = "garble", how = "extra late" }, { kind = "hot_tenant", x = 7.5, for_s = 6.5 }]
[tolerate]
machines = 1
[[day]]
name = "calm"
slot = "quiet"
seed = 1
goal = { floor = 0.5 }
traffic = [{ zone = "north", mix = { look = 4.4 }, per_s = 70.6, shape = { kind = "wave", swing = 0.15 } }]
plan = [{ at = 1.0, kind = "config_change", how = "idle" }]
faults = []
[[day]]
name = "rough"
slot = "trouble"
seed = 2
goal = { floor = 0.4 }
traffic = [{ zone = "south", mix = { look = 4.4 }, per_s = 50.0 }]
closing = { kind = "wipe_after_ack", down_s = 1.0, how = "aimed" }
plan = []
faults = [{ at = 2, kind = "herd_kill", share = 0.4 }]
"#;

const ALL_EMPHASES: [Emphasis; 4] = [
    Emphasis::Mixed,
    Emphasis::ControlPlane,
    Emphasis::Responses,
    Emphasis::Long,
];

fn site() -> Site {
    Site::parse(SITE).expect("the test's site can be parsed")
}

fn draw_scenarios(emphasis: Emphasis, seed: u64, count: u32) -> Vec<(String, Table)> {
    let (site, kinds) = (site(), Kinds::parse(KINDS));
    let mut generator = ScenarioGenerator::new(&site, &kinds, emphasis, seed);
    let scenarios = (0..count).map(|number| {
        generator
            .next_scenario(number)
            .expect("the site has standard scenarios")
    });
    scenarios
        .map(|scenario| {
            (
                scenario.name.clone(),
                toml::from_str(&scenario.to_toml()).expect("a scenario can be parsed again"),
            )
        })
        .collect()
}

fn entries<'a>(scenario: &'a Table, list: &str) -> Vec<&'a Table> {
    let list = scenario
        .get(list)
        .and_then(Value::as_array)
        .expect("a scenario has both lists");
    list.iter()
        .map(|entry| entry.as_table().expect("an entry is a table"))
        .collect()
}

fn text<'a>(entry: &'a Table, field: &str) -> &'a str {
    entry.get(field).and_then(Value::as_str).unwrap_or_default()
}

fn number(entry: &Table, field: &str) -> Option<f64> {
    let value = entry.get(field)?;
    value
        .as_float()
        .or_else(|| value.as_integer().map(|integer| integer as f64))
}

#[test]
fn the_list_of_kinds_is_parsed() {
    let kinds = Kinds::parse(KINDS);
    assert_eq!(kinds.kinds.len(), 17);
    let variants = |name: &str| kinds.kind(name).expect("listed").variants.join(" ");
    assert_eq!(variants("srv_crash"), "dark gone");
    assert_eq!(variants("herd_kill"), "power taken");
    assert_eq!(variants("after_ack_kill"), "kill timed taken");
    assert_eq!(
        variants("after_ack_wipe"),
        "kill timed taken",
        "a kind that does the same as the previous one has its variants"
    );
    assert_eq!(variants("core_cut"), "one_way seeds both");
    assert_eq!(variants("clock_step"), "back ahead");
    assert_eq!(variants("solar_flare"), "left right");
    let field =
        |name: &str, field: &str| kinds.kind(name).expect("listed").fields.get(field).copied();
    assert_eq!(field("clock_step", "x"), Some(Some(2000.0)));
    assert_eq!(field("srv_crash", "share"), Some(Some(0.15)));
    assert_eq!(field("hot_tenant", "x"), Some(None));
    assert_eq!(field("disk_stall", "share"), None);
    let target = |name: &str| kinds.kind(name).expect("listed").target;
    assert_eq!(target("disk_stall"), Target::Counted);
    assert_eq!(target("after_ack_wipe"), Target::Counted);
    assert_eq!(target("core_cut"), Target::Counted);
    assert_eq!(target("roll_term"), Target::Machines);
    assert_eq!(target("node_cut"), Target::Machines);
    assert_eq!(target("srv_crash"), Target::Backends);
    assert_eq!(target("config_race"), Target::Orders);
    assert_eq!(target("solar_flare"), Target::Other);
    let permanence = |name: &str| kinds.kind(name).expect("listed").permanence.clone();
    assert_eq!(
        permanence("roll_term"),
        Permanence::With("remove".to_owned())
    );
    assert_eq!(permanence("srv_crash"), Permanence::With("gone".to_owned()));
    assert_eq!(permanence("scale_in"), Permanence::Always);
    assert_eq!(permanence("node_kill"), Permanence::Never);
    assert_eq!(kinds.closing_kinds, ["power_off_all", "wipe_after_ack"]);
    assert_eq!(kinds.closing_variants, ["timed", "taken"]);
    // Modifiers that the head does not name are not used.
    assert!(!kinds.modifiers.contains("race") && !kinds.modifiers.contains("reader"));
}

#[test]
fn entries_use_listed_kinds_at_times_within_the_scenario() {
    let kinds = Kinds::parse(KINDS);
    let site = site();
    let modifiers: BTreeSet<&str> = MACHINE_SELECTORS
        .iter()
        .chain(&MACHINE_MODIFIERS)
        .chain(&BACKEND_SELECTORS)
        .chain(&PARTITION_EFFECTS)
        .chain([&MID_RESPONSE_STOP])
        .copied()
        .filter(|word| kinds.modifiers.contains(*word))
        .collect();
    for emphasis in ALL_EMPHASES {
        for (name, scenario) in draw_scenarios(emphasis, 11, 40) {
            assert_eq!(text(&scenario, "name"), name);
            for list in ["plan", "faults"] {
                let mut last = 0.0;
                for entry in entries(&scenario, list) {
                    let kind = kinds.kind(text(entry, "kind")).expect("a listed kind");
                    let at = number(entry, "at").expect("an entry has a time");
                    assert!(
                        at >= last && at > 0.0 && at < site.length_s,
                        "{name}: {entry}"
                    );
                    last = at;
                    for word in text(entry, "how")
                        .split(' ')
                        .filter(|word| !word.is_empty())
                    {
                        let own = kind.variants.iter().any(|how| how == word);
                        let seen = site
                            .variants
                            .get(&kind.name)
                            .is_some_and(|variants| variants.contains(word));
                        assert!(own || seen || modifiers.contains(word), "{name}: {entry}");
                    }
                    let share = number(entry, "share").unwrap_or(0.5);
                    assert!(share > 0.0 && share <= 1.0, "{name}: {entry}");
                    assert!(
                        number(entry, "count").unwrap_or(1.0) >= 1.0,
                        "{name}: {entry}"
                    );
                    assert!(
                        number(entry, "for_s").unwrap_or(1.0) > 0.0,
                        "{name}: {entry}"
                    );
                }
            }
            if let Some(closing) = scenario.get("closing").and_then(Value::as_table) {
                assert!(kinds
                    .closing_kinds
                    .iter()
                    .any(|kind| kind == text(closing, "kind")));
                let how = text(closing, "how");
                let aimed = how == "aimed" && text(closing, "kind") == "wipe_after_ack";
                assert!(
                    how.is_empty()
                        || aimed
                        || kinds.closing_variants.iter().any(|known| known == how)
                );
            }
        }
    }
}

#[test]
fn faults_and_planned_changes_use_different_kinds() {
    let planned = [
        "config_change",
        "config_race",
        "bad_config",
        "roll_term",
        "scale_in",
    ];
    let mut seen = BTreeSet::new();
    for (name, scenario) in draw_scenarios(Emphasis::Mixed, 3, 60) {
        let (plan, faults) = (entries(&scenario, "plan"), entries(&scenario, "faults"));
        assert!(
            (3..=40).contains(&plan.len()),
            "{name}: {} planned changes",
            plan.len()
        );
        assert!(
            (4..=12).contains(&faults.len()),
            "{name}: {} faults",
            faults.len()
        );
        assert!(
            plan.iter()
                .all(|entry| planned.contains(&text(entry, "kind"))),
            "{name}"
        );
        assert!(
            faults
                .iter()
                .all(|entry| !planned.contains(&text(entry, "kind"))),
            "{name}"
        );
        for entry in plan.iter().chain(&faults) {
            seen.insert(text(entry, "kind").to_owned());
        }
    }
    let all: BTreeSet<String> = Kinds::parse(KINDS)
        .kinds
        .into_iter()
        .map(|kind| kind.name)
        .collect();
    assert_eq!(
        seen, all,
        "every listed kind is drawn, including one unknown to the generator"
    );
}

#[test]
fn long_scenarios_have_hundreds_of_changes() {
    for (name, scenario) in draw_scenarios(Emphasis::Long, 5, 10) {
        let changes = entries(&scenario, "plan")
            .iter()
            .filter(|entry| text(entry, "kind") == "config_change")
            .count();
        assert!(changes >= 120, "{name}: {changes} changes");
    }
    let control_plane_share = |emphasis: Emphasis| -> f64 {
        let (mut control_plane, mut all) = (0, 0);
        for (_, scenario) in draw_scenarios(emphasis, 6, 60) {
            for entry in entries(&scenario, "faults") {
                let kind = Kinds::parse(KINDS)
                    .kind(text(entry, "kind"))
                    .expect("listed")
                    .target;
                all += 1;
                control_plane += u32::from(kind == Target::Counted || text(entry, "on") == "core");
            }
        }
        f64::from(control_plane) / f64::from(all)
    };
    assert!(
        control_plane_share(Emphasis::ControlPlane) > 0.6,
        "{}",
        control_plane_share(Emphasis::ControlPlane)
    );
    assert!(
        control_plane_share(Emphasis::Responses) < 0.2,
        "{}",
        control_plane_share(Emphasis::Responses)
    );
}

#[test]
fn every_closing_kind_is_drawn_with_every_variant() {
    let mut seen = BTreeSet::new();
    for (_, scenario) in draw_scenarios(Emphasis::ControlPlane, 8, 200) {
        match scenario.get("closing").and_then(Value::as_table) {
            Some(closing) => seen.insert(format!(
                "{} {}",
                text(closing, "kind"),
                text(closing, "how")
            )),
            None => seen.insert("none".to_owned()),
        };
    }
    let all = [
        "none",
        "power_off_all ",
        "power_off_all taken",
        "power_off_all timed",
        "wipe_after_ack ",
    ];
    let all = all.into_iter().chain([
        "wipe_after_ack aimed",
        "wipe_after_ack taken",
        "wipe_after_ack timed",
    ]);
    assert_eq!(seen, all.map(str::to_owned).collect());
}

#[test]
fn at_least_half_of_proxies_and_backends_are_never_removed() {
    for emphasis in ALL_EMPHASES {
        for (name, scenario) in draw_scenarios(emphasis, 21, 60) {
            let (mut proxies, mut backends) = (0.0, 0.0);
            for entry in entries(&scenario, "plan")
                .into_iter()
                .chain(entries(&scenario, "faults"))
            {
                let how: Vec<&str> = text(entry, "how").split(' ').collect();
                // This modifier affects all backends of a service, regardless of the share.
                let all = how.contains(&"all");
                let share = if all {
                    1.0
                } else {
                    number(entry, "share").unwrap_or(1.0)
                };
                match text(entry, "kind") {
                    "roll_term" if how.contains(&"remove") && text(entry, "on") != "core" => {
                        proxies += share
                    }
                    "srv_crash" if how.contains(&"gone") => backends += share,
                    "scale_in" => backends += share,
                    _ => {}
                }
            }
            assert!(
                proxies < 0.52 && backends < 0.52,
                "{name}: {proxies} of the proxies, {backends} of the backends"
            );
        }
    }
}

#[test]
fn the_same_seed_gives_the_same_scenarios() {
    for emphasis in ALL_EMPHASES {
        assert_eq!(
            draw_scenarios(emphasis, 42, 12),
            draw_scenarios(emphasis, 42, 12)
        );
        assert_ne!(
            draw_scenarios(emphasis, 42, 12),
            draw_scenarios(emphasis, 43, 12)
        );
    }
}

#[test]
fn scenarios_keep_traffic_and_goal_of_the_site() {
    for (name, scenario) in draw_scenarios(Emphasis::Mixed, 9, 20) {
        let standard = site()
            .standard_scenarios
            .into_iter()
            .find(|standard| standard.get("slot") == scenario.get("slot"));
        let standard = standard.expect("a scenario comes from a standard scenario");
        assert_eq!(scenario.get("traffic"), standard.get("traffic"), "{name}");
        assert_eq!(scenario.get("goal"), standard.get("goal"), "{name}");
    }
}

#[test]
fn an_unusable_site_is_rejected() {
    assert!(Site::parse("name = 1").is_err());
    assert!(Site::parse("name = \"a\"\nlength_s = 20.0")
        .expect_err("no day")
        .contains("no day"));
    assert!(Site::parse("name = \"a\"\nlength_s = 1.0\n[[day]]\nname = \"x\"").is_err());
    assert_eq!(Kinds::parse("nothing here\n").kinds, []);
}

//! The program as its users call it: a short rehearsal of the built daemon, and what it says to what it cannot play.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::OnceLock;

/// The daemon as it is released, and one that was built to be broken.
struct Daemons {
    whole: PathBuf,
    broken: PathBuf,
}

/// Builds both daemons of this workspace, one after the other, since one target folder holds one of them at a time.
fn daemons() -> &'static Daemons {
    static BUILT: OnceLock<Daemons> = OnceLock::new();
    BUILT.get_or_init(|| {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let target = Path::new(env!("CARGO_TARGET_TMPDIR")).join("daemon");
        let build = |features: &[&str], name: &str| {
            let built = Command::new(env!("CARGO"))
                .current_dir(&root)
                .args([
                    "build",
                    "--locked",
                    "--quiet",
                    "-p",
                    "maplefall",
                    "--target-dir",
                ])
                .arg(&target)
                .args(features)
                .status()
                .expect("cargo runs");
            assert!(built.success(), "the daemon builds");
            let path = target.join(name);
            // A name of its own, moved into place whole: an earlier run's may still be in use.
            let fresh = path.with_extension("new");
            std::fs::copy(target.join("debug/maplefall"), &fresh).expect("a copy");
            std::fs::rename(&fresh, &path).expect("a file replaced");
            path
        };
        Daemons {
            whole: build(&[], "whole"),
            broken: build(&["--features", "breakages"], "broken"),
        }
    })
}

fn rehearse(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_maplefall-rehearse"));
    command.args(arguments).env_remove("CARGO");
    command.output().expect("the program starts")
}

/// Plays, and plays again where the run is void: a machine that was too busy for the stand-ins says nothing of the daemon.
fn rehearse_in_time(arguments: &[&str]) -> Output {
    let mut last = rehearse(arguments);
    for _ in 0..3 {
        if last.status.code() != Some(2) || !String::from_utf8_lossy(&last.stderr).contains("void")
        {
            break;
        }
        last = rehearse(arguments);
    }
    last
}

fn file(name: &str) -> String {
    format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"))
}

fn judged(path: &str) -> Value {
    serde_json::from_str(&std::fs::read_to_string(path).expect("a judgement")).expect("JSON")
}

fn verdict(judgement: &Value, rule: usize) -> &str {
    judgement["rules"][rule - 1]["verdict"]
        .as_str()
        .expect("a verdict")
}

/// Guards the kit as a whole: real processes, failures by script, and no rule called broken that was not; the record
/// can be judged again and says the same.
#[test]
fn a_short_rehearsal_is_played_and_every_rule_holds() {
    let (json, record) = (file("short.json"), file("short.ndjson"));
    let daemon = daemons().whole.to_str().expect("a path");
    let run = rehearse_in_time(&[
        "run", "short", "--daemon", daemon, "--json", &json, "--record", &record,
    ]);
    let said = String::from_utf8_lossy(&run.stdout).into_owned();
    assert_eq!(
        run.status.code(),
        Some(0),
        "{said}{}",
        String::from_utf8_lossy(&run.stderr)
    );
    let judgement = judged(&json);
    for rule in [1, 2, 3] {
        assert_eq!(verdict(&judgement, rule), "kept", "{said}");
    }
    assert!(
        judgement["figures"]["served"].as_u64() > Some(200),
        "{said}"
    );
    assert!(
        judgement["figures"]["not_taken"].as_u64() > Some(0),
        "a front door died: {said}"
    );
    let again = file("again.json");
    let run = rehearse(&["judge", &record, "--json", &again]);
    assert_eq!(run.status.code(), Some(0));
    assert_eq!(judged(&again), judgement);
}

#[test]
fn what_cannot_be_played_is_told_with_code_two() {
    let said = |arguments: &[&str]| {
        let output = rehearse(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    assert!(said(&["run", "storm"]).contains("no scenario is called \"storm\"; there are calm"));
    assert!(
        said(&["run", "calm", "--daemon", "/no/such/file"]).contains("/no/such/file: no such file")
    );
    // One that does not serve at all is no front door that broke a rule.
    let text = said(&["run", "short", "--daemon", "/bin/false"]);
    // Both of the scenario's front doors end at once: either may be seen first.
    assert!(
        (0..2).any(|door| text.contains(&format!("front door {door} ended before it was ready"))),
        "{text}"
    );
    let path = file("bad.toml");
    std::fs::write(
        &path,
        "version = 1\ntitle = \"x\"\nseconds = 9\n[fleet]\ndors = 2\nnodes = 0\n",
    )
    .unwrap();
    let text = said(&["run", &path]);
    assert!(text.contains("line 5: fleet.dors: no such key"), "{text}");
    assert!(
        text.contains("line 6: fleet.nodes: a number from 1 to 200 was expected"),
        "{text}"
    );
    let path = file("cut.ndjson");
    std::fs::write(&path, "{\"version\":1}\n").unwrap();
    assert!(said(&["judge", &path]).contains("line 1: "));
}

#[test]
fn the_same_seed_gives_the_same_script_byte_for_byte() {
    let script = |seed: &str| rehearse(&["script", "short", "--seed", seed]).stdout;
    assert_eq!(script("4"), script("4"));
    assert_ne!(script("4"), script("5"));
    assert!(script("4").len() > 10_000);
}

#[test]
fn help_teaches_and_the_list_names_every_event() {
    let help = rehearse(&["--help"]);
    let text = String::from_utf8_lossy(&help.stdout).into_owned();
    assert!(
        help.status.success() && text.contains("Exit code: 0 all rules held, 1 a rule was broken"),
        "{text}"
    );
    let list = String::from_utf8_lossy(&rehearse(&["list"]).stdout).into_owned();
    for name in ["calm", "short", "kill_doors", "replace_nodes", "rude"] {
        assert!(list.contains(name), "{name}");
    }
}

/// Guards the judge against blindness and against false alarms: three broken daemons are each found by the rule that they
/// break, and the whole one is not accused in the same scenarios.
#[test]
fn three_broken_daemons_are_found_and_the_whole_one_is_not_accused() {
    let Daemons { whole, broken } = daemons();
    let (whole, broken) = (
        whole.to_str().expect("a path"),
        broken.to_str().expect("a path"),
    );
    let only = "stale-body,two-out,drain-ignored";
    let run = rehearse_in_time(&[
        "prove", "--daemon", whole, "--broken", broken, "--only", only, "--jobs", "2",
    ]);
    let said = String::from_utf8_lossy(&run.stdout).into_owned();
    assert_eq!(
        run.status.code(),
        Some(0),
        "{said}{}",
        String::from_utf8_lossy(&run.stderr)
    );
    assert!(said.contains("5 of 5 as they should be"), "{said}");
    // A breakage that goes unfound must not pass: a whole daemon in the broken one's place is one.
    let run = rehearse_in_time(&[
        "prove", "--daemon", whole, "--broken", whole, "--only", "two-out", "--jobs", "2",
    ]);
    let said = String::from_utf8_lossy(&run.stdout).into_owned();
    assert_eq!(run.status.code(), Some(1), "{said}");
    assert!(said.contains("1 of 2 as they should be"), "{said}");
}

/// Guards those who run the released daemon: nothing in it can be told to break.
#[test]
fn the_whole_daemon_holds_no_breakage_and_the_broken_one_knows_its_own() {
    let holds = |path: &Path| {
        let bytes = std::fs::read(path).expect("a daemon");
        bytes
            .windows(18)
            .any(|window| window == b"MAPLEFALL_BREAKAGE")
    };
    let Daemons { whole, broken } = daemons();
    assert!(!holds(whole) && holds(broken));
}

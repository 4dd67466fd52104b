//! The program as its users call it: a short rehearsal of the built daemon, and what it says to what it cannot play.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::OnceLock;

/// Builds the daemon of this workspace; `features` into a folder of its own.
fn daemon() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let target = Path::new(env!("CARGO_TARGET_TMPDIR")).join("daemon");
        let built = Command::new(env!("CARGO"))
            .current_dir(root)
            .args(["build", "--locked", "--quiet", "-p", "maplefall", "--target-dir"])
            .arg(&target)
            .status()
            .expect("cargo runs");
        assert!(built.success(), "the daemon builds");
        target.join("debug/maplefall")
    })
}

fn rehearse(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_maplefall-rehearse"));
    command.args(arguments).env_remove("CARGO");
    command.output().expect("the program starts")
}

fn file(name: &str) -> String {
    format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"))
}

fn judged(path: &str) -> Value {
    serde_json::from_str(&std::fs::read_to_string(path).expect("a judgement")).expect("JSON")
}

fn verdict(judgement: &Value, rule: usize) -> &str {
    judgement["rules"][rule - 1]["verdict"].as_str().expect("a verdict")
}

/// Guards the kit as a whole: real processes, failures by script, and no rule called broken that was not; the record
/// can be judged again and says the same.
#[test]
fn a_short_rehearsal_is_played_and_every_rule_holds() {
    let (json, record) = (file("short.json"), file("short.ndjson"));
    let daemon = daemon().to_str().expect("a path");
    let run = rehearse(&["run", "short", "--daemon", daemon, "--json", &json, "--record", &record]);
    let said = String::from_utf8_lossy(&run.stdout).into_owned();
    assert_eq!(run.status.code(), Some(0), "{said}{}", String::from_utf8_lossy(&run.stderr));
    let judgement = judged(&json);
    for rule in [1, 2, 3] {
        assert_eq!(verdict(&judgement, rule), "kept", "{said}");
    }
    assert!(judgement["figures"]["served"].as_u64() > Some(200), "{said}");
    assert!(judgement["figures"]["not_taken"].as_u64() > Some(0), "a front door died: {said}");
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
    assert!(said(&["run", "calm", "--daemon", "/no/such/file"]).contains("/no/such/file: no such file"));
    let path = file("bad.toml");
    std::fs::write(&path, "version = 1\ntitle = \"x\"\nseconds = 9\n[fleet]\ndors = 2\nnodes = 0\n").unwrap();
    let text = said(&["run", &path]);
    assert!(text.contains("line 5: fleet.dors: no such key"), "{text}");
    assert!(text.contains("line 6: fleet.nodes: a number from 1 to 200 was expected"), "{text}");
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

//! Tests of the command line: a short run of the built gateway program, and the errors for input
//! that cannot be run.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::OnceLock;

/// Paths of the gateway program as released, and of one built with the feature `breakages`.
struct Programs {
    intact: PathBuf,
    broken: PathBuf,
}

/// Builds both programs of this workspace, one after the other, since a target directory holds only
/// one of them at a time.
fn programs() -> &'static Programs {
    static BUILT: OnceLock<Programs> = OnceLock::new();
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
            // Copied under another name and renamed: the file of an earlier run may still be in
            // use.
            let fresh = path.with_extension("new");
            std::fs::copy(target.join("debug/maplefall"), &fresh).expect("a copy");
            std::fs::rename(&fresh, &path).expect("a file replaced");
            path
        };
        Programs {
            intact: build(&[], "whole"),
            broken: build(&["--features", "breakages"], "broken"),
        }
    })
}

fn rehearse(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_maplefall-rehearse"));
    command.args(arguments).env_remove("CARGO");
    command.output().expect("the program starts")
}

/// Runs the program, up to three more times while the run is void: on a machine that is too busy
/// for the test servers, the result says nothing about the gateways.
fn rehearse_until_valid(arguments: &[&str]) -> Output {
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

fn read_evaluation(path: &str) -> Value {
    serde_json::from_str(&std::fs::read_to_string(path).expect("a judgement")).expect("JSON")
}

fn verdict(evaluation: &Value, rule: usize) -> &str {
    evaluation["rules"][rule - 1]["verdict"]
        .as_str()
        .expect("a verdict")
}

/// Guards the program as a whole: real processes, scripted failures and no false violation.
/// Evaluating the record again gives the same result.
#[test]
fn short_scenario_runs_and_every_rule_holds() {
    let (json, record) = (file("short.json"), file("short.ndjson"));
    let daemon = programs().intact.to_str().expect("a path");
    let run = rehearse_until_valid(&[
        "run", "short", "--daemon", daemon, "--json", &json, "--record", &record,
    ]);
    let output = String::from_utf8_lossy(&run.stdout).into_owned();
    assert_eq!(
        run.status.code(),
        Some(0),
        "{output}{}",
        String::from_utf8_lossy(&run.stderr)
    );
    let evaluation = read_evaluation(&json);
    for rule in [1, 2, 3] {
        assert_eq!(verdict(&evaluation, rule), "kept", "{output}");
    }
    assert!(
        evaluation["figures"]["served"].as_u64() > Some(200),
        "{output}"
    );
    assert!(
        evaluation["figures"]["not_taken"].as_u64() > Some(0),
        "a gateway was killed: {output}"
    );
    let again = file("again.json");
    let run = rehearse(&["judge", &record, "--json", &again]);
    assert_eq!(run.status.code(), Some(0));
    assert_eq!(read_evaluation(&again), evaluation);
}

#[test]
fn input_that_cannot_be_run_exits_with_code_two() {
    let error_of = |arguments: &[&str]| {
        let output = rehearse(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    assert!(error_of(&["run", "storm"]).contains("no scenario is called \"storm\"; there are calm"));
    assert!(error_of(&["run", "calm", "--daemon", "/no/such/file"])
        .contains("/no/such/file: no such file"));
    // A gateway that does not serve at all has violated no rule.
    let text = error_of(&["run", "short", "--daemon", "/bin/false"]);
    // Both gateways of the scenario end at once: either may be noticed first.
    assert!(
        (0..2).any(|index| text.contains(&format!("front door {index} ended before it was ready"))),
        "{text}"
    );
    let path = file("bad.toml");
    std::fs::write(
        &path,
        "version = 1\ntitle = \"x\"\nseconds = 9\n[fleet]\ndors = 2\nnodes = 0\n",
    )
    .unwrap();
    let text = error_of(&["run", &path]);
    assert!(text.contains("line 5: fleet.dors: no such key"), "{text}");
    assert!(
        text.contains("line 6: fleet.nodes: a number from 1 to 200 was expected"),
        "{text}"
    );
    let path = file("cut.ndjson");
    std::fs::write(&path, "{\"version\":1}\n").unwrap();
    assert!(error_of(&["judge", &path]).contains("line 1: "));
}

#[test]
fn the_same_seed_gives_the_same_script_byte_for_byte() {
    let script = |seed: &str| rehearse(&["script", "short", "--seed", seed]).stdout;
    assert_eq!(script("4"), script("4"));
    assert_ne!(script("4"), script("5"));
    assert!(script("4").len() > 10_000);
}

#[test]
fn help_states_exit_codes_and_list_names_events() {
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

/// Guards the evaluation against missed violations and false alarms: each of three broken programs
/// is found by the rule that it violates, and the intact one passes the same scenarios.
#[test]
fn three_broken_programs_are_found_and_the_intact_one_passes() {
    let Programs { intact, broken } = programs();
    let (intact, broken) = (
        intact.to_str().expect("a path"),
        broken.to_str().expect("a path"),
    );
    let only = "stale-body,two-out,drain-ignored";
    let run = rehearse_until_valid(&[
        "prove", "--daemon", intact, "--broken", broken, "--only", only, "--jobs", "2",
    ]);
    let output = String::from_utf8_lossy(&run.stdout).into_owned();
    assert_eq!(
        run.status.code(),
        Some(0),
        "{output}{}",
        String::from_utf8_lossy(&run.stderr)
    );
    assert!(output.contains("5 of 5 as they should be"), "{output}");
    // A breakage that is not found must fail: the intact program in place of the broken one shows
    // that.
    let run = rehearse_until_valid(&[
        "prove", "--daemon", intact, "--broken", intact, "--only", "two-out", "--jobs", "2",
    ]);
    let output = String::from_utf8_lossy(&run.stdout).into_owned();
    assert_eq!(run.status.code(), Some(1), "{output}");
    assert!(output.contains("1 of 2 as they should be"), "{output}");
}

/// Guards users of the released program: no breakage can be enabled in it.
#[test]
fn only_the_broken_program_reads_the_breakage_variable() {
    let contains_variable = |path: &Path| {
        let bytes = std::fs::read(path).expect("a daemon");
        bytes
            .windows(18)
            .any(|window| window == b"MAPLEFALL_BREAKAGE")
    };
    let Programs { intact, broken } = programs();
    assert!(!contains_variable(intact) && contains_variable(broken));
}

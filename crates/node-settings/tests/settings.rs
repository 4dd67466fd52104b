//! Tests of reading, validating and watching a settings file.

use maplefall_node_settings::{Settings, SettingsFile};
use std::path::Path;

const PROXY: &str = r#"
Node = "edge-a-1"
Serves = ["edge"]
Ip = "10.1.0.37"
Zone = "a"
InternalPorts = [7560,7575]
SeedAddrs = ["10.1.0.40:8381"]
Bootstrap = true
HeartbeatS = 1.5
Bounds = ["DrainS=1.25","RevocationStrict=false","Unheard=7"]
Later = { x = 1 }
[Bind]
FrontHttp = "10.1.0.37:8388"
[Limits]
MemoryMb = 260
CpuShare = 0.2
"#;

/// Guards against rejecting the file of a newer platform: fields that this program does not know
/// are ignored, and bounds that are not in the file have their defaults.
#[test]
fn unknown_fields_are_ignored_and_missing_bounds_have_their_defaults() {
    let settings = Settings::parse(PROXY, Path::new("x")).expect("settings");
    assert_eq!(
        (settings.bounds.drain_s, settings.bounds.grace_s),
        (1.25, 6.0)
    );
    assert_eq!(
        (settings.limits.memory_mb, settings.limits.file_limit),
        (260, 1024)
    );
    assert_eq!(settings.bind.front_http.map(|a| a.port()), Some(8388));
}

/// Guards against missing a change of the file, which comes without a signal, and against reporting
/// a file that is missing for a moment while it is replaced.
#[test]
fn a_changed_file_is_detected_once() {
    let path = std::env::temp_dir().join(format!("maplefall-watched-{}", std::process::id()));
    std::fs::write(&path, PROXY).expect("a file");
    let mut watched = SettingsFile::new(path.clone());
    assert!(!watched.changed());
    std::fs::write(&path, format!("{PROXY}\n# longer")).expect("a file");
    assert!(watched.changed() && !watched.changed());
    std::fs::remove_file(&path).expect("a file");
    assert!(!watched.changed());
}

/// Guards against replacing an invalid value by a default: it is reported with its field.
#[test]
fn an_invalid_value_is_reported_with_its_field() {
    for (from, to, field) in [
        ("[7560,7575]", "[7575]", "InternalPorts"),
        ("HeartbeatS = 1.5", "HeartbeatS = 0", "HeartbeatS"),
        ("DrainS=1.25", "DrainS=soon", "Bounds"),
        ("Node = \"edge-a-1\"", "Node = \"\"", "Node"),
    ] {
        let error = Settings::parse(&PROXY.replace(from, to), Path::new("x")).expect_err(to);
        assert!(error.to_string().contains(field), "{error}");
    }
}

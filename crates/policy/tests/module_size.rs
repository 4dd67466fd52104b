//! The decision module stays short enough for a newcomer to read it in the first week.

/// All files of the module, as `deploy/balancer.toml` lists them.
const FILES: [(&str, &str); 6] = [
    (
        "crates/policy/src/gateway/mod.rs",
        include_str!("../src/gateway/mod.rs"),
    ),
    (
        "crates/policy/src/gateway/customers.rs",
        include_str!("../src/gateway/customers.rs"),
    ),
    (
        "crates/policy/src/gateway/choice.rs",
        include_str!("../src/gateway/choice.rs"),
    ),
    (
        "crates/policy/src/gateway/attempts.rs",
        include_str!("../src/gateway/attempts.rs"),
    ),
    (
        "crates/policy/src/gateway/backends.rs",
        include_str!("../src/gateway/backends.rs"),
    ),
    (
        "crates/policy/src/tenants.rs",
        include_str!("../src/tenants.rs"),
    ),
];

#[test]
fn the_module_stays_within_its_maximum_lines_and_width() {
    let text: String = FILES.iter().map(|(_, text)| *text).collect();
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 1200, "{lines} non-blank lines");
    let widest = text
        .lines()
        .map(|line| line.chars().count())
        .max()
        .unwrap_or(0);
    assert!(widest <= 110, "a line of {widest} characters");
    assert!(lines > 100, "most of the module is in other files");
}

#[test]
fn the_deploy_file_lists_all_files_of_the_module() {
    let deploy = include_str!("../../../deploy/balancer.toml");
    let listed = deploy
        .lines()
        .find(|line| line.starts_with("policy"))
        .expect("a list of the module's files");
    for (name, _) in FILES {
        assert!(
            listed.contains(&format!("\"{name}\"")),
            "{name} is not listed"
        );
    }
    assert_eq!(
        listed.matches(".rs\"").count(),
        FILES.len(),
        "the deploy file lists files that are not counted here"
    );
}

//! The decision module stays short enough to be read in a first week.

#[test]
fn the_policy_stays_within_its_lines_and_width() {
    let text = include_str!("../src/rules.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 1200, "{lines} lines that are not blank");
    let widest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
    assert!(widest <= 110, "a line of {widest} characters");
    assert!(lines > 100, "the policy is somewhere else");
}

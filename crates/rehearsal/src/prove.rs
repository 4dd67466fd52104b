//! Checks of the evaluation itself: the rule that a breakage violates must detect it in its
//! scenario, and the intact program must pass there.

/// A breakage, the scenario that must detect it, and the rule that it violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakageTest {
    /// Name of the breakage in the broken program.
    pub breakage: &'static str,
    /// The scenario.
    pub scenario: &'static str,
    /// The rule.
    pub rule: u32,
    /// Description of the breakage.
    pub description: &'static str,
}

/// Stands for the scenario's minimum value share in place of a rule.
pub const MIN_VALUE_SHARE: u32 = 0;

const fn breakage_test(
    breakage: &'static str,
    scenario: &'static str,
    rule: u32,
    description: &'static str,
) -> BreakageTest {
    BreakageTest {
        breakage,
        scenario,
        rule,
        description,
    }
}

/// All breakages.
pub const BREAKAGE_TESTS: [BreakageTest; 28] = [
    breakage_test(
        "second-answer",
        "short",
        1,
        "a served response is written twice",
    ),
    breakage_test(
        "stale-body",
        "short",
        1,
        "a request gets the response of the previous one",
    ),
    breakage_test(
        "sent-after-answer",
        "short",
        1,
        "a served request is forwarded once more",
    ),
    breakage_test(
        "held-back",
        "short",
        1,
        "rejections come after the client's timeout",
    ),
    breakage_test(
        "drops-on-term",
        "restart",
        1,
        "SIGTERM drops requests in flight",
    ),
    breakage_test(
        "unsafe-again",
        "errors",
        2,
        "a non-idempotent request that may have run is sent again",
    ),
    breakage_test(
        "two-out",
        "short",
        2,
        "each request is sent to two backends at once",
    ),
    breakage_test(
        "refused-after",
        "errors",
        2,
        "a request that may have run is rejected",
    ),
    breakage_test(
        "changed-on-the-way",
        "short",
        2,
        "the target of a request is changed in transit",
    ),
    breakage_test(
        "key-for-ever",
        "forgetful",
        2,
        "an idempotency key is assumed to be remembered for ever",
    ),
    breakage_test(
        "drain-ignored",
        "rolling",
        3,
        "drains and removals are ignored",
    ),
    breakage_test("drain-late", "rolling", 3, "drains are applied 650 ms late"),
    breakage_test(
        "older-list-holds",
        "leaving",
        3,
        "an agent with an outdated list reverts drains",
    ),
    breakage_test(
        "spoilt-line",
        "leaving-spoilt",
        3,
        "a line with an unusable entry is ignored",
    ),
    breakage_test(
        "resumes-at-current",
        "etcd-rolling",
        3,
        "the etcd watch resumes at the current revision",
    ),
    breakage_test(
        "compaction-ignored",
        "etcd-compacted",
        3,
        "the list is not read again after a compaction",
    ),
    breakage_test(
        "last-word-holds",
        "disagreement",
        3,
        "the source that reported last wins",
    ),
    breakage_test(
        "lost-empties",
        "sources-lost",
        MIN_VALUE_SHARE,
        "the backends of a lost source are treated as removed",
    ),
    breakage_test(
        "cold-as-warm",
        "crash",
        4,
        "a backend that has just started is treated as warm",
    ),
    breakage_test(
        "cold-favoured",
        "rolling",
        4,
        "all requests go to the backend that started last",
    ),
    breakage_test(
        "ceiling-per-door",
        "municipal",
        5,
        "each gateway grants the whole rate limit",
    ),
    breakage_test("no-ceiling", "municipal", 5, "there is no rate limit"),
    breakage_test(
        "fail-open",
        "auth-dying",
        6,
        "callers that cannot be authenticated are admitted",
    ),
    breakage_test(
        "key-without-credential",
        "auth-revoked",
        6,
        "a cached verdict applies to every caller",
    ),
    breakage_test(
        "late-verdict-answers",
        "auth-dying",
        1,
        "a caller whose check timed out gets two responses, as by a late verdict",
    ),
    breakage_test(
        "news-never-old",
        "counts-split",
        7,
        "counts of other gateways never expire, and all gateways count as reachable",
    ),
    breakage_test(
        "counts-added",
        "counts-shared",
        MIN_VALUE_SHARE,
        "counts are added each time they are received",
    ),
    breakage_test(
        "checked-again",
        "auth-slow",
        2,
        "a request is forwarded again, as by a check that returned twice",
    ),
];

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_rule_has_two_breakages_and_every_scenario_is_there() {
        for rule in 1..=6 {
            let count = BREAKAGE_TESTS
                .iter()
                .filter(|breakage_test| breakage_test.rule == rule)
                .count();
            assert!(count >= 2, "rule {rule}: {count}");
        }
        for breakage_test in BREAKAGE_TESTS {
            let scenario = crate::library::find(breakage_test.scenario)
                .unwrap_or_else(|error| panic!("{error}"));
            let is_exercised = scenario.strains.contains(&breakage_test.rule)
                || (breakage_test.rule == MIN_VALUE_SHARE && scenario.min_value_share > 0.0);
            assert!(
                is_exercised,
                "{} strains {}",
                breakage_test.scenario, breakage_test.rule
            );
        }
    }
}

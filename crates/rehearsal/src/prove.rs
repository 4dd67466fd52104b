//! Whether the judge can be trusted: each breakage must be found by the rule that it breaks, in the scenario that is for
//! it, and the whole daemon must not be called broken there.

/// A breakage, the scenario that is to find it, and the rule by which.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// The breakage, by the name that the broken daemon knows.
    pub breakage: &'static str,
    /// The scenario.
    pub scenario: &'static str,
    /// The rule.
    pub rule: u32,
    /// What is broken.
    pub about: &'static str,
}

/// In place of a rule: less was served than the scenario asks for.
pub const WORTH: u32 = 0;

const fn proof(
    breakage: &'static str,
    scenario: &'static str,
    rule: u32,
    about: &'static str,
) -> Proof {
    Proof {
        breakage,
        scenario,
        rule,
        about,
    }
}

/// All of them, by rule.
pub const PROOFS: [Proof; 28] = [
    proof(
        "second-answer",
        "short",
        1,
        "a served answer is written twice",
    ),
    proof(
        "stale-body",
        "short",
        1,
        "a request is answered with what was made for the one before",
    ),
    proof(
        "sent-after-answer",
        "short",
        1,
        "a served request is sent on once more",
    ),
    proof(
        "held-back",
        "short",
        1,
        "refusals come after the client's time",
    ),
    proof(
        "drops-on-term",
        "restart",
        1,
        "SIGTERM drops what was in hand",
    ),
    proof(
        "unsafe-again",
        "errors",
        2,
        "an unsafe request that may have run is sent again",
    ),
    proof(
        "two-out",
        "short",
        2,
        "each request is at two nodes at once",
    ),
    proof("refused-after", "errors", 2, "what may have run is refused"),
    proof(
        "changed-on-the-way",
        "short",
        2,
        "the target of a request is changed on its way",
    ),
    proof(
        "key-for-ever",
        "forgetful",
        2,
        "a key is taken to be remembered for ever",
    ),
    proof(
        "drain-ignored",
        "rolling",
        3,
        "drains and removals are not heard",
    ),
    proof("drain-late", "rolling", 3, "drains are heard 650 ms late"),
    proof(
        "older-list-holds",
        "leaving",
        3,
        "an agent that is behind takes drains back",
    ),
    proof(
        "spoilt-line",
        "leaving-spoilt",
        3,
        "a line with an entry that cannot be used is not taken",
    ),
    proof(
        "resumes-at-current",
        "etcd-rolling",
        3,
        "etcd's watch goes on at the current revision",
    ),
    proof(
        "compaction-ignored",
        "etcd-compacted",
        3,
        "what went with etcd's history is not read anew",
    ),
    proof(
        "last-word-holds",
        "disagreement",
        3,
        "whoever speaks last is believed",
    ),
    proof(
        "lost-empties",
        "sources-lost",
        WORTH,
        "what a lost source knew is taken for gone",
    ),
    proof(
        "cold-as-warm",
        "crash",
        4,
        "a node that has just started is taken for a warm one",
    ),
    proof(
        "cold-favoured",
        "rolling",
        4,
        "everything goes to the node that started last",
    ),
    proof(
        "ceiling-per-door",
        "municipal",
        5,
        "each front door gives the whole ceiling",
    ),
    proof("no-ceiling", "municipal", 5, "there is no ceiling"),
    proof("fail-open", "auth-dying", 6, "who cannot be checked passes"),
    proof(
        "key-without-credential",
        "auth-revoked",
        6,
        "a verdict serves every caller",
    ),
    proof(
        "late-verdict-answers",
        "auth-dying",
        1,
        "who was given up unchecked is answered twice, as by a late verdict",
    ),
    proof(
        "news-never-old",
        "counts-split",
        7,
        "news of other doors never grows old, and all are taken to be heard of",
    ),
    proof(
        "counts-added",
        "counts-shared",
        WORTH,
        "counts are added each time that they are heard",
    ),
    proof(
        "checked-again",
        "auth-slow",
        2,
        "a request is sent on again, as by a check that came back twice",
    ),
];

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_rule_has_two_breakages_and_every_scenario_is_there() {
        for rule in 1..=6 {
            let count = PROOFS.iter().filter(|proof| proof.rule == rule).count();
            assert!(count >= 2, "rule {rule}: {count}");
        }
        for proof in PROOFS {
            let scenario =
                crate::library::find(proof.scenario).unwrap_or_else(|error| panic!("{error}"));
            let asked = scenario.strains.contains(&proof.rule)
                || (proof.rule == WORTH && scenario.min_value_share > 0.0);
            assert!(asked, "{} strains {}", proof.scenario, proof.rule);
        }
    }
}

//! The header of a trace as `maplefall-rehearse script` prints it.
//!
//! The printed names are part of the command's output and stay as they are when fields of the
//! header are renamed.

use maplefall_event_trace::{Class, Header, Plan, RateLimit, Rules};
use std::fmt::{Debug, Formatter, Result};

/// Prints a header with the names of the `script` command's output.
pub(crate) struct HeaderText<'a>(pub(crate) &'a Header);

impl Debug for HeaderText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let Header {
            version,
            scenario,
            seed,
            proxies,
            classes,
            plans,
            rules,
        } = self.0;
        f.debug_struct("Header")
            .field("version", version)
            .field("scenario", scenario)
            .field("seed", seed)
            .field("doors", proxies)
            .field(
                "classes",
                &classes.iter().map(ClassText).collect::<Vec<_>>(),
            )
            .field("plans", &plans.iter().map(PlanText).collect::<Vec<_>>())
            .field("rules", &RulesText(rules))
            .finish()
    }
}

struct ClassText<'a>(&'a Class);

impl Debug for ClassText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let Class {
            name,
            effect,
            dedup_window_ms,
            latency_target_ms,
            value,
            late_value_factor,
            auth_optional,
        } = self.0;
        f.debug_struct("Class")
            .field("name", name)
            .field("effect", effect)
            .field("memory_ms", dedup_window_ms)
            .field("aim_ms", latency_target_ms)
            .field("worth", value)
            .field("late_worth", late_value_factor)
            .field("unchecked", auth_optional)
            .finish()
    }
}

struct PlanText<'a>(&'a Plan);

impl Debug for PlanText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let Plan {
            name,
            rate,
            burst,
            value_factor,
            rate_limit,
        } = self.0;
        f.debug_struct("Plan")
            .field("name", name)
            .field("rate", rate)
            .field("burst", burst)
            .field("price", value_factor)
            .field("ceiling", &rate_limit.as_ref().map(RateLimitText))
            .finish()
    }
}

struct RateLimitText<'a>(&'a RateLimit);

impl Debug for RateLimitText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let RateLimit { rate, burst, slack } = self.0;
        f.debug_struct("Ceiling")
            .field("rate", rate)
            .field("burst", burst)
            .field("slack", slack)
            .finish()
    }
}

struct RulesText<'a>(&'a Rules);

impl Debug for RulesText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let Rules {
            response_slack_ms,
            drain_grace_ms,
            overload_factor,
            overload_window_ms,
            warmup_slack_ms,
            max_attempts,
            socket_slack_ms,
            revocation_grace_ms,
            notification_timeout_ms,
            sharing_delay_ms,
        } = self.0;
        f.debug_struct("Rules")
            .field("answer_slack_ms", response_slack_ms)
            .field("drain_grace_ms", drain_grace_ms)
            .field("overload_factor", overload_factor)
            .field("overload_window_ms", overload_window_ms)
            .field("cold_slack_ms", warmup_slack_ms)
            .field("most_attempts", max_attempts)
            .field("socket_slack_ms", socket_slack_ms)
            .field("revoked_ms", revocation_grace_ms)
            .field("told_within_ms", notification_timeout_ms)
            .field("shared_ms", sharing_delay_ms)
            .finish()
    }
}

//! Numeric limits of the users' rules: time limits, and how far the limits on retries and quotas
//! may be exceeded.

/// Numeric limits of the users' rules, from the list `Bounds` of `Name=value` strings. The defaults
/// are those of the users' first deployments.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// `ContactS`: seconds for which a machine must be connected before it counts; 3 by default.
    pub contact_s: f64,
    /// `AckS`: seconds within which an operator's call is acknowledged; 5 by default.
    pub ack_s: f64,
    /// `DrainS`: seconds after an acknowledged `decaying` during which requests may still be sent
    /// to the instance; 2.5 by default.
    pub drain_s: f64,
    /// `GraceS`: seconds from SIGTERM to SIGKILL; 6 by default.
    pub grace_s: f64,
    /// `ConvergeS`: seconds from the acknowledgement of a change until all proxies apply it; 2.5 by
    /// default.
    pub converge_s: f64,
    /// `ReuseDelayS`: seconds after the end of an instance during which no other instance gets its
    /// address; 2 by default.
    pub reuse_delay_s: f64,
    /// `RetryBudgetRatio`: retries allowed per request; 0.2 by default.
    pub retry_budget_ratio: f64,
    /// `RetryWindowS`: seconds over which retries are counted; 10 by default.
    pub retry_window_s: f64,
    /// `RetrySlack`: additional retries allowed in a window; 62 by default.
    pub retry_slack: f64,
    /// `QuotaWindowS`: seconds over which a quota's requests are counted; 5 by default.
    pub quota_window_s: f64,
    /// `QuotaOvershoot`: fraction of a quota by which it may be exceeded; 0.1 by default.
    pub quota_overshoot: f64,
    /// `QuotaSlack`: additional requests by which a quota may be exceeded; 20 by default.
    pub quota_slack: f64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            contact_s: 3.0,
            ack_s: 5.0,
            drain_s: 2.5,
            grace_s: 6.0,
            converge_s: 2.5,
            reuse_delay_s: 2.0,
            retry_budget_ratio: 0.2,
            retry_window_s: 10.0,
            retry_slack: 62.0,
            quota_window_s: 5.0,
            quota_overshoot: 0.1,
            quota_slack: 20.0,
        }
    }
}

/// A bound, as written in the file, whose value is not a finite, non-negative number.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct InvalidBound(pub(crate) String);

impl Bounds {
    /// Parses `Name=value` strings, each of which may list several bounds separated by commas.
    /// Unknown names are ignored.
    pub(crate) fn parse(texts: &[String]) -> Result<Bounds, InvalidBound> {
        let mut bounds = Bounds::default();
        for text in texts.iter().flat_map(|text| text.split(',')) {
            let Some((name, value)) = text.trim().split_once('=') else {
                continue;
            };
            if let Some(field) = bounds.field_mut(name.trim()) {
                *field = parse_value(value).ok_or_else(|| InvalidBound(text.to_owned()))?;
            }
        }
        Ok(bounds)
    }

    fn field_mut(&mut self, name: &str) -> Option<&mut f64> {
        Some(match name {
            "ContactS" => &mut self.contact_s,
            "AckS" => &mut self.ack_s,
            "DrainS" => &mut self.drain_s,
            "GraceS" => &mut self.grace_s,
            "ConvergeS" => &mut self.converge_s,
            "ReuseDelayS" => &mut self.reuse_delay_s,
            "RetryBudgetRatio" => &mut self.retry_budget_ratio,
            "RetryWindowS" => &mut self.retry_window_s,
            "RetrySlack" => &mut self.retry_slack,
            "QuotaWindowS" => &mut self.quota_window_s,
            "QuotaOvershoot" => &mut self.quota_overshoot,
            "QuotaSlack" => &mut self.quota_slack,
            _ => return None,
        })
    }
}

fn parse_value(value: &str) -> Option<f64> {
    let value: f64 = value.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

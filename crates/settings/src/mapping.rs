//! The mapping of wire names to settings, with units and defaults.
//!
//! | wire name | setting | unit | default |
//! | --- | --- | --- | --- |
//! | `fleet_size` | [`Settings::gateways`] | gateways | 1 |
//! | `my_zone` | [`Settings::zone`] | index in `zones` | 0 |
//! | `zones` | [`Names::zones`] | names | none |
//! | `tick` | [`Settings::tick`] | ms | 1 |
//! | `extra.max_units` | [`Settings::max_units`] | units | 1 |
//! | `extra.meter` | [`Settings::meter_period`] | ms; 0 for no meter | 0 |
//! | `registry_mode` | [`Settings::discovery`] | `pushed`, `on_request` | `pushed` |
//! | `report.via` | [`Settings::reports`] | `off`, `inline`, `on_probe` | `off` |
//! | `report.names` | [`ParsedSettings::metrics`] | names of [`Metric`] | none |
//! | `policy_limits.send_cap` | [`Settings::max_attempts`] | attempts | 1 |
//! | `policy_limits.second_copies` | [`Settings::hedging`] | `true`, `false` | `false` |
//! | `policy_limits.cancel` | [`Settings::cancellation`] | `true`, `false` | `false` |
//! | `policy_limits.probes` | [`Settings::probes`] | `true`, `false` | `false` |
//! | `policy_limits.retry_after` | [`Settings::retry_after`] | `true`, `false` | `false` |
//! | `policy_limits.max_retry_after` | [`Settings::max_retry_after`] | ms | 0 |
//! | `policy_limits.dial_timeout` | [`ConnectionTimeouts::dial_timeout`] | ms | 250 |
//! | `policy_limits.idle_close` | [`ConnectionTimeouts::idle_close`] | ms | 10 000 |
//! | `charges.cross_zone` | [`Settings::cross_zone_price`] | fraction of the value | 0 |
//! | `rules.answer_slack` | [`Settings::response_grace`] | ms | 0 |
//! | `rules.stop_sending_within` | [`Settings::drain_grace`] | ms | 0 |
//! | `rules.ask_within` | [`Settings::max_unrequested_list_age`] | ms | 10 000 |
//! | `rules.start_capacity` | [`Settings::start_capacity`] | fraction of the capacity | 0.1 |
//! | `rules.warm_up` | [`Settings::warm_up`] | ms | 30 000 |
//! | `rules.overload_factor` | [`Settings::overload_factor`] | factor | 2 |
//! | `rules.fall` | [`Settings::overload_window`] | ms | 1000 |
//!
//! Lists of objects have their length in `grades.count` and `plans.count`, at most 4096, and a
//! `name` for each entry:
//!
//! | wire name | setting | unit | default |
//! | --- | --- | --- | --- |
//! | `grades.N.aim` | [`Class::latency_target`] | ms | 1000 |
//! | `grades.N.give_up` | [`Class::deadline`] | ms | 2000 |
//! | `grades.N.credit` | [`Class::value`] | value of a unit | 1 |
//! | `grades.N.late_worth` | [`Class::late_value`] | fraction of the value | 0 |
//! | `grades.N.idempotency` | [`Class::idempotency`] | `safe`, `keyed`, `unsafe` | `unsafe` |
//! | `grades.N.group` | [`Idempotency::Keyed`], `scope` | `all`, `zone`, `cell` | `cell` |
//! | `grades.N.memory_span` | [`Idempotency::Keyed`], `window` | ms | 0 |
//! | `grades.N.streaming` | [`Class::streaming`] | `true`, `false` | `false` |
//! | `plans.N.per_second` | [`Plan::rate`] | units a second; 0 for no quota | 0 |
//! | `plans.N.peak_units` | [`Plan::burst`] | units | 0 |
//! | `plans.N.max_out` | [`Plan::max_in_flight`] | attempts; 0 for no limit | 0 |
//! | `plans.N.pays` | [`Plan::price`] | factor | 1 |
//! | `plans.N.excess_worth` | [`Plan::over_quota_value`] | fraction of the value | 0 |
//! | `plans.N.over_cost` | [`Plan::over_quota_cost`] | fraction of the value | 0 |
//! | `plans.N.cap_rate` | [`RateLimit::rate`] | units a second; 0 for no rate limit | 0 |
//! | `plans.N.never_over_depth` | [`RateLimit::burst`] | units | 0 |
//! | `plans.N.hard_slack` | [`RateLimit::slack`] | units | 0 |

use crate::load_report::Metric;
use crate::reader::Reader;
use maplefall_policy::{
    Class, DedupScope, Discovery, Idempotency, Millis, Plan, RateLimit, Reports, Settings, ZoneId,
};

/// Parsed settings.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedSettings {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Metrics of a load report, in the order of its values.
    pub metrics: Vec<Metric>,
    /// Names of classes, plans, zones and metrics.
    pub names: Names,
    /// Timeouts of connections to backends.
    pub connection_timeouts: ConnectionTimeouts,
}

/// Names of classes, plans, zones and metrics, each at the index by which the settings refer to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Names of the request classes (`grades.N.name`).
    pub classes: Vec<String>,
    /// Names of the plans (`plans.N.name`).
    pub plans: Vec<String>,
    /// Names of the zones (`zones`).
    pub zones: Vec<String>,
    /// Names of the metrics of a load report (`report.names`).
    pub metrics: Vec<String>,
}

/// Timeouts of a connection to a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionTimeouts {
    /// Maximum time to establish a connection, in milliseconds; then the attempt counts as failed.
    pub dial_timeout: Millis,
    /// Time after which a backend closes an idle connection, in milliseconds.
    pub idle_close: Millis,
}

impl Default for ConnectionTimeouts {
    fn default() -> Self {
        ConnectionTimeouts {
            dial_timeout: 250.0,
            idle_close: 10_000.0,
        }
    }
}

/// Parses `path=value` lines.
///
/// # Errors
///
/// Returns all values that cannot be read, each with its path, joined by `; `.
pub fn parse(text: &str) -> Result<ParsedSettings, String> {
    parse_all(text).map_err(|errors| errors.join("; "))
}

/// Parses `path=value` lines.
///
/// # Errors
///
/// Returns all values that cannot be read, each with its path.
pub fn parse_all(text: &str) -> Result<ParsedSettings, Vec<String>> {
    let reader = Reader::new(text);
    let parsed = read_all(&reader);
    let errors = reader.finish();
    if errors.is_empty() {
        Ok(parsed)
    } else {
        Err(errors.iter().map(ToString::to_string).collect())
    }
}

fn read_all(reader: &Reader<'_>) -> ParsedSettings {
    let names = read_names(reader);
    let settings = read_settings(reader, &names);
    let metrics = names.metrics.iter();
    ParsedSettings {
        settings,
        metrics: metrics.map(|name| Metric::from_wire(name)).collect(),
        names,
        connection_timeouts: read_connection_timeouts(reader),
    }
}

fn read_names(reader: &Reader<'_>) -> Names {
    Names {
        classes: reader.entry_names("grades"),
        plans: reader.entry_names("plans"),
        zones: reader.list("zones"),
        metrics: reader.list("report.names"),
    }
}

fn read_settings(reader: &Reader<'_>, names: &Names) -> Settings {
    const DISCOVERY: [(&str, Discovery); 2] = [
        ("pushed", Discovery::Pushed),
        ("on_request", Discovery::OnRequest),
    ];
    const REPORTS: [(&str, Reports); 3] = [
        ("off", Reports::Off),
        ("inline", Reports::Inline),
        ("on_probe", Reports::OnProbe),
    ];
    let default = Settings::default();
    let limit = |key: &str| format!("policy_limits.{key}");
    Settings {
        gateways: reader.get("fleet_size", default.gateways),
        zone: ZoneId(reader.get("my_zone", default.zone.0)),
        tick: reader.number("tick", default.tick),
        classes: (0..names.classes.len())
            .map(|index| read_class(reader, index))
            .collect(),
        plans: (0..names.plans.len())
            .map(|index| read_plan(reader, index))
            .collect(),
        max_units: reader.number("extra.max_units", default.max_units),
        meter_period: reader.number("extra.meter", default.meter_period),
        discovery: reader.choice("registry_mode", default.discovery, &DISCOVERY),
        reports: reader.choice("report.via", default.reports, &REPORTS),
        max_attempts: reader.get(&limit("send_cap"), default.max_attempts),
        hedging: reader.get(&limit("second_copies"), default.hedging),
        cancellation: reader.get(&limit("cancel"), default.cancellation),
        probes: reader.get(&limit("probes"), default.probes),
        retry_after: reader.get(&limit("retry_after"), default.retry_after),
        max_retry_after: reader.number(&limit("max_retry_after"), default.max_retry_after),
        cross_zone_price: reader.number("charges.cross_zone", default.cross_zone_price),
        response_grace: reader.number("rules.answer_slack", default.response_grace),
        drain_grace: reader.number("rules.stop_sending_within", default.drain_grace),
        max_unrequested_list_age: reader
            .number("rules.ask_within", default.max_unrequested_list_age),
        start_capacity: reader.number("rules.start_capacity", default.start_capacity),
        warm_up: reader.number("rules.warm_up", default.warm_up),
        overload_factor: reader.number("rules.overload_factor", default.overload_factor),
        overload_window: reader.number("rules.fall", default.overload_window),
        ..default
    }
}

fn read_connection_timeouts(reader: &Reader<'_>) -> ConnectionTimeouts {
    let default = ConnectionTimeouts::default();
    ConnectionTimeouts {
        dial_timeout: reader.number("policy_limits.dial_timeout", default.dial_timeout),
        idle_close: reader.number("policy_limits.idle_close", default.idle_close),
    }
}

fn read_class(reader: &Reader<'_>, index: usize) -> Class {
    const SCOPES: [(&str, DedupScope); 3] = [
        ("all", DedupScope::All),
        ("zone", DedupScope::Zone),
        ("cell", DedupScope::Cell),
    ];
    let path = |key: &str| format!("grades.{index}.{key}");
    let default = Class::default();
    let keyed = Idempotency::Keyed {
        scope: reader.choice(&path("group"), DedupScope::Cell, &SCOPES),
        window: reader.number(&path("memory_span"), 0.0),
    };
    let idempotencies = [
        ("safe", Idempotency::Idempotent),
        ("keyed", keyed),
        ("unsafe", Idempotency::NonIdempotent),
    ];
    Class {
        latency_target: reader.number(&path("aim"), default.latency_target),
        deadline: reader.number(&path("give_up"), default.deadline),
        value: reader.number(&path("credit"), default.value),
        late_value: reader.number(&path("late_worth"), default.late_value),
        idempotency: reader.choice(&path("idempotency"), default.idempotency, &idempotencies),
        streaming: reader.get(&path("streaming"), default.streaming),
        max_attempts: u32::MAX,
    }
}

fn read_plan(reader: &Reader<'_>, index: usize) -> Plan {
    let path = |key: &str| format!("plans.{index}.{key}");
    let default = Plan::default();
    let rate_limit = RateLimit {
        rate: reader.number(&path("cap_rate"), 0.0),
        burst: reader.number(&path("never_over_depth"), 0.0),
        slack: reader.number(&path("hard_slack"), 0.0),
    };
    Plan {
        rate: reader.number(&path("per_second"), default.rate),
        burst: reader.number(&path("peak_units"), default.burst),
        max_in_flight: reader.get(&path("max_out"), default.max_in_flight),
        price: reader.number(&path("pays"), default.price),
        over_quota_value: reader.number(&path("excess_worth"), default.over_quota_value),
        over_quota_cost: reader.number(&path("over_cost"), default.over_quota_cost),
        rate_limit: (rate_limit.rate > 0.0).then_some(rate_limit),
    }
}

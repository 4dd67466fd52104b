//! Configuration files of the gateways (deployment page), generated from a scenario.

use crate::scenario::{Plan, Scenario, Sources};
use crate::script::Script;
use maplefall_event_trace::Effect;
use maplefall_protocol::Members;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Longest `Retry-After` that clients honour.
pub const MAX_RETRY_AFTER_MS: f64 = 2000.0;
/// Time after which backends close an idle connection.
pub const IDLE_MS: f64 = 30_000.0;
/// Period of the meter.
pub const METER_MS: f64 = 500.0;

/// Returns the settings by their wire names.
pub fn settings(scenario: &Scenario, script: &Script, me: usize) -> Value {
    let rules = script.header.rules;
    let class = |class: &crate::scenario::Class| {
        let effect = match class.effect {
            Effect::Safe => "safe",
            Effect::Keyed => "keyed",
            Effect::Unsafe => "unsafe",
        };
        json!({"name": class.name, "aim": class.latency_target_ms, "give_up": class.give_up_ms, "credit": class.value,
            "late_worth": class.late_value_factor, "idempotency": effect, "group": "all",
            "memory_span": class.memory_ms, "streaming": false})
    };
    let plan = |plan: &Plan| {
        json!({"name": plan.name, "per_second": plan.rate, "peak_units": plan.burst, "max_out": plan.max_out,
            "pays": plan.price, "excess_worth": 0.0, "over_cost": plan.over_cost,
            "cap_rate": plan.rate_limit_rate, "never_over_depth": plan.rate_limit_burst,
            "hard_slack": if plan.rate_limit_rate > 0.0 { plan.rate_limit_slack } else { 0.0 }})
    };
    json!({
        "fleet_size": scenario.gateways, "me": me, "my_zone": 0, "zones": ["z-1"], "tick": 2.0,
        "registry_mode": "pushed", "weights": "off",
        "grades": scenario.classes.iter().map(class).collect::<Vec<_>>(),
        "plans": scenario.plans.iter().map(plan).collect::<Vec<_>>(),
        "extra": {"max_units": scenario.max_units, "meter": METER_MS, "cost_after": true, "has_counter": false},
        "policy_limits": {"send_cap": rules.max_attempts, "second_copies": false, "cancel": true,
            "probes": false, "peers": false, "retry_after": true, "max_retry_after": MAX_RETRY_AFTER_MS,
            "dial_timeout": 250.0, "idle_close": IDLE_MS},
        "report": {"names": [], "via": "off"},
        "rules": {"answer_slack": rules.response_slack_ms, "stop_sending_within": rules.drain_grace_ms,
            "start_capacity": scenario.initial_capacity, "warm_up": scenario.warmup_ms,
            "overload_factor": rules.overload_factor, "fall": rules.overload_window_ms},
    })
}

/// Returns the text of a gateway's file of sources, if it uses etcd.
pub fn sources(sources: Sources, etcd: SocketAddr, gateway: usize) -> Option<String> {
    let agent = "[[source]]\nkind = \"agent\"\n";
    let etcd = format!(
        "[[source]]\nkind = \"etcd\"\nendpoints = [\"http://{etcd}\"]\nprefix = \"{}\"\nsilence_ms = 1500\n",
        prefix(gateway)
    );
    match sources {
        Sources::Agent => None,
        Sources::Etcd => Some(etcd),
        Sources::Both => Some(format!("{agent}{etcd}")),
    }
}

/// Returns the text of a gateway's file of forward authentication, if callers are authenticated.
pub fn forward_auth(scenario: &Scenario, servers: &[SocketAddr]) -> Option<String> {
    let checks = scenario.checks.as_ref()?;
    let servers: Vec<String> = servers
        .iter()
        .map(|at| format!("\"http://{at}/auth\""))
        .collect();
    let mut text = format!(
        "servers = [{}]\ncredentials = [\"authorization\"]\nlimit_ms = {:.1}\nfailures = {}\nkeep_ms = [{:.1}, 500.0]\n[classes]\n",
        servers.join(", "),
        checks.limit_ms,
        checks.failures,
        checks.keep_ms
    );
    for class in &scenario.classes {
        let mode = if checks.auth_optional_classes.contains(&class.name) {
            "open"
        } else {
            "closed"
        };
        text.push_str(&format!("{} = \"{mode}\"\n", class.name));
    }
    Some(text)
}

/// Returns the text of a gateway's file of shared counts, if used. The gateway receives datagrams
/// at the address at which it accepts clients; the others reach it through the relay.
pub fn shared_counts(
    scenario: &Scenario,
    listen: SocketAddr,
    gateway: usize,
    relay_addresses: &[SocketAddr],
) -> Option<String> {
    let sharing = scenario.sharing.as_ref()?;
    let seeds: Vec<String> = relay_addresses
        .iter()
        .take(2)
        .map(|address| format!("\"{address}\""))
        .collect();
    let advertise = relay_addresses.get(gateway)?;
    Some(format!(
        "cluster = \"rehearsal\"\nkey = \"{:064x}\"\ngossip = \"{listen}\"\nadvertise = \"{advertise}\"\nseeds = [{}]\n\
         interval_ms = {:.1}\n",
        0x7265_6865_6172_7361_u64,
        seeds.join(", "),
        sharing.interval_ms
    ))
}

/// Returns the etcd prefix of a gateway's list; a backend has a separate address for each gateway.
pub fn prefix(gateway: usize) -> String {
    format!("/door-{gateway}")
}

/// Returns the complete configuration of a gateway.
pub fn config(
    scenario: &Scenario,
    script: &Script,
    me: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: Option<&Members>,
    instance: u64,
) -> Value {
    let seed = maplefall_test_servers::hash(&format!("{}/{me}/{instance}", script.header.seed));
    json!({
        "name": format!("door-{me}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": scenario.memory_mb, "sockets": scenario.sockets},
        "known": known, "settings": settings(scenario, script, me),
    })
}

//! Partitioned and paused controllers: what they send to proxies, what they acknowledge, and how
//! the others react (`docs/design/control-connections.md`).

#[path = "common/cluster.rs"]
mod cluster;

use cluster::{ip, Cluster, CONNECTION_TIMEOUT, HEARTBEAT_INTERVAL, QUORUM_TIMEOUT, TOLERANCE};
use maplefall_controller::{Call, CallResponse};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// A controller is partitioned for twenty seconds, in either direction or both, whether or not it
/// leads. Once it has noticed, it sends no configuration to a proxy that has none, answers no
/// operator call, acknowledges no heartbeat and expires no backend. Once the network is healed, it
/// sends the waiting proxies the committed configuration at once.
#[test]
fn partitioned_controller_sends_and_acknowledges_nothing() {
    for (outgoing, incoming) in [(true, false), (false, true), (true, true)] {
        for is_leader in [true, false] {
            let mut cluster = Cluster::new(3, 7);
            cluster.run(2000.0);
            let leader = cluster.find_leader(1);
            let isolated = if is_leader { leader } else { (leader + 1) % 3 };
            let connected = (isolated + 1) % 3;
            for node in 0..3 {
                let call = cluster.heartbeat(node, &format!("b{node}"), "in_loop", 1);
                assert!(cluster.is_ok(call));
            }
            cluster.run(500.0);
            let early_proxy = cluster.connect_proxy(isolated, 0);
            assert_eq!(
                (
                    cluster.config_updates(early_proxy).len(),
                    cluster.instance_updates(early_proxy)[0].records.len()
                ),
                (1, 3)
            );
            cluster.partition(isolated, outgoing, incoming);
            for seq in 2..6 {
                (0..3).for_each(|node| {
                    assert!(cluster.heartbeat(connected, &format!("b{node}"), "in_loop", seq) > 0)
                });
                cluster.run((CONNECTION_TIMEOUT + QUORUM_TIMEOUT + TOLERANCE) / 4.0);
            }
            let case = format!("outgoing {outgoing} incoming {incoming} leader {is_leader}");
            let elected = cluster.find_leader(2);
            assert_ne!(elected, isolated, "{case}");
            let new_proxy = cluster.connect_proxy(isolated, 0);
            cluster.run(HEARTBEAT_INTERVAL);
            let mut seq = 5;
            for _ in 0..13 {
                seq += 1;
                let (amend, read) = (
                    cluster.amend(isolated, 9),
                    cluster.call(isolated, Call::ReadConfig),
                );
                // A backend without an acknowledgement moves on to another controller.
                for node in 0..3 {
                    let id = format!("b{node}");
                    let heartbeat = cluster.heartbeat(isolated, &id, "in_loop", seq);
                    assert_eq!(
                        cluster.responses.get(&heartbeat),
                        Some(&CallResponse::Unavailable),
                        "{case}"
                    );
                    let heartbeat = cluster.heartbeat(connected, &id, "in_loop", seq);
                    assert!(cluster.is_ok(heartbeat), "{case}");
                }
                let deregistration = cluster.heartbeat(isolated, "c", "decaying", seq);
                cluster.run(HEARTBEAT_INTERVAL);
                for call in [amend, read, deregistration] {
                    assert_eq!(
                        cluster.responses.get(&call),
                        Some(&CallResponse::Unavailable),
                        "{case}"
                    );
                }
            }
            assert!(
                cluster.config_updates(new_proxy).is_empty(),
                "{case}: a new proxy got an outdated configuration"
            );
            assert!(
                cluster
                    .instance_updates(new_proxy)
                    .iter()
                    .all(|updates| updates.records.iter().all(|record| record.id == "c")),
                "{case}"
            );
            for node in 0..3 {
                assert_eq!(
                    cluster.count_logged(node, "event=backend_expired"),
                    0,
                    "{case}: controller {node}"
                );
            }
            // A leader whose messages are blocked may follow another leader for a while, as long as
            // it receives that leader's messages, and then lose quorum contact a second time.
            let quorum_losses = cluster.count_logged(isolated, "event=quorum_lost");
            assert!((1..=2).contains(&quorum_losses), "{case}: {quorum_losses}");
            assert_eq!(
                cluster.count_logged(isolated, "event=config_withheld"),
                1,
                "{case}"
            );
            cluster.heal();
            let healed_at = cluster.now;
            cluster.run(1500.0);
            let updates = cluster.config_updates(new_proxy);
            assert!(
                updates[0].0 - healed_at < 1000.0,
                "{case}: served after {} ms",
                updates[0].0 - healed_at
            );
            assert!(
                updates[0].1.index
                    >= cluster
                        .config_updates(early_proxy)
                        .last()
                        .expect("an update")
                        .1
                        .index,
                "{case}"
            );
            assert!(
                cluster
                    .instance_updates(new_proxy)
                    .iter()
                    .any(|updates| updates.records.len() >= 3),
                "{case}"
            );
            assert_eq!(
                cluster.count_logged(isolated, "event=quorum_restored"),
                quorum_losses + 1,
                "{case}"
            );
        }
    }
}

/// A process that resumes from a pause sends nothing outdated before it has quorum contact again,
/// and expires no backend whose heartbeats could not reach it.
#[test]
fn paused_controller_sends_nothing_outdated() {
    for duration in [1300.0, 5000.0, 20_000.0] {
        let mut cluster = Cluster::new(3, 11);
        cluster.run(2000.0);
        let leader = cluster.find_leader(1);
        let (paused, connected) = (leader, (leader + 1) % 3);
        assert!(cluster.is_ok(cluster.last_call));
        cluster.heartbeat(connected, "b", "in_loop", 1);
        cluster.run(500.0);
        cluster.nodes[paused].is_paused = true;
        cluster.partition(paused, true, true);
        let mut seq = 1;
        for _ in 0..(duration / 100.0) as usize {
            seq += 1;
            cluster.heartbeat(connected, "b", "in_loop", seq);
            cluster.run(100.0);
        }
        let elected = if duration > 3000.0 {
            cluster.find_leader(2)
        } else {
            connected
        };
        assert_ne!(elected, paused);
        // On resuming, a proxy connects and a call arrives before the first tick. The connections
        // to peers are opened again later.
        let resumed_at = cluster.now;
        cluster.nodes[paused].is_paused = false;
        let (new_proxy, amend) = (cluster.connect_proxy(paused, 0), cluster.amend(paused, 9));
        cluster.run(400.0);
        assert!(
            !cluster.is_ok(amend),
            "{duration}: confirmed without a quorum"
        );
        assert!(
            cluster.config_updates(new_proxy).is_empty(),
            "{duration}: sent after a pause"
        );
        assert_eq!(
            cluster.count_logged(paused, "event=process_paused"),
            1,
            "{duration}"
        );
        cluster.heal();
        cluster.run(4.0 * HEARTBEAT_INTERVAL - 500.0);
        assert_eq!(
            cluster.count_logged(paused, "event=backend_expired"),
            0,
            "{duration}: expired a backend whose heartbeats could not reach it"
        );
        let updates = cluster.config_updates(new_proxy);
        assert!(updates[0].0 - resumed_at < 3000.0, "{duration}");
    }
}

/// Random partitions of any controller in either direction, while changes are committed and proxies
/// connect. A proxy without a configuration is never sent one older than what was committed before
/// the timeout, and no controller expires a backend whose heartbeats another one has acknowledged.
#[test]
fn new_proxy_is_never_sent_an_outdated_configuration() {
    println!("seeds 0 to 11");
    let mut sent = 0;
    for seed in 0..12 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut draw = |bound: u32| rng.next_u32() % bound;
        let mut cluster = Cluster::new(if seed % 3 == 0 { 5 } else { 3 }, seed + 50);
        let size = cluster.nodes.len();
        cluster.run(2500.0);
        let (mut version, mut seq, mut backend_at) = (1, 0, seed as usize % size);
        // Calls that change a tenant, each with its version; and when each version was confirmed.
        let mut amendments: Vec<(u64, u64)> = Vec::new();
        let mut confirmed: BTreeMap<u64, f64> = BTreeMap::new();
        let (mut heal_at, mut partition_at, mut next_heartbeat) = (0.0, 3000.0, 0.0);
        let mut new_proxies: Vec<u64> = Vec::new();
        while cluster.now < 40_000.0 {
            if cluster.now >= partition_at && cluster.blocked_links.is_empty() {
                let (node, direction) = (draw(size as u32) as usize, draw(3));
                let node = if draw(2) == 0 { backend_at } else { node };
                cluster.partition(node, direction != 1, direction != 0);
                heal_at = cluster.now + f64::from(500 + draw(8000));
            }
            if cluster.now >= heal_at && !cluster.blocked_links.is_empty() {
                cluster.heal();
                partition_at = cluster.now + f64::from(draw(3000));
            }
            if draw(4) == 0 {
                version += 1;
                let node = draw(size as u32) as usize;
                let mut call = cluster.amend(node, version);
                if let Some(CallResponse::Redirect(leader)) = cluster.responses.get(&call).cloned()
                {
                    let node = (0..size)
                        .find(|node| ip(*node) == leader)
                        .expect("a controller");
                    call = cluster.amend(node, version);
                }
                amendments.push((call, version));
            }
            if draw(6) == 0 {
                new_proxies.push(cluster.connect_proxy(draw(size as u32) as usize, 0));
            }
            if cluster.now >= next_heartbeat {
                // A backend stays with the controller that acknowledges its heartbeats, and moves
                // on to another one if they are not acknowledged.
                (next_heartbeat, seq) = (cluster.now + HEARTBEAT_INTERVAL, seq + 1);
                for node in (0..size).cycle().skip(backend_at).take(size) {
                    let call = cluster.heartbeat(node, "b", "in_loop", seq);
                    if cluster.is_ok(call) {
                        backend_at = node;
                        break;
                    }
                }
            }
            cluster.run(100.0);
            for (call, version) in &amendments {
                if cluster.is_ok(*call) {
                    confirmed.entry(*version).or_insert(cluster.now);
                }
            }
        }
        for connection in new_proxies {
            let Some((at, first)) = cluster.config_updates(connection).first().copied() else {
                continue;
            };
            sent += 1;
            let sent_version = first
                .items
                .iter()
                .map(|item| item.version)
                .max()
                .unwrap_or(0);
            let required_version = confirmed
                .iter()
                .filter(|(_, when)| **when < at - CONNECTION_TIMEOUT - QUORUM_TIMEOUT - TOLERANCE);
            let required_version = required_version
                .map(|(version, _)| *version)
                .max()
                .unwrap_or(0);
            assert!(
                u64::from(sent_version) >= required_version,
                "seed {seed}: a proxy got version {sent_version} at {at}, version {required_version} was committed before the timeout"
            );
        }
        for node in 0..size {
            assert_eq!(
                cluster.count_logged(node, "event=backend_expired"),
                0,
                "seed {seed}: controller {node} expired a live backend"
            );
        }
        assert!(
            confirmed.len() > 40,
            "seed {seed}: {} confirmed",
            confirmed.len()
        );
    }
    println!("first configurations sent: {sent}");
    assert!(sent > 200, "{sent}");
}

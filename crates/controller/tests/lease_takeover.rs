//! Takeover of quota slots by another controller (`docs/design/control-leases.md`).

#[path = "common/lease_cluster.rs"]
mod lease_cluster;

use lease_cluster::{settings, LeaseCluster, TemporaryDirectory};
use maplefall_controller::store::StoredState;
use maplefall_quota_lease::{LeaseClient, TAKEOVER_DELAY};
use std::collections::BTreeMap;

/// A controller is partitioned from the others, keeps running, and is replaced by a new one, while
/// proxies reach both. The sum of the leases never exceeds the quota, and at the end the whole
/// quota is leased. The new controller leases only after the takeover delay, also if it restarts
/// meanwhile, and the old one learns in the end that it owns no slot.
#[test]
fn controller_and_its_successor_never_lease_the_same_share() {
    let seeds = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];
    let all = ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"];
    for (isolated, isolated_seconds, restarts) in [
        (0, 60, false),
        (1, 60, true),
        (2, 8, false),
        (0, 8, true),
        (1, 14, false),
    ] {
        let isolated = seeds[isolated];
        let mut cluster = LeaseCluster::new(&seeds, 1);
        cluster.run(5000.0);
        cluster.add_tenant();
        // One proxy with a separate lease client for each controller, so that the sum of its leases
        // is not capped.
        let mut clients: BTreeMap<&str, LeaseClient> =
            all.iter().map(|ip| (*ip, LeaseClient::new(5))).collect();
        let connect = |cluster: &mut LeaseCluster,
                       clients: &mut BTreeMap<&str, LeaseClient>,
                       ip: &str,
                       connection: u64| {
            clients.get_mut(ip).expect("a client").connected("x");
            cluster.connect_proxy(ip, connection, "proxy", 5);
        };
        seeds
            .iter()
            .for_each(|ip| connect(&mut cluster, &mut clients, ip, 1));
        let mut connections: BTreeMap<&str, u64> = all.iter().map(|ip| (*ip, 1)).collect();
        let start = cluster.now;
        let mut waiting_since = None;
        let mut first_lease = None;
        for half_second in 0..160 {
            let elapsed = f64::from(half_second) * 500.0;
            if half_second == 4 {
                cluster.nodes.get_mut(isolated).expect("a node").is_isolated = true;
            }
            if half_second == 6 {
                cluster.start(
                    &settings(all[3], &seeds, false, 1),
                    StoredState::default(),
                    77,
                );
                connect(&mut cluster, &mut clients, all[3], 1);
            }
            if half_second == 4 + 2 * isolated_seconds {
                cluster.nodes.get_mut(isolated).expect("a node").is_isolated = false;
            }
            if half_second == 30 && restarts {
                // The new controller restarts with its disk during the takeover delay.
                let stored_records = cluster.nodes[all[3]].stored_records.clone();
                let directory = TemporaryDirectory::new("successor");
                let found = directory.persist(stored_records);
                cluster.start(&settings(all[3], &seeds, false, 1), found, 78);
                connections.insert(all[3], 2);
                connect(&mut cluster, &mut clients, all[3], 2);
                waiting_since = None;
            }
            cluster.run(500.0);
            for (ip, client) in &mut clients {
                if !cluster.nodes.contains_key(*ip) {
                    continue;
                }
                let request = client.next_request(cluster.now, "x", Vec::new());
                for grant in cluster.request_lease(ip, connections[ip], request) {
                    client.handle_grant(cluster.now, "x", &grant);
                }
            }
            let leased: f64 = clients
                .values()
                .map(|client| client.fraction(cluster.now, "t"))
                .sum();
            assert!(
                leased <= 1.0 + 1e-6,
                "{isolated}, reconnected after {isolated_seconds} s: {leased} is leased after {elapsed} ms"
            );
            let is_logged = |prefix: &str| {
                let fourth = cluster.nodes.get(all[3]);
                fourth
                    .is_some_and(|node| node.log_lines.iter().any(|line| line.starts_with(prefix)))
            };
            if waiting_since.is_none() && is_logged("event=slot_waiting") {
                waiting_since = Some(cluster.now);
            }
            if first_lease.is_none() && clients[all[3]].fraction(cluster.now, "t") > 0.0 {
                first_lease = Some(cluster.now);
            }
        }
        let (waiting_since, first_lease) = (
            waiting_since.expect("an event=slot_waiting line"),
            first_lease.expect("a lease"),
        );
        let delay = first_lease - waiting_since;
        let expected = TAKEOVER_DELAY - 1000.0..TAKEOVER_DELAY + 2000.0;
        assert!(expected.contains(&delay), "{delay} after {start}");
        let leased: f64 = clients
            .values()
            .map(|client| client.fraction(cluster.now, "t"))
            .sum();
        assert!(
            leased > 0.99 && clients[isolated].fraction(cluster.now, "t") == 0.0,
            "{isolated}: {leased} is leased at the end"
        );
    }
}

//! When the deregistration of a backend is acknowledged, to the caller and between controllers:
//! only once a majority of the controllers has persisted it, so that it is not lost (rule LOST).

#[path = "common/cluster.rs"]
mod cluster;

use cluster::{frame, ip, Cluster, HEARTBEAT_INTERVAL};
use maplefall_control_messages::{encode_frame, Frame, InstanceUpdates};
use maplefall_controller::Call;
use maplefall_node_settings::Settings;
use maplefall_proxy::Output;
use maplefall_service_registry::{InstanceRecord, InstanceState, Registry};

/// A deregistration is acknowledged once a majority of the controllers has it on disk, among them
/// the one that responds, whichever controller received it first and whether from the backend or
/// from a peer.
#[test]
fn deregistration_is_acknowledged_once_a_majority_has_it_on_disk() {
    for (size, peers_needed) in [(3, 1), (5, 2)] {
        let mut cluster = Cluster::new(size, 3);
        cluster.run(2500.0);
        cluster.find_leader(1);
        cluster
            .nodes
            .iter_mut()
            .for_each(|node| node.is_disk_stalled = true);
        // All controllers receive the deregistration, and no disk persists it.
        let first = cluster.heartbeat(0, "b", "decaying", 1);
        cluster.run(100.0);
        // Without a response, the backend repeats its call to controllers that already know of the
        // deregistration.
        let second = cluster.heartbeat(1, "b", "decaying", 2);
        let third = cluster.heartbeat(2, "b", "decaying", 2);
        cluster.run(100.0);
        assert!(
            ![first, second]
                .iter()
                .any(|call| cluster.responses.contains_key(call)),
            "{size}"
        );
        cluster.nodes[0].is_disk_stalled = false;
        cluster.run(100.0);
        assert!(
            ![first, second, third]
                .iter()
                .any(|call| cluster.is_ok(*call)),
            "{size}: on one disk only"
        );
        for node in 1..peers_needed {
            cluster.nodes[node].is_disk_stalled = false;
            cluster.run(100.0);
            assert!(
                ![first, second, third]
                    .iter()
                    .any(|call| cluster.is_ok(*call)),
                "{size}: on {} disks",
                node + 1
            );
        }
        cluster.nodes[peers_needed].is_disk_stalled = false;
        cluster.run(100.0);
        assert!(
            cluster.is_ok(first) && cluster.is_ok(second),
            "{size}: on the disks of a majority"
        );
        assert_eq!(
            cluster.is_ok(third),
            peers_needed >= 2,
            "{size}: acknowledged only with its own disk"
        );
        // A deregistration that is known to be replicated is acknowledged at once.
        let again = cluster.heartbeat(0, "b", "decaying", 3);
        assert!(cluster.is_ok(again), "{size}");
    }
}

/// A deregistration whose frames are lost with their connections is sent again over the new ones,
/// and acknowledged in time.
#[test]
fn deregistration_survives_reconnection() {
    let mut cluster = Cluster::new(3, 13);
    cluster.run(2500.0);
    cluster.find_leader(1);
    let deregistration = cluster.heartbeat(0, "b", "decaying", 1);
    cluster.network.clear();
    for is_connected in [false, true] {
        cluster.set_connected(0, 1, is_connected);
        cluster.set_connected(0, 2, is_connected);
    }
    cluster.run(100.0);
    assert!(
        cluster.is_ok(deregistration),
        "{:?}",
        cluster.responses.get(&deregistration)
    );
}

/// The number of acknowledgements to peers that wait for a stalled disk is bounded.
#[test]
fn pending_acknowledgements_to_peers_are_bounded() {
    let mut cluster = Cluster::new(3, 5);
    cluster.run(2000.0);
    cluster.nodes[1].is_disk_stalled = true;
    let mut requested = 0;
    for seq in 0..60_u64 {
        let record = InstanceRecord {
            id: "b".into(),
            state: InstanceState::Draining.into(),
            seq: seq + 1,
            ..InstanceRecord::default()
        };
        for number in 0..100 {
            requested += 1;
            let updates = InstanceUpdates {
                records: vec![record.clone()],
                complete: false,
                ack_number: seq * 100 + number + 1,
            };
            cluster.drive(1, |core, now, out| {
                core.receive_from_peer(
                    now,
                    &ip(0),
                    frame(&encode_frame(Frame::InstanceUpdates(updates))),
                    out,
                )
            });
        }
    }
    let acknowledged = |cluster: &Cluster| {
        let acknowledged = cluster.network.iter().filter(|(_, from, _, bytes)| {
            *from == 1 && matches!(frame(bytes), Frame::InstancesPersisted(_))
        });
        acknowledged.count()
    };
    assert_eq!(acknowledged(&cluster), 0);
    cluster.nodes[1].is_disk_stalled = false;
    while cluster.nodes[1].pending_writes.front().is_some() {
        let Some((record, _)) = cluster.nodes[1].pending_writes.pop_front() else {
            break;
        };
        cluster.drive(1, |core, now, out| core.persisted(now, record.number, out));
    }
    assert!(
        acknowledged(&cluster) > 0
            && acknowledged(&cluster) <= 4096
            && acknowledged(&cluster) < requested,
        "{} of {requested}",
        acknowledged(&cluster)
    );
}

/// Time after a start within which the controllers have exchanged what they know, in milliseconds:
/// a contact time of the users' pages.
const CONTACT_TIME: f64 = 3000.0;

/// Starts a backend at all three controllers of a new cluster, and kills the last one.
fn cluster_with_a_stale_disk() -> Cluster {
    let mut cluster = Cluster::new(3, 7);
    cluster.run(2500.0);
    cluster.find_leader(1);
    let start = cluster.heartbeat(0, "b", "in_loop", 1);
    cluster.run(100.0);
    assert!(cluster.is_ok(start));
    cluster.kill(2);
    cluster
}

/// Kills the controllers that run and starts all three, and returns the state of the backend that a
/// proxy has learned from each controller until a contact time later; `None` if it learned of none.
fn states_after_a_restart_of_all(cluster: &mut Cluster) -> Vec<Option<InstanceState>> {
    cluster.kill(0);
    cluster.kill(1);
    cluster.run(250.0);
    cluster.start(&[0, 1, 2]);
    let proxies: Vec<u64> = (0..3).map(|node| cluster.connect_proxy(node, 0)).collect();
    cluster.run(CONTACT_TIME);
    let state_at = |proxy: &u64| {
        let mut registry = Registry::default();
        for update in cluster.instance_updates(*proxy) {
            for record in &update.records {
                registry.apply(0.0, record.clone());
            }
        }
        registry.record(0.0, "b").map(|record| record.state())
    };
    proxies.iter().map(state_at).collect()
}

fn is_serving(state: &Option<InstanceState>) -> bool {
    *state == Some(InstanceState::Serving)
}

/// Guards acknowledged deregistrations against a restart of all controllers (rule DRAIN): one that
/// was down meanwhile, and has the backend as serving on its disk, brought the backend back at all
/// of them and at all proxies.
#[test]
fn an_acknowledged_deregistration_survives_a_restart_of_all() {
    let mut cluster = cluster_with_a_stale_disk();
    let call = cluster.call(0, Call::Deregister("b".to_owned()));
    cluster.run(100.0);
    assert!(cluster.is_ok(call), "{:?}", cluster.responses.get(&call));
    let states = states_after_a_restart_of_all(&mut cluster);
    assert!(!states.iter().any(is_serving), "{states:?}");
    // The same after a second restart, with what the first one wrote.
    cluster.kill(2);
    let states = states_after_a_restart_of_all(&mut cluster);
    assert!(!states.iter().any(is_serving), "second restart: {states:?}");
}

/// Guards acknowledged drains in the same way (rule DRAIN), also once the draining backend has
/// expired: its record was removed from the disk then.
#[test]
fn an_acknowledged_drain_survives_expiry_and_a_restart_of_all() {
    let mut cluster = cluster_with_a_stale_disk();
    let call = cluster.heartbeat(0, "b", "decaying", 2);
    cluster.run(100.0);
    assert!(cluster.is_ok(call), "{:?}", cluster.responses.get(&call));
    cluster.run(8.0 * HEARTBEAT_INTERVAL);
    assert_eq!(
        cluster.count_logged(0, "event=backend_expired backend=b"),
        1
    );
    let states = states_after_a_restart_of_all(&mut cluster);
    assert!(!states.iter().any(is_serving), "{states:?}");
}

/// Guards backends that only seemed to be gone: one that expired serves again after a restart of
/// all as soon as its next heartbeat arrives.
#[test]
fn an_expired_backend_serves_again_after_a_restart_and_a_heartbeat() {
    let mut cluster = cluster_with_a_stale_disk();
    cluster.run(8.0 * HEARTBEAT_INTERVAL);
    assert_eq!(
        cluster.count_logged(0, "event=backend_expired backend=b"),
        1
    );
    let states = states_after_a_restart_of_all(&mut cluster);
    assert!(!states.iter().any(is_serving), "{states:?}");
    let proxy = cluster.connect_proxy(1, 0);
    cluster.heartbeat(0, "b", "in_loop", 9);
    cluster.run(100.0);
    let last = cluster.instance_updates(proxy).last().copied();
    let records = last.map(|update| update.records.clone());
    let state = records.and_then(|records| records.last().map(InstanceRecord::state));
    assert!(is_serving(&state), "{state:?}");
}

/// Returns a proxy's core without configuration and backends.
fn proxy_core() -> maplefall_proxy::Core {
    let text = "Node = \"edge\"\nIp = \"10.9.0.1\"\nInternalPorts = [1,1]\nSeedAddrs = [\"10.0.0.1:1\"]\nZone = \"a\"\n\
                [Bind]\nFrontHttp = \"10.9.0.1:2\"\nReadyProbe = \"10.9.0.1:3\"\n";
    let settings = Settings::parse(text, std::path::Path::new("edge.toml")).expect("settings");
    maplefall_proxy::Core::new(&settings, 1)
}

/// Passes what controllers sent to a connection of a proxy to the proxy. Returns the changes of its
/// connection pools.
fn deliver(cluster: &Cluster, connection: u64, proxy: &mut maplefall_proxy::Core) -> Vec<String> {
    let mut out = Vec::new();
    for updates in cluster.instance_updates(connection) {
        let frame = Frame::InstanceUpdates(updates.clone());
        proxy.receive(cluster.now, &ip(0), frame, &mut out);
    }
    let pool_changes = out
        .iter()
        .filter(|output| matches!(output, Output::Pool(_)));
    pool_changes.map(|change| format!("{change:?}")).collect()
}

/// Guards against requests to a backend that left while a proxy was frozen or cut off (rule DRAIN):
/// the list that the proxy got when it connected again did not name the end, and a backend that had
/// started a few seconds before was kept for as long as the connection lasted.
#[test]
fn a_proxy_that_missed_the_end_of_a_backend_learns_it_when_it_connects_again() {
    let mut cluster = Cluster::new(3, 7);
    cluster.run(2500.0);
    cluster.find_leader(1);
    cluster.run(8.0 * HEARTBEAT_INTERVAL);
    cluster.heartbeat(0, "b", "in_loop", 1);
    cluster.run(100.0);
    let mut proxy = proxy_core();
    let first = cluster.connect_proxy(0, 0);
    assert_eq!(deliver(&cluster, first, &mut proxy).len(), 1, "b is known");
    assert!(!proxy.may_have_missed_updates());
    cluster.drive(0, |core, _, out| core.proxy_disconnected(first, out));
    proxy.controller_disconnected(&ip(0));
    let call = cluster.call(0, Call::Deregister("b".to_owned()));
    cluster.run(100.0);
    assert!(cluster.is_ok(call));
    for node in 0..3 {
        let may_have_missed = proxy.may_have_missed_updates();
        let again = cluster.connect_proxy_that(node, 0, may_have_missed);
        let changes = deliver(&cluster, again, &mut proxy);
        let removed = changes.iter().any(|change| change.contains("Remove"));
        assert_eq!(removed, node == 0, "controller {node}: {changes:?}");
    }
}

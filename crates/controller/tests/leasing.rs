//! Which leases controllers grant to proxies, when they answer lease requests at all, and which
//! proxies they record on disk.

#[path = "common/lease_cluster.rs"]
mod lease_cluster;

use lease_cluster::{granted_ppm, settings, LeaseCluster, TemporaryDirectory};
use maplefall_controller::store::StoredState;
use maplefall_quota_lease::{
    Lease, LeaseClient, LeaseRequest, CLOCK_SKEW, FULL_QUOTA_PPM, LEASE_DURATION, MEMBERSHIP_LEASE,
};
use std::collections::{BTreeMap, VecDeque};

/// Returns a controller with one tenant, and a connected proxy that has requested nothing yet.
fn controller_with_proxy() -> (LeaseCluster, LeaseClient) {
    let mut cluster = LeaseCluster::new(&["10.0.0.1"], 0);
    cluster.run(2000.0);
    cluster.add_tenant();
    let mut client = LeaseClient::new(5);
    client.connected("x");
    cluster.connect_proxy("10.0.0.1", 1, "proxy", 5);
    (cluster, client)
}

/// A proxy is granted nothing before its name is on disk, even if it sends several requests
/// meanwhile: a restarted controller has to know which proxies hold leases.
#[test]
fn nothing_is_granted_before_the_proxys_name_is_on_disk() {
    let (mut cluster, mut client) = controller_with_proxy();
    cluster
        .nodes
        .get_mut("10.0.0.1")
        .expect("a node")
        .is_disk_stalled = true;
    for _ in 0..3 {
        let request = client.next_request(cluster.now, "x", Vec::new());
        assert!(cluster.request_lease("10.0.0.1", 1, request).is_empty());
    }
    cluster
        .nodes
        .get_mut("10.0.0.1")
        .expect("a node")
        .is_disk_stalled = false;
    cluster.deliver_all();
    let grants = cluster.take_grants("10.0.0.1", 1);
    assert_eq!(granted_ppm(&grants[..1]), [FULL_QUOTA_PPM]);
    let stored_records = &cluster.nodes["10.0.0.1"].stored_records;
    assert!(stored_records
        .iter()
        .any(|record| record.leased_to == ["proxy"]));
}

/// Guards the memory of a controller that has no time for lease requests: a later request of a
/// proxy replaces its queued one, and only the last is answered. A release takes effect at once,
/// and nothing is granted after it.
#[test]
fn a_later_request_replaces_the_one_that_waits() {
    let (mut cluster, mut client) = controller_with_proxy();
    let request = client.next_request(cluster.now, "x", Vec::new());
    assert_eq!(
        granted_ppm(&cluster.request_lease("10.0.0.1", 1, request)),
        [FULL_QUOTA_PPM]
    );
    cluster.answers_lease_requests = false;
    let mut last = 0;
    for _ in 0..1000 {
        let request = client.next_request(cluster.now, "x", Vec::new());
        last = request.sequence;
        assert!(cluster.request_lease("10.0.0.1", 1, request).is_empty());
    }
    cluster.answers_lease_requests = true;
    cluster.deliver_all();
    let grants = cluster.take_grants("10.0.0.1", 1);
    assert_eq!(grants.len(), 1);
    assert_eq!(grants[0].request, last);

    cluster.answers_lease_requests = false;
    let request = client.next_request(cluster.now, "x", Vec::new());
    cluster.request_lease("10.0.0.1", 1, request);
    let release = LeaseRequest {
        release: true,
        ..client.next_request(cluster.now, "x", Vec::new())
    };
    cluster.request_lease("10.0.0.1", 1, release);
    cluster.answers_lease_requests = true;
    cluster.deliver_all();
    assert!(cluster.take_grants("10.0.0.1", 1).is_empty());
}

/// A partitioned controller answers lease requests for as long as its membership lease lasts and no
/// longer, and logs the expiry. Once the partition is healed it answers again.
#[test]
fn controller_without_quorum_contact_renews_nothing() {
    let ips = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];
    let mut cluster = LeaseCluster::new(&ips, 1);
    cluster.run(5000.0);
    cluster.add_tenant();
    for isolated in ips {
        let mut client = LeaseClient::new(5);
        client.connected("x");
        cluster.connect_proxy(isolated, 1, "proxy", 5);
        let request = client.next_request(cluster.now, "x", Vec::new());
        assert_eq!(
            granted_ppm(&cluster.request_lease(isolated, 1, request)),
            [FULL_QUOTA_PPM / 3]
        );
        cluster.nodes.get_mut(isolated).expect("a node").is_isolated = true;
        // A leader that receives nothing from its peers notices after a second.
        for half_second in 1..=(2.0 * MEMBERSHIP_LEASE / 500.0) as u32 + 4 {
            cluster.run(500.0);
            let request = client.next_request(cluster.now, "x", Vec::new());
            let answered = !cluster.request_lease(isolated, 1, request).is_empty();
            let elapsed = f64::from(half_second) * 500.0;
            assert!(
                !answered || elapsed < MEMBERSHIP_LEASE + 1500.0,
                "{isolated} responds after {elapsed} ms"
            );
            assert!(
                answered || elapsed >= MEMBERSHIP_LEASE,
                "{isolated} does not respond after {elapsed} ms"
            );
        }
        let is_logged = |cluster: &LeaseCluster, prefix: &str| {
            cluster.nodes[isolated]
                .log_lines
                .iter()
                .any(|line| line.starts_with(prefix))
        };
        assert!(is_logged(&cluster, "event=lease_expired"));
        cluster.nodes.get_mut(isolated).expect("a node").is_isolated = false;
        cluster.take_grants(isolated, 1);
        cluster.run(4000.0);
        let request = client.next_request(cluster.now, "x", Vec::new());
        assert!(!cluster.request_lease(isolated, 1, request).is_empty());
        cluster.drive(isolated, |core, _, out| core.proxy_disconnected(1, out));
        cluster.run(1000.0);
    }
}

/// First start of a cluster for five controllers of which three are seeds: each of the three leases
/// a fifth of the quota from the start.
#[test]
fn three_of_five_lease_a_fifth_each() {
    let mut cluster = LeaseCluster::new(&["10.0.0.1", "10.0.0.2", "10.0.0.3"], 2);
    cluster.run(5000.0);
    cluster.add_tenant();
    for ip in ["10.0.0.1", "10.0.0.2", "10.0.0.3"] {
        let mut client = LeaseClient::new(5);
        client.connected("x");
        cluster.connect_proxy(ip, 1, "proxy", 5);
        let request = client.next_request(cluster.now, "x", Vec::new());
        assert_eq!(
            granted_ppm(&cluster.request_lease(ip, 1, request)),
            [FULL_QUOTA_PPM / 5]
        );
    }
    // A fourth controller joins, and gets a slot that was never leased.
    let mut fourth = settings("10.0.0.4", &["10.0.0.1", "10.0.0.2", "10.0.0.3"], true, 2);
    fourth.quorum_member = true;
    cluster.start(&fourth, StoredState::default(), 99);
    cluster.run(5000.0);
    let mut client = LeaseClient::new(5);
    client.connected("x");
    cluster.connect_proxy("10.0.0.4", 1, "proxy", 5);
    let request = client.next_request(cluster.now, "x", Vec::new());
    assert_eq!(
        granted_ppm(&cluster.request_lease("10.0.0.4", 1, request)),
        [FULL_QUOTA_PPM / 5]
    );
}

/// After a crash of all controllers, those that find their data grant leases as soon as they have a
/// quorum and their proxies have reconnected. An earlier version waited for 23 s, during which
/// proxies rejected requests.
#[test]
fn leases_are_granted_at_once_after_a_crash_of_all() {
    let ips = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];
    let mut cluster = LeaseCluster::new(&ips, 1);
    cluster.run(3000.0);
    cluster.add_tenant();
    for ip in ips {
        cluster.connect_proxy(ip, 1, "proxy", 5);
        let grants = cluster.request_lease(
            ip,
            1,
            LeaseRequest {
                sequence: 1,
                full: true,
                ..LeaseRequest::default()
            },
        );
        assert_eq!(granted_ppm(&grants), [FULL_QUOTA_PPM / 3]);
    }
    let disks: Vec<StoredState> = ips
        .iter()
        .map(|ip| {
            let mut stored = StoredState::default();
            cluster.nodes[*ip]
                .stored_records
                .iter()
                .for_each(|record| stored.apply(record.clone()));
            stored
        })
        .collect();
    (cluster.nodes, cluster.network) = (BTreeMap::new(), VecDeque::new());
    for (n, (ip, stored)) in ips.iter().zip(disks).enumerate() {
        cluster.start(&settings(ip, &ips, false, 1), stored, n as u64 + 70);
    }
    cluster.run(1500.0);
    for ip in ips {
        cluster.connect_proxy(ip, 1, "proxy", 6);
        let grants = cluster.request_lease(
            ip,
            1,
            LeaseRequest {
                sequence: 1,
                full: true,
                ..LeaseRequest::default()
            },
        );
        assert_eq!(granted_ppm(&grants), [FULL_QUOTA_PPM / 3], "{ip}");
    }
}

/// The names of proxies whose leases have expired are removed from the disk: it stays small, and a
/// restarted controller does not wait for these proxies.
#[test]
fn expired_lease_holders_are_removed_from_disk() {
    let directory = TemporaryDirectory::new("lease-holders");
    let mut cluster = LeaseCluster::new(&["10.0.0.1"], 0);
    cluster.run(2000.0);
    cluster.add_tenant();
    let mut active_client = LeaseClient::new(5);
    active_client.connected("x");
    cluster.connect_proxy("10.0.0.1", 1, "stays", 5);
    cluster.connect_proxy("10.0.0.1", 2, "goes", 6);
    cluster.request_lease(
        "10.0.0.1",
        2,
        LeaseRequest {
            sequence: 1,
            full: true,
            ..LeaseRequest::default()
        },
    );
    cluster.drive("10.0.0.1", |core, _, out| core.proxy_disconnected(2, out));
    let recorded_names = |cluster: &LeaseCluster| {
        let records = cluster.nodes["10.0.0.1"].stored_records.clone();
        directory.persist(records).leased_to
    };
    for half_second in 0..90 {
        cluster.run(500.0);
        let request = active_client.next_request(cluster.now, "x", Vec::new());
        for grant in cluster.request_lease("10.0.0.1", 1, request) {
            active_client.handle_grant(cluster.now, "x", &grant);
        }
        if half_second == 10 {
            assert_eq!(
                recorded_names(&cluster).into_iter().collect::<Vec<_>>(),
                ["goes", "stays"]
            );
        }
    }
    assert_eq!(
        recorded_names(&cluster).into_iter().collect::<Vec<_>>(),
        ["stays"]
    );
    // A proxy whose name was removed is recorded again when it requests a lease again.
    cluster.connect_proxy("10.0.0.1", 3, "goes", 6);
    cluster.request_lease(
        "10.0.0.1",
        3,
        LeaseRequest {
            sequence: 2,
            full: true,
            ..LeaseRequest::default()
        },
    );
    assert_eq!(
        recorded_names(&cluster).into_iter().collect::<Vec<_>>(),
        ["goes", "stays"]
    );
}

/// On the second start after a disk was lost, the disk does not name the proxies that hold leases
/// from before the loss: nothing new is leased until the lease duration has passed.
#[test]
fn empty_disk_knows_its_lease_holders_only_after_the_lease_duration() {
    let directory = TemporaryDirectory::new("leasing");
    let mut cluster = LeaseCluster::new(&["10.0.0.1"], 0);
    cluster.run(2000.0);
    cluster.add_tenant();
    // A disk that has the log and no names of proxies, and is not marked as having all lease
    // holders.
    let mut stored_records = cluster.nodes["10.0.0.1"].stored_records.clone();
    stored_records
        .iter_mut()
        .for_each(|record| record.leased_to_complete = false);
    let found = directory.persist(stored_records);
    assert!(!found.leased_to_complete && !found.raft.is_empty());
    cluster.now += 1000.0;
    let single = settings("10.0.0.1", &["10.0.0.1"], false, 0);
    cluster.start(&single, found, 50);
    cluster.run(2000.0);
    // One proxy connects without a lease, while another may hold one from before the loss of the
    // disk.
    let mut client = LeaseClient::new(5);
    client.connected("x");
    cluster.connect_proxy("10.0.0.1", 1, "proxy", 5);
    let request = client.next_request(cluster.now, "x", Vec::new());
    let grants = cluster.request_lease("10.0.0.1", 1, request);
    assert!(
        granted_ppm(&grants).iter().all(|ppm| *ppm == 0),
        "{grants:?}"
    );
    // A proxy that reports a lease keeps it.
    cluster.connect_proxy("10.0.0.1", 2, "other", 6);
    let leased = vec![Lease {
        tenant: "t".to_owned(),
        ppm: FULL_QUOTA_PPM / 2,
    }];
    let request = LeaseRequest {
        sequence: 1,
        full: true,
        leases: leased,
        ..LeaseRequest::default()
    };
    assert_eq!(
        granted_ppm(&cluster.request_lease("10.0.0.1", 2, request)),
        [FULL_QUOTA_PPM / 2]
    );
    cluster.run(LEASE_DURATION + CLOCK_SKEW);
    let request = client.next_request(cluster.now, "x", Vec::new());
    assert!(
        granted_ppm(&cluster.request_lease("10.0.0.1", 1, request))
            .iter()
            .sum::<u32>()
            > 0
    );
    let stored_records = cluster.nodes["10.0.0.1"].stored_records.clone();
    assert!(directory.persist(stored_records).leased_to_complete);
}

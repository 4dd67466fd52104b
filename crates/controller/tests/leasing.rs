//! What controllers lease to proxies, when they answer lease requests at all, and which proxies they remember on disk.

#[path = "common/lease_cluster.rs"]
mod lease_cluster;

use lease_cluster::{granted_ppm, settings, LeaseCluster, TemporaryDirectory};
use maplefall_controller::store::StoredState;
use maplefall_quota_lease::{
    Lease, LeaseClient, LeaseRequest, CLOCK_SKEW, FULL_QUOTA_PPM, LEASE_DURATION, MEMBERSHIP_LEASE,
};
use std::collections::{BTreeMap, VecDeque};

/// A controller with one tenant, and a proxy that is connected to it and has asked for nothing.
fn controller_with_proxy() -> (LeaseCluster, LeaseClient) {
    let mut cluster = LeaseCluster::new(&["10.0.0.1"], 0);
    cluster.run(2000.0);
    cluster.add_tenant();
    let mut client = LeaseClient::new(5);
    client.connected("x");
    cluster.connect_proxy("10.0.0.1", 1, "proxy", 5);
    (cluster, client)
}

/// A proxy is granted nothing before its name is on disk, also where it sends several requests meanwhile: a restarted controller has
/// to know which proxies hold leases.
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

/// Guards the memory of a controller that has no time for lease requests: a later request of a proxy replaces the one that waits, and
/// its answer is that to the last; a release takes effect at once, and nothing is granted behind it.
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

/// A controller that is cut off answers for as long as its membership lease lasts and no longer, and logs that; once it is back it
/// answers requests that came meanwhile.
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
        // A leader that hears no peer notices after a second.
        for half_second in 1..=(2.0 * MEMBERSHIP_LEASE / 500.0) as u32 + 4 {
            cluster.run(500.0);
            let request = client.next_request(cluster.now, "x", Vec::new());
            let answered = !cluster.request_lease(isolated, 1, request).is_empty();
            let elapsed = f64::from(half_second) * 500.0;
            assert!(
                !answered || elapsed < MEMBERSHIP_LEASE + 1500.0,
                "{isolated} answers after {elapsed} ms"
            );
            assert!(
                answered || elapsed >= MEMBERSHIP_LEASE,
                "{isolated} is silent after {elapsed} ms"
            );
        }
        let is_logged = |cluster: &LeaseCluster, what: &str| {
            cluster.nodes[isolated]
                .log_lines
                .iter()
                .any(|line| line.starts_with(what))
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

/// A first start with five controllers of which three are seeds: each of these leases a fifth from the start.
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
    // A fourth joins, and gets a slot that was never leased.
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

/// After a crash of all controllers, those that find their disks grant leases as soon as they have a quorum and their proxies are
/// back. An earlier version waited for 23 s, and proxies rejected requests all that while.
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

/// The names of proxies whose leases have expired are removed from the disk, which stays small, and for which no restarted
/// controller waits.
#[test]
fn expired_lease_holders_are_removed_from_disk() {
    let directory = TemporaryDirectory::new("lease-holders");
    let mut cluster = LeaseCluster::new(&["10.0.0.1"], 0);
    cluster.run(2000.0);
    cluster.add_tenant();
    let mut remaining = LeaseClient::new(5);
    remaining.connected("x");
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
    for turn in 0..90 {
        cluster.run(500.0);
        let request = remaining.next_request(cluster.now, "x", Vec::new());
        for grant in cluster.request_lease("10.0.0.1", 1, request) {
            remaining.handle_grant(cluster.now, "x", &grant);
        }
        if turn == 10 {
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
    // A proxy that comes again is recorded again.
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

/// The second start after a disk was lost: what is on it by then does not name the proxies that hold leases of the time before the
/// loss.
#[test]
fn empty_disk_knows_its_lease_holders_only_after_the_lease_duration() {
    let directory = TemporaryDirectory::new("leasing");
    let mut cluster = LeaseCluster::new(&["10.0.0.1"], 0);
    cluster.run(2000.0);
    cluster.add_tenant();
    // A disk that does not say that its lease holders are complete: with the log, and no proxies.
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
    // One proxy comes without a lease; another may hold one from before the disk was lost.
    let mut client = LeaseClient::new(5);
    client.connected("x");
    cluster.connect_proxy("10.0.0.1", 1, "proxy", 5);
    let request = client.next_request(cluster.now, "x", Vec::new());
    let grants = cluster.request_lease("10.0.0.1", 1, request);
    assert!(
        granted_ppm(&grants).iter().all(|ppm| *ppm == 0),
        "{grants:?}"
    );
    // One that comes with a lease keeps it.
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

//! A lease server with clients that join one after another, report demand, restart and reconnect.

use maplefall_quota_lease::{
    ClientId, Demand, Lease, LeaseClient, LeaseGrant, LeaseRequest, LeaseServer, CLOCK_SKEW,
    FULL_QUOTA_PPM, LEASE_DURATION,
};
use std::collections::{BTreeMap, BTreeSet};

struct Fixture {
    tenants: Vec<&'static str>,
    server: LeaseServer,
    clients: BTreeMap<String, (u64, LeaseClient)>,
    now: f64,
}

impl Fixture {
    fn new() -> Fixture {
        let server = LeaseServer::new(0.0, 1, FULL_QUOTA_PPM, Some(BTreeSet::new()));
        Fixture {
            tenants: vec!["t"],
            server,
            clients: BTreeMap::new(),
            now: 0.0,
        }
    }

    /// Sends a request of a client, and delivers all grants and acknowledgements that follow.
    fn request(&mut self, name: &str, incarnation: u64, rps: f64, starved: bool) {
        let is_current = self
            .clients
            .get(name)
            .is_some_and(|(current, _)| *current == incarnation);
        if !is_current {
            let mut client = LeaseClient::new(incarnation);
            client.connected("server");
            self.clients.insert(name.to_owned(), (incarnation, client));
        }
        let mut pending = vec![(name.to_owned(), rps, starved)];
        while let Some((name, rps, starved)) = pending.pop() {
            let Some((incarnation, client)) = self.clients.get_mut(&name) else {
                continue;
            };
            let tenant_demand = Demand {
                tenant: "t".into(),
                milli_rps: (rps * 1000.0) as u32,
                starved,
            };
            let demand = if rps > 0.0 {
                vec![tenant_demand]
            } else {
                Vec::new()
            };
            let request = client.next_request(self.now, "server", demand);
            let client_id = ClientId {
                name: &name,
                incarnation: *incarnation,
                connection: *incarnation,
            };
            for (to, grant) in self.server.handle_request(
                self.now,
                client_id,
                &request,
                self.tenants.iter().copied(),
            ) {
                let Some((_, client)) = self.clients.get_mut(&to) else {
                    continue;
                };
                let effect = client.handle_grant(self.now, "server", &grant);
                if effect.decreased {
                    pending.push((to, 0.0, false));
                }
            }
        }
    }

    fn fraction(&self, name: &str) -> f64 {
        self.clients
            .get(name)
            .map_or(0.0, |(_, client)| client.fraction(self.now, "t"))
    }
}

/// Guards the start of a fleet: the first client has leased the full quota before the others join,
/// and they must get their shares of it.
#[test]
fn clients_that_join_one_by_one_get_even_shares() {
    let mut fixture = Fixture::new();
    for _ in 0..4 {
        for name in ["a", "b", "c", "d"] {
            fixture.now += 100.0;
            fixture.request(name, 1, 0.0, false);
        }
    }
    for name in ["a", "b", "c", "d"] {
        let fraction = fixture.fraction(name);
        assert!((fraction - 0.25).abs() < 0.03, "{name} has {fraction}");
    }
}

/// Guards tenants that are configured after the clients have joined: each client gets a share
/// before there is any demand.
#[test]
fn tenants_added_later_are_leased_to_all_clients() {
    let mut fixture = Fixture::new();
    fixture.tenants.clear();
    for round in 0..8 {
        if round == 4 {
            fixture.tenants.push("t");
        }
        for name in ["a", "b", "c", "d"] {
            fixture.now += 100.0;
            fixture.request(name, 1, 0.0, false);
        }
    }
    for name in ["a", "b", "c", "d"] {
        let fraction = fixture.fraction(name);
        assert!((fraction - 0.25).abs() < 0.03, "{name} has {fraction}");
    }
}

/// Guards tenants whose requests all reach one client: once it is starved (rejects requests because
/// its share is used up), it gets the unused shares of the others at once.
#[test]
fn a_starved_client_gets_unused_shares_at_once() {
    let mut fixture = Fixture::new();
    for _ in 0..4 {
        for name in ["a", "b", "c", "d"] {
            fixture.request(name, 1, 0.0, false);
        }
    }
    fixture.now += 10.0;
    fixture.request("a", 1, 30.0, true);
    assert!(fixture.fraction("a") > 0.7, "{}", fixture.fraction("a"));
    // A client that is not starved takes no share from the others.
    fixture.request("b", 1, 30.0, false);
    assert!(fixture.fraction("b") < 0.3, "{}", fixture.fraction("b"));
}

/// Guards restarts: a new incarnation of a client keeps the share of the previous one before it can
/// have measured any demand.
#[test]
fn a_new_incarnation_inherits_the_demand_of_the_previous_one() {
    let mut fixture = Fixture::new();
    for _ in 0..6 {
        fixture.now += 100.0;
        fixture.request("a", 1, 30.0, true);
        fixture.request("b", 1, 0.0, false);
    }
    assert!(fixture.fraction("a") > 0.8);
    fixture.now += 1000.0;
    fixture.request("a", 2, 0.0, false);
    assert!(fixture.fraction("a") > 0.8, "{}", fixture.fraction("a"));
    assert!(fixture.server.outstanding("t") <= FULL_QUOTA_PPM);
}

/// Guards tenants with few requests and many clients: any client may get the next request, so a
/// client without recent demand keeps more than half of an even share, even if others are starved;
/// with a quarter of an even share, its token bucket has no whole token.
#[test]
fn clients_with_little_demand_keep_more_than_half_of_an_even_share() {
    let mut fixture = Fixture::new();
    let names: Vec<String> = (0..27).map(|index| format!("client-{index}")).collect();
    // 20 requests per second in all: each client in turn has three times an even share of them, an
    // even share, and none.
    for round in 0..60 {
        for (index, name) in names.iter().enumerate() {
            fixture.now += 20.0;
            let rps = [2.2, 0.74, 0.0][(index + round) % 3];
            fixture.request(name, 1, rps, rps > 1.0);
        }
        let even_share = 1.0 / names.len() as f64;
        if round > 1 {
            for name in &names {
                let fraction = fixture.fraction(name);
                assert!(
                    fraction > 0.5 * even_share,
                    "round {round}: {name} has {fraction} of {even_share}"
                );
            }
        }
    }
}

/// Guards the distribution by demand: a client with high demand of a tenant gets most of its quota,
/// even among many clients.
#[test]
fn a_client_with_high_demand_gets_over_60_percent_of_the_quota() {
    let mut fixture = Fixture::new();
    let names: Vec<String> = (0..27).map(|index| format!("client-{index}")).collect();
    for _ in 0..20 {
        for (index, name) in names.iter().enumerate() {
            fixture.now += 20.0;
            let rps = if index == 3 { 200.0 } else { 0.0 };
            fixture.request(name, 1, rps, index == 3);
        }
    }
    // The target of client 3 is 0.67, and a change of less than a twelfth of the lease is not
    // granted.
    assert!(
        fixture.fraction("client-3") > 0.6,
        "{}",
        fixture.fraction("client-3")
    );
}

fn client_id(name: &str, incarnation: u64, connection: u64) -> ClientId<'_> {
    ClientId {
        name,
        incarnation,
        connection,
    }
}

fn granted_ppm(grants: &[(String, LeaseGrant)], to: &str) -> Vec<u32> {
    let own = grants.iter().filter(|(name, _)| name == to);
    own.flat_map(|(_, grant)| &grant.leases)
        .map(|lease| lease.ppm)
        .collect()
}

/// Guards a controller that was suspended: it may read requests of an earlier incarnation of a
/// client after those of the current one.
#[test]
fn requests_of_an_earlier_incarnation_or_connection_are_ignored() {
    let mut server = LeaseServer::new(0.0, 9, FULL_QUOTA_PPM, Some(BTreeSet::new()));
    let (mut old, mut new) = (LeaseClient::new(1), LeaseClient::new(2));
    old.connected("x");
    new.connected("x");
    let request = new.next_request(0.0, "x", Vec::new());
    assert_eq!(
        granted_ppm(
            &server.handle_request(0.0, client_id("a", 2, 5), &request, ["t"].into_iter()),
            "a"
        ),
        [FULL_QUOTA_PPM]
    );
    let stale = old.next_request(0.0, "x", Vec::new());
    let stale_release = LeaseRequest {
        release: true,
        ..old.next_request(0.0, "x", Vec::new())
    };
    for request in [&stale, &stale_release] {
        assert!(server
            .handle_request(1.0, client_id("a", 1, 4), request, ["t"].into_iter())
            .is_empty());
        assert_eq!(server.outstanding("t"), FULL_QUOTA_PPM);
    }
    // Another incarnation on the same connection and an old sequence number of the same incarnation
    // on a later connection are stale too.
    assert!(server
        .handle_request(1.0, client_id("a", 1, 5), &stale, ["t"].into_iter())
        .is_empty());
    assert!(server
        .handle_request(1.0, client_id("a", 2, 6), &request, ["t"].into_iter())
        .is_empty());
    assert_eq!(server.outstanding("t"), FULL_QUOTA_PPM);
    // A later incarnation on a later connection proves that the previous one has ended.
    let request = LeaseClient::new(3).next_request(2.0, "x", Vec::new());
    server.handle_request(2.0, client_id("a", 3, 6), &request, ["t"].into_iter());
    assert_eq!(server.outstanding("t"), FULL_QUOTA_PPM);
}

/// Guards a client against grants by another incarnation of a server, and against grants older than
/// the last one applied.
#[test]
fn a_grant_of_another_incarnation_or_an_older_one_is_ignored() {
    let mut client = LeaseClient::new(1);
    client.connected("x");
    let request = client.next_request(0.0, "x", Vec::new()).sequence;
    let grant = |server: u32, sequence: u64, request: u64, ppm: u32| LeaseGrant {
        sequence,
        request,
        leases: vec![Lease {
            tenant: "t".into(),
            ppm,
        }],
        client_count: 1,
        client_incarnation: 1,
        server_incarnation: server,
        grants_tokens: true,
    };
    client.handle_grant(1.0, "x", &grant(7, 4, request, FULL_QUOTA_PPM / 2));
    client.handle_grant(1.0, "x", &grant(8, 5, request, FULL_QUOTA_PPM));
    client.handle_grant(1.0, "x", &grant(7, 4, request, FULL_QUOTA_PPM));
    client.handle_grant(1.0, "x", &grant(7, 3, request, FULL_QUOTA_PPM));
    assert!((client.fraction(1.0, "t") - 0.5).abs() < 1e-9);
    // A request names the incarnation whose grants it acknowledges. On a new connection, requests
    // list all leases until the first grant.
    let request = client.next_request(1.0, "x", Vec::new());
    assert_eq!(
        (
            request.server_incarnation,
            request.acknowledged,
            request.full
        ),
        (7, 4, false)
    );
    client.connected("x");
    client.handle_grant(2.0, "x", &grant(7, 9, request.sequence, FULL_QUOTA_PPM));
    assert!((client.fraction(2.0, "t") - 0.5).abs() < 1e-9);
    for _ in 0..2 {
        let request = client.next_request(2.0, "x", Vec::new());
        assert_eq!(
            (
                request.server_incarnation,
                request.acknowledged,
                request.full,
                request.leases.len()
            ),
            (0, 0, true, 1)
        );
    }
}

/// Guards servers that have restarted: the sequence number of an earlier incarnation's grant does
/// not acknowledge any grant of this one.
#[test]
fn an_acknowledgement_of_another_incarnation_is_ignored() {
    let mut server = LeaseServer::new(0.0, 9, FULL_QUOTA_PPM, Some(BTreeSet::new()));
    let request = LeaseRequest {
        sequence: 1,
        full: true,
        ..LeaseRequest::default()
    };
    server.handle_request(0.0, client_id("a", 1, 1), &request, ["t"].into_iter());
    let demand = vec![Demand {
        tenant: "t".into(),
        milli_rps: 9000,
        starved: true,
    }];
    let request = LeaseRequest {
        sequence: 1,
        full: true,
        demand,
        ..LeaseRequest::default()
    };
    let grants = server.handle_request(0.0, client_id("b", 1, 2), &request, ["t"].into_iter());
    assert!(
        granted_ppm(&grants, "a")[0] < FULL_QUOTA_PPM
            && granted_ppm(&grants, "b").iter().sum::<u32>() == 0
    );
    for (incarnation, expect_increase) in [(8, false), (9, true)] {
        let request = LeaseRequest {
            sequence: u64::from(incarnation),
            acknowledged: 1000,
            server_incarnation: incarnation,
            ..LeaseRequest::default()
        };
        let grants = server.handle_request(1.0, client_id("a", 1, 1), &request, ["t"].into_iter());
        assert_eq!(
            granted_ppm(&grants, "b").iter().sum::<u32>() > 0,
            expect_increase,
            "{grants:?}"
        );
    }
}

/// Guards slots that are reassigned to another controller: the lease server of the previous owner
/// decreases the leases of all clients at once, regardless of demand, and increases none of them
/// before the decrease has been acknowledged.
#[test]
fn a_lower_limit_decreases_all_leases_at_once() {
    let mut server = LeaseServer::new(0.0, 9, FULL_QUOTA_PPM, Some(BTreeSet::new()));
    let mut clients: Vec<LeaseClient> = (0..4).map(|_| LeaseClient::new(1)).collect();
    let names = ["a", "b", "c", "d"];
    let mut now = 0.0;
    // Without demand at first, all clients have even shares; later one client could use the full
    // quota.
    let demand_of = |index: usize, now: f64| match index {
        0 if now > 600.0 => vec![Demand {
            tenant: "t".into(),
            milli_rps: 50_000,
            starved: true,
        }],
        _ => Vec::new(),
    };
    clients.iter_mut().for_each(|client| client.connected("x"));
    let send_requests = |server: &mut LeaseServer,
                         clients: &mut Vec<LeaseClient>,
                         unreachable: Option<usize>,
                         now: f64| {
        for index in 0..4 {
            let request = clients[index].next_request(now, "x", demand_of(index, now));
            for (to, grant) in server.handle_request(
                now,
                client_id(names[index], 1, 1),
                &request,
                ["t"].into_iter(),
            ) {
                let to = names.iter().position(|name| *name == to).expect("a client");
                if unreachable != Some(to) {
                    clients[to].handle_grant(now, "x", &grant);
                }
            }
        }
    };
    for _ in 0..6 {
        now += 100.0;
        send_requests(&mut server, &mut clients, None, now);
    }
    assert!(
        server.outstanding("t") <= FULL_QUOTA_PPM
            && server.outstanding("t") > FULL_QUOTA_PPM * 9 / 10
    );
    let even_share = clients[0].fraction(now, "t");
    assert!((even_share - 0.25).abs() < 0.03, "{even_share}");
    let grants = server.set_limit(FULL_QUOTA_PPM / 5);
    let sum: u32 = names
        .iter()
        .flat_map(|name| granted_ppm(&grants, name))
        .sum();
    assert!(grants.len() == 4 && sum <= FULL_QUOTA_PPM / 5, "{grants:?}");
    // No grant reaches client 1, neither one of these nor a later one; the other clients get the
    // later ones.
    for _ in 0..8 {
        now += 100.0;
        send_requests(&mut server, &mut clients, Some(1), now);
        let connected_sum: f64 = [0, 2, 3]
            .iter()
            .map(|index: &usize| clients[*index].fraction(now, "t"))
            .sum();
        assert!(connected_sum <= 0.2 + 1e-6, "{connected_sum}");
    }
    now += LEASE_DURATION + CLOCK_SKEW;
    send_requests(&mut server, &mut clients, None, now);
    send_requests(&mut server, &mut clients, None, now + 100.0);
    let total: f64 = clients
        .iter()
        .map(|client| client.fraction(now + 100.0, "t"))
        .sum();
    assert!(
        total <= 0.2 + 1e-6 && server.outstanding("t") <= FULL_QUOTA_PPM / 5,
        "{total}"
    );
    // The controller has lost all its slots: no share may remain leased.
    server.set_limit(0);
    send_requests(&mut server, &mut clients, None, now + 200.0);
    send_requests(&mut server, &mut clients, None, now + 300.0);
    assert_eq!(
        clients
            .iter()
            .map(|client| client.fraction(now + 300.0, "t"))
            .sum::<f64>(),
        0.0
    );
    assert_eq!(server.outstanding("t"), 0);
}

/// One step of a random run.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A client sends a request; the grants that follow arrive or are lost.
    Request { grants_arrive: bool },
    /// The client's process restarts.
    Restart,
    /// The client releases its leases.
    Release,
    /// The server's limit changes.
    Limit,
    /// Time passes, up to the expiry of leases.
    Wait,
}

impl Step {
    fn from_draw(draw: u8) -> Step {
        match draw % 16 {
            0 => Step::Restart,
            1 => Step::Release,
            2 => Step::Limit,
            3 => Step::Wait,
            draw => Step::Request {
                grants_arrive: draw % 4 != 0,
            },
        }
    }
}

quickcheck::quickcheck! {
    /// Guards the totals that the server maintains: after any sequence of steps they equal the sums
    /// over all its clients, and no more is outstanding than the highest limit so far.
    fn the_totals_are_the_sums_over_all_clients(steps: Vec<(u8, u8, u16)>) -> bool {
        let tenants = ["t0", "t1", "t2"];
        let mut server = LeaseServer::new(0.0, 9, FULL_QUOTA_PPM / 3, Some(BTreeSet::new()));
        let mut highest_limit = server.limit();
        let mut clients: BTreeMap<u8, (u64, LeaseClient)> = BTreeMap::new();
        let mut now = 0.0;
        let mut connections = 0;
        for (draw, number, amount) in steps {
            now += 1.0;
            let number = number % 6;
            let name = format!("c{number}");
            let (incarnation, client) = clients.entry(number).or_insert_with(|| {
                connections += 1;
                let mut client = LeaseClient::new(connections);
                client.connected("server");
                (connections, client)
            });
            let step = Step::from_draw(draw);
            match step {
                Step::Restart => {
                    clients.remove(&number);
                    continue;
                }
                Step::Limit => {
                    server.set_limit(u32::from(amount) * 10);
                    highest_limit = highest_limit.max(server.limit());
                    continue;
                }
                Step::Wait => {
                    now += f64::from(amount) / 4.0;
                    continue;
                }
                Step::Request { .. } | Step::Release => {}
            }
            let demand = tenants.iter().map(|tenant| Demand {
                tenant: (*tenant).to_owned(),
                milli_rps: u32::from(amount) * 3,
                starved: amount % 3 == 0,
            });
            let request = LeaseRequest {
                release: matches!(step, Step::Release),
                ..client.next_request(now, "server", demand.take(usize::from(amount % 4)).collect())
            };
            let id = client_id(&name, *incarnation, *incarnation);
            let grants = server.handle_request(now, id, &request, tenants.iter().copied());
            for (to, grant) in grants {
                let to = to[1..].parse::<u8>().expect("a client");
                let arrives = matches!(step, Step::Request { grants_arrive: true });
                if let Some((_, client)) = clients.get_mut(&to).filter(|_| arrives) {
                    client.handle_grant(now, "server", &grant);
                }
            }
            for tenant in tenants {
                let sum = server.outstanding_at(now, tenant);
                if server.outstanding(tenant) != sum || sum > highest_limit {
                    return false;
                }
            }
        }
        true
    }
}

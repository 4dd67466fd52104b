//! Single tokens: a lease server's pools of unleased quota, and the token client.

use maplefall_quota_lease::{
    token_lifetime, ClientId, GrantedTokens, LeaseRequest, LeaseServer, TenantQuota, TokenClient,
    TokenCount, TokenGrant, TokenRequest, TokenStatus, FULL_QUOTA_PPM,
};
use std::collections::BTreeSet;

const LIFETIME: f64 = 100.0;

/// A server that may lease the full quota of tenant `t`: ten tokens per second, at most twenty.
fn server() -> LeaseServer {
    let mut server = LeaseServer::new(0.0, 1, FULL_QUOTA_PPM, Some(BTreeSet::new()));
    server.set_quota(0.0, "t", Some(quota()));
    server
}

fn quota() -> TenantQuota {
    TenantQuota {
        rate: 10.0,
        pool_rate: 10.0,
        depth: 20.0,
    }
}

fn tokens(count: u32) -> TokenRequest {
    TokenRequest {
        sequence: 1,
        tokens: vec![TokenCount {
            tenant: "t".into(),
            count,
        }],
    }
}

fn granted(server: &mut LeaseServer, now: f64, count: u32) -> u32 {
    server.grant_tokens(now, &tokens(count)).tokens[0].count
}

/// Sends a lease request of a client; returns its granted share of tenant `t` and the sequence
/// number of the grant.
fn lease(
    server: &mut LeaseServer,
    now: f64,
    name: &str,
    request: &LeaseRequest,
) -> Option<(u32, u64)> {
    let client = ClientId {
        name,
        incarnation: 1,
        connection: 1,
    };
    let grants = server.handle_request(now, client, request, ["t"].into_iter());
    let grant = &grants.first()?.1;
    Some((grant.leases.last()?.ppm, grant.sequence))
}

fn request(sequence: u64, uses_tokens: bool) -> LeaseRequest {
    LeaseRequest {
        sequence,
        full: true,
        uses_tokens,
        ..LeaseRequest::default()
    }
}

#[test]
fn a_pool_fills_at_its_rate_and_is_emptied_by_grants() {
    let mut server = server();
    assert_eq!(granted(&mut server, 0.0, 5), 0, "initially empty");
    let grant = server.grant_tokens(50.0, &tokens(1));
    assert_eq!((grant.tokens[0].count, grant.tokens[0].wait_ms), (0, 50));
    assert_eq!(granted(&mut server, 1_000.0, 4), 4);
    assert_eq!(granted(&mut server, 1_000.0, 100), 6);
    assert_eq!(granted(&mut server, 100_000.0, 100), 20, "its depth");
}

/// Guards the quota over all proxies (requirement QUOTA): a lease takes its share out of the pool,
/// and the pool is not refilled for the time of the lease.
#[test]
fn leased_shares_are_not_in_the_pool() {
    let mut server = server();
    assert_eq!(granted(&mut server, 10_000.0, 1), 1);
    let leased = lease(&mut server, 10_000.0, "a", &request(1, false));
    assert!(leased.is_some_and(|(ppm, _)| ppm > 990_000), "{leased:?}");
    let release = LeaseRequest {
        release: true,
        ..request(2, false)
    };
    lease(&mut server, 20_000.0, "a", &release);
    assert_eq!(granted(&mut server, 20_000.0, 100), 0, "all was leased");
    assert_eq!(granted(&mut server, 20_500.0, 100), 5, "refilled since");
}

/// Guards the quota over all proxies (requirement QUOTA) when a slot is reassigned: its new owner
/// may grant the tokens of the previous owner's pool.
#[test]
fn a_lower_limit_empties_the_pools() {
    let mut server = server();
    assert_eq!(granted(&mut server, 10_000.0, 1), 1);
    server.set_limit(FULL_QUOTA_PPM / 2);
    server.set_limit(FULL_QUOTA_PPM);
    assert_eq!(granted(&mut server, 10_000.0, 100), 0);
}

/// Guards the quota over all proxies (requirement QUOTA) after a restart of a server: the leases by
/// earlier incarnations are not known, so no tokens are granted.
#[test]
fn a_recovering_server_grants_no_tokens() {
    let mut server = LeaseServer::new(0.0, 1, FULL_QUOTA_PPM, None);
    server.set_quota(0.0, "t", Some(quota()));
    assert_eq!(granted(&mut server, 10_000.0, 100), 0);
}

/// A quota that is too small for leases to all clients stays in the pool; only clients of earlier
/// releases get leases of it.
#[test]
fn a_small_quota_is_leased_only_to_clients_that_need_leases() {
    let mut server = server();
    for n in 0..11 {
        lease(&mut server, 0.0, &format!("new-{n}"), &request(1, true));
    }
    // Leases that were granted while there were few clients are decreased to zero.
    for n in 0..11 {
        let name = format!("new-{n}");
        let decreased = lease(&mut server, 1.0, &name, &request(2, true));
        let (ppm, sequence) = decreased.expect("a grant");
        assert_eq!(ppm, 0);
        let acknowledgement = LeaseRequest {
            acknowledged: sequence,
            server_incarnation: 1,
            ..request(3, true)
        };
        lease(&mut server, 1.0, &name, &acknowledgement);
    }
    let old = lease(&mut server, 2.0, "old", &request(1, false));
    assert!(old.is_some_and(|(ppm, _)| ppm > 0), "{old:?}");
    assert!(
        !TenantQuota {
            rate: 0.0,
            ..quota()
        }
        .is_pooled(1000),
        "no limit"
    );
}

fn client_of(servers: &[&str]) -> TokenClient {
    let mut client = TokenClient::new(LIFETIME);
    for server in servers {
        client.connected(server);
        client.set_grants_tokens(server, true);
    }
    client
}

fn grant_of(request: &TokenRequest, count: u32, wait_ms: u32) -> TokenGrant {
    let tokens = request.tokens.iter().map(|requested| GrantedTokens {
        tenant: requested.tenant.clone(),
        count: requested.count.min(count),
        wait_ms,
    });
    TokenGrant {
        request: request.sequence,
        tokens: tokens.collect(),
    }
}

/// Guards the quota over all proxies (requirement QUOTA): a token counts in the window in which it
/// was taken out of the pool, so the token may not be spent much later.
#[test]
fn a_token_expires_after_its_lifetime() {
    for (arrives_at, spent_at, is_valid) in [
        (50.0, 99.0, true),
        (50.0, 100.0, false),
        (99.0, 99.0, true),
        (150.0, 150.0, false),
    ] {
        let mut client = client_of(&["a"]);
        assert_eq!(client.request_token(0.0, "t"), TokenStatus::Requested);
        let requests = client.next_requests(0.0);
        client.handle_grant(arrives_at, "a", &grant_of(&requests[0].1, 1, 0));
        assert_eq!(
            client.take(spent_at, "t"),
            is_valid,
            "{arrives_at} {spent_at}"
        );
        assert!(!client.take(spent_at, "t"), "spent only once");
    }
}

#[test]
fn a_grant_for_another_request_or_connection_is_ignored() {
    let mut client = client_of(&["a"]);
    client.request_token(0.0, "t");
    let requests = client.next_requests(0.0);
    let late = grant_of(&requests[0].1, 1, 0);
    client.connected("a");
    assert!(!client.handle_grant(1.0, "a", &late));
    client.set_grants_tokens("a", true);
    client.request_token(1.0, "t");
    assert_eq!(client.next_requests(1.0).len(), 1);
    assert!(!client.handle_grant(1.0, "a", &late));
    assert!(!client.take(1.0, "t"));
    client.disconnected("a");
    assert!(matches!(
        client.status(1.0, "t"),
        TokenStatus::Unavailable(_)
    ));
}

/// Guards controllers against a load that grows with the rate of requests: one token request is in
/// flight at a time, and the next one carries all tokens needed meanwhile.
#[test]
fn one_request_to_a_server_is_in_flight_at_a_time() {
    let mut client = client_of(&["a"]);
    client.request_token(0.0, "t");
    let first = client.next_requests(0.0);
    for _ in 0..50 {
        client.request_token(1.0, "t");
        client.request_token(1.0, "u");
        assert!(client.next_requests(1.0).is_empty());
    }
    client.handle_grant(2.0, "a", &grant_of(&first[0].1, 1, 0));
    let second = client.next_requests(2.0);
    let counts: Vec<u32> = second[0].1.tokens.iter().map(|t| t.count).collect();
    assert_eq!((second.len(), counts), (1, vec![50, 50]));
    // A request without a response blocks the next one for no longer than the lifetime of its
    // tokens.
    client.request_token(101.0, "t");
    assert!(client.next_requests(101.0).is_empty());
    assert_eq!(client.next_requests(102.0).len(), 1);
}

#[test]
fn tokens_denied_by_one_server_are_requested_from_the_next_until_all_have_denied() {
    let mut client = client_of(&["a", "b", "c"]);
    assert_eq!(client.request_token(0.0, "t"), TokenStatus::Requested);
    let mut requested_from = BTreeSet::new();
    for _ in 0..3 {
        let requests = client.next_requests(0.0);
        assert_eq!(requests.len(), 1);
        let (server, request) = &requests[0];
        requested_from.insert(server.clone());
        client.handle_grant(0.0, server, &grant_of(request, 0, 70));
    }
    assert_eq!(requested_from.len(), 3);
    assert_eq!(client.status(0.0, "t"), TokenStatus::Unavailable(70.0));
    // No tokens are requested from the servers until the time at which they have one again.
    assert_eq!(
        client.request_token(69.0, "t"),
        TokenStatus::Unavailable(10.0)
    );
    assert_eq!(client.request_token(70.0, "t"), TokenStatus::Requested);
}

#[test]
fn no_tokens_are_requested_from_servers_that_do_not_grant_them() {
    let mut client = TokenClient::new(LIFETIME);
    client.connected("a");
    assert!(!client.has_servers());
    assert!(matches!(
        client.request_token(0.0, "t"),
        TokenStatus::Unavailable(_)
    ));
    assert!(client.next_requests(0.0).is_empty());
}

/// Tokens spent in a window were refilled within the window or one token lifetime before it, by a
/// clock that runs at most 1 in 100 fast.
#[test]
fn the_token_lifetime_stays_within_the_overshoot() {
    for (overshoot, window_s) in [(0.1, 5.0), (0.05, 5.0), (0.2, 1.0), (0.01, 1.0)] {
        let lifetime = token_lifetime(overshoot, window_s);
        let quota = TenantQuota::new(1.0, 0.0, overshoot, 0.0);
        let refilled = quota.pool_rate * 1.01 * (window_s + lifetime / 1000.0);
        let bound = window_s * (1.0 + overshoot);
        assert!(
            refilled <= bound * 1.0001 || lifetime == 0.0,
            "{refilled} of {bound}"
        );
    }
    assert_eq!(token_lifetime(0.1, 5.0), 100.0);
}

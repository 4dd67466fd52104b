//! How time, memory and bytes of each component grow with its size. One thread; each component is a
//! subcommand.
//!
//! `cargo run --release -p maplefall-benches --example slopes PART` measures times;
//! `cargo run --release -p maplefall-benches --features count-allocations --example slopes PART`
//! measures memory (times are then longer).

use bytes::BytesMut;
use clap::{Parser, Subcommand};
use maplefall_benches::cluster::ControllerCluster;
use maplefall_benches::measure::{cost_of, mean_cpu_seconds, process_status_bytes};
use maplefall_benches::synthetic::{self, Size};
use maplefall_control_messages::{
    decode_frame, encode_frame, ConfigUpdate, Frame, Hello, InstanceUpdates, PROTOCOL_VERSION,
};
use maplefall_controller::disk::Directory;
use maplefall_controller::store::{Error, Store, StoreRecord};
use maplefall_gateway_config::{parse_amend, Change, ConfigState, RouteTable};
use maplefall_policy::Outcome;
use maplefall_proxy::{AttemptEnd, Core as ProxyCore, IncomingRequest, Output as ProxyOutput};
use maplefall_quota_lease::{
    ClientId, Demand, Lease, LeaseClient, LeaseGrant, LeaseRequest, LeaseServer, FULL_QUOTA_PPM,
};
use maplefall_raft::{Entry, EntryKind, PersistentUpdate};
use maplefall_service_registry::Registry;
use prost::Message;
use socket2::{Domain, Socket, Type};
use std::hint::black_box;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Measures how the costs of the system's components grow with their size.
#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    benchmark: Benchmark,
}

#[derive(Subcommand)]
enum Benchmark {
    /// Configuration: a state with routes and services, one with tenants, and a proxy's route table.
    #[command(name = "numbering")]
    Config {
        /// Numbers of routes.
        #[arg(long, value_delimiter = ',', default_value = "1000,10000,77000")]
        routes: Vec<usize>,
        /// Numbers of tenants.
        #[arg(long, value_delimiter = ',', default_value = "10000,100000,480000")]
        tenants: Vec<usize>,
    },
    /// The service registry.
    #[command(name = "directory")]
    Registry {
        /// Numbers of backends.
        #[arg(long, value_delimiter = ',', default_value = "1000,10000,40000")]
        backends: Vec<usize>,
        /// Backends beyond the capacity of a registry.
        #[arg(long = "beyond", default_value_t = 1000)]
        excess: usize,
    },
    /// Lease servers and lease clients.
    #[command(name = "toll")]
    Leases {
        /// Numbers of proxies.
        #[arg(
            long = "doors",
            value_delimiter = ',',
            default_value = "10,100,500,2000"
        )]
        proxies: Vec<usize>,
        /// Numbers of tenants.
        #[arg(long, value_delimiter = ',', default_value = "10,100,1000,10000")]
        tenants: Vec<usize>,
        /// Tenants with demand at a proxy.
        #[arg(long = "asked", default_value_t = 20)]
        demand_count: usize,
        /// Sizes whose product of proxies and tenants exceeds this are skipped.
        #[arg(long = "most", default_value_t = 2_100_000)]
        max_pairs: usize,
    },
    /// Decisions of a proxy.
    #[command(name = "door")]
    Proxy {
        /// Numbers of backends.
        #[arg(long, value_delimiter = ',', default_value = "1000,10000,40000")]
        backends: Vec<usize>,
        /// Numbers of services.
        #[arg(long, value_delimiter = ',', default_value = "100,1000,8900")]
        services: Vec<usize>,
        /// Numbers of tenants.
        #[arg(long, value_delimiter = ',', default_value = "1000,10000,100000")]
        tenants: Vec<usize>,
    },
    /// Raft: messages, bytes and writes of a change, by number of members.
    #[command(name = "tandem")]
    Raft {
        /// Numbers of members.
        #[arg(long, value_delimiter = ',', default_value = "1,3,5,7")]
        members: Vec<usize>,
    },
    /// Controllers with this many routes: a change, and a proxy that connects.
    Change {
        /// Numbers of routes.
        #[arg(long, value_delimiter = ',', default_value = "1000,10000,77000")]
        routes: Vec<usize>,
        /// Tenants per ten routes.
        #[arg(long = "tenths", default_value_t = 0)]
        tenants_per_ten_routes: usize,
    },
    /// A controller process on loopback: the cost of a heartbeat, and of a record sent to a proxy,
    /// with sockets.
    Sockets {
        /// The controller program.
        #[arg(
            long = "exchange",
            default_value = "target/release/maplefall-controller"
        )]
        controller: PathBuf,
        /// Numbers of proxies.
        #[arg(long = "doors", value_delimiter = ',', default_value = "10,200,1000")]
        proxies: Vec<usize>,
        /// Heartbeats.
        #[arg(long = "beats", default_value_t = 5000)]
        heartbeats: usize,
    },
    /// Disk: bytes and time of records, and of a start.
    Disk {
        /// Numbers of entries.
        #[arg(long, value_delimiter = ',', default_value = "300,3000,30000")]
        entries: Vec<usize>,
    },
}

fn main() {
    match Args::parse().benchmark {
        Benchmark::Config { routes, tenants } => config(&routes, &tenants),
        Benchmark::Registry { backends, excess } => registry(&backends, excess),
        Benchmark::Leases {
            proxies,
            tenants,
            demand_count,
            max_pairs,
        } => leases(&proxies, &tenants, demand_count, max_pairs),
        Benchmark::Proxy {
            backends,
            services,
            tenants,
        } => proxy(&backends, &services, &tenants),
        Benchmark::Raft { members } => raft(&members),
        Benchmark::Change {
            routes,
            tenants_per_ten_routes,
        } => change(&routes, tenants_per_ten_routes),
        Benchmark::Sockets {
            controller,
            proxies,
            heartbeats,
        } => {
            for proxies in proxies {
                if let Err(error) = sockets(&controller, proxies, heartbeats) {
                    println!("sockets doors={proxies} error={error:?}");
                }
            }
        }
        Benchmark::Disk { entries } => disk(&entries),
    }
    println!(
        "rss_mb={} peak_mb={}",
        process_status_bytes("VmRSS") >> 20,
        process_status_bytes("VmHWM") >> 20
    );
}

/// Converts seconds to microseconds.
fn micros(seconds: f64) -> f64 {
    seconds * 1e6
}

/// Returns the number of services for this many routes, in the ratio of the target scale.
fn services_for(routes: usize) -> usize {
    (routes * 8900 / 77_000).max(1)
}

// ---- Configuration ------------------------------------------------------------------------------

fn config(routes: &[usize], tenants: &[usize]) {
    let routes = routes.iter().map(|n| Size {
        routes: *n,
        tenants: 0,
        services: services_for(*n),
    });
    let tenants = tenants.iter().map(|n| Size {
        routes: 0,
        tenants: *n,
        services: 0,
    });
    for size in routes.chain(tenants) {
        let n = size.routes + size.tenants + size.services;
        let items = synthetic::items(size);
        let encoded: usize = items.iter().map(Message::encoded_len).sum();
        let state = ConfigState::from_items(items);
        // Measures the memory of a clone, because the items of `state` were allocated before.
        let (clone, clone_cost) = cost_of(|| state.clone());
        drop(clone);
        let (route_table, table_cost) = cost_of(|| RouteTable::from_items(&state));
        let change = match size.tenants {
            0 => synthetic::upsert_body(0..1, 0..0, 0..0, size.services, 8),
            _ => synthetic::upsert_body(0..0, 0..1, 0..0, 0, 8),
        };
        let change: Change = parse_amend(change.as_bytes()).unwrap_or_default();
        let clone_time = mean_cpu_seconds(0.5, || drop(black_box(state.clone())));
        let check_time = mean_cpu_seconds(0.5, || {
            black_box(state.check(&change).is_ok());
        });
        let text = state.read_back();
        let read_back = mean_cpu_seconds(0.5, || drop(black_box(state.read_back())));
        let table_time = mean_cpu_seconds(0.5, || drop(black_box(RouteTable::from_items(&state))));
        let (hosts, keys): (Vec<_>, Vec<_>) = (0..1000)
            .map(|k| (synthetic::host_and_path(k * 77), synthetic::api_key(k)))
            .unzip();
        let lookup = mean_cpu_seconds(0.2, || {
            for ((host, path), key) in hosts.iter().zip(&keys) {
                black_box((
                    route_table.route(host, path).is_some(),
                    route_table.tenant(key).is_some(),
                ));
            }
        }) / 1000.0;
        let per = |x: f64| x / n as f64;
        println!(
            "numbering routes={} tenants={} services={} wire_bytes_item={:.0} read_back_bytes_item={:.0} board_bytes_item={:.0} plan_bytes_item={:.0} clone_us={:.0} check_one_us={:.0} check_us_item={:.3} read_back_us={:.0} plan_of_us={:.0} plan_us_item={:.3} look_up_ns={:.0}",
            size.routes,
            size.tenants,
            size.services,
            per(encoded as f64),
            per(text.len() as f64),
            per(clone_cost.allocated_bytes as f64),
            per(table_cost.allocated_bytes as f64),
            micros(clone_time),
            micros(check_time),
            micros(per(check_time)),
            micros(read_back),
            micros(table_time),
            micros(per(table_time)),
            1000.0 * micros(lookup),
        );
    }
}

// ---- Backends -----------------------------------------------------------------------------------

fn registry(sizes: &[usize], excess: usize) {
    for &n in sizes {
        let records: Vec<_> = (0..n)
            .map(|n| synthetic::instance_record(n, 8900, 1))
            .collect();
        let encoded: usize = records.iter().map(Message::encoded_len).sum();
        let mut registry = Registry::default();
        let (_, insert_cost) = cost_of(|| {
            records
                .into_iter()
                .for_each(|record| drop(registry.apply(0.0, record)))
        });
        let refreshed: Vec<_> = (0..n)
            .map(|n| synthetic::instance_record(n, 8900, 2))
            .collect();
        let (_, update_cost) = cost_of(|| {
            refreshed
                .into_iter()
                .for_each(|record| drop(registry.apply(1.0, record)))
        });
        let ids: Vec<_> = (0..n).map(synthetic::backend_id).collect();
        let (_, refresh_cost) =
            cost_of(|| ids.iter().for_each(|id| drop(registry.refresh(2.0, id, 3))));
        let expire_time = mean_cpu_seconds(0.3, || drop(black_box(registry.expire(3.0, 6000.0))));
        let listing = mean_cpu_seconds(0.3, || drop(black_box(registry.records(3.0))));
        let frame = Frame::InstanceUpdates(InstanceUpdates {
            records: registry.records(3.0),
            complete: true,
            ack_number: 0,
        });
        let encoding = mean_cpu_seconds(0.3, || drop(black_box(encode_frame(frame.clone()))));
        let per = |x: f64| 1e9 * x / n as f64;
        println!(
            "directory backends={n} wire_bytes={:.0} bytes={:.0} new_ns={:.0} beat_ns={:.0} seen_ns={:.0} overdue_us={:.0} words_us={:.0} whole_frame_us={:.0} whole_frame_bytes={}",
            encoded as f64 / n as f64,
            insert_cost.allocated_bytes as f64 / n as f64,
            per(insert_cost.cpu),
            per(update_cost.cpu),
            per(refresh_cost.cpu),
            micros(expire_time),
            micros(listing),
            micros(encoding),
            encode_frame(frame).len(),
        );
    }
    // A registry has a capacity; at capacity a new record replaces another.
    let mut registry = Registry::default();
    let mut n = 0;
    while registry.len() == n && n < 200_000 {
        drop(registry.apply(0.0, synthetic::instance_record(n, 8900, 1)));
        n += 1;
    }
    let capacity = registry.len();
    let (_, cost) = cost_of(|| {
        (n..n + excess)
            .for_each(|n| drop(registry.apply(0.0, synthetic::instance_record(n, 8900, 1))))
    });
    println!(
        "directory holds={capacity} of={} each_beyond_us={:.0}",
        n + excess,
        micros(cost.cpu / excess.max(1) as f64)
    );
}

// ---- Leases -------------------------------------------------------------------------------------

/// Incarnation of the lease server.
const SERVER_INCARNATION: u32 = 3;

fn lease_request(
    sequence: u64,
    acknowledged: u64,
    proxy: usize,
    demand_count: usize,
    tenants: usize,
) -> LeaseRequest {
    let demand = |n: usize| Demand {
        tenant: synthetic::tenant_name((proxy * 7 + n) % tenants.max(1)),
        milli_rps: 2000,
        starved: false,
    };
    let demand = (0..demand_count.min(tenants)).map(demand).collect();
    let first = sequence == 1;
    let incarnation = if first { 0 } else { SERVER_INCARNATION };
    LeaseRequest {
        sequence,
        acknowledged,
        full: first,
        demand,
        server_incarnation: incarnation,
        ..LeaseRequest::default()
    }
}

fn leases(proxies: &[usize], tenants: &[usize], demand_count: usize, max_pairs: usize) {
    for &t in tenants {
        let names: Vec<String> = (0..t).map(synthetic::tenant_name).collect();
        let all_tenants = || names.iter().map(String::as_str);
        for &d in proxies {
            if d * t > max_pairs {
                println!("toll doors={d} tenants={t} left_out=over_{max_pairs}");
                continue;
            }
            let nodes: Vec<String> = (0..d).map(|n| format!("edge-zone-{}-{n}", n % 8)).collect();
            let client_id = |n: usize| ClientId {
                name: &nodes[n],
                incarnation: 1,
                connection: 1,
            };
            let mut lease_server = LeaseServer::new(
                0.0,
                SERVER_INCARNATION,
                FULL_QUOTA_PPM / 3,
                Some(Default::default()),
            );
            // The lease server knows all proxies before the first request with tenants.
            let no_tenants = || std::iter::empty::<&str>();
            for n in 0..d {
                lease_server.handle_request(
                    0.0,
                    client_id(n),
                    &lease_request(1, 0, n, demand_count, t),
                    no_tenants(),
                );
            }
            let mut grant_sequences = vec![0; d];
            let sampled = d.min(5);
            let mut grant_bytes = 0;
            let (_, first_cost) = cost_of(|| {
                for (n, grant_sequence) in grant_sequences.iter_mut().enumerate().take(sampled) {
                    for (_, grant) in lease_server.handle_request(
                        500.0,
                        client_id(n),
                        &lease_request(2, 0, n, demand_count, t),
                        all_tenants(),
                    ) {
                        grant_bytes += encode_frame(Frame::LeaseGrant(grant.clone())).len();
                        *grant_sequence = grant.sequence;
                    }
                }
            });
            let mut sequence = 2;
            let mut steady_bytes = 0;
            let steady_time = mean_cpu_seconds(0.3, || {
                sequence += 1;
                for (n, grant_sequence) in grant_sequences.iter_mut().enumerate().take(sampled) {
                    let request = lease_request(sequence, *grant_sequence, n, demand_count, t);
                    for (to, grant) in
                        lease_server.handle_request(1000.0, client_id(n), &request, all_tenants())
                    {
                        steady_bytes = encode_frame(Frame::LeaseGrant(grant.clone())).len();
                        if to == nodes[n] {
                            *grant_sequence = grant.sequence;
                        }
                    }
                }
            }) / sampled as f64;
            println!(
                "toll doors={d} tenants={t} asked={demand_count} first_us={:.0} first_us_per_door_tenant={:.4} lent_bytes_tenant={:.1} held_bytes_door_tenant={:.0} calm_us={:.1} report_bytes={} lent_bytes={steady_bytes}",
                micros(first_cost.cpu / sampled as f64),
                micros(first_cost.cpu / sampled as f64) / (d * t) as f64,
                grant_bytes as f64 / (sampled * t) as f64,
                first_cost.allocated_bytes as f64 / (sampled * t) as f64,
                micros(steady_time),
                encode_frame(Frame::LeaseRequest(lease_request(9, 9, 0, demand_count, t))).len(),
            );
        }
        let mut lease_client = LeaseClient::new(1);
        let (_, client_cost) = cost_of(|| {
            for server in ["10.0.0.1", "10.0.0.2", "10.0.0.3"] {
                lease_client.connected(server);
                lease_client.next_request(0.0, server, Vec::new());
                let granted = names
                    .iter()
                    .map(|tenant| Lease {
                        tenant: tenant.clone(),
                        ppm: 9,
                    })
                    .collect();
                lease_client.handle_grant(
                    0.0,
                    server,
                    &LeaseGrant {
                        sequence: 1,
                        request: 1,
                        leases: granted,
                        client_count: 1,
                        client_incarnation: 1,
                        server_incarnation: 1,
                        grants_tokens: true,
                    },
                );
            }
        });
        println!(
            "toll purse tenants={t} lenders=3 bytes_tenant={:.0}",
            client_cost.allocated_bytes as f64 / t as f64
        );
    }
}

// ---- Proxy --------------------------------------------------------------------------------------

fn new_proxy(size: Size, out: &mut Vec<ProxyOutput>) -> ProxyCore {
    let settings = synthetic::settings("edge", "10.1.0.1", &["10.0.0.1".to_owned()]);
    let mut proxy = ProxyCore::new(&settings, 9);
    let items = synthetic::items(size);
    let update = ConfigUpdate {
        after: 0,
        index: 9,
        items,
        ..ConfigUpdate::default()
    };
    proxy.receive(0.0, "10.0.0.1", Frame::ConfigUpdate(update), out);
    proxy
}

fn proxy(backends: &[usize], services: &[usize], tenants: &[usize]) {
    let mut out = Vec::new();
    for &n in services {
        let size = Size {
            routes: n * 9,
            tenants: 0,
            services: n,
        };
        let (proxy, config_cost) = cost_of(|| new_proxy(size, &mut out));
        println!(
            "door routes={} services={n} held_bytes_route={:.0} plan_ms={:.1}",
            n * 9,
            config_cost.allocated_bytes as f64 / (n * 9) as f64,
            1e3 * config_cost.cpu
        );
        drop(proxy);
        for &b in backends.iter().filter(|b| **b >= n) {
            let mut proxy = new_proxy(size, &mut out);
            out.clear();
            let records = (0..b)
                .map(|k| synthetic::instance_record(k, n, 1))
                .collect();
            let frame = Frame::InstanceUpdates(InstanceUpdates {
                records,
                complete: false,
                ack_number: 0,
            });
            let (_, update_cost) = cost_of(|| {
                proxy.receive(0.0, "10.0.0.1", frame, &mut out);
                out.clear();
            });
            let stale = Frame::InstanceUpdates(InstanceUpdates {
                records: vec![synthetic::instance_record(0, n, 1)],
                complete: false,
                ack_number: 0,
            });
            let stale_time = mean_cpu_seconds(0.1, || {
                proxy.receive(1.0, "10.0.0.1", stale.clone(), &mut out)
            });
            let mut now = 10.0;
            let mut route = 0;
            let mut served = 0_u64;
            let request_time = mean_cpu_seconds(1.0, || {
                now += 1.0;
                route = (route + 7919) % size.routes;
                let (host, path) = synthetic::host_and_path(route);
                let incoming = IncomingRequest {
                    host: &host,
                    path: &path,
                    api_key: None,
                    remaining: Some(1000.0),
                    received_at: now,
                    is_repeated_admission: false,
                };
                let mut outputs = Vec::new();
                if proxy.admit(now, &incoming, &mut outputs).is_ok() {
                    served += 1;
                }
                for output in outputs {
                    if let ProxyOutput::Send {
                        request, attempt, ..
                    } = output
                    {
                        let ended = AttemptEnd {
                            outcome: Outcome::Ok,
                            connections: Default::default(),
                            wrong_instance: false,
                        };
                        let mut after = Vec::new();
                        proxy.attempt_ended(now + 5.0, request, attempt, ended, &mut after);
                    }
                }
                let _ = proxy.next_due();
                proxy.run_timers(now, &mut Vec::new());
            });
            let tick_time = mean_cpu_seconds(0.1, || {
                now += 500.0;
                proxy.tick(now, &mut Vec::new());
            });
            println!(
                "door services={n} backends={b} held_bytes_backend={:.0} told_us_backend={:.2} old_word_ns={:.0} request_us={:.2} served={served} tick_us={:.1}",
                update_cost.allocated_bytes as f64 / b as f64,
                micros(update_cost.cpu) / b as f64,
                1e9 * stale_time,
                micros(request_time),
                micros(tick_time),
            );
        }
    }
    for &t in tenants {
        let size = Size {
            routes: 900,
            tenants: t,
            services: 100,
        };
        let (mut proxy, config_cost) = cost_of(|| new_proxy(size, &mut out));
        out.clear();
        let records = (0..1000)
            .map(|k| synthetic::instance_record(k, 100, 1))
            .collect();
        proxy.receive(
            0.0,
            "10.0.0.1",
            Frame::InstanceUpdates(InstanceUpdates {
                records,
                complete: false,
                ack_number: 0,
            }),
            &mut Vec::new(),
        );
        proxy.controller_connected(1.0, "10.0.0.1", &mut out);
        let granted = (0..t)
            .map(|n| Lease {
                tenant: synthetic::tenant_name(n),
                ppm: FULL_QUOTA_PPM,
            })
            .collect();
        let grant = LeaseGrant {
            sequence: 1,
            request: 1,
            leases: granted,
            client_count: 1,
            client_incarnation: 9,
            server_incarnation: 1,
            grants_tokens: true,
        };
        let (_, grant_cost) =
            cost_of(|| proxy.receive(2.0, "10.0.0.1", Frame::LeaseGrant(grant), &mut Vec::new()));
        let mut now = 10.0;
        let (mut tenant, mut served) = (0, 0_u64);
        let request_time = mean_cpu_seconds(0.5, || {
            now += 0.5;
            tenant = (tenant + 7919) % t;
            let (host, path) = synthetic::host_and_path(tenant % 900);
            let key = synthetic::api_key(tenant);
            let incoming = IncomingRequest {
                host: &host,
                path: &path,
                api_key: Some(&key),
                remaining: Some(1000.0),
                received_at: now,
                is_repeated_admission: false,
            };
            let mut outputs = Vec::new();
            if proxy.admit(now, &incoming, &mut outputs).is_ok() {
                served += 1;
            }
            for output in outputs {
                if let ProxyOutput::Send {
                    request, attempt, ..
                } = output
                {
                    let ended = AttemptEnd {
                        outcome: Outcome::Ok,
                        connections: Default::default(),
                        wrong_instance: false,
                    };
                    let mut after = Vec::new();
                    proxy.attempt_ended(now + 5.0, request, attempt, ended, &mut after);
                }
            }
            let _ = proxy.next_due();
            proxy.run_timers(now, &mut Vec::new());
        });
        let tick_time = mean_cpu_seconds(0.3, || {
            now += 500.0;
            proxy.tick(now, &mut Vec::new());
        });
        let change = parse_amend(synthetic::upsert_body(0..0, 0..1, 0..0, 0, 8).as_bytes())
            .unwrap_or_default();
        let mut index = 9;
        let change_time = mean_cpu_seconds(0.3, || {
            index += 1;
            let indexed = maplefall_control_messages::IndexedChange {
                index,
                change: Some(change.clone()),
            };
            let update = ConfigUpdate {
                after: index - 1,
                index,
                changes: vec![indexed],
                ..ConfigUpdate::default()
            };
            proxy.receive(
                now,
                "10.0.0.1",
                Frame::ConfigUpdate(update),
                &mut Vec::new(),
            );
        });
        println!(
            "door tenants={t} held_bytes_tenant={:.0} loans_bytes_tenant={:.0} request_us={:.2} served={served} tick_us={:.0} tick_ns_tenant={:.0} change_us={:.0} change_ns_tenant={:.0}",
            config_cost.allocated_bytes as f64 / t as f64,
            grant_cost.allocated_bytes as f64 / t as f64,
            micros(request_time),
            micros(tick_time),
            1e9 * tick_time / t as f64,
            micros(change_time),
            1e9 * change_time / t as f64,
        );
    }
}

// ---- Raft ---------------------------------------------------------------------------------------

fn raft(members: &[usize]) {
    for &n in members {
        let mut cluster = ControllerCluster::new(n);
        let (accepted, _) = cluster.amend(synthetic::upsert_body(0..1, 0..0, 0..1, 1, 7));
        cluster.reset();
        let changes = 100;
        let mut all_accepted = accepted;
        for version in 0..changes {
            all_accepted &= cluster
                .amend(synthetic::upsert_body(0..1, 0..0, 0..0, 1, 8 + version))
                .0;
        }
        let peer_flow = |kind: &str| {
            let flows = cluster
                .stats
                .iter()
                .filter_map(|stats| stats.to_peers.get(kind));
            flows.fold((0, 0), |sum, flow| (sum.0 + flow.count, sum.1 + flow.bytes))
        };
        let (messages, bytes) = peer_flow("tandem");
        let writes: u64 = cluster.stats.iter().map(|stats| stats.disk.count).sum();
        let disk: u64 = cluster.stats.iter().map(|stats| stats.disk.bytes).sum();
        let cpu: f64 = cluster
            .stats
            .iter()
            .flat_map(|stats| stats.cpu.values())
            .sum();
        let per = |x: u64| x as f64 / f64::from(changes);
        println!(
            "tandem members={n} done={all_accepted} messages_change={:.1} bytes_change={:.0} writes_change={:.1} disk_bytes_change_member={:.0} cpu_us_change_all={:.0}",
            per(messages),
            per(bytes),
            per(writes),
            per(disk) / n as f64,
            micros(cpu) / f64::from(changes)
        );
    }
}

fn change(routes: &[usize], tenants_per_ten_routes: usize) {
    for &n in routes {
        let size = Size {
            routes: n,
            tenants: n * tenants_per_ten_routes / 10,
            services: services_for(n),
        };
        let (mut cluster, setup_cost) = cost_of(|| {
            let mut cluster = ControllerCluster::new(3);
            for call in synthetic::config_calls(size) {
                cluster.amend(call);
            }
            cluster
        });
        cluster.reset();
        let mut changes = Vec::new();
        for version in 0..5 {
            let (accepted, leader) = cluster.amend(synthetic::upsert_body(
                0..1,
                0..0,
                0..0,
                size.services,
                8 + version,
            ));
            let amend = std::mem::take(&mut cluster.stats[leader].cpu)
                .get("amend")
                .copied()
                .unwrap_or(0.0);
            changes.push((amend, accepted));
        }
        changes.sort_by(|a, b| a.0.total_cmp(&b.0));
        cluster.reset();
        cluster.connect_proxy(0, 0);
        let update = cluster.stats[0]
            .to_proxies
            .get("plans")
            .copied()
            .unwrap_or_default();
        let connect = cluster.stats[0].cpu.get("connect").copied().unwrap_or(0.0);
        println!(
            "change routes={n} tenants={} done={} amend_ms={:.1} door_connects_ms={:.1} plan_bytes={} exchanges_3_held_mb={} bytes_route_exchange={:.0}",
            size.tenants,
            changes.iter().all(|c| c.1),
            1e3 * changes[2].0,
            1e3 * connect,
            update.bytes,
            setup_cost.allocated_bytes >> 20,
            setup_cost.allocated_bytes as f64 / 3.0 / n as f64
        );
    }
}

// ---- Sockets ------------------------------------------------------------------------------------

/// A controller process and its data directory; dropping the value kills the process and removes
/// the directory.
struct ControllerProcess(std::process::Child, PathBuf);

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_dir_all(&self.1);
    }
}

impl ControllerProcess {
    /// Returns the seconds of processor time that the process has used.
    fn cpu(&self) -> f64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/schedstat", self.0.id())).unwrap_or_default();
        let spent = |text: &str| {
            text.split_whitespace()
                .next()
                .and_then(|n| n.parse::<f64>().ok())
        };
        spent(&text).unwrap_or(0.0) * 1e-9
    }
}

/// Posts a heartbeat and returns whether the response has status 200.
fn post_heartbeat(stream: &mut TcpStream, n: usize, seq: u64) -> std::io::Result<bool> {
    let body = synthetic::heartbeat_body(n, 100, seq, "in_loop");
    let id = synthetic::backend_id(n);
    let head = format!(
        "POST /api/rpc?call=instances.beat&of={id} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), &body].concat())?;
    let mut response = [0; 2048];
    let read = stream.read(&mut response)?;
    Ok(response[..read].starts_with(b"HTTP/1.1 200"))
}

/// Opens a connection from the address `from`.
fn connect_from(from: &str, to: SocketAddr) -> std::io::Result<TcpStream> {
    let from: SocketAddr = format!("{from}:0").parse().map_err(std::io::Error::other)?;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&from.into())?;
    socket.connect(&to.into())?;
    Ok(socket.into())
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn sockets(program: &Path, proxies: usize, heartbeats: usize) -> std::io::Result<()> {
    let (control, internal, data) = (free_address()?, free_address()?, fresh_directory("sockets"));
    std::fs::create_dir_all(&data)?;
    let settings = format!(
        "Node = \"core\"\nIp = \"127.0.0.1\"\nZone = \"z\"\nInternalPorts = [{0},{0}]\nSeedAddrs = [\"{control}\"]\nBootstrap = true\nQuorumMember = true\nDataDir = {1:?}\n[Bind]\nControl = \"{control}\"\n",
        internal.port(),
        data.join("data")
    );
    let file = data.join("settings.toml");
    std::fs::write(&file, settings)?;
    let child = Command::new(program)
        .arg("run")
        .env("MAPLEFALL_CONFIG", &file)
        .stderr(Stdio::null())
        .stdout(Stdio::null())
        .spawn()?;
    let child = ControllerProcess(child, data);
    let end = Instant::now() + Duration::from_secs(20);
    let mut stream = loop {
        match TcpStream::connect(control) {
            Ok(stream) => break stream,
            Err(error) if Instant::now() > end => return Err(error),
            Err(_) => std::thread::sleep(Duration::from_millis(20)),
        }
    };
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut connections = Vec::new();
    for n in 0..proxies {
        // A controller accepts one proxy per IP address, so each has its own.
        let ip = format!("127.1.{}.{}", n / 250, 1 + n % 250);
        let mut proxy = connect_from(&ip, internal)?;
        let hello = Hello {
            version: PROTOCOL_VERSION,
            ip,
            node: format!("edge-{n}"),
            incarnation: 1 + n as u64,
            is_controller: false,
            config_index: 0,
            may_have_missed_updates: false,
        };
        proxy.write_all(&encode_frame(Frame::Hello(hello)))?;
        proxy.set_nonblocking(true)?;
        connections.push(proxy);
    }
    let mut chunk = vec![0; 64 << 10];
    let mut buffers = vec![BytesMut::new(); connections.len()];
    // Reads what the controller sends and answers pings, so that it does not take the proxies for
    // dead.
    let mut drain = |connections: &mut Vec<TcpStream>| {
        let mut bytes = 0;
        for (proxy, buffer) in connections.iter_mut().zip(&mut buffers) {
            while let Ok(count @ 1..) = proxy.read(&mut chunk) {
                bytes += count;
                buffer.extend_from_slice(&chunk[..count]);
            }
            while let Ok(Some(frame)) = decode_frame(buffer) {
                if let Frame::Ping(number) = frame {
                    let _ = proxy.write_all(&encode_frame(Frame::Pong(number)));
                }
            }
        }
        bytes
    };
    let mut drain_for = |connections: &mut Vec<TcpStream>, millis: u64| {
        let end = Instant::now() + Duration::from_millis(millis);
        while Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
            drain(connections);
        }
    };
    drain_for(&mut connections, 800);
    let (before, started) = (child.cpu(), Instant::now());
    drain_for(&mut connections, 1000);
    let idle_rate = (child.cpu() - before) / started.elapsed().as_secs_f64();
    // New backends: each is announced to every proxy.
    let (before, started, new_backends, mut succeeded) = (child.cpu(), Instant::now(), 100, 0);
    let mut bytes = 0;
    for n in 0..new_backends {
        succeeded += usize::from(post_heartbeat(&mut stream, n, 1)?);
        bytes += drain(&mut connections);
    }
    let announce_cpu = child.cpu() - before - idle_rate * started.elapsed().as_secs_f64();
    let (before, started) = (child.cpu(), Instant::now());
    for n in 0..heartbeats {
        succeeded += usize::from(post_heartbeat(
            &mut stream,
            n % new_backends,
            2 + (n / new_backends) as u64,
        )?);
        if n % 500 == 0 {
            drain(&mut connections);
        }
    }
    let heartbeat_cpu =
        (child.cpu() - before - idle_rate * started.elapsed().as_secs_f64()) / heartbeats as f64;
    let (before, started, reconnects) = (child.cpu(), Instant::now(), heartbeats / 5);
    for n in 0..reconnects {
        let mut stream = TcpStream::connect(control)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        succeeded += usize::from(post_heartbeat(
            &mut stream,
            n % new_backends,
            100_000 + (n / new_backends) as u64,
        )?);
        if n % 500 == 0 {
            drain(&mut connections);
        }
    }
    let reconnect_cpu = (child.cpu() - before - idle_rate * started.elapsed().as_secs_f64())
        / reconnects.max(1) as f64;
    println!(
        "sockets doors={proxies} good={succeeded}/{} idle_us_door_s={:.1} beat_kept_us={:.1} beat_new_connection_us={:.1} news_us={:.0} news_us_door={:.2} bytes={bytes}",
        new_backends + heartbeats + reconnects,
        micros(idle_rate) / proxies.max(1) as f64,
        micros(heartbeat_cpu),
        micros(reconnect_cpu),
        micros(announce_cpu) / new_backends as f64,
        (micros(announce_cpu) / new_backends as f64 - micros(heartbeat_cpu)) / proxies.max(1) as f64,
    );
    Ok(())
}

// ---- Disk ---------------------------------------------------------------------------------------

/// Returns the bytes that this process has passed to write calls.
fn bytes_written() -> u64 {
    let text = std::fs::read_to_string("/proc/self/io").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("wchar: "));
    line.and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn fresh_directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("maplefall-slopes-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn directory_size(path: &Path) -> u64 {
    let files = std::fs::read_dir(path).into_iter().flatten().flatten();
    files
        .filter_map(|file| Some(file.metadata().ok()?.len()))
        .sum()
}

/// Writes records and takes one step of background work, as the controller's disk thread does.
fn write_records(store: &mut Store<Directory>, records: Vec<StoreRecord>) -> Result<(), Error> {
    store.write(records)?;
    if store.has_background_work() {
        store.step()?;
    }
    Ok(())
}

fn disk(entries: &[usize]) {
    let change =
        parse_amend(synthetic::upsert_body(0..1, 0..0, 0..0, 1, 8).as_bytes()).unwrap_or_default();
    let payload = change.encode_to_vec();
    for &n in entries {
        let path = fresh_directory("log");
        let Ok((mut store, _)) = Store::open(Directory::new(&path)) else {
            println!("disk error=open");
            return;
        };
        let (written_before, mut number) = (bytes_written(), 0);
        let mut record_bytes = 0;
        for _ in 0..n.div_ceil(100) {
            let records: Vec<StoreRecord> = (0..100.min(n))
                .map(|_| {
                    number += 1;
                    let entry = Entry {
                        index: number,
                        term: 1,
                        kind: EntryKind::Command.into(),
                        payload: payload.clone(),
                        ..Entry::default()
                    };
                    let record = PersistentUpdate {
                        entries: vec![entry],
                        ..PersistentUpdate::default()
                    };
                    StoreRecord {
                        number,
                        raft: Some(record),
                        ..StoreRecord::default()
                    }
                })
                .collect();
            record_bytes += records.iter().map(Message::encoded_len).sum::<usize>();
            if write_records(&mut store, records).is_err() {
                println!("disk error=write");
                return;
            }
        }
        let written_bytes = bytes_written() - written_before;
        let _ = store.close();
        let on_disk = directory_size(&path);
        let started = Instant::now();
        let (found, cost) = cost_of(|| {
            Store::open(Directory::new(&path))
                .map(|(_, state)| state.raft.log.len())
                .unwrap_or(0)
        });
        println!(
            "disk entries={n} found={found} payload_bytes={} record_bytes_entry={:.0} written_bytes_entry={:.0} on_disk_bytes={on_disk} start_ms={:.1} start_cpu_us_entry={:.2}",
            payload.len(),
            record_bytes as f64 / number as f64,
            written_bytes as f64 / number as f64,
            1e3 * started.elapsed().as_secs_f64(),
            micros(cost.cpu) / number as f64,
        );
        let _ = std::fs::remove_dir_all(&path);
    }
    // Bytes written for each further record when this many backends are registered, including the
    // repeated writes of the whole state.
    for registered in [1000, 10_000, 50_000] {
        let path = fresh_directory("words");
        let Ok((mut store, _)) = Store::open(Directory::new(&path)) else {
            return;
        };
        let store_record = |number: u64, from: usize, count: usize, seq: u64| StoreRecord {
            number,
            instances: (from..from + count)
                .map(|n| synthetic::instance_record(n, 8900, seq))
                .collect(),
            ..StoreRecord::default()
        };
        let mut succeeded = true;
        for batch in 0..registered / 1000 {
            succeeded &= write_records(
                &mut store,
                vec![store_record(batch as u64 + 1, batch * 1000, 1000, 1)],
            )
            .is_ok();
        }
        let (written_before, mut number, further) =
            (bytes_written(), registered as u64 / 1000, 20_000);
        for batch in 0..further / 20 {
            let records = (0..20)
                .map(|k| {
                    number += 1;
                    let n = batch * 20 + k;
                    store_record(number, n % registered, 1, 2 + (n / registered) as u64)
                })
                .collect();
            succeeded &= write_records(&mut store, records).is_ok();
        }
        let _ = store.close();
        println!(
            "disk backends={registered} good={succeeded} further_words={further} written_bytes_word={:.0} on_disk_bytes={}",
            (bytes_written() - written_before) as f64 / f64::from(further as u32),
            directory_size(&path)
        );
        let _ = std::fs::remove_dir_all(&path);
    }
}

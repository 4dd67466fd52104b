//! Slopes of the parts: time, memory and bytes as their sizes grow. One thread; each part is a command.
//!
//! `cargo run --release -p maplefall-benches --example slopes PART` tells times;
//! `cargo run --release -p maplefall-benches --features count-allocations --example slopes PART` tells memory (times are then longer).

use bytes::BytesMut;
use clap::{Parser, Subcommand};
use maplefall_benches::group::Group;
use maplefall_benches::made::{self, Size};
use maplefall_benches::measure::{each, status, took};
use maplefall_control_messages::{
    decode_frame, encode_frame, ConfigUpdate, Frame, Hello, InstanceUpdates, PROTOCOL_VERSION,
};
use maplefall_controller::disk::Directory;
use maplefall_controller::store::{Error, Store, StoreRecord};
use maplefall_gateway_config::{parse_amend, Change, ConfigState, RouteTable};
use maplefall_policy::Outcome;
use maplefall_proxy::{AttemptEnd, Core as Door, IncomingRequest, Output as DoorOutput};
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

/// Slopes of the system's parts.
#[derive(Parser)]
struct Line {
    #[command(subcommand)]
    part: Part,
}

#[derive(Subcommand)]
enum Part {
    /// The configuration: a board of routes and services, one of tenants, and a door's plan.
    Numbering {
        /// Numbers of routes.
        #[arg(long, value_delimiter = ',', default_value = "1000,10000,77000")]
        routes: Vec<usize>,
        /// Numbers of tenants.
        #[arg(long, value_delimiter = ',', default_value = "10000,100000,480000")]
        tenants: Vec<usize>,
    },
    /// The list of backends.
    Directory {
        /// Numbers of backends.
        #[arg(long, value_delimiter = ',', default_value = "1000,10000,40000")]
        backends: Vec<usize>,
        /// Backends beyond what a directory holds.
        #[arg(long, default_value_t = 1000)]
        beyond: usize,
    },
    /// Lenders and purses.
    Toll {
        /// Numbers of doors.
        #[arg(long, value_delimiter = ',', default_value = "10,100,500,2000")]
        doors: Vec<usize>,
        /// Numbers of tenants.
        #[arg(long, value_delimiter = ',', default_value = "10,100,1000,10000")]
        tenants: Vec<usize>,
        /// Tenants that ask something of a door.
        #[arg(long, default_value_t = 20)]
        asked: usize,
        /// Products of doors and tenants over this are left out.
        #[arg(long, default_value_t = 2_100_000)]
        most: usize,
    },
    /// A door's decisions.
    Door {
        /// Numbers of backends.
        #[arg(long, value_delimiter = ',', default_value = "1000,10000,40000")]
        backends: Vec<usize>,
        /// Services.
        #[arg(long, value_delimiter = ',', default_value = "100,1000,8900")]
        services: Vec<usize>,
        /// Numbers of tenants.
        #[arg(long, value_delimiter = ',', default_value = "1000,10000,100000")]
        tenants: Vec<usize>,
    },
    /// Agreement: messages, bytes and writes of a change with 1, 3, 5, 7 members.
    Tandem {
        /// Numbers of members.
        #[arg(long, value_delimiter = ',', default_value = "1,3,5,7")]
        members: Vec<usize>,
    },
    /// An exchange that holds so many routes: a change, and a door that connects.
    Change {
        /// Numbers of routes.
        #[arg(long, value_delimiter = ',', default_value = "1000,10000,77000")]
        routes: Vec<usize>,
        /// Tenants for each route, in tenths.
        #[arg(long, default_value_t = 0)]
        tenths: usize,
    },
    /// A real exchange over loopback: what a beat and a word to a door cost with sockets. The program is named.
    Sockets {
        /// The program.
        #[arg(long, default_value = "target/release/maplefall-controller")]
        exchange: PathBuf,
        /// Doors.
        #[arg(long, value_delimiter = ',', default_value = "10,200,1000")]
        doors: Vec<usize>,
        /// Beats.
        #[arg(long, default_value_t = 5000)]
        beats: usize,
    },
    /// The disk: bytes and time of records, and of a start.
    Disk {
        /// Numbers of entries.
        #[arg(long, value_delimiter = ',', default_value = "300,3000,30000")]
        entries: Vec<usize>,
    },
}

fn main() {
    match Line::parse().part {
        Part::Numbering { routes, tenants } => numbering(&routes, &tenants),
        Part::Directory { backends, beyond } => directory(&backends, beyond),
        Part::Toll {
            doors,
            tenants,
            asked,
            most,
        } => toll(&doors, &tenants, asked, most),
        Part::Door {
            backends,
            services,
            tenants,
        } => door(&backends, &services, &tenants),
        Part::Tandem { members } => tandem(&members),
        Part::Change { routes, tenths } => change(&routes, tenths),
        Part::Sockets {
            exchange,
            doors,
            beats,
        } => {
            for doors in doors {
                if let Err(error) = sockets(&exchange, doors, beats) {
                    println!("sockets doors={doors} error={error:?}");
                }
            }
        }
        Part::Disk { entries } => disk(&entries),
    }
    println!(
        "rss_mb={} peak_mb={}",
        status("VmRSS") >> 20,
        status("VmHWM") >> 20
    );
}

/// Seconds as microseconds.
fn us(seconds: f64) -> f64 {
    seconds * 1e6
}

/// Services for so many routes, as at the target.
fn services_of(routes: usize) -> usize {
    (routes * 8900 / 77_000).max(1)
}

// ---- Configuration ------------------------------------------------------------------------------------

fn numbering(routes: &[usize], tenants: &[usize]) {
    let routes = routes.iter().map(|n| Size {
        routes: *n,
        tenants: 0,
        services: services_of(*n),
    });
    let tenants = tenants.iter().map(|n| Size {
        routes: 0,
        tenants: *n,
        services: 0,
    });
    for size in routes.chain(tenants) {
        let n = size.routes + size.tenants + size.services;
        let items = made::items(size);
        let encoded: usize = items.iter().map(Message::encoded_len).sum();
        let board = ConfigState::from_items(items);
        // What a copy of it holds, since the items were there before.
        let (copy, kept) = took(|| board.clone());
        drop(copy);
        let (plan, planned) = took(|| RouteTable::from_items(&board));
        let one = match size.tenants {
            0 => made::call(0..1, 0..0, 0..0, size.services, 8),
            _ => made::call(0..0, 0..1, 0..0, 0, 8),
        };
        let one: Change = parse_amend(one.as_bytes()).unwrap_or_default();
        let cloned = each(0.5, || drop(black_box(board.clone())));
        let check = each(0.5, || {
            black_box(board.check(&one).is_ok());
        });
        let text = board.read_back();
        let read_back = each(0.5, || drop(black_box(board.read_back())));
        let planning = each(0.5, || drop(black_box(RouteTable::from_items(&board))));
        let (hosts, keys): (Vec<_>, Vec<_>) = (0..1000)
            .map(|k| (made::place(k * 77), made::key(k)))
            .unzip();
        let look = each(0.2, || {
            for ((host, path), key) in hosts.iter().zip(&keys) {
                black_box((plan.route(host, path).is_some(), plan.tenant(key).is_some()));
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
            per(kept.held as f64),
            per(planned.held as f64),
            us(cloned),
            us(check),
            us(per(check)),
            us(read_back),
            us(planning),
            us(per(planning)),
            1000.0 * us(look),
        );
    }
}

// ---- Backends -----------------------------------------------------------------------------------------

fn directory(sizes: &[usize], beyond: usize) {
    for &n in sizes {
        let words: Vec<_> = (0..n).map(|n| made::word(n, 8900, 1)).collect();
        let encoded: usize = words.iter().map(Message::encoded_len).sum();
        let mut directory = Registry::default();
        let (_, new) = took(|| {
            words
                .into_iter()
                .for_each(|word| drop(directory.apply(0.0, word)))
        });
        let again: Vec<_> = (0..n).map(|n| made::word(n, 8900, 2)).collect();
        let (_, beat) = took(|| {
            again
                .into_iter()
                .for_each(|word| drop(directory.apply(1.0, word)))
        });
        let ids: Vec<_> = (0..n).map(made::backend).collect();
        let (_, seen) = took(|| {
            ids.iter()
                .for_each(|id| drop(directory.refresh(2.0, id, 3)))
        });
        let overdue = each(0.3, || drop(black_box(directory.expire(3.0, 6000.0))));
        let words = each(0.3, || drop(black_box(directory.records(3.0))));
        let all = Frame::InstanceUpdates(InstanceUpdates {
            records: directory.records(3.0),
            complete: true,
            ack_number: 0,
        });
        let whole = each(0.3, || drop(black_box(encode_frame(all.clone()))));
        let per = |x: f64| 1e9 * x / n as f64;
        println!(
            "directory backends={n} wire_bytes={:.0} bytes={:.0} new_ns={:.0} beat_ns={:.0} seen_ns={:.0} overdue_us={:.0} words_us={:.0} whole_frame_us={:.0} whole_frame_bytes={}",
            encoded as f64 / n as f64,
            new.held as f64 / n as f64,
            per(new.cpu),
            per(beat.cpu),
            per(seen.cpu),
            us(overdue),
            us(words),
            us(whole),
            encode_frame(all).len(),
        );
    }
    // A directory holds so many at most: what comes beyond takes the place of another.
    let mut directory = Registry::default();
    let mut n = 0;
    while directory.len() == n && n < 200_000 {
        drop(directory.apply(0.0, made::word(n, 8900, 1)));
        n += 1;
    }
    let most = directory.len();
    let (_, took) =
        took(|| (n..n + beyond).for_each(|n| drop(directory.apply(0.0, made::word(n, 8900, 1)))));
    println!(
        "directory holds={most} of={} each_beyond_us={:.0}",
        n + beyond,
        us(took.cpu / beyond.max(1) as f64)
    );
}

// ---- Loans --------------------------------------------------------------------------------------------

/// The life of the lender.
const LENDER: u32 = 3;

fn report(number: u64, confirmed: u64, door: usize, asked: usize, tenants: usize) -> LeaseRequest {
    let demand = |n: usize| Demand {
        tenant: made::tenant((door * 7 + n) % tenants.max(1)),
        milli_rps: 2000,
        starved: false,
    };
    let demand = (0..asked.min(tenants)).map(demand).collect();
    let first = number == 1;
    let lender = if first { 0 } else { LENDER };
    LeaseRequest {
        sequence: number,
        acknowledged: confirmed,
        full: first,
        demand,
        server_incarnation: lender,
        ..LeaseRequest::default()
    }
}

fn toll(doors: &[usize], tenants: &[usize], asked: usize, most: usize) {
    for &t in tenants {
        let names: Vec<String> = (0..t).map(made::tenant).collect();
        let all = || names.iter().map(String::as_str);
        for &d in doors {
            if d * t > most {
                println!("toll doors={d} tenants={t} left_out=over_{most}");
                continue;
            }
            let nodes: Vec<String> = (0..d).map(|n| format!("edge-zone-{}-{n}", n % 8)).collect();
            let caller = |n: usize| ClientId {
                name: &nodes[n],
                incarnation: 1,
                connection: 1,
            };
            let mut lender =
                LeaseServer::new(0.0, LENDER, FULL_QUOTA_PPM / 3, Some(Default::default()));
            // All doors are there before the first hears of a tenant.
            let none = || std::iter::empty::<&str>();
            for n in 0..d {
                lender.handle_request(0.0, caller(n), &report(1, 0, n, asked, t), none());
            }
            let mut numbers = vec![0; d];
            let some = d.min(5);
            let mut bytes = 0;
            let (_, cold) = took(|| {
                for (n, number) in numbers.iter_mut().enumerate().take(some) {
                    for (_, lent) in
                        lender.handle_request(500.0, caller(n), &report(2, 0, n, asked, t), all())
                    {
                        bytes += encode_frame(Frame::LeaseGrant(lent.clone())).len();
                        *number = lent.sequence;
                    }
                }
            });
            let mut round = 2;
            let mut calm_bytes = 0;
            let calm = each(0.3, || {
                round += 1;
                for (n, number) in numbers.iter_mut().enumerate().take(some) {
                    let report = report(round, *number, n, asked, t);
                    for (to, lent) in lender.handle_request(1000.0, caller(n), &report, all()) {
                        calm_bytes = encode_frame(Frame::LeaseGrant(lent.clone())).len();
                        if to == nodes[n] {
                            *number = lent.sequence;
                        }
                    }
                }
            }) / some as f64;
            println!(
                "toll doors={d} tenants={t} asked={asked} first_us={:.0} first_us_per_door_tenant={:.4} lent_bytes_tenant={:.1} held_bytes_door_tenant={:.0} calm_us={:.1} report_bytes={} lent_bytes={calm_bytes}",
                us(cold.cpu / some as f64),
                us(cold.cpu / some as f64) / (d * t) as f64,
                bytes as f64 / (some * t) as f64,
                cold.held as f64 / (some * t) as f64,
                us(calm),
                encode_frame(Frame::LeaseRequest(report(9, 9, 0, asked, t))).len(),
            );
        }
        let mut purse = LeaseClient::new(1);
        let (_, held) = took(|| {
            for lender in ["10.0.0.1", "10.0.0.2", "10.0.0.3"] {
                purse.connected(lender);
                purse.next_request(0.0, lender, Vec::new());
                let loans = names
                    .iter()
                    .map(|tenant| Lease {
                        tenant: tenant.clone(),
                        ppm: 9,
                    })
                    .collect();
                purse.handle_grant(
                    0.0,
                    lender,
                    &LeaseGrant {
                        sequence: 1,
                        request: 1,
                        leases: loans,
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
            held.held as f64 / t as f64
        );
    }
}

// ---- A door -------------------------------------------------------------------------------------------

fn new_door(size: Size, out: &mut Vec<DoorOutput>) -> Door {
    let settings = made::settings("edge", "10.1.0.1", &["10.0.0.1".to_owned()]);
    let mut door = Door::new(&settings, 9);
    let items = made::items(size);
    let plans = ConfigUpdate {
        after: 0,
        index: 9,
        items,
        ..ConfigUpdate::default()
    };
    door.receive(0.0, "10.0.0.1", Frame::ConfigUpdate(plans), out);
    door
}

fn door(backends: &[usize], services: &[usize], tenants: &[usize]) {
    let mut out = Vec::new();
    for &n in services {
        let size = Size {
            routes: n * 9,
            tenants: 0,
            services: n,
        };
        let (door, planned) = took(|| new_door(size, &mut out));
        println!(
            "door routes={} services={n} held_bytes_route={:.0} plan_ms={:.1}",
            n * 9,
            planned.held as f64 / (n * 9) as f64,
            1e3 * planned.cpu
        );
        drop(door);
        for &b in backends.iter().filter(|b| **b >= n) {
            let mut door = new_door(size, &mut out);
            out.clear();
            let words = (0..b).map(|k| made::word(k, n, 1)).collect();
            let frame = Frame::InstanceUpdates(InstanceUpdates {
                records: words,
                complete: false,
                ack_number: 0,
            });
            let (_, told) = took(|| {
                door.receive(0.0, "10.0.0.1", frame, &mut out);
                out.clear();
            });
            let again = Frame::InstanceUpdates(InstanceUpdates {
                records: vec![made::word(0, n, 1)],
                complete: false,
                ack_number: 0,
            });
            let word = each(0.1, || {
                door.receive(1.0, "10.0.0.1", again.clone(), &mut out)
            });
            let mut now = 10.0;
            let mut which = 0;
            let mut served = 0_u64;
            let arrive = each(1.0, || {
                now += 1.0;
                which = (which + 7919) % size.routes;
                let (host, path) = made::place(which);
                let arrival = IncomingRequest {
                    host: &host,
                    path: &path,
                    api_key: None,
                    remaining: Some(1000.0),
                    received_at: now,
                    is_retry: false,
                };
                let mut done = Vec::new();
                if door.admit(now, &arrival, &mut done).is_ok() {
                    served += 1;
                }
                for output in done {
                    if let DoorOutput::Send {
                        request, attempt, ..
                    } = output
                    {
                        let ended = AttemptEnd {
                            outcome: Outcome::Ok,
                            broken_connections: 0,
                            wrong_instance: false,
                        };
                        let mut over = Vec::new();
                        door.attempt_ended(now + 5.0, request, attempt, ended, &mut over);
                    }
                }
                let _ = door.next_due();
                door.run_timers(now, &mut Vec::new());
            });
            let tick = each(0.1, || {
                now += 500.0;
                door.tick(now, &mut Vec::new());
            });
            println!(
                "door services={n} backends={b} held_bytes_backend={:.0} told_us_backend={:.2} old_word_ns={:.0} request_us={:.2} served={served} tick_us={:.1}",
                told.held as f64 / b as f64,
                us(told.cpu) / b as f64,
                1e9 * word,
                us(arrive),
                us(tick),
            );
        }
    }
    for &t in tenants {
        let size = Size {
            routes: 900,
            tenants: t,
            services: 100,
        };
        let (mut door, planned) = took(|| new_door(size, &mut out));
        out.clear();
        let words = (0..1000).map(|k| made::word(k, 100, 1)).collect();
        door.receive(
            0.0,
            "10.0.0.1",
            Frame::InstanceUpdates(InstanceUpdates {
                records: words,
                complete: false,
                ack_number: 0,
            }),
            &mut Vec::new(),
        );
        door.controller_connected(1.0, "10.0.0.1", &mut out);
        let loans = (0..t)
            .map(|n| Lease {
                tenant: made::tenant(n),
                ppm: FULL_QUOTA_PPM,
            })
            .collect();
        let lent = LeaseGrant {
            sequence: 1,
            request: 1,
            leases: loans,
            client_count: 1,
            client_incarnation: 9,
            server_incarnation: 1,
            grants_tokens: true,
        };
        let (_, lent) =
            took(|| door.receive(2.0, "10.0.0.1", Frame::LeaseGrant(lent), &mut Vec::new()));
        let mut now = 10.0;
        let (mut who, mut served) = (0, 0_u64);
        let request = each(0.5, || {
            now += 0.5;
            who = (who + 7919) % t;
            let (host, path) = made::place(who % 900);
            let key = made::key(who);
            let arrival = IncomingRequest {
                host: &host,
                path: &path,
                api_key: Some(&key),
                remaining: Some(1000.0),
                received_at: now,
                is_retry: false,
            };
            let mut done = Vec::new();
            if door.admit(now, &arrival, &mut done).is_ok() {
                served += 1;
            }
            for output in done {
                if let DoorOutput::Send {
                    request, attempt, ..
                } = output
                {
                    let ended = AttemptEnd {
                        outcome: Outcome::Ok,
                        broken_connections: 0,
                        wrong_instance: false,
                    };
                    let mut over = Vec::new();
                    door.attempt_ended(now + 5.0, request, attempt, ended, &mut over);
                }
            }
            let _ = door.next_due();
            door.run_timers(now, &mut Vec::new());
        });
        let tick = each(0.3, || {
            now += 500.0;
            door.tick(now, &mut Vec::new());
        });
        let one = parse_amend(made::call(0..0, 0..1, 0..0, 0, 8).as_bytes()).unwrap_or_default();
        let mut index = 9;
        let one_change = each(0.3, || {
            index += 1;
            let change = maplefall_control_messages::IndexedChange {
                index,
                change: Some(one.clone()),
            };
            let plans = ConfigUpdate {
                after: index - 1,
                index,
                changes: vec![change],
                ..ConfigUpdate::default()
            };
            door.receive(now, "10.0.0.1", Frame::ConfigUpdate(plans), &mut Vec::new());
        });
        println!(
            "door tenants={t} held_bytes_tenant={:.0} loans_bytes_tenant={:.0} request_us={:.2} served={served} tick_us={:.0} tick_ns_tenant={:.0} change_us={:.0} change_ns_tenant={:.0}",
            planned.held as f64 / t as f64,
            lent.held as f64 / t as f64,
            us(request),
            us(tick),
            1e9 * tick / t as f64,
            us(one_change),
            1e9 * one_change / t as f64,
        );
    }
}

// ---- Agreement ----------------------------------------------------------------------------------------

fn tandem(members: &[usize]) {
    for &n in members {
        let mut group = Group::new(n);
        let (done, _) = group.amend(made::call(0..1, 0..0, 0..1, 1, 7));
        group.reset();
        let changes = 100;
        let mut all = done;
        for version in 0..changes {
            all &= group.amend(made::call(0..1, 0..0, 0..0, 1, 8 + version)).0;
        }
        let of = |what: &str| {
            let flows = group.done.iter().filter_map(|done| done.peers.get(what));
            flows.fold((0, 0), |sum, flow| (sum.0 + flow.count, sum.1 + flow.bytes))
        };
        let (messages, bytes) = of("tandem");
        let writes: u64 = group.done.iter().map(|done| done.disk.count).sum();
        let disk: u64 = group.done.iter().map(|done| done.disk.bytes).sum();
        let cpu: f64 = group.done.iter().flat_map(|done| done.cpu.values()).sum();
        let per = |x: u64| x as f64 / f64::from(changes);
        println!(
            "tandem members={n} done={all} messages_change={:.1} bytes_change={:.0} writes_change={:.1} disk_bytes_change_member={:.0} cpu_us_change_all={:.0}",
            per(messages),
            per(bytes),
            per(writes),
            per(disk) / n as f64,
            us(cpu) / f64::from(changes)
        );
    }
}

fn change(routes: &[usize], tenths: usize) {
    for &n in routes {
        let size = Size {
            routes: n,
            tenants: n * tenths / 10,
            services: services_of(n),
        };
        let (mut group, grown) = took(|| {
            let mut group = Group::new(3);
            for call in made::calls(size) {
                group.amend(call);
            }
            group
        });
        group.reset();
        let mut cost = Vec::new();
        for version in 0..5 {
            let (done, at) = group.amend(made::call(0..1, 0..0, 0..0, size.services, 8 + version));
            let amend = std::mem::take(&mut group.done[at].cpu)
                .get("amend")
                .copied()
                .unwrap_or(0.0);
            cost.push((amend, done));
        }
        cost.sort_by(|a, b| a.0.total_cmp(&b.0));
        group.reset();
        group.connect(0, 0);
        let plan = group.done[0]
            .doors
            .get("plans")
            .copied()
            .unwrap_or_default();
        let connect = group.done[0].cpu.get("connect").copied().unwrap_or(0.0);
        println!(
            "change routes={n} tenants={} done={} amend_ms={:.1} door_connects_ms={:.1} plan_bytes={} exchanges_3_held_mb={} bytes_route_exchange={:.0}",
            size.tenants,
            cost.iter().all(|c| c.1),
            1e3 * cost[2].0,
            1e3 * connect,
            plan.bytes,
            grown.held >> 20,
            grown.held as f64 / 3.0 / n as f64
        );
    }
}

// ---- Sockets ------------------------------------------------------------------------------------------

/// Ends the exchange whatever happens.
struct Child(std::process::Child, PathBuf);

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_dir_all(&self.1);
    }
}

impl Child {
    /// Seconds of processor time that it has used.
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

/// Posts a beat and reads its answer.
fn post(stream: &mut TcpStream, n: usize, seq: u64) -> std::io::Result<bool> {
    let body = made::beat(n, 100, seq, "in_loop");
    let id = made::backend(n);
    let head = format!(
        "POST /api/rpc?call=instances.beat&of={id} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), &body].concat())?;
    let mut answer = [0; 2048];
    let read = stream.read(&mut answer)?;
    Ok(answer[..read].starts_with(b"HTTP/1.1 200"))
}

/// Opens a connection from this address.
fn dial(from: &str, to: SocketAddr) -> std::io::Result<TcpStream> {
    let from: SocketAddr = format!("{from}:0").parse().map_err(std::io::Error::other)?;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&from.into())?;
    socket.connect(&to.into())?;
    Ok(socket.into())
}

fn free() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn sockets(program: &Path, doors: usize, beats: usize) -> std::io::Result<()> {
    let (control, inner, data) = (free()?, free()?, folder("sockets"));
    std::fs::create_dir_all(&data)?;
    let settings = format!(
        "Node = \"core\"\nIp = \"127.0.0.1\"\nZone = \"z\"\nInternalPorts = [{0},{0}]\nSeedAddrs = [\"{control}\"]\nBootstrap = true\nQuorumMember = true\nDataDir = {1:?}\n[Bind]\nControl = \"{control}\"\n",
        inner.port(),
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
    let child = Child(child, data);
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
    let mut there = Vec::new();
    for n in 0..doors {
        // One door is heard for each machine: each has an address of its own.
        let ip = format!("127.1.{}.{}", n / 250, 1 + n % 250);
        let mut door = dial(&ip, inner)?;
        let hello = Hello {
            version: PROTOCOL_VERSION,
            ip,
            node: format!("edge-{n}"),
            incarnation: 1 + n as u64,
            is_controller: false,
            config_index: 0,
        };
        door.write_all(&encode_frame(Frame::Hello(hello)))?;
        door.set_nonblocking(true)?;
        there.push(door);
    }
    let mut buffer = vec![0; 64 << 10];
    let mut heard = vec![BytesMut::new(); there.len()];
    // What doors hear is read, and pings are echoed, lest they are taken for dead.
    let mut drain = |there: &mut Vec<TcpStream>| {
        let mut bytes = 0;
        for (door, heard) in there.iter_mut().zip(&mut heard) {
            while let Ok(many @ 1..) = door.read(&mut buffer) {
                bytes += many;
                heard.extend_from_slice(&buffer[..many]);
            }
            while let Ok(Some(frame)) = decode_frame(heard) {
                if let Frame::Ping(number) = frame {
                    let _ = door.write_all(&encode_frame(Frame::Pong(number)));
                }
            }
        }
        bytes
    };
    let mut rest = |there: &mut Vec<TcpStream>, millis: u64| {
        let end = Instant::now() + Duration::from_millis(millis);
        while Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
            drain(there);
        }
    };
    rest(&mut there, 800);
    let (before, began) = (child.cpu(), Instant::now());
    rest(&mut there, 1000);
    let idle = (child.cpu() - before) / began.elapsed().as_secs_f64();
    // New backends: each is told to every door.
    let (before, began, news, mut good) = (child.cpu(), Instant::now(), 100, 0);
    let mut bytes = 0;
    for n in 0..news {
        good += usize::from(post(&mut stream, n, 1)?);
        bytes += drain(&mut there);
    }
    let told = child.cpu() - before - idle * began.elapsed().as_secs_f64();
    let (before, began) = (child.cpu(), Instant::now());
    for n in 0..beats {
        good += usize::from(post(&mut stream, n % news, 2 + (n / news) as u64)?);
        if n % 500 == 0 {
            drain(&mut there);
        }
    }
    let kept = (child.cpu() - before - idle * began.elapsed().as_secs_f64()) / beats as f64;
    let (before, began, anew) = (child.cpu(), Instant::now(), beats / 5);
    for n in 0..anew {
        let mut stream = TcpStream::connect(control)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        good += usize::from(post(&mut stream, n % news, 100_000 + (n / news) as u64)?);
        if n % 500 == 0 {
            drain(&mut there);
        }
    }
    let fresh = (child.cpu() - before - idle * began.elapsed().as_secs_f64()) / anew.max(1) as f64;
    println!(
        "sockets doors={doors} good={good}/{} idle_us_door_s={:.1} beat_kept_us={:.1} beat_new_connection_us={:.1} news_us={:.0} news_us_door={:.2} bytes={bytes}",
        news + beats + anew,
        us(idle) / doors.max(1) as f64,
        us(kept),
        us(fresh),
        us(told) / news as f64,
        (us(told) / news as f64 - us(kept)) / doors.max(1) as f64,
    );
    Ok(())
}

// ---- The disk -----------------------------------------------------------------------------------------

/// Bytes that this process has handed to the system to write.
fn written() -> u64 {
    let text = std::fs::read_to_string("/proc/self/io").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("wchar: "));
    line.and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("maplefall-slopes-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn size_of(path: &Path) -> u64 {
    let files = std::fs::read_dir(path).into_iter().flatten().flatten();
    files
        .filter_map(|file| Some(file.metadata().ok()?.len()))
        .sum()
}

/// Writes records, and takes one step of what can wait, as the exchange's thread does.
fn put(store: &mut Store<Directory>, records: Vec<StoreRecord>) -> Result<(), Error> {
    store.write(records)?;
    if store.has_background_work() {
        store.step()?;
    }
    Ok(())
}

fn disk(entries: &[usize]) {
    let change = parse_amend(made::call(0..1, 0..0, 0..0, 1, 8).as_bytes()).unwrap_or_default();
    let payload = change.encode_to_vec();
    for &n in entries {
        let path = folder("log");
        let Ok((mut store, _)) = Store::open(Directory::new(&path)) else {
            println!("disk error=open");
            return;
        };
        let (wrote, mut number) = (written(), 0);
        let mut logical = 0;
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
            logical += records.iter().map(Message::encoded_len).sum::<usize>();
            if put(&mut store, records).is_err() {
                println!("disk error=write");
                return;
            }
        }
        let handed = written() - wrote;
        let _ = store.close();
        let on_disk = size_of(&path);
        let before = Instant::now();
        let (found, took) = took(|| {
            Store::open(Directory::new(&path))
                .map(|(_, kept)| kept.raft.log.len())
                .unwrap_or(0)
        });
        println!(
            "disk entries={n} found={found} payload_bytes={} record_bytes_entry={:.0} written_bytes_entry={:.0} on_disk_bytes={on_disk} start_ms={:.1} start_cpu_us_entry={:.2}",
            payload.len(),
            logical as f64 / number as f64,
            handed as f64 / number as f64,
            1e3 * before.elapsed().as_secs_f64(),
            us(took.cpu) / number as f64,
        );
        let _ = std::fs::remove_dir_all(&path);
    }
    // With so many backends known, what is written for each further word: the whole state again and again.
    for known in [1000, 10_000, 50_000] {
        let path = folder("words");
        let Ok((mut store, _)) = Store::open(Directory::new(&path)) else {
            return;
        };
        let stored = |number: u64, from: usize, many: usize, seq: u64| StoreRecord {
            number,
            instances: (from..from + many)
                .map(|n| made::word(n, 8900, seq))
                .collect(),
            ..StoreRecord::default()
        };
        let mut good = true;
        for at in 0..known / 1000 {
            good &= put(&mut store, vec![stored(at as u64 + 1, at * 1000, 1000, 1)]).is_ok();
        }
        let (wrote, mut number, further) = (written(), known as u64 / 1000, 20_000);
        for at in 0..further / 20 {
            let records = (0..20)
                .map(|k| {
                    number += 1;
                    let n = at * 20 + k;
                    stored(number, n % known, 1, 2 + (n / known) as u64)
                })
                .collect();
            good &= put(&mut store, records).is_ok();
        }
        let _ = store.close();
        println!(
            "disk backends={known} good={good} further_words={further} written_bytes_word={:.0} on_disk_bytes={}",
            (written() - wrote) as f64 / f64::from(further as u32),
            size_of(&path)
        );
        let _ = std::fs::remove_dir_all(&path);
    }
}

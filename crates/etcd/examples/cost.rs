//! Measures the cost of a change, from the encoded watch response to the changes of the backend
//! list, without sockets: time, allocations and bytes.
//! `cargo run --release -p maplefall-etcd --example cost [NODES [CHANGES]]`

use maplefall_etcd::{Command, Follower, Input, Output, Settings};
use maplefall_etcd_wire::{Event, KeyValue, RangeResponse, ResponseHeader, WatchResponse};
use maplefall_membership::{EndpointList, SourceSettings};
use prost::Message;
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn kv(node: i64, revision: i64, state: &str) -> KeyValue {
    let address = format!(
        "127.{}.{}.{}:8080",
        1 + node / 65536,
        node / 256 % 256,
        node % 256
    );
    let value = format!(
        r#"{{"address":"{address}","zone":"z-1","state":"{state}","started_ms":1700000000000}}"#
    );
    KeyValue {
        key: format!("/p/members/node-{node}").into_bytes(),
        value: value.into_bytes(),
        mod_revision: revision,
        ..Default::default()
    }
}

/// Passes an input to the follower and its updates to the membership. Returns the number of changes
/// of the backend list.
fn apply(
    follower: &mut Follower,
    roster: &mut EndpointList,
    input: Option<Input>,
    commands: &mut Vec<Command>,
) -> usize {
    if let Some(input) = input {
        follower.handle(0.0, 1, input);
    }
    let mut changes = 0;
    while let Some(output) = follower.poll_output() {
        match output {
            Output::Command(command) => commands.push(command),
            Output::Update(update) => {
                changes += roster.apply_event(0.0, update.event).changes.len()
            }
            Output::Report(_) => {}
        }
    }
    changes
}

fn main() {
    let mut args = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse::<i64>().ok());
    let (nodes, count) = (
        args.next().unwrap_or(5000).max(1),
        args.next().unwrap_or(100_000),
    );
    let header = |revision| {
        Some(ResponseHeader {
            cluster_id: 1,
            member_id: 1,
            revision,
            raft_term: 2,
        })
    };
    let mut follower = Follower::new(Settings {
        page_size: nodes,
        ..Settings::with_defaults(0, 1, "/p")
    });
    let mut roster = EndpointList::new(vec![SourceSettings::trusted("etcd")]);
    let mut commands = Vec::new();

    let page = RangeResponse {
        header: header(nodes),
        kvs: (0..nodes).map(|node| kv(node, node + 1, "up")).collect(),
        more: false,
        count: nodes,
    };
    let bytes = page.encode_to_vec();
    drop(page);
    let (region, started) = (Region::new(ALLOCATOR), Instant::now());
    follower.handle_timeout(0.0);
    apply(&mut follower, &mut roster, None, &mut commands);
    apply(
        &mut follower,
        &mut roster,
        Some(Input::Opened),
        &mut commands,
    );
    let page = RangeResponse::decode(bytes.as_slice()).expect("a message encoded above");
    let listed = apply(
        &mut follower,
        &mut roster,
        Some(Input::Page(page)),
        &mut commands,
    );
    let (elapsed, stats) = (started.elapsed(), region.change());
    let kept = stats.bytes_allocated as i64 - stats.bytes_deallocated as i64
        + stats.bytes_reallocated as i64;
    println!(
        "reading of {nodes} nodes, {} bytes: {elapsed:.1?}, {listed} listed, {} KiB kept",
        bytes.len(),
        kept / 1024
    );

    let created = WatchResponse {
        header: header(nodes),
        created: true,
        ..Default::default()
    };
    apply(
        &mut follower,
        &mut roster,
        Some(Input::WatchResponse(created)),
        &mut commands,
    );
    for each in [1, 100] {
        let from = follower.last_revision().unwrap_or(0);
        let messages: Vec<Vec<u8>> = (0..count / each)
            .map(|message| {
                let event = |n: i64| {
                    let number = message * each + n;
                    // Every node in turn; each alternates between draining and up.
                    let state = if number / nodes % 2 == 0 {
                        "draining"
                    } else {
                        "up"
                    };
                    Event {
                        kind: Event::PUT,
                        kv: Some(kv(number % nodes, from + 1 + number, state)),
                        prev_kv: None,
                    }
                };
                let events = (0..each).map(event).collect();
                let header = header(from + count);
                WatchResponse {
                    header,
                    events,
                    ..Default::default()
                }
                .encode_to_vec()
            })
            .collect();
        let length: usize = messages.iter().map(Vec::len).sum();
        let (region, started) = (Region::new(ALLOCATOR), Instant::now());
        let mut out = 0;
        for bytes in &messages {
            let response =
                WatchResponse::decode(bytes.as_slice()).expect("a message encoded above");
            out += apply(
                &mut follower,
                &mut roster,
                Some(Input::WatchResponse(response)),
                &mut commands,
            );
        }
        let (elapsed, stats) = (started.elapsed(), region.change());
        let per = |total: f64| total / out.max(1) as f64;
        println!(
            "{each} changes a message: {out} changes, {:.2} us, {:.1} allocations of {:.0} bytes in all, {:.0} bytes of message each",
            per(elapsed.as_secs_f64() * 1e6),
            per(stats.allocations as f64),
            per(stats.bytes_allocated as f64),
            per(length as f64)
        );
    }
}

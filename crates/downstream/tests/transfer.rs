//! When a client counts as slow or stalled, and what an eviction ends. Guards against evicting a
//! client that moves, one whose first second has not passed, or the body after the evicted one.

use maplefall_downstream::{Transfer, SLOW_BYTES_PER_SECOND};
use maplefall_memory_account::{Direction, PoolId};
use std::time::Duration;

const SHORT_REQUESTS: PoolId = PoolId {
    direction: Direction::Request,
    is_large: false,
};
const LONG_RESPONSES: PoolId = PoolId {
    direction: Direction::Response,
    is_large: true,
};

#[test]
fn a_body_is_slow_once_a_second_has_passed_with_too_few_bytes() {
    let transfer = Transfer::new(0.0);
    assert!(!transfer.is_slow(5000.0), "an idle connection");
    transfer.begin_receiving(SHORT_REQUESTS, 5000.0);
    transfer.bytes_received(60_000);
    assert!(!transfer.is_slow(5999.0), "its first second has not passed");
    assert!(!transfer.is_slow(6000.0), "60,000 bytes in a second");
    assert!(!transfer.is_slow(6999.0));
    assert!(transfer.is_slow(7000.0), "none in the next second");
    assert!(transfer.holds(SHORT_REQUESTS) && !transfer.holds(LONG_RESPONSES));
    transfer.end_receiving();
    assert!(!transfer.is_slow(9000.0) && !transfer.holds(SHORT_REQUESTS));
}

#[test]
fn a_client_at_the_lowest_rate_is_never_slow() {
    let transfer = Transfer::new(0.0);
    transfer.begin_receiving(SHORT_REQUESTS, 0.0);
    for tenth in 1..=600 {
        transfer.bytes_received((SLOW_BYTES_PER_SECOND / 10.0).ceil() as usize);
        assert!(!transfer.is_slow(f64::from(tenth) * 100.0), "{tenth}");
    }
}

#[test]
fn a_response_is_held_up_only_while_the_socket_takes_no_bytes() {
    let transfer = Transfer::new(0.0);
    transfer.begin_sending(Some(LONG_RESPONSES), 0.0);
    assert!(
        !transfer.is_slow(2000.0),
        "the program is slow, not the client"
    );
    transfer.send_blocked(3000.0);
    assert!(transfer.is_slow(4000.0) && transfer.holds(LONG_RESPONSES));
    assert!(!transfer.is_stalled(33_000.0));
    assert!(transfer.is_stalled(33_001.0));
    transfer.bytes_sent(1);
    transfer.send_blocked(33_002.0);
    assert!(!transfer.is_stalled(60_000.0), "it took a byte");
}

#[test]
fn an_eviction_ends_one_body_and_not_the_next() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let ended_within_a_minute = async |transfer: &Transfer| {
            let evicted = transfer.receive_evicted();
            let ended = tokio::time::timeout(Duration::from_secs(60), evicted).await;
            ended.is_ok()
        };
        let transfer = Transfer::new(0.0);
        transfer.begin_receiving(SHORT_REQUESTS, 0.0);
        transfer.evict();
        assert!(ended_within_a_minute(&transfer).await);
        transfer.evict();
        transfer.begin_receiving(SHORT_REQUESTS, 0.0);
        assert!(!ended_within_a_minute(&transfer).await);
    });
}

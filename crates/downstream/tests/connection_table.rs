//! Tests of the connection table at its limit, on paused time: nothing sleeps for real.

use maplefall_downstream::{
    retry_after_value, CloseNotification, ConnectionTable, CLOSE_RESPONSE_TIMEOUT,
};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;

fn run_with_paused_time(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime")
        .block_on(test);
}

/// Guards the count: a connection counts from its insertion until its guard is dropped.
#[test]
fn connections_count_until_their_guards_are_dropped() {
    let table = ConnectionTable::new(2, CloseNotification::Waiting);
    let (first, second) = (table.insert("first"), table.insert("second"));
    assert_eq!((table.len(), *first.state().as_ref()), (2, "first"));
    drop(first);
    assert_eq!(table.len(), 1);
    drop(second);
    assert!(table.is_empty());
}

/// Guards connections below the limit against being closed.
#[test]
fn no_connection_is_closed_below_the_limit() {
    run_with_paused_time(async {
        let table = ConnectionTable::new(2, CloseNotification::Waiting);
        let _open = table.insert(1);
        table
            .wait_for_capacity(|_| Some(()), |()| panic!("closed below the limit"))
            .await;
    });
}

/// Guards against closing all connections at once: the next one is selected only after the timeout
/// of the first.
#[test]
fn connections_are_closed_one_at_a_time() {
    run_with_paused_time(async {
        let table = ConnectionTable::new(2, CloseNotification::Waiting);
        let guards = RefCell::new(vec![table.insert(1), table.insert(2)]);
        let (start, closed_at) = (tokio::time::Instant::now(), RefCell::new(Vec::new()));
        table
            .wait_for_capacity(
                |states| states.min().cloned(),
                |state| {
                    closed_at.borrow_mut().push((*state, start.elapsed()));
                    if closed_at.borrow().len() == 2 {
                        guards.borrow_mut().clear();
                    }
                },
            )
            .await;
        let closed_at = closed_at.into_inner();
        assert_eq!(closed_at.len(), 2, "{closed_at:?}");
        assert!(closed_at[1].1 >= CLOSE_RESPONSE_TIMEOUT, "{closed_at:?}");
    });
}

/// Guards clients at the limit: the table is saturated while no connection can be closed, and no
/// longer once there is capacity.
#[test]
fn the_table_is_saturated_while_no_connection_can_be_closed() {
    run_with_paused_time(async {
        let table = ConnectionTable::new(1, CloseNotification::Waiting);
        let guard = Cell::new(Some(table.insert(1)));
        let calls = Cell::new(0);
        table
            .wait_for_capacity(
                |_| {
                    calls.set(calls.get() + 1);
                    if calls.get() == 2 {
                        assert!(table.is_saturated());
                        return Some(());
                    }
                    assert!(!table.is_saturated());
                    None
                },
                |()| drop(guard.take()),
            )
            .await;
        assert!(!table.is_saturated() && table.is_empty());
    });
}

/// Guards a shutdown that waits just after the last connection closed: remembered closes are
/// noticed, others are not.
#[test]
fn a_close_is_remembered_only_if_configured() {
    run_with_paused_time(async {
        for (notification, is_noticed) in [
            (CloseNotification::Waiting, false),
            (CloseNotification::Remembered, true),
        ] {
            let table = ConnectionTable::new(1, notification);
            drop(table.insert(Rc::new(())));
            let wait = tokio::time::timeout(CLOSE_RESPONSE_TIMEOUT, table.closed()).await;
            assert_eq!(wait.is_ok(), is_noticed, "{notification:?}");
        }
    });
}

/// Guards the header's format, which clients parse.
#[test]
fn retry_after_is_in_seconds_with_three_decimals() {
    let value = retry_after_value(1250.0).expect("a value");
    assert_eq!(value.to_str().ok(), Some("1.250"));
}

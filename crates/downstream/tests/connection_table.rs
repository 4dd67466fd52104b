//! The connection table at its limit. Time is paused: nothing sleeps for real.

use maplefall_downstream::{
    retry_after_value, CloseNotification, ConnectionTable, CLOSE_RESPONSE_TIMEOUT,
};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;

fn on_paused_time(test: impl Future<Output = ()>) {
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

/// Guards connections against being closed where there is room.
#[test]
fn below_the_limit_nothing_is_asked_to_close() {
    on_paused_time(async {
        let table = ConnectionTable::new(2, CloseNotification::Waiting);
        let _open = table.insert(1);
        table
            .wait_for_capacity(|_| Some(()), |()| panic!("asked to close"))
            .await;
    });
}

/// Guards against asking all at once: the next connection is asked only after the first had its time.
#[test]
fn one_connection_at_a_time_is_asked_to_close() {
    on_paused_time(async {
        let table = ConnectionTable::new(2, CloseNotification::Waiting);
        let guards = RefCell::new(vec![table.insert(1), table.insert(2)]);
        let (start, asked_at) = (tokio::time::Instant::now(), RefCell::new(Vec::new()));
        table
            .wait_for_capacity(
                |states| states.min().cloned(),
                |state| {
                    asked_at.borrow_mut().push((*state, start.elapsed()));
                    if asked_at.borrow().len() == 2 {
                        guards.borrow_mut().clear();
                    }
                },
            )
            .await;
        let asked_at = asked_at.into_inner();
        assert_eq!(asked_at.len(), 2, "{asked_at:?}");
        assert!(asked_at[1].1 >= CLOSE_RESPONSE_TIMEOUT, "{asked_at:?}");
    });
}

/// Guards clients at the limit: while none can be asked to close the table says so, and no longer once there is room.
#[test]
fn the_table_is_saturated_while_none_can_be_asked() {
    on_paused_time(async {
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

/// Guards a shutdown that waits just after the last connection closed: remembered closes are seen, others are not.
#[test]
fn a_close_is_remembered_only_where_asked_for() {
    on_paused_time(async {
        for (notification, seen) in [
            (CloseNotification::Waiting, false),
            (CloseNotification::Remembered, true),
        ] {
            let table = ConnectionTable::new(1, notification);
            drop(table.insert(Rc::new(())));
            let wait = tokio::time::timeout(CLOSE_RESPONSE_TIMEOUT, table.closed()).await;
            assert_eq!(wait.is_ok(), seen, "{notification:?}");
        }
    });
}

/// Guards the header's format, which clients parse.
#[test]
fn retry_after_is_in_seconds_with_three_decimals() {
    let value = retry_after_value(1250.0).expect("a value");
    assert_eq!(value.to_str().ok(), Some("1.250"));
}

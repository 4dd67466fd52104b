//! Long heads are counted until their connection closes, and short ones never.

use maplefall_downstream::{HeadCharge, HeadMemory};

/// Guards short heads while others have all the memory, and the memory of closed connections.
#[test]
fn the_excess_of_the_longest_head_counts_until_the_connection_closes() {
    let memory = HeadMemory::new(10_000);
    let long = HeadCharge::new(memory.clone());
    assert!(long.head_bytes_received(8192) && long.head_bytes_received(10_000));
    assert!(!long.head_bytes_received(1));
    long.head_complete();
    assert!(long.head_bytes_received(18_192), "the same buffer");
    let other = HeadCharge::new(memory.clone());
    assert!(other.head_bytes_received(8192));
    assert!(!other.head_bytes_received(1));
    drop(long);
    assert!(other.head_bytes_received(9999));
}

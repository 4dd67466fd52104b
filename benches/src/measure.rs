//! Processor time and memory.

use rustix::time::{clock_gettime, ClockId};

/// What allocates, counted.
#[cfg(feature = "count-allocations")]
#[global_allocator]
static COUNTED: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// Seconds of processor time that this thread has used: what others do on a shared machine counts little.
pub fn cpu() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 * 1e-9
}

/// Bytes that are allocated now; nought without the feature `count-allocations`.
pub fn held() -> i64 {
    #[cfg(feature = "count-allocations")]
    {
        let stats = COUNTED.stats();
        stats.bytes_allocated as i64 - stats.bytes_deallocated as i64
    }
    #[cfg(not(feature = "count-allocations"))]
    0
}

/// A field of `/proc/self/status` in bytes, such as `VmRSS`; nought where there is none.
pub fn status(field: &str) -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(field)?.strip_prefix(':'));
    line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok())
        .unwrap_or(0)
        << 10
}

/// What a step took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Took {
    /// Seconds of processor time.
    pub cpu: f64,
    /// Bytes that are held more than before.
    pub held: i64,
}

/// Does something, and tells what it took.
pub fn took<T>(step: impl FnOnce() -> T) -> (T, Took) {
    let (cpu_before, held_before) = (cpu(), held());
    let result = step();
    (
        result,
        Took {
            cpu: cpu() - cpu_before,
            held: held() - held_before,
        },
    )
}

/// Does something often enough to tell its time: for `least` seconds, or once if that takes longer. Seconds for each.
pub fn each(least: f64, mut step: impl FnMut()) -> f64 {
    let before = cpu();
    let mut times = 0;
    loop {
        step();
        times += 1;
        let spent = cpu() - before;
        if spent >= least {
            return spent / f64::from(times);
        }
    }
}

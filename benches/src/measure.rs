//! Measures processor time and memory.

use rustix::time::{clock_gettime, ClockId};

/// The system allocator, which counts the bytes allocated and deallocated.
#[cfg(feature = "count-allocations")]
#[global_allocator]
static ALLOCATOR: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// Returns the seconds of processor time that this thread has used. Unlike wall-clock time, the
/// figure depends little on other processes of a shared machine.
pub fn thread_cpu_seconds() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 * 1e-9
}

/// Returns the bytes allocated now; 0 without the feature `count-allocations`.
pub fn allocated_bytes() -> i64 {
    #[cfg(feature = "count-allocations")]
    {
        let stats = ALLOCATOR.stats();
        stats.bytes_allocated as i64 - stats.bytes_deallocated as i64
    }
    #[cfg(not(feature = "count-allocations"))]
    0
}

/// Returns a field of `/proc/self/status` in bytes, such as `VmRSS`; 0 if the field is missing.
pub fn process_status_bytes(field: &str) -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(field)?.strip_prefix(':'));
    line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok())
        .unwrap_or(0)
        << 10
}

/// The cost of a step.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Seconds of processor time.
    pub cpu: f64,
    /// Bytes allocated after the step, less the bytes allocated before.
    pub allocated_bytes: i64,
}

/// Runs a step and returns its result and cost.
pub fn cost_of<T>(step: impl FnOnce() -> T) -> (T, Cost) {
    let (cpu_before, allocated_before) = (thread_cpu_seconds(), allocated_bytes());
    let result = step();
    (
        result,
        Cost {
            cpu: thread_cpu_seconds() - cpu_before,
            allocated_bytes: allocated_bytes() - allocated_before,
        },
    )
}

/// Repeats a step for `min_seconds` of processor time, at least once, and returns the mean seconds
/// of a run.
pub fn mean_cpu_seconds(min_seconds: f64, mut step: impl FnMut()) -> f64 {
    let before = thread_cpu_seconds();
    let mut runs = 0;
    loop {
        step();
        runs += 1;
        let spent = thread_cpu_seconds() - before;
        if spent >= min_seconds {
            return spent / f64::from(runs);
        }
    }
}

//! Estimators of load and health for a load balancer: decaying scores, service times, concurrency
//! limits, backpressure and the bookkeeping around them.
//!
//! The types here summarise recent observations; decisions are up to the caller. None of them reads
//! a clock or does I/O: each method that depends on time takes `now`, in milliseconds on the
//! caller's clock.

mod backend;
mod backpressure;
mod bounds;
mod concurrency_limit;
mod decay;
mod evicting_map;
mod health;
mod in_flight;
mod metered_usage;
mod random;
mod retry_budget;
mod scheduling_delay;
mod service_time;
mod shared_balance;
mod slow_start;
mod token_bucket;

pub use backend::{AttemptEnd, AttemptResult, BackendEstimator, Finished};
pub use backpressure::Backpressure;
pub use bounds::clamp_or;
pub use concurrency_limit::ConcurrencyLimit;
pub use decay::Decaying;
pub use evicting_map::EvictingMap;
pub use health::{EjectionChange, HealthScore};
pub use in_flight::Attempt;
pub use metered_usage::{MeteredUsage, Usage};
pub use random::{uniform, RankedDraws};
pub use retry_budget::{RetryBudget, RetryLimits};
pub use scheduling_delay::SchedulingDelay;
pub use service_time::{ServiceTime, ServiceTimePrior};
pub use shared_balance::{BalanceBounds, SharedBalance, SharedBalances, UsageReport};
pub use slow_start::SlowStart;
pub use token_bucket::TokenBucket;

/// A point in time or a span, in milliseconds on the caller's clock.
pub type Millis = f64;

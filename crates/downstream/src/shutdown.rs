//! Phases of a graceful shutdown.

/// The phase of a graceful shutdown. The listener stays open in all phases, since a load balancer
/// in front continues to open connections until it has noticed the shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// No shutdown has begun.
    #[default]
    Serving,
    /// Responses close their connections; idle connections stay open.
    ClosingAfterResponse,
    /// Idle connections are closed too.
    ClosingIdle,
}

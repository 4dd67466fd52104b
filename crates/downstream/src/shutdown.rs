//! Phases of a graceful shutdown.

/// How far a graceful shutdown has come. The listener stays open in all of them: a load balancer in front goes on sending
/// connections until it has noticed.
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

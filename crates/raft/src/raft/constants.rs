//! Timing and bounds of a node. All durations are in milliseconds.
//!
//! The timing keeps the order that Raft requires (paper, 5.6): heartbeats are several times more frequent than the
//! election timeout.

/// Milliseconds on the caller's monotonic clock.
pub(super) type Millis = f64;

/// A leader sends to each peer at least this often.
pub(super) const HEARTBEAT_INTERVAL: Millis = 100.0;
/// A heartbeat is due this much early, since ticks do not come at exact times.
pub(super) const TICK_TOLERANCE: Millis = 10.0;
/// A node that has heard from a leader more recently than this neither starts an election nor grants a pre-vote.
pub(super) const MIN_ELECTION_TIMEOUT: Millis = 600.0;
/// Upper bound of the random addition to [`MIN_ELECTION_TIMEOUT`].
pub(super) const ELECTION_TIMEOUT_SPREAD: Millis = 600.0;
/// A node that has just started asks for pre-votes after this, or up to four times as long. It may be this short: where
/// there is a leader, nobody grants a pre-vote.
pub(super) const FIRST_PRE_VOTE_DELAY: Millis = 80.0;
/// A pre-vote that failed is repeated after this, or up to three times as long; an election that failed after twice
/// this and up to [`ELECTION_TIMEOUT_SPREAD`] more.
pub(super) const ELECTION_RETRY_INTERVAL: Millis = 150.0;
/// A leader whose last proven contact with a quorum is older than this steps down, and no node reports quorum contact
/// for longer than this after the last proof.
pub(super) const QUORUM_CONTACT_TIMEOUT: Millis = 1000.0;
/// A node that is no member and hears no leader asks this often to be sent the log.
pub(super) const JOIN_REQUEST_INTERVAL: Millis = 250.0;
/// A message without a response is sent again after this.
pub(super) const RESEND_TIMEOUT: Millis = 400.0;
/// A successful response triggers further entries only if the last message to that peer is at least this old.
pub(super) const MIN_SEND_INTERVAL: Millis = 1.0;
/// A learner that has not been heard from for this long is forgotten.
pub(super) const LEARNER_EXPIRY: Millis = 30.0 * QUORUM_CONTACT_TIMEOUT;

/// Approximate bytes of entries in one message.
pub(super) const MAX_BATCH_BYTES: usize = 1 << 20;
/// Nodes that a leader replicates to without a vote; join requests beyond are ignored.
pub(super) const MAX_LEARNERS: usize = 16;
/// Exclusive upper bound of terms and indexes; messages beyond are ignored, so that no sum overflows.
pub(super) const MAX_TERM_OR_INDEX: u64 = 1 << 62;
/// Reads that wait for confirmation; further ones are rejected.
pub(super) const MAX_PENDING_READS: usize = 1024;
/// Messages that wait for the disk; further ones are dropped, as if lost by the network.
pub(super) const MAX_DEFERRED_MESSAGES: usize = 4096;
/// Sequence numbers whose send time is remembered; older ones prove no contact.
pub(super) const MAX_SEND_TIMES: usize = 4096;

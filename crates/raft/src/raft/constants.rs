//! Timing and bounds of a node. All durations are in milliseconds.
//!
//! The timing meets Raft's requirement (paper, 5.6): the heartbeat interval is several times
//! shorter than the election timeout.

/// Milliseconds on the caller's monotonic clock.
pub(super) type Millis = f64;

/// A leader sends a message to each peer at least this often.
pub(super) const HEARTBEAT_INTERVAL: Millis = 100.0;
/// A heartbeat is sent up to this much early, since ticks do not come at exact times.
pub(super) const TICK_TOLERANCE: Millis = 10.0;
/// A node that has received a leader's message more recently than this neither starts an election
/// nor grants a pre-vote.
pub(super) const MIN_ELECTION_TIMEOUT: Millis = 600.0;
/// Upper bound of the random addition to [`MIN_ELECTION_TIMEOUT`].
pub(super) const ELECTION_TIMEOUT_SPREAD: Millis = 600.0;
/// A node that has just started requests pre-votes after a random time from this delay to four
/// times as long. The delay can be short because nodes that have a leader grant no pre-vote.
pub(super) const FIRST_PRE_VOTE_DELAY: Millis = 80.0;
/// A failed pre-vote is repeated after a random time from this interval to three times as long; a
/// failed election after twice this interval and up to [`ELECTION_TIMEOUT_SPREAD`] more.
pub(super) const ELECTION_RETRY_INTERVAL: Millis = 150.0;
/// A leader whose last proven contact with a quorum is older than this steps down, and no node
/// reports quorum contact for longer than this after the last proof.
pub(super) const QUORUM_CONTACT_TIMEOUT: Millis = 1000.0;
/// Interval of join requests from a node that is not a member and receives no leader messages.
pub(super) const JOIN_REQUEST_INTERVAL: Millis = 250.0;
/// A message without a response is sent again after this time.
pub(super) const RESEND_TIMEOUT: Millis = 400.0;
/// A successful response of a peer causes further entries to be sent only if the last message to
/// that peer is at least this old.
pub(super) const MIN_SEND_INTERVAL: Millis = 1.0;
/// A learner that has sent no message for this long is removed.
pub(super) const LEARNER_EXPIRY: Millis = 30.0 * QUORUM_CONTACT_TIMEOUT;

/// Approximate maximum of entry bytes in one message.
pub(super) const MAX_BATCH_BYTES: usize = 1 << 20;
/// Maximum number of learners of a leader; join requests of further ones are ignored.
pub(super) const MAX_LEARNERS: usize = 16;
/// Exclusive upper bound of terms and indexes; messages beyond it are ignored, so that no sum
/// overflows.
pub(super) const MAX_TERM_OR_INDEX: u64 = 1 << 62;
/// Maximum number of reads that wait for confirmation; further ones are rejected.
pub(super) const MAX_PENDING_READS: usize = 1024;
/// Maximum number of messages deferred until a write is persisted; further ones are dropped, as if
/// lost by the network.
pub(super) const MAX_DEFERRED_MESSAGES: usize = 4096;
/// Number of sequence numbers whose send time is kept; older ones prove no contact.
pub(super) const MAX_SEND_TIMES: usize = 4096;

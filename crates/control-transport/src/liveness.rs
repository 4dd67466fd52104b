//! Liveness of a connection: of both directions, and of the process at the other end. A state
//! machine without I/O.
//!
//! Received data prove one direction only, and a successful write proves nothing, since the kernel
//! only buffers the data. Each end therefore sends a numbered ping at least every
//! [`PING_INTERVAL`], and responds to each ping with a pong of the same number. A pong proves that
//! the ping arrived, that the process at the other end read it, and that the pong came back.
//!
//! **The bound.** An end considers the connection dead once the last acknowledged ping is older
//! than [`PONG_TIMEOUT`] + [`PING_INTERVAL`], counted from when that ping was *sent*. A connection
//! that no longer carries data in one direction, or whose peer is frozen, is therefore detected as
//! dead at both ends within 2.5 s. A connection that delivers everything within `PONG_TIMEOUT / 2`
//! each way stays alive.
//!
//! **No older message is delivered.** A message that arrives after the pong for a ping was sent
//! after that ping. Since any message that arrives after the bound is an error, every delivered
//! message was sent at most `PONG_TIMEOUT + PING_INTERVAL` earlier. A process that was frozen for
//! longer therefore delivers nothing that its sockets buffered meanwhile.
//!
//! **Which of two connections is the later.** The acceptor pings as soon as it has read the hello,
//! and delivers nothing before the pong; the initiator sends nothing but its hello before that
//! ping. Connections are numbered in the order in which their hellos were read. The pong on
//! connection n shows that the process was alive, and still read that connection, after hello n had
//! been read. A process does not read a connection that it has closed, and of one machine's
//! incarnations only the last one runs. So once a connection with a higher number has been
//! verified, the remaining data on connection n is stale, whichever incarnation its hello names.
//! Neither synchronized clocks nor ordered incarnations are needed ([`crate::fencing`]).

use std::collections::VecDeque;

/// Milliseconds on the caller's monotonic clock.
pub type Millis = f64;

/// Maximum time between two pings.
pub const PING_INTERVAL: Millis = 500.0;
/// Time after which an unacknowledged ping ends the connection. Together with [`PING_INTERVAL`]
/// this is the bound within which an end detects a dead connection.
pub const PONG_TIMEOUT: Millis = 2000.0;
/// Fraction of [`PING_INTERVAL`] after which a ping is sent with other data.
const PIGGYBACK_FRACTION: f64 = 0.7;
/// Maximum number of unacknowledged pings that are kept: twice as many as are due before the oldest
/// ends the connection.
const MAX_UNACKNOWLEDGED_PINGS: usize =
    (2.0 * (PONG_TIMEOUT + PING_INTERVAL) / PING_INTERVAL) as usize;

/// Which end of a connection this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The end that opened the connection, and sends its hello first.
    Initiator,
    /// The end that accepted the connection, and waits for a hello.
    Acceptor,
}

/// The kind of a received message, as far as it is relevant to liveness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// A hello.
    Hello,
    /// The peer's ping of this number.
    Ping(u64),
    /// The pong for this end's ping of this number, and for all before it.
    Pong(u64),
    /// Any other message.
    Other,
}

/// The actions that a received message requires.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// Send this pong, before anything else.
    pub pong: Option<u64>,
    /// Send this ping.
    pub ping: Option<u64>,
    /// The connection is established by this message: the peer is alive, and messages may be
    /// delivered from now on.
    pub established: bool,
    /// Deliver the message.
    pub deliver: bool,
}

/// The reason why a connection is dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LivenessError {
    /// The peer has acknowledged no ping that was sent within the bound.
    #[error("why=timeout")]
    Timeout,
    /// No hello has arrived within [`PONG_TIMEOUT`].
    #[error("why=hello_timeout")]
    HelloTimeout,
    /// A message arrived that is not allowed at this stage.
    #[error("why=unexpected_message")]
    UnexpectedMessage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The acceptor waits for a hello.
    AwaitingHello,
    /// The initiator has sent its hello and waits for the first ping, or the acceptor has sent that
    /// ping and waits for the pong.
    AwaitingProof,
    Established,
}

#[derive(Clone, Copy, Debug)]
struct SentPing {
    number: u64,
    sent_at: Millis,
}

/// One end of a connection.
#[derive(Clone, Debug)]
pub struct Liveness {
    side: Side,
    stage: Stage,
    /// When the last acknowledged ping was sent; before the first acknowledgement, when this end
    /// began to wait.
    proven_at: Millis,
    /// The last ping; number zero before the first.
    last_ping: SentPing,
    /// Pings without a pong, oldest first.
    unacknowledged: VecDeque<SentPing>,
}

impl Liveness {
    /// Creates the state of a connection that was opened or accepted just now.
    pub fn new(side: Side, now: Millis) -> Liveness {
        let stage = match side {
            Side::Initiator => Stage::AwaitingProof,
            Side::Acceptor => Stage::AwaitingHello,
        };
        Liveness {
            side,
            stage,
            proven_at: now,
            last_ping: SentPing {
                number: 0,
                sent_at: now,
            },
            unacknowledged: VecDeque::new(),
        }
    }

    /// Returns whether the connection is established.
    pub fn is_established(&self) -> bool {
        self.stage == Stage::Established
    }

    /// Returns the time by which [`Liveness::tick`] must be called.
    pub fn next_deadline(&self) -> Millis {
        let dead_at = self.proven_at + self.timeout();
        if self.is_established() {
            dead_at.min(self.last_ping.sent_at + PING_INTERVAL)
        } else {
            dead_at
        }
    }

    /// Checks the deadlines. Returns the number of a ping to send, if one is due.
    ///
    /// # Errors
    ///
    /// Returns [`LivenessError`] if the connection is dead.
    pub fn tick(&mut self, now: Millis) -> Result<Option<u64>, LivenessError> {
        self.check_timeout(now)?;
        let due = self.is_established() && now >= self.last_ping.sent_at + PING_INTERVAL;
        Ok(due.then(|| self.next_ping(now)))
    }

    /// Returns the number of a ping to send with other data that are about to be written, if one is
    /// due soon.
    pub fn piggyback_ping(&mut self, now: Millis) -> Option<u64> {
        let due_soon = self.is_established()
            && now >= self.last_ping.sent_at + PING_INTERVAL * PIGGYBACK_FRACTION;
        due_soon.then(|| self.next_ping(now))
    }

    /// Processes a received message. Returns the actions that it requires.
    ///
    /// # Errors
    ///
    /// Returns [`LivenessError`] if the connection is dead, or the message is not allowed at this
    /// stage.
    pub fn received(&mut self, now: Millis, message: Received) -> Result<Actions, LivenessError> {
        self.check_timeout(now)?;
        match self.stage {
            Stage::AwaitingHello => self.received_before_hello(now, message),
            Stage::AwaitingProof => self.received_before_proof(now, message),
            Stage::Established => self.received_when_established(message),
        }
    }

    fn received_before_hello(
        &mut self,
        now: Millis,
        message: Received,
    ) -> Result<Actions, LivenessError> {
        if message != Received::Hello {
            return Err(LivenessError::UnexpectedMessage);
        }
        self.stage = Stage::AwaitingProof;
        self.proven_at = now;
        Ok(Actions {
            ping: Some(self.next_ping(now)),
            ..Actions::default()
        })
    }

    fn received_before_proof(
        &mut self,
        now: Millis,
        message: Received,
    ) -> Result<Actions, LivenessError> {
        match (self.side, message) {
            (Side::Initiator, Received::Ping(number)) => {
                self.stage = Stage::Established;
                self.proven_at = now;
                Ok(Actions {
                    pong: Some(number),
                    ping: Some(self.next_ping(now)),
                    established: true,
                    deliver: false,
                })
            }
            (Side::Acceptor, Received::Pong(number)) if self.acknowledge(number) => {
                self.stage = Stage::Established;
                Ok(Actions {
                    established: true,
                    ..Actions::default()
                })
            }
            _ => Err(LivenessError::UnexpectedMessage),
        }
    }

    fn received_when_established(&mut self, message: Received) -> Result<Actions, LivenessError> {
        match message {
            Received::Hello => Err(LivenessError::UnexpectedMessage),
            Received::Ping(number) => Ok(Actions {
                pong: Some(number),
                ..Actions::default()
            }),
            Received::Pong(number) => {
                self.acknowledge(number);
                Ok(Actions::default())
            }
            Received::Other => Ok(Actions {
                deliver: true,
                ..Actions::default()
            }),
        }
    }

    /// Time after `proven_at` at which the connection is dead.
    fn timeout(&self) -> Millis {
        if self.is_established() {
            PONG_TIMEOUT + PING_INTERVAL
        } else {
            PONG_TIMEOUT
        }
    }

    fn check_timeout(&self, now: Millis) -> Result<(), LivenessError> {
        if now < self.proven_at + self.timeout() {
            return Ok(());
        }
        Err(if self.stage == Stage::AwaitingHello {
            LivenessError::HelloTimeout
        } else {
            LivenessError::Timeout
        })
    }

    fn next_ping(&mut self, now: Millis) -> u64 {
        self.last_ping = SentPing {
            number: self.last_ping.number + 1,
            sent_at: now,
        };
        if self.unacknowledged.len() < MAX_UNACKNOWLEDGED_PINGS {
            self.unacknowledged.push_back(self.last_ping);
        }
        self.last_ping.number
    }

    /// Processes a pong, which acknowledges its ping and all before it. Returns whether any of
    /// these was unacknowledged.
    fn acknowledge(&mut self, number: u64) -> bool {
        let mut any_acknowledged = false;
        while let Some(ping) = self.unacknowledged.front().copied() {
            if ping.number > number {
                break;
            }
            self.unacknowledged.pop_front();
            self.proven_at = self.proven_at.max(ping.sent_at);
            any_acknowledged = true;
        }
        any_acknowledged
    }
}

//! Whether a link lives: both directions of it, and the process at its other end. A state machine without I/O.
//!
//! What has been read proves one direction only, and what the system has taken to send proves nothing. So each end sends a
//! numbered ping at least every [`PING`] and answers each ping with its echo. An echo proves that this end's ping went
//! over, that the process there read it, and that its answer came back.
//!
//! **The bound.** An end takes the link for dead once the last ping that was answered is older than [`DEAD`] + [`PING`],
//! counted from when that ping was *sent*. So a link that no longer carries one of its directions, or whose other end stands
//! still, is known dead by both ends within `DEAD + PING` (2.5 s). One that carries everything within `DEAD / 2` each way stays
//! alive.
//!
//! **Nothing older is taken.** What comes after the echo of a ping was sent after that ping. As an input that comes later than the
//! bound is refused, whatever is taken from a link was sent at most `DEAD + PING` before. So a process that was frozen takes nothing of
//! what piled up in its sockets in the mean time, if that was longer.
//!
//! **Which of two links is the later.** Who accepts a link pings as soon as it has read its hello, and takes nothing until the echo
//! has come; who dials says nothing but its hello until that ping has come. Links are numbered in the order in which their hellos
//! were read. The echo of link n shows that its process lived, and still read that link, after hello n was read. A process reads no link
//! that it has given up, and of one machine's lives only the last runs: so if a link of a higher number has been taken, what is left of
//! link n is old, whatever its hello says of its life. Neither a clock nor an order of lives is needed.

/// Milliseconds on the caller's steady clock.
pub type Millis = f64;

/// A ping is sent this often at least.
pub const PING_INTERVAL: Millis = 500.0;
/// A ping that has not been answered for this long ends the link; with [`PING`] it is the bound within which an end knows.
pub const PONG_TIMEOUT: Millis = 2000.0;
/// Part of [`PING`] after which a ping goes with what is written anyway.
const RIDES: f64 = 0.7;
/// Pings that may be out at once: as many as are sent before the oldest ends the link.
const MOST_OUT: usize = (2.0 * (PONG_TIMEOUT + PING_INTERVAL) / PING_INTERVAL) as usize;

/// Which end of a link this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// It has opened the link, and says its hello first.
    Initiator,
    /// It waits for a hello.
    Acceptor,
}

/// What has come, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// A hello.
    Hello,
    /// A ping of this number.
    Ping(u64),
    /// The echo of this ping of this end's.
    Pong(u64),
    /// Anything else.
    Other,
}

/// What is to be done about what has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// Send this echo, before anything else.
    pub pong: Option<u64>,
    /// Send this ping.
    pub ping: Option<u64>,
    /// The link is up from here on: the other end is there, and what it says may be taken.
    pub established: bool,
    /// Pass on what has come.
    pub deliver: bool,
}

/// Why a link is dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessError {
    /// The other end has answered nothing that was sent within the bound.
    Unanswered,
    /// No hello has come within [`DEAD`].
    NoHello,
    /// Something came before its turn.
    UnexpectedMessage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A hello is awaited.
    Hello,
    /// This end's hello is out (who dials), or its first ping (who accepts).
    Proof,
    Up,
}

/// One end of a link.
#[derive(Clone, Debug)]
pub struct Liveness {
    side: Side,
    stage: Stage,
    /// When the last ping that was answered was sent; before there is one, when this end began to wait.
    proven: Millis,
    /// Number of the last ping, and when it was sent.
    last: (u64, Millis),
    /// Number and time of each ping that is out.
    out: std::collections::VecDeque<(u64, Millis)>,
}

impl Liveness {
    /// A link that has just been made.
    pub fn new(side: Side, now: Millis) -> Liveness {
        let stage = if side == Side::Initiator {
            Stage::Proof
        } else {
            Stage::Hello
        };
        Liveness {
            side,
            stage,
            proven: now,
            last: (0, now),
            out: Default::default(),
        }
    }

    /// Whether the link is up.
    pub fn is_established(&self) -> bool {
        self.stage == Stage::Up
    }

    /// When [`Liveness::tick`] is to be called, at the latest.
    pub fn next_deadline(&self) -> Millis {
        let dead = self.proven + self.allowed();
        if self.is_established() {
            dead.min(self.last.1 + PING_INTERVAL)
        } else {
            dead
        }
    }

    /// Time passes. A ping to send, or the end.
    pub fn tick(&mut self, now: Millis) -> Result<Option<u64>, LivenessError> {
        self.check(now)?;
        let due = self.is_established() && now >= self.last.1 + PING_INTERVAL;
        Ok(due.then(|| self.ping(now)))
    }

    /// Something else is about to be written: a ping that goes with it, if one comes due soon.
    pub fn piggyback_ping(&mut self, now: Millis) -> Option<u64> {
        (self.is_established() && now >= self.last.1 + PING_INTERVAL * RIDES)
            .then(|| self.ping(now))
    }

    /// Something has come.
    pub fn received(&mut self, now: Millis, came: Received) -> Result<Actions, LivenessError> {
        self.check(now)?;
        match (self.stage, self.side, came) {
            (Stage::Hello, _, Received::Hello) => {
                (self.stage, self.proven) = (Stage::Proof, now);
                Ok(Actions {
                    ping: Some(self.ping(now)),
                    ..Actions::default()
                })
            }
            (Stage::Proof, Side::Initiator, Received::Ping(number)) => {
                (self.stage, self.proven) = (Stage::Up, now);
                let ping = Some(self.ping(now));
                Ok(Actions {
                    pong: Some(number),
                    ping,
                    established: true,
                    deliver: false,
                })
            }
            (Stage::Proof, Side::Acceptor, Received::Pong(number)) if self.echoed(number) => {
                self.stage = Stage::Up;
                Ok(Actions {
                    established: true,
                    ..Actions::default()
                })
            }
            (Stage::Up, _, Received::Ping(number)) => Ok(Actions {
                pong: Some(number),
                ..Actions::default()
            }),
            (Stage::Up, _, Received::Pong(number)) => {
                self.echoed(number);
                Ok(Actions::default())
            }
            (Stage::Up, _, Received::Other) => Ok(Actions {
                deliver: true,
                ..Actions::default()
            }),
            _ => Err(LivenessError::UnexpectedMessage),
        }
    }

    fn allowed(&self) -> Millis {
        if self.is_established() {
            PONG_TIMEOUT + PING_INTERVAL
        } else {
            PONG_TIMEOUT
        }
    }

    fn check(&self, now: Millis) -> Result<(), LivenessError> {
        if now < self.proven + self.allowed() {
            return Ok(());
        }
        Err(if self.stage == Stage::Hello {
            LivenessError::NoHello
        } else {
            LivenessError::Unanswered
        })
    }

    fn ping(&mut self, now: Millis) -> u64 {
        self.last = (self.last.0 + 1, now);
        if self.out.len() < MOST_OUT {
            self.out.push_back(self.last);
        }
        self.last.0
    }

    /// An echo answers its ping and all before it; tells whether any was out.
    fn echoed(&mut self, number: u64) -> bool {
        let mut any = false;
        while let Some((_, sent)) = self.out.front().copied().filter(|(out, _)| *out <= number) {
            self.out.pop_front();
            self.proven = self.proven.max(sent);
            any = true;
        }
        any
    }
}

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
pub const PING: Millis = 500.0;
/// A ping that has not been answered for this long ends the link; with [`PING`] it is the bound within which an end knows.
pub const DEAD: Millis = 2000.0;
/// Part of [`PING`] after which a ping goes with what is written anyway.
const RIDES: f64 = 0.7;
/// Pings that may be out at once: as many as are sent before the oldest ends the link.
const MOST_OUT: usize = (2.0 * (DEAD + PING) / PING) as usize;

/// Which end of a link this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// It has opened the link, and says its hello first.
    Dials,
    /// It waits for a hello.
    Accepts,
}

/// What has come, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// A hello.
    Hello,
    /// A ping of this number.
    Ping(u64),
    /// The echo of this ping of this end's.
    Echo(u64),
    /// Anything else.
    Other,
}

/// What is to be done about what has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Todo {
    /// Send this echo, before anything else.
    pub echo: Option<u64>,
    /// Send this ping.
    pub ping: Option<u64>,
    /// The link is up from here on: the other end is there, and what it says may be taken.
    pub up: bool,
    /// Pass on what has come.
    pub take: bool,
}

/// Why a link is dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dead {
    /// The other end has answered nothing that was sent within the bound.
    Unanswered,
    /// No hello has come within [`DEAD`].
    NoHello,
    /// Something came before its turn.
    Order,
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
        let stage = if side == Side::Dials {
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
    pub fn is_up(&self) -> bool {
        self.stage == Stage::Up
    }

    /// When [`Liveness::tick`] is to be called, at the latest.
    pub fn due(&self) -> Millis {
        let dead = self.proven + self.allowed();
        if self.is_up() {
            dead.min(self.last.1 + PING)
        } else {
            dead
        }
    }

    /// Time passes. A ping to send, or the end.
    pub fn tick(&mut self, now: Millis) -> Result<Option<u64>, Dead> {
        self.check(now)?;
        let due = self.is_up() && now >= self.last.1 + PING;
        Ok(due.then(|| self.ping(now)))
    }

    /// Something else is about to be written: a ping that goes with it, if one comes due soon.
    pub fn rides(&mut self, now: Millis) -> Option<u64> {
        (self.is_up() && now >= self.last.1 + PING * RIDES).then(|| self.ping(now))
    }

    /// Something has come.
    pub fn came(&mut self, now: Millis, came: Came) -> Result<Todo, Dead> {
        self.check(now)?;
        match (self.stage, self.side, came) {
            (Stage::Hello, _, Came::Hello) => {
                (self.stage, self.proven) = (Stage::Proof, now);
                Ok(Todo {
                    ping: Some(self.ping(now)),
                    ..Todo::default()
                })
            }
            (Stage::Proof, Side::Dials, Came::Ping(number)) => {
                (self.stage, self.proven) = (Stage::Up, now);
                let ping = Some(self.ping(now));
                Ok(Todo {
                    echo: Some(number),
                    ping,
                    up: true,
                    take: false,
                })
            }
            (Stage::Proof, Side::Accepts, Came::Echo(number)) if self.echoed(number) => {
                self.stage = Stage::Up;
                Ok(Todo {
                    up: true,
                    ..Todo::default()
                })
            }
            (Stage::Up, _, Came::Ping(number)) => Ok(Todo {
                echo: Some(number),
                ..Todo::default()
            }),
            (Stage::Up, _, Came::Echo(number)) => {
                self.echoed(number);
                Ok(Todo::default())
            }
            (Stage::Up, _, Came::Other) => Ok(Todo {
                take: true,
                ..Todo::default()
            }),
            _ => Err(Dead::Order),
        }
    }

    fn allowed(&self) -> Millis {
        if self.is_up() {
            DEAD + PING
        } else {
            DEAD
        }
    }

    fn check(&self, now: Millis) -> Result<(), Dead> {
        if now < self.proven + self.allowed() {
            return Ok(());
        }
        Err(if self.stage == Stage::Hello {
            Dead::NoHello
        } else {
            Dead::Unanswered
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

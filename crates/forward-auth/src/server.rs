//! The breaker of one server of the service.

use maplefall_policy::Millis;

/// What is known of a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Server {
    /// Failures in a row.
    failed: u32,
    /// Left alone until then.
    until: Option<Millis>,
    /// How often it was left alone in a row.
    pauses: u32,
    /// The question by which it is being tried again.
    trial: Option<u64>,
    /// Questions that are out there.
    pub out: usize,
}

impl Server {
    /// Whether a question may be put to it: always while it is whole, and one at a time once its pause is over.
    pub fn open(&self, now: Millis) -> bool {
        match self.until {
            None => true,
            Some(until) => now >= until && self.trial.is_none(),
        }
    }

    pub fn ask(&mut self, check: u64) {
        self.out += 1;
        if self.until.is_some() {
            self.trial = Some(check);
        }
    }

    /// An answer, whatever it says, shows that it is whole.
    pub fn answered(&mut self) {
        *self = Server {
            out: self.out.saturating_sub(1),
            ..Server::default()
        };
    }

    /// It failed; a pause of this length, before jitter and growth, is due after so many in a row.
    pub fn failed(&mut self, now: Millis, check: u64, most: u32, pause: impl Fn(u32) -> Millis) {
        self.out = self.out.saturating_sub(1);
        self.failed = self.failed.saturating_add(1);
        let tried = self.trial == Some(check);
        if tried {
            self.trial = None;
        }
        // Those that were out when it was given up say nothing new.
        if tried || (self.until.is_none() && self.failed >= most) {
            self.until = Some(now + pause(self.pauses));
            self.pauses = self.pauses.saturating_add(1);
        }
    }

    /// A question there ended in a way that says nothing of it.
    pub fn dropped(&mut self, check: u64) {
        self.out = self.out.saturating_sub(1);
        if self.trial == Some(check) {
            self.trial = None;
        }
    }
}

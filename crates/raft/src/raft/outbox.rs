//! Messages, and those that are deferred until a write is on disk.
//!
//! Invariant: no message leaves before the term and the identity in it are on disk (paper, figure 2: "updated on stable
//! storage before responding"), and no vote before it is itself.

use super::constants::MAX_DEFERRED_MESSAGES;
use super::{Message, MessageBody, Raft, Ready};

/// A message that waits for the disk.
#[derive(Debug)]
pub(super) struct DeferredMessage {
    /// Number of the write that has to be on disk.
    after_write: u64,
    to: String,
    message: Message,
}

impl Raft {
    /// A message of the present term.
    pub(super) fn message(&self, body: MessageBody) -> Message {
        Message {
            term: self.persistent.term,
            identity: self.local_member.identity,
            body: Some(body),
        }
    }

    /// Sends once the present term and this disk's identity are on disk. An empty `to` means every known node.
    pub(super) fn send_after_term(&mut self, to: &str, body: MessageBody, ready: &mut Ready) {
        let message = self.message(body);
        let after_write = if self.term_write > self.persisted_write {
            self.last_write
        } else {
            0
        };
        self.send_after(after_write, to, message, ready);
    }

    /// Sends once all that was written so far is on disk.
    pub(super) fn send_after_writes(&mut self, to: &str, message: Message, ready: &mut Ready) {
        self.send_after(self.last_write, to, message, ready);
    }

    fn send_after(&mut self, after_write: u64, to: &str, message: Message, ready: &mut Ready) {
        let to = to.to_owned();
        if after_write <= self.persisted_write {
            ready.messages.push((to, message));
        } else if self.deferred_messages.len() < MAX_DEFERRED_MESSAGES {
            self.deferred_messages.push_back(DeferredMessage {
                after_write,
                to,
                message,
            });
        }
    }

    /// Sends what waited for writes up to `persisted_write`. What belongs to an earlier term is dropped, except for
    /// votes.
    pub(super) fn release_deferred_messages(&mut self, ready: &mut Ready) {
        while let Some(deferred) = self.deferred_messages.front() {
            if deferred.after_write > self.persisted_write {
                break;
            }
            let Some(DeferredMessage { to, message, .. }) = self.deferred_messages.pop_front()
            else {
                break;
            };
            let is_vote = matches!(message.body, Some(MessageBody::RequestVoteResponse(_)));
            if message.term >= self.persistent.term || is_vote {
                ready.messages.push((to, message));
            }
        }
    }
}

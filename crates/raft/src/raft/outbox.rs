//! Outgoing messages, and their deferral until a write is persisted.
//!
//! Invariant: no message is sent before the term and the identity in it are persisted (paper,
//! figure 2: "updated on stable storage before responding"), and no vote before the vote itself is
//! persisted.

use super::constants::MAX_DEFERRED_MESSAGES;
use super::{Message, MessageBody, Raft, Ready};

/// A message that waits for a write to be persisted.
#[derive(Debug)]
pub(super) struct DeferredMessage {
    /// Number of the write that must be persisted first.
    after_write: u64,
    to: String,
    message: Message,
}

impl Raft {
    /// Creates a message of the current term.
    pub(super) fn message(&self, body: MessageBody) -> Message {
        Message {
            term: self.persistent.term,
            identity: self.local_member.identity,
            body: Some(body),
        }
    }

    /// Sends a message once the current term and this disk's identity are persisted. An empty `to`
    /// means every known node.
    pub(super) fn send_after_term(&mut self, to: &str, body: MessageBody, ready: &mut Ready) {
        let message = self.message(body);
        let after_write = if self.term_write > self.persisted_write {
            self.last_write
        } else {
            0
        };
        self.send_after(after_write, to, message, ready);
    }

    /// Sends a message once all writes so far are persisted.
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

    /// Sends the messages that waited for writes up to `persisted_write`. Messages of earlier terms
    /// are dropped, except for vote responses.
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

//! The network: loss, delay, corruption of snapshot chunks, and blocked links.

use super::cluster::{InFlight, Traffic};
use super::{Cluster, Variant};
use maplefall_raft::{InstallSnapshot, Message, MessageBody};

/// Maximum number of messages in the sockets of a frozen node; further ones are lost.
const MAX_UNREAD_MESSAGES: usize = 200;

impl Cluster {
    /// Sends a message to one node, or to all where `to` is empty.
    pub(super) fn send(&mut self, from: &str, to: &str, message: &Message) {
        if self.variant != Variant::UnsyncedWrites {
            self.check_message_is_persisted(from, to, message);
        }
        let receivers = if to.is_empty() {
            self.names.clone()
        } else {
            vec![to.to_owned()]
        };
        for to in receivers {
            if to != from {
                self.send_to(from, to, message);
            }
        }
    }

    fn send_to(&mut self, from: &str, to: String, message: &Message) {
        self.messages_sent += 1;
        self.count_traffic(&to, message);
        if self.random_bool(self.loss_rate) || self.is_blocked(from, &to) {
            return;
        }
        let base = 0.5 + f64::from(self.draw(30)) / 10.0;
        let delay = base + if self.random_bool(0.02) { 300.0 } else { 0.0 };
        let message = self.maybe_corrupt(message.clone());
        self.in_flight.push(InFlight {
            arrives_at: self.now + delay,
            from: from.to_owned(),
            to,
            message,
        });
    }

    fn count_traffic(&mut self, to: &str, message: &Message) {
        let bytes = match &message.body {
            Some(MessageBody::InstallSnapshot(install)) => install.chunk.len(),
            Some(MessageBody::AppendEntries(append)) => {
                append.entries.iter().map(|e| e.payload.len()).sum()
            }
            _ => 0,
        };
        let Traffic {
            messages,
            bytes: all,
        } = self.traffic_to(to);
        let traffic = Traffic {
            messages: messages + 1,
            bytes: all + bytes as u64,
        };
        self.traffic.insert(to.to_owned(), traffic);
    }

    /// Returns the traffic that was sent to a node so far.
    pub fn traffic_to(&self, name: &str) -> Traffic {
        self.traffic.get(name).copied().unwrap_or_default()
    }

    fn is_blocked(&self, from: &str, to: &str) -> bool {
        self.blocked_links
            .contains(&(from.to_owned(), to.to_owned()))
    }

    /// Corrupts a chunk of a snapshot with the configured probability.
    fn maybe_corrupt(&mut self, mut message: Message) -> Message {
        if let Some(MessageBody::InstallSnapshot(install)) = &mut message.body {
            if !install.chunk.is_empty()
                && self.corruption_rate > 0.0
                && self.random_bool(self.corruption_rate)
            {
                self.corrupt(install);
            }
        }
        message
    }

    /// Flips a bit of the chunk, and half the time updates the chunk's checksum to match.
    fn corrupt(&mut self, install: &mut InstallSnapshot) {
        let mut bytes = install.chunk.to_vec();
        let position = self.draw(bytes.len() as u32) as usize;
        bytes[position] ^= 0x40;
        if self.random_bool(0.5) {
            install.chunk_checksum = maplefall_raft::checksum(&bytes);
        }
        install.chunk = bytes.into();
    }

    /// Delivers the messages that are due, unless their link was blocked meanwhile.
    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let (arrived, pending): (Vec<InFlight>, Vec<InFlight>) =
            std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|message| message.arrives_at <= now);
        self.in_flight = pending;
        for arrived in arrived {
            if !self.is_blocked(&arrived.from, &arrived.to) {
                self.receive(arrived);
            }
        }
    }

    fn receive(&mut self, arrived: InFlight) {
        let InFlight {
            from, to, message, ..
        } = arrived;
        let now = self.now;
        match self.nodes.get_mut(&to) {
            Some(node) if node.frozen_until > now => {
                if node.unread.len() < MAX_UNREAD_MESSAGES {
                    node.unread.push((from, message));
                }
            }
            _ => self.input(&to, |raft, now, ready| {
                raft.step(now, &from, message, ready);
            }),
        }
    }

    // ---- Links --------------------------------------------------------------------------------------

    /// Blocks the link in both directions.
    pub(super) fn block_between(&mut self, a: &str, b: &str) {
        self.block_one_direction(a, b);
        self.block_one_direction(b, a);
    }

    pub(super) fn block_one_direction(&mut self, from: &str, to: &str) {
        self.blocked_links.insert((from.to_owned(), to.to_owned()));
    }

    /// Extends existing partitions of other machines to a new machine.
    pub(super) fn extend_partitions_to(&mut self, name: &str) {
        let partitioned: Vec<_> = self
            .nodes
            .iter()
            .filter(|(other, _)| *other != name)
            .filter_map(|(other, node)| Some((other.clone(), node.partition?.direction)))
            .collect();
        for (other, direction) in partitioned {
            if direction.blocks_outgoing() {
                self.block_one_direction(&other, name);
            }
            if direction.blocks_incoming() {
                self.block_one_direction(name, &other);
            }
        }
    }

    /// Repairs all links.
    pub fn heal_partitions(&mut self) {
        self.blocked_links.clear();
        for node in self.nodes.values_mut() {
            node.partition = None;
        }
    }
}

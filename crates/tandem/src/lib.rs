//! Agreement among exchanges on one order of changes: a log with a leader, for a handful of nodes. Named after the tandem
//! exchange, which joins other exchanges.
//!
//! The rules are those of "In Search of an Understandable Consensus Algorithm" (Ongaro, Ousterhout 2014): terms, votes by
//! majority, entries that count once a majority has them on disk. Besides: a node asks whether it would be elected before
//! it stands; a leader that does not hear from a majority steps down; a read is confirmed by a round of the leader; and a node that
//! has lost its disk neither votes nor counts until it has been readmitted by an entry that was agreed without it.
//!
//! [`Tandem`] does no I/O. It takes ticks, messages and the word that writes are on disk, and returns what to write, what to
//! send and what is agreed. What may be said only once something is on disk is held back in here.

mod message;
mod node;

pub use message::{Entry, EntryKind, Message, Record, Snapshot, What};
pub use node::{Durable, Out, Tandem};

//! Messages of the `Watch` service.

use crate::kv::{Event, ResponseHeader};
use prost::{Message, Oneof};

/// A client's message on a watch stream.
#[derive(Clone, PartialEq, Message)]
pub struct WatchRequest {
    /// The request.
    #[prost(oneof = "watch_request::Union", tags = "1, 2, 3")]
    pub union: Option<watch_request::Union>,
}

/// The variants of [`WatchRequest`].
pub mod watch_request {
    /// A client's request.
    #[derive(Clone, PartialEq, super::Oneof)]
    pub enum Union {
        /// Creates a watch (`create_request`).
        #[prost(message, tag = "1")]
        Create(super::WatchCreateRequest),
        /// Cancels a watch (`cancel_request`).
        #[prost(message, tag = "2")]
        Cancel(super::WatchCancelRequest),
        /// Requests a progress notification (`progress_request`).
        #[prost(message, tag = "3")]
        Progress(super::WatchProgressRequest),
    }
}

/// Creates a watch.
#[derive(Clone, PartialEq, Message)]
pub struct WatchCreateRequest {
    /// First key of the range.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// End of the range, as in [`RangeRequest::range_end`](crate::RangeRequest::range_end).
    #[prost(bytes = "vec", tag = "2")]
    pub range_end: Vec<u8>,
    /// Revision to watch from, inclusive; 0 for the current one.
    #[prost(int64, tag = "3")]
    pub start_revision: i64,
    /// Whether empty responses report the progress while there are no events.
    #[prost(bool, tag = "4")]
    pub progress_notify: bool,
    /// Whether events include the previous keys.
    #[prost(bool, tag = "6")]
    pub prev_kv: bool,
    /// Id of the watch; 0 lets the member choose one.
    #[prost(int64, tag = "7")]
    pub watch_id: i64,
    /// Whether large responses may be split.
    #[prost(bool, tag = "8")]
    pub fragment: bool,
}

/// Cancels a watch.
#[derive(Clone, PartialEq, Message)]
pub struct WatchCancelRequest {
    /// Id of the watch.
    #[prost(int64, tag = "1")]
    pub watch_id: i64,
}

/// Requests a progress notification for all watches of the stream.
#[derive(Clone, PartialEq, Message)]
pub struct WatchProgressRequest {}

/// A member's message on a watch stream.
#[derive(Clone, PartialEq, Message)]
pub struct WatchResponse {
    /// Response header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<ResponseHeader>,
    /// Id of the watch; -1 for all of the stream, in response to a [`WatchProgressRequest`].
    #[prost(int64, tag = "2")]
    pub watch_id: i64,
    /// Whether the watch was created by this message.
    #[prost(bool, tag = "3")]
    pub created: bool,
    /// Whether the watch was cancelled by this message.
    #[prost(bool, tag = "4")]
    pub canceled: bool,
    /// If the watch was cancelled because its revision is compacted: the oldest revision that can
    /// be watched; else 0.
    #[prost(int64, tag = "5")]
    pub compact_revision: i64,
    /// Reason of the cancellation.
    #[prost(string, tag = "6")]
    pub cancel_reason: String,
    /// Whether the next message continues this one.
    #[prost(bool, tag = "7")]
    pub fragment: bool,
    /// Events, in the order of their revisions.
    #[prost(message, repeated, tag = "11")]
    pub events: Vec<Event>,
}

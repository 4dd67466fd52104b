//! What the measurements share: items, beats and words that are made up, in the shape and length that the platform shows; the
//! processor time of this thread and the memory that it holds; and a group of exchanges in one process, without sockets.

pub mod group;
pub mod made;
pub mod measure;

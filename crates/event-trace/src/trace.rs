//! A complete trace and its text form: JSON lines, first the [`Header`], then the [`Event`]s in the
//! order of their times.

use crate::event::Event;
use crate::header::{Header, VERSION};

/// A complete trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The header, which is the first line.
    pub header: Header,
    /// The events; their times never decrease.
    pub events: Vec<Event>,
}

/// The reason why a text is not a trace.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The text is empty.
    #[error("line 1: expected a header, but the trace is empty")]
    Empty,
    /// The header has another version of the format.
    #[error("line 1: unsupported trace version {0}; expected {VERSION}")]
    Version(u32),
    /// A line cannot be parsed.
    #[error("line {line}: {error}")]
    Event {
        /// Line number, from 1.
        line: usize,
        /// Error of the JSON parser.
        error: serde_json::Error,
    },
    /// The time of a line is earlier than that of the line above.
    #[error("line {0}: its time is earlier than that of the line above")]
    Order(usize),
}

impl Trace {
    /// Returns the trace as text, one JSON object per line.
    ///
    /// # Errors
    /// Fails if a number is not finite; a [`Recorder`](crate::Recorder) records none.
    pub fn to_text(&self) -> Result<String, serde_json::Error> {
        let mut text = serde_json::to_string(&self.header)?;
        text.push('\n');
        for event in &self.events {
            text.push_str(&serde_json::to_string(event)?);
            text.push('\n');
        }
        Ok(text)
    }

    /// Parses the text of a trace.
    ///
    /// # Errors
    /// Returns the first line that cannot be parsed, has another version, or goes back in time.
    pub fn from_text(text: &str) -> Result<Trace, TraceError> {
        let mut lines = text.lines();
        let first = lines.next().ok_or(TraceError::Empty)?;
        let header: Header =
            serde_json::from_str(first).map_err(|error| TraceError::Event { line: 1, error })?;
        if header.version != VERSION {
            return Err(TraceError::Version(header.version));
        }
        let mut trace = Trace {
            header,
            events: Vec::new(),
        };
        for (index, text) in lines.enumerate() {
            let event: Event = serde_json::from_str(text).map_err(|error| TraceError::Event {
                line: index + 2,
                error,
            })?;
            if trace.events.last().is_some_and(|last| event.at < last.at) {
                return Err(TraceError::Order(index + 2));
            }
            trace.events.push(event);
        }
        Ok(trace)
    }
}

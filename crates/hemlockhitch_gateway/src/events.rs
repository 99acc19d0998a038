//! Splits a stream into complete events.

use bytes::{Bytes, BytesMut};

/// One complete event, with the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// The event's id, if it has a numeric one.
    pub(crate) id: Option<u64>,
    /// Whether it has only comments.
    pub(crate) is_comment: bool,
    /// The event as it was received.
    pub(crate) bytes: Bytes,
}

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Appends received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub(crate) fn next_event(&mut self) -> Option<Event> {
        let end = find_event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = parse_event_id(&bytes);
        let mut lines = bytes.split(|byte| matches!(byte, b'\r' | b'\n'));
        let is_comment = lines.all(|line| line.is_empty() || line.starts_with(b":"));
        Some(Event {
            id,
            is_comment,
            bytes,
        })
    }

    /// Returns the number of bytes that are buffered.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }
}

fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let end_after = |pattern: &[u8]| {
        let mut windows = bytes.windows(pattern.len());
        windows
            .position(|window| window == pattern)
            .map(|start| start + pattern.len())
    };
    match (end_after(b"\n\n"), end_after(b"\r\n\r\n")) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn parse_event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}

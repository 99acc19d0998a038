//! Splits a stream into whole events.

use bytes::{Bytes, BytesMut};

/// One whole event, with the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Its id, if it has one.
    pub(crate) id: Option<u64>,
    /// Its bytes.
    pub(crate) bytes: Bytes,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds bytes as they arrived.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub(crate) fn next_event(&mut self) -> Option<Event> {
        let end = end_of_event(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = id_of(&bytes);
        Some(Event { id, bytes })
    }

    /// Returns the bytes of the event that is not whole.
    pub(crate) fn unfinished_bytes(&self) -> usize {
        self.buffer.len()
    }
}

fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let lines_end = |pattern: &[u8]| {
        let mut windows = bytes.windows(pattern.len());
        windows
            .position(|window| window == pattern)
            .map(|start| start + pattern.len())
    };
    match (lines_end(b"\n\n"), lines_end(b"\r\n\r\n")) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}

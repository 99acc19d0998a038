//! Decoder for server-sent events.

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Event {
    pub(super) name: String,
    pub(super) data: String,
}

/// Splits a byte stream into events, which may span several chunks.
#[derive(Debug, Default)]
pub(super) struct EventDecoder {
    pending: Vec<u8>,
}

impl EventDecoder {
    /// Appends bytes and returns the events that they complete.
    pub(super) fn decode(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = find_event_end(&self.pending) {
            let text: Vec<u8> = self.pending.drain(..end + 2).collect();
            events.push(parse(&String::from_utf8_lossy(&text)));
        }
        events
    }
}

fn find_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n")
}

fn parse(text: &str) -> Event {
    let mut event = Event::default();
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("event: ") {
            name.clone_into(&mut event.name);
        } else if let Some(data) = line.strip_prefix("data: ") {
            event.data.push_str(data);
        }
    }
    event
}

//! Splits a body into server-sent events.

/// The most bytes that one event may have.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event is longer than [`MAX_EVENT_BYTES`] or is not UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BadEvent;

/// Collects bytes and gives out the data of whole events.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    bytes: Vec<u8>,
    read: usize,
    data: Vec<u8>,
}

impl EventBuffer {
    /// Appends bytes of the body.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.read);
        self.read = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// Takes the data of the next whole event, if one is there.
    pub(super) fn next(&mut self) -> Result<Option<String>, BadEvent> {
        while let Some(line) = self.take_line() {
            if !line.is_empty() {
                self.add_field(&line);
                continue;
            }
            if self.data.is_empty() {
                continue;
            }
            let data = std::mem::take(&mut self.data);
            return String::from_utf8(data).map(Some).map_err(|_| BadEvent);
        }
        let held = self.bytes.len() - self.read + self.data.len();
        if held > MAX_EVENT_BYTES {
            return Err(BadEvent);
        }
        Ok(None)
    }

    fn take_line(&mut self) -> Option<Vec<u8>> {
        let rest = &self.bytes[self.read..];
        let end = rest.iter().position(|byte| *byte == b'\n')?;
        let line = rest[..end].strip_suffix(b"\r").unwrap_or(&rest[..end]);
        let line = line.to_vec();
        self.read += end + 1;
        Some(line)
    }

    /// Adds a `data` field; every other field and comment is ignored.
    fn add_field(&mut self, line: &[u8]) {
        let Some(value) = line.strip_prefix(b"data:") else {
            return;
        };
        if !self.data.is_empty() {
            self.data.push(b'\n');
        }
        let value = value.strip_prefix(b" ").unwrap_or(value);
        self.data.extend_from_slice(value);
    }
}

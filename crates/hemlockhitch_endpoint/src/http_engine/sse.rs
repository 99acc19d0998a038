//! Decoder of server-sent events.

/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Error returned when an event exceeds [`MAX_EVENT_BYTES`] or is not UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct InvalidEvent;

/// Buffers the bytes of a response body and yields the data of complete events.
#[derive(Debug, Default)]
pub(super) struct SseDecoder {
    buffer: Vec<u8>,
    /// Number of bytes at the start of `buffer` that have been decoded.
    consumed: usize,
    /// Data of the current event, whose end has not been read yet.
    data: Vec<u8>,
}

impl SseDecoder {
    /// Appends bytes of the body to the buffer.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the data of the next complete event, if one is buffered.
    pub(super) fn next(&mut self) -> Result<Option<String>, InvalidEvent> {
        while let Some(line) = self.next_line() {
            if !line.is_empty() {
                self.process_field(&line);
                continue;
            }
            if self.data.is_empty() {
                continue;
            }
            let data = std::mem::take(&mut self.data);
            return String::from_utf8(data).map(Some).map_err(|_| InvalidEvent);
        }
        let buffered_bytes = self.buffer.len() - self.consumed + self.data.len();
        if buffered_bytes > MAX_EVENT_BYTES {
            return Err(InvalidEvent);
        }
        Ok(None)
    }

    fn next_line(&mut self) -> Option<Vec<u8>> {
        let unread = &self.buffer[self.consumed..];
        let end = unread.iter().position(|byte| *byte == b'\n')?;
        let line = unread[..end].strip_suffix(b"\r").unwrap_or(&unread[..end]);
        let line = line.to_vec();
        self.consumed += end + 1;
        Some(line)
    }

    /// Appends the value of a `data` field; other fields and comments are ignored.
    fn process_field(&mut self, line: &[u8]) {
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

//! Counts of what a node sends and receives for control.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use prost::Message;

/// Bytes of the frame around one message.
const FRAME_BYTES: usize = 5;

/// Messages and bytes between this node and its peers; where not said
/// otherwise, without HTTP/2 headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlBytes {
    /// Messages sent.
    pub sent_messages: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages received.
    pub received_messages: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Bytes in both directions on connections that peers opened, with all
    /// framing.
    pub accepted_bytes: u64,
    /// Size of the largest exchange message sent, in bytes.
    pub largest_digest_bytes: u64,
}

/// Counts traffic; clones share the counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Traffic {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    sent_messages: AtomicU64,
    sent_bytes: AtomicU64,
    received_messages: AtomicU64,
    received_bytes: AtomicU64,
    accepted_bytes: AtomicU64,
    largest_digest_bytes: AtomicU64,
}

impl Traffic {
    pub(crate) fn sent(&self, message: &impl Message) {
        self.counts.sent_messages.fetch_add(1, Ordering::Relaxed);
        let bytes = framed_bytes(message);
        self.counts.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn received(&self, message: &impl Message) {
        self.counts
            .received_messages
            .fetch_add(1, Ordering::Relaxed);
        let bytes = framed_bytes(message);
        self.counts
            .received_bytes
            .fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn accepted_bytes(&self, count: usize) {
        let count = count as u64;
        self.counts
            .accepted_bytes
            .fetch_add(count, Ordering::Relaxed);
    }

    pub(crate) fn digest(&self, message: &impl Message) {
        let bytes = framed_bytes(message);
        self.counts
            .largest_digest_bytes
            .fetch_max(bytes, Ordering::Relaxed);
    }

    pub(crate) fn read(&self) -> ControlBytes {
        ControlBytes {
            sent_messages: self.counts.sent_messages.load(Ordering::Relaxed),
            sent_bytes: self.counts.sent_bytes.load(Ordering::Relaxed),
            received_messages: self.counts.received_messages.load(Ordering::Relaxed),
            received_bytes: self.counts.received_bytes.load(Ordering::Relaxed),
            accepted_bytes: self.counts.accepted_bytes.load(Ordering::Relaxed),
            largest_digest_bytes: self.counts.largest_digest_bytes.load(Ordering::Relaxed),
        }
    }
}

fn framed_bytes(message: &impl Message) -> u64 {
    (message.encoded_len() + FRAME_BYTES) as u64
}

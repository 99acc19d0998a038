//! Counters of the traffic between a node and its peers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use prost::Message;

/// Length of the prefix that gRPC adds to each message, in bytes.
const MESSAGE_PREFIX_BYTES: usize = 5;

/// Messages and bytes exchanged with peers. Unless stated otherwise, bytes include the
/// gRPC message prefix but no HTTP/2 framing.
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
    /// Bytes in both directions on connections opened by peers, including HTTP/2
    /// framing.
    pub accepted_bytes: u64,
    /// Size of the largest digest sent, in bytes.
    pub largest_digest_bytes: u64,
}

/// Traffic counters; clones share them.
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
    pub(crate) fn record_sent(&self, message: &impl Message) {
        self.counts.sent_messages.fetch_add(1, Ordering::Relaxed);
        let bytes = framed_bytes(message);
        self.counts.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn record_received(&self, message: &impl Message) {
        self.counts
            .received_messages
            .fetch_add(1, Ordering::Relaxed);
        let bytes = framed_bytes(message);
        self.counts
            .received_bytes
            .fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn record_accepted_bytes(&self, count: usize) {
        let count = count as u64;
        self.counts
            .accepted_bytes
            .fetch_add(count, Ordering::Relaxed);
    }

    pub(crate) fn record_digest(&self, message: &impl Message) {
        let bytes = framed_bytes(message);
        self.counts
            .largest_digest_bytes
            .fetch_max(bytes, Ordering::Relaxed);
    }

    pub(crate) fn snapshot(&self) -> ControlBytes {
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
    (message.encoded_len() + MESSAGE_PREFIX_BYTES) as u64
}

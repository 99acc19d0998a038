//! Execution of deferred jobs on the node.

mod job;
mod lease;
mod status;
mod worker;

pub(super) use status::list;
pub(super) use worker::Worker;

use hemlockhitch_ledger::deferred::Queue;
use hemlockhitch_ports::key_value::HttpKeyValue;

/// Queue of deferred jobs in the key-value store.
pub(super) type NodeQueue = Queue<HttpKeyValue>;

/// Minimum interval between two polls of the queue by one node, in milliseconds.
pub(super) const MIN_POLL_INTERVAL_MS: u64 = 200;

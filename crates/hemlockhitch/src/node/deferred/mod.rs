//! Runs deferred work on the node.

mod job;
mod lease;
mod status;
mod worker;

pub(super) use status::list;
pub(super) use worker::Worker;

use hemlockhitch_ledger::deferred::Queue;
use hemlockhitch_ports::key_value::HttpKeyValue;

/// The node's queue of deferred work.
pub(super) type NodeQueue = Queue<HttpKeyValue>;

/// The time in which a node polls at most once, in milliseconds.
pub(super) const POLL_ROUND_MS: u64 = 200;

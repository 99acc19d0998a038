//! What endpoints and nodes report about the load of an endpoint.

use super::StatedWorkTime;

/// Load that an endpoint reports itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
    /// How long work currently takes; `None` if the endpoint does not state it.
    pub work_time: Option<StatedWorkTime>,
}

/// Outstanding requests of one or more nodes at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// Requests that were sent and have no complete response yet.
    pub requests: u32,
    /// Work on the prompts that are not prefilled yet, that is, of the requests for which
    /// no event was received, as the number of prompt tokens of the smallest model.
    pub pending_prefill_tokens: u64,
    /// Remaining time for which the endpoint has asked a node for a pause, in
    /// milliseconds.
    pub pause_remaining_ms: u64,
}

//! Settings of the request path.

/// Limits and timeouts of the request path, in builder style.
///
/// ```
/// use hemlockhitch_router::RouterSettings;
///
/// let settings = RouterSettings::new().max_in_flight(64).answer_ms(30_000);
/// assert_eq!(settings.max_in_flight, 64);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterSettings {
    /// Maximum number of requests in flight on the node, which includes bills
    /// that are not recorded yet.
    pub max_in_flight: usize,
    /// Maximum time in milliseconds that a request waits for admission, and that a
    /// chat completion waits for a free slot before each dispatch.
    pub queue_ms: u64,
    /// Maximum duration of one answer in milliseconds. The router itself does not
    /// enforce it.
    pub answer_ms: u64,
    /// Maximum time in milliseconds that the end of an answer waits for its bill
    /// to be recorded.
    pub bill_wait_ms: u64,
    /// Maximum number of endpoints that one dispatch asks for a slot.
    pub max_slot_attempts: usize,
    /// Maximum number of dispatches of a chat completion or an idempotent call, the
    /// first one included.
    pub max_dispatches: usize,
    /// Retry-After of refusals that a later attempt may resolve, in milliseconds.
    pub retry_after_ms: u64,
}

impl RouterSettings {
    /// Creates the default settings.
    #[must_use]
    pub fn new() -> Self {
        Self {
            max_in_flight: 4_096,
            queue_ms: 2_000,
            answer_ms: 120_000,
            bill_wait_ms: 500,
            max_slot_attempts: 8,
            max_dispatches: 4,
            retry_after_ms: 1_000,
        }
    }

    /// Sets the maximum number of requests in flight on the node.
    #[must_use]
    pub fn max_in_flight(mut self, max_in_flight: usize) -> Self {
        self.max_in_flight = max_in_flight;
        self
    }

    /// Sets the maximum time in milliseconds that a request waits for admission, and
    /// that a chat completion waits for a free slot before each dispatch.
    #[must_use]
    pub fn queue_ms(mut self, queue_ms: u64) -> Self {
        self.queue_ms = queue_ms;
        self
    }

    /// Sets the maximum duration of one answer in milliseconds.
    #[must_use]
    pub fn answer_ms(mut self, answer_ms: u64) -> Self {
        self.answer_ms = answer_ms;
        self
    }

    /// Sets the maximum time in milliseconds that the end of an answer waits for
    /// its bill to be recorded.
    #[must_use]
    pub fn bill_wait_ms(mut self, bill_wait_ms: u64) -> Self {
        self.bill_wait_ms = bill_wait_ms;
        self
    }

    /// Sets the maximum number of dispatches of a chat completion or an idempotent
    /// call.
    #[must_use]
    pub fn max_dispatches(mut self, max_dispatches: usize) -> Self {
        self.max_dispatches = max_dispatches;
        self
    }
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self::new()
    }
}

//! Settings of the request path.

/// Limits of the request path; built by chaining.
///
/// ```
/// use hemlockhitch_router::RouterSettings;
///
/// let settings = RouterSettings::new().in_flight(64).answer_ms(30_000);
/// assert_eq!(settings.in_flight, 64);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterSettings {
    /// The most requests in flight on the node.
    pub in_flight: usize,
    /// The most milliseconds that a request waits to be admitted and for an
    /// endpoint with room.
    pub queue_ms: u64,
    /// The most milliseconds that one answer may take.
    pub answer_ms: u64,
    /// The most milliseconds that a bill may delay the end of an answer.
    pub bill_wait_ms: u64,
    /// The most endpoints that are asked for a slot for one dispatch.
    pub slot_tries: usize,
    /// The most dispatches of one chat completion.
    pub dispatches: usize,
    /// How long a refused caller waits before the next try, in milliseconds.
    pub retry_after_ms: u64,
}

impl RouterSettings {
    /// Creates the default settings.
    #[must_use]
    pub fn new() -> Self {
        Self {
            in_flight: 4_096,
            queue_ms: 2_000,
            answer_ms: 120_000,
            bill_wait_ms: 500,
            slot_tries: 8,
            dispatches: 4,
            retry_after_ms: 1_000,
        }
    }

    /// Sets the most requests in flight on the node.
    #[must_use]
    pub fn in_flight(mut self, in_flight: usize) -> Self {
        self.in_flight = in_flight;
        self
    }

    /// Sets the most milliseconds that a request waits before it is dispatched.
    #[must_use]
    pub fn queue_ms(mut self, queue_ms: u64) -> Self {
        self.queue_ms = queue_ms;
        self
    }

    /// Sets the most milliseconds that one answer may take.
    #[must_use]
    pub fn answer_ms(mut self, answer_ms: u64) -> Self {
        self.answer_ms = answer_ms;
        self
    }

    /// Sets the most milliseconds that a bill may delay the end of an answer.
    #[must_use]
    pub fn bill_wait_ms(mut self, bill_wait_ms: u64) -> Self {
        self.bill_wait_ms = bill_wait_ms;
        self
    }

    /// Sets the most dispatches of one chat completion.
    #[must_use]
    pub fn dispatches(mut self, dispatches: usize) -> Self {
        self.dispatches = dispatches;
        self
    }
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self::new()
    }
}

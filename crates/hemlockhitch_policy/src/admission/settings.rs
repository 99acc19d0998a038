//! Builder for the settings of admission control.

/// Limits and estimates for the admission of requests to a node.
///
/// ```
/// use hemlockhitch_policy::admission::AdmissionSettings;
///
/// let settings = AdmissionSettings::new().capacity(64_u32).seed(7_u64);
/// assert_eq!(settings.capacity, 64);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub struct AdmissionSettings {
    /// Maximum number of concurrent requests on the node.
    pub capacity: u32,
    /// Number of live nodes over which rate limits are divided.
    pub live_nodes: u32,
    /// Maximum number of queued requests of one organisation in one class.
    pub queue_limit: usize,
    /// Initial value of the mean run time of a request, in milliseconds.
    pub expected_run_ms: u64,
    /// Seed of the random jitter of Retry-After times.
    pub seed: u64,
}

impl AdmissionSettings {
    /// Creates the default settings.
    pub fn new() -> Self {
        Self {
            capacity: 64,
            live_nodes: 1,
            queue_limit: 1_000,
            expected_run_ms: 2_000,
            seed: 0,
        }
    }

    /// Sets the maximum number of concurrent requests on the node.
    pub fn capacity(mut self, capacity: impl Into<u32>) -> Self {
        self.capacity = capacity.into();
        self
    }

    /// Sets the number of live nodes over which rate limits are divided.
    pub fn live_nodes(mut self, live_nodes: impl Into<u32>) -> Self {
        self.live_nodes = live_nodes.into();
        self
    }

    /// Sets the maximum number of queued requests of one organisation in one class.
    pub fn queue_limit(mut self, queue_limit: impl Into<usize>) -> Self {
        self.queue_limit = queue_limit.into();
        self
    }

    /// Sets the initial value of the mean run time of a request, in milliseconds.
    pub fn expected_run_ms(mut self, expected_run_ms: impl Into<u64>) -> Self {
        self.expected_run_ms = expected_run_ms.into();
        self
    }

    /// Sets the seed of the random jitter of Retry-After times.
    pub fn seed(mut self, seed: impl Into<u64>) -> Self {
        self.seed = seed.into();
        self
    }
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self::new()
    }
}

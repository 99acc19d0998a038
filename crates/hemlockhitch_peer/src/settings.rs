//! Settings of the peers' protocol.

use crate::error::{PeerError, PeerErrorKind};

/// Intervals, bounds and counts; every node of a fleet should have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Time between exchanges, in milliseconds.
    pub exchange_interval_ms: u64,
    /// Peers called in each interval.
    pub exchange_fanout: usize,
    /// Bound of one call to a peer, in milliseconds.
    pub call_timeout_ms: u64,
    /// Bound of one call for a slot, which a request waits for, in milliseconds.
    pub slot_timeout_ms: u64,
    /// Bound of one call to a peer that waits for the store or carries much, in
    /// milliseconds.
    pub long_timeout_ms: u64,
    /// How long a suspected member has to refute, in milliseconds.
    pub suspicion_ms: u64,
    /// Silence after which a node takes no new work, in milliseconds.
    pub self_stop_ms: u64,
    /// Nodes of a data centre that follow the store.
    pub watchers: usize,
    /// Time between readings of the VM list, in milliseconds.
    pub vm_list_interval_ms: u64,
    /// How long one watch of the store waits, in milliseconds.
    pub store_wait_ms: u64,
    /// Bound of one call to the store, in milliseconds.
    pub store_timeout_ms: u64,
    /// Time to live of a node's lease, in milliseconds.
    pub lease_ttl_ms: u64,
    /// Time between renewals of the lease, in milliseconds.
    pub lease_renew_ms: u64,
    /// How long before its end a lease counts as lapsed, in milliseconds.
    pub lease_margin_ms: u64,
    /// How long another node must be the better owner before a bucket is
    /// handed over, in milliseconds.
    pub hand_over_delay_ms: u64,
    /// Number of endpoint buckets.
    pub endpoint_buckets: u16,
    /// Number of ledger shards.
    pub ledger_shards: u16,
    /// Time after which a grant of slots ends by itself, in milliseconds.
    pub grant_ttl_ms: u64,
    /// Time between renewals of grants in use, in milliseconds.
    pub grant_renew_ms: u64,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            exchange_interval_ms: 1_000,
            exchange_fanout: 3,
            call_timeout_ms: 1_000,
            slot_timeout_ms: 250,
            long_timeout_ms: 5_000,
            suspicion_ms: 3_500,
            self_stop_ms: 3_000,
            watchers: 2,
            vm_list_interval_ms: 5_000,
            store_wait_ms: 1_000,
            store_timeout_ms: 2_000,
            lease_ttl_ms: 9_000,
            lease_renew_ms: 3_000,
            lease_margin_ms: 1_000,
            hand_over_delay_ms: 3_000,
            endpoint_buckets: 64,
            ledger_shards: 64,
            grant_ttl_ms: 10_000,
            grant_renew_ms: 3_000,
        }
    }
}

impl PeerSettings {
    /// Checks that the settings fit together.
    ///
    /// # Errors
    ///
    /// Fails when a bound that safety rests on does not hold.
    pub fn check(&self) -> Result<(), PeerError> {
        require(
            self.suspicion_ms >= self.self_stop_ms,
            "suspicion_ms must not be below self_stop_ms",
        )?;
        require(
            self.self_stop_ms > self.exchange_interval_ms + self.store_wait_ms,
            "self_stop_ms must exceed exchange_interval_ms and store_wait_ms together",
        )?;
        require(
            self.lease_ttl_ms > self.lease_margin_ms + self.lease_renew_ms,
            "lease_ttl_ms must exceed lease_margin_ms and lease_renew_ms together",
        )?;
        require(
            self.lease_margin_ms >= self.slot_timeout_ms,
            "lease_margin_ms must not be below slot_timeout_ms",
        )?;
        require(
            self.grant_ttl_ms > self.grant_renew_ms + self.call_timeout_ms,
            "grant_ttl_ms must exceed grant_renew_ms and call_timeout_ms together",
        )
    }
}

fn require(holds: bool, rule: &str) -> Result<(), PeerError> {
    if holds {
        return Ok(());
    }
    Err(PeerError::new(PeerErrorKind::Settings, rule))
}

//! Settings of the peer protocol.

use crate::error::{PeerError, PeerErrorKind};

/// Settings of the peer protocol; all nodes of a fleet should use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Interval between exchanges, in milliseconds.
    pub exchange_interval_ms: u64,
    /// Number of peers called in each exchange interval.
    pub exchange_fanout: usize,
    /// Timeout of a call to a peer, in milliseconds.
    pub call_timeout_ms: u64,
    /// Timeout of a slot request, which is on the request path, in milliseconds.
    pub slot_timeout_ms: u64,
    /// Timeout of a call to a peer that waits for the store or has a large message, in
    /// milliseconds.
    pub long_timeout_ms: u64,
    /// Time in which a suspected member must refute the suspicion before it is declared
    /// dead, in milliseconds.
    pub suspicion_ms: u64,
    /// Time without contact to a peer or the store after which a node accepts no new
    /// requests, in milliseconds.
    pub self_stop_ms: u64,
    /// Number of nodes of each data centre that follow the configuration store.
    pub watchers: usize,
    /// Interval between reads of the VM list, in milliseconds.
    pub vm_list_interval_ms: u64,
    /// How long one read of the configuration store waits for changes, in milliseconds.
    pub store_wait_ms: u64,
    /// Timeout of a call to a store, in milliseconds.
    pub store_timeout_ms: u64,
    /// Time to live of a node's lease, in milliseconds.
    pub lease_ttl_ms: u64,
    /// Interval between renewals of the lease, in milliseconds.
    pub lease_renew_ms: u64,
    /// How long before its expiry a node stops relying on its lease, in milliseconds.
    pub lease_margin_ms: u64,
    /// How long another node must be the desired owner of a bucket before the bucket
    /// is handed over to it, in milliseconds.
    pub hand_over_delay_ms: u64,
    /// Number of endpoint buckets.
    pub endpoint_buckets: u16,
    /// Number of ledger shards.
    pub ledger_shards: u16,
    /// Time after which a slot grant expires unless it is renewed, in milliseconds.
    pub grant_ttl_ms: u64,
    /// Interval between renewals of grants in use, in milliseconds.
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
    /// Checks that the settings are consistent.
    ///
    /// # Errors
    ///
    /// Fails when a relation between settings that safety depends on does not hold.
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

//! Settings of [`LedgerWriter`](crate::LedgerWriter).

use hemlockhitch_model::NodeName;

/// Settings of a [`LedgerWriter`](crate::LedgerWriter).
///
/// ```
/// use hemlockhitch_ledger::LedgerSettings;
///
/// let settings = LedgerSettings::new("n-1").shard_count(32).bill_linger_ms(100);
/// assert_eq!(settings.shard_count, 32);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Name of this node, recorded in the log when it takes over a shard.
    pub node: NodeName,
    /// Number of shards; must be the same on every node.
    pub shard_count: u16,
    /// How long a bill waits for other records to share its batch.
    pub bill_linger_ms: u64,
    /// Sustained limit of store writes per second for all shards together,
    /// divided equally between the shards. Short bursts may exceed it.
    pub store_writes_per_s: u32,
    /// Burst size of the write rate limit of one shard.
    pub burst_writes: u32,
    /// Maximum size of the calls in one batch; a single larger call forms a batch
    /// of its own.
    pub max_batch_bytes: usize,
    /// Maximum number of queued calls per shard.
    pub max_queued_calls: usize,
    /// Maximum total size of the queued calls per shard.
    pub max_queued_bytes: usize,
    /// How long a call may take before it fails as unavailable.
    pub call_timeout_ms: u64,
    /// Age at which a claim without an outcome is treated as having an unknown
    /// outcome.
    pub claim_timeout_ms: u64,
    /// How long a claim is retained after its last change.
    pub retention_ms: u64,
    /// Maximum estimated memory of the claims and outcomes of one shard; at the
    /// limit the shard refuses new claims.
    pub max_claim_bytes: usize,
    /// Number of recent bills per shard that are kept for deduplication.
    pub max_bill_ids: usize,
    /// Number of batches of a shard between two snapshots.
    pub snapshot_interval_batches: u64,
    /// How long draining one shard may take before its task is aborted.
    pub drain_timeout_ms: u64,
}

impl LedgerSettings {
    /// Creates the default settings for the node `node`.
    #[must_use]
    pub fn new(node: impl Into<NodeName>) -> Self {
        Self {
            node: node.into(),
            shard_count: 8,
            bill_linger_ms: 200,
            store_writes_per_s: 256,
            burst_writes: 8,
            max_batch_bytes: 64 * 1024,
            max_queued_calls: 4_096,
            max_queued_bytes: 4 * 1024 * 1024,
            call_timeout_ms: 1_500,
            claim_timeout_ms: 60_000,
            retention_ms: 24 * 60 * 60 * 1_000,
            max_claim_bytes: 16 * 1024 * 1024,
            max_bill_ids: 32_768,
            snapshot_interval_batches: 128,
            drain_timeout_ms: 5_000,
        }
    }
}

impl LedgerSettings {
    /// Returns the sustained write limit of one shard, in writes per second.
    #[must_use]
    pub fn shard_writes_per_s(&self) -> u32 {
        let shards = u32::from(self.shard_count.max(1));
        (self.store_writes_per_s / shards).max(1)
    }
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $type:ty),* $(,)?) => {
        impl LedgerSettings {
            $(
                $(#[$doc])*
                #[must_use]
                pub fn $name(mut self, $name: $type) -> Self {
                    self.$name = $name;
                    self
                }
            )*
        }
    };
}

setters! {
    /// Sets the number of shards.
    shard_count: u16,
    /// Sets how long a bill waits for other records to share its batch.
    bill_linger_ms: u64,
    /// Sets the sustained write limit of all shards together.
    store_writes_per_s: u32,
    /// Sets the burst size of the write rate limit of one shard.
    burst_writes: u32,
    /// Sets the maximum size of the calls in one batch.
    max_batch_bytes: usize,
    /// Sets the maximum number of queued calls per shard.
    max_queued_calls: usize,
    /// Sets the maximum total size of the queued calls per shard.
    max_queued_bytes: usize,
    /// Sets how long a call may take before it fails.
    call_timeout_ms: u64,
    /// Sets the age at which a claim without an outcome is treated as unknown.
    claim_timeout_ms: u64,
    /// Sets how long a claim is retained after its last change.
    retention_ms: u64,
    /// Sets the maximum estimated memory of the claims and outcomes of one shard.
    max_claim_bytes: usize,
    /// Sets the number of recent bills per shard kept for deduplication.
    max_bill_ids: usize,
    /// Sets the number of batches of a shard between two snapshots.
    snapshot_interval_batches: u64,
    /// Sets how long draining one shard may take.
    drain_timeout_ms: u64,
}

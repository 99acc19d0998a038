//! Settings of the ledger's writer.

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
    /// The name of this node; it is written into the log.
    pub node: NodeName,
    /// Number of shards; the same on every node.
    pub shard_count: u16,
    /// How long a bill waits for others before it is written.
    pub bill_linger_ms: u64,
    /// Sustained writes per second of all shards together; each shard has an
    /// equal part, which short bursts may exceed.
    pub store_writes_per_s: u32,
    /// Writes of one shard that may follow each other without a pause.
    pub burst_writes: u32,
    /// The size above which a batch takes no further record.
    pub max_batch_bytes: usize,
    /// Calls of one shard that may wait for the store.
    pub max_waiting_calls: usize,
    /// Bytes of the calls of one shard that may wait for the store.
    pub max_waiting_bytes: usize,
    /// How long a call waits for the store before it is answered as failed.
    pub answer_limit_ms: u64,
    /// After this long an unresolved claim counts as ended with an unknown
    /// outcome.
    pub claim_unknown_ms: u64,
    /// How long claims and their outcomes are kept.
    pub retention_ms: u64,
    /// Bytes of the claims and outcomes that one shard keeps; a shard that is
    /// full refuses new claims.
    pub max_claim_bytes: usize,
    /// Number of bills of one shard whose repeats are recognised.
    pub max_bill_ids: usize,
    /// Batches of one shard after which its snapshot is stored.
    pub snapshot_batches: u64,
    /// How long a drain may take.
    pub drain_limit_ms: u64,
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
            max_waiting_calls: 4_096,
            max_waiting_bytes: 4 * 1024 * 1024,
            answer_limit_ms: 1_500,
            claim_unknown_ms: 60_000,
            retention_ms: 24 * 60 * 60 * 1_000,
            max_claim_bytes: 16 * 1024 * 1024,
            max_bill_ids: 32_768,
            snapshot_batches: 128,
            drain_limit_ms: 5_000,
        }
    }
}

impl LedgerSettings {
    /// Returns the sustained writes per second of one shard.
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
    /// Sets how long a bill waits for others.
    bill_linger_ms: u64,
    /// Sets the sustained writes per second of all shards together.
    store_writes_per_s: u32,
    /// Sets how many writes may follow each other without a pause.
    burst_writes: u32,
    /// Sets the size above which a batch takes no further record.
    max_batch_bytes: usize,
    /// Sets how many calls of a shard may wait.
    max_waiting_calls: usize,
    /// Sets how many bytes of calls of a shard may wait.
    max_waiting_bytes: usize,
    /// Sets how long a call waits for the store.
    answer_limit_ms: u64,
    /// Sets when an unresolved claim counts as unknown.
    claim_unknown_ms: u64,
    /// Sets how long claims and outcomes are kept.
    retention_ms: u64,
    /// Sets how many bytes of claims and outcomes a shard keeps.
    max_claim_bytes: usize,
    /// Sets the number of bills of a shard whose repeats are recognised.
    max_bill_ids: usize,
    /// Sets after how many batches of a shard its snapshot is stored.
    snapshot_batches: u64,
    /// Sets how long a drain may take.
    drain_limit_ms: u64,
}

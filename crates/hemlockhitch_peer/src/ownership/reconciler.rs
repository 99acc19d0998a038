//! Reconciles the buckets that this node holds with those that it should own.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_ledger::shard::ShardId;
use hemlockhitch_model::Clock;
use hemlockhitch_ports::key_value::{Entry, KeyValue, LeaseId, Swap, SwapOutcome};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::hand_over::{self, IncomingHandOver};
use super::{Bucket, BucketKind, HeldBucket};
use crate::member::{MemberState, NodeId};
use crate::shared::Shared;
use crate::slots::recover_grants;

/// Interval between two reconciliation passes, in milliseconds.
const RECONCILE_INTERVAL_MS: u64 = 500;

/// A bucket whose key was last seen with an owner is retried only in every n-th
/// pass.
const CONTENDED_RETRY_PASSES: u64 = 4;

/// The value stored under a bucket's key, as JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct OwnerRecord {
    /// Node name of the owner.
    pub(crate) node: String,
    /// Address on which the owner serves peers, `ip:port`.
    pub(crate) address: String,
    /// The lease that the key is attached to. It distinguishes a node from an
    /// earlier process of the same name.
    pub(crate) lease: LeaseId,
}

/// Background task that acquires buckets, accepts hand-overs and hands buckets
/// over.
pub(crate) struct BucketReconciler<K, C> {
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: K,
    pub(crate) clock: C,
    pub(crate) hand_overs: mpsc::Receiver<IncomingHandOver>,
}

impl<K: KeyValue, C: Clock> BucketReconciler<K, C> {
    /// Runs until the node stops.
    ///
    /// Passes and incoming hand-overs are handled one at a time.
    pub(crate) async fn run(mut self) {
        let mut pass: u64 = 0;
        loop {
            tokio::select! {
                hand_over = self.hand_overs.recv() => match hand_over {
                    Some(hand_over) => self.take_over(hand_over).await,
                    None => return,
                },
                () = sleep(Duration::from_millis(RECONCILE_INTERVAL_MS)) => {
                    pass += 1;
                    self.reconcile(pass).await;
                }
            }
        }
    }

    /// Hands over buckets that belong elsewhere, then acquires the missing ones.
    async fn reconcile(&self, pass: u64) {
        let Some(lease) = self.valid_lease() else {
            return;
        };
        self.hand_over_misplaced().await;
        if self.shared.members().own_state() != MemberState::Serving {
            return;
        }
        let mut acquired = Vec::new();
        for bucket in self.buckets_to_acquire(pass) {
            if self.create_key(bucket, lease).await {
                acquired.push(bucket);
            }
        }
        self.recover_endpoint_grants(&acquired);
    }

    /// Returns the lease of this node unless it has expired or is about to.
    fn valid_lease(&self) -> Option<LeaseId> {
        let now = self.clock.now();
        let lease = self.shared.ownership.lock().lease?;
        (now.mono_ms < lease.valid_until_mono_ms).then_some(lease.id)
    }

    /// Returns the buckets that this node should own and that have no live owner
    /// as far as it knows.
    fn buckets_to_acquire(&self, pass: u64) -> Vec<Bucket> {
        let own_id = self.shared.own_id;
        let retry_contended = pass.is_multiple_of(CONTENDED_RETRY_PASSES);
        self.all_buckets()
            .into_iter()
            .filter(|bucket| !self.shared.ownership.lock().held.contains_key(bucket))
            .filter(|bucket| self.desired_owner(*bucket) == Some(own_id))
            .filter(|bucket| !self.shared.ownership.is_owned_elsewhere(*bucket))
            .filter(|bucket| {
                retry_contended
                    || self
                        .shared
                        .ownership
                        .known_owner(*bucket)
                        .is_none_or(has_no_owner)
            })
            .collect()
    }

    fn all_buckets(&self) -> Vec<Bucket> {
        let settings = &self.shared.settings;
        let endpoints = (0..settings.endpoint_buckets).map(|index| Bucket {
            kind: BucketKind::Endpoint,
            index,
        });
        let shards = (0..settings.ledger_shards).map(|index| Bucket::of_shard(ShardId(index)));
        endpoints.chain(shards).collect()
    }

    fn desired_owner(&self, bucket: Bucket) -> Option<NodeId> {
        self.shared.members().desired_owner(bucket.hash())
    }

    /// Creates the key of a bucket without an owner; returns whether this node owns
    /// the bucket now.
    async fn create_key(&self, bucket: Bucket, lease: LeaseId) -> bool {
        let swap = Swap::create(bucket.key(), self.owner_record(lease)).lease(lease);
        self.write_key(bucket, lease, swap).await.is_some()
    }

    /// Takes over a bucket that its owner hands over, together with its grants.
    async fn take_over(&self, hand_over: IncomingHandOver) {
        let version = self.replace_key(&hand_over).await;
        if version.is_some() {
            let now = self.clock.now();
            let mut grant_table = self.shared.grant_table();
            grant_table.import(hand_over.grants, now);
            grant_table.open_after(hand_over.bucket, hand_over.closed_for_ms, now);
        }
        // The call that offered the bucket may have timed out.
        let _ = hand_over.reply.send(version);
    }

    /// Replaces the key of the former owner if this node may own buckets; returns
    /// the key's version.
    async fn replace_key(&self, hand_over: &IncomingHandOver) -> Option<u64> {
        let lease = self.valid_lease()?;
        if self.shared.members().own_state() != MemberState::Serving {
            return None;
        }
        let record = self.owner_record(lease);
        let swap = Swap::replace(hand_over.bucket.key(), hand_over.version, record).lease(lease);
        self.write_key(hand_over.bucket, lease, swap).await
    }

    /// Writes a bucket's key and records the owner that the store names. Returns
    /// the key's version if this node is the owner.
    async fn write_key(&self, bucket: Bucket, lease: LeaseId, swap: Swap) -> Option<u64> {
        let store_timeout = Duration::from_millis(self.shared.settings.store_timeout_ms);
        let current = match timeout(store_timeout, self.store.swap(swap)).await {
            Ok(Ok(SwapOutcome::Written(version))) => {
                self.record_held(bucket, lease, version);
                return Some(version);
            }
            Ok(Ok(SwapOutcome::Conflict(current))) => current,
            // The write may have taken effect although its reply was lost.
            Ok(Err(_)) | Err(_) => timeout(store_timeout, self.store.get(&bucket.key()))
                .await
                .ok()?
                .ok()?,
        };
        self.read_back(bucket, lease, &current?)
    }

    /// Records the owner that the stored key names. That is this node if only the
    /// reply to its write was lost.
    fn read_back(&self, bucket: Bucket, lease: LeaseId, current: &Entry) -> Option<u64> {
        let record: OwnerRecord = serde_json::from_str(&current.value).ok()?;
        if record.lease == lease {
            self.record_held(bucket, lease, current.version);
            return Some(current.version);
        }
        let node = NodeId::of(&record.node.as_str().into());
        self.shared
            .ownership
            .merge_owner(bucket, Some(node), current.version);
        None
    }

    /// Adds a bucket to the held set unless the lease has changed since the write.
    fn record_held(&self, bucket: Bucket, lease: LeaseId, version: u64) {
        let now = self.clock.now();
        // Grants nothing until every node has reported the slots that it holds
        // from the former owner.
        self.shared.grant_table().close(bucket, now);
        let mut state = self.shared.ownership.lock();
        if state.lease.is_none_or(|held| held.id != lease) {
            return;
        }
        let held = HeldBucket {
            version,
            handing_over: false,
            misplaced_since_mono_ms: None,
        };
        state.held.insert(bucket, held);
        drop(state);
        let own_id = self.shared.own_id;
        self.shared
            .ownership
            .merge_owner(bucket, Some(own_id), version);
        tracing::debug!(event = "HH0605", %bucket, version, "acquired bucket");
    }

    /// Collects from every node the slots that it holds in endpoint buckets just
    /// acquired.
    fn recover_endpoint_grants(&self, acquired: &[Bucket]) {
        let buckets: Vec<Bucket> = acquired
            .iter()
            .copied()
            .filter(|bucket| bucket.kind == BucketKind::Endpoint)
            .collect();
        if !buckets.is_empty() {
            let recovery = recover_grants(self.shared.clone(), buckets, self.clock.clone());
            self.shared.spawn(recovery);
        }
    }

    /// Hands over buckets that another node has been due to own for at least
    /// `hand_over_delay_ms`, and retries unfinished hand-overs.
    async fn hand_over_misplaced(&self) {
        let now = self.clock.now();
        let delay_ms = self.shared.settings.hand_over_delay_ms;
        for (bucket, handing_over) in self.held_buckets() {
            let misplaced = self
                .desired_owner(bucket)
                .is_some_and(|id| id != self.shared.own_id);
            let since_mono_ms = self.update_misplaced(bucket, misplaced, now.mono_ms);
            let due =
                since_mono_ms.is_some_and(|since_mono_ms| now.mono_ms >= since_mono_ms + delay_ms);
            if due || handing_over {
                hand_over::hand_over(&self.shared, &self.store, bucket, &self.clock).await;
            }
        }
    }

    /// Returns the buckets of this node, each with whether it is being handed over.
    fn held_buckets(&self) -> Vec<(Bucket, bool)> {
        let state = self.shared.ownership.lock();
        let held = state.held.iter();
        held.map(|(bucket, held)| (*bucket, held.handing_over))
            .collect()
    }

    /// Records since when another node should own the bucket, on the monotonic
    /// clock, or clears that time; returns it.
    fn update_misplaced(&self, bucket: Bucket, misplaced: bool, now_mono_ms: u64) -> Option<u64> {
        let mut state = self.shared.ownership.lock();
        let held = state.held.get_mut(&bucket)?;
        held.misplaced_since_mono_ms =
            misplaced.then(|| held.misplaced_since_mono_ms.unwrap_or(now_mono_ms));
        held.misplaced_since_mono_ms
    }

    fn owner_record(&self, lease: LeaseId) -> String {
        let own = self.shared.members().own().identity.clone();
        let record = OwnerRecord {
            node: own.name.to_string(),
            address: own.address,
            lease,
        };
        serde_json::to_string(&record).unwrap_or_default()
    }
}

fn has_no_owner(owner: crate::wire::Owner) -> bool {
    owner.node_id == 0
}

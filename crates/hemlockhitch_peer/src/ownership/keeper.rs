//! Takes the buckets that this node should own and gives up the others.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_ledger::shard::ShardId;
use hemlockhitch_model::Clock;
use hemlockhitch_ports::key_value::{Entry, KeyValue, LeaseId, Swap, SwapOutcome};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use super::hand_over::{self, Take};
use super::{Bucket, Held, Space};
use crate::member::{MemberState, NodeId};
use crate::shared::Shared;
use crate::slots::learn_holdings;

/// How often the buckets are gone through, in milliseconds.
const PASS_INTERVAL_MS: u64 = 500;

/// How many passes a bucket rests after its key was found taken.
const TAKEN_REST_PASSES: u64 = 4;

/// The value of a bucket's key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct OwnRecord {
    /// The name of the owner.
    pub(crate) node: String,
    /// The address that peers call.
    pub(crate) address: String,
    /// The lease that the key is attached to; it tells one run of a node from
    /// the next.
    pub(crate) lease: LeaseId,
}

/// The task that takes and gives up buckets.
pub(crate) struct Keeper<K, C> {
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: K,
    pub(crate) clock: C,
    pub(crate) takes: mpsc::Receiver<Take>,
}

impl<K: KeyValue, C: Clock> Keeper<K, C> {
    /// Runs until the node stops.
    pub(crate) async fn run(mut self) {
        let mut pass: u64 = 0;
        loop {
            tokio::select! {
                take = self.takes.recv() => match take {
                    Some(take) => self.take_over(take).await,
                    None => return,
                },
                () = sleep(Duration::from_millis(PASS_INTERVAL_MS)) => {
                    pass += 1;
                    self.pass(pass).await;
                }
            }
        }
    }

    async fn pass(&self, pass: u64) {
        let Some(lease) = self.valid_lease() else {
            return;
        };
        self.give_up_unwanted().await;
        if self.shared.members().own_state() != MemberState::Serving {
            return;
        }
        let mut taken = Vec::new();
        for bucket in self.wanted(pass) {
            if self.create(bucket, lease).await {
                taken.push(bucket);
            }
        }
        self.cover(&taken);
    }

    fn valid_lease(&self) -> Option<LeaseId> {
        let now = self.clock.now();
        let lease = self.shared.ownership.lock().lease?;
        (now.mono_ms < lease.valid_until_ms).then_some(lease.id)
    }

    /// Lists the buckets that this node should own and that seem free.
    fn wanted(&self, pass: u64) -> Vec<Bucket> {
        let own_id = self.shared.own_id;
        let rested = pass.is_multiple_of(TAKEN_REST_PASSES);
        self.all_buckets()
            .into_iter()
            .filter(|bucket| !self.shared.ownership.lock().held.contains_key(bucket))
            .filter(|bucket| self.desired(*bucket) == Some(own_id))
            .filter(|bucket| !self.shared.ownership.is_owned_elsewhere(*bucket))
            .filter(|bucket| rested || self.shared.ownership.known_of(*bucket).is_none_or(is_free))
            .collect()
    }

    fn all_buckets(&self) -> Vec<Bucket> {
        let settings = &self.shared.settings;
        let endpoints = (0..settings.endpoint_buckets).map(|index| Bucket {
            space: Space::Endpoint,
            index,
        });
        let shards = (0..settings.ledger_shards).map(|index| Bucket::of_shard(ShardId(index)));
        endpoints.chain(shards).collect()
    }

    fn desired(&self, bucket: Bucket) -> Option<NodeId> {
        self.shared.members().desired_owner(bucket.hash())
    }

    /// Creates the key of a free bucket; returns whether this node owns it now.
    async fn create(&self, bucket: Bucket, lease: LeaseId) -> bool {
        let swap = Swap::create(bucket.key(), self.record(lease)).lease(lease);
        self.write(bucket, lease, swap).await.is_some()
    }

    /// Replaces the key of a bucket that its owner hands over.
    async fn take_over(&self, take: Take) {
        let version = self.replace(&take).await;
        if version.is_some() {
            let now = self.clock.now();
            let mut book = self.shared.book();
            book.import(take.grants, now);
            book.open_after(take.bucket, take.closed_for_ms, now);
        }
        // The former owner may have given up waiting.
        let _ = take.answer.send(version);
    }

    async fn replace(&self, take: &Take) -> Option<u64> {
        let lease = self.valid_lease()?;
        if self.shared.members().own_state() != MemberState::Serving {
            return None;
        }
        let record = self.record(lease);
        let swap = Swap::replace(take.bucket.key(), take.version, record).lease(lease);
        self.write(take.bucket, lease, swap).await
    }

    /// Writes a bucket's key and keeps what the store says about its owner.
    async fn write(&self, bucket: Bucket, lease: LeaseId, swap: Swap) -> Option<u64> {
        let bound = Duration::from_millis(self.shared.settings.store_timeout_ms);
        let present = match timeout(bound, self.store.swap(swap)).await {
            Ok(Ok(SwapOutcome::Written(version))) => {
                self.hold(bucket, lease, version);
                return Some(version);
            }
            Ok(Ok(SwapOutcome::Conflict(present))) => present,
            // The answer may be lost although the write took effect.
            Ok(Err(_)) | Err(_) => timeout(bound, self.store.get(&bucket.key()))
                .await
                .ok()?
                .ok()?,
        };
        self.read_back(bucket, lease, &present?)
    }

    /// Learns the owner from the stored key; it may be this node after a lost
    /// answer.
    fn read_back(&self, bucket: Bucket, lease: LeaseId, present: &Entry) -> Option<u64> {
        let record: OwnRecord = serde_json::from_str(&present.value).ok()?;
        if record.lease == lease {
            self.hold(bucket, lease, present.version);
            return Some(present.version);
        }
        let node = NodeId::of(&record.node.as_str().into());
        self.shared
            .ownership
            .learn(bucket, Some(node), present.version);
        None
    }

    fn hold(&self, bucket: Bucket, lease: LeaseId, version: u64) {
        let now = self.clock.now();
        // Until every holder of slots is heard, the bucket grants nothing.
        self.shared.book().close(bucket, now);
        let mut state = self.shared.ownership.lock();
        if state.lease.is_none_or(|held| held.id != lease) {
            return;
        }
        let held = Held {
            version,
            leaving: false,
            unwanted_since_ms: None,
        };
        state.held.insert(bucket, held);
        drop(state);
        let own_id = self.shared.own_id;
        self.shared.ownership.learn(bucket, Some(own_id), version);
        tracing::debug!(event = "HH0605", %bucket, version, "bucket owned");
    }

    /// Asks every node for its slots at the endpoints of buckets just taken.
    fn cover(&self, taken: &[Bucket]) {
        let buckets: Vec<Bucket> = taken
            .iter()
            .copied()
            .filter(|bucket| bucket.space == Space::Endpoint)
            .collect();
        if !buckets.is_empty() {
            let learning = learn_holdings(self.shared.clone(), buckets, self.clock.clone());
            self.shared.spawn(learning);
        }
    }

    /// Hands over buckets that another node should own for some time already.
    async fn give_up_unwanted(&self) {
        let now = self.clock.now();
        let delay_ms = self.shared.settings.hand_over_delay_ms;
        for (bucket, leaving) in self.held() {
            let unwanted = self
                .desired(bucket)
                .is_some_and(|id| id != self.shared.own_id);
            let since_ms = self.mark_unwanted(bucket, unwanted, now.mono_ms);
            let due = since_ms.is_some_and(|since_ms| now.mono_ms >= since_ms + delay_ms);
            if due || leaving {
                hand_over::hand_over(&self.shared, &self.store, bucket, &self.clock).await;
            }
        }
    }

    fn held(&self) -> Vec<(Bucket, bool)> {
        let state = self.shared.ownership.lock();
        let held = state.held.iter();
        held.map(|(bucket, held)| (*bucket, held.leaving)).collect()
    }

    fn mark_unwanted(&self, bucket: Bucket, unwanted: bool, now_ms: u64) -> Option<u64> {
        let mut state = self.shared.ownership.lock();
        let held = state.held.get_mut(&bucket)?;
        held.unwanted_since_ms = unwanted.then(|| held.unwanted_since_ms.unwrap_or(now_ms));
        held.unwanted_since_ms
    }

    fn record(&self, lease: LeaseId) -> String {
        let own = self.shared.members().own().identity.clone();
        let record = OwnRecord {
            node: own.name.to_string(),
            address: own.address,
            lease,
        };
        serde_json::to_string(&record).unwrap_or_default()
    }
}

fn is_free(owner: crate::wire::Owner) -> bool {
    owner.node_id == 0
}

//! Reports whether the balancer should send work to the node.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_http::callers::Readiness;
use hemlockhitch_ledger::shard::{ShardId, ShardOwner};
use hemlockhitch_model::{Clock, Now};
use hemlockhitch_peer::{Fitness, Peers};
use tokio::time::sleep;

/// The pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// How long a node waits for the owners of shards before it takes work without,
/// in milliseconds; a store outage can keep shards without an owner.
const OWNERS_WAIT_MS: u64 = 10_000;

/// Reports the node ready while it may take work, for the first time once each
/// ledger shard has an owner.
pub(super) async fn report(
    peers: Arc<Peers>,
    readiness: Readiness,
    shard_count: u16,
    clock: impl Clock,
) {
    let started = clock.now();
    let mut settled = false;
    loop {
        let now = clock.now();
        settled |= has_owners(&peers, shard_count, now);
        settled |= now.mono_ms - started.mono_ms >= OWNERS_WAIT_MS;
        readiness.set(settled && peers.fitness(now) == Fitness::Serving);
        sleep(LOOK_PAUSE).await;
    }
}

fn has_owners(peers: &Peers, shard_count: u16, now: Now) -> bool {
    let ownership = peers.ownership();
    (0..shard_count).all(|shard| ownership.shard_owner(ShardId(shard), now) != ShardOwner::Unknown)
}

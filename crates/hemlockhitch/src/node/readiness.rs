//! Readiness of the node as reported to the load balancer.

use std::sync::Arc;
use std::time::Duration;

use hemlockhitch_http::callers::Readiness;
use hemlockhitch_ledger::shard::{ShardId, ShardOwner};
use hemlockhitch_model::{Clock, Now};
use hemlockhitch_peer::{Fitness, Peers};
use tokio::time::sleep;

/// Pause between two updates.
const UPDATE_PAUSE: Duration = Duration::from_millis(100);

/// Maximum time at startup to wait until every ledger shard has an owner, in
/// milliseconds; during a store outage shards can remain without one.
const MAX_OWNERS_WAIT_MS: u64 = 10_000;

/// Periodically updates the readiness: the node is ready while it is fit to serve and,
/// at startup, not before every ledger shard has an owner or the wait is over.
pub(super) async fn update(
    peers: Arc<Peers>,
    readiness: Readiness,
    shard_count: u16,
    clock: impl Clock,
) {
    let started = clock.now();
    let mut startup_complete = false;
    loop {
        let now = clock.now();
        startup_complete |= all_shards_owned(&peers, shard_count, now);
        startup_complete |= now.mono_ms - started.mono_ms >= MAX_OWNERS_WAIT_MS;
        readiness.set(startup_complete && peers.fitness(now) == Fitness::Serving);
        sleep(UPDATE_PAUSE).await;
    }
}

fn all_shards_owned(peers: &Peers, shard_count: u16, now: Now) -> bool {
    let ownership = peers.ownership();
    (0..shard_count).all(|shard| ownership.shard_owner(ShardId(shard), now) != ShardOwner::Unknown)
}

//! At most one node acts as the owner of a bucket, whatever fails.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use hemlockhitch_ledger::call::{LedgerCall, LedgerTransport};
use hemlockhitch_ledger::claim::ClaimKey;
use hemlockhitch_ledger::shard::{ShardId, ShardOwner};
use hemlockhitch_model::{Clock, ManualClock, Now};
use hemlockhitch_peer::{Bucket, BucketKind, Owner, Peers};
use hemlockhitch_ports::key_value::KeyValue;
use tokio::time::{Instant, sleep};

use support::frozen::FreezableNode;
use support::{Platform, settings, until};

/// Longer than an owner is gossiped: 12 digests, one per exchange interval.
const GOSSIP_DURATION: Duration = Duration::from_secs(3);

/// Returns every bucket of the fleet.
fn buckets() -> Vec<Bucket> {
    let settings = settings();
    let endpoints = (0..settings.endpoint_buckets).map(|index| Bucket {
        kind: BucketKind::Endpoint,
        index,
    });
    let shards = (0..settings.ledger_shards).map(|index| Bucket::of_shard(ShardId(index)));
    endpoints.chain(shards).collect()
}

/// Returns how many nodes may act for `bucket` at `now`.
fn owner_count(fleet: &[&Peers], bucket: Bucket, now: Now) -> usize {
    let tokens = fleet
        .iter()
        .map(|p| p.ownership().fencing_token(bucket, now));
    tokens.flatten().count()
}

fn all_owned(fleet: &[&Peers], now: Now) -> bool {
    buckets()
        .into_iter()
        .all(|b| owner_count(fleet, b, now) == 1)
}

/// Checks repeatedly, for `duration`, that no bucket has two acting owners.
async fn assert_one_owner_for(fleet: &[&Peers], clock: &impl Clock, duration: Duration) {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        assert_one_owner(fleet, clock);
        sleep(Duration::from_millis(5)).await;
    }
}

fn assert_one_owner(fleet: &[&Peers], clock: &impl Clock) {
    for bucket in buckets() {
        let count = owner_count(fleet, bucket, clock.now());
        assert!(count <= 1, "{count} nodes act for {bucket}");
    }
}

async fn until_all_owned(fleet: &[&Peers], clock: &impl Clock) {
    until("every bucket owned", || {
        assert_one_owner(fleet, clock);
        all_owned(fleet, clock.now())
    })
    .await;
}

#[tokio::test]
async fn one_owner_through_death_outage_and_join() {
    let platform = Platform::default();
    let clock = platform.clock;
    let mut fleet = platform.fleet(4).await;
    until_all_owned(&fleet.iter().collect::<Vec<_>>(), &clock).await;

    let dead = fleet.remove(0);
    let lost: Vec<Bucket> = dead.ownership().held(clock.now());
    assert!(!lost.is_empty());
    drop(dead);
    until_all_owned(&fleet.iter().collect::<Vec<_>>(), &clock).await;

    platform.store_down(true);
    assert_one_owner_for(
        &fleet.iter().collect::<Vec<_>>(),
        &clock,
        Duration::from_secs(3),
    )
    .await;
    let held: usize = fleet
        .iter()
        .map(|p| p.ownership().held(clock.now()).len())
        .sum();
    assert_eq!(held, 0, "no lease outlives the outage");
    platform.store_down(false);
    until_all_owned(&fleet.iter().collect::<Vec<_>>(), &clock).await;

    fleet.push(platform.start("n5").await);
    until("new node owns its part", || {
        assert_one_owner(&fleet.iter().collect::<Vec<_>>(), &clock);
        !fleet[3].ownership().held(clock.now()).is_empty()
    })
    .await;
    until_all_owned(&fleet.iter().collect::<Vec<_>>(), &clock).await;
}

#[tokio::test]
async fn paused_owner_may_not_act_once_its_lease_has_expired() {
    let platform = Platform::default();
    let clock = ManualClock::new();
    let peers = platform.start_with("n1", "dc-a", clock.clone()).await;
    until("owner", || {
        peers.ownership().held(clock.now()).len() == buckets().len()
    })
    .await;
    let bucket = buckets()[0];
    let before = clock.now();
    assert!(peers.ownership().fencing_token(bucket, before).is_some());

    // Simulates a pause: the clock advances while no task of the node runs.
    clock.advance(settings().lease_ttl_ms - settings().lease_margin_ms);
    let after = clock.now();
    assert_eq!(peers.ownership().fencing_token(bucket, after), None);
    assert_eq!(peers.ownership().owner(bucket, after), Owner::Unknown);
    assert_eq!(
        peers.ownership().shard_owner(ShardId(0), after),
        ShardOwner::Unknown
    );
}

#[tokio::test]
async fn frozen_owner_finds_its_lease_expired() {
    let platform = Platform::default();
    let clock = platform.clock;
    let frozen = FreezableNode::start(&platform, "frozen");
    let fleet = platform.fleet_alongside(2, 1).await;
    let mut all: Vec<&Peers> = fleet.iter().collect();
    all.push(&frozen.peers);
    until_all_owned(&all, &clock).await;
    let held = frozen.peers.ownership().held(clock.now());
    assert!(!held.is_empty());
    let token = frozen.peers.ownership().fencing_token(held[0], clock.now());

    let thaw = frozen.freeze();
    until("others own its buckets", || {
        assert_one_owner(&all, &clock);
        all_owned(&fleet.iter().collect::<Vec<_>>(), clock.now())
    })
    .await;
    let later_token = fleet
        .iter()
        .find_map(|p| p.ownership().fencing_token(held[0], clock.now()));
    assert!(later_token > token, "the fencing token increases");
    drop(thaw);
    assert_one_owner_for(&all, &clock, Duration::from_millis(500)).await;
}

#[tokio::test]
async fn drain_hands_every_bucket_over() {
    let platform = Platform::default();
    let clock = platform.clock;
    let mut fleet = platform.fleet(3).await;
    until_all_owned(&fleet.iter().collect::<Vec<_>>(), &clock).await;
    let leaving = fleet.remove(0);
    leaving.drain().await.unwrap();
    let rest: Vec<&Peers> = fleet.iter().collect();
    assert!(
        all_owned(&rest, clock.now()),
        "buckets were handed over without waiting for the lease to expire"
    );
}

#[tokio::test]
async fn owner_stops_acting_before_it_hands_over() {
    let platform = Platform::default();
    let clock = platform.clock;
    let mut fleet = platform.fleet(2).await;
    until_all_owned(&fleet.iter().collect::<Vec<_>>(), &clock).await;
    let leaving = fleet.remove(0);
    let before = leaving.ownership().held(clock.now());
    platform.store.block_writes.store(true, Ordering::SeqCst);
    let bucket_released = until("a bucket is no longer held", || {
        leaving.ownership().held(clock.now()).len() < before.len()
    });
    let stopped = async {
        bucket_released.await;
        let held = leaving.ownership().held(clock.now());
        let bucket = before.iter().find(|bucket| !held.contains(bucket)).unwrap();
        let stored = platform.store.inner.get(&bucket.key()).await.unwrap();
        assert!(stored.is_some_and(|entry| entry.value.contains("n1")));
        platform.store.block_writes.store(false, Ordering::SeqCst);
    };
    let (_, drained) = tokio::join!(stopped, leaving.drain());
    drained.unwrap();
}

#[tokio::test]
async fn lost_reply_to_an_acquisition_is_read_back() {
    let platform = Platform::default();
    platform.store.lose_next_reply.store(true, Ordering::SeqCst);
    let fleet = platform.fleet(1).await;
    until_all_owned(&fleet.iter().collect::<Vec<_>>(), &platform.clock).await;
    assert!(!platform.store.lose_next_reply.load(Ordering::SeqCst));
}

#[tokio::test]
async fn nodes_agree_on_the_owner_without_asking_the_store() {
    let platform = Platform::default();
    let clock = platform.clock;
    let fleet = platform.fleet(3).await;
    until_all_owned(&fleet.iter().collect::<Vec<_>>(), &clock).await;
    until("agreed", || {
        buckets().into_iter().all(|bucket| {
            let mut names =
                fleet
                    .iter()
                    .map(|peers| match peers.ownership().owner(bucket, clock.now()) {
                        Owner::Local { .. } => Some(peers.address().to_owned()),
                        Owner::Remote { address, .. } => Some(address),
                        Owner::Unknown => None,
                    });
            let first = names.next().unwrap();
            first.is_some() && names.all(|name| name == first)
        })
    })
    .await;
}

#[tokio::test]
async fn node_that_missed_gossip_learns_the_owner_from_the_former_one() {
    let platform = Platform::default();
    let clock = platform.clock;
    let frozen = FreezableNode::start(&platform, "frozen");
    let mut fleet = platform.fleet_alongside(2, 1).await;
    let mut all: Vec<&Peers> = fleet.iter().collect();
    all.push(&frozen.peers);
    until_all_owned(&all, &clock).await;

    // Buckets move to a new node, and the gossip about it ends before the frozen
    // node resumes.
    let thaw = frozen.freeze();
    let started = platform.start("n3").await;
    until("the new node owns shards", || {
        !shards_of(&started, clock.now()).is_empty()
    })
    .await;
    let moved = shards_of(&started, clock.now())[0];
    sleep(GOSSIP_DURATION).await;
    drop(thaw);
    fleet.push(started);

    let transport = frozen.peers.transport();
    let call = LedgerCall::FindClaim(key_in(moved));
    let expected = fleet[2].address();
    let end = Instant::now() + Duration::from_secs(5);
    loop {
        let owner = frozen.peers.ownership().shard_owner(moved, clock.now());
        let ShardOwner::Remote { address, .. } = owner else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        if address == expected {
            return;
        }
        assert!(
            Instant::now() < end,
            "{address} is still called as the owner"
        );
        let _ = transport.call(&address, call.clone()).await;
        sleep(Duration::from_millis(20)).await;
    }
}

fn shards_of(peers: &Peers, now: Now) -> Vec<ShardId> {
    let held = peers.ownership().held(now);
    held.into_iter()
        .filter(|bucket| bucket.kind == BucketKind::Ledger)
        .map(|bucket| ShardId(bucket.index))
        .collect()
}

/// Returns a claim key that hashes to `shard`.
fn key_in(shard: ShardId) -> ClaimKey {
    (0..)
        .map(|number| ClaimKey {
            organisation: "o".into(),
            idempotency_key: format!("k-{number}"),
        })
        .find(|key| LedgerCall::FindClaim(key.clone()).shard(settings().ledger_shards) == shard)
        .expect("every shard has a key")
}

//! Slots of all nodes together stay within what an endpoint bears.

mod support;

use std::time::Duration;

use hemlockhitch_model::Clock;
use hemlockhitch_peer::slots::{PeerSlot, Slot, SlotRefusal, SlotReport, SlotRequest, Slots};
use hemlockhitch_peer::{NoticeKind, Owner, Peers};
use hemlockhitch_policy::bearing::{ReportSign, SlotSign};
use tokio::time::{Instant, sleep};

use support::{Platform, settings, until};

const COLD_LIMIT: u32 = 3;
const WARM_LIMIT: u32 = 16;

fn request() -> SlotRequest {
    SlotRequest {
        endpoint: "e-1".into(),
        cold_limit: COLD_LIMIT,
        warm_limit: WARM_LIMIT,
    }
}

/// Callers that keep asking every node for slots.
struct Load<'a> {
    platform: &'a Platform,
    held: Vec<(String, PeerSlot)>,
    refusals: Vec<SlotRefusal>,
    limit: u32,
    report: SlotReport,
    steps: u32,
    /// Whether requests end.
    ends: bool,
}

impl<'a> Load<'a> {
    /// Load on an endpoint that reports nothing, and so counts as cold for the
    /// length of any test here.
    fn cold(platform: &'a Platform) -> Self {
        Self {
            platform,
            held: Vec::new(),
            refusals: Vec::new(),
            limit: COLD_LIMIT,
            report: SlotReport::Served { first_token_ms: 10 },
            steps: 0,
            ends: true,
        }
    }

    /// Asks each node once, checks the sum, and ends the oldest slot in every fourth step.
    async fn step(&mut self, fleet: &[Peers]) -> usize {
        let mut gained = 0;
        for peers in fleet {
            let now = self.platform.clock.now();
            match peers.slots().acquire(request(), now).await {
                Ok(slot) => {
                    gained += 1;
                    self.held.push((peers.address().to_owned(), slot));
                }
                Err(refusal) => self.refusals.push(refusal),
            }
            let in_use = u32::try_from(self.held.len()).unwrap();
            assert!(in_use <= self.limit, "{in_use} slots in use");
        }
        self.steps += 1;
        if self.ends && self.steps.is_multiple_of(4) && !self.held.is_empty() {
            let (_, slot) = self.held.remove(0);
            slot.finish(self.report, self.platform.clock.now());
        }
        gained
    }

    async fn run(&mut self, fleet: &[Peers], length: Duration) {
        let end = Instant::now() + length;
        while Instant::now() < end {
            self.step(fleet).await;
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn until_granted(&mut self, fleet: &[Peers]) {
        let deadline = Instant::now() + Duration::from_secs(10);
        while self.step(fleet).await == 0 {
            assert!(Instant::now() < deadline, "nothing granted");
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Forgets the slots of a node that died: its connections are gone.
    fn died(&mut self, peers: &Peers) {
        self.held.retain(|(address, _)| address != peers.address());
    }
}

fn owner_index(fleet: &[Peers], platform: &Platform) -> Option<usize> {
    let now = platform.clock.now();
    fleet.iter().position(|peers| {
        let bucket = peers.ownership().endpoint_bucket(&request().endpoint);
        matches!(peers.ownership().owner(bucket, now), Owner::Here { .. })
    })
}

#[tokio::test]
async fn cold_limit_holds_through_death_of_the_owner() {
    let platform = Platform::default();
    let mut fleet = platform.fleet(4).await;
    let mut load = Load::cold(&platform);
    load.until_granted(&fleet).await;
    load.run(&fleet, Duration::from_millis(500)).await;
    let owner = fleet.remove(owner_index(&fleet, &platform).unwrap());
    load.died(&owner);
    drop(owner);
    load.run(&fleet, Duration::from_secs(4)).await;
    load.held.clear();
    load.until_granted(&fleet).await;
}

#[tokio::test]
async fn long_requests_stay_counted_by_every_next_owner() {
    let platform = Platform::default();
    let mut fleet = platform.fleet(4).await;
    let mut load = Load::cold(&platform);
    load.until_granted(&fleet).await;
    let owner = fleet.remove(owner_index(&fleet, &platform).unwrap());
    load.held.clear();
    load.ends = false;
    while load.held.len() < COLD_LIMIT as usize {
        load.until_granted(&fleet).await;
    }
    drop(owner);
    // Past the lease, the suspicion and two time-outs of grants.
    load.run(&fleet, Duration::from_secs(8)).await;
    assert!(owner_index(&fleet, &platform).is_some());
    load.held.pop();
    load.until_granted(&fleet).await;
}

#[tokio::test]
async fn cold_limit_holds_through_drain_and_join() {
    let platform = Platform::default();
    let mut fleet = platform.fleet(3).await;
    let mut load = Load::cold(&platform);
    load.until_granted(&fleet).await;
    for round in 0..3 {
        load.run(&fleet, Duration::from_millis(300)).await;
        let owner = fleet.remove(owner_index(&fleet, &platform).unwrap());
        let draining = owner.drain();
        let loading = load.run(&fleet, Duration::from_millis(300));
        tokio::join!(async { draining.await.unwrap() }, loading);
        load.died(&owner);
        platform.vms.remove(&format!("n{}", round + 1));
        fleet.push(platform.start(&format!("new{round}")).await);
    }
    load.held.clear();
    load.until_granted(&fleet).await;
}

#[tokio::test]
async fn cold_endpoint_gets_nothing_new_while_the_store_is_down() {
    let platform = Platform::default();
    let fleet = platform.fleet(3).await;
    let mut load = Load::cold(&platform);
    load.until_granted(&fleet).await;
    platform.store_down(true);
    let lapse = Duration::from_millis(settings().lease_ttl_ms);
    load.run(&fleet, lapse).await;
    load.refusals.clear();
    load.held.clear();
    assert_eq!(load.step(&fleet).await, 0);
    assert_eq!(load.refusals, [SlotRefusal::NoOwner; 3]);
    platform.store_down(false);
    load.until_granted(&fleet).await;
}

/// Tells the owner that the endpoint is warm.
fn warm_up(fleet: &[Peers], platform: &Platform) {
    let report = ReportSign {
        cold: false,
        running: WARM_LIMIT,
        limit: WARM_LIMIT,
        age_ms: 0,
    };
    let owner = owner_index(fleet, platform).unwrap();
    let slots = fleet[owner].slots();
    let now = platform.clock.now();
    assert!(slots.observe(&request().endpoint, SlotSign::Reported(report), now));
}

fn warm<'a>(platform: &'a Platform) -> Load<'a> {
    Load {
        limit: WARM_LIMIT,
        ..Load::cold(platform)
    }
}

#[tokio::test]
async fn warm_endpoint_is_used_by_fixed_shares_while_the_store_is_down() {
    let platform = Platform::default();
    let fleet = platform.fleet(3).await;
    let mut load = warm(&platform);
    load.until_granted(&fleet).await;
    warm_up(&fleet, &platform);
    load.run(&fleet, Duration::from_secs(1)).await;
    assert!(load.held.len() > COLD_LIMIT as usize, "warm");
    platform.store_down(true);
    load.run(&fleet, Duration::from_millis(2 * settings().lease_ttl_ms))
        .await;
    assert_eq!(owner_index(&fleet, &platform), None);
    load.held.clear();
    load.limit = request().shared_slots();
    for _ in 0..4 {
        load.step(&fleet).await;
    }
    assert!(!load.held.is_empty(), "shares are used");
    load.limit = WARM_LIMIT;
    platform.store_down(false);
    load.run(&fleet, Duration::from_secs(4)).await;
}

#[tokio::test]
async fn warm_lot_serves_many_requests_with_one_call() {
    let platform = Platform::default();
    let fleet = platform.fleet(3).await;
    let mut load = warm(&platform);
    load.until_granted(&fleet).await;
    load.held.clear();
    warm_up(&fleet, &platform);
    let owner = owner_index(&fleet, &platform).unwrap();
    let asker = fleet[(owner + 1) % 3].slots();
    let mut rounds = 0;
    let calls_before = platform.clock.now();
    for _ in 0..100 {
        let now = platform.clock.now();
        let slot = asker.acquire(request(), now).await.unwrap();
        rounds += u32::from(slot.was_requested());
        slot.finish(SlotReport::Served { first_token_ms: 10 }, now);
    }
    let elapsed_ms = platform.clock.now().mono_ms - calls_before.mono_ms;
    let renewals = 1 + u32::try_from(elapsed_ms / settings().grant_renew_ms).unwrap();
    assert!(rounds <= 2 * renewals, "{rounds} calls for 100 requests");
}

#[tokio::test]
async fn endpoint_that_turns_cold_ends_the_lots_of_all_nodes() {
    let platform = Platform::default();
    let fleet = platform.fleet(3).await;
    let mut load = warm(&platform);
    load.until_granted(&fleet).await;
    warm_up(&fleet, &platform);
    load.held.clear();
    load.ends = false;
    load.step(&fleet).await;
    // Nodes have lots with unused slots.
    assert_eq!(load.held.len(), fleet.len());
    let (_, slot) = load.held.pop().unwrap();
    slot.finish(SlotReport::Failed, platform.clock.now());
    let notices: Vec<_> = fleet.iter().map(Peers::notices).collect();
    let now = platform.clock.now();
    until("all nodes know", || {
        notices
            .iter()
            .all(|n| n.get(NoticeKind::Cold, "e-1", now).is_some())
    })
    .await;
    load.limit = COLD_LIMIT;
    load.run(&fleet, Duration::from_millis(300)).await;
    for (_, slot) in load.held.drain(..) {
        let now = platform.clock.now();
        slot.finish(SlotReport::Served { first_token_ms: 10 }, now);
    }
    load.run(&fleet, Duration::from_secs(1)).await;
}

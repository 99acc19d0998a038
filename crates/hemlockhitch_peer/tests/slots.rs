//! The slots in use on all nodes together stay within the limit of an endpoint.

mod support;

use std::time::Duration;

use hemlockhitch_model::Clock;
use hemlockhitch_peer::slots::{PeerSlot, Slot, SlotRefusal, SlotReport, SlotRequest, Slots};
use hemlockhitch_peer::{NoticeKind, Owner, Peers};
use hemlockhitch_policy::concurrency_limit::{LimitSignal, LoadReportSignal};
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

/// Load that keeps acquiring slots of one endpoint on every node.
struct Load<'a> {
    platform: &'a Platform,
    /// Slots in use, with the address of the node that holds each.
    held: Vec<(String, PeerSlot)>,
    refusals: Vec<SlotRefusal>,
    /// Maximum number of slots in use at once; checked after every request.
    limit: u32,
    /// Reported for every request that finishes.
    report: SlotReport,
    steps: u32,
    /// Whether requests finish; otherwise they run until the test drops them.
    finish_requests: bool,
}

impl<'a> Load<'a> {
    /// Load on an endpoint that sends no reports and therefore counts as cold for the
    /// whole test.
    fn cold(platform: &'a Platform) -> Self {
        Self {
            platform,
            held: Vec::new(),
            refusals: Vec::new(),
            limit: COLD_LIMIT,
            report: SlotReport::Served { first_token_ms: 10 },
            steps: 0,
            finish_requests: true,
        }
    }

    /// Requests a slot on each node, checks the number in use, and finishes the
    /// oldest request in every fourth step. Returns how many slots were granted.
    async fn step(&mut self, fleet: &[Peers]) -> usize {
        let mut granted = 0;
        for peers in fleet {
            let now = self.platform.clock.now();
            match peers.slots().acquire(request(), now).await {
                Ok(slot) => {
                    granted += 1;
                    self.held.push((peers.address().to_owned(), slot));
                }
                Err(refusal) => self.refusals.push(refusal),
            }
            let in_use = u32::try_from(self.held.len()).unwrap();
            assert!(in_use <= self.limit, "{in_use} slots in use");
        }
        self.steps += 1;
        if self.finish_requests && self.steps.is_multiple_of(4) && !self.held.is_empty() {
            let (_, slot) = self.held.remove(0);
            slot.finish(self.report, self.platform.clock.now());
        }
        granted
    }

    async fn run(&mut self, fleet: &[Peers], duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.step(fleet).await;
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn run_until_granted(&mut self, fleet: &[Peers]) {
        let deadline = Instant::now() + Duration::from_secs(10);
        while self.step(fleet).await == 0 {
            assert!(Instant::now() < deadline, "nothing granted");
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Drops the slots of a node that died: its connections are closed.
    fn drop_slots_of(&mut self, peers: &Peers) {
        self.held.retain(|(address, _)| address != peers.address());
    }
}

fn owner_index(fleet: &[Peers], platform: &Platform) -> Option<usize> {
    let now = platform.clock.now();
    fleet.iter().position(|peers| {
        let bucket = peers.ownership().endpoint_bucket(&request().endpoint);
        matches!(peers.ownership().owner(bucket, now), Owner::Local { .. })
    })
}

#[tokio::test]
async fn cold_limit_holds_through_death_of_the_owner() {
    let platform = Platform::default();
    let mut fleet = platform.fleet(4).await;
    let mut load = Load::cold(&platform);
    load.run_until_granted(&fleet).await;
    load.run(&fleet, Duration::from_millis(500)).await;
    let owner = fleet.remove(owner_index(&fleet, &platform).unwrap());
    load.drop_slots_of(&owner);
    drop(owner);
    load.run(&fleet, Duration::from_secs(4)).await;
    load.held.clear();
    load.run_until_granted(&fleet).await;
}

#[tokio::test]
async fn long_requests_stay_counted_across_owner_changes() {
    let platform = Platform::default();
    let mut fleet = platform.fleet(4).await;
    let mut load = Load::cold(&platform);
    load.run_until_granted(&fleet).await;
    let owner = fleet.remove(owner_index(&fleet, &platform).unwrap());
    load.held.clear();
    load.finish_requests = false;
    while load.held.len() < COLD_LIMIT as usize {
        load.run_until_granted(&fleet).await;
    }
    drop(owner);
    // Longer than the lease, the suspicion timeout and twice the TTL of grants.
    load.run(&fleet, Duration::from_secs(8)).await;
    assert!(owner_index(&fleet, &platform).is_some());
    load.held.pop();
    load.run_until_granted(&fleet).await;
}

#[tokio::test]
async fn cold_limit_holds_through_drain_and_join() {
    let platform = Platform::default();
    let mut fleet = platform.fleet(3).await;
    let mut load = Load::cold(&platform);
    load.run_until_granted(&fleet).await;
    for round in 0..3 {
        load.run(&fleet, Duration::from_millis(300)).await;
        let owner = fleet.remove(owner_index(&fleet, &platform).unwrap());
        let draining = owner.drain();
        let loading = load.run(&fleet, Duration::from_millis(300));
        tokio::join!(async { draining.await.unwrap() }, loading);
        load.drop_slots_of(&owner);
        platform.vms.remove(&format!("n{}", round + 1));
        fleet.push(platform.start(&format!("new{round}")).await);
    }
    load.held.clear();
    load.run_until_granted(&fleet).await;
}

#[tokio::test]
async fn cold_endpoint_gets_no_new_slot_while_the_store_is_down() {
    let platform = Platform::default();
    let fleet = platform.fleet(3).await;
    let mut load = Load::cold(&platform);
    load.run_until_granted(&fleet).await;
    platform.store_down(true);
    let lease_ttl = Duration::from_millis(settings().lease_ttl_ms);
    load.run(&fleet, lease_ttl).await;
    load.refusals.clear();
    load.held.clear();
    assert_eq!(load.step(&fleet).await, 0);
    assert_eq!(load.refusals, [SlotRefusal::NoOwner; 3]);
    platform.store_down(false);
    load.run_until_granted(&fleet).await;
}

/// Reports to the owner that the endpoint is warm.
fn report_warm(fleet: &[Peers], platform: &Platform) {
    let report = LoadReportSignal {
        cold: false,
        running: WARM_LIMIT,
        limit: WARM_LIMIT,
        age_ms: 0,
    };
    let owner = owner_index(fleet, platform).unwrap();
    let slots = fleet[owner].slots();
    let now = platform.clock.now();
    assert!(slots.observe(&request().endpoint, LimitSignal::Reported(report), now));
}

/// Load on an endpoint that may use its full warm limit.
fn warm_load<'a>(platform: &'a Platform) -> Load<'a> {
    Load {
        limit: WARM_LIMIT,
        ..Load::cold(platform)
    }
}

#[tokio::test]
async fn warm_endpoint_is_served_from_fixed_shares_while_the_store_is_down() {
    let platform = Platform::default();
    let fleet = platform.fleet(3).await;
    let mut load = warm_load(&platform);
    load.run_until_granted(&fleet).await;
    report_warm(&fleet, &platform);
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
async fn multi_slot_grant_serves_many_requests_with_one_call() {
    let platform = Platform::default();
    let fleet = platform.fleet(3).await;
    let mut load = warm_load(&platform);
    load.run_until_granted(&fleet).await;
    load.held.clear();
    report_warm(&fleet, &platform);
    let owner = owner_index(&fleet, &platform).unwrap();
    let requester = fleet[(owner + 1) % 3].slots();
    let mut owner_requests = 0;
    let started_at = platform.clock.now();
    for _ in 0..100 {
        let now = platform.clock.now();
        let slot = requester.acquire(request(), now).await.unwrap();
        owner_requests += u32::from(slot.was_requested());
        slot.finish(SlotReport::Served { first_token_ms: 10 }, now);
    }
    let elapsed_ms = platform.clock.now().mono_ms - started_at.mono_ms;
    let renewals = 1 + u32::try_from(elapsed_ms / settings().grant_renew_ms).unwrap();
    assert!(
        owner_requests <= 2 * renewals,
        "{owner_requests} calls for 100 requests"
    );
}

#[tokio::test]
async fn endpoint_that_turns_cold_ends_slot_reuse_on_all_nodes() {
    let platform = Platform::default();
    let fleet = platform.fleet(3).await;
    let mut load = warm_load(&platform);
    load.run_until_granted(&fleet).await;
    report_warm(&fleet, &platform);
    load.held.clear();
    load.finish_requests = false;
    load.step(&fleet).await;
    // The nodes hold grants with free slots.
    assert_eq!(load.held.len(), fleet.len());
    let (_, slot) = load.held.pop().unwrap();
    slot.finish(SlotReport::Failed, platform.clock.now());
    let notices: Vec<_> = fleet.iter().map(Peers::notices).collect();
    let now = platform.clock.now();
    until("cold notice on all nodes", || {
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

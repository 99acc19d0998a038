//! Stateful fuzzing of the owner's grant table and the nodes' held slots: running
//! requests stay within the limit of the endpoint.

use hemlockhitch_model::{Clock, ManualClock, NodeName};
use hemlockhitch_peer::member::NodeId;
use hemlockhitch_peer::slots::{GrantAnswer, GrantTable, HeldSlots, SlotReport, SlotRequest};
use hemlockhitch_peer::{Bucket, BucketKind};
use hemlockhitch_policy::concurrency_limit::{LimitSignal, LoadReportSignal};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEEDS: [u64; 4] = [1, 2, 3, 4];
const CASES: u64 = 400;
const STEPS_PER_CASE: usize = 120;
const NODES: u8 = 4;
const GRANT_TTL_MS: u64 = 10_000;
const RENEW_MS: u64 = 3_000;

const SERVED: SlotReport = SlotReport::Served { first_token_ms: 1 };

const BUCKET: Bucket = Bucket {
    kind: BucketKind::Endpoint,
    index: 0,
};

fn request() -> SlotRequest {
    SlotRequest {
        endpoint: "e-1".into(),
        cold_limit: 2,
        warm_limit: 24,
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Acquire {
        node: u8,
    },
    /// The reply is lost, so the node does not use the granted slots.
    GrantReplyLost {
        node: u8,
    },
    Serve {
        nth: u8,
    },
    Fail {
        nth: u8,
    },
    /// A request is served, but its release does not reach the owner.
    ReleaseLost {
        nth: u8,
    },
    /// The endpoint reports that it is warm.
    Warm,
    AdvanceTime {
        elapsed_ms: u16,
    },
    HandOver,
    /// The owner dies. The node `unresponsive` does not report its slots to the next
    /// owner.
    OwnerDies {
        unresponsive: Option<u8>,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u8::arbitrary(g);
        match u8::arbitrary(g) % 20 {
            0..=6 => Self::Acquire {
                node: number % NODES,
            },
            7 => Self::GrantReplyLost {
                node: number % NODES,
            },
            8..=11 => Self::Serve { nth: number },
            12 => Self::Fail { nth: number },
            13 => Self::ReleaseLost { nth: number },
            14 => Self::Warm,
            15..=17 => Self::AdvanceTime {
                elapsed_ms: u16::arbitrary(g) % 4_000,
            },
            18 => Self::HandOver,
            _ => Self::OwnerDies {
                unresponsive: (number % 2 == 0).then_some(number % NODES),
            },
        }
    }
}

/// A request running at the endpoint.
#[derive(Clone, Copy, Debug)]
struct Running {
    node: u8,
    grant_id: u64,
}

/// The owner's grant table, the slots of each node, and the requests that run.
struct Simulation {
    clock: ManualClock,
    grant_table: GrantTable,
    held_slots: Vec<HeldSlots>,
    running: Vec<Running>,
    next_id: u64,
    /// Time of the last renewal by all nodes.
    renewed_mono_ms: u64,
    /// Whether the endpoint turned cold and no owner has granted it as warm since.
    cold: bool,
}

impl Simulation {
    fn new() -> Self {
        Self {
            clock: ManualClock::new(),
            grant_table: GrantTable::new(GRANT_TTL_MS, 1),
            held_slots: (0..NODES).map(|_| HeldSlots::default()).collect(),
            running: Vec::new(),
            next_id: 0,
            renewed_mono_ms: 0,
            cold: true,
        }
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Acquire { node } => return self.acquire(node),
            Step::GrantReplyLost { node } => {
                self.request_grant(node);
            }
            Step::Serve { nth } => self.finish(nth, SERVED, true),
            Step::Fail { nth } => self.finish(nth, SlotReport::Failed, true),
            Step::ReleaseLost { nth } => self.finish(nth, SERVED, false),
            Step::Warm => self.report_warm(),
            Step::AdvanceTime { elapsed_ms } => self.advance_time(u64::from(elapsed_ms)),
            Step::HandOver => self.hand_over(),
            Step::OwnerDies { unresponsive } => self.owner_dies(unresponsive),
        }
        Ok(())
    }

    fn request_grant(&mut self, node: u8) -> GrantAnswer {
        self.next_id += 1;
        let now = self.clock.now();
        let node = node_id(node);
        self.grant_table.grant(node, self.next_id, &request(), now)
    }

    fn acquire(&mut self, node: u8) -> Result<(), String> {
        let now = self.clock.now();
        let endpoint = request().endpoint;
        if let Some(grant_id) = self.held_slots_of(node).take_free(&endpoint, now) {
            return self.start(Running { node, grant_id });
        }
        let GrantAnswer::Granted { slots, warm } = self.request_grant(node) else {
            return Ok(());
        };
        self.cold = !warm;
        let grant_id = self.next_id;
        let expires_mono_ms = now.mono_ms + GRANT_TTL_MS;
        self.held_slots_of(node)
            .add(&endpoint, grant_id, slots, expires_mono_ms);
        self.start(Running { node, grant_id })
    }

    /// Starts a request and checks that the running requests stay within the limit.
    fn start(&mut self, started: Running) -> Result<(), String> {
        self.running.push(started);
        let running = self.running.len();
        let limit = if self.cold {
            request().cold_limit
        } else {
            request().warm_limit
        };
        if running > limit as usize {
            return Err(format!("{running} requests running, limit {limit}"));
        }
        Ok(())
    }

    /// Ends a running request; the release reaches the owner if `delivered`.
    fn finish(&mut self, nth: u8, report: SlotReport, delivered: bool) {
        if self.running.is_empty() {
            return;
        }
        let index = usize::from(nth) % self.running.len();
        let Running { node, grant_id } = self.running.swap_remove(index);
        let endpoint = request().endpoint;
        let now = self.clock.now();
        let failed = report == SlotReport::Failed;
        if failed {
            self.held_slots_of(node).mark_cold(&endpoint);
        }
        let released = self
            .held_slots_of(node)
            .release(&endpoint, grant_id, Some(report), now);
        if !delivered || released.report_queued {
            return;
        }
        self.grant_table
            .release(node_id(node), grant_id, &endpoint, released.slots);
        if self.grant_table.observe(&endpoint, report.into(), now) {
            self.mark_cold();
        }
    }

    fn mark_cold(&mut self) {
        self.cold = true;
        let endpoint = request().endpoint;
        for slots in &mut self.held_slots {
            slots.mark_cold(&endpoint);
        }
    }

    fn report_warm(&mut self) {
        let report = LoadReportSignal {
            cold: false,
            running: request().warm_limit,
            limit: request().warm_limit,
            age_ms: 0,
        };
        let now = self.clock.now();
        self.grant_table
            .observe(&request().endpoint, LimitSignal::Reported(report), now);
    }

    /// Advances the clock; all nodes renew their grants every [`RENEW_MS`].
    fn advance_time(&mut self, elapsed_ms: u64) {
        let end_mono_ms = self.clock.now().mono_ms + elapsed_ms;
        while self.renewed_mono_ms + RENEW_MS <= end_mono_ms {
            self.renewed_mono_ms += RENEW_MS;
            let now_mono_ms = self.clock.now().mono_ms;
            self.clock
                .advance(self.renewed_mono_ms.saturating_sub(now_mono_ms));
            for node in 0..NODES {
                self.renew(node);
            }
        }
        let now_mono_ms = self.clock.now().mono_ms;
        self.clock.advance(end_mono_ms - now_mono_ms);
    }

    fn renew(&mut self, node: u8) {
        let now = self.clock.now();
        let expires_mono_ms = now.mono_ms + GRANT_TTL_MS;
        let renewal = self
            .held_slots_of(node)
            .prepare_renewal(node_id(node), expires_mono_ms);
        for grant in renewal.idle {
            self.grant_table
                .release(grant.node, grant.grant_id, &grant.endpoint, grant.slots);
        }
        for (endpoint, report) in renewal.reports {
            self.grant_table.observe(&endpoint, report.into(), now);
        }
        for grant in renewal.live {
            self.held_slots_of(node).extend(&grant, expires_mono_ms);
            self.grant_table.import([grant], now);
        }
        if self.grant_table.is_cold(&request().endpoint, now) {
            self.held_slots_of(node).mark_cold(&request().endpoint);
        }
    }

    fn hand_over(&mut self) {
        let now = self.clock.now();
        let grants = self.grant_table.export(BUCKET, now);
        let mut successor = GrantTable::new(GRANT_TTL_MS, 1);
        successor.close(BUCKET, now);
        successor.import(grants, now);
        successor.open_after(BUCKET, self.grant_table.closed_for_ms(BUCKET, now), now);
        self.grant_table = successor;
    }

    fn owner_dies(&mut self, unresponsive: Option<u8>) {
        let now = self.clock.now();
        let expires_mono_ms = now.mono_ms + GRANT_TTL_MS;
        self.grant_table = GrantTable::new(GRANT_TTL_MS, 1);
        self.grant_table.close(BUCKET, now);
        for node in (0..NODES).filter(|node| Some(*node) != unresponsive) {
            let held =
                self.held_slots_of(node)
                    .drop_free_and_list(node_id(node), expires_mono_ms, |_| true);
            self.grant_table.import(held, now);
        }
        if unresponsive.is_none() {
            self.grant_table.open(BUCKET);
        }
    }

    fn held_slots_of(&mut self, node: u8) -> &mut HeldSlots {
        &mut self.held_slots[usize::from(node)]
    }
}

fn node_id(node: u8) -> NodeId {
    NodeId::of(&NodeName::from(format!("n{node}")))
}

fn runs_within_limit(steps: Vec<Step>) -> Result<(), String> {
    let mut simulation = Simulation::new();
    steps.into_iter().try_for_each(|step| simulation.step(step))
}

#[test]
fn running_requests_stay_within_the_limit() {
    for seed in SEEDS {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(STEPS_PER_CASE, seed))
            .tests(CASES)
            .quickcheck(runs_within_limit as fn(Vec<Step>) -> Result<(), String>);
    }
}

#[test]
fn hand_over_by_an_owner_that_does_not_know_all_grants() {
    let steps = vec![
        Step::Acquire { node: 0 },
        Step::OwnerDies {
            unresponsive: Some(0),
        },
        Step::HandOver,
        Step::Acquire { node: 0 },
        Step::Acquire { node: 1 },
    ];
    assert_eq!(runs_within_limit(steps), Ok(()));
}

#[test]
fn slots_are_not_reused_once_the_endpoint_turned_cold() {
    let steps = vec![
        Step::Acquire { node: 2 },
        Step::Acquire { node: 1 },
        Step::Warm,
        Step::Acquire { node: 0 },
        Step::Acquire { node: 0 },
        Step::Acquire { node: 0 },
        Step::Acquire { node: 0 },
        Step::Fail { nth: 18 },
        Step::Serve { nth: 24 },
        Step::Acquire { node: 0 },
    ];
    assert_eq!(runs_within_limit(steps), Ok(()));
}

//! Stateful fuzzing of the owner's book and the nodes' slots against the set of
//! requests that run.

use hemlockhitch_model::{Clock, ManualClock, NodeName};
use hemlockhitch_peer::member::NodeId;
use hemlockhitch_peer::slots::{GrantAnswer, GrantTable, HeldSlots, SlotReport, SlotRequest};
use hemlockhitch_peer::{Bucket, BucketKind};
use hemlockhitch_policy::bearing::{ReportSign, SlotSign};
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
    /// The answer is lost, so the node does not use what was granted.
    AcquireLost {
        node: u8,
    },
    Serve {
        nth: u8,
    },
    Fail {
        nth: u8,
    },
    /// The owner does not hear of the end.
    EndUnheard {
        nth: u8,
    },
    /// The endpoint reports that it is warm.
    Warm,
    Pass {
        elapsed_ms: u16,
    },
    HandOver,
    /// The owner dies; `silent` does not tell the next one what it holds.
    OwnerDies {
        silent: Option<u8>,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u8::arbitrary(g);
        match u8::arbitrary(g) % 20 {
            0..=6 => Self::Acquire {
                node: number % NODES,
            },
            7 => Self::AcquireLost {
                node: number % NODES,
            },
            8..=11 => Self::Serve { nth: number },
            12 => Self::Fail { nth: number },
            13 => Self::EndUnheard { nth: number },
            14 => Self::Warm,
            15..=17 => Self::Pass {
                elapsed_ms: u16::arbitrary(g) % 4_000,
            },
            18 => Self::HandOver,
            _ => Self::OwnerDies {
                silent: (number % 2 == 0).then_some(number % NODES),
            },
        }
    }
}

/// A request that runs at the endpoint.
#[derive(Clone, Copy, Debug)]
struct Running {
    node: u8,
    grant_id: u64,
}

/// The owner's book, the nodes' slots, and beside them what runs.
struct World {
    clock: ManualClock,
    book: GrantTable,
    holders: Vec<HeldSlots>,
    running: Vec<Running>,
    next_id: u64,
    renewed_ms: u64,
    /// Whether the endpoint failed and no owner has called it warm since.
    cold: bool,
}

impl World {
    fn new() -> Self {
        Self {
            clock: ManualClock::new(),
            book: GrantTable::new(GRANT_TTL_MS, 1),
            holders: (0..NODES).map(|_| HeldSlots::default()).collect(),
            running: Vec::new(),
            next_id: 0,
            renewed_ms: 0,
            cold: true,
        }
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Acquire { node } => return self.acquire(node),
            Step::AcquireLost { node } => {
                self.ask(node);
            }
            Step::Serve { nth } => self.end(nth, SERVED, true),
            Step::Fail { nth } => self.end(nth, SlotReport::Failed, true),
            Step::EndUnheard { nth } => self.end(nth, SERVED, false),
            Step::Warm => self.warm(),
            Step::Pass { elapsed_ms } => self.pass(u64::from(elapsed_ms)),
            Step::HandOver => self.hand_over(),
            Step::OwnerDies { silent } => self.owner_dies(silent),
        }
        Ok(())
    }

    fn ask(&mut self, node: u8) -> GrantAnswer {
        self.next_id += 1;
        let now = self.clock.now();
        let node = node_id(node);
        self.book.grant(node, self.next_id, &request(), now)
    }

    fn acquire(&mut self, node: u8) -> Result<(), String> {
        let now = self.clock.now();
        let endpoint = request().endpoint;
        if let Some(grant_id) = self.holder(node).take_free(&endpoint, now) {
            return self.start(Running { node, grant_id });
        }
        let GrantAnswer::Granted { slots, warm } = self.ask(node) else {
            return Ok(());
        };
        self.cold = !warm;
        let grant_id = self.next_id;
        let expires_ms = now.mono_ms + GRANT_TTL_MS;
        self.holder(node)
            .add(&endpoint, grant_id, slots, expires_ms);
        self.start(Running { node, grant_id })
    }

    /// The oracle: a request that starts leaves no more running than the
    /// endpoint bears.
    fn start(&mut self, request_started: Running) -> Result<(), String> {
        self.running.push(request_started);
        let running = self.running.len();
        let limit = if self.cold {
            request().cold_limit
        } else {
            request().warm_limit
        };
        if running > limit as usize {
            return Err(format!("{running} run, {limit} bearable"));
        }
        Ok(())
    }

    fn end(&mut self, nth: u8, report: SlotReport, heard: bool) {
        if self.running.is_empty() {
            return;
        }
        let index = usize::from(nth) % self.running.len();
        let Running { node, grant_id } = self.running.swap_remove(index);
        let endpoint = request().endpoint;
        let now = self.clock.now();
        let bad = report == SlotReport::Failed;
        if bad {
            self.holder(node).mark_cold(&endpoint);
        }
        let ended = self
            .holder(node)
            .release(&endpoint, grant_id, Some(report), now);
        if !heard || ended.report_queued {
            return;
        }
        self.book
            .release(node_id(node), grant_id, &endpoint, ended.slots);
        if self.book.observe(&endpoint, report.into(), now) {
            self.mark_cold();
        }
    }

    fn mark_cold(&mut self) {
        self.cold = true;
        let endpoint = request().endpoint;
        for holder in &mut self.holders {
            holder.mark_cold(&endpoint);
        }
    }

    fn warm(&mut self) {
        let report = ReportSign {
            cold: false,
            running: request().warm_limit,
            limit: request().warm_limit,
            age_ms: 0,
        };
        let now = self.clock.now();
        self.book
            .observe(&request().endpoint, SlotSign::Reported(report), now);
    }

    /// Nodes renew at every interval.
    fn pass(&mut self, elapsed_ms: u64) {
        let end_ms = self.clock.now().mono_ms + elapsed_ms;
        while self.renewed_ms + RENEW_MS <= end_ms {
            self.renewed_ms += RENEW_MS;
            let now_ms = self.clock.now().mono_ms;
            self.clock.advance(self.renewed_ms.saturating_sub(now_ms));
            for node in 0..NODES {
                self.renew(node);
            }
        }
        let now_ms = self.clock.now().mono_ms;
        self.clock.advance(end_ms - now_ms);
    }

    fn renew(&mut self, node: u8) {
        let now = self.clock.now();
        let expires_ms = now.mono_ms + GRANT_TTL_MS;
        let renewal = self.holder(node).prepare_renewal(node_id(node), expires_ms);
        for grant in renewal.unused {
            self.book
                .release(grant.node, grant.grant_id, &grant.endpoint, grant.slots);
        }
        for (endpoint, report) in renewal.reports {
            self.book.observe(&endpoint, report.into(), now);
        }
        for grant in renewal.live {
            self.holder(node).extend(&grant, expires_ms);
            self.book.import([grant], now);
        }
        if self.book.is_cold(&request().endpoint, now) {
            self.holder(node).mark_cold(&request().endpoint);
        }
    }

    fn hand_over(&mut self) {
        let now = self.clock.now();
        let grants = self.book.export(BUCKET, now);
        let mut next = GrantTable::new(GRANT_TTL_MS, 1);
        next.close(BUCKET, now);
        next.import(grants, now);
        next.open_after(BUCKET, self.book.closed_for_ms(BUCKET, now), now);
        self.book = next;
    }

    fn owner_dies(&mut self, silent: Option<u8>) {
        let now = self.clock.now();
        let expires_ms = now.mono_ms + GRANT_TTL_MS;
        self.book = GrantTable::new(GRANT_TTL_MS, 1);
        self.book.close(BUCKET, now);
        for node in (0..NODES).filter(|node| Some(*node) != silent) {
            let held = self
                .holder(node)
                .drop_unused_and_list(node_id(node), expires_ms, |_| true);
            self.book.import(held, now);
        }
        if silent.is_none() {
            self.book.open(BUCKET);
        }
    }

    fn holder(&mut self, node: u8) -> &mut HeldSlots {
        &mut self.holders[usize::from(node)]
    }
}

fn node_id(node: u8) -> NodeId {
    NodeId::of(&NodeName::from(format!("n{node}")))
}

fn runs_within_limit(steps: Vec<Step>) -> Result<(), String> {
    let mut world = World::new();
    steps.into_iter().try_for_each(|step| world.step(step))
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
        Step::OwnerDies { silent: Some(0) },
        Step::HandOver,
        Step::Acquire { node: 0 },
        Step::Acquire { node: 1 },
    ];
    assert_eq!(runs_within_limit(steps), Ok(()));
}

#[test]
fn lot_is_not_used_again_once_the_endpoint_turned_cold() {
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

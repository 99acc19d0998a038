//! Stateful fuzzing of the owner's book against the set of requests that run.

use hemlockhitch_model::{Clock, ManualClock, NodeName};
use hemlockhitch_peer::member::NodeId;
use hemlockhitch_peer::slots::{Grant, GrantAnswer, GrantBook, SlotReport, SlotRequest};
use hemlockhitch_peer::{Bucket, Space};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEEDS: [u64; 4] = [1, 2, 3, 4];
const CASES: u64 = 400;
const STEPS_PER_CASE: usize = 120;
const NODES: u8 = 4;
const GRANT_TTL_MS: u64 = 10_000;
const RENEW_MS: u64 = 3_000;

const BUCKET: Bucket = Bucket {
    space: Space::Endpoint,
    index: 0,
};

fn request() -> SlotRequest {
    SlotRequest {
        endpoint: "e-1".into(),
        cold_limit: 2,
        warm_limit: 8,
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
        match u8::arbitrary(g) % 16 {
            0..=5 => Self::Acquire {
                node: number % NODES,
            },
            6 => Self::AcquireLost {
                node: number % NODES,
            },
            7..=9 => Self::Serve { nth: number },
            10 => Self::Fail { nth: number },
            11 => Self::EndUnheard { nth: number },
            12 | 13 => Self::Pass {
                elapsed_ms: u16::arbitrary(g) % 4_000,
            },
            14 => Self::HandOver,
            _ => Self::OwnerDies {
                silent: (number % 2 == 0).then_some(number % NODES),
            },
        }
    }
}

/// What runs at the endpoint, kept beside the book.
struct World {
    clock: ManualClock,
    book: GrantBook,
    running: Vec<Grant>,
    next_id: u64,
    renewed_ms: u64,
}

impl World {
    fn new() -> Self {
        Self {
            clock: ManualClock::new(),
            book: GrantBook::new(GRANT_TTL_MS, 1),
            running: Vec::new(),
            next_id: 0,
            renewed_ms: 0,
        }
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Acquire { node } => return self.acquire(node),
            Step::AcquireLost { node } => {
                self.ask(node);
            }
            Step::Serve { nth } => {
                let report = SlotReport::Served { first_token_ms: 1 };
                self.end(nth, report);
            }
            Step::Fail { nth } => self.end(nth, SlotReport::Failed),
            Step::EndUnheard { nth } => {
                self.take(nth);
            }
            Step::Pass { elapsed_ms } => self.pass(u64::from(elapsed_ms)),
            Step::HandOver => self.hand_over(),
            Step::OwnerDies { silent } => self.owner_dies(silent),
        }
        Ok(())
    }

    fn ask(&mut self, node: u8) -> (NodeId, u64, GrantAnswer) {
        self.next_id += 1;
        let node = node_id(node);
        let now = self.clock.now();
        let answer = self.book.grant(node, self.next_id, &request(), now);
        (node, self.next_id, answer)
    }

    /// The oracle: a grant must leave no more running than the endpoint bears.
    fn acquire(&mut self, node: u8) -> Result<(), String> {
        let (node, grant_id, answer) = self.ask(node);
        let GrantAnswer::Granted { slots, warm } = answer else {
            return Ok(());
        };
        let grant = Grant {
            node,
            grant_id,
            endpoint: request().endpoint,
            slots,
            expires_mono_ms: 0,
            share: false,
        };
        self.running.push(grant);
        let limit = if warm {
            request().warm_limit
        } else {
            request().cold_limit
        };
        let running: u32 = self.running.iter().map(|grant| grant.slots).sum();
        if running > limit {
            return Err(format!("{running} run, {limit} bearable, warm: {warm}"));
        }
        Ok(())
    }

    fn take(&mut self, nth: u8) -> Option<Grant> {
        if self.running.is_empty() {
            return None;
        }
        let index = usize::from(nth) % self.running.len();
        Some(self.running.swap_remove(index))
    }

    fn end(&mut self, nth: u8, report: SlotReport) {
        if let Some(grant) = self.take(nth) {
            self.book
                .release(grant.node, grant.grant_id, &grant.endpoint, Some(report));
        }
    }

    /// Holders renew what runs at every interval.
    fn pass(&mut self, elapsed_ms: u64) {
        let end_ms = self.clock.now().mono_ms + elapsed_ms;
        while self.renewed_ms + RENEW_MS <= end_ms {
            self.renewed_ms += RENEW_MS;
            let now_ms = self.clock.now().mono_ms;
            self.clock.advance(self.renewed_ms.saturating_sub(now_ms));
            let now = self.clock.now();
            self.book.import(self.live(|_| true), now);
        }
        let now_ms = self.clock.now().mono_ms;
        self.clock.advance(end_ms - now_ms);
    }

    fn hand_over(&mut self) {
        let now = self.clock.now();
        let grants = self.book.export(BUCKET, now);
        let mut next = GrantBook::new(GRANT_TTL_MS, 1);
        next.close(BUCKET, now);
        next.import(grants, now);
        next.open_after(BUCKET, self.book.closed_for_ms(BUCKET, now), now);
        self.book = next;
    }

    fn owner_dies(&mut self, silent: Option<u8>) {
        let now = self.clock.now();
        let silent = silent.map(node_id);
        self.book = GrantBook::new(GRANT_TTL_MS, 1);
        self.book.close(BUCKET, now);
        let heard = self.live(|grant| Some(grant.node) != silent);
        self.book.import(heard, now);
        if silent.is_none() {
            self.book.open(BUCKET);
        }
    }

    fn live(&self, chosen: impl Fn(&Grant) -> bool) -> Vec<Grant> {
        let expires_mono_ms = self.clock.now().mono_ms + GRANT_TTL_MS;
        let chosen = self.running.iter().filter(|grant| chosen(grant));
        chosen
            .map(|grant| Grant {
                expires_mono_ms,
                ..grant.clone()
            })
            .collect()
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

//! Random schedules of calls, store faults, owner changes and kills against a
//! simple oracle.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Fault, FaultyKeyValue, Writer, attempt, bill, claim_call, done, key, log_records};
use common::{now, settle_call};
use hemlockhitch_ledger::bill::read_sums;
use hemlockhitch_ledger::call::{LedgerCall, LedgerReply};
use hemlockhitch_ledger::claim::{ClaimAnswer, Outcome};
use hemlockhitch_ledger::record::Record;
use hemlockhitch_ledger::shard::SoleOwner;
use hemlockhitch_ledger::{LedgerErrorKind, LedgerSettings, LedgerWriter};
use hemlockhitch_model::ManualClock;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tokio::task::JoinSet;
use tokio::time::sleep;

const NODES: usize = 3;
const KEYS: [&str; 2] = ["a", "b"];

/// One step of a schedule; numbers are taken modulo what exists.
#[derive(Clone, Debug)]
enum Step {
    Claim {
        node: usize,
        key: usize,
    },
    Repeat {
        node: usize,
        claim: usize,
    },
    Settle {
        node: usize,
        claim: usize,
        runs: bool,
    },
    Bill {
        node: usize,
        request: u8,
    },
    Fault {
        node: usize,
        fault: Fault,
    },
    Down {
        node: usize,
        is_down: bool,
    },
    Kill {
        node: usize,
    },
    Wait {
        ms: u64,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = usize::arbitrary(g) % NODES;
        let claim = usize::arbitrary(g);
        let faults = [
            Fault::Down,
            Fault::LostAnswer,
            Fault::LostCall,
            Fault::LateEffect,
            Fault::Slow,
            Fault::Cut,
        ];
        match u8::arbitrary(g) % 16 {
            0..=2 => Self::Claim { node, key: claim },
            3 | 4 => Self::Repeat { node, claim },
            5 | 6 => Self::Settle {
                node,
                claim,
                runs: bool::arbitrary(g),
            },
            7 | 8 => Self::Bill {
                node,
                request: u8::arbitrary(g) % 8,
            },
            9 | 10 => Self::Fault {
                node,
                fault: *g.choose(&faults).unwrap(),
            },
            11 => Self::Down {
                node,
                is_down: bool::arbitrary(g),
            },
            12 => Self::Kill { node },
            _ => Self::Wait {
                ms: u64::arbitrary(g) % 400,
            },
        }
    }
}

/// What callers were told, and what they have asked for.
#[derive(Debug, Default)]
struct Seen {
    /// Attempts in order, with the key that each claims.
    attempts: Vec<usize>,
    granted: BTreeSet<usize>,
    /// Attempts whose holders have said "not run", or will.
    releasing: BTreeSet<usize>,
    released: BTreeSet<usize>,
    finished: BTreeMap<usize, Outcome>,
    billed: BTreeSet<u128>,
    errors: Vec<String>,
}

impl Seen {
    fn on_claim(&mut self, number: usize, was_released: bool, reply: &LedgerReply) {
        let LedgerReply::Claim(answer) = reply else {
            return;
        };
        match answer {
            ClaimAnswer::Granted => {
                let key = self.attempts[number];
                let holders = self
                    .granted
                    .iter()
                    .filter(|held| self.attempts[**held] == key);
                let others: Vec<usize> = holders
                    .copied()
                    .filter(|held| *held != number && !self.releasing.contains(held))
                    .collect();
                if !others.is_empty() {
                    self.errors
                        .push(format!("{number} granted beside {others:?}"));
                }
                if was_released {
                    self.errors
                        .push(format!("{number} granted after its release"));
                }
                self.granted.insert(number);
            }
            ClaimAnswer::Ended(Outcome::NotRun) => self.errors.push("ended as not run".to_owned()),
            ClaimAnswer::Ended(Outcome::Done { body, .. }) => {
                let holder: usize = body.parse().unwrap();
                if self.attempts[holder] != self.attempts[number] {
                    self.errors
                        .push(format!("{number} got the answer of {holder}"));
                }
            }
            _ => {}
        }
    }
}

struct Node {
    kv: FaultyKeyValue,
    writer: Writer<FaultyKeyValue>,
}

struct World {
    root: FaultyKeyValue,
    clock: ManualClock,
    nodes: Vec<Node>,
    seen: Arc<Mutex<Seen>>,
    calls: JoinSet<()>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            root: FaultyKeyValue::new(),
            clock: ManualClock::new(),
            nodes: Vec::new(),
            seen: Arc::default(),
            calls: JoinSet::new(),
        };
        for index in 0..NODES {
            world.nodes.push(world.node(index));
        }
        world
    }

    fn node(&self, index: usize) -> Node {
        let kv = self.root.beside();
        let settings = LedgerSettings::new(format!("n-{index}"))
            .shard_count(1)
            .snapshot_batches(2);
        let writer = LedgerWriter::new(kv.clone(), SoleOwner, self.clock.clone(), settings);
        Node { kv, writer }
    }

    fn call(
        &mut self,
        node: usize,
        call: LedgerCall,
        note: impl FnOnce(&mut Seen, LedgerReply) + Send + 'static,
    ) {
        let writer = self.nodes[node].writer.clone();
        let seen = Arc::clone(&self.seen);
        self.calls.spawn(async move {
            let reply = writer.handle(call, now()).await;
            note(&mut seen.lock().unwrap(), reply);
        });
    }

    fn claim(&mut self, node: usize, number: usize) {
        let (key, was_released) = {
            let seen = self.seen.lock().unwrap();
            (seen.attempts[number], seen.released.contains(&number))
        };
        let call = claim_call(KEYS[key], number as u128);
        self.call(node, call, move |seen, reply| {
            seen.on_claim(number, was_released, &reply);
        });
    }

    /// Settles as the holder of a grant does: once and for all in one way.
    fn settle(&mut self, node: usize, pick: usize, runs: bool) {
        let seen = Arc::clone(&self.seen);
        let mut seen = seen.lock().unwrap();
        let granted: Vec<usize> = seen.granted.iter().copied().collect();
        let Some(&number) = granted.get(pick % granted.len().max(1)) else {
            return;
        };
        let runs =
            !seen.releasing.contains(&number) && (runs || seen.finished.contains_key(&number));
        let outcome = if runs {
            done(&number.to_string())
        } else {
            seen.releasing.insert(number);
            Outcome::NotRun
        };
        if runs {
            // A finished attempt never says "not run", whether or not it was heard.
            seen.finished.entry(number).or_insert(Outcome::Unknown);
        }
        let key = KEYS[seen.attempts[number]];
        let call = settle_call(key, number as u128, outcome.clone());
        self.call(node, call, move |seen, reply| match reply {
            LedgerReply::Recorded if runs => {
                seen.finished.insert(number, outcome);
            }
            LedgerReply::Recorded => {
                seen.released.insert(number);
            }
            LedgerReply::Failed {
                kind: LedgerErrorKind::NotHolder,
                detail,
            } => {
                seen.errors
                    .push(format!("{number} lost its claim: {detail}"));
            }
            _ => {}
        });
    }

    async fn step(&mut self, step: Step) {
        match step {
            Step::Claim { node, key } => {
                let number = {
                    let mut seen = self.seen.lock().unwrap();
                    seen.attempts.push(key % KEYS.len());
                    seen.attempts.len() - 1
                };
                self.claim(node, number);
            }
            Step::Repeat { node, claim } => {
                let count = self.seen.lock().unwrap().attempts.len();
                if count > 0 {
                    self.claim(node, claim % count);
                }
            }
            Step::Settle { node, claim, runs } => self.settle(node, claim, runs),
            Step::Bill { node, request } => {
                let number = 1_000 + u128::from(request);
                self.call(node, LedgerCall::Bill(bill(number)), move |seen, reply| {
                    if reply == LedgerReply::Recorded {
                        seen.billed.insert(number);
                    }
                });
            }
            Step::Fault { node, fault } => self.nodes[node].kv.script([fault]),
            Step::Down { node, is_down } => self.nodes[node].kv.down(is_down),
            Step::Kill { node } => {
                self.nodes[node].kv.down(true);
                self.nodes[node] = self.node(node);
            }
            Step::Wait { ms } => {
                self.clock.advance(ms);
                sleep(Duration::from_millis(ms)).await;
            }
        }
        tokio::task::yield_now().await;
    }

    /// Heals the store, lets every call end, and compares the log with what
    /// the callers were told.
    async fn finish(mut self) -> Vec<String> {
        for node in &self.nodes {
            node.kv.down(false);
        }
        while self.calls.join_next().await.is_some() {}
        sleep(Duration::from_secs(10)).await;
        let reader = self.node(NODES);
        let records = log_records(&self.root).await;
        let seen = std::mem::take(&mut *self.seen.lock().unwrap());
        let mut errors = seen.errors;
        errors.extend(check_claims(&records));
        errors.extend(check_bills(&records, &seen.billed));
        let billed = records
            .iter()
            .filter(|(_, record)| matches!(record, Record::Billed(_)));
        let totals = read_sums(&self.root, 1).await.unwrap().totals;
        let summed: u64 = totals.iter().map(|total| total.request_count).sum();
        if summed != billed.count() as u64 {
            errors.push(format!("{summed} bills are summed"));
        }
        for number in &seen.granted {
            let is_logged = records.iter().any(|(_, record)| {
                matches!(record, Record::Claimed { claim, .. } if claim.attempt == attempt(*number as u128))
            });
            if !is_logged {
                errors.push(format!("granted claim {number} is not in the log"));
            }
        }
        for (number, outcome) in &seen.finished {
            let call = LedgerCall::FindClaim(key(KEYS[seen.attempts[*number]]));
            let LedgerReply::Claimed(Some(state)) = reader.writer.handle(call, now()).await else {
                errors.push(format!("claim {number} cannot be found"));
                continue;
            };
            let is_known = *outcome != Outcome::Unknown;
            if is_known && state.outcome.as_ref() != Some(outcome) {
                errors.push(format!("{number} ended as {outcome:?}, found {state:?}"));
            }
        }
        errors
    }
}

/// Between the claims of two attempts for one key lies the first one's release.
fn check_claims(records: &[(u64, Record)]) -> Vec<String> {
    let mut holders = BTreeMap::new();
    let mut errors = Vec::new();
    for (seq, record) in records {
        match record {
            Record::Claimed { claim, .. } => {
                let former = holders.insert(claim.key.clone(), claim.attempt);
                if let Some(former) = former {
                    errors.push(format!("{seq}: {claim:?} while {former} holds"));
                }
            }
            Record::Settled {
                key,
                outcome: Outcome::NotRun,
                ..
            } => {
                holders.remove(key);
            }
            _ => {}
        }
    }
    errors
}

fn check_bills(records: &[(u64, Record)], acknowledged: &BTreeSet<u128>) -> Vec<String> {
    let mut counts: BTreeMap<u128, u32> = BTreeMap::new();
    for (_, record) in records {
        if let Record::Billed(bill) = record {
            *counts.entry(bill.request_id.as_u128()).or_default() += 1;
        }
    }
    let doubled = counts.iter().filter(|(_, count)| **count > 1);
    let mut errors: Vec<String> = doubled
        .map(|(id, _)| format!("bill {id} doubled"))
        .collect();
    let lost = acknowledged.iter().filter(|id| !counts.contains_key(id));
    errors.extend(lost.map(|id| format!("bill {id} lost")));
    errors
}

fn run(steps: Vec<Step>) -> bool {
    fastrand::seed(7);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    let errors = runtime.block_on(async {
        let mut world = World::new();
        for step in steps {
            world.step(step).await;
        }
        world.finish().await
    });
    assert!(errors.is_empty(), "{errors:#?}");
    true
}

#[test]
fn no_schedule_grants_twice_bills_twice_or_loses_a_record() {
    for seed in 1..=4 {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(120, seed))
            .tests(250)
            .quickcheck(run as fn(Vec<Step>) -> bool);
    }
}

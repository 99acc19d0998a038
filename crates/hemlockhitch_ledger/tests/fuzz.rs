//! Property test: random schedules of calls, store faults, ownership changes and
//! node crashes are checked against an oracle.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Fault, FaultyKeyValue, Writer, attempt, bill, claim_call, done, key, log_records};
use common::{now, settle_call};
use hemlockhitch_ledger::bill::read_totals;
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

/// One step of a schedule. Indices are taken modulo the number of existing items.
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
            Fault::LostResponse,
            Fault::LostRequest,
            Fault::DelayedWrite,
            Fault::Slow,
            Fault::Partition,
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

/// Calls made so far and the replies to them, against which the log is checked.
#[derive(Debug, Default)]
struct Oracle {
    /// Index into [`KEYS`] of the key that each attempt claims.
    attempts: Vec<usize>,
    granted: BTreeSet<usize>,
    /// Attempts for which a release was sent.
    releasing: BTreeSet<usize>,
    released: BTreeSet<usize>,
    finished: BTreeMap<usize, Outcome>,
    billed: BTreeSet<u128>,
    errors: Vec<String>,
}

impl Oracle {
    fn on_claim(&mut self, number: usize, was_released: bool, reply: &LedgerReply) {
        let LedgerReply::Claim(answer) = reply else {
            return;
        };
        match answer {
            ClaimAnswer::Granted => {
                let key = self.attempts[number];
                let granted_for_key = self
                    .granted
                    .iter()
                    .filter(|held| self.attempts[**held] == key);
                let others: Vec<usize> = granted_for_key
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

struct Cluster {
    store: FaultyKeyValue,
    clock: ManualClock,
    nodes: Vec<Node>,
    oracle: Arc<Mutex<Oracle>>,
    calls: JoinSet<()>,
}

impl Cluster {
    fn new() -> Self {
        let mut cluster = Self {
            store: FaultyKeyValue::new(),
            clock: ManualClock::new(),
            nodes: Vec::new(),
            oracle: Arc::default(),
            calls: JoinSet::new(),
        };
        for index in 0..NODES {
            cluster.nodes.push(cluster.node(index));
        }
        cluster
    }

    fn node(&self, index: usize) -> Node {
        let kv = self.store.new_client();
        let settings = LedgerSettings::new(format!("n-{index}"))
            .shard_count(1)
            .snapshot_interval_batches(2);
        let writer = LedgerWriter::new(kv.clone(), SoleOwner, self.clock.clone(), settings);
        Node { kv, writer }
    }

    fn call(
        &mut self,
        node: usize,
        call: LedgerCall,
        on_reply: impl FnOnce(&mut Oracle, LedgerReply) + Send + 'static,
    ) {
        let writer = self.nodes[node].writer.clone();
        let oracle = Arc::clone(&self.oracle);
        self.calls.spawn(async move {
            let reply = writer.handle(call, now()).await;
            on_reply(&mut oracle.lock().unwrap(), reply);
        });
    }

    fn claim(&mut self, node: usize, number: usize) {
        let (key, was_released) = {
            let oracle = self.oracle.lock().unwrap();
            (oracle.attempts[number], oracle.released.contains(&number))
        };
        let call = claim_call(KEYS[key], number as u128);
        self.call(node, call, move |oracle, reply| {
            oracle.on_claim(number, was_released, &reply);
        });
    }

    /// Settles a granted attempt. Like a real caller, it never changes between
    /// "done" and "not run" for the same attempt.
    fn settle(&mut self, node: usize, choice: usize, runs: bool) {
        let oracle = Arc::clone(&self.oracle);
        let mut oracle = oracle.lock().unwrap();
        let granted: Vec<usize> = oracle.granted.iter().copied().collect();
        let Some(&number) = granted.get(choice % granted.len().max(1)) else {
            return;
        };
        let runs =
            !oracle.releasing.contains(&number) && (runs || oracle.finished.contains_key(&number));
        let outcome = if runs {
            done(&number.to_string())
        } else {
            oracle.releasing.insert(number);
            Outcome::NotRun
        };
        if runs {
            // Recorded before the reply, so that the attempt is never released
            // even if this reply is lost.
            oracle.finished.entry(number).or_insert(Outcome::Unknown);
        }
        let key = KEYS[oracle.attempts[number]];
        let call = settle_call(key, number as u128, outcome.clone());
        self.call(node, call, move |oracle, reply| match reply {
            LedgerReply::Recorded if runs => {
                oracle.finished.insert(number, outcome);
            }
            LedgerReply::Recorded => {
                oracle.released.insert(number);
            }
            LedgerReply::Failed {
                kind: LedgerErrorKind::NotHolder,
                detail,
            } => {
                oracle
                    .errors
                    .push(format!("{number} lost its claim: {detail}"));
            }
            _ => {}
        });
    }

    async fn run_step(&mut self, step: Step) {
        match step {
            Step::Claim { node, key } => {
                let number = {
                    let mut oracle = self.oracle.lock().unwrap();
                    oracle.attempts.push(key % KEYS.len());
                    oracle.attempts.len() - 1
                };
                self.claim(node, number);
            }
            Step::Repeat { node, claim } => {
                let count = self.oracle.lock().unwrap().attempts.len();
                if count > 0 {
                    self.claim(node, claim % count);
                }
            }
            Step::Settle { node, claim, runs } => self.settle(node, claim, runs),
            Step::Bill { node, request } => {
                let number = 1_000 + u128::from(request);
                self.call(
                    node,
                    LedgerCall::Bill(bill(number)),
                    move |oracle, reply| {
                        if reply == LedgerReply::Recorded {
                            oracle.billed.insert(number);
                        }
                    },
                );
            }
            Step::Fault { node, fault } => self.nodes[node].kv.inject([fault]),
            Step::Down { node, is_down } => self.nodes[node].kv.set_down(is_down),
            Step::Kill { node } => {
                self.nodes[node].kv.set_down(true);
                self.nodes[node] = self.node(node);
            }
            Step::Wait { ms } => {
                self.clock.advance(ms);
                sleep(Duration::from_millis(ms)).await;
            }
        }
        tokio::task::yield_now().await;
    }

    /// Ends all outages, waits for every call, and checks the log against the
    /// replies.
    async fn finish(mut self) -> Vec<String> {
        for node in &self.nodes {
            node.kv.set_down(false);
        }
        while self.calls.join_next().await.is_some() {}
        sleep(Duration::from_secs(10)).await;
        let reader = self.node(NODES);
        let records = log_records(&self.store).await;
        let oracle = std::mem::take(&mut *self.oracle.lock().unwrap());
        let mut errors = oracle.errors;
        errors.extend(check_claims(&records));
        errors.extend(check_bills(&records, &oracle.billed));
        let billed = records
            .iter()
            .filter(|(_, record)| matches!(record, Record::Billed(_)));
        let totals = read_totals(&self.store, 1).await.unwrap().totals;
        let summed: u64 = totals.iter().map(|total| total.request_count).sum();
        if summed != billed.count() as u64 {
            errors.push(format!("{summed} bills are summed"));
        }
        for number in &oracle.granted {
            let is_logged = records.iter().any(|(_, record)| {
                matches!(record, Record::Claimed { claim, .. } if claim.attempt == attempt(*number as u128))
            });
            if !is_logged {
                errors.push(format!("granted claim {number} is not in the log"));
            }
        }
        for (number, outcome) in &oracle.finished {
            let call = LedgerCall::FindClaim(key(KEYS[oracle.attempts[*number]]));
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

/// Checks that a key is claimed again only after the previous claim was released.
fn check_claims(records: &[(u64, Record)]) -> Vec<String> {
    let mut claimed_by = BTreeMap::new();
    let mut errors = Vec::new();
    for (seq, record) in records {
        match record {
            Record::Claimed { claim, .. } => {
                let former = claimed_by.insert(claim.key.clone(), claim.attempt);
                if let Some(former) = former {
                    errors.push(format!("{seq}: {claim:?} while {former} holds"));
                }
            }
            Record::Settled {
                key,
                outcome: Outcome::NotRun,
                ..
            } => {
                claimed_by.remove(key);
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

fn check_schedule(steps: Vec<Step>) -> bool {
    fastrand::seed(7);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    let errors = runtime.block_on(async {
        let mut cluster = Cluster::new();
        for step in steps {
            cluster.run_step(step).await;
        }
        cluster.finish().await
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
            .quickcheck(check_schedule as fn(Vec<Step>) -> bool);
    }
}

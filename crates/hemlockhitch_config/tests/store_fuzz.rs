//! Property test: concurrent operators and lost responses, compared with a simple oracle.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use hemlockhitch_config::configuration::Row;
use hemlockhitch_config::store::{ConfigStore, ConfigStoreErrorKind, SubmitOutcome};
use hemlockhitch_config::{Change, NumberedChange, RowEdit, RowKey};
use hemlockhitch_model::ChangeId;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use support::{FaultyKeyValue, NOW, SwapFault, change, data_centre};

const OPERATOR_COUNT: usize = 3;
const ROW_COUNT: u64 = 5;

/// A step of a random schedule.
#[derive(Clone, Debug)]
enum Step {
    /// An operator submits a change based on an earlier generation.
    Submit {
        operator: usize,
        rows: Vec<(u64, bool)>,
        base_lag: u64,
        faults: Vec<SwapFault>,
        then_down: bool,
    },
    /// An operator resubmits its last change.
    Resubmit {
        operator: usize,
        faults: Vec<SwapFault>,
    },
    /// An operator's client restarts with an empty cache.
    Restart { operator: usize },
    /// Pending delayed writes take effect.
    DeliverDelayed,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let operator = usize::arbitrary(g) % OPERATOR_COUNT;
        match u8::arbitrary(g) % 10 {
            0 | 1 => Self::Resubmit {
                operator,
                faults: faults(g),
            },
            2 => Self::Restart { operator },
            3 => Self::DeliverDelayed,
            _ => {
                let count = 1 + u64::arbitrary(g) % 2;
                let first = u64::arbitrary(g) % ROW_COUNT;
                let rows = (0..count)
                    .map(|offset| ((first + offset) % ROW_COUNT, bool::arbitrary(g)))
                    .collect();
                Self::Submit {
                    operator,
                    rows,
                    base_lag: u64::arbitrary(g) % 4,
                    faults: faults(g),
                    then_down: u8::arbitrary(g).is_multiple_of(4),
                }
            }
        }
    }
}

/// Returns up to two faults for the next writes.
fn faults(g: &mut Gen) -> Vec<SwapFault> {
    let faults = [
        SwapFault::None,
        SwapFault::ResponseLost,
        SwapFault::RequestLost,
        SwapFault::Delayed,
        SwapFault::Refused,
    ];
    (0..u8::arbitrary(g) % 3)
        .map(|_| *g.choose(&faults).expect("not empty"))
        .collect()
}

/// An operator with the newest generation that it read and its last change.
struct Operator {
    store: ConfigStore<FaultyKeyValue>,
    generation: u64,
    last_change: Option<Change>,
}

/// Outcomes that were reported to the operators.
#[derive(Default)]
struct Oracle {
    written: BTreeMap<ChangeId, u64>,
    not_written: BTreeSet<ChangeId>,
    unresolved: BTreeSet<ChangeId>,
}

struct Simulation {
    kv: FaultyKeyValue,
    operators: Vec<Operator>,
    oracle: Oracle,
    next_id: u128,
}

impl Simulation {
    fn new() -> Self {
        let kv = FaultyKeyValue::default();
        kv.hold_delayed();
        let operators = (0..OPERATOR_COUNT)
            .map(|_| Operator {
                store: ConfigStore::new(kv.clone()),
                generation: 0,
                last_change: None,
            })
            .collect();
        Self {
            kv,
            operators,
            oracle: Oracle::default(),
            next_id: 0,
        }
    }

    async fn step(&mut self, step: Step) {
        match step {
            Step::Submit {
                operator,
                rows,
                base_lag,
                faults,
                then_down,
            } => {
                self.load(operator).await;
                let base = self.operators[operator].generation.saturating_sub(base_lag);
                self.next_id += 1;
                let edits = rows
                    .into_iter()
                    .map(|(number, out)| RowEdit::set(data_centre(number, out)));
                let change = change(self.next_id, base, edits);
                self.operators[operator].last_change = Some(change.clone());
                self.kv.script(faults);
                if then_down {
                    self.kv.go_down_after_fault();
                }
                self.submit(operator, change).await;
            }
            Step::Resubmit { operator, faults } => {
                if let Some(change) = self.operators[operator].last_change.clone() {
                    self.kv.script(faults);
                    self.submit(operator, change).await;
                }
            }
            Step::Restart { operator } => {
                self.operators[operator].store = ConfigStore::new(self.kv.clone());
            }
            Step::DeliverDelayed => self.kv.deliver_delayed().await,
        }
    }

    async fn load(&mut self, operator: usize) {
        let operator = &mut self.operators[operator];
        let generation = operator.store.load().await.expect("up").generation;
        assert!(
            generation >= operator.generation,
            "a reader moved to an older generation"
        );
        operator.generation = generation;
    }

    async fn submit(&mut self, operator: usize, change: Change) {
        let id = change.id;
        let outcome = self.operators[operator].store.submit(change, NOW).await;
        self.kv.script([]);
        self.kv.set_down(false);
        let oracle = &mut self.oracle;
        match outcome {
            Ok(SubmitOutcome::Written { generation }) => {
                let before = oracle.written.insert(id, generation);
                assert!(before.is_none_or(|before| before == generation));
                oracle.not_written.remove(&id);
            }
            Ok(SubmitOutcome::Conflict { .. }) => {
                assert!(
                    !oracle.written.contains_key(&id),
                    "a written change was rejected"
                );
                oracle.not_written.insert(id);
            }
            Err(error) => match error.kind() {
                ConfigStoreErrorKind::OutcomeUnknown => {
                    oracle.unresolved.insert(id);
                    oracle.not_written.remove(&id);
                }
                // This submission wrote nothing, but an earlier one may have.
                ConfigStoreErrorKind::Unavailable if oracle.unresolved.contains(&id) => {}
                ConfigStoreErrorKind::Unavailable => {
                    oracle.not_written.insert(id);
                }
                kind => panic!("{kind:?}: {error}"),
            },
        }
    }

    /// Compares the stored changes with the reported outcomes.
    async fn check(&self) {
        let fresh = ConfigStore::new(self.kv.clone());
        let changes = fresh.changes_after(0, 0).await.expect("up");
        let mut generations = BTreeMap::new();
        for (index, numbered) in changes.iter().enumerate() {
            assert_eq!(numbered.generation, index as u64 + 1);
            let before = generations.insert(numbered.change.id, numbered.generation);
            assert!(before.is_none(), "a change was applied twice");
            check_first_committer(&changes[..index], numbered);
        }
        for (id, generation) in &self.oracle.written {
            assert_eq!(generations.get(id), Some(generation), "a change was lost");
        }
        for id in &self.oracle.not_written {
            assert!(
                !generations.contains_key(id),
                "a rejected change was applied"
            );
        }
        let loaded = fresh.load().await.expect("up");
        let rows: BTreeMap<&RowKey, &Row> = loaded.existing_rows().collect();
        assert_eq!(rows, replay(&changes), "a row was lost");
    }
}

fn check_first_committer(before: &[NumberedChange], numbered: &NumberedChange) {
    for earlier in before {
        if earlier.generation <= numbered.change.base_generation {
            continue;
        }
        for edit in &numbered.change.edits {
            let overwritten = earlier
                .change
                .edits
                .iter()
                .any(|other| other.key == edit.key);
            assert!(!overwritten, "an update was overwritten without a conflict");
        }
    }
}

fn replay(changes: &[NumberedChange]) -> BTreeMap<&RowKey, &Row> {
    let mut rows = BTreeMap::new();
    for edit in changes.iter().flat_map(|numbered| &numbered.change.edits) {
        match &edit.row {
            Some(row) => rows.insert(&edit.key, row),
            None => rows.remove(&edit.key),
        };
    }
    rows
}

fn invariants_hold(steps: Vec<Step>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(step).await;
        }
        simulation.check().await;
        simulation.kv.deliver_delayed().await;
        simulation.check().await;
    });
    true
}

#[test]
fn concurrent_operators_lose_no_changes() {
    for seed in [1, 0xC0FFEE, 0x5EED_2026] {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(120, seed))
            .tests(150)
            .quickcheck(invariants_hold as fn(Vec<Step>) -> bool);
    }
}

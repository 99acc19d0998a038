//! Measures the rate of conflicts between concurrent operators, with conflict detection
//! for the whole sheet and per row.
//!
//! Changes arrive at random times over a day. Each operator reads the configuration and
//! submits a change a minute later. After a conflict the operator gives up, or reads the
//! configuration again and resubmits after another minute.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fastrand::Rng;
use hemlockhitch_config::configuration::{DataCentre, Row};
use hemlockhitch_config::{Change, ConfigStore, RowEdit, SubmitOutcome};
use hemlockhitch_model::{ChangeId, Now};
use hemlockhitch_ports::key_value::MemoryKeyValue;

const CHANGE_COUNT: u64 = 8_000;
const DAY_MS: u64 = 86_400_000;
const EDIT_DURATION_MS: u64 = 60_000;
const ROW_COUNT: usize = 2_000;
const SEED: u64 = 7;

/// Maximum number of attempts before an operator gives up.
const MAX_ATTEMPTS: u32 = 10;

/// Granularity of conflict detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConflictCheck {
    WholeSheet,
    Row,
}

/// Distribution of changes over rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowDistribution {
    /// Uniform.
    Even,
    /// 80 percent of the changes go to 20 percent of the rows.
    Skewed,
}

/// Parameters of a simulation run.
#[derive(Clone, Copy, Debug)]
struct Case {
    compare: ConflictCheck,
    rows: RowDistribution,
    rows_per_change: usize,
    attempts: u32,
}

/// The change of an operator, ordered by the time of the next read or submission.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PendingChange {
    at_ms: u64,
    number: u64,
    attempts: u32,
    /// Generation that the operator read; `None` before the read.
    base_generation: Option<u64>,
    rows: Vec<usize>,
}

#[derive(Debug, Default)]
struct Outcome {
    submissions: u64,
    refusals: u64,
    given_up: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("compare     rows    rows of a change  tries  submissions  refused  given up");
    for compare in [ConflictCheck::WholeSheet, ConflictCheck::Row] {
        for (rows, rows_per_change) in [
            (RowDistribution::Even, 1),
            (RowDistribution::Skewed, 1),
            (RowDistribution::Skewed, 10),
        ] {
            for attempts in [1, MAX_ATTEMPTS] {
                let case = Case {
                    compare,
                    rows,
                    rows_per_change,
                    attempts,
                };
                let outcome = run(case).await?;
                print(case, &outcome);
            }
        }
    }
    Ok(())
}

fn print(case: Case, outcome: &Outcome) {
    let percent = |part: u64, whole: u64| 100.0 * part as f64 / whole as f64;
    println!(
        "{:<10}  {:<6}  {:>16}  {:>5}  {:>11}  {:>6.2}%  {:>7.2}%",
        format!("{:?}", case.compare),
        format!("{:?}", case.rows),
        case.rows_per_change,
        case.attempts,
        outcome.submissions,
        percent(outcome.refusals, outcome.submissions),
        percent(outcome.given_up, CHANGE_COUNT),
    );
}

async fn run(case: Case) -> Result<Outcome, Box<dyn std::error::Error>> {
    let store = ConfigStore::new(MemoryKeyValue::new());
    let mut rng = Rng::with_seed(SEED);
    let mut queue = arrivals(case, &mut rng);
    let mut outcome = Outcome::default();
    let mut generation = 0;
    while let Some(Reverse(mut pending)) = queue.pop() {
        let Some(base_generation) = pending.base_generation else {
            pending.base_generation = Some(generation);
            pending.at_ms += EDIT_DURATION_MS;
            queue.push(Reverse(pending));
            continue;
        };
        outcome.submissions += 1;
        let is_stale = case.compare == ConflictCheck::WholeSheet && base_generation != generation;
        let written = !is_stale && submit(&store, &pending, base_generation, &mut rng).await?;
        if written {
            generation += 1;
            continue;
        }
        outcome.refusals += 1;
        pending.attempts += 1;
        if pending.attempts >= case.attempts {
            outcome.given_up += 1;
            continue;
        }
        pending.base_generation = None;
        queue.push(Reverse(pending));
    }
    Ok(outcome)
}

fn arrivals(case: Case, rng: &mut Rng) -> BinaryHeap<Reverse<PendingChange>> {
    (0..CHANGE_COUNT)
        .map(|number| {
            let rows = (0..case.rows_per_change)
                .map(|_| choose_row(case.rows, rng))
                .collect();
            Reverse(PendingChange {
                at_ms: rng.u64(..DAY_MS),
                number,
                attempts: 0,
                base_generation: None,
                rows,
            })
        })
        .collect()
}

fn choose_row(rows: RowDistribution, rng: &mut Rng) -> usize {
    let fifth = ROW_COUNT / 5;
    match rows {
        RowDistribution::Even => rng.usize(..ROW_COUNT),
        RowDistribution::Skewed if rng.u8(..5) < 4 => rng.usize(..fifth),
        RowDistribution::Skewed => rng.usize(fifth..ROW_COUNT),
    }
}

async fn submit(
    store: &ConfigStore<MemoryKeyValue>,
    pending: &PendingChange,
    base_generation: u64,
    rng: &mut Rng,
) -> Result<bool, Box<dyn std::error::Error>> {
    let mut rows = pending.rows.clone();
    rows.sort_unstable();
    rows.dedup();
    let edits = rows
        .into_iter()
        .map(|number| {
            RowEdit::set(Row::DataCentre(DataCentre {
                name: format!("dc-{number}").into(),
                region: "region".into(),
                out: rng.bool(),
            }))
        })
        .collect();
    let change = Change {
        id: ChangeId::from_u128(rng.u128(..)),
        base_generation,
        author: "operator".to_owned(),
        at_unix_ms: 0,
        edits,
    };
    let now = Now {
        mono_ms: pending.at_ms,
        unix_ms: pending.at_ms,
    };
    let outcome = store.submit(change, now).await?;
    Ok(matches!(outcome, SubmitOutcome::Written { .. }))
}

//! Measures how many changes are refused when operators race: by a compare of the
//! whole sheet, and by a compare of each row.
//!
//! A day of changes arrives at random. Each operator reads the configuration and
//! submits a minute later. A refused change is given up, or read anew and
//! submitted again after another minute.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fastrand::Rng;
use hemlockhitch_config::configuration::{DataCentre, Row};
use hemlockhitch_config::{Change, ConfigStore, RowEdit, Submission};
use hemlockhitch_model::{ChangeId, Now};
use hemlockhitch_ports::key_value::MemoryKeyValue;

const CHANGES: u64 = 8_000;
const DAY_MS: u64 = 86_400_000;
const EDIT_MS: u64 = 60_000;
const ROWS: usize = 2_000;
const SEED: u64 = 7;

/// How often an operator tries before the change counts as refused for good.
const MAX_TRIES: u32 = 10;

/// What a change is compared by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Compare {
    WholeSheet,
    Row,
}

/// How operators choose rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rows {
    /// Every row alike.
    Even,
    /// Four changes of five go to a fifth of the rows.
    Skewed,
}

/// One case of the trial.
#[derive(Clone, Copy, Debug)]
struct Case {
    compare: Compare,
    rows: Rows,
    rows_of_change: usize,
    tries: u32,
}

/// An operator at work: ordered by the time of its next act.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Act {
    at_ms: u64,
    number: u64,
    tries: u32,
    /// The generation that was read; `None` while the operator has yet to read.
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
    for compare in [Compare::WholeSheet, Compare::Row] {
        for (rows, rows_of_change) in [(Rows::Even, 1), (Rows::Skewed, 1), (Rows::Skewed, 10)] {
            for tries in [1, MAX_TRIES] {
                let case = Case {
                    compare,
                    rows,
                    rows_of_change,
                    tries,
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
        case.rows_of_change,
        case.tries,
        outcome.submissions,
        percent(outcome.refusals, outcome.submissions),
        percent(outcome.given_up, CHANGES),
    );
}

async fn run(case: Case) -> Result<Outcome, Box<dyn std::error::Error>> {
    let store = ConfigStore::new(MemoryKeyValue::new());
    let mut rng = Rng::with_seed(SEED);
    let mut acts = arrivals(case, &mut rng);
    let mut outcome = Outcome::default();
    let mut generation = 0;
    while let Some(Reverse(mut act)) = acts.pop() {
        let Some(base_generation) = act.base_generation else {
            act.base_generation = Some(generation);
            act.at_ms += EDIT_MS;
            acts.push(Reverse(act));
            continue;
        };
        outcome.submissions += 1;
        let overtaken = case.compare == Compare::WholeSheet && base_generation != generation;
        let written = !overtaken && submit(&store, &act, base_generation, &mut rng).await?;
        if written {
            generation += 1;
            continue;
        }
        outcome.refusals += 1;
        act.tries += 1;
        if act.tries >= case.tries {
            outcome.given_up += 1;
            continue;
        }
        act.base_generation = None;
        acts.push(Reverse(act));
    }
    Ok(outcome)
}

fn arrivals(case: Case, rng: &mut Rng) -> BinaryHeap<Reverse<Act>> {
    (0..CHANGES)
        .map(|number| {
            let rows = (0..case.rows_of_change)
                .map(|_| choose(case.rows, rng))
                .collect();
            Reverse(Act {
                at_ms: rng.u64(..DAY_MS),
                number,
                tries: 0,
                base_generation: None,
                rows,
            })
        })
        .collect()
}

fn choose(rows: Rows, rng: &mut Rng) -> usize {
    let fifth = ROWS / 5;
    match rows {
        Rows::Even => rng.usize(..ROWS),
        Rows::Skewed if rng.u8(..5) < 4 => rng.usize(..fifth),
        Rows::Skewed => rng.usize(fifth..ROWS),
    }
}

async fn submit(
    store: &ConfigStore<MemoryKeyValue>,
    act: &Act,
    base_generation: u64,
    rng: &mut Rng,
) -> Result<bool, Box<dyn std::error::Error>> {
    let mut rows = act.rows.clone();
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
        mono_ms: act.at_ms,
        unix_ms: act.at_ms,
    };
    let submission = store.submit(change, now).await?;
    Ok(matches!(submission, Submission::Written { .. }))
}

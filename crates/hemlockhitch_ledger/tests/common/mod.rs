//! Fault injection and helpers for the ledger's tests.

#![allow(dead_code, unused_imports)]

mod faulty;

pub use faulty::{Fault, FaultyKeyValue};

use hemlockhitch_ledger::bill::Bill;
use hemlockhitch_ledger::call::{LedgerCall, LedgerReply};
use hemlockhitch_ledger::claim::{Claim, ClaimAnswer, ClaimKey, Outcome};
use hemlockhitch_ledger::record::{Batch, Record};
use hemlockhitch_ledger::shard::SoleOwner;
use hemlockhitch_ledger::{LedgerSettings, LedgerWriter};
use hemlockhitch_model::{Class, Clock, ManualClock, Now, RequestId};
use hemlockhitch_ports::key_value::KeyValue;

/// A writer that believes it owns every shard.
pub type Writer<K> = LedgerWriter<K, ManualClock, SoleOwner>;

pub fn writer<K: KeyValue>(kv: &K, clock: &ManualClock, node: &str) -> Writer<K> {
    let settings = LedgerSettings::new(node).shard_count(1);
    LedgerWriter::new(kv.clone(), SoleOwner, clock.clone(), settings)
}

/// Makes a writer open shard 0 without writing a record.
pub async fn open_shard(writer: &Writer<FaultyKeyValue>) {
    let reply = writer
        .handle(LedgerCall::FindClaim(key("none")), now())
        .await;
    assert_eq!(describe(&reply), "unclaimed");
}

pub fn now() -> Now {
    ManualClock::new().now()
}

pub fn attempt(number: u128) -> RequestId {
    RequestId::from_u128(number)
}

pub fn key(name: &str) -> ClaimKey {
    ClaimKey {
        organisation: "org".into(),
        idempotency_key: name.to_owned(),
    }
}

pub fn claim(name: &str, number: u128) -> Claim {
    Claim {
        key: key(name),
        attempt: attempt(number),
        call_digest: "digest".to_owned(),
    }
}

pub fn claim_call(name: &str, number: u128) -> LedgerCall {
    LedgerCall::Claim(claim(name, number))
}

pub fn settle_call(name: &str, number: u128, outcome: Outcome) -> LedgerCall {
    LedgerCall::Settle {
        key: key(name),
        attempt: attempt(number),
        outcome,
    }
}

pub fn done(body: &str) -> Outcome {
    Outcome::Done {
        status: 200,
        content_type: None,
        body: body.to_owned(),
    }
}

pub fn bill(number: u128) -> Bill {
    Bill {
        request_id: attempt(number),
        organisation: "org".into(),
        class: Class::Chat,
        ran_on: "m@1".to_owned(),
        endpoint: "e-1".into(),
        prompt_tokens: 10,
        completion_tokens: 20,
        cost_micros: 30,
        at_unix_ms: now().unix_ms,
    }
}

/// Returns the records of shard 0, each with the position of its batch.
pub async fn log_records(kv: &FaultyKeyValue) -> Vec<(u64, Record)> {
    let listing = kv
        .store
        .list("ledger/0000/log/", None, usize::MAX - 1)
        .await;
    let mut batches: Vec<Batch> = listing
        .unwrap()
        .entries
        .iter()
        .map(|entry| serde_json::from_str(&entry.value).unwrap())
        .collect();
    batches.sort_by_key(|batch| batch.seq);
    let records = batches.into_iter().flat_map(|batch| {
        let seq = batch.seq;
        batch.records.into_iter().map(move |record| (seq, record))
    });
    records.collect()
}

/// Describes the records of shard 0, one per line.
pub async fn describe_log(kv: &FaultyKeyValue) -> String {
    let mut lines = Vec::new();
    for (seq, record) in log_records(kv).await {
        lines.push(match record {
            Record::Opened { owner, epoch } => format!("{seq} opened by {owner}, epoch {epoch}"),
            Record::Claimed { claim, .. } => {
                format!("{seq} claimed by {}", claim.attempt.as_u128())
            }
            Record::Settled {
                attempt, outcome, ..
            } => {
                let outcome = outcome_name(&outcome);
                format!("{seq} settled by {}: {outcome}", attempt.as_u128())
            }
            Record::Billed(bill) => format!("{seq} billed {}", bill.request_id.as_u128()),
            Record::BilledLate(bill) => format!("{seq} billed late {}", bill.request_id.as_u128()),
        });
    }
    lines.join("\n")
}

/// Describes a reply for assertions and snapshots.
pub fn describe(reply: &LedgerReply) -> String {
    match reply {
        LedgerReply::Claim(ClaimAnswer::InProgress { attempt, .. }) => {
            format!("in progress by {}", attempt.as_u128())
        }
        LedgerReply::Claim(ClaimAnswer::Ended(outcome)) => {
            format!("ended {}", outcome_name(outcome))
        }
        LedgerReply::Claim(answer) => format!("{answer:?}").to_lowercase(),
        LedgerReply::Bill(Some(bill)) => format!("bill {}", bill.request_id.as_u128()),
        LedgerReply::Bill(None) => "no bill".to_owned(),
        LedgerReply::Claimed(state) => match state {
            Some(state) => format!("claimed by {}", state.attempt.as_u128()),
            None => "unclaimed".to_owned(),
        },
        LedgerReply::Failed { kind, .. } => format!("failed {kind:?}"),
        reply => format!("{reply:?}").to_lowercase(),
    }
}

fn outcome_name(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Done { body, .. } => format!("done {body}"),
        outcome => format!("{outcome:?}").to_lowercase(),
    }
}

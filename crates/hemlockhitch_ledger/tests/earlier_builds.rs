//! Records of the ledger as earlier builds write them, and with fields of a later one.
//!
//! The texts are what the builds 78a9afd and 6929ef1 write: their structures
//! (`git show BUILD:crates/hemlockhitch_ledger/src/...`) as `serde_json` writes them, which is
//! the same in both.

mod common;

use common::{attempt, claim};
use hemlockhitch_ledger::call::{LedgerCall, LedgerReply};
use hemlockhitch_ledger::claim::{ClaimAnswer, Outcome};
use hemlockhitch_ledger::deferred::JobState;
use hemlockhitch_ledger::record::{Batch, Record};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

const BATCH: &str = r#"{"id":"00000000000000000000000000000007","seq":3,"records":[{"opened":{"owner":"node-1","epoch":2}},{"claimed":{"claim":{"key":{"organisation":"org","idempotency_key":"k"},"attempt":"00000000000000000000000000000001","call_digest":"digest"},"at_unix_ms":5}},{"settled":{"key":{"organisation":"org","idempotency_key":"k"},"attempt":"00000000000000000000000000000001","outcome":{"done":{"status":200,"content_type":null,"body":"b"}},"at_unix_ms":6}}]}"#;

const CLAIM_CALL: &str = r#"{"claim":{"key":{"organisation":"org","idempotency_key":"k"},"attempt":"00000000000000000000000000000001","call_digest":"digest"}}"#;

const REPLY: &str =
    r#"{"claim":{"in_progress":{"attempt":"00000000000000000000000000000001","since_unix_ms":4}}}"#;

const JOB_STATE: &str = r#"{"done":{"answer":"a"}}"#;

/// Adds a field to each object of the text that is a structure; the others are the tags of
/// variants.
fn with_later_fields(text: &str) -> String {
    fn extend(value: &mut Value) {
        match value {
            Value::Object(fields) => {
                for field in fields.values_mut() {
                    extend(field);
                }
                let is_tag = fields.len() == 1 && fields.values().all(Value::is_object);
                if !is_tag {
                    fields.insert("later".to_owned(), json!({"a": 1}));
                }
            }
            Value::Array(values) => values.iter_mut().for_each(extend),
            _ => {}
        }
    }
    let mut value: Value = serde_json::from_str(text).expect("JSON");
    extend(&mut value);
    value.to_string()
}

/// Reads a text, also with later fields, and checks that the earlier builds read what this
/// one writes of it.
fn read<T: DeserializeOwned + Serialize>(text: &str) -> T {
    let later = with_later_fields(text);
    let read: T = serde_json::from_str(&later).expect("later fields are skipped");
    assert_eq!(serde_json::to_string(&read).expect("JSON"), text);
    serde_json::from_str(text).expect("a record")
}

#[test]
fn batches_are_read() {
    let batch: Batch = read(BATCH);
    assert_eq!((batch.seq, batch.records.len()), (3, 3));
    let Record::Claimed { claim: granted, .. } = &batch.records[1] else {
        panic!("a claim: {batch:?}");
    };
    assert_eq!(*granted, claim("k", 1));
    let Record::Settled { outcome, .. } = &batch.records[2] else {
        panic!("an outcome: {batch:?}");
    };
    assert!(matches!(outcome, Outcome::Done { status: 200, .. }));
}

#[test]
fn calls_and_replies_are_read() {
    assert_eq!(
        read::<LedgerCall>(CLAIM_CALL),
        LedgerCall::Claim(claim("k", 1))
    );
    let in_progress = ClaimAnswer::InProgress {
        attempt: attempt(1),
        since_unix_ms: 4,
    };
    assert_eq!(read::<LedgerReply>(REPLY), LedgerReply::Claim(in_progress));
}

#[test]
fn states_of_jobs_are_read() {
    let answer = "a".to_owned();
    assert_eq!(read::<JobState>(JOB_STATE), JobState::Done { answer });
}

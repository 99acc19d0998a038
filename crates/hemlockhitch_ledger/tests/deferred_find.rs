//! Lookup of jobs by id, and idempotent insertion.

mod common;

use common::{FaultyKeyValue, attempt, now};
use hemlockhitch_ledger::deferred::{Job, Queue, QueueSettings};
use hemlockhitch_model::Class;

fn job(deadline_unix_ms: u64) -> Job {
    Job {
        request_id: attempt(1),
        organisation: "org".into(),
        class: Class::Overnight,
        body: "{}".to_owned(),
        accepted_unix_ms: now().unix_ms,
        deadline_unix_ms,
    }
}

#[tokio::test(start_paused = true)]
async fn job_with_an_existing_id_returns_the_existing_job() {
    let kv = FaultyKeyValue::new();
    let queue = Queue::new(kv.clone(), QueueSettings::default());
    let first = job(now().unix_ms + 2_000);
    assert_eq!(queue.get_or_insert(first.clone()).await.unwrap(), first);
    let second = job(now().unix_ms + 1_000);
    assert_eq!(queue.get_or_insert(second).await.unwrap(), first);
    // The second job leaves no index entry, which would end the first job before
    // its deadline.
    let open = queue.list_open(10).await.unwrap();
    assert_eq!(open.len(), 1);
    assert_eq!(open[0].deadline_unix_ms, first.deadline_unix_ms);
    let found = queue.find(&"org".into(), attempt(1)).await.unwrap();
    assert_eq!(found, Some(first));
    let other = queue.find(&"other".into(), attempt(1)).await.unwrap();
    assert_eq!(other, None);
}

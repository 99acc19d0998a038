//! Queue of deferred jobs.

mod common;

use std::time::Duration;

use common::{Fault, FaultyKeyValue, attempt, now};
use hemlockhitch_ledger::LedgerErrorKind;
use hemlockhitch_ledger::deferred::{Finished, Job, JobState, Queue, QueueSettings};
use hemlockhitch_model::{Class, Now};
use hemlockhitch_ports::key_value::{KeyValue, LeaseId};
use tokio::time::sleep;

const LEASE_MS: u64 = 10_000;

fn queue(kv: &FaultyKeyValue) -> Queue<FaultyKeyValue> {
    Queue::new(kv.clone(), QueueSettings::default())
}

fn job(number: u128) -> Job {
    Job {
        request_id: attempt(number),
        organisation: "org".into(),
        class: Class::Overnight,
        body: "{}".to_owned(),
        accepted_unix_ms: now().unix_ms,
        deadline_unix_ms: now().unix_ms + 3_600_000,
    }
}

fn done(answer: &str) -> JobState {
    JobState::Done {
        answer: answer.to_owned(),
    }
}

fn after_ms(elapsed_ms: u64) -> Now {
    Now {
        mono_ms: now().mono_ms + elapsed_ms,
        unix_ms: now().unix_ms + elapsed_ms,
    }
}

async fn lease(kv: &FaultyKeyValue) -> LeaseId {
    kv.lease_grant(LEASE_MS).await.unwrap()
}

async fn job_state(queue: &Queue<FaultyKeyValue>, number: u128) -> Option<JobState> {
    queue.state(&"org".into(), attempt(number)).await.unwrap()
}

#[tokio::test(start_paused = true)]
async fn job_is_taken_by_one_node_and_ends_once() {
    let kv = FaultyKeyValue::new();
    let (a, b) = (queue(&kv), queue(&kv));
    let lease = lease(&kv).await;
    assert_eq!(job_state(&a, 1).await, None);
    a.put(&job(1)).await.unwrap();
    a.put(&job(1)).await.unwrap();
    assert_eq!(job_state(&a, 1).await, Some(JobState::Queued));
    let claimed = a.take(&"a".into(), lease, now()).await.unwrap().unwrap();
    assert_eq!(*claimed, job(1));
    assert!(b.take(&"b".into(), lease, now()).await.unwrap().is_none());
    assert_eq!(job_state(&b, 1).await, Some(JobState::Running));
    let first = a.finish(&claimed, done("first"), now()).await.unwrap();
    assert_eq!(first, Finished::Recorded);
    let second = b
        .finish(&claimed, done("second"), after_ms(1))
        .await
        .unwrap();
    assert_eq!(second, Finished::AlreadyEnded(done("first")));
    assert_eq!(job_state(&b, 1).await, Some(done("first")));
    assert!(b.list_open(9).await.unwrap().is_empty());
    // A job that is stored again after its end does not run again.
    a.put(&job(1)).await.unwrap();
    assert!(
        a.take(&"a".into(), lease, after_ms(60_000))
            .await
            .unwrap()
            .is_none()
    );
    assert!(b.list_open(9).await.unwrap().is_empty());
}

#[tokio::test(start_paused = true)]
async fn concurrent_polls_take_each_job_once() {
    let kv_a = FaultyKeyValue::new();
    let kv_b = kv_a.new_client();
    let (a, b) = (queue(&kv_a), queue(&kv_b));
    let lease = lease(&kv_a).await;
    a.put(&job(1)).await.unwrap();
    a.put(&job(2)).await.unwrap();
    // Both nodes have seen that a job is unclaimed; the claim of node b is slow.
    kv_b.inject([Fault::Slow]);
    let node = "b".into();
    let (first, second) = tokio::join!(b.take(&node, lease, now()), async {
        sleep(Duration::from_millis(10)).await;
        let first = a.take(&"a".into(), lease, now()).await.unwrap();
        let second = a.take(&"a".into(), lease, now()).await.unwrap();
        (first, second)
    });
    assert!(first.unwrap().is_none());
    assert!(second.0.is_some() && second.1.is_some());
    // Node a has cached the second job, which node b takes in the meantime.
    let kv = FaultyKeyValue::new();
    let (a, b) = (queue(&kv), queue(&kv));
    a.put(&job(1)).await.unwrap();
    a.put(&job(2)).await.unwrap();
    let lease = kv.lease_grant(LEASE_MS).await.unwrap();
    let first = a.take(&"a".into(), lease, now()).await;
    let second = b.take(&"b".into(), lease, now()).await;
    assert!(first.unwrap().is_some() && second.unwrap().is_some());
    assert!(a.take(&"a".into(), lease, now()).await.unwrap().is_none());
}

#[tokio::test(start_paused = true)]
async fn job_of_a_lost_vm_is_available_after_its_lease_expires() {
    let kv = FaultyKeyValue::new();
    let (a, b) = (queue(&kv), queue(&kv));
    let (expiring, live) = (lease(&kv).await, lease(&kv).await);
    a.put(&job(1)).await.unwrap();
    let claimed = a.take(&"a".into(), expiring, now()).await.unwrap().unwrap();
    sleep(Duration::from_millis(LEASE_MS / 2)).await;
    kv.lease_renew(live).await.unwrap();
    assert!(
        b.take(&"b".into(), live, after_ms(5_000))
            .await
            .unwrap()
            .is_none()
    );
    sleep(Duration::from_millis(LEASE_MS / 2)).await;
    let again = b.take(&"b".into(), live, after_ms(10_000)).await.unwrap();
    let again = again.expect("the job is free");
    b.finish(&again, done("b"), after_ms(11_000)).await.unwrap();
    // The first node was only paused; its VM was not lost.
    let late = a
        .finish(&claimed, done("a"), after_ms(12_000))
        .await
        .unwrap();
    assert_eq!(late, Finished::AlreadyEnded(done("b")));
    let taken = a.take(&"a".into(), expiring, after_ms(60_000)).await;
    assert!(taken.unwrap().is_none(), "nothing is left to take");
    a.put(&job(2)).await.unwrap();
    let error = a
        .take(&"a".into(), expiring, after_ms(90_000))
        .await
        .unwrap_err();
    assert_eq!(error.kind(), LedgerErrorKind::LeaseLapsed);
}

#[tokio::test(start_paused = true)]
async fn dropped_job_is_taken_again_by_the_same_node() {
    let kv = FaultyKeyValue::new();
    let queue = queue(&kv);
    let lease = lease(&kv).await;
    queue.put(&job(1)).await.unwrap();
    let claimed = queue.take(&"a".into(), lease, now()).await.unwrap();
    assert!(claimed.is_some());
    let none = queue
        .take(&"a".into(), lease, after_ms(5_000))
        .await
        .unwrap();
    assert!(none.is_none(), "this node works on it");
    drop(claimed);
    let again = queue
        .take(&"a".into(), lease, after_ms(10_000))
        .await
        .unwrap();
    queue
        .release(again.expect("the work has stopped"))
        .await
        .unwrap();
    assert_eq!(job_state(&queue, 1).await, Some(JobState::Queued));
}

#[tokio::test(start_paused = true)]
async fn job_past_its_deadline_fails_with_a_reason_and_remedy() {
    let kv = FaultyKeyValue::new();
    let queue = queue(&kv);
    let lease = lease(&kv).await;
    queue.put(&job(1)).await.unwrap();
    let claimed = queue.take(&"a".into(), lease, after_ms(3_600_000)).await;
    assert!(claimed.unwrap().is_none());
    let Some(JobState::Failed { reason }) = job_state(&queue, 1).await else {
        panic!("the job has not failed");
    };
    insta::assert_snapshot!(reason, @"the deadline passed before the job could run; send it again");
}

#[tokio::test(start_paused = true)]
async fn write_faults_lose_no_job_or_result() {
    // Two writes store the job, one claims it, four end it.
    for writes_before in 0..7 {
        for fault in [Fault::Down, Fault::LostResponse, Fault::LostRequest] {
            let kv = FaultyKeyValue::new();
            let queue = queue(&kv);
            let lease = lease(&kv).await;
            kv.inject(std::iter::repeat_n(Fault::None, writes_before));
            kv.inject([fault]);
            let stored = queue.put(&job(1)).await;
            assert!(
                stored.is_ok() || fault == Fault::Down,
                "{fault:?} at {writes_before}"
            );
            while queue.put(&job(1)).await.is_err() {}
            let mut elapsed_ms = 0;
            let claimed = loop {
                let claimed = queue.take(&"a".into(), lease, after_ms(elapsed_ms)).await;
                elapsed_ms += 5_000;
                if let Ok(Some(claimed)) = claimed {
                    break claimed;
                }
            };
            while queue.finish(&claimed, done("x"), now()).await.is_err() {}
            assert_eq!(
                job_state(&queue, 1).await,
                Some(done("x")),
                "{fault:?} at {writes_before}"
            );
            assert!(queue.list_open(9).await.unwrap().is_empty());
        }
    }
}

#[tokio::test(start_paused = true)]
async fn poll_interval_bounds_the_store_reads() {
    let kv = FaultyKeyValue::new();
    let queue = queue(&kv);
    let lease = lease(&kv).await;
    let before = kv.read_count();
    for step in 0..1_000 {
        let claimed = queue.take(&"a".into(), lease, after_ms(step * 10)).await;
        assert!(claimed.unwrap().is_none());
    }
    // Two polls in ten seconds, each with two list calls.
    assert_eq!(kv.read_count() - before, 4);
}

#[tokio::test(start_paused = true)]
async fn result_is_deleted_after_its_retention() {
    let kv = FaultyKeyValue::new();
    let queue = queue(&kv);
    let lease = lease(&kv).await;
    queue.put(&job(1)).await.unwrap();
    let claimed = queue.take(&"a".into(), lease, now()).await.unwrap();
    let claimed = claimed.expect("the job is free");
    queue.finish(&claimed, done("x"), now()).await.unwrap();
    assert_eq!(kv.swap_count(), 7);
    let retention_ms = QueueSettings::default().retention_ms;
    assert_eq!(
        queue
            .delete_expired(9, after_ms(retention_ms - 1))
            .await
            .unwrap(),
        0
    );
    assert_eq!(
        queue
            .delete_expired(9, after_ms(retention_ms))
            .await
            .unwrap(),
        1
    );
    let left = kv.store.list("deferred/", None, 9).await.unwrap();
    assert!(left.entries.is_empty(), "{left:?}");
    assert_eq!(kv.swap_count(), 10);
}

#[tokio::test(start_paused = true)]
async fn conflicting_or_oversized_job_and_non_final_result_are_refused() {
    let kv = FaultyKeyValue::new();
    let queue = queue(&kv);
    queue.put(&job(1)).await.unwrap();
    let mut other = job(1);
    other.body = "[]".to_owned();
    let mut huge = job(2);
    huge.body = "x".repeat(1 << 20);
    let errors = [
        queue.put(&other).await.unwrap_err(),
        queue.put(&huge).await.unwrap_err(),
        queue
            .finish(&job(1), JobState::Running, now())
            .await
            .unwrap_err(),
    ];
    let lines = errors.map(|error| error.to_string());
    insta::assert_snapshot!(lines.join("\n"), @r"
    ledger: another job has this id; draw a new one
    ledger: record of 1048742 bytes; keep it under 921600
    ledger: a job ends as done or failed; give its answer or the reason
    ");
}

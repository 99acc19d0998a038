//! Execution of one deferred job.

use std::time::Duration;

use hemlockhitch_http::callers::completion_json;
use hemlockhitch_ledger::LedgerErrorKind;
use hemlockhitch_ledger::deferred::{ClaimedJob, Job, JobState};
use hemlockhitch_model::{Clock, SystemClock};
use hemlockhitch_router::{Refusal, RefusalKind, Router, TrustedCall};
use tokio::time::{sleep, timeout};

use super::super::backend::NodeBackend;
use super::NodeQueue;

/// Attempts to run a job before it is released to the queue.
const MAX_ATTEMPTS: u32 = 3;

/// Backoff after the first refusal; it doubles after each further one.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// Wait between two attempts to save a result.
const STORE_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Runs a job until its deadline at most, then saves its result or releases the job.
pub(super) async fn run(
    queue: NodeQueue,
    router: Router<NodeBackend>,
    clock: SystemClock,
    job: ClaimedJob,
) {
    let remaining_ms = job.deadline_unix_ms.saturating_sub(clock.now().unix_ms);
    let outcome = timeout(
        Duration::from_millis(remaining_ms),
        run_with_retries(&router, &job),
    )
    .await;
    match outcome.unwrap_or_else(|_| Some(deadline_exceeded())) {
        Some(state) => store_result(&queue, clock, &job, state).await,
        None => release(&queue, job).await,
    }
}

/// Returns the final state of the job, or `None` if every attempt was refused for a
/// temporary reason.
async fn run_with_retries(router: &Router<NodeBackend>, job: &Job) -> Option<JobState> {
    let mut backoff = INITIAL_BACKOFF;
    for _ in 0..MAX_ATTEMPTS {
        let refusal = match attempt(router, job).await {
            Ok(answer) => return Some(JobState::Done { answer }),
            Err(refusal) => refusal,
        };
        tracing::info!(event = "HH1004", request = %job.request_id, %refusal, "attempt of a deferred job refused");
        if is_permanent(refusal.kind) {
            let reason = refusal.to_string();
            return Some(JobState::Failed { reason });
        }
        sleep(backoff).await;
        backoff *= 2;
    }
    None
}

async fn attempt(router: &Router<NodeBackend>, job: &Job) -> Result<String, Refusal> {
    let body = serde_json::from_str(&job.body).map_err(|error| {
        Refusal::not_run(
            RefusalKind::BadRequest,
            format!("the stored body cannot be read: {error}"),
            "send the request again",
        )
    })?;
    let call = TrustedCall {
        request_id: job.request_id,
        organisation: job.organisation.clone(),
        class: job.class,
        body,
    };
    completion_json(router.chat_as(call).await?).await
}

/// Returns whether a retry of the same job would be refused as well.
fn is_permanent(kind: RefusalKind) -> bool {
    matches!(
        kind,
        RefusalKind::BadRequest
            | RefusalKind::TooLarge
            | RefusalKind::NotAllowed
            | RefusalKind::NotFound
            | RefusalKind::Withdrawn
            | RefusalKind::CrashesEndpoints
    )
}

/// Saves a result; retries until it is written, because the store may be unavailable for a
/// while.
async fn store_result(
    queue: &NodeQueue,
    clock: SystemClock,
    job: &ClaimedJob,
    mut state: JobState,
) {
    loop {
        let Err(error) = queue.finish(job, state.clone(), clock.now()).await else {
            return;
        };
        tracing::warn!(event = "HH1005", request = %job.request_id, %error, "failed to save the result of a deferred job; retrying");
        if error.kind() == LedgerErrorKind::TooLarge {
            let reason = "the answer is too long to be kept; ask for fewer tokens".to_owned();
            state = JobState::Failed { reason };
            continue;
        }
        sleep(STORE_RETRY_PAUSE).await;
    }
}

async fn release(queue: &NodeQueue, job: ClaimedJob) {
    let request = job.request_id;
    if let Err(error) = queue.release(job).await {
        tracing::warn!(event = "HH1006", %request, %error, "failed to release a deferred job");
    }
}

fn deadline_exceeded() -> JobState {
    JobState::Failed {
        reason: "the deadline passed before the job was done; send it again".to_owned(),
    }
}

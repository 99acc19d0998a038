//! Runs one job to its end.

use std::time::Duration;

use hemlockhitch_http::callers::whole_answer;
use hemlockhitch_ledger::LedgerErrorKind;
use hemlockhitch_ledger::deferred::{ClaimedJob, Job, JobState};
use hemlockhitch_model::{Clock, SystemClock};
use hemlockhitch_router::{Refusal, RefusalKind, Router, TrustedCall};
use tokio::time::{sleep, timeout};

use super::super::backend::NodeBackend;
use super::NodeQueue;

/// Tries of a job before it is given back to the queue.
const MAX_TRIES: u32 = 3;

/// The pause after the first refusal; it doubles after each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// The pause between two tries to store a result.
const STORE_PAUSE: Duration = Duration::from_secs(1);

/// Runs a job and stores its result, or gives it back.
pub(super) async fn run(
    queue: NodeQueue,
    router: Router<NodeBackend>,
    clock: SystemClock,
    job: ClaimedJob,
) {
    let left_ms = job.deadline_unix_ms.saturating_sub(clock.now().unix_ms);
    let ended = timeout(Duration::from_millis(left_ms), try_often(&router, &job)).await;
    match ended.unwrap_or_else(|_| Some(deadline_passed())) {
        Some(state) => store(&queue, clock, &job, state).await,
        None => give_back(&queue, job).await,
    }
}

/// Returns how the job ended, or `None` when it cannot run at present.
async fn try_often(router: &Router<NodeBackend>, job: &Job) -> Option<JobState> {
    let mut pause = FIRST_PAUSE;
    for _ in 0..MAX_TRIES {
        let refusal = match try_once(router, job).await {
            Ok(answer) => return Some(JobState::Done { answer }),
            Err(refusal) => refusal,
        };
        tracing::info!(event = "HH1004", request = %job.request_id, %refusal, "deferred work refused");
        if is_final(refusal.kind) {
            let reason = refusal.to_string();
            return Some(JobState::Failed { reason });
        }
        sleep(pause).await;
        pause *= 2;
    }
    None
}

async fn try_once(router: &Router<NodeBackend>, job: &Job) -> Result<String, Refusal> {
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
    whole_answer(router.chat_as(call).await?).await
}

/// Returns whether the same job would be refused at any later time.
fn is_final(kind: RefusalKind) -> bool {
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

/// Stores a result; the store may be down for a while.
async fn store(queue: &NodeQueue, clock: SystemClock, job: &ClaimedJob, mut state: JobState) {
    loop {
        let Err(error) = queue.finish(job, state.clone(), clock.now()).await else {
            return;
        };
        tracing::warn!(event = "HH1005", request = %job.request_id, %error, "result not stored yet");
        if error.kind() == LedgerErrorKind::TooLarge {
            let reason = "the answer is too long to be kept; ask for fewer tokens".to_owned();
            state = JobState::Failed { reason };
            continue;
        }
        sleep(STORE_PAUSE).await;
    }
}

async fn give_back(queue: &NodeQueue, job: ClaimedJob) {
    let request = job.request_id;
    if let Err(error) = queue.release(job).await {
        tracing::warn!(event = "HH1006", %request, %error, "deferred work not given back yet");
    }
}

fn deadline_passed() -> JobState {
    JobState::Failed {
        reason: "the deadline passed before the job was done; send it again".to_owned(),
    }
}

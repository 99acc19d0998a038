//! Status of deferred jobs for the administration API.

use hemlockhitch_config::admin::{AdminError, AdminErrorCode, DeferredState, DeferredStatus};
use hemlockhitch_endpoint::engine::ChatRequest;
use hemlockhitch_ledger::LedgerError;
use hemlockhitch_ledger::deferred::{Job, JobState};

use super::NodeQueue;

/// Maximum number of jobs in a listing; those with the earliest deadlines are listed.
const MAX_LISTED: usize = 64;

/// Lists the jobs that have not ended, the earliest deadline first.
///
/// # Errors
///
/// Fails if the jobs cannot be read from the store.
pub(in super::super) async fn list(queue: &NodeQueue) -> Result<Vec<DeferredStatus>, AdminError> {
    list_open(queue).await.map_err(|error| {
        AdminError::new(
            AdminErrorCode::StoreUnavailable,
            error.to_string(),
            "ask again later",
        )
    })
}

async fn list_open(queue: &NodeQueue) -> Result<Vec<DeferredStatus>, LedgerError> {
    let mut listed = Vec::new();
    for open in queue.list_open(MAX_LISTED).await? {
        let job = queue.find(&open.organisation, open.request_id).await?;
        let state = queue.state(&open.organisation, open.request_id).await?;
        if let (Some(job), Some(state)) = (job, state) {
            listed.push(status(job, &state));
        }
    }
    Ok(listed)
}

fn status(job: Job, state: &JobState) -> DeferredStatus {
    let body: Option<ChatRequest> = serde_json::from_str(&job.body).ok();
    let state = deferred_state(state);
    DeferredStatus {
        request: job.request_id,
        organisation: job.organisation,
        model: body.map(|body| body.model.as_str().into()),
        state,
        admitted_unix_ms: job.accepted_unix_ms,
        deadline_unix_ms: job.deadline_unix_ms,
        // The store records only the current attempt.
        attempts: u32::from(state == DeferredState::Running),
    }
}

fn deferred_state(state: &JobState) -> DeferredState {
    match state {
        JobState::Queued => DeferredState::Waiting,
        JobState::Running => DeferredState::Running,
        JobState::Done { .. } => DeferredState::Done,
        JobState::Failed { .. } => DeferredState::Failed,
    }
}

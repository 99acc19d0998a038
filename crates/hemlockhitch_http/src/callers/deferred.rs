//! HTTP handlers of deferred chat completions.

use hemlockhitch_endpoint::engine::ChatRequest;
use hemlockhitch_ledger::deferred::{Job, JobState, Queue};
use hemlockhitch_ledger::{LedgerError, LedgerErrorKind};
use hemlockhitch_model::{Class, Now, OrganisationName, RequestId};
use hemlockhitch_ports::key_value::KeyValue;
use hemlockhitch_router::{Backend, Caller, ChatAnswer, Refusal, RefusalKind, Router, TrustedCall};
use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde::Serialize;
use serde_json::Value;
use sha2::{Digest, Sha256};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use super::completion::collect_completion;
use super::{CallersLimits, body, headers, response};

/// Time until the deadline if the caller sets none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 12 * 60 * 60 * 1_000;

/// `Retry-After` when the store is unavailable, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Header with the deadline, as Unix milliseconds or RFC 3339.
const DEADLINE_HEADER: &str = "x-hemlockhitch-deadline";

const NANOS_PER_MS: i128 = 1_000_000;

/// State shared by the handlers of deferred jobs.
#[derive(Clone)]
struct DeferredApi<B: Backend, K> {
    router: Router<B>,
    queue: Queue<K>,
    limits: CallersLimits,
}

/// Handles `POST /v1/deferred`.
struct SubmitHandler<B: Backend, K>(DeferredApi<B, K>);

/// Handles `GET /v1/deferred/{id}`.
struct StatusHandler<B: Backend, K>(DeferredApi<B, K>);

#[derive(Serialize)]
struct SubmitResponse {
    id: RequestId,
    deadline_unix_ms: u64,
}

#[derive(Serialize)]
struct StatusResponse {
    id: RequestId,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer: Option<Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
}

/// Builds the routes of deferred jobs, which are stored in `queue`.
#[must_use]
pub fn deferred_routes<B: Backend, K: KeyValue>(
    router: &Router<B>,
    queue: &Queue<K>,
    limits: CallersLimits,
) -> salvo::Router {
    let deferred = DeferredApi {
        router: router.clone(),
        queue: queue.clone(),
        limits,
    };
    salvo::Router::with_path("v1/deferred")
        .post(SubmitHandler(deferred.clone()))
        .push(salvo::Router::with_path("{id}").get(StatusHandler(deferred)))
}

/// Reads an answer to its end and returns the completion as JSON text.
///
/// # Errors
///
/// Fails if the answer ends before it is complete.
pub async fn completion_json<B: Backend>(answer: ChatAnswer<B>) -> Result<String, Refusal> {
    let completion = collect_completion(answer).await?;
    Ok(serde_json::to_string(&completion).unwrap_or_default())
}

#[async_trait]
impl<B: Backend, K: KeyValue> Handler for SubmitHandler<B, K> {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        match self.0.submit(request).await {
            Ok(message) => {
                response::write_json(response, message);
                response.status_code(StatusCode::ACCEPTED);
            }
            Err(refusal) => response::write_refusal(response, &refusal),
        }
    }
}

#[async_trait]
impl<B: Backend, K: KeyValue> Handler for StatusHandler<B, K> {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        match self.0.status(request).await {
            Ok(message) => response::write_json(response, message),
            Err(refusal) => response::write_refusal(response, &refusal),
        }
    }
}

impl<B: Backend, K: KeyValue> DeferredApi<B, K> {
    async fn submit(&self, request: &mut Request) -> Result<SubmitResponse, Refusal> {
        let caller = self.router.authenticate(headers::read(request))?;
        let organisation = self.organisation(&caller);
        let now = self.router.now();
        let deadline_unix_ms = deadline(request, now)?;
        let mut body = body::read(request, self.limits).await?;
        body.stream = false;
        let id = job_id(&caller, &organisation);
        let text = body_text(&body)?;
        if let Some(existing) = self.find(&organisation, id).await? {
            return submit_response(&existing, &text);
        }
        self.router.check_chat_as(TrustedCall {
            request_id: id,
            organisation: organisation.clone(),
            class: Class::Overnight,
            body,
        })?;
        let job = Job {
            request_id: id,
            organisation,
            class: Class::Overnight,
            body: text.clone(),
            accepted_unix_ms: now.unix_ms,
            deadline_unix_ms,
        };
        submit_response(&self.insert(job).await?, &text)
    }

    async fn status(&self, request: &mut Request) -> Result<StatusResponse, Refusal> {
        let caller = self.router.authenticate(headers::read(request))?;
        let organisation = self.organisation(&caller);
        let id = request.param::<String>("id").unwrap_or_default();
        let id: RequestId = id.parse().map_err(|_| not_found())?;
        let state = self.queue.state(&organisation, id).await;
        let state = state.map_err(|error| store_error_refusal(&error).request(id))?;
        Ok(status_response(
            id,
            state.ok_or_else(|| not_found().request(id))?,
        ))
    }

    fn organisation(&self, caller: &Caller) -> OrganisationName {
        let view = self.router.view();
        view.table.organisations[caller.organisation]
            .row
            .name
            .clone()
    }

    async fn find(
        &self,
        organisation: &OrganisationName,
        id: RequestId,
    ) -> Result<Option<Job>, Refusal> {
        let found = self.queue.find(organisation, id).await;
        found.map_err(|error| store_error_refusal(&error).request(id))
    }

    /// Inserts a job, or returns the existing one; if the write fails, reads the job back,
    /// because the store may have written it and lost the reply.
    async fn insert(&self, job: Job) -> Result<Job, Refusal> {
        let organisation = job.organisation.clone();
        let id = job.request_id;
        let error = match self.queue.get_or_insert(job).await {
            Ok(existing) => return Ok(existing),
            Err(error) => error,
        };
        if error.kind() == LedgerErrorKind::TooLarge {
            return Err(store_error_refusal(&error).request(id));
        }
        match self.queue.find(&organisation, id).await {
            Ok(Some(existing)) => Ok(existing),
            Ok(None) => Err(store_error_refusal(&error).request(id)),
            Err(_) => Err(unknown_outcome().request(id)),
        }
    }
}

/// Derives the id from the idempotency key, so that a retry finds the same job.
fn job_id(caller: &Caller, organisation: &OrganisationName) -> RequestId {
    let Some(key) = &caller.idempotency_key else {
        return caller.request_id;
    };
    let mut hash = Sha256::new();
    hash.update(organisation.as_str());
    hash.update([0]);
    hash.update(key);
    let digest: [u8; 32] = hash.finalize().into();
    let number = digest[..16]
        .iter()
        .fold(0_u128, |number, byte| number << 8 | u128::from(*byte));
    RequestId::from_u128(number)
}

fn deadline(request: &Request, now: Now) -> Result<u64, Refusal> {
    let Some(text) = request.header::<String>(DEADLINE_HEADER) else {
        return Ok(now.unix_ms + DEFAULT_DEADLINE_MS);
    };
    parse_deadline(&text)
        .filter(|deadline_unix_ms| *deadline_unix_ms > now.unix_ms)
        .ok_or_else(|| {
            Refusal::not_run(
                RefusalKind::BadRequest,
                "the header X-Hemlockhitch-Deadline is not a time to come",
                "send Unix milliseconds or RFC 3339, such as 2030-01-31T06:00:00Z",
            )
        })
}

/// Latest deadline that fits into the store key, in Unix milliseconds.
const MAX_DEADLINE_UNIX_MS: u64 = 9_999_999_999_999;

fn parse_deadline(text: &str) -> Option<u64> {
    let deadline_unix_ms = text.parse::<u64>().ok().or_else(|| {
        let time = OffsetDateTime::parse(text, &Rfc3339).ok()?;
        u64::try_from(time.unix_timestamp_nanos() / NANOS_PER_MS).ok()
    })?;
    (deadline_unix_ms <= MAX_DEADLINE_UNIX_MS).then_some(deadline_unix_ms)
}

fn body_text(body: &ChatRequest) -> Result<String, Refusal> {
    serde_json::to_string(body).map_err(|error| {
        Refusal::not_run(
            RefusalKind::BadRequest,
            error.to_string(),
            "send JSON with `model` and `messages`",
        )
    })
}

fn submit_response(existing: &Job, text: &str) -> Result<SubmitResponse, Refusal> {
    if existing.body != text {
        let refusal = Refusal::not_run(
            RefusalKind::KeyMismatch,
            "the idempotency key was used for a different body",
            "send the same body, or another key",
        );
        return Err(refusal.request(existing.request_id));
    }
    Ok(SubmitResponse {
        id: existing.request_id,
        deadline_unix_ms: existing.deadline_unix_ms,
    })
}

fn status_response(id: RequestId, state: JobState) -> StatusResponse {
    let (state, answer, reason) = match state {
        JobState::Queued => ("queued", None, None),
        JobState::Running => ("running", None, None),
        JobState::Done { answer } => ("done", serde_json::from_str(&answer).ok(), None),
        JobState::Failed { reason } => ("failed", None, Some(reason)),
    };
    StatusResponse {
        id,
        state,
        answer,
        reason,
    }
}

fn not_found() -> Refusal {
    Refusal::not_run(
        RefusalKind::NotFound,
        "your organisation has no such deferred request",
        "check the id; answers are kept for a week",
    )
}

fn unknown_outcome() -> Refusal {
    Refusal::may_have_run(
        RefusalKind::LedgerUnavailable,
        "the store did not say whether it keeps the request",
        "send it again with the same Idempotency-Key, which returns the same job",
    )
    .retry_after_ms(RETRY_AFTER_MS)
}

fn store_error_refusal(error: &LedgerError) -> Refusal {
    match error.kind() {
        LedgerErrorKind::TooLarge => Refusal::not_run(
            RefusalKind::TooLarge,
            error.detail(),
            "send a shorter request",
        ),
        _ => Refusal::not_run(
            RefusalKind::LedgerUnavailable,
            error.detail(),
            "send the request again later",
        )
        .retry_after_ms(RETRY_AFTER_MS),
    }
}

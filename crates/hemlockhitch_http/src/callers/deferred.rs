//! Deferred chat completions over HTTP.

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

use super::completion::gather;
use super::{CallersLimits, body, headers, response};

/// How far ahead the deadline lies when the caller names none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 12 * 60 * 60 * 1_000;

/// How long a caller waits for the store before the next try, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The header that names the deadline.
const DEADLINE_HEADER: &str = "x-hemlockhitch-deadline";

/// Nanoseconds in a millisecond.
const NANOS_PER_MS: i128 = 1_000_000;

/// Answers calls of deferred work.
#[derive(Clone)]
struct Deferred<B: Backend, K> {
    router: Router<B>,
    queue: Queue<K>,
    limits: CallersLimits,
}

/// Answers `POST /v1/deferred`.
struct Accept<B: Backend, K>(Deferred<B, K>);

/// Answers `GET /v1/deferred/{id}`.
struct Fetch<B: Backend, K>(Deferred<B, K>);

#[derive(Serialize)]
struct Accepted {
    id: RequestId,
    deadline_unix_ms: u64,
}

#[derive(Serialize)]
struct Fetched {
    id: RequestId,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer: Option<Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
}

/// Builds the routes of deferred work, which is kept in `queue`.
#[must_use]
pub fn deferred_routes<B: Backend, K: KeyValue>(
    router: &Router<B>,
    queue: &Queue<K>,
    limits: CallersLimits,
) -> salvo::Router {
    let deferred = Deferred {
        router: router.clone(),
        queue: queue.clone(),
        limits,
    };
    salvo::Router::with_path("v1/deferred")
        .post(Accept(deferred.clone()))
        .push(salvo::Router::with_path("{id}").get(Fetch(deferred)))
}

/// Reads an answer to its end; returns the JSON text of the completion.
///
/// # Errors
///
/// Fails when the answer does not come whole.
pub async fn whole_answer<B: Backend>(answer: ChatAnswer<B>) -> Result<String, Refusal> {
    let completion = gather(answer).await?;
    Ok(serde_json::to_string(&completion).unwrap_or_default())
}

#[async_trait]
impl<B: Backend, K: KeyValue> Handler for Accept<B, K> {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        match self.0.accept(request).await {
            Ok(accepted) => {
                response::json(response, accepted);
                response.status_code(StatusCode::ACCEPTED);
            }
            Err(refusal) => response::refuse(response, &refusal),
        }
    }
}

#[async_trait]
impl<B: Backend, K: KeyValue> Handler for Fetch<B, K> {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        match self.0.fetch(request).await {
            Ok(fetched) => response::json(response, fetched),
            Err(refusal) => response::refuse(response, &refusal),
        }
    }
}

impl<B: Backend, K: KeyValue> Deferred<B, K> {
    async fn accept(&self, request: &mut Request) -> Result<Accepted, Refusal> {
        let caller = self.router.authenticate(headers::read(request))?;
        let organisation = self.organisation(&caller);
        let now = self.router.now();
        let deadline_unix_ms = deadline(request, now)?;
        let mut body = body::read(request, self.limits).await?;
        body.stream = false;
        let id = job_id(&caller, &organisation);
        let text = body_text(&body)?;
        if let Some(standing) = self.find(&organisation, id).await? {
            return accepted(&standing, &text);
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
        accepted(&self.put(job).await?, &text)
    }

    async fn fetch(&self, request: &mut Request) -> Result<Fetched, Refusal> {
        let caller = self.router.authenticate(headers::read(request))?;
        let organisation = self.organisation(&caller);
        let id = request.param::<String>("id").unwrap_or_default();
        let id: RequestId = id.parse().map_err(|_| not_found())?;
        let state = self.queue.state(&organisation, id).await;
        let state = state.map_err(|error| store_refusal(&error).request(id))?;
        Ok(fetched(id, state.ok_or_else(|| not_found().request(id))?))
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
        found.map_err(|error| store_refusal(&error).request(id))
    }

    /// Stores a job; a write whose answer was lost is read back.
    async fn put(&self, job: Job) -> Result<Job, Refusal> {
        let organisation = job.organisation.clone();
        let id = job.request_id;
        let error = match self.queue.get_or_insert(job).await {
            Ok(standing) => return Ok(standing),
            Err(error) => error,
        };
        if error.kind() == LedgerErrorKind::TooLarge {
            return Err(store_refusal(&error).request(id));
        }
        match self.queue.find(&organisation, id).await {
            Ok(Some(standing)) => Ok(standing),
            Ok(None) => Err(store_refusal(&error).request(id)),
            Err(_) => Err(unknown_outcome().request(id)),
        }
    }
}

/// Derives the id from the idempotency key, so that a repeat finds the same job.
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

/// The last time that a key of the store can hold, in Unix milliseconds.
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

fn accepted(standing: &Job, text: &str) -> Result<Accepted, Refusal> {
    if standing.body != text {
        let refusal = Refusal::not_run(
            RefusalKind::KeyMismatch,
            "the idempotency key was used for a different body",
            "send the same body, or another key",
        );
        return Err(refusal.request(standing.request_id));
    }
    Ok(Accepted {
        id: standing.request_id,
        deadline_unix_ms: standing.deadline_unix_ms,
    })
}

fn fetched(id: RequestId, state: JobState) -> Fetched {
    let (state, answer, reason) = match state {
        JobState::Queued => ("queued", None, None),
        JobState::Running => ("running", None, None),
        JobState::Done { answer } => ("done", serde_json::from_str(&answer).ok(), None),
        JobState::Failed { reason } => ("failed", None, Some(reason)),
    };
    Fetched {
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

fn store_refusal(error: &LedgerError) -> Refusal {
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

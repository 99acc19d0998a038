//! Non-idempotent calls: claimed before they are dispatched, once.

use std::time::Duration;

use hemlockhitch_endpoint::service::{ServiceAnswer, ServiceError};
use hemlockhitch_ledger::claim::{Claim, ClaimAnswer, ClaimKey, Outcome};
use hemlockhitch_ledger::{Ledger, LedgerError};
use sha2::{Digest, Sha256};
use tokio::time::sleep;

use super::Planned;
use super::dispatch::{bill, invalid, send, take_place};
use crate::backend::Backend;
use crate::refusal::{Refusal, RefusalKind};
use crate::router::Router;
use crate::session::hex;
use crate::view::View;

/// The pause after an outcome that could not be recorded.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// Runs a non-idempotent call at most once for its idempotency key.
pub(super) async fn run_once<B: Backend>(
    router: &Router<B>,
    view: &View,
    planned: &Planned,
) -> Result<ServiceAnswer, Refusal> {
    let claim = claim_of(view, planned)?;
    let mut avoided = Vec::new();
    let mut target = take_place(router, view, planned, &avoided).await?;
    if let Some(answer) = take_claim(router, &claim).await? {
        return Ok(answer);
    }
    loop {
        let endpoint = target.endpoint;
        match send(router, view, planned, target).await {
            Ok(answer) => {
                let bill = bill(router, view, planned, endpoint);
                settle(router, &claim, done(&answer)).await;
                router.billing.deliver(bill).await;
                return Ok(answer);
            }
            Err(ServiceError::Broken { .. }) => {
                settle(router, &claim, Outcome::Unknown).await;
                return Err(outcome_unknown());
            }
            Err(error @ ServiceError::Invalid { .. }) => {
                settle(router, &claim, Outcome::NotRun).await;
                return Err(invalid(&error));
            }
            Err(ServiceError::Unreachable { .. }) => avoided.push(endpoint),
        }
        // The call certainly did not run, so the claim still covers one dispatch.
        target = match take_place(router, view, planned, &avoided).await {
            Ok(next) => next,
            Err(refusal) => {
                settle(router, &claim, Outcome::NotRun).await;
                return Err(refusal);
            }
        };
    }
}

fn claim_of(view: &View, planned: &Planned) -> Result<Claim, Refusal> {
    let idempotency_key = planned.caller.idempotency_key.clone().ok_or_else(|| {
        Refusal::not_run(
            RefusalKind::KeyRequired,
            "this call may not be repeated and has no idempotency key",
            "send the header Idempotency-Key with a value that is new for each intent and the \
             same for each repeat",
        )
    })?;
    let organisation = &view.table.organisations[planned.caller.organisation];
    Ok(Claim {
        key: ClaimKey {
            organisation: organisation.row.name.clone(),
            idempotency_key,
        },
        attempt: planned.caller.request_id,
        call_digest: digest(planned),
    })
}

fn digest(planned: &Planned) -> String {
    let mut digest = Sha256::new();
    digest.update(planned.call.service.as_str().as_bytes());
    digest.update([0]);
    digest.update(planned.request.method.as_bytes());
    digest.update([0]);
    digest.update(planned.request.path.as_bytes());
    digest.update([0]);
    digest.update(&planned.request.body);
    hex(&digest.finalize())
}

/// Claims the call; returns the stored answer when it has run before.
async fn take_claim<B: Backend>(
    router: &Router<B>,
    claim: &Claim,
) -> Result<Option<ServiceAnswer>, Refusal> {
    let answer = router.parts.ledger.claim(claim.clone(), router.now()).await;
    let retry_after_ms = router.parts.settings.retry_after_ms;
    let answer = answer.map_err(|error| {
        Refusal::not_run(
            RefusalKind::LedgerUnavailable,
            error.to_string(),
            "send the call again with the same idempotency key",
        )
        .retry_after_ms(retry_after_ms)
    })?;
    match answer {
        ClaimAnswer::Granted => Ok(None),
        ClaimAnswer::Ended(Outcome::Done {
            status,
            content_type,
            body,
        }) => Ok(Some(ServiceAnswer {
            status,
            content_type,
            body,
        })),
        ClaimAnswer::Ended(_) => Err(outcome_unknown()),
        ClaimAnswer::InProgress { .. } => Err(in_progress(retry_after_ms)),
        ClaimAnswer::Mismatch => Err(mismatch()),
    }
}

fn done(answer: &ServiceAnswer) -> Outcome {
    Outcome::Done {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: answer.body.clone(),
    }
}

/// Records the outcome; goes on in the background while the ledger is down.
async fn settle<B: Backend>(router: &Router<B>, claim: &Claim, outcome: Outcome) {
    let Err(error) = settle_once(router, claim, outcome.clone()).await else {
        return;
    };
    if !error.kind().is_transient() {
        settle_unknown(router, claim, &error).await;
        return;
    }
    let router = router.clone();
    let claim = claim.clone();
    let guard = router.in_flight().enter(usize::MAX);
    tokio::spawn(async move {
        let _guard = guard;
        settle_until_recorded(&router, &claim, outcome).await;
    });
}

async fn settle_until_recorded<B: Backend>(router: &Router<B>, claim: &Claim, outcome: Outcome) {
    loop {
        sleep(SETTLE_PAUSE).await;
        match settle_once(router, claim, outcome.clone()).await {
            Ok(()) => return,
            Err(error) if error.kind().is_transient() => {}
            Err(error) => return settle_unknown(router, claim, &error).await,
        }
    }
}

/// Gives up an outcome that the ledger will never take, such as an answer that
/// is too large to be stored. A repeat is told that the outcome is unknown.
async fn settle_unknown<B: Backend>(router: &Router<B>, claim: &Claim, error: &LedgerError) {
    tracing::error!(event = "HH0708", request = %claim.attempt, %error, "outcome cannot be stored");
    // Without it the claim ends as unknown by its own time-out.
    let _ = settle_once(router, claim, Outcome::Unknown).await;
}

async fn settle_once<B: Backend>(
    router: &Router<B>,
    claim: &Claim,
    outcome: Outcome,
) -> Result<(), LedgerError> {
    let settled = router
        .parts
        .ledger
        .settle(&claim.key, claim.attempt, outcome, router.now())
        .await;
    if let Err(error) = &settled {
        tracing::warn!(event = "HH0705", request = %claim.attempt, %error, "outcome not recorded yet");
    }
    settled
}

fn in_progress(retry_after_ms: u64) -> Refusal {
    Refusal::may_have_run(
        RefusalKind::InProgress,
        "another attempt with this idempotency key has not ended",
        "send the call again with the same idempotency key to learn how it ended",
    )
    .retry_after_ms(retry_after_ms)
}

fn mismatch() -> Refusal {
    Refusal::not_run(
        RefusalKind::KeyMismatch,
        "this idempotency key was used for a different call",
        "use a new idempotency key for a new call",
    )
}

fn outcome_unknown() -> Refusal {
    Refusal::may_have_run(
        RefusalKind::OutcomeUnknown,
        "the call was sent and nobody knows whether it ran",
        "read the state of the service before you send the call with a new idempotency key",
    )
}

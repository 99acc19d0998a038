//! Non-idempotent calls. The idempotency key is claimed in the ledger before the call
//! is dispatched, so that the call runs at most once.

use std::time::Duration;

use hemlockhitch_endpoint::service::{ServiceAnswer, ServiceError};
use hemlockhitch_ledger::claim::{Claim, ClaimAnswer, ClaimKey, Outcome};
use hemlockhitch_ledger::{Ledger, LedgerError};
use sha2::{Digest, Sha256};
use tokio::time::sleep;

use super::PlannedCall;
use super::dispatch::{acquire_slot, build_bill, invalid_call_refusal, send};
use crate::backend::Backend;
use crate::refusal::{Refusal, RefusalKind};
use crate::router::Router;
use crate::session::encode_hex;
use crate::view::RoutingView;

/// Delay between a failed attempt to record an outcome and the next one.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Runs a non-idempotent call at most once for its idempotency key.
pub(super) async fn run_once<B: Backend>(
    router: &Router<B>,
    view: &RoutingView,
    planned: &PlannedCall,
) -> Result<ServiceAnswer, Refusal> {
    let claim = build_claim(view, planned)?;
    let mut excluded = Vec::new();
    let mut target = acquire_slot(router, view, planned, &excluded).await?;
    if let Some(answer) = acquire_claim(router, &claim).await? {
        return Ok(answer);
    }
    loop {
        let endpoint = target.endpoint;
        match send(router, view, planned, target).await {
            Ok(answer) => {
                let bill = build_bill(router, view, planned, endpoint);
                settle(router, &claim, done_outcome(&answer)).await;
                router.billing.deliver(bill).await;
                return Ok(answer);
            }
            Err(ServiceError::Broken { .. }) => {
                settle(router, &claim, Outcome::Unknown).await;
                return Err(outcome_unknown_refusal());
            }
            Err(error @ ServiceError::Invalid { .. }) => {
                settle(router, &claim, Outcome::NotRun).await;
                return Err(invalid_call_refusal(&error));
            }
            Err(ServiceError::Unreachable { .. }) => excluded.push(endpoint),
        }
        // An unreachable endpoint did not run the call, so the claim still permits
        // a dispatch.
        target = match acquire_slot(router, view, planned, &excluded).await {
            Ok(next) => next,
            Err(refusal) => {
                settle(router, &claim, Outcome::NotRun).await;
                return Err(refusal);
            }
        };
    }
}

fn build_claim(view: &RoutingView, planned: &PlannedCall) -> Result<Claim, Refusal> {
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
        call_digest: call_digest(planned),
    })
}

fn call_digest(planned: &PlannedCall) -> String {
    let mut digest = Sha256::new();
    digest.update(planned.call.service.as_str().as_bytes());
    digest.update([0]);
    digest.update(planned.request.method.as_bytes());
    digest.update([0]);
    digest.update(planned.request.path.as_bytes());
    digest.update([0]);
    digest.update(&planned.request.body);
    encode_hex(&digest.finalize())
}

/// Claims the call; returns the stored answer when the call has already run.
async fn acquire_claim<B: Backend>(
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
        ClaimAnswer::Ended(_) => Err(outcome_unknown_refusal()),
        ClaimAnswer::InProgress { .. } => Err(in_progress_refusal(retry_after_ms)),
        ClaimAnswer::Mismatch => Err(key_mismatch_refusal()),
    }
}

fn done_outcome(answer: &ServiceAnswer) -> Outcome {
    Outcome::Done {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: answer.body.clone(),
    }
}

/// Records the outcome; retries in the background while the ledger is unavailable.
async fn settle<B: Backend>(router: &Router<B>, claim: &Claim, outcome: Outcome) {
    let Err(error) = try_settle(router, claim, outcome.clone()).await else {
        return;
    };
    if !error.kind().is_transient() {
        settle_as_unknown(router, claim, &error).await;
        return;
    }
    let router = router.clone();
    let claim = claim.clone();
    let guard = router.in_flight().try_acquire(usize::MAX);
    tokio::spawn(async move {
        let _guard = guard;
        settle_until_recorded(&router, &claim, outcome).await;
    });
}

async fn settle_until_recorded<B: Backend>(router: &Router<B>, claim: &Claim, outcome: Outcome) {
    loop {
        sleep(SETTLE_RETRY_DELAY).await;
        match try_settle(router, claim, outcome.clone()).await {
            Ok(()) => return,
            Err(error) if error.kind().is_transient() => {}
            Err(error) => return settle_as_unknown(router, claim, &error).await,
        }
    }
}

/// Settles the claim as unknown when the ledger rejects the outcome permanently, for
/// example because the answer is too large to be stored. A repeated call is then
/// answered with an unknown outcome.
async fn settle_as_unknown<B: Backend>(router: &Router<B>, claim: &Claim, error: &LedgerError) {
    tracing::error!(event = "HH0708", request = %claim.attempt, %error, "ledger rejected call outcome");
    // If this fails too, the claim times out with an unknown outcome.
    let _ = try_settle(router, claim, Outcome::Unknown).await;
}

async fn try_settle<B: Backend>(
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
        tracing::warn!(event = "HH0705", request = %claim.attempt, %error, "failed to record call outcome");
    }
    settled
}

fn in_progress_refusal(retry_after_ms: u64) -> Refusal {
    Refusal::may_have_run(
        RefusalKind::InProgress,
        "another attempt with this idempotency key has not ended",
        "send the call again with the same idempotency key to learn how it ended",
    )
    .retry_after_ms(retry_after_ms)
}

fn key_mismatch_refusal() -> Refusal {
    Refusal::not_run(
        RefusalKind::KeyMismatch,
        "this idempotency key was used for a different call",
        "use a new idempotency key for a new call",
    )
}

fn outcome_unknown_refusal() -> Refusal {
    Refusal::may_have_run(
        RefusalKind::OutcomeUnknown,
        "the call was sent and nobody knows whether it ran",
        "read the state of the service before you send the call with a new idempotency key",
    )
}

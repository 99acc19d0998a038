//! Relay of an answer from the engines to the caller; a failed answer is resumed at
//! another endpoint.

use std::ops::RangeInclusive;
use std::time::Duration;

use hemlockhitch_endpoint::engine::{Answer, Chunk, EngineError, EngineErrorKind, Usage};
use hemlockhitch_model::{EndpointName, Now};
use hemlockhitch_peer::slots::SlotReport;
use hemlockhitch_policy::guard::Observation;
use tokio::time::sleep;

use super::dispatch::{Dispatch, DispatchError, dispatch};
use super::finish::{CANCELLED, COMPLETED};
use super::plan::Plan;
use crate::backend::Backend;
use crate::crash_tracker::{CrashTracker, MAX_CRASHES_PER_REQUEST};
use crate::explanation::DispatchRecord;
use crate::refusal::{Refusal, RefusalKind};
use crate::router::{RequestPermit, Router};

/// Range of the random delay before endpoints are asked for a slot again.
const SLOT_RETRY_DELAY_MS: RangeInclusive<u64> = 20..=60;

/// Relays one answer. Dropping it before the end cancels the request and bills the
/// part that was relayed.
pub struct Relay<B: Backend> {
    pub(super) router: Router<B>,
    pub(super) plan: Plan,
    pub(super) started_at: Now,
    pub(super) dispatch: Option<Dispatch<B>>,
    pub(super) offset_tokens: u32,
    pub(super) first_token_ms: Option<u64>,
    pub(super) excluded: Vec<EndpointName>,
    pub(super) dispatch_records: Vec<DispatchRecord>,
    pub(super) cost_micros: u64,
    pub(super) ended: Option<&'static str>,
    _permit: RequestPermit<B>,
}

impl<B: Backend> Relay<B> {
    pub(super) fn new(router: Router<B>, plan: Plan, permit: RequestPermit<B>) -> Self {
        let started_at = router.now();
        Self {
            router,
            plan,
            started_at,
            dispatch: None,
            offset_tokens: 0,
            first_token_ms: None,
            excluded: Vec::new(),
            dispatch_records: Vec::new(),
            cost_micros: 0,
            ended: None,
            _permit: permit,
        }
    }

    /// Starts the first dispatch; retries until an endpoint accepts it or the request
    /// is refused.
    pub(super) async fn start(&mut self) -> Result<(), Refusal> {
        let dispatched = self.dispatch_with_retry().await;
        dispatched.map_err(|refusal| self.finish_refused(refusal))
    }

    /// Returns the next chunk, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails when the rest of the answer cannot be obtained from any endpoint; the
    /// refusal is final.
    pub async fn next(&mut self) -> Result<Option<Chunk>, Refusal> {
        if self.ended.is_some() {
            return Ok(None);
        }
        loop {
            let Some(dispatch) = self.dispatch.as_mut() else {
                return Ok(None);
            };
            match dispatch.answer.next().await {
                Ok(Some(chunk)) => return Ok(Some(self.process_chunk(chunk).await)),
                Ok(None) => self.resume_after(EngineErrorKind::Truncated).await?,
                Err(error) => self.resume_after_error(&error).await?,
            }
        }
    }

    async fn process_chunk(&mut self, chunk: Chunk) -> Chunk {
        self.offset_tokens = chunk.offset_tokens + chunk.tokens;
        if self.first_token_ms.is_none() {
            let now = self.router.now();
            self.first_token_ms = Some(now.mono_ms - self.started_at.mono_ms);
            self.record_first_token();
        }
        if chunk.finish_reason.is_some() {
            self.complete_answer(chunk.usage).await;
        }
        chunk
    }

    async fn complete_answer(&mut self, usage: Option<Usage>) {
        let now = self.router.now();
        let usage = usage.unwrap_or_else(|| self.estimated_usage());
        let Some(dispatch) = self.dispatch.take() else {
            return;
        };
        let endpoint = dispatch.endpoint.clone();
        let first_token_ms = self.first_token_ms.unwrap_or_default();
        dispatch.finish(SlotReport::Served { first_token_ms }, now);
        self.router
            .parts
            .crash_tracker
            .record_success(self.plan.fingerprint, now);
        let bill = self.build_bill(endpoint.clone(), usage, now);
        self.record_dispatch(endpoint, COMPLETED);
        self.finish(COMPLETED);
        self.router.billing.deliver(bill).await;
    }

    async fn resume_after_error(&mut self, error: &EngineError) -> Result<(), Refusal> {
        tracing::info!(event = "HH0703", request = %self.plan.request_id, %error, "answer stream interrupted");
        self.resume_after(error.kind()).await
    }

    /// Resumes the answer at another endpoint of the same version.
    async fn resume_after(&mut self, kind: EngineErrorKind) -> Result<(), Refusal> {
        let Some(failed) = self.dispatch.take() else {
            return Ok(());
        };
        let endpoint = failed.endpoint.clone();
        failed.finish(SlotReport::Failed, self.router.now());
        let may_have_crashed = matches!(kind, EngineErrorKind::Truncated | EngineErrorKind::Broken);
        let resumed = match self.handle_failure(endpoint, may_have_crashed).await {
            Ok(()) => self.dispatch_with_retry().await,
            Err(refusal) => Err(refusal),
        };
        resumed.map_err(|refusal| self.finish_refused(refusal))
    }

    /// Records a failed dispatch; fails when the request must not run again.
    async fn handle_failure(
        &mut self,
        endpoint: EndpointName,
        may_have_crashed: bool,
    ) -> Result<(), Refusal> {
        self.record_dispatch(endpoint.clone(), "failed");
        self.excluded.push(endpoint);
        let roll_outs = &self.router.parts.roll_outs;
        let now = self.router.now();
        roll_outs.observe(&self.plan.version_name, Observation::Failed, now);
        if may_have_crashed && self.record_crash().await >= MAX_CRASHES_PER_REQUEST {
            return Err(Refusal::may_have_run(
                RefusalKind::CrashesEndpoints,
                "this request has crashed the endpoints that ran it",
                "change the request; it will not be run again",
            ));
        }
        if self.dispatch_records.len() >= self.router.parts.settings.max_dispatches {
            return Err(endpoints_failed_refusal());
        }
        Ok(())
    }

    async fn record_crash(&mut self) -> u32 {
        let now = self.router.now();
        let crash_tracker = &self.router.parts.crash_tracker;
        crash_tracker.record_crash(self.plan.fingerprint, now).await
    }

    async fn dispatch_with_retry(&mut self) -> Result<(), Refusal> {
        let since = self.router.now();
        loop {
            self.check_serving()?;
            let dispatched =
                dispatch(&self.router, &self.plan, self.offset_tokens, &self.excluded).await;
            match dispatched {
                Ok(dispatch) => {
                    self.dispatch = Some(dispatch);
                    return Ok(());
                }
                Err(DispatchError::Failed {
                    endpoint,
                    may_have_crashed,
                }) => {
                    self.handle_failure(endpoint, may_have_crashed).await?;
                }
                Err(DispatchError::Full) if self.may_wait(since) => sleep(slot_retry_delay()).await,
                Err(dispatch_error) => return Err(self.dispatch_refusal(dispatch_error)),
            }
        }
    }

    /// Refuses the first dispatch when the node became isolated or was suspended while
    /// the request waited. A request with an earlier dispatch is still resumed.
    fn check_serving(&self) -> Result<(), Refusal> {
        if self.dispatch_records.is_empty() {
            self.router.check_serving(self.router.now())?;
        }
        Ok(())
    }

    /// Returns whether a request that has waited for a free slot since `since` may
    /// wait longer.
    fn may_wait(&self, since: Now) -> bool {
        let waited_ms = self.router.now().mono_ms - since.mono_ms;
        waited_ms < self.router.parts.settings.queue_ms
    }

    fn dispatch_refusal(&self, dispatch_error: DispatchError) -> Refusal {
        let retry_after_ms = self.router.parts.settings.retry_after_ms;
        let refusal = match dispatch_error {
            DispatchError::BadRequest(error) => Refusal::not_run(
                RefusalKind::BadRequest,
                error.to_string(),
                "correct the request",
            ),
            DispatchError::Full => Refusal::not_run(
                RefusalKind::Overloaded,
                "every endpoint of the version is full",
                "send the request again later",
            )
            .retry_after_ms(retry_after_ms),
            DispatchError::NoEndpoint | DispatchError::Failed { .. } => Refusal::not_run(
                RefusalKind::NoEndpoint,
                "no endpoint of the version takes work now",
                "send the request again later",
            )
            .retry_after_ms(retry_after_ms),
        };
        Refusal {
            not_run: refusal.not_run && self.dispatch_records.is_empty(),
            ..refusal
        }
    }

    fn record_dispatch(&mut self, endpoint: EndpointName, ended: &str) {
        self.dispatch_records.push(DispatchRecord {
            at_unix_ms: self.router.now().unix_ms,
            endpoint,
            resume_offset_tokens: self.offset_tokens,
            ended: ended.to_owned(),
        });
    }

    fn finish_refused(&mut self, refusal: Refusal) -> Refusal {
        if self.offset_tokens > 0 {
            self.bill_partial_answer();
        }
        self.finish(refusal.kind.code());
        refusal.request(self.plan.request_id)
    }
}

impl<B: Backend> Drop for Relay<B> {
    fn drop(&mut self) {
        if self.ended.is_some() {
            return;
        }
        if self.offset_tokens > 0 {
            self.bill_partial_answer();
        }
        self.finish(CANCELLED);
    }
}

/// Returns a random delay before endpoints are asked for a slot again.
fn slot_retry_delay() -> Duration {
    Duration::from_millis(fastrand::u64(SLOT_RETRY_DELAY_MS))
}

fn endpoints_failed_refusal() -> Refusal {
    Refusal::may_have_run(
        RefusalKind::EndpointFailed,
        "the endpoints that ran the request failed",
        "send the request again",
    )
}

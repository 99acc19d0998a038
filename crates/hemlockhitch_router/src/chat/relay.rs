//! The relay of an answer from engines to the caller, over resumes.

use std::ops::RangeInclusive;
use std::time::Duration;

use hemlockhitch_endpoint::engine::{Answer, Chunk, EngineError, EngineErrorKind, Usage};
use hemlockhitch_ledger::bill::Bill;
use hemlockhitch_model::{EndpointName, Now};
use hemlockhitch_peer::slots::SlotReport;
use hemlockhitch_policy::guard::Observation;
use tokio::time::sleep;

use super::dispatch::{Dispatch, NotStarted, dispatch};
use super::plan::Plan;
use crate::backend::Backend;
use crate::billing::cost_micros;
use crate::explain::{Explanation, Step};
use crate::refusal::{Refusal, RefusalKind};
use crate::router::{Router, Work};
use crate::suspect::{MAX_CRASHES, Suspects};

/// How an answer ended that came whole.
const WHOLE: &str = "whole";

/// How an answer ended whose caller left.
const CANCELLED: &str = "cancelled";

/// The pause before endpoints are asked for room again, in milliseconds.
const ROOM_PAUSE_MS: RangeInclusive<u64> = 20..=60;

/// Bytes of prompt that are counted as one token when the engine gives no count.
const BYTES_PER_TOKEN: usize = 4;

/// Relays one answer; dropping it before the end cancels the work and bills
/// what was relayed.
pub struct Relay<B: Backend> {
    router: Router<B>,
    plan: Plan,
    started: Now,
    dispatch: Option<Dispatch<B>>,
    offset_tokens: u32,
    first_token_ms: Option<u64>,
    avoided: Vec<EndpointName>,
    steps: Vec<Step>,
    cost_micros: u64,
    ended: Option<&'static str>,
    _work: Work<B>,
}

impl<B: Backend> Relay<B> {
    pub(super) fn new(router: Router<B>, plan: Plan, work: Work<B>) -> Self {
        let started = router.now();
        Self {
            router,
            plan,
            started,
            dispatch: None,
            offset_tokens: 0,
            first_token_ms: None,
            avoided: Vec::new(),
            steps: Vec::new(),
            cost_micros: 0,
            ended: None,
            _work: work,
        }
    }

    /// Starts the first dispatch that an endpoint takes.
    pub(super) async fn start(&mut self) -> Result<(), Refusal> {
        let dispatched = self.dispatch_until_started().await;
        dispatched.map_err(|refusal| self.end_with(refusal))
    }

    /// Returns the next chunk, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails with a final answer when the rest cannot be had from any endpoint.
    pub async fn next(&mut self) -> Result<Option<Chunk>, Refusal> {
        if self.ended.is_some() {
            return Ok(None);
        }
        loop {
            let Some(dispatch) = self.dispatch.as_mut() else {
                return Ok(None);
            };
            match dispatch.answer.next().await {
                Ok(Some(chunk)) => return Ok(Some(self.relay(chunk).await)),
                Ok(None) => self.resume_after(EngineErrorKind::Truncated).await?,
                Err(error) => self.resume_after_error(&error).await?,
            }
        }
    }

    async fn relay(&mut self, chunk: Chunk) -> Chunk {
        self.offset_tokens = chunk.offset_tokens + chunk.tokens;
        if self.first_token_ms.is_none() {
            let now = self.router.now();
            self.first_token_ms = Some(now.mono_ms - self.started.mono_ms);
            self.record_first_token();
        }
        if chunk.finish_reason.is_some() {
            self.complete(chunk.usage).await;
        }
        chunk
    }

    async fn complete(&mut self, usage: Option<Usage>) {
        let now = self.router.now();
        let usage = usage.unwrap_or_else(|| self.usage_so_far());
        let Some(dispatch) = self.dispatch.take() else {
            return;
        };
        let endpoint = dispatch.endpoint.clone();
        let first_token_ms = self.first_token_ms.unwrap_or_default();
        dispatch.finish(SlotReport::Served { first_token_ms }, now);
        self.router
            .parts
            .suspects
            .served(self.plan.fingerprint, now);
        let bill = self.bill(endpoint.clone(), usage, now);
        self.note_step(endpoint, "whole");
        self.end(WHOLE);
        self.router.billing.deliver(bill).await;
    }

    async fn resume_after_error(&mut self, error: &EngineError) -> Result<(), Refusal> {
        tracing::info!(event = "HH0703", request = %self.plan.request_id, %error, "answer broke off");
        self.resume_after(error.kind()).await
    }

    /// Goes on at another endpoint of the same version.
    async fn resume_after(&mut self, kind: EngineErrorKind) -> Result<(), Refusal> {
        let Some(failed) = self.dispatch.take() else {
            return Ok(());
        };
        let endpoint = failed.endpoint.clone();
        failed.finish(SlotReport::Failed, self.router.now());
        let crash = matches!(kind, EngineErrorKind::Truncated | EngineErrorKind::Broken);
        let resumed = match self.after_failure(endpoint, crash).await {
            Ok(()) => self.dispatch_until_started().await,
            Err(refusal) => Err(refusal),
        };
        resumed.map_err(|refusal| self.end_with(refusal))
    }

    /// Notes a failed dispatch; fails when the request must not run again.
    async fn after_failure(&mut self, endpoint: EndpointName, crash: bool) -> Result<(), Refusal> {
        self.note_step(endpoint.clone(), "failed");
        self.avoided.push(endpoint);
        let roll_outs = &self.router.parts.roll_outs;
        let now = self.router.now();
        roll_outs.observe(&self.plan.version_name, Observation::Failed, now);
        if crash && self.crashes().await >= MAX_CRASHES {
            return Err(Refusal::may_have_run(
                RefusalKind::CrashesEndpoints,
                "this request has crashed the endpoints that ran it",
                "change the request; it will not be run again",
            ));
        }
        if self.steps.len() >= self.router.parts.settings.dispatches {
            return Err(endpoints_failed());
        }
        Ok(())
    }

    async fn crashes(&mut self) -> u32 {
        let now = self.router.now();
        let suspects = &self.router.parts.suspects;
        suspects.crashed(self.plan.fingerprint, now).await
    }

    async fn dispatch_until_started(&mut self) -> Result<(), Refusal> {
        loop {
            self.check_gate()?;
            let started =
                dispatch(&self.router, &self.plan, self.offset_tokens, &self.avoided).await;
            match started {
                Ok(dispatch) => {
                    self.dispatch = Some(dispatch);
                    return Ok(());
                }
                Err(NotStarted::Broke { endpoint, crash }) => {
                    self.after_failure(endpoint, crash).await?;
                }
                Err(NotStarted::Full) if self.may_wait() => sleep(room_pause()).await,
                Err(not_started) => return Err(self.refuse(not_started)),
            }
        }
    }

    /// Refuses to start work on a node that was cut off or frozen meanwhile; an
    /// answer that has started is resumed.
    fn check_gate(&self) -> Result<(), Refusal> {
        if self.steps.is_empty() {
            self.router.check_gate(self.router.now())?;
        }
        Ok(())
    }

    /// Returns whether the request may wait for an endpoint with room.
    fn may_wait(&self) -> bool {
        let waited_ms = self.router.now().mono_ms - self.started.mono_ms;
        waited_ms < self.router.parts.settings.queue_ms
    }

    fn refuse(&self, not_started: NotStarted) -> Refusal {
        let retry_after_ms = self.router.parts.settings.retry_after_ms;
        let refusal = match not_started {
            NotStarted::BadRequest(error) => Refusal::not_run(
                RefusalKind::BadRequest,
                error.to_string(),
                "correct the request",
            ),
            NotStarted::Full => Refusal::not_run(
                RefusalKind::Overloaded,
                "every endpoint of the version is full",
                "send the request again later",
            )
            .retry_after_ms(retry_after_ms),
            NotStarted::NoEndpoint | NotStarted::Broke { .. } => Refusal::not_run(
                RefusalKind::NoEndpoint,
                "no endpoint of the version takes work now",
                "send the request again later",
            )
            .retry_after_ms(retry_after_ms),
        };
        Refusal {
            not_run: refusal.not_run && self.steps.is_empty(),
            ..refusal
        }
    }

    fn usage_so_far(&self) -> Usage {
        let prompt_bytes: usize = self
            .plan
            .body
            .messages
            .iter()
            .map(|message| message.content.len())
            .sum();
        let prompt_tokens = prompt_bytes.div_ceil(BYTES_PER_TOKEN);
        Usage {
            prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
            completion_tokens: self.offset_tokens,
        }
    }

    fn bill(&mut self, endpoint: EndpointName, usage: Usage, now: Now) -> Bill {
        let view = self.router.view();
        let version = view.table.version(self.plan.version_name.as_str());
        self.cost_micros = version.map_or(0, |version| {
            cost_micros(&view.table.versions[version].row, usage)
        });
        Bill {
            request_id: self.plan.request_id,
            organisation: self.plan.organisation.clone(),
            class: self.plan.class,
            ran_on: self.plan.version_name.to_string(),
            endpoint,
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            cost_micros: self.cost_micros,
            at_unix_ms: now.unix_ms,
        }
    }

    fn note_step(&mut self, endpoint: EndpointName, ended: &str) {
        self.steps.push(Step {
            at_unix_ms: self.router.now().unix_ms,
            endpoint,
            resume_offset_tokens: self.offset_tokens,
            ended: ended.to_owned(),
        });
    }

    fn end_with(&mut self, refusal: Refusal) -> Refusal {
        if self.offset_tokens > 0 {
            self.bill_relayed();
        }
        self.end(refusal.kind.code());
        refusal.request(self.plan.request_id)
    }

    /// Bills the tokens that were relayed of an answer that did not end.
    fn bill_relayed(&mut self) {
        let endpoint = self.last_endpoint();
        let usage = self.usage_so_far();
        let now = self.router.now();
        let bill = self.bill(endpoint, usage, now);
        self.router.billing.deliver_later(bill);
    }

    fn last_endpoint(&self) -> EndpointName {
        let running = self.dispatch.as_ref().map(|dispatch| &dispatch.endpoint);
        running
            .or(self.avoided.last())
            .cloned()
            .unwrap_or_else(|| EndpointName::new("none"))
    }

    fn end(&mut self, ended: &'static str) {
        self.ended = Some(ended);
        self.observe(ended);
        self.record_whole(ended);
        self.router.explanations().record(Explanation {
            request_id: self.plan.request_id,
            organisation: self.plan.organisation.clone(),
            class: self.plan.class,
            version: Some(self.plan.version_name.clone()),
            reason: self.plan.reason.to_owned(),
            generation: self.plan.generation,
            steps: std::mem::take(&mut self.steps),
            cost_micros: self.cost_micros,
            ended: ended.to_owned(),
        });
    }

    /// Tells the guard of roll-outs how the version served the request.
    fn observe(&self, ended: &'static str) {
        let observation = match (ended, self.first_token_ms) {
            (WHOLE, Some(first_token_ms)) => Observation::Served { first_token_ms },
            (CANCELLED, _) => Observation::Abandoned,
            // Each failed dispatch was told when it failed.
            _ => Observation::Abandoned,
        };
        let now = self.router.now();
        let roll_outs = &self.router.parts.roll_outs;
        roll_outs.observe(&self.plan.version_name, observation, now);
    }

    #[allow(clippy::cast_precision_loss)]
    fn record_first_token(&self) {
        let first_token_ms = self.first_token_ms.unwrap_or_default();
        metrics::histogram!(
            "hemlockhitch_first_token_ms",
            "organisation" => self.plan.organisation.to_string(),
            "class" => self.plan.class.as_str(),
        )
        .record(first_token_ms as f64);
    }

    #[allow(clippy::cast_precision_loss)]
    fn record_whole(&self, ended: &'static str) {
        let whole_ms = self.router.now().mono_ms - self.started.mono_ms;
        metrics::histogram!(
            "hemlockhitch_answer_ms",
            "organisation" => self.plan.organisation.to_string(),
            "class" => self.plan.class.as_str(),
            "ended" => ended,
        )
        .record(whole_ms as f64);
    }
}

impl<B: Backend> Drop for Relay<B> {
    fn drop(&mut self) {
        if self.ended.is_some() {
            return;
        }
        if self.offset_tokens > 0 {
            self.bill_relayed();
        }
        self.end(CANCELLED);
    }
}

/// Draws the pause before endpoints are asked for room again.
fn room_pause() -> Duration {
    Duration::from_millis(fastrand::u64(ROOM_PAUSE_MS))
}

fn endpoints_failed() -> Refusal {
    Refusal::may_have_run(
        RefusalKind::EndpointFailed,
        "the endpoints that ran the request failed",
        "send the request again",
    )
}

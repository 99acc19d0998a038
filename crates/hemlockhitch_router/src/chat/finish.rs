//! End of an answer: bill, explanation, metrics and the report to the roll-out guard.

use hemlockhitch_endpoint::engine::Usage;
use hemlockhitch_ledger::bill::Bill;
use hemlockhitch_model::{EndpointName, Now};
use hemlockhitch_policy::guard::Observation;

use super::relay::Relay;
use crate::backend::Backend;
use crate::billing::cost_micros;
use crate::explanation::Explanation;

/// Outcome of an answer that was completed.
pub(super) const COMPLETED: &str = "whole";

/// Outcome of an answer that the caller cancelled.
pub(super) const CANCELLED: &str = "cancelled";

/// Prompt bytes that count as one token when the engine reports no usage.
const ESTIMATED_BYTES_PER_TOKEN: usize = 4;

impl<B: Backend> Relay<B> {
    /// Estimates the usage of the part of the answer that was relayed.
    pub(super) fn estimated_usage(&self) -> Usage {
        let prompt_bytes: usize = self
            .plan
            .body
            .messages
            .iter()
            .map(|message| message.content.len())
            .sum();
        let prompt_tokens = prompt_bytes.div_ceil(ESTIMATED_BYTES_PER_TOKEN);
        Usage {
            prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
            completion_tokens: self.offset_tokens,
        }
    }

    /// Builds the bill of the answer and stores its cost for the explanation.
    pub(super) fn build_bill(&mut self, endpoint: EndpointName, usage: Usage, now: Now) -> Bill {
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

    /// Bills the relayed part of an answer that was not completed.
    pub(super) fn bill_partial_answer(&mut self) {
        let endpoint = self.last_endpoint();
        let usage = self.estimated_usage();
        let now = self.router.now();
        let bill = self.build_bill(endpoint, usage, now);
        self.router.billing.deliver_in_background(bill);
    }

    fn last_endpoint(&self) -> EndpointName {
        let running = self.dispatch.as_ref().map(|dispatch| &dispatch.endpoint);
        running
            .or(self.excluded.last())
            .cloned()
            .unwrap_or_else(|| EndpointName::new("none"))
    }

    /// Ends the answer: reports it to the roll-out guard, updates the metrics and
    /// records the explanation.
    pub(super) fn finish(&mut self, ended: &'static str) {
        self.ended = Some(ended);
        self.report_to_guard(ended);
        self.record_answer_time(ended);
        self.router.explanations().record(Explanation {
            request_id: self.plan.request_id,
            organisation: self.plan.organisation.clone(),
            class: self.plan.class,
            version: Some(self.plan.version_name.clone()),
            reason: self.plan.reason.to_owned(),
            generation: self.plan.generation,
            steps: std::mem::take(&mut self.dispatch_records),
            cost_micros: self.cost_micros,
            ended: ended.to_owned(),
        });
    }

    /// Reports to the roll-out guard how the version served the request.
    fn report_to_guard(&self, ended: &'static str) {
        let observation = match (ended, self.first_token_ms) {
            (COMPLETED, Some(first_token_ms)) => Observation::Served { first_token_ms },
            // Failed dispatches were reported when they failed; any other outcome
            // is no evidence for or against the version.
            _ => Observation::Abandoned,
        };
        let now = self.router.now();
        let roll_outs = &self.router.parts.roll_outs;
        roll_outs.observe(&self.plan.version_name, observation, now);
    }

    /// Records the time from admission to the first relayed chunk.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn record_first_token(&self) {
        let first_token_ms = self.first_token_ms.unwrap_or_default();
        metrics::histogram!(
            "hemlockhitch_first_token_ms",
            "organisation" => self.plan.organisation.to_string(),
            "class" => self.plan.class.as_str(),
        )
        .record(first_token_ms as f64);
    }

    /// Records the time from admission to the end of the answer.
    #[allow(clippy::cast_precision_loss)]
    fn record_answer_time(&self, ended: &'static str) {
        let answer_ms = self.router.now().mono_ms - self.started_at.mono_ms;
        metrics::histogram!(
            "hemlockhitch_answer_ms",
            "organisation" => self.plan.organisation.to_string(),
            "class" => self.plan.class.as_str(),
            "ended" => ended,
        )
        .record(answer_ms as f64);
    }
}

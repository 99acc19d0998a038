//! How an answer ends: its bill, its record and its metrics.

use hemlockhitch_endpoint::engine::Usage;
use hemlockhitch_ledger::bill::Bill;
use hemlockhitch_model::{EndpointName, Now};
use hemlockhitch_policy::guard::Observation;

use super::relay::Relay;
use crate::backend::Backend;
use crate::billing::cost_micros;
use crate::explain::Explanation;

/// How an answer ended that came whole.
pub(super) const WHOLE: &str = "whole";

/// How an answer ended whose caller left.
pub(super) const CANCELLED: &str = "cancelled";

/// Bytes of prompt that are counted as one token when the engine gives no count.
const BYTES_PER_TOKEN: usize = 4;

impl<B: Backend> Relay<B> {
    /// Counts the tokens as far as the answer was relayed.
    pub(super) fn usage_so_far(&self) -> Usage {
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

    /// Builds the bill of the answer and keeps its cost.
    pub(super) fn bill(&mut self, endpoint: EndpointName, usage: Usage, now: Now) -> Bill {
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

    /// Bills the tokens that were relayed of an answer that did not end.
    pub(super) fn bill_relayed(&mut self) {
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

    /// Ends the answer: tells the guard, the metrics and the record of requests.
    pub(super) fn end(&mut self, ended: &'static str) {
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
            // A failed dispatch was told when it failed, so the rest says nothing.
            _ => Observation::Abandoned,
        };
        let now = self.router.now();
        let roll_outs = &self.router.parts.roll_outs;
        roll_outs.observe(&self.plan.version_name, observation, now);
    }

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

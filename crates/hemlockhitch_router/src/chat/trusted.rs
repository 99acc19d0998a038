//! Chat completions for organisations that were authenticated before.

use hemlockhitch_endpoint::engine::ChatRequest;
use hemlockhitch_model::{Class, Now, OrganisationName, RequestId};

use super::{ChatAnswer, Relay, plan};
use crate::backend::{Backend, Gate};
use crate::caller::Caller;
use crate::in_flight::InFlightGuard;
use crate::refusal::{Refusal, RefusalKind};
use crate::router::Router;
use crate::view::View;

/// A chat completion whose organisation was authenticated when it was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct TrustedCall {
    /// The request; every attempt of it has the same id, so that it is billed once.
    pub request_id: RequestId,
    /// Who asked.
    pub organisation: OrganisationName,
    /// The class.
    pub class: Class,
    /// The body.
    pub body: ChatRequest,
}

impl<B: Backend> Router<B> {
    /// Checks that a chat completion could start, and starts nothing.
    ///
    /// # Errors
    ///
    /// Fails when [`Router::chat_as`] would refuse the request as it is.
    pub fn check_chat_as(&self, call: TrustedCall) -> Result<(), Refusal> {
        let view = self.view();
        self.plan_trusted(call, &view, self.now()).map(drop)
    }

    /// Starts a chat completion for an organisation that was authenticated before.
    ///
    /// # Errors
    ///
    /// Fails when the request is refused or no endpoint takes it.
    pub async fn chat_as(&self, call: TrustedCall) -> Result<ChatAnswer<B>, Refusal> {
        let now = self.now();
        let view = self.view();
        let request_id = call.request_id;
        let guard = self.enter(request_id, now)?;
        let plan = self.plan_trusted(call, &view, now)?;
        let version = plan.version_name.clone();
        let session = plan.session.clone();
        let mut relay = Relay::new(self.clone(), plan, guard);
        relay.start().await?;
        Ok(ChatAnswer {
            request_id,
            version,
            session,
            relay,
        })
    }

    /// Checks that the node takes new work, and counts this request as in flight.
    fn enter(&self, request_id: RequestId, now: Now) -> Result<InFlightGuard, Refusal> {
        let settings = &self.parts.settings;
        let refusal = match self.parts.gate.check(now) {
            Err(closed) => Refusal::not_run(
                RefusalKind::NotServing,
                closed.to_string(),
                "leave the request to another node",
            ),
            Ok(()) => match self.in_flight().enter(settings.in_flight) {
                Some(guard) => return Ok(guard),
                None => Refusal::not_run(
                    RefusalKind::Overloaded,
                    "the node has too many requests in flight",
                    "start the request again later",
                ),
            },
        };
        let refusal = refusal.retry_after_ms(settings.retry_after_ms);
        Err(refusal.request(request_id))
    }

    fn plan_trusted(
        &self,
        call: TrustedCall,
        view: &View,
        now: Now,
    ) -> Result<plan::Plan, Refusal> {
        let request_id = call.request_id;
        let organisation = view
            .table
            .organisation(call.organisation.as_str())
            .ok_or_else(|| unknown_organisation().request(request_id))?;
        let caller = Caller {
            request_id,
            organisation,
            class: Some(call.class),
            session: None,
            idempotency_key: None,
        };
        plan::plan(&self.parts, view, &caller, call.body, now)
            .map_err(|refusal| refusal.request(request_id))
    }
}

fn unknown_organisation() -> Refusal {
    Refusal::not_run(
        RefusalKind::NotAllowed,
        "the organisation no longer exists",
        "ask your operator to set it up again",
    )
}

//! Chat completions for organisations that were authenticated before.

use hemlockhitch_endpoint::engine::ChatRequest;
use hemlockhitch_model::{Class, OrganisationName, RequestId};

use super::{ChatAnswer, plan};
use crate::backend::Backend;
use crate::caller::Caller;
use crate::refusal::Refusal;
use crate::router::{Router, organisation_is_gone};
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
        let request_id = call.request_id;
        let caller = trusted_caller(&call, &view)?;
        plan::plan(&self.parts, &view, &caller, call.body, self.now())
            .map(drop)
            .map_err(|refusal| refusal.request(request_id))
    }

    /// Starts a chat completion for an organisation that was authenticated before.
    ///
    /// # Errors
    ///
    /// Fails when the request is refused or no endpoint takes it.
    pub async fn chat_as(&self, call: TrustedCall) -> Result<ChatAnswer<B>, Refusal> {
        self.check_gate(self.now())?;
        let view = self.view();
        let caller = trusted_caller(&call, &view)?;
        let accepted = self.take_in(caller, &view, None).await?;
        self.run(accepted, call.body).await
    }
}

fn trusted_caller(call: &TrustedCall, view: &View) -> Result<Caller, Refusal> {
    let organisation = view
        .table
        .organisation(call.organisation.as_str())
        .ok_or_else(|| organisation_is_gone().request(call.request_id))?;
    Ok(Caller {
        request_id: call.request_id,
        organisation,
        class: Some(call.class),
        session: None,
        idempotency_key: None,
    })
}

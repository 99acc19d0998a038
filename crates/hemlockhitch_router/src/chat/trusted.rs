//! Chat completions on behalf of an organisation that was authenticated earlier.

use hemlockhitch_endpoint::engine::ChatRequest;
use hemlockhitch_model::{Class, OrganisationName, RequestId};

use super::{ChatAnswer, plan};
use crate::backend::Backend;
use crate::caller::Caller;
use crate::refusal::Refusal;
use crate::router::{Router, organisation_removed};
use crate::view::RoutingView;

/// A chat completion whose organisation was authenticated when it was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct TrustedCall {
    /// Id of the request; all attempts share it, so that the request is billed once.
    pub request_id: RequestId,
    /// Organisation that sent the request.
    pub organisation: OrganisationName,
    /// Class of the request.
    pub class: Class,
    /// Parsed request body.
    pub body: ChatRequest,
}

impl<B: Backend> Router<B> {
    /// Validates a chat completion without starting it.
    ///
    /// # Errors
    ///
    /// Fails when [`Router::chat_as`] would refuse the request for a reason other
    /// than admission limits or missing endpoints.
    pub fn check_chat_as(&self, call: TrustedCall) -> Result<(), Refusal> {
        let view = self.view();
        let request_id = call.request_id;
        let caller = trusted_caller(&call, &view)?;
        plan::plan(&self.parts, &view, &caller, call.body, self.now())
            .map(drop)
            .map_err(|refusal| refusal.request(request_id))
    }

    /// Starts a chat completion on behalf of an organisation that was authenticated
    /// earlier.
    ///
    /// # Errors
    ///
    /// Fails when the request is refused or no endpoint takes it.
    pub async fn chat_as(&self, call: TrustedCall) -> Result<ChatAnswer<B>, Refusal> {
        self.check_serving(self.now())?;
        let view = self.view();
        let caller = trusted_caller(&call, &view)?;
        let admitted = self.admit_authenticated(caller, &view, None).await?;
        self.run_admitted(admitted, call.body).await
    }
}

fn trusted_caller(call: &TrustedCall, view: &RoutingView) -> Result<Caller, Refusal> {
    let organisation = view
        .table
        .organisation(call.organisation.as_str())
        .ok_or_else(|| organisation_removed().request(call.request_id))?;
    Ok(Caller {
        request_id: call.request_id,
        organisation,
        class: Some(call.class),
        session: None,
        idempotency_key: None,
    })
}

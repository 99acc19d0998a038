//! Chat completions.

mod dispatch;
mod finish;
mod plan;
mod relay;
mod trusted;

use hemlockhitch_endpoint::engine::ChatRequest;
use hemlockhitch_model::{RequestId, VersionName};

pub use relay::Relay;
pub use trusted::TrustedCall;

use crate::backend::Backend;
use crate::caller::CallerHeaders;
use crate::refusal::Refusal;
use crate::router::{AdmittedRequest, Router};

/// A chat completion request as received.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatCall {
    /// Unparsed request headers.
    pub headers: CallerHeaders,
    /// Parsed request body.
    pub body: ChatRequest,
}

/// A started chat completion whose chunks have not been read yet.
pub struct ChatAnswer<B: Backend> {
    /// Id of the request.
    pub request_id: RequestId,
    /// Version that serves the request.
    pub version: VersionName,
    /// Session token, which the caller sends with its next request.
    pub session: String,
    /// Source of the chunks.
    pub relay: Relay<B>,
}

impl<B: Backend> Router<B> {
    /// Starts a chat completion.
    ///
    /// # Errors
    ///
    /// Fails when the request is refused or no endpoint takes it.
    pub async fn chat(&self, call: ChatCall) -> Result<ChatAnswer<B>, Refusal> {
        let now = self.now();
        let view = self.view();
        let admitted = self.admit(call.headers, &view, None, now).await?;
        self.run_admitted(admitted, call.body).await
    }

    /// Plans an admitted request and starts its first dispatch.
    async fn run_admitted(
        &self,
        admitted: AdmittedRequest<B>,
        body: ChatRequest,
    ) -> Result<ChatAnswer<B>, Refusal> {
        let request_id = admitted.caller.request_id;
        let plan = plan::plan(
            &self.parts,
            &admitted.view,
            &admitted.caller,
            body,
            self.now(),
        )
        .map_err(|refusal| refusal.request(request_id))?;
        let version = plan.version_name.clone();
        let session = plan.session.clone();
        let mut relay = Relay::new(self.clone(), plan, admitted.permit);
        relay.start().await?;
        Ok(ChatAnswer {
            request_id,
            version,
            session,
            relay,
        })
    }
}

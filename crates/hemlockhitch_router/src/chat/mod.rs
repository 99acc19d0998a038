//! Chat completions.

mod dispatch;
mod ending;
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
use crate::router::{Accepted, Router};

/// A chat completion as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatCall {
    /// The headers.
    pub headers: CallerHeaders,
    /// The body.
    pub body: ChatRequest,
}

/// The answer to a chat completion, before its first chunk was read.
pub struct ChatAnswer<B: Backend> {
    /// The request.
    pub request_id: RequestId,
    /// The version that serves it.
    pub version: VersionName,
    /// The token of the session, to be sent with the next request.
    pub session: String,
    /// The chunks.
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
        let accepted = self.admit(call.headers, &view, None, now).await?;
        self.run(accepted, call.body).await
    }

    /// Plans a request that was taken in, and starts it.
    async fn run(
        &self,
        accepted: Accepted<B>,
        body: ChatRequest,
    ) -> Result<ChatAnswer<B>, Refusal> {
        let request_id = accepted.caller.request_id;
        let plan = plan::plan(
            &self.parts,
            &accepted.view,
            &accepted.caller,
            body,
            self.now(),
        )
        .map_err(|refusal| refusal.request(request_id))?;
        let version = plan.version_name.clone();
        let session = plan.session.clone();
        let mut relay = Relay::new(self.clone(), plan, accepted.work);
        relay.start().await?;
        Ok(ChatAnswer {
            request_id,
            version,
            session,
            relay,
        })
    }
}

//! Request handling, from the request head to the end of the response.
//!
//! A request is admitted, a version, a model and an endpoint are chosen, a slot is
//! taken, the request is sent and the retry policy is applied. The gateway then responds,
//! tries another endpoint, resumes the stream or fails the request immediately.

mod admit;
mod context;
mod headers;
mod relay;
mod response;
mod run;
mod send;
mod slot;
mod stream;

pub use response::ResponseBody;

use std::convert::Infallible;

use hemlockhitch_model::Clock;
use http::{Request, Response};
use hyper::body::Incoming;

use crate::dialect::Dialect;
use crate::state::Shared;
use crate::telemetry::RequestLabels;
use admit::Admission;

/// Handles requests; clones share the state.
#[derive(Debug)]
pub struct Gateway<D, C> {
    shared: Shared<D, C>,
}

impl<D, C> Clone for Gateway<D, C> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Creates the gateway of a node.
    #[must_use]
    pub fn new(shared: Shared<D, C>) -> Self {
        Self { shared }
    }

    /// Returns the shared state.
    #[must_use]
    pub fn shared(&self) -> &Shared<D, C> {
        &self.shared
    }

    /// Handles one request.
    ///
    /// # Errors
    ///
    /// Never returns an error: every failure is turned into a response.
    pub async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Infallible> {
        let response = match self.admit(request).await {
            Admission::Admitted(ctx) => {
                let organisation = ctx.organisation.as_ref().map(|known| &known.name);
                let labels =
                    RequestLabels::new(&self.shared, organisation, ctx.route.kind, ctx.received_at);
                let response = self.run(*ctx).await;
                labels.record_response(response.status().as_u16(), self.shared.now());
                response
            }
            Admission::Refused(refusal) => refusal.into_response(),
        };
        Ok(response)
    }
}
